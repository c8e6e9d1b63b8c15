//! The platform's lagging list of VMs.

use rosemaryworks_core::target::{Instance, State, Worker};
use serde::{Deserialize, Serialize};

use crate::failure::Answer;

/// Live and leaving VMs as the platform lists them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Listing {
    /// Workers with their states.
    pub workers: Vec<(Worker, State)>,
    /// Service instances with their states.
    pub instances: Vec<(Instance, State)>,
}

/// The list of VMs.
pub trait Directory: Send + Sync {
    /// Returns the current list.
    fn list(&self) -> Answer<Listing>;
}
