//! Ownership of shards: reads the claims in the log, renews those of this process and claims shards
//! without an owner.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rosemaryworks_node::clock;
use tokio::time::MissedTickBehavior;

use crate::claim::{self, Candidate, Claim, Takeover};
use crate::events;
use crate::node::{Node, lock};
use crate::owner::Owner;
use crate::permission;
use crate::port::{Append, Fault, Guard, Page, Record, Stream};
use crate::revisions::Source;

/// Partition of the claims stream.
pub(crate) const PARTITION: u32 = 0;

/// Upper bound of the tries of a release, which competes with the renewals of other owners.
const RELEASE_TRIES_MAX: u32 = 4;

/// Number of the latest records of the claims stream that a process reads when it starts. Owners
/// write four a second for each shard.
const HISTORY_RECORDS: u64 = 400;

/// Shortest pause before a failed read of the claims is retried, in milliseconds.
const RETRY_PAUSE_MS: u64 = 20;

/// Read position in the claims stream.
struct Position {
    next: Option<u64>,
}

impl Node {
    /// Renews the claims of this process until it ends. Reads of the claims don't delay renewals: an
    /// owner that is short of CPU waits longer for an answer than claims last.
    pub(crate) async fn keep_claims(self: Arc<Self>) {
        let mut renewal = tokio::time::interval(Duration::from_millis(claim::RENEW_MS));
        renewal.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            renewal.tick().await;
            self.renew_claims();
        }
    }

    /// Reads the claims and claims shards without an owner, until the process ends.
    pub(crate) async fn follow_claims(self: Arc<Self>) {
        let mut position = Position { next: None };
        loop {
            let began_ms = clock::now().0;
            let mut pause_ms = claim::POLL_MS;
            if self.read_claims(&mut position).await {
                self.dial_owners();
                self.claim_due(&mut position).await;
                let linked = self.is_linked_to_owners();
                let claims = lock(&self.claims);
                pause_ms = claims.pause_ms(self.millicores(), linked, clock::now().0);
            } else {
                // The time that a lost answer took counts.
                let took_ms = clock::now().0.saturating_sub(began_ms);
                pause_ms = pause_ms.saturating_sub(took_ms).max(RETRY_PAUSE_MS);
            }
            let pause = tokio::time::sleep(Duration::from_millis(pause_ms));
            tokio::select! {
                () = pause => {}
                () = self.claims_changed.notified() => {}
            }
        }
    }

    /// Reads the claims stream. Returns whether the read reached the end of the stream.
    async fn read_claims(self: &Arc<Self>, position: &mut Position) -> bool {
        let asked_ms = clock::now().0;
        let store = &self.context.store;
        let page = match position.next {
            Some(next) => store.read(Stream::Claims, PARTITION, next, 0).await,
            None => self.read_claim_history().await,
        };
        let page = match page {
            Ok(page) => page,
            Err(Fault::Expired { .. }) => {
                position.next = None;
                return false;
            }
            Err(_) => {
                self.observe_log_response(false);
                self.revisions.read_ended(Source::Claims, false);
                return false;
            }
        };
        self.observe_log_response(true);
        self.revisions.read_ended(Source::Claims, true);
        let now_ms = clock::now().0;
        let at_end = page.next >= page.end;
        position.next = Some(page.next);
        let mut claims = lock(&self.claims);
        for record in page.records {
            if self.apply_home(&record) {
                continue;
            }
            let shard = record.key.as_deref().and_then(claim::shard_of);
            let claim: Option<Claim> = ciborium::from_reader(record.value.as_slice()).ok();
            match (shard, claim) {
                (Some(shard), Some(claim)) => claims.apply(shard, claim, now_ms),
                _ => events::RECORD_SKIPPED.log(format_args!("stream=claims")),
            }
        }
        if at_end {
            claims.caught_up(now_ms);
            lock(&self.homes).caught_up(asked_ms);
        }
        drop(claims);
        self.claims_read.send_replace(page.next);
        self.step_down_if_superseded();
        if at_end {
            self.permission.prove(asked_ms);
        }
        at_end
    }

    /// Ends ownership of the shards that another process has claimed since.
    fn step_down_if_superseded(&self) {
        let owners: Vec<Arc<Owner>> = lock(&self.owned).values().cloned().collect();
        for owner in owners {
            if self.is_superseded(&owner) {
                let reason = "another process claimed the shard";
                self.step_down(owner.shard(), owner.epoch(), reason);
            }
        }
    }

    pub(crate) fn is_superseded(&self, owner: &Owner) -> bool {
        self.is_claimed_after(owner.shard(), owner.epoch())
    }

    /// Returns whether a later claim of a shard than that of `epoch` is known.
    pub(crate) fn is_claimed_after(&self, shard: u32, epoch: u64) -> bool {
        let claims = lock(&self.claims);
        claims.get(shard).is_some_and(|claim| claim.epoch > epoch)
    }

    /// Reads the newest claim of each shard, and the latest records of the stream. A superseded owner
    /// that doesn't know it yet renews over the claim of its successor, which is then missing among
    /// the newest ones; without it this process might claim the successor's epoch again.
    async fn read_claim_history(&self) -> Result<Page, Fault> {
        let store = &self.context.store;
        let newest = store.newest(Stream::Claims, PARTITION).await?;
        let mut from = newest.end.saturating_sub(HISTORY_RECORDS);
        loop {
            match store.read(Stream::Claims, PARTITION, from, 0).await {
                Ok(mut page) => {
                    page.records.extend(newest.records);
                    return Ok(page);
                }
                Err(Fault::Expired { first }) if first > from => from = first,
                Err(fault) => return Err(fault),
            }
        }
    }

    /// Returns whether the log holds no claim of a shard that is newer than `epoch`, and the end of
    /// the claims stream; `None` if the log doesn't answer.
    pub(crate) async fn read_newest_claim(&self, shard: u32, epoch: u64) -> Option<(bool, u64)> {
        let page = self.context.store.newest(Stream::Claims, PARTITION).await;
        let page = page.ok()?;
        let key = claim::key(shard);
        let records = page.records.into_iter();
        let claims = records
            .filter(|record| record.key.as_ref() == Some(&key))
            .filter_map(|record| ciborium::from_reader(record.value.as_slice()).ok());
        let observed = lock(&self.claims).get(shard).map(|claim| claim.epoch);
        let newest = claims.map(|claim: Claim| claim.epoch).chain(observed).max();
        Some((newest.is_none_or(|newest| newest <= epoch), page.end))
    }

    /// Claims a shard that has no owner, if one is due.
    async fn claim_due(self: &Arc<Self>, position: &mut Position) {
        if self.stopping.load(Ordering::Relaxed) {
            return;
        }
        let Some(config) = self.config() else { return };
        // A shard that may know jobs needs an owner, also if its pools have been removed.
        let mut wanted: BTreeSet<u32> = config.shards(self.settings.shards);
        wanted.extend(lock(&self.homes).shards());
        let unlinked = self.unlinked_owners();
        let millicores = self.millicores();
        let now_ms = clock::now().0;
        let (node, incarnation) = (&self.settings.node, self.hello.incarnation);
        let held = self.held_shards();
        let candidate = Candidate {
            node,
            incarnation,
            millicores,
            held: &held,
        };
        let due = lock(&self.claims).due(&wanted, candidate, &unlinked, now_ms);
        // One at a time: the next claim is conditional on the end of the stream after this one.
        let Some((shard, epoch)) = due.into_iter().next() else {
            return;
        };
        let predecessor_ended = lock(&self.claims).owner_has_ended(shard, node, incarnation);
        let mut claim = self.own_claim(epoch, 0);
        claim.taking_over = true;
        let guard = Guard::EndOffset(position.next.unwrap_or(0));
        match self.write_claim(shard, &claim, guard).await {
            Ok(appended) => {
                position.next = Some(appended);
                lock(&self.claims).apply(shard, claim, clock::now().0);
                events::CLAIMED.log(format_args!("shard={shard} epoch={epoch}"));
                let takeover = Takeover::new(epoch, clock::now().0);
                lock(&self.taking_over).insert(shard, takeover);
                let node = self.clone();
                tokio::spawn(async move {
                    node.clone()
                        .take_over(shard, epoch, predecessor_ended)
                        .await;
                    lock(&node.taking_over)
                        .retain(|taken, takeover| (*taken, takeover.epoch()) != (shard, epoch));
                });
                self.claims_changed.notify_one();
            }
            // Another process wrote first; the next read shows who owns the shard.
            Err(Fault::OffsetMismatch { .. }) => self.claims_changed.notify_one(),
            // The claim may have been written; the next read after a pause shows it.
            Err(fault) => {
                events::TAKEOVER_FAILED.log(format_args!("shard={shard} epoch={epoch} {fault}"));
            }
        }
    }

    /// Returns the shards that this process owns or takes over.
    pub(crate) fn held_shards(&self) -> BTreeSet<u32> {
        let mut held: BTreeSet<u32> = lock(&self.taking_over).keys().copied().collect();
        held.extend(lock(&self.owned).keys());
        held
    }

    fn own_claim(&self, epoch: u64, renewal: u64) -> Claim {
        Claim {
            epoch,
            node: self.settings.node.clone(),
            incarnation: self.hello.incarnation,
            address: self.settings.peer_listen,
            renewal,
            unfinished: false,
            millicores: self.millicores(),
            taking_over: false,
        }
    }

    pub(crate) fn millicores(&self) -> u64 {
        (self.settings.cores * 1_000.0) as u64
    }

    async fn write_claim(&self, shard: u32, claim: &Claim, guard: Guard) -> Result<u64, Fault> {
        let mut value = Vec::new();
        if let Err(error) = ciborium::into_writer(claim, &mut value) {
            return Err(Fault::Rejected(error.to_string().into()));
        }
        let append = Append {
            stream: Stream::Claims,
            partition: PARTITION,
            records: vec![Record {
                key: Some(claim::key(shard)),
                value,
            }],
            guard,
        };
        let appended = self.context.store.append(append).await?;
        Ok(appended.end)
    }

    /// Renews the claims of the owned shards and of those whose takeover makes progress, unless this
    /// process has been suspended for so long that another one should take them over. In an outage of
    /// the log none can; the first renewal after it keeps the claims from expiring.
    fn renew_claims(self: &Arc<Self>) {
        let suspended = self.claims_age_ms() >= permission::VALID_MS + claim::EXPIRY_MS;
        if suspended && !self.log_is_down() {
            return;
        }
        let owners: Vec<Arc<Owner>> = lock(&self.owned).values().cloned().collect();
        for owner in owners {
            if self.is_superseded(&owner) {
                continue;
            }
            let mut claim = self.own_claim(
                owner.epoch(),
                owner.renewals.fetch_add(1, Ordering::Relaxed) + 1,
            );
            claim.unfinished = !owner.has_fenced_predecessors();
            self.renew_claim(owner.shard(), claim);
        }
        for (shard, claim) in self.due_takeover_renewals() {
            self.renew_claim(shard, claim);
        }
    }

    /// Returns the renewals of the claims of the takeovers that make progress.
    fn due_takeover_renewals(&self) -> Vec<(u32, Claim)> {
        let now_ms = clock::now().0;
        let mut takeovers = lock(&self.taking_over);
        let claims = lock(&self.claims);
        let mut renewals = Vec::new();
        for (&shard, takeover) in takeovers.iter_mut() {
            let epoch = takeover.epoch();
            if claims.get(shard).is_some_and(|claim| claim.epoch > epoch) {
                continue;
            }
            if let Some(renewal) = takeover.next_renewal(now_ms) {
                let mut claim = self.own_claim(epoch, renewal);
                claim.unfinished = true;
                claim.taking_over = true;
                renewals.push((shard, claim));
            }
        }
        renewals
    }

    fn renew_claim(self: &Arc<Self>, shard: u32, claim: Claim) {
        let node = self.clone();
        tokio::spawn(async move {
            // A lost renewal is made up for by the next one.
            let written = node.write_claim(shard, &claim, Guard::Unconditional).await;
            node.observe_log_response(written.is_ok());
        });
    }

    /// Ends ownership of a shard in this process. Doesn't release the claim.
    pub(crate) fn step_down(&self, shard: u32, epoch: u64, reason: &str) {
        let mut owned = lock(&self.owned);
        if owned
            .get(&shard)
            .is_some_and(|owner| owner.epoch() == epoch)
        {
            if let Some(owner) = owned.remove(&shard) {
                owner.end();
            }
            self.context.metrics.shards.set(owned.len() as i64);
            events::STEPPED_DOWN.log(format_args!(
                "shard={shard} epoch={epoch} reason={reason} claims_age_ms={}",
                self.claims_age_ms()
            ));
        }
    }

    /// Steps down from a shard that this process can't go on to serve, and releases it.
    pub(crate) async fn give_up(&self, shard: u32, epoch: u64, reason: &str) {
        self.step_down(shard, epoch, reason);
        self.release_claim(shard, epoch, true).await;
    }

    /// Returns the time since the last proof that no other process had claimed a shard of this one, in
    /// milliseconds.
    pub(crate) fn claims_age_ms(&self) -> u64 {
        let now_ms = clock::now().0;
        self.permission.age_ms(now_ms).unwrap_or(now_ms)
    }

    /// Releases all owned shards and announces it to the other processes. A takeover that completes
    /// later releases its shard, too.
    pub(crate) async fn release_all(self: &Arc<Self>) {
        let owners: Vec<Arc<Owner>> = {
            let owned = lock(&self.owned);
            self.released.store(true, Ordering::Relaxed);
            owned.values().cloned().collect()
        };
        for owner in owners {
            let (shard, epoch) = (owner.shard(), owner.epoch());
            owner.flush().await;
            let unfinished = !owner.has_fenced_predecessors();
            self.step_down(shard, epoch, "planned stop");
            self.release_claim(shard, epoch, unfinished).await;
        }
    }

    /// Writes that a shard has no owner, and announces it to the other processes. `unfinished` says
    /// that the takeover by this process was not completed.
    pub(crate) async fn release_claim(&self, shard: u32, epoch: u64, unfinished: bool) {
        let mut claim = self.own_claim(epoch, u64::MAX);
        claim.unfinished = unfinished;
        claim.node = "".into();
        // A claim that can't be released expires.
        for _ in 0..RELEASE_TRIES_MAX {
            let Some((is_newest, end)) = self.read_newest_claim(shard, epoch).await else {
                return;
            };
            // The log keeps the newest record of each key only, so a release over a newer claim
            // would hide that claim from a process that starts.
            if !is_newest {
                return;
            }
            match self.write_claim(shard, &claim, Guard::EndOffset(end)).await {
                Ok(_) => {
                    lock(&self.claims).apply(shard, claim, clock::now().0);
                    self.notify_released(shard, epoch);
                    return;
                }
                // Another process renewed a claim in between.
                Err(Fault::OffsetMismatch { .. }) => {}
                Err(_) => return,
            }
        }
    }
}
