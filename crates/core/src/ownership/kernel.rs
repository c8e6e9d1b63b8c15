//! Ownership kernel: claims shards, collects support and decides when this scheduler may act as
//! owner.

mod outage;

use std::collections::BTreeMap;

use super::action::{Action, Event, Unrecorded};
use super::claims;
use super::ledger::{Ledger, Ownership, Verdict};
use super::message::{Claim, Heartbeat, LogView, Support};
use super::own_claim::{OwnClaim, Vote};
use super::peers::Peers;
use super::promises::Promises;
use super::settings::Settings;
use super::settlement::Settlement;
use crate::record::{Cell, Offset};
use crate::shard::{Epoch, Id};
use crate::time::Instant;
use crate::timing::{HEARTBEAT_PERIOD_MS, RETRY_WINDOW_MS};

/// Heartbeat period while a claim lacks support or an owner is suspected, in milliseconds.
const HEARTBEAT_URGENT_MS: u64 = 100;

/// Longest time for which the shorter heartbeat period applies, in milliseconds.
const URGENT_MAX_MS: u64 = 10_000;

/// Milliseconds after which a claim with an unknown result is retried.
const CLAIM_RETRY_MS: u64 = 2_000;

/// Milliseconds after which republishing a claim is retried.
const REPUBLISH_RETRY_MS: u64 = 10_000;

/// The ownership state machine of one scheduler.
#[derive(Clone, Debug)]
pub struct Kernel {
    settings: Settings,
    ledger: Ledger,
    peers: Peers,
    promises: Promises,
    settlement: Settlement,
    own_claims: BTreeMap<Id, OwnClaim>,
    /// Shards that this scheduler tried to claim with an unknown result, with the time of the last
    /// attempt.
    pending: BTreeMap<Id, Instant>,
    /// Times of the last and the second last `CaughtUp`.
    caught_up: (Option<Instant>, Option<Instant>),
    /// A time before the first claim of each shard, if this scheduler saw the shard unclaimed.
    unclaimed_at: BTreeMap<Id, Instant>,
    log: LogView,
    next_heartbeat: Instant,
    /// Number of the last heartbeat sent.
    sequence: u64,
    /// Time since which a claim lacks support or an owner is suspected, if so.
    urgent_since: Option<Instant>,
    stopping: bool,
}

impl Kernel {
    /// Creates the kernel of a process that starts at `now`.
    #[must_use]
    pub fn new(now: Instant, settings: Settings) -> Self {
        let others = settings.schedulers.iter();
        let others = others.filter(|name| **name != settings.name).cloned();
        Self {
            peers: Peers::new(now, others),
            settings,
            ledger: Ledger::default(),
            promises: Promises::new(now),
            settlement: Settlement::default(),
            own_claims: BTreeMap::new(),
            pending: BTreeMap::new(),
            caught_up: (None, None),
            unclaimed_at: BTreeMap::new(),
            log: LogView::default(),
            next_heartbeat: now,
            sequence: 0,
            urgent_since: None,
            stopping: false,
        }
    }

    /// Replaces the ledger with a peer's, unless the own ledger is at the same offset or ahead.
    pub fn restore(&mut self, ledger: Ledger) {
        if ledger.offset() > self.ledger.offset() {
            self.ledger = ledger;
        }
    }

    /// Returns the ledger.
    #[must_use]
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns until when this scheduler may act as the owner of `shard` in `epoch`, or a time in
    /// the past if it may not.
    #[must_use]
    pub fn valid_until(&self, shard: &Id, epoch: Epoch) -> Instant {
        let own_claim = self.own_claims.get(shard);
        let own_claim = own_claim.filter(|own_claim| own_claim.active && own_claim.epoch == epoch);
        own_claim.map_or(Instant(0), |own_claim| {
            own_claim.supported_until(self.settings.majority())
        })
    }

    /// Handles a peer's heartbeat. Returns the answer and the resulting actions.
    pub fn heartbeat(&mut self, now: Instant, heartbeat: &Heartbeat) -> (Support, Vec<Action>) {
        self.peers.observe_time(now);
        let known = self.peers.record_heartbeat(
            now,
            &heartbeat.node,
            heartbeat.incarnation,
            heartbeat.stopping,
        );
        let claimant = (&heartbeat.node, heartbeat.incarnation);
        let caught_up = self.caught_up.0.is_some();
        let (mut claims, mut clear) = (Vec::new(), Vec::new());
        for claim in heartbeat.claims.iter().filter(|_| known) {
            let (shard, epoch) = (&claim.shard, claim.epoch);
            let promises = &mut self.promises;
            if promises.try_promise(now, &self.ledger, shard, epoch, claimant) {
                let unreachable = self.log.unreachable;
                self.settlement
                    .record_supported(claim, heartbeat.sequence, unreachable, caught_up);
                claims.push((shard.clone(), epoch));
            }
            if !claim.settled && self.settlement.is_clear(shard, epoch) {
                clear.push(shard.clone());
            }
        }
        let support = Support {
            node: self.settings.name.clone(),
            incarnation: self.settings.incarnation,
            claims,
            clear,
            log: self.log,
            suspects: self.peers.suspects(now),
        };
        (support, self.run_timers(now))
    }

    /// Applies the record at `offset` of the cell stream and returns the resulting actions.
    pub fn apply(&mut self, now: Instant, offset: Offset, record: &Cell) -> Vec<Action> {
        self.peers.observe_time(now);
        let mut actions = Vec::new();
        match record {
            Cell::Claim { shard, .. } => {
                let before = self.ledger.get(shard).cloned();
                if self.ledger.apply(offset, record) == Verdict::Claimed {
                    self.claimed(now, shard, before, &mut actions);
                }
            }
            Cell::Release { shard, epoch, .. } => {
                if self.ledger.apply(offset, record) == Verdict::Released {
                    self.promises.release(shard, *epoch);
                    self.end_own_claim(shard, &mut actions);
                }
            }
            Cell::Standing { shard, .. } => {
                if self.ledger.apply(offset, record) == Verdict::Republished {
                    self.republished(now, shard, &mut actions);
                }
            }
            // Other records don't affect ownership. They are frequent, so the timers are skipped.
            _ => {
                self.ledger.apply(offset, record);
                return actions;
            }
        }
        actions.extend(self.run_timers(now));
        actions
    }

    /// Handles an event and returns the resulting actions.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        self.peers.observe_time(now);
        let mut actions = Vec::new();
        match event {
            Event::CaughtUp => self.caught_up = (Some(now), self.caught_up.0),
            Event::ClaimFailed(shard) => {
                self.pending.remove(&shard);
            }
            Event::Released(claims) => {
                for (shard, epoch) in claims {
                    self.promises.release(&shard, epoch);
                }
            }
            Event::RecordsExpired => self.ledger.records_expired(),
            Event::Stop => self.stop(now, &mut actions),
            Event::Supported {
                sent,
                sequence,
                support,
            } => self.record_support(now, sent, sequence, &support),
            Event::Tick(log) => {
                // Only answers to heartbeats that report the shard as unsettled count as agreement
                // to outage mode, so one is sent at once.
                if log.unreachable && !self.log.unreachable {
                    self.next_heartbeat = now;
                }
                self.log = log;
            }
        }
        actions.extend(self.run_timers(now));
        actions
    }

    fn claimed(
        &mut self,
        now: Instant,
        shard: &Id,
        before: Option<Ownership>,
        actions: &mut Vec<Action>,
    ) {
        self.pending.remove(shard);
        self.end_own_claim(shard, actions);
        let Some(ownership) = self.ledger.get(shard) else {
            return;
        };
        let clean = before.is_none() && !self.ledger.is_partial();
        if let (true, Some(earlier)) = (clean, self.caught_up.1) {
            // The last read began after the second last `CaughtUp` and did not find this claim.
            self.unclaimed_at.insert(shard.clone(), earlier);
        }
        let is_own = ownership.owner == self.settings.name
            && ownership.incarnation == self.settings.incarnation;
        if !is_own || self.stopping {
            return;
        }
        let republish_ms = match ownership.is_tentative() {
            true => 0,
            false => self.settings.retention_ms / 2,
        };
        let own_claim = OwnClaim {
            epoch: ownership.epoch,
            supported_at: BTreeMap::new(),
            votes: BTreeMap::new(),
            settled_sequence: 0,
            unlogged: 0,
            clean,
            release_doubt_ms: before.filter(|b| b.released).map(|b| b.doubt_ms),
            majority_at: None,
            active: false,
            started: false,
            releasing: false,
            unrecorded_until: now,
            republish_at: now + republish_ms,
        };
        self.own_claims.insert(shard.clone(), own_claim);
        self.next_heartbeat = now;
    }

    /// Ends this scheduler's epoch of `shard`, if it has one.
    fn end_own_claim(&mut self, shard: &Id, actions: &mut Vec<Action>) {
        if let Some(own_claim) = self
            .own_claims
            .remove(shard)
            .filter(|own_claim| own_claim.started)
        {
            actions.push(Action::Deactivate {
                shard: shard.clone(),
                epoch: own_claim.epoch,
                ended: true,
            });
        }
    }

    fn republished(&mut self, now: Instant, shard: &Id, actions: &mut Vec<Action>) {
        let epoch = self.ledger.epoch(shard);
        match self.own_claims.get_mut(shard) {
            Some(own_claim) if own_claim.epoch == epoch => {
                own_claim.republish_at = now + self.settings.retention_ms / 2;
            }
            Some(_) => self.end_own_claim(shard, actions),
            None => {}
        }
    }

    fn record_support(&mut self, now: Instant, sent: Instant, sequence: u64, support: &Support) {
        if !self.peers.record_answer(now, sent, support) {
            return;
        }
        let vote = Vote {
            sequence,
            sent,
            unreachable: support.log.unreachable,
        };
        for (shard, epoch) in &support.claims {
            if let Some(own_claim) = self
                .own_claims
                .get_mut(shard)
                .filter(|own_claim| own_claim.epoch == *epoch)
            {
                own_claim.add_support(&support.node, vote);
            }
        }
    }

    fn stop(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.stopping = true;
        self.next_heartbeat = now;
        // A claim that was never active is not released: the next owner would skip the waiting
        // period that the grants of the previous owner require.
        for (shard, own_claim) in &mut self.own_claims {
            own_claim.releasing = true;
            if !own_claim.started {
                continue;
            }
            if own_claim.active {
                actions.push(Action::Deactivate {
                    shard: shard.clone(),
                    epoch: own_claim.epoch,
                    ended: false,
                });
            }
            own_claim.active = false;
            actions.push(Action::Release {
                shard: shard.clone(),
                epoch: own_claim.epoch,
                doubt_ms: own_claim.unrecorded_until.since(now),
            });
        }
    }

    /// Updates activations, and sends heartbeats and claims that are due.
    fn run_timers(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.update_activation(now, &mut actions);
        self.send_heartbeat_when_due(now, &mut actions);
        self.claim_when_due(now, &mut actions);
        actions
    }

    fn update_activation(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let majority = self.settings.majority();
        let shards: Vec<Id> = self.own_claims.keys().cloned().collect();
        for shard in shards {
            let Some(own_claim) = self.own_claims.get_mut(&shard) else {
                continue;
            };
            if own_claim.releasing {
                continue;
            }
            let supported = now < own_claim.supported_until(majority);
            if !supported {
                if std::mem::take(&mut own_claim.active) {
                    actions.push(Action::Deactivate {
                        shard,
                        epoch: own_claim.epoch,
                        ended: false,
                    });
                }
                continue;
            }
            let since = *own_claim.majority_at.get_or_insert(now);
            if !own_claim.active && now >= since + own_claim.activation_delay_ms() {
                actions.push(self.activate(now, &shard));
            }
            self.republish_when_due(now, &shard, actions);
        }
    }

    fn activate(&mut self, now: Instant, shard: &Id) -> Action {
        let unrecorded = self.unrecorded_dispatches(now, shard);
        let own_claim = self
            .own_claims
            .get_mut(shard)
            .expect("the shard is claimed");
        let resumed = std::mem::replace(&mut own_claim.started, true);
        own_claim.active = true;
        if !resumed && unrecorded == Unrecorded::Possible {
            own_claim.unrecorded_until = now + RETRY_WINDOW_MS;
        }
        Action::Activate {
            shard: shard.clone(),
            epoch: own_claim.epoch,
            clean: own_claim.clean,
            unrecorded,
            resumed,
        }
    }

    fn republish_when_due(&mut self, now: Instant, shard: &Id, actions: &mut Vec<Action>) {
        let own_claim = self
            .own_claims
            .get_mut(shard)
            .expect("the shard is claimed");
        if own_claim.active && now >= own_claim.republish_at {
            own_claim.republish_at = now + REPUBLISH_RETRY_MS;
            actions.push(Action::Republish {
                shard: shard.clone(),
                epoch: own_claim.epoch,
            });
        }
    }

    fn send_heartbeat_when_due(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = now + self.heartbeat_period(now);
        self.sequence += 1;
        let claims = self.heartbeat_claims(now);
        actions.push(Action::Heartbeat(Heartbeat {
            node: self.settings.name.clone(),
            incarnation: self.settings.incarnation,
            sequence: self.sequence,
            claims,
            stopping: self.stopping,
        }));
        // A scheduler that is a majority by itself is supported from here on.
        self.update_activation(now, actions);
    }

    /// Returns this scheduler's claims for the heartbeat that is sent now, and records its own
    /// support for them.
    fn heartbeat_claims(&mut self, now: Instant) -> Vec<Claim> {
        let claimant = (&self.settings.name, self.settings.incarnation);
        let vote = Vote {
            sequence: self.sequence,
            sent: now,
            unreachable: self.log.unreachable,
        };
        let caught_up = self.caught_up.0.is_some();
        let mut claims = Vec::new();
        for (shard, own_claim) in &mut self.own_claims {
            if own_claim.releasing {
                continue;
            }
            let claim = Claim {
                shard: shard.clone(),
                epoch: own_claim.epoch,
                settled: own_claim.is_settled(now, vote.unreachable),
            };
            if claim.settled {
                own_claim.settled_sequence = vote.sequence;
            }
            let promises = &mut self.promises;
            if promises.try_promise(now, &self.ledger, shard, own_claim.epoch, claimant) {
                own_claim.add_support(&self.settings.name, vote);
                self.settlement.record_supported(
                    &claim,
                    vote.sequence,
                    vote.unreachable,
                    caught_up,
                );
            }
            claims.push(claim);
        }
        claims
    }

    /// Returns the time until the next heartbeat, which is shorter for a while if a takeover
    /// depends on it.
    fn heartbeat_period(&mut self, now: Instant) -> u64 {
        if !self.is_urgent(now) {
            self.urgent_since = None;
            return HEARTBEAT_PERIOD_MS;
        }
        let since = *self.urgent_since.get_or_insert(now);
        match now.since(since) < URGENT_MAX_MS {
            true => HEARTBEAT_URGENT_MS,
            false => HEARTBEAT_PERIOD_MS,
        }
    }

    /// Returns whether a claim lacks support or an owner is suspected.
    fn is_urgent(&self, now: Instant) -> bool {
        let majority = self.settings.majority();
        let mut own_claims = self.own_claims.values();
        let lacks_support = own_claims
            .any(|own_claim| !own_claim.releasing && now >= own_claim.supported_until(majority));
        lacks_support || claims::is_owner_suspected(now, &self.settings, &self.peers, &self.ledger)
    }

    fn claim_when_due(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.stopping || self.log.unreachable || self.caught_up.0.is_none() {
            return;
        }
        for (shard, previous) in claims::claimable(now, &self.settings, &self.peers, &self.ledger) {
            let pending = self.pending.get(&shard);
            if pending.is_some_and(|at| now.since(*at) < CLAIM_RETRY_MS) {
                continue;
            }
            self.pending.insert(shard.clone(), now);
            actions.push(Action::Claim { shard, previous });
        }
    }
}
