//! Slot acquisition: requests a slot from the owner of a shard.
//!
//! Follows redirects and changes of the owner until an owner decides or the deadline passes. A
//! grant that can no longer be used is returned to its owner.

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
use crate::report;
use crate::service_request::{Outcome, ServiceRequest};

/// Longest wait for a change of an owner or a link before the next try.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(50);

/// Delay before a redirect is followed, so that two schedulers that redirect to each other don't
/// cause a busy loop.
const REDIRECT_DELAY: Duration = Duration::from_millis(20);

/// Result of a slot acquisition.
pub(crate) enum Decision {
    /// A slot is granted and the grant is registered as in use.
    Granted(Grant),
    /// The request isn't dispatched.
    Ended(Outcome),
}

/// Result of one slot request.
enum Reply {
    /// The slot request was sent and no verdict arrived.
    Lost,
    Unsent,
    Verdict(Verdict),
}

/// State of one slot acquisition.
struct Acquisition<'a> {
    gateway: &'a Gateway,
    service_request: &'a ServiceRequest,
    shard: Id,
    exclude: Vec<Arc<str>>,
    /// Owner named by the last `NotOwner` reply.
    owner_hint: Option<Arc<str>>,
    /// Whether the owner may have recorded the request id for an earlier slot request of this
    /// acquisition, whose grant was not and won't be used.
    may_be_recorded: bool,
}

/// Requests a slot until an owner decides, the deadline passes or the receiver of `reply` is
/// dropped.
pub(crate) async fn acquire(
    gateway: &Gateway,
    service_request: &ServiceRequest,
    shard: &Id,
    exclude: &[Arc<str>],
    reply: &mut oneshot::Sender<Outcome>,
) -> Decision {
    let mut acquisition = Acquisition {
        gateway,
        service_request,
        shard: shard.clone(),
        exclude: exclude.to_vec(),
        owner_hint: None,
        may_be_recorded: false,
    };
    let mut owner_answered = false;
    loop {
        let now = clock::now();
        if now >= service_request.deadline || reply.is_closed() {
            return Decision::Ended(acquisition.deadline_outcome(owner_answered));
        }
        let mut owner_changes = gateway.links.owners.subscribe();
        let Some(peer) = acquisition.select_peer() else {
            wait_for_change(&mut owner_changes, service_request.deadline).await;
            continue;
        };
        let sent = acquisition.new_request(&peer);
        match acquisition
            .request_slot(&peer, &sent, &mut owner_changes, reply)
            .await
        {
            Reply::Unsent => wait_for_change(&mut owner_changes, service_request.deadline).await,
            Reply::Lost => {
                acquisition.may_be_recorded = true;
                wait_for_change(&mut owner_changes, service_request.deadline).await;
            }
            Reply::Verdict(Verdict::NotOwner { owner }) => {
                acquisition.may_be_recorded |= acquisition.is_owner(&peer);
                acquisition.owner_hint = owner.filter(|owner| *owner != peer.hello().node);
                match acquisition.owner_hint {
                    Some(_) => tokio::time::sleep(REDIRECT_DELAY).await,
                    None => wait_for_change(&mut owner_changes, service_request.deadline).await,
                }
            }
            Reply::Verdict(Verdict::NotRun(reason)) => {
                return Decision::Ended(acquisition.not_run_outcome(reason));
            }
            Reply::Verdict(Verdict::Unknown(reason)) => {
                return Decision::Ended(acquisition.unknown_outcome(reason));
            }
            Reply::Verdict(granted @ Verdict::Granted { .. }) => {
                owner_answered = true;
                let Some(grant) = sent.grant(granted) else {
                    continue;
                };
                if !reply.is_closed() && gateway.links.grants.try_use(clock::now(), &grant) {
                    return Decision::Granted(grant);
                }
                events::GRANT_UNUSED.log(format_args!(
                    "shard={shard} epoch={} id={}",
                    grant.epoch, service_request.identity.id
                ));
                gateway.meters.grant_unused();
                acquisition.may_be_recorded = true;
                report::spawn_and_wait(gateway, grant, Finish::Unused, service_request.deadline)
                    .await;
            }
        }
    }
}

impl Acquisition<'_> {
    /// Returns the link for the next slot request: to the scheduler named by the last redirect,
    /// else to the published owner. Without either, returns one of the open links, selected by a
    /// new number; its scheduler may redirect to the owner.
    ///
    /// Returns `None` if the owner released the shard or the link is closed.
    fn select_peer(&mut self) -> Option<Peer> {
        let links = &self.gateway.links;
        if let Some(peer) = self.owner_hint.take().and_then(|name| links.peer(&name)) {
            return Some(peer);
        }
        match links.owners.get(&self.shard) {
            Some(owner) => links.peer(owner.name.as_deref()?),
            None => links.any_peer(self.gateway.next_key().number),
        }
    }

    /// Returns whether the peer is the last known owner of the shard. An owner that lost the
    /// support of a majority of the schedulers while it decided may have recorded the request id.
    fn is_owner(&self, peer: &Peer) -> bool {
        let owner = self.gateway.links.owners.name(&self.shard);
        owner.is_some_and(|owner| owner == peer.hello().node)
    }

    /// Creates the next slot request to `peer`, with a new key.
    fn new_request(&self, peer: &Peer) -> Sent {
        Sent {
            key: self.gateway.next_key(),
            shard: self.shard.clone(),
            owner: peer.hello().node.clone(),
            request: self.service_request.identity.clone(),
            idempotent: self.service_request.idempotent,
            sent_at: clock::now(),
        }
    }

    async fn request_slot(
        &self,
        peer: &Peer,
        sent: &Sent,
        owner_changes: &mut watch::Receiver<u64>,
        reply: &mut oneshot::Sender<Outcome>,
    ) -> Reply {
        let remaining_ms = self.service_request.deadline.since(sent.sent_at);
        let message = Message::Ask {
            shard: self.shard.clone(),
            ask: SlotRequest {
                key: sent.key.clone(),
                request: self.service_request.identity.clone(),
                idempotent: self.service_request.idempotent,
                attempt: self.service_request.attempt,
                remaining_ms,
                exclude: self.exclude.clone(),
            },
        };
        let mut expected_owner = self.gateway.links.owners.get(&self.shard);
        let mut verdict = self.send(peer, sent.clone(), message);
        let deadline = tokio::time::sleep(Duration::from_millis(remaining_ms));
        tokio::pin!(deadline);
        loop {
            tokio::select! {
                verdict = &mut verdict => match verdict {
                    Ok(Ok(verdict)) => return Reply::Verdict(verdict),
                    Ok(Err(error)) if error.is_undelivered() => return Reply::Unsent,
                    _ => break,
                },
                _ = owner_changes.changed() => {
                    // The shard had no known owner and this peer became it. The slot request
                    // continues, because the owner may already have recorded it as dispatched.
                    if expected_owner.is_none() && self.is_owner(peer) {
                        expected_owner = self.gateway.links.owners.get(&self.shard);
                    }
                    // The owner changed; the verdict of the previous one may never arrive.
                    if self.gateway.links.owners.get(&self.shard) != expected_owner {
                        break;
                    }
                }
                () = &mut deadline => break,
                () = reply.closed() => break,
            }
        }
        self.withdraw(peer, &sent.key);
        Reply::Lost
    }

    /// Sends the slot request. A grant that arrives after the receiver is dropped is returned
    /// unused.
    fn send(
        &self,
        peer: &Peer,
        sent: Sent,
        message: Message,
    ) -> oneshot::Receiver<Result<Verdict, Error>> {
        let (sender, receiver) = oneshot::channel();
        let timeout = Duration::from_millis(
            self.service_request.deadline.since(sent.sent_at) + GRANT_VALID_MS,
        );
        let (gateway, peer) = (self.gateway.clone(), peer.clone());
        self.gateway.runtime.spawn(async move {
            let verdict = peer.call(message, timeout).await.map(verdict_from_reply);
            if let Err(Ok(verdict)) = sender.send(verdict)
                && let Some(grant) = sent.grant(verdict)
            {
                report::send(&gateway, grant, Finish::Unused, 0).await;
            }
        });
        receiver
    }

    fn withdraw(&self, peer: &Peer, key: &Key) {
        events::VERDICT_LOST.log(format_args!(
            "shard={} peer={} id={}",
            self.shard,
            peer.hello().node,
            self.service_request.identity.id
        ));
        // An error means that the link is closed, which withdraws the request as well.
        let _ = peer.notify(Message::Withdraw {
            shard: self.shard.clone(),
            key: key.clone(),
        });
    }

    /// Returns the outcome when the owner rejects the request. The owner guarantees `not-run` only
    /// for ids that it has not recorded, and it records only those of non-idempotent requests.
    fn not_run_outcome(&self, reason: NotRun) -> Outcome {
        match self.service_request.idempotent {
            true => self
                .service_request
                .unsent_outcome(reason, Unknown::EarlierAttempt),
            false => Outcome::NotRun(reason),
        }
    }

    /// Returns the outcome when the owner reports that the request may have run. After an earlier
    /// slot request of this acquisition, the owner may have recorded the id only for that one.
    fn unknown_outcome(&self, reason: Unknown) -> Outcome {
        match reason {
            Unknown::AlreadyDispatched if self.may_be_recorded => {
                self.service_request.unsent_outcome(NotRun::NoOwner, reason)
            }
            _ => Outcome::Unknown(reason),
        }
    }

    /// Returns the outcome when the deadline passed, or the caller disconnected, before a grant
    /// could be used.
    fn deadline_outcome(&self, owner_answered: bool) -> Outcome {
        let has_owner = owner_answered || self.gateway.links.owners.name(&self.shard).is_some();
        match has_owner {
            true => self
                .service_request
                .unsent_outcome(NotRun::Deadline, Unknown::Deadline),
            false => self
                .service_request
                .unsent_outcome(NotRun::NoOwner, Unknown::NoOwner),
        }
    }
}

/// Slot request as it was sent.
#[derive(Clone)]
struct Sent {
    key: Key,
    shard: Id,
    owner: Arc<str>,
    request: Request,
    idempotent: bool,
    sent_at: Instant,
}

impl Sent {
    /// Returns the grant in a verdict.
    ///
    /// The owner still had the support of a majority of the schedulers `waited_ms` after it
    /// received the slot request, which is at least that long after the request was sent. The
    /// validity of the grant starts there.
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
            expires_at: self.sent_at + waited_ms + GRANT_VALID_MS,
        })
    }
}

fn verdict_from_reply(reply: Message) -> Verdict {
    match reply {
        Message::Verdict(verdict) => verdict,
        Message::NotOwner { owner } => Verdict::NotOwner { owner },
        _ => Verdict::NotOwner { owner: None },
    }
}

/// Waits for a change of an owner or a link, for at most [`RETRY_DELAY_MAX`] and not beyond
/// `deadline`.
async fn wait_for_change(owner_changes: &mut watch::Receiver<u64>, deadline: Instant) {
    let remaining = Duration::from_millis(deadline.since(clock::now()));
    // A timeout is not an error: the caller tries again.
    let _ = tokio::time::timeout(RETRY_DELAY_MAX.min(remaining), owner_changes.changed()).await;
}
