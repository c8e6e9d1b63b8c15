//! A simulated worker: runs attempts under a lease and rejects old fencing tokens.

use std::collections::BTreeMap;

use rosemaryworks_workflow::{
    Finished, Key, Order, Outcome, Refusal, Renewal, Report, Running, StartOutcome, Stop,
};

use super::clock::Clock;

/// Usual upper bound of a lease in milliseconds.
pub(crate) const LEASE_MAX_MS: u64 = 10_000;

/// Time until a stopped attempt has ended, in milliseconds.
const STOP_MS: u64 = 150;

/// First incarnation of every worker; the next ones follow.
const INCARNATION: u64 = 7;

struct Run {
    attempt: u32,
    began_ms: u64,
    ends_ms: u64,
    how: Outcome,
}

/// What a worker did in an attempt's life.
pub(crate) enum Change {
    /// Attempt of a task whose end as done was taken note of under the lease.
    Acknowledged(Key, u32),
    Ended(Key, u32, Outcome),
}

/// What a worker that has ended does with calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Down {
    /// They get no answer.
    Dark,
    /// Connections are refused.
    Refusing,
}

/// A worker. Its times are on its own clock, except those of its starts.
pub(crate) struct Worker {
    pub(crate) clock: Clock,
    pub(crate) down: Option<Down>,
    /// Share of the commands to it that are late, in percent.
    pub(crate) late_percent: u32,
    /// Simulated times at which its incarnations started.
    starts: Vec<u64>,
    lease_max_ms: u64,
    token: u64,
    lease_ms: u64,
    /// Time from the end of the lease to the end of its attempts, in milliseconds.
    kill_ms: u64,
    runs: BTreeMap<Key, Run>,
    attempts: BTreeMap<Key, u32>,
    finished: Vec<Finished>,
    last_number: u64,
    /// Number of the last end when the lease last expired.
    expired_number: u64,
}

impl Worker {
    pub(crate) fn new(clock: Clock, kill_ms: u64, lease_max_ms: u64) -> Self {
        Self {
            clock,
            down: None,
            late_percent: 0,
            starts: vec![0],
            lease_max_ms,
            token: 0,
            lease_ms: 0,
            kill_ms,
            runs: BTreeMap::new(),
            attempts: BTreeMap::new(),
            finished: Vec::new(),
            last_number: 0,
            expired_number: 0,
        }
    }

    /// Returns the current incarnation, or the last one of a worker that has ended.
    pub(crate) fn incarnation(&self) -> u64 {
        INCARNATION + self.starts.len() as u64 - 1
    }

    /// Returns the incarnation that was the newest one at a simulated time.
    pub(crate) fn incarnation_at(&self, at_ms: u64) -> u64 {
        let later = self.starts.iter().filter(|start_ms| **start_ms > at_ms);
        self.incarnation() - later.count() as u64
    }

    pub(crate) fn refuses(&self) -> bool {
        self.down == Some(Down::Refusing)
    }

    /// Returns the time for which the lease still lasts.
    pub(crate) fn lease_left_ms(&self, now_ms: u64) -> u64 {
        self.lease_ms.saturating_sub(now_ms)
    }

    /// Ends the worker. Returns the tasks whose attempts ended with it.
    pub(crate) fn crash(&mut self, down: Down) -> Vec<Key> {
        self.down = Some(down);
        std::mem::take(&mut self.runs).into_keys().collect()
    }

    /// Starts an incarnation that knows nothing of the former one.
    pub(crate) fn restart(&mut self, clock: Clock, at_ms: u64) {
        let mut starts = std::mem::take(&mut self.starts);
        starts.push(at_ms);
        *self = Self {
            starts,
            late_percent: self.late_percent,
            ..Self::new(clock, self.kill_ms, self.lease_max_ms)
        };
    }

    fn accept_token(&mut self, token: u64) -> bool {
        let is_current = token >= self.token;
        self.token = self.token.max(token);
        is_current
    }

    fn extend_lease(&mut self, deadline_ms: u64, now_ms: u64) {
        self.note_expiry(now_ms);
        let deadline_ms = deadline_ms.min(now_ms + self.lease_max_ms);
        self.lease_ms = self.lease_ms.max(deadline_ms);
    }

    /// Notes the ends before an expiry of the lease. Their tasks may have started again since.
    fn note_expiry(&mut self, now_ms: u64) {
        if now_ms >= self.lease_ms {
            self.expired_number = self.last_number;
        }
    }

    /// Starts an attempt that takes `takes_ms`. Returns the outcome, and whether an attempt began.
    pub(crate) fn start(
        &mut self,
        order: &Order,
        takes_ms: u64,
        how: Outcome,
        now_ms: u64,
    ) -> (StartOutcome, bool) {
        if !self.accept_token(order.token) {
            return (StartOutcome::Refused(Refusal::Fenced), false);
        }
        if order.deadline_ms < now_ms {
            return (StartOutcome::Refused(Refusal::Late), false);
        }
        self.extend_lease(order.deadline_ms, now_ms);
        let accepted = StartOutcome::Accepted { clock_ms: now_ms };
        let running = self.runs.get(&order.key).map(|run| run.attempt);
        if running == Some(order.attempt) {
            return (accepted, false);
        }
        let last = self.attempts.get(&order.key).copied().unwrap_or(0);
        if running.is_some() || order.attempt <= last {
            return (StartOutcome::Refused(Refusal::Old), false);
        }
        let run = Run {
            attempt: order.attempt,
            began_ms: now_ms,
            ends_ms: now_ms + takes_ms,
            how,
        };
        self.runs.insert(order.key, run);
        self.attempts.insert(order.key, order.attempt);
        (accepted, true)
    }

    /// Stops an attempt. Returns whether the fencing token is current.
    pub(crate) fn stop(&mut self, stop: &Stop, now_ms: u64) -> bool {
        if !self.accept_token(stop.token) {
            return false;
        }
        let last = self.attempts.entry(stop.key).or_default();
        *last = stop.attempt.max(*last);
        let run = self.runs.get_mut(&stop.key);
        if let Some(run) = run.filter(|run| run.attempt == stop.attempt)
            && run.ends_ms > now_ms + STOP_MS
        {
            run.ends_ms = now_ms + STOP_MS;
            run.how = Outcome::Stopped;
        }
        true
    }

    /// Renews the lease and forgets acknowledged ends; `None` if the fencing token is old.
    pub(crate) fn renew(&mut self, renewal: &Renewal, now_ms: u64) -> Option<Vec<Change>> {
        if !self.accept_token(renewal.token) {
            return None;
        }
        self.note_expiry(now_ms);
        if let Some(deadline_ms) = renewal.deadline_ms {
            self.extend_lease(deadline_ms, now_ms);
        }
        let is_acknowledged = |end: &Finished| end.number <= renewal.acknowledged;
        let done = |end: &&Finished| {
            is_acknowledged(end) && end.how == Outcome::Done && end.number > self.expired_number
        };
        let changes = self.finished.iter().filter(done);
        let changes = changes
            .map(|end| Change::Acknowledged(end.key, end.attempt))
            .collect();
        self.finished.retain(|end| !is_acknowledged(end));
        Some(changes)
    }

    pub(crate) fn has_ends(&self) -> bool {
        !self.finished.is_empty()
    }

    pub(crate) fn report(&self, now_ms: u64) -> Report {
        let running = self.runs.iter().map(|(key, run)| Running {
            key: *key,
            attempt: run.attempt,
            checkpoint: None,
            percent: ((now_ms - run.began_ms) / 100).min(99) as u32,
            metric: 0.0,
        });
        Report {
            incarnation: self.incarnation(),
            clock_ms: now_ms,
            finished: self.finished.clone(),
            may_have_more_ends: false,
            running: running.collect(),
        }
    }

    /// Returns the time of the next end of an attempt.
    pub(crate) fn next_end_ms(&self) -> Option<u64> {
        let ends = self.runs.values().map(|run| run.ends_ms);
        let lapse_ms = self.lease_ms + self.kill_ms;
        ends.min().map(|at_ms| at_ms.min(lapse_ms))
    }

    /// Ends the attempts that are due. An expired lease is noticed late, and then ends all.
    pub(crate) fn end_due(&mut self, now_ms: u64) -> Vec<Change> {
        self.note_expiry(now_ms);
        let lapsed = now_ms >= self.lease_ms + self.kill_ms;
        let is_due = |run: &Run| lapsed || now_ms >= run.ends_ms;
        let due = self.runs.iter().filter(|(_, run)| is_due(run));
        let due: Vec<Key> = due.map(|(key, _)| *key).collect();
        let mut changes = Vec::new();
        for key in due {
            let Some(run) = self.runs.remove(&key) else {
                continue;
            };
            let how = match now_ms >= run.ends_ms {
                true => run.how,
                false => Outcome::Lapsed,
            };
            self.last_number += 1;
            self.finished.push(Finished {
                number: self.last_number,
                key,
                attempt: run.attempt,
                how,
                checkpoint: None,
            });
            changes.push(Change::Ended(key, run.attempt, how));
        }
        changes
    }
}
