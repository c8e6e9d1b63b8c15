//! Steps with waiting tasks. A placement pass visits a working set of bounded size, however many wait.
//!
//! Steps wait in one line for each team of a queue. While all fit, the working set holds every step. If
//! there are more, each line keeps its first ones in the set and the others take turns, so that no line
//! keeps another one from being visited. Steps that no worker of their pool could run, even an empty
//! one, are parked apart and checked a few at a time.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Bound, RangeInclusive};
use std::sync::Arc;

use crate::job::Id;
use crate::task::StepKey;

/// Steps in the working set from which lines give way to each other.
const READY_MAX: usize = 2_000;

/// Part of a line's share of the working set that is exchanged at a time.
const ROTATED_PART: usize = 4;

/// Queue and team of a line.
pub(crate) type LineKey = (Arc<str>, Option<Arc<str>>);

/// Position of a waiting step: priority, acceptance of the job, key.
pub(crate) type Position = (u32, u64, StepKey);

/// A waiting step. Entries are ordered by priority, acceptance of the job, and key.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Entry {
    pub(crate) priority: u32,
    pub(crate) acceptance_order: u64,
    pub(crate) key: StepKey,
    /// Number of the line.
    pub(crate) line: u32,
}

/// Returns the positions that steps of a job may have.
fn positions_of(priority: u32, job: Id, acceptance_order: u64) -> RangeInclusive<Position> {
    let position = |occurrence, step| {
        let key = StepKey {
            job,
            occurrence,
            step,
        };
        (priority, acceptance_order, key)
    };
    position(0, 0)..=position(u32::MAX, u16::MAX)
}

impl Entry {
    fn position(&self) -> Position {
        (self.priority, self.acceptance_order, self.key)
    }
}

/// Waiting steps of one team in a queue.
#[derive(Debug, Default)]
struct Line {
    /// Steps in the working set.
    ready: BTreeSet<Entry>,
    /// Steps that wait for their turn.
    backlog: BTreeSet<Entry>,
    /// Last entry that was taken from the backlog in turn.
    turn: Option<Entry>,
}

impl Line {
    /// Removes the next entry in turn from the backlog.
    fn take_turn(&mut self) -> Option<Entry> {
        let after = self.turn.map_or(Bound::Unbounded, Bound::Excluded);
        let mut later = self.backlog.range((after, Bound::Unbounded));
        let entry = later.next().or_else(|| self.backlog.first()).copied()?;
        self.backlog.remove(&entry);
        self.turn = Some(entry);
        Some(entry)
    }
}

/// All steps with waiting tasks.
#[derive(Debug, Default)]
pub(crate) struct Waiting {
    lines: BTreeMap<u32, Line>,
    numbers: BTreeMap<LineKey, u32>,
    next_number: u32,
    /// Number of entries in the working set.
    ready: usize,
    parked: BTreeSet<Position>,
    /// Last parked step that was checked.
    parked_turn: Option<Position>,
}

impl Waiting {
    /// Adds a step to its line. Has no effect if it waits already.
    pub(crate) fn insert(
        &mut self,
        priority: u32,
        acceptance_order: u64,
        key: StepKey,
        line_key: LineKey,
    ) {
        if self.parked.contains(&(priority, acceptance_order, key)) {
            return;
        }
        let number = match self.numbers.get(&line_key) {
            Some(number) => *number,
            None => {
                self.next_number += 1;
                self.numbers.insert(line_key, self.next_number);
                self.next_number
            }
        };
        let entry = Entry {
            priority,
            acceptance_order,
            key,
            line: number,
        };
        let line = self.lines.entry(number).or_default();
        if line.backlog.contains(&entry) {
            return;
        }
        if line.ready.insert(entry) {
            self.ready += 1;
            self.make_room(number);
        }
    }

    /// Moves the last entry of a line to its backlog if the working set is too large: of the line that
    /// has grown if it exceeds its share, else of the longest one.
    fn make_room(&mut self, grown: u32) {
        if self.ready <= READY_MAX {
            return;
        }
        let share = self.share();
        let length = |number: &u32| self.lines.get(number).map_or(0, |line| line.ready.len());
        let number = match length(&grown) > share {
            true => Some(grown),
            false => self.lines.keys().copied().max_by_key(length),
        };
        let line = number.and_then(|number| self.lines.get_mut(&number));
        if let Some(line) = line
            && let Some(last) = line.ready.pop_last()
        {
            line.backlog.insert(last);
            self.ready -= 1;
        }
    }

    /// Returns how many entries of each line fit into the working set.
    fn share(&self) -> usize {
        (READY_MAX / self.lines.len().max(1)).max(1)
    }

    /// Removes an entry of the working set.
    pub(crate) fn remove(&mut self, entry: &Entry) {
        let Some(line) = self.lines.get_mut(&entry.line) else {
            return;
        };
        self.ready -= usize::from(line.ready.remove(entry));
        self.remove_line_if_empty(entry.line);
    }

    fn remove_line_if_empty(&mut self, number: u32) {
        let is_empty = |line: &Line| line.ready.is_empty() && line.backlog.is_empty();
        if self.lines.get(&number).is_some_and(is_empty) {
            self.lines.remove(&number);
            self.numbers.retain(|_, other| *other != number);
        }
    }

    /// Removes the steps of a job that was accepted as number `acceptance_order`.
    pub(crate) fn remove_job(
        &mut self,
        priority: u32,
        job: Id,
        acceptance_order: u64,
        line_key: &LineKey,
    ) {
        let positions = positions_of(priority, job, acceptance_order);
        let parked: Vec<Position> = self.parked.range(positions.clone()).copied().collect();
        for position in parked {
            self.parked.remove(&position);
        }
        let Some(number) = self.numbers.get(line_key).copied() else {
            return;
        };
        let Some(line) = self.lines.get_mut(&number) else {
            return;
        };
        let entry = |(priority, acceptance_order, key): &Position, line| Entry {
            priority: *priority,
            acceptance_order: *acceptance_order,
            key: *key,
            line,
        };
        let range = entry(positions.start(), 0)..=entry(positions.end(), u32::MAX);
        let ready: Vec<Entry> = line.ready.range(range.clone()).copied().collect();
        let backlog: Vec<Entry> = line.backlog.range(range).copied().collect();
        for entry in &backlog {
            line.backlog.remove(entry);
        }
        for entry in &ready {
            self.remove(entry);
        }
        self.remove_line_if_empty(number);
    }

    /// Moves an entry of the working set to the parked ones.
    pub(crate) fn park(&mut self, entry: Entry) {
        self.remove(&entry);
        self.parked.insert(entry.position());
    }

    /// Removes the parked step whose turn it is.
    pub(crate) fn take_parked(&mut self) -> Option<Position> {
        let after = self.parked_turn.map_or(Bound::Unbounded, Bound::Excluded);
        let mut later = self.parked.range((after, Bound::Unbounded));
        let position = later.next().or_else(|| self.parked.first()).copied()?;
        self.parked.remove(&position);
        self.parked_turn = Some(position);
        Some(position)
    }

    /// Parks a step again that was taken.
    pub(crate) fn keep_parked(&mut self, position: Position) {
        self.parked.insert(position);
    }

    /// Fills the working set from the backlogs.
    pub(crate) fn refill(&mut self) {
        let mut room = READY_MAX.saturating_sub(self.ready);
        while room > 0 {
            let before = room;
            for line in self.lines.values_mut() {
                if room == 0 {
                    break;
                }
                if let Some(entry) = line.take_turn() {
                    line.ready.insert(entry);
                    self.ready += 1;
                    room -= 1;
                }
            }
            if room == before {
                return;
            }
        }
    }

    /// Makes room for the next entries in turn, after all of the working set have been visited.
    pub(crate) fn rotate(&mut self) {
        for line in self.lines.values_mut() {
            let count = (line.ready.len() / ROTATED_PART).min(line.backlog.len());
            for _ in 0..count {
                if let Some(last) = line.ready.pop_last() {
                    line.backlog.insert(last);
                    self.ready -= 1;
                }
            }
        }
    }

    /// Returns the entries of the working set.
    pub(crate) fn ready(&self) -> impl Iterator<Item = &Entry> {
        self.lines.values().flat_map(|line| &line.ready)
    }

    /// Returns the keys of all waiting steps.
    pub(crate) fn keys(&self) -> Vec<StepKey> {
        let lines = self.lines.values();
        let waiting = lines.flat_map(|line| line.ready.iter().chain(&line.backlog));
        let parked = self.parked.iter().map(|(_, _, key)| *key);
        waiting.map(|entry| entry.key).chain(parked).collect()
    }

    /// Returns the number of steps that wait for their turn.
    pub(crate) fn backlog_len(&self) -> usize {
        self.lines.values().map(|line| line.backlog.len()).sum()
    }

    /// Returns the number of parked steps.
    pub(crate) fn parked_len(&self) -> usize {
        self.parked.len()
    }

    /// Removes all entries.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }
}
