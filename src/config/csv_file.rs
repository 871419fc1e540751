//! Parses CSV files with a header line into records whose values know their line.

use super::fields::{FieldValue, Fields};
use super::toml_file::MAX_FILE_BYTES;
use crate::findings::{Findings, Place};

/// Maximum number of records in one file.
const MAX_RECORDS: usize = 100_000;

/// Parses the content of a file; `path` is used in findings only. Invalid lines and a file that is
/// too large are findings; empty cells count as missing.
pub fn read(path: &str, text: &str, findings: &mut Findings) -> Vec<Fields> {
    let line_place = |line: usize| Place::File { path: path.to_owned(), line, column: 0 };
    if text.len() > MAX_FILE_BYTES {
        findings.add(line_place(0), format!("file is larger than {MAX_FILE_BYTES} bytes"));
        return Vec::new();
    }
    let mut reader = csv::ReaderBuilder::new().trim(csv::Trim::All).from_reader(text.as_bytes());
    let header = match reader.headers() {
        Ok(header) => header.clone(),
        Err(e) => {
            findings.add(line_place(1), e.to_string());
            return Vec::new();
        }
    };
    let mut records = Vec::new();
    for record in reader.records() {
        if records.len() == MAX_RECORDS {
            findings.add(line_place(0), format!("more than {MAX_RECORDS} records"));
            break;
        }
        match record {
            Ok(record) => {
                let line = record.position().map_or(0, |p| p.line() as usize);
                records.push(parse_record(&header, &record, line_place(line)));
            }
            Err(e) => {
                let line = e.position().map_or(0, |p| p.line() as usize);
                findings.add(line_place(line), e.to_string());
            }
        }
    }
    records
}

fn parse_record(header: &csv::StringRecord, record: &csv::StringRecord, place: Place) -> Fields {
    let mut fields = Fields::new(place.clone());
    for (key, value) in header.iter().zip(record) {
        if !value.is_empty() {
            fields.insert(key, place.clone(), FieldValue::Text(value.to_owned()));
        }
    }
    fields
}
