//! Adapters to the platform over HTTP with JSON bodies, one for each trait.
//!
//! | trait | calls |
//! |---|---|
//! | `Log` | `POST /v1/log/append`, `/v1/log/find`, `/v1/log/read` |
//! | `Directory` | `GET /v1/vms` |
//! | `Workers` | `POST /v1/control`, `/v1/place`, `/v1/sync` at each worker |
//! | `Instances` | `POST /` and `GET /occupancy` at each instance |
//!
//! If the log, the directory or a worker rejects a call, its response has a [`Refusal`] as body and
//! the status [`Refusal::status`]. After any other status of 400 or above, the call may have taken
//! effect.

mod call;
mod directory;
mod instances;
mod log;
mod refusal;
mod workers;

pub use directory::Directory;
pub use instances::{Instances, NOT_RUN_HEADER, Occupancy};
pub use log::{Appended, Find, Found, Log, Read};
pub use refusal::Refusal;
pub use workers::Workers;
