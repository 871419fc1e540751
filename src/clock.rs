//! Clocks: wall time, and a monotonic clock that continues while the host is suspended.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

use crate::ids::Moment;

/// Wall time in milliseconds since 1970, for retention, schedules and reports only: it may jump.
pub fn wall_ms() -> u64 {
    jiff::Timestamp::now().as_millisecond().max(0) as u64
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
