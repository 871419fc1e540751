//! Busy times in local time, across clock changes.

use jiff::civil::Date;
use jiff::tz::TimeZone;
use jiff::{Span, Timestamp, ToSpan};

use super::model::Schedule;

/// One busy time in absolute time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BusyWindow {
    /// Start of loading.
    pub load_start: Timestamp,
    /// Start.
    pub start: Timestamp,
    /// End.
    pub end: Timestamp,
}

impl Schedule {
    /// The busy time that is under way, loading included, or the next within eight days.
    ///
    /// A local time that a clock change skips stands for the same distance after the change;
    /// one that occurs twice stands for its first occurrence.
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
    /// assert_eq!(schedule.next_busy_window(now).unwrap().start.to_string(), "2026-07-01T06:00:00Z");
    /// ```
    pub fn next_busy_window(&self, now: Timestamp) -> Option<BusyWindow> {
        let tz = TimeZone::get(&self.time_zone).ok()?;
        let mut day = now.to_zoned_datetime(tz.clone()).date().yesterday().ok()?;
        for _ in 0..10 {
            if let Some(busy) = self.busy_on(day, &tz)
                && busy.end > now
            {
                return Some(busy);
            }
            day = day.tomorrow().ok()?;
        }
        None
    }

    /// Whether the models of the schedule should be loaded now.
    pub fn should_load_models(&self, now: Timestamp) -> bool {
        self.next_busy_window(now).is_some_and(|b| b.load_start <= now)
    }

    fn busy_on(&self, day: Date, tz: &TimeZone) -> Option<BusyWindow> {
        let weekday = day.weekday().to_monday_one_offset() as u8;
        if !self.days.is_empty() && !self.days.contains(&weekday) {
            return None;
        }
        let start = local_time(day, self.start_min, tz)?;
        let end_day = if self.end_min <= self.start_min { day.tomorrow().ok()? } else { day };
        let end = local_time(end_day, self.end_min, tz)?;
        let lead: Span = i64::from(self.lead_min).minutes();
        Some(BusyWindow { load_start: start.checked_sub(lead).ok()?, start, end })
    }
}

fn local_time(day: Date, minute: u32, tz: &TimeZone) -> Option<Timestamp> {
    let time = day.at((minute / 60) as i8, (minute % 60) as i8, 0, 0);
    tz.to_ambiguous_zoned_datetime(time).compatible().ok().map(|z| z.timestamp())
}
