//! Grants in the simulated cell of routing tests.

use std::sync::Arc;

use rosemaryworks_core::outcome::Request;
use rosemaryworks_core::routing::{Key, Slot};

/// State of a grant at its gateway and instance.
#[derive(Clone, Debug)]
pub(crate) struct Grant {
    pub(crate) key: Key,
    pub(crate) slot: Slot,
    pub(crate) epoch: u64,
    pub(crate) request: Request,
    pub(crate) idempotent: bool,
    pub(crate) instance: Arc<str>,
    pub(crate) granted: u64,
    pub(crate) started: Option<u64>,
    pub(crate) ended: Option<u64>,
    /// Whether the gateway will still report the end of the grant or that it is unused.
    pub(crate) reports: bool,
    /// Whether the grant is recorded at the owner as held by the gateway.
    pub(crate) linked: bool,
}

impl Grant {
    pub(crate) fn is_running(&self) -> bool {
        self.started.is_some() && self.ended.is_none()
    }
}
