//! Encoded size of the frames of one request between a gateway and an owner.

use ciborium::Value;
use rosemaryworks_core::outcome::{Finish, NotRun, Request};
use rosemaryworks_core::routing::{Key, SlotRequest};
use rosemaryworks_core::shard::{Epoch, Id};
use rosemaryworks_core::target::Instance;
use rosemaryworks_wire::{Frame, Kind, Message, Verdict};

/// Size counted for a number, regardless of its encoding.
const NUMBER_BYTES: usize = 8;

/// Returns the size of the values in a frame without the names of fields and variants.
fn value_bytes(value: &Value) -> usize {
    match value {
        Value::Array(items) => items.iter().map(value_bytes).sum(),
        Value::Integer(_) => NUMBER_BYTES,
        Value::Map(entries) => entries.iter().map(|(_, value)| value_bytes(value)).sum(),
        Value::Text(text) => text.len(),
        _ => 1,
    }
}

fn shard() -> Id {
    Id::service("shop-operations", 2)
}

fn slot_request() -> SlotRequest {
    SlotRequest {
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

/// Returns the frames of a request that is granted immediately.
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
        frame(
            Kind::Call,
            Message::Ask {
                shard,
                ask: slot_request(),
            },
        ),
        frame(Kind::Reply, Message::Verdict(granted())),
        frame(Kind::Call, finish),
        frame(Kind::Reply, Message::Done),
    ]
}

/// Guards against overhead of field names above half of the size of the values. Requests are most
/// of the traffic of gateways; with full field names the four frames took 550 bytes.
#[test]
fn names_cost_at_most_half_of_the_values() {
    let frames = frames().map(|frame| frame.encode().unwrap());
    let sent: usize = frames.iter().map(Vec::len).sum();
    let values = frames
        .iter()
        .map(|bytes| value_bytes(&ciborium::from_reader(&bytes[..]).unwrap()))
        .sum::<usize>();
    assert!(
        2 * sent <= 3 * values,
        "{sent} bytes for {values} of values"
    );
}

/// Guards against omitted fields that are not restored by decoding.
#[test]
fn messages_survive_a_round_trip() {
    let mut repeated = slot_request();
    repeated.attempt = None;
    repeated.exclude = vec!["shop-operations-4".into()];
    let mut waited = granted();
    if let Verdict::Granted { waited_ms, .. } = &mut waited {
        *waited_ms = 12;
    }
    let messages = [
        Message::Ask {
            shard: shard(),
            ask: repeated,
        },
        Message::Verdict(waited),
        Message::Verdict(Verdict::NotRun(NotRun::Rate)),
        Message::Withdraw {
            shard: shard(),
            key: slot_request().key,
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
