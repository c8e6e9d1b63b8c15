//! Runs the real decision code on generated load.

mod routing;

use argh::FromArgs;

/// Runs measurements and prints their rows.
#[derive(FromArgs)]
#[argh(subcommand, name = "measure")]
pub(crate) struct Args {
    /// name of the scenario; all if absent
    #[argh(option)]
    scenario: Option<String>,
    /// first seed
    #[argh(option, default = "1")]
    seed: u64,
}

/// Runs the scenarios and prints their rows.
pub(crate) fn run(args: &Args) {
    for name in routing::NAMES {
        if args.scenario.as_deref().is_none_or(|chosen| chosen == name) {
            for row in routing::run(name, args.seed) {
                println!("{row}");
            }
        }
    }
}
