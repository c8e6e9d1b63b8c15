//! Choice of the VMs that send an owner's commands to workers, without I/O.
//!
//! An owner decides alone which task runs where, but the calls to the workers take most of its CPU.
//! If it has more workers than its VM can call, other VMs send the commands. A relay adds nothing
//! that a slow network doesn't do: commands carry the owner's fencing token and a deadline on the
//! worker's clock, so one that is sent late or twice has no effect.

use std::collections::HashMap;
use std::sync::Arc;

use rosemaryworks_core::partition::hash;

/// Workers that an owner calls itself, for each core of its VM.
const OWN_WORKERS_PER_CORE: f64 = 600.0;

/// Workers for each relay. Few relays, because commands that leave together share a message.
const WORKERS_PER_RELAY: usize = 200;

/// Smallest number of relays, so that the loss of one affects only a part of the workers.
const RELAYS_MIN: usize = 2;

/// Time for which a relay that gave no answer gets no command, in milliseconds. Doubles with each
/// further failure up to [`PAUSE_MAX_MS`].
const PAUSE_MS: u64 = 2_000;

/// Longest time for which a relay that gave no answer gets no command, in milliseconds.
const PAUSE_MAX_MS: u64 = 16_000;

/// Time for which the owner calls a worker itself that a relay could not reach, in milliseconds. A
/// cut may separate the worker from the relay only.
const DIRECT_MS: u64 = 3_000;

/// A VM that offers to send commands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Offer {
    /// Name of the VM's process.
    pub vm: Arc<str>,
    /// CPU of the VM in thousandths of a core.
    pub millicores: u64,
    /// Whether the process owns a shard, which takes its CPU.
    pub is_owner: bool,
}

/// Failures of a relay in a row.
#[derive(Clone, Copy, Debug)]
struct Failures {
    count: u32,
    until_ms: u64,
}

/// Relays of one owner.
#[derive(Debug, Default)]
pub struct Relays {
    /// Relay of each part of the workers; `None` if there is none.
    slots: Vec<Option<Arc<str>>>,
    failures: HashMap<Arc<str>, Failures>,
    direct_until_ms: HashMap<Arc<str>, u64>,
}

/// Returns how many workers an owner calls itself on a VM with `cores`.
#[must_use]
pub fn own_workers(cores: f64) -> u32 {
    (cores * OWN_WORKERS_PER_CORE) as u32
}

/// Returns how many relays an owner of `workers` needs that calls `own` of them itself at most.
#[must_use]
pub fn needed(workers: usize, own: u32) -> usize {
    match workers > own as usize {
        true => workers.div_ceil(WORKERS_PER_RELAY).max(RELAYS_MIN),
        false => 0,
    }
}

impl Relays {
    /// Assigns VMs to `count` parts of the workers. Relays stay as long as they offer and answer;
    /// the others are replaced by the strongest VMs that own no shard. Returns whether a part has
    /// another VM than before.
    pub fn assign(&mut self, count: usize, offers: &[Offer], now_ms: u64) -> bool {
        let before = self.slots.clone();
        self.fill(count, offers, now_ms);
        self.slots != before
    }

    fn fill(&mut self, count: usize, offers: &[Offer], now_ms: u64) {
        self.direct_until_ms.retain(|_, until| now_ms < *until);
        self.slots.resize(count, None);
        let mut free: Vec<&Offer> = offers
            .iter()
            .filter(|offer| !self.is_paused(&offer.vm, now_ms))
            .collect();
        for slot in &mut self.slots {
            let kept = slot.as_ref().and_then(|vm| {
                let index = free.iter().position(|offer| offer.vm == *vm)?;
                Some(free.swap_remove(index).vm.clone())
            });
            *slot = kept;
        }
        if self.slots.iter().all(Option::is_some) {
            return;
        }
        let order = |offer: &&Offer| {
            (
                offer.is_owner,
                u64::MAX - offer.millicores,
                hash(&[&offer.vm]),
            )
        };
        free.sort_by_key(order);
        let mut free = free.into_iter();
        for slot in self.slots.iter_mut().filter(|slot| slot.is_none()) {
            *slot = free.next().map(|offer| offer.vm.clone());
        }
    }

    /// Returns the VM that sends the next command to a worker; `None` if the owner does.
    #[must_use]
    pub fn choose(&self, worker: &str, now_ms: u64) -> Option<&Arc<str>> {
        if self.slots.is_empty() {
            return None;
        }
        let is_direct = |until: &u64| now_ms < *until;
        if self.direct_until_ms.get(worker).is_some_and(is_direct) {
            return None;
        }
        let index = hash(&[worker]) % self.slots.len() as u64;
        let vm = self.slots[usize::try_from(index).unwrap_or(0)].as_ref()?;
        Some(vm).filter(|vm| !self.is_paused(vm, now_ms))
    }

    /// Returns the relays in use.
    pub fn in_use(&self) -> impl Iterator<Item = &Arc<str>> {
        self.slots.iter().flatten()
    }

    /// Records that a relay answered.
    pub fn answered(&mut self, vm: &str) {
        if !self.failures.is_empty() {
            self.failures.remove(vm);
        }
    }

    /// Records that a relay gave no answer. Returns how long it gets no commands in milliseconds, if
    /// that begins now.
    pub fn failed(&mut self, vm: &Arc<str>, now_ms: u64) -> Option<u64> {
        let failures = self.failures.entry(vm.clone()).or_insert(Failures {
            count: 0,
            until_ms: 0,
        });
        // The commands under way fail together and count once.
        if now_ms < failures.until_ms {
            return None;
        }
        let pause_ms = (PAUSE_MS << failures.count.min(8)).min(PAUSE_MAX_MS);
        failures.until_ms = now_ms + pause_ms;
        failures.count += 1;
        Some(pause_ms)
    }

    /// Records that a relay could not reach a worker.
    pub fn worker_failed(&mut self, worker: &Arc<str>, now_ms: u64) {
        self.direct_until_ms
            .insert(worker.clone(), now_ms + DIRECT_MS);
    }

    fn is_paused(&self, vm: &str, now_ms: u64) -> bool {
        let failures = self.failures.get(vm);
        failures.is_some_and(|failures| now_ms < failures.until_ms)
    }
}
