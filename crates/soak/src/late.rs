//! Calls to workers that get no answer and are carried out late, by the life that runs then.

use std::future::Future;
use std::ops::Range;
use std::pin::Pin;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;

use crate::server::{Handler, Reply, Request};
use crate::worker::Worker;

/// Percentage of the calls that are late while a fault lasts.
pub(crate) const LATE_PERCENT: u32 = 40;

/// Time after which a late call is carried out in milliseconds.
pub(crate) const LATE_MS: Range<u64> = 2_000..12_000;

/// A fault by which some calls are late, until this value is dropped.
#[must_use]
pub(crate) struct Lateness(Arc<AtomicU32>);

impl Lateness {
    /// Begins a fault. `faults` is the number of such faults.
    pub(crate) fn begin(faults: &Arc<AtomicU32>) -> Self {
        faults.fetch_add(1, Ordering::Relaxed);
        Self(faults.clone())
    }
}

impl Drop for Lateness {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Handler of one life of a worker. It has some calls carried out late instead.
pub(crate) struct Late {
    pub(crate) worker: Weak<Worker>,
    pub(crate) life: Arc<dyn Handler>,
}

impl Handler for Late {
    fn handle(self: Arc<Self>, request: Request) -> Pin<Box<dyn Future<Output = Reply> + Send>> {
        Box::pin(async move {
            let worker = self.worker.upgrade();
            let delayed = worker.and_then(|worker| Some((worker.draw_delay()?, worker)));
            let Some((delay, worker)) = delayed else {
                return self.life.clone().handle(request).await;
            };
            // Apart from the connection, which ends with this life.
            tokio::spawn(carry_out(worker, request, delay));
            tokio::time::sleep(Duration::from_millis(LATE_MS.end)).await;
            Reply::Lost
        })
    }
}

/// Carries a call out after `delay`, unless no life of the worker runs then.
async fn carry_out(worker: Arc<Worker>, request: Request, delay: Duration) {
    tokio::time::sleep(delay).await;
    let Some((incarnation, life)) = worker.current() else {
        return;
    };
    incarnation.until_resumed().await;
    let body = String::from_utf8_lossy(&request.body).into_owned();
    let call = format!("{} {body} after {} ms", request.path, delay.as_millis());
    let reply = match life.handle(request).await {
        Reply::Lost => "no answer".to_owned(),
        Reply::Sent(status, body) => format!("{status} {}", String::from_utf8_lossy(&body)),
    };
    incarnation.note(&format!("late {call}: {reply}"));
}
