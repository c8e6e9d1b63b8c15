//! Tasks that fill beside tasks that serve: the filling ones yield when response times rise.

use crate::action::{Action, Pace};
use crate::host::Phase;
use crate::shard::Shard;
use crate::task::Key;

/// Share of the target in percent above which filling tasks yield. Leaves room for a rise between
/// two reports.
const YIELD_PERCENT: f64 = 80.0;

/// Share of the target in percent below which filling tasks may work more.
const RESUME_PERCENT: f64 = 55.0;

/// Divisor of the speed of filling tasks that yield.
const YIELD_DIVISOR: u32 = 3;

/// Speed below which filling tasks rest altogether, in percent.
const LEAST_PERCENT: u32 = 10;

/// Rise of the speed with each good report, in percent.
const RISE_PERCENT: u32 = 10;

impl Shard {
    /// Adjusts the filling tasks of a worker to the response times of its service tasks.
    pub(crate) fn pace(&mut self, id: &str) {
        let Some(host) = self.hosts.get(id) else {
            return;
        };
        let mut worst: f64 = 0.0;
        let mut filling: Vec<Key> = Vec::new();
        for (key, run) in &host.runs {
            let Some(step) = self.step_spec(key.step) else {
                continue;
            };
            if step.best_effort {
                if run.phase == Phase::Running {
                    filling.push(*key);
                }
            } else if step.service && step.latency_target_ms > 0 && Self::at_work(run) {
                worst = worst.max(run.figure * 100.0 / step.latency_target_ms as f64);
            }
        }
        for key in filling {
            self.pace_run(id, key, worst);
        }
    }

    fn pace_run(&mut self, id: &str, key: Key, worst: f64) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        let Some(run) = host.runs.get_mut(&key) else {
            return;
        };
        let percent = if worst >= YIELD_PERCENT {
            match run.pace / YIELD_DIVISOR {
                low if low < LEAST_PERCENT => 0,
                lower => lower,
            }
        } else if worst <= RESUME_PERCENT {
            (run.pace + RISE_PERCENT).min(100)
        } else {
            run.pace
        };
        if percent == run.pace {
            return;
        }
        run.pace = percent;
        let attempt = run.attempt;
        let run = host.stop_order(key, attempt);
        self.actions.push(Action::Pace(Pace { run, percent }));
    }
}
