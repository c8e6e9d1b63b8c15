//! Keys of callers: which team a call belongs to, and whether it is allowed.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use rosemaryworks_workflow::{Team, Teams};
use serde::{Deserialize, Serialize};

use crate::config::{Config, Route};

/// The teams of a configuration and their keys. Its debug output shows no key.
#[derive(Clone, Default, Deserialize, PartialEq, Serialize)]
pub struct Directory {
    teams: Teams,
    /// Team of each key.
    keys: HashMap<Arc<str>, Arc<str>>,
}

impl fmt::Debug for Directory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Directory")
            .field("teams", &self.teams)
            .field("keys", &self.keys.len())
            .finish()
    }
}

impl Directory {
    /// Creates a directory of teams, each with its keys. A key that is given to several teams belongs
    /// to the first one.
    #[must_use]
    pub fn new(members: Vec<(Team, Vec<Arc<str>>)>) -> Self {
        let mut directory = Self::default();
        let mut teams = Vec::new();
        for (team, keys) in members {
            for key in keys {
                directory.keys.entry(key).or_insert(team.name.clone());
            }
            teams.push(team);
        }
        directory.teams = teams.into_iter().collect();
        directory
    }

    /// Returns the team that a key belongs to.
    #[must_use]
    pub fn team(&self, key: &str) -> Option<&Arc<str>> {
        self.keys.get(key)
    }

    /// Returns the teams.
    #[must_use]
    pub fn teams(&self) -> &Teams {
        &self.teams
    }
}

/// Judgement of a call by its key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The call is allowed, for a team if its key belongs to one.
    Allowed(Option<Arc<str>>),
    /// The call needs a key of a team and has none.
    Denied,
}

impl Config {
    /// Judges a call of a route by the key that it carries. Without teams no key is looked at.
    #[must_use]
    pub fn judge(&self, route: &Route, key: Option<&str>) -> Verdict {
        let Some(teams) = &self.teams else {
            return Verdict::Allowed(None);
        };
        let team = key.and_then(|key| teams.team(key)).cloned();
        match (team, route.anonymous) {
            (None, false) => Verdict::Denied,
            (team, _) => Verdict::Allowed(team),
        }
    }
}
