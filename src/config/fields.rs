//! Named values of one record with their places, read one by one and checked for leftovers.

use std::collections::BTreeMap;
use std::str::FromStr;

use crate::findings::{Findings, Place};

/// A value as a file, flag or variable gives it.
#[derive(Clone, Debug, PartialEq)]
pub enum FieldValue {
    /// Text, or anything that stands as text in flags and CSV.
    Text(String),
    /// True or false.
    Boolean(bool),
    /// Several texts.
    List(Vec<String>),
    /// Nested records.
    Records(Vec<Fields>),
    /// A value of a kind that no setting has.
    Other(&'static str),
}

/// The values of one record.
#[derive(Clone, Debug, PartialEq)]
pub struct Fields {
    place: Place,
    values: BTreeMap<String, (Place, FieldValue)>,
}

impl Fields {
    /// Builds an empty record that starts at a place.
    pub fn new(place: Place) -> Self {
        Self { place, values: BTreeMap::new() }
    }

    /// Place of the record.
    pub fn place(&self) -> &Place {
        &self.place
    }

    /// Adds a value.
    pub fn insert(&mut self, key: &str, place: Place, value: FieldValue) {
        self.values.insert(key.to_owned(), (place, value));
    }

    /// Takes a text.
    pub fn text(&mut self, key: &str, findings: &mut Findings) -> Option<String> {
        let (place, value) = self.values.remove(key)?;
        match value {
            FieldValue::Text(text) if text.len() > MAX_TEXT => {
                findings.add(place, format!("{key} is longer than {MAX_TEXT} bytes"));
                None
            }
            FieldValue::Text(text) => Some(text),
            _ => {
                findings.add(place, format!("{key} has to be a text"));
                None
            }
        }
    }

    /// Takes a text that has to be there and not be empty.
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

    /// Takes a value of another type; `expects` says what it should look like.
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

    /// Takes a number within bounds.
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

    /// Takes true or false.
    pub fn boolean(&mut self, key: &str, findings: &mut Findings) -> Option<bool> {
        if let Some((_, FieldValue::Boolean(value))) = self.values.get(key) {
            let value = *value;
            self.values.remove(key);
            return Some(value);
        }
        self.parse(key, "true or false", findings)
    }

    /// Takes a list; in flags and CSV the parts are separated by `;` or `,`.
    pub fn list(&mut self, key: &str, findings: &mut Findings) -> Vec<String> {
        match self.values.remove(key) {
            None => Vec::new(),
            Some((_, FieldValue::List(list))) => list,
            Some((_, FieldValue::Text(text))) => split_list(&text),
            Some((place, _)) => {
                findings.add(place, format!("{key} has to be a list of texts"));
                Vec::new()
            }
        }
    }

    /// Takes nested records.
    pub fn records(&mut self, key: &str, findings: &mut Findings) -> Vec<Fields> {
        match self.values.remove(key) {
            None => Vec::new(),
            Some((_, FieldValue::Records(records))) => records,
            Some((place, _)) => {
                findings.add(place, format!("write {key} as [[{key}]] tables"));
                Vec::new()
            }
        }
    }

    /// Place of a value, or of the record when the value is missing.
    pub fn place_of(&self, key: &str) -> Place {
        self.values.get(key).map_or_else(|| self.place.clone(), |(place, _)| place.clone())
    }

    /// Reports every value that nobody took.
    pub fn reject_unknown(self, findings: &mut Findings) {
        for (key, (place, _)) in self.values {
            findings.add(place, format!("{key:?} is not known here; remove it or mend its name"));
        }
    }
}

/// Longest text of one setting in bytes.
const MAX_TEXT: usize = 4096;

fn split_list(text: &str) -> Vec<String> {
    let parts = text.split([';', ',']).map(str::trim).filter(|p| !p.is_empty());
    parts.map(str::to_owned).collect()
}
