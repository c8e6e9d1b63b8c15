//! The processes under test.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::layout::Layout;
use crate::network;
use crate::protocol::Protocol;
use crate::proxy::Proxy;
use crate::run::RETENTION;

/// Maximum time from SIGTERM until a process exits.
pub(crate) const STOP_TIMEOUT: Duration = Duration::from_secs(6);

/// Addresses of a process and of the services that it uses, and what else its settings depend on.
#[derive(Clone, Debug)]
pub struct Addresses {
    /// Name of the process.
    pub name: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for the load balancer's readiness probes.
    pub probes: SocketAddr,
    /// Address for links from peers.
    pub peers: SocketAddr,
    /// Address for metrics.
    pub metrics: SocketAddr,
    /// Address of the proxy in front of the log.
    pub log: SocketAddr,
    /// Address of the advice service.
    pub advisor: SocketAddr,
    /// Largest number of workers that an owner calls itself; `None` leaves it to the process.
    pub own_workers: Option<u32>,
    /// Longest lease that a worker grants in milliseconds.
    pub lease_max_ms: u64,
    /// Retention time of the log in milliseconds.
    pub retention_ms: u64,
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// An entry process under test and the proxies in front of the log and of itself.
pub(crate) struct Process {
    pub(crate) name: String,
    pub(crate) caller_address: SocketAddr,
    pub(crate) log_proxy: Proxy,
    /// Proxies of the links that other processes open to this one, with the number of the other.
    pub(crate) links: Vec<(usize, Proxy)>,
    /// Whether a fault has reserved the process. No other process fault is applied meanwhile.
    pub(crate) reserved: AtomicBool,
    program: PathBuf,
    settings: PathBuf,
    output: PathBuf,
    child: Mutex<Option<Child>>,
}

impl Process {
    /// Chooses the addresses, starts the proxies and writes the settings file. The process itself is
    /// started by [`Self::spawn`].
    pub(crate) async fn prepare(
        index: usize,
        layout: &Layout,
        folder: &Path,
        log: SocketAddr,
        advisor: SocketAddr,
        protocol: &dyn Protocol,
    ) -> Self {
        let name = format!("n{index}");
        let [callers, probes, metrics] = [(); 3].map(|()| loopback(network::free_port()));
        let port = network::free_port();
        let peers = network::seen_by(index, port);
        let mut links = Vec::new();
        for other in (0..layout.processes).filter(|other| *other != index) {
            let proxy = Proxy::start_at(network::seen_by(other, port), peers);
            links.push((other, proxy.await));
        }
        let log_proxy = Proxy::start(log).await;
        let addresses = Addresses {
            name: name.clone(),
            callers,
            probes,
            peers,
            metrics,
            log: log_proxy.address,
            advisor,
            own_workers: layout.own_workers,
            lease_max_ms: layout.lease_max_ms,
            retention_ms: RETENTION.as_millis() as u64,
        };
        let settings = folder.join(format!("{name}.json"));
        std::fs::write(&settings, protocol.settings(&addresses))
            .expect("can't write to the soak folder");
        Self {
            output: folder.join(format!("{name}.log")),
            name,
            caller_address: callers,
            log_proxy,
            links,
            reserved: AtomicBool::new(false),
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
            .expect("can't write to the soak folder");
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stderr(
                output
                    .try_clone()
                    .expect("can't duplicate the output handle"),
            )
            .stdout(output)
            .spawn()
            .expect("can't start the program under test");
        *self.child.lock().expect("the lock is poisoned") = Some(child);
    }

    /// Sends a signal to the process by its id.
    pub(crate) fn signal(&self, name: &str) {
        let id = self
            .child
            .lock()
            .expect("the lock is poisoned")
            .as_ref()
            .map(Child::id);
        if let Some(id) = id {
            let status = Command::new("kill").arg(name).arg(id.to_string()).status();
            assert!(
                status.is_ok_and(|status| status.success()),
                "kill {name} {id} failed"
            );
        }
    }

    /// Returns a description of an exit that the test didn't cause.
    pub(crate) fn unexpected_exit(&self) -> Option<String> {
        let mut child = self.child.lock().expect("the lock is poisoned");
        let status = child.as_mut()?.try_wait().ok()??;
        Some(format!("{} exited unexpectedly: {status}", self.name))
    }

    pub(crate) fn kill(&self) {
        if let Some(mut child) = self.child.lock().expect("the lock is poisoned").take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Shuts the process down gracefully. Returns a description of a failure to do so.
    pub(crate) async fn stop(&self) -> Option<String> {
        self.signal("-TERM");
        let mut child = self.child.lock().expect("the lock is poisoned").take()?;
        let began = Instant::now();
        loop {
            match child.try_wait() {
                Ok(Some(status)) if status.success() => return None,
                Ok(Some(status)) => {
                    return Some(format!("{} exited with {status} after SIGTERM", self.name));
                }
                _ if began.elapsed() > STOP_TIMEOUT => {
                    let _ = child.kill();
                    let _ = child.wait();
                    return Some(format!(
                        "{} did not exit within {STOP_TIMEOUT:?}",
                        self.name
                    ));
                }
                _ => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        }
    }

    /// Reserves the process for a fault. Returns `false` if it is already reserved.
    pub(crate) fn reserve(&self) -> bool {
        !self.reserved.swap(true, Ordering::Relaxed)
    }

    pub(crate) fn release(&self) {
        self.reserved.store(false, Ordering::Relaxed);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
