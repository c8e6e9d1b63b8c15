//! Permits of the advice service. A permit is valid for one step, one life of a worker and a limited
//! time.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rosemaryworks_node::clock::unix_ms;

/// Time for which a permit is valid in milliseconds.
pub(crate) const VALIDITY_MS: u64 = 2_000;

/// Permits for the current lives of all workers.
#[derive(Default)]
pub struct Permits {
    /// Start of the current life of each worker in Unix milliseconds.
    lives: Mutex<BTreeMap<Arc<str>, u64>>,
}

impl Permits {
    fn lives(&self) -> MutexGuard<'_, BTreeMap<Arc<str>, u64>> {
        self.lives.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the current life of a worker. Permits for the former one are void.
    pub(crate) fn set_life(&self, worker: Arc<str>, life: u64) {
        self.lives().insert(worker, life);
    }

    /// Returns a permit for the tasks of a step, or `None` if there is no such worker.
    #[must_use]
    pub fn issue(&self, step: &str, worker: &str) -> Option<String> {
        let life = self.lives().get(worker).copied()?;
        Some(format!("{step}/{life}/{}", unix_ms()))
    }
}

/// Returns whether a worker accepts a permit for a step in a life.
pub(crate) fn is_valid(permit: &str, step: &str, life: u64) -> bool {
    let parts: Vec<&str> = permit.split('/').collect();
    let [of_step, of_life, issued_ms] = parts[..] else {
        return false;
    };
    let issued_ms: u64 = issued_ms.parse().unwrap_or(0);
    of_step == step && of_life == life.to_string() && unix_ms() <= issued_ms + VALIDITY_MS
}
