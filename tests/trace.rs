//! `bitternlead trace`: the timeline of one request from the logs of several processes.

use std::process::Command;

const ENTRY: &str = r#"
{"ts":"2026-03-04T10:00:00.100Z","msg":"request placed","level":"INFO","event":"E613","node":"n1","role":"entry","request":"4f","endpoint":"i-1","predicted_ms":110}
{"ts":"2026-03-04T10:00:00.900Z","msg":"stream broke off","level":"WARN","event":"E608","node":"n1","role":"entry","request":"4f","reason":"connection reset","events":3}
{"ts":"2026-03-04T10:00:00.200Z","msg":"request placed","level":"INFO","event":"E613","node":"n1","role":"entry","request":"77","endpoint":"i-2"}
{"ts":"2026-03-04T09:00:00.000Z","msg":"control replica lost","level":"WARN","event":"E611","node":"n1","role":"entry","control":"c1"}
this line is {cut
"#;

const CONTROL: &str = r#"
{"ts":"2026-03-04T10:00:00.500Z","msg":"announced endpoint changed its standing","level":"INFO","event":"E504","node":"c1","role":"control","endpoint":"i-1","standing":"SILENT"}
{"ts":"2026-03-04T10:00:05.000Z","msg":"this replica leads","level":"INFO","event":"E300","node":"c1","role":"control","term":4}
"#;

fn trace(request: &str) -> (Option<i32>, String, String) {
    let dir = tempfile::tempdir().unwrap();
    let (entry, control) = (dir.path().join("entry.log"), dir.path().join("control.log"));
    std::fs::write(&entry, ENTRY).unwrap();
    std::fs::write(&control, CONTROL).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_bitternlead"))
        .args(["trace", request])
        .args([&control, &entry])
        .output()
        .unwrap();
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code(), text(&output.stdout), text(&output.stderr))
}

#[test]
fn lines_of_all_processes_are_in_chronological_order() {
    let (code, out, err) = trace("4f");
    assert_eq!(code, Some(0));
    let events: Vec<&str> = out.lines().filter_map(|l| l.split(' ').nth(2)).collect();
    assert_eq!(events, ["E613", "E504", "E608"]);
    assert!(out.contains("n1/entry") && out.contains("c1/control"));
    assert!(out.contains("endpoint=i-1 predicted_ms=110"));
    assert!(err.contains("1 lines could not be read"));
}

#[test]
fn an_unknown_request_and_a_missing_file_are_reported() {
    let (code, _, err) = trace("00");
    assert_eq!(code, Some(1));
    assert!(err.contains("no line is about request 00"));
    let output = Command::new(env!("CARGO_BIN_EXE_bitternlead"))
        .args(["trace", "4f", "/nowhere/entry.log"])
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("/nowhere/entry.log"));
}
