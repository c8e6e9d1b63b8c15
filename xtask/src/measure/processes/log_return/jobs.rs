//! Jobs of the generated load.

use std::time::Duration;

use rosemaryworks_core::job::{Kind, Priority, Spec};
use rosemaryworks_core::size::Size;

/// Jobs of the backlog; several, so that each shard of the pool owns some.
const BACKLOG_JOBS: u32 = 4;

/// Tasks in one job of the backlog per second of load. All jobs together have slightly more than
/// the workers can start.
const BACKLOG_RATE: u32 = 7;

fn job(id: String, priority: Priority, restart: bool) -> Spec {
    Spec {
        id: id.into(),
        kind: Kind::Batch,
        pool: "cpu".into(),
        tasks: 1,
        size: Size::new(1_000, 512),
        run_ms: 100,
        priority,
        deadline_ms: None,
        restart,
        work: None,
        payload: None,
    }
}

/// Returns an urgent job. Every second one may run only once, so that its lease must be recorded.
pub(super) fn urgent(id: String, number: u64) -> Spec {
    job(id, Priority::Urgent, number.is_multiple_of(2))
}

/// Returns a batch job.
pub(super) fn batch(id: String, number: u64) -> Spec {
    Spec {
        tasks: 4,
        run_ms: 500,
        ..job(id, Priority::Normal, number.is_multiple_of(2))
    }
}

/// Returns jobs that keep the workers busy for `duration`. Their tasks may run only once, so that
/// each adds two records during an outage of the log.
///
/// Two tasks fill three quarters of a worker; the rest is free for urgent work.
pub(super) fn backlog(duration: Duration) -> impl Iterator<Item = Spec> {
    let seconds = u32::try_from(duration.as_secs()).unwrap_or(u32::MAX);
    (0..BACKLOG_JOBS).map(move |number| Spec {
        tasks: seconds.saturating_mul(BACKLOG_RATE),
        size: Size::new(24_000, 16_384),
        run_ms: 3_000,
        ..job(format!("backlog-{number}"), Priority::Nightly, false)
    })
}
