//! Guards against processes that handle calls by an old configuration because the log rejects them,
//! and against processes that go back to an older one.

use rosemaryworks_core::size::Size;
use rosemaryworks_entry::access::Directory;
use rosemaryworks_entry::revisions::tracker::{FRESH_MS, ROUND_MS};
use rosemaryworks_entry::revisions::{Judgement, Peers, Source, Tracker};
use rosemaryworks_entry::{Config, Route};
use rosemaryworks_wire::workflow::Revision;
use rosemaryworks_workflow::Team;

#[path = "support/memory.rs"]
mod memory;

use std::sync::atomic::Ordering;
use std::time::Duration;

use memory::{Process, configuration};

/// Time at which the simulated processes start, in milliseconds.
const START_MS: u64 = 100_000;

fn revision(version: u64, age_ms: Option<u64>) -> Revision {
    Revision {
        version: Some(version),
        age_ms,
        ..Revision::default()
    }
}

fn tracker(version: u64, confirmed_ms: u64) -> Tracker {
    let mut tracker = Tracker::default();
    tracker.confirm(version, confirmed_ms);
    tracker
}

/// Lets `asker` ask `peer`; each way takes 5 ms. Returns what the answer was judged as.
fn ask(asker: &mut Tracker, peer: &Tracker, now_ms: u64) -> Judgement {
    let (answer, has_config) = peer.answer(asker.version(), now_ms + 5);
    let judgement = asker.judge(&answer, now_ms, now_ms + 10);
    let version = answer.version.unwrap_or_default();
    match judgement {
        Judgement::Take => {
            assert!(has_config, "taken without a configuration");
            asker.accept(version, &answer, now_ms);
        }
        Judgement::Confirm => asker.accept(version, &answer, now_ms),
        Judgement::Ignore => {}
    }
    judgement
}

#[test]
fn no_process_asks_while_the_log_answers() {
    let mut tracker = tracker(1, START_MS);
    assert_eq!(tracker.next_round_in(START_MS), None);
    assert!(tracker.read_ended(Source::Claims, false));
    assert!(!tracker.read_ended(Source::Configuration, false));
    assert_eq!(tracker.next_round_in(START_MS), Some(0));
    // The claims are read again, the configuration isn't.
    tracker.read_ended(Source::Claims, true);
    assert_eq!(tracker.next_round_in(START_MS), Some(0));
    tracker.read_ended(Source::Configuration, true);
    assert_eq!(tracker.next_round_in(START_MS), None);
}

/// One failed read after the other would ask without a pause.
#[test]
fn rounds_are_spaced_also_if_reads_fail_now_and_then() {
    let mut tracker = tracker(1, START_MS);
    for _ in 0..3 {
        tracker.read_ended(Source::Claims, false);
        let peers = Peers {
            owners: vec![0],
            others: Vec::new(),
        };
        if tracker.next_round_in(START_MS) == Some(0) {
            assert_eq!(tracker.begin_round(peers, START_MS), [0]);
        }
        tracker.read_ended(Source::Claims, true);
    }
    tracker.read_ended(Source::Claims, false);
    assert_eq!(tracker.next_round_in(START_MS + 100), Some(ROUND_MS - 100));
}

/// A third of the VMs may be rejected, so the same few must not be asked each time.
#[test]
fn every_process_is_asked_within_some_rounds() {
    let mut tracker = Tracker::default();
    let mut asked = std::collections::BTreeSet::new();
    for _ in 0..9 {
        let peers = Peers {
            owners: vec![100, 101],
            others: (0..33).collect(),
        };
        let round = tracker.begin_round(peers, START_MS);
        assert!(round.len() <= 6, "{round:?}");
        assert!(round.contains(&100) && round.contains(&101));
        asked.extend(round);
    }
    assert_eq!(asked.len(), 35);
}

/// Versions that cross: a late answer of a process that was behind must change nothing.
#[test]
fn no_process_goes_back_to_an_older_version() {
    let mut asker = tracker(7, START_MS);
    let old = revision(6, Some(0));
    assert_eq!(
        asker.judge(&old, START_MS, START_MS + 1_900),
        Judgement::Ignore
    );
    asker.confirm(6, START_MS + 10);
    assert_eq!(asker.version(), Some(7));
    let restarted = Revision::default();
    assert_eq!(
        asker.judge(&restarted, START_MS, START_MS),
        Judgement::Ignore
    );
}

/// The first configuration of a process that starts could hold a key that was revoked long ago.
#[test]
fn a_new_process_takes_only_a_version_that_was_confirmed_lately() {
    let fresh = Tracker::default();
    let judge = |age_ms: Option<u64>, took_ms: u64| {
        fresh.judge(&revision(3, age_ms), START_MS, START_MS + took_ms)
    };
    assert_eq!(judge(Some(FRESH_MS - 100), 100), Judgement::Take);
    assert_eq!(judge(Some(FRESH_MS - 100), 101), Judgement::Ignore);
    assert_eq!(judge(Some(0), FRESH_MS + 1), Judgement::Ignore);
    assert_eq!(judge(None, 0), Judgement::Ignore);
}

/// Two processes that the log rejects must not confirm each other's version for ever.
#[test]
fn confirmations_age_while_rejected_processes_ask_each_other() {
    let (mut a, mut b) = (tracker(4, START_MS), tracker(4, START_MS + 50));
    let mut now_ms = START_MS + 100;
    while now_ms < START_MS + 10_000 {
        ask(&mut a, &b, now_ms);
        ask(&mut b, &a, now_ms + 20);
        now_ms += ROUND_MS;
    }
    let mut new = Tracker::default();
    assert_eq!(ask(&mut new, &a, now_ms), Judgement::Ignore);
    let (answer, _) = a.answer(Some(4), now_ms);
    assert!(answer.age_ms >= Some(9_900), "{answer:?}");
}

/// Two processes that own no shard have no link, so the owner passes a version on, also if the log
/// rejects the owner.
#[test]
fn a_version_reaches_a_rejected_process_through_a_rejected_owner() {
    let mut served = tracker(1, START_MS);
    let (mut owner, mut rejected) = (tracker(1, START_MS), tracker(1, START_MS));
    let published_ms = START_MS + 2_000;
    served.confirm(2, published_ms);
    let mut at_ms = published_ms + ROUND_MS - 1;
    let mut rejected_at_ms = published_ms + ROUND_MS - 2;
    while rejected.version() == Some(1) {
        ask(&mut rejected, &owner, rejected_at_ms);
        ask(&mut owner, &served, at_ms);
        at_ms += ROUND_MS;
        rejected_at_ms += ROUND_MS;
    }
    let took_ms = rejected_at_ms - ROUND_MS - published_ms;
    assert!(took_ms <= 2 * ROUND_MS, "took {took_ms} ms");
}

/// A peer's configuration without its keys or routes would refuse all calls.
#[test]
fn a_configuration_with_teams_survives_its_encoding() {
    let team = Team {
        cap: Size::new(4_000, 0),
        name: "a".into(),
        weight: 2.5,
    };
    let config = Config {
        teams: Some(Directory::new(vec![(team, vec!["key".into()])])),
        ..configuration(9, &["pool", "other"])
    };
    let mut bytes = Vec::new();
    ciborium::into_writer(&config, &mut bytes).expect("a configuration");
    let decoded: Config = ciborium::from_reader(bytes.as_slice()).expect("a configuration");
    assert_eq!(decoded, config);
    assert!(!format!("{decoded:?}").contains("key\""), "shows a key");
}

async fn wait_for_version(process: &Process, version: u64, limit: Duration) {
    let began = tokio::time::Instant::now();
    let current = || process.node.config().map(|config| config.version);
    while current() != Some(version) {
        assert!(began.elapsed() < limit, "version {:?}", current());
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// The log rejected the configuration reads of a VM and of the owner it has a link with, so a revoked
/// key stayed valid there.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_process_that_the_log_rejects_gets_a_new_version_within_two_seconds() {
    let owner = Process::start().await;
    let rejected = owner.start_peer("rejected").await;
    let served = owner.start_peer("served").await;
    for process in [&owner, &rejected] {
        let closed = &process.door.configuration_closed;
        closed.store(true, Ordering::Relaxed);
    }
    let publish = |version| {
        *owner.log.config.lock().expect("the lock") = Some(configuration(version, &["pool"]));
    };
    // The reads that wait at the log when it begins to reject are still answered.
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    publish(2);
    let limit = Duration::from_secs(2);
    wait_for_version(&served, 2, limit).await;
    wait_for_version(&owner, 2, limit).await;
    wait_for_version(&rejected, 2, limit).await;
    assert_eq!(served.metrics.revisions_taken.get(), 0);
    assert_eq!(rejected.metrics.revisions_taken.get(), 1);
}

/// A process that started while the log rejected its reads of the configuration answered nothing until
/// the log served it again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_process_that_starts_gets_its_first_version_from_an_owner() {
    let owner = Process::start().await;
    let new = Process::launch_rejected(owner.log.clone(), "new").await;
    wait_for_version(&new, 1, Duration::from_secs(3)).await;
}

/// Each of the processes that were asked answered with the whole configuration, in each round, until
/// the first one had passed the narrow link.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_version_is_sent_once_and_compressed_to_each_process_that_the_log_rejects() {
    const ROUTES: usize = 1_400;
    const REJECTED: u64 = 6;
    const VERSIONS: u64 = 3;
    let owner = Process::start().await;
    let mut rejected = Vec::new();
    for index in 0..REJECTED {
        let process = owner.start_peer(&format!("rejected-{index}")).await;
        let closed = &process.door.configuration_closed;
        closed.store(true, Ordering::Relaxed);
        rejected.push(process);
    }
    // The reads that wait at the log when it begins to reject are still answered.
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    let mut plain_bytes = 0;
    for version in 2..2 + VERSIONS {
        let mut config = configuration(version, &["pool"]);
        config.routes = (0..ROUTES)
            .map(|index| Route {
                prefix: format!("/q{index}/").into(),
                ..memory::route()
            })
            .collect();
        let mut bytes = Vec::new();
        ciborium::into_writer(&config, &mut bytes).expect("a configuration");
        plain_bytes += bytes.len() as u64;
        *owner.log.config.lock().expect("the lock") = Some(config);
        for process in &rejected {
            wait_for_version(process, version, Duration::from_secs(2)).await;
        }
    }
    for process in &rejected {
        assert_eq!(process.metrics.revisions_taken.get(), VERSIONS);
    }
    let sent = owner.metrics.revision_bytes.get();
    assert!(
        sent * 4 <= plain_bytes * REJECTED,
        "{sent} bytes sent, {plain_bytes} to each process without compression"
    );
}
