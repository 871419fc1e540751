//! Result of a check as the operator reads it.

use std::fmt;

use crate::findings::Findings;

/// Longest text of a finding or difference that is printed, in characters; longer ones, such as a
/// name of a megabyte, are cut in their middle.
const MAX_TEXT_CHARS: usize = 400;

/// Characters of a cut text that are kept at its end, where findings say what to do.
const KEPT_END_CHARS: usize = 150;

/// Errors and warnings of one document. They are limited separately, so that many warnings hide no
/// error.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// What control would reject or ignore.
    pub errors: Findings,
    /// What control accepts although it is probably not meant.
    pub warnings: Findings,
}

impl Report {
    /// Creates a report from the findings of control's decoder.
    pub fn new(refused: Findings) -> Self {
        Self { errors: refused, warnings: Findings::default() }
    }

    /// Whether the document may be sent; with `strict`, warnings count as errors.
    ///
    /// ```
    /// use bitternlead::config_check::report::Report;
    /// use bitternlead::findings::Place;
    ///
    /// let mut report = Report::default();
    /// report.warnings.add(Place::Whole("a route".into()), "never matches");
    /// assert!(report.passes(false) && !report.passes(true));
    /// ```
    pub fn passes(&self, strict: bool) -> bool {
        self.errors.is_empty() && (!strict || self.warnings.is_empty())
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (label, findings) in [("error", &self.errors), ("warning", &self.warnings)] {
            for finding in findings.list() {
                let place = printable(&finding.place.to_string());
                writeln!(f, "{label}: {place}: {}", printable(&finding.text))?;
            }
            let hidden = findings.total() - findings.list().len();
            if hidden > 0 {
                writeln!(f, "{label}: and {hidden} more")?;
            }
        }
        Ok(())
    }
}

/// Text for a terminal: control characters are escaped, and a long text is cut in its middle.
///
/// ```
/// use bitternlead::config_check::report::printable;
///
/// assert_eq!(printable("a\u{1b}[2Jb"), "a\\u{1b}[2Jb");
/// assert_eq!(printable(&"x".repeat(1_000_000)).chars().count(), 400);
/// ```
pub fn printable(text: &str) -> String {
    let is_unsafe = |c: char| c.is_control() || is_direction_mark(c);
    let length = text.chars().take(MAX_TEXT_CHARS + 1).count();
    let mut shown = String::new();
    let mut add = |c: char| match is_unsafe(c) {
        true => shown.extend(c.escape_unicode()),
        false => shown.push(c),
    };
    if length <= MAX_TEXT_CHARS {
        text.chars().for_each(add);
        return shown;
    }
    text.chars().take(MAX_TEXT_CHARS - KEPT_END_CHARS - 3).for_each(&mut add);
    "...".chars().for_each(&mut add);
    let end: Vec<char> = text.chars().rev().take(KEPT_END_CHARS).collect();
    end.into_iter().rev().for_each(add);
    shown
}

/// Marks that change the direction of text and could make one name look like another.
fn is_direction_mark(c: char) -> bool {
    matches!(c, '\u{200e}' | '\u{200f}' | '\u{202a}'..='\u{202e}' | '\u{2066}'..='\u{2069}')
}
