//! HTTP calls to the administration API and the exit codes for their failures.

use std::fmt;
use std::time::Duration;

use rosemaryworks_node::http::{Client, Error, Request as Call, Response};
use serde_json::Value;

use crate::arguments::{Arguments, USAGE};

/// Response timeout. Exceeds the time for which the API waits for the log.
const TIMEOUT: Duration = Duration::from_secs(15);

/// Exit code for a rejected request.
const REJECTED: u8 = 1;

/// Exit code for a conflict with another change.
const CONFLICT: u8 = 3;

/// Exit code if the server is unreachable or the outcome of the change is unknown.
const UNREACHABLE: u8 = 4;

/// A request to the administration API.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) method: &'static str,
    pub(crate) path: String,
    pub(crate) body: Option<Value>,
}

impl Request {
    pub(crate) fn get(path: impl Into<String>) -> Self {
        Self {
            method: "GET",
            path: path.into(),
            body: None,
        }
    }
}

/// Why a command failed.
#[derive(Debug)]
pub(crate) struct Failure {
    code: u8,
    text: String,
}

impl Failure {
    /// Creates a failure for an invalid command line.
    pub(crate) fn usage(text: impl Into<String>) -> Self {
        Self {
            code: USAGE,
            text: text.into(),
        }
    }

    fn new(code: u8, text: impl Into<String>) -> Self {
        Self {
            code,
            text: text.into(),
        }
    }

    pub(crate) fn exit_code(&self) -> u8 {
        self.code
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

/// Address of the server and the operator key.
#[derive(Debug)]
pub(crate) struct Server {
    address: String,
    key: String,
}

impl Server {
    /// Takes each value from its option or, without the option, from the environment.
    pub(crate) fn new(arguments: &Arguments) -> Result<Self, Failure> {
        let option = |given: &Option<String>, variable: &str| {
            let value = given.clone().or_else(|| std::env::var(variable).ok());
            value.filter(|value| !value.is_empty())
        };
        let address = option(&arguments.server, "ROSEMARY_SERVER")
            .ok_or_else(|| Failure::usage("--server or ROSEMARY_SERVER is missing"))?;
        let key = option(&arguments.key, "ROSEMARY_KEY")
            .ok_or_else(|| Failure::usage("--key or ROSEMARY_KEY is missing"))?;
        let address = address.trim_start_matches("http://").trim_end_matches('/');
        Ok(Self {
            address: address.to_owned(),
            key,
        })
    }

    /// Sends a request and returns the JSON response.
    pub(crate) fn call(&self, request: &Request) -> Result<Value, Failure> {
        let url = format!("http://{}{}", self.address, request.path);
        let mut call = Call::new(request.method, url, TIMEOUT)
            .header("authorization", &format!("Bearer {}", self.key));
        if let Some(body) = &request.body {
            call = call
                .header("content-type", "application/json")
                .body(body.to_string());
        }
        let id = request.body.as_ref().and_then(|body| body["id"].as_str());
        let response = send(call).map_err(|error| self.send_failure(&error, id))?;
        parse(&response, id)
    }

    /// Returns the failure for a request without a response.
    fn send_failure(&self, error: &Error, id: Option<&str>) -> Failure {
        let text = format!("{}: {error}", self.address);
        match (error, id) {
            (Error::Lost(_) | Error::Timeout | Error::Incomplete { .. }, Some(id)) => {
                Failure::new(UNREACHABLE, format!("{text}; {}", retry_hint(id)))
            }
            _ => Failure::new(UNREACHABLE, text),
        }
    }
}

/// Returns how to repeat a change whose outcome is unknown.
fn retry_hint(id: &str) -> String {
    format!("the change may have been made, repeat it with --id {id}")
}

fn send(call: Call) -> Result<Response, Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| Error::Connect(error.to_string()))?;
    runtime.block_on(Client::start(1).send(call))
}

/// Returns the body of a successful response, or the failure that the response describes.
fn parse(response: &Response, id: Option<&str>) -> Result<Value, Failure> {
    let body: Value = serde_json::from_slice(&response.body).unwrap_or_default();
    if response.status == 200 {
        return Ok(body);
    }
    let text = error_text(response.status, &body);
    Err(match (response.status, id) {
        (409, _) => Failure::new(CONFLICT, text),
        (504, Some(id)) => Failure::new(UNREACHABLE, format!("{text}; {}", retry_hint(id))),
        (503 | 504, _) => Failure::new(UNREACHABLE, text),
        _ => Failure::new(REJECTED, text),
    })
}

fn error_text(status: u16, body: &Value) -> String {
    let Some(error) = body["error"].as_str() else {
        return format!("the server answered with status {status}");
    };
    let mut lines = vec![error.to_owned()];
    for fault in body["faults"].as_array().into_iter().flatten() {
        let field = |name: &str| fault[name].as_str().unwrap_or_default().to_owned();
        lines.push(format!("{}: {}", field("path"), field("message")));
    }
    lines.join("\n")
}
