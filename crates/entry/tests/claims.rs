//! Guards against shards without an owner, and against changes of the owner without need.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use rosemaryworks_entry::claim::{
    Candidate, Claim, Claims, EXPIRY_MS, PROGRESS_MS, Takeover, UNLINKED_EXPIRY_MS, key, shard_of,
};

const SHARD: u32 = 7;

fn address() -> SocketAddr {
    "127.0.0.1:9".parse().expect("an address")
}

fn claim(node: &str, incarnation: u64, epoch: u64, renewal: u64) -> Claim {
    Claim {
        epoch,
        node: node.into(),
        incarnation,
        address: address(),
        renewal,
        unfinished: false,
        millicores: 500,
        taking_over: false,
    }
}

fn candidate<'a>(node: &'a str, millicores: u64, held: &'a BTreeSet<u32>) -> Candidate<'a> {
    Candidate {
        node,
        incarnation: 2,
        millicores,
        held,
    }
}

/// Returns the shards due for a candidate with one core.
fn due(claims: &mut Claims, node: &str, unlinked: bool, now_ms: u64) -> Vec<(u32, u64)> {
    let wanted = BTreeSet::from([SHARD]);
    let unlinked: BTreeSet<SocketAddr> = unlinked.then(address).into_iter().collect();
    let held = BTreeSet::new();
    claims.due(&wanted, candidate(node, 1_000, &held), &unlinked, now_ms)
}

/// Reads the claims every 300 ms until the shard is due. Returns that time.
fn due_at(claims: &mut Claims, node: &str, unlinked: bool, from_ms: u64) -> u64 {
    let mut now_ms = from_ms;
    loop {
        claims.caught_up(now_ms);
        if !due(claims, node, unlinked, now_ms).is_empty() {
            return now_ms;
        }
        now_ms += 300;
        assert!(now_ms < from_ms + 60_000, "never due");
    }
}

#[test]
fn a_key_identifies_its_shard() {
    assert_eq!(shard_of(&key(SHARD)), Some(SHARD));
    assert_eq!(shard_of("shard-x"), None);
}

#[test]
fn a_renewed_claim_is_not_taken_over() {
    let mut claims = Claims::default();
    for renewal in 0..40 {
        let now_ms = 10_000 + renewal * 400;
        claims.apply(SHARD, claim("a", 1, 1, renewal), now_ms);
        claims.caught_up(now_ms);
        assert!(due(&mut claims, "b", false, now_ms).is_empty());
    }
}

#[test]
fn an_expired_claim_is_taken_over_with_the_next_epoch() {
    let mut claims = Claims::default();
    claims.caught_up(9_900);
    claims.apply(SHARD, claim("a", 1, 4, 9), 10_000);
    let at = due_at(&mut claims, "b", false, 10_000);
    assert!(
        (EXPIRY_MS..=EXPIRY_MS + 900).contains(&(at - 10_000)),
        "{at}"
    );
    assert_eq!(due(&mut claims, "b", false, at), vec![(SHARD, 5)]);
}

#[test]
fn a_claim_expires_sooner_if_the_owner_lost_its_links() {
    let mut claims = Claims::default();
    claims.caught_up(9_900);
    claims.apply(SHARD, claim("a", 1, 4, 9), 10_000);
    let at = due_at(&mut claims, "b", true, 10_000);
    assert!(
        (UNLINKED_EXPIRY_MS..EXPIRY_MS).contains(&(at - 10_000)),
        "{at}"
    );
}

#[test]
fn no_claim_expires_after_a_gap_in_the_reads() {
    let mut claims = Claims::default();
    claims.caught_up(9_900);
    claims.apply(SHARD, claim("a", 1, 4, 9), 10_000);
    // The log is unreachable for ten seconds, for the owner as well.
    claims.caught_up(20_000);
    assert!(due(&mut claims, "b", false, 20_000).is_empty());
    claims.apply(SHARD, claim("a", 1, 4, 10), 20_400);
    claims.caught_up(20_400);
    assert!(due(&mut claims, "b", false, 20_700).is_empty());
}

#[test]
fn a_released_shard_is_claimed_at_once() {
    for announced in [false, true] {
        let mut claims = Claims::default();
        claims.caught_up(9_900);
        claims.apply(SHARD, claim("a", 1, 4, 9), 10_000);
        if announced {
            claims.released(SHARD, 4);
        } else {
            claims.apply(SHARD, claim("", 1, 4, 10), 10_000);
        }
        assert_eq!(claims.owner_has_ended(SHARD, "b", 2), !announced);
        let at = due_at(&mut claims, "b", false, 10_000);
        assert!(at <= 10_300, "announced={announced} at={at}");
    }
}

#[test]
fn a_restarted_process_claims_its_own_shard_at_once() {
    let mut claims = Claims::default();
    claims.caught_up(9_900);
    claims.apply(SHARD, claim("a", 1, 4, 9), 10_000);
    assert!(claims.owner_has_ended(SHARD, "a", 2));
    assert!(due_at(&mut claims, "a", false, 10_000) <= 10_300);
}

#[test]
fn renewals_of_an_older_owner_are_ignored() {
    let mut claims = Claims::default();
    claims.apply(SHARD, claim("b", 2, 5, 0), 10_000);
    claims.apply(SHARD, claim("a", 1, 4, 99), 10_100);
    assert_eq!(claims.get(SHARD).map(|claim| &*claim.node), Some("b"));
}

#[test]
fn a_stronger_vm_claims_first() {
    let mut times = Vec::new();
    for millicores in [500, 120] {
        let mut claims = Claims::default();
        claims.caught_up(9_900);
        let wanted = BTreeSet::from([SHARD]);
        let mut now_ms = 10_000;
        while claims
            .due(
                &wanted,
                candidate("a", millicores, &BTreeSet::new()),
                &BTreeSet::new(),
                now_ms,
            )
            .is_empty()
        {
            now_ms += 10;
            claims.caught_up(now_ms);
        }
        times.push(now_ms);
    }
    assert!(times[0] + 100 < times[1], "{times:?}");
}

/// Guards against a successor that regards an earlier owner as ended because an unfinished takeover
/// between them was released.
#[test]
fn an_unfinished_takeover_does_not_end_the_earlier_owner() {
    let mut claims = Claims::default();
    let unfinished = Claim {
        unfinished: true,
        ..claim("", 1, 5, u64::MAX)
    };
    claims.apply(SHARD, unfinished, 10_000);
    assert!(!claims.owner_has_ended(SHARD, "c", 3));
    claims.apply(SHARD, claim("c", 1, 6, 0), 10_000);
    assert!(
        !claims.owner_has_ended(SHARD, "c", 3),
        "its own takeover was not finished"
    );
}

/// Guards against tasks that run twice after two changes of owner: a process that restarts while the
/// owner before it may still act took the shard as its own since its first renewal.
#[test]
fn an_owner_that_has_not_fenced_its_predecessor_does_not_end_it() {
    let mut claims = Claims::default();
    let renewed = |renewal, unfinished| Claim {
        unfinished,
        ..claim("c", 1, 6, renewal)
    };
    claims.apply(SHARD, renewed(1, true), 10_000);
    assert!(!claims.owner_has_ended(SHARD, "c", 3));
    claims.apply(SHARD, renewed(2, false), 10_250);
    assert!(claims.owner_has_ended(SHARD, "c", 3));
}

/// Guards against reads at fixed times, which would add up to two pauses to each takeover.
#[test]
fn the_next_read_comes_when_a_shard_is_due() {
    let mut claims = Claims::default();
    claims.caught_up(9_900);
    claims.apply(SHARD, claim("", 1, 4, 10), 10_000);
    assert!(due(&mut claims, "b", false, 10_000).is_empty());
    let pause_ms = claims.pause_ms(500, true, 10_000);
    assert!(pause_ms < 150, "{pause_ms}");
    claims.caught_up(10_000 + pause_ms);
    assert_eq!(due(&mut claims, "b", false, 10_000 + pause_ms).len(), 1);
}

#[test]
fn reads_are_not_repeated_while_nothing_is_due() {
    let mut claims = Claims::default();
    claims.caught_up(9_900);
    claims.apply(SHARD, claim("a", 1, 4, 9), 10_000);
    assert!(due(&mut claims, "b", false, 10_000).is_empty());
    assert!(claims.pause_ms(500, true, 10_000) >= 300);
    // A due time in the past without a claim doesn't shorten the pause.
    assert!(claims.pause_ms(500, true, 60_000) >= 300);
}

/// Guards against needless reads: those of 37 weak VMs were a fifth of all calls to the log.
#[test]
fn a_weaker_vm_reads_less_often_while_it_is_linked() {
    let mut claims = Claims::default();
    claims.caught_up(9_900);
    claims.apply(SHARD, claim("a", 1, 4, 9), 10_000);
    assert!(due(&mut claims, "b", false, 10_000).is_empty());
    assert!(claims.pause_ms(120, true, 10_000) > 1_000);
    assert!(claims.pause_ms(120, false, 10_000) <= 300);
    assert!(claims.pause_ms(500, true, 10_000) <= 300);
    claims.released(SHARD, 4);
    assert!(due(&mut claims, "b", false, 10_000).is_empty());
    assert!(claims.pause_ms(120, true, 10_000) <= 300);
}

/// Guards against a shard without an owner for good: the claim of the last process was written
/// without an answer, or its takeover failed, and the process never claimed the shard again.
#[test]
fn an_own_claim_that_is_not_held_expires() {
    let mut claims = Claims::default();
    claims.caught_up(9_900);
    claims.apply(SHARD, claim("b", 2, 4, 0), 10_000);
    let at = due_at(&mut claims, "b", false, 10_000);
    assert!(at >= 10_000 + EXPIRY_MS, "{at}");
    assert_eq!(due(&mut claims, "b", false, at), vec![(SHARD, 5)]);
}

/// Guards against an owner that claims its own shard again.
#[test]
fn a_held_shard_is_not_claimed() {
    let mut claims = Claims::default();
    claims.caught_up(9_900);
    claims.apply(SHARD, claim("b", 2, 4, 0), 10_000);
    let shards = BTreeSet::from([SHARD]);
    let now_ms = 60_000;
    claims.caught_up(now_ms - 200);
    claims.caught_up(now_ms);
    let holder = candidate("b", 1_000, &shards);
    let due = claims.due(&shards, holder, &BTreeSet::new(), now_ms + 5_000);
    assert!(due.is_empty());
}

/// A claimant that is paused or whose reads aren't answered would hold its shard for good.
#[test]
fn a_takeover_that_stands_still_renews_its_claim_no_more() {
    let mut takeover = Takeover::new(3, 1_000);
    assert_eq!(takeover.next_renewal(1_000 + PROGRESS_MS - 1), Some(1));
    assert_eq!(takeover.next_renewal(1_000 + PROGRESS_MS), None);
    takeover.progressed(2_000);
    assert_eq!(takeover.next_renewal(2_000), Some(2));
    takeover.end();
    takeover.progressed(2_000);
    assert_eq!(takeover.next_renewal(2_000), None);
    assert_eq!(takeover.renewals(), 2);
}

/// A process whose earlier incarnation stopped halfway in a takeover took the predecessor for ended.
#[test]
fn a_renewed_claim_of_a_takeover_is_no_proof_that_the_predecessor_has_ended() {
    let mut claims = Claims::default();
    let renewed = Claim {
        unfinished: true,
        ..claim("a", 1, 4, 3)
    };
    claims.apply(SHARD, renewed, 10_000);
    assert!(!claims.owner_has_ended(SHARD, "a", 2));
}

/// Guards against a weak VM that keeps a shard for seconds while it reads the shard's records: on one
/// day a VM of 0.09 cores held a claim for 3.6 s and served nothing, and a stronger VM then took
/// 0.2 s.
#[test]
fn a_takeover_on_a_weak_vm_yields_to_a_stronger_one_only() {
    let mut claims = Claims::default();
    claims.caught_up(0);
    for renewal in 0..8 {
        let mut claim = claim("weak", 1, 3, renewal);
        (claim.millicores, claim.taking_over) = (120, true);
        let now_ms = renewal * 250;
        claims.caught_up(now_ms);
        claims.apply(SHARD, claim, now_ms);
    }
    let wanted = BTreeSet::from([SHARD]);
    let (held, linked) = (BTreeSet::new(), BTreeSet::new());
    let mut due = |millicores| {
        let candidate = candidate("other", millicores, &held);
        claims.due(&wanted, candidate, &linked, 1_800)
    };
    assert_eq!(due(500), [(SHARD, 4)]);
    assert_eq!(due(200), []);
}
