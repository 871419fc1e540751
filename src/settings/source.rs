//! Values of flags and environment variables, a flag before its variable.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use smol_str::SmolStr;

use crate::config::fields::{FieldValue, Fields};
use crate::findings::{Findings, Place};

/// Start of the name of every environment variable.
pub const ENV_PREFIX: &str = "BITTERNLEAD_";

/// The settings as given.
#[derive(Clone, Debug)]
pub struct SettingSource {
    fields: Fields,
}

impl SettingSource {
    /// Collects the flags that were given and the variables that are set.
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
            let variable = variable_of(name);
            if let Some(value) = flag {
                fields.insert(name, Place::Flag(flag_of(name)), FieldValue::Text(value));
            } else if let Some(value) = env(&variable) {
                fields.insert(name, Place::Variable(variable), FieldValue::Text(value));
            }
        }
        Self { fields }
    }

    /// Place of a setting.
    pub fn place(&self, name: &str) -> Place {
        match self.fields.place_of(name) {
            Place::Whole(_) => Place::Flag(flag_of(name)),
            place => place,
        }
    }

    /// A text, or its default.
    pub fn text(&mut self, name: &str, default: &str, findings: &mut Findings) -> String {
        self.fields.text(name, findings).unwrap_or_else(|| default.to_owned())
    }

    /// A text that may be missing.
    pub fn optional(&mut self, name: &str, findings: &mut Findings) -> Option<String> {
        self.fields.text(name, findings).filter(|t| !t.is_empty())
    }

    /// A text that has to be given.
    pub fn required(&mut self, name: &str, findings: &mut Findings) -> String {
        let place = self.place(name);
        let text = self.fields.text(name, findings).unwrap_or_default();
        if text.trim().is_empty() {
            let variable = variable_of(name);
            findings.add(place, format!("missing; give the flag or {variable}"));
        }
        text
    }

    /// A name that has to be given.
    pub fn name(&mut self, name: &str, findings: &mut Findings) -> SmolStr {
        let place = self.place(name);
        let text = self.required(name, findings);
        let plain = |c: char| c.is_alphanumeric() || "._-".contains(c);
        if !text.is_empty() && (!text.chars().all(plain) || text.len() > 64) {
            let wants = "letters, digits, dot, dash and underscore, at most 64 bytes";
            findings.add(place, format!("{text:?} is no name; use {wants}"));
        }
        text.into()
    }

    /// A number within bounds, or its default.
    pub fn number(
        &mut self,
        name: &str,
        range: RangeInclusive<u64>,
        default: u64,
        findings: &mut Findings,
    ) -> u64 {
        self.fields.number(name, range, findings).unwrap_or(default)
    }

    /// An address, or its default.
    pub fn address(&mut self, name: &str, default: &str, findings: &mut Findings) -> SocketAddr {
        let place = self.place(name);
        let text = self.text(name, default, findings);
        parse_address(&text, place, findings)
    }

    /// A list of addresses that has to be given.
    pub fn addresses(&mut self, name: &str, findings: &mut Findings) -> Vec<SocketAddr> {
        let place = self.place(name);
        let text = self.required(name, findings);
        let parts = text.split(',').map(str::trim).filter(|p| !p.is_empty());
        parts.map(|p| parse_address(p, place.clone(), findings)).collect()
    }

    /// A list of `NAME=IP:PORT` that has to be given.
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
                findings.add(place.clone(), format!("{part:?} is not like NAME=IP:PORT"));
                continue;
            };
            if list.iter().any(|(known, _)| known == key) {
                findings.add(place.clone(), format!("{key:?} stands twice"));
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

fn flag_of(name: &str) -> String {
    name.replace('_', "-")
}

fn variable_of(name: &str) -> String {
    format!("{ENV_PREFIX}{}", name.to_uppercase())
}
