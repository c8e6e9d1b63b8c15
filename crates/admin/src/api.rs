//! Shared state of the administration API and authentication of operators.

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

/// An operator and the bearer key that authenticates the operator.
#[derive(Clone, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Name recorded in the audit trail.
    pub name: Arc<str>,
    /// Bearer key.
    pub key: Arc<str>,
}

/// Omits the key, so that it never reaches a log.
impl fmt::Debug for Operator {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Operator")
            .field("name", &self.name)
            .finish_non_exhaustive()
    }
}

/// State of the route handlers. Clones share the same state.
#[derive(Clone)]
pub struct Api {
    /// Static description of the cell: schedulers, gateways and partition.
    pub cell: Arc<Cell>,
    /// Contracts in force.
    pub contracts: Contracts,
    /// Operators who may use the API.
    pub operators: Arc<[Operator]>,
    /// Links to all schedulers of the cell.
    pub schedulers: Arc<[Client]>,
    /// Appender of the contracts stream.
    pub contracts_appender: Appender,
    /// Rate-limited writer of the audit stream.
    pub refusals: Refusals,
    /// Log from which the audit stream is read.
    pub log: Arc<dyn Log>,
    /// Runtime on which calls to the log and to schedulers run.
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
        // Compares with the key of every operator: the response time must not reveal a near match.
        self.operators.iter().fold(None, |matched, operator| {
            let equal = keys::matches_any(key, std::slice::from_ref(&operator.key));
            if equal {
                Some(operator.name.clone())
            } else {
                matched
            }
        })
    }
}
