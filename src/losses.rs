//! Counts why streams were late or lost, from the logs of entries.

use std::collections::BTreeMap;
use std::fmt;

use crate::gateway::placement::value::{LATE_LOSS_SHARE, value};
use crate::prompt_class::PromptClass;
use crate::trace::TraceLine;

/// Code of the event that ends a stream.
const STREAM_ENDED: &str = "E607";

/// Code of the event of a refused request.
const REQUEST_REFUSED: &str = "E600";

/// Value of the field `ended` of a stream that was forwarded completely.
const COMPLETE: &str = "complete";

/// How a stream ended, as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fate {
    /// Complete and in time.
    InTime,
    /// Complete; the first event came after the objective.
    LateFirstEvent,
    /// Complete; a pause was longer than the route allows.
    LongPause,
    /// Complete, with a late first event and a long pause.
    Both,
    /// The caller closed the connection before the end.
    CallerLeft,
    /// It broke off or ran out of time.
    BrokenOff,
}

impl Fate {
    /// Name used in the table.
    pub fn name(self) -> &'static str {
        match self {
            Self::InTime => "in time",
            Self::LateFirstEvent => "first event",
            Self::LongPause => "pause",
            Self::Both => "first event and pause",
            Self::CallerLeft => "caller left",
            Self::BrokenOff => "broken off",
        }
    }

    /// Fraction of the value that is lost.
    fn lost_share(self) -> f64 {
        match self {
            Self::InTime => 0.0,
            Self::LateFirstEvent | Self::LongPause | Self::Both => LATE_LOSS_SHARE,
            Self::CallerLeft | Self::BrokenOff => 1.0,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    count: u64,
    lost_value: f64,
}

/// Streams by prompt class and fate, and refusals by reason.
///
/// A caller that returns after a refusal appears as a request of its own, whose time begins anew.
///
/// ```
/// use bitternlead::losses::{Fate, LossTable};
/// use bitternlead::trace::TraceLine;
///
/// let text = r#"{"ts":"2026-01-02T03:04:05Z","msg":"stream ended","event":"E607","node":"n1",
///     "role":"entry","request":"4f","ended":"complete","first_ms":120,"longest_pause_ms":450,
///     "objective_ms":300,"pause_limit_ms":200,"prompt":5000,"output":1500}"#;
/// let mut table = LossTable::default();
/// table.add_line(&TraceLine::parse(text).unwrap());
/// assert_eq!(table.count(Fate::LongPause), 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct LossTable {
    streams: BTreeMap<(&'static str, Fate), Tally>,
    refusals: BTreeMap<String, u64>,
    total_value: f64,
}

impl LossTable {
    /// Adds a log line; lines about other events are left out.
    pub fn add_line(&mut self, line: &TraceLine) {
        match line.event.as_str() {
            STREAM_ENDED => self.add_stream(line),
            REQUEST_REFUSED => {
                let reason = line.fields.get("reason").cloned().unwrap_or_default();
                *self.refusals.entry(reason).or_default() += 1;
            }
            _ => {}
        }
    }

    /// Number of streams with this fate.
    pub fn count(&self, fate: Fate) -> u64 {
        self.streams.iter().filter(|((_, f), _)| *f == fate).map(|(_, tally)| tally.count).sum()
    }

    fn add_stream(&mut self, line: &TraceLine) {
        let number = |name: &str| line.fields.get(name).and_then(|v| v.parse::<u64>().ok());
        let (Some(prompt), Some(output)) = (number("prompt"), number("output")) else { return };
        let fate = stream_fate(line.fields.get("ended").map(String::as_str), number);
        let worth = value(prompt, output);
        self.total_value += worth;
        let tally = self.streams.entry((PromptClass::of(prompt).name(), fate)).or_default();
        tally.count += 1;
        tally.lost_value += worth * fate.lost_share();
    }
}

fn stream_fate(ended: Option<&str>, number: impl Fn(&str) -> Option<u64>) -> Fate {
    if ended != Some(COMPLETE) {
        let is_callers = matches!(ended, Some("caller left" | "caller read nothing"));
        return if is_callers { Fate::CallerLeft } else { Fate::BrokenOff };
    }
    let late = number("first_ms") > number("objective_ms");
    let limit = number("pause_limit_ms").filter(|limit| *limit > 0);
    let paused = limit.is_some() && number("longest_pause_ms") > limit;
    match (late, paused) {
        (false, false) => Fate::InTime,
        (true, false) => Fate::LateFirstEvent,
        (false, true) => Fate::LongPause,
        (true, true) => Fate::Both,
    }
}

impl fmt::Display for LossTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "| prompt | fate | streams | lost, percent of all value |")?;
        writeln!(f, "| --- | --- | --- | --- |")?;
        for ((class, fate), tally) in &self.streams {
            let percent = tally.lost_value / self.total_value.max(f64::MIN_POSITIVE) * 100.0;
            writeln!(f, "| {class} | {} | {} | {percent:.1} |", fate.name(), tally.count)?;
        }
        for (reason, count) in &self.refusals {
            writeln!(f, "refused {count} times: {reason}")?;
        }
        Ok(())
    }
}
