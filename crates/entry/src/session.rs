//! Keeps the lease of one worker and takes its reports.

use std::sync::Arc;
use std::time::Duration;

use rosemaryworks_node::clock;
use rosemaryworks_workflow::RenewalFault;
use tokio::sync::Notify;

use crate::events;
use crate::owner::Owner;

/// Pause before a worker that didn't answer is looked at again. Short, because more answers get lost
/// than workers end. Doubles up to [`DARK_PAUSE_MAX`].
const DARK_PAUSE: Duration = Duration::from_millis(25);

/// Longest pause before a worker that doesn't answer is looked at again.
const DARK_PAUSE_MAX: Duration = Duration::from_millis(1_200);

/// Longest wait for ends to become durable before the worker is looked at again.
const DURABLE_MAX: Duration = Duration::from_millis(200);

/// Session of one worker.
pub(crate) struct Session {
    wake: Notify,
    interrupt: Notify,
}

/// What a session does next.
enum Next {
    /// Look again at once.
    Look,
    /// Wait until ends are durable.
    AwaitDurable,
    /// Wait until the worker has something to do.
    Park,
    /// Wait, because the worker doesn't answer.
    Pause,
    /// The worker isn't known any more, or the shard was given up.
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

    /// Ends any wait, so that the worker is looked at now.
    pub(crate) fn interrupt(&self) {
        self.interrupt.notify_one();
    }

    async fn run(self: Arc<Self>, owner: Arc<Owner>, id: Arc<str>) {
        let mut answered = true;
        let mut dark_pause = DARK_PAUSE;
        loop {
            let next = tokio::select! {
                next = look(&owner, &id, &mut answered) => next,
                () = self.interrupt.notified() => Next::Look,
            };
            if answered {
                dark_pause = DARK_PAUSE;
            }
            match next {
                Next::Look => {}
                Next::AwaitDurable => owner.wait_written(DURABLE_MAX).await,
                Next::Park => {
                    tokio::select! {
                        () = self.wake.notified() => {}
                        () = self.interrupt.notified() => {}
                    }
                }
                Next::Pause => {
                    let pause = tokio::time::sleep(dark_pause);
                    tokio::select! {
                        () = pause => {}
                        () = self.interrupt.notified() => {}
                    }
                    dark_pause = (dark_pause * 2).min(DARK_PAUSE_MAX);
                }
                Next::End => break,
            }
        }
        owner.forget_session(&id);
    }
}

async fn look(owner: &Arc<Owner>, id: &Arc<str>, answered: &mut bool) -> Next {
    if owner.is_ended() {
        return Next::End;
    }
    let sent_ms = clock::now().0;
    let Some(look) = owner.state().renewal(id, sent_ms) else {
        return Next::End;
    };
    let wait_ms = if *answered { look.wait_ms } else { 0 };
    let timeout = owner.patience().look();
    let result = owner
        .parts()
        .workers
        .look(id, &look, wait_ms, timeout)
        .await;
    let now_ms = clock::now().0;
    if wait_ms == 0 && result.is_ok() {
        owner.patience().answered(now_ms.saturating_sub(sent_ms));
    }
    let acknowledged = look.acknowledged;
    let mut state = owner.state();
    match result {
        Ok(report) => {
            if !*answered {
                events::WORKER_BACK.log(format_args!("worker={id}"));
            }
            *answered = true;
            state.report(id, report, look.token, sent_ms, now_ms);
        }
        Err(fault) => {
            if *answered && fault != RenewalFault::Fenced {
                events::WORKER_LOST.log(format_args!("worker={id} fault={fault:?}"));
            }
            *answered = fault == RenewalFault::Fenced;
            state.renewal_failed(id, look.token, fault, now_ms);
        }
    }
    let next = match state.host(id) {
        None => Next::End,
        Some(_) if !*answered => Next::Pause,
        Some(host) if host.has_pending_ends() => Next::AwaitDurable,
        Some(host) if host.is_idle() && host.acknowledged() == acknowledged => Next::Park,
        Some(_) => Next::Look,
    };
    drop(state);
    owner.kick();
    next
}
