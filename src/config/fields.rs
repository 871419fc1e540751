//! Values of one record, by name and with their places. Readers take out the values that they know;
//! what is left over is an unknown setting.

use std::collections::BTreeMap;
use std::str::FromStr;

use crate::findings::{Findings, Place};

/// Value from a file, a flag or an environment variable, before it is parsed.
#[derive(Clone, Debug, PartialEq)]
pub enum FieldValue {
    /// String or number; flags, variables and CSV have no other type.
    Text(String),
    /// Boolean of a TOML file.
    Boolean(bool),
    /// List of strings or numbers.
    List(Vec<String>),
    /// Table or list of tables.
    Records(Vec<Fields>),
    /// Value of a type that no setting has, with a name for the type.
    Other(&'static str),
}

/// Values of one record. Each can be taken once.
#[derive(Clone, Debug, PartialEq)]
pub struct Fields {
    place: Place,
    values: BTreeMap<String, (Place, FieldValue)>,
}

impl Fields {
    /// Creates an empty record; `place` is used in findings about missing values.
    pub fn new(place: Place) -> Self {
        Self { place, values: BTreeMap::new() }
    }

    /// Place of the record itself.
    pub fn place(&self) -> &Place {
        &self.place
    }

    /// Adds a value, or replaces one of the same name.
    pub fn insert(&mut self, key: &str, place: Place, value: FieldValue) {
        self.values.insert(key.to_owned(), (place, value));
    }

    /// Takes a string; `None` if it is missing, too long, or of another type.
    pub fn text(&mut self, key: &str, findings: &mut Findings) -> Option<String> {
        let (place, value) = self.values.remove(key)?;
        match value {
            FieldValue::Text(text) if text.len() > MAX_STRING_BYTES => {
                findings.add(place, format!("{key} is longer than {MAX_STRING_BYTES} bytes"));
                None
            }
            FieldValue::Text(text) => Some(text),
            _ => {
                findings.add(place, format!("{key} must be a string"));
                None
            }
        }
    }

    /// Takes a required string; a missing or blank one is a finding.
    pub fn required(&mut self, key: &str, findings: &mut Findings) -> String {
        if !self.values.contains_key(key) {
            findings.add(self.place.clone(), format!("{key} is missing; add it"));
            return String::new();
        }
        let place = self.values[key].0.clone();
        let text = self.text(key, findings).unwrap_or_default();
        if text.trim().is_empty() {
            findings.add(place, format!("{key} is empty; give it a value"));
        }
        text
    }

    /// Takes a string and parses it; `expects` describes the type in the finding.
    pub fn parse<T: FromStr>(
        &mut self,
        key: &str,
        expects: &str,
        findings: &mut Findings,
    ) -> Option<T> {
        let place = self.values.get(key)?.0.clone();
        let text = self.text(key, findings)?;
        match text.trim().parse() {
            Ok(value) => Some(value),
            Err(_) => {
                findings.add(place, format!("{key} = {text:?} is not {expects}"));
                None
            }
        }
    }

    /// Takes a whole number within a range; a value outside is a finding and `None`.
    pub fn number(
        &mut self,
        key: &str,
        range: std::ops::RangeInclusive<u64>,
        findings: &mut Findings,
    ) -> Option<u64> {
        let place = self.values.get(key)?.0.clone();
        let expects = "a whole number";
        let value: u64 = self.parse(key, expects, findings)?;
        if range.contains(&value) {
            return Some(value);
        }
        let (low, high) = range.into_inner();
        findings.add(place, format!("{key} = {value} is not between {low} and {high}"));
        None
    }

    /// Takes a boolean, or a string that is `true` or `false`.
    pub fn boolean(&mut self, key: &str, findings: &mut Findings) -> Option<bool> {
        if let Some((_, FieldValue::Boolean(value))) = self.values.get(key) {
            let value = *value;
            self.values.remove(key);
            return Some(value);
        }
        self.parse(key, "true or false", findings)
    }

    /// Takes a list of strings; a single string is split at `;` and `,`. Empty if missing.
    pub fn list(&mut self, key: &str, findings: &mut Findings) -> Vec<String> {
        match self.values.remove(key) {
            None => Vec::new(),
            Some((_, FieldValue::List(list))) => list,
            Some((_, FieldValue::Text(text))) => split_list(&text),
            Some((place, _)) => {
                findings.add(place, format!("{key} must be a list of strings"));
                Vec::new()
            }
        }
    }

    /// Takes nested records; empty if missing.
    pub fn records(&mut self, key: &str, findings: &mut Findings) -> Vec<Fields> {
        match self.values.remove(key) {
            None => Vec::new(),
            Some((_, FieldValue::Records(records))) => records,
            Some((place, _)) => {
                findings.add(place, format!("{key} must be written as [[{key}]] tables"));
                Vec::new()
            }
        }
    }

    /// Place of a value, or of the record if the value is missing or was taken.
    pub fn place_of(&self, key: &str) -> Place {
        self.values.get(key).map_or_else(|| self.place.clone(), |(place, _)| place.clone())
    }

    /// Reports every value that was not taken as unknown.
    pub fn reject_unknown(self, findings: &mut Findings) {
        for (key, (place, _)) in self.values {
            findings.add(place, format!("unknown setting {key:?}; remove it or correct its name"));
        }
    }
}

/// Maximum length of a string in bytes.
const MAX_STRING_BYTES: usize = 4096;

fn split_list(text: &str) -> Vec<String> {
    let parts = text.split([';', ',']).map(str::trim).filter(|p| !p.is_empty());
    parts.map(str::to_owned).collect()
}
