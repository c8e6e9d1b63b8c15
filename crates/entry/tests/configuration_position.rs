//! Guards against reads of the configuration that carry more the longer they have failed, and against
//! versions that are skipped for good.

use quickcheck::quickcheck;
use rosemaryworks_entry::revisions::{Extent, Position, Read, Step};

const WAIT_MS: u64 = 1_800;

/// A record of the stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Entry {
    /// A configuration.
    Usable,
    /// A configuration that can't be decoded.
    Unusable,
    /// A record with another key.
    Other,
}

/// A process that follows a stream.
struct Follower<'a> {
    position: Position,
    stream: &'a [Entry],
    /// Offset of the newest version that it has.
    newest: Option<u64>,
    /// Records that its reads returned.
    carried: u64,
}

impl<'a> Follower<'a> {
    fn new(stream: &'a [Entry]) -> Self {
        Self {
            position: Position::default(),
            stream,
            newest: None,
            carried: 0,
        }
    }

    /// Carries out the next read, of which a part has `part` records at most.
    fn read(&mut self, part: usize) -> Step {
        let end = self.stream.len() as u64;
        let (from, entries) = match self.position.next_read(WAIT_MS) {
            Read::Newest => {
                let newest = self.stream.iter().rposition(|entry| *entry != Entry::Other);
                let newest = newest.map_or(0..0, |index| index..index + 1);
                (newest.start as u64, &self.stream[newest])
            }
            Read::After { offset, .. } => (offset, &self.stream[offset as usize..]),
            Read::Part { offset } => {
                let rest = &self.stream[offset as usize..];
                (offset, &rest[..part.min(rest.len())])
            }
        };
        self.carried += entries.len() as u64;
        let is_newest = self.position.next_read(WAIT_MS) == Read::Newest;
        let count = |kind| entries.iter().filter(|entry| **entry == kind).count();
        let usable = entries.iter().rposition(|entry| *entry == Entry::Usable);
        let usable = usable.map(|index| from + index as u64);
        self.newest = self.newest.max(usable);
        self.position.ended(Extent {
            next: match is_newest {
                true => end,
                false => from + entries.len() as u64,
            },
            end,
            usable: count(Entry::Usable),
            unusable: count(Entry::Unusable),
        })
    }
}

/// Returns a position that has read to an offset.
fn following(offset: u64) -> Position {
    let mut position = Position::default();
    position.skip_to(offset);
    position
}

#[test]
fn a_read_waits_at_the_end_of_the_stream() {
    let mut position = Position::default();
    assert_eq!(position.next_read(WAIT_MS), Read::Newest);
    let extent = Extent {
        next: 7,
        end: 7,
        usable: 1,
        unusable: 0,
    };
    assert_eq!(position.ended(extent), Step::Current);
    let wait_ms = WAIT_MS;
    assert_eq!(
        position.next_read(wait_ms),
        Read::After { offset: 7, wait_ms }
    );
    position.failed();
    assert_eq!(position.next_read(wait_ms), Read::Part { offset: 7 });
}

/// The backlog was carried whole, again after each time-out.
#[test]
fn a_backlog_of_any_length_costs_a_part_and_the_last_version() {
    for length in [2, 10, 1_000] {
        let stream = vec![Entry::Usable; length];
        let mut follower = Follower::new(&stream);
        follower.position = following(0);
        for _ in 0..20 {
            follower.position.failed();
            assert_eq!(
                follower.position.next_read(WAIT_MS),
                Read::Part { offset: 0 }
            );
        }
        while follower.read(1) == Step::Behind {}
        assert_eq!(follower.newest, Some(length as u64 - 1));
        assert_eq!(follower.carried, 2, "{length} versions");
    }
}

/// A version from a peer moved no offset, so the log sent it again, with all before it.
#[test]
fn a_version_from_a_peer_is_not_read_again() {
    let mut position = following(4);
    position.failed();
    position.skip_to(9);
    assert_eq!(position.next_read(WAIT_MS), Read::Part { offset: 9 });
    position.skip_to(6);
    assert_eq!(position.next_read(WAIT_MS), Read::Part { offset: 9 });
}

/// Records that have expired at a peer's offset would be asked for without end.
#[test]
fn an_offset_that_has_expired_is_not_read_again() {
    let mut position = following(4);
    position.expired();
    position.skip_to(4);
    assert_eq!(position.next_read(WAIT_MS), Read::Newest);
}

/// Another build may decode what this one can't, and would skip it with this one's offset.
#[test]
fn a_process_vouches_for_no_offset_beyond_a_version_that_it_cannot_use() {
    let stream = [Entry::Usable, Entry::Unusable];
    let mut follower = Follower::new(&stream);
    follower.position = following(0);
    while follower.read(2) == Step::Behind {}
    assert_eq!(follower.position.offset(), None);
    let stream = [stream.as_slice(), &[Entry::Usable]].concat();
    follower.stream = &stream;
    follower.read(2);
    assert_eq!(follower.position.offset(), Some(3));
}

quickcheck! {
    /// Whatever the last records are, a process that is behind ends with the newest version that it can
    /// use.
    fn the_newest_usable_version_is_found(kinds: Vec<u8>, part: u8, failures: Vec<bool>) -> bool {
        let stream: Vec<Entry> = kinds
            .iter()
            .map(|kind| match kind % 4 {
                0 => Entry::Unusable,
                1 => Entry::Other,
                _ => Entry::Usable,
            })
            .collect();
        let mut follower = Follower::new(&stream);
        follower.position = following(0);
        for has_failed in failures {
            match has_failed {
                true => follower.position.failed(),
                false => drop(follower.read(usize::from(part % 5) + 1)),
            }
        }
        for _ in 0..=2 * stream.len() {
            if follower.read(usize::from(part % 5) + 1) == Step::Current {
                break;
            }
        }
        let usable = stream.iter().rposition(|entry| *entry == Entry::Usable);
        follower.newest == usable.map(|index| index as u64)
    }
}
