//! Verification and repair of the engine's journals before it opens them.
//!
//! The engine discards everything from the first position on that it cannot read, which is right for a batch that a loss
//! of power has torn; it stops at a batch whose checksum alone is wrong; and it trusts lengths. Each batch is synced before
//! the next one begins, so none follows a torn one, which is cut off here. Anything else that cannot be read was synced
//! once, and is damage.

use super::{DiskError, io_error_at};
use crate::log_files::is_fully_written;
use std::fs::{self, File, OpenOptions};
use std::io::{self, BufReader, Read, Seek, SeekFrom};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use xxhash_rust::xxh3::Xxh3;

const MAGIC: &[u8; 4] = b"FJL\x03";
const BATCH_START_TAG: u8 = 1;
const ITEM_TAG: u8 = 2;
const BATCH_END_TAG: u8 = 3;
const CLEAR_TAG: u8 = 4;
/// Tag, count of items, sequence number.
const BATCH_START_BYTES: usize = 13;
/// The engine reserves the highest bits.
const MAX_SEQUENCE_NUMBER: u64 = u64::MAX >> 2;
/// Length of a run of zeros after which the search ends: files are allocated ahead of their content.
const MAX_ZERO_RUN_BYTES: usize = 256 << 10;
const BUFFER_BYTES: usize = 64 << 10;
/// A torn tail longer than this is not searched for gaps.
const MAX_TORN_TAIL_BYTES: u64 = 32 << 20;

/// A journal that is damaged, and the offset from which on it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct DamagedJournal {
    pub(super) path: PathBuf,
    pub(super) byte: u64,
}

/// The journals of a directory with their numbers, ascending.
fn journals(folder: &Path) -> Result<Vec<(u64, PathBuf)>, DiskError> {
    let mut journals = Vec::new();
    for entry in fs::read_dir(folder).map_err(io_error_at(folder))? {
        let path = entry.map_err(io_error_at(folder))?.path();
        let name = path.file_name().and_then(|name| name.to_str()).and_then(|name| name.strip_suffix(".jnl"));
        if let Some(number) = name.and_then(|number| number.parse::<u64>().ok()) {
            journals.push((number, path));
        }
    }
    journals.sort();
    Ok(journals)
}

/// Syncs the newest journal with the content that is read now.
///
/// After a failed sync the page cache may have content marked as written that the disk lacks, which a later sync does not
/// write. So the same bytes are written again first. Older journals were synced completely before the newest one began.
pub(super) fn resync_newest(folder: &Path) -> Result<(), DiskError> {
    match journals(folder)?.pop() {
        Some((_, path)) => rewrite(&path).map_err(io_error_at(&path)),
        None => Ok(()),
    }
}

/// Writes a journal's content over itself and syncs it. Allocated zeros stay unwritten.
fn rewrite(path: &Path) -> io::Result<()> {
    let file = OpenOptions::new().read(true).write(true).open(path)?;
    let length = file.metadata()?.len();
    let (mut buffer, mut position) = (vec![0; BUFFER_BYTES], 0);
    while position < length {
        let part = (length - position).min(BUFFER_BYTES as u64) as usize;
        let chunk = &mut buffer[..part];
        file.read_exact_at(chunk, position)?;
        if chunk.iter().any(|byte| *byte != 0) {
            file.write_all_at(chunk, position)?;
        }
        position += part as u64;
    }
    file.sync_all()
}

/// Verifies the journals and cuts off a torn tail. Returns the first damaged journal, if any.
pub(super) fn repair_tail(folder: &Path) -> Result<Option<DamagedJournal>, DiskError> {
    let mut torn: Option<DamagedJournal> = None;
    for (_, path) in journals(folder)? {
        let found = examine(&path).map_err(io_error_at(&path))?;
        // A journal is followed by another only after all of it is synced.
        if let (Some(torn), true) = (&torn, found.has_batches) {
            return Ok(Some(torn.clone()));
        }
        match found.end {
            JournalEnd::Complete => {}
            JournalEnd::Damaged => return Ok(Some(DamagedJournal { path, byte: found.intact_bytes })),
            JournalEnd::Torn => torn = Some(DamagedJournal { path, byte: found.intact_bytes }),
        }
    }
    if let Some(torn) = torn {
        log::warn!("{}: a batch was not finished, cut at byte {}", torn.path.display(), torn.byte);
        let file = OpenOptions::new().write(true).open(&torn.path).map_err(io_error_at(&torn.path))?;
        file.set_len(torn.byte).and_then(|()| file.sync_all()).map_err(io_error_at(&torn.path))?;
    }
    Ok(None)
}

/// How a journal ends behind its intact batches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum JournalEnd {
    Complete,
    Torn,
    Damaged,
}

struct JournalExamination {
    has_batches: bool,
    /// Offset behind the last of the intact batches at the beginning.
    intact_bytes: u64,
    end: JournalEnd,
}

fn examine(path: &Path) -> io::Result<JournalExamination> {
    let file = File::open(path)?;
    let length = file.metadata()?.len();
    let mut reader = Reader { inner: BufReader::with_capacity(BUFFER_BYTES, file), at: 0, length };
    let (mut intact_bytes, mut number) = (0, 0);
    while let Some(next) = reader.batch()? {
        // Sequence numbers are not covered by the checksum. Only their order matters.
        if next < number || next > MAX_SEQUENCE_NUMBER {
            return Ok(JournalExamination { has_batches: true, intact_bytes, end: JournalEnd::Damaged });
        }
        (intact_bytes, number) = (reader.at, next);
    }
    let end = reader.end_after(intact_bytes)?;
    Ok(JournalExamination { has_batches: intact_bytes > 0, intact_bytes, end })
}

struct Reader {
    inner: BufReader<File>,
    at: u64,
    length: u64,
}

impl Reader {
    fn seek(&mut self, position: u64) -> io::Result<()> {
        self.inner.seek(SeekFrom::Start(position))?;
        self.at = position;
        Ok(())
    }

    /// The next bytes; none if the file ends before.
    fn take<const N: usize>(&mut self) -> io::Result<Option<[u8; N]>> {
        if self.length - self.at < N as u64 {
            return Ok(None);
        }
        let mut bytes = [0; N];
        self.inner.read_exact(&mut bytes)?;
        self.at += N as u64;
        Ok(Some(bytes))
    }

    /// Hashes the next bytes; false if the file ends before.
    fn hash(&mut self, hasher: &mut Xxh3, mut count: u64) -> io::Result<bool> {
        if self.length - self.at < count {
            return Ok(false);
        }
        self.at += count;
        let mut buffer = [0; 4096];
        while count > 0 {
            let part = count.min(buffer.len() as u64) as usize;
            self.inner.read_exact(&mut buffer[..part])?;
            hasher.update(&buffer[..part]);
            count -= part as u64;
        }
        Ok(true)
    }

    /// Reads a batch and returns its sequence number; `None` if there is no intact one here.
    fn batch(&mut self) -> io::Result<Option<u64>> {
        let Some(start) = self.take::<BATCH_START_BYTES>()? else { return Ok(None) };
        let [BATCH_START_TAG, c0, c1, c2, c3, number @ ..] = start else { return Ok(None) };
        let mut hasher = Xxh3::new();
        for _ in 0..u32::from_le_bytes([c0, c1, c2, c3]) {
            if !self.entry(&mut hasher)? {
                return Ok(None);
            }
        }
        let Some([BATCH_END_TAG, checksum @ .., m0, m1, m2, m3]) = self.take::<13>()? else {
            return Ok(None);
        };
        let is_complete = [m0, m1, m2, m3] == *MAGIC && checksum == hasher.digest().to_le_bytes();
        Ok(is_complete.then(|| u64::from_le_bytes(number)))
    }

    /// Reads an item or a clear of a batch; false if there is none.
    fn entry(&mut self, hasher: &mut Xxh3) -> io::Result<bool> {
        let Some(tag) = self.take::<1>()? else { return Ok(false) };
        hasher.update(&tag);
        match tag {
            [CLEAR_TAG] => self.hash(hasher, 8),
            [ITEM_TAG] => {
                // Type, compression, keyspace, lengths of the key, of the value, and of the value on disk.
                let Some(head) = self.take::<20>()? else { return Ok(false) };
                hasher.update(&head);
                let key = u64::from(u16::from_le_bytes([head[10], head[11]]));
                let value = u64::from(u32::from_le_bytes([head[16], head[17], head[18], head[19]]));
                self.hash(hasher, key + value)
            }
            _ => Ok(false),
        }
    }

    /// How the journal ends behind the intact batches: another batch, or the end of one, was synced.
    fn end_after(&mut self, intact_bytes: u64) -> io::Result<JournalEnd> {
        if intact_bytes == self.length {
            return Ok(JournalEnd::Complete);
        }
        self.seek(intact_bytes)?;
        let (mut buffer, mut zeros) = (vec![0; BUFFER_BYTES], 0);
        let (mut position, mut written) = (intact_bytes, intact_bytes);
        while position < self.length && zeros < MAX_ZERO_RUN_BYTES {
            // Each chunk overlaps the next one by a batch start and the tag behind it.
            let part = (self.length - position).min(BUFFER_BYTES as u64) as usize;
            self.seek(position)?;
            self.inner.read_exact(&mut buffer[..part])?;
            let chunk = &buffer[..part];
            match chunk.iter().rposition(|byte| *byte != 0) {
                Some(last) => {
                    written = position + last as u64 + 1;
                    zeros = part - 1 - last;
                }
                None => zeros += part,
            }
            let is_start = |window: &[u8]| {
                window[0] == BATCH_START_TAG && matches!(window[BATCH_START_BYTES], ITEM_TAG | CLEAR_TAG)
            };
            let starts: Vec<u64> = chunk
                .windows(BATCH_START_BYTES + 1)
                .enumerate()
                .filter(|(_, window)| is_start(window))
                .map(|(offset, _)| position + offset as u64)
                .filter(|start| *start > intact_bytes)
                .collect();
            for start in starts {
                self.seek(start)?;
                if self.batch()?.is_some() {
                    return Ok(JournalEnd::Damaged);
                }
            }
            position += (part.saturating_sub(BATCH_START_BYTES)).max(1) as u64;
        }
        match written - intact_bytes {
            0 => Ok(JournalEnd::Complete),
            length if length > MAX_TORN_TAIL_BYTES => Ok(JournalEnd::Torn),
            length => {
                self.seek(intact_bytes)?;
                let mut tail = vec![0; length as usize];
                self.inner.read_exact(&mut tail)?;
                Ok(if is_fully_written(&tail, MAGIC) { JournalEnd::Damaged } else { JournalEnd::Torn })
            }
        }
    }
}
