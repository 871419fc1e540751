//! Computes the busy windows of a schedule, whose local times may cross changes of the clock.

use jiff::civil::Date;
use jiff::tz::TimeZone;
use jiff::{Span, Timestamp, ToSpan};

use super::model::Schedule;

/// One occurrence of a schedule, in absolute time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BusyWindow {
    /// When loading of the models begins.
    pub load_start: Timestamp,
    /// Start of the busy hours.
    pub start: Timestamp,
    /// End of the busy hours.
    pub end: Timestamp,
}

impl Schedule {
    /// The first busy window that has not ended, among those that start between yesterday and eight
    /// days from now in local time. `None` if there is none or the time zone is unknown.
    ///
    /// A local time that a clock change skips is moved later by the length of the gap; of one that
    /// occurs twice the first occurrence counts.
    ///
    /// ```
    /// use bitternlead::config::Schedule;
    ///
    /// let schedule = Schedule {
    ///     time_zone: "Europe/Sofia".into(),
    ///     start_min: 9 * 60,
    ///     end_min: 17 * 60,
    ///     ..Schedule::default()
    /// };
    /// let now = "2026-07-01T00:00:00Z".parse().unwrap();
    /// let window = schedule.next_busy_window(now).unwrap();
    /// assert_eq!(window.start.to_string(), "2026-07-01T06:00:00Z");
    /// ```
    pub fn next_busy_window(&self, now: Timestamp) -> Option<BusyWindow> {
        let tz = TimeZone::get(&self.time_zone).ok()?;
        let mut day = now.to_zoned_datetime(tz.clone()).date().yesterday().ok()?;
        for _ in 0..10 {
            if let Some(window) = self.window_on(day, &tz)
                && window.end > now
            {
                return Some(window);
            }
            day = day.tomorrow().ok()?;
        }
        None
    }

    /// Whether the models have to be loaded now: from the start of loading to the end of the
    /// window.
    pub fn should_load_models(&self, now: Timestamp) -> bool {
        self.next_busy_window(now).is_some_and(|b| b.load_start <= now)
    }

    /// The window that starts on a local day, if the schedule includes that day of the week.
    fn window_on(&self, day: Date, tz: &TimeZone) -> Option<BusyWindow> {
        let weekday = day.weekday().to_monday_one_offset() as u8;
        if !self.days.is_empty() && !self.days.contains(&weekday) {
            return None;
        }
        let start = to_timestamp(day, self.start_min, tz)?;
        let end_day = if self.end_min <= self.start_min { day.tomorrow().ok()? } else { day };
        let end = to_timestamp(end_day, self.end_min, tz)?;
        let lead: Span = i64::from(self.lead_min).minutes();
        Some(BusyWindow { load_start: start.checked_sub(lead).ok()?, start, end })
    }
}

/// Converts a local time, in minutes after midnight, to absolute time.
fn to_timestamp(day: Date, minute: u32, tz: &TimeZone) -> Option<Timestamp> {
    let time = day.at((minute / 60) as i8, (minute % 60) as i8, 0, 0);
    tz.to_ambiguous_zoned_datetime(time).compatible().ok().map(|z| z.timestamp())
}
