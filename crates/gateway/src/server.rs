//! HTTP servers for callers and operators.

use std::io;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::time::Duration;

use ntex::time::Seconds;
use ntex::web::{self, App, HttpServer};
use rosemaryworks_admin::Api;
use rosemaryworks_node::status::{self, Status};
use tokio::sync::watch;

use crate::gateway::Gateway;
use crate::http;

/// Time for the last responses to reach their callers once nothing is in flight.
const SHUTDOWN_TIMEOUT: Seconds = Seconds(2);

/// Time for requests to arrive on connections that were opened before the listener closed.
const FINAL_REQUESTS_GRACE: Duration = Duration::from_millis(250);

/// Applications and settings of the HTTP servers.
#[derive(Clone, Debug)]
pub struct Servers {
    /// Routes for callers.
    pub gateway: Gateway,
    /// Administration API.
    pub api: Api,
    /// Metrics and readiness.
    pub status: Status,
    /// Threads for callers.
    pub threads: usize,
}

/// Binds a listening address.
///
/// # Errors
///
/// Returns a one-line message with the settings field and the address if the address can't be
/// bound.
pub fn bind(field: &str, address: std::net::SocketAddr) -> Result<TcpListener, String> {
    TcpListener::bind(address).map_err(|error| format!("{field}: {address} can't be used: {error}"))
}

impl Servers {
    /// Serves on both listeners until `stop` becomes true. Must be called within an ntex system.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener can't be used.
    pub async fn run(
        self,
        callers: TcpListener,
        operators: TcpListener,
        mut stop: watch::Receiver<bool>,
    ) -> io::Result<()> {
        let gateway = self.gateway;
        let listener = callers.try_clone()?;
        let app = async move || {
            App::new()
                .state(gateway.clone())
                .configure(http::routes)
                .default_service(web::route().to(not_found))
        };
        let caller_server = HttpServer::new(app)
            .workers(self.threads)
            .disable_signals()
            .shutdown_timeout(SHUTDOWN_TIMEOUT)
            .listen(callers)?
            .run();
        let (api, status) = (self.api, self.status);
        let app = async move || {
            App::new()
                .state(api.clone())
                .state(status.clone())
                .configure(rosemaryworks_admin::routes)
                .configure(status::routes)
                .default_service(web::route().to(not_found))
        };
        let operator_server = HttpServer::new(app)
            .workers(1)
            .disable_signals()
            .shutdown_timeout(SHUTDOWN_TIMEOUT)
            .listen(operators)?
            .run();
        // A dropped sender means that the process is ending, so the servers stop as well.
        let _ = stop.wait_for(|stop| *stop).await;
        // The server drops connections that it accepted immediately before it stops, so the
        // listener is closed first.
        close_listener(listener)?;
        tokio::time::sleep(FINAL_REQUESTS_GRACE).await;
        caller_server.stop(true).await;
        operator_server.stop(true).await;
        Ok(())
    }
}

/// Makes a listener refuse new connections while its server continues to serve the open ones.
fn close_listener(listener: TcpListener) -> io::Result<()> {
    // The standard library exposes `shutdown` for streams only, but it works on any socket.
    TcpStream::from(OwnedFd::from(listener)).shutdown(Shutdown::Read)
}

async fn not_found() -> web::HttpResponse {
    web::HttpResponse::NotFound()
        .content_type("application/json")
        .body("{\"error\":\"no such path or method\"}")
}
