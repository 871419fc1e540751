//! Problems of an input, collected with their place and reported together.

use std::fmt;

/// Where a problem was found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Place {
    /// A command line flag, without its dashes.
    Flag(String),
    /// An environment variable.
    Variable(String),
    /// A position in a file; line and column count from 1, 0 is unknown.
    File {
        /// Path as it was given.
        path: String,
        /// Line.
        line: usize,
        /// Column.
        column: usize,
    },
    /// The input as a whole.
    Whole(String),
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Flag(name) => write!(f, "--{name}"),
            Self::Variable(name) => write!(f, "{name}"),
            Self::File { path, line: 0, .. } => write!(f, "{path}"),
            Self::File { path, line, column: 0 } => write!(f, "{path}:{line}"),
            Self::File { path, line, column } => write!(f, "{path}:{line}:{column}"),
            Self::Whole(what) => write!(f, "{what}"),
        }
    }
}

/// One problem and its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Where it is.
    pub place: Place,
    /// What is wrong and what to do.
    pub text: String,
}

/// Most findings that are kept; the rest is only counted.
const MOST_FINDINGS: usize = 100;

/// Problems collected so far.
///
/// ```
/// use bitternlead::findings::{Findings, Place};
///
/// let mut findings = Findings::default();
/// findings.add(Place::Flag("listen".into()), "not an address; give IP:PORT");
/// assert_eq!(findings.to_string(), "--listen: not an address; give IP:PORT\n");
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings {
    list: Vec<Finding>,
    more: usize,
}

impl Findings {
    /// Adds a problem.
    pub fn add(&mut self, place: Place, text: impl Into<String>) {
        if self.list.len() < MOST_FINDINGS {
            self.list.push(Finding { place, text: text.into() });
        } else {
            self.more += 1;
        }
    }

    /// Whether nothing was found.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// The problems kept.
    pub fn list(&self) -> &[Finding] {
        &self.list
    }

    /// Adds the problems of another collection.
    pub fn extend(&mut self, other: Findings) {
        for finding in other.list {
            self.add(finding.place, finding.text);
        }
        self.more += other.more;
    }

    /// The value if nothing was found, else the findings.
    pub fn into_result<T>(self, value: T) -> Result<T, Findings> {
        if self.is_empty() { Ok(value) } else { Err(self) }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.list {
            writeln!(f, "{}: {}", finding.place, finding.text)?;
        }
        if self.more > 0 {
            writeln!(f, "and {} more findings", self.more)?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
