//! State of one instance: slots that may be taken, and reachability.

use crate::target::{self, State};
use crate::time::Instant;

/// Base interval in milliseconds between probes of an unreachable instance; doubled with every
/// failed probe, the first included.
const PROBE_INTERVAL_MS: u64 = 200;

/// Longest time between two probes of an instance, in milliseconds.
const PROBE_INTERVAL_MAX_MS: u64 = 3_000;

/// Base interval in milliseconds between probes of a reachable instance with unresolved or unknown
/// slots; doubled with every probe, the first included.
const RECOUNT_INTERVAL_MS: u64 = 125;

/// Longest time between such probes, in milliseconds.
const RECOUNT_INTERVAL_MAX_MS: u64 = 2_000;

/// Milliseconds after which a probe counts as unanswered.
const PROBE_TIMEOUT_MS: u64 = 10_000;

/// Milliseconds for which instances without a failure are preferred to one that failed.
const RECENT_FAILURE_MS: u64 = 10_000;

/// A number of requests reported by an instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Count {
    /// Time at which the probe was sent.
    pub(crate) sent: Instant,
    /// Time at which the answer arrived.
    pub(crate) answered: Instant,
    /// Requests that the instance was serving at some time in between.
    pub(crate) busy: u32,
    /// Requests among them that belong to a known grant.
    pub(crate) known: u32,
    /// Whether grants of earlier epochs are among `known`.
    pub(crate) confirmed: bool,
}

/// One instance.
///
/// Every request that may run at the instance occupies a slot. `held` counts grants that a gateway
/// will report on, `unresolved` grants whose report is missing, and `unknown` requests of which
/// only the number is known.
#[derive(Debug)]
pub(crate) struct Instance {
    /// Description; `None` until the instance is listed.
    pub(crate) info: Option<target::Instance>,
    /// Whether the instance is in the current list.
    pub(crate) listed: bool,
    /// State in the list.
    pub(crate) state: State,
    /// Reserved and granted slots, including grants of earlier epochs that a gateway holds.
    pub(crate) held: u32,
    /// Grants of earlier epochs that gateways reported in the survey.
    pub(crate) reported: u32,
    /// Granted slots for which no gateway will report the end.
    pub(crate) unresolved: u32,
    /// Requests that may run without a known grant.
    pub(crate) unknown: u32,
    /// Time by which requests without a known grant must have ended.
    pub(crate) unknown_until: Instant,
    /// Whether `unknown` also includes requests of this epoch.
    pub(crate) mixed_epochs: bool,
    /// Last number of requests reported by the instance.
    pub(crate) last_count: Option<Count>,
    /// Consecutive counts while slots were unresolved or unknown.
    pub(crate) recounts: u32,
    /// Whether a probe of the instance was completed, or none is needed.
    pub(crate) occupancy_checked: bool,
    /// Whether the instance has ever reported its occupancy.
    pub(crate) reports_occupancy: bool,
    /// Whether a connection failed and no probe has succeeded since.
    pub(crate) unreachable: bool,
    /// Time of the last failure.
    pub(crate) last_failure: Option<Instant>,
    /// Consecutive failed probes.
    pub(crate) failures: u32,
    /// Time at which the oldest unanswered probe was sent.
    pub(crate) probe_sent: Option<Instant>,
    /// Earliest time of the next probe.
    pub(crate) next_probe: Instant,
    /// Earliest time of the next trial grant.
    pub(crate) next_trial: Instant,
    /// Index of the availability zone.
    pub(crate) zone: usize,
    /// Sequence number of the last grant.
    pub(crate) last_grant: u64,
}

impl Instance {
    /// Creates an instance without requests.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            info: None,
            listed: false,
            state: State::Live,
            held: 0,
            reported: 0,
            unresolved: 0,
            unknown: 0,
            unknown_until: now,
            mixed_epochs: false,
            last_count: None,
            recounts: 0,
            occupancy_checked: true,
            reports_occupancy: false,
            unreachable: false,
            last_failure: None,
            failures: 0,
            probe_sent: None,
            next_probe: now,
            next_trial: now,
            zone: 0,
            last_grant: 0,
        }
    }

    /// Returns the number of slots of the instance.
    pub(crate) fn slots(&self) -> u32 {
        self.info.as_ref().map_or(0, |info| info.slots)
    }

    /// Returns the number of slots that are or may be taken.
    pub(crate) fn taken(&self) -> u32 {
        self.held
            .saturating_add(self.unresolved)
            .saturating_add(self.unknown)
    }

    /// Returns whether the instance is listed as live.
    pub(crate) fn is_live(&self) -> bool {
        self.listed && self.state == State::Live
    }

    /// Returns whether a reserved slot of the instance may be granted.
    pub(crate) fn is_serving(&self) -> bool {
        self.is_live() && !self.unreachable
    }

    /// Returns whether the instance is in service, with or without a free slot.
    pub(crate) fn is_usable(&self, now: Instant) -> bool {
        self.is_live() && self.occupancy_checked && (!self.unreachable || self.is_trial(now))
    }

    /// Returns whether one trial request may be sent to an instance that can't be probed.
    fn is_trial(&self, now: Instant) -> bool {
        !self.reports_occupancy && self.failures > 0 && self.held == 0 && now >= self.next_trial
    }

    /// Returns whether another request may be sent to the instance.
    pub(crate) fn is_free(&self, now: Instant) -> bool {
        self.taken() < self.slots() && self.is_usable(now)
    }

    /// Returns the time of the last failure if it is recent, or the earliest time.
    pub(crate) fn recent_failure(&self, now: Instant) -> Instant {
        self.last_failure
            .filter(|failed| now.since(*failed) < RECENT_FAILURE_MS)
            .unwrap_or(Instant(0))
    }

    /// Records a failed connection.
    pub(crate) fn record_failure(&mut self, now: Instant) {
        self.last_failure = Some(now);
        if !self.unreachable {
            self.unreachable = true;
            self.failures = 0;
            self.next_probe = now;
        } else if !self.reports_occupancy {
            self.failures = self.failures.saturating_add(1);
            self.next_trial = now + self.backoff_ms();
        }
    }

    /// Records a response of the instance to a request.
    pub(crate) fn record_success(&mut self) {
        if !self.reports_occupancy {
            self.unreachable = false;
            self.failures = 0;
        }
    }

    /// Records the result of a probe and returns when the probe was sent.
    pub(crate) fn record_probe_answer(
        &mut self,
        now: Instant,
        busy: Option<u32>,
    ) -> Option<Instant> {
        self.occupancy_checked = true;
        let sent = self.probe_sent.take();
        if busy.is_some() {
            self.reports_occupancy = true;
            self.unreachable = false;
            self.failures = 0;
            self.next_probe = now + self.recount_delay_ms();
        } else {
            self.failures = self.failures.saturating_add(1);
            self.next_probe = now + self.backoff_ms();
        }
        sent
    }

    fn recount_delay_ms(&mut self) -> u64 {
        self.recounts = match self.unresolved + self.unknown {
            0 => 0,
            _ => self.recounts.saturating_add(1),
        };
        (RECOUNT_INTERVAL_MS << self.recounts.min(8)).min(RECOUNT_INTERVAL_MAX_MS)
    }

    /// Caps the requests without a known grant at the slots that the gateways' reports leave over:
    /// an earlier owner never granted more than the instance's slots.
    pub(crate) fn cap_unknown(&mut self) {
        if !self.mixed_epochs {
            let rest = self.slots().saturating_sub(self.reported);
            self.unknown = self.unknown.min(rest);
        }
    }

    fn backoff_ms(&self) -> u64 {
        (PROBE_INTERVAL_MS << self.failures.min(8)).min(PROBE_INTERVAL_MAX_MS)
    }

    /// Returns whether to probe the instance now.
    pub(crate) fn is_probe_due(&self, now: Instant) -> bool {
        self.next_probe_at().is_some_and(|at| at <= now)
    }

    /// Returns when to probe the instance next, if a probe is needed.
    pub(crate) fn next_probe_at(&self) -> Option<Instant> {
        let needs_probe =
            self.unreachable || !self.occupancy_checked || self.unresolved > 0 || self.unknown > 0;
        let timeout = self.probe_sent.map(|sent| sent + PROBE_TIMEOUT_MS);
        let at = timeout.map_or(self.next_probe, |timeout| timeout.max(self.next_probe));
        (self.listed && needs_probe).then_some(at)
    }

    /// Returns by when requests without a known grant must have ended.
    pub(crate) fn unknown_expires_at(&self) -> Option<Instant> {
        (self.unknown > 0).then_some(self.unknown_until)
    }

    /// Returns when the last count arrived, if it has not been compared with grants of earlier
    /// epochs.
    pub(crate) fn confirmable_from(&self) -> Option<Instant> {
        let count = self.last_count.filter(|count| !count.confirmed);
        count
            .filter(|_| self.unknown > 0)
            .map(|count| count.answered)
    }

    /// Records that a probe is sent. The time of an earlier unanswered probe is kept.
    pub(crate) fn record_probe(&mut self, now: Instant) {
        self.probe_sent.get_or_insert(now);
        self.next_probe = now + PROBE_INTERVAL_MAX_MS;
    }
}
