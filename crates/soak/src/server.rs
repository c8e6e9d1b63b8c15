//! A small HTTP server whose connections the soak can cut.

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

/// A request with its whole body.
pub struct Request {
    /// Path.
    pub path: String,
    /// Query, not unescaped.
    pub query: Vec<(String, String)>,
    /// Headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
}

impl Request {
    /// Returns a value of the query.
    #[must_use]
    pub fn text(&self, name: &str) -> Option<&str> {
        let found = self.query.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns a number of the query.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        self.text(name)?.parse().ok()
    }

    /// Returns a header.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// What becomes of a request.
pub enum Reply {
    /// The connection is closed without an answer.
    Lost,
    /// An answer with a status and a body.
    Sent(u16, Vec<u8>),
}

/// Answers requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers a request.
    fn handle(self: Arc<Self>, request: Request) -> Pin<Box<dyn Future<Output = Reply> + Send>>;
}

/// Binds a free port of the loopback interface.
pub(crate) async fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Serves until the future is dropped, which closes the listener and every connection.
pub(crate) async fn serve(listener: TcpListener, handler: Arc<dyn Handler>) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        while connections.try_join_next().is_some() {}
        let handler = handler.clone();
        connections.spawn(async move {
            let service = service_fn(move |request| answer(handler.clone(), request));
            // A connection that a test cuts ends with an error.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

#[derive(Debug)]
struct Cut;

impl std::fmt::Display for Cut {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer is lost")
    }
}

impl std::error::Error for Cut {}

async fn answer(
    handler: Arc<dyn Handler>,
    request: hyper::Request<Incoming>,
) -> Result<hyper::Response<Full<Bytes>>, Cut> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| Cut)?.to_bytes();
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
        Reply::Lost => Err(Cut),
        Reply::Sent(status, body) => {
            let response = hyper::Response::builder().status(status);
            Ok(response
                .body(Full::new(Bytes::from(body)))
                .expect("a status"))
        }
    }
}
