//! Lives of workers.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rosemaryworks_workflow::{
    Finished, Key, Order, Outcome, Refusal, Report, Running, StartOutcome, Stop,
};
use tokio::sync::{Notify, watch};

use crate::history::History;
use crate::log::DROP_STRIDE;
use crate::permit;
use crate::worker::CAPACITY;
use crate::worker::clock::Clock;
use crate::worker::run::{self, Run};

/// Lease that is longer than owners usually grant, in milliseconds. The history notes it.
const NOTED_LEASE_MS: u64 = 4_500;

/// Time that a run takes to stop, in milliseconds.
const STOP_DURATION_MS: u64 = 150;

#[derive(Default)]
pub(super) struct State {
    /// Highest fencing token received.
    token: u64,
    lease_deadline_ms: u64,
    runs: BTreeMap<Key, Run>,
    /// Highest attempt of each task that was started or stopped on this worker.
    attempts: BTreeMap<Key, u32>,
    /// Ended runs that no owner has acknowledged yet.
    finished: Vec<Finished>,
    /// Number of the latest entry of `finished`.
    last_number: u64,
    /// Number of the latest entry of `finished` when a lease last expired.
    expired_number: u64,
    /// Time at which the worker was suspended.
    suspended_ms: Option<u64>,
    /// Whether the worker has crashed.
    crashed: bool,
}

impl State {
    /// Returns whether a fencing token is current, and stores it as the highest one if it is.
    fn accept_token(&mut self, token: u64) -> bool {
        let is_current = token >= self.token && !self.crashed;
        self.token = self.token.max(token);
        is_current
    }

    /// Notes the ends before an expiry of the lease.
    fn note_expiry(&mut self, now_ms: u64) {
        if now_ms >= self.lease_deadline_ms {
            self.expired_number = self.last_number;
        }
    }

    /// Extends the lease by at most `max_ms` from now on.
    fn extend_lease(&mut self, deadline_ms: u64, now_ms: u64, max_ms: u64) {
        self.lease_deadline_ms = self.lease_deadline_ms.max(deadline_ms.min(now_ms + max_ms));
    }
}

/// One start of a worker, with its own clock and runs.
pub struct Incarnation {
    pub(super) id: Arc<str>,
    pub(super) started_unix_ms: u64,
    pub(super) clock: Clock,
    pub(super) lease_max_ms: u64,
    pub(super) history: Arc<History>,
    pub(super) state: Mutex<State>,
    pub(super) run_ended: Notify,
    /// Whether the worker is suspended.
    pub(super) suspended: watch::Sender<bool>,
    /// Percentage of calls whose responses are dropped.
    pub(super) dropped_percent: Arc<AtomicU32>,
    pub(super) calls: AtomicU64,
}

pub(super) async fn run_timer(incarnation: Arc<Incarnation>) {
    loop {
        tokio::time::sleep(Duration::from_millis(10)).await;
        incarnation.end_due_runs();
    }
}

impl Incarnation {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the worker's identifier.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns the time on the worker's clock in milliseconds.
    #[must_use]
    pub fn clock_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Adds a line about this life to the history.
    pub(crate) fn note(&self, description: &str) {
        let (id, life) = (&self.id, self.started_unix_ms);
        self.history.note(format!("{id} ({life}) {description}"));
    }

    /// Returns whether the response to the next call is to be dropped.
    pub fn drops_response(&self) -> bool {
        let call = self.calls.fetch_add(1, Ordering::Relaxed);
        call * DROP_STRIDE % 100 < u64::from(self.dropped_percent.load(Ordering::Relaxed))
    }

    /// Ends all runs. Later calls do nothing. Returns the tasks that ran.
    pub(super) fn crash(&self) -> Vec<Key> {
        let mut state = self.state();
        state.crashed = true;
        std::mem::take(&mut state.runs).into_keys().collect()
    }

    /// Suspends the worker: its runs make no progress until [`Self::resume`]. Its clock goes on, so that
    /// its lease may lapse.
    pub(crate) fn suspend(&self) {
        let now_ms = self.clock_ms();
        self.state().suspended_ms.get_or_insert(now_ms);
        self.suspended.send_replace(true);
    }

    /// Suspends the worker and stops its clock, as if its VM were suspended.
    pub(crate) fn stand_still(&self) {
        self.clock.stop();
        self.suspend();
        let state = self.state();
        // The ends that no owner has acknowledged are void once the lease has expired.
        let ended = state.finished.iter().map(|end| end.key);
        let keys: Vec<Key> = state.runs.keys().copied().chain(ended).collect();
        drop(state);
        for key in keys {
            self.history.record_standstill(key, &self.id);
        }
    }

    /// Resumes the worker, its runs and its clock.
    pub(crate) fn resume(&self) {
        self.clock.resume();
        // A lapse of the lease takes effect before a run completes.
        self.end_due_runs();
        let now_ms = self.clock_ms();
        let mut state = self.state();
        let since_ms = state.suspended_ms.take().unwrap_or(now_ms);
        for run in state.runs.values_mut() {
            run.ends_ms += now_ms - since_ms;
        }
        drop(state);
        self.suspended.send_replace(false);
    }

    /// Waits while the worker is suspended.
    pub(crate) async fn until_resumed(&self) {
        let mut suspended = self.suspended.subscribe();
        // Fails only once the sender is gone.
        let _ = suspended.wait_for(|suspended| !suspended).await;
    }

    /// Ends the runs that have completed or been stopped, and all runs once the lease has lapsed.
    fn end_due_runs(&self) {
        let now_ms = self.clock_ms();
        let mut state = self.state();
        state.note_expiry(now_ms);
        let lapsed = now_ms >= state.lease_deadline_ms;
        let suspended = state.suspended_ms.is_some();
        let completed = |run: &Run| now_ms >= run.ends_ms && !suspended;
        let is_due = |run: &Run| lapsed || completed(run);
        let due = state.runs.iter().filter(|(_, run)| is_due(run));
        let due: Vec<Key> = due.map(|(key, _)| *key).collect();
        for key in &due {
            let Some(run) = state.runs.remove(key) else {
                continue;
            };
            let outcome = match completed(&run) {
                true => run.outcome,
                false => Outcome::Lapsed,
            };
            state.last_number += 1;
            let end = Finished {
                number: state.last_number,
                key: *key,
                attempt: run.attempt,
                how: outcome,
                checkpoint: None,
            };
            state.finished.push(end);
            self.note(&format!("ends {key}#{}, {outcome:?}", run.attempt));
            self.history.record_end(*key, &self.id, outcome);
        }
        drop(state);
        if !due.is_empty() {
            self.run_ended.notify_waiters();
        }
    }

    /// Starts a run. The order's text sets its duration, its processor use and the percentage of runs
    /// that fail.
    pub fn start(&self, order: &Order) -> StartOutcome {
        let clock_ms = self.clock_ms();
        let mut state = self.state();
        if !state.accept_token(order.token) {
            return StartOutcome::Refused(Refusal::Fenced);
        }
        if order.deadline_ms < clock_ms {
            return StartOutcome::Refused(Refusal::Late);
        }
        let running = state.runs.get(&order.key).map(|run| run.attempt);
        let permit = order.permit.as_deref().unwrap_or_default();
        let step = order.key.step.to_string();
        let is_valid = permit::is_valid(permit, &step, self.started_unix_ms);
        if running != Some(order.attempt) && !is_valid {
            return StartOutcome::Refused(Refusal::Permit);
        }
        state.note_expiry(clock_ms);
        state.extend_lease(order.deadline_ms, clock_ms, self.lease_max_ms);
        if running == Some(order.attempt) {
            return StartOutcome::Accepted { clock_ms };
        }
        let last = state.attempts.get(&order.key).copied().unwrap_or(0);
        if running.is_some() || order.attempt <= last {
            return StartOutcome::Refused(Refusal::Old);
        }
        let millicores = run::parse_field(&order.text, "cpu=");
        let used: u64 = state.runs.values().map(|run| run.millicores).sum();
        if used + millicores > CAPACITY.millicores {
            self.report_overcommit(&state, order, millicores);
        }
        let fails =
            run::hash_percent(order.key, order.attempt) < run::parse_field(&order.text, "fails=");
        let duration_ms = run::parse_field(&order.text, "ms=");
        let run = Run {
            attempt: order.attempt,
            millicores,
            duration_ms,
            ends_ms: clock_ms + duration_ms,
            outcome: if fails {
                Outcome::Failed
            } else {
                Outcome::Done
            },
        };
        state.runs.insert(order.key, run);
        state.attempts.insert(order.key, order.attempt);
        let lease_ms = state.lease_deadline_ms - clock_ms;
        let (key, attempt, token) = (order.key, order.attempt, order.token);
        self.note(&format!(
            "starts {key}#{attempt} of {duration_ms} ms, token {token}, lease {lease_ms} ms"
        ));
        // Before a crash, which records the end.
        self.history.record_start(key, attempt, &self.id);
        drop(state);
        StartOutcome::Accepted { clock_ms }
    }

    fn report_overcommit(&self, state: &State, order: &Order, millicores: u64) {
        let now_ms = self.clock_ms();
        let describe = |(key, run): (&Key, &Run)| {
            let remaining_ms = run.ends_ms.saturating_sub(now_ms);
            format!(
                "{key}#{} of {} millicores, {:?} in {remaining_ms} ms",
                run.attempt, run.millicores, run.outcome
            )
        };
        let running: Vec<String> = state.runs.iter().map(describe).collect();
        self.history.add_violation(format!(
            "{} was assigned {}#{} of {millicores} millicores beyond its capacity: {running:?}",
            self.id, order.key, order.attempt
        ));
    }

    /// Stops a run. Returns whether the fencing token is current.
    pub fn stop(&self, stop: &Stop) -> bool {
        let now_ms = self.clock_ms();
        let mut state = self.state();
        if !state.accept_token(stop.token) {
            return false;
        }
        let last = state.attempts.entry(stop.key).or_default();
        *last = stop.attempt.max(*last);
        let run = state.runs.get_mut(&stop.key);
        if let Some(run) = run.filter(|run| run.attempt == stop.attempt) {
            run.ends_ms = run.ends_ms.min(now_ms + STOP_DURATION_MS);
            run.outcome = Outcome::Stopped;
        }
        true
    }

    /// Renews the lease and returns a report as soon as a run has ended, or after `wait`. Returns `None`
    /// if the fencing token is stale.
    pub async fn poll(
        &self,
        token: u64,
        deadline_ms: Option<u64>,
        acknowledged: u64,
        wait: Duration,
    ) -> Option<Report> {
        self.renew_lease(token, deadline_ms, acknowledged)?;
        let ended = self.run_ended.notified();
        if self.state().finished.is_empty() {
            // After the timeout the report lists the runs in progress.
            let _ = tokio::time::timeout(wait, ended).await;
        }
        self.until_resumed().await;
        let clock_ms = self.clock_ms();
        let state = self.state();
        let running = state.runs.iter().map(|(key, run)| Running {
            key: *key,
            attempt: run.attempt,
            checkpoint: None,
            percent: run.percent(clock_ms),
            metric: 0.0,
        });
        Some(Report {
            may_have_more_ends: false,
            incarnation: self.started_unix_ms,
            clock_ms,
            finished: state.finished.clone(),
            running: running.collect(),
        })
    }

    fn renew_lease(&self, token: u64, deadline_ms: Option<u64>, acknowledged: u64) -> Option<()> {
        let now_ms = self.clock_ms();
        let mut state = self.state();
        let former_token = state.token;
        if !state.accept_token(token) {
            return None;
        }
        state.note_expiry(now_ms);
        if let Some(deadline_ms) = deadline_ms {
            state.extend_lease(deadline_ms, now_ms, self.lease_max_ms);
        }
        let expired_number = state.expired_number;
        let finished = std::mem::take(&mut state.finished);
        let (removed, kept): (Vec<_>, Vec<_>) = finished
            .into_iter()
            .partition(|end| end.number <= acknowledged);
        state.finished = kept;
        let lease_ms = state.lease_deadline_ms.saturating_sub(now_ms);
        drop(state);
        if token != former_token || lease_ms > NOTED_LEASE_MS || !removed.is_empty() {
            let ends: Vec<String> = removed.iter().map(|end| end.key.to_string()).collect();
            self.note(&format!(
                "renews, token {token}, lease {lease_ms} ms, acknowledged {acknowledged} {ends:?}"
            ));
        }
        for end in removed.iter().filter(|end| end.number > expired_number) {
            self.history
                .record_acknowledgement(end.key, end.attempt, &self.id);
        }
        Some(())
    }
}
