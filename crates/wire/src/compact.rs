//! Short forms of core types that keep their field names in the log and in lists of the platform.
//!
//! Field names of full length were half of the bytes of a request on a link.

/// An instance as a sequence of its fields.
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

/// An ask with short names and without defaults.
pub(crate) mod ask {
    use std::sync::Arc;

    use rosemaryworks_core::outcome::Request;
    use rosemaryworks_core::routing::{Key, SlotRequest};
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    #[derive(Deserialize, Serialize)]
    struct Short {
        /// Gateway and number of the key, contract and id of the request, remaining milliseconds.
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
        ask: &SlotRequest,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let (key, request) = (&ask.key, &ask.request);
        let short = Short {
            fields: (
                key.gateway.clone(),
                key.number,
                request.contract.clone(),
                request.id.clone(),
                ask.remaining_ms,
            ),
            idempotent: ask.idempotent,
            attempt: ask.attempt,
            exclude: ask.exclude.clone(),
        };
        short.serialize(serializer)
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<SlotRequest, D::Error> {
        let short = Short::deserialize(deserializer)?;
        let (gateway, number, contract, id, remaining_ms) = short.fields;
        Ok(SlotRequest {
            key: Key { gateway, number },
            request: Request { contract, id },
            idempotent: short.idempotent,
            attempt: short.attempt,
            remaining_ms,
            exclude: short.exclude,
        })
    }
}
