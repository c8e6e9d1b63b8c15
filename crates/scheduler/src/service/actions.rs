//! Carries out the actions of a routing kernel.
//!
//! An intent is the record that is written before a non-idempotent request is dispatched, so that
//! the request isn't dispatched again.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rosemaryworks_core::outcome::{Finish, Request, Unknown};
use rosemaryworks_core::record::Cell;
use rosemaryworks_core::routing::{Action, Event, Key, Slot};
use rosemaryworks_core::target::Instance;
use rosemaryworks_core::time::Instant;
use rosemaryworks_node::clock;
use rosemaryworks_wire::Verdict;

use super::Service;
use crate::context::{Context, Written};
use crate::events;
use crate::lock::lock;
use crate::writer::Item;

/// Timeout of the append of an intent with its read-back.
const INTENT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which an instance counts as unreachable; below the 5 s that the kernel waits for the
/// result of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(4);

/// Least time between two log lines on uncertain intents, in milliseconds.
const UNCERTAIN_LOG_PERIOD_MS: u64 = 1_000;

/// Delay before an instance that isn't listed is reported as unreachable.
const PROBE_DELAY: Duration = Duration::from_millis(200);

impl Service {
    /// Carries out an action. Events that result immediately are added to `events`.
    pub(super) fn execute(self: &Arc<Self>, action: Action, events: &mut VecDeque<Event>) {
        match action {
            Action::Grant {
                key,
                slot,
                instance,
            } => self.grant(&key, slot, instance, events),
            Action::WriteIntent { key, request } => self.write_intent(key, request, events),
            Action::Probe(name) => self.probe(name),
            Action::Refuse { key, reason } => {
                let verdict = match self.term.is_valid() {
                    true => Verdict::NotRun(reason.clone()),
                    false => self.not_owner(),
                };
                if let Some(context) = self.context.upgrade() {
                    context.counters.refusal(&reason);
                }
                self.reply(&key, verdict);
            }
            Action::ReportUnknown { key, reason } => {
                if let Some(context) = self.context.upgrade() {
                    context.counters.unknown(&reason);
                }
                self.reply(&key, Verdict::Unknown(reason));
            }
        }
    }

    fn grant(
        self: &Arc<Self>,
        key: &Key,
        slot: Slot,
        instance: Instance,
        events: &mut VecDeque<Event>,
    ) {
        let granted = Verdict::Granted {
            epoch: self.term.epoch,
            slot,
            instance,
            waited_ms: 0,
        };
        let valid = self.term.is_valid();
        let verdict = if valid { granted } else { self.not_owner() };
        let answered = self.reply(key, verdict);
        if valid && answered {
            if let Some(context) = self.context.upgrade() {
                context.counters.grant();
            }
            return;
        }
        events.push_back(Event::Finished {
            slot,
            finish: Finish::Unused,
            run_ms: 0,
        });
    }

    fn write_intent(self: &Arc<Self>, key: Key, request: Request, events: &mut VecDeque<Event>) {
        let Some(context) = self.context.upgrade() else {
            return;
        };
        if self.buffer_intent(&context, &request) {
            events.push_back(Event::IntentWritten(key));
            return;
        }
        lock(&self.state).writing_intents.insert(key.clone());
        let service = self.clone();
        tokio::spawn(async move {
            service
                .clone()
                .append_intent(&context, key.clone(), request)
                .await;
            lock(&service.state).writing_intents.remove(&key);
        });
    }

    /// Queues the intent in memory until the log is reachable, if a majority allows it. Returns
    /// whether it does.
    fn buffer_intent(&self, context: &Context, request: &Request) -> bool {
        let buffered = context.allow_unlogged_grant(&self.term);
        // One log line covers all requests of an outage.
        let first = buffered && !self.buffers_intents.swap(true, Ordering::SeqCst);
        if first {
            events::INTENTS_BUFFERED.log(format_args!(
                "shard={} epoch={} request={}/{}",
                self.term.shard, self.term.epoch, request.contract, request.id
            ));
        }
        if buffered {
            self.writer.push(Item::Intent {
                request: request.clone(),
                at_unix_ms: clock::unix_ms(),
            });
        }
        buffered
    }

    async fn append_intent(self: Arc<Self>, context: &Context, key: Key, request: Request) {
        let record = Cell::Intent {
            shard: self.term.shard.clone(),
            epoch: self.term.epoch,
            requests: vec![request.clone()],
            at_unix_ms: clock::unix_ms(),
        };
        match context.write(&record, INTENT_TIMEOUT).await {
            Written::Valid if self.is_recorded_by_sibling(context, &request) => {
                self.reply(&key, Verdict::Unknown(Unknown::AlreadyDispatched));
                self.abandon(key);
            }
            Written::Valid => {
                self.buffers_intents.store(false, Ordering::SeqCst);
                self.handle(Event::IntentWritten(key));
            }
            Written::Void => {
                self.reply(&key, self.not_owner());
                self.abandon(key);
            }
            Written::No(_) | Written::Uncertain(_) if self.buffer_intent(context, &request) => {
                self.handle(Event::IntentWritten(key));
            }
            Written::No(_) => self.handle(Event::IntentFailed(key)),
            Written::Uncertain(reason) => {
                self.log_uncertain(&request, &reason);
                // The id may be recorded, so the attempt ends and the id counts as dispatched.
                self.reply(&key, Verdict::Unknown(Unknown::AlreadyDispatched));
                self.abandon(key);
            }
        }
    }

    /// Returns whether another shard of the group recorded the request, because the id was mapped
    /// to that shard before a contract revision. Of two shards that record one id at the same time,
    /// each may see the other's record, and then neither dispatches.
    fn is_recorded_by_sibling(&self, context: &Context, request: &Request) -> bool {
        let cell = lock(&context.cell);
        cell.projection
            .is_recorded_by_sibling(&self.term.shard, request)
    }

    /// Logs an uncertain intent, at most one per [`UNCERTAIN_LOG_PERIOD_MS`], because a slow log
    /// causes many.
    fn log_uncertain(&self, request: &Request, reason: &str) {
        let now = clock::now();
        let last = Instant(self.uncertain_logged_at.load(Ordering::SeqCst));
        if last != Instant(0) && now.since(last) < UNCERTAIN_LOG_PERIOD_MS {
            return;
        }
        self.uncertain_logged_at.store(now.0, Ordering::SeqCst);
        events::INTENT_UNCERTAIN.log(format_args!(
            "shard={} request={}/{} reason={reason}",
            self.term.shard, request.contract, request.id
        ));
    }

    /// Ends a slot request whose intent may be recorded. The kernel keeps the request id.
    fn abandon(self: &Arc<Self>, key: Key) {
        self.handle(Event::Withdrawn(key.clone()));
        self.handle(Event::IntentWritten(key));
    }

    fn probe(self: &Arc<Self>, name: Arc<str>) {
        let Some(context) = self.context.upgrade() else {
            return;
        };
        let instance = lock(&self.state).instances.get(&name).cloned();
        let service = self.clone();
        tokio::spawn(async move {
            let busy = match instance {
                Some(instance) => occupancy(&context, &instance).await,
                None => {
                    tokio::time::sleep(PROBE_DELAY).await;
                    None
                }
            };
            service.handle(Event::Occupancy {
                instance: name,
                busy,
            });
        });
    }
}

async fn occupancy(context: &Context, instance: &Instance) -> Option<u32> {
    let call = context.platform.instances.occupancy(instance);
    let answer = tokio::time::timeout(PROBE_TIMEOUT, call).await;
    answer.ok()?.ok().flatten()
}
