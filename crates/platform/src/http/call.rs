//! JSON calls over HTTP with classified failures.

use std::time::Duration;

use error_stack::Report;
use rosemaryworks_node::http::{Client, Error, Request, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::refusal::Refusal;
use crate::failure::{Answer, Failure, Fault};

/// Timeout of a call, in addition to the time that the peer is asked to wait.
pub(super) const TIMEOUT: Duration = Duration::from_secs(2);

/// Sends `body` to `url` and parses the JSON response. `operation` and `peer` identify the call in
/// failures.
pub(super) fn post<B: Serialize, T: DeserializeOwned + Send + 'static>(
    client: &Client,
    operation: &str,
    peer: &str,
    url: String,
    body: &B,
    timeout: Duration,
) -> Answer<T> {
    let request = Request::new("POST", url, timeout)
        .header("content-type", "application/json")
        .body(serde_json::to_vec(body).expect("call bodies serialize to JSON"));
    send(client, operation, peer, request)
}

/// Sends a request and parses the JSON response.
pub(super) fn send<T: DeserializeOwned + Send + 'static>(
    client: &Client,
    operation: &str,
    peer: &str,
    request: Request,
) -> Answer<T> {
    let (client, operation, peer) = (client.clone(), operation.to_owned(), peer.to_owned());
    Box::pin(async move {
        let result = client.send(request).await;
        let result = result
            .map_err(classify)
            .and_then(|response| parse(&response));
        result.map_err(|fault| Report::new(Failure::new(&operation, &peer, fault)))
    })
}

/// Classifies an error of the HTTP client by whether the call may have taken effect.
pub(super) fn classify(error: Error) -> Fault {
    match error {
        Error::Connect(_) | Error::Invalid(_) | Error::Refused => {
            Fault::Unreached(error.to_string())
        }
        Error::Lost(_) | Error::Timeout | Error::Incomplete { .. } => {
            Fault::Uncertain(error.to_string())
        }
    }
}

fn parse<T: DeserializeOwned>(response: &Response) -> Result<T, Fault> {
    let status = response.status;
    if status == 200 {
        let answer = serde_json::from_slice(&response.body);
        return answer.map_err(|error| Fault::Uncertain(format!("malformed answer: {error}")));
    }
    match serde_json::from_slice::<Refusal>(&response.body) {
        Ok(refusal) if refusal.status() == status => Err(refusal.into()),
        _ => Err(Fault::Uncertain(format!("status {status}"))),
    }
}
