//! Log line and metrics about teams that are held back.

use std::sync::Arc;

use rosemaryworks_workflow::HeldTeams;

use crate::events;
use crate::metrics::Metrics;

/// Upper bound of the teams that a log line names.
const NAMED_MAX: usize = 5;

/// Reports the teams of a shard that are held back, if there are any.
pub(crate) fn report(shard: u32, epoch: u64, held: &HeldTeams, metrics: &Metrics) {
    let count = |teams: &[Arc<str>]| i64::try_from(teams.len()).unwrap_or(i64::MAX);
    metrics.teams_capped.set(count(&held.capped));
    metrics.teams_over_share.set(count(&held.over_share));
    metrics.steps_capped.set(i64::from(held.steps));
    if held.capped.is_empty() && held.over_share.is_empty() {
        return;
    }
    events::TEAMS_HELD.log(format_args!(
        "shard={shard} epoch={epoch} capped={} steps={} over_share={} capped_teams={:?} over_teams={:?}",
        held.capped.len(),
        held.steps,
        held.over_share.len(),
        first(&held.capped),
        first(&held.over_share)
    ));
}

fn first(teams: &[Arc<str>]) -> &[Arc<str>] {
    &teams[..teams.len().min(NAMED_MAX)]
}
