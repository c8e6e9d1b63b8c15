//! HTTP API for callers.

mod body;
mod headers;
mod jobs;
mod reply;
mod services;

use ntex::http::ConnectionType;
use ntex::web::{self, HttpResponse, ServiceConfig};

use crate::gateway::Gateway;

/// Registers the routes. The application state must contain a [`Gateway`](crate::Gateway).
pub fn routes(config: &mut ServiceConfig) {
    config.service((
        web::resource("/v1/services/{service}").route(web::post().to(services::handle)),
        web::resource("/v1/jobs").route(web::post().to(jobs::submit)),
        web::resource("/v1/jobs/{id}").route(web::get().to(jobs::status)),
        web::resource("/v1/jobs/{id}/cancel").route(web::post().to(jobs::cancel)),
        web::resource("/v1/jobs/{id}/wait").route(web::get().to(jobs::wait)),
    ));
}

/// Closes the connection after the response if the gateway is draining.
fn close_if_draining(gateway: &Gateway, mut response: HttpResponse) -> HttpResponse {
    if gateway.is_draining() {
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    response
}
