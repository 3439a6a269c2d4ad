//! Messages of the coordination service: postcard inside a data field.

use super::WireError;
use super::malformed;
use fleet_model::{CoordinationAnswer, CoordinationCall};
use postcard::ser_flavors::Size;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Encodes a message. Serialization into memory fails for no type of the coordination service; an empty field, which a
/// failure would give, is rejected by the reader.
pub(super) fn encode_message<T: Serialize>(message: &T) -> Vec<u8> {
    postcard::to_allocvec(message).unwrap_or_default()
}

/// Decodes a message, which has to take the whole field.
pub(super) fn decode_message<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, WireError> {
    match postcard::take_from_bytes(bytes) {
        Ok((message, [])) => Ok(message),
        Ok(_) => Err(malformed("a coordination message has surplus bytes")),
        Err(_) => Err(malformed("a coordination message cannot be decoded")),
    }
}

/// Number of bytes that a message takes when it is encoded.
fn encoded_len<T: Serialize>(message: &T) -> usize {
    postcard::serialize_with_flavor(message, Size::default()).unwrap_or_default()
}

/// Number of bytes of the variable-length fields of a call.
pub(super) fn coordination_call_len(call: &CoordinationCall) -> usize {
    encoded_len(call)
}

/// Number of bytes of the variable-length fields of an answer.
pub(super) fn coordination_answer_len(answer: &CoordinationAnswer) -> usize {
    encoded_len(answer)
}
