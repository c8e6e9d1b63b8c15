//! Tests of the addresses that processes see in the log.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rosemaryworks_entry::claim::Claim;
use rosemaryworks_entry::port::{Fault, Guard, Record};
use rosemaryworks_soak::{Log, View};

/// Longer than the tests take.
const RETENTION: Duration = Duration::from_secs(600);

/// Writes a value as process 0. Returns it as processes 0 and 1 read it.
async fn written_and_read(value: Vec<u8>) -> [Vec<u8>; 2] {
    let log = Arc::new(Log::new(RETENTION));
    let [writer, reader] = [0, 1].map(|process| View::new(log.clone(), process));
    let record = Record {
        key: Some("key".into()),
        value,
    };
    let appended = writer.append("topic", 0, vec![record], &Guard::Unconditional);
    appended.expect("an append without a guard");
    let page = writer.read("topic", 0, 0, Duration::ZERO).await;
    let own = page.expect("a retained record").records;
    let (newest, _) = reader.newest("topic", 0);
    [own[0].value.clone(), newest[0].1.value.clone()]
}

fn claim(address: &str) -> Vec<u8> {
    let claim = Claim {
        epoch: 3,
        node: "n0".into(),
        incarnation: 1_700_000_000_000,
        address: address.parse::<SocketAddr>().expect("an address"),
        renewal: 7,
        unfinished: false,
        millicores: 1_000,
        taking_over: false,
    };
    let mut value = Vec::new();
    ciborium::into_writer(&claim, &mut value).expect("a claim in CBOR");
    value
}

// Guards against cuts between processes that separate nothing, because claims keep the real address.
#[tokio::test]
async fn claims_name_a_proxy_to_all_but_their_owner() {
    let [own, other] = written_and_read(claim("127.0.0.11:12345")).await;
    assert_eq!(own, claim("127.0.0.11:12345"));
    assert_eq!(other, claim("127.0.0.12:12345"));
}

// Guards against cuts between a process and a worker that other processes have as well.
#[tokio::test]
async fn addresses_in_text_name_a_proxy_of_the_reader() {
    let [own, other] = written_and_read(b"{\"address\":\"127.0.0.11:80\"}".to_vec()).await;
    assert_eq!(own, b"{\"address\":\"127.0.0.11:80\"}");
    assert_eq!(other, b"{\"address\":\"127.0.0.12:80\"}");
}

// Guards against runs whose log keeps everything.
#[tokio::test]
async fn records_expire_and_the_newest_of_each_key_stays() {
    let log = Log::new(Duration::from_millis(50));
    let record = Record {
        key: Some("key".into()),
        value: vec![1],
    };
    let appended = log.append("keyed", 0, vec![record.clone()], &Guard::Unconditional);
    appended.expect("an append without a guard");
    tokio::time::sleep(Duration::from_millis(60)).await;
    let expired = log.read("keyed", 0, 0, Duration::ZERO).await;
    assert_eq!(expired, Err(Fault::Expired { first: 1 }));
    assert_eq!(log.newest("keyed", 0), (vec![(0, record)], 1));
}
