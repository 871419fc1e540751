//! End-to-end tests of the system's guarantees, each under the failures that it has to survive.

mod testenv;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use testenv::{KEY, SystemConfig, TestEnv, check_tokens, run, streamed_text};

#[test]
fn a_prompt_gets_the_same_answer_with_and_without_streaming() {
    let env = TestEnv::start(SystemConfig::default());
    let whole = env.complete(0, "When does hall 3 open?", 20, false);
    assert_eq!((whole.status, whole.outcome.as_str()), (200, "done"), "{}", whole.body);
    let text = whole.json()["choices"][0]["text"].as_str().unwrap().to_owned();
    check_tokens(&text, 20).unwrap();
    let streamed = env.complete(0, "When does hall 3 open?", 20, true);
    assert_eq!(streamed_text(&streamed.body).as_deref(), Some(text.as_str()));
}

#[test]
fn invalid_requests_get_the_matching_status_codes() {
    let env = TestEnv::start(SystemConfig {
        entry_flags: ["--max-body", "20000", "--body-limit-ms", "400"].map(String::from).into(),
        ..SystemConfig::default()
    });
    let addr = env.entries[0].address("callers");
    let ask = |headers: &[(&str, &str)], body: &str| {
        let limit = Duration::from_secs(10);
        env.send(addr, "POST", "/v1/completions", headers, body.to_owned(), limit)
    };
    let bearer = format!("Bearer {}", testenv::KEY);
    let key: &[(&str, &str)] = &[("authorization", &bearer)];
    let cases = [
        (ask(&[], "{}"), 401),
        (ask(key, "{\"model\":"), 400),
        (ask(key, "{\"model\":\"m\",\"prompt\":7}"), 400),
        (ask(key, "{\"model\":\"m\",\"prompt\":\"x\",\"max_tokens\":0}"), 400),
        (ask(key, "{\"model\":\"no\",\"prompt\":\"x\"}"), 404),
        (ask(key, &"x".repeat(30_000)), 413),
    ];
    for (answer, status) in cases {
        assert_eq!((answer.status, answer.outcome.as_str()), (status, "not-run"));
        assert!(answer.json()["error"]["message"].is_string(), "{}", answer.body);
    }
    use std::io::{Read, Write};
    let mut slow = std::net::TcpStream::connect(addr).unwrap();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: {bearer}\r\n\
         content-length: 100\r\nconnection: close\r\n\r\n{{"
    );
    slow.write_all(head.as_bytes()).unwrap();
    let mut reply = String::new();
    let _ = slow.read_to_string(&mut reply);
    assert!(reply.starts_with("HTTP/1.1 408"), "{reply}");
}

#[test]
fn a_million_token_prompt_passes_where_it_fits_and_is_refused_at_once_where_not() {
    let env = TestEnv::start(SystemConfig {
        kv_tokens: 1_010_000,
        prefill_rate: 2_000_000.0,
        speed: 20.0,
        deadline_ms: 60_000,
        ..SystemConfig::default()
    });
    let prompt = "x".repeat(4_000_000);
    let answer = env.complete(0, &prompt, 5, true);
    let text = streamed_text(&answer.body).expect("a whole answer");
    check_tokens(&text, 5).unwrap();
    let start = Instant::now();
    let refused = env.complete(0, &prompt, 60_000, false);
    assert_eq!((refused.status, refused.outcome.as_str()), (413, "not-run"), "{}", refused.body);
    assert!(refused.body.contains("the largest engine has 1010000"), "{}", refused.body);
    let longer = env.complete(0, &"x".repeat(5_000_000), 5, false);
    assert_eq!((longer.status, longer.outcome.as_str()), (413, "not-run"), "{}", longer.body);
    let deadline = Duration::from_millis(env.cfg.deadline_ms);
    assert!(start.elapsed() < deadline / 2, "refused at once, not at the deadline");
}

#[test]
fn after_huge_prompts_cancels_and_kills_ledger_and_engine_stand_at_zero() {
    let mut env = TestEnv::start(SystemConfig {
        kv_tokens: 2_100_000,
        prefill_rate: 400_000.0,
        // Slow enough that a request which nobody cancels outlasts the timeout of this test.
        speed: 0.25,
        // Longer than the predicted time to the first token, or the prompts are rejected at once.
        deadline_ms: 12_000,
        ..SystemConfig::default()
    });
    let prompt = "y".repeat(3_900_000);
    let addr = env.entries[0].address("callers");
    for round in 0..3 {
        let body = serde_json::json!({ "model": "m", "prompt": prompt, "max_tokens": 50 });
        let bearer = format!("Bearer {}", testenv::KEY);
        let headers = [("authorization", bearer.as_str())];
        for _ in 0..4 {
            // The caller disconnects before the answer.
            let limit = Duration::from_millis(700);
            env.send(addr, "POST", "/v1/completions", &headers, body.to_string(), limit);
        }
        // A process is killed while the engine prefills a prompt.
        let late = std::thread::scope(|scope| {
            let asked = scope.spawn(|| env.complete(0, &prompt, 50, false));
            std::thread::sleep(Duration::from_millis(900));
            let kill = nix::sys::signal::Signal::SIGKILL;
            match round {
                0 => env.agents.iter().for_each(|a| a.signal(kill)),
                1 => env.entries[0].signal(kill),
                _ => env.agents[1].signal(kill),
            }
            asked.join().unwrap()
        });
        assert!(late.status != 200, "prefilled within the deadline: {late:?}");
        match round {
            0 => env.agents.iter_mut().for_each(testenv::Process::restart),
            1 => env.entries[0].restart(),
            _ => env.agents[1].restart(),
        }
        env.wait_serving();
    }
    env.wait("memory is released", |env| env.engine_kv() == 0 && env.ledger_kv() == 0);
}

#[test]
fn a_booking_is_replayed_and_a_changed_body_is_refused() {
    let env = TestEnv::start(SystemConfig { entries: 2, ..SystemConfig::default() });
    let first = env.call_service(0, "POST", "/book", Some("k1"), "{\"van\":1}");
    assert_eq!((first.status, first.outcome.as_str()), (200, "done"), "{}", first.body);
    let again = env.call_service(1, "POST", "/book", Some("k1"), "{\"van\":1}");
    assert_eq!((again.body.as_str(), again.replayed), (first.body.as_str(), true));
    let other = env.call_service(1, "POST", "/book", Some("k1"), "{\"van\":2}");
    assert_eq!((other.status, other.outcome.as_str()), (422, "not-run"));
    let status = env.call_service(0, "GET", "/status/7", None, "");
    assert_eq!((status.status, status.outcome.as_str()), (200, "done"));
    assert_eq!(env.run_counts().get("k1"), Some(&1));
}

#[test]
fn two_entries_racing_with_one_key_book_once() {
    let env = TestEnv::start(SystemConfig {
        entries: 2,
        service_delay_ms: 300,
        ..SystemConfig::default()
    });
    for round in 0..5 {
        let key = format!("race-{round}");
        let answers: Vec<_> = std::thread::scope(|scope| {
            let call = |entry| env.call_service(entry, "POST", "/book", Some(&key), "{}");
            let tasks: Vec<_> = (0..4).map(|n| scope.spawn(move || call(n % 2))).collect();
            tasks.into_iter().map(|t| t.join().unwrap()).collect()
        });
        for answer in &answers {
            assert_eq!((answer.status, answer.outcome.as_str()), (200, "done"));
            assert_eq!(answer.body, answers[0].body);
        }
        assert_eq!(env.run_counts().get(&key), Some(&1));
    }
}

#[test]
fn racing_operators_get_one_winner_and_resends_the_first_answer() {
    let env = TestEnv::start(SystemConfig { controls: 3, ..SystemConfig::default() });
    let base = env.status()["config_version"].as_u64().unwrap().to_string();
    let outputs: Vec<_> = std::thread::scope(|scope| {
        let race = |op: String| {
            let base = base.clone();
            let env = &env;
            scope.spawn(move || env.apply_with(&["--base", &base, "--operation", &op]))
        };
        let tasks: Vec<_> = (0..4).map(|n| race(format!("op-{n}"))).collect();
        tasks.into_iter().map(|t| t.join().unwrap()).collect()
    });
    let winners: Vec<_> = (0..4).filter(|n| outputs[*n].status.success()).collect();
    assert_eq!(winners.len(), 1, "{outputs:?}");
    for (n, output) in outputs.iter().enumerate() {
        let op = format!("op-{n}");
        let again = env.apply_with(&["--base", &base, "--operation", &op]);
        assert_eq!((&again.stdout, &again.stderr), (&output.stdout, &output.stderr));
        let text = String::from_utf8_lossy(&again.stderr).into_owned();
        let rejected = text.contains("is in force; look at it and apply again");
        assert_eq!(rejected, n != winners[0], "{text}");
    }
}

#[test]
fn a_configuration_is_in_force_everywhere_within_five_seconds() {
    let env = TestEnv::start(SystemConfig { controls: 3, entries: 2, ..SystemConfig::default() });
    for round in 0..4 {
        let more = format!("[[model]]\nname = \"extra-{round}\"\n");
        env.write_config(&env.rules(&more));
        let start = Instant::now();
        let applied = env.apply_with(&["--wait"]);
        assert!(applied.status.success(), "{}", String::from_utf8_lossy(&applied.stderr));
        assert!(start.elapsed() < Duration::from_secs(5), "in force within 5 s");
    }
}

#[test]
fn apply_waits_for_the_leader_whichever_replica_is_listed_first() {
    let env = TestEnv::start(SystemConfig { controls: 3, ..SystemConfig::default() });
    let (inventory, rules) = (env.path("inventory.csv"), env.path("rules.toml"));
    let mut addresses: Vec<String> =
        env.controls.iter().map(|c| c.address("operators").to_string()).collect();
    for round in 0..3 {
        env.write_config(&env.rules(&format!("[[model]]\nname = \"extra-{round}\"\n")));
        let operators = addresses.join(",");
        let start = Instant::now();
        let files = ["--inventory", &inventory, "--rules", &rules];
        let applied = run(&[&["apply", "--wait", "--operators", &operators][..], &files].concat());
        assert!(applied.status.success(), "{}", String::from_utf8_lossy(&applied.stderr));
        assert!(start.elapsed() < Duration::from_secs(5), "{operators}: {:?}", start.elapsed());
        addresses.rotate_left(1);
    }
}

#[test]
fn a_node_near_an_isolated_leader_never_applies_an_older_configuration() {
    let mut env = TestEnv::start(SystemConfig { controls: 3, ..SystemConfig::default() });
    let leader = env.leader().unwrap();
    // Isolates the leader in both directions while its connections stay open.
    for step in ["wire.send", "wire.receive", "peer.send"] {
        env.set_fault(&env.controls[leader], step, "return(drop)");
    }
    env.wait("another leader", |env| env.leader().is_some_and(|l| l != leader));
    for round in 0..30 {
        let more = format!("[[model]]\nname = \"later-{round}\"\n");
        env.write_config(&env.rules(&more));
        let operators: Vec<String> = (0..3)
            .filter(|at| *at != leader)
            .map(|at| env.controls[at].address("operators").to_string())
            .collect();
        let (inventory, rules) = (env.path("inventory.csv"), env.path("rules.toml"));
        let operators = operators.join(",");
        let applied = run(&[
            "apply",
            "--inventory",
            &inventory,
            "--rules",
            &rules,
            "--operators",
            &operators,
        ]);
        assert!(applied.status.success(), "{}", String::from_utf8_lossy(&applied.stderr));
    }
    let version = env.status()["config_version"].as_u64().unwrap();
    let old = env.get(env.controls[leader].address("operators"), "/v1/config");
    assert_eq!(old.status, 421, "an isolated leader serves no configuration: {}", old.body);
    env.entries[0].restart();
    env.wait_serving();
    let in_force = |env: &TestEnv| {
        let metrics = env.get(env.entries[0].address("admin"), "/metrics").body;
        metrics.contains(&format!("bitternlead_config_version {version}\n"))
    };
    env.wait("the newest configuration on the restarted entry", in_force);
    for step in ["wire.send", "wire.receive", "peer.send"] {
        env.set_fault(&env.controls[leader], step, "off");
    }
    env.wait("the old leader catches up", |env| {
        let status = env.get(env.controls[leader].address("operators"), "/v1/status").json();
        status["config_version"].as_u64() == Some(version)
    });
    assert!(in_force(&env));
}

#[test]
fn without_a_quorum_nodes_reject_requests() {
    let mut env = TestEnv::start(SystemConfig { controls: 3, ..SystemConfig::default() });
    let leader = env.leader().unwrap();
    for at in 0..3 {
        if at != leader {
            env.controls[at].kill();
        }
    }
    let addr = env.entries[0].address("admin");
    env.wait("the entry is unready", |env| env.get(addr, "/readyz").status == 503);
    let refused = env.complete(0, "hello", 3, false);
    assert_eq!((refused.status, refused.outcome.as_str()), (503, "not-run"));
    assert!(refused.retry_after.is_some());
    for at in 0..3 {
        if at != leader {
            env.controls[at].restart();
        }
    }
    env.wait("the entry is ready again", |env| env.get(addr, "/readyz").status == 200);
}

#[test]
fn a_drained_host_gets_no_new_work_and_a_stop_cuts_no_request() {
    let mut env = TestEnv::start(SystemConfig { deadline_ms: 20_000, ..SystemConfig::default() });
    let answers: Vec<_> = std::thread::scope(|scope| {
        let env = &env;
        let call = move |n: usize| {
            std::thread::sleep(Duration::from_millis(n as u64 * 40));
            env.complete(0, &format!("question {n}"), 60, true)
        };
        let tasks: Vec<_> = (0..40).map(|n| scope.spawn(move || call(n))).collect();
        std::thread::sleep(Duration::from_millis(400));
        let drained = run(&["drain", "h0", "--wait", "--operators", &env.operators()]);
        assert!(drained.status.success(), "{}", String::from_utf8_lossy(&drained.stderr));
        env.agents[0].signal(nix::sys::signal::Signal::SIGTERM);
        tasks.into_iter().map(|t| t.join().unwrap()).collect()
    });
    for answer in answers {
        let text = streamed_text(&answer.body).expect("no request is cut");
        check_tokens(&text, 60).unwrap();
    }
    assert_eq!(env.agents[0].wait_exit(), Some(0));
    let load = env.get(env.stand_ins[0].address("engine-0"), "/true-load").json();
    assert_eq!(load["running"].as_array().unwrap().len(), 0);
}

/// Guards against drains of zones that the product's own entries and agents do not follow.
#[test]
fn a_drained_zone_gets_no_new_work_until_it_returns() {
    let env = TestEnv::start(SystemConfig { deadline_ms: 20_000, ..SystemConfig::default() });
    let operators = env.operators();
    // Most requests that were seen running at each engine at once, while 24 requests are served.
    let ask_all = || {
        let mut most = vec![0; env.stand_ins.len()];
        std::thread::scope(|scope| {
            let env = &env;
            let call = move |n| env.complete(0, &format!("question {n}"), 60, true);
            let tasks: Vec<_> = (0..24).map(|n| scope.spawn(move || call(n))).collect();
            while !tasks.iter().all(|task| task.is_finished()) {
                for (at, most) in most.iter_mut().enumerate() {
                    let engine = env.stand_ins[at].address("engine-0");
                    let load = env.get(engine, "/true-load").json();
                    *most = load["running"].as_array().unwrap().len().max(*most);
                }
            }
            for task in tasks {
                let text = streamed_text(&task.join().unwrap().body).expect("served elsewhere");
                check_tokens(&text, 60).unwrap();
            }
        });
        most
    };
    let drain = |args: &[&str]| {
        let all = [&["drain"], args, &["--operators", &operators]].concat();
        let output = run(&all);
        (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
    };
    assert_eq!(drain(&["--zone", "z0", "--wait"]).0, Some(0));
    assert_eq!(env.status()["drained_zones"], serde_json::json!(["z0"]));
    let leaving = |zone: &str| {
        let status = env.status();
        let of_zone = status["endpoints"].as_array().unwrap().iter().filter(|e| e["zone"] == zone);
        of_zone.map(|e| e["leaving"] == true).collect::<Vec<bool>>()
    };
    assert!(!leaving("z0").is_empty() && leaving("z0").iter().all(|l| *l), "{:?}", leaving("z0"));
    assert!(leaving("z1").iter().all(|l| !*l));
    let most = ask_all();
    assert_eq!(most[0], 0, "requests ran in the drained zone: {most:?}");
    assert!(most[1..].iter().sum::<usize>() > 0, "no request was seen running: {most:?}");
    let (code, text) = drain(&["--zone", "nowhere"]);
    assert!(code == Some(1) && text.contains("z0"), "{code:?} {text}");
    assert_eq!(drain(&["h0", "--zone", "z0"]).0, Some(2), "both a host and a zone");
    assert_eq!(drain(&[]).0, Some(2), "neither a host nor a zone");
    assert_eq!(drain(&["--zone", "z0", "--undo"]).0, Some(0));
    assert_eq!(env.status()["drained_zones"], serde_json::json!([]));
}

#[test]
fn an_entry_that_is_told_to_stop_finishes_its_requests() {
    let mut env = TestEnv::start(SystemConfig { deadline_ms: 20_000, ..SystemConfig::default() });
    let answers: Vec<_> = std::thread::scope(|scope| {
        let env = &env;
        let call = move |n| env.complete(0, &format!("question {n}"), 80, true);
        let tasks: Vec<_> = (0..8).map(|n| scope.spawn(move || call(n))).collect();
        std::thread::sleep(Duration::from_millis(300));
        env.entries[0].signal(nix::sys::signal::Signal::SIGTERM);
        tasks.into_iter().map(|t| t.join().unwrap()).collect()
    });
    for answer in answers {
        check_tokens(&streamed_text(&answer.body).expect("whole"), 80).unwrap();
    }
    assert_eq!(env.entries[0].wait_exit(), Some(0));
}

#[test]
fn an_entry_that_is_told_to_stop_becomes_unready_first_and_stays_unready() {
    let env = TestEnv::start(SystemConfig { deadline_ms: 20_000, ..SystemConfig::default() });
    let addr = env.entries[0].address("admin");
    let seen: Vec<u16> = std::thread::scope(|scope| {
        let asked = scope.spawn(|| env.complete(0, "a long answer", 150, true));
        std::thread::sleep(Duration::from_millis(300));
        env.entries[0].signal(nix::sys::signal::Signal::SIGTERM);
        env.wait("unready", |env| env.get(addr, "/readyz").status == 503);
        let mut seen = Vec::new();
        while !asked.is_finished() {
            seen.push(env.get(addr, "/readyz").status);
        }
        seen
    });
    assert!(seen.len() > 10, "probed while the request ran");
    assert!(!seen.contains(&200), "ready again during the drain");
}

/// Guards against a booking whose body is still on its way when the entry is told to stop: it was passed
/// on while the entry drained, and cut off at the end of that time.
#[test]
fn a_booking_that_is_whole_only_during_the_drain_is_refused_unrun() {
    let env = TestEnv::start(SystemConfig { deadline_ms: 20_000, ..SystemConfig::default() });
    let mut stream = TcpStream::connect(env.entries[0].address("callers")).unwrap();
    let head = format!(
        "POST /services/orders/book HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer {KEY}\r\n\
         Idempotency-Key: late\r\nConnection: close\r\nContent-Length: 20\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).unwrap();
    std::thread::sleep(Duration::from_millis(300));
    env.entries[0].signal(nix::sys::signal::Signal::SIGTERM);
    for _ in 0..20 {
        stream.write_all(b"x").unwrap();
        std::thread::sleep(Duration::from_millis(100));
    }
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("bitternlead-outcome: not-run"), "{answer}");
}

#[test]
fn an_old_agent_that_resumes_after_its_replacement_started_is_fenced() {
    let env = TestEnv::start(SystemConfig { agents: 1, ..SystemConfig::default() });
    env.agents[0].suspend();
    let newer = env.spawn_agent(0);
    env.wait("the replacement serves", |env| {
        let answer = env.complete(0, "hello", 2, false);
        answer.status == 200
    });
    let placed = run(&["order", "e0", "set-role", "decode", "--operators", &env.operators()]);
    assert!(placed.status.success());
    let log = |env: &TestEnv| {
        let orders = env.get(env.stand_ins[0].address("engine-0"), "/orders").json();
        let all = orders.as_array().cloned().unwrap_or_default();
        all.iter().filter(|o| o["kind"] == "set-role").count()
    };
    env.wait("the order is done", |env| log(env) == 1);
    env.agents[0].resume();
    env.wait("the old agent notices", |env| env.agents[0].log().contains("newer run"));
    std::thread::sleep(Duration::from_millis(1500));
    assert_eq!(log(&env), 1, "the old agent executes no order");
    for _ in 0..5 {
        assert_eq!(env.complete(0, "hello", 2, false).status, 200);
    }
    drop(newer);
}

#[test]
fn a_failed_sync_ends_the_process_and_nothing_accepted_is_lost() {
    for fault in ["store.sync", "store.write"] {
        let mut env = TestEnv::start(SystemConfig { controls: 3, ..SystemConfig::default() });
        let leader = env.leader().unwrap();
        let action = if fault == "store.write" { "return(short)" } else { "return(error)" };
        env.set_fault(&env.controls[leader], fault, action);
        let applied = env.apply();
        assert!(applied.status.success(), "{}", String::from_utf8_lossy(&applied.stderr));
        assert_eq!(env.controls[leader].wait_exit(), Some(3), "exit code of the data folder");
        let version = env.status()["config_version"].as_u64().unwrap();
        env.controls[leader].restart();
        env.wait("the replica is back", |env| {
            let status = env.get(env.controls[leader].address("operators"), "/v1/status").json();
            status["config_version"].as_u64() == Some(version)
        });
    }
}

#[test]
fn a_replica_with_a_lost_disk_comes_back_as_a_new_member() {
    let mut env = TestEnv::start(SystemConfig { controls: 3, ..SystemConfig::default() });
    let booked = env.call_service(0, "POST", "/book", Some("before"), "{}");
    assert_eq!(booked.outcome, "done");
    let lost = (env.leader().unwrap() + 1) % 3;
    let old = env.get(env.controls[lost].address("operators"), "/v1/status").json();
    env.controls[lost].kill();
    std::fs::remove_dir_all(env.path(&format!("control-{lost}"))).unwrap();
    // The first replica was started without --join, so the flag is set for the restart.
    let others = (0..3).filter(|at| *at != lost).map(|at| env.controls[at].address("control"));
    let join = others.map(|a| a.to_string()).collect::<Vec<_>>().join(",");
    env.controls[lost].set_flag("--join", &join);
    env.controls[lost].restart();
    env.wait("the new member votes", |env| {
        let status = env.status();
        let replicas = status["replicas"].as_array().cloned().unwrap_or_default();
        let voters = replicas.iter().filter(|r| r["voter"] == true).count();
        voters == 3 && !replicas.iter().any(|r| r["id"] == old["replica"])
    });
    // A second replica loses its disk right after the repair.
    let second = (lost + 1) % 3;
    env.controls[second].kill();
    std::fs::remove_dir_all(env.path(&format!("control-{second}"))).unwrap();
    env.wait("the others go on", |env| env.leader().is_some());
    let again = env.call_service(0, "POST", "/book", Some("before"), "{}");
    assert_eq!((again.outcome.as_str(), again.replayed), ("done", true), "{}", again.body);
    assert_eq!(env.run_counts().get("before"), Some(&1));
}
