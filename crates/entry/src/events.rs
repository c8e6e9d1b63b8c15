//! Log events of the entry process.

use log::Level;
use rosemaryworks_node::event::Event;

/// The process can't start.
pub const START_FAILED: Event = Event::new(801, Level::Error, "start failed");
/// A configuration came into force.
pub const CONFIGURED: Event = Event::new(802, Level::Info, "configuration in force");
/// The platform's log stopped answering.
pub const LOG_UNREACHABLE: Event = Event::new(803, Level::Warn, "log unreachable");
/// The platform's log answers again.
pub const LOG_REACHABLE: Event = Event::new(804, Level::Info, "log reachable again");
/// A claim of a shard was written.
pub const CLAIMED: Event = Event::new(805, Level::Info, "shard claimed");
/// A takeover is complete; this process acts as the owner of the shard.
pub const ACTIVATED: Event = Event::new(806, Level::Info, "shard activated");
/// This process stopped acting as the owner of a shard.
pub const STEPPED_DOWN: Event = Event::new(807, Level::Warn, "shard ownership ended");
/// A takeover failed.
pub const TAKEOVER_FAILED: Event = Event::new(808, Level::Warn, "takeover failed");
/// The submission of a job has an outcome.
pub const SUBMITTED: Event = Event::new(810, Level::Info, "job submitted");
/// The cancellation of a job has an outcome.
pub const CANCELLED: Event = Event::new(811, Level::Info, "job cancelled");
/// The state of a job was returned to a caller.
pub const INQUIRED: Event = Event::new(812, Level::Debug, "job state returned");
/// The start of an attempt was sent to a worker.
pub const STARTED: Event = Event::new(820, Level::Info, "attempt start sent");
/// The stop of an attempt was sent to a worker.
pub const STOPPED: Event = Event::new(821, Level::Info, "attempt stop sent");
/// A new speed of an attempt was sent to a worker.
pub const PACED: Event = Event::new(822, Level::Info, "attempt speed sent");
/// Ends of attempts and final states of jobs became durable.
pub const RECORDED: Event = Event::new(823, Level::Info, "progress recorded");
/// What has changed since the last snapshot of a shard is written.
pub const SNAPSHOT: Event = Event::new(844, Level::Info, "snapshot written");
/// A shard was listed as one that may know the jobs of an address.
pub const HOME_LISTED: Event = Event::new(870, Level::Info, "home of an address listed");
/// A shard that knows no job of an address any more was removed from the list.
pub const HOME_UNLISTED: Event = Event::new(871, Level::Info, "home of an address removed");
/// The jobs of an address belong to another shard from now on.
pub const MOVED: Event = Event::new(872, Level::Info, "address moved");
/// A job that was stored in the former shard of its address was passed on.
pub const FORWARDED: Event = Event::new(873, Level::Info, "job forwarded");
/// A job reached its final state.
pub const ENDED: Event = Event::new(825, Level::Info, "job ended");
/// Usage of a pool.
pub const USAGE: Event = Event::new(826, Level::Info, "pool usage");
/// An advice request has an outcome.
pub const ADVISED: Event = Event::new(824, Level::Info, "advice request ended");
/// A worker doesn't answer.
pub const WORKER_UNREACHABLE: Event = Event::new(830, Level::Warn, "worker unreachable");
/// A worker answers again.
pub const WORKER_REACHABLE: Event = Event::new(831, Level::Info, "worker reachable");
/// An attempt counts as ended without a report of its end, so its task may start again.
pub const ATTEMPT_LOST: Event = Event::new(835, Level::Warn, "attempt lost");
/// An owner stood still.
pub const STALLED: Event = Event::new(836, Level::Warn, "owner was stalled");
/// A task of an owner panicked.
pub const PANICKED: Event = Event::new(837, Level::Error, "task of an owner panicked");
/// Other VMs send the commands of an owner to its workers.
pub const RELAYS_ASSIGNED: Event = Event::new(838, Level::Info, "relays assigned");
/// A relay gave no answer and gets no commands for a while.
pub const RELAY_PAUSED: Event = Event::new(839, Level::Warn, "relay paused");
/// Commands or their outcomes were dropped because this process was stalled before it sent them.
pub const COMMANDS_DROPPED: Event = Event::new(840, Level::Warn, "commands dropped after a stall");
/// An owner commands no worker, because another process may have claimed its shard.
pub const SUSPENDED: Event = Event::new(841, Level::Warn, "owner suspended");
/// An owner that was suspended commands workers again.
pub const RESUMED: Event = Event::new(842, Level::Info, "owner resumed");
/// Processes that may have claimed a shard don't answer while the log is unreachable.
pub const PEERS_SILENT: Event = Event::new(843, Level::Warn, "peers don't answer");
/// A worker started again under its id.
pub const WORKER_RESTARTED: Event = Event::new(845, Level::Warn, "worker started again");
/// A takeover waits no longer for a worker that didn't report.
pub const WORKER_UNREPORTED: Event = Event::new(846, Level::Warn, "worker didn't report");
/// Teams are held back by their caps or placed last because of their shares.
pub const TEAMS_HELD: Event = Event::new(860, Level::Info, "teams held back");
/// An owner gave parts of teams' caps to the owner of another shard.
pub const ROOM_GIVEN: Event = Event::new(861, Level::Info, "room given");
/// The owner of a shard refused a job that can't start in time to be of use.
pub const REFUSED: Event = Event::new(880, Level::Info, "job refused");
/// Clients were refused or disconnected to keep the process within its limits.
pub const CLIENT_REFUSED: Event = Event::new(890, Level::Warn, "client refused");
/// The configuration changed the limits for requests.
pub const TERMS_CHANGED: Event = Event::new(891, Level::Info, "limits for requests changed");
/// A read of the log brought a configuration or was slow.
pub const LOG_READ: Event = Event::new(853, Level::Info, "log read");
/// A read of the log failed after a long time.
pub const LOG_READ_FAILED: Event = Event::new(854, Level::Warn, "log read failed");
/// A record of a stream is malformed.
pub const RECORD_SKIPPED: Event = Event::new(832, Level::Warn, "record skipped");
/// The process received the signal to reload.
pub const RELOADED: Event = Event::new(833, Level::Info, "reload requested");
/// An append of jobs was rejected for good.
pub const SUBMIT_FAILED: Event = Event::new(809, Level::Warn, "append of jobs failed");
/// A record can't be encoded.
pub const RECORD_FAULTY: Event = Event::new(834, Level::Error, "record can't be encoded");
/// Reads of the log fail, so this process asks others for configurations.
pub const REVISIONS_SOUGHT: Event = Event::new(850, Level::Info, "configurations asked of peers");
/// A configuration of another process comes into force.
pub const REVISION_TAKEN: Event = Event::new(851, Level::Info, "configuration from a peer");
/// A configuration of another process can't be decoded.
pub const REVISION_MALFORMED: Event =
    Event::new(852, Level::Warn, "malformed configuration of a peer");
