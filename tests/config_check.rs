//! `bitternlead config check`: what it finds, that it finds all that control rejects, and that no
//! input makes it panic or print a key.

use std::collections::BTreeSet;
use std::time::Duration;

use bitternlead::config_check::differences::compare;
use bitternlead::config_check::report::Report;
use bitternlead::config_check::{Scope, check};
use bitternlead::platform::checked_document::{self, CheckedDocument};
use bitternlead::platform::document;
use serde_json::{Value, json};

#[path = "config_check/command.rs"]
mod command;
#[path = "config_check/input.rs"]
mod input;

/// Part of every key in these tests; no output may contain it.
const SECRET: &str = "31415926535";

fn key(name: &str) -> String {
    format!("{name}-{SECRET}")
}

/// A document without findings.
fn valid_document() -> Value {
    json!({
        "Version": 7,
        "Routes": [
            {
                "Name": "chat", "Hostname": "Api.example", "PathPrefix": "/v1/chat/",
                "Type": "streaming", "TimeoutMs": 60_000, "GoalMs": 500, "Prio": 1,
                "Backend": "engines", "MaxAttempts": 3, "Public": false, "Resumable": true,
                "ItlTargetMs": 200, "AllowedRegions": ["east", "west"]
            },
            {
                "Name": "book", "Hostname": "api.example", "PathPrefix": "/book/",
                "Type": "unsafe", "TimeoutMs": 2000,
                "Split": [
                    {"Backend": "orders", "Weight": 9}, {"Backend": "orders-next", "Weight": 1}
                ]
            }
        ],
        "Backends": [
            {
                "Name": "engines", "MaxConns": 64, "ColdS": 30.0, "ColdPerS": 2.0,
                "Runtime": {
                    "Slots": 12, "KvCapacity": 267_750, "Stride": 1, "step_ms": 0.85,
                    "per_seq_ms": 0.1, "context_per_k": 0.01, "read_per_s": 177_000.0,
                    "pairs_per_m": 0.2, "chunk": 512, "HopMs": 1.0, "usual": {"answer": 900}
                }
            },
            {"Name": "orders"},
            {"Name": "orders-next", "MaxConns": 8}
        ],
        "Limits": {
            "MaxHeaderBytes": 16_384, "MaxBodyBytes": 4_194_304, "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15_000
        },
        "Tenants": [
            {"Name": "manuals", "ApiKeys": [key("m1"), key("m2")], "AllowedRegions": ["east"]},
            {"Name": "stands", "ApiKeys": [key("s1")], "Prio": 0}
        ]
    })
}

/// The valid document after changes of the values at some JSON pointers.
fn changed(changes: &[(&str, Value)]) -> Value {
    let mut document = valid_document();
    for (pointer, value) in changes {
        set(&mut document, pointer, value.clone());
    }
    document
}

/// Sets the value at a JSON pointer; the last part may be a new field.
fn set(document: &mut Value, pointer: &str, value: Value) {
    let (parent, name) = pointer.rsplit_once('/').unwrap();
    match document.pointer_mut(parent).unwrap() {
        Value::Array(list) if name == "-" => list.push(value),
        Value::Array(list) => list[name.parse::<usize>().unwrap()] = value,
        parent => parent[name] = value,
    }
}

/// JSON pointers of all values within a document.
fn list_pointers(value: &Value, at: String, pointers: &mut Vec<String>) {
    if !at.is_empty() {
        pointers.push(at.clone());
    }
    match value {
        Value::Object(fields) => {
            fields.iter().for_each(|(name, v)| list_pointers(v, format!("{at}/{name}"), pointers));
        }
        Value::Array(list) => {
            let items = list.iter().enumerate();
            items.for_each(|(index, v)| list_pointers(v, format!("{at}/{index}"), pointers));
        }
        _ => {}
    }
}

fn read(document: &Value) -> CheckedDocument {
    checked_document::read("new.json", document.to_string().as_bytes()).unwrap()
}

fn check_body(body: &[u8], scope: &Scope) -> Report {
    match checked_document::read("new.json", body) {
        Ok(read) => {
            let mut report = Report::new(read.refused);
            check(&read.document, scope, &mut report);
            report
        }
        Err(errors) => Report::new(errors),
    }
}

fn check_document(document: &Value) -> Report {
    check_body(document.to_string().as_bytes(), &Scope::default())
}

fn zones(regions: &[&str]) -> Scope<'static> {
    let known: BTreeSet<_> = regions.iter().map(|region| (*region).into()).collect();
    Scope { known_regions: Some(known), ..Scope::default() }
}

#[test]
fn a_sound_document_has_no_findings() {
    let body = valid_document().to_string();
    let report = check_body(body.as_bytes(), &zones(&["east", "west"]));
    assert!(report.passes(true), "{report}");
}

/// Guards against entries that stay without effect because nobody is told.
#[test]
fn entries_that_never_match_are_found() {
    let route = |name: &str, host: &str, prefix: &str| {
        json!({"Name": name, "Hostname": host, "PathPrefix": prefix, "Type": "safe",
            "TimeoutMs": 1000, "Backend": "orders"})
    };
    let document = changed(&[
        ("/Routes/-", route("no trailing slash", "a.example", "/v1")),
        ("/Routes/-", route("no leading slash", "a.example", "v1/")),
        ("/Routes/-", route("empty prefix", "a.example", "")),
        ("/Routes/-", route("query", "a.example", "/v1/?x=/")),
        ("/Routes/-", route("port", "a.example:8080", "/")),
        ("/Routes/-", route("scheme", "https://a.example", "/")),
        ("/Routes/-", route("upper case is reachable", "B.Example", "/")),
        ("/Routes/1/Split/1/Weight", json!(0)),
        ("/Routes/1/Backend", json!("orders")),
        ("/Backends/-", json!({"Name": "unused"})),
        ("/Backends/-", json!({"Name": "orders"})),
        ("/Tenants/0/ApiKeys", json!([key("m1"), key("m2"), key("m1"), key("m1")])),
        ("/Tenants/-", json!({"Name": "without keys"})),
        ("/Tenants/-", json!({"Name": "empty keys", "ApiKeys": []})),
    ]);
    let report = check_document(&document);
    assert!(report.errors.is_empty(), "{report}");
    insta::assert_snapshot!(report);
}

/// Guards against limits of which one makes the other pointless.
#[test]
fn limits_that_contradict_each_other_are_found() {
    let document = changed(&[
        ("/Routes/0/GoalMs", json!(60_001)),
        ("/Routes/0/ItlTargetMs", json!(60_002)),
        ("/Routes/1/MaxAttempts", json!(2)),
        ("/Limits/HeaderTimeoutMs", json!(15_001)),
        ("/Backends/0/MaxConns", json!(11)),
        ("/Backends/0/Runtime/KvCapacity", json!(0)),
        ("/Backends/0/Runtime/read_per_s", json!(0.0)),
        ("/Backends/0/Runtime/step_ms", json!(-0.5)),
        ("/Backends/0/Runtime/HopMs", json!(-1.0)),
        ("/Backends/0/ColdPerS", json!(0.0)),
        ("/Backends/1/ColdPerS", json!(2.0)),
        ("/Backends/2/ColdS", json!(-3.0)),
    ]);
    let report = check_document(&document);
    assert!(report.errors.is_empty(), "{report}");
    insta::assert_snapshot!(report);
}

/// Guards against requests that no endpoint may serve, for lack of a common or an existing region.
#[test]
fn regions_without_zones_and_without_overlap_are_found() {
    let document = changed(&[
        ("/Tenants/0/AllowedRegions", json!(["south"])),
        ("/Tenants/1/AllowedRegions", json!(["south", "wset"])),
        ("/Routes/1/AllowedRegions", json!(["east", "south"])),
    ]);
    let report = check_body(document.to_string().as_bytes(), &zones(&["east", "west", "south"]));
    insta::assert_snapshot!(report);
    let public = changed(&[
        ("/Tenants/0/AllowedRegions", json!(["south"])),
        ("/Routes/0/Public", json!(true)),
    ]);
    let report = check_document(&public);
    assert!(report.passes(true), "a public route asks for no workspace: {report}");
}

/// Guards against rules about hosts and prefixes that differ from what the gateway matches.
#[test]
fn the_warnings_about_prefixes_agree_with_the_matching_of_paths() {
    for prefix in ["", "/", "v1", "/v1", "v1/", "/v1/", "/v1/a", "/v1/a/", "//", "/a//", "a//"] {
        let document = changed(&[("/Routes/0/PathPrefix", json!(prefix))]);
        let config = document::decode(document.to_string().as_bytes()).unwrap();
        let paths = ["/", "/v1", "/v1/", "/v1/a", "/v1/a/b", "/v1/a/", "//", "/a//", "/a//b"];
        let matches = paths.iter().any(|path| {
            config.find_route("API.example", path).is_some_and(|route| route.name == "chat")
        });
        let report = check_document(&document).to_string();
        assert_eq!(report.contains("never matches"), !matches, "{prefix:?}: {report}");
    }
}

/// Guards against a document that control acknowledges and ignores.
#[test]
fn a_version_that_is_not_above_the_one_in_force_is_an_error() {
    let in_force = read(&valid_document());
    let scope = Scope { in_force: Some(&in_force.document), ..Scope::default() };
    for (version, passes) in [(6, false), (7, false), (8, true)] {
        let document = changed(&[("/Version", json!(version))]);
        let report = check_body(document.to_string().as_bytes(), &scope);
        assert_eq!(report.passes(false), passes, "{report}");
        assert!(passes || report.to_string().contains("set at least 8"), "{report}");
    }
}

/// Guards against a difference that is not shown, and against keys in the output.
#[test]
fn differences_name_old_and_new_values_and_count_keys() {
    let new = changed(&[
        ("/Version", json!(8)),
        ("/Routes/0/Hostname", json!("api.EXAMPLE")),
        ("/Routes/0/GoalMs", Value::Null),
        ("/Routes/0/TimeoutMs", json!(30_000)),
        ("/Routes/0/AllowedRegions", json!([])),
        ("/Routes/1/PathPrefix", json!("/booking/")),
        ("/Backends/0/Runtime/Slots", json!(16)),
        ("/Backends/0/ColdS", json!(45.5)),
        ("/Backends/1/Name", json!("orders-old")),
        ("/Limits", Value::Null),
        ("/Tenants/0/ApiKeys", json!([key("m2"), key("m3"), key("m4"), key("m4")])),
        ("/Tenants/1/Prio", json!(2)),
        ("/Tenants/-", json!({"Name": "guests", "ApiKeys": [key("g1"), key("s1")]})),
    ]);
    let text = compare(&read(&valid_document()).document, &read(&new).document).to_string();
    assert!(!text.contains(SECRET), "a key is printed: {text}");
    insta::assert_snapshot!(text);
    let open = changed(&[("/Tenants", Value::Null)]);
    let text = compare(&read(&valid_document()).document, &read(&open).document).to_string();
    insta::assert_snapshot!("differences_when_keys_are_no_longer_needed", text);
    let same = compare(&read(&valid_document()).document, &read(&valid_document()).document);
    assert!(same.is_empty() && same.to_string() == "summary: no differences\n");
}

/// Guards against a difference in a field that the comparison leaves out.
#[test]
fn a_change_of_any_field_is_a_difference() {
    let old = read(&valid_document());
    let mut pointers = Vec::new();
    list_pointers(&valid_document(), String::new(), &mut pointers);
    let mut compared = 0;
    for pointer in pointers.iter().filter(|p| *p != "/Version") {
        let new = match valid_document().pointer(pointer).unwrap() {
            Value::Bool(value) => json!(!value),
            Value::Number(n) if n.is_u64() => json!(n.as_u64().unwrap() + 1),
            Value::Number(n) => json!(n.as_f64().unwrap() + 0.5),
            Value::String(text) => json!(format!("{text}x")),
            _ => continue,
        };
        let new = read(&changed(&[(pointer, new)]));
        let differences = compare(&old.document, &new.document);
        assert!(!differences.is_empty(), "{pointer}");
        compared += 1;
    }
    assert!(compared > 40, "{compared} fields");
}

/// Processor time of this thread.
fn processor_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Guards against costs that grow faster than the document. Processor time is measured, since other
/// tests run at the same time; the build of the tests is not optimized.
#[test]
fn ten_thousand_routes_are_checked_within_two_seconds() {
    let mut document = valid_document();
    let regions = |n: usize| json!([format!("region-{}", n % 1000), format!("region-{}", n % 7)]);
    let routes = (0..10_000).map(|n| {
        json!({"Name": format!("route-{n}"), "Hostname": format!("h{}.example", n % 50),
            "PathPrefix": format!("/v1/{n}/"), "Type": "safe", "TimeoutMs": 1000,
            "Backend": format!("service-{}", n % 500), "AllowedRegions": regions(n)})
    });
    let services = (0..500).map(|n| json!({"Name": format!("service-{n}")}));
    let workspaces = (0..1000).map(|n| {
        json!({"Name": format!("w{n}"), "ApiKeys": [key(&format!("k{n}"))],
            "AllowedRegions": regions(n + 1)})
    });
    document["Routes"] = routes.collect();
    document["Backends"] = services.collect();
    document["Tenants"] = workspaces.collect();
    let body = document.to_string();
    document["Version"] = json!(6);
    let in_force = read(&document);
    let started = processor_time();
    let scope = Scope { in_force: Some(&in_force.document), ..zones(&["region-1"]) };
    let report = check_body(body.as_bytes(), &scope);
    let new = checked_document::read("new.json", body.as_bytes()).unwrap();
    assert!(compare(&in_force.document, &new.document).is_empty());
    let elapsed = processor_time() - started;
    assert!(report.errors.is_empty() && report.warnings.total() > 10_000);
    println!("checked and compared in {elapsed:?}");
    assert!(elapsed < Duration::from_secs(2), "{elapsed:?}");
}
