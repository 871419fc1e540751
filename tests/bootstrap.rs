//! Selection of the initial voters when the whole system starts for the first time.

use std::time::Duration;

use bitternlead::control::bootstrap::VoterSelection;
use bitternlead::wire::Replica;

fn replica(id: u64) -> Replica {
    Replica { id, address: format!("10.0.0.{id}:7340"), ..Replica::default() }
}

fn ids(voters: &[Replica]) -> Vec<u64> {
    voters.iter().map(|r| r.id).collect()
}

#[test]
fn voters_are_selected_as_soon_as_enough_replicas_reported() {
    let mut selection = VoterSelection::new(2, Duration::ZERO);
    for id in [9, 4, 7, 1] {
        assert!(selection.add_report(Duration::ZERO, replica(id)).is_empty());
    }
    let voters = selection.add_report(Duration::ZERO, replica(3)).to_vec();
    assert_eq!(ids(&voters), [1, 3, 4, 7, 9]);
    assert!(voters.iter().all(|r| r.voter));
}

#[test]
fn selected_voters_never_change() {
    let mut selection = VoterSelection::new(1, Duration::ZERO);
    for id in 1..=3 {
        selection.add_report(Duration::ZERO, replica(id));
    }
    for id in 4..9 {
        let voters = selection.add_report(Duration::from_secs(60), replica(id)).to_vec();
        assert_eq!(ids(&voters), [1, 2, 3]);
    }
}

#[test]
fn repeated_reports_of_one_address_count_once() {
    let mut selection = VoterSelection::new(1, Duration::ZERO);
    for _ in 0..5 {
        assert!(selection.add_report(Duration::ZERO, replica(1)).is_empty());
    }
    // A replica that lost its data directory before the cluster formed reports with a new id.
    let restarted = Replica { id: 77, ..replica(1) };
    assert!(selection.add_report(Duration::ZERO, restarted).is_empty());
}

#[test]
fn after_the_report_window_a_smaller_odd_number_above_the_tolerance_is_selected() {
    let late = Duration::from_secs(5);
    let mut selection = VoterSelection::new(2, Duration::ZERO);
    for id in 1..=2 {
        assert!(selection.add_report(late, replica(id)).is_empty());
    }
    assert_eq!(ids(selection.add_report(late, replica(3))), [1, 2, 3]);
    let mut four = VoterSelection::new(2, Duration::ZERO);
    for id in 1..=4 {
        four.add_report(Duration::ZERO, replica(id));
    }
    assert_eq!(ids(four.add_report(late, replica(4))), [1, 2, 3], "an odd number");
}
