//! `rosemary-scheduler`: owns shards of a cell, routes their requests and places their tasks.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::exit;
use std::sync::Arc;
use std::time::Duration;

use argh::FromArgs;
use rosemaryworks_node::http::Client;
use rosemaryworks_node::shutdown::{self, Signals};
use rosemaryworks_node::status::Status;
use rosemaryworks_node::{logging, settings};
use rosemaryworks_platform::http;
use rosemaryworks_scheduler::{Platform, Scheduler, Settings, serve};

/// Threads of the HTTP client. With one thread, calls at about the same time share its wake-ups and
/// those of its timer.
const CLIENT_THREADS: usize = 1;

/// Upper bound on a planned stop: intents in flight, releases and last replies.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// Owns shards of a cell: grants slots of service instances and places tasks on workers.
#[derive(FromArgs)]
struct Arguments {
    /// settings file (JSON)
    #[argh(option)]
    settings: Option<PathBuf>,

    /// check the settings and exit
    #[argh(switch)]
    check: bool,

    /// print the version and exit
    #[argh(switch)]
    version: bool,
}

fn main() {
    let arguments: Arguments = argh::from_env();
    if arguments.version {
        println!("rosemary-scheduler {}", env!("CARGO_PKG_VERSION"));
        return;
    }
    let Some(path) = arguments.settings else {
        fail(settings::EXIT_CODE, "--settings FILE is required");
    };
    let settings = settings::load::<Settings>(&path).unwrap_or_else(|report| {
        fail(settings::EXIT_CODE, &report.current_context().to_string());
    });
    if arguments.check {
        println!("settings are valid");
        return;
    }
    if let Err(report) = logging::start(&settings.log) {
        fail(settings::EXIT_CODE, &report.current_context().to_string());
    }
    run(settings);
}

fn run(settings: Settings) {
    if let Err(error) = shutdown::enforce_limit(STOP_TIMEOUT) {
        fail(1, &format!("signals can't be handled: {error}"));
    }
    let peers = bind(settings.peer_listen, "peer_listen");
    let status_listener = bind(settings.status_listen, "status_listen");
    let status = Status::default();
    if let Err(error) = serve(status_listener, status.clone()) {
        fail(1, &format!("status server can't be started: {error}"));
    }
    let platform = platform(&settings);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.runtime_threads)
        .enable_all()
        .build();
    let runtime = runtime.unwrap_or_else(|error| {
        fail(1, &format!("runtime can't be started: {error}"));
    });
    let result = runtime.block_on(async {
        peers.set_nonblocking(true)?;
        let listener = tokio::net::TcpListener::from_std(peers)?;
        let mut signals = Signals::install()?;
        let scheduler = Scheduler::start(settings, platform, listener, status);
        signals.requested().await;
        scheduler.stop().await;
        std::io::Result::Ok(())
    });
    if let Err(error) = result {
        fail(1, &format!("scheduler failed: {error}"));
    }
    exit(0);
}

/// Connects the scheduler to the platform.
fn platform(settings: &Settings) -> Platform {
    let client = Client::start(CLIENT_THREADS);
    Platform {
        log: Arc::new(http::Log::new(client.clone(), settings.cell.log)),
        workers: Arc::new(http::Workers::new(client.clone())),
        instances: Arc::new(http::Instances::new(client.clone())),
        directory: Arc::new(http::Directory::new(client, settings.cell.directory)),
    }
}

fn bind(address: SocketAddr, field: &str) -> TcpListener {
    TcpListener::bind(address).unwrap_or_else(|error| {
        fail(1, &format!("{field}: {address} can't be bound: {error}"));
    })
}

fn fail(code: i32, message: &str) -> ! {
    for line in message.lines() {
        eprintln!("rosemary-scheduler: {line}");
    }
    exit(code);
}
