//! Clocks: wall time, and a monotonic clock that continues while the host is suspended.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

use crate::ids::Moment;

/// Wall time in milliseconds since 1970, for retention, schedules and reports only: it may jump.
pub fn wall_ms() -> u64 {
    jiff::Timestamp::now().as_millisecond().max(0) as u64
}

/// Longest duration of a reckoned number.
const MAX_DURATION: Duration = Duration::from_secs(24 * 3600);

/// Duration of a reckoned number of milliseconds: none if that is negative or not a number, and at most a day.
///
/// ```
/// use std::time::Duration;
/// use bitternlead::clock::duration_from_ms;
///
/// assert_eq!(duration_from_ms(1.5), Duration::from_micros(1500));
/// assert_eq!(duration_from_ms(-195.2), Duration::ZERO);
/// assert_eq!(duration_from_ms(f64::NAN), Duration::ZERO);
/// assert_eq!(duration_from_ms(f64::INFINITY), Duration::from_secs(24 * 3600));
/// ```
pub fn duration_from_ms(ms: f64) -> Duration {
    duration_from_s(ms / 1000.0)
}

/// Duration of a reckoned number of seconds, bounded as by [`duration_from_ms`].
///
/// ```
/// use std::time::Duration;
/// use bitternlead::clock::duration_from_s;
///
/// assert_eq!(duration_from_s(0.0 / 0.0), Duration::ZERO);
/// assert_eq!(duration_from_s(0.25), Duration::from_millis(250));
/// ```
pub fn duration_from_s(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(MAX_DURATION).min(MAX_DURATION)
}

/// Time since the host booted, including time in suspend; leases and deadlines use it.
///
/// ```
/// let earlier = bitternlead::clock::boot_now();
/// assert!(bitternlead::clock::boot_now() >= earlier);
/// ```
pub fn boot_now() -> Moment {
    let t = clock_gettime(ClockId::Boottime);
    Duration::new(t.tv_sec.max(0) as u64, t.tv_nsec.max(0) as u32)
}
