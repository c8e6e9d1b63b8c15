//! HTTP client that can be used from any thread.
//!
//! A client of ntex can be used only on the thread that created it. [`Client`] runs such clients on
//! dedicated threads and passes requests to them over channels.

use std::cell::Cell;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client as LocalClient, ClientResponse, Connector};
use ntex::time::{Millis, Seconds};
use ntex::util::stream_recv;
use rosemaryworks_core::partition::hash;
use tokio::sync::{mpsc, oneshot};

use crate::late;

/// Largest response body in bytes.
pub const BODY_MAX_BYTES: usize = 64 * 1024 * 1024;

const KEEP_ALIVE_SECONDS: u16 = 60;

/// Timeout for opening a connection. ntex opens one connection to an address at a time, so an
/// attempt that hangs in a network partition blocks all others until the system retransmits its SYN
/// packet, which takes seconds. A round trip between regions takes less than this timeout.
const CONNECT_TIMEOUT: Millis = Millis(300);

/// HTTP request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Request {
    /// Method, such as `GET`.
    pub method: &'static str,
    /// URL with scheme and address.
    pub url: String,
    /// Headers.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    /// Body.
    pub body: Vec<u8>,
    /// Timeout of the whole exchange, from opening a connection to the end of the response. Extended
    /// by the time for which the client's thread is late.
    pub timeout: Duration,
    /// Largest body of the response in bytes. A longer one counts as no complete response.
    pub response_max_bytes: usize,
}

impl Request {
    /// Creates a request without headers and body.
    #[must_use]
    pub fn new(method: &'static str, url: String, timeout: Duration) -> Self {
        Self {
            method,
            url,
            headers: Vec::new(),
            body: Vec::new(),
            timeout,
            response_max_bytes: BODY_MAX_BYTES,
        }
    }

    /// Sets the largest body of the response in bytes.
    #[must_use]
    pub fn response_max_bytes(mut self, bytes: usize) -> Self {
        self.response_max_bytes = bytes.min(BODY_MAX_BYTES);
        self
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: impl Into<Vec<u8>>) -> Self {
        self.body = body.into();
        self
    }
}

/// Complete HTTP response.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Headers.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Response {
    /// Returns the first value of the header `name`, which must be in lower case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(key, _)| &**key == name)
            .map(|(_, value)| &**value)
    }
}

/// Reason why a request has no complete response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// The connection can't be opened; no byte was sent.
    Connect(String),
    /// The connection was refused; no byte was sent. A network cut may refuse connections to a
    /// process that runs, so this doesn't show that the process has ended.
    Refused,
    /// The request was sent at least in part, but no complete response arrived.
    Lost(String),
    /// The request is invalid and was not sent.
    Invalid(String),
    /// The response did not arrive in time; the request may have been sent.
    Timeout,
    /// The response began and was not complete in time.
    Incomplete {
        /// Bytes of the body that had arrived.
        received_bytes: usize,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(reason) => write!(f, "connection failed: {reason}"),
            Self::Refused => f.write_str("connection refused"),
            Self::Lost(reason) => write!(f, "no whole response: {reason}"),
            Self::Invalid(reason) => write!(f, "invalid request: {reason}"),
            Self::Timeout => f.write_str("no response in time"),
            Self::Incomplete { received_bytes } => {
                write!(f, "response incomplete after {received_bytes} bytes")
            }
        }
    }
}

impl std::error::Error for Error {}

type Call = (Request, oneshot::Sender<Result<Response, Error>>);

/// HTTP client. Clones share the same threads and connections.
#[derive(Clone, Debug)]
pub struct Client(Arc<Threads>);

#[derive(Debug)]
struct Threads {
    senders: Vec<mpsc::UnboundedSender<Call>>,
}

impl Client {
    /// Starts a client with `threads` threads.
    ///
    /// One thread sends all requests to an address, so the number of connections to an address
    /// never exceeds the largest number of requests that were in flight to it at once.
    ///
    /// # Panics
    ///
    /// Panics if a thread can't be started.
    #[must_use]
    pub fn start(threads: usize) -> Self {
        let spawn = |index: usize| {
            let (sender, receiver) = mpsc::unbounded_channel();
            std::thread::Builder::new()
                .name(format!("http-client-{index}"))
                .spawn(move || {
                    let system = ntex::rt::System::new("http-client", ntex::rt::DefaultRuntime);
                    system.block_on(serve(receiver));
                })
                .expect("the HTTP client thread should start");
            sender
        };
        let senders = (0..threads.max(1)).map(spawn).collect();
        Self(Arc::new(Threads { senders }))
    }

    /// Starts a client on the calling thread, which must run an ntex system. Calls from tasks of the
    /// same thread need no switch to another one.
    #[must_use]
    pub fn start_local() -> Self {
        let (sender, receiver) = mpsc::unbounded_channel();
        ntex::rt::spawn(serve(receiver));
        Self(Arc::new(Threads {
            senders: vec![sender],
        }))
    }

    /// Sends a request and waits for the whole response.
    ///
    /// The request is completed even if the returned future is dropped.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Connect`], [`Error::Invalid`] or [`Error::Refused`] only if no byte
    /// was sent.
    pub async fn send(&self, request: Request) -> Result<Response, Error> {
        let address = request.url.split('/').nth(2).unwrap_or_default();
        let index = hash(&[address]) % self.0.senders.len() as u64;
        let (sender, receiver) = oneshot::channel();
        let stopped = || Error::Connect("client thread has ended".to_owned());
        self.0.senders[index as usize]
            .send((request, sender))
            .map_err(|_| stopped())?;
        receiver
            .await
            .unwrap_or_else(|_| Err(Error::Lost("client thread has ended".to_owned())))
    }
}

async fn serve(mut receiver: mpsc::UnboundedReceiver<Call>) {
    // The limit applies to all addresses together, not to each address. A limit of 0 also means
    // unlimited, but with it ntex never wakes a request that waits while another one opens a
    // connection to the same address.
    let connector = Connector::default()
        .limit(usize::MAX)
        .keep_alive(Seconds(KEEP_ALIVE_SECONDS));
    let client = LocalClient::builder()
        .connector::<ntex::SharedCfg>(connector)
        .disable_timeout()
        .disable_redirects()
        .response_payload_limit(BODY_MAX_BYTES)
        .response_payload_timeout(Millis::ZERO)
        .build(
            ntex::SharedCfg::new("http-client")
                .add(ntex::io::IoConfig::new().set_connect_timeout(CONNECT_TIMEOUT)),
        )
        .await;
    let client = match client {
        Ok(client) => client,
        Err(error) => {
            log::error!("HTTP client failed to start: {error:?}");
            return;
        }
    };
    while let Some((request, reply)) = receiver.recv().await {
        let client = client.clone();
        ntex::rt::spawn(async move {
            let timeout = request.timeout;
            let received = Received::default();
            let result = late::timeout(timeout, exchange(&client, request, &received)).await;
            let result = result.unwrap_or_else(|| Err(received.timeout()));
            // The caller may have dropped its future.
            let _ = reply.send(result);
        });
    }
}

/// What has arrived of a response.
#[derive(Debug, Default)]
struct Received {
    /// Bytes of the body; `None` before the end of the head.
    body_bytes: Cell<Option<usize>>,
}

impl Received {
    /// Returns the error of a response that is not complete in time.
    fn timeout(&self) -> Error {
        match self.body_bytes.get() {
            Some(received_bytes) => Error::Incomplete { received_bytes },
            None => Error::Timeout,
        }
    }
}

async fn exchange(
    client: &LocalClient,
    request: Request,
    received: &Received,
) -> Result<Response, Error> {
    let method = ntex::http::Method::from_bytes(request.method.as_bytes())
        .map_err(|error| Error::Invalid(error.to_string()))?;
    let mut builder = client.request(method, request.url.as_str());
    for (name, value) in &request.headers {
        builder = builder.header(&**name, &**value);
    }
    let response_max_bytes = request.response_max_bytes;
    let response = builder
        .send_body(request.body)
        .await
        .map_err(|e| classify(&e))?;
    let status = response.status().as_u16();
    let headers = response
        .headers()
        .iter()
        .filter_map(|(name, value)| Some((name.as_str().into(), value.to_str().ok()?.into())))
        .collect();
    received.body_bytes.set(Some(0));
    let body = read_body(response, response_max_bytes, received).await?;
    Ok(Response {
        status,
        headers,
        body,
    })
}

async fn read_body(
    mut response: ClientResponse,
    max_bytes: usize,
    received: &Received,
) -> Result<Vec<u8>, Error> {
    let mut body = Vec::new();
    while let Some(part) = stream_recv(&mut response).await {
        let part = part.map_err(|error| Error::Lost(error.to_string()))?;
        if body.len() + part.len() > max_bytes {
            return Err(Error::Lost(format!("body of more than {max_bytes} bytes")));
        }
        body.extend_from_slice(&part);
        received.body_bytes.set(Some(body.len()));
    }
    Ok(body)
}

fn classify(error: &ClientError) -> Error {
    match error {
        // ntex reports a connection that closed before the response as this error.
        ClientError::Connect(ConnectError::Disconnected(None)) => {
            Error::Lost("the peer closed the connection".to_owned())
        }
        ClientError::Connect(ConnectError::Disconnected(Some(error)))
            if error.kind() == std::io::ErrorKind::ConnectionRefused =>
        {
            Error::Refused
        }
        ClientError::Connect(error) => Error::Connect(error.to_string()),
        other => Error::Lost(other.to_string()),
    }
}
