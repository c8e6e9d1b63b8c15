//! Commands of `rosemaryctl` against a running administration API: output and exit codes.

#[path = "../../admin/tests/support/server.rs"]
mod support;

use std::path::PathBuf;
use std::process::Output;

use rosemaryworks_core::shard::{Epoch, Id};
use rosemaryworks_wire::{Inspected, Message};
use support::Server;
use support::fakes::{OPERATOR_KEY, TEAM_KEY, contract_json, reply};
use tokio::process::Command;

async fn ctl(server: &str, key: &str, words: &[&str]) -> (Option<i32>, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_rosemaryctl"));
    command.args(["--server", server]).args(words);
    command.env("ROSEMARY_KEY", key);
    let Output {
        status,
        stdout,
        stderr,
    } = command.output().await.unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (status.code(), text(stdout), text(stderr))
}

fn file(name: &str, content: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, content).unwrap();
    path
}

/// Guards against commands with wrong output, and against a conflict that exits with code 0.
#[tokio::test]
async fn a_contract_is_published_shown_and_compared() {
    let server = Server::start().await;
    let address = server.address.to_string();
    let run = |words: Vec<String>| {
        let address = address.clone();
        async move {
            let words: Vec<&str> = words.iter().map(String::as_str).collect();
            ctl(&address, OPERATOR_KEY, &words).await
        }
    };
    let words = |line: &str| line.split(' ').map(str::to_owned).collect::<Vec<String>>();
    let mut contract = contract_json();
    let path = file("contract.json", &contract.to_string());
    let path = path.to_str().unwrap();
    let (code, out, err) = run(words(&format!("publish {path} --expected 0"))).await;
    assert_eq!((code, &*err), (Some(0), ""));
    assert_eq!(out, "publish contract dala: revision 1 is in force\n");
    let (code, _, err) = run(words(&format!("publish {path} --expected 0"))).await;
    assert_eq!(code, Some(3), "{err}");
    assert!(err.contains("revision 1 is in force, not 0"), "{err}");
    contract["weight"] = 9.into();
    file("contract.json", &contract.to_string());
    assert_eq!(
        run(words(&format!("publish {path} --expected 1"))).await.0,
        Some(0)
    );
    let (code, out, _) = run(words("diff dala --from 1 --to 2")).await;
    assert_eq!(
        (code, &*out),
        (Some(0), "PATH    FROM  TO\nweight  2     9\n")
    );
    let (code, out, _) = run(words("contracts")).await;
    assert_eq!(code, Some(0));
    assert!(
        out.lines()
            .nth(1)
            .unwrap()
            .starts_with("dala  2         9       ada"),
        "{out}"
    );
    let (_, out, _) = run(words("--json show dala")).await;
    let shown: serde_json::Value = serde_json::from_str(&out).unwrap();
    assert_eq!(shown["contract"]["weight"], 9);
    assert!(!out.contains(TEAM_KEY));
    let (_, out, _) = run(words("audit")).await;
    assert!(out.contains("publish contract dala"), "{out}");
}

/// Guards against validation faults that are missing from the output.
#[tokio::test]
async fn faults_of_a_contract_are_printed() {
    let server = Server::start().await;
    let mut contract = contract_json();
    contract["weight"] = 0.into();
    contract["urgent_percent"] = 101.into();
    let path = file("faulty.json", &contract.to_string());
    let words = ["publish", path.to_str().unwrap(), "--expected", "0"];
    let (code, out, err) = ctl(&server.address.to_string(), OPERATOR_KEY, &words).await;
    assert_eq!((code, &*out), (Some(1), ""));
    let lines: Vec<&str> = err.lines().collect();
    assert_eq!(lines.len(), 3, "{err}");
    assert!(err.contains("weight: must be at least 1"), "{err}");
}

/// Guards against failures that scripts can't distinguish by their exit code.
#[tokio::test]
async fn each_failure_has_its_exit_code() {
    let server = Server::start().await;
    let address = server.address.to_string();
    let (code, _, err) = ctl(&address, TEAM_KEY, &["cell"]).await;
    assert_eq!((code, &*err), (Some(1), "no operator has this key\n"));
    assert_eq!(ctl(&address, "", &["cell"]).await.0, Some(2));
    assert_eq!(ctl(&address, OPERATOR_KEY, &["start"]).await.0, Some(2));
    assert_eq!(
        ctl(&address, OPERATOR_KEY, &["show", "../cell"]).await.0,
        Some(2)
    );
    let (code, _, err) = ctl("127.0.0.1:9", OPERATOR_KEY, &["cell"]).await;
    assert_eq!(code, Some(4), "{err}");
    server.log.set_down(true);
    let (code, _, err) = ctl(&address, OPERATOR_KEY, &["drain", "cpu-1"]).await;
    assert_eq!(code, Some(4));
    assert!(err.contains("the log can't be reached"), "{err}");
}

/// Guards against a rollout that omits a scheduler with an older revision.
#[tokio::test]
async fn the_rollout_lists_schedulers_that_are_behind() {
    let server = Server::start().await;
    assert_eq!(server.publish("change-1", 0, 100).await.0, 200);
    server
        .scheduler
        .answer(|_| reply(Message::RevisionList(Some(Vec::new()))));
    let address = server.address.to_string();
    let (code, out, err) = ctl(&address, OPERATOR_KEY, &["rollout"]).await;
    assert_eq!((code, &*err), (Some(0), ""));
    assert!(out.contains("dala  1       scheduler-1"), "{out}");
}

/// Guards against tables that omit shard owners or drained targets.
#[tokio::test]
async fn targets_are_drained_and_listed() {
    let server = Server::start().await;
    server.scheduler.answer(|_| {
        reply(Message::Inspected(Box::new(Inspected {
            shards: vec![(Id::pool("cpu", 0), Epoch(7))],
            ..Inspected::default()
        })))
    });
    let address = server.address.to_string();
    let (code, out, err) = ctl(&address, OPERATOR_KEY, &["drain", "cpu-1"]).await;
    assert_eq!((code, &*err), (Some(0), ""));
    assert_eq!(out, "drain target cpu-1: in force\n");
    let (_, out, _) = ctl(&address, OPERATOR_KEY, &["cell"]).await;
    assert!(out.contains("pool/cpu/0         scheduler-1  7"), "{out}");
    assert!(out.contains("drained: cpu-1"), "{out}");
    assert_eq!(
        ctl(&address, OPERATOR_KEY, &["undrain", "cpu-1"]).await.0,
        Some(0)
    );
    assert!(!server.contracts.is_drained("cpu-1"));
    for command in ["targets", "jobs"] {
        assert_eq!(ctl(&address, OPERATOR_KEY, &[command]).await.0, Some(0));
    }
}
