//! Guards against measurements whose simulated times overflow.

use std::process::Command;

/// Run times of services overflowed with this seed: a debug build panicked, and a release build
/// measured a pool whose services had ended.
#[test]
fn decisions_are_measured_with_a_seed_that_overflowed() {
    let output = Command::new(env!("CARGO_BIN_EXE_xtask"))
        .args(["measure", "--scenario", "decisions", "--seed", "3"])
        .args(["--seeds", "1", "--workers", "96"])
        .output()
        .expect("the program runs");
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{errors}");
    let table = String::from_utf8_lossy(&output.stdout);
    assert!(table.contains("96 workers"), "{table}");
}
