//! Teams that share the pools of workers.

pub(crate) mod account;
pub(crate) mod counter;
pub(crate) mod exchange;
pub(crate) mod quota;
pub(crate) mod share;
pub(crate) mod usage;

use std::collections::BTreeMap;
use std::sync::Arc;

use rosemaryworks_core::size::Size;
use serde::{Deserialize, Serialize};

/// A team of callers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Team {
    /// Limit on what the team may have running over all pools. A component of 0 is unlimited.
    pub cap: Size,
    /// Name of the team.
    pub name: Arc<str>,
    /// Weight of the team when room is scarce.
    pub weight: f64,
}

/// The teams of a configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Teams(BTreeMap<Arc<str>, Team>);

impl Teams {
    /// Returns a team by its name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Team> {
        self.0.get(name)
    }

    /// Returns whether any team has a cap.
    pub(crate) fn has_caps(&self) -> bool {
        self.iter().any(|team| team.cap != Size::ZERO)
    }

    /// Returns all teams in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Team> {
        self.0.values()
    }
}

impl FromIterator<Team> for Teams {
    fn from_iter<I: IntoIterator<Item = Team>>(teams: I) -> Self {
        let by_name = teams.into_iter().map(|team| (team.name.clone(), team));
        Self(by_name.collect())
    }
}
