//! What a request asks of an instance.

use std::sync::Arc;

use rosemaryworks_history::record::Request;
use serde::{Deserialize, Serialize};

/// Largest answer in bytes.
const LENGTH_MAX_BYTES: usize = 16 * 1024 * 1024;

/// Body of a request. Every field may be left out.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Ask {
    /// Text that the answer repeats until it has its length.
    pub token: Arc<str>,
    /// Bytes of the answer; the length of the token if zero.
    pub length: usize,
    /// Milliseconds that the request runs.
    pub run_ms: u64,
    /// Contract, as the caller states it for the history.
    pub contract: Arc<str>,
    /// Identifier, as the caller states it for the history.
    pub id: Arc<str>,
    /// Attempt, as the caller states it for the history.
    pub attempt: u32,
}

impl Ask {
    /// Reads a body. A body of any other kind is answered by itself.
    #[must_use]
    pub fn parse(body: &[u8]) -> Self {
        serde_json::from_slice(body).unwrap_or_else(|_| Self {
            token: String::from_utf8_lossy(body).into(),
            ..Self::default()
        })
    }

    /// Returns the request for the history.
    #[must_use]
    pub fn request(&self) -> Request {
        Request {
            contract: self.contract.clone(),
            id: self.id.clone(),
            attempt: self.attempt,
        }
    }

    /// Returns the answer: the token repeated until it has the length asked for.
    #[must_use]
    pub fn answer(&self) -> Vec<u8> {
        let length = match self.length {
            0 => self.token.len(),
            length => length.min(LENGTH_MAX_BYTES),
        };
        self.token.bytes().cycle().take(length).collect()
    }
}
