//! The platform's list of VMs, which lags behind their actual state.

use rosemaryworks_core::target::{Instance, State, Worker};
use serde::{Deserialize, Serialize};

use crate::failure::Answer;

/// VMs in service or about to stop, as listed by the platform.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Listing {
    /// Workers with their states.
    pub workers: Vec<(Worker, State)>,
    /// Service instances with their states.
    pub instances: Vec<(Instance, State)>,
}

/// Source of the list of VMs.
pub trait Directory: Send + Sync {
    /// Returns the current list.
    fn list(&self) -> Answer<Listing>;
}
