//! Upper bound of the memory that a body takes once it is decoded.

/// Memory of an object in bytes: a step in its form on the wire and in that of the kernel.
const OBJECT_BYTES: u64 = 768;

/// Memory of any other value in bytes.
const VALUE_BYTES: u64 = 72;

/// Copies of a body's text while it is stored: the body, the decoded texts, the record, the batch
/// and the request to the log.
const COPIES: u64 = 5;

/// Returns an upper bound of the number of steps in the JSON body of a job.
#[must_use]
pub fn steps_max(body: &[u8]) -> u64 {
    let objects = body.iter().filter(|byte| **byte == b'{').count() as u64;
    objects.saturating_sub(1)
}

/// Returns an upper bound of the memory in bytes for decoding and storing a JSON body, from the
/// characters that begin or separate values. Characters within texts count as well, which only
/// raises the bound.
#[must_use]
pub fn decoded_max_bytes(body: &[u8]) -> u64 {
    let (mut objects, mut values) = (0_u64, 0_u64);
    for byte in body {
        match byte {
            b'{' => objects += 1,
            b'[' | b',' | b':' => values += 1,
            _ => {}
        }
    }
    body.len() as u64 * COPIES + objects * OBJECT_BYTES + values * VALUE_BYTES
}
