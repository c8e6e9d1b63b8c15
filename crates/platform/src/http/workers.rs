//! Adapter to workers.

use rosemaryworks_core::placement::Report;
use rosemaryworks_core::target::Worker;
use rosemaryworks_node::http::Client;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::call::{TIMEOUT, post};
use crate::failure::Answer;
use crate::workers::{Control, Grant, Sync};

/// Client of workers.
#[derive(Clone, Debug)]
pub struct Workers {
    client: Client,
}

impl Workers {
    /// Creates a client.
    #[must_use]
    pub fn new(client: Client) -> Self {
        Self { client }
    }

    fn call<B: Serialize, T: DeserializeOwned + Send + 'static>(
        &self,
        worker: &Worker,
        call: &str,
        body: &B,
    ) -> Answer<T> {
        let url = format!("http://{}/v1/{call}", worker.address);
        let peer = format!("worker {}", worker.name);
        post(&self.client, call, &peer, url, body, TIMEOUT)
    }
}

impl crate::Workers for Workers {
    fn control(&self, worker: &Worker, control: Control) -> Answer<()> {
        self.call(worker, "control", &control)
    }

    fn place(&self, worker: &Worker, grant: Grant) -> Answer<()> {
        self.call(worker, "place", &grant)
    }

    fn sync(&self, worker: &Worker, sync: Sync) -> Answer<Report> {
        self.call(worker, "sync", &sync)
    }
}
