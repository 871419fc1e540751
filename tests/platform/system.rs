//! Founding, configuration documents, and control replicas that fail.

use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::Value;

use crate::deployment::{Layout, World, wait_until};

async fn read_version(world: &World, at: usize) -> Option<u64> {
    world.read_at(at).await.and_then(|d| d["Version"].as_u64())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn three_replicas_found_one_cluster_and_the_highest_version_wins() {
    let mut world = World::start(3, 1).await;
    let (first, second) = (world.document(), world.document());
    world.put(&second).await;
    world.put(&first).await;
    world.put(&second).await;
    for at in 0..3 {
        assert_eq!(world.read_at(at).await, Some(second.clone()), "replica {at}");
    }
    let mut other = second.clone();
    other["Routes"][0]["TimeoutMs"] = 1.into();
    world.put(&other).await;
    assert_eq!(world.read_at(0).await, Some(second), "other content under a version held");
    wait_until("readiness", async || world.readiness(0).await == 200).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_documents_are_refused_and_change_nothing() {
    let mut world = World::start(1, 0).await;
    let good = world.document();
    world.put(&good).await;
    let mut cases: Vec<(&str, Value)> = Vec::new();
    let mut case = |name: &'static str, change: &dyn Fn(&mut Value)| {
        let mut document = good.clone();
        document["Version"] = 99.into();
        change(&mut document);
        cases.push((name, document));
    };
    case("unknown service", &|d| d["Routes"][0]["Backend"] = "nobody".into());
    case("same place", &|d| d["Routes"][1]["PathPrefix"] = "/ask/".into());
    case("no weight", &|d| d["Routes"][2]["Split"][0]["Weight"] = 0.into());
    case("no timeout", &|d| d["Routes"][0]["TimeoutMs"] = 0.into());
    case("shared key", &|d| {
        let mut second = d["Tenants"][0].clone();
        second["Name"] = "second".into();
        d["Tenants"].as_array_mut().unwrap().push(second);
    });
    for (name, document) in &cases {
        let status = world.put_at(0, document.to_string().into()).await;
        assert_eq!(status, Some(400), "{name}");
    }
    let text = good.to_string();
    let cut = text.as_bytes()[..text.len() / 2].to_vec();
    assert_eq!(world.put_at(0, cut.into()).await, Some(400), "cut short");
    assert_eq!(world.read_at(0).await, Some(good));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_was_acknowledged_outlives_any_replica_and_its_disk() {
    let mut world = World::start(3, 0).await;
    let document = world.document();
    world.put(&document).await;
    for at in 0..3 {
        world.controls[at].kill();
        std::fs::remove_dir_all(world.data_folder(at)).unwrap();
        world.write_settings("control", at, false);
        world.controls[at].restart();
        let next = world.document();
        world.put(&next).await;
        let wanted = next["Version"].as_u64();
        wait_until("the wiped replica's return", async || {
            let left = world.controls[at].log_lines("E307").len();
            left > 0 && read_version(&world, at).await == wanted
        })
        .await;
        // It counts again once the membership has three voters.
        tokio::time::sleep(Duration::from_secs(2)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_replicas_may_be_killed_at_once() {
    let mut world = World::start(3, 1).await;
    let document = world.document();
    world.put(&document).await;
    for at in 0..3 {
        world.controls[at].kill();
    }
    world.entries[0].kill();
    for at in 0..3 {
        world.controls[at].restart();
    }
    world.entries[0].restart();
    wait_until("the document", async || world.read_at(0).await == Some(document.clone())).await;
    wait_until("readiness", async || world.readiness(0).await == 200).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_frozen_leader_is_replaced_and_never_tells_what_is_old() {
    let mut world = World::start(3, 0).await;
    let first = world.document();
    world.put(&first).await;
    let mut leader = None;
    wait_until("a leader", async || {
        leader = (0..3).find(|at| !world.controls[*at].log_lines("E300").is_empty());
        leader.is_some()
    })
    .await;
    let leader = leader.unwrap();
    world.controls[leader].signal(Signal::SIGSTOP);
    let second = world.document();
    let others: Vec<usize> = (0..3).filter(|at| *at != leader).collect();
    wait_until("another leader", async || {
        let status = tokio::time::timeout(
            Duration::from_secs(2),
            world.put_at(others[0], second.to_string().into()),
        );
        status.await == Ok(Some(200))
    })
    .await;
    world.controls[leader].signal(Signal::SIGCONT);
    for _ in 0..20 {
        let told = read_version(&world, leader).await;
        assert!(told.is_none() || told == second["Version"].as_u64(), "told {told:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_minority_answers_no_reads_and_acknowledges_nothing() {
    let mut world = World::start(3, 0).await;
    let first = world.document();
    world.put(&first).await;
    world.controls[0].signal(Signal::SIGSTOP);
    world.controls[1].signal(Signal::SIGSTOP);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let second = world.document();
    let put =
        tokio::time::timeout(Duration::from_secs(4), world.put_at(2, second.to_string().into()));
    assert_ne!(put.await.unwrap_or(None), Some(200));
    let read = tokio::time::timeout(Duration::from_secs(4), world.read_at(2)).await;
    assert_eq!(read.unwrap_or(None), None);
    world.controls[0].signal(Signal::SIGCONT);
    world.controls[1].signal(Signal::SIGCONT);
    wait_until("reads again", async || read_version(&world, 2).await.is_some()).await;
}

#[test]
fn unreadable_settings_are_reported_together_with_exit_code_2() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("settings.json");
    std::fs::write(&path, r#"{"Seeds": ["nowhere"], "Ip": 7}"#).unwrap();
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_bitternlead"))
        .args(["platform", "entry"])
        .env("BITTERNLEAD_SETTINGS", &path)
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr);
    for place in ["/NodeName", "/Zone", "/Ip", "/Seeds", "/PortRange"] {
        assert!(text.contains(place), "{place} is missing in {text}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_disk_that_refuses_writes_for_a_while_ends_no_process_and_loses_nothing() {
    let mut world = World::start(1, 0).await;
    let first = world.document();
    world.put(&first).await;
    world.set_fault(0, "store.replace=return").await;
    world.set_fault(0, "store.sync=return").await;
    let second = world.document();
    let refused = world.put_at(0, second.to_string().into());
    let refused = tokio::time::timeout(Duration::from_secs(4), refused).await;
    assert_ne!(refused.unwrap_or(None), Some(200), "acknowledged without a synced copy");
    wait_until("the failed write", async || !world.controls[0].log_lines("E304").is_empty()).await;
    world.set_fault(0, "store.sync=off").await;
    world.set_fault(0, "store.replace=off").await;
    world.put(&second).await;
    assert!(!world.controls[0].has_ended());
    assert!(!world.controls[0].log_lines("E309").is_empty());
    world.controls[0].restart();
    wait_until("the document", async || world.read_at(0).await == Some(second.clone())).await;
}

/// Three replicas, and three hosts without a disk that alone are named in the settings.
fn only_relays_named(entries: usize) -> Layout {
    Layout { controls: 6, disks: 3, entries, seeds: vec![3, 4, 5], tolerance: 1 }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cluster_forms_though_the_settings_name_no_host_with_a_disk() {
    let mut world = World::start_as(only_relays_named(1)).await;
    let document = world.document();
    world.put(&document).await;
    for at in 0..6 {
        wait_until("the document", async || world.read_at(at).await == Some(document.clone()))
            .await;
    }
    wait_until("readiness", async || world.readiness(0).await == 200).await;
    let formed = (0..3).filter(|at| !world.controls[*at].log_lines("E308").is_empty()).count();
    assert_eq!(formed, 3, "replicas that formed the cluster");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entries_find_the_replicas_again_though_the_settings_name_no_host_with_a_disk() {
    let mut world = World::start_as(only_relays_named(1)).await;
    let document = world.document();
    world.put(&document).await;
    wait_until("readiness", async || world.readiness(0).await == 200).await;
    for at in 0..6 {
        world.controls[at].kill();
        world.write_settings("control", at, false);
    }
    world.entries[0].kill();
    for at in 0..6 {
        world.controls[at].restart();
    }
    world.entries[0].restart();
    wait_until("readiness", async || world.readiness(0).await == 200).await;
    wait_until("the document at a relay", async || {
        world.read_at(4).await == Some(document.clone())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_replica_that_lost_its_disk_comes_back_over_a_host_without_one() {
    let mut world = World::start_as(only_relays_named(0)).await;
    let document = world.document();
    world.put(&document).await;
    world.controls[0].kill();
    std::fs::remove_dir_all(world.data_folder(0)).unwrap();
    for at in 0..6 {
        world.write_settings("control", at, false);
    }
    world.controls[0].restart();
    wait_until("the wiped replica's return", async || {
        !world.controls[0].log_lines("E307").is_empty()
            && world.read_at(0).await == Some(document.clone())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_lost_disks_at_once_lose_nothing_where_two_may_be_lost() {
    let seeds = vec![0, 2, 4];
    let layout = Layout { controls: 6, disks: 6, entries: 0, seeds, tolerance: 2 };
    let mut world = World::start_as(layout).await;
    for round in 0..3 {
        let document = world.document();
        world.put(&document).await;
        let lost = [2 * round, 2 * round + 1];
        for at in lost {
            world.controls[at].kill();
            std::fs::remove_dir_all(world.data_folder(at)).unwrap();
            world.write_settings("control", at, false);
        }
        let others = (lost[1] + 1) % 6;
        wait_until("the document without two replicas", async || {
            world.read_at(others).await == Some(document.clone())
        })
        .await;
        for at in lost {
            world.controls[at].restart();
        }
        for at in 0..6 {
            wait_until("the document", async || world.read_at(at).await == Some(document.clone()))
                .await;
        }
        // Replicas count again once they have caught up and votes are given to five of them.
        tokio::time::sleep(Duration::from_secs(4)).await;
    }
}
