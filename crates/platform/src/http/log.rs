//! Adapter to the platform's log.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rosemaryworks_core::record::Offset;
use rosemaryworks_node::http::Client;
use serde::{Deserialize, Serialize};

use super::call::{TIMEOUT, post};
use crate::failure::Answer;
use crate::log::{Append, Page};

/// Response to a request with the body [`Append`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Appended {
    /// Offset of the first record.
    pub offset: Offset,
}

/// Request body of `find`, which looks up whether an append took effect.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Find {
    /// Stream.
    pub stream: Arc<str>,
    /// Identifier of the append.
    pub id: Arc<str>,
}

/// Response to a request with the body [`Find`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Found {
    /// Offset of the first record, if the append took effect.
    #[serde(deserialize_with = "Option::deserialize")]
    pub offset: Option<Offset>,
}

/// Request body of `read`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Read {
    /// Stream.
    pub stream: Arc<str>,
    /// First offset to read.
    pub from: Offset,
    /// Maximum number of records to return.
    pub limit: u32,
    /// Milliseconds to wait for a record if there is none yet.
    pub wait_ms: u64,
}

/// Client of the log.
#[derive(Clone, Debug)]
pub struct Log {
    address: SocketAddr,
    client: Client,
}

impl Log {
    /// Creates a client of the log at `address`.
    #[must_use]
    pub fn new(client: Client, address: SocketAddr) -> Self {
        Self { address, client }
    }

    fn url(&self, call: &str) -> String {
        format!("http://{}/v1/log/{call}", self.address)
    }

    fn peer(&self) -> String {
        format!("log {}", self.address)
    }
}

impl crate::Log for Log {
    fn append(&self, append: Append) -> Answer<Offset> {
        let operation = format!("append to {}", append.stream);
        let url = self.url("append");
        let answer: Answer<Appended> = post(
            &self.client,
            &operation,
            &self.peer(),
            url,
            &append,
            TIMEOUT,
        );
        Box::pin(async move { Ok(answer.await?.offset) })
    }

    fn find(&self, stream: &str, id: &str) -> Answer<Option<Offset>> {
        let operation = format!("find append in {stream}");
        let find = Find {
            stream: stream.into(),
            id: id.into(),
        };
        let url = self.url("find");
        let answer: Answer<Found> =
            post(&self.client, &operation, &self.peer(), url, &find, TIMEOUT);
        Box::pin(async move { Ok(answer.await?.offset) })
    }

    fn read(&self, stream: &str, from: Offset, limit: u32, wait_ms: u64) -> Answer<Page> {
        let operation = format!("read {stream}");
        let read = Read {
            stream: stream.into(),
            from,
            limit,
            wait_ms,
        };
        let timeout = TIMEOUT + Duration::from_millis(wait_ms);
        let url = self.url("read");
        post(&self.client, &operation, &self.peer(), url, &read, timeout)
    }
}
