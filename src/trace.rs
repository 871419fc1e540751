//! Joins the logs of several processes into the timeline of one request.

use std::collections::BTreeMap;
use std::fmt;
use std::path::PathBuf;

use jiff::Timestamp;
use serde_json::Value;
use smol_str::SmolStr;
use snafu::{ResultExt, Snafu};

/// Fields that every line has, and that are not repeated among the others.
const COMMON: [&str; 6] = ["ts", "msg", "level", "event", "node", "role"];

/// Why a timeline could not be made.
#[derive(Debug, Snafu)]
pub enum TraceError {
    /// A log file could not be read.
    #[snafu(display("{}: {source}; name a log file that this user may read", path.display()))]
    Read {
        /// File.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
}

/// One line of a log.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceLine {
    /// Wall time of the process that wrote it.
    pub at: Timestamp,
    /// Node.
    pub node: SmolStr,
    /// Role.
    pub role: SmolStr,
    /// Number of the event.
    pub event: SmolStr,
    /// Message.
    pub text: String,
    /// Request that it is about.
    pub request: Option<SmolStr>,
    /// Other fields by name.
    pub fields: BTreeMap<String, String>,
}

impl TraceLine {
    /// Reads one log line; `None` if it is none of ours.
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
        let own = |name: &str| object.get(name).and_then(Value::as_str);
        let others = object.iter().filter(|(name, _)| !COMMON.contains(&name.as_str()));
        Some(Self {
            at: own("ts")?.parse().ok()?,
            node: SmolStr::new(own("node")?),
            role: SmolStr::new(own("role")?),
            event: SmolStr::new(own("event")?),
            text: own("msg")?.to_owned(),
            request: own("request").map(SmolStr::new),
            fields: others.map(|(name, value)| (name.clone(), show(value))).collect(),
        })
    }
}

fn show(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

impl fmt::Display for TraceLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}/{} {} {}", self.at, self.node, self.role, self.event, self.text)?;
        let told = self.fields.iter().filter(|(name, _)| name.as_str() != "request");
        for (name, value) in told {
            write!(f, " {name}={value}")?;
        }
        Ok(())
    }
}

/// All that the logs tell of one request, and what changed on the nodes meanwhile.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Timeline {
    /// Lines in the order of their wall times.
    pub lines: Vec<TraceLine>,
    /// Lines that could not be read.
    pub unread: usize,
}

impl Timeline {
    /// Reads log files and keeps what concerns a request.
    ///
    /// Lines about no request at all, like a lost control replica, are kept if they fall into
    /// the time of the request, from `margin` before it on.
    ///
    /// # Errors
    /// A file could not be read.
    pub fn read(
        request: &str,
        files: &[PathBuf],
        margin: std::time::Duration,
    ) -> Result<Self, TraceError> {
        let mut all = Vec::new();
        let mut unread = 0;
        for path in files {
            let data = std::fs::read(path).context(ReadSnafu { path })?;
            let text = String::from_utf8_lossy(&data);
            for line in text.lines().filter(|l| l.contains('{')) {
                match TraceLine::parse(line) {
                    Some(line) => all.push(line),
                    None => unread += 1,
                }
            }
        }
        Ok(Self { lines: select(request, all, margin), unread })
    }
}

fn select(request: &str, mut all: Vec<TraceLine>, margin: std::time::Duration) -> Vec<TraceLine> {
    all.sort_by_key(|l| l.at);
    let own = |l: &&TraceLine| l.request.as_deref() == Some(request);
    let Some(first) = all.iter().find(own).map(|l| l.at) else { return Vec::new() };
    let last = all.iter().rev().find(own).map_or(first, |l| l.at);
    let from = first.checked_sub(margin).unwrap_or(first);
    let concerns = |l: &TraceLine| match &l.request {
        Some(other) => other == request,
        None => l.at >= from && l.at <= last,
    };
    all.retain(concerns);
    all
}
