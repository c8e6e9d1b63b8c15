//! Timeouts of a thread that may run late.
//!
//! A thread that is short of CPU reads responses late and notices its timers late. A response that
//! has arrived meanwhile must not count as missing: the peer isn't silent, this thread is behind.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use tokio::time::Instant;

/// Lateness of a timer from which the thread counts as late. A thread that isn't notices its timers
/// within a few milliseconds.
const LATE_MIN: Duration = Duration::from_millis(10);

/// Length of the timer that shows whether the thread is late. A limit that ends just as the thread
/// becomes free is noticed in time, although responses still wait to be read.
const PROBE: Duration = Duration::from_millis(2);

/// Upper bound of the total extension of a timeout.
pub const EXTENSION_MAX: Duration = Duration::from_secs(2);

/// Runs `future` for at most `limit`, extended by the time by which this thread notices timers late.
/// Returns `None` if the future is not complete by then.
pub async fn timeout<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    let mut future = pin!(future);
    let mut limit = limit;
    let mut extended = Duration::ZERO;
    loop {
        let mut late = Duration::ZERO;
        for wait in [limit, PROBE] {
            let end = Instant::now() + wait;
            if let Ok(output) = tokio::time::timeout_at(end, &mut future).await {
                return Some(output);
            }
            late = late.max(Instant::now().saturating_duration_since(end));
        }
        limit = late.min(EXTENSION_MAX.saturating_sub(extended));
        if limit < LATE_MIN {
            return None;
        }
        extended += limit;
    }
}
