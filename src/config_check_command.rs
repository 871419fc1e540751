//! The command `config check`: reads the documents, checks them and prints the result.

use std::collections::BTreeSet;
use std::fs::File;
use std::io::{self, Read, Write};

use crate::cli::ConfigCheckOptions;
use crate::commands::CommandError;
use crate::config_check::differences::compare;
use crate::config_check::model::ConfigDocument;
use crate::config_check::report::{Report, printable};
use crate::config_check::{Scope, check};
use crate::document::MAX_DOCUMENT_BYTES;
use crate::exit_codes::ExitCode;
use crate::findings::{Findings, Place};
use crate::ids::RegionName;
use crate::platform::{checked_document, document_in_force};

/// Document in force, and where it was read.
struct InForce {
    source: String,
    document: ConfigDocument,
}

/// Why the document in force could not be read.
enum InForceError {
    /// The file or the options are invalid.
    Input(String),
    /// No control address answered, or its document cannot be read.
    Control(String),
}

/// Checks a document, and compares it with the one in force if that is asked for.
///
/// The findings of the document are printed also if the one in force cannot be read.
///
/// # Errors
/// An option is invalid.
pub async fn run(options: ConfigCheckOptions) -> Result<ExitCode, CommandError> {
    let known_regions = options.zones.as_deref().map(parse_regions).transpose();
    let known_regions = known_regions.map_err(|e| CommandError::Input(format!("--zones: {e}")))?;
    if options.against.is_some() && options.in_force.is_some() {
        let text = "--against and --in-force both name the document in force; give one of them";
        return Err(CommandError::Input(text.into()));
    }
    let read = read_file(&options.file)
        .and_then(|body| checked_document::read(&printable(&options.file), &body));
    let read = match read {
        Ok(read) => read,
        Err(errors) => {
            let report = Report::new(errors);
            return finish(&options, &report, report.to_string(), ExitCode::Success);
        }
    };
    let (in_force, failure) = match read_in_force(&options).await {
        Ok(in_force) => (in_force, None),
        Err(e) => (None, Some(e)),
    };
    let mut report = Report::new(read.refused);
    let scope = Scope { in_force: in_force.as_ref().map(|i| &i.document), known_regions };
    check(&read.document, &scope, &mut report);
    let mut output = report.to_string();
    if let Some(in_force) = &in_force {
        let (old, new) = (in_force.document.version, read.document.version);
        let source = printable(&in_force.source);
        output += &format!("differences from version {old} ({source}) to version {new}:\n");
        output += &compare(&in_force.document, &read.document).to_string();
    }
    let code = match &failure {
        None => ExitCode::Success,
        Some(InForceError::Input(_)) => ExitCode::BadInput,
        Some(InForceError::Control(_)) => ExitCode::Failure,
    };
    if let Some(InForceError::Input(text) | InForceError::Control(text)) = failure {
        output += &format!("error: {}\n", printable(&text));
    }
    finish(&options, &report, output, code)
}

/// Prints the result and returns the exit code: that of invalid input if the document does not pass,
/// and otherwise `code`.
fn finish(
    options: &ConfigCheckOptions,
    report: &Report,
    mut output: String,
    code: ExitCode,
) -> Result<ExitCode, CommandError> {
    let (errors, warnings) = (report.errors.total(), report.warnings.total());
    let verdict = match (report.passes(false), report.passes(options.strict)) {
        (_, true) if code == ExitCode::Success => "valid",
        (_, true) => "valid, but not compared with the document in force",
        (true, false) => "not valid, since --strict counts warnings as errors",
        (false, false) => "not valid",
    };
    let file = printable(&options.file);
    output += &format!("{file}: {verdict}; {errors} errors, {warnings} warnings\n");
    // A reader that closes the pipe early, such as `head`, does not change the result.
    let _ = io::stdout().lock().write_all(output.as_bytes());
    Ok(if report.passes(options.strict) { code } else { ExitCode::BadInput })
}

async fn read_in_force(options: &ConfigCheckOptions) -> Result<Option<InForce>, InForceError> {
    if let Some(path) = &options.against {
        let read = read_file(path).and_then(|body| checked_document::read(&printable(path), &body));
        let describe = |findings: Findings| {
            let text = findings.to_string();
            InForceError::Input(format!("--against: {}", text.trim_end()))
        };
        let document = read.map_err(describe)?.document;
        return Ok(Some(InForce { source: path.clone(), document }));
    }
    let Some(list) = &options.in_force else { return Ok(None) };
    let addresses = document_in_force::parse_addresses(list)
        .map_err(|e| InForceError::Input(format!("--in-force: {e}")))?;
    let (source, body) = document_in_force::fetch(&addresses).await.map_err(|e| {
        InForceError::Control(format!(
            "--in-force: no control address answered with the document in force ({e}); check the \
             addresses, or save the document to a file and use --against"
        ))
    })?;
    let read = checked_document::read("document in force", &body).map_err(|findings| {
        let text = findings.to_string();
        InForceError::Control(format!(
            "--in-force: {}; check that the addresses are those of control",
            text.trim_end()
        ))
    })?;
    Ok(Some(InForce { source, document: read.document }))
}

fn read_file(path: &str) -> Result<Vec<u8>, Findings> {
    let read = || {
        let mut body = Vec::new();
        // One byte more shows that the file is too large, without reading all of it.
        let limit = MAX_DOCUMENT_BYTES as u64 + 1;
        File::open(path)?.take(limit).read_to_end(&mut body)?;
        Ok(body)
    };
    read().map_err(|e: io::Error| {
        let advice = match e.kind() {
            io::ErrorKind::IsADirectory => "is a directory; name a JSON file in it".into(),
            io::ErrorKind::NotFound => "does not exist; name the JSON document".into(),
            _ => format!("cannot be read: {e}; name a readable JSON file"),
        };
        let mut findings = Findings::default();
        findings.add(Place::File { path: path.into(), line: 0, column: 0 }, advice);
        findings
    })
}

/// Regions of a list `ZONE=REGION,...`.
fn parse_regions(list: &str) -> Result<BTreeSet<RegionName>, String> {
    let items = list.split(',').map(str::trim).filter(|item| !item.is_empty());
    let parse = |item: &str| match item.split_once('=') {
        Some((zone, region)) if !zone.is_empty() && !region.is_empty() => Ok(region.into()),
        _ => Err(format!("{:?} is not like ZONE=REGION", printable(item))),
    };
    let regions = items.map(parse).collect::<Result<BTreeSet<RegionName>, _>>()?;
    if regions.is_empty() {
        return Err("names no zone; give ZONE=REGION,...".into());
    }
    Ok(regions)
}
