//! Guards against entries that are skipped silently, or with a line for each of them.

#[path = "support/memory.rs"]
mod memory;

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use memory::{Log, Process};

/// Lines logged by this process.
static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct Lines;

impl log::Log for Lines {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let mut lines = LINES.lock().expect("the lock");
        lines.push(record.args().to_string());
    }

    fn flush(&self) {}
}

/// Entries that can't be used were dropped without a trace. A writer that repeats one with each of
/// its heartbeats must not fill the log.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn skipped_entries_are_logged_in_one_line() {
    log::set_logger(&Lines).expect("the first logger");
    log::set_max_level(log::LevelFilter::Info);
    let log = Arc::new(Log::default());
    log.list.lock().expect("the lock").1 = vec!["a\nb".into(), "c".into()];
    let process = Process::start_on(log).await;
    for _ in 0..3 {
        process.log.list_expired.store(true, Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(800)).await;
        assert!(!process.log.list_expired.load(Ordering::Relaxed));
    }
    let lines = LINES.lock().expect("the lock").clone();
    let skipped: Vec<&String> = lines.iter().filter(|line| line.contains("E832")).collect();
    assert_eq!(
        skipped,
        [r#"E832 record skipped: list=workers count=2 key="a\nb""#]
    );
}
