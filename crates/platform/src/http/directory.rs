//! Adapter to the platform's list of VMs.

use std::net::SocketAddr;

use rosemaryworks_node::http::{Client, Request};

use super::call::{TIMEOUT, send};
use crate::directory::Listing;
use crate::failure::Answer;

/// Client of the list of VMs.
#[derive(Clone, Debug)]
pub struct Directory {
    address: SocketAddr,
    client: Client,
}

impl Directory {
    /// Creates a client of the list at `address`.
    #[must_use]
    pub fn new(client: Client, address: SocketAddr) -> Self {
        Self { address, client }
    }
}

impl crate::Directory for Directory {
    fn list(&self) -> Answer<Listing> {
        let request = Request::new("GET", format!("http://{}/v1/vms", self.address), TIMEOUT);
        let peer = format!("directory {}", self.address);
        send(&self.client, "list VMs", &peer, request)
    }
}
