//! Body of a request to an instance: how long to run and what to respond.

use std::sync::Arc;

use rosemaryworks_history::record::Request;
use serde::{Deserialize, Serialize};

/// Largest response body in bytes.
const RESPONSE_MAX_BYTES: usize = 16 * 1024 * 1024;

/// Specification of a request. Every field is optional.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Spec {
    /// Text that is repeated to fill the response.
    pub token: Arc<str>,
    /// Length of the response in bytes; zero means the length of the token.
    pub length: usize,
    /// Run time in milliseconds.
    pub run_ms: u64,
    /// Contract, recorded in the history as the caller states it.
    pub contract: Arc<str>,
    /// Request id, recorded in the history as the caller states it.
    pub id: Arc<str>,
    /// Attempt, recorded in the history as the caller states it.
    pub attempt: u32,
}

impl Spec {
    /// Parses a body. A body that isn't such a JSON object becomes the token, and so the response.
    #[must_use]
    pub fn parse(body: &[u8]) -> Self {
        serde_json::from_slice(body).unwrap_or_else(|_| Self {
            token: String::from_utf8_lossy(body).into(),
            ..Self::default()
        })
    }

    /// Returns the request as recorded in the history.
    #[must_use]
    pub fn request(&self) -> Request {
        Request {
            contract: self.contract.clone(),
            id: self.id.clone(),
            attempt: self.attempt,
        }
    }

    /// Returns the response body: the token, repeated up to the requested length.
    #[must_use]
    pub fn response(&self) -> Vec<u8> {
        let length = match self.length {
            0 => self.token.len(),
            length => length.min(RESPONSE_MAX_BYTES),
        };
        self.token.bytes().cycle().take(length).collect()
    }
}
