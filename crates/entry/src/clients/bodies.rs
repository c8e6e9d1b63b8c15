//! Memory for bodies of requests, of which the slowest is given up when the memory runs out.

use std::collections::BTreeMap;

/// Bytes that count as received at the start of a body. A new body is not the slowest one until it
/// has had time to arrive: one that stops short of 256 KiB is slower than a new one after 0.3 s.
const CREDIT_BYTES: u64 = 64 * 1024;

/// Time in milliseconds that every body is taken to have lasted at least.
const ELAPSED_MIN_MS: u64 = 100;

struct Body {
    began_ms: u64,
    held: u64,
    /// Whether the body is complete and being decided on. It is no longer given up.
    complete: bool,
}

impl Body {
    /// Returns the bytes received per second.
    fn rate(&self, now_ms: u64) -> u64 {
        let elapsed_ms = now_ms.saturating_sub(self.began_ms) + ELAPSED_MIN_MS;
        (self.held + CREDIT_BYTES) * 1_000 / elapsed_ms
    }
}

/// Outcome of a request for memory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Grant {
    /// The memory is reserved. The named bodies have lost theirs.
    Granted(Vec<u64>),
    /// The memory is not reserved; the body itself has lost what it had, and so have the named ones.
    Refused(Vec<u64>),
}

/// Memory that bodies hold.
pub struct Bodies {
    limit: u64,
    held: u64,
    next: u64,
    open: BTreeMap<u64, Body>,
}

impl Bodies {
    /// Creates a budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: u64) -> Self {
        Self {
            limit,
            held: 0,
            next: 0,
            open: BTreeMap::new(),
        }
    }

    /// Begins a body, which holds nothing yet.
    pub fn begin(&mut self, now_ms: u64) -> u64 {
        self.next += 1;
        let body = Body {
            began_ms: now_ms,
            held: 0,
            complete: false,
        };
        self.open.insert(self.next, body);
        self.next
    }

    /// Reserves `bytes` more for a body. While memory is short, the slowest incomplete body loses
    /// what it has; if that is this one, it is refused.
    pub fn grow(&mut self, now_ms: u64, id: u64, bytes: u64) -> Grant {
        let mut given_up = Vec::new();
        if !self.open.contains_key(&id) {
            return Grant::Refused(given_up);
        }
        while self.held + bytes > self.limit {
            match self.slowest(now_ms) {
                Some(slowest) if slowest != id => {
                    self.end(slowest);
                    given_up.push(slowest);
                }
                _ => {
                    self.end(id);
                    return Grant::Refused(given_up);
                }
            }
        }
        self.held += bytes;
        if let Some(body) = self.open.get_mut(&id) {
            body.held += bytes;
        }
        Grant::Granted(given_up)
    }

    /// Reserves memory for a complete body's decoded form. From then on the body is not given up. A
    /// body that needs more than all memory gets it if it is the only one.
    pub fn complete(&mut self, now_ms: u64, id: u64, bytes: u64) -> Grant {
        let own = self.open.get(&id).map_or(0, |body| body.held);
        let bytes = bytes.min(self.limit.saturating_sub(own));
        let grant = self.grow(now_ms, id, bytes);
        if let Some(body) = self.open.get_mut(&id) {
            body.complete = true;
        }
        grant
    }

    /// Releases what a body holds.
    pub fn end(&mut self, id: u64) {
        if let Some(body) = self.open.remove(&id) {
            self.held -= body.held;
        }
    }

    /// Returns the bytes held.
    #[must_use]
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Returns the largest number of bytes that may be held.
    #[must_use]
    pub fn limit(&self) -> u64 {
        self.limit
    }

    fn slowest(&self, now_ms: u64) -> Option<u64> {
        let incomplete = self.open.iter().filter(|(_, body)| !body.complete);
        let slowest = incomplete.min_by_key(|(id, body)| (body.rate(now_ms), **id));
        slowest.map(|(id, _)| *id)
    }
}
