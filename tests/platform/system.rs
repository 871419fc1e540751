//! Control: forming the cluster, configuration documents, and failures of replicas and disks.

use std::time::Duration;

use bitternlead::platform::settings::PlatformSettings;
use nix::sys::signal::Signal;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;

use crate::deployment::{Deployment, Layout, wait_until};

async fn read_version(nodes: &Deployment, at: usize) -> Option<u64> {
    nodes.read_at(at).await.and_then(|d| d["Version"].as_u64())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn three_replicas_found_one_cluster_and_the_highest_version_wins() {
    let mut nodes = Deployment::start(3, 1).await;
    let (first, second) = (nodes.document(), nodes.document());
    nodes.put(&second).await;
    nodes.put(&first).await;
    nodes.put(&second).await;
    for at in 0..3 {
        assert_eq!(nodes.read_at(at).await, Some(second.clone()), "replica {at}");
    }
    let mut other = second.clone();
    other["Routes"][0]["TimeoutMs"] = 1.into();
    nodes.put(&other).await;
    assert_eq!(
        nodes.read_at(0).await,
        Some(second),
        "different content under a known version must not replace it"
    );
    wait_until("readiness", async || nodes.readiness(0).await == 200).await;
}

/// Half of the smallest disk of the deployments, which has 64 MB.
const DISK_BOUND_BYTES: u64 = 32 * 1024 * 1024;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_documents_in_succession_do_not_fill_the_disk() {
    let mut nodes = Deployment::start(1, 0).await;
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..46 {
        let mut document = nodes.document();
        let random: String = (0..400_000).map(|_| format!("{:08x}", rng.next_u32())).collect();
        document["Notes"] = random.into();
        nodes.put(&document).await;
        let files = std::fs::read_dir(nodes.data_folder(0)).unwrap();
        let used: u64 = files.filter_map(|f| Some(f.ok()?.metadata().ok()?.len())).sum();
        assert!(used <= DISK_BOUND_BYTES, "{used} bytes of disk are used");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_documents_are_refused_and_change_nothing() {
    let mut nodes = Deployment::start(1, 0).await;
    let good = nodes.document();
    nodes.put(&good).await;
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
        let status = nodes.put_at(0, document.to_string().into()).await;
        assert_eq!(status, Some(400), "{name}");
    }
    let text = good.to_string();
    let cut = text.as_bytes()[..text.len() / 2].to_vec();
    assert_eq!(nodes.put_at(0, cut.into()).await, Some(400), "cut short");
    assert_eq!(nodes.read_at(0).await, Some(good));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_was_acknowledged_outlives_any_replica_and_its_disk() {
    let mut nodes = Deployment::start(3, 0).await;
    let document = nodes.document();
    nodes.put(&document).await;
    for at in 0..3 {
        nodes.controls[at].kill();
        std::fs::remove_dir_all(nodes.data_folder(at)).unwrap();
        nodes.write_settings("control", at, false);
        nodes.controls[at].restart();
        let next = nodes.document();
        nodes.put(&next).await;
        let wanted = next["Version"].as_u64();
        wait_until("the wiped replica's return", async || {
            let lines_logged = nodes.controls[at].log_lines("E307").len();
            lines_logged > 0 && read_version(&nodes, at).await == wanted
        })
        .await;
        // The replica counts towards the quorum again only once it is a voter.
        tokio::time::sleep(Duration::from_secs(2)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_replicas_may_be_killed_at_once() {
    let mut nodes = Deployment::start(3, 1).await;
    let document = nodes.document();
    nodes.put(&document).await;
    for at in 0..3 {
        nodes.controls[at].kill();
    }
    nodes.entries[0].kill();
    for at in 0..3 {
        nodes.controls[at].restart();
    }
    nodes.entries[0].restart();
    wait_until("the document", async || nodes.read_at(0).await == Some(document.clone())).await;
    wait_until("readiness", async || nodes.readiness(0).await == 200).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_frozen_leader_is_replaced_and_never_tells_what_is_old() {
    let mut nodes = Deployment::start(3, 0).await;
    let first = nodes.document();
    nodes.put(&first).await;
    let mut leader = None;
    wait_until("a leader", async || {
        leader = (0..3).find(|at| !nodes.controls[*at].log_lines("E300").is_empty());
        leader.is_some()
    })
    .await;
    let leader = leader.unwrap();
    nodes.controls[leader].signal(Signal::SIGSTOP);
    let second = nodes.document();
    let others: Vec<usize> = (0..3).filter(|at| *at != leader).collect();
    wait_until("another leader", async || {
        let status = tokio::time::timeout(
            Duration::from_secs(2),
            nodes.put_at(others[0], second.to_string().into()),
        );
        status.await == Ok(Some(200))
    })
    .await;
    nodes.controls[leader].signal(Signal::SIGCONT);
    for _ in 0..20 {
        let version = read_version(&nodes, leader).await;
        assert!(version.is_none() || version == second["Version"].as_u64(), "read {version:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_minority_answers_no_reads_and_acknowledges_nothing() {
    let mut nodes = Deployment::start(3, 0).await;
    let first = nodes.document();
    nodes.put(&first).await;
    nodes.controls[0].signal(Signal::SIGSTOP);
    nodes.controls[1].signal(Signal::SIGSTOP);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let second = nodes.document();
    let put =
        tokio::time::timeout(Duration::from_secs(4), nodes.put_at(2, second.to_string().into()));
    assert_ne!(put.await.unwrap_or(None), Some(200));
    let read = tokio::time::timeout(Duration::from_secs(4), nodes.read_at(2)).await;
    assert_eq!(read.unwrap_or(None), None);
    nodes.controls[0].signal(Signal::SIGCONT);
    nodes.controls[1].signal(Signal::SIGCONT);
    wait_until("reads again", async || read_version(&nodes, 2).await.is_some()).await;
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

#[test]
fn ports_and_counts_are_not_cut_to_fit() {
    let settings = |first_port: u64, tolerance: f64| {
        serde_json::json!({
            "NodeName": "n", "Zone": "z", "Ip": "10.0.0.1", "Seeds": [],
            "PortRange": [first_port, first_port + 15],
            "FaultTolerance": {"Machines": tolerance},
        })
    };
    let decode = |value: &Value| {
        PlatformSettings::decode("settings.json", value).map_err(|findings| findings.to_string())
    };
    let mut valid = settings(7340, 2.0);
    assert_eq!(decode(&valid).unwrap().tolerance, 2);
    for port in [0, 65_535, 65_536, 72_876] {
        valid["PortRange"] = serde_json::json!([port, port + 1]);
        let findings = decode(&valid).unwrap_err();
        assert!(findings.contains("/PortRange"), "{port}: {findings}");
    }
    let findings = decode(&settings(7340, 1.5)).unwrap_err();
    assert!(findings.contains("/FaultTolerance/Machines"), "{findings}");
}

/// Guards against a memory limit that is read in another unit, or taken for one where there is none.
#[test]
fn a_memory_limit_is_read_in_megabytes_and_missing_or_zero_is_none() {
    let settings = |limits: Value| {
        let value = serde_json::json!({
            "NodeName": "n", "Zone": "z", "Ip": "10.0.0.1", "Seeds": [],
            "PortRange": [7340, 7355], "Limits": limits,
        });
        PlatformSettings::decode("settings.json", &value).map(|settings| settings.memory_limit)
    };
    assert_eq!(settings(serde_json::json!({"MemoryMb": 160})).unwrap(), Some(160_000_000));
    for none in [serde_json::json!({}), serde_json::json!({"MemoryMb": 0}), Value::Null] {
        assert_eq!(settings(none).unwrap(), None);
    }
    let findings = settings(serde_json::json!({"MemoryMb": "much"})).unwrap_err().to_string();
    assert!(findings.contains("/Limits/MemoryMb"), "{findings}");
}

#[test]
fn evidence_is_shared_only_where_the_settings_call_for_it() {
    let settings = |contracts: Value| {
        let value = serde_json::json!({
            "NodeName": "n", "Zone": "z", "Ip": "10.0.0.1", "Seeds": [],
            "PortRange": [7340, 7355], "Contracts": contracts,
        });
        PlatformSettings::decode("settings.json", &value).unwrap().pooled_evidence
    };
    assert!(settings(serde_json::json!(["giants", "places"])));
    for other in [serde_json::json!([]), serde_json::json!(["marketplaces"]), Value::Null] {
        assert!(!settings(other));
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_disk_that_refuses_writes_for_a_while_ends_no_process_and_loses_nothing() {
    let mut nodes = Deployment::start(1, 0).await;
    let first = nodes.document();
    nodes.put(&first).await;
    nodes.set_fault(0, "store.replace=return").await;
    nodes.set_fault(0, "store.sync=return").await;
    let second = nodes.document();
    let refused = nodes.put_at(0, second.to_string().into());
    let refused = tokio::time::timeout(Duration::from_secs(4), refused).await;
    assert_ne!(refused.unwrap_or(None), Some(200), "acknowledged without a synced copy");
    wait_until("the failed write", async || !nodes.controls[0].log_lines("E304").is_empty()).await;
    nodes.set_fault(0, "store.sync=off").await;
    nodes.set_fault(0, "store.replace=off").await;
    nodes.put(&second).await;
    assert!(!nodes.controls[0].has_ended());
    // Lines are written by a thread of their own, so this one may follow the acknowledgement.
    let rewritten = async || !nodes.controls[0].log_lines("E309").is_empty();
    wait_until("the line about the rewritten folder", rewritten).await;
    nodes.controls[0].restart();
    wait_until("the document", async || nodes.read_at(0).await == Some(second.clone())).await;
}

/// Three hosts with a disk and three without; the seeds of all settings are the latter.
fn layout_with_relay_seeds(entries: usize) -> Layout {
    Layout { controls: 6, disks: 3, entries, seeds: vec![3, 4, 5], tolerance: 1 }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cluster_forms_though_the_settings_name_no_host_with_a_disk() {
    let mut nodes = Deployment::start_layout(layout_with_relay_seeds(1)).await;
    let document = nodes.document();
    nodes.put(&document).await;
    for at in 0..6 {
        wait_until("the document", async || nodes.read_at(at).await == Some(document.clone()))
            .await;
    }
    wait_until("readiness", async || nodes.readiness(0).await == 200).await;
    let formed = (0..3).filter(|at| !nodes.controls[*at].log_lines("E308").is_empty()).count();
    assert_eq!(formed, 3, "replicas that formed the cluster");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entries_find_the_replicas_again_though_the_settings_name_no_host_with_a_disk() {
    let mut nodes = Deployment::start_layout(layout_with_relay_seeds(1)).await;
    let document = nodes.document();
    nodes.put(&document).await;
    wait_until("readiness", async || nodes.readiness(0).await == 200).await;
    for at in 0..6 {
        nodes.controls[at].kill();
        nodes.write_settings("control", at, false);
    }
    nodes.entries[0].kill();
    for at in 0..6 {
        nodes.controls[at].restart();
    }
    nodes.entries[0].restart();
    wait_until("readiness", async || nodes.readiness(0).await == 200).await;
    wait_until("the document at a relay", async || {
        nodes.read_at(4).await == Some(document.clone())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_replica_that_lost_its_disk_comes_back_over_a_host_without_one() {
    let mut nodes = Deployment::start_layout(layout_with_relay_seeds(0)).await;
    let document = nodes.document();
    nodes.put(&document).await;
    nodes.controls[0].kill();
    std::fs::remove_dir_all(nodes.data_folder(0)).unwrap();
    for at in 0..6 {
        nodes.write_settings("control", at, false);
    }
    nodes.controls[0].restart();
    wait_until("the wiped replica's return", async || {
        !nodes.controls[0].log_lines("E307").is_empty()
            && nodes.read_at(0).await == Some(document.clone())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_lost_disks_at_once_lose_nothing_where_two_may_be_lost() {
    let seeds = vec![0, 2, 4];
    let layout = Layout { controls: 6, disks: 6, entries: 0, seeds, tolerance: 2 };
    let mut nodes = Deployment::start_layout(layout).await;
    for round in 0..3 {
        let document = nodes.document();
        nodes.put(&document).await;
        let lost = [2 * round, 2 * round + 1];
        for at in lost {
            nodes.controls[at].kill();
            std::fs::remove_dir_all(nodes.data_folder(at)).unwrap();
            nodes.write_settings("control", at, false);
        }
        let others = (lost[1] + 1) % 6;
        wait_until("the document without two replicas", async || {
            nodes.read_at(others).await == Some(document.clone())
        })
        .await;
        for at in lost {
            nodes.controls[at].restart();
        }
        for at in 0..6 {
            wait_until("the document", async || nodes.read_at(at).await == Some(document.clone()))
                .await;
        }
        // The replicas count towards the quorum again once they have caught up and are voters; five
        // of the six have a vote.
        tokio::time::sleep(Duration::from_secs(4)).await;
    }
}
