//! Parses TOML files into records whose values know their line and column.

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::fields::{FieldValue, Fields};
use crate::findings::{Findings, Place};

/// Maximum size of an inventory or rules file in bytes.
pub const MAX_FILE_BYTES: usize = 64 * 1024 * 1024;

/// Parses the content of a file; `path` is used in findings only. Syntax errors and a file that is
/// too large are findings, and the record is then empty.
///
/// ```
/// use bitternlead::{config::toml_file, findings::Findings};
///
/// let mut findings = Findings::default();
/// toml_file::read("rules.toml", "a = = 1", &mut findings);
/// assert!(findings.to_string().starts_with("rules.toml:1:"));
/// ```
pub fn read(path: &str, text: &str, findings: &mut Findings) -> Fields {
    let file_place = Place::File { path: path.to_owned(), line: 0, column: 0 };
    if text.len() > MAX_FILE_BYTES {
        findings.add(file_place.clone(), format!("file is larger than {MAX_FILE_BYTES} bytes"));
        return Fields::new(file_place);
    }
    let converter = Converter { path, line_starts: find_line_starts(text) };
    let (table, errors) = DeTable::parse_recoverable(text);
    for error in &errors {
        let offset = error.span().map_or(0, |s| s.start);
        findings.add(converter.place(offset), error.message().replace('\n', ", "));
    }
    if !errors.is_empty() {
        return Fields::new(file_place);
    }
    converter.fields(file_place, table.get_ref())
}

/// Converts parsed TOML values.
struct Converter<'a> {
    path: &'a str,
    /// Byte offsets at which lines start.
    line_starts: Vec<usize>,
}

impl Converter<'_> {
    fn place(&self, offset: usize) -> Place {
        let line = self.line_starts.partition_point(|start| *start <= offset);
        let start = self.line_starts.get(line.saturating_sub(1)).copied().unwrap_or(0);
        Place::File { path: self.path.to_owned(), line, column: offset - start + 1 }
    }

    fn fields(&self, place: Place, table: &DeTable<'_>) -> Fields {
        let mut fields = Fields::new(place);
        for (key, value) in table {
            let place = self.place(key.span().start);
            fields.insert(key.get_ref(), place, self.value(value));
        }
        fields
    }

    fn value(&self, value: &Spanned<DeValue<'_>>) -> FieldValue {
        match value.get_ref() {
            DeValue::String(s) => FieldValue::Text(s.to_string()),
            DeValue::Integer(i) => FieldValue::Text(i.as_str().to_owned()),
            DeValue::Float(f) => FieldValue::Text(f.as_str().to_owned()),
            DeValue::Boolean(b) => FieldValue::Boolean(*b),
            DeValue::Datetime(_) => FieldValue::Other("a date"),
            DeValue::Table(table) => {
                FieldValue::Records(vec![self.fields(self.place(value.span().start), table)])
            }
            DeValue::Array(items) => self.array(items),
        }
    }

    fn array(&self, items: &[Spanned<DeValue<'_>>]) -> FieldValue {
        let mut texts = Vec::new();
        let mut records = Vec::new();
        for item in items {
            match self.value(item) {
                FieldValue::Text(text) => texts.push(text),
                FieldValue::Records(nested) => records.extend(nested),
                _ => return FieldValue::Other("a mixed list"),
            }
        }
        match (texts.is_empty(), records.is_empty()) {
            (_, true) => FieldValue::List(texts),
            (true, false) => FieldValue::Records(records),
            _ => FieldValue::Other("a mixed list"),
        }
    }
}

fn find_line_starts(text: &str) -> Vec<usize> {
    let mut starts = vec![0];
    starts.extend(text.bytes().enumerate().filter(|(_, b)| *b == b'\n').map(|(i, _)| i + 1));
    starts
}
