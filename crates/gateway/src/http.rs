//! Routes for callers.

mod body;
mod headers;
mod jobs;
mod reply;
mod requests;

use ntex::web::{self, ServiceConfig};

/// Adds the routes. The application's state must hold a [`Gateway`](crate::Gateway).
pub fn routes(config: &mut ServiceConfig) {
    config.service((
        web::resource("/v1/services/{service}").route(web::post().to(requests::take)),
        web::resource("/v1/jobs").route(web::post().to(jobs::submit)),
        web::resource("/v1/jobs/{id}").route(web::get().to(jobs::status)),
        web::resource("/v1/jobs/{id}/cancel").route(web::post().to(jobs::cancel)),
        web::resource("/v1/jobs/{id}/wait").route(web::get().to(jobs::wait)),
    ));
}
