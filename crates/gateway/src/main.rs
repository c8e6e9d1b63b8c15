//! Binary of the gateway.

use std::io;
use std::net::TcpListener;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use rosemaryworks_admin::{Api, Contracts, Refusals};
use rosemaryworks_core::timing::DEADLINE_MAX_MS;
use rosemaryworks_gateway::server::{Servers, bind};
use rosemaryworks_gateway::stop::stop_gracefully;
use rosemaryworks_gateway::{Dependencies, Gateway, Links, Settings, events, readiness};
use rosemaryworks_node::program::Program;
use rosemaryworks_node::shutdown::{self, Signals};
use rosemaryworks_node::status::Status;
use rosemaryworks_node::{clock, event, http};
use rosemaryworks_platform::appender::Appender;
use rosemaryworks_platform::health::Health;
use rosemaryworks_platform::log::{AUDIT, CONTRACTS};
use rosemaryworks_platform::{Instances, Log};
use rosemaryworks_wire::{Hello, Role};
use tokio::runtime::Runtime;
use tokio::sync::watch;

/// Threads of the HTTP client.
const CLIENT_THREADS: usize = 2;

/// Longest graceful stop after `drain_ms`: covers the longest deadline, the last reports, and the
/// shutdown of both servers.
const STOP_TIMEOUT: Duration = Duration::from_millis(DEADLINE_MAX_MS + 25_000);

fn main() -> ExitCode {
    let program = Program::<Settings> {
        name: "rosemary-gateway",
        version: env!("CARGO_PKG_VERSION"),
        variable: None,
        log: |settings| &settings.log,
    };
    let settings = match program.prepare() {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    match start(&settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(line) => {
            events::START_FAILED.log(format_args!("{line}"));
            ExitCode::FAILURE
        }
    }
}

fn start(settings: &Settings) -> Result<(), String> {
    let callers = bind("listen", settings.listen)?;
    let operators = bind("admin_listen", settings.admin_listen)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.runtime_threads)
        .enable_all()
        .build()
        .map_err(|error| format!("runtime: {error}"))?;
    let servers = runtime.block_on(async { build_servers(settings, runtime.handle()) });
    event::STARTED.log(format_args!(
        "node={} zone={} listen={} admin_listen={}",
        settings.node, settings.zone, settings.listen, settings.admin_listen
    ));
    let served = serve(settings, &runtime, servers, callers, operators);
    event::STOPPED.log(format_args!("node={}", settings.node));
    runtime.shutdown_background();
    served.map_err(|error| format!("http server: {error}"))
}

/// Builds the gateway and its servers, and starts the links and background tasks.
fn build_servers(settings: &Settings, runtime: &tokio::runtime::Handle) -> Servers {
    let client = http::Client::start(CLIENT_THREADS);
    let cell = &settings.cell;
    let log: Arc<dyn Log> = Arc::new(rosemaryworks_platform::http::Log::new(
        client.clone(),
        cell.log,
    ));
    let instances: Arc<dyn Instances> =
        Arc::new(rosemaryworks_platform::http::Instances::new(client));
    let hello = Hello {
        node: settings.node.clone(),
        role: Role::Gateway,
        zone: settings.zone.clone(),
        incarnation: clock::incarnation(),
    };
    let health = Health::new(clock::now());
    let contracts = Contracts::default();
    let links = Links::start(cell, &hello);
    let status = Status::default();
    status.ready.clear("starting");
    let appender = |stream| {
        let (log, health) = (log.clone(), health.clone());
        Appender::start(log, health, stream, &hello.node, hello.incarnation)
    };
    let api = Api {
        cell: Arc::new(cell.clone()),
        contracts: contracts.clone(),
        operators: settings.operators.clone().into(),
        schedulers: links.clients(),
        contracts_appender: appender(CONTRACTS),
        refusals: Refusals::new(appender(AUDIT)),
        log: log.clone(),
        runtime: runtime.clone(),
    };
    let dependencies = Dependencies {
        contracts: contracts.clone(),
        instances,
        links,
        metrics: status.metrics.clone(),
        runtime: runtime.clone(),
    };
    runtime.spawn(async move { contracts.follow(log, health).await });
    Servers {
        gateway: Gateway::new(settings, dependencies),
        api,
        status,
        threads: settings.http_threads,
    }
}

fn serve(
    settings: &Settings,
    runtime: &Runtime,
    servers: Servers,
    callers: TcpListener,
    operators: TcpListener,
) -> io::Result<()> {
    let drain = Duration::from_millis(settings.drain_ms);
    shutdown::enforce_limit(drain + STOP_TIMEOUT)?;
    let (stop, stopped) = watch::channel(false);
    let (gateway, ready) = (servers.gateway.clone(), servers.status.ready.clone());
    let readiness_task = runtime.spawn(readiness::watch(gateway.clone(), ready.clone()));
    let mut signals = {
        let _guard = runtime.enter();
        Signals::install()?
    };
    runtime.spawn(async move {
        signals.requested().await;
        readiness_task.abort();
        gateway.drain();
        ready.clear("stopping");
        event::STOPPING.log(format_args!("node={}", gateway.node()));
        tokio::time::sleep(drain).await;
        stop_gracefully(&gateway).await;
        stop.send_replace(true);
    });
    let system = ntex::rt::System::new("gateway", ntex::rt::DefaultRuntime);
    system.block_on(servers.run(callers, operators, stopped))
}
