//! Planned stops of the scheduler process during and after a pause.

use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use rosemaryworks_standin::port;
use serde_json::json;

/// Longer than the periods of heartbeats, polls and reads of the log.
const PAUSE: Duration = Duration::from_secs(3);

struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        // The process has ended unless the test failed.
        let _ = self.0.kill();
    }
}

impl Process {
    /// Starts a scheduler whose platform can't be reached, and waits until it handles signals.
    fn start(name: &str) -> Self {
        let peer = port::unused();
        let status = port::unused();
        let settings = json!({
            "node": "scheduler-1",
            "zone": "milano",
            "peer_listen": peer,
            "status_listen": status,
            "cell": {
                "name": "avvolgi",
                "schedulers": [{ "name": "scheduler-1", "zone": "milano", "peer": peer }],
                "gateways": ["gateway-1"],
                "partition": { "services": { "booking": 1 }, "pools": {} },
                "log": "127.0.0.1:9",
                "directory": "127.0.0.1:9",
            },
        });
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&path, settings.to_string()).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_rosemary-scheduler"));
        let child = command.arg("--settings").arg(path).stderr(Stdio::null());
        let process = Self(child.spawn().unwrap());
        let end = Instant::now() + Duration::from_secs(10);
        // Connections succeed once the address is bound, after the signal handler of the stop limit
        // is installed. The handler that starts the planned stop follows within the delay below.
        while std::net::TcpStream::connect(peer).is_err() {
            assert!(Instant::now() < end, "the process doesn't listen");
            std::thread::sleep(Duration::from_millis(50));
        }
        std::thread::sleep(Duration::from_millis(500));
        process
    }

    fn signal(&self, signal: &str) {
        let id = self.0.id().to_string();
        let kill = Command::new("kill").args(["-s", signal, &id]).status();
        assert!(kill.unwrap().success());
    }

    fn wait(&mut self, limit: Duration) -> Option<i32> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if let Some(status) = self.0.try_wait().unwrap() {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        None
    }
}

/// Guards against a scheduler that does not exit on SIGTERM after a pause, as seen in a fault
/// run.
#[test]
fn a_scheduler_stops_after_a_pause() {
    let mut process = Process::start("paused.json");
    process.signal("STOP");
    std::thread::sleep(PAUSE);
    process.signal("CONT");
    process.signal("TERM");
    assert_eq!(process.wait(Duration::from_secs(15)), Some(0));
}

/// Guards against a SIGTERM that is lost because it arrives while the process is paused.
#[test]
fn a_scheduler_signalled_during_a_pause_stops_after_it() {
    let mut process = Process::start("paused-and-stopped.json");
    process.signal("STOP");
    process.signal("TERM");
    std::thread::sleep(PAUSE);
    assert_eq!(process.wait(Duration::ZERO), None);
    process.signal("CONT");
    assert_eq!(process.wait(Duration::from_secs(15)), Some(0));
}
