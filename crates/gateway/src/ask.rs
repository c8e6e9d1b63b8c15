//! Asks the owner of a shard for a slot.

use std::sync::Arc;
use std::time::Duration;

use rosemaryworks_core::outcome::{Finish, NotRun, Request, Unknown};
use rosemaryworks_core::routing::{Key, SlotRequest};
use rosemaryworks_core::shard::Id;
use rosemaryworks_core::time::Instant;
use rosemaryworks_core::timing::GRANT_VALID_MS;
use rosemaryworks_node::clock;
use rosemaryworks_wire::link::{Error, Peer};
use rosemaryworks_wire::{Message, Verdict};
use tokio::sync::{oneshot, watch};

use crate::events;
use crate::gateway::Gateway;
use crate::grants::Grant;
use crate::inquiry::{Inquiry, Outcome};
use crate::report;

/// Pause before an owner is looked for again.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Pause before a scheduler that was named as the owner is asked, so that two schedulers that name
/// each other are not asked without end.
const HINT_DELAY: Duration = Duration::from_millis(20);

/// What became of the asks.
pub(crate) enum Asked {
    /// The grant is in use.
    Granted(Grant),
    /// The request is not dispatched.
    Ended(Outcome),
}

/// What became of one ask.
enum Replied {
    /// The ask was sent and its verdict is lost.
    Lost,
    Unsent,
    Verdict(Verdict),
}

/// One request's search for a slot.
struct Search<'a> {
    gateway: &'a Gateway,
    inquiry: &'a Inquiry,
    shard: Id,
    exclude: Vec<Arc<str>>,
    /// Owner named by the last `NotOwner`.
    hint: Option<Arc<str>>,
    /// Whether the owner may know the id from an earlier ask of this search, whose grant was not and
    /// won't be used.
    unused: bool,
}

/// Asks for a slot until an owner decides, the deadline passes or nobody waits for `reply`.
pub(crate) async fn obtain(
    gateway: &Gateway,
    inquiry: &Inquiry,
    shard: &Id,
    exclude: &[Arc<str>],
    reply: &mut oneshot::Sender<Outcome>,
) -> Asked {
    let mut search = Search {
        gateway,
        inquiry,
        shard: shard.clone(),
        exclude: exclude.to_vec(),
        hint: None,
        unused: false,
    };
    let mut owner_seen = false;
    loop {
        let now = clock::now();
        if now >= inquiry.deadline || reply.is_closed() {
            return Asked::Ended(search.expired(owner_seen));
        }
        let mut changes = gateway.links.owners.changes();
        let Some(peer) = search.peer() else {
            pause(&mut changes, inquiry.deadline).await;
            continue;
        };
        let sent = search.sent(&peer);
        match search.ask(&peer, &sent, &mut changes, reply).await {
            Replied::Unsent => pause(&mut changes, inquiry.deadline).await,
            Replied::Lost => {
                search.unused = true;
                pause(&mut changes, inquiry.deadline).await;
            }
            Replied::Verdict(Verdict::NotOwner { owner }) => {
                search.unused |= search.is_owner(&peer);
                search.hint = owner.filter(|owner| *owner != peer.hello().node);
                match search.hint {
                    Some(_) => tokio::time::sleep(HINT_DELAY).await,
                    None => pause(&mut changes, inquiry.deadline).await,
                }
            }
            Replied::Verdict(Verdict::NotRun(reason)) => {
                return Asked::Ended(search.refused(reason));
            }
            Replied::Verdict(Verdict::Unknown(reason)) => {
                return Asked::Ended(search.unsure(reason));
            }
            Replied::Verdict(granted @ Verdict::Granted { .. }) => {
                owner_seen = true;
                let Some(grant) = sent.grant(granted) else {
                    continue;
                };
                if !reply.is_closed() && gateway.links.grants.use_at(clock::now(), &grant) {
                    return Asked::Granted(grant);
                }
                events::GRANT_UNUSED.log(format_args!(
                    "shard={shard} epoch={} id={}",
                    grant.epoch, inquiry.request.id
                ));
                gateway.meters.unused();
                search.unused = true;
                report::briefly(gateway, grant, Finish::Unused, inquiry.deadline).await;
            }
        }
    }
}

impl Search<'_> {
    /// Returns the link to ask over: to the owner, or else to any scheduler, which may know it.
    fn peer(&mut self) -> Option<Peer> {
        let links = &self.gateway.links;
        if let Some(peer) = self.hint.take().and_then(|name| links.peer(&name)) {
            return Some(peer);
        }
        match links.owners.get(&self.shard) {
            Some(owner) => links.peer(owner.name.as_deref()?),
            None => links.any(self.gateway.key().number),
        }
    }

    /// Tells whether the peer owns the shard as far as is known. An owner that lost its support
    /// while it decided may have recorded the id.
    fn is_owner(&self, peer: &Peer) -> bool {
        let owner = self.gateway.links.owners.name(&self.shard);
        owner.is_some_and(|owner| owner == peer.hello().node)
    }

    /// Numbers an ask that is about to be sent to `peer`.
    fn sent(&self, peer: &Peer) -> Sent {
        Sent {
            key: self.gateway.key(),
            shard: self.shard.clone(),
            owner: peer.hello().node.clone(),
            request: self.inquiry.request.clone(),
            idempotent: self.inquiry.idempotent,
            at: clock::now(),
        }
    }

    async fn ask(
        &self,
        peer: &Peer,
        sent: &Sent,
        changes: &mut watch::Receiver<u64>,
        reply: &mut oneshot::Sender<Outcome>,
    ) -> Replied {
        let remaining_ms = self.inquiry.deadline.since(sent.at);
        let call = Message::Ask {
            shard: self.shard.clone(),
            ask: SlotRequest {
                key: sent.key.clone(),
                request: self.inquiry.request.clone(),
                idempotent: self.inquiry.idempotent,
                attempt: self.inquiry.attempt,
                remaining_ms,
                exclude: self.exclude.clone(),
            },
        };
        let mut asked = self.gateway.links.owners.get(&self.shard);
        let mut verdict = self.call(peer, sent.clone(), call);
        let deadline = tokio::time::sleep(Duration::from_millis(remaining_ms));
        tokio::pin!(deadline);
        loop {
            tokio::select! {
                verdict = &mut verdict => match verdict {
                    Ok(Ok(verdict)) => return Replied::Verdict(verdict),
                    Ok(Err(error)) if error.is_undelivered() => return Replied::Unsent,
                    _ => break,
                },
                _ = changes.changed() => {
                    // First news of an owner, and it is the peer asked: an ask withdrawn now may
                    // be recorded as dispatched already.
                    if asked.is_none() && self.is_owner(peer) {
                        asked = self.gateway.links.owners.get(&self.shard);
                    }
                    // Another owner in place of the one asked: its verdict may never come.
                    if self.gateway.links.owners.get(&self.shard) != asked {
                        break;
                    }
                }
                () = &mut deadline => break,
                () = reply.closed() => break,
            }
        }
        self.withdraw(peer, &sent.key);
        Replied::Lost
    }

    /// Sends the ask. A grant that arrives after the search stopped waiting is returned unused.
    fn call(
        &self,
        peer: &Peer,
        sent: Sent,
        call: Message,
    ) -> oneshot::Receiver<Result<Verdict, Error>> {
        let (sender, receiver) = oneshot::channel();
        let timeout = Duration::from_millis(self.inquiry.deadline.since(sent.at) + GRANT_VALID_MS);
        let (gateway, peer) = (self.gateway.clone(), peer.clone());
        self.gateway.runtime.spawn(async move {
            let verdict = peer.call(call, timeout).await.map(verdict_of);
            if let Err(Ok(verdict)) = sender.send(verdict)
                && let Some(grant) = sent.grant(verdict)
            {
                report::end(&gateway, grant, Finish::Unused, 0).await;
            }
        });
        receiver
    }

    fn withdraw(&self, peer: &Peer, key: &Key) {
        events::VERDICT_LOST.log(format_args!(
            "shard={} peer={} id={}",
            self.shard,
            peer.hello().node,
            self.inquiry.request.id
        ));
        // A closed link tells the owner as much.
        let _ = peer.notify(Message::Withdraw {
            shard: self.shard.clone(),
            key: key.clone(),
        });
    }

    /// Returns the outcome when the owner refuses. It vouches for fresh ids only, and remembers only
    /// those of non-idempotent requests.
    fn refused(&self, reason: NotRun) -> Outcome {
        match self.inquiry.idempotent {
            true => self.inquiry.not_sent(reason, Unknown::EarlierAttempt),
            false => Outcome::NotRun(reason),
        }
    }

    /// Returns the outcome when the owner says that the request may have run. If this search had an
    /// earlier ask, the owner may know the id only from there.
    fn unsure(&self, reason: Unknown) -> Outcome {
        match reason {
            Unknown::AlreadyDispatched if self.unused => {
                self.inquiry.not_sent(NotRun::NoOwner, reason)
            }
            _ => Outcome::Unknown(reason),
        }
    }

    /// Returns the outcome when the deadline passed before a grant could be used.
    fn expired(&self, owner_seen: bool) -> Outcome {
        let owner = owner_seen || self.gateway.links.owners.name(&self.shard).is_some();
        match owner {
            true => self.inquiry.not_sent(NotRun::Deadline, Unknown::Deadline),
            false => self.inquiry.not_sent(NotRun::NoOwner, Unknown::NoOwner),
        }
    }
}

/// An ask as it was sent.
#[derive(Clone)]
struct Sent {
    key: Key,
    shard: Id,
    owner: Arc<str>,
    request: Request,
    idempotent: bool,
    at: Instant,
}

impl Sent {
    /// Returns the grant of a verdict.
    ///
    /// The owner held support `waited_ms` after it received the ask, hence at least that long after
    /// the ask was sent. The validity counts from there.
    fn grant(&self, verdict: Verdict) -> Option<Grant> {
        let Verdict::Granted {
            epoch,
            slot,
            instance,
            waited_ms,
        } = verdict
        else {
            return None;
        };
        Some(Grant {
            key: self.key.clone(),
            shard: self.shard.clone(),
            epoch,
            owner: self.owner.clone(),
            slot,
            instance,
            request: self.request.clone(),
            idempotent: self.idempotent,
            expires: self.at + waited_ms + GRANT_VALID_MS,
        })
    }
}

fn verdict_of(reply: Message) -> Verdict {
    match reply {
        Message::Verdict(verdict) => verdict,
        Message::NotOwner { owner } => Verdict::NotOwner { owner },
        _ => Verdict::NotOwner { owner: None },
    }
}

/// Waits for news of an owner or a link, but not long.
async fn pause(changes: &mut watch::Receiver<u64>, deadline: Instant) {
    let left = Duration::from_millis(deadline.since(clock::now()));
    // The time limit passes in the normal course.
    let _ = tokio::time::timeout(RETRY_DELAY.min(left), changes.changed()).await;
}
