//! Merges the logs of several processes into the timeline of one request.

use std::collections::BTreeMap;
use std::fmt;
use std::path::PathBuf;

use jiff::Timestamp;
use serde_json::Value;
use smol_str::SmolStr;
use snafu::{ResultExt, Snafu};

/// Fields that every log line has; they are kept apart from the event's own fields.
const STANDARD_FIELDS: [&str; 6] = ["ts", "msg", "level", "event", "node", "role"];

/// Why a timeline could not be built.
#[derive(Debug, Snafu)]
pub enum TraceError {
    /// A log file could not be read.
    #[snafu(display("{}: {source}; name a log file that this user may read", path.display()))]
    Read {
        /// Path of the log file.
        path: PathBuf,
        /// Error that the operating system returned.
        source: std::io::Error,
    },
}

/// One parsed log line.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceLine {
    /// Wall time at which the process wrote the line, by the clock of its host.
    pub at: Timestamp,
    /// Name of the node that wrote the line.
    pub node: SmolStr,
    /// Role of the process: `entry`, `agent` or `control`.
    pub role: SmolStr,
    /// Code of the event, such as `E600`.
    pub event: SmolStr,
    /// Message of the event.
    pub text: String,
    /// Id of the request that the line is about, if any.
    pub request: Option<SmolStr>,
    /// The other fields by name, as text.
    pub fields: BTreeMap<String, String>,
}

impl TraceLine {
    /// Parses one log line; returns `None` if it is not a JSON event line of this program.
    ///
    /// ```
    /// use bitternlead::trace::TraceLine;
    ///
    /// let text = r#"{"ts":"2026-01-02T03:04:05Z","msg":"request refused","event":"E600",
    ///     "node":"n1","role":"entry","request":"4f","reason":"no endpoint takes work"}"#;
    /// let line = TraceLine::parse(text).unwrap();
    /// assert_eq!(line.request.as_deref(), Some("4f"));
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let value: Value = serde_json::from_str(&text[start..]).ok()?;
        let object = value.as_object()?;
        let string_field = |name: &str| object.get(name).and_then(Value::as_str);
        let other_fields =
            object.iter().filter(|(name, _)| !STANDARD_FIELDS.contains(&name.as_str()));
        Some(Self {
            at: string_field("ts")?.parse().ok()?,
            node: SmolStr::new(string_field("node")?),
            role: SmolStr::new(string_field("role")?),
            event: SmolStr::new(string_field("event")?),
            text: string_field("msg")?.to_owned(),
            request: string_field("request").map(SmolStr::new),
            fields: other_fields.map(|(name, value)| (name.clone(), format_value(value))).collect(),
        })
    }
}

fn format_value(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

impl fmt::Display for TraceLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}/{} {} {}", self.at, self.node, self.role, self.event, self.text)?;
        let extra_fields = self.fields.iter().filter(|(name, _)| name.as_str() != "request");
        for (name, value) in extra_fields {
            write!(f, " {name}={value}")?;
        }
        Ok(())
    }
}

/// The log lines about one request, and those about the nodes during that time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Timeline {
    /// The lines in the order of their wall times.
    pub lines: Vec<TraceLine>,
    /// Number of lines that contain a brace but could not be parsed.
    pub unparsed: usize,
}

impl Timeline {
    /// Reads log files and selects the lines about a request.
    ///
    /// Lines about no request, such as the loss of a control replica, are included if they fall
    /// between `margin` before the request's first line and its last line.
    ///
    /// # Errors
    /// Fails if a file cannot be read.
    pub fn read(
        request: &str,
        files: &[PathBuf],
        margin: std::time::Duration,
    ) -> Result<Self, TraceError> {
        let mut all = Vec::new();
        let mut unparsed = 0;
        for path in files {
            let data = std::fs::read(path).context(ReadSnafu { path })?;
            let text = String::from_utf8_lossy(&data);
            for line in text.lines().filter(|l| l.contains('{')) {
                match TraceLine::parse(line) {
                    Some(line) => all.push(line),
                    None => unparsed += 1,
                }
            }
        }
        Ok(Self { lines: select(request, all, margin), unparsed })
    }
}

/// Selects the lines about a request and those about no request that fall into its time.
fn select(request: &str, mut all: Vec<TraceLine>, margin: std::time::Duration) -> Vec<TraceLine> {
    all.sort_by_key(|l| l.at);
    let is_about_request = |l: &&TraceLine| l.request.as_deref() == Some(request);
    let Some(first) = all.iter().find(is_about_request).map(|l| l.at) else { return Vec::new() };
    let last = all.iter().rev().find(is_about_request).map_or(first, |l| l.at);
    let from = first.checked_sub(margin).unwrap_or(first);
    let is_relevant = |l: &TraceLine| match &l.request {
        Some(other) => other == request,
        None => l.at >= from && l.at <= last,
    };
    all.retain(is_relevant);
    all
}
