//! Who owns which shard: claims in the platform's log, without I/O.
//!
//! A claim is appended on the condition that nothing was written since the claimant read the stream,
//! so one of several claimants wins. The owner renews its claim; others take a shard over when its
//! claim has not changed for [`EXPIRY_MS`]. Two processes may believe for a while that they own a
//! shard: the epoch fences the journal and the workers' tokens fence orders, so that only the later
//! one acts.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Time between renewals in milliseconds.
pub const RENEW_MS: u64 = 250;

/// Time without a change after which a claim may be taken over, in milliseconds. Covers two lost
/// renewals and a slow one.
pub const EXPIRY_MS: u64 = 1_000;

/// The same for an owner whose link was closed and can't be dialled again. One lost renewal is not
/// waited for.
pub const UNLINKED_EXPIRY_MS: u64 = 650;

/// Time between two looks at the claims in milliseconds.
pub const POLL_MS: u64 = 300;

/// Time between two looks of a VM that is weaker than the owners while its links to them are open, in
/// milliseconds. A stronger VM would take over before it.
const STANDBY_POLL_MS: u64 = 1_200;

/// Shortest time between two looks in milliseconds, so that a shard that can't be claimed costs few calls.
const POLL_MIN_MS: u64 = 10;

/// Time after a failed look for which claims are not taken over, in milliseconds: their owners could
/// not renew them either.
const GRACE_MS: u64 = 700;

/// Pause of a candidate for each shard that it owns, in milliseconds, so that shards spread.
const OWNED_SHARD_DELAY_MS: u64 = 400;

/// Pause of a candidate with one core in milliseconds. Those with less wait longer, so that an owner
/// sits on one of the stronger VMs.
const CORE_DELAY_MS: u64 = 40;

/// Largest pause of a candidate that follows from its name, in milliseconds. Keeps candidates from
/// writing at the same time.
const JITTER_MAX_MS: u64 = 100;

/// A claim of a shard.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// Epoch; each claim of another owner has a higher one.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// Name of the owner; empty if the shard was given up.
    #[serde(rename = "n")]
    pub node: Arc<str>,
    /// Incarnation of the owner.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Address of the owner for links.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Number of the renewal; 0 until the owner has begun to act.
    #[serde(rename = "b")]
    pub renewal: u64,
    /// Whether the shard was given up before its owner began to act, so that an older one may still
    /// act.
    #[serde(default, rename = "u", skip_serializing_if = "std::ops::Not::not")]
    pub unfinished: bool,
    /// Processor time of the owner's VM in thousandths of a core.
    #[serde(default, rename = "m")]
    pub millicores: u64,
}

/// A claim as seen by this process.
#[derive(Clone, Debug)]
struct Observation {
    claim: Claim,
    changed_ms: u64,
    /// Whether the owner told that it gave the shard up, which it may be unable to write.
    released: bool,
}

/// All claims.
#[derive(Debug, Default)]
pub struct Claims {
    observed: BTreeMap<u32, Observation>,
    caught_up_ms: Option<u64>,
    grace_until_ms: u64,
    candidate_since: BTreeMap<u32, u64>,
    next_due_ms: Option<u64>,
}

/// Returns the key of a shard's claim.
#[must_use]
pub fn key(shard: u32) -> Arc<str> {
    format!("shard-{shard}").into()
}

/// Returns the shard of a claim's key.
#[must_use]
pub fn shard_of(key: &str) -> Option<u32> {
    key.strip_prefix("shard-")?.parse().ok()
}

impl Claims {
    /// Takes a claim that was read. Renewals of an older epoch are ignored.
    pub fn apply(&mut self, shard: u32, claim: Claim, now_ms: u64) {
        if let Some(observation) = self.observed.get(&shard)
            && (claim.epoch, claim.renewal) <= (observation.claim.epoch, observation.claim.renewal)
            && !(claim.epoch == observation.claim.epoch && claim.node.is_empty())
        {
            return;
        }
        let same = |observation: &Observation| {
            observation.claim.epoch == claim.epoch && observation.released
        };
        let released = self.observed.get(&shard).is_some_and(same);
        let observation = Observation {
            claim,
            changed_ms: now_ms,
            released,
        };
        self.observed.insert(shard, observation);
    }

    /// Notes that the owner of `epoch` told that it gave up a shard.
    pub fn released(&mut self, shard: u32, epoch: u64) {
        if let Some(observation) = self.observed.get_mut(&shard)
            && observation.claim.epoch == epoch
        {
            observation.released = true;
        }
    }

    /// Notes a look that reached the end of the stream.
    pub fn caught_up(&mut self, now_ms: u64) {
        let since = self.caught_up_ms.map_or(0, |at| now_ms.saturating_sub(at));
        if since > EXPIRY_MS - GRACE_MS + POLL_MS {
            self.grace_until_ms = now_ms + GRACE_MS;
        }
        self.caught_up_ms = Some(now_ms);
    }

    /// Returns the claim of a shard.
    #[must_use]
    pub fn get(&self, shard: u32) -> Option<&Claim> {
        self.observed
            .get(&shard)
            .map(|observation| &observation.claim)
    }

    /// Tells whether the owner of a shard has surely ended: it gave the shard up in writing, was an
    /// earlier incarnation of this process, or never was.
    #[must_use]
    pub fn owner_has_ended(&self, shard: u32, node: &str, incarnation: u64) -> bool {
        self.get(shard).is_none_or(|claim| {
            let released = claim.node.is_empty() && !claim.unfinished;
            let own = &*claim.node == node && claim.incarnation != incarnation;
            released || (own && claim.renewal > 0)
        })
    }

    /// Returns the owners' addresses with their names.
    #[must_use]
    pub fn owners(&self) -> BTreeMap<SocketAddr, Arc<str>> {
        let claims = self.observed.values().map(|observation| &observation.claim);
        claims
            .filter(|claim| !claim.node.is_empty())
            .map(|claim| (claim.address, claim.node.clone()))
            .collect()
    }

    /// Returns the shards among `wanted` to claim now, each with the epoch to claim.
    pub fn due(
        &mut self,
        wanted: &BTreeSet<u32>,
        node: &str,
        incarnation: u64,
        millicores: u64,
        unlinked: &BTreeSet<SocketAddr>,
        now_ms: u64,
    ) -> Vec<(u32, u64)> {
        self.next_due_ms = None;
        if self.caught_up_ms.is_none() {
            return Vec::new();
        }
        let own = |observation: &&Observation| {
            observation.claim.incarnation == incarnation && &*observation.claim.node == node
        };
        let owned = self.observed.values().filter(own).count() as u64;
        let weak_ms = CORE_DELAY_MS * 1_000 / millicores.max(1);
        let mut due = Vec::new();
        for &shard in wanted {
            let (availability, epoch) = self.availability(shard, node, incarnation, unlinked);
            let since = match availability {
                Availability::Never => {
                    self.candidate_since.remove(&shard);
                    continue;
                }
                Availability::Now => *self.candidate_since.entry(shard).or_insert(now_ms),
                Availability::At(at_ms) => {
                    self.candidate_since.remove(&shard);
                    at_ms
                }
            };
            let name = rosemaryworks_core::partition::hash(&[node, &key(shard)]) % JITTER_MAX_MS;
            let due_ms = since + name + weak_ms + OWNED_SHARD_DELAY_MS * owned;
            if now_ms >= due_ms {
                due.push((shard, epoch));
            } else {
                let earliest = self.next_due_ms.unwrap_or(due_ms);
                self.next_due_ms = Some(earliest.min(due_ms));
            }
        }
        due
    }

    /// Returns the time until the next look in milliseconds: sooner than usual if a shard is to be
    /// claimed before. `linked` tells whether this process has open links to all owners.
    #[must_use]
    pub fn pause_ms(&self, millicores: u64, linked: bool, now_ms: u64) -> u64 {
        let owned =
            |observation: &Observation| !observation.claim.node.is_empty() && !observation.released;
        let weaker = |observation: &Observation| {
            owned(observation) && millicores < observation.claim.millicores
        };
        let standby = linked && !self.observed.is_empty() && self.observed.values().all(weaker);
        let usual_ms = match standby {
            true => STANDBY_POLL_MS,
            false => POLL_MS,
        };
        let due = self.next_due_ms.map(|at| at.saturating_sub(now_ms));
        match due {
            Some(0) | None => usual_ms,
            Some(ms) => ms.clamp(POLL_MIN_MS, usual_ms),
        }
    }

    /// Tells when a shard may be claimed, and with which epoch.
    fn availability(
        &self,
        shard: u32,
        node: &str,
        incarnation: u64,
        unlinked: &BTreeSet<SocketAddr>,
    ) -> (Availability, u64) {
        let Some(observation) = self.observed.get(&shard) else {
            return (Availability::Now, 1);
        };
        let claim = &observation.claim;
        let epoch = claim.epoch + 1;
        let released = claim.node.is_empty() || observation.released;
        // An earlier incarnation of this process is gone.
        let own = &*claim.node == node && claim.incarnation != incarnation;
        if released || own {
            return (Availability::Now, epoch);
        }
        if claim.incarnation == incarnation {
            return (Availability::Never, epoch);
        }
        let lapse_ms = match unlinked.contains(&claim.address) {
            true => UNLINKED_EXPIRY_MS,
            false => EXPIRY_MS,
        };
        let silent_ms = (observation.changed_ms + lapse_ms).max(self.grace_until_ms);
        (Availability::At(silent_ms), epoch)
    }
}

/// When a shard may be claimed.
enum Availability {
    /// From this time on, unless its claim is renewed.
    At(u64),
    /// This process owns it.
    Never,
    /// Since it was given up.
    Now,
}
