//! Time limit for the shutdown of a process that hangs.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use rosemaryworks_node::shutdown;

const CHILD: &str = "SHUTDOWN_TEST_CHILD";

/// Body of the process under test: blocks every thread except the one that enforces the limit.
fn hang() -> ! {
    shutdown::enforce_limit(Duration::from_millis(300)).unwrap();
    println!("\nhanging");
    loop {
        std::thread::park();
    }
}

fn wait(child: &mut Child) -> Option<ExitStatus> {
    let end = Instant::now() + Duration::from_secs(5);
    while Instant::now() < end {
        if let Some(status) = child.try_wait().unwrap() {
            return Some(status);
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    None
}

/// Guards against a process that never exits because its threads are blocked. In a fault-injection
/// run, a scheduler in this state ignored SIGTERM and logged nothing.
#[test]
fn a_process_that_hangs_ends_after_the_limit() {
    if std::env::var_os(CHILD).is_some() {
        hang();
    }
    let mut command = Command::new(std::env::current_exe().unwrap());
    command.args(["--exact", "a_process_that_hangs_ends_after_the_limit"]);
    command.args(["--nocapture", "--test-threads", "1"]);
    command.env(CHILD, "1").stdout(Stdio::piped());
    let mut child = command.spawn().unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    assert!(lines.any(|line| line.unwrap() == "hanging"));
    let id = child.id().to_string();
    assert!(Command::new("kill").arg(id).status().unwrap().success());
    let status = wait(&mut child);
    if status.is_none() {
        child.kill().unwrap();
    }
    assert_eq!(status.and_then(|status| status.code()), Some(1));
}
