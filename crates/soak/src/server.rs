//! HTTP server of the stand-ins, which can close a connection instead of responding.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

/// A request with its complete body.
pub struct Request {
    /// Path.
    pub path: String,
    /// Query parameters, without percent-decoding.
    pub query: Vec<(String, String)>,
    /// Headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
}

impl Request {
    /// Returns a query parameter as text.
    #[must_use]
    pub fn text(&self, name: &str) -> Option<&str> {
        let pair = self.query.iter().find(|(key, _)| key == name);
        pair.map(|(_, value)| value.as_str())
    }

    /// Returns a query parameter as a number.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        self.text(name)?.parse().ok()
    }

    /// Returns a header.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let pair = self.headers.iter().find(|(key, _)| key == name);
        pair.map(|(_, value)| value.as_str())
    }
}

/// How the server replies to a request.
pub enum Reply {
    /// Closes the connection without a response.
    Lost,
    /// Sends a response with a status and a body.
    Sent(u16, Vec<u8>),
}

/// Handles requests.
pub trait Handler: Send + Sync + 'static {
    /// Handles a request.
    fn handle(self: Arc<Self>, request: Request) -> Pin<Box<dyn Future<Output = Reply> + Send>>;
}

/// Binds a free port on the loopback interface.
///
/// # Panics
///
/// Panics if there is no free port.
pub async fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("no free loopback port");
    let address = listener.local_addr().expect("the listener has no address");
    (listener, address)
}

/// Serves connections until the future is dropped, which closes the listener and all connections.
pub async fn serve(listener: TcpListener, handler: Arc<dyn Handler>) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        while connections.try_join_next().is_some() {}
        let handler = handler.clone();
        connections.spawn(async move {
            let service = service_fn(move |request| respond(handler.clone(), request));
            // Connections that the test closes end with an error.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

#[derive(Debug)]
struct ResponseDropped;

impl std::fmt::Display for ResponseDropped {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the response is dropped")
    }
}

impl std::error::Error for ResponseDropped {}

async fn respond(
    handler: Arc<dyn Handler>,
    request: hyper::Request<Incoming>,
) -> Result<hyper::Response<Full<Bytes>>, ResponseDropped> {
    let (head, body) = request.into_parts();
    let body = body
        .collect()
        .await
        .map_err(|_| ResponseDropped)?
        .to_bytes();
    let query = head.uri.query().unwrap_or_default();
    let pair = |pair: &str| {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        (key.to_owned(), value.to_owned())
    };
    let header = |(name, value): (&hyper::header::HeaderName, &hyper::header::HeaderValue)| {
        (
            name.as_str().to_owned(),
            String::from_utf8_lossy(value.as_bytes()).into_owned(),
        )
    };
    let request = Request {
        path: head.uri.path().to_owned(),
        query: query.split('&').map(pair).collect(),
        headers: head.headers.iter().map(header).collect(),
        body,
    };
    match handler.handle(request).await {
        Reply::Lost => Err(ResponseDropped),
        Reply::Sent(status, body) => {
            let response = hyper::Response::builder().status(status);
            Ok(response
                .body(Full::new(Bytes::from(body)))
                .expect("invalid response status"))
        }
    }
}
