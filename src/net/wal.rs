//! An append-only file of records, each framed by its length and a checksum over length and payload. The callers define
//! the records.
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io;

/// Bytes before a record: its length, and the checksum.
pub const HEADER: usize = 8;

/// Bytes in the file that are not valid records.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Damage {
    /// Bytes at the end without a valid record: usually a write interrupted by the end of the process.
    pub torn: usize,
    /// Bytes skipped before valid records.
    pub skipped: usize,
}

/// Encodes a record with its frame, reusing the memory of `spare`.
pub fn frame(record: &impl Serialize, mut spare: Vec<u8>) -> io::Result<Vec<u8>> {
    spare.clear();
    spare.resize(HEADER, 0);
    let mut frame = postcard::to_extend(record, spare).map_err(io::Error::other)?;
    let length = u32::try_from(frame.len() - HEADER).map_err(io::Error::other)?;
    frame[..4].copy_from_slice(&length.to_le_bytes());
    let sum = checksum(&frame[..4], &frame[HEADER..]);
    frame[4..HEADER].copy_from_slice(&sum.to_le_bytes());
    Ok(frame)
}

fn checksum(length: &[u8], payload: &[u8]) -> u32 {
    let mut sum = crc32fast::Hasher::new();
    sum.update(length);
    sum.update(payload);
    sum.finalize()
}

/// Decodes the record at the start of `bytes` and returns it with its framed length, if it is complete, valid and has at
/// most `max_bytes` bytes.
fn unframe<T: DeserializeOwned>(bytes: &[u8], max_bytes: usize) -> Option<(T, usize)> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (sum, rest) = rest.split_first_chunk::<4>()?;
    let size = u32::from_le_bytes(*length) as usize;
    let payload = rest.get(..size).filter(|_| size <= max_bytes)?;
    if checksum(length, payload) != u32::from_le_bytes(*sum) {
        return None;
    }
    Some((postcard::from_bytes(payload).ok()?, HEADER + size))
}

/// Reads all valid records of at most `max_bytes` bytes each, skipping invalid bytes. Returns the length up to the end of
/// the last valid record.
pub fn read<T: DeserializeOwned>(
    bytes: &[u8],
    max_bytes: usize,
    mut on_record: impl FnMut(T),
) -> (usize, Damage) {
    let (mut position, mut valid_end, mut damage) = (0, 0, Damage::default());
    while position < bytes.len() {
        match unframe(&bytes[position..], max_bytes) {
            Some((record, size)) => {
                damage.skipped += position - valid_end;
                position += size;
                valid_end = position;
                on_record(record);
            }
            None => position += 1,
        }
    }
    damage.torn = bytes.len() - valid_end;
    (valid_end, damage)
}
