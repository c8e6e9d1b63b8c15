//! Response body of a rejected call.

use serde::{Deserialize, Serialize};

use crate::failure::Fault;

/// Reason why the platform rejected a call. The call had no effect.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "refused")]
pub enum Refusal {
    /// The requested records are older than the first record that the log retains.
    Expired {
        /// First retained offset.
        first: u64,
    },
    /// The peer has seen a newer epoch.
    Fenced {
        /// Epoch that the peer has seen.
        seen: u64,
    },
    /// Any other reason.
    Other {
        /// Description of the reason.
        reason: String,
    },
}

impl Refusal {
    /// Returns the HTTP status of the response.
    #[must_use]
    pub const fn status(&self) -> u16 {
        match self {
            Self::Expired { .. } => 410,
            Self::Fenced { .. } => 412,
            Self::Other { .. } => 409,
        }
    }
}

impl From<Refusal> for Fault {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::Expired { first } => Self::Expired { first },
            Refusal::Fenced { seen } => Self::Fenced { seen },
            Refusal::Other { reason } => Self::Refused(reason),
        }
    }
}
