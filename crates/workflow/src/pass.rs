//! Bound of a placement pass: its work is counted, and a pass that has done as much as it may ends. The
//! next one places the first steps again and then goes on where the last one ended.

use crate::order::Rank;

/// Work that a pass may do unless the owner says otherwise, in evaluations of one worker for one step.
const DEFAULT_BUDGET: u64 = 50_000;

/// Part of the work in which a pass places the first steps before it goes on where the last one ended.
const HEAD_PART: u64 = 4;

/// Part of the work in which a pass plans gangs and reserves workers.
const RESERVE_PART: u64 = 2;

/// Part of the work in which a pass checks parked steps.
const CHECKS_PART: u64 = 8;

/// Work of the placement passes of a shard.
#[derive(Debug)]
pub(crate) struct Pass {
    budget: u64,
    spent: u64,
    /// First step that the last pass did not reach.
    pub(crate) resume: Option<Rank>,
    /// Passes that ended before they had reached all steps.
    cut: u64,
}

impl Default for Pass {
    fn default() -> Self {
        Self {
            budget: DEFAULT_BUDGET,
            spent: 0,
            resume: None,
            cut: 0,
        }
    }
}

impl Pass {
    /// Sets the work that a pass may do, in evaluations of one worker for one step.
    pub(crate) fn set_budget(&mut self, budget: u64) {
        self.budget = budget.max(1);
    }

    /// Begins a pass.
    pub(crate) fn begin(&mut self) {
        self.spent = 0;
    }

    /// Counts work, in evaluations of one worker for one step.
    pub(crate) fn charge(&mut self, evaluations: usize) {
        self.spent += evaluations as u64;
    }

    /// Returns the work that the pass has done.
    pub(crate) fn spent(&self) -> u64 {
        self.spent
    }

    /// Returns whether the pass has done as much as it may.
    pub(crate) fn is_exhausted(&self) -> bool {
        self.spent >= self.budget
    }

    /// Returns whether the pass has placed enough of the first steps since it had spent `since`.
    pub(crate) fn head_is_spent(&self, since: u64) -> bool {
        self.spent >= since + self.budget / HEAD_PART
    }

    /// Returns whether the pass has planned and reserved enough.
    pub(crate) fn reserve_is_spent(&self) -> bool {
        self.spent >= self.budget / RESERVE_PART
    }

    /// Returns whether the pass has checked enough parked steps.
    pub(crate) fn checks_are_spent(&self) -> bool {
        self.spent >= self.budget / CHECKS_PART
    }

    /// Ends the pass before a step.
    pub(crate) fn cut_before(&mut self, rank: Rank) {
        self.resume = Some(rank);
        self.cut += 1;
    }

    /// Returns how many passes were cut short so far.
    pub(crate) fn cut(&self) -> u64 {
        self.cut
    }
}
