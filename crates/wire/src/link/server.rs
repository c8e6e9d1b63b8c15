//! Server side of a link: accepts connections from other processes.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;
use tokio_tungstenite::accept_async_with_config;

use super::bounds::{Bounds, Counted, Held, Total};
use super::connection::{self, Handler};
use crate::message::Hello;

const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// An accepted connection.
struct Accepted {
    task: AbortHandle,
    /// Whether the peer has said who it is.
    known: Arc<AtomicBool>,
}

/// Accepts links on `listener` until the future is dropped.
pub async fn serve(listener: TcpListener, own: Hello, handler: Arc<dyn Handler>) {
    serve_within(Bounds::NONE, listener, own, handler).await;
}

/// Accepts links on `listener` until the future is dropped. If as many as the bounds allow are open,
/// the oldest whose peer has not said who it is is closed for a new one; without one, the new one is
/// closed.
pub async fn serve_within(
    bounds: Bounds,
    listener: TcpListener,
    own: Hello,
    handler: Arc<dyn Handler>,
) {
    let mut accepted = VecDeque::new();
    let total = Total::new(bounds);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if !make_room(&mut accepted, bounds.links).await {
                    continue;
                }
                let known = Arc::new(AtomicBool::new(false));
                let link = accept(
                    stream,
                    total.link(),
                    known.clone(),
                    own.clone(),
                    handler.clone(),
                );
                let task = tokio::spawn(link).abort_handle();
                accepted.push_back(Accepted { task, known });
            }
            // Usually a lack of file descriptors; a later accept may succeed.
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Returns whether a new connection is within the bounds, after closing another one if necessary.
async fn make_room(accepted: &mut VecDeque<Accepted>, links: usize) -> bool {
    accepted.retain(|link| !link.task.is_finished());
    if accepted.len() < links {
        return true;
    }
    let is_stranger = |link: &Accepted| !link.known.load(Ordering::Relaxed);
    let Some(stranger) = accepted.iter().position(is_stranger) else {
        return false;
    };
    if let Some(link) = accepted.remove(stranger) {
        link.task.abort();
        // The connection's descriptor is closed when its task is polled.
        tokio::task::yield_now().await;
    }
    true
}

async fn accept(
    stream: TcpStream,
    held: Held,
    known: Arc<AtomicBool>,
    own: Hello,
    handler: Arc<dyn Handler>,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let stream = Counted::new(stream, held.partial.clone());
    let handshake = accept_async_with_config(stream, Some(connection::websocket_config()));
    if let Ok(Ok(socket)) = tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake).await {
        held.partial.clear();
        let opened = |_: &connection::Peer| known.store(true, Ordering::Relaxed);
        connection::run(socket, &held, &own, &handler, opened).await;
    }
}
