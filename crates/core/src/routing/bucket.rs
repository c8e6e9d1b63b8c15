//! Token bucket that enforces a contract's rate limit.

use crate::time::Instant;

const MILLITOKENS_PER_TOKEN: u64 = 1_000;

/// A token bucket that counts in thousandths of a token.
#[derive(Clone, Debug)]
pub(crate) struct Bucket {
    rate: u64,
    capacity: u64,
    level: u64,
    last_fill: Instant,
}

impl Bucket {
    /// Creates a bucket that admits `rate` requests per second and `burst` at once, holding
    /// `level` tokens.
    pub(crate) fn new(now: Instant, rate: u64, burst: u64, level: u64) -> Self {
        Self {
            rate,
            capacity: burst * MILLITOKENS_PER_TOKEN,
            level: level.min(burst) * MILLITOKENS_PER_TOKEN,
            last_fill: now,
        }
    }

    /// Changes the limits and keeps as many tokens as the new capacity allows.
    pub(crate) fn resize(&mut self, now: Instant, rate: u64, burst: u64) {
        self.fill(now);
        self.rate = rate;
        self.capacity = burst * MILLITOKENS_PER_TOKEN;
        self.level = self.level.min(self.capacity);
    }

    /// Takes one token, or returns false if there is none.
    pub(crate) fn take(&mut self, now: Instant) -> bool {
        self.fill(now);
        if self.level < MILLITOKENS_PER_TOKEN {
            return false;
        }
        self.level -= MILLITOKENS_PER_TOKEN;
        true
    }

    /// Returns a token that was taken for a request which was not admitted.
    pub(crate) fn refund(&mut self) {
        self.level = (self.level + MILLITOKENS_PER_TOKEN).min(self.capacity);
    }

    /// Adds the tokens earned since the last fill. A rate per second equals the same number of
    /// thousandths per millisecond, so there is no rounding.
    fn fill(&mut self, now: Instant) {
        let gain = now.since(self.last_fill).saturating_mul(self.rate);
        self.level = self.level.saturating_add(gain).min(self.capacity);
        self.last_fill = now;
    }
}
