//! Error-budget burn rates over several windows, by workspace and prompt class.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::Serialize;

use crate::control::reports::BurnLine;

/// Windows of the report: length in minutes, and burn rate above which the window is over its
/// alarm threshold. Shortest first.
pub const BURN_WINDOWS: [(u64, f64); 4] = [(5, 14.4), (60, 14.4), (360, 6.0), (4320, 1.0)];

/// Burn rates of one workspace and prompt class.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct BurnRow {
    /// Name of the workspace that sent the requests.
    pub workspace: String,
    /// Name of the prompt class: `short`, `medium`, `long` or `huge`.
    pub class: String,
    /// Burn in each of `BURN_WINDOWS`, in the same order.
    pub windows: Vec<WindowBurn>,
    /// Whether two neighbouring windows are both over their alarm rates: 5 minutes and 1 hour, or
    /// 1 hour and 6 hours.
    pub alarm: bool,
}

/// Burn within one window.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct WindowBurn {
    /// Length of the window in minutes.
    pub minutes: u64,
    /// Requests counted in the window.
    pub total: u64,
    /// Requests that missed the objective.
    pub missed: u64,
    /// Share of missed requests divided by the share that the objective allows; 1 uses up the
    /// error budget exactly.
    pub rate: f64,
}

/// Computes the rows of the report.
///
/// `now_min` is the current minute since 1970, `objective` the percentage of requests that has to
/// meet the latency objective.
///
/// ```
/// use bitternlead::{burn, control::reports::BurnLine};
///
/// let line = BurnLine { minute: 100, total: 100, missed: 10, ..BurnLine::default() };
/// let rows = burn::build_rows(&[line], 101, 95.0);
/// assert!((rows[0].windows[0].rate - 2.0).abs() < 1e-9);
/// ```
pub fn build_rows(lines: &[BurnLine], now_min: u64, objective: f64) -> Vec<BurnRow> {
    let mut by_key: BTreeMap<(&str, &str), Vec<&BurnLine>> = BTreeMap::new();
    for line in lines {
        by_key.entry((&line.workspace, &line.class)).or_default().push(line);
    }
    let allowed = (1.0 - objective / 100.0).max(1e-6);
    let mut rows = Vec::new();
    for ((workspace, class), lines) in by_key {
        let windows: Vec<WindowBurn> = BURN_WINDOWS
            .iter()
            .map(|(minutes, _)| sum_up(&lines, now_min.saturating_sub(*minutes), *minutes, allowed))
            .collect();
        let exceeds = |i: usize| windows[i].rate > BURN_WINDOWS[i].1;
        let alarm = (exceeds(0) && exceeds(1)) || (exceeds(1) && exceeds(2));
        rows.push(BurnRow { workspace: workspace.into(), class: class.into(), windows, alarm });
    }
    rows
}

/// Sums up the counts since the minute `from_min` into the burn of one window.
fn sum_up(lines: &[&BurnLine], from_min: u64, minutes: u64, allowed: f64) -> WindowBurn {
    let in_window = lines.iter().filter(|l| l.minute >= from_min);
    let (total, missed) =
        in_window.fold((0, 0), |(total, missed), l| (total + l.total, missed + l.missed));
    let missed_share = if total == 0 { 0.0 } else { missed as f64 / total as f64 };
    WindowBurn { minutes, total, missed, rate: missed_share / allowed }
}

fn window_name(minutes: u64) -> String {
    if minutes < 60 { format!("{minutes}m") } else { format!("{}h", minutes / 60) }
}

/// Renders the report as a table for a terminal.
pub fn render_table(rows: &[BurnRow], objective: f64) -> String {
    let mut out = format!("burn rate for an objective of {objective}% (1.0 uses up the budget)\n");
    let _ = write!(out, "{:<24} {:<8}", "workspace", "prompts");
    for (minutes, _) in BURN_WINDOWS {
        let _ = write!(out, " {:>18}", window_name(minutes));
    }
    out.push_str("  alarm\n");
    for row in rows {
        let _ = write!(out, "{:<24} {:<8}", row.workspace, row.class);
        for w in &row.windows {
            let cell = format!("{:.2} ({}/{})", w.rate, w.missed, w.total);
            let _ = write!(out, " {cell:>18}");
        }
        let _ = writeln!(out, "  {}", if row.alarm { "yes" } else { "no" });
    }
    out
}

/// Renders the report as a self-contained HTML page: a table with a bar for each window.
pub fn render_html(rows: &[BurnRow], objective: f64) -> String {
    let mut out = String::from(
        "<!doctype html><html><head><meta charset=\"utf-8\"><title>Error-budget burn rate</title>\
         <style>body{font-family:sans-serif;margin:2em}td,th{padding:.3em .8em;text-align:left}\
         .over{fill:#b00}.under{fill:#2a7}</style></head><body>",
    );
    let _ = write!(out, "<h1>Error-budget burn rate</h1><p>Objective: {objective}% of requests. ");
    out.push_str("A rate of 1 uses up the error budget.</p><table><tr><th>workspace</th>");
    out.push_str("<th>prompts</th>");
    for (minutes, _) in BURN_WINDOWS {
        let _ = write!(out, "<th>{}</th>", window_name(minutes));
    }
    out.push_str("<th>alarm</th></tr>");
    for row in rows {
        let _ = write!(out, "<tr><td>{}</td><td>{}</td>", escape_html(&row.workspace), row.class);
        for (w, (_, alarm)) in row.windows.iter().zip(BURN_WINDOWS) {
            let width = (w.rate / alarm * 60.0).clamp(0.0, 120.0);
            let class = if w.rate > alarm { "over" } else { "under" };
            let _ = write!(
                out,
                "<td><svg width=\"124\" height=\"12\"><rect class=\"{class}\" width=\"{width:.1}\" \
                 height=\"12\"/><line x1=\"60\" x2=\"60\" y1=\"0\" y2=\"12\" stroke=\"#000\"/></svg>\
                 <br>{:.2} ({}/{})</td>",
                w.rate, w.missed, w.total
            );
        }
        let _ = write!(out, "<td>{}</td></tr>", if row.alarm { "yes" } else { "no" });
    }
    out.push_str("</table></body></html>\n");
    out
}

fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
