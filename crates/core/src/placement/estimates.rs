//! Estimates per contract and kind of work: run times, and peak use relative to the declared size.

use std::collections::HashMap;
use std::sync::Arc;

use crate::job::Spec;
use crate::placement::quantile::Quantile;
use crate::size::Size;

/// Most groups with estimates. Jobs of further groups use their declared values.
const GROUPS_MAX: usize = 4_096;
/// Samples below which declared values are used.
const SAMPLES_MIN: u32 = 5;
/// Quantile of run times and of peak use that serves as the estimate, in percent.
const QUANTILE_PERCENT: u32 = 90;
/// Scale of ratios of use to declared size.
const RATIO_SCALE: u64 = 100;

/// Contract and kind of work.
type GroupId = (Arc<str>, Option<Arc<str>>);

#[derive(Debug, Default)]
struct Group {
    run_ms: Quantile,
    millicores: Quantile,
    memory: Quantile,
}

/// Estimates of all groups.
#[derive(Debug, Default)]
pub(crate) struct Estimates {
    ids: HashMap<GroupId, usize>,
    groups: Vec<Group>,
}

impl Estimates {
    /// Returns the group of a job, which is created if needed, or `None` beyond the limit.
    pub(crate) fn group(&mut self, contract: &Arc<str>, spec: &Spec) -> Option<usize> {
        let id = (contract.clone(), spec.work.clone());
        if let Some(group) = self.ids.get(&id) {
            return Some(*group);
        }
        if self.groups.len() >= GROUPS_MAX {
            return None;
        }
        self.groups.push(Group::default());
        self.ids.insert(id, self.groups.len() - 1);
        Some(self.groups.len() - 1)
    }

    /// Records the run time of an attempt that ran to its end.
    pub(crate) fn record_run(&mut self, group: Option<usize>, run_ms: u64) {
        if let Some(group) = group.and_then(|group| self.groups.get_mut(group)) {
            group.run_ms.add(run_ms);
        }
    }

    /// Records the peak use of an attempt.
    pub(crate) fn record_use(&mut self, group: Option<usize>, declared: &Size, peak: &Size) {
        let Some(group) = group.and_then(|group| self.groups.get_mut(group)) else {
            return;
        };
        if peak.memory_mb == 0 && peak.millicores == 0 {
            return;
        }
        let ratio = |peak: u64, declared: u64| peak * RATIO_SCALE / declared.max(1);
        let millicores = ratio(peak.millicores, declared.millicores);
        group.millicores.add(millicores);
        group.memory.add(ratio(peak.memory_mb, declared.memory_mb));
    }

    /// Returns the expected run time of one task in milliseconds.
    pub(crate) fn run_ms(&self, group: Option<usize>, spec: &Spec) -> u64 {
        match group.and_then(|group| self.groups.get(group)) {
            Some(group) if group.run_ms.samples() >= SAMPLES_MIN => {
                group.run_ms.at(QUANTILE_PERCENT)
            }
            _ => spec.run_ms,
        }
    }

    /// Returns whether the run time is estimated from enough samples.
    pub(crate) fn has_run_estimate(&self, group: Option<usize>) -> bool {
        let group = group.and_then(|group| self.groups.get(group));
        group.is_some_and(|group| group.run_ms.samples() >= SAMPLES_MIN)
    }

    /// Returns the larger of the declared size and the estimated peak use.
    pub(crate) fn size(&self, group: Option<usize>, declared: &Size) -> Size {
        let Some(group) = group.and_then(|group| self.groups.get(group)) else {
            return *declared;
        };
        Size {
            millicores: scaled(declared.millicores, &group.millicores),
            memory_mb: scaled(declared.memory_mb, &group.memory),
            accelerators: declared.accelerators,
        }
    }
}

fn scaled(declared: u64, ratio: &Quantile) -> u64 {
    if ratio.samples() < SAMPLES_MIN {
        return declared;
    }
    let percent = ratio.at(QUANTILE_PERCENT);
    // `Quantile::at` returns the upper end of a bucket, which is above 100% for tasks that use
    // exactly their declared size. Estimates of up to 120% therefore don't raise the size.
    if percent <= RATIO_SCALE * 6 / 5 {
        return declared;
    }
    declared.saturating_mul(percent) / RATIO_SCALE
}
