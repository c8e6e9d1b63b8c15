//! Load of the advice service, and which requests it leaves room for.

/// Longest expected time of a short request in milliseconds. VMs are reserved for short requests, so
/// these don't wait for others.
pub const SHORT_ADVICE_MS: f64 = 50.0;

/// Share of the validity of a permit for which requests of priority 0, 1 and all lower ones may wait.
/// What is left is for the call and for the use of the permits.
const WAIT_SHARES: [f64; 3] = [0.35, 0.3, 0.25];

/// Requests queued at the VMs, as the VMs report them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AdviceLoad {
    /// Number of VMs that send requests which aren't short; 0 if that is unknown.
    pub vms: u32,
    /// Number of those that have nothing to send.
    pub idle: u32,
    /// Mean time for which a further request waits at one of them, in milliseconds.
    pub backlog_ms: f64,
}

impl AdviceLoad {
    /// Returns the longest time for which a request may wait before it is sent, in milliseconds.
    #[must_use]
    pub fn wait_max_ms(priority: u32, validity_ms: u64) -> u64 {
        let lowest = WAIT_SHARES.len() - 1;
        let share = WAIT_SHARES[(priority as usize).min(lowest)];
        (validity_ms as f64 * share) as u64
    }

    /// Returns whether a request may be sent: to an idle VM, or while the mean backlog is low. Lower
    /// priorities give way first, so that the VMs keep time for urgent requests.
    #[must_use]
    pub fn admits(&self, priority: u32, cost_ms: f64, validity_ms: u64) -> bool {
        let wait_max_ms = Self::wait_max_ms(priority, validity_ms) as f64;
        let is_free = self.vms == 0 || self.idle > 0 || cost_ms <= SHORT_ADVICE_MS;
        is_free || self.backlog_ms <= wait_max_ms
    }

    /// Counts a request that is sent after the last report.
    pub fn sent(&mut self, cost_ms: f64) {
        if self.vms > 0 && cost_ms > SHORT_ADVICE_MS {
            self.backlog_ms += cost_ms / f64::from(self.vms);
            self.idle = self.idle.saturating_sub(1);
        }
    }
}
