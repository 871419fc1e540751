//! The command with the built binary, with files and with stand-ins for control.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::process::{Command, Output};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::{SECRET, changed, valid_document};

fn run(args: &[&str]) -> Output {
    let binary = env!("CARGO_BIN_EXE_bitternlead");
    Command::new(binary).args(["config", "check"]).args(args).output().unwrap()
}

/// Exit code and all output of a run.
fn outcome(args: &[&str]) -> (Option<i32>, String) {
    let output = run(args);
    let text = [&output.stdout[..], &output.stderr].concat();
    let text = String::from_utf8(text).unwrap();
    assert!(!text.contains(SECRET), "a key is printed: {text}");
    assert!(!text.contains("panicked"), "{text}");
    (output.status.code(), text)
}

/// Serves one response to every connection, or none if it is empty; returns the address.
fn serve(response: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    std::thread::spawn(move || {
        let mut silent = Vec::new();
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            if response.is_empty() {
                silent.push(stream);
                continue;
            }
            let mut head = [0; 4096];
            let len = stream.read(&mut head).unwrap();
            assert!(head[..len].starts_with(b"GET /api/config HTTP/1.1\r\n"));
            stream.write_all(response.as_bytes()).unwrap();
        }
    });
    address
}

fn http(status: &str, headers: &str, body: &str) -> String {
    let len = body.len();
    format!(
        "HTTP/1.1 {status}\r\nContent-Length: {len}\r\nConnection: close\r\n{headers}\r\n{body}"
    )
}

/// Guards against a command that reads, judges or reports differently from the rules, with the built
/// binary, and against panics for files and addresses of any kind.
#[test]
fn the_command_reports_findings_and_differences_with_its_exit_code() {
    let folder = tempfile::tempdir().unwrap();
    let write = |name: &str, content: &[u8]| {
        let path = folder.path().join(name);
        std::fs::write(&path, content).unwrap();
        path.to_str().unwrap().to_owned()
    };
    let write_document = |name: &str, document: Value| write(name, document.to_string().as_bytes());
    let old = write_document("old.json", valid_document());
    let new = write_document("new.json", changed(&[("/Version", json!(8))]));
    let warned = write_document(
        "warned.json",
        changed(&[("/Version", json!(8)), ("/Routes/0/GoalMs", json!(70_000))]),
    );
    let wrong = write_document("wrong.json", changed(&[("/Routes/0/TimeoutMs", json!(0))]));

    assert_eq!(outcome(&[&new]).0, Some(0));
    let zones = "z1=east,z2=west";
    assert_eq!(outcome(&[&new, "--against", &old, "--zones", zones, "--strict"]).0, Some(0));
    let (code, text) = outcome(&[&old, "--against", &new]);
    assert_eq!(code, Some(2));
    assert!(text.contains("error: Version: 7 is not above 8"), "{text}");
    let (code, text) = outcome(&[&warned, "--against", &old]);
    assert_eq!(code, Some(0));
    insta::assert_snapshot!(text.replace(folder.path().to_str().unwrap(), "FOLDER"));
    assert_eq!(outcome(&[&warned, "--strict"]).0, Some(2));
    let (code, text) = outcome(&[&wrong]);
    assert_eq!(code, Some(2));
    assert!(text.contains("error: Routes[0] chat: the timeout is 0\n"), "{text}");
    let (_, text) = outcome(&[&new, "--zones", "z1=east"]);
    assert!(text.contains("no known zone belongs to region \"west\""), "{text}");

    let document = valid_document().to_string();
    let control = serve(http("200 OK", "Content-Type: application/json\r\n", &document));
    let location = format!("Location: http://{control}/api/config\r\n");
    let follower = serve(http("307 Temporary Redirect", &location, "the leader answers this\n"));
    let without_leader = serve(http("503 Service Unavailable", "", "no replica\n"));
    let silent = serve(String::new());
    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string();
    let list = format!("{closed},{without_leader},{silent},{follower},{control}");
    let started = Instant::now();
    let (code, text) = outcome(&[&warned, "--in-force", &list]);
    assert_eq!(code, Some(0), "{text}");
    assert!(text.contains(&format!("differences from version 7 ({follower}) to version 8")));
    assert!(text.contains("GoalMs 500 -> 70000"), "{text}");
    assert!(started.elapsed() > Duration::from_millis(900), "the silent address was not asked");
    let list = format!("{closed},{without_leader},{silent}");
    let (code, text) = outcome(&[&new, "--in-force", &list]);
    assert_eq!(code, Some(1), "{text}");
    assert!(text.contains("valid, but not compared"), "{text}");
    for reason in ["not reached: Connection refused", "status 503", "no response within 1000 ms"] {
        assert!(text.contains(reason), "{reason}: {text}");
    }
    let (code, text) = outcome(&[&wrong, "--in-force", &closed]);
    assert_eq!(code, Some(2), "errors of the document come first: {text}");
    let other = serve(http("200 OK", "", "<html>"));
    let (code, text) = outcome(&[&new, "--in-force", &other]);
    assert_eq!(code, Some(1), "{text}");
    assert!(text.contains("check that the addresses are those of control"), "{text}");
    let endless = serve(http("307 Temporary Redirect", "Location: /api/config\r\n", ""));
    assert_eq!(outcome(&[&new, "--in-force", &endless]).0, Some(1));

    let long = "n".repeat(4000);
    let empty = write("empty.json", b"");
    let binary = write("binary.json", &[0, 159, 146, 150]);
    let missing = folder.path().join("missing.json").to_str().unwrap().to_owned();
    for (path, part) in [
        (folder.path().to_str().unwrap(), "is a directory"),
        (&missing, "does not exist"),
        (&empty, "the file is empty"),
        (&binary, "invalid UTF-8 at byte 1"),
        (&long, "cannot be read: File name too long"),
        ("", "does not exist"),
    ] {
        let (code, text) = outcome(&[path]);
        assert_eq!(code, Some(2), "{text}");
        assert!(text.contains(part), "{part}: {text}");
        let (code, text) = outcome(&[&new, "--against", path]);
        assert_eq!(code, Some(2), "{text}");
        assert!(text.contains(part) && text.contains("--against"), "{part}: {text}");
    }
    for args in [
        &["--in-force", ""][..],
        &["--in-force", "http://127.0.0.1:80"],
        &["--in-force", "127.0.0.1"],
        &["--in-force", "127.0.0.1:1", "--against", &old],
        &["--zones", "z1"],
        &["--zones", ""],
        &["--zones", "=east"],
    ] {
        let (code, text) = outcome(&[&[new.as_str()], args].concat());
        assert_eq!(code, Some(2), "{args:?}: {text}");
        assert!(text.contains(args[0]), "{args:?}: {text}");
    }
}
