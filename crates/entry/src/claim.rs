//! Leader election per shard: claims in the platform's log, without I/O.
//!
//! A claim is a conditional append: it succeeds only if the stream has not grown since the claimant
//! read it, so at most one of several claimants wins. The owner renews its claim, and a process that
//! takes the shard over does so while it makes progress; other processes take the shard over when the
//! claim has not changed for [`EXPIRY_MS`]. Two processes may regard
//! themselves as the owner for a while: the epoch fences the journal and the fencing tokens fence
//! commands to workers, so that only the later owner has an effect.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Time between renewals in milliseconds.
pub const RENEW_MS: u64 = 250;

/// Time without a renewal after which a claim expires, in milliseconds. Covers two lost renewals
/// and a slow one.
pub const EXPIRY_MS: u64 = 1_000;

/// The same if the link to the owner was open before and is closed now. Doesn't cover a lost
/// renewal.
pub const UNLINKED_EXPIRY_MS: u64 = 650;

/// Time after the last progress of a takeover in which its claim is renewed, in milliseconds. The
/// claim then lasts for [`EXPIRY_MS`] after the last renewal, which covers a call whose answer is
/// lost and its retry.
pub const PROGRESS_MS: u64 = 800;

/// Time between two reads of the claims, in milliseconds.
pub const POLL_MS: u64 = 300;

/// Time between two reads of the claims on a VM that is weaker than all owners and has open links
/// to them, in milliseconds. A stronger VM would take over first.
const STANDBY_POLL_MS: u64 = 1_200;

/// Shortest time between two reads of the claims, in milliseconds, so that a shard that can't be
/// claimed costs few calls.
const POLL_MIN_MS: u64 = 10;

/// Time after a gap in the reads in which no claim expires, in milliseconds: the owners could not
/// renew their claims either.
const GRACE_MS: u64 = 700;

/// Delay of a candidate for each shard that it owns, in milliseconds. Spreads shards over
/// processes.
const OWNED_SHARD_DELAY_MS: u64 = 400;

/// Delay of a candidate with one core, in milliseconds. The delay is inversely proportional to the
/// number of cores, so that stronger VMs become owners.
const CORE_DELAY_MS: u64 = 40;

/// Factor on the CPU of a claimant's VM from which another VM counts as stronger. Claims can't go round
/// in a circle, because each step multiplies the CPU.
const STRONGER_FACTOR: u64 = 2;

/// Upper bound of the delay that is derived from the candidate's name, in milliseconds. Keeps
/// candidates from writing at the same time.
const JITTER_MAX_MS: u64 = 100;

/// A claim of a shard.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// Epoch; each new owner has a higher one.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// Name of the owner; empty if the shard was released.
    #[serde(rename = "n")]
    pub node: Arc<str>,
    /// Incarnation of the owner.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Address at which the owner accepts links.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Number of the renewal; 0 in the claim itself, `u64::MAX` in a release.
    #[serde(rename = "b")]
    pub renewal: u64,
    /// Whether an earlier owner may still be active: the takeover isn't complete, or the shard was
    /// released before it was.
    #[serde(default, rename = "u", skip_serializing_if = "std::ops::Not::not")]
    pub unfinished: bool,
    /// CPU of the owner's VM in thousandths of a core.
    #[serde(default, rename = "m")]
    pub millicores: u64,
    /// Whether the claimant still takes the shard over and serves nothing.
    #[serde(default, rename = "t", skip_serializing_if = "std::ops::Not::not")]
    pub taking_over: bool,
}

/// A claim as last observed by this process.
#[derive(Clone, Debug)]
struct Observation {
    claim: Claim,
    changed_ms: u64,
    /// Time at which the epoch was first seen.
    claimed_ms: u64,
    /// Whether the owner announced the release, which it may be unable to write to the log.
    released: bool,
}

impl Observation {
    /// Returns whether a candidate need not wait for the takeover under way. On a weak VM it may last
    /// for seconds and make progress all the time, because its link and CPU are slow.
    fn yields_to(&self, millicores: u64) -> bool {
        let stronger = self.claim.millicores.saturating_mul(STRONGER_FACTOR);
        self.claim.taking_over && millicores >= stronger
    }
}

/// A process that may claim shards.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Name of the process.
    pub node: &'a str,
    /// Incarnation of the process.
    pub incarnation: u64,
    /// CPU of its VM in thousandths of a core.
    pub millicores: u64,
    /// Shards that it owns or takes over.
    pub held: &'a BTreeSet<u32>,
}

/// A takeover under way. Its claim is renewed while it makes progress: a takeover may take longer
/// than a claim lasts, and one that stands still must leave the shard to another process.
#[derive(Debug)]
pub struct Takeover {
    epoch: u64,
    /// Time of the last progress; `None` if the takeover has ended.
    progressed_ms: Option<u64>,
    renewals: u64,
}

impl Takeover {
    /// Creates the takeover of a shard that was claimed at `now_ms`.
    #[must_use]
    pub fn new(epoch: u64, now_ms: u64) -> Self {
        Self {
            epoch,
            progressed_ms: Some(now_ms),
            renewals: 0,
        }
    }

    /// Returns the epoch of the claim.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Records that a part of the takeover was completed.
    pub fn progressed(&mut self, now_ms: u64) {
        self.progressed_ms = self.progressed_ms.map(|_| now_ms);
    }

    /// Ends the takeover; its claim is renewed no more.
    pub fn end(&mut self) {
        self.progressed_ms = None;
    }

    /// Returns the number of the next renewal of the claim; `None` if the takeover stands still.
    pub fn next_renewal(&mut self, now_ms: u64) -> Option<u64> {
        let still_ms = now_ms.saturating_sub(self.progressed_ms?);
        if still_ms >= PROGRESS_MS {
            return None;
        }
        self.renewals += 1;
        Some(self.renewals)
    }

    /// Returns the number of the last renewal, from which those of the owner continue.
    #[must_use]
    pub fn renewals(&self) -> u64 {
        self.renewals
    }
}

/// The observed claims of all shards.
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
    /// Applies a claim read from the log. A claim that is not newer than the observed one is
    /// ignored, except a release of the same epoch.
    pub fn apply(&mut self, shard: u32, claim: Claim, now_ms: u64) {
        if let Some(observation) = self.observed.get(&shard)
            && (claim.epoch, claim.renewal) <= (observation.claim.epoch, observation.claim.renewal)
            && !(claim.epoch == observation.claim.epoch && claim.node.is_empty())
        {
            return;
        }
        let already_released = |observation: &Observation| {
            observation.claim.epoch == claim.epoch && observation.released
        };
        let released = self.observed.get(&shard).is_some_and(already_released);
        let same_epoch = |observation: &&Observation| observation.claim.epoch == claim.epoch;
        let earlier = self.observed.get(&shard).filter(same_epoch);
        let observation = Observation {
            claimed_ms: earlier.map_or(now_ms, |earlier| earlier.claimed_ms),
            claim,
            changed_ms: now_ms,
            released,
        };
        self.observed.insert(shard, observation);
    }

    /// Records that the owner of `epoch` announced the release of a shard.
    pub fn released(&mut self, shard: u32, epoch: u64) {
        if let Some(observation) = self.observed.get_mut(&shard)
            && observation.claim.epoch == epoch
        {
            observation.released = true;
        }
    }

    /// Records that a read reached the end of the stream. After a gap since the last such read, no
    /// claim expires for a while, because the owners could not renew theirs either.
    pub fn caught_up(&mut self, now_ms: u64) {
        let since = self.caught_up_ms.map_or(0, |at| now_ms.saturating_sub(at));
        if since > EXPIRY_MS - GRACE_MS + POLL_MS {
            self.grace_until_ms = now_ms + GRACE_MS;
        }
        self.caught_up_ms = Some(now_ms);
    }

    /// Returns whether the claims have been read to their end since this process started.
    #[must_use]
    pub fn is_caught_up(&self) -> bool {
        self.caught_up_ms.is_some()
    }

    /// Returns the claim of a shard.
    #[must_use]
    pub fn get(&self, shard: u32) -> Option<&Claim> {
        self.observed
            .get(&shard)
            .map(|observation| &observation.claim)
    }

    /// Returns whether the owner of a shard has certainly ended: it wrote the release, was an
    /// earlier incarnation of this process that had completed its takeover, or never existed.
    #[must_use]
    pub fn owner_has_ended(&self, shard: u32, node: &str, incarnation: u64) -> bool {
        self.get(shard).is_none_or(|claim| {
            let released = claim.node.is_empty() && !claim.unfinished;
            let own = &*claim.node == node && claim.incarnation != incarnation;
            released || (own && claim.renewal > 0 && !claim.unfinished)
        })
    }

    /// Returns the addresses of the owners with their names.
    #[must_use]
    pub fn owners(&self) -> BTreeMap<SocketAddr, Arc<str>> {
        let claims = self.observed.values().map(|observation| &observation.claim);
        claims
            .filter(|claim| !claim.node.is_empty())
            .map(|claim| (claim.address, claim.node.clone()))
            .collect()
    }

    /// Returns the shards among `wanted` that `candidate` should claim now, each with the epoch for
    /// the claim.
    pub fn due(
        &mut self,
        wanted: &BTreeSet<u32>,
        candidate: Candidate<'_>,
        unlinked: &BTreeSet<SocketAddr>,
        now_ms: u64,
    ) -> Vec<(u32, u64)> {
        let Candidate {
            node,
            incarnation,
            millicores,
            held,
        } = candidate;
        self.next_due_ms = None;
        if self.caught_up_ms.is_none() {
            return Vec::new();
        }
        let own = |observation: &&Observation| {
            observation.claim.incarnation == incarnation && &*observation.claim.node == node
        };
        let owned = self.observed.values().filter(own).count() as u64;
        let core_delay_ms = CORE_DELAY_MS * 1_000 / millicores.max(1);
        let mut due = Vec::new();
        for &shard in wanted {
            if held.contains(&shard) {
                self.candidate_since.remove(&shard);
                continue;
            }
            let (availability, epoch) = self.availability(shard, &candidate, unlinked);
            let since = match availability {
                Availability::Now => *self.candidate_since.entry(shard).or_insert(now_ms),
                Availability::At(at_ms) => {
                    self.candidate_since.remove(&shard);
                    at_ms
                }
            };
            let jitter_ms =
                rosemaryworks_core::partition::hash(&[node, &key(shard)]) % JITTER_MAX_MS;
            let due_ms = since + jitter_ms + core_delay_ms + OWNED_SHARD_DELAY_MS * owned;
            if now_ms >= due_ms {
                due.push((shard, epoch));
            } else {
                let earliest = self.next_due_ms.unwrap_or(due_ms);
                self.next_due_ms = Some(earliest.min(due_ms));
            }
        }
        due
    }

    /// Returns the time until the next read of the claims in milliseconds; it is shorter than usual
    /// if a shard becomes due earlier. `linked` says whether this process has open links to all
    /// owners.
    #[must_use]
    pub fn pause_ms(&self, millicores: u64, linked: bool, now_ms: u64) -> u64 {
        let owned =
            |observation: &Observation| !observation.claim.node.is_empty() && !observation.released;
        let weaker = |observation: &Observation| {
            owned(observation) && millicores < observation.claim.millicores
        };
        let standby = linked && !self.observed.is_empty() && self.observed.values().all(weaker);
        let default_ms = match standby {
            true => STANDBY_POLL_MS,
            false => POLL_MS,
        };
        let due = self.next_due_ms.map(|at| at.saturating_sub(now_ms));
        match due {
            Some(0) | None => default_ms,
            Some(ms) => ms.clamp(POLL_MIN_MS, default_ms),
        }
    }

    /// Returns when a shard may be claimed, and the epoch for the claim.
    fn availability(
        &self,
        shard: u32,
        candidate: &Candidate<'_>,
        unlinked: &BTreeSet<SocketAddr>,
    ) -> (Availability, u64) {
        let Some(observation) = self.observed.get(&shard) else {
            return (Availability::Now, 1);
        };
        let claim = &observation.claim;
        let epoch = claim.epoch + 1;
        let released = claim.node.is_empty() || observation.released;
        // An earlier incarnation of this process has ended.
        let own = &*claim.node == candidate.node && claim.incarnation != candidate.incarnation;
        if released || own {
            return (Availability::Now, epoch);
        }
        // An own claim that this process doesn't hold was written without an answer, or its takeover
        // failed. It expires like any other.
        let expiry_ms = match unlinked.contains(&claim.address) {
            true => UNLINKED_EXPIRY_MS,
            false => EXPIRY_MS,
        };
        let since_ms = match observation.yields_to(candidate.millicores) {
            true => observation.claimed_ms,
            false => observation.changed_ms,
        };
        let expires_ms = (since_ms + expiry_ms).max(self.grace_until_ms);
        (Availability::At(expires_ms), epoch)
    }
}

/// When a shard may be claimed.
enum Availability {
    /// From this time on, unless the claim is renewed.
    At(u64),
    /// The shard has no owner.
    Now,
}
