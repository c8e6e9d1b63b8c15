//! Accounts of the division of caps: one for each team and resource.

use std::sync::Arc;

use rosemaryworks_core::size::Size;
use serde::{Deserialize, Serialize};

/// A resource that a cap limits.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Resource {
    /// Accelerators.
    #[serde(rename = "a")]
    Accelerators,
    /// Memory.
    #[serde(rename = "m")]
    Memory,
    /// Processor time.
    #[serde(rename = "p")]
    Processor,
}

impl Resource {
    /// All resources.
    pub(crate) const ALL: [Self; 3] = [Self::Accelerators, Self::Memory, Self::Processor];

    /// Returns the amount of the resource in a size.
    pub(crate) fn of(self, size: &Size) -> u64 {
        match self {
            Self::Accelerators => size.accelerators,
            Self::Memory => size.memory_mb,
            Self::Processor => size.millicores,
        }
    }
}

/// A team's cap on one resource. Pools use the resources in different proportions, so parts of a cap
/// that covered all of them would leave much of each unused.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Account {
    /// Team.
    #[serde(rename = "t")]
    pub team: Arc<str>,
    /// Resource.
    #[serde(rename = "r")]
    pub resource: Resource,
}

impl Account {
    /// Creates the account of a team's cap on a resource.
    #[must_use]
    pub fn new(team: &Arc<str>, resource: Resource) -> Self {
        Self {
            team: team.clone(),
            resource,
        }
    }
}
