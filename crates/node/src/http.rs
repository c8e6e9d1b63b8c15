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
use tokio::time::Instant;

use crate::late;

/// Largest response body in bytes.
pub const BODY_MAX_BYTES: usize = 64 * 1024 * 1024;

const KEEP_ALIVE_SECONDS: u16 = 60;

/// Least mean rate of a body that is limited by its pauses, in bytes per millisecond, which is 128
/// kbit/s. A slower one would occupy its connection for minutes.
const BODY_RATE_MIN: usize = 16;

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
    /// Longest pause between two parts of the response's body. `timeout` then ends with the head of the
    /// response, and the body may take as long as it makes progress. `None` if `timeout` covers the
    /// whole exchange.
    pub stall_timeout: Option<Duration>,
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
            stall_timeout: None,
            response_max_bytes: BODY_MAX_BYTES,
        }
    }

    /// Sets the longest pause between two parts of the response's body.
    #[must_use]
    pub fn stall_timeout(mut self, timeout: Duration) -> Self {
        self.stall_timeout = Some(timeout);
        self
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
            let result = exchange(&client, request).await;
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

async fn exchange(client: &LocalClient, request: Request) -> Result<Response, Error> {
    let (timeout, max_bytes) = (request.timeout, request.response_max_bytes);
    let received = Received::default();
    let Some(stall_timeout) = request.stall_timeout else {
        let whole = async {
            let response = open(client, request).await?;
            read_body(response, max_bytes, None, &received).await
        };
        let response = late::timeout(timeout, whole).await;
        return response.unwrap_or_else(|| Err(received.timeout()));
    };
    let response = late::timeout(timeout, open(client, request)).await;
    let response = response.unwrap_or(Err(Error::Timeout))?;
    read_body(response, max_bytes, Some(stall_timeout), &received).await
}

/// Sends a request and waits for the head of the response.
async fn open(client: &LocalClient, request: Request) -> Result<ClientResponse, Error> {
    let method = ntex::http::Method::from_bytes(request.method.as_bytes())
        .map_err(|error| Error::Invalid(error.to_string()))?;
    let mut builder = client.request(method, request.url.as_str());
    for (name, value) in &request.headers {
        builder = builder.header(&**name, &**value);
    }
    let response = builder.send_body(request.body).await;
    response.map_err(|error| classify(&error))
}

/// Reads the body of a response, which may pause for `stall_timeout` at most.
async fn read_body(
    mut response: ClientResponse,
    max_bytes: usize,
    stall_timeout: Option<Duration>,
    received: &Received,
) -> Result<Response, Error> {
    let status = response.status().as_u16();
    let headers = response
        .headers()
        .iter()
        .filter_map(|(name, value)| Some((name.as_str().into(), value.to_str().ok()?.into())))
        .collect();
    let mut body = Vec::new();
    received.body_bytes.set(Some(0));
    let began = Instant::now();
    loop {
        let part = stream_recv(&mut response);
        let part = match stall_timeout {
            Some(stall_timeout) => {
                // What has arrived counts, also if this thread is late.
                let expected = Duration::from_millis((body.len() / BODY_RATE_MIN) as u64);
                let left = (stall_timeout + expected).saturating_sub(began.elapsed());
                let part = late::timeout(stall_timeout.min(left), part).await;
                part.ok_or_else(|| received.timeout())?
            }
            None => part.await,
        };
        let Some(part) = part else { break };
        let part = part.map_err(|error| Error::Lost(error.to_string()))?;
        if body.len() + part.len() > max_bytes {
            return Err(Error::Lost(format!("body of more than {max_bytes} bytes")));
        }
        body.extend_from_slice(&part);
        received.body_bytes.set(Some(body.len()));
    }
    Ok(Response {
        status,
        headers,
        body,
    })
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
