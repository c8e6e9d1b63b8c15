//! Simulated tasks.

use std::hash::{DefaultHasher, Hash, Hasher};

use rosemaryworks_workflow::{Key, Outcome};

/// A run of a task.
pub(super) struct Run {
    pub(super) attempt: u32,
    pub(super) millicores: u64,
    pub(super) duration_ms: u64,
    pub(super) ends_ms: u64,
    pub(super) outcome: Outcome,
}

impl Run {
    /// Returns the progress at `now_ms` in percent.
    pub(super) fn percent(&self, now_ms: u64) -> u32 {
        let remaining_ms = self.ends_ms.saturating_sub(now_ms).min(self.duration_ms);
        (100 - remaining_ms * 100 / self.duration_ms.max(1)) as u32
    }
}

/// Returns the number that follows `name` in a text of fields separated by spaces, or 0 if there is
/// none.
pub(super) fn parse_field(text: &str, name: &str) -> u64 {
    let part = text.split(' ').find_map(|part| part.strip_prefix(name));
    part.and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// Returns a number from 0 to 99 derived from a task and its attempt.
pub(super) fn hash_percent(key: Key, attempt: u32) -> u64 {
    let mut hasher = DefaultHasher::new();
    (key, attempt).hash(&mut hasher);
    hasher.finish() % 100
}
