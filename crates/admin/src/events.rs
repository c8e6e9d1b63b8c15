//! Numbered log events of the administration API.

use log::Level;
use rosemaryworks_node::event::Event;

/// The contracts stream was read to its end for the first time since the start. Not logged if the
/// contracts were restored from a peer before.
pub(crate) const CAUGHT_UP: Event = Event::new(601, Level::Info, "contracts caught up");
/// Reading the contracts stream failed. Logged once per outage.
pub(crate) const READ_FAILED: Event = Event::new(602, Level::Warn, "contracts can't be read");
/// Records of the contracts stream expired before they were read.
pub(crate) const RECORDS_EXPIRED: Event = Event::new(603, Level::Warn, "contract records expired");
/// A record of the contracts stream can't be parsed.
pub(crate) const RECORD_UNREADABLE: Event =
    Event::new(604, Level::Error, "contract record unreadable");
/// A revision of a contract took effect in this process.
pub(crate) const IN_FORCE: Event = Event::new(605, Level::Info, "contract in force");
/// A change was rejected before it was appended to the contracts stream.
pub(crate) const REFUSED: Event = Event::new(606, Level::Warn, "change rejected");
/// A refusal could not be appended to the audit stream.
pub(crate) const AUDIT_LOST: Event = Event::new(607, Level::Error, "refusal not recorded");
