//! Wall time, for retention, schedules and reports only; leases and deadlines are monotonic.

/// Wall time in milliseconds since 1970.
pub fn wall_ms() -> u64 {
    jiff::Timestamp::now().as_millisecond().max(0) as u64
}
