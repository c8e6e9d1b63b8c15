//! Tests of the mapping to shards and the split of limits.

use quickcheck::quickcheck;
use rosemaryworks_core::contract::Service;
use rosemaryworks_core::partition::Map;
use rosemaryworks_core::shard::{Id, Kind};

fn map(count: u8) -> Map {
    let mut map = Map::default();
    map.services.insert("s".into(), u32::from(count.max(1)));
    map
}

quickcheck! {
    /// Guards against limits that grow or shrink when they are split.
    fn shares_sum_to_the_limit(count: u8, contract: String, limit: u32, smallest: u32) -> bool {
        let map = map(count);
        let share = |id: &Id| map.share(id, &contract, limit.into(), smallest.into());
        let sum: u64 = map.shards().iter().map(share).sum();
        sum == u64::from(limit)
    }

    /// Guards against a pinned contract whose requests go to a shard that has no share.
    fn a_pinned_contract_has_its_whole_limit_at_home(count: u8, contract: String, key: String) -> bool {
        let map = map(count);
        let limit = 4 * u64::from(count.max(1)) - 1;
        let home = map.shard_of_key(Kind::Service, "s", &contract, &key, limit).unwrap();
        let other = map.shard_of_key(Kind::Service, "s", &contract, "other", limit).unwrap();
        home == other && map.share(&home, &contract, limit, limit) == limit
    }

    /// Guards against a spread contract without a share in a shard that its requests go to.
    fn a_spread_contract_has_a_share_everywhere(count: u8, contract: String, extra: u8) -> bool {
        let map = map(count);
        let limit = 4 * u64::from(count.max(1)) + u64::from(extra);
        map.shards().iter().all(|id| map.share(id, &contract, limit, limit) >= 4)
    }

    /// Guards against a contract with a high concurrency and a low rate or burst: spread by its
    /// concurrency alone, it had a rate of 0 in some of its shards.
    fn a_service_limit_has_a_share_wherever_requests_go(count: u8, limits: (u32, u32, u32)) -> bool {
        let map = map(count);
        let (rate, burst, concurrency) = (limits.0.max(1), limits.1.max(1), limits.2.max(1));
        let service = Service { rate, burst, concurrency, queue: 0 };
        let smallest = service.pinning_limit();
        (0..20).all(|key| {
            let home = map.shard_of_key(Kind::Service, "s", "c", &format!("r-{key}"), smallest).unwrap();
            let share = |limit: u32| map.share(&home, "c", limit.into(), smallest);
            [rate, burst, concurrency].iter().all(|limit| share(*limit) > 0)
        })
    }
}

/// The shards are computed with FNV-1a elsewhere.
///
/// Guards against a changed hash: processes of two versions would disagree on the shards.
#[test]
fn homes_are_stable() {
    let map = map(3);
    let spread = |key| {
        map.shard_of_key(Kind::Service, "s", "avvolgi", key, 1_000)
            .unwrap()
            .index
    };
    let homes: Vec<_> = ["a", "b", "c", "d", "e", "f"].map(spread).into();
    assert_eq!(homes, HOMES);
    assert_eq!(map.shard_of_instance("s", "booking-7").unwrap().index, 1);
}

/// Shards of the keys `a` to `f`.
const HOMES: [u32; 6] = [2, 1, 0, 2, 0, 1];
