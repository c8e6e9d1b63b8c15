//! Which VM asks the advice service: short urgent questions beside long ones.
//!
//! The service serves one call at a time for each VM, and a long question takes forty times as long
//! as a short one. Some VMs ask only short questions, so that these never wait behind long ones.

use std::collections::HashMap;
use std::sync::Arc;

/// Longest time of a question that counts as short, in milliseconds.
const SHORT_MS: f64 = 50.0;

/// One VM of this many is kept for short questions.
const VMS_PER_SHORT_LANE: usize = 4;

/// Time for which a VM that gave no answer isn't asked, in milliseconds. It may be gone, or the service
/// may still serve an earlier question of it.
const SILENT_PAUSE_MS: u64 = 2_000;

/// Questions on their way through each VM.
#[derive(Debug, Default)]
pub struct Lanes {
    waiting_ms: HashMap<Arc<str>, f64>,
    silent_until_ms: HashMap<Arc<str>, u64>,
}

/// A question on its way.
#[derive(Clone, Debug, PartialEq)]
pub struct Turn {
    /// VM that asks.
    pub vm: Arc<str>,
    /// Expected time of the question in milliseconds.
    pub cost_ms: f64,
    /// Expected time of the questions before it in milliseconds.
    pub before_ms: f64,
}

impl Lanes {
    /// Chooses the VM for a question among `vms`, of which there is at least one, and counts the
    /// question. Owners that don't know of each other keep the same VMs for short questions.
    pub fn choose(&mut self, vms: &[Arc<str>], cost_ms: f64, now_ms: u64) -> Option<Turn> {
        self.silent_until_ms
            .retain(|_, until_ms| now_ms < *until_ms);
        let answers = |vm: &&Arc<str>| !self.silent_until_ms.contains_key(*vm);
        let mut order: Vec<&Arc<str>> = vms.iter().filter(answers).collect();
        if order.is_empty() {
            order = vms.iter().collect();
        }
        order.sort();
        order.dedup();
        let kept = match order.len() {
            0 | 1 => 0,
            count => count.div_ceil(VMS_PER_SHORT_LANE),
        };
        let candidates = if cost_ms > SHORT_MS {
            &order[kept..]
        } else {
            &order[..]
        };
        let waiting = |vm: &Arc<str>| self.waiting_ms.get(vm).copied().unwrap_or(0.0);
        let vm = candidates
            .iter()
            .min_by(|a, b| waiting(a).total_cmp(&waiting(b)))?;
        let (vm, before_ms) = ((*vm).clone(), waiting(vm));
        *self.waiting_ms.entry(vm.clone()).or_default() += cost_ms;
        Some(Turn {
            vm,
            cost_ms,
            before_ms,
        })
    }

    /// Counts a question as given up: the VM gave no answer.
    pub fn failed(&mut self, turn: &Turn, now_ms: u64) {
        self.silent_until_ms
            .insert(turn.vm.clone(), now_ms + SILENT_PAUSE_MS);
        self.ended(turn);
    }

    /// Counts a question as answered.
    pub fn ended(&mut self, turn: &Turn) {
        if let Some(waiting) = self.waiting_ms.get_mut(&turn.vm) {
            *waiting = (*waiting - turn.cost_ms).max(0.0);
        }
    }
}
