//! Moves of a queue's address to another shard: which jobs of the address this shard keeps.
//!
//! A shard keeps the jobs whose submissions stand before an offset of its stream that is recorded with
//! the move. Later submissions, of processes that don't know of the move, are forwarded. Because the
//! offset decides, all owners of the shard agree on every job.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::action::Action;
use crate::job::{Address, Id, Spec};
use crate::record::Record;
use crate::run::Job;
use crate::shard::Shard;

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

    /// Returns those of the listed addresses of which the shard holds no job. The version of the
    /// configuration that listed each one is passed on.
    #[must_use]
    pub fn vacant_addresses(&self, listed: Vec<(Address, u64)>) -> Vec<(Address, u64)> {
        if listed.is_empty() {
            return listed;
        }
        let known = self.jobs.values().map(|job| job.spec.address);
        let forwarded = self.moves.forwards.values().map(|forward| forward.address);
        let held: BTreeSet<Address> = known.chain(forwarded).collect();
        // The address of a job that ended under a previous owner is unknown.
        if held.contains(&Address::default()) {
            return Vec::new();
        }
        let is_vacant = |(address, _): &(Address, u64)| {
            !held.contains(address) && self.is_move_durable(*address)
        };
        listed.into_iter().filter(is_vacant).collect()
    }

    /// Forgets the moves of an address that no process sends to this shard any more.
    pub fn forget_moves(&mut self, address: Address) {
        self.moves.homes.remove(&address);
    }

    /// Returns the records of the moves in a snapshot.
    pub(crate) fn move_records(&self) -> Vec<Record> {
        let homes = self.moves.homes.iter();
        let homes = homes.flat_map(|(address, homes)| homes.iter().map(|home| (*address, home)));
        homes
            .map(|(address, home)| Record::Moved {
                address,
                version: home.version,
                from: home.from,
                shard: home.shard,
            })
            .collect()
    }

    /// Returns the number of jobs of an address of which no task has started. Jobs whose address is
    /// unknown are counted by their queue.
    #[must_use]
    pub fn pending_jobs(&self, address: Address, queue: &str) -> u64 {
        let is_pending = |job: &&Job| {
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
