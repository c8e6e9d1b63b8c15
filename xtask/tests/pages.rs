//! Checks that the committed event catalogue and example settings match the programs.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::Command;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .parent()
        .unwrap()
        .to_owned()
}

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

/// Returns the number, level and text of each event constant in `source`.
fn events(source: &str) -> Vec<(u16, String, String)> {
    let code = source
        .lines()
        .filter(|line| !line.trim_start().starts_with("//"));
    let source = code
        .flat_map(str::split_whitespace)
        .collect::<Vec<_>>()
        .join(" ");
    let constants = source.split("Event = Event::new(").skip(1);
    let parse = |rest: &str| {
        let mut parts = rest.splitn(3, ',');
        let number = parts.next()?.trim().parse().ok()?;
        let level = parts
            .next()?
            .trim()
            .trim_start_matches("Level::")
            .to_lowercase();
        let text = parts.next()?.split('"').nth(1)?.to_owned();
        Some((number, level, text))
    };
    constants.filter_map(parse).collect()
}

/// Guards against log events missing from the catalogue and numbers that are used twice.
#[test]
fn every_log_event_is_in_the_catalogue_once() {
    let catalogue = std::fs::read_to_string(root().join("docs/events.md")).unwrap();
    let mut files = Vec::new();
    sources(&root().join("crates"), &mut files);
    let mut seen = BTreeMap::new();
    for file in files
        .iter()
        .filter(|file| file.ends_with("events.rs") || file.ends_with("event.rs"))
    {
        for (number, level, text) in events(&std::fs::read_to_string(file).unwrap()) {
            let earlier = seen.insert(number, file.clone());
            assert_eq!(
                earlier,
                None,
                "event {number} of {} is used twice",
                file.display()
            );
            let line = format!("| E{number:03} | {level} | {text} |");
            assert!(catalogue.contains(&line), "docs/events.md lacks: {line}");
        }
    }
    assert!(
        seen.len() > 40,
        "only {} events were found in the sources",
        seen.len()
    );
}

/// Guards against committed examples that differ from the generated settings.
#[test]
fn examples_match_the_output_of_the_settings_task() {
    for (deployment, base_port) in [("avvolgi", "21000"), ("dala", "22000")] {
        let folder = std::env::temp_dir().join(format!("rosemaryworks-{}", std::process::id()));
        let folder = folder.join(deployment);
        let status = Command::new(env!("CARGO_BIN_EXE_xtask"))
            .args([
                "settings",
                "--deployment",
                deployment,
                "--base-port",
                base_port,
                "--folder",
            ])
            .arg(&folder)
            .status()
            .unwrap();
        assert!(status.success());
        let mut compared = 0;
        for entry in std::fs::read_dir(&folder).unwrap() {
            let path = entry.unwrap().path();
            let committed = root()
                .join("examples")
                .join(deployment)
                .join(path.file_name().unwrap());
            let committed = std::fs::read_to_string(&committed)
                .unwrap_or_else(|error| panic!("{}: {error}", committed.display()));
            assert_eq!(
                std::fs::read_to_string(&path).unwrap(),
                committed,
                "{}",
                path.display()
            );
            compared += 1;
        }
        assert_eq!(compared, 13);
        std::fs::remove_dir_all(&folder).unwrap();
    }
}
