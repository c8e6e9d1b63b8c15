//! Each check reports the violation in a small history and none in a similar valid one.

#[path = "checks/common.rs"]
mod common;
#[path = "checks/processes.rs"]
mod processes;
#[path = "checks/register.rs"]
mod register;
#[path = "checks/requests.rs"]
mod requests;
#[path = "checks/targets.rs"]
mod targets;

use rosemaryworks_history::check;

#[test]
fn a_check_over_nothing_fails() {
    // Guards against a run that passes because its history has no events to check.
    for finding in check::all(&[]) {
        assert!(
            finding.is_vacuous() && !finding.holds(),
            "{}",
            finding.condition
        );
    }
}

#[test]
fn files_are_merged_in_time_order() {
    // Guards against checks that process an effect before its cause.
    use rosemaryworks_history::file::{Writer, read};
    let name = |index| format!("history-{index}-{}.jsonl", std::process::id());
    let paths = [0, 1].map(|index| std::env::temp_dir().join(name(index)));
    let writers = paths.each_ref().map(|path| Writer::create(path).unwrap());
    for index in [1, 0, 1] {
        writers[index].record(common::leaving("cpu-0"));
        writers[index].flush();
        std::thread::sleep(std::time::Duration::from_millis(2));
    }
    let records = read(&[&paths[0], &paths[1]]).unwrap();
    assert_eq!(records.len(), 3);
    assert!(records.is_sorted_by_key(|record| record.at_us));
    paths
        .iter()
        .for_each(|path| std::fs::remove_file(path).unwrap());
}
