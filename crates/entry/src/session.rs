//! Lease renewal: keeps the lease of one worker and applies the report in each response.

use std::sync::Arc;
use std::time::Duration;

use rosemaryworks_node::clock;
use rosemaryworks_workflow::{Host, RenewalFault};
use tokio::sync::Notify;

use crate::events;
use crate::owner::Owner;
use crate::relayed::Renewed;

/// First pause before the renewal of a worker that didn't answer is retried. Short, because lost
/// answers are more frequent than ended workers. Doubles up to [`RETRY_PAUSE_MAX`].
const RETRY_PAUSE: Duration = Duration::from_millis(25);

/// Longest pause before the renewal of an unresponsive worker is retried.
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(1_200);

/// Longest wait for ends of attempts to become durable before the next renewal.
const DURABLE_WAIT_MAX: Duration = Duration::from_millis(200);

/// Renewal task of one worker.
pub(crate) struct Session {
    wake: Notify,
    interrupt: Notify,
}

/// What a session does after a renewal.
enum Next {
    /// Renew again at once.
    Renew,
    /// Wait until the reported ends are durable, which lets the worker forget them.
    AwaitDurable,
    /// Wait until the worker has work.
    AwaitWork,
    /// Wait, because the worker is unresponsive.
    BackOff,
    /// The worker was removed, or ownership of the shard ended.
    End,
}

impl Session {
    /// Starts a session. Must be called within a tokio runtime.
    pub(crate) fn start(owner: Arc<Owner>, id: Arc<str>) -> Arc<Self> {
        let session = Arc::new(Self {
            wake: Notify::new(),
            interrupt: Notify::new(),
        });
        tokio::spawn(session.clone().run(owner, id));
        session
    }

    /// Ends a wait for work.
    pub(crate) fn wake(&self) {
        self.wake.notify_one();
    }

    /// Ends any wait, so that the lease is renewed now.
    pub(crate) fn interrupt(&self) {
        self.interrupt.notify_one();
    }

    async fn run(self: Arc<Self>, owner: Arc<Owner>, id: Arc<str>) {
        let mut last_fault = None;
        let mut retry_pause = RETRY_PAUSE;
        loop {
            let next = tokio::select! {
                next = renew(&owner, &id, &mut last_fault) => next,
                () = self.interrupt.notified() => Next::Renew,
            };
            if last_fault.is_none() {
                retry_pause = RETRY_PAUSE;
            }
            match next {
                Next::Renew => {}
                Next::AwaitDurable => self.await_durable(&owner, &id).await,
                Next::AwaitWork => {
                    tokio::select! {
                        () = self.wake.notified() => {}
                        () = self.interrupt.notified() => {}
                    }
                }
                Next::BackOff => {
                    let pause = tokio::time::sleep(retry_pause);
                    tokio::select! {
                        () = pause => {}
                        () = self.interrupt.notified() => {}
                    }
                    retry_pause = (retry_pause * 2).min(RETRY_PAUSE_MAX);
                }
                Next::End => break,
            }
        }
        owner.forget_session(&id);
    }
}

impl Session {
    /// Waits until the reported ends of a worker are durable.
    async fn await_durable(&self, owner: &Owner, id: &str) {
        let end = tokio::time::Instant::now() + DURABLE_WAIT_MAX;
        // Other records may become durable before those of this worker.
        while owner.state().host(id).is_some_and(Host::has_pending_ends) {
            let left = end.saturating_duration_since(tokio::time::Instant::now());
            if left.is_zero() {
                return;
            }
            owner.wait_durable(left).await;
        }
    }
}

/// Renews the lease of a worker once. `last_fault` is the fault of the previous renewal and is
/// updated.
async fn renew(owner: &Arc<Owner>, id: &Arc<str>, last_fault: &mut Option<RenewalFault>) -> Next {
    let sent_ms = owner.until_permitted().await;
    if owner.is_ended() {
        return Next::End;
    }
    let Some(renewal) = owner.state().renewal(id, sent_ms) else {
        return Next::End;
    };
    let wait_ms = match last_fault {
        None => renewal.wait_ms,
        Some(_) => 0,
    };
    let timeout = owner.timeouts().renewal();
    let Renewed {
        result,
        is_repeated,
    } = owner
        .workers()
        .send_renewal(id, &renewal, wait_ms, timeout)
        .await;
    owner.load().add_renewal();
    let now_ms = clock::now().0;
    if wait_ms == 0 && result.is_ok() {
        owner.timeouts().observe(now_ms.saturating_sub(sent_ms));
    }
    let mut state = owner.state();
    if is_repeated {
        state.renewal_repeated(id, now_ms);
    }
    match result {
        Ok(report) => {
            if last_fault.take().is_some() {
                events::WORKER_REACHABLE.log(format_args!("worker={id}"));
            }
            state.report(id, report, renewal.token, sent_ms, now_ms);
        }
        Err(fault) => {
            // A worker that reports a later owner answers.
            let is_unreachable = fault != RenewalFault::Fenced;
            if is_unreachable && *last_fault != Some(fault) {
                events::WORKER_UNREACHABLE.log(format_args!("worker={id} fault={fault:?}"));
            }
            *last_fault = is_unreachable.then_some(fault);
            state.renewal_failed(id, renewal.token, fault, now_ms);
        }
    }
    let next = match state.host(id) {
        None => Next::End,
        Some(_) if last_fault.is_some() => Next::BackOff,
        Some(host) if host.has_pending_ends() => Next::AwaitDurable,
        Some(host) if host.is_idle() && host.has_acknowledged() => Next::AwaitWork,
        Some(_) => Next::Renew,
    };
    drop(state);
    owner.wake();
    next
}
