//! Documents that control rejects, and input of every kind.

use bitternlead::config_check::Scope;
use bitternlead::config_check::differences::compare;
use bitternlead::document::MAX_DOCUMENT_BYTES;
use bitternlead::platform::{checked_document, document};
use serde_json::{Value, json};

use super::{SECRET, changed, check_body, key, list_pointers, read, valid_document, zones};

/// Bodies that control rejects.
fn rejected_bodies() -> Vec<Vec<u8>> {
    let mut bodies: Vec<Vec<u8>> = vec![
        b"".to_vec(),
        b" \n\t".to_vec(),
        b"routes:\n- a\n".to_vec(),
        b"null".to_vec(),
        b"[]".to_vec(),
        b"7".to_vec(),
        b"\"text\"".to_vec(),
        b"{}".to_vec(),
        vec![0xff, 0xfe, 0x00],
        [&b"\xef\xbb\xbf"[..], valid_document().to_string().as_bytes()].concat(),
        "[".repeat(100_000).into_bytes(),
        format!("{}x", valid_document()).into_bytes(),
    ];
    let changes: &[(&str, Value)] = &[
        ("/Version", json!(-1)),
        ("/Version", json!("7")),
        ("/Version", Value::Null),
        ("/Routes", json!({})),
        ("/Routes/0", json!("route")),
        ("/Routes/0/TimeoutMs", json!(0)),
        ("/Routes/0/TimeoutMs", json!(-5)),
        ("/Routes/0/TimeoutMs", json!(1.5)),
        ("/Routes/0/Backend", json!("nowhere")),
        ("/Routes/0/Backend", Value::Null),
        ("/Routes/0/AllowedRegions", json!("east")),
        ("/Routes/1/PathPrefix", json!("/v1/chat/")),
        ("/Routes/1/Split", json!([])),
        ("/Routes/1/Split/0", json!({"Backend": "orders"})),
        ("/Routes/1/Split", json!([{"Backend": "orders", "Weight": 0}])),
        ("/Backends/0/Runtime/Slots", json!(-1)),
        ("/Backends/0/Runtime/read_per_s", json!("fast")),
        ("/Limits/IdleTimeoutMs", Value::Null),
        ("/Tenants", json!("none")),
        ("/Tenants/1/ApiKeys", json!([key("m1")])),
        ("/Tenants/1/ApiKeys", json!(key("text"))),
        ("/Tenants/1/ApiKeys", json!([SECRET.parse::<u64>().unwrap()])),
        ("/Tenants/1/ApiKeys", json!({key("name"): 1})),
        ("/Tenants/1", json!(key("workspace"))),
    ];
    bodies.extend(
        changes.iter().map(|change| changed(std::slice::from_ref(change)).to_string().into_bytes()),
    );
    bodies
}

/// Guards against a document that passes the check and is then rejected by control, or the reverse.
#[test]
fn control_and_the_check_reject_the_same_documents() {
    for body in rejected_bodies() {
        let shown: String = String::from_utf8_lossy(&body).chars().take(300).collect();
        let refused = document::decode(&body).expect_err(&shown);
        let report = check_body(&body, &Scope::default());
        assert!(!report.passes(false), "{shown}");
        assert_eq!(report.errors.total(), refused.total(), "{shown}\n{report}");
        if let Ok(read) = checked_document::read("new.json", &body) {
            assert_eq!(read.refused, refused, "{shown}");
        }
        for text in [report.to_string(), refused.to_string()] {
            assert!(!text.contains(SECRET), "a key is printed: {text}");
        }
    }
    let too_large = vec![b' '; MAX_DOCUMENT_BYTES + 1];
    let report = check_body(&too_large, &Scope::default()).to_string();
    assert!(report.contains("larger than 8388608 bytes"), "{report}");
}

/// Guards against panics, keys in the output and verdicts that differ from control's, for every field
/// of the document with values of every type.
#[test]
fn no_value_of_any_field_makes_the_check_panic_or_print_a_key() {
    let mut pointers = Vec::new();
    list_pointers(&valid_document(), String::new(), &mut pointers);
    let values = [
        Value::Null,
        json!(true),
        json!(0),
        json!(-1),
        json!(u64::MAX),
        json!(1e308),
        json!(-1e308),
        json!(""),
        json!(key("x")),
        json!("\u{1b}[2J\u{202e}\"`, expected x"),
        json!("n".repeat(100_000)),
        json!([]),
        json!([[]]),
        json!([key("x"), key("x")]),
        json!({}),
        json!({key("x"): key("y")}),
    ];
    let valid = read(&valid_document());
    let mut accepted = 0;
    for pointer in &pointers {
        for value in &values {
            let body = changed(&[(pointer, value.clone())]).to_string();
            let scope = Scope { in_force: Some(&valid.document), ..zones(&["east"]) };
            let mut text = check_body(body.as_bytes(), &scope).to_string();
            let refused = document::decode(body.as_bytes()).err();
            let without_version = check_body(body.as_bytes(), &Scope::default());
            assert_eq!(without_version.passes(false), refused.is_none(), "{pointer} {text}");
            accepted += usize::from(refused.is_none());
            if let Ok(changed) = checked_document::read("new.json", body.as_bytes()) {
                text += &compare(&valid.document, &changed.document).to_string();
                text += &compare(&changed.document, &valid.document).to_string();
            }
            // A name or region may be any text, and is printed; keys and values of a wrong type are
            // not.
            let is_name = value.is_string() || pointer.contains("AllowedRegions");
            if !is_name || pointer.contains("ApiKeys") {
                assert!(!text.contains(SECRET), "a key is printed: {pointer}: {text}");
            }
            assert!(!text.contains('\u{1b}') && !text.contains('\u{202e}'), "{pointer}: {text}");
            assert!(text.lines().all(|l| l.chars().count() < 2500), "{pointer}: a long line");
        }
    }
    assert!(accepted > 100, "only {accepted} of the documents were valid");
    let body = valid_document().to_string();
    for len in 0..body.len() {
        assert!(!check_body(&body.as_bytes()[..len], &Scope::default()).passes(false), "{len}");
    }
}

/// Guards against a message that does not lead to its cause.
#[test]
fn unreadable_documents_are_described() {
    let texts: Vec<String> = [
        &b""[..],
        b"{\n  \"Version\": 1,\n  \"Routes\": [}\n",
        b"routes: []",
        b"{\"Version\": 1, \"Routes\": []}",
        b"{\"Version\": -1, \"Routes\": [], \"Backends\": []}",
        b"{\"Version\": 1, \"Routes\": [7], \"Backends\": []}",
        b"{\"Version\": 1, \"Routes\": [], \"Backends\": [], \"Tenants\": [{\"Name\": \"w\", \"ApiKeys\": \"k\"}]}",
        b"\xff\xfe",
        b"\xef\xbb\xbf{}",
    ]
    .iter()
    .map(|body| check_body(body, &Scope::default()).to_string())
    .collect();
    insta::assert_snapshot!(texts.concat());
}
