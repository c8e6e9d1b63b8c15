//! Service jobs: spreads the tasks of a job over racks.

use crate::job::Kind;
use crate::placement::fleet::Fleet;
use crate::placement::index::{Index, Slot};
use crate::placement::policy::{DEFAULT, Plugin, Policy, Request, Rules};
use crate::placement::random::Random;

/// Number of racks up to which all racks are compared. Larger pools compare a random sample of
/// workers.
const RACKS_COMPARED: usize = 64;
/// Workers in the random sample.
const SAMPLE_SIZE: usize = 16;

/// Picks a worker in the rack with the fewest tasks of the job.
#[derive(Debug)]
struct Spread;

impl Policy for Spread {
    fn pick(&self, fleet: &Fleet, request: &Request<'_>, random: &mut Random) -> Option<Slot> {
        let few_racks = fleet.rack_members.len() <= RACKS_COMPARED;
        let find = |index: &Index, random: &mut Random| match few_racks {
            true => by_rack(fleet, index, request),
            false => by_sample(fleet, index, request, random),
        };
        find(&fleet.general, random).or_else(|| match request.long {
            true => None,
            false => find(&fleet.short_only, random),
        })
    }
}

fn by_rack(fleet: &Fleet, index: &Index, request: &Request<'_>) -> Option<Slot> {
    let tasks = |rack: usize| request.racks.get(&(rack as u32)).copied().unwrap_or(0);
    let mut racks: Vec<usize> = (0..fleet.rack_members.len()).collect();
    racks.sort_by_key(|rack| tasks(*rack));
    let fits = |slot: &Slot| request.size.fits(&index.free(*slot)) && !request.avoid.contains(slot);
    let fullest = |rack: usize| {
        let members = fleet.rack_members[rack].iter().copied().filter(fits);
        members.min_by_key(|slot| index.free(*slot).millicores)
    };
    racks.into_iter().find_map(fullest)
}

fn by_sample(
    fleet: &Fleet,
    index: &Index,
    request: &Request<'_>,
    random: &mut Random,
) -> Option<Slot> {
    let tasks = |slot: Slot| {
        let rack = fleet.get(slot).map(|worker| worker.rack);
        rack.and_then(|rack| request.racks.get(&rack))
            .copied()
            .unwrap_or(0)
    };
    let mut best: Option<(u32, Slot)> = None;
    for _ in 0..SAMPLE_SIZE {
        let from = random.below(u64::from(index.slot_count())) as Slot;
        let Some(slot) = fleet.first_fit(index, from, &request.size, request.avoid) else {
            continue;
        };
        let candidate = (tasks(slot), slot);
        if best.is_none_or(|best| candidate.0 < best.0) {
            best = Some(candidate);
        }
        if candidate.0 == 0 {
            break;
        }
    }
    best.map(|best| best.1)
        .or_else(|| fleet.first_fit(index, 0, &request.size, request.avoid))
}

inventory::submit! {
    Plugin { name: DEFAULT, kinds: &[Kind::Service], rules: Rules::FAIR_SHARE, policy: &Spread }
}
