//! Identifiers and epochs of shards. A shard is a part of the work with one owner.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Epoch of a shard's ownership: the offset of the claim record that created it.
///
/// [`Epoch::NONE`] is the epoch of a shard that has never been claimed.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Epoch(pub u64);

impl Epoch {
    /// The epoch of a shard that has never been claimed. Offsets of the log start at 1.
    pub const NONE: Self = Self(0);
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Kind of the targets of a shard.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Workers that run tasks.
    Pool,
    /// Instances of a service that serve requests.
    Service,
}

/// Name of a shard, such as `service/booking/0` or `pool/gpu/0`.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Id {
    /// Kind of the shard's targets.
    pub kind: Kind,
    /// Name of the service or the worker pool.
    pub group: Arc<str>,
    /// Index among the shards of the group.
    pub index: u32,
}

impl Id {
    /// Returns the shard `index` of worker pool `group`.
    #[must_use]
    pub fn pool(group: &str, index: u32) -> Self {
        Self {
            kind: Kind::Pool,
            group: group.into(),
            index,
        }
    }

    /// Returns the shard `index` of service `group`.
    #[must_use]
    pub fn service(group: &str, index: u32) -> Self {
        Self {
            kind: Kind::Service,
            group: group.into(),
            index,
        }
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self.kind {
            Kind::Pool => "pool",
            Kind::Service => "service",
        };
        write!(f, "{kind}/{}/{}", self.group, self.index)
    }
}

/// Error for a text that is not a shard name.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Malformed(pub String);

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} is not a shard name of the form pool/NAME/INDEX or service/NAME/INDEX",
            self.0
        )
    }
}

impl std::error::Error for Malformed {}

impl FromStr for Id {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let malformed = || Malformed(text.to_owned());
        let mut parts = text.split('/');
        let kind = match parts.next() {
            Some("pool") => Kind::Pool,
            Some("service") => Kind::Service,
            _ => return Err(malformed()),
        };
        let group = parts
            .next()
            .filter(|group| !group.is_empty())
            .ok_or_else(malformed)?;
        let index = parts
            .next()
            .and_then(|index| index.parse().ok())
            .ok_or_else(malformed)?;
        if parts.next().is_some() {
            return Err(malformed());
        }
        Ok(Self {
            kind,
            group: group.into(),
            index,
        })
    }
}

impl Serialize for Id {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Id {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
