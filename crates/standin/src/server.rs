//! HTTP servers of the stand-in, with a port for each simulated component.

mod control;
mod log;
mod requests;
mod response;
mod tasks;

use std::net::SocketAddr;
use std::sync::Arc;

use ntex::http::{HttpService, HttpServiceConfig, KeepAlive, Request, Response};
use ntex::io::Io;
use ntex::server::Server;
use ntex::service::{ServiceFactory, cfg::SharedCfg, chain_factory, fn_service};
use ntex::time::Seconds;

use crate::instance::Instance;
use crate::platform::Platform;
use crate::settings::Settings;
use crate::worker::Worker;

/// Exceeds the time for which clients keep idle connections, so that the server never closes a
/// connection while a client sends a request on it.
const KEEP_ALIVE_SECONDS: u16 = 300;

/// Time for open requests to finish when the stand-in stops.
const SHUTDOWN_SECONDS: u16 = 1;

/// The component that serves a port.
#[derive(Clone, Debug)]
enum Endpoint {
    Control(Arc<Platform>),
    Directory(Arc<Platform>),
    Instance(Arc<Instance>),
    Log(Arc<Platform>),
    Worker(Arc<Worker>),
}

/// Returns the address of every port and the component that serves it.
fn endpoints(settings: &Settings, platform: &Arc<Platform>) -> Vec<(SocketAddr, Endpoint)> {
    let mut endpoints = vec![
        (settings.control, Endpoint::Control(platform.clone())),
        (
            settings.directory.address,
            Endpoint::Directory(platform.clone()),
        ),
        (settings.log.address, Endpoint::Log(platform.clone())),
    ];
    for worker in &platform.workers {
        endpoints.push((worker.target.address, Endpoint::Worker(worker.clone())));
    }
    for instance in &platform.instances {
        endpoints.push((
            instance.target.address,
            Endpoint::Instance(instance.clone()),
        ));
    }
    endpoints
}

/// Starts all servers. Must be called within an ntex system.
///
/// # Errors
///
/// Returns the address and the error if a port can't be bound.
pub fn start(
    settings: &Settings,
    platform: &Arc<Platform>,
) -> Result<Server, (SocketAddr, std::io::Error)> {
    let mut builder = ntex::server::build()
        .workers(settings.threads)
        .disable_signals()
        .shutdown_timeout(Seconds(SHUTDOWN_SECONDS));
    for (address, endpoint) in endpoints(settings, platform) {
        let serve = async move |config: ntex::server::Config| {
            config.config(http_config());
            service(endpoint.clone())
        };
        builder = builder
            .bind(address.to_string(), address, serve)
            .map_err(|error| (address, error))?;
    }
    Ok(builder.run())
}

fn http_config() -> SharedCfg {
    let http =
        HttpServiceConfig::new().set_keepalive(KeepAlive::Timeout(Seconds(KEEP_ALIVE_SECONDS)));
    SharedCfg::new("standin").add(http).into()
}

fn service(
    endpoint: Endpoint,
) -> impl ServiceFactory<Io, SharedCfg, Response = (), Error = (), InitError = ()> {
    let accepting = endpoint.clone();
    let accept = fn_service(move |io: Io| {
        let endpoint = accepting.clone();
        async move { accept(&endpoint, io) }
    });
    let http = HttpService::h1(fn_service(move |request: Request| {
        let endpoint = endpoint.clone();
        async move { Ok::<_, std::io::Error>(respond(&endpoint, request).await) }
    }));
    chain_factory(accept).and_then(chain_factory(http).map_err(|_| ()))
}

/// Counts the connections of instances and closes those that the instance doesn't accept.
fn accept(endpoint: &Endpoint, io: Io) -> Result<Io, ()> {
    let Endpoint::Instance(instance) = endpoint else {
        return Ok(io);
    };
    let accepted = instance.connect();
    let closed = io.on_disconnect();
    let counted = instance.clone();
    ntex::rt::spawn(async move {
        closed.await;
        counted.disconnect();
    });
    match accepted {
        true => Ok(io),
        false => {
            io.terminate();
            Err(())
        }
    }
}

async fn respond(endpoint: &Endpoint, mut request: Request) -> Response {
    let Some(body) = response::read(&mut request).await else {
        return response::malformed("request body could not be read");
    };
    match endpoint {
        Endpoint::Control(platform) => control::respond(platform, &request, &body),
        Endpoint::Directory(platform) => log::list(platform),
        Endpoint::Instance(instance) => requests::respond(instance, &request, &body).await,
        Endpoint::Log(platform) => log::respond(&platform.log, &request, &body).await,
        Endpoint::Worker(worker) => tasks::respond(worker, &request, &body).await,
    }
}
