//! HTTP client: concurrency, connection timeout and classification of errors.

use std::time::Duration;

use ntex::web::{self, App, HttpResponse};
use rosemaryworks_node::http::{Client, Error, Request};

const ROUNDS: usize = 20;
const CONCURRENT: usize = 8;
const PORTS: usize = 48;

async fn answer() -> HttpResponse {
    tokio::time::sleep(Duration::from_millis(5)).await;
    HttpResponse::Ok().body("answer")
}

/// Starts a server on free ports in a separate thread and returns the ports.
fn serve(ports: usize) -> Vec<u16> {
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let system = ntex::rt::System::new("server", ntex::rt::DefaultRuntime);
        system.block_on(async move {
            let mut server = web::server(async || {
                App::new().service(web::resource("/").route(web::get().to(answer)))
            });
            let mut bound = Vec::new();
            for _ in 0..ports {
                let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
                bound.push(listener.local_addr().unwrap().port());
                server = server.listen(listener).unwrap();
            }
            sender.send(bound).unwrap();
            server.workers(2).run().await.unwrap();
        });
    });
    receiver.recv().unwrap()
}

/// Guards against requests that wait forever for a connection while others to the same address are
/// being opened or have just become idle.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_requests_to_many_addresses_are_all_answered() {
    let ports = serve(PORTS);
    let client = Client::start(2);
    for round in 0..ROUNDS {
        let requests = ports.iter().cycle().take(PORTS * CONCURRENT).map(|port| {
            let url = format!("http://127.0.0.1:{port}/");
            let request = Request::new("GET", url, Duration::from_secs(2));
            let client = client.clone();
            tokio::spawn(async move { client.send(request).await })
        });
        let requests: Vec<_> = requests.collect();
        for request in requests {
            let response = request.await.unwrap();
            let status = response.map(|response| response.status);
            assert_eq!(status, Ok(200), "in round {round}");
        }
    }
}

/// Guards against requests blocked for seconds by a hanging connection attempt after the network
/// partition that caused it has ended.
#[test]
fn a_hanging_connection_attempt_does_not_block_later_requests_for_long() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        // A full accept queue drops SYN packets, as a network partition does.
        let socket = tokio::net::TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(1).unwrap();
        let address = listener.local_addr().unwrap();
        let mut queued = Vec::new();
        while let Ok(Ok(stream)) = tokio::time::timeout(
            Duration::from_millis(100),
            tokio::net::TcpStream::connect(address),
        )
        .await
        {
            queued.push(stream);
        }
        let client = Client::start(1);
        let url = format!("http://{address}/");
        let first = Request::new("GET", url.clone(), Duration::from_millis(400));
        assert!(client.send(first).await.is_err());
        tokio::spawn(async move {
            use tokio::io::AsyncWriteExt;
            let response = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
            let mut open = Vec::new();
            while let Ok((mut stream, _)) = listener.accept().await {
                // The connections queued above are closed.
                let _ = stream.write_all(response).await;
                open.push(stream);
            }
        });
        tokio::time::sleep(Duration::from_millis(20)).await;
        let second = Request::new("GET", url, Duration::from_millis(400));
        assert_eq!(
            client.send(second).await.map(|response| response.status),
            Ok(200)
        );
    });
}

/// Guards against a refused connection that is reported as a slow or a lost response.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_address_without_a_listener_is_reported_as_refused() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}/", listener.local_addr().unwrap());
    drop(listener);
    let request = Request::new("GET", url, Duration::from_secs(2));
    let result = Client::start(1).send(request).await;
    assert_eq!(result.map(|r| r.status), Err(Error::Refused));
}

/// Guards against treating a process that accepts and resets a connection as one that has ended.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_connection_that_is_closed_after_it_was_accepted_is_lost() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}/", listener.local_addr().unwrap());
    std::thread::spawn(move || while listener.accept().is_ok() {});
    let request = Request::new("GET", url, Duration::from_secs(2));
    let result = Client::start(1).send(request).await;
    assert!(matches!(result, Err(Error::Lost(_))), "{result:?}");
}

/// Guards against responses that count as missing because the client's thread was busy when they
/// arrived. An owner that was short of CPU took its workers for silent and started their tasks again.
#[test]
fn responses_that_arrive_while_the_client_is_busy_are_read() {
    const BUSY: Duration = Duration::from_millis(30);
    let port = serve(1)[0];
    let system = ntex::rt::System::new("client", ntex::rt::DefaultRuntime);
    system.block_on(async move {
        let client = Client::start_local();
        let busy = ntex::rt::spawn(async {
            for _ in 0..ROUNDS {
                std::thread::sleep(BUSY);
                tokio::task::yield_now().await;
            }
        });
        let requests = (0..CONCURRENT).map(|_| {
            let url = format!("http://127.0.0.1:{port}/");
            let (client, request) = (client.clone(), Request::new("GET", url, BUSY / 2));
            ntex::rt::spawn(async move { client.send(request).await })
        });
        let requests: Vec<_> = requests.collect();
        for request in requests {
            let response = request.await.unwrap();
            assert_eq!(response.map(|response| response.status), Ok(200));
        }
        busy.await.unwrap();
    });
}

/// Guards against extensions of timeouts that hide a server that doesn't answer.
#[test]
fn a_server_that_does_not_answer_is_noticed_in_time() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}/", listener.local_addr().unwrap());
    let system = ntex::rt::System::new("client", ntex::rt::DefaultRuntime);
    let result = system.block_on(async move {
        let client = Client::start_local();
        let request = Request::new("GET", url, Duration::from_millis(100));
        let busy = ntex::rt::spawn(async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            std::thread::sleep(Duration::from_millis(200));
        });
        let result = tokio::time::timeout(Duration::from_secs(5), client.send(request)).await;
        busy.await.unwrap();
        result
    });
    assert_eq!(result.map(|r| r.map(|r| r.status)), Ok(Err(Error::Timeout)));
}

/// Reads a request without a body from a connection; `None` if there is none.
fn read_head(stream: &mut std::net::TcpStream) -> Option<String> {
    use std::io::Read;
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    String::from_utf8(head).ok()
}

/// Guards against commands that are sent twice, or count as not sent, because the peer ends a
/// connection that was used before, after it has read the request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_on_a_used_connection_that_ends_is_sent_once_and_lost() {
    use std::io::Write;
    for is_reset in [false, true] {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let url = format!("http://{}/", listener.local_addr().unwrap());
        let (sender, read) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            // The first connection answers once; a further one would be that of a repeated request.
            for stream in listener.incoming().flatten() {
                let (mut stream, sender) = (stream, sender.clone());
                std::thread::spawn(move || {
                    let _ = read_head(&mut stream).map(|head| sender.send(head));
                    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
                    stream.write_all(answer).unwrap();
                    let next = match is_reset {
                        // Ending a connection with unread bytes resets it.
                        true => stream.peek(&mut [0]).map(|_| "unread".to_owned()).ok(),
                        false => read_head(&mut stream),
                    };
                    let _ = next.map(|head| sender.send(head));
                });
            }
        });
        let client = Client::start(1);
        let request = Request::new("GET", url, Duration::from_secs(2));
        let first = client.send(request.clone()).await;
        assert_eq!(first.map(|response| response.status), Ok(200));
        let second = client.send(request).await;
        assert!(
            matches!(second, Err(Error::Lost(_))),
            "{is_reset} {second:?}"
        );
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert_eq!(read.try_iter().count(), 2, "{is_reset}");
    }
}

/// Starts a server that sends the head of a response and parts of its body with pauses between them,
/// and returns its URL.
fn serve_slowly(parts: usize, pause: Duration) -> String {
    use std::io::Write;
    const PART: [u8; 1_000] = [0; 1_000];
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}/", listener.local_addr().unwrap());
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = read_head(&mut stream);
        let length = 10 * PART.len();
        write!(
            stream,
            "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n"
        )
        .unwrap();
        for _ in 0..parts {
            std::thread::sleep(pause);
            stream.write_all(&PART).unwrap();
        }
        // Keeps the connection open.
        let _ = stream.peek(&mut [0]);
    });
    url
}

/// Guards against long responses that a slow link carries and the client gives up, and against a lost
/// path that is not noticed within a response.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_may_take_long_and_must_not_stall() {
    const TIMEOUT: Duration = Duration::from_millis(200);
    let pause = Duration::from_millis(60);
    let client = Client::start(1);
    let send = |parts, is_limited_by_pauses| {
        let request = Request::new("GET", serve_slowly(parts, pause), TIMEOUT);
        client.send(match is_limited_by_pauses {
            true => request.stall_timeout(TIMEOUT),
            false => request,
        })
    };
    let whole = send(10, true).await;
    assert_eq!(whole.map(|response| response.body.len()), Ok(10_000));
    let received_bytes = 4_000;
    assert_eq!(
        send(4, true).await,
        Err(Error::Incomplete { received_bytes })
    );
    let cut = send(10, false).await;
    assert!(matches!(cut, Err(Error::Incomplete { .. })), "{cut:?}");
}
