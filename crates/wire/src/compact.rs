//! Compact encodings of core types for frames.
//!
//! In the log and in the platform's lists these types keep their full field names. On a link, full
//! field names made up half of the bytes of a request.

/// Encodes an instance as a sequence of its fields.
pub(crate) mod instance {
    use std::net::SocketAddr;
    use std::sync::Arc;

    use rosemaryworks_core::target::Instance;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    type Fields<S> = (S, S, S, SocketAddr, u32, u32);

    pub(crate) fn serialize<S: Serializer>(
        instance: &Instance,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let fields: Fields<&str> = (
            &instance.name,
            &instance.service,
            &instance.zone,
            instance.address,
            instance.slots,
            instance.connections,
        );
        fields.serialize(serializer)
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Instance, D::Error> {
        let (name, service, zone, address, slots, connections) =
            Fields::<Arc<str>>::deserialize(deserializer)?;
        Ok(Instance {
            name,
            service,
            zone,
            address,
            slots,
            connections,
        })
    }
}

/// Encodes a slot request with short field names and omits default values.
pub(crate) mod slot_request {
    use std::sync::Arc;

    use rosemaryworks_core::outcome::Request;
    use rosemaryworks_core::routing::{Key, SlotRequest};
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    #[derive(Deserialize, Serialize)]
    struct Compact {
        /// Gateway and number of the key, contract and id of the request, remaining time in
        /// milliseconds.
        #[serde(rename = "a")]
        fields: (Arc<str>, u64, Arc<str>, Arc<str>, u64),
        #[serde(default, rename = "i", skip_serializing_if = "std::ops::Not::not")]
        idempotent: bool,
        #[serde(default, rename = "n", skip_serializing_if = "Option::is_none")]
        attempt: Option<u32>,
        #[serde(default, rename = "x", skip_serializing_if = "Vec::is_empty")]
        exclude: Vec<Arc<str>>,
    }

    pub(crate) fn serialize<S: Serializer>(
        slot_request: &SlotRequest,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let (key, request) = (&slot_request.key, &slot_request.request);
        let compact = Compact {
            fields: (
                key.gateway.clone(),
                key.number,
                request.contract.clone(),
                request.id.clone(),
                slot_request.remaining_ms,
            ),
            idempotent: slot_request.idempotent,
            attempt: slot_request.attempt,
            exclude: slot_request.exclude.clone(),
        };
        compact.serialize(serializer)
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<SlotRequest, D::Error> {
        let compact = Compact::deserialize(deserializer)?;
        let (gateway, number, contract, id, remaining_ms) = compact.fields;
        Ok(SlotRequest {
            key: Key { gateway, number },
            request: Request { contract, id },
            idempotent: compact.idempotent,
            attempt: compact.attempt,
            remaining_ms,
            exclude: compact.exclude,
        })
    }
}
