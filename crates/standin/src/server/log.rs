//! HTTP ports of the log and of the list of VMs.

use std::time::Duration;

use ntex::http::{Request, Response};
use rosemaryworks_node::clock;
use rosemaryworks_platform::http::{Appended, Find, Found, Read};
use rosemaryworks_platform::log::Append;

use super::response;
use crate::log::{Log, Outcome};
use crate::platform::Platform;

pub(super) fn list(platform: &Platform) -> Response {
    response::json(&platform.directory.list(clock::now()))
}

pub(super) async fn respond(log: &Log, request: &Request, body: &[u8]) -> Response {
    let delay = Duration::from_millis(log.behaviour(|log| log.delay_ms)) / 2;
    tokio::time::sleep(delay).await;
    if log.behaviour(|log| log.down) {
        return response::disconnect(request);
    }
    let response = dispatch(log, request, body).await;
    tokio::time::sleep(delay).await;
    match log.behaviour(|log| log.down) {
        true => response::disconnect(request),
        false => response,
    }
}

async fn dispatch(log: &Log, request: &Request, body: &[u8]) -> Response {
    let response = match request.path() {
        "/v1/log/append" => append(log, request, body).await,
        "/v1/log/find" => response::parse::<Find>(body).map(|find| {
            response::json(&Found {
                offset: log.find(&find),
            })
        }),
        "/v1/log/read" => match response::parse::<Read>(body) {
            Ok(read) => Ok(response::result(log.read(&read).await)),
            Err(response) => Err(response),
        },
        _ => Err(Response::NotFound().finish()),
    };
    response.unwrap_or_else(|response| response)
}

async fn append(log: &Log, request: &Request, body: &[u8]) -> Result<Response, Response> {
    let append = response::parse::<Append>(body)?;
    Ok(match log.append(append).await {
        Outcome::Answered(result) => response::result(result.map(|offset| Appended { offset })),
        Outcome::Lost => response::disconnect(request),
    })
}
