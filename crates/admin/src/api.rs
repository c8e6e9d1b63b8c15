//! State handle of the administration API.

use std::fmt;
use std::sync::Arc;

use rosemaryworks_node::settings::Cell;
use rosemaryworks_platform::Log;
use rosemaryworks_platform::appender::Appender;
use rosemaryworks_wire::link::Client;
use serde::{Deserialize, Serialize};

use crate::audit::Refusals;
use crate::contracts::Contracts;
use crate::keys;

/// An operator and the key with which the operator authenticates.
#[derive(Clone, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Name in the audit trail.
    pub name: Arc<str>,
    /// Bearer key.
    pub key: Arc<str>,
}

/// Leaves the key out.
impl fmt::Debug for Operator {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Operator")
            .field("name", &self.name)
            .finish_non_exhaustive()
    }
}

/// What the routes answer from. Clones share the same state.
#[derive(Clone)]
pub struct Api {
    /// The cell.
    pub cell: Arc<Cell>,
    /// Contracts in force.
    pub contracts: Contracts,
    /// Operators who may use the API.
    pub operators: Arc<[Operator]>,
    /// Links to the schedulers of the cell.
    pub schedulers: Arc<[Client]>,
    /// Appends to the contracts stream.
    pub contracts_appender: Appender,
    /// Writes to the audit stream.
    pub refusals: Refusals,
    /// Log from which the audit stream is read.
    pub log: Arc<dyn Log>,
    /// Runtime on which calls to other processes run.
    pub runtime: tokio::runtime::Handle,
}

impl fmt::Debug for Api {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Api")
            .field("cell", &self.cell.name)
            .finish_non_exhaustive()
    }
}

impl Api {
    /// Returns the operator whose key is in the `authorization` header.
    #[must_use]
    pub fn operator(&self, authorization: Option<&str>) -> Option<Arc<str>> {
        let key = keys::bearer(authorization?)?;
        // Compares with every operator's key, so the time taken doesn't tell whose key is close.
        self.operators.iter().fold(None, |found, operator| {
            let matches = keys::matches_any(key, std::slice::from_ref(&operator.key));
            if matches {
                Some(operator.name.clone())
            } else {
                found
            }
        })
    }
}
