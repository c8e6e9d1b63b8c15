//! Calls of the advice service from this VM, one at a time, for all owners.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rosemaryworks_node::clock;
use rosemaryworks_wire::workflow::{Advice, AdviceResult, Message as Workflow, Terms};
use rosemaryworks_workflow::StepKey;
use tokio::sync::oneshot;

use super::queue::{Offer, Queue, Request};
use crate::metrics::Metrics;
use crate::port::Advisor;

/// Time for which a request of an owner of an earlier version may wait, in milliseconds. Such an
/// owner doesn't name one.
const UNKNOWN_USEFUL_MS: u64 = 1_000;

/// A call to the advice service.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) step: StepKey,
    pub(crate) workers: Vec<Arc<str>>,
    pub(crate) cost_ms: f64,
}

/// A queued request.
struct Waiting {
    call: Call,
    reply: oneshot::Sender<Ended>,
}

/// What became of a request.
struct Ended {
    result: AdviceResult,
    at_ms: u64,
}

/// A request that was queued.
struct Queued {
    number: u64,
    send_by_ms: u64,
    receiver: oneshot::Receiver<Ended>,
}

#[derive(Default)]
struct State {
    queue: Queue,
    waiting: HashMap<u64, Waiting>,
    next_number: u64,
}

impl State {
    /// Ends requests that are not sent any more.
    fn end(&mut self, numbers: Vec<u64>, result: &AdviceResult, now_ms: u64) {
        for number in numbers {
            if let Some(waiting) = self.waiting.remove(&number) {
                // The requester may have stopped waiting.
                let _ = waiting.reply.send(Ended {
                    result: result.clone(),
                    at_ms: now_ms,
                });
            }
        }
    }
}

/// Queue of this VM and its connection to the advice service.
pub(crate) struct Service {
    advisor: Arc<dyn Advisor>,
    metrics: Metrics,
    state: Mutex<State>,
}

/// Withdraws a request on drop, so that one that nobody awaits any more isn't sent.
struct Guard<'a> {
    service: &'a Service,
    number: u64,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        let mut state = self.service.state();
        state.queue.withdraw(self.number);
        state.waiting.remove(&self.number);
    }
}

impl Service {
    pub(crate) fn new(advisor: Arc<dyn Advisor>, metrics: Metrics) -> Arc<Self> {
        Arc::new(Self {
            advisor,
            metrics,
            state: Mutex::default(),
        })
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a call and waits for its outcome.
    pub(crate) async fn request(self: &Arc<Self>, call: Call, terms: Terms) -> Advice {
        let received_ms = clock::now().0;
        let Queued {
            number,
            send_by_ms,
            mut receiver,
        } = match self.offer(call, terms, received_ms) {
            Ok(queued) => queued,
            Err(result) => return self.reply(result, received_ms, received_ms),
        };
        let _guard = Guard {
            service: self,
            number,
        };
        self.send_next();
        let wait = Duration::from_millis(send_by_ms.saturating_sub(received_ms) + 1);
        let outcome = tokio::select! {
            outcome = &mut receiver => outcome,
            () = tokio::time::sleep(wait) => {
                self.expire();
                receiver.await
            }
        };
        match outcome {
            Ok(ended) => self.reply(ended.result, received_ms, ended.at_ms),
            Err(_) => self.reply(AdviceResult::Failed, received_ms, received_ms),
        }
    }

    /// Handles [`Workflow::Advise`] of an owner on another VM.
    pub(crate) async fn handle(self: Arc<Self>, message: Workflow) -> Workflow {
        let Workflow::Advise {
            step,
            workers,
            cost_ms,
            terms,
        } = message
        else {
            return message;
        };
        let call = Call {
            step,
            workers,
            cost_ms,
        };
        match terms {
            Some(terms) => Workflow::Advice(self.request(call, terms).await),
            None => {
                let terms = Terms {
                    shard: u32::MAX,
                    epoch: 0,
                    priority: 1,
                    useful_ms: UNKNOWN_USEFUL_MS.saturating_add(cost_ms as u64),
                };
                Workflow::Advised(match self.request(call, terms).await.result {
                    AdviceResult::Answered(permits) => Some(permits),
                    _ => None,
                })
            }
        }
    }

    /// Drops the requests of owners of a shard up to `epoch`.
    pub(crate) fn end_owner(&self, shard: u32, epoch: u64) {
        let mut state = self.state();
        let ended = state.queue.end_owner(shard, epoch);
        state.end(ended, &AdviceResult::Failed, clock::now().0);
    }

    fn offer(&self, call: Call, terms: Terms, now_ms: u64) -> Result<Queued, AdviceResult> {
        let mut state = self.state();
        if let Some(earlier) = terms.epoch.checked_sub(1) {
            let ended = state.queue.end_owner(terms.shard, earlier);
            state.end(ended, &AdviceResult::Failed, now_ms);
        }
        state.next_number += 1;
        let number = state.next_number;
        let request = Request {
            number,
            shard: terms.shard,
            epoch: terms.epoch,
            priority: terms.priority,
            cost_ms: call.cost_ms,
            useful_ms: terms.useful_ms,
        };
        match state.queue.offer(request, now_ms) {
            Offer::Queued { send_by_ms } => {
                let (reply, receiver) = oneshot::channel();
                state.waiting.insert(number, Waiting { call, reply });
                Ok(Queued {
                    number,
                    send_by_ms,
                    receiver,
                })
            }
            Offer::Busy => {
                self.metrics.advice_busy.inc();
                Err(AdviceResult::Busy)
            }
            Offer::Superseded => Err(AdviceResult::Failed),
        }
    }

    /// Counts an answer that is used after its request counted as failed.
    pub(crate) fn count_late(&self) {
        self.metrics.advice_late.inc();
    }

    /// Ends the requests whose time has passed.
    fn expire(&self) {
        let now_ms = clock::now().0;
        let mut state = self.state();
        let expired = state.queue.expire(now_ms);
        self.metrics.advice_expired.inc_by(expired.len() as u64);
        state.end(expired, &AdviceResult::Expired, now_ms);
    }

    /// Sends the next call unless one is under way. A call that was sent is awaited even if nobody
    /// waits for its answer any more: the service serves the next one after it.
    fn send_next(self: &Arc<Self>) {
        self.expire();
        let next = {
            let mut state = self.state();
            let number = state.queue.next(clock::now().0);
            number.and_then(|number| state.waiting.remove(&number))
        };
        let Some(Waiting { call, reply }) = next else {
            return;
        };
        self.metrics.advice_requests.inc();
        let service = self.clone();
        tokio::spawn(async move {
            let answer = service
                .advisor
                .advise(call.step, &call.workers, call.cost_ms);
            // In a task of its own, so that a panic doesn't leave the call under way for good.
            let answer = tokio::spawn(answer).await;
            let answered_ms = clock::now().0;
            let result = match answer {
                Ok(Ok(permits)) => AdviceResult::Answered(permits),
                Ok(Err(_)) | Err(_) => AdviceResult::Failed,
            };
            let is_answered = matches!(result, AdviceResult::Answered(_));
            service.state().queue.answered(is_answered, answered_ms);
            // The requester may have stopped waiting.
            let _ = reply.send(Ended {
                result,
                at_ms: answered_ms,
            });
            service.send_next();
        });
    }

    fn reply(&self, result: AdviceResult, received_ms: u64, answered_ms: u64) -> Advice {
        let now_ms = clock::now().0;
        let backlog_ms = self.state().queue.backlog_ms(now_ms);
        self.metrics.advice_backlog_ms.set(backlog_ms as i64);
        Advice {
            result,
            age_ms: now_ms.saturating_sub(answered_ms),
            held_ms: now_ms.saturating_sub(received_ms),
            backlog_ms,
        }
    }
}
