//! Guards against advice requests that starve each other: on an overloaded day two thirds of them
//! ended without an answer, long after the surge that had caused it, while cores were free.
//!
//! Two owners, 35 VMs and the advice service in simulated time.

#[path = "support/advice_site.rs"]
mod site;

use site::{Site, Window, load};

#[test]
fn requests_are_answered_again_after_a_surge() {
    for seed in 1..=3 {
        let mut site = Site::new(seed);
        site.run();
        for (window, counts) in &site.windows {
            println!(
                "seed={seed} from={}s asked={} failed={:.2} late={} busy={} abandoned={} placed={} waiting={}",
                window * 6,
                counts.asked,
                f64::from(counts.failed) / f64::from(counts.asked.max(1)),
                counts.late,
                counts.busy,
                counts.abandoned,
                counts.placed,
                counts.waiting
            );
        }
        let share_failed = |windows: &[&Window]| {
            let asked: u32 = windows.iter().map(|window| window.asked).sum();
            let failed: u32 = windows.iter().map(|window| window.failed).sum();
            f64::from(failed) / f64::from(asked.max(1))
        };
        let all: Vec<&Window> = site.windows.values().collect();
        let after = &all[load::LAST_SURGE_END_MS as usize / 6_000 + 1..];
        assert!(share_failed(&all) <= 0.1, "seed {seed}: requests fail");
        assert!(
            share_failed(after) <= 0.02,
            "seed {seed}: requests fail after the last surge"
        );
        let abandoned: u32 = all.iter().map(|window| window.abandoned).sum();
        assert!(abandoned <= 20, "seed {seed}: {abandoned} calls for nobody");
        // 21 to 41 steps wait before the first surge.
        for window in after {
            assert!(window.waiting <= 60, "seed {seed}: the queue doesn't drain");
        }
    }
}
