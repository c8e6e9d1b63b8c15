//! Tests of the mapping to shards and of limits split among shards.

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
    /// Guards against shares that don't sum to the limit.
    fn shares_sum_to_the_limit(
        count: u8,
        contract: String,
        limit: u32,
        pinning_limit: u32
    ) -> bool {
        let map = map(count);
        let share = |id: &Id| map.share(id, &contract, limit.into(), pinning_limit.into());
        let sum: u64 = map.shards().iter().map(share).sum();
        sum == u64::from(limit)
    }

    /// Guards against a pinned contract whose requests go to a shard that has no share.
    fn a_pinned_contract_has_its_whole_limit_in_its_shard(
        count: u8,
        contract: String,
        key: String
    ) -> bool {
        let map = map(count);
        let limit = 4 * u64::from(count.max(1)) - 1;
        let shard = map.shard_of_key(Kind::Service, "s", &contract, &key, limit).unwrap();
        let other = map.shard_of_key(Kind::Service, "s", &contract, "other", limit).unwrap();
        shard == other && map.share(&shard, &contract, limit, limit) == limit
    }

    /// Guards against a contract that is not pinned and has no share in a shard that its requests
    /// go to.
    fn an_unpinned_contract_has_a_share_in_every_shard(
        count: u8,
        contract: String,
        extra: u8
    ) -> bool {
        let map = map(count);
        let limit = 4 * u64::from(count.max(1)) + u64::from(extra);
        map.shards().iter().all(|id| map.share(id, &contract, limit, limit) >= 4)
    }

    /// Guards against a contract with a high concurrency and a low rate or burst: when only the
    /// concurrency decided whether it was pinned, its rate was 0 in some of its shards.
    fn every_service_limit_has_a_share_where_requests_go(
        count: u8,
        limits: (u32, u32, u32)
    ) -> bool {
        let map = map(count);
        let (rate, burst, concurrency) = (limits.0.max(1), limits.1.max(1), limits.2.max(1));
        let service = Service { rate, burst, concurrency, queue: 0 };
        let pinning_limit = service.pinning_limit();
        (0..20).all(|key| {
            let shard = map
                .shard_of_key(Kind::Service, "s", "c", &format!("r-{key}"), pinning_limit)
                .unwrap();
            let share = |limit: u32| map.share(&shard, "c", limit.into(), pinning_limit);
            [rate, burst, concurrency].iter().all(|limit| share(*limit) > 0)
        })
    }
}

/// Guards against a changed hash, with which processes of two versions would map names to different
/// shards. The expected shards were computed with another implementation of FNV-1a.
#[test]
fn shards_of_keys_are_stable() {
    let map = map(3);
    let shard_of = |key| {
        map.shard_of_key(Kind::Service, "s", "avvolgi", key, 1_000)
            .unwrap()
            .index
    };
    let shards: Vec<_> = ["a", "b", "c", "d", "e", "f"].map(shard_of).into();
    assert_eq!(shards, EXPECTED);
    assert_eq!(map.shard_of_instance("s", "booking-7").unwrap().index, 1);
}

/// Shard indexes of the keys `a` to `f`.
const EXPECTED: [u32; 6] = [2, 1, 0, 2, 0, 1];
