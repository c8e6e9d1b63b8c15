//! JSON bodies of requests and answers.

use std::time::Duration;

use ntex::http::StatusCode;
use ntex::web::HttpResponse;
use ntex::web::types::Payload;
use rosemaryworks_core::contract::Fault;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest body of a request in bytes.
pub(crate) const BODY_MAX_BYTES: usize = 1024 * 1024;

/// Most bytes of a refused body that are read.
const DISCARD_MAX_BYTES: usize = 16 * 1024 * 1024;

/// Longest time for which a refused body is read.
const DISCARD_MAX: Duration = Duration::from_secs(2);

/// Why a change is not made.
#[derive(Debug, Serialize)]
pub(crate) struct Error {
    /// What went wrong, in one line.
    pub(crate) error: String,
    /// Faults with their field paths.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) faults: Vec<Fault>,
    /// Revision in force, if another one was expected.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) current: Option<u64>,
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

    pub(crate) fn line(&self) -> String {
        let faults = self.faults.iter().map(Fault::to_string);
        let lines: Vec<String> = std::iter::once(self.error.clone()).chain(faults).collect();
        lines.join("; ")
    }
}

/// Answer of a route.
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

/// Reads a whole body.
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

/// Reads and drops the rest of a body that is refused, within bounds. A connection that is closed
/// while its caller still sends is reset, and the answer is lost with it.
pub async fn discard_body(payload: &mut Payload) {
    let drop = async {
        let mut bytes = 0;
        while let Some(Ok(chunk)) = payload.recv().await {
            bytes += chunk.len();
            if bytes > DISCARD_MAX_BYTES {
                return;
            }
        }
    };
    // A slower caller loses the answer.
    let _ = tokio::time::timeout(DISCARD_MAX, drop).await;
}

/// Parses a body and names the field of a fault.
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
