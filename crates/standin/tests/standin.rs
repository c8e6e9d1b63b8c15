//! Platform simulator behind its HTTP ports, called through the adapters of the processes.

#[path = "standin/common.rs"]
mod common;
#[path = "standin/instances.rs"]
mod instances;
#[path = "standin/log.rs"]
mod log;
#[path = "standin/workers.rs"]
mod workers;
