//! Claims of shards: looking at them, renewing the own ones, taking shards over.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rosemaryworks_node::clock;

use crate::claim::{self, Claim};
use crate::events;
use crate::node::{Node, lock};
use crate::owner::Owner;
use crate::port::{Append, Fault, Guard, Record, Stream};

/// Partition of the claims.
pub(crate) const PART: u32 = 0;

/// Where this process is in the stream of claims.
struct Position {
    next: Option<u64>,
    renewed_ms: u64,
}

impl Node {
    /// Looks at the claims, renews the own ones and claims shards without an owner, for the life of
    /// the process.
    pub(crate) async fn hold_claims(self: Arc<Self>) {
        let mut position = Position {
            next: None,
            renewed_ms: 0,
        };
        loop {
            let now_ms = clock::now().0;
            if now_ms >= position.renewed_ms + claim::RENEW_MS {
                position.renewed_ms = now_ms;
                self.renew();
            }
            let mut pause_ms = claim::LOOK_MS;
            if self.read_claims(&mut position).await {
                self.dial_owners();
                self.claim_due(&mut position).await;
                let linked = self.is_linked_to_owners();
                let claims = lock(&self.claims);
                pause_ms = claims.pause_ms(self.millicores(), linked, clock::now().0);
            }
            let pause = tokio::time::sleep(Duration::from_millis(pause_ms));
            tokio::select! {
                () = pause => {}
                () = self.claims_changed.notified() => {}
            }
        }
    }

    /// Reads claims to the end of the stream. Returns whether that succeeded.
    async fn read_claims(self: &Arc<Self>, position: &mut Position) -> bool {
        let store = &self.parts.store;
        let page = match position.next {
            Some(next) => store.read(Stream::Claims, PART, next, 0).await,
            None => store.newest(Stream::Claims, PART).await,
        };
        let page = match page {
            Ok(page) => page,
            Err(Fault::Expired { .. }) => {
                position.next = None;
                return false;
            }
            Err(_) => {
                self.store_answered(false);
                return false;
            }
        };
        self.store_answered(true);
        let now_ms = clock::now().0;
        let mut claims = lock(&self.claims);
        for record in page.records {
            let shard = record.key.as_deref().and_then(claim::shard_of);
            let claim: Option<Claim> = ciborium::from_reader(record.value.as_slice()).ok();
            match (shard, claim) {
                (Some(shard), Some(claim)) => claims.take(shard, claim, now_ms),
                _ => events::RECORD_SKIPPED.log(format_args!("stream=claims")),
            }
        }
        position.next = Some(page.next);
        let at_end = page.next >= page.end;
        if at_end {
            claims.looked(now_ms);
        }
        at_end
    }

    /// Claims the shards that are without an owner.
    async fn claim_due(self: &Arc<Self>, position: &mut Position) {
        if self.stopping.load(Ordering::Relaxed) {
            return;
        }
        let Some(config) = self.config() else { return };
        let wanted: BTreeSet<u32> = config.shards(self.settings.shards);
        let unlinked = self.unlinked_owners();
        let millicores = self.millicores();
        let now_ms = clock::now().0;
        let (node, incarnation) = (&self.settings.node, self.hello.incarnation);
        let due = lock(&self.claims).due(&wanted, node, incarnation, millicores, &unlinked, now_ms);
        // One at a time: the next claim needs the end of the stream after this one.
        let Some((shard, epoch)) = due.into_iter().next() else {
            return;
        };
        let alone = lock(&self.claims).has_ended(shard, node, incarnation);
        let claim = self.own_claim(epoch, 0);
        let guard = Guard::EndOffset(position.next.unwrap_or(0));
        match self.write_claim(shard, &claim, guard).await {
            Ok(appended) => {
                position.next = Some(appended);
                lock(&self.claims).take(shard, claim, clock::now().0);
                events::CLAIMED.log(format_args!("shard={shard} epoch={epoch}"));
                tokio::spawn(self.clone().take_over(shard, epoch, alone));
                self.claims_changed.notify_one();
            }
            // Another process was faster: the next look tells which.
            Err(Fault::OffsetMismatch { .. }) => self.claims_changed.notify_one(),
            // Whether the claim is written is found at the next look, after a pause.
            Err(fault) => {
                events::TAKEOVER_FAILED.log(format_args!("shard={shard} epoch={epoch} {fault}"));
            }
        }
    }

    fn own_claim(&self, epoch: u64, beat: u64) -> Claim {
        Claim {
            epoch,
            node: self.settings.node.clone(),
            incarnation: self.hello.incarnation,
            address: self.settings.peer_listen,
            beat,
            unfinished: false,
            millicores: self.millicores(),
        }
    }

    fn millicores(&self) -> u64 {
        (self.settings.cores * 1_000.0) as u64
    }

    async fn write_claim(&self, shard: u32, claim: &Claim, guard: Guard) -> Result<u64, Fault> {
        let mut value = Vec::new();
        if let Err(error) = ciborium::into_writer(claim, &mut value) {
            return Err(Fault::Rejected(error.to_string().into()));
        }
        let append = Append {
            stream: Stream::Claims,
            part: PART,
            records: vec![Record {
                key: Some(claim::key(shard)),
                value,
            }],
            guard,
        };
        let appended = self.parts.store.append(append).await?;
        Ok(appended.end)
    }

    /// Renews the claims of the owned shards.
    fn renew(self: &Arc<Self>) {
        let owners: Vec<Arc<Owner>> = lock(&self.owned).values().cloned().collect();
        for owner in owners {
            let claim = self.own_claim(owner.epoch(), owner.next_beat());
            let node = self.clone();
            tokio::spawn(async move {
                // A renewal that doesn't arrive is followed by the next one.
                let written = node
                    .write_claim(owner.shard(), &claim, Guard::Unconditional)
                    .await;
                node.store_answered(written.is_ok());
            });
        }
    }

    /// Gives up a shard that another process owns.
    pub(crate) fn depose(&self, shard: u32, epoch: u64, reason: &str) {
        let mut owned = lock(&self.owned);
        if owned
            .get(&shard)
            .is_some_and(|owner| owner.epoch() == epoch)
        {
            if let Some(owner) = owned.remove(&shard) {
                owner.end();
            }
            self.parts.metrics.shards.set(owned.len() as i64);
            events::DEPOSED.log(format_args!("shard={shard} epoch={epoch} reason={reason}"));
        }
    }

    /// Gives up all owned shards and tells the others.
    pub(crate) async fn release_all(self: &Arc<Self>) {
        let owners: Vec<Arc<Owner>> = lock(&self.owned).values().cloned().collect();
        for owner in owners {
            let (shard, epoch) = (owner.shard(), owner.epoch());
            owner.flush().await;
            self.depose(shard, epoch, "planned stop");
            self.give_up(shard, epoch, false).await;
        }
    }

    /// Writes that a shard is without an owner, and tells the others. `unfinished` tells that this
    /// process has not begun to act for it.
    pub(crate) async fn give_up(&self, shard: u32, epoch: u64, unfinished: bool) {
        let mut claim = self.own_claim(epoch, u64::MAX);
        claim.unfinished = unfinished;
        claim.node = "".into();
        // If the claim can't be written, it lapses.
        if self
            .write_claim(shard, &claim, Guard::Unconditional)
            .await
            .is_ok()
        {
            lock(&self.claims).take(shard, claim, clock::now().0);
            self.tell_released(shard, epoch);
        }
    }
}
