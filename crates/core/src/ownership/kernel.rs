//! Ownership kernel: claims shards, collects support and decides when this scheduler may act as
//! owner.

mod outage;

use std::collections::BTreeMap;

use super::action::{Action, Event, Unrecorded};
use super::claims;
use super::ledger::{Ledger, Ownership, Verdict};
use super::message::{Claim, Heartbeat, LogView, Support};
use super::mine::{Mine, Vote};
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
const RESTATE_RETRY_MS: u64 = 10_000;

/// The ownership state machine of one scheduler.
#[derive(Clone, Debug)]
pub struct Kernel {
    settings: Settings,
    ledger: Ledger,
    peers: Peers,
    promises: Promises,
    settlement: Settlement,
    mine: BTreeMap<Id, Mine>,
    pending: BTreeMap<Id, Instant>,
    /// Times of the last and the second last `CaughtUp`.
    caught_up: (Option<Instant>, Option<Instant>),
    /// A time before the first claim of each shard, if this scheduler saw the shard unclaimed.
    born: BTreeMap<Id, Instant>,
    log: LogView,
    next_beat: Instant,
    /// Number of the last heartbeat sent.
    sequence: u64,
    /// Start of the shorter heartbeat period.
    changing_since: Option<Instant>,
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
            mine: BTreeMap::new(),
            pending: BTreeMap::new(),
            caught_up: (None, None),
            born: BTreeMap::new(),
            log: LogView::default(),
            next_beat: now,
            sequence: 0,
            changing_since: None,
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
        let mine = self.mine.get(shard);
        let mine = mine.filter(|mine| mine.active && mine.epoch == epoch);
        mine.map_or(Instant(0), |mine| {
            mine.supported_until(self.settings.majority())
        })
    }

    /// Handles a peer's heartbeat. Returns the answer and the resulting steps.
    pub fn heartbeat(&mut self, now: Instant, beat: &Heartbeat) -> (Support, Vec<Action>) {
        self.peers.running(now);
        let known = self
            .peers
            .beat(now, &beat.node, beat.incarnation, beat.stopping);
        let claimant = (&beat.node, beat.incarnation);
        let caught_up = self.caught_up.0.is_some();
        let (mut claims, mut clear) = (Vec::new(), Vec::new());
        for claim in beat.claims.iter().filter(|_| known) {
            let (shard, epoch) = (&claim.shard, claim.epoch);
            let promises = &mut self.promises;
            if promises.grant(now, &self.ledger, shard, epoch, claimant) {
                let unreachable = self.log.unreachable;
                self.settlement
                    .supported(claim, beat.sequence, unreachable, caught_up);
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
        (support, self.next(now))
    }

    /// Applies the record at `offset` of the cell stream and returns the resulting steps.
    pub fn apply(&mut self, now: Instant, offset: Offset, record: &Cell) -> Vec<Action> {
        self.peers.running(now);
        let mut steps = Vec::new();
        match record {
            Cell::Claim { shard, .. } => {
                let before = self.ledger.get(shard).cloned();
                if self.ledger.apply(offset, record) == Verdict::Claimed {
                    self.claimed(now, shard, before, &mut steps);
                }
            }
            Cell::Release { shard, epoch, .. } => {
                if self.ledger.apply(offset, record) == Verdict::Released {
                    self.promises.release(shard, *epoch);
                    self.forget(shard, &mut steps);
                }
            }
            Cell::Standing { shard, .. } => {
                if self.ledger.apply(offset, record) == Verdict::Republished {
                    self.stated(now, shard, &mut steps);
                }
            }
            // Other records don't affect ownership. They are frequent, so the timers are skipped.
            _ => {
                self.ledger.apply(offset, record);
                return steps;
            }
        }
        steps.extend(self.next(now));
        steps
    }

    /// Handles an event and returns the resulting steps.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        self.peers.running(now);
        let mut steps = Vec::new();
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
            Event::Stop => self.stop(now, &mut steps),
            Event::Supported {
                sent,
                sequence,
                support,
            } => self.supported(now, sent, sequence, &support),
            Event::Tick(log) => {
                // Only answers to heartbeats that report the shard as unsettled count as agreement
                // to outage mode, so one is sent at once.
                if log.unreachable && !self.log.unreachable {
                    self.next_beat = now;
                }
                self.log = log;
            }
        }
        steps.extend(self.next(now));
        steps
    }

    fn claimed(
        &mut self,
        now: Instant,
        shard: &Id,
        before: Option<Ownership>,
        steps: &mut Vec<Action>,
    ) {
        self.pending.remove(shard);
        self.forget(shard, steps);
        let Some(holding) = self.ledger.get(shard) else {
            return;
        };
        let clean = before.is_none() && !self.ledger.is_partial();
        if let (true, Some(earlier)) = (clean, self.caught_up.1) {
            self.born.insert(shard.clone(), earlier);
        }
        let own =
            holding.owner == self.settings.name && holding.incarnation == self.settings.incarnation;
        if !own || self.stopping {
            return;
        }
        let restate_ms = match holding.is_tentative() {
            true => 0,
            false => self.settings.retention_ms / 2,
        };
        let mine = Mine {
            epoch: holding.epoch,
            support: BTreeMap::new(),
            votes: BTreeMap::new(),
            settled: 0,
            unlogged: 0,
            clean,
            released: before.filter(|b| b.released).map(|b| b.doubt_ms),
            majority_at: None,
            active: false,
            started: false,
            releasing: false,
            doubt_until: now,
            restate_at: now + restate_ms,
        };
        self.mine.insert(shard.clone(), mine);
        self.next_beat = now;
    }

    /// Ends this scheduler's epoch of `shard`, if it has one.
    fn forget(&mut self, shard: &Id, steps: &mut Vec<Action>) {
        if let Some(mine) = self.mine.remove(shard).filter(|mine| mine.started) {
            steps.push(Action::Deactivate {
                shard: shard.clone(),
                epoch: mine.epoch,
                ended: true,
            });
        }
    }

    fn stated(&mut self, now: Instant, shard: &Id, steps: &mut Vec<Action>) {
        let epoch = self.ledger.epoch(shard);
        match self.mine.get_mut(shard) {
            Some(mine) if mine.epoch == epoch => {
                mine.restate_at = now + self.settings.retention_ms / 2;
            }
            Some(_) => self.forget(shard, steps),
            None => {}
        }
    }

    fn supported(&mut self, now: Instant, sent: Instant, sequence: u64, support: &Support) {
        if !self.peers.answered(now, sent, support) {
            return;
        }
        let vote = Vote {
            sequence,
            sent,
            unreachable: support.log.unreachable,
        };
        for (shard, epoch) in &support.claims {
            if let Some(mine) = self.mine.get_mut(shard).filter(|m| m.epoch == *epoch) {
                mine.support(&support.node, vote);
            }
        }
    }

    fn stop(&mut self, now: Instant, steps: &mut Vec<Action>) {
        self.stopping = true;
        self.next_beat = now;
        // A claim that was never active is not released: the next owner would skip the waiting
        // period that the grants of the previous owner require.
        for (shard, mine) in &mut self.mine {
            mine.releasing = true;
            if !mine.started {
                continue;
            }
            if mine.active {
                steps.push(Action::Deactivate {
                    shard: shard.clone(),
                    epoch: mine.epoch,
                    ended: false,
                });
            }
            mine.active = false;
            steps.push(Action::Release {
                shard: shard.clone(),
                epoch: mine.epoch,
                doubt_ms: mine.doubt_until.since(now),
            });
        }
    }

    /// Runs everything that depends on the time.
    fn next(&mut self, now: Instant) -> Vec<Action> {
        let mut steps = Vec::new();
        self.refresh(now, &mut steps);
        self.beat_when_due(now, &mut steps);
        self.claim_when_due(now, &mut steps);
        steps
    }

    fn refresh(&mut self, now: Instant, steps: &mut Vec<Action>) {
        let majority = self.settings.majority();
        let shards: Vec<Id> = self.mine.keys().cloned().collect();
        for shard in shards {
            let Some(mine) = self.mine.get_mut(&shard) else {
                continue;
            };
            if mine.releasing {
                continue;
            }
            let supported = now < mine.supported_until(majority);
            if !supported {
                if std::mem::take(&mut mine.active) {
                    steps.push(Action::Deactivate {
                        shard,
                        epoch: mine.epoch,
                        ended: false,
                    });
                }
                continue;
            }
            let since = *mine.majority_at.get_or_insert(now);
            if !mine.active && now >= since + mine.wait_ms() {
                steps.push(self.activate(now, &shard));
            }
            self.restate_when_due(now, &shard, steps);
        }
    }

    fn activate(&mut self, now: Instant, shard: &Id) -> Action {
        let unrecorded = self.doubt(now, shard);
        let mine = self.mine.get_mut(shard).expect("the shard is claimed");
        let resumed = std::mem::replace(&mut mine.started, true);
        mine.active = true;
        if !resumed && unrecorded == Unrecorded::Possible {
            mine.doubt_until = now + RETRY_WINDOW_MS;
        }
        Action::Activate {
            shard: shard.clone(),
            epoch: mine.epoch,
            clean: mine.clean,
            unrecorded,
            resumed,
        }
    }

    fn restate_when_due(&mut self, now: Instant, shard: &Id, steps: &mut Vec<Action>) {
        let mine = self.mine.get_mut(shard).expect("the shard is claimed");
        if mine.active && now >= mine.restate_at {
            mine.restate_at = now + RESTATE_RETRY_MS;
            steps.push(Action::Republish {
                shard: shard.clone(),
                epoch: mine.epoch,
            });
        }
    }

    fn beat_when_due(&mut self, now: Instant, steps: &mut Vec<Action>) {
        if now < self.next_beat {
            return;
        }
        self.next_beat = now + self.beat_period(now);
        self.sequence += 1;
        let claims = self.own_claims(now);
        steps.push(Action::Heartbeat(Heartbeat {
            node: self.settings.name.clone(),
            incarnation: self.settings.incarnation,
            sequence: self.sequence,
            claims,
            stopping: self.stopping,
        }));
        // A scheduler that is a majority by itself is supported from here on.
        self.refresh(now, steps);
    }

    /// Returns this scheduler's claims for the heartbeat that is sent now, and records its own
    /// support for them.
    fn own_claims(&mut self, now: Instant) -> Vec<Claim> {
        let claimant = (&self.settings.name, self.settings.incarnation);
        let vote = Vote {
            sequence: self.sequence,
            sent: now,
            unreachable: self.log.unreachable,
        };
        let caught_up = self.caught_up.0.is_some();
        let mut claims = Vec::new();
        for (shard, mine) in &mut self.mine {
            if mine.releasing {
                continue;
            }
            let claim = Claim {
                shard: shard.clone(),
                epoch: mine.epoch,
                settled: mine.is_settled(now, vote.unreachable),
            };
            if claim.settled {
                mine.settled = vote.sequence;
            }
            let own = &mut self.promises;
            if own.grant(now, &self.ledger, shard, mine.epoch, claimant) {
                mine.support(&self.settings.name, vote);
                self.settlement
                    .supported(&claim, vote.sequence, vote.unreachable, caught_up);
            }
            claims.push(claim);
        }
        claims
    }

    /// Returns the time until the next heartbeat, which is shorter for a while if a takeover
    /// depends on it.
    fn beat_period(&mut self, now: Instant) -> u64 {
        if !self.is_changing(now) {
            self.changing_since = None;
            return HEARTBEAT_PERIOD_MS;
        }
        let since = *self.changing_since.get_or_insert(now);
        match now.since(since) < URGENT_MAX_MS {
            true => HEARTBEAT_URGENT_MS,
            false => HEARTBEAT_PERIOD_MS,
        }
    }

    /// Returns whether a claim lacks support or an owner is suspected.
    fn is_changing(&self, now: Instant) -> bool {
        let majority = self.settings.majority();
        let mut mine = self.mine.values();
        let gathering = mine.any(|mine| !mine.releasing && now >= mine.supported_until(majority));
        gathering || claims::is_owner_suspected(now, &self.settings, &self.peers, &self.ledger)
    }

    fn claim_when_due(&mut self, now: Instant, steps: &mut Vec<Action>) {
        if self.stopping || self.log.unreachable || self.caught_up.0.is_none() {
            return;
        }
        for (shard, previous) in claims::due(now, &self.settings, &self.peers, &self.ledger) {
            let pending = self.pending.get(&shard);
            if pending.is_some_and(|at| now.since(*at) < CLAIM_RETRY_MS) {
                continue;
            }
            self.pending.insert(shard.clone(), now);
            steps.push(Action::Claim { shard, previous });
        }
    }
}
