//! Numbered log events of the stand-in.

use log::Level;
use rosemaryworks_node::event::Event;

/// The stand-in accepts connections on every port.
pub const SERVING: Event = Event::new(701, Level::Info, "stand-in serves");
/// A failure was injected or ended over the control port.
pub const FAULT: Event = Event::new(702, Level::Info, "fault");
/// A call over the control port was refused.
pub const FAULT_REFUSED: Event = Event::new(703, Level::Warn, "fault refused");
