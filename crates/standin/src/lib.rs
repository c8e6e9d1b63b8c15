//! Stand-in for the platform in tests and measurements: log, list of VMs, workers and service
//! instances behind HTTP ports, with fault injection over a control port.
//!
//! ```no_run
//! use std::path::Path;
//! use std::sync::Arc;
//!
//! use rosemaryworks_history::file::Writer;
//! use rosemaryworks_node::settings;
//! use rosemaryworks_standin::{Platform, Settings, server};
//!
//! let settings: Settings = settings::load(Path::new("standin.json")).unwrap();
//! let platform = Arc::new(Platform::new(&settings, Arc::new(Writer::default())));
//! let server = server::start(&settings, &platform);
//! ```

pub mod directory;
pub mod events;
pub mod fault;
pub mod instance;
pub mod log;
pub mod platform;
pub mod port;
pub mod server;
pub mod settings;
pub mod worker;

pub use fault::Fault;
pub use platform::Platform;
pub use settings::Settings;
