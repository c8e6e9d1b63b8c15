//! The processes under test.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};
use std::time::{Duration, Instant};

use crate::protocol::Protocol;
use crate::proxy::Proxy;

/// Time from SIGTERM to the end of a process, at most.
pub(crate) const GRACE: Duration = Duration::from_secs(6);

/// Addresses of a process and of what it talks to.
#[derive(Clone, Debug)]
pub struct Addresses {
    /// Name of the process.
    pub name: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for the balancer's probes.
    pub probes: SocketAddr,
    /// Address for links.
    pub peers: SocketAddr,
    /// Address for metrics.
    pub metrics: SocketAddr,
    /// Address of the log, behind a proxy.
    pub log: SocketAddr,
    /// Address of the advice service.
    pub advisor: SocketAddr,
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// One entry process with its proxy to the log.
pub(crate) struct Process {
    pub(crate) name: String,
    pub(crate) callers: SocketAddr,
    pub(crate) log: Proxy,
    /// Whether a fault holds the process, so that others leave it alone.
    pub(crate) busy: AtomicBool,
    program: PathBuf,
    settings: PathBuf,
    output: PathBuf,
    child: Mutex<Option<Child>>,
}

/// Ports below those that the system gives to outgoing connections: such a port could be taken while
/// its process is down.
const PORTS: std::ops::Range<u16> = 12_000..24_000;

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Finds free ports. Several soaks may run at a time, so each begins elsewhere.
fn free_ports() -> [u16; 4] {
    let first = (std::process::id() * 97 % u32::from(PORTS.end - PORTS.start)) as u16;
    let mut ports = [0; 4];
    for port in &mut ports {
        loop {
            let step = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
            let offset = (first + step % 4_000) % (PORTS.end - PORTS.start);
            *port = PORTS.start + offset;
            if std::net::TcpListener::bind(("127.0.0.1", *port)).is_ok() {
                break;
            }
        }
    }
    ports
}

impl Process {
    pub(crate) async fn prepare(
        index: usize,
        folder: &Path,
        log: SocketAddr,
        advisor: SocketAddr,
        protocol: &dyn Protocol,
    ) -> Self {
        let name = format!("n{index}");
        let [callers, probes, peers, metrics] = free_ports().map(loopback);
        let log = Proxy::start(log).await;
        let addresses = Addresses {
            name: name.clone(),
            callers,
            probes,
            peers,
            metrics,
            log: log.address,
            advisor,
        };
        let settings = folder.join(format!("{name}.json"));
        std::fs::write(&settings, protocol.settings(&addresses)).expect("a writable folder");
        Self {
            output: folder.join(format!("{name}.log")),
            name,
            callers,
            log,
            busy: AtomicBool::new(false),
            program: protocol.program(),
            settings,
            child: Mutex::default(),
        }
    }

    pub(crate) fn spawn(&self) {
        let output = File::options()
            .create(true)
            .append(true)
            .open(&self.output)
            .expect("a writable folder");
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stderr(output.try_clone().expect("a handle"))
            .stdout(output)
            .spawn()
            .expect("the program starts");
        *self.child.lock().expect("the lock") = Some(child);
    }

    /// Sends a signal to the process by its id.
    pub(crate) fn signal(&self, name: &str) {
        let id = self.child.lock().expect("the lock").as_ref().map(Child::id);
        if let Some(id) = id {
            let status = Command::new("kill").arg(name).arg(id.to_string()).status();
            assert!(
                status.is_ok_and(|status| status.success()),
                "kill {name} {id}"
            );
        }
    }

    /// Tells whether the process ended by itself, with what it told.
    pub(crate) fn ended_by_itself(&self) -> Option<String> {
        let mut child = self.child.lock().expect("the lock");
        let status = child.as_mut()?.try_wait().ok()??;
        Some(format!("{} ended by itself: {status}", self.name))
    }

    pub(crate) fn kill(&self) {
        if let Some(mut child) = self.child.lock().expect("the lock").take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Stops the process as planned. Returns what went wrong.
    pub(crate) async fn stop(&self) -> Option<String> {
        self.signal("-TERM");
        let mut child = self.child.lock().expect("the lock").take()?;
        let began = Instant::now();
        loop {
            match child.try_wait() {
                Ok(Some(status)) if status.success() => return None,
                Ok(Some(status)) => return Some(format!("{} stopped with {status}", self.name)),
                _ if began.elapsed() > GRACE => {
                    let _ = child.kill();
                    let _ = child.wait();
                    return Some(format!("{} did not stop within {GRACE:?}", self.name));
                }
                _ => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        }
    }

    /// Takes the process for one fault.
    pub(crate) fn take(&self) -> bool {
        !self.busy.swap(true, Ordering::Relaxed)
    }

    pub(crate) fn give_back(&self) {
        self.busy.store(false, Ordering::Relaxed);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
