//! Guards against relays that get commands although they don't answer, and against needless changes
//! of the relay of a worker, each of which opens a connection.

use std::sync::Arc;

use quickcheck::quickcheck;
use rosemaryworks_entry::relays::{Offer, Relays, needed, own_workers};

fn offer(vm: &str, millicores: u64) -> Offer {
    Offer {
        vm: vm.into(),
        millicores,
        is_owner: false,
    }
}

fn offers(count: usize) -> Vec<Offer> {
    let vm = |index| offer(&format!("vm-{index}"), 500);
    (0..count).map(vm).collect()
}

fn worker(index: usize) -> Arc<str> {
    format!("w{index}").into()
}

#[test]
fn an_owner_of_few_workers_needs_no_relay() {
    assert_eq!(needed(300, own_workers(0.5)), 0);
    assert_eq!(needed(301, own_workers(0.5)), 2);
    assert_eq!(needed(792, own_workers(0.5)), 4);
    assert_eq!(needed(35, own_workers(0.25)), 0);
    assert_eq!(needed(1, 0), 2);
}

#[test]
fn the_strongest_vms_without_a_shard_become_relays() {
    let mut offers = vec![
        offer("weak", 120),
        offer("strong", 500),
        offer("owner", 500),
    ];
    offers[2].is_owner = true;
    let mut relays = Relays::default();
    relays.assign(1, &offers, 0);
    assert_eq!(relays.choose("w", 0).map(|vm| &**vm), Some("strong"));
}

#[test]
fn a_relay_without_an_answer_is_replaced_for_a_time_that_doubles() {
    let (mut relays, offers) = (Relays::default(), offers(1));
    let vm = offers[0].vm.clone();
    relays.assign(1, &offers, 0);
    for (failed_ms, pause_ms) in [(0, 2_000), (10_000, 4_000), (20_000, 8_000)] {
        relays.failed(&vm, failed_ms);
        // Commands that were under way fail, too.
        relays.failed(&vm, failed_ms + 100);
        assert_eq!(relays.choose("w", failed_ms + pause_ms - 1), None);
        relays.assign(1, &offers, failed_ms + pause_ms);
        assert_eq!(relays.choose("w", failed_ms + pause_ms), Some(&vm));
    }
    relays.answered(&vm);
    relays.failed(&vm, 40_000);
    assert_eq!(relays.choose("w", 42_000), Some(&vm));
}

#[test]
fn a_worker_that_its_relay_cant_reach_is_called_by_the_owner() {
    let (mut relays, offers) = (Relays::default(), offers(2));
    relays.assign(2, &offers, 0);
    relays.worker_failed(&worker(1), 0);
    assert_eq!(relays.choose("w1", 1_000), None);
    assert!(relays.choose("w2", 1_000).is_some());
    assert!(relays.choose("w1", 3_000).is_some());
}

quickcheck! {
    /// A relay stays for as long as it offers and answers, and has one part of the workers.
    fn relays_stay_while_others_come_and_go(steps: Vec<(u8, bool)>) -> bool {
        let mut present: Vec<Offer> = offers(8);
        let mut relays = Relays::default();
        relays.assign(4, &present, 0);
        for (index, (vm, comes)) in steps.into_iter().enumerate() {
            let now_ms = index as u64 * 100;
            let before: Vec<Option<Arc<str>>> =
                (0..64).map(|w| relays.choose(&worker(w), now_ms).cloned()).collect();
            let vm = format!("vm-{}", vm % 12);
            present.retain(|offer| *offer.vm != *vm);
            if comes {
                present.push(offer(&vm, 500));
            }
            relays.assign(4, &present, now_ms);
            let stays = |chosen: &Arc<str>| present.iter().any(|offer| offer.vm == *chosen);
            for (w, chosen) in before.into_iter().enumerate() {
                let now = relays.choose(&worker(w), now_ms);
                if chosen.is_some() && chosen.as_ref().is_some_and(&stays) && now != chosen.as_ref() {
                    return false;
                }
                if now.is_some_and(|vm| !stays(vm)) {
                    return false;
                }
            }
            if relays.in_use().count() != present.len().min(4) {
                return false;
            }
        }
        true
    }
}
