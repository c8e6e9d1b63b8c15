//! Property tests of the division of caps over shards: whatever happens to messages, owners and
//! configurations, the parts of all shards never exceed one cap.

mod support {
    pub(crate) mod fleet;
}

use std::collections::BTreeSet;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use rosemaryworks_core::size::Size;
use rosemaryworks_workflow::{Account, Action, Ask, Grant, Record, Resource, Shard, Teams, Want};
use support::fleet::{settings, team, worker};

const SHARDS: u32 = 3;
const WHOLE: u64 = 1_000_000;
/// Time after which every owner knows a configuration, in milliseconds.
const PROPAGATION_MS: u64 = 9_000;

fn account() -> Account {
    Account::new(&"a".into(), Resource::Processor)
}

/// What happens next.
#[derive(Clone, Debug)]
enum Event {
    /// Time passes.
    Advance(u16),
    /// A configuration with another set of shards or another cap is published.
    Publish { members: u8, cap: u8 },
    /// An owner learns a published configuration.
    Learn { shard: u8, version: u8 },
    /// An owner asks another one; its message may stay under way.
    Ask { from: u8, to: u8, wanted: u32 },
    /// A message under way arrives; it may arrive again.
    Deliver { message: u8, stays: bool },
    /// A message under way is lost.
    Lose(u8),
    /// Records of an owner become durable.
    Store { shard: u8, count: u8 },
    /// A successor takes a shard over. The former owner doesn't know it yet.
    TakeOver { shard: u8, version: u8 },
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let byte = u8::arbitrary(g);
        let other = u8::arbitrary(g);
        match u8::arbitrary(g) % 32 {
            0..=2 => Self::Advance(u16::arbitrary(g) % 2_000),
            3 => Self::Publish {
                members: byte,
                cap: other,
            },
            4..=5 => Self::Learn {
                shard: byte,
                version: other,
            },
            6..=13 => Self::Ask {
                from: byte,
                to: other,
                wanted: u32::arbitrary(g) % 1_200_000,
            },
            14..=23 => Self::Deliver {
                message: byte,
                stays: bool::arbitrary(g),
            },
            24 => Self::Lose(byte),
            25..=28 => Self::Store {
                shard: byte,
                count: other % 8,
            },
            _ => Self::TakeOver {
                shard: byte,
                version: other,
            },
        }
    }
}

struct Published {
    at_ms: u64,
    members: BTreeSet<u32>,
    cap: Size,
}

struct Owner {
    state: Shard,
    version: usize,
    /// Records that are not durable.
    pending: Vec<Record>,
    durable: u64,
}

/// An owner that doesn't know its successor yet.
struct Former {
    shard: usize,
    owner: Owner,
    fenced_ms: u64,
}

enum Message {
    Ask(usize, Ask),
    Grant { to: usize, from: u32, grant: Grant },
}

struct World {
    now_ms: u64,
    epoch: u64,
    published: Vec<Published>,
    owners: Vec<Owner>,
    /// Former owners, which may still use their parts.
    former: Vec<Former>,
    logs: Vec<Vec<Record>>,
    messages: Vec<Message>,
}

impl Owner {
    fn learn(&mut self, shard: usize, version: usize, published: &Published, now_ms: u64) {
        self.version = version;
        let teams: Teams = [team("a", 1.0, published.cap)].into_iter().collect();
        let members = published.members.clone();
        self.state.set_teams(Some(teams));
        self.state
            .set_members(shard as u32, version as u64 + 1, members, now_ms);
        self.collect();
    }

    fn collect(&mut self) {
        for action in self.state.take_actions() {
            if let Action::Record(record) = action {
                self.pending.push(record);
            }
        }
    }
}

impl World {
    fn new() -> Self {
        let first = Published {
            at_ms: 0,
            members: (0..SHARDS).collect(),
            cap: Size::new(1_000, 0),
        };
        let mut world = Self {
            now_ms: 1_000,
            epoch: 0,
            published: vec![first],
            owners: Vec::new(),
            former: Vec::new(),
            logs: (0..SHARDS).map(|_| Vec::new()).collect(),
            messages: Vec::new(),
        };
        for shard in 0..SHARDS as usize {
            let owner = world.recover(shard, 0);
            world.owners.push(owner);
        }
        // The only member of a set counts as the only shard if it has no record. The last shard has
        // none, as that of an added pool.
        for shard in 0..SHARDS as u8 - 1 {
            world.apply(Event::Store { shard, count: 9 });
        }
        world
    }

    fn recover(&mut self, shard: usize, version: usize) -> Owner {
        self.epoch += 1;
        let mut owner = Owner {
            state: Shard::new(settings(), self.epoch),
            version,
            pending: Vec::new(),
            durable: 0,
        };
        owner.learn(shard, version, &self.published[version], self.now_ms);
        for record in &self.logs[shard] {
            owner.state.replay(record.clone(), self.now_ms);
        }
        // A worker that doesn't answer and may run nothing: the former owner is fenced by time only.
        let silent = worker("silent", Size::ZERO, 1);
        owner.state.list_worker(silent, self.now_ms);
        owner.state.finish_replay(false, self.now_ms);
        owner.collect();
        owner
    }

    /// Returns the oldest version that a process may still use.
    fn oldest_version(&self) -> usize {
        let is_past = |next: &Published| next.at_ms + PROPAGATION_MS <= self.now_ms;
        self.published.iter().rposition(is_past).unwrap_or(0)
    }

    fn version(&self, number: u8) -> usize {
        let oldest = self.oldest_version();
        oldest + usize::from(number) % (self.published.len() - oldest)
    }

    fn apply(&mut self, event: Event) {
        let shard = |number: u8| usize::from(number) % SHARDS as usize;
        match event {
            Event::Advance(ms) => {
                self.now_ms += u64::from(ms);
                let oldest = self.oldest_version();
                for (index, owner) in self.owners.iter_mut().enumerate() {
                    if owner.version < oldest {
                        owner.learn(index, oldest, &self.published[oldest], self.now_ms);
                    }
                    owner.state.tick(self.now_ms, self.now_ms);
                    owner.collect();
                }
                // Without a proof of its ownership a former owner is suspended by then.
                let now_ms = self.now_ms;
                self.former.retain(|former| now_ms < former.fenced_ms);
            }
            Event::Publish { members, cap } => {
                let named = (0..SHARDS).filter(|shard| members & (1 << shard) != 0);
                let mut named: BTreeSet<u32> = named.collect();
                // A pool is not replaced by another one in one revision.
                named.insert(0);
                self.published.push(Published {
                    at_ms: self.now_ms,
                    members: named,
                    cap: Size::new(1 + u64::from(cap), 0),
                });
            }
            Event::Learn {
                shard: index,
                version,
            } => {
                let (index, version) = (shard(index), self.version(version));
                let owner = &mut self.owners[index];
                if version > owner.version {
                    owner.learn(index, version, &self.published[version], self.now_ms);
                }
            }
            Event::Ask { from, to, wanted } => {
                let (from, to) = (shard(from), shard(to));
                let state = &self.owners[from].state;
                let Some((mut ask, _)) = state.ask(self.now_ms).or_else(|| self.any_ask(from))
                else {
                    return;
                };
                let part = state.cap_part(&account());
                ask.wants = vec![Want {
                    account: account(),
                    part,
                    used: 0,
                    wanted: u64::from(wanted),
                    next: u64::from(wanted),
                    held_ms: u64::from(wanted % 3_000),
                }];
                if from != to {
                    self.messages.push(Message::Ask(to, ask));
                }
            }
            Event::Deliver { message, stays } => self.deliver(message, stays),
            Event::Lose(message) => {
                if !self.messages.is_empty() {
                    let index = usize::from(message) % self.messages.len();
                    self.messages.swap_remove(index);
                }
            }
            Event::Store {
                shard: index,
                count,
            } => {
                let index = shard(index);
                let owner = &mut self.owners[index];
                let count = usize::from(count).min(owner.pending.len());
                self.logs[index].extend(owner.pending.drain(..count));
                owner.durable += count as u64;
                owner.state.mark_durable(owner.durable);
            }
            Event::TakeOver {
                shard: index,
                version,
            } => {
                let (index, version) = (shard(index), self.version(version));
                let successor = self.recover(index, version);
                let owner = std::mem::replace(&mut self.owners[index], successor);
                self.former.push(Former {
                    shard: index,
                    owner,
                    fenced_ms: self.now_ms + Shard::PREDECESSOR_FENCED_MS,
                });
            }
        }
    }

    /// Returns a request of an owner that lacks nothing.
    fn any_ask(&self, from: usize) -> Option<(Ask, BTreeSet<u32>)> {
        let owner = &self.owners[from];
        let probe = Ask {
            from: from as u32,
            members: 0,
            confirmed: None,
            wants: Vec::new(),
        };
        let members = owner.state.grant(&probe, self.now_ms).confirmed?.members;
        let ask = Ask { members, ..probe };
        Some((ask, BTreeSet::new()))
    }

    fn deliver(&mut self, message: u8, stays: bool) {
        if self.messages.is_empty() {
            return;
        }
        let index = usize::from(message) % self.messages.len();
        match &self.messages[index] {
            Message::Ask(to, ask) => {
                let owner = &mut self.owners[*to];
                owner.state.apply_ask(ask, self.now_ms);
                owner.collect();
                let grant = owner.state.grant(ask, self.now_ms);
                let (to, from) = (ask.from as usize, *to as u32);
                self.messages.push(Message::Grant { to, from, grant });
            }
            Message::Grant { to, from, grant } => {
                let owner = &mut self.owners[*to];
                owner.state.apply_grant(*from, grant.clone(), self.now_ms);
                owner.collect();
            }
        }
        if !stays {
            self.messages.swap_remove(index);
        }
    }

    /// Returns the sum of what the owners of all shards, and their former owners, may use.
    fn total(&self) -> u64 {
        let parts = self.owners.iter().enumerate().map(|(shard, owner)| {
            let former = self.former.iter().filter(|former| former.shard == shard);
            let former = former.map(|former| former.owner.state.cap_part(&account()));
            former.fold(owner.state.cap_part(&account()), u64::max)
        });
        parts.sum()
    }
}

/// Guards against parts that exceed one cap together under lost, repeated, late and reordered
/// messages, takeovers before and after a record is durable, changed caps and pools.
#[test]
fn the_parts_of_all_shards_never_exceed_one_cap() {
    fn property(events: Vec<Event>) -> bool {
        let mut world = World::new();
        events.into_iter().all(|event| {
            world.apply(event);
            world.total() <= WHOLE
        })
    }
    QuickCheck::new()
        .rng(Gen::new(400))
        .tests(1_500)
        .quickcheck(property as fn(Vec<Event>) -> bool);
}

/// Guards against caps of which shards can't use their parts, because they don't agree on the set of
/// shards, and against parts that don't move.
#[test]
fn owners_agree_and_move_the_whole_cap() {
    let mut world = World::new();
    world.apply(Event::Advance(2_000));
    for _ in 0..3 {
        exchange(&mut world, 0);
    }
    assert!(world.total() > WHOLE - 4, "{}", world.total());
    for _ in 0..2 {
        exchange(&mut world, u32::try_from(WHOLE).expect("a part"));
    }
    let parts = world
        .owners
        .iter()
        .map(|owner| owner.state.cap_part(&account()));
    assert_eq!(parts.collect::<Vec<_>>(), [WHOLE, 0, 0]);
}

/// Lets all owners ask all others, the first one for a part; no message is lost.
fn exchange(world: &mut World, wanted: u32) {
    let shards = SHARDS as u8;
    for (from, to) in (0..shards).flat_map(|from| (0..shards).map(move |to| (from, to))) {
        let wanted = if from == 0 { wanted } else { 0 };
        for shard in 0..shards {
            world.apply(Event::Store { shard, count: 9 });
        }
        world.apply(Event::Ask { from, to, wanted });
        if from == to {
            continue;
        }
        for _ in 0..2 {
            for shard in 0..shards {
                world.apply(Event::Store { shard, count: 9 });
            }
            let last = world.messages.len().saturating_sub(1) as u8;
            world.apply(Event::Deliver {
                message: last,
                stays: false,
            });
        }
    }
}

/// Guards against a successor that gives a part away while the former owner may still use it.
#[test]
fn a_successor_gives_nothing_until_the_former_owner_is_fenced() {
    let mut world = World::new();
    world.apply(Event::Advance(2_000));
    for _ in 0..3 {
        exchange(&mut world, 0);
    }
    let successor = Event::TakeOver {
        shard: 1,
        version: 0,
    };
    world.apply(successor);
    let parts = |world: &World| -> Vec<u64> {
        let owners = world.owners.iter();
        owners
            .map(|owner| owner.state.cap_part(&account()))
            .collect()
    };
    for _ in 0..2 {
        exchange(&mut world, 1_000_000);
    }
    assert_eq!(parts(&world), [666_667, 333_333, 0]);
    world.apply(Event::Advance(2_000));
    for _ in 0..2 {
        exchange(&mut world, 1_000_000);
    }
    assert_eq!(parts(&world), [WHOLE, 0, 0]);
}
