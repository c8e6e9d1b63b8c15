//! State of one instance: slots that may be taken, and reachability.

use crate::target::{self, State};
use crate::time::Instant;

/// Milliseconds until a failed instance is probed again; doubled with every failed probe.
const RETRY_MS: u64 = 200;

/// Longest time between two probes of an instance, in milliseconds.
const RETRY_MAX_MS: u64 = 3_000;

/// Milliseconds between the first probes of a reachable instance with unresolved slots; doubled
/// with every probe.
const RECOUNT_MS: u64 = 125;

/// Longest time between such probes, in milliseconds.
const RECOUNT_MAX_MS: u64 = 2_000;

/// Milliseconds after which a probe counts as unanswered.
const PROBE_LOST_MS: u64 = 10_000;

/// Milliseconds for which instances without a failure are preferred to one that failed.
const FAILURE_MS: u64 = 10_000;

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
    pub(crate) doubted: u32,
    /// Requests that may run without a known grant.
    pub(crate) unknown: u32,
    /// Time by which requests without a known grant have ended.
    pub(crate) unknown_until: Instant,
    /// Whether `unknown` also includes requests of this epoch.
    pub(crate) pooled: bool,
    /// Last number of requests reported by the instance.
    pub(crate) count: Option<Count>,
    /// Consecutive counts while slots were unresolved or unknown.
    pub(crate) recounts: u32,
    /// Whether a probe of the instance was completed, or none is needed.
    pub(crate) counted: bool,
    /// Whether the instance has ever reported its occupancy.
    pub(crate) tells: bool,
    /// Whether a connection failed and no probe has succeeded since.
    pub(crate) out: bool,
    /// Time of the last failure.
    pub(crate) failed: Option<Instant>,
    /// Consecutive failed probes.
    pub(crate) failures: u32,
    /// Time at which the oldest unanswered probe was sent.
    pub(crate) probe: Option<Instant>,
    /// Earliest time of the next probe.
    pub(crate) retry: Instant,
    /// Earliest time of the next trial grant.
    pub(crate) trial: Instant,
    /// Index of the availability zone.
    pub(crate) zone: usize,
    /// Sequence number of the last grant.
    pub(crate) used: u64,
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
            doubted: 0,
            unknown: 0,
            unknown_until: now,
            pooled: false,
            count: None,
            recounts: 0,
            counted: true,
            tells: false,
            out: false,
            failed: None,
            failures: 0,
            probe: None,
            retry: now,
            trial: now,
            zone: 0,
            used: 0,
        }
    }

    /// Returns the number of slots of the instance.
    pub(crate) fn slots(&self) -> u32 {
        self.info.as_ref().map_or(0, |info| info.slots)
    }

    /// Returns the number of slots that are or may be taken.
    pub(crate) fn taken(&self) -> u32 {
        self.held
            .saturating_add(self.doubted)
            .saturating_add(self.unknown)
    }

    /// Returns whether the instance is listed as live.
    pub(crate) fn is_live(&self) -> bool {
        self.listed && self.state == State::Live
    }

    /// Returns whether a reserved slot of the instance may be granted.
    pub(crate) fn is_serving(&self) -> bool {
        self.is_live() && !self.out
    }

    /// Returns whether the instance is in service, with or without a free slot.
    pub(crate) fn is_usable(&self, now: Instant) -> bool {
        self.is_live() && self.counted && (!self.out || self.is_trial(now))
    }

    /// Returns whether one trial request may be sent to an instance that can't be probed.
    fn is_trial(&self, now: Instant) -> bool {
        !self.tells && self.failures > 0 && self.held == 0 && now >= self.trial
    }

    /// Returns whether another request may be sent to the instance.
    pub(crate) fn is_free(&self, now: Instant) -> bool {
        self.taken() < self.slots() && self.is_usable(now)
    }

    /// Returns the time of the last failure if it is recent, or the earliest time.
    pub(crate) fn recent_failure(&self, now: Instant) -> Instant {
        self.failed
            .filter(|failed| now.since(*failed) < FAILURE_MS)
            .unwrap_or(Instant(0))
    }

    /// Records a failed connection.
    pub(crate) fn fail(&mut self, now: Instant) {
        self.failed = Some(now);
        if !self.out {
            self.out = true;
            self.failures = 0;
            self.retry = now;
        } else if !self.tells {
            self.failures = self.failures.saturating_add(1);
            self.trial = now + self.backoff();
        }
    }

    /// Records a response of the instance to a request.
    pub(crate) fn succeed(&mut self) {
        if !self.tells {
            self.out = false;
            self.failures = 0;
        }
    }

    /// Records the result of a probe and returns when the probe was sent.
    pub(crate) fn answered(&mut self, now: Instant, busy: Option<u32>) -> Option<Instant> {
        self.counted = true;
        let sent = self.probe.take();
        if busy.is_some() {
            self.tells = true;
            self.out = false;
            self.failures = 0;
            self.retry = now + self.recount_after();
        } else {
            self.failures = self.failures.saturating_add(1);
            self.retry = now + self.backoff();
        }
        sent
    }

    fn recount_after(&mut self) -> u64 {
        self.recounts = match self.doubted + self.unknown {
            0 => 0,
            _ => self.recounts.saturating_add(1),
        };
        (RECOUNT_MS << self.recounts.min(8)).min(RECOUNT_MAX_MS)
    }

    /// Caps the requests without a known grant at the slots that the gateways' reports leave over:
    /// an earlier owner never granted more than the instance's slots.
    pub(crate) fn account(&mut self) {
        if !self.pooled {
            let rest = self.slots().saturating_sub(self.reported);
            self.unknown = self.unknown.min(rest);
        }
    }

    fn backoff(&self) -> u64 {
        (RETRY_MS << self.failures.min(8)).min(RETRY_MAX_MS)
    }

    /// Returns whether to probe the instance now.
    pub(crate) fn wants_probe(&self, now: Instant) -> bool {
        self.probe_due().is_some_and(|at| at <= now)
    }

    /// Returns when to probe the instance next, if a probe is needed.
    pub(crate) fn probe_due(&self) -> Option<Instant> {
        let doubtful = self.out || !self.counted || self.doubted > 0 || self.unknown > 0;
        let lost = self.probe.map(|sent| sent + PROBE_LOST_MS);
        let at = lost.map_or(self.retry, |lost| lost.max(self.retry));
        (self.listed && doubtful).then_some(at)
    }

    /// Returns by when requests without a known grant have ended.
    pub(crate) fn expires_at(&self) -> Option<Instant> {
        (self.unknown > 0).then_some(self.unknown_until)
    }

    /// Returns when the last count arrived, if it has not been compared with grants of earlier
    /// epochs.
    pub(crate) fn compares_from(&self) -> Option<Instant> {
        let count = self.count.filter(|count| !count.confirmed);
        count
            .filter(|_| self.unknown > 0)
            .map(|count| count.answered)
    }

    /// Records that a probe is sent. The time of an earlier unanswered probe is kept.
    pub(crate) fn probed(&mut self, now: Instant) {
        self.probe.get_or_insert(now);
        self.retry = now + RETRY_MAX_MS;
    }
}
