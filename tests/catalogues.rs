//! Pages that are printed from the code: `UPDATE_DOCS=1` writes them anew.

use std::collections::BTreeSet;
use std::process::Command;

use bitternlead::cli::{AgentOptions, ControlOptions, EntryOptions};
use bitternlead::events::Event;
use bitternlead::settings::PREFIX;

fn compare(path: &str, wanted: &str) {
    if std::env::var("UPDATE_DOCS").is_ok() {
        std::fs::write(path, wanted).unwrap();
    }
    let held = std::fs::read_to_string(path).unwrap_or_default();
    assert_eq!(held, wanted, "{path} is behind the code; run with UPDATE_DOCS=1");
}

fn sources() -> Vec<(String, String)> {
    let mut files = Vec::new();
    let mut folders = vec![std::path::PathBuf::from("src")];
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(folder).unwrap() {
            let path = entry.unwrap().path();
            if path.is_dir() {
                folders.push(path);
            } else {
                let name = path.display().to_string();
                files.push((name, std::fs::read_to_string(&path).unwrap()));
            }
        }
    }
    files
}

#[test]
fn the_catalogue_of_events_is_that_of_the_code() {
    let mut page = String::from(
        "# Events\n\nEvery log line has one of these numbers in its field `event`. What an \
         operator does about them stands in `OPERATIONS.md`.\n\n\
         | event | level | message |\n| --- | --- | --- |\n",
    );
    for event in Event::ALL {
        let level = event.level().as_str().to_lowercase();
        page.push_str(&format!("| {event} | {level} | {} |\n", event.text()));
    }
    compare("docs/EVENTS.md", &page);
}

#[test]
fn every_event_has_one_number_and_is_logged_somewhere() {
    let numbers: BTreeSet<u32> = Event::ALL.iter().map(|e| *e as u32).collect();
    assert_eq!(numbers.len(), Event::ALL.len());
    let code: String = sources().into_iter().map(|(_, text)| text).collect();
    let code: String = code.split_whitespace().collect();
    for event in Event::ALL {
        let logged = format!(",{event:?}").replace(' ', "");
        let uses = [format!("{logged},"), format!("{logged})")];
        assert!(uses.iter().any(|u| code.contains(u.as_str())), "{event:?} is never logged");
    }
}

#[test]
fn the_settings_page_is_what_the_help_prints() {
    let mut page = String::from(
        "# Settings\n\nEach flag may be given as an environment variable instead: \
         `--admin-listen` as `BITTERNLEAD_ADMIN_LISTEN`. A flag goes before its variable. All \
         findings of a start are reported together, with exit code 2.\n",
    );
    for role in ["entry", "agent", "control"] {
        let help = Command::new(env!("CARGO_BIN_EXE_bitternlead"))
            .args([role, "--help"])
            .output()
            .unwrap();
        let text = String::from_utf8_lossy(&help.stdout).into_owned();
        page.push_str(&format!("\n## {role}\n\n```text\n{}\n```\n", text.trim_end()));
    }
    compare("docs/SETTINGS.md", &page);
}

#[test]
fn every_flag_reaches_the_settings_under_its_variable() {
    let roles = [
        ("entry", EntryOptions::FLAG_NAMES),
        ("agent", AgentOptions::FLAG_NAMES),
        ("control", ControlOptions::FLAG_NAMES),
    ];
    for (role, names) in roles {
        for name in names {
            let variable = format!("{PREFIX}{}", name.to_uppercase());
            let output = Command::new(env!("CARGO_BIN_EXE_bitternlead"))
                .arg(role)
                .env(&variable, "\u{1}not a value\u{1}")
                .output()
                .unwrap();
            assert_eq!(output.status.code(), Some(2), "{role} {variable}");
            let text = String::from_utf8_lossy(&output.stderr).into_owned();
            let free = ["data", "operator_token"];
            assert!(free.contains(name) || text.contains(&variable), "{variable}: {text}");
        }
    }
}

#[test]
fn generated_messages_are_those_of_the_declaration() {
    let files = protox::compile(["proto/bitternlead.proto"], ["proto"]).unwrap();
    let out = tempfile::tempdir().unwrap();
    let mut config = prost_build::Config::new();
    config.out_dir(out.path()).bytes(["."]);
    config.compile_fds(files).unwrap();
    let wanted = std::fs::read_to_string(out.path().join("bitternlead.rs")).unwrap();
    let held = std::fs::read_to_string("src/wire/generated.rs").unwrap();
    assert_eq!(held, wanted, "run cargo run --example generate_protocol");
}
