//! Commands of `docs/OPERATIONS.md`, errors in settings and files, exit codes, restarts and invalid
//! frames, tested with the built binary.

mod testenv;

use std::process::Command;

use testenv::{SystemConfig, TestEnv, binary, run};

/// Returns the lines of `docs/OPERATIONS.md` that are commands of the binary.
fn documented_commands() -> Vec<String> {
    let page = std::fs::read_to_string("docs/OPERATIONS.md").unwrap();
    let lines = page.lines().map(str::trim).filter(|l| l.starts_with("bitternlead "));
    lines.map(str::to_owned).collect()
}

#[test]
fn every_command_of_the_operators_page_works() {
    let mut env = TestEnv::start(SystemConfig { controls: 3, ..SystemConfig::default() });
    let operators = env.operators();
    let status = env.status();
    let replica = status["replicas"].as_array().unwrap().iter().find(|r| r["leader"] == false);
    let replica = replica.unwrap()["id"].as_str().unwrap().to_owned();
    let request_log = r#"{"ts":"2026-03-04T10:00:00Z","msg":"request refused","event":"E600","node":"n","role":"entry","request":"4f"}"#;
    std::fs::write(env.path("request.log"), request_log).unwrap();
    let mut commands_run = 0;
    for line in documented_commands() {
        let line = line
            .replace(
                "--inventory inventory.toml",
                &format!("--inventory {}", env.path("inventory.csv")),
            )
            .replace("rules.toml", &env.path("rules.toml"))
            .replace("IP:7401", &operators)
            .replace("HOST", "h0")
            .replace("ENDPOINT", "e0")
            .replace("ZONE", "z0")
            .replace("MODEL", "m")
            .replace("IDENTITY", &replica)
            .replace("REQUEST LOGS", &format!("4f {}", env.path("request.log")))
            .replace("ENTRY_LOGS", &env.path("request.log"));
        let args: Vec<&str> = line.split_whitespace().skip(1).collect();
        if ["control", "agent", "entry"].contains(&args[0]) {
            // The test environment runs the roles; of these lines only the flags are checked
            // against the help text.
            let help = Command::new(binary()).args([args[0], "--help"]).output().unwrap();
            let help = String::from_utf8_lossy(&help.stdout).into_owned();
            for flag in args.iter().filter(|a| a.starts_with("--")) {
                assert!(help.contains(flag), "{line}");
            }
            continue;
        }
        let output =
            Command::new(binary()).args(&args).env("BITTERNLEAD_OPERATORS", &operators).output();
        let output = output.unwrap();
        let text =
            String::from_utf8_lossy(&[&output.stdout[..], &output.stderr].concat()).into_owned();
        // `init` fails because the cluster of this test is formed already.
        let expected_code = if args[0] == "init" { 1 } else { 0 };
        assert_eq!(output.status.code(), Some(expected_code), "{line}: {text}");
        commands_run += 1;
    }
    assert!(commands_run >= 10, "docs/OPERATIONS.md lists too few commands");
    env.cfg.controls = 2;
}

#[test]
fn a_formed_cluster_is_not_formed_again() {
    let env = TestEnv::start(SystemConfig { agents: 1, ..SystemConfig::default() });
    let output = run(&["init", "--operators", &env.operators()]);
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(text.contains("belongs to a cluster already"), "{text}");
}

#[test]
fn all_settings_findings_come_at_once_and_nothing_starts() {
    let output = Command::new(binary())
        .args(["control", "--listen", "nowhere", "--heartbeat-ms", "700", "--join", "a,b"])
        .env("BITTERNLEAD_LEASE_MS", "1")
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(output.stdout.is_empty());
    insta::assert_snapshot!(String::from_utf8_lossy(&output.stderr));
}

#[test]
fn bad_files_are_refused_with_their_place_and_change_nothing() {
    let env = TestEnv::start(SystemConfig { agents: 1, ..SystemConfig::default() });
    let before = env.status()["config_version"].clone();
    std::fs::write(env.path("inventory.csv"), "name,host,zone\nx,,z\n").unwrap();
    let applied = env.apply();
    assert_eq!(applied.status.code(), Some(1));
    let text = String::from_utf8_lossy(&applied.stderr).into_owned();
    assert!(text.contains("inventory.csv:2: host is missing"), "{text}");
    std::fs::write(env.path("inventory.csv"), [0xff, 0xfe, 0x00]).unwrap();
    let applied = env.apply();
    assert_eq!(applied.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&applied.stderr).contains("invalid UTF-8 at byte 0"));
    assert_eq!(env.status()["config_version"], before);
}

#[test]
fn burn_counts_survive_a_restart_of_control() {
    let mut env = TestEnv::start(SystemConfig { agents: 1, ..SystemConfig::default() });
    for n in 0..5 {
        assert_eq!(env.complete(0, &format!("question {n}"), 2, false).status, 200);
    }
    env.entries[0].signal(nix::sys::signal::Signal::SIGTERM);
    assert_eq!(env.entries[0].wait_exit(), Some(0));
    env.controls[0].restart();
    let short_total = |env: &TestEnv| {
        let lines = env.get(env.controls[0].address("operators"), "/v1/burn").json();
        let lines = lines.as_array().cloned().unwrap_or_default();
        let short_lines = lines.iter().filter(|l| l["class"] == "short");
        short_lines.map(|l| l["total"].as_u64().unwrap_or(0)).sum::<u64>()
    };
    env.wait("the counts are there", |env| short_total(env) >= 5);
    for form in ["table", "json", "html"] {
        let burn = run(&["burn", "--form", form, "--operators", &env.operators()]);
        assert!(burn.status.success());
        assert!(String::from_utf8_lossy(&burn.stdout).contains("short"), "{form}");
    }
}

#[test]
fn garbage_on_a_link_is_refused_and_the_process_goes_on() {
    use std::io::{Read, Write};
    let env = TestEnv::start(SystemConfig { agents: 1, ..SystemConfig::default() });
    for addr in [env.agents[0].address("agent"), env.controls[0].address("control")] {
        for garbage in [&b"GET / HTTP/1.1\r\n\r\n"[..], &[0xff; 64], &[0, 0, 0, 2, 8, 1]] {
            let mut link = std::net::TcpStream::connect(addr).unwrap();
            link.write_all(garbage).unwrap();
            let _ = link.shutdown(std::net::Shutdown::Write);
            let mut reply = Vec::new();
            let _ = link.read_to_end(&mut reply);
        }
    }
    // The logger writes in a thread of its own.
    env.wait("the log says so", |env| env.agents[0].log().contains("frame refused"));
    assert_eq!(env.complete(0, "hello", 2, false).status, 200);
}
