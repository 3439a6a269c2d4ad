//! The entries of one append, encoded together: an append is found complete or not at all.

use bytes::{Buf as _, Bytes};

/// Length of the field before each entry, in bytes: the entry's length, little-endian.
const LENGTH_BYTES: usize = 4;

/// Encodes the entries of one append.
pub(super) fn encode_entries(entries: &[Bytes]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(entries.iter().map(|entry| LENGTH_BYTES + entry.len()).sum());
    for entry in entries {
        bytes.extend((entry.len() as u32).to_le_bytes());
        bytes.extend_from_slice(entry);
    }
    bytes
}

/// Decodes the entries of one append and adds them; `None` if the bytes are no sequence of entries.
pub(super) fn decode_entries(mut bytes: Bytes, entries: &mut Vec<Bytes>) -> Option<()> {
    while !bytes.is_empty() {
        let length = bytes.try_get_u32_le().ok()? as usize;
        if length > bytes.len() {
            return None;
        }
        entries.push(bytes.split_to(length));
    }
    Some(())
}
