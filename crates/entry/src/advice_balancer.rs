//! Load balancing of advice requests over the VMs.
//!
//! The service serves one call at a time for each VM, and a long request takes forty times as long
//! as a short one. Some VMs are reserved for short requests, so that urgent short ones don't queue
//! behind long ones.

use std::collections::HashMap;
use std::sync::Arc;

/// Longest expected time of a short request in milliseconds.
const SHORT_MS: f64 = 50.0;

/// One VM out of this many is reserved for short requests.
const VMS_PER_RESERVED: usize = 4;

/// Time for which a VM that gave no answer gets no request, in milliseconds. It may have ended, or
/// the service may still serve an earlier request of it.
const UNRESPONSIVE_PAUSE_MS: u64 = 2_000;

/// Expected time of the outstanding requests of each VM, and the VMs that get no request for now.
#[derive(Debug, Default)]
pub struct Balancer {
    expected_ms: HashMap<Arc<str>, f64>,
    excluded_until_ms: HashMap<Arc<str>, u64>,
}

/// An outstanding request and the VM that it was assigned to.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// VM that sends the request.
    pub vm: Arc<str>,
    /// Expected time of the request in milliseconds.
    pub cost_ms: f64,
    /// Expected time of the requests queued before it in milliseconds.
    pub queued_ms: f64,
}

impl Balancer {
    /// Assigns a request to one of `vms`; `None` if there are none. Owners choose the
    /// reserved VMs by name order, so they reserve the same ones without coordination.
    pub fn assign(&mut self, vms: &[Arc<str>], cost_ms: f64, now_ms: u64) -> Option<Assignment> {
        self.excluded_until_ms
            .retain(|_, until_ms| now_ms < *until_ms);
        let responsive = |vm: &&Arc<str>| !self.excluded_until_ms.contains_key(*vm);
        let mut order: Vec<&Arc<str>> = vms.iter().filter(responsive).collect();
        if order.is_empty() {
            order = vms.iter().collect();
        }
        order.sort();
        order.dedup();
        let reserved = match order.len() {
            0 | 1 => 0,
            count => count.div_ceil(VMS_PER_RESERVED),
        };
        let candidates = if cost_ms > SHORT_MS {
            &order[reserved..]
        } else {
            &order[..]
        };
        let queued = |vm: &Arc<str>| self.expected_ms.get(vm).copied().unwrap_or(0.0);
        let vm = candidates
            .iter()
            .min_by(|a, b| queued(a).total_cmp(&queued(b)))?;
        let (vm, queued_ms) = ((*vm).clone(), queued(vm));
        *self.expected_ms.entry(vm.clone()).or_default() += cost_ms;
        Some(Assignment {
            vm,
            cost_ms,
            queued_ms,
        })
    }

    /// Ends a request that got no answer, and excludes its VM for a while.
    pub fn failed(&mut self, assignment: &Assignment, now_ms: u64) {
        self.excluded_until_ms
            .insert(assignment.vm.clone(), now_ms + UNRESPONSIVE_PAUSE_MS);
        self.completed(assignment);
    }

    /// Ends a request that was answered.
    pub fn completed(&mut self, assignment: &Assignment) {
        if let Some(queued) = self.expected_ms.get_mut(&assignment.vm) {
            *queued = (*queued - assignment.cost_ms).max(0.0);
        }
    }
}
