//! Checks of what callers observe: whole response, not run, at most once, no dropped job.

use rosemaryworks_history::Event;
use rosemaryworks_history::record::Outcome;

use crate::common::*;

#[test]
fn whole_answer() {
    // Guards against responses that are truncated or belong to another request.
    let answer = |call, token: &str, length, intact| Event::Answered {
        call,
        outcome: Outcome::Completed,
        token: token.into(),
        length,
        intact,
        reason: "".into(),
    };
    let good = || {
        history(vec![
            called(1, "r-1", 1, true),
            answer(1, "token-1", 100, true),
        ])
    };
    let swapped = vec![
        called(1, "r-1", 1, true),
        called(2, "r-2", 1, true),
        answer(1, "token-2", 100, true),
    ];
    assert_distinguishes("whole answer", history(swapped), good());
    let truncated = vec![called(1, "r-1", 1, true), answer(1, "token-1", 60, true)];
    assert_distinguishes("whole answer", history(truncated), good());
    let mixed = vec![called(1, "r-1", 1, true), answer(1, "token-1", 100, false)];
    assert_distinguishes("whole answer", history(mixed), good());
}

#[test]
fn not_run() {
    // Guards against requests that run although this or a later attempt was reported as not run.
    let run = |events: Vec<Event>| {
        let calls = vec![called(1, "r-1", 1, false), called(2, "r-1", 2, false)];
        history([calls, events].concat())
    };
    let before = run(vec![arrived("r-1", 1), answered(2, Outcome::NotRun)]);
    let after = run(vec![answered(2, Outcome::NotRun), arrived("r-1", 1)]);
    let later = || run(vec![answered(1, Outcome::NotRun), arrived("r-1", 2)]);
    assert_distinguishes("not run", before, later());
    assert_distinguishes("not run", after, later());
}

#[test]
fn at_most_once() {
    // Guards against a retry that is run a second time.
    let twice = |idempotent| {
        history(vec![
            called(1, "r-1", 1, idempotent),
            called(2, "r-1", 2, idempotent),
            called(3, "r-2", 1, false),
            arrived("r-1", 1),
            arrived("r-1", 2),
            arrived("r-2", 1),
        ])
    };
    assert_distinguishes("at most once", twice(false), twice(true));
}

#[test]
fn nothing_dropped() {
    // Guards against acknowledged jobs that are lost, and against a second terminal state.
    let accepted = || Event::JobAccepted {
        job: "dala/j".into(),
    };
    let seen = |state: &str, terminal| Event::JobSeen {
        job: "dala/j".into(),
        state: state.into(),
        terminal,
    };
    let good = || {
        history(vec![
            accepted(),
            seen("running", false),
            seen("succeeded", true),
            seen("succeeded", true),
        ])
    };
    let dropped = history(vec![accepted(), seen("running", false)]);
    assert_distinguishes("nothing dropped", dropped, good());
    let twice = history(vec![
        accepted(),
        seen("succeeded", true),
        seen("lost", true),
    ]);
    assert_distinguishes("nothing dropped", twice, good());
    let again = history(vec![
        accepted(),
        seen("succeeded", true),
        seen("running", false),
    ]);
    assert_distinguishes("nothing dropped", again, good());
}
