//! Bound of a placement pass: its work is counted, and a pass that has done as much as it may ends. The
//! next one looks at the first steps again and then goes on where the last one ended.

use crate::order::Rank;

/// Work that a pass may do unless the owner says otherwise. The unit is a look at one worker for one step.
const DEFAULT_BUDGET: u64 = 50_000;

/// Part of the work in which a pass looks at the first steps before it goes on where the last one ended.
const HEAD_PART: u64 = 4;

/// Part of the work in which a pass plans gangs and reserves workers.
const RESERVE_PART: u64 = 2;

/// Work of the placement passes of a shard.
#[derive(Debug)]
pub(crate) struct Pass {
    budget: u64,
    spent: u64,
    /// First step at which the last pass did not look.
    pub(crate) resume: Option<Rank>,
    /// Passes that ended before they had looked at all steps.
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
    pub(crate) fn set_budget(&mut self, budget: u64) {
        self.budget = budget.max(1);
    }

    pub(crate) fn begin(&mut self) {
        self.spent = 0;
    }

    /// Counts work.
    pub(crate) fn charge(&mut self, units: usize) {
        self.spent += units as u64;
    }

    pub(crate) fn spent(&self) -> u64 {
        self.spent
    }

    pub(crate) fn is_exhausted(&self) -> bool {
        self.spent >= self.budget
    }

    pub(crate) fn head_is_spent(&self, since: u64) -> bool {
        self.spent >= since + self.budget / HEAD_PART
    }

    pub(crate) fn reserve_is_spent(&self) -> bool {
        self.spent >= self.budget / RESERVE_PART
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
