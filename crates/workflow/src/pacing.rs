//! Throttling of best-effort tasks: they slow down when the latency of service tasks on the same
//! worker rises.

use crate::action::{Action, Pace};
use crate::host::Phase;
use crate::shard::Shard;
use crate::task::Key;

/// Share of the latency target, in percent, above which best-effort tasks are slowed down. Below
/// 100 because the latency may rise between two reports.
const YIELD_PERCENT: f64 = 80.0;

/// Share of the latency target, in percent, below which best-effort tasks may speed up.
const RESUME_PERCENT: f64 = 55.0;

/// Divisor applied to the speed of best-effort tasks that are slowed down.
const YIELD_DIVISOR: u32 = 3;

/// Speed below which best-effort tasks are paused, in percent of full speed.
const MIN_PACE_PERCENT: u32 = 10;

/// Increase of the speed with each report below [`RESUME_PERCENT`], in percent of full speed.
const PACE_STEP_PERCENT: u32 = 10;

impl Shard {
    /// Adjusts the speed of the best-effort tasks on a worker to the latency of its service tasks.
    pub(crate) fn adjust_pace(&mut self, id: &str) {
        let Some(host) = self.hosts.get(id) else {
            return;
        };
        let mut highest_percent: f64 = 0.0;
        let mut best_effort: Vec<Key> = Vec::new();
        for (key, run) in &host.runs {
            let Some(step) = self.step_spec(key.step) else {
                continue;
            };
            if step.best_effort {
                if run.phase == Phase::Running {
                    best_effort.push(*key);
                }
            } else if step.service && step.latency_target_ms > 0 && Self::is_serving(run) {
                highest_percent =
                    highest_percent.max(run.metric * 100.0 / step.latency_target_ms as f64);
            }
        }
        for key in best_effort {
            self.pace_run(id, key, highest_percent);
        }
    }

    /// Makes a command to pace an attempt due again that the worker didn't accept.
    pub fn pace_failed(&mut self, worker: &str, key: Key, attempt: u32) {
        let host = self.hosts.get_mut(worker);
        let run = host.and_then(|host| host.runs.get_mut(&key));
        if let Some(run) = run.filter(|run| run.attempt == attempt) {
            run.is_pace_known = false;
        }
    }

    fn pace_run(&mut self, id: &str, key: Key, highest_percent: f64) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        let Some(run) = host.runs.get_mut(&key) else {
            return;
        };
        let percent = if highest_percent >= YIELD_PERCENT {
            match run.pace_percent / YIELD_DIVISOR {
                low if low < MIN_PACE_PERCENT => 0,
                lower => lower,
            }
        } else if highest_percent <= RESUME_PERCENT {
            (run.pace_percent + PACE_STEP_PERCENT).min(100)
        } else {
            return;
        };
        if percent == run.pace_percent && run.is_pace_known {
            return;
        }
        run.pace_percent = percent;
        run.is_pace_known = true;
        let attempt = run.attempt;
        let run = host.stop_request(key, attempt);
        self.actions.push(Action::Pace(Pace { run, percent }));
    }
}
