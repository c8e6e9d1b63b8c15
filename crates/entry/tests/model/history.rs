//! What happened in a simulated world, and the invariants that are checked on it.

use std::collections::{BTreeMap, BTreeSet};

use rosemaryworks_workflow::{Key, Shard};

use super::world::Rules;

/// Counts that show whether a run exercised the protocol.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) starts: u64,
    pub(crate) takeovers: u64,
    pub(crate) acknowledged: u64,
    pub(crate) suspensions: u64,
    pub(crate) proofs_by_peers: u64,
    pub(crate) lapses: u64,
    /// Workers that started again.
    pub(crate) restarts: u64,
    /// Calls that were carried out late and got no answer.
    pub(crate) late_calls: u64,
    /// Calls that another incarnation carried out than they were meant for.
    pub(crate) misdirected_calls: u64,
}

/// An invariant that doesn't hold.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Invariant {
    /// No owner commands a worker once its successor counts on its end.
    FencedCommand,
    /// No task runs on two workers at once.
    OneRun,
    /// No task starts after an end as done that is acknowledged then or later.
    OneResult,
}

/// Events that the invariants are about.
#[derive(Debug, Default)]
pub(crate) struct History {
    /// Workers that run an attempt of each task.
    running: BTreeMap<Key, BTreeSet<usize>>,
    /// Tasks with an acknowledged end as done.
    done: BTreeSet<Key>,
    /// Number of starts of each task.
    starts: BTreeMap<Key, u64>,
    /// Number of starts of its task before the end of each attempt that ended as done on a worker.
    done_after: BTreeMap<(Key, u32, usize), u64>,
    /// Time of each complete takeover by epoch.
    takeovers: BTreeMap<u64, u64>,
    pub(crate) counts: Counts,
    /// First violation of each invariant.
    pub(crate) violations: BTreeMap<Invariant, String>,
    /// Lines about the events, if they are wanted.
    pub(crate) trace: Option<Vec<String>>,
}

impl History {
    pub(crate) fn note(&mut self, line: impl FnOnce() -> String) {
        if let Some(trace) = &mut self.trace {
            trace.push(line());
        }
    }

    fn violate(&mut self, invariant: Invariant, text: String) {
        self.note(|| format!("VIOLATION of {invariant:?}: {text}"));
        self.violations.entry(invariant).or_insert(text);
    }

    pub(crate) fn started(&mut self, key: Key, worker: usize, epoch: u64, now_ms: u64) {
        self.counts.starts += 1;
        *self.starts.entry(key).or_default() += 1;
        let workers = self.running.entry(key).or_default();
        workers.insert(worker);
        if workers.len() > 1 {
            let text = format!("{now_ms}: {key} runs on {workers:?}, started by epoch {epoch}");
            self.violate(Invariant::OneRun, text);
        }
        if self.done.contains(&key) {
            let text = format!("{now_ms}: {key} starts on {worker} by epoch {epoch} after its end");
            self.violate(Invariant::OneResult, text);
        }
    }

    pub(crate) fn ended(&mut self, key: Key, worker: usize) {
        if let Some(workers) = self.running.get_mut(&key) {
            workers.remove(&worker);
        }
    }

    /// Notes that an attempt has ended as done.
    pub(crate) fn done(&mut self, key: Key, attempt: u32, worker: usize) {
        let starts = self.starts.get(&key).copied().unwrap_or_default();
        self.done_after.insert((key, attempt, worker), starts);
    }

    /// Notes that the end of an attempt as done was acknowledged.
    pub(crate) fn acknowledged(&mut self, key: Key, attempt: u32, worker: usize, now_ms: u64) {
        self.counts.acknowledged += 1;
        self.done.insert(key);
        let starts = self.starts.get(&key).copied().unwrap_or_default();
        let before = self.done_after.remove(&(key, attempt, worker));
        if before.is_some_and(|before| before < starts) {
            let text = format!(
                "{now_ms}: the end of {key} on {worker} is acknowledged, and {key} has started since"
            );
            self.violate(Invariant::OneResult, text);
        }
    }

    pub(crate) fn took_over(&mut self, epoch: u64, now_ms: u64) {
        self.counts.takeovers += 1;
        self.takeovers.insert(epoch, now_ms);
    }

    /// Returns the times of the complete takeovers.
    pub(crate) fn takeover_times(&self) -> Vec<u64> {
        self.takeovers.values().copied().collect()
    }

    /// Checks a command that an owner sends.
    pub(crate) fn commanded(&mut self, epoch: u64, now_ms: u64) {
        let later = self.takeovers.range(epoch + 1..);
        let fenced_ms = later.map(|(_, at_ms)| at_ms + Shard::PREDECESSOR_FENCED_MS);
        if let Some(fenced_ms) = fenced_ms.min().filter(|fenced_ms| now_ms > *fenced_ms) {
            let text = format!("{now_ms}: epoch {epoch} commands, fenced since {fenced_ms}");
            self.violate(Invariant::FencedCommand, text);
        }
    }
}

impl Counts {
    pub(crate) fn add(&mut self, other: Self) {
        self.starts += other.starts;
        self.takeovers += other.takeovers;
        self.acknowledged += other.acknowledged;
        self.suspensions += other.suspensions;
        self.proofs_by_peers += other.proofs_by_peers;
        self.lapses += other.lapses;
        self.restarts += other.restarts;
        self.late_calls += other.late_calls;
        self.misdirected_calls += other.misdirected_calls;
    }

    /// Returns whether every part of the protocol took place, and every fault of the rules.
    pub(crate) fn is_exercised(&self, rules: Rules) -> bool {
        let counts = [
            self.starts,
            self.takeovers,
            self.acknowledged,
            self.suspensions,
            self.proofs_by_peers,
            self.lapses,
        ];
        let restarts = [self.restarts, self.late_calls, self.misdirected_calls];
        let restarts = restarts.into_iter().filter(|_| rules.restarts);
        counts.into_iter().chain(restarts).all(|count| count > 0)
    }
}
