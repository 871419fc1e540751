//! Which replicas form the cluster at the first start.

use std::time::Duration;

use bitternlead::control::founding::Roll;
use bitternlead::wire::Replica;

fn replica(id: u64) -> Replica {
    Replica { id, address: format!("10.0.0.{id}:7340"), ..Replica::default() }
}

fn ids(founders: &[Replica]) -> Vec<u64> {
    founders.iter().map(|r| r.id).collect()
}

#[test]
fn as_many_as_wanted_are_taken_at_once() {
    let mut roll = Roll::new(2, Duration::ZERO);
    for id in [9, 4, 7, 1] {
        assert!(roll.hear(Duration::ZERO, replica(id)).is_empty());
    }
    let founders = roll.hear(Duration::ZERO, replica(3)).to_vec();
    assert_eq!(ids(&founders), [1, 3, 4, 7, 9]);
    assert!(founders.iter().all(|r| r.voter));
}

#[test]
fn the_decision_is_never_taken_back() {
    let mut roll = Roll::new(1, Duration::ZERO);
    for id in 1..=3 {
        roll.hear(Duration::ZERO, replica(id));
    }
    for id in 4..9 {
        let founders = roll.hear(Duration::from_secs(60), replica(id)).to_vec();
        assert_eq!(ids(&founders), [1, 2, 3]);
    }
}

#[test]
fn a_replica_that_reports_again_counts_once() {
    let mut roll = Roll::new(1, Duration::ZERO);
    for _ in 0..5 {
        assert!(roll.hear(Duration::ZERO, replica(1)).is_empty());
    }
    // It lost its folder before the cluster was formed and came back under another identity.
    let again = Replica { id: 77, ..replica(1) };
    assert!(roll.hear(Duration::ZERO, again).is_empty());
}

#[test]
fn after_a_while_fewer_form_the_cluster_but_never_fewer_than_may_be_lost_and_one() {
    let late = Duration::from_secs(5);
    let mut roll = Roll::new(2, Duration::ZERO);
    for id in 1..=2 {
        assert!(roll.hear(late, replica(id)).is_empty());
    }
    assert_eq!(ids(roll.hear(late, replica(3))), [1, 2, 3]);
    let mut four = Roll::new(2, Duration::ZERO);
    for id in 1..=4 {
        four.hear(Duration::ZERO, replica(id));
    }
    assert_eq!(ids(four.hear(late, replica(4))), [1, 2, 3], "an odd number");
}
