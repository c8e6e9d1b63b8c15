//! The stand-in behind its HTTP ports, through the adapters that the processes use.

#[path = "standin/common.rs"]
mod common;
#[path = "standin/instances.rs"]
mod instances;
#[path = "standin/log.rs"]
mod log;
#[path = "standin/workers.rs"]
mod workers;
