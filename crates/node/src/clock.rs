//! Monotonic and wall clock of the process.

use std::sync::OnceLock;
use std::time::{SystemTime, UNIX_EPOCH};

use rosemaryworks_core::time::Instant;
use rustix::time::{ClockId, clock_gettime};

static START: OnceLock<u64> = OnceLock::new();

/// Returns the monotonic time in milliseconds since the first call in this process. It goes on while
/// the VM is suspended, so that what was valid for a limited time has expired afterwards.
#[must_use]
pub fn now() -> Instant {
    let now_ms = uptime_ms();
    let start_ms = *START.get_or_init(|| now_ms);
    Instant(now_ms.saturating_sub(start_ms))
}

/// Returns the wall-clock time as Unix time in milliseconds.
#[must_use]
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the incarnation of a process that starts now: the Unix time in microseconds.
#[must_use]
pub fn incarnation() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}

/// Returns the time since the VM started in milliseconds, including the time for which it was
/// suspended.
#[must_use]
pub fn uptime_ms() -> u64 {
    let uptime = clock_gettime(ClockId::Boottime);
    let (seconds, nanos) = (uptime.tv_sec.max(0), uptime.tv_nsec.max(0));
    seconds.unsigned_abs() * 1_000 + nanos.unsigned_abs() / 1_000_000
}
