//! Ports of the log and of the list of VMs.

use std::time::Duration;

use ntex::http::{Request, Response};
use rosemaryworks_node::clock;
use rosemaryworks_platform::http::{Appended, Find, Found, Read};
use rosemaryworks_platform::log::Append;

use super::answer;
use crate::log::{Log, Outcome};
use crate::platform::Platform;

pub(super) fn list(platform: &Platform) -> Response {
    answer::json(&platform.directory.list(clock::now()))
}

pub(super) async fn respond(log: &Log, request: &Request, body: &[u8]) -> Response {
    let delay = Duration::from_millis(log.behaviour(|log| log.delay_ms)) / 2;
    tokio::time::sleep(delay).await;
    if log.behaviour(|log| log.down) {
        return answer::cut(request);
    }
    let response = answer(log, request, body).await;
    tokio::time::sleep(delay).await;
    match log.behaviour(|log| log.down) {
        true => answer::cut(request),
        false => response,
    }
}

async fn answer(log: &Log, request: &Request, body: &[u8]) -> Response {
    let response = match request.path() {
        "/v1/log/append" => append(log, request, body).await,
        "/v1/log/find" => answer::parse::<Find>(body).map(|find| {
            answer::json(&Found {
                offset: log.find(&find),
            })
        }),
        "/v1/log/read" => match answer::parse::<Read>(body) {
            Ok(read) => Ok(answer::result(log.read(&read).await)),
            Err(response) => Err(response),
        },
        _ => Err(Response::NotFound().finish()),
    };
    response.unwrap_or_else(|response| response)
}

async fn append(log: &Log, request: &Request, body: &[u8]) -> Result<Response, Response> {
    let append = answer::parse::<Append>(body)?;
    Ok(match log.append(append).await {
        Outcome::Answered(result) => answer::result(result.map(|offset| Appended { offset })),
        Outcome::Lost => answer::cut(request),
    })
}
