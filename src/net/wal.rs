//! Records in a file that only grows at its end: each framed by its length and a checksum over both. What the records mean
//! is their owner's.
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io;

/// Bytes before a record: its length, and the checksum.
pub const HEADER: usize = 8;

/// What was read that is no record.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Damage {
    /// Bytes cut off at the end: a record whose writing the process's end broke off.
    pub torn: usize,
    /// Bytes passed over before a record that could be read.
    pub skipped: usize,
}

/// The framed record, in the memory of `spare`.
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

/// The record at the start of `bytes` and its framed length, if a whole and sound one of at most `most` bytes stands there.
fn unframe<T: DeserializeOwned>(bytes: &[u8], most: usize) -> Option<(T, usize)> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (sum, rest) = rest.split_first_chunk::<4>()?;
    let size = u32::from_le_bytes(*length) as usize;
    let payload = rest.get(..size).filter(|_| size <= most)?;
    if checksum(length, payload) != u32::from_le_bytes(*sum) {
        return None;
    }
    Some((postcard::from_bytes(payload).ok()?, HEADER + size))
}

/// Reads all records, each of at most `most` bytes, past whatever is none; the length up to the end of the last one.
pub fn read<T: DeserializeOwned>(bytes: &[u8], most: usize, mut each: impl FnMut(T)) -> (usize, Damage) {
    let (mut at, mut sound, mut damage) = (0, 0, Damage::default());
    while at < bytes.len() {
        match unframe(&bytes[at..], most) {
            Some((record, size)) => {
                damage.skipped += at - sound;
                at += size;
                sound = at;
                each(record);
            }
            None => at += 1,
        }
    }
    damage.torn = bytes.len() - sound;
    (sound, damage)
}
