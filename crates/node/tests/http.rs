//! Tests of the HTTP client.

use std::time::Duration;

use ntex::web::{self, App, HttpResponse};
use rosemaryworks_node::http::{Client, Request};

const ROUNDS: usize = 20;
const CONCURRENT: usize = 8;
const PORTS: usize = 48;

async fn answer() -> HttpResponse {
    tokio::time::sleep(Duration::from_millis(5)).await;
    HttpResponse::Ok().body("answer")
}

/// Starts a server on free ports in a thread of its own.
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

/// Guards against requests that wait for ever for a connection while others to the same address
/// are being opened or were just returned.
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
