//! JSON request and response bodies.

use std::time::Duration;

use ntex::http::StatusCode;
use ntex::web::HttpResponse;
use ntex::web::types::Payload;
use rosemaryworks_core::contract::Fault;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest accepted request body in bytes.
pub(crate) const BODY_MAX_BYTES: usize = 1024 * 1024;

/// Largest part of a rejected body that is read and dropped, in bytes.
const DISCARD_MAX_BYTES: usize = 16 * 1024 * 1024;

/// Time limit for reading a rejected body.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Error response of a route.
#[derive(Debug, Serialize)]
pub(crate) struct Error {
    /// Description in one line.
    pub(crate) error: String,
    /// Validation faults with their field paths.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) faults: Vec<Fault>,
    /// Revision in force, if the request expected another one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) current: Option<u64>,
    /// HTTP status code.
    #[serde(skip)]
    pub(crate) status: u16,
}

impl Error {
    pub(crate) fn new(status: u16, error: impl Into<String>) -> Self {
        Self {
            error: error.into(),
            faults: Vec::new(),
            current: None,
            status,
        }
    }

    pub(crate) fn faults(mut self, faults: Vec<Fault>) -> Self {
        self.faults = faults;
        self
    }

    pub(crate) fn current(mut self, revision: u64) -> Self {
        self.current = Some(revision);
        self
    }

    /// Returns the description and all faults in one line.
    pub(crate) fn summary(&self) -> String {
        let faults = self.faults.iter().map(Fault::to_string);
        let parts: Vec<String> = std::iter::once(self.error.clone()).chain(faults).collect();
        parts.join("; ")
    }
}

/// Result of a route handler.
pub(crate) type Answer<T> = Result<T, Error>;

pub(crate) fn respond<T: Serialize>(answer: Answer<T>) -> HttpResponse {
    match answer {
        Ok(content) => json(200, &content),
        Err(error) => json(error.status, &error),
    }
}

fn json<T: Serialize>(status: u16, content: &T) -> HttpResponse {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    match serde_json::to_vec(content) {
        Ok(body) => HttpResponse::build(status)
            .content_type("application/json")
            .body(body),
        Err(error) => HttpResponse::InternalServerError().body(format!("{error}\n")),
    }
}

/// Reads a whole request body, up to [`BODY_MAX_BYTES`].
pub(crate) async fn read(payload: &mut Payload) -> Answer<Vec<u8>> {
    let mut body = Vec::new();
    while let Some(chunk) = payload.recv().await {
        let chunk = chunk.map_err(|error| Error::new(400, format!("unreadable body: {error}")))?;
        if body.len() + chunk.len() > BODY_MAX_BYTES {
            discard_body(payload).await;
            let limit = format!("the body exceeds the limit of {BODY_MAX_BYTES} bytes");
            return Err(Error::new(413, limit));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}

/// Reads and drops the rest of a rejected body, limited in bytes and time. Closing a connection
/// while the caller still sends resets it, and the caller loses the response.
pub async fn discard_body(payload: &mut Payload) {
    let discard = async {
        let mut bytes = 0;
        while let Some(Ok(chunk)) = payload.recv().await {
            bytes += chunk.len();
            if bytes > DISCARD_MAX_BYTES {
                return;
            }
        }
    };
    // A caller that takes longer to send the body may lose the response.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, discard).await;
}

/// Parses a JSON body. An error names the path of the faulty field.
pub(crate) fn parse<T: DeserializeOwned>(body: &[u8]) -> Answer<T> {
    let mut deserializer = serde_json::Deserializer::from_slice(body);
    serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
        let fault = Fault {
            path: error.path().to_string(),
            message: error.into_inner().to_string(),
        };
        Error::new(400, "the body is not valid").faults(vec![fault])
    })
}
