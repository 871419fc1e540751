//! Problems found in settings and input files, collected with their places and reported together.

use std::fmt;

/// Where a problem was found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Place {
    /// A command line flag, without its dashes.
    Flag(String),
    /// An environment variable.
    Variable(String),
    /// A position in a file; lines and columns start at 1, and 0 means unknown.
    File {
        /// Path as the operator gave it.
        path: String,
        /// Line number from 1; with 0 only the path is printed.
        line: usize,
        /// Column number from 1; with 0 only the path and the line are printed.
        column: usize,
    },
    /// The input as a whole, or a part of it that has no position; the text names it.
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
    /// Where the problem was found.
    pub place: Place,
    /// What is wrong and how to correct it.
    pub text: String,
}

/// Number of findings that are kept; further ones are only counted, so that the report of a large
/// broken file stays readable.
const MAX_FINDINGS: usize = 100;

/// Collection of the problems of one input.
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
    dropped: usize,
}

impl Findings {
    /// Adds a problem.
    pub fn add(&mut self, place: Place, text: impl Into<String>) {
        if self.list.len() < MAX_FINDINGS {
            self.list.push(Finding { place, text: text.into() });
        } else {
            self.dropped += 1;
        }
    }

    /// Whether no problem was found.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// The problems that were kept, in the order in which they were added.
    pub fn list(&self) -> &[Finding] {
        &self.list
    }

    /// Number of problems, including those that were not kept.
    pub fn total(&self) -> usize {
        self.list.len() + self.dropped
    }

    /// Adds the problems of another collection, its count of dropped ones included.
    pub fn extend(&mut self, other: Findings) {
        for finding in other.list {
            self.add(finding.place, finding.text);
        }
        self.dropped += other.dropped;
    }

    /// Returns the value if no problem was found.
    ///
    /// # Errors
    /// Fails with the findings if there are any.
    pub fn into_result<T>(self, value: T) -> Result<T, Findings> {
        if self.is_empty() { Ok(value) } else { Err(self) }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.list {
            writeln!(f, "{}: {}", finding.place, finding.text)?;
        }
        if self.dropped > 0 {
            writeln!(f, "and {} more findings", self.dropped)?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
