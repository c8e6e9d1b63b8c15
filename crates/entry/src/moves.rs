//! Calls about jobs whose address has moved from one shard to another: entries of the register, queries
//! to former shards, and jobs that are forwarded.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rosemaryworks_node::clock;
use rosemaryworks_wire::workflow::{JobState, Message, Question};
use rosemaryworks_workflow::{Address, Id, Preparation, Record};

use crate::codec;
use crate::config::{self, Route};
use crate::events;
use crate::homes::{self, Chain, Next};
use crate::links::CALL_TIMEOUT;
use crate::node::{Node, lock};
use crate::owner::Owner;
use crate::ownership;
use crate::port::{self, Append, Fault, Guard, Stream};
use crate::submitter::Outcome;

/// Pause before a query to the owner of a shard is retried.
pub(crate) const RETRY_PAUSE: Duration = Duration::from_millis(80);

/// Longest wait for a move to be durable. Shorter than the time-out of the call that waits for it.
const DURABLE_MAX_MS: u64 = 400;

/// Time for which an append of a forwarded record is retried before it is queued again, in milliseconds.
const FORWARD_TIMEOUT_MS: u64 = 5_000;

/// Upper bound of the entries of the register in an append.
const HOMES_PER_APPEND: usize = 500;

/// Time between two checks for addresses that have no job left in their former shard.
const VACANCY_PERIOD: Duration = Duration::from_secs(5);

/// Upper bound of the tries to remove an entry, which compete with the renewals of claims.
const REMOVAL_TRIES_MAX: u32 = 4;

/// What the shards of an address know about a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Finding {
    /// A shard knows the job.
    Known { shard: u32, state: JobState },
    /// No shard knows it.
    Unknown,
    /// A shard that may know it can't be asked.
    Unavailable,
}

impl Node {
    /// Returns the shards that may know the jobs of a route.
    pub(crate) fn chain(&self, route: &Route) -> Chain {
        let (shard, version) = self.target(route);
        lock(&self.homes).chain(route.address(), shard, version)
    }

    /// Returns the shard to which the configuration in force sends a route, and its version. A route that
    /// it doesn't hold any more never goes before a listed one.
    fn target(&self, route: &Route) -> (u32, u64) {
        let config = self.config();
        let current = config.as_ref().and_then(|config| {
            let current = config.same_address(route)?;
            Some((current.queue.pool.clone(), config.version))
        });
        let (pool, version) = current.unwrap_or_else(|| (route.queue.pool.clone(), 0));
        (config::shard(&pool, self.settings.shards), version)
    }

    /// Returns the chain of new jobs of a route, after its shard has been listed. Returns `None` if it can't
    /// be listed by `deadline_ms`.
    pub(crate) async fn listed_chain(&self, route: &Route, deadline_ms: u64) -> Option<Chain> {
        let address = route.address();
        loop {
            let (shard, version) = self.target(route);
            if let Next::Send(chain) = lock(&self.homes).next(address, shard, version) {
                return Some(chain);
            }
            let left_ms = deadline_ms.saturating_sub(clock::now().0);
            if left_ms == 0 || self.log_is_down() {
                return None;
            }
            let listed = self.list_home(address, shard, version);
            let limit = Duration::from_millis(left_ms);
            if !matches!(tokio::time::timeout(limit, listed).await, Ok(true)) {
                return None;
            }
        }
    }

    /// Lists a shard for an address, and reads the register up to the entry: either this process sees the
    /// entry of another one with another shard, or the other one sees this entry.
    async fn list_home(&self, address: Address, shard: u32, version: u64) -> bool {
        let _turn = self.listing.lock().await;
        if lock(&self.homes).version(address, shard) >= Some(version) {
            return true;
        }
        let Ok(end) = self.write_homes(&[(address, shard)], version).await else {
            return false;
        };
        let mut read = self.claims_read.subscribe();
        self.claims_changed.notify_one();
        read.wait_for(|next| *next >= end).await.is_ok()
    }

    /// Writes entries of the register with a version. Returns the end of the stream after them.
    async fn write_homes(&self, homes: &[(Address, u32)], version: u64) -> Result<u64, Fault> {
        let mut value = Vec::new();
        if let Err(error) = ciborium::into_writer(&version, &mut value) {
            return Err(Fault::Rejected(error.to_string().into()));
        }
        let end = self
            .append_homes(homes, value, Guard::Unconditional)
            .await?;
        for (address, shard) in homes {
            events::HOME_LISTED.log(format_args!(
                "address={:016x} shard={shard} version={version}",
                address.0
            ));
        }
        Ok(end)
    }

    async fn append_homes(
        &self,
        homes: &[(Address, u32)],
        value: Vec<u8>,
        guard: Guard,
    ) -> Result<u64, Fault> {
        let record = |(address, shard): &(Address, u32)| port::Record {
            key: Some(homes::key(*address, *shard)),
            value: value.clone(),
        };
        let append = Append {
            stream: Stream::Claims,
            partition: ownership::PARTITION,
            records: homes.iter().map(record).collect(),
            guard,
        };
        Ok(self.context.store.append(append).await?.end)
    }

    /// Applies an entry of the register. Returns whether the record is one.
    pub(crate) fn apply_home(&self, record: &port::Record) -> bool {
        let Some((address, shard)) = record.key.as_deref().and_then(homes::entry_of) else {
            return false;
        };
        let version = ciborium::from_reader(record.value.as_slice()).ok();
        lock(&self.homes).apply(address, shard, version);
        true
    }

    /// Asks the shards of a chain whether they know a job that a caller of a team may access.
    pub(crate) async fn find(
        self: &Arc<Self>,
        chain: &Chain,
        id: Id,
        team: Option<&Arc<str>>,
    ) -> Finding {
        let queried_ms = clock::now().0;
        let mut is_complete = true;
        for shard in chain.shards() {
            let state = match self.owner(shard) {
                Some(owner) => owner.job_state(id, team.map(|team| &**team)).await,
                None => {
                    let team = team.cloned();
                    let question = Message::QueryJob {
                        shard,
                        job: id,
                        team,
                    };
                    self.ask_state(shard, question).await
                }
            };
            match state {
                JobState::State(_) => return Finding::Known { shard, state },
                JobState::Unknown => {}
                JobState::Unavailable => is_complete = false,
            }
        }
        match is_complete && lock(&self.homes).is_fresh(queried_ms) {
            true => Finding::Unknown,
            false => Finding::Unavailable,
        }
    }

    /// Asks the former shards of an address whether they know a job, until `deadline_ms`. A shard that
    /// says no takes no further job of the address.
    pub(crate) async fn find_former(
        self: &Arc<Self>,
        address: Address,
        chain: &Chain,
        job: Id,
        deadline_ms: u64,
    ) -> Finding {
        loop {
            let mut is_complete = true;
            for shard in chain.shards() {
                self.context.metrics.former_queries.inc();
                let question = Question {
                    address,
                    version: chain.version,
                    shard: chain.current,
                    job,
                };
                let state = match self.owner(shard) {
                    Some(owner) => owner.answer_former(&question).await,
                    None => {
                        let question = Message::QueryFormer { shard, question };
                        self.ask_state(shard, question).await
                    }
                };
                match state {
                    JobState::State(_) => return Finding::Known { shard, state },
                    JobState::Unknown => {}
                    // The current shard decides about repeated submissions by itself.
                    JobState::Unavailable => is_complete &= shard == chain.current,
                }
            }
            if is_complete {
                return Finding::Unknown;
            }
            if clock::now().0 + RETRY_PAUSE.as_millis() as u64 >= deadline_ms {
                return Finding::Unavailable;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn ask_state(self: &Arc<Self>, shard: u32, question: Message) -> JobState {
        match self.call_owner(shard, question, CALL_TIMEOUT).await {
            Some(Message::JobState(state)) => state,
            _ => JobState::Unavailable,
        }
    }

    /// Stores a record in the stream of the shard that it belongs to.
    pub(crate) async fn forward(self: Arc<Self>, owner: Arc<Owner>, shard: u32, record: Record) {
        while !owner.is_ended() {
            let until_ms = clock::now().0 + FORWARD_TIMEOUT_MS;
            let written = self
                .submitter(shard)
                .write(codec::encode(&record), until_ms, until_ms);
            if matches!(written.await, Ok(Outcome::Stored)) {
                self.notify_stored(shard, &record);
                self.context.metrics.forwarded.inc();
                if let Record::Submitted { id, .. } = &record {
                    events::FORWARDED
                        .log(format_args!("job={id} shard={} to={shard}", owner.shard()));
                    owner.state().forwarded(*id);
                }
                return;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Removes a shard from the register, unless it is listed with another version meanwhile.
    async fn unlist_home(&self, address: Address, shard: u32, version: u64) -> bool {
        for _ in 0..REMOVAL_TRIES_MAX {
            let end = *self.claims_read.borrow();
            if lock(&self.homes).version(address, shard) != Some(version) {
                return false;
            }
            let guard = Guard::EndOffset(end);
            match self
                .append_homes(&[(address, shard)], Vec::new(), guard)
                .await
            {
                Ok(_) => {
                    events::HOME_UNLISTED
                        .log(format_args!("address={:016x} shard={shard}", address.0));
                    return true;
                }
                Err(Fault::OffsetMismatch { .. }) => {
                    let mut read = self.claims_read.subscribe();
                    self.claims_changed.notify_one();
                    if read.changed().await.is_err() {
                        return false;
                    }
                }
                Err(_) => return false,
            }
        }
        false
    }

    /// Returns the addresses that the configuration in force sends to a shard, and its version.
    fn addresses_of(&self, shard: u32) -> (BTreeSet<Address>, u64) {
        let Some(config) = self.config() else {
            return (BTreeSet::new(), 0);
        };
        let routes = config.routes.iter();
        let own =
            routes.filter(|route| config::shard(&route.queue.pool, self.settings.shards) == shard);
        (own.map(Route::address).collect(), config.version)
    }
}

impl Owner {
    /// Returns whether the shard knows a job of an address that belongs to another shard, or to this one
    /// again. Before it denies one, the move is durable, so that the shard takes no further job of the
    /// address.
    pub(crate) async fn answer_former(&self, question: &Question) -> JobState {
        let Question {
            address,
            version,
            shard,
            job,
        } = *question;
        let until_ms = clock::now().0 + DURABLE_MAX_MS;
        if !self.move_address(address, version, shard).await {
            return JobState::Unavailable;
        }
        while !self.state().is_move_durable(address) {
            let now_ms = clock::now().0;
            if now_ms >= until_ms || self.is_ended() {
                return JobState::Unavailable;
            }
            self.wait_durable(Duration::from_millis(until_ms - now_ms))
                .await;
        }
        self.job_state(job, None).await
    }

    /// Records that an address belongs to a shard as of a version of the configuration, unless that is
    /// recorded. Returns `false` if it can't be recorded now, or a later version says otherwise.
    async fn move_address(&self, address: Address, version: u64, shard: u32) -> bool {
        let to = Some(shard).filter(|shard| *shard != self.shard());
        // A previous owner that still acts may start a job that it has not read from the log.
        if self.is_ended() || !self.has_fenced_predecessors() {
            return false;
        }
        let preparation = self.state().prepare_move(address, version, to);
        match preparation {
            Preparation::Recorded => return true,
            Preparation::Outdated => return false,
            Preparation::Required => {}
        }
        if !self.read_to_end(clock::now().0).await {
            return false;
        }
        self.state().record_move(address, version, to);
        events::MOVED.log(format_args!(
            "address={:016x} shard={} to={shard} version={version}",
            address.0,
            self.shard()
        ));
        self.wake();
        true
    }

    /// Lists this shard for the addresses that each configuration sends to it, so that their first jobs
    /// don't wait for that, and takes jobs of those that return to it.
    pub(crate) async fn list_addresses(self: Arc<Self>, node: Arc<Node>) {
        while !self.is_ended() {
            let (addresses, version) = node.addresses_of(self.shard());
            let shard = self.shard();
            let unlisted: Vec<(Address, u32)> = {
                let homes = lock(&node.homes);
                let is_unlisted =
                    |address: &Address| homes.next(*address, shard, version) == Next::List;
                let unlisted = addresses.into_iter().filter(is_unlisted);
                unlisted.map(|address| (address, shard)).collect()
            };
            for address in node.addresses_of(shard).0 {
                // The processes that store jobs ask for it as well.
                self.move_address(address, version, shard).await;
            }
            for homes in unlisted.chunks(HOMES_PER_APPEND) {
                // Processes list the shard themselves if this fails.
                if node.write_homes(homes, version).await.is_err() {
                    break;
                }
            }
            self.configured.notified().await;
        }
    }

    /// Removes this shard from the register for addresses that the configuration does not send to it, once
    /// it has no job of theirs left and all processes have long learned of the change.
    pub(crate) async fn release_addresses(self: Arc<Self>, node: Arc<Node>) {
        let mut vacant: BTreeMap<(Address, u64), u64> = BTreeMap::new();
        while !self.is_ended() {
            tokio::time::sleep(VACANCY_PERIOD).await;
            let now_ms = clock::now().0;
            let listed = lock(&node.homes).listed_in(self.shard());
            let (current, _) = node.addresses_of(self.shard());
            let left = listed
                .into_iter()
                .filter(|(address, _)| !current.contains(address));
            let left = self.state().vacant_addresses(left.collect());
            vacant.retain(|address, _| left.contains(address));
            for (address, version) in left {
                let since_ms = *vacant.entry((address, version)).or_insert(now_ms);
                let is_due = now_ms >= since_ms + node.settings.keep_ms;
                if is_due && node.unlist_home(address, self.shard(), version).await {
                    self.state().forget_moves(address);
                }
            }
        }
    }
}
