//! Guards against advice requests that wait at a VM for longer than their answers are of use, and
//! against an owner that keeps the requests of another one from being sent.

use rosemaryworks_entry::advice::queue::{Offer, Queue, Request};

fn request(number: u64, shard: u32, priority: u32, cost_ms: f64) -> Request {
    Request {
        number,
        shard,
        epoch: 1,
        priority,
        cost_ms,
        useful_ms: (cost_ms as u64).saturating_add(1_000),
    }
}

fn is_queued(offer: Offer) -> bool {
    matches!(offer, Offer::Queued { .. })
}

/// Sends and answers the next request, which takes its expected time.
fn serve(queue: &mut Queue, now_ms: &mut u64, cost_ms: u64) -> Option<u64> {
    let number = queue.next(*now_ms)?;
    *now_ms += cost_ms;
    queue.answered(true, *now_ms);
    Some(number)
}

#[test]
fn a_request_that_cannot_be_sent_in_time_is_refused() {
    let mut queue = Queue::default();
    assert!(is_queued(queue.offer(request(1, 0, 1, 800.0), 0)));
    assert_eq!(queue.next(0), Some(1));
    assert!(is_queued(queue.offer(request(2, 1, 1, 800.0), 0)));
    assert_eq!(queue.offer(request(3, 1, 1, 800.0), 0), Offer::Busy);
    assert!((queue.backlog_ms(300) - 1_300.0).abs() < 1.0);
    // An urgent request goes ahead of those that wait.
    assert!(is_queued(queue.offer(request(4, 1, 0, 20.0), 0)));
    queue.answered(true, 800);
    assert_eq!(queue.next(800), Some(4));
}

#[test]
fn the_service_never_has_two_calls() {
    let mut queue = Queue::default();
    queue.offer(request(1, 0, 1, 10.0), 0);
    queue.offer(request(2, 0, 1, 10.0), 0);
    assert_eq!(queue.next(0), Some(1));
    assert_eq!(queue.next(5_000), None);
}

#[test]
fn a_request_expires_only_before_it_is_sent() {
    let mut queue = Queue::default();
    queue.offer(request(1, 0, 1, 10.0), 0);
    queue.offer(request(2, 0, 1, 10.0), 0);
    assert_eq!(queue.next(0), Some(1));
    assert_eq!(queue.expire(1_000), Vec::<u64>::new());
    assert_eq!(queue.expire(1_001), vec![2]);
    queue.answered(true, 1_100);
    assert_eq!(queue.next(1_100), None);
}

/// An answer that is lost must not attract further requests to the VM.
#[test]
fn an_overdue_call_counts_as_backlog() {
    let mut queue = Queue::default();
    queue.offer(request(1, 0, 1, 20.0), 0);
    queue.next(0);
    assert!(queue.backlog_ms(1_500) > 1_400.0);
    assert_eq!(queue.offer(request(2, 0, 0, 20.0), 1_500), Offer::Busy);
}

#[test]
fn owners_take_turns_and_a_flood_of_urgent_requests_starves_nobody() {
    let mut queue = Queue::default();
    let mut now_ms = 0;
    for number in 0..6 {
        queue.offer(request(number, 0, 1, 10.0), now_ms);
    }
    queue.offer(request(10, 1, 1, 10.0), now_ms);
    let sent: Vec<_> = (0..3)
        .filter_map(|_| serve(&mut queue, &mut now_ms, 10))
        .collect();
    assert!(sent[..2].contains(&10), "{sent:?}");

    let mut queue = Queue::default();
    queue.offer(request(100, 1, 2, 10.0), now_ms);
    let mut sent = Vec::new();
    for number in 0..6 {
        queue.offer(request(number, 0, 0, 10.0), now_ms);
        queue.offer(request(number + 50, 0, 0, 10.0), now_ms);
        sent.extend(serve(&mut queue, &mut now_ms, 10));
    }
    assert!(sent.contains(&100), "{sent:?}");
    assert_eq!(sent[0], 0);
}

#[test]
fn requests_of_an_owner_that_was_overtaken_are_dropped() {
    let mut queue = Queue::default();
    queue.offer(request(1, 0, 1, 10.0), 0);
    queue.offer(request(2, 1, 1, 10.0), 0);
    assert_eq!(queue.end_owner(0, 1), vec![1]);
    let later = Request {
        epoch: 2,
        ..request(3, 0, 1, 10.0)
    };
    assert!(is_queued(queue.offer(later, 0)));
    assert_eq!(queue.offer(request(4, 0, 1, 10.0), 0), Offer::Superseded);
}

/// Costs and times come from other processes.
#[test]
fn absurd_terms_leave_the_queue_usable() {
    let mut queue = Queue::default();
    for (number, cost_ms) in [f64::NAN, f64::INFINITY, -1.0, 0.0].into_iter().enumerate() {
        let absurd = Request {
            useful_ms: u64::MAX,
            ..request(number as u64, 0, u32::MAX, cost_ms)
        };
        queue.offer(absurd, 0);
    }
    let mut now_ms = 0;
    while serve(&mut queue, &mut now_ms, 10).is_some() {}
    assert!(queue.backlog_ms(now_ms).abs() < 1.0);
    assert!(is_queued(queue.offer(request(9, 1, 0, 20.0), now_ms)));
}
