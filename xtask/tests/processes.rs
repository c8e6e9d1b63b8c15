//! Runs the real processes: the demo and short fault-injection runs.

use std::process::Command;
use std::sync::{Mutex, PoisonError};

/// Serializes the tests: their time bounds assume that one deployment runs on the machine.
static MACHINE: Mutex<()> = Mutex::new(());

/// Runs `cargo xtask` with `arguments` and fails with its output unless it exits with 0.
fn run(arguments: &[&str]) {
    let _alone = MACHINE.lock().unwrap_or_else(PoisonError::into_inner);
    let output = Command::new(env!("CARGO_BIN_EXE_xtask"))
        .args(arguments)
        .current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/.."))
        .output()
        .unwrap();
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let (out, err) = (text(&output.stdout), text(&output.stderr));
    assert!(
        output.status.success(),
        "xtask {arguments:?}:\n{out}\n{err}"
    );
}

fn faults(seed: &str, seconds: &str, kinds: &str) {
    run(&[
        "faults",
        "--seed",
        seed,
        "--seconds",
        seconds,
        "--fault",
        kinds,
        "--base-port",
        "23500",
    ]);
}

/// Guards against kinds of requests and jobs that no longer work from end to end.
#[test]
fn demo_of_both_deployments() {
    run(&["demo", "--base-port", "23000"]);
}

/// Guards against violations when an entry VM fails and callers retry at other gateways.
#[test]
fn entry_vm_killed() {
    faults("1", "15", "kill-entry");
}

/// Guards against a former owner that still acts after a pause longer than every lease.
#[test]
fn scheduler_paused_while_the_log_is_slow() {
    faults("2", "20", "pause-scheduler+log-slow");
}

/// Guards against a driver that waits for the stop of a paused process before it resumes it: the
/// process then never stopped and logged nothing after its pause.
#[test]
fn scheduler_stopped_while_paused() {
    faults("11", "20", "pause-scheduler+stop-scheduler");
}

/// Guards against changes that are lost or applied twice when responses to appends are lost.
#[test]
fn append_answers_lost_while_operators_race() {
    faults("3", "15", "log-lose-answers+operator-race");
}
