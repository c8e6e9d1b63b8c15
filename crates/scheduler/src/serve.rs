//! Status server: `/metrics`, `/healthz` and `/readyz` on a dedicated thread.

use std::net::TcpListener;

use ntex::web::{App, HttpServer};
use rosemaryworks_node::status::{Status, routes};

const STOP_SECONDS: u16 = 1;

/// Starts the server on `listener`.
///
/// # Errors
///
/// Returns an error if the thread can't be started.
pub fn serve(listener: TcpListener, status: Status) -> std::io::Result<()> {
    let thread = std::thread::Builder::new().name("status".to_owned());
    thread.spawn(move || {
        let system = ntex::rt::System::new("status", ntex::rt::DefaultRuntime);
        let result = system.block_on(run(listener, status));
        if let Err(error) = result {
            crate::events::STATUS_FAILED.log(format_args!("reason={error}"));
        }
    })?;
    Ok(())
}

async fn run(listener: TcpListener, status: Status) -> std::io::Result<()> {
    let app = async move || App::new().state(status.clone()).configure(routes);
    let server = HttpServer::new(app)
        .workers(1)
        .disable_signals()
        .shutdown_timeout(ntex::time::Seconds(STOP_SECONDS));
    server.listen(listener)?.run().await
}
