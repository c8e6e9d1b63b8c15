//! Where the next read of the configuration begins.
//!
//! Only the newest version counts. A process that is behind skips the versions between, so that what a
//! read carries doesn't grow with the time for which reads have failed.

/// A read of the configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Read {
    /// The newest version, wherever it lies.
    Newest,
    /// The versions from an offset on. At the end of the stream, the read waits.
    After {
        /// Offset.
        offset: u64,
        /// Longest wait in milliseconds.
        wait_ms: u64,
    },
    /// Some of the versions from an offset on, without a wait.
    Part {
        /// Offset.
        offset: u64,
    },
}

/// What a read returned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Extent {
    /// Offset after the records returned.
    pub next: u64,
    /// End of the stream.
    pub end: u64,
    /// Versions that can be used.
    pub usable: usize,
    /// Versions that can't be used.
    pub unusable: usize,
}

/// What to do at the end of a read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// The newest version was read.
    Current,
    /// There are newer versions.
    Behind,
}

/// Which offset is read next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Place {
    /// The newest version is read wherever it lies. Versions since `from` were not read.
    Newest { from: Option<u64> },
    /// All versions before the offset were read, or are older than one that was.
    Following(u64),
    /// The last record of the stream. Those since `from` are skipped if it holds a version.
    Last { offset: u64, from: u64 },
    /// The last record can't be used, so all since the offset are read one after the other.
    Each(u64),
}

impl Default for Place {
    fn default() -> Self {
        Self::Newest { from: None }
    }
}

/// Read position in the stream of configurations.
#[derive(Debug, Default)]
pub struct Position {
    place: Place,
    /// Whether the last read failed, so that versions may have piled up.
    failed: bool,
    /// Offset whose records are no longer retained.
    expired: Option<u64>,
    /// Whether a version that can't be used here may be newer than the newest usable one. Another build
    /// may be able to use it.
    hides_version: bool,
}

impl Position {
    /// Returns the next read, which waits up to `wait_ms` unless the last one failed or left versions.
    #[must_use]
    pub fn next_read(&self, wait_ms: u64) -> Read {
        match self.place {
            Place::Newest { .. } => Read::Newest,
            Place::Following(offset) if !self.failed => Read::After { offset, wait_ms },
            Place::Following(offset) | Place::Last { offset, .. } | Place::Each(offset) => {
                Read::Part { offset }
            }
        }
    }

    /// Records what a read returned.
    pub fn ended(&mut self, extent: Extent) -> Step {
        let Extent {
            next,
            end,
            usable,
            unusable,
        } = extent;
        self.failed = false;
        if usable + unusable > 0 {
            self.hides_version = unusable > 0;
        }
        self.place = match self.place {
            Place::Last { from, .. } | Place::Newest { from: Some(from) } if unusable > 0 => {
                Place::Each(from)
            }
            // Another key was written last.
            Place::Last { from, .. } if usable == 0 => Place::Newest { from: Some(from) },
            Place::Each(from) if from < next && next < end => Place::Each(next),
            Place::Each(_) if next < end => Place::Newest { from: None },
            _ if next < end => Place::Last {
                offset: end - 1,
                from: next,
            },
            _ => Place::Following(next),
        };
        match self.place {
            Place::Following(_) => Step::Current,
            _ => Step::Behind,
        }
    }

    /// Records that a read failed.
    pub fn failed(&mut self) {
        self.failed = true;
    }

    /// Records that the records at the offset are no longer retained.
    pub fn expired(&mut self) {
        self.expired = self.expired.max(self.read_to());
        self.place = Place::default();
    }

    /// Returns the offset before which no newer version lies than the newest that was read; `None` if it
    /// isn't known.
    #[must_use]
    pub fn offset(&self) -> Option<u64> {
        self.read_to().filter(|_| !self.hides_version)
    }

    fn read_to(&self) -> Option<u64> {
        match self.place {
            Place::Newest { from } => from,
            Place::Following(offset) | Place::Each(offset) => Some(offset),
            Place::Last { from, .. } => Some(from),
        }
    }

    /// Moves to an offset before which no newer version lies than the one in force.
    pub fn skip_to(&mut self, offset: u64) {
        let is_passed = match self.place {
            Place::Newest { from } => self.expired.max(from) >= Some(offset),
            Place::Following(own) | Place::Each(own) | Place::Last { offset: own, .. } => {
                own >= offset
            }
        };
        if !is_passed {
            self.place = Place::Following(offset);
            self.hides_version = false;
        }
    }
}
