//! Reads a CSV file with a header line into records with their places.

use super::fields::{FieldValue, Fields};
use super::toml_file::MAX_FILE_BYTES;
use crate::findings::{Findings, Place};

/// Most records of one file.
const MAX_RECORDS: usize = 100_000;

/// Reads the text of a file; lines that cannot be read are findings.
pub fn read(path: &str, text: &str, findings: &mut Findings) -> Vec<Fields> {
    let place = |line: usize| Place::File { path: path.to_owned(), line, column: 0 };
    if text.len() > MAX_FILE_BYTES {
        findings.add(place(0), format!("larger than {MAX_FILE_BYTES} bytes"));
        return Vec::new();
    }
    let mut reader = csv::ReaderBuilder::new().trim(csv::Trim::All).from_reader(text.as_bytes());
    let header = match reader.headers() {
        Ok(header) => header.clone(),
        Err(e) => {
            findings.add(place(1), e.to_string());
            return Vec::new();
        }
    };
    let mut records = Vec::new();
    for record in reader.records() {
        if records.len() == MAX_RECORDS {
            findings.add(place(0), format!("more than {MAX_RECORDS} records"));
            break;
        }
        match record {
            Ok(record) => {
                let line = record.position().map_or(0, |p| p.line() as usize);
                records.push(read_record(&header, &record, place(line)));
            }
            Err(e) => {
                let line = e.position().map_or(0, |p| p.line() as usize);
                findings.add(place(line), e.to_string());
            }
        }
    }
    records
}

fn read_record(header: &csv::StringRecord, record: &csv::StringRecord, place: Place) -> Fields {
    let mut fields = Fields::new(place.clone());
    for (key, value) in header.iter().zip(record) {
        if !value.is_empty() {
            fields.insert(key, place.clone(), FieldValue::Text(value.to_owned()));
        }
    }
    fields
}
