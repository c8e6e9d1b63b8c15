//! How the parts of a soak talk to each other.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use rosemaryworks_node::http::{Request, Response};
use rosemaryworks_workflow::{Id, Queue, Spec, State, Worker};

use crate::log::Log;
use crate::process::Addresses;
use crate::server::Handler;
use crate::worker::Incarnation;

/// What became of a call that hands in or cancels a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Acknowledgement {
    /// It was accepted.
    Accepted,
    /// It was refused: it was not stored and never will be.
    Refused,
    /// It may have been stored.
    Unknown,
    /// The answer has a status that no such call has.
    Unexpected,
}

/// What a caller was told of a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobStatus {
    /// Its state.
    State(State),
    /// No such job was accepted.
    NoSuchJob,
    /// Nothing for now.
    Unavailable,
}

/// Formats and calls of the platform.
pub trait Protocol: Send + Sync + 'static {
    /// Returns the program under test.
    fn program(&self) -> PathBuf;

    /// Returns the text of a process's settings.
    fn settings(&self, addresses: &Addresses) -> String;

    /// Serves a log.
    fn log(&self, log: Arc<Log>) -> Arc<dyn Handler>;

    /// Serves a life of a worker.
    fn worker(&self, life: Arc<Incarnation>) -> Arc<dyn Handler>;

    /// Serves the advice service, for which every worker is good.
    fn advisor(&self) -> Arc<dyn Handler>;

    /// Publishes a revision of the configuration with one queue.
    fn publish_configuration(&self, log: &Log, version: u64, queue: &Queue);

    /// Lists a worker.
    fn publish_worker(&self, log: &Log, worker: &Worker);

    /// Returns the request that hands in a job.
    fn submission(&self, to: SocketAddr, id: Id, spec: &Spec) -> Request;

    /// Returns the request that cancels a job.
    fn cancellation(&self, to: SocketAddr, id: Id) -> Request;

    /// Returns the request for the state of a job.
    fn status_request(&self, to: SocketAddr, id: Id) -> Request;

    /// Reads the answer to a submission or cancellation.
    fn acknowledgement(&self, response: &Response) -> Acknowledgement;

    /// Reads the answer to a question.
    fn job_status(&self, response: &Response) -> JobStatus;
}
