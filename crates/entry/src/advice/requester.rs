//! Advice requests of an owner, each sent through the VM with the shortest queue.

use std::pin::pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rosemaryworks_node::{clock, late};
use rosemaryworks_wire::Message;
use rosemaryworks_wire::link::Peer;
use rosemaryworks_wire::workflow::{Advice, AdviceResult, Message as Workflow, Terms};
use rosemaryworks_workflow::{AdviceLoad, AdviceRequest, SHORT_ADVICE_MS};

use super::choice::{Assignment, Choice};
use super::service::{Call, Service};
use crate::events;
use crate::port::Permits;

/// Time beyond the expected one after which a VM without a reply counts as silent, in milliseconds.
/// Short, because another VM may answer sooner.
const SILENT_SLACK_MS: u64 = 400;

/// Upper bound of the expected time of a request in milliseconds.
const WAIT_MAX_MS: f64 = 60_000.0;

/// Time for which a late answer is awaited after the request counts as failed.
const LATE_MAX: Duration = Duration::from_secs(8);

/// Time between two computations of the load in milliseconds. Each visits every VM, and an owner may
/// tick each 2 ms.
const LOAD_PERIOD_MS: u64 = 20;

/// VMs that are tried for a request while they refuse it as busy. The owner's view of a queue may be
/// some milliseconds old.
const VMS_TRIED: u32 = 3;

/// Outcome of a request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Outcome {
    /// The service allowed these workers, with permits that are valid until that time.
    Answered { permits: Permits, until_ms: u64 },
    /// The same, after the request counted as failed.
    AnsweredLate { permits: Permits, until_ms: u64 },
    /// Too many requests are queued at the VMs.
    Busy,
    /// There is no answer, or none yet.
    Failed,
}

/// Receives the outcomes of requests.
pub(crate) trait Sink: Send + Sync {
    /// Applies an outcome.
    fn advised(&self, request: &AdviceRequest, outcome: Outcome);
}

/// Sends the advice requests of the owner of a shard.
pub(crate) struct Requester {
    shard: u32,
    epoch: u64,
    /// Name of this VM, which is one of those that send requests.
    own: Arc<str>,
    service: Arc<Service>,
    choice: Mutex<Choice>,
    /// Time at which the load was last computed.
    load_ms: AtomicU64,
}

impl Requester {
    pub(crate) fn new(shard: u32, epoch: u64, own: &Arc<str>, service: &Arc<Service>) -> Arc<Self> {
        Arc::new(Self {
            shard,
            epoch,
            own: own.clone(),
            service: service.clone(),
            choice: Mutex::new(Choice::new(shard)),
            load_ms: AtomicU64::new(0),
        })
    }

    fn choice(&self) -> MutexGuard<'_, Choice> {
        self.choice.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the names of the VMs that can send requests.
    fn vms(&self, peers: &[Peer]) -> Vec<Arc<str>> {
        let open = peers.iter().filter(|peer| !peer.is_closed());
        let mut vms: Vec<Arc<str>> = open.map(|peer| peer.hello().node.clone()).collect();
        vms.push(self.own.clone());
        vms
    }

    /// Returns the load of the VMs as they reported it; `None` if that was computed a moment ago.
    pub(crate) fn load(&self, peers: &[Peer]) -> Option<AdviceLoad> {
        let now_ms = clock::now().0;
        if now_ms < self.load_ms.load(Ordering::Relaxed) + LOAD_PERIOD_MS {
            return None;
        }
        self.load_ms.store(now_ms, Ordering::Relaxed);
        Some(self.choice().load(&self.vms(peers), now_ms))
    }

    /// Drops all requests of this owner, because it isn't the owner any more.
    pub(crate) fn withdraw(&self, peers: &[Peer]) {
        self.service.end_owner(self.shard, self.epoch);
        for peer in peers {
            // A VM that misses the notice drops the requests when the next owner sends one.
            let _ = peer.notify(Message::Workflow(Workflow::WithdrawAdvice {
                shard: self.shard,
                epoch: self.epoch,
            }));
        }
    }

    /// Sends a request and passes its outcome on.
    pub(crate) async fn request(
        self: Arc<Self>,
        mut peers: Vec<Peer>,
        request: AdviceRequest,
        sink: Arc<dyn Sink>,
    ) {
        peers.retain(|peer| !peer.is_closed());
        let vms = self.vms(&peers);
        let wait_max_ms = request.useful_ms as f64 - request.cost_ms;
        for _ in 0..VMS_TRIED {
            let now_ms = clock::now().0;
            let assignment =
                self.choice()
                    .assign(&vms, request.cost_ms, wait_max_ms.max(0.0), now_ms);
            let Some(assignment) = assignment else { break };
            let is_own = assignment.vm == self.own;
            let named = |peer: &&Peer| !is_own && peer.hello().node == assignment.vm;
            let peer = peers.iter().rfind(named);
            if !self.send(peer, &request, &assignment, &*sink).await {
                return;
            }
        }
        sink.advised(&request, Outcome::Busy);
    }

    /// Sends a request through a VM and passes its outcome on. Returns whether the VM was busy, which
    /// is not passed on.
    async fn send(
        &self,
        peer: Option<&Peer>,
        request: &AdviceRequest,
        assignment: &Assignment,
        sink: &dyn Sink,
    ) -> bool {
        let expected_ms = (assignment.queued_ms + request.cost_ms).min(WAIT_MAX_MS) as u64;
        let longest_ms = (request.useful_ms as f64 + request.cost_ms / 2.0).min(WAIT_MAX_MS) as u64;
        let [expected_ms, longest_ms] = [expected_ms, longest_ms].map(|ms| ms + SILENT_SLACK_MS);
        let limit = Duration::from_millis(longest_ms) + LATE_MAX + late::EXTENSION_MAX;
        let mut call = pin!(self.call(peer, request, limit));
        let mut reply = late::timeout(Duration::from_millis(expected_ms), &mut call).await;
        if reply.is_none() {
            self.choice().silent(assignment, clock::now().0);
            // A second short request costs less than the wait for a VM that may be paused.
            let left_ms = longest_ms.saturating_sub(expected_ms);
            if request.cost_ms > SHORT_ADVICE_MS && left_ms > 0 {
                reply = late::timeout(Duration::from_millis(left_ms), &mut call).await;
            }
        }
        let mut is_late = false;
        if reply.is_none() {
            self.log(request, assignment, "awaited", -1, None);
            sink.advised(request, Outcome::Failed);
            is_late = true;
            reply = tokio::time::timeout(LATE_MAX, &mut call).await.ok();
        }
        let reply = reply.flatten();
        let now_ms = clock::now().0;
        match &reply {
            Some(reply) => {
                let backlog_ms = reply.backlog_ms;
                self.choice().reported(&assignment.vm, backlog_ms, now_ms);
            }
            None if peer.is_some_and(Peer::is_closed) => self.choice().lost(&assignment.vm),
            None => {}
        }
        let took_ms = now_ms.saturating_sub(assignment.sent_ms);
        let (name, good) = match reply.as_ref().map(|reply| &reply.result) {
            Some(AdviceResult::Answered(permits)) if is_late => ("late", permits.len() as i64),
            Some(AdviceResult::Answered(permits)) => ("answered", permits.len() as i64),
            Some(AdviceResult::Busy) => ("busy", -1),
            Some(AdviceResult::Expired) => ("expired", -1),
            Some(AdviceResult::Failed) | None => ("failed", -1),
        };
        self.log(request, assignment, name, good, reply.as_ref());
        let Some(reply) = reply else {
            if !is_late {
                sink.advised(request, Outcome::Failed);
            }
            return false;
        };
        // The way to the VM and back, and a pause of this process, count as part of the permits' age.
        let age_ms = reply.age_ms + took_ms.saturating_sub(reply.held_ms);
        let until_ms = (now_ms + request.validity_ms).saturating_sub(age_ms);
        match reply.result {
            AdviceResult::Answered(permits) if is_late => {
                self.service.count_late();
                sink.advised(request, Outcome::AnsweredLate { permits, until_ms });
            }
            AdviceResult::Answered(permits) => {
                sink.advised(request, Outcome::Answered { permits, until_ms });
            }
            _ if is_late => {}
            AdviceResult::Busy => return true,
            AdviceResult::Expired => sink.advised(request, Outcome::Busy),
            AdviceResult::Failed => sink.advised(request, Outcome::Failed),
        }
        false
    }

    /// Calls a VM; without a peer this one. Returns `None` if there is no reply.
    async fn call(
        &self,
        peer: Option<&Peer>,
        request: &AdviceRequest,
        limit: Duration,
    ) -> Option<Advice> {
        let terms = Terms {
            shard: self.shard,
            epoch: self.epoch,
            priority: request.priority,
            useful_ms: request.useful_ms,
        };
        let Some(peer) = peer else {
            let call = Call {
                step: request.step,
                workers: request.workers.clone(),
                cost_ms: request.cost_ms,
            };
            return Some(self.service.request(call, terms).await);
        };
        let message = Workflow::Advise {
            step: request.step,
            workers: request.workers.clone(),
            cost_ms: request.cost_ms,
            terms: Some(terms),
        };
        match peer.call(Message::Workflow(message), limit).await {
            Ok(Message::Workflow(Workflow::Advice(advice))) => Some(advice),
            // A VM of an earlier version reports neither its backlog nor the time that it held the
            // request.
            Ok(Message::Workflow(Workflow::Advised(permits))) => Some(Advice {
                result: permits.map_or(AdviceResult::Failed, AdviceResult::Answered),
                age_ms: 0,
                held_ms: u64::MAX,
                backlog_ms: f64::NAN,
            }),
            _ => None,
        }
    }

    fn log(
        &self,
        request: &AdviceRequest,
        assignment: &Assignment,
        outcome: &str,
        good: i64,
        reply: Option<&Advice>,
    ) {
        events::ADVISED.log(format_args!(
            "step={} asked={} good={good} through={} took_ms={} outcome={outcome} backlog_ms={}",
            request.step,
            request.workers.len(),
            assignment.vm,
            clock::now().0.saturating_sub(assignment.sent_ms),
            reply.map_or(-1, |reply| reply.backlog_ms as i64)
        ));
    }
}
