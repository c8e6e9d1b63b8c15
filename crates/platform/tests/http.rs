//! Classification of failures by the HTTP adapters, and concurrent requests.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use rosemaryworks_node::http::Client;
use rosemaryworks_platform::log::Append;
use rosemaryworks_platform::{Fault, Log, http};

/// Starts a server that reads one request, sends `answer` and closes the connection.
fn server(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = Vec::new();
        while !request.ends_with(b"}") {
            let mut part = [0; 1024];
            let count = stream.read(&mut part).unwrap();
            request.extend_from_slice(&part[..count]);
        }
        stream.write_all(answer.as_bytes()).unwrap();
    });
    address
}

async fn fault(address: SocketAddr) -> Fault {
    let log = http::Log::new(Client::start(1), address);
    let append = Append {
        stream: "cell".into(),
        id: "a-1".into(),
        records: vec![Arc::from("{}")],
    };
    let report = log.append(append).await.unwrap_err();
    report.current_context().fault.clone()
}

#[tokio::test]
async fn closed_port_is_unreached() {
    // Guards against treating a request that definitely was not sent as possibly run.
    // Nothing listens on the discard port.
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    assert!(matches!(fault(address).await, Fault::Unreached(_)));
}

#[tokio::test]
async fn connection_closed_after_the_request_is_uncertain() {
    // Guards against reporting a request as not run although the peer has read all of it.
    assert!(matches!(fault(server("")).await, Fault::Uncertain(_)));
}

#[tokio::test]
async fn truncated_response_is_uncertain() {
    // Guards against treating a truncated response as a rejection.
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 40\r\n\r\n{\"offset\":1";
    assert!(matches!(fault(server(answer)).await, Fault::Uncertain(_)));
}

#[tokio::test]
async fn refusals_keep_their_kind() {
    // Guards against losing the newer epoch or the first retained offset of a rejection.
    // The declared length is one byte too short, which truncates the body.
    let fenced = "HTTP/1.1 412 -\r\ncontent-length: 29\r\n\r\n{\"refused\":\"fenced\",\"seen\":17}";
    assert_eq!(
        fault(server(fenced)).await,
        Fault::Uncertain("status 412".into())
    );
    let fenced = "HTTP/1.1 412 -\r\ncontent-length: 30\r\n\r\n{\"refused\":\"fenced\",\"seen\":17}";
    assert_eq!(fault(server(fenced)).await, Fault::Fenced { seen: 17 });
    let expired =
        "HTTP/1.1 410 -\r\ncontent-length: 31\r\n\r\n{\"refused\":\"expired\",\"first\":9}";
    assert_eq!(fault(server(expired)).await, Fault::Expired { first: 9 });
    let status = "HTTP/1.1 500 -\r\ncontent-length: 0\r\n\r\n";
    assert!(matches!(fault(server(status)).await, Fault::Uncertain(_)));
}

/// Number of rounds; each has a different delay between the requests.
const ROUNDS: u64 = 30;

/// Starts a server that answers every request on every connection after 20 ms.
fn slow_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            std::thread::spawn(move || {
                let mut part = [0; 4_096];
                while stream.read(&mut part).is_ok_and(|count| count > 0) {
                    std::thread::sleep(Duration::from_millis(20));
                    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\n{\"offset\":1}";
                    stream.write_all(answer.as_bytes()).unwrap();
                }
            });
        }
    });
    address
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_to_one_address_do_not_wait_for_each_other() {
    // Guards against a request that is never sent because another one was opening a connection to
    // the same address when it arrived.
    let client = Client::start(1);
    for round in 0..ROUNDS {
        let log = http::Log::new(client.clone(), slow_server());
        let mut calls = Vec::new();
        for _ in 0..10 {
            calls.push(tokio::spawn(log.find("cell", "a-1")));
            std::thread::sleep(Duration::from_micros(10 * round));
        }
        for call in calls {
            assert_eq!(call.await.unwrap().unwrap(), Some(1));
        }
    }
}
