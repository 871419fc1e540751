//! Only `src/platform` may know the platform's protocol: no other source file contains the names of
//! its headers, settings and paths.

use std::path::{Path, PathBuf};

/// Names from the platform's protocol and settings file, in lower case.
const WORDS: &[&str] = &[
    "attempt-id",
    "deadline-ms",
    "server-signature",
    "prefix-hash",
    "token-usage",
    "expect-instance",
    "not-executed",
    "length-hint",
    "api-key",
    "priority-class",
    "heartbeataddr",
    "coldleftms",
    "allowedregions",
    "coldpers",
    "coldoverage",
    "coldslack",
    "cold-ms",
    "goalms",
    "itltargetms",
    "bitternlead_settings",
    "faulttolerance",
    "retry-after-s",
    "portrange",
    "kvcapacity",
    "pathprefix",
    "/api/config",
    "/api/drain",
    "/api/instances",
    "/api/order",
    "/api/report",
    "/api/readyz",
];

fn rust_files(folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            rust_files(&path, files);
        } else if path.extension().is_some_and(|e| e == "rs") {
            files.push(path);
        }
    }
}

/// Words that a text contains, in any case.
fn words_in(text: &str) -> Vec<&'static str> {
    let text = text.to_lowercase();
    WORDS.iter().copied().filter(|word| text.contains(word)).collect()
}

#[test]
fn no_file_outside_the_folder_knows_a_word_of_the_platform() {
    let mut files = Vec::new();
    rust_files(Path::new("src"), &mut files);
    let is_outside = |f: &&PathBuf| !f.starts_with("src/platform") && !f.ends_with("cli.rs");
    let mut found = Vec::new();
    for file in files.iter().filter(is_outside) {
        let words = words_in(&std::fs::read_to_string(file).unwrap());
        if !words.is_empty() {
            found.push(format!("{}: {words:?}", file.display()));
        }
    }
    assert!(found.is_empty(), "{found:#?}");
}

#[test]
fn a_planted_word_is_found() {
    assert_eq!(words_in("let x = \"Attempt-Id\";"), ["attempt-id"]);
}
