//! Choice of the VM that sends an advice request.
//!
//! The service serves one call at a time for each VM, and a long request takes forty times as long
//! as a short one. Some VMs are reserved for short requests, so that urgent short ones don't queue
//! behind long ones.

use std::collections::HashMap;
use std::sync::Arc;

use rosemaryworks_workflow::{AdviceLoad, SHORT_ADVICE_MS};

/// One VM out of this many is reserved for short requests.
const VMS_PER_RESERVED: usize = 4;

/// Time for which a VM that gave no answer gets no request, in milliseconds. It may have ended, or
/// be paused. Ends with its next reply.
const SILENT_PAUSE_MS: u64 = 2_000;

/// Time for which a request may be on its way to a VM, so that a report of the VM doesn't count it,
/// in milliseconds.
const TRANSIT_MS: u64 = 10;

/// Backlog below which a VM counts as idle, in milliseconds.
const IDLE_MS: f64 = 1.0;

/// What the owner knows about a VM.
#[derive(Debug, Default)]
struct Vm {
    /// Time at which it is expected to have worked off its queue.
    free_at_ms: f64,
    /// Expected times of requests that were sent a moment ago, with the time of sending.
    in_transit: Vec<(u64, f64)>,
    replied_ms: u64,
    excluded_until_ms: u64,
}

impl Vm {
    fn queued_ms(&self, now_ms: u64) -> f64 {
        (self.free_at_ms - now_ms as f64).max(0.0)
    }
}

/// Reported backlogs of the VMs, and the owner's own requests since the reports.
#[derive(Debug, Default)]
pub struct Choice {
    vms: HashMap<Arc<str>, Vm>,
    /// Position at which the search begins among VMs that are alike. Differs between owners, so that
    /// they don't choose the same VM at the same time.
    offset: usize,
}

/// A request and the VM that it was assigned to.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// VM that sends the request.
    pub vm: Arc<str>,
    /// Expected time of the requests before it in milliseconds.
    pub queued_ms: f64,
    /// Time of the assignment.
    pub sent_ms: u64,
}

impl Choice {
    /// Creates the choice of the owner of a shard.
    #[must_use]
    pub fn new(shard: u32) -> Self {
        Self {
            vms: HashMap::new(),
            offset: shard as usize,
        }
    }

    /// Assigns a request to one of `vms` on which it is expected to wait for no longer than
    /// `wait_max_ms`; `None` if there is none. Owners choose the reserved VMs by name order, so they
    /// reserve the same ones without coordination.
    pub fn assign(
        &mut self,
        vms: &[Arc<str>],
        cost_ms: f64,
        wait_max_ms: f64,
        now_ms: u64,
    ) -> Option<Assignment> {
        if self.vms.len() > 2 * vms.len() {
            // VMs that left without a request under way.
            self.vms.retain(|vm, _| vms.contains(vm));
        }
        let order = self.usable(vms, now_ms);
        let reserved = reserved(order.len());
        let candidates = match cost_ms > SHORT_ADVICE_MS {
            true => &order[reserved..],
            false => &order[..],
        };
        let count = candidates.len();
        self.offset = self.offset.wrapping_add(1);
        let rank = |index: usize| {
            let queued_ms = self.queued_ms(&candidates[index], now_ms);
            // Short requests prefer the reserved VMs.
            let is_shared = cost_ms <= SHORT_ADVICE_MS && index >= reserved;
            let turn = (index + count - self.offset % count) % count;
            (queued_ms as u64, is_shared, turn)
        };
        let best = (0..count).min_by_key(|index| rank(*index))?;
        let vm = candidates[best].clone();
        let known = self.vms.entry(vm.clone()).or_default();
        let queued_ms = known.queued_ms(now_ms);
        if queued_ms > wait_max_ms {
            return None;
        }
        known.free_at_ms = known.free_at_ms.max(now_ms as f64) + cost_ms;
        known
            .in_transit
            .retain(|(sent_ms, _)| now_ms < sent_ms + TRANSIT_MS);
        known.in_transit.push((now_ms, cost_ms));
        Some(Assignment {
            vm,
            queued_ms,
            sent_ms: now_ms,
        })
    }

    /// Applies the backlog that a VM reported with a reply; not a number if it reported none.
    pub fn reported(&mut self, vm: &Arc<str>, backlog_ms: f64, now_ms: u64) {
        let known = self.vms.entry(vm.clone()).or_default();
        let in_transit = known
            .in_transit
            .iter()
            .filter(|(sent_ms, _)| now_ms < sent_ms + TRANSIT_MS);
        let in_transit_ms: f64 = in_transit.map(|(_, cost_ms)| cost_ms).sum();
        if backlog_ms.is_finite() {
            known.free_at_ms = now_ms as f64 + backlog_ms.max(0.0) + in_transit_ms;
        }
        known.replied_ms = now_ms;
        known.excluded_until_ms = 0;
    }

    /// Excludes a VM for a while that gave no reply in the expected time, unless it has replied to
    /// another request meanwhile.
    pub fn silent(&mut self, assignment: &Assignment, now_ms: u64) {
        if let Some(known) = self.vms.get_mut(&assignment.vm)
            && known.replied_ms <= assignment.sent_ms
        {
            known.excluded_until_ms = now_ms + SILENT_PAUSE_MS;
        }
    }

    /// Forgets a VM whose link is closed, with its queue.
    pub fn lost(&mut self, vm: &str) {
        self.vms.remove(vm);
    }

    /// Returns the number of VMs for requests that aren't short, and their mean backlog.
    #[must_use]
    pub fn load(&self, vms: &[Arc<str>], now_ms: u64) -> AdviceLoad {
        let order = self.usable(vms, now_ms);
        let shared = &order[reserved(order.len())..];
        let backlogs: Vec<f64> = shared.iter().map(|vm| self.queued_ms(vm, now_ms)).collect();
        let idle = backlogs.iter().filter(|queued_ms| **queued_ms < IDLE_MS);
        AdviceLoad {
            vms: shared.len() as u32,
            idle: idle.count() as u32,
            backlog_ms: backlogs.iter().sum::<f64>() / shared.len().max(1) as f64,
        }
    }

    /// Returns the VMs that aren't excluded, in name order; all if all are.
    fn usable(&self, vms: &[Arc<str>], now_ms: u64) -> Vec<Arc<str>> {
        let is_usable = |vm: &&Arc<str>| {
            let known = self.vms.get(*vm);
            known.is_none_or(|known| now_ms >= known.excluded_until_ms)
        };
        let mut order: Vec<Arc<str>> = vms.iter().filter(is_usable).cloned().collect();
        if order.is_empty() {
            order = vms.to_vec();
        }
        order.sort();
        order.dedup();
        order
    }

    fn queued_ms(&self, vm: &str, now_ms: u64) -> f64 {
        self.vms
            .get(vm)
            .map_or(0.0, |known| known.queued_ms(now_ms))
    }
}

/// Returns how many of `count` VMs are reserved for short requests.
fn reserved(count: usize) -> usize {
    match count {
        0 | 1 => 0,
        count => count.div_ceil(VMS_PER_RESERVED),
    }
}
