//! Limits for requests that the operator configures.

use std::ops::RangeInclusive;

use serde::{Deserialize, Serialize};

/// Range of the size of headers in bytes.
const HEADER_BYTES: RangeInclusive<u64> = 1_024..=65_536;

/// Range of the size of bodies in bytes. The log accepts records of 256 KiB.
const BODY_BYTES: RangeInclusive<u64> = 1_024..=262_144;

/// Range of the time-outs in milliseconds.
const TIMEOUT_MS: RangeInclusive<u64> = 1_000..=60_000;

/// Limits for requests of callers, as the configuration states them.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Terms {
    /// Largest size of the request line and the headers together, in bytes.
    pub header_bytes: u64,
    /// Largest size of a body in bytes.
    pub body_bytes: u64,
    /// Longest time for the headers to arrive, in milliseconds.
    pub header_timeout_ms: u64,
    /// Longest time for which a connection is kept without a request, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for Terms {
    fn default() -> Self {
        Self {
            header_bytes: 16_384,
            body_bytes: 262_144,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

impl Terms {
    /// Returns the limits that the process applies: a value that it can't serve is replaced by the
    /// nearest one that it can.
    #[must_use]
    pub fn within_bounds(self) -> Self {
        let clamp =
            |value: u64, range: RangeInclusive<u64>| value.clamp(*range.start(), *range.end());
        Self {
            header_bytes: clamp(self.header_bytes, HEADER_BYTES),
            body_bytes: clamp(self.body_bytes, BODY_BYTES),
            header_timeout_ms: clamp(self.header_timeout_ms, TIMEOUT_MS),
            idle_timeout_ms: clamp(self.idle_timeout_ms, TIMEOUT_MS),
        }
    }
}
