//! The report on service-level burn: multi-window rates by workspace and prompt length.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::Serialize;

use crate::control::reports::BurnLine;

/// Windows of the report in minutes, with the burn rate that is an alarm in each.
pub const WINDOWS: [(u64, f64); 4] = [(5, 14.4), (60, 14.4), (360, 6.0), (4320, 1.0)];

/// Burn of one workspace and prompt class.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct BurnRow {
    /// Workspace.
    pub workspace: String,
    /// Prompt class.
    pub class: String,
    /// One value for each window.
    pub windows: Vec<WindowBurn>,
    /// Whether a short and a long window are both over their alarm rates.
    pub alarm: bool,
}

/// Burn within one window.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct WindowBurn {
    /// Length in minutes.
    pub minutes: u64,
    /// Requests.
    pub total: u64,
    /// Requests that missed the objective.
    pub missed: u64,
    /// Share of misses over the share that the objective allows; 1 uses it up exactly.
    pub rate: f64,
}

/// Builds the rows at a minute for an objective in percent.
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
        let windows: Vec<WindowBurn> = WINDOWS
            .iter()
            .map(|(minutes, _)| window(&lines, now_min.saturating_sub(*minutes), *minutes, allowed))
            .collect();
        let over = |i: usize| windows[i].rate > WINDOWS[i].1;
        let alarm = (over(0) && over(1)) || (over(1) && over(2));
        rows.push(BurnRow { workspace: workspace.into(), class: class.into(), windows, alarm });
    }
    rows
}

fn window(lines: &[&BurnLine], from: u64, minutes: u64, allowed: f64) -> WindowBurn {
    let inside = lines.iter().filter(|l| l.minute >= from);
    let (total, missed) =
        inside.fold((0, 0), |(total, missed), l| (total + l.total, missed + l.missed));
    let share = if total == 0 { 0.0 } else { missed as f64 / total as f64 };
    WindowBurn { minutes, total, missed, rate: share / allowed }
}

fn window_name(minutes: u64) -> String {
    if minutes < 60 { format!("{minutes}m") } else { format!("{}h", minutes / 60) }
}

/// A table for a terminal.
pub fn table(rows: &[BurnRow], objective: f64) -> String {
    let mut out = format!("burn against {objective}% within the objective (1.0 uses it up)\n");
    let _ = write!(out, "{:<24} {:<8}", "workspace", "prompts");
    for (minutes, _) in WINDOWS {
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

/// A page that needs no other file: a table and a bar for each window.
pub fn html(rows: &[BurnRow], objective: f64) -> String {
    let mut out = String::from(
        "<!doctype html><html><head><meta charset=\"utf-8\"><title>Service-level burn</title>\
         <style>body{font-family:sans-serif;margin:2em}td,th{padding:.3em .8em;text-align:left}\
         .over{fill:#b00}.under{fill:#2a7}</style></head><body>",
    );
    let _ = write!(out, "<h1>Service-level burn</h1><p>Objective: {objective}% of requests. ");
    out.push_str("A rate of 1 uses the allowance up exactly.</p><table><tr><th>workspace</th>");
    out.push_str("<th>prompts</th>");
    for (minutes, _) in WINDOWS {
        let _ = write!(out, "<th>{}</th>", window_name(minutes));
    }
    out.push_str("<th>alarm</th></tr>");
    for row in rows {
        let _ = write!(out, "<tr><td>{}</td><td>{}</td>", escape(&row.workspace), row.class);
        for (w, (_, alarm)) in row.windows.iter().zip(WINDOWS) {
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

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
