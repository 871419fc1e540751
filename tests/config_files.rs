//! Parsing of inventories and rules: findings name their places, and malformed input is reported
//! instead of causing a panic.

use bitternlead::config::{ConfigFile, read_inventory_and_rules};
use bitternlead::findings::Findings;

fn config_file(path: &str, text: &str) -> ConfigFile {
    ConfigFile { path: path.into(), text: text.into() }
}

/// Findings of both files as text; empty if both are valid.
fn findings(inventory: ConfigFile, rules: &str) -> String {
    let rules = config_file("rules.toml", rules);
    read_inventory_and_rules(&inventory, &rules)
        .err()
        .map(|f: Findings| f.to_string())
        .unwrap_or_default()
}

const RULES: &str = "[[model]]\nname = \"m\"\n";

#[test]
fn all_findings_come_in_one_run_with_their_places() {
    let inventory = config_file(
        "inventory.toml",
        "[[server]]\nname = \"a\"\nhost = \"h\"\nzone = \"z\"\ncolour = 1\n\n\
         [[server]]\nname = \"a\"\nhost = \"\"\nzone = \"z\"\naccelerators = -1\n\n\
         [[server]]\nname = \"b b\"\nhost = \"h\"\nkind = \"toaster\"\n",
    );
    let rules = "[[workspace]]\nname = \"w\"\nkeys = [\"short\"]\nweight = 0\n\n\
        [[schedule]]\nname = \"s\"\ntime_zone = \"Europe/Atlantis\"\nstart = \"25:00\"\n\
        end = \"09:00\"\ndays = [\"someday\"]\n\n[unknown]\nx = 1\n";
    insta::assert_snapshot!(findings(inventory, rules));
}

#[test]
fn files_are_checked_against_each_other() {
    let inventory = config_file(
        "inventory.csv",
        "name,host,zone,region,kind,models,services\n\
         a,h1,z1,r1,engine,m;ghost,\nb,h1,z2,r1,engine,m,\nc,h3,z1,r2,service,,nowhere\n",
    );
    let rules = "[[model]]\nname = \"m\"\n\n[[schedule]]\nname = \"s\"\n\
        time_zone = \"Europe/Sofia\"\nstart = \"09:00\"\nend = \"17:00\"\n\
        models = [\"n\"]\nservers = [\"x\"]\n";
    insta::assert_snapshot!(findings(inventory, rules));
}

#[test]
fn toml_and_csv_read_the_same() {
    let csv = "name,host,zone,region,models,accelerators\na,h,z,r,m,4\n";
    let toml = "[[server]]\nname = \"a\"\nhost = \"h\"\nzone = \"z\"\nregion = \"r\"\n\
        models = [\"m\"]\naccelerators = 4\n";
    let rules = config_file("rules.toml", RULES);
    let from_csv = read_inventory_and_rules(&config_file("i.csv", csv), &rules).unwrap();
    let from_toml = read_inventory_and_rules(&config_file("i.toml", toml), &rules).unwrap();
    assert_eq!(from_csv, from_toml);
}

#[test]
fn large_truncated_and_binary_files_get_an_error() {
    let mut rows = String::from("name,host,zone\n");
    for n in 0..1_000_000 {
        rows.push_str(&format!("s{n},h,z\n"));
    }
    let text = findings(config_file("big.csv", &rows), RULES);
    assert!(text.contains("more than 100000 records"), "{text}");
    let whole = "[[server]]\nname = \"a\"\nhost = \"h\"\nzone = \"z\"\n";
    for len in 0..whole.len() {
        findings(config_file("cut.toml", &whole[..len]), RULES);
        findings(config_file("cut.csv", &whole[..len]), RULES);
    }
    let binary: String = (0u32..3000).filter_map(char::from_u32).collect();
    assert!(!findings(config_file("b.toml", &binary), RULES).is_empty());
    assert!(!findings(config_file("b.csv", &binary), RULES).is_empty());
}

#[test]
fn many_findings_are_counted_not_printed() {
    let mut rows = String::from("name,host,zone\n");
    for n in 0..5000 {
        rows.push_str(&format!("s {n},h,z\n"));
    }
    let text = findings(config_file("bad.csv", &rows), RULES);
    assert_eq!(text.lines().count(), 101);
    assert!(text.ends_with("and 4900 more findings\n"), "{text}");
}
