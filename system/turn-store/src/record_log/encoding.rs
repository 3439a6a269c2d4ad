//! The encoding of a log file: its header, the contents in it, and how it ends.

/// Format version of the files. Version 1 was a directory of records in the engine's format.
pub(super) const FORMAT: u16 = 2;
/// First bytes of a file.
const MAGIC: &[u8; 8] = b"MDrecord";
/// Length of a file's header: magic, format version, checksum.
const HEADER_BYTES: usize = 14;
/// Mark at the beginning of a content.
const BEGIN: &[u8; 4] = b"\xf1RB\xf2";
/// Mark at the end of a content.
const END: &[u8; 4] = b"\xf3RE\xf4";
/// Length of a content's head: begin mark, length, number, checksum.
pub(super) const HEAD_BYTES: usize = 20;
/// Number of consecutive zero bytes that are a gap: written content has none.
pub(super) const MIN_GAP_BYTES: usize = 12;

/// The header of a file.
pub(super) fn header() -> [u8; HEADER_BYTES] {
    let mut header = [0; HEADER_BYTES];
    header[..8].copy_from_slice(MAGIC);
    header[8..10].copy_from_slice(&FORMAT.to_be_bytes());
    let checksum = crc32fast::hash(&header[..10]);
    header[10..].copy_from_slice(&checksum.to_be_bytes());
    header
}

/// The version in a header, if it is intact.
pub(super) fn header_version(bytes: &[u8]) -> Option<u16> {
    let header = bytes.get(..HEADER_BYTES)?;
    let is_complete =
        header.starts_with(MAGIC) && header[10..] == crc32fast::hash(&header[..10]).to_be_bytes();
    is_complete.then(|| u16::from_be_bytes([header[8], header[9]]))
}

/// CRC-32 over format version, number and inverted bytes of a content, little-endian.
fn checksum(number: u64, inverted: &[u8]) -> [u8; 4] {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&FORMAT.to_be_bytes());
    hasher.update(&number.to_le_bytes());
    hasher.update(inverted);
    hasher.finalize().to_le_bytes()
}

/// The encoding of a content. Its bytes are inverted, so that consecutive zeros occur only where bytes are missing.
pub(super) fn encode_content(number: u64, record: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(HEAD_BYTES + record.len() + END.len());
    frame.extend(BEGIN);
    frame.extend((record.len() as u32).to_le_bytes());
    frame.extend(number.to_le_bytes());
    frame.extend([0; 4]);
    frame.extend(record.iter().map(|byte| !byte));
    let checksum = checksum(number, &frame[HEAD_BYTES..]);
    frame[HEAD_BYTES - 4..HEAD_BYTES].copy_from_slice(&checksum);
    frame.extend(END);
    frame
}

/// A decoded content, and the offset behind it.
#[derive(Debug)]
pub(super) struct Content {
    pub(super) number: u64,
    pub(super) record: Vec<u8>,
    pub(super) end: usize,
}

/// The number and the range of the inverted bytes of a complete content that begins at `begin`.
fn complete_content_at(bytes: &[u8], begin: usize) -> Option<(u64, std::ops::Range<usize>)> {
    let rest = bytes.get(begin..)?;
    let (head, rest) = rest.split_at_checked(HEAD_BYTES)?;
    let length = u32::from_le_bytes(head[4..8].try_into().ok()?) as usize;
    let number = u64::from_le_bytes(head[8..16].try_into().ok()?);
    let (inverted, rest) = rest.split_at_checked(length)?;
    let is_complete =
        head.starts_with(BEGIN) && rest.starts_with(END) && head[16..] == checksum(number, inverted);
    let start = begin + HEAD_BYTES;
    is_complete.then(|| (number, start..start + length))
}

/// How a file ends after its last complete content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    Complete,
    /// With an append that was not synced.
    Torn,
    /// With a damaged append that was synced.
    Damaged,
}

/// What was read of a file.
pub(super) struct Contents {
    pub(super) last: Option<Content>,
    /// Positions from which on bytes before the last content cannot be read.
    pub(super) damaged_positions: Vec<usize>,
    pub(super) end: End,
}

/// Decodes the contents of a file.
pub(super) fn contents(bytes: &[u8]) -> Contents {
    let (mut last, mut damaged_positions) = (None, Vec::new());
    let mut at = HEADER_BYTES.min(bytes.len());
    loop {
        while let Some((number, range)) = complete_content_at(bytes, at) {
            at = range.end + END.len();
            last = Some((number, range));
        }
        let begins = bytes[at..].windows(BEGIN.len()).enumerate().skip(1);
        let next = begins
            .filter(|(_, window)| window == BEGIN)
            .map(|(offset, _)| at + offset)
            .find(|begin| complete_content_at(bytes, *begin).is_some());
        match next {
            Some(begin) => {
                damaged_positions.push(at);
                at = begin;
            }
            None => break,
        }
    }
    let tail = &bytes[at..];
    let written = tail.iter().rposition(|byte| *byte != 0).map_or(0, |position| position + 1);
    let end = match &tail[..written] {
        [] => End::Complete,
        tail if is_fully_written(tail, END) => End::Damaged,
        _ => End::Torn,
    };
    let last = last.map(|(number, range)| Content {
        number,
        end: range.end + END.len(),
        record: bytes[range].iter().map(|byte| !byte).collect(),
    });
    Contents { last, damaged_positions, end }
}

/// Whether an append was written completely: it has no gap, and at most one byte of its end mark differs.
pub(crate) fn is_fully_written(written: &[u8], end_mark: &[u8]) -> bool {
    let end = &written[written.len().saturating_sub(end_mark.len())..];
    let agree = end.iter().zip(end_mark).filter(|(byte, end_mark)| byte == end_mark).count();
    end.len() == end_mark.len() && agree + 1 >= end_mark.len() && !has_gap(written)
}

/// Whether there are [`MIN_GAP_BYTES`] consecutive zeros.
fn has_gap(bytes: &[u8]) -> bool {
    let mut zeros = 0;
    bytes.iter().any(|byte| {
        zeros = if *byte == 0 { zeros + 1 } else { 0 };
        zeros >= MIN_GAP_BYTES
    })
}
