//! Disks of control that are full for some seconds, one after another.

use std::time::{Duration, Instant};

use crate::deployment::Deployment;

/// Time for which each disk is full, at least.
const FULL_TIME: Duration = Duration::from_secs(5);

/// Time within which a change has to be acknowledged, also while one disk is full: the bound of the
/// deployments.
const ACK_TIME: Duration = Duration::from_secs(4);

/// Time after the last disk has room again after which changes are tried for a while.
const PAUSE: Duration = Duration::from_secs(5);

const REPLICAS: usize = 3;

/// Sends the next document to the replicas in turn, for a second each like operators do, until one
/// acknowledges it or `limit` has passed. Returns whether one did.
async fn change(nodes: &mut Deployment, first: usize, notes: usize, limit: Duration) -> bool {
    let mut document = nodes.document();
    document["Notes"] = "x".repeat(notes).into();
    let start = Instant::now();
    for at in first.. {
        let put = nodes.put_at(at % REPLICAS, document.to_string().into());
        if tokio::time::timeout(Duration::from_secs(1), put).await == Ok(Some(200)) {
            return true;
        }
        if start.elapsed() >= limit {
            return false;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    unreachable!("the loop has no end");
}

async fn fill_disks(order: [usize; REPLICAS], notes: usize) {
    let mut nodes = Deployment::start(REPLICAS, 0).await;
    assert!(change(&mut nodes, 0, 0, Duration::from_secs(20)).await, "no first document");
    for at in order {
        for step in ["store.write=return", "store.sync=return", "store.replace=return"] {
            nodes.set_fault(at, step).await;
        }
        let full = Instant::now();
        while full.elapsed() < FULL_TIME {
            let acknowledged = change(&mut nodes, at, notes, ACK_TIME).await;
            assert!(acknowledged, "no acknowledgement while only the disk of replica {at} is full");
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        for step in ["store.write=off", "store.sync=off", "store.replace=off"] {
            nodes.set_fault(at, step).await;
        }
    }
    tokio::time::sleep(PAUSE).await;
    for first in 0..2 * REPLICAS {
        let start = Instant::now();
        let acknowledged = change(&mut nodes, first, notes, ACK_TIME).await;
        assert!(acknowledged, "a change at replica {first} is not acknowledged in {ACK_TIME:?}");
        assert!(start.elapsed() < ACK_TIME, "acknowledged after {:?}", start.elapsed());
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    for at in 0..REPLICAS {
        assert!(!nodes.controls[at].has_ended(), "replica {at} ended");
        assert!(nodes.read_at(at).await.is_some(), "replica {at} answers no read");
    }
}

/// Guards against a replica that has given up on its disk, or a log that is never whole again, so that
/// changes are refused or stay unanswered long after all disks have room.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes_are_acknowledged_after_each_disk_in_turn_was_full() {
    fill_disks([0, 1, 2], 0).await;
}

/// Guards against the same in another order, with documents that are large against the log.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_changes_are_acknowledged_after_each_disk_in_turn_was_full() {
    fill_disks([2, 0, 1], 400_000).await;
}
