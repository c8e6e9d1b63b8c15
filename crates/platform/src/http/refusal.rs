//! Body of an answer that refuses a call.

use serde::{Deserialize, Serialize};

use crate::failure::Fault;

/// Why the platform refused a call. The call had no effect.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "refused")]
pub enum Refusal {
    /// The records before this offset are no longer kept.
    Expired {
        /// First offset that is kept.
        first: u64,
    },
    /// The peer has seen a newer epoch.
    Fenced {
        /// Epoch that the peer has seen.
        seen: u64,
    },
    /// Any other reason.
    Other {
        /// Reason in words.
        reason: String,
    },
}

impl Refusal {
    /// Returns the status code of the answer.
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
