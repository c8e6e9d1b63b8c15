//! Tests of the binary: settings faults, ports in use and the graceful stop.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use rosemaryworks_node::http::{Client, Request};
use rosemaryworks_standin::port;
use serde_json::{Value, json};

fn settings(listen: u16, admin: u16) -> Value {
    json!({
        "node": "gateway-1",
        "zone": "milano",
        "listen": format!("127.0.0.1:{listen}"),
        "admin_listen": format!("127.0.0.1:{admin}"),
        "cell": {
            "name": "avvolgi",
            "schedulers": [{ "name": "scheduler-1", "zone": "milano", "peer": "127.0.0.1:9" }],
            "gateways": ["gateway-1"],
            "partition": { "services": { "booking": 1 }, "pools": {} },
            "log": "127.0.0.1:9",
            "directory": "127.0.0.1:9",
        },
        "drain_ms": 300,
    })
}

fn write_file(name: &str, content: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let mut file = std::fs::File::create(&path).unwrap();
    file.write_all(content.as_bytes()).unwrap();
    path
}

fn command(path: &PathBuf) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_rosemary-gateway"));
    command.arg("--settings").arg(path);
    command
}

fn run(mut command: Command) -> (Option<i32>, String) {
    let Output { status, stderr, .. } = command.output().unwrap();
    (status.code(), String::from_utf8(stderr).unwrap())
}

/// Guards against reporting only the first fault of the settings.
#[test]
fn every_settings_fault_is_reported() {
    let mut faulty = settings(0, 0);
    faulty["node"] = json!("gateway-9");
    faulty["zone"] = json!("Milano");
    faulty["retry_percent"] = json!(101);
    faulty["operators"] = json!([{ "name": "ada", "key": "short" }]);
    let path = write_file("faulty.json", &faulty.to_string());
    let (code, text) = run(command(&path));
    assert_eq!(code, Some(2));
    for field in ["node: ", "zone: ", "retry_percent: ", "operators[0].key: "] {
        assert!(text.contains(field), "{field} is missing in {text}");
    }
    assert!(!text.contains("short"), "{text}");
    let mut unknown = settings(0, 0);
    unknown["cell"]["partitions"] = json!({});
    let path = write_file("unknown.json", &unknown.to_string());
    let mut check = command(&path);
    check.arg("--check");
    let (code, text) = run(check);
    assert_eq!(code, Some(2));
    assert!(text.starts_with("cell"), "{text}");
}

/// Guards against a port in use that is reported without its field and address, or not at all.
#[test]
fn a_port_in_use_is_reported_in_one_line() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let port = taken.local_addr().unwrap().port();
    let path = write_file("busy.json", &settings(port, 0).to_string());
    let (code, text) = run(command(&path));
    assert_eq!(code, Some(1));
    assert_eq!(text.lines().count(), 1, "{text}");
    assert!(
        text.contains(&format!("listen: 127.0.0.1:{port} can't be used")),
        "{text}"
    );
}

struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        // The process has already exited unless the test failed.
        let _ = self.0.kill();
    }
}

fn terminate(process: &Process) {
    let id = process.0.id().to_string();
    assert!(Command::new("kill").arg(id).status().unwrap().success());
}

async fn get(client: &Client, url: &str) -> Option<(u16, String)> {
    let call = Request::new("GET", url.to_owned(), Duration::from_secs(2));
    let response = client.send(call).await.ok()?;
    Some((response.status, String::from_utf8(response.body).unwrap()))
}

/// Guards against a gateway that reports ready without the log, and against a stop that doesn't
/// report not ready before it ends, or that exits with an error.
#[tokio::test]
async fn without_a_log_the_gateway_is_unready_and_stops_on_sigterm() {
    let (listen, admin) = (port::unused().port(), port::unused().port());
    let path = write_file("process.json", &settings(listen, admin).to_string());
    let mut process = Process(command(&path).stderr(Stdio::piped()).spawn().unwrap());
    let client = Client::start(1);
    let url = format!("http://127.0.0.1:{admin}/readyz");
    let mut answer = None;
    for _ in 0..100 {
        answer = get(&client, &url).await;
        if answer
            .as_ref()
            .is_some_and(|(_, text)| text.contains("contracts"))
        {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let expected = "not ready: the contracts are not known yet\n";
    assert_eq!(answer, Some((503, expected.to_owned())));
    // The line about the log is logged by the first readiness check after a failed read.
    tokio::time::sleep(Duration::from_millis(500)).await;
    terminate(&process);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let draining = get(&client, &url).await;
    assert_eq!(draining, Some((503, "not ready: stopping\n".to_owned())));
    let started = Instant::now();
    let status = loop {
        if let Some(status) = process.0.try_wait().unwrap() {
            break status;
        }
        assert!(
            started.elapsed() < Duration::from_secs(10),
            "the process did not stop within 10 s"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    assert_eq!(status.code(), Some(0));
    let mut text = String::new();
    std::io::Read::read_to_string(&mut process.0.stderr.take().unwrap(), &mut text).unwrap();
    assert_eq!(
        text.matches("log is unreachable at start").count(),
        1,
        "{text}"
    );
}

/// Guards against callers that delay the stop with a connection on which they send nothing, or only
/// part of a request.
#[tokio::test]
async fn half_sent_requests_do_not_delay_the_stop() {
    let (listen, admin) = (port::unused().port(), port::unused().port());
    let path = write_file("half-sent.json", &settings(listen, admin).to_string());
    let mut process = Process(command(&path).stderr(Stdio::null()).spawn().unwrap());
    let end = Instant::now() + Duration::from_secs(10);
    while TcpStream::connect(("127.0.0.1", listen)).is_err() {
        assert!(
            Instant::now() < end,
            "the process did not accept connections within 10 s"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let head = "POST /v1/services/booking HTTP/1.1\r\nhost: gateway\r\ncontent-length: 10\r\n";
    let sent = ["", head, &format!("{head}\r\nab")];
    let callers = sent.map(|text| {
        let mut caller = TcpStream::connect(("127.0.0.1", listen)).unwrap();
        caller.write_all(text.as_bytes()).unwrap();
        caller
    });
    tokio::time::sleep(Duration::from_millis(200)).await;
    terminate(&process);
    let started = Instant::now();
    let status = loop {
        if let Some(status) = process.0.try_wait().unwrap() {
            break status;
        }
        assert!(
            started.elapsed() < Duration::from_secs(10),
            "the process did not stop within 10 s"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    assert_eq!(status.code(), Some(0));
    drop(callers);
}

/// Time after which a call without a response counts as accepted by the process. The operating
/// system immediately resets connections that are still in the accept queue when the listener
/// closes.
const ACCEPTED_AFTER: Duration = Duration::from_millis(400);

/// Sends one request on a new connection. Returns whether the process accepted it and then closed
/// it without a response.
fn is_closed_without_response(listen: u16) -> bool {
    let Ok(mut caller) = TcpStream::connect(("127.0.0.1", listen)) else {
        return false;
    };
    let call = "GET /v1/jobs/job-1 HTTP/1.1\r\nhost: gateway\r\n\r\n";
    let _ = caller.write_all(call.as_bytes());
    let started = Instant::now();
    let mut answer = [0; 16];
    let answered = matches!(caller.read(&mut answer), Ok(read) if read > 0);
    !answered && started.elapsed() > ACCEPTED_AFTER
}

/// Guards against calls that a stopping gateway accepts without a response: in a fault-injection
/// run one was reset 5 s after SIGTERM, at the moment the server stopped.
#[tokio::test]
async fn requests_during_the_stop_are_answered_or_refused() {
    let (listen, admin) = (port::unused().port(), port::unused().port());
    let path = write_file("last-moment.json", &settings(listen, admin).to_string());
    let mut process = Process(command(&path).stderr(Stdio::null()).spawn().unwrap());
    let end = Instant::now() + Duration::from_secs(10);
    while TcpStream::connect(("127.0.0.1", listen)).is_err() {
        assert!(
            Instant::now() < end,
            "the process did not accept connections within 10 s"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let callers = (0..4).map(|_| {
        std::thread::spawn(move || {
            let end = Instant::now() + Duration::from_secs(3);
            let calls = std::iter::repeat_with(|| is_closed_without_response(listen));
            let calls = calls.take_while(|_| Instant::now() < end);
            calls.filter(|closed| *closed).count()
        })
    });
    let callers: Vec<_> = callers.collect();
    tokio::time::sleep(Duration::from_millis(300)).await;
    terminate(&process);
    let closed_calls: usize = callers
        .into_iter()
        .map(|caller| caller.join().unwrap())
        .sum();
    assert_eq!(closed_calls, 0);
    assert_eq!(process.0.wait().unwrap().code(), Some(0));
}
