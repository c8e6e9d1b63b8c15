//! Moves of a queue's address to another shard: which jobs of the address this shard keeps.
//!
//! A shard keeps the jobs whose submissions stand before an offset of its stream that is recorded with
//! the move. Later submissions, of processes that don't know of the move, are forwarded. Because the
//! offset decides, all owners of the shard agree on every job.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::action::Action;
use crate::job::{Address, Id, Queue, Spec};
use crate::record::Record;
use crate::shard::Shard;
use crate::snapshot::Entry;

/// Where the jobs of an address belong whose submissions stand at an offset or later.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Home {
    from: u64,
    version: u64,
    /// Shard; `None` for the one that records it.
    shard: Option<u32>,
    /// Number of the record that makes it durable.
    record: u64,
}

/// A submission that belongs to another shard and is not known to be stored there.
#[derive(Clone, Debug)]
struct Forward {
    shard: u32,
    record: Record,
    team: Option<Arc<str>>,
    address: Address,
    /// Number of the record of the move, which must be durable first.
    after_record: u64,
    is_sent: bool,
}

/// Where a submission belongs.
enum Destination {
    Here,
    Shard {
        shard: u32,
        after_record: u64,
    },
    /// Its offset decides, which is not known yet.
    Undecided,
}

/// What must be done before jobs of an address can be denied.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Preparation {
    /// The move is recorded.
    Recorded,
    /// The shard's stream must be read to its end, then [`Shard::record_move`] be called.
    Required,
    /// A later version of the configuration has moved the address again.
    Outdated,
}

/// Moves of addresses from and to a shard.
#[derive(Debug, Default)]
pub(crate) struct Moves {
    /// Homes in the order of their offsets. Submissions before the first one belong to this shard.
    homes: BTreeMap<Address, Vec<Home>>,
    /// Addresses whose move is about to be recorded.
    prepared: BTreeSet<Address>,
    forwards: BTreeMap<Id, Forward>,
    /// Offset up to which the shard's stream has been read.
    read_to: u64,
}

impl Moves {
    fn destination(&self, address: Address, offset: Option<u64>) -> Destination {
        let homes = self.homes.get(&address);
        let Some(offset) = offset else {
            return match homes.is_some() || self.prepared.contains(&address) {
                true => Destination::Undecided,
                false => Destination::Here,
            };
        };
        let mut homes = homes.into_iter().flatten().rev();
        match homes.find(|home| home.from <= offset) {
            Some(Home {
                shard: Some(shard),
                record,
                ..
            }) => Destination::Shard {
                shard: *shard,
                after_record: *record,
            },
            _ => Destination::Here,
        }
    }

    fn add(&mut self, address: Address, home: Home) {
        let homes = self.homes.entry(address).or_default();
        let is_known = |known: &Home| (known.from, known.version) == (home.from, home.version);
        if !homes.iter().any(is_known) {
            homes.push(home);
            homes.sort_by_key(|home| (home.version, home.from));
        }
    }

    /// Returns whether the record at an offset was read before. Several reads may return it.
    fn has_read(&self, offset: Option<u64>) -> bool {
        offset.is_some_and(|offset| offset < self.read_to)
    }

    /// Returns whether a job waits to be forwarded, and its team.
    pub(crate) fn forwarded_team(&self, id: Id) -> Option<Option<&str>> {
        let forward = self.forwards.get(&id)?;
        Some(forward.team.as_deref())
    }

    /// Returns the number of submissions of an address that wait to be forwarded.
    fn waiting_forwards(&self, address: Address) -> u64 {
        let of_address = |forward: &&Forward| forward.address == address;
        self.forwards.values().filter(of_address).count() as u64
    }

    /// Drops homes that decide about no record that the log still holds.
    pub(crate) fn retained_from(&mut self, offset: u64) {
        for homes in self.homes.values_mut() {
            while homes.get(1).is_some_and(|next| next.from <= offset) {
                homes.remove(0);
            }
        }
        self.homes.retain(|_, homes| {
            let is_over = |home: &Home| home.shard.is_none() && home.from <= offset;
            homes.len() > 1 || !homes.iter().all(is_over)
        });
    }
}

impl Shard {
    /// Begins to record that the jobs of an address belong to `shard` as of a version of the
    /// configuration; `None` stands for this shard. From now on, submissions of the address count only
    /// with their offsets.
    pub fn prepare_move(
        &mut self,
        address: Address,
        version: u64,
        shard: Option<u32>,
    ) -> Preparation {
        let last = self
            .moves
            .homes
            .get(&address)
            .and_then(|homes| homes.last());
        match last {
            Some(last) if last.shard == shard => Preparation::Recorded,
            Some(last) if last.version >= version => Preparation::Outdated,
            None if shard.is_none() => Preparation::Recorded,
            _ => {
                self.moves.prepared.insert(address);
                Preparation::Required
            }
        }
    }

    /// Records a move that was prepared. The shard's stream must have been read to the end that it had
    /// after the preparation.
    pub fn record_move(&mut self, address: Address, version: u64, shard: Option<u32>) {
        if self.prepare_move(address, version, shard) != Preparation::Required {
            return;
        }
        let from = self.moves.read_to;
        self.record(Record::Moved {
            address,
            version,
            from,
            shard,
        });
        let home = Home {
            from,
            version,
            shard,
            record: self.issued_records,
        };
        self.moves.add(address, home);
        self.moves.prepared.remove(&address);
    }

    /// Returns whether the last move of an address is durable.
    #[must_use]
    pub fn is_move_durable(&self, address: Address) -> bool {
        let last = self
            .moves
            .homes
            .get(&address)
            .and_then(|homes| homes.last());
        last.is_none_or(|home| home.record <= self.durable_records)
    }

    /// Applies a move that a previous owner recorded.
    pub fn replay_move(&mut self, address: Address, version: u64, from: u64, shard: Option<u32>) {
        let home = Home {
            from,
            version,
            shard,
            record: 0,
        };
        self.moves.add(address, home);
    }

    /// Records that the shard's stream has been read and applied up to an offset.
    pub fn read_to(&mut self, offset: u64) {
        self.moves.read_to = self.moves.read_to.max(offset);
    }

    /// Applies a submission, with its offset in the shard's stream if it was read from there. Returns
    /// `false` if the offset decides and is not known.
    pub(crate) fn apply_submission(
        &mut self,
        id: Id,
        queue: Arc<str>,
        spec: Arc<Spec>,
        offset: Option<u64>,
        now_ms: u64,
    ) -> bool {
        match self.moves.destination(spec.address, offset) {
            Destination::Here => {
                self.submit(id, queue, spec, now_ms);
                if let Some(offset) = offset {
                    self.note_logged(id, offset);
                }
            }
            Destination::Shard { .. }
                if self.jobs.contains_key(&id) || self.moves.has_read(offset) => {}
            Destination::Shard {
                shard,
                after_record,
            } => {
                let forward = Forward {
                    shard,
                    team: spec.team.clone(),
                    address: spec.address,
                    record: Record::Submitted { id, queue, spec },
                    after_record,
                    is_sent: false,
                };
                self.moves.forwards.entry(id).or_insert(forward);
            }
            Destination::Undecided => return false,
        }
        true
    }

    /// Forwards a cancellation of an unknown job to the shards to which addresses have moved.
    pub(crate) fn forward_cancellation(&mut self, id: Id, team: Option<&Arc<str>>, offset: u64) {
        let is_known = self.jobs.contains_key(&id) || self.moves.has_read(Some(offset));
        if is_known || self.recovery.is_replaying() {
            return;
        }
        let homes = self.moves.homes.values().filter_map(|homes| homes.last());
        let shards: BTreeSet<u32> = homes.filter_map(|home| home.shard).collect();
        for shard in shards {
            let team = team.cloned();
            let record = Record::Cancelled { id, team };
            self.actions.push(Action::Forward { shard, record });
        }
    }

    /// Issues the submissions to forward whose moves are durable.
    pub(crate) fn send_forwards(&mut self) {
        let durable = self.durable_records;
        for forward in self.moves.forwards.values_mut() {
            if !forward.is_sent && forward.after_record <= durable {
                forward.is_sent = true;
                self.actions.push(Action::Forward {
                    shard: forward.shard,
                    record: forward.record.clone(),
                });
            }
        }
    }

    /// Records that a submission is stored in the stream of the shard that it was forwarded to.
    pub fn forwarded(&mut self, id: Id) {
        self.moves.forwards.remove(&id);
    }

    /// Returns the addresses that belong to another shard and of which no job is left here, each with
    /// the version of its move.
    #[must_use]
    pub fn vacated_addresses(&self) -> Vec<(Address, u64)> {
        if self.moves.homes.is_empty() {
            return Vec::new();
        }
        // The address of a job that ended under a previous owner is unknown.
        let held: BTreeSet<Address> = self.jobs.values().map(|job| job.spec.address).collect();
        let forwarded = self.moves.forwards.values().map(|forward| forward.address);
        let held: BTreeSet<Address> = held.into_iter().chain(forwarded).collect();
        if held.contains(&Address::default()) {
            return Vec::new();
        }
        let last = self
            .moves
            .homes
            .iter()
            .filter_map(|(address, homes)| Some((*address, *homes.last()?)));
        let has_left = |(address, home): &(Address, Home)| {
            home.shard.is_some() && home.record <= self.durable_records && !held.contains(address)
        };
        last.filter(has_left)
            .map(|(address, home)| (address, home.version))
            .collect()
    }

    /// Forgets the moves of an address that no process sends to this shard any more.
    pub fn forget_moves(&mut self, address: Address) {
        self.moves.homes.remove(&address);
    }

    /// Returns the moves and the terms of queues in use in a snapshot.
    pub(crate) fn address_entries(&self) -> Vec<Entry> {
        let mut moves = Vec::new();
        for (address, homes) in &self.moves.homes {
            moves.extend(homes.iter().map(|home| Record::Moved {
                address: *address,
                version: home.version,
                from: home.from,
                shard: home.shard,
            }));
        }
        let in_use = self.queues_in_use();
        let terms = self
            .queues
            .values()
            .filter(|queue| in_use.contains(&queue.name));
        let mut terms: Vec<&Arc<Queue>> = terms.collect();
        terms.sort_by(|a, b| a.name.cmp(&b.name));
        let terms: Vec<Record> = terms.into_iter().cloned().map(Record::Terms).collect();
        let entry = |key: &str, records: Vec<Record>| Entry {
            key: key.into(),
            records,
        };
        [entry("moves", moves), entry("terms", terms)]
            .into_iter()
            .filter(|entry| !entry.records.is_empty())
            .collect()
    }

    /// Returns the names of the queues of open jobs.
    pub(crate) fn queues_in_use(&self) -> BTreeSet<Arc<str>> {
        let open = self.jobs.values().filter(|job| !job.is_ended());
        open.map(|job| job.queue.clone()).collect()
    }

    /// Replaces the queues of the shard. Jobs that were accepted before keep the last terms of their
    /// queue if it has been removed or belongs to another shard now.
    pub fn set_queues(&mut self, queues: impl IntoIterator<Item = Queue>) {
        let former = std::mem::take(&mut self.queues);
        self.queues = queues
            .into_iter()
            .map(|queue| (queue.name.clone(), Arc::new(queue)))
            .collect();
        let in_use = self.queues_in_use();
        for (name, queue) in former {
            if in_use.contains(&name) {
                self.queues.entry(name).or_insert(queue);
            }
        }
        for name in in_use {
            self.record_terms(&name);
        }
        self.sort_ready();
    }

    /// Replaces the names of the shard's queues by address. Jobs whose queue is unknown belong to the queue
    /// of their address: their process knew the address under an earlier name.
    pub fn set_addresses(&mut self, addresses: impl IntoIterator<Item = (Address, Arc<str>)>) {
        self.addresses = addresses.into_iter().collect();
        let unknown = self
            .jobs
            .iter()
            .filter(|(_, job)| !job.is_ended() && !self.queues.contains_key(&job.queue));
        let named = unknown.filter_map(|(id, job)| {
            let name = self.addresses.get(&job.spec.address)?;
            Some((*id, name.clone()))
        });
        let named: Vec<(Id, Arc<str>)> = named.collect();
        for (id, name) in named {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.queue = name;
            }
        }
        self.sort_ready();
    }

    /// Returns the name of the queue to which a job belongs that was submitted under a name.
    pub(crate) fn queue_name(&self, name: Arc<str>, address: Address) -> Arc<str> {
        match self.addresses.get(&address) {
            Some(current) if !self.queues.contains_key(&name) => current.clone(),
            _ => name,
        }
    }

    /// Records the terms of a queue, so that a successor knows them if the queue is removed.
    pub(crate) fn record_terms(&mut self, name: &Arc<str>) {
        let Some(queue) = self.queues.get(name).cloned() else {
            return;
        };
        if self.recovery.is_replaying() || self.recorded_terms.get(name) == Some(&queue) {
            return;
        }
        self.recorded_terms.insert(name.clone(), queue.clone());
        self.record(Record::Terms(queue));
    }

    /// Applies the terms of a queue that a previous owner recorded.
    pub(crate) fn replay_terms(&mut self, queue: Arc<Queue>) {
        let name = queue.name.clone();
        self.recorded_terms.insert(name.clone(), queue.clone());
        self.queues.entry(name).or_insert(queue);
    }

    /// Returns the number of jobs of an address of which no task has started. Jobs whose address is
    /// unknown are counted by their queue.
    #[must_use]
    pub fn pending_jobs(&self, address: Address, queue: &str) -> u64 {
        let is_pending = |job: &&crate::run::Job| {
            let belongs = match job.spec.address {
                unknown if unknown == Address::default() => &*job.queue == queue,
                known => known == address,
            };
            belongs && !job.started && !job.is_ended()
        };
        let pending = self.jobs.values().filter(is_pending).count() as u64;
        pending + self.moves.waiting_forwards(address)
    }
}
