//! Reads settings from flags and environment variables; a flag overrides its variable.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use smol_str::SmolStr;

use crate::config::fields::{FieldValue, Fields};
use crate::findings::{Findings, Place};

/// Prefix of all environment variables, before the setting's name in upper case.
pub const ENV_PREFIX: &str = "BITTERNLEAD_";

/// Settings as they were given, not yet parsed.
#[derive(Clone, Debug)]
pub struct SettingSource {
    fields: Fields,
}

impl SettingSource {
    /// Collects the value of each setting: from its flag if that was given, else from the
    /// environment.
    ///
    /// ```
    /// use bitternlead::{findings::Findings, settings::SettingSource};
    ///
    /// let env = |name: &str| (name == "BITTERNLEAD_ZONE").then(|| "z1".to_owned());
    /// let mut source = SettingSource::new(vec![("node", None), ("zone", None)], env);
    /// let mut findings = Findings::default();
    /// assert_eq!(source.name("zone", &mut findings), "z1");
    /// source.name("node", &mut findings);
    /// assert_eq!(findings.to_string(), "--node: missing; give the flag or BITTERNLEAD_NODE\n");
    /// ```
    pub fn new(
        flags: Vec<(&'static str, Option<String>)>,
        env: impl Fn(&str) -> Option<String>,
    ) -> Self {
        let mut fields = Fields::new(Place::Whole("settings".into()));
        for (name, flag) in flags {
            let variable = variable_name(name);
            if let Some(value) = flag {
                fields.insert(name, Place::Flag(flag_name(name)), FieldValue::Text(value));
            } else if let Some(value) = env(&variable) {
                fields.insert(name, Place::Variable(variable), FieldValue::Text(value));
            }
        }
        Self { fields }
    }

    /// Where a setting was given, or its flag if it is missing.
    pub fn place(&self, name: &str) -> Place {
        match self.fields.place_of(name) {
            Place::Whole(_) => Place::Flag(flag_name(name)),
            place => place,
        }
    }

    /// Takes a string, or the default if it is missing.
    pub fn text(&mut self, name: &str, default: &str, findings: &mut Findings) -> String {
        self.fields.text(name, findings).unwrap_or_else(|| default.to_owned())
    }

    /// Takes an optional string; an empty one counts as missing.
    pub fn optional(&mut self, name: &str, findings: &mut Findings) -> Option<String> {
        self.fields.text(name, findings).filter(|t| !t.is_empty())
    }

    /// Takes a required string; a missing or blank one is a finding.
    pub fn required(&mut self, name: &str, findings: &mut Findings) -> String {
        let place = self.place(name);
        let text = self.fields.text(name, findings).unwrap_or_default();
        if text.trim().is_empty() {
            let variable = variable_name(name);
            findings.add(place, format!("missing; give the flag or {variable}"));
        }
        text
    }

    /// Takes a required name: letters, digits, dot, dash and underscore, at most 64 bytes.
    pub fn name(&mut self, name: &str, findings: &mut Findings) -> SmolStr {
        let place = self.place(name);
        let text = self.required(name, findings);
        let is_allowed = |c: char| c.is_alphanumeric() || "._-".contains(c);
        if !text.is_empty() && (!text.chars().all(is_allowed) || text.len() > 64) {
            let expects = "letters, digits, dot, dash and underscore, at most 64 bytes";
            findings.add(place, format!("{text:?} is not a valid name; use {expects}"));
        }
        text.into()
    }

    /// Takes a whole number within a range, or the default if it is missing or invalid.
    pub fn number(
        &mut self,
        name: &str,
        range: RangeInclusive<u64>,
        default: u64,
        findings: &mut Findings,
    ) -> u64 {
        self.fields.number(name, range, findings).unwrap_or(default)
    }

    /// Takes an address, or the default if it is missing.
    pub fn address(&mut self, name: &str, default: &str, findings: &mut Findings) -> SocketAddr {
        let place = self.place(name);
        let text = self.text(name, default, findings);
        parse_address(&text, place, findings)
    }

    /// Takes a required list of addresses, separated by commas.
    pub fn addresses(&mut self, name: &str, findings: &mut Findings) -> Vec<SocketAddr> {
        let place = self.place(name);
        let text = self.required(name, findings);
        let parts = text.split(',').map(str::trim).filter(|p| !p.is_empty());
        parts.map(|p| parse_address(p, place.clone(), findings)).collect()
    }

    /// Takes a required list of `NAME=IP:PORT`, separated by commas; names must be unique.
    pub fn named_addresses(
        &mut self,
        name: &str,
        findings: &mut Findings,
    ) -> Vec<(SmolStr, SocketAddr)> {
        let place = self.place(name);
        let text = self.required(name, findings);
        let mut list: Vec<(SmolStr, SocketAddr)> = Vec::new();
        for part in text.split(',').map(str::trim).filter(|p| !p.is_empty()) {
            let Some((key, addr)) = part.split_once('=') else {
                findings.add(place.clone(), format!("{part:?} must have the form NAME=IP:PORT"));
                continue;
            };
            if list.iter().any(|(known, _)| known == key) {
                findings.add(place.clone(), format!("{key:?} is given twice"));
            }
            list.push((key.into(), parse_address(addr, place.clone(), findings)));
        }
        list
    }
}

fn parse_address(text: &str, place: Place, findings: &mut Findings) -> SocketAddr {
    text.trim().parse().unwrap_or_else(|_| {
        findings.add(place, format!("{text:?} is not an address; give IP:PORT"));
        SocketAddr::from(([127, 0, 0, 1], 0))
    })
}

/// Name of a setting's flag, without its dashes.
fn flag_name(name: &str) -> String {
    name.replace('_', "-")
}

/// Name of a setting's environment variable.
fn variable_name(name: &str) -> String {
    format!("{ENV_PREFIX}{}", name.to_uppercase())
}
