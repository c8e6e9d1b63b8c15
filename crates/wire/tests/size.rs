//! Bytes that one request costs on the link between a gateway and an owner.

use rosemaryworks_core::outcome::{Finish, NotRun, Request};
use rosemaryworks_core::routing::{Ask, Key};
use rosemaryworks_core::shard::{Epoch, Id};
use rosemaryworks_core::target::Instance;
use rosemaryworks_wire::{Frame, Kind, Message, Verdict};

/// Bytes of the four frames of a request with names as in the example deployments. Field names of
/// full length cost 550.
const REQUEST_MAX_BYTES: usize = 300;

fn shard() -> Id {
    Id::service("shop-operations", 2)
}

fn ask() -> Ask {
    Ask {
        key: Key {
            gateway: "gateway-3".into(),
            number: 1_796_381_524_480_517,
        },
        request: Request {
            contract: "avvolgi-shops".into(),
            id: "order-2026-12-04-004711".into(),
        },
        idempotent: false,
        attempt: Some(1),
        remaining_ms: 9_998,
        exclude: Vec::new(),
    }
}

fn granted() -> Verdict {
    Verdict::Granted {
        epoch: Epoch(6_637),
        slot: 104_729,
        instance: Instance {
            name: "shop-operations-17".into(),
            service: "shop-operations".into(),
            zone: "milano".into(),
            address: "10.12.3.17:8080".parse().unwrap(),
            slots: 8,
            connections: 64,
        },
        waited_ms: 0,
    }
}

/// The frames of a request that is granted at once.
fn frames() -> [Frame; 4] {
    let frame = |kind, message| Frame {
        id: 104_729,
        kind,
        message,
    };
    let finish = Message::Finish {
        shard: shard(),
        epoch: Epoch(6_637),
        slot: 104_729,
        finish: Finish::Answered,
        run_ms: 143,
    };
    let shard = shard();
    [
        frame(Kind::Call, Message::Ask { shard, ask: ask() }),
        frame(Kind::Reply, Message::Verdict(granted())),
        frame(Kind::Call, finish),
        frame(Kind::Reply, Message::Done),
    ]
}

/// Guards against messages that grow without notice: requests are most of what gateways send.
#[test]
fn a_request_costs_few_bytes() {
    let sizes = frames().map(|frame| frame.encode().unwrap().len());
    println!("ask, verdict, finish, done: {sizes:?} bytes");
    let total: usize = sizes.iter().sum();
    assert!(total <= REQUEST_MAX_BYTES, "{sizes:?}: {total}");
}

/// Guards against fields that are left out and don't come back as they were.
#[test]
fn messages_come_back_as_they_were() {
    let mut later = ask();
    later.attempt = None;
    later.exclude = vec!["shop-operations-4".into()];
    let mut waited = granted();
    if let Verdict::Granted { waited_ms, .. } = &mut waited {
        *waited_ms = 12;
    }
    let messages = [
        Message::Ask {
            shard: shard(),
            ask: later,
        },
        Message::Verdict(waited),
        Message::Verdict(Verdict::NotRun(NotRun::Rate)),
        Message::Withdraw {
            shard: shard(),
            key: ask().key,
        },
    ];
    let others = messages.map(|message| Frame {
        id: 1,
        kind: Kind::Notice,
        message,
    });
    for frame in frames().into_iter().chain(others) {
        let bytes = frame.encode().unwrap();
        assert_eq!(Frame::decode(&bytes).unwrap(), frame);
    }
}
