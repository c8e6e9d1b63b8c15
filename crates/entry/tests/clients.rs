//! Guards against limits for clients that keep ordinary clients out, that lose count of what is
//! held, or that ordinary clients would meet.

use rosemaryworks_entry::clients::{
    Bodies, Connections, Entry, Grant, Limits, Listener, Terms, decoded_max_bytes, steps_max,
};

const KIB: u64 = 1024;

/// Guards against slow bodies that keep an ordinary one out, or that hold memory after their end.
#[test]
fn the_slowest_body_makes_room() {
    let mut bodies = Bodies::new(1_000 * KIB);
    let slow = bodies.begin(0);
    assert_eq!(bodies.grow(0, slow, 500 * KIB), Grant::Granted(vec![]));
    let fast = bodies.begin(2_000);
    assert_eq!(bodies.grow(2_010, fast, 400 * KIB), Grant::Granted(vec![]));
    let new = bodies.begin(2_900);
    assert_eq!(
        bodies.grow(2_900, new, 200 * KIB),
        Grant::Granted(vec![slow])
    );
    assert_eq!(bodies.held(), 600 * KIB);
    // A body that was given up stays so.
    assert_eq!(bodies.grow(2_901, slow, 1), Grant::Refused(vec![]));
    bodies.end(fast);
    bodies.end(new);
    assert_eq!(bodies.held(), 0);
}

/// Guards against a body that displaces faster ones, and against the loss of a job that may already
/// be stored.
#[test]
fn the_slowest_body_is_refused_itself_and_complete_ones_stay() {
    let mut bodies = Bodies::new(1_000 * KIB);
    let complete = bodies.begin(0);
    assert_eq!(bodies.grow(0, complete, 10 * KIB), Grant::Granted(vec![]));
    assert_eq!(
        bodies.complete(0, complete, 690 * KIB),
        Grant::Granted(vec![])
    );
    let slow = bodies.begin(0);
    assert_eq!(bodies.grow(5_000, slow, 200 * KIB), Grant::Granted(vec![]));
    let fast = bodies.begin(4_900);
    assert_eq!(bodies.grow(5_000, fast, 100 * KIB), Grant::Granted(vec![]));
    assert_eq!(bodies.grow(5_000, slow, KIB), Grant::Refused(vec![]));
    assert_eq!(bodies.held(), 800 * KIB);
    assert_eq!(
        bodies.grow(5_000, fast, 300 * KIB),
        Grant::Refused(vec![]),
        "a complete body was given up"
    );
}

/// Guards against a legal job that can never be decoded because it exceeds the whole budget.
#[test]
fn a_job_that_needs_all_memory_is_decoded_alone() {
    let mut bodies = Bodies::new(1_000 * KIB);
    let other = bodies.begin(0);
    assert_eq!(bodies.grow(0, other, 100 * KIB), Grant::Granted(vec![]));
    let large = bodies.begin(0);
    assert_eq!(bodies.grow(0, large, 200 * KIB), Grant::Granted(vec![]));
    assert_eq!(
        bodies.complete(10, large, 9_000 * KIB),
        Grant::Granted(vec![other])
    );
    assert_eq!(bodies.held(), bodies.limit());
}

/// Guards against silent connections that keep new ones out, against clients that reconnect at once
/// and displace others before their first request, and against the end of a request under way.
#[test]
fn the_longest_idle_connection_makes_room() {
    let mut connections = Connections::new(3);
    for (key, at_ms) in [("silent", 0), ("busy", 0), ("recent", 0)] {
        assert_eq!(connections.open(at_ms, key), Entry::Admitted);
    }
    connections.set_busy(500, &"busy", true);
    connections.set_busy(690, &"recent", false);
    assert_eq!(connections.open(700, "a"), Entry::Replaces("silent"));
    // A connection whose requests follow each other without a pause makes room as well.
    assert_eq!(connections.open(701, "b"), Entry::Replaces("recent"));
    assert_eq!(connections.open(702, "c"), Entry::Refused);
    assert_eq!(connections.open(740, "c"), Entry::Replaces("a"));
    connections.closed(&"silent");
    assert_eq!(connections.count(), 3);
    connections.closed(&"b");
    assert_eq!(connections.open(901, "d"), Entry::Admitted);
}

/// Guards against limits that exceed a VM, and against ones that leave no descriptor for links, the
/// log and the workers.
#[test]
fn limits_follow_from_the_vm() {
    for (memory_mb, fds) in [(32, 256), (48, 300), (120, 3_075), (512, 8_192), (512, 256)] {
        let limits = Limits::derive(Some(memory_mb), Some(fds));
        let listeners = [
            Listener::Callers,
            Listener::Links,
            Listener::Metrics,
            Listener::Probes,
        ];
        let open: usize = listeners
            .iter()
            .map(|listener| limits.descriptors(*listener))
            .sum();
        assert!(open as u64 <= fds * 6 / 10, "{memory_mb} {fds}: {open}");
        let held = limits.body_bytes + limits.link_bytes + limits.callers as u64 * 96 * KIB;
        assert!(held <= memory_mb * KIB * KIB / 2, "{memory_mb}: {held}");
        assert!(limits.body_bytes >= 2 * 262_144 * 5, "two large jobs fit");
    }
    assert_eq!(
        Limits::derive(None, None),
        Limits::derive(Some(120), Some(3_075))
    );
}

/// Guards against small bodies that unfold into much memory.
#[test]
fn the_decoded_size_grows_with_steps_and_values() {
    let text = format!("{{\"spec\":\"{}\"}}", "x".repeat(100_000));
    let steps = format!("{{\"steps\":[{}]}}", "{},".repeat(33_000));
    let deep = format!("{{\"x\":{}", "[".repeat(100_000));
    let wide = format!("{{\"x\":[{}0]}}", "0,".repeat(50_000));
    assert!(decoded_max_bytes(text.as_bytes()) < 600_000);
    assert!(decoded_max_bytes(steps.as_bytes()) > 25_000_000);
    assert!(decoded_max_bytes(deep.as_bytes()) > 7_000_000);
    assert!(decoded_max_bytes(wide.as_bytes()) > 3_500_000);
}

/// Guards against configured limits that stop the service or exceed what the log takes.
#[test]
fn configured_limits_are_moved_into_the_possible_range() {
    let terms = Terms {
        header_bytes: 0,
        body_bytes: u64::MAX,
        header_timeout_ms: 0,
        idle_timeout_ms: u64::MAX,
    };
    let expected = Terms {
        header_bytes: 1_024,
        body_bytes: 262_144,
        header_timeout_ms: 1_000,
        idle_timeout_ms: 60_000,
    };
    assert_eq!(terms.within_bounds(), expected);
    let plan = Terms::default();
    assert_eq!(plan.within_bounds(), plan);
}

/// Guards against a job that is decoded although there is no memory for its steps.
#[test]
fn steps_are_counted_before_they_are_decoded() {
    assert_eq!(steps_max(br#"{"steps":[{"count":1},{"count":2}]}"#), 2);
    assert_eq!(steps_max(b""), 0);
}
