//! Server side of a link: accepts connections from other processes.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio_tungstenite::accept_async_with_config;

use super::connection::{self, Handler};
use crate::message::Hello;

const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Accepts links on `listener` until the future is dropped.
pub async fn serve(listener: TcpListener, own: Hello, handler: Arc<dyn Handler>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(accept(stream, own.clone(), handler.clone()));
            }
            // Usually a lack of file descriptors; a later accept may succeed.
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn accept(stream: TcpStream, own: Hello, handler: Arc<dyn Handler>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let handshake = accept_async_with_config(stream, Some(connection::websocket_config()));
    if let Ok(Ok(socket)) = tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake).await {
        connection::run(socket, &own, &handler, |_| {}).await;
    }
}
