//! Queue of the advice requests that a VM sends, one at a time because the service serves one call
//! at a time for each VM.
//!
//! A request is refused at once if it can't be sent while its answer is of use, and dropped if that
//! time passes in the queue. The backlog therefore stays below the time within which answers are of
//! use, whatever the number of requests.

use std::collections::HashMap;

/// Upper bound of the time for which a request may wait, in milliseconds. An owner may name any.
const WAIT_MAX_MS: u64 = 10_000;

/// Lower bound of that time in milliseconds, if the call takes longer than its answer is of use.
const WAIT_MIN_MS: u64 = 50;

/// Bounds of the expected time of a call in milliseconds. An owner may name any.
const COST_MIN_MS: f64 = 1.0;
const COST_MAX_MS: f64 = 60_000.0;

/// Maximum number of queued requests. Not reached as long as calls take their expected time.
const REQUESTS_MAX: usize = 256;

/// Times that the requests of an owner may be passed over for those of other owners with a higher
/// priority.
const PASSED_OVER_MAX: u32 = 3;

/// Weight of the newest call in the moving average of the pace.
const PACE_WEIGHT: f64 = 0.2;

/// Bounds of the pace.
const PACE_MIN: f64 = 0.5;
const PACE_MAX: f64 = 10.0;

/// A request for advice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    /// Number, which no other request of the VM has.
    pub number: u64,
    /// Shard whose owner sent it.
    pub shard: u32,
    /// Epoch of that owner.
    pub epoch: u64,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Expected time of the call in milliseconds.
    pub cost_ms: f64,
    /// Time within which the answer is of use, in milliseconds.
    pub useful_ms: u64,
}

/// What becomes of a request that is offered to the queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Offer {
    /// It is queued, and dropped if it isn't sent by that time.
    Queued {
        /// Time on the VM's clock.
        send_by_ms: u64,
    },
    /// The queue is too long to answer it in time.
    Busy,
    /// A later owner of the shard has sent requests.
    Superseded,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    request: Request,
    send_by_ms: u64,
}

impl Waiting {
    /// Returns the position among requests that are sent in turn; the lowest comes first.
    fn order(&self) -> (u32, u64, u64) {
        (self.request.priority, self.send_by_ms, self.request.number)
    }
}

/// The call whose answer is awaited.
#[derive(Clone, Copy, Debug)]
struct Call {
    sent_ms: u64,
    cost_ms: f64,
}

/// What is known about the owner of a shard.
#[derive(Clone, Copy, Debug, Default)]
struct Turn {
    epoch: u64,
    /// Number of the call that was sent for it last.
    last_call: u64,
    /// Calls for other owners since then, while it had requests.
    passed_over: u32,
}

/// Queue of the advice requests of a VM.
#[derive(Debug)]
pub struct Queue {
    waiting: Vec<Waiting>,
    call: Option<Call>,
    calls: u64,
    /// Owners that sent requests, by shard.
    turns: HashMap<u32, Turn>,
    /// Time of a call as a multiple of its expected time.
    pace: f64,
}

impl Default for Queue {
    fn default() -> Self {
        Self {
            waiting: Vec::new(),
            call: None,
            calls: 0,
            turns: HashMap::new(),
            pace: 1.0,
        }
    }
}

impl Queue {
    /// Queues a request if it can be sent while its answer is of use.
    pub fn offer(&mut self, request: Request, now_ms: u64) -> Offer {
        let turn = self.turns.entry(request.shard).or_default();
        if request.epoch < turn.epoch {
            return Offer::Superseded;
        }
        turn.epoch = request.epoch;
        let cost_ms = match request.cost_ms {
            cost_ms if cost_ms.is_finite() => cost_ms.clamp(COST_MIN_MS, COST_MAX_MS),
            _ => COST_MAX_MS,
        };
        let wait_ms = request.useful_ms.saturating_sub(cost_ms as u64);
        let waiting = Waiting {
            request: Request { cost_ms, ..request },
            send_by_ms: now_ms + wait_ms.clamp(WAIT_MIN_MS, WAIT_MAX_MS),
        };
        let before = self
            .waiting
            .iter()
            .filter(|other| other.order() < waiting.order());
        let before_ms: f64 = before.map(|other| other.request.cost_ms).sum();
        let begins_ms = now_ms as f64 + self.call_left_ms(now_ms) + before_ms * self.pace;
        let is_full = self.waiting.len() >= REQUESTS_MAX;
        if is_full || begins_ms > waiting.send_by_ms as f64 {
            return Offer::Busy;
        }
        self.waiting.push(waiting);
        Offer::Queued {
            send_by_ms: waiting.send_by_ms,
        }
    }

    /// Returns the number of the request to send now; `None` while a call is under way or if no
    /// request waits. Higher priorities come first, and owners take turns.
    pub fn next(&mut self, now_ms: u64) -> Option<u64> {
        if self.call.is_some() {
            return None;
        }
        let turn = |waiting: &Waiting| {
            let turn = self.turns.get(&waiting.request.shard);
            turn.copied().unwrap_or_default()
        };
        let order = |waiting: &&Waiting| {
            let turn = turn(waiting);
            let (priority, send_by_ms, number) = waiting.order();
            let is_due = turn.passed_over >= PASSED_OVER_MAX;
            (!is_due, priority, turn.last_call, send_by_ms, number)
        };
        let request = self.waiting.iter().min_by_key(order)?.request;
        self.waiting
            .retain(|waiting| waiting.request.number != request.number);
        self.calls += 1;
        let waiting = &self.waiting;
        let is_waiting = |shard: u32| waiting.iter().any(|other| other.request.shard == shard);
        for (shard, turn) in &mut self.turns {
            turn.passed_over += u32::from(is_waiting(*shard));
        }
        if let Some(turn) = self.turns.get_mut(&request.shard) {
            turn.last_call = self.calls;
            turn.passed_over = 0;
        }
        self.call = Some(Call {
            sent_ms: now_ms,
            cost_ms: request.cost_ms,
        });
        Some(request.number)
    }

    /// Ends the call that is under way. `took_its_time` tells whether the service answered it.
    pub fn answered(&mut self, took_its_time: bool, now_ms: u64) {
        let Some(call) = self.call.take() else {
            return;
        };
        if took_its_time {
            let took_ms = now_ms.saturating_sub(call.sent_ms) as f64;
            let pace = (took_ms / call.cost_ms).clamp(PACE_MIN, PACE_MAX);
            self.pace += PACE_WEIGHT * (pace - self.pace);
        }
    }

    /// Removes the requests whose time has passed and returns their numbers.
    pub fn expire(&mut self, now_ms: u64) -> Vec<u64> {
        self.remove(|waiting| now_ms > waiting.send_by_ms)
    }

    /// Removes a request that nobody awaits any more.
    pub fn withdraw(&mut self, number: u64) {
        self.remove(|waiting| waiting.request.number == number);
    }

    /// Removes the requests of owners of a shard up to `epoch` and returns their numbers.
    pub fn end_owner(&mut self, shard: u32, epoch: u64) -> Vec<u64> {
        self.remove(|waiting| waiting.request.shard == shard && waiting.request.epoch <= epoch)
    }

    /// Returns the expected time of the call under way and of all queued requests, in milliseconds.
    #[must_use]
    pub fn backlog_ms(&self, now_ms: u64) -> f64 {
        let waiting = self.waiting.iter().map(|waiting| waiting.request.cost_ms);
        self.call_left_ms(now_ms) + waiting.sum::<f64>() * self.pace
    }

    /// Returns the expected remaining time of the call under way in milliseconds. A call that is
    /// overdue is expected to take as long again: its answer may be lost.
    fn call_left_ms(&self, now_ms: u64) -> f64 {
        let Some(call) = self.call else { return 0.0 };
        let took_ms = now_ms.saturating_sub(call.sent_ms) as f64;
        (call.cost_ms * self.pace - took_ms).abs()
    }

    fn remove(&mut self, is_removed: impl Fn(&Waiting) -> bool) -> Vec<u64> {
        let removed = self.waiting.iter().filter(|waiting| is_removed(waiting));
        let numbers = removed.map(|waiting| waiting.request.number).collect();
        self.waiting.retain(|waiting| !is_removed(waiting));
        numbers
    }
}
