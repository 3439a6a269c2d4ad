//! The encoding of log files: their header, the contents in them, and how they end.

/// Length of a file's header: magic, format version, checksum.
const HEADER_BYTES: usize = 14;
/// Mark at the beginning of a content.
const BEGIN: &[u8; 4] = b"\xf1RB\xf2";
/// Mark at the end of a content.
const END: &[u8; 4] = b"\xf3RE\xf4";
/// Length of a content's head: begin mark, length, number, checksum.
pub(crate) const HEAD_BYTES: usize = 20;
/// Number of consecutive zero bytes that are a gap: written content has none.
pub(crate) const MIN_GAP_BYTES: usize = 12;

/// What distinguishes the files of one log from those of another.
#[derive(Debug)]
pub(crate) struct FileFormat {
    /// First bytes of a file.
    pub(crate) magic: &'static [u8; 8],
    /// Version of the format.
    pub(crate) version: u16,
    /// What precedes the number in a file's name.
    pub(crate) file_prefix: &'static str,
}

impl FileFormat {
    /// The header of a file.
    pub(crate) fn header(&self) -> [u8; HEADER_BYTES] {
        let mut header = [0; HEADER_BYTES];
        header[..8].copy_from_slice(self.magic);
        header[8..10].copy_from_slice(&self.version.to_be_bytes());
        let checksum = crc32fast::hash(&header[..10]);
        header[10..].copy_from_slice(&checksum.to_be_bytes());
        header
    }

    /// The version in a header, if it is intact.
    pub(crate) fn header_version(&self, bytes: &[u8]) -> Option<u16> {
        let header = bytes.get(..HEADER_BYTES)?;
        let is_complete =
            header.starts_with(self.magic) && header[10..] == crc32fast::hash(&header[..10]).to_be_bytes();
        is_complete.then(|| u16::from_be_bytes([header[8], header[9]]))
    }

    /// CRC-32 over format version, number and inverted bytes of a content, little-endian.
    fn checksum(&self, number: u64, inverted: &[u8]) -> [u8; 4] {
        let mut hasher = crc32fast::Hasher::new();
        hasher.update(&self.version.to_be_bytes());
        hasher.update(&number.to_le_bytes());
        hasher.update(inverted);
        hasher.finalize().to_le_bytes()
    }

    /// The encoding of a content. Its bytes are inverted, so that consecutive zeros occur only where bytes are missing.
    pub(crate) fn encode_content(&self, number: u64, record: &[u8]) -> Vec<u8> {
        let mut frame = Vec::with_capacity(HEAD_BYTES + record.len() + END.len());
        frame.extend(BEGIN);
        frame.extend((record.len() as u32).to_le_bytes());
        frame.extend(number.to_le_bytes());
        frame.extend([0; 4]);
        frame.extend(record.iter().map(|byte| !byte));
        let checksum = self.checksum(number, &frame[HEAD_BYTES..]);
        frame[HEAD_BYTES - 4..HEAD_BYTES].copy_from_slice(&checksum);
        frame.extend(END);
        frame
    }

    /// The complete content that begins at `begin`.
    fn complete_content_at(&self, bytes: &[u8], begin: usize) -> Option<Content> {
        let rest = bytes.get(begin..)?;
        let (head, rest) = rest.split_at_checked(HEAD_BYTES)?;
        let length = u32::from_le_bytes(head[4..8].try_into().ok()?) as usize;
        let number = u64::from_le_bytes(head[8..16].try_into().ok()?);
        let (inverted, rest) = rest.split_at_checked(length)?;
        let is_complete =
            head.starts_with(BEGIN) && rest.starts_with(END) && head[16..] == self.checksum(number, inverted);
        let start = begin + HEAD_BYTES;
        is_complete.then(|| Content { number, inverted: start..start + length })
    }
}

/// A complete content of a file.
#[derive(Debug)]
pub(crate) struct Content {
    /// Its number.
    pub(crate) number: u64,
    /// Range of its inverted bytes in the file.
    inverted: std::ops::Range<usize>,
}

impl Content {
    /// The offset behind it.
    pub(crate) fn end(&self) -> usize {
        self.inverted.end + END.len()
    }

    /// The record that was encoded.
    pub(crate) fn decode(&self, bytes: &[u8]) -> Vec<u8> {
        bytes[self.inverted.clone()].iter().map(|byte| !byte).collect()
    }
}

/// How a file ends after its last complete content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    Complete,
    /// With an append that was not synced.
    Torn,
    /// With a damaged append that was synced.
    Damaged,
}

/// What was read of a file.
pub(crate) struct Contents {
    /// The complete contents, in the file's order.
    pub(crate) complete: Vec<Content>,
    /// Positions from which on bytes before the last content cannot be read.
    pub(crate) damaged_positions: Vec<usize>,
    /// How the file ends.
    pub(crate) end: End,
}

/// Finds the contents of a file.
pub(crate) fn contents(format: &FileFormat, bytes: &[u8]) -> Contents {
    let (mut complete, mut damaged_positions) = (Vec::new(), Vec::new());
    let mut at = HEADER_BYTES.min(bytes.len());
    loop {
        while let Some(content) = format.complete_content_at(bytes, at) {
            at = content.end();
            complete.push(content);
        }
        let begins = bytes[at..].windows(BEGIN.len()).enumerate().skip(1);
        let next = begins
            .filter(|(_, window)| window == BEGIN)
            .map(|(offset, _)| at + offset)
            .find(|begin| format.complete_content_at(bytes, *begin).is_some());
        match next {
            Some(begin) => {
                damaged_positions.push(at);
                at = begin;
            }
            None => break,
        }
    }
    Contents { complete, damaged_positions, end: end_of(&bytes[at..]) }
}

/// What the bytes after the last complete content are.
fn end_of(tail: &[u8]) -> End {
    let written = tail.iter().rposition(|byte| *byte != 0).map_or(0, |position| position + 1);
    match &tail[..written] {
        [] => End::Complete,
        // The sector in which the append begins was not written.
        [0, ..] => End::Torn,
        tail if is_fully_written(tail, END) => End::Damaged,
        _ => End::Torn,
    }
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
