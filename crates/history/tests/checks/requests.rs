//! Conditions seen by callers: whole answer, not run, at most once, nothing dropped.

use rosemaryworks_history::Event;
use rosemaryworks_history::record::Outcome;

use crate::common::*;

#[test]
fn whole_answer() {
    // Guards against answers that are cut or belong to another request.
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
    tell_apart("whole answer", history(swapped), good());
    let cut = vec![called(1, "r-1", 1, true), answer(1, "token-1", 60, true)];
    tell_apart("whole answer", history(cut), good());
    let mixed = vec![called(1, "r-1", 1, true), answer(1, "token-1", 100, false)];
    tell_apart("whole answer", history(mixed), good());
}

#[test]
fn not_run() {
    // Guards against requests that run although this or a later attempt was told as not run.
    let told = |events: Vec<Event>| {
        let first = vec![called(1, "r-1", 1, false), called(2, "r-1", 2, false)];
        history([first, events].concat())
    };
    let before = told(vec![arrived("r-1", 1), answered(2, Outcome::NotRun)]);
    let after = told(vec![answered(2, Outcome::NotRun), arrived("r-1", 1)]);
    let later = || told(vec![answered(1, Outcome::NotRun), arrived("r-1", 2)]);
    tell_apart("not run", before, later());
    tell_apart("not run", after, later());
}

#[test]
fn at_most_once() {
    // Guards against a repeat that runs a second time.
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
    tell_apart("at most once", twice(false), twice(true));
}

#[test]
fn nothing_dropped() {
    // Guards against acknowledged jobs that vanish, and against a second terminal state.
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
    tell_apart("nothing dropped", dropped, good());
    let twice = history(vec![
        accepted(),
        seen("succeeded", true),
        seen("lost", true),
    ]);
    tell_apart("nothing dropped", twice, good());
    let again = history(vec![
        accepted(),
        seen("succeeded", true),
        seen("running", false),
    ]);
    tell_apart("nothing dropped", again, good());
}
