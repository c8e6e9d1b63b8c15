//! Runs a deployment on loopback: schedulers, gateways and a stand-in for the platform as child
//! processes.

pub(crate) mod contract;
pub(crate) mod deployment;
pub(crate) mod ports;
pub(crate) mod process;
pub(crate) mod settings;

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use error_stack::{Report, ResultExt};
use rosemaryworks_node::http::{Client, Request};

use deployment::Deployment;
use ports::Ports;
use process::{Error, Process};
use settings::Files;

/// Longest time from the start of the processes until all of them are ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const READY_POLL_PERIOD: Duration = Duration::from_millis(100);
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// A running deployment.
pub(crate) struct Cluster {
    pub(crate) deployment: Deployment,
    pub(crate) ports: Ports,
    pub(crate) client: Client,
    pub(crate) standin: Process,
    pub(crate) schedulers: Vec<Process>,
    pub(crate) gateways: Vec<Process>,
}

impl Cluster {
    /// Writes the settings into `folder` and starts all processes. Their logs go to `folder`, too.
    ///
    /// # Errors
    ///
    /// Returns an error if a file can't be written or a program can't be started.
    pub(crate) fn start(
        deployment: Deployment,
        ports: Ports,
        folder: &Path,
    ) -> Result<Self, Report<Error>> {
        let files = settings::write(&deployment, &ports, folder)?;
        Self::start_from(&files, deployment, ports, folder)
    }

    /// Starts all processes from existing settings files.
    ///
    /// # Errors
    ///
    /// Returns an error if a program can't be started.
    pub(crate) fn start_from(
        files: &Files,
        deployment: Deployment,
        ports: Ports,
        folder: &Path,
    ) -> Result<Self, Report<Error>> {
        let start = |program: &str, name: &str, path: &PathBuf| {
            Process::start(program, name, path, &folder.join(format!("{name}.log")))
        };
        let standin = start("rosemary-standin", "standin", &files.standin)?;
        let mut schedulers = Vec::new();
        for (name, path) in &files.schedulers {
            schedulers.push(start("rosemary-scheduler", name, path)?);
        }
        let mut gateways = Vec::new();
        for (name, path) in &files.gateways {
            gateways.push(start("rosemary-gateway", name, path)?);
        }
        let client = Client::start(2);
        Ok(Self {
            deployment,
            ports,
            client,
            standin,
            schedulers,
            gateways,
        })
    }

    /// Waits until every scheduler and gateway is ready.
    ///
    /// # Errors
    ///
    /// Returns an error that names the process that did not become ready in time.
    pub(crate) async fn wait_ready(&mut self) -> Result<Duration, Report<Error>> {
        let started = Instant::now();
        for index in 0..self.schedulers.len() {
            let port = self.ports.scheduler_status(index);
            wait_process_ready(&self.client, port, &mut self.schedulers[index], started).await?;
        }
        for index in 0..self.gateways.len() {
            let port = self.ports.gateway_admin(index);
            wait_process_ready(&self.client, port, &mut self.gateways[index], started).await?;
        }
        Ok(started.elapsed())
    }

    /// Stops all processes gracefully, gateways before schedulers, and returns the names of those
    /// that did not exit with code 0 in time.
    pub(crate) async fn stop(&mut self) -> Vec<String> {
        let mut failed = Vec::new();
        for group in [&mut self.gateways, &mut self.schedulers] {
            group.iter_mut().for_each(Process::terminate);
            for process in group.iter_mut() {
                if process.wait(STOP_TIMEOUT).await != Some(0) {
                    failed.push(process.name().to_owned());
                }
            }
        }
        self.standin.terminate();
        if self.standin.wait(STOP_TIMEOUT).await != Some(0) {
            failed.push(self.standin.name().to_owned());
        }
        failed
    }
}

async fn wait_process_ready(
    client: &Client,
    port: u16,
    process: &mut Process,
    started: Instant,
) -> Result<(), Report<Error>> {
    let url = format!("http://127.0.0.1:{port}/readyz");
    loop {
        if let Some(code) = process.exit_code() {
            let log = process.log_tail();
            return Err(Report::new(Error::new("start", process.name()))
                .attach_printable(format!("exited with code {code}:\n{log}")));
        }
        let request = Request::new("GET", url.clone(), Duration::from_secs(1));
        let reason = match client.send(request).await {
            Ok(response) if response.status == 200 => return Ok(()),
            Ok(response) => String::from_utf8_lossy(&response.body).trim().to_owned(),
            Err(error) => error.to_string(),
        };
        if started.elapsed() > READY_TIMEOUT {
            return Err(
                Report::new(Error::new("become ready", process.name())).attach_printable(reason)
            );
        }
        tokio::time::sleep(READY_POLL_PERIOD).await;
    }
}

/// Builds the binaries of the workspace.
///
/// # Errors
///
/// Returns an error if cargo fails.
pub(crate) fn build(release: bool) -> Result<(), Report<Error>> {
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = std::process::Command::new(cargo);
    command.args(["build", "--quiet", "--workspace", "--bins"]);
    if release {
        command.arg("--release");
    }
    let failed = || Error::new("build", "cargo");
    let status = command.status().change_context_lazy(failed)?;
    if status.success() {
        Ok(())
    } else {
        Err(Report::new(failed()))
    }
}
