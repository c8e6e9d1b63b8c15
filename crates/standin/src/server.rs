//! HTTP servers of the stand-in, one port for each party.

mod answer;
mod control;
mod log;
mod requests;
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

/// Longer than the clients keep idle connections, so that the server never closes one while a
/// client sends a request on it.
const KEEP_ALIVE_SECONDS: u16 = 300;

const SHUTDOWN_SECONDS: u16 = 1;

/// Who answers at a port.
#[derive(Clone, Debug)]
enum Party {
    Control(Arc<Platform>),
    Directory(Arc<Platform>),
    Instance(Arc<Instance>),
    Log(Arc<Platform>),
    Worker(Arc<Worker>),
}

/// Returns every port with the party that answers there.
fn ports(settings: &Settings, platform: &Arc<Platform>) -> Vec<(SocketAddr, Party)> {
    let mut ports = vec![
        (settings.control, Party::Control(platform.clone())),
        (
            settings.directory.address,
            Party::Directory(platform.clone()),
        ),
        (settings.log.address, Party::Log(platform.clone())),
    ];
    for worker in &platform.workers {
        ports.push((worker.target.address, Party::Worker(worker.clone())));
    }
    for instance in &platform.instances {
        ports.push((instance.target.address, Party::Instance(instance.clone())));
    }
    ports
}

/// Starts the servers. Must be called within an ntex system.
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
    for (address, party) in ports(settings, platform) {
        let serve = async move |config: ntex::server::Config| {
            config.config(http_config());
            service(party.clone())
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
    party: Party,
) -> impl ServiceFactory<Io, SharedCfg, Response = (), Error = (), InitError = ()> {
    let accepting = party.clone();
    let accept = fn_service(move |io: Io| {
        let party = accepting.clone();
        async move { accept(&party, io) }
    });
    let answer = HttpService::h1(fn_service(move |request: Request| {
        let party = party.clone();
        async move { Ok::<_, std::io::Error>(respond(&party, request).await) }
    }));
    chain_factory(accept).and_then(chain_factory(answer).map_err(|_| ()))
}

/// Counts the connections of instances and drops those that aren't accepted.
fn accept(party: &Party, io: Io) -> Result<Io, ()> {
    let Party::Instance(instance) = party else {
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

async fn respond(party: &Party, mut request: Request) -> Response {
    let Some(body) = answer::read(&mut request).await else {
        return answer::malformed("request body could not be read");
    };
    match party {
        Party::Control(platform) => control::respond(platform, &request, &body),
        Party::Directory(platform) => log::list(platform),
        Party::Instance(instance) => requests::respond(instance, &request, &body).await,
        Party::Log(platform) => log::respond(&platform.log, &request, &body).await,
        Party::Worker(worker) => tasks::respond(worker, &request, &body).await,
    }
}
