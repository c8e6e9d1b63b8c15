//! Commands to workers: starts, stops and speeds of attempts, and the log lines about their outcomes.

use std::sync::Arc;

use rosemaryworks_node::clock;
use rosemaryworks_workflow::{
    Incarnation, LostAttempt, Order, Pace, StartOutcome, Stop, Unreported,
};

use crate::events;
use crate::owner::Owner;
use crate::port::Workers as _;

impl Owner {
    pub(crate) async fn send_start(self: Arc<Self>, order: Order) {
        self.until_permitted().await;
        if self.is_ended() {
            return;
        }
        let began = clock::now();
        let timeout = self.timeouts().command();
        let outcome = self.workers().start(&order, timeout).await;
        if matches!(outcome, StartOutcome::Accepted { .. }) {
            self.timeouts().observe(clock::now().since(began));
        }
        events::STARTED.log(format_args!(
            "task={} attempt={} worker={} token={} outcome={outcome:?} took_ms={}",
            order.key,
            order.attempt,
            order.worker,
            order.token,
            clock::now().since(began)
        ));
        self.context().metrics.starts.inc();
        self.load().add_start();
        if !matches!(outcome, StartOutcome::Accepted { .. }) {
            self.context().metrics.start_faults.inc();
        }
        self.state().start_answered(&order, outcome, clock::now().0);
        self.session(&order.worker).wake();
        self.wake();
    }

    pub(crate) async fn send_stop(self: Arc<Self>, stop: Stop) {
        self.until_permitted().await;
        if self.is_ended() {
            return;
        }
        let accepted = self.workers().stop(&stop).await;
        events::STOPPED.log(format_args!(
            "task={} attempt={} worker={} taken={accepted}",
            stop.key, stop.attempt, stop.worker
        ));
        if !accepted {
            self.state()
                .stop_failed(&stop.worker, stop.key, stop.attempt);
        }
        self.session(&stop.worker).wake();
    }

    pub(crate) async fn send_pace(self: Arc<Self>, pace: Pace) {
        self.until_permitted().await;
        if self.is_ended() {
            return;
        }
        let accepted = self.workers().pace(&pace).await;
        if !accepted {
            let run = &pace.run;
            self.state().pace_failed(&run.worker, run.key, run.attempt);
        }
        events::PACED.log(format_args!(
            "task={} worker={} percent={} taken={accepted}",
            pace.run.key, pace.run.worker, pace.percent
        ));
    }

    /// Logs a worker that started again.
    pub(crate) fn log_incarnation(&self, incarnation: &Incarnation) {
        let now_ms = clock::now().0;
        let lease_left_ms = incarnation
            .lease_expires_ms
            .map(|at| at.saturating_sub(now_ms));
        events::WORKER_RESTARTED.log(format_args!(
            "shard={} epoch={} worker={} incarnation={} former={} ended={} pending={} lease_left_ms={lease_left_ms:?}",
            self.shard(),
            self.epoch(),
            incarnation.worker,
            incarnation.number,
            incarnation.former_number,
            incarnation.ended,
            incarnation.pending
        ));
        self.context().metrics.worker_restarts.inc();
    }

    /// Logs a worker that didn't report after a takeover.
    pub(crate) fn log_unreported(&self, unreported: &Unreported) {
        events::WORKER_UNREPORTED.log(format_args!(
            "shard={} epoch={} worker={} incarnation={} waited_ms={}",
            self.shard(),
            self.epoch(),
            unreported.worker,
            unreported.incarnation,
            unreported.waited_ms
        ));
    }

    /// Logs an attempt that counts as ended without a report of its end.
    pub(crate) fn log_lost(&self, lost: &LostAttempt) {
        let now_ms = clock::now().0;
        let lease_left_ms = lost.lease_expires_ms.map(|at| at.saturating_sub(now_ms));
        let silent_ms = lost
            .unresponsive_since_ms
            .map(|at| now_ms.saturating_sub(at));
        events::ATTEMPT_LOST.log(format_args!(
            "task={} attempt={} worker={} evidence={:?} lease_left_ms={lease_left_ms:?} silent_ms={silent_ms:?}",
            lost.key, lost.attempt, lost.worker, lost.evidence
        ));
        self.context().metrics.attempts_lost.inc();
    }
}
