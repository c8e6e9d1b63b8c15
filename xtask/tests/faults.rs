//! Command line of the fault runs: schedule, fault names and durations.

use std::process::{Command, Output};

fn plan(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_xtask"));
    command.args(["faults", "--plan"]).args(arguments);
    command.output().unwrap()
}

#[test]
fn the_schedule_is_determined_by_the_seed() {
    // Guards against a schedule that differs between runs, so that a violation can't be reproduced
    // with its seed.
    let schedule = |seed| plan(&["--seed", seed, "--seconds", "600"]).stdout;
    assert!(!schedule("7").is_empty());
    assert_eq!(schedule("7"), schedule("7"));
    assert_ne!(schedule("7"), schedule("8"));
}

#[test]
fn named_faults_are_injected_alone_or_together() {
    // Guards against a run that omits requested faults.
    let output = plan(&["--fault", "log-slow,kill-gateway+drain", "--seconds", "60"]);
    let text = String::from_utf8(output.stdout).unwrap();
    for name in ["log-slow", "kill-gateway", "drain", "stop-gateway"] {
        assert!(text.contains(name), "{name} is missing in:\n{text}");
    }
    assert!(!text.contains("log-down"), "{text}");
}

#[test]
fn an_outage_of_the_log_has_the_requested_length() {
    // Guards against a long outage that ends after the default length.
    let arguments = ["--fault", "log-down", "--seconds", "610"];
    let output = plan(&[&arguments[..], &["--outage-seconds", "600"]].concat());
    let text = String::from_utf8(output.stdout).unwrap();
    let outages: Vec<_> = text
        .lines()
        .filter(|line| line.contains("log-down"))
        .collect();
    assert_eq!(outages.len(), 1, "{text}");
    assert!(outages[0].contains("5000 ms to  605000 ms"), "{text}");
}

#[test]
fn unknown_faults_are_rejected_by_name() {
    // Guards against a misspelt name that runs successfully without faults.
    let output = plan(&["--fault", "log-dwon"]);
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains("log-dwon"));
}
