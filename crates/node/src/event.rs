//! Numbered log events.
//!
//! Each crate defines its events as constants in its module `events`; those of this crate are
//! below. `docs/events.md` describes every event.
//!
//! ```
//! use log::Level;
//! use rosemaryworks_node::event::Event;
//!
//! const SHARD_ACTIVATED: Event = Event::new(401, Level::Info, "shard activated");
//! SHARD_ACTIVATED.log(format_args!("shard=pool/cpu/0 epoch=17"));
//! ```

use std::fmt;

use log::Level;

/// Kind of log event. Numbers are never reused; the first digit is the component: 1xx node, 2xx
/// links, 3xx platform, 4xx scheduler, 5xx gateway, 6xx administration API, 7xx stand-in,
/// 8xx entry process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Event {
    /// Number, unique among all events.
    pub number: u16,
    /// Level at which the event is logged.
    pub level: Level,
    /// Short fixed text.
    pub text: &'static str,
}

impl Event {
    /// Defines an event.
    #[must_use]
    pub const fn new(number: u16, level: Level, text: &'static str) -> Self {
        Self {
            number,
            level,
            text,
        }
    }

    /// Logs the event with details as `key=value` pairs.
    pub fn log(&self, details: fmt::Arguments<'_>) {
        log::log!(target: "rosemaryworks", self.level, "E{:03} {}: {details}", self.number, self.text);
    }
}

/// The process started.
pub const STARTED: Event = Event::new(101, Level::Info, "started");
/// The process began its shutdown.
pub const STOPPING: Event = Event::new(102, Level::Info, "stopping");
/// The process finished its shutdown.
pub const STOPPED: Event = Event::new(103, Level::Info, "stopped");
/// The graceful shutdown exceeded its limit, and the process exits without completing it.
pub const STOP_EXCEEDED: Event =
    Event::new(104, Level::Error, "graceful shutdown exceeded its limit");
