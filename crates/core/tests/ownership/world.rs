//! Simulation of several ownership kernels with a log and a network that can fail.

#[path = "unlogged.rs"]
mod unlogged;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use rosemaryworks_core::ownership::{
    Action, Event, Heartbeat, Kernel, Ledger, LogView, Settings, Support, Unrecorded, Verdict,
};
use rosemaryworks_core::record::Cell;
use rosemaryworks_core::shard::{Epoch, Id};
use rosemaryworks_core::time::Instant;
use rosemaryworks_core::timing::{GRANT_VALID_MS, RETRY_WINDOW_MS};

pub(crate) const STEP_MS: u64 = 10;
/// Period of the kernels' ticks in milliseconds.
const TICK_PERIOD_MS: u64 = 50;
/// Longest delay of a message between two nodes in milliseconds.
const DELAY_MAX_MS: u64 = 60;
/// Longest delay in milliseconds until an append takes effect.
const APPEND_MAX_MS: u64 = 120;
/// Longest delay in milliseconds until an append takes effect whose answer was lost.
const LATE_APPEND_MAX_MS: u64 = 4_000;
/// Period in milliseconds at which a node appends records of unlogged dispatches.
const RECORD_PERIOD_MS: u64 = 100;

#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// Cuts the link between two nodes.
    Cut { a: usize, b: usize, ms: u64 },
    /// Cuts the link of one node to the log.
    CutLog { node: usize, ms: u64 },
    /// Makes the log unreachable for all nodes.
    LogDown { ms: u64 },
    /// Suspends a node, which keeps its state.
    Pause { node: usize, ms: u64 },
    /// Kills a node and starts its next incarnation.
    Restart { node: usize },
    /// Stops a node as planned; it releases its shards.
    Stop { node: usize },
}

enum Message {
    Heartbeat(Heartbeat, Instant),
    ClaimFailed(Id),
    Support(Instant, u64, Support),
}

struct Node {
    kernel: Kernel,
    incarnation: u64,
    /// Messages in flight to the node, with their arrival times.
    inbox: Vec<(u64, Message)>,
    /// Number of log records read.
    read: usize,
    paused_until: u64,
    down_until: u64,
    /// Last time at which the node could not reach the log.
    unreachable_at: u64,
    log_cut_until: u64,
    /// Times of the node's dispatches that it has not read back from the log.
    unlogged: BTreeMap<(Id, Epoch), Vec<u64>>,
    stopping: bool,
}

pub(crate) struct World {
    pub(crate) now: u64,
    nodes: Vec<Node>,
    names: Vec<Arc<str>>,
    pub(crate) shards: Vec<Id>,
    /// Records in the order of their offsets.
    log: Vec<Cell>,
    /// Ledger of the whole log.
    ledger: Ledger,
    /// Appends in flight, with the time at which each takes effect.
    appends: Vec<(u64, Cell)>,
    log_down_until: u64,
    /// Cut links, with the time at which each is restored.
    cuts: BTreeMap<(usize, usize), u64>,
    seed: u64,
    /// Last time at which the owner of each epoch could act.
    last_active: BTreeMap<(Id, Epoch), u64>,
    /// Times of dispatches that are not in the log.
    unlogged: BTreeMap<(Id, Epoch), Vec<u64>>,
    released: BTreeSet<(Id, Epoch)>,
    /// First activation of each epoch.
    pub(crate) activations: Vec<(Id, Unrecorded)>,
    pub(crate) outage_dispatches: usize,
    pub(crate) violations: Vec<String>,
}

impl World {
    pub(crate) fn new(schedulers: usize, shards: u32, seed: u64) -> Self {
        let names: Vec<Arc<str>> = (0..schedulers).map(|i| format!("s{i}").into()).collect();
        let shards: Vec<Id> = (0..shards).map(|i| Id::service("booking", i)).collect();
        let mut world = Self {
            now: 1_000,
            nodes: Vec::new(),
            names,
            shards,
            log: Vec::new(),
            ledger: Ledger::default(),
            appends: Vec::new(),
            log_down_until: 0,
            cuts: BTreeMap::new(),
            seed,
            last_active: BTreeMap::new(),
            unlogged: BTreeMap::new(),
            released: BTreeSet::new(),
            activations: Vec::new(),
            outage_dispatches: 0,
            violations: Vec::new(),
        };
        for index in 0..schedulers {
            let node = world.node(index, 1);
            world.nodes.push(node);
        }
        world
    }

    fn node(&self, index: usize, incarnation: u64) -> Node {
        let settings = Settings {
            name: self.names[index].clone(),
            incarnation,
            schedulers: self.names.clone(),
            shards: self.shards.clone(),
            retention_ms: 20_000,
        };
        Node {
            kernel: Kernel::new(Instant(self.now), settings),
            incarnation,
            inbox: Vec::new(),
            read: 0,
            paused_until: 0,
            down_until: 0,
            unreachable_at: self.now,
            log_cut_until: 0,
            unlogged: BTreeMap::new(),
            stopping: false,
        }
    }

    fn random(&mut self, below: u64) -> u64 {
        self.seed = self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.seed;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) % below.max(1)
    }

    pub(crate) fn inject(&mut self, fault: Fault) {
        let count = self.nodes.len();
        match fault {
            Fault::Cut { a, b, ms } => {
                let (a, b) = (a % count, b % count);
                self.cuts.insert((a.min(b), a.max(b)), self.now + ms);
            }
            Fault::CutLog { node, ms } => self.nodes[node % count].log_cut_until = self.now + ms,
            Fault::LogDown { ms } => self.log_down_until = self.now + ms,
            Fault::Pause { node, ms } => self.nodes[node % count].paused_until = self.now + ms,
            Fault::Restart { node } => {
                let down_ms = 20 + self.random(300);
                self.restart(node % count, down_ms);
            }
            Fault::Stop { node } => {
                let node = node % count;
                self.nodes[node].stopping = true;
                self.handle(node, Event::Stop);
            }
        }
    }

    fn restart(&mut self, index: usize, down_ms: u64) {
        let incarnation = self.nodes[index].incarnation + 1;
        let mut node = self.node(index, incarnation);
        node.down_until = self.now + down_ms;
        self.nodes[index] = node;
    }

    /// Ends every fault and restarts the stopped nodes.
    pub(crate) fn end_faults(&mut self) {
        self.cuts.clear();
        self.log_down_until = 0;
        for index in 0..self.nodes.len() {
            self.nodes[index].paused_until = 0;
            self.nodes[index].log_cut_until = 0;
            if self.nodes[index].stopping {
                self.restart(index, 0);
            }
        }
    }

    pub(crate) fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += STEP_MS;
            self.apply_appends();
            for index in 0..self.nodes.len() {
                self.step(index);
            }
            self.observe();
        }
    }

    fn apply_appends(&mut self) {
        if self.now < self.log_down_until {
            return;
        }
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.appends)
            .into_iter()
            .partition::<Vec<_>, _>(|(at, _)| *at <= now);
        self.appends = later;
        for (_, record) in due {
            self.log.push(record.clone());
            let verdict = self.ledger.apply(self.log.len() as u64, &record);
            if let (
                Cell::Intent {
                    shard,
                    epoch,
                    at_unix_ms,
                    ..
                },
                Verdict::Valid,
            ) = (record, verdict)
            {
                let times = self.unlogged.entry((shard, epoch)).or_default();
                times.retain(|time| *time > at_unix_ms);
            }
        }
    }

    fn reaches_log(&self, index: usize) -> bool {
        self.now >= self.log_down_until && self.now >= self.nodes[index].log_cut_until
    }

    fn step(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if self.now < node.paused_until || self.now < node.down_until {
            return;
        }
        let now = self.now;
        if node.inbox.iter().any(|(at, _)| *at <= now) {
            let (due, later) = std::mem::take(&mut node.inbox)
                .into_iter()
                .partition::<Vec<_>, _>(|(at, _)| *at <= now);
            self.nodes[index].inbox = later;
            for (_, message) in due {
                self.deliver(index, message);
            }
        }
        self.read(index);
        if self.now.is_multiple_of(TICK_PERIOD_MS) {
            self.tick(index);
        }
        if self.now.is_multiple_of(RECORD_PERIOD_MS) {
            self.append_unlogged(index);
        }
    }

    fn read(&mut self, index: usize) {
        if !self.reaches_log(index) {
            return;
        }
        // Skips a quarter of the reads, as a slow reader does.
        if self.random(4) == 0 {
            return;
        }
        while let Some(record) = self.log.get(self.nodes[index].read).cloned() {
            self.nodes[index].read += 1;
            let offset = self.nodes[index].read as u64;
            let now = Instant(self.now);
            let actions = self.nodes[index].kernel.apply(now, offset, &record);
            self.confirm_logged(index, &record);
            self.carry_out(index, actions);
        }
        self.handle(index, Event::CaughtUp);
    }

    fn tick(&mut self, index: usize) {
        let down = !self.reaches_log(index);
        let node = &mut self.nodes[index];
        if down {
            node.unreachable_at = self.now;
        }
        let view = LogView {
            unreachable: down,
            unreachable_age_ms: self.now - node.unreachable_at,
        };
        self.handle(index, Event::Tick(view));
    }

    fn handle(&mut self, index: usize, event: Event) {
        let actions = self.nodes[index].kernel.handle(Instant(self.now), event);
        self.carry_out(index, actions);
    }

    fn deliver(&mut self, index: usize, message: Message) {
        match message {
            Message::Heartbeat(heartbeat, sent) => {
                let now = Instant(self.now);
                let (support, actions) = self.nodes[index].kernel.heartbeat(now, &heartbeat);
                let to = self.index(&heartbeat.node);
                self.send(
                    index,
                    to,
                    Message::Support(sent, heartbeat.sequence, support),
                );
                self.carry_out(index, actions);
            }
            Message::ClaimFailed(shard) => self.handle(index, Event::ClaimFailed(shard)),
            Message::Support(sent, sequence, support) => {
                let event = Event::Supported {
                    sent,
                    sequence,
                    support,
                };
                self.handle(index, event);
            }
        }
    }

    fn index(&self, name: &str) -> usize {
        self.names.iter().position(|n| **n == *name).unwrap()
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let cut = self.cuts.get(&(from.min(to), from.max(to)));
        let lost = cut.is_some_and(|until| self.now < *until);
        let down = self.now < self.nodes[to].down_until;
        if !lost && !down {
            let at = self.now + self.random(DELAY_MAX_MS);
            self.nodes[to].inbox.push((at, message));
        }
    }

    fn carry_out(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Activate {
                    shard,
                    epoch,
                    unrecorded,
                    resumed,
                    ..
                } => self.activated(shard, epoch, unrecorded, resumed),
                Action::Heartbeat(heartbeat) => {
                    for to in (0..self.nodes.len()).filter(|to| *to != index) {
                        let message = Message::Heartbeat(heartbeat.clone(), Instant(self.now));
                        self.send(index, to, message);
                    }
                }
                Action::Claim { shard, previous } => {
                    let record = Cell::Claim {
                        shard: shard.clone(),
                        previous,
                        owner: self.names[index].clone(),
                        incarnation: self.nodes[index].incarnation,
                    };
                    self.append(index, record, Some(shard));
                }
                Action::Deactivate { .. } => {}
                Action::Release {
                    shard,
                    epoch,
                    doubt_ms,
                } => {
                    // The host records its unlogged dispatches before it releases the shard.
                    if !self.reaches_log(index) {
                        continue;
                    }
                    self.unlogged.remove(&(shard.clone(), epoch));
                    self.released.insert((shard.clone(), epoch));
                    let record = Cell::Release {
                        shard,
                        epoch,
                        doubt_ms,
                    };
                    self.append(index, record, None);
                }
                Action::Republish { shard, epoch } => {
                    let record = Cell::Standing {
                        shard,
                        epoch,
                        owner: self.names[index].clone(),
                        incarnation: self.nodes[index].incarnation,
                    };
                    self.append(index, record, None);
                }
            }
        }
    }

    /// Appends a record. The answer may be lost; the record then may take effect late.
    fn append(&mut self, index: usize, record: Cell, claim: Option<Id>) {
        let lost = self.random(8) == 0;
        if !self.reaches_log(index) && !lost {
            if let Some(shard) = claim {
                let at = self.now + self.random(APPEND_MAX_MS);
                self.nodes[index]
                    .inbox
                    .push((at, Message::ClaimFailed(shard)));
            }
            return;
        }
        let delay = if lost {
            LATE_APPEND_MAX_MS
        } else {
            APPEND_MAX_MS
        };
        let at = self.now + self.random(delay);
        self.appends.push((at, record));
    }

    fn activated(&mut self, shard: Id, epoch: Epoch, unrecorded: Unrecorded, resumed: bool) {
        if !resumed {
            self.activations.push((shard.clone(), unrecorded));
        }
        for ((other, older), at) in &self.last_active {
            if *other != shard || *older == epoch {
                continue;
            }
            if *older > epoch {
                self.violations
                    .push(format!("{shard}: {epoch} activated after {older}"));
            }
            let released = self.released.contains(&(shard.clone(), *older));
            let gap = if released { 0 } else { GRANT_VALID_MS };
            if self.now < *at + gap {
                let now = self.now;
                self.violations.push(format!(
                    "{shard}: {epoch} activated at {now}, {older} could act at {at}"
                ));
            }
        }
        if resumed || unrecorded == Unrecorded::Possible {
            return;
        }
        for ((other, older), times) in &self.unlogged {
            let Some(at) = times.last() else { continue };
            if *other == shard && *older < epoch && self.now < *at + RETRY_WINDOW_MS {
                let now = self.now;
                self.violations.push(format!(
                    "{shard}: {epoch} activated without unrecorded dispatches at {now}, unlogged \
                     dispatch of {older} at {at}"
                ));
            }
        }
    }

    /// Returns the nodes that could act as the owner of `shard` now, with their epochs.
    pub(crate) fn owners(&self, shard: &Id) -> Vec<(usize, Epoch)> {
        let now = Instant(self.now);
        let nodes = self.nodes.iter().enumerate();
        nodes
            .filter_map(|(index, node)| {
                let epoch = node.kernel.ledger().epoch(shard);
                (now < node.kernel.valid_until(shard, epoch)).then_some((index, epoch))
            })
            .collect()
    }

    /// Checks that no shard has two owners, and lets the owners dispatch in outage mode.
    fn observe(&mut self) {
        for shard in self.shards.clone() {
            let owners = self.owners(&shard);
            if owners.len() > 1 {
                let now = self.now;
                self.violations
                    .push(format!("{shard}: owners {owners:?} at {now}"));
            }
            for (index, epoch) in owners {
                self.last_active.insert((shard.clone(), epoch), self.now);
                let dispatches = (self.now / STEP_MS).is_multiple_of(4);
                if self.now < self.nodes[index].paused_until || !dispatches {
                    continue;
                }
                let node = &mut self.nodes[index];
                if node
                    .kernel
                    .allow_unlogged_grant(Instant(self.now), &shard, epoch)
                {
                    self.outage_dispatches += 1;
                    let key = (shard.clone(), epoch);
                    node.unlogged.entry(key.clone()).or_default().push(self.now);
                    self.unlogged.entry(key).or_default().push(self.now);
                }
            }
        }
    }
}
