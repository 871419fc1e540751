//! Regions that routes and workspaces allow: what they mean together, the rule, and the document.

use std::collections::{BTreeMap, BTreeSet};

use bitternlead::gateway::eligibility::endpoints::Endpoint;
use bitternlead::gateway::eligibility::regions::{RegionSet, Regions};
use bitternlead::gateway::eligibility::{Eligibility, EligibilityRule, SendContext};
use bitternlead::platform::document;
use bitternlead::platform::settings::PlatformSettings;
use serde_json::{Value, json};

fn only(regions: &[&str]) -> RegionSet {
    RegionSet::only(regions.iter().map(|r| (*r).into()))
}

/// Guards against a restriction that is widened by the other one, or an empty list that allows
/// nothing.
#[test]
fn both_lists_apply_and_an_empty_one_allows_all() {
    let cases: [(&[&str], &[&str], &[&str]); 5] = [
        (&[], &[], &["east", "west", "south"]),
        (&["east"], &[], &["east"]),
        (&[], &["west", "south"], &["west", "south"]),
        (&["east", "west"], &["west", "south"], &["west"]),
        (&["east"], &["west"], &[]),
    ];
    for (of_route, of_workspace, expected) in cases {
        let both = only(of_route).and(&only(of_workspace));
        assert_eq!(both, only(of_workspace).and(&only(of_route)));
        for region in ["east", "west", "south"] {
            assert_eq!(both.allows(Some(region)), expected.contains(&region), "{both:?} {region}");
        }
        let is_restricted = !(of_route.is_empty() && of_workspace.is_empty());
        assert_eq!(both.is_restricted(), is_restricted);
        assert_eq!(both.allows(None), !is_restricted, "a zone without a region");
    }
}

/// Guards against a rule that lets an endpoint pass whose zone has no known region.
#[test]
fn the_rule_knows_the_regions_of_zones() {
    let of_zones = [("a".into(), "west".into()), ("b".into(), "east".into())];
    let regions = Regions::new(BTreeMap::from(of_zones));
    let endpoint = |zone: &str| Endpoint {
        id: "e".into(),
        addr: "127.0.0.1:1".parse().unwrap(),
        zone: zone.into(),
        slots: 1,
    };
    let restricted = SendContext { allowed_regions: only(&["east"]), ..SendContext::default() };
    for (zone, expected) in [("b", true), ("a", false), ("c", false), ("", false)] {
        let answer = regions.check(&restricted, &endpoint(zone));
        assert_eq!(answer == Eligibility::Allowed, expected, "{zone}");
        assert!(expected || answer == Eligibility::Never, "{zone}");
        let unrestricted = regions.check(&SendContext::default(), &endpoint(zone));
        assert_eq!(unrestricted, Eligibility::Allowed, "{zone}");
    }
}

fn document(of_route: Value, of_workspace: Value) -> Value {
    json!({
        "Version": 3,
        "Routes": [{ "Name": "r", "Hostname": "h", "PathPrefix": "/", "Type": "safe",
                     "TimeoutMs": 1000, "Backend": "s", "AllowedRegions": of_route }],
        "Backends": [{ "Name": "s" }],
        "Tenants": [{ "Name": "w", "ApiKeys": ["k"], "AllowedRegions": of_workspace }],
    })
}

/// Guards against a missing, empty or null list that restricts, and against an unknown region that
/// makes the document invalid or goes unnoticed.
#[test]
fn documents_may_name_regions() {
    for none in [json!(null), json!([])] {
        let config = document::decode(document(none.clone(), none).to_string().as_bytes()).unwrap();
        assert!(!config.find_route("h", "/").unwrap().allowed_regions.is_restricted());
        assert!(!config.keys.unwrap()["k"].allowed_regions.is_restricted());
    }
    let mut missing = document(json!([]), json!([]));
    missing["Routes"][0].as_object_mut().unwrap().remove("AllowedRegions");
    missing["Tenants"][0].as_object_mut().unwrap().remove("AllowedRegions");
    let config = document::decode(missing.to_string().as_bytes()).unwrap();
    assert!(!config.find_route("h", "/").unwrap().allowed_regions.is_restricted());

    let text = document(json!(["east", "nowhere"]), json!(["west"])).to_string();
    let config = document::decode(text.as_bytes()).unwrap();
    let route = config.find_route("h", "/").unwrap();
    assert_eq!(route.allowed_regions, only(&["nowhere", "east"]));
    assert_eq!(config.keys.as_ref().unwrap()["k"].allowed_regions, only(&["west"]));
    let known = |names: &[&str]| -> BTreeSet<smol_str::SmolStr> {
        names.iter().map(|n| (*n).into()).collect()
    };
    let unknown = config.find_unknown_regions(&known(&["east", "west"])).to_string();
    assert!(unknown.contains("Routes[0] r") && unknown.contains("nowhere"), "{unknown}");
    assert_eq!(unknown.lines().count(), 1, "{unknown}");
    let unknown = config.find_unknown_regions(&known(&["east", "nowhere"])).to_string();
    assert!(unknown.contains("Tenants[0] w"), "{unknown}");
    let wrong = document(json!("east"), json!([])).to_string();
    assert!(document::decode(wrong.as_bytes()).is_err(), "a text is no list");
}

/// Guards against a table of zones that is read in part or from the wrong type.
#[test]
fn settings_name_the_region_of_each_zone() {
    let decode = |zones: Value| {
        let settings = json!({
            "NodeName": "n", "Zone": "z", "Ip": "10.0.0.1", "Seeds": [],
            "PortRange": [7340, 7355], "Zones": zones,
        });
        PlatformSettings::decode("s", &settings).map_err(|findings| findings.to_string())
    };
    assert!(decode(json!(null)).unwrap().zones.is_empty());
    let zones = decode(json!({ "a": "west", "b": "east" })).unwrap().zones;
    assert_eq!(zones, BTreeMap::from([("a".into(), "west".into()), ("b".into(), "east".into())]));
    assert!(decode(json!(["a"])).unwrap_err().contains("/Zones"));
    assert!(decode(json!({ "a": "west", "b": 4 })).unwrap_err().contains("/Zones/b"));
}
