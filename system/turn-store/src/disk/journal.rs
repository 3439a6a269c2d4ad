//! A look through the engine's journals before it opens them.
//!
//! The engine drops all from the first place on that it cannot read, as is right for a batch that a loss of power has
//! torn; it ends where a batch is whole but for its checksum; and it trusts lengths. Each batch is synced before the
//! next begins, so a torn one has none after it: here it is cut off. All else that cannot be read was synced once.

use super::{DiskError, at};
use crate::record_log::lacks_nothing;
use std::fs::{self, File, OpenOptions};
use std::io::{self, BufReader, Read, Seek, SeekFrom};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use xxhash_rust::xxh3::Xxh3;

const MAGIC: &[u8; 4] = b"FJL\x03";
const START: u8 = 1;
const ITEM: u8 = 2;
const END: u8 = 3;
const CLEAR: u8 = 4;
/// Tag, count, number.
const START_BYTES: usize = 13;
/// The engine keeps the highest bit for itself.
const MOST_NUMBER: u64 = u64::MAX >> 2;
/// After so many zeros nothing more is looked for: files are made longer than what is written.
const ZEROS: usize = 256 << 10;
const BUFFER: usize = 64 << 10;
/// A torn end longer than this is not looked at for gaps.
const LONGEST_END: u64 = 32 << 20;

/// What is wrong with the journals of a folder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Broken {
    pub(super) path: PathBuf,
    pub(super) byte: u64,
}

/// The journals of a folder with their numbers, rising.
fn journals(folder: &Path) -> Result<Vec<(u64, PathBuf)>, DiskError> {
    let mut journals = Vec::new();
    for entry in fs::read_dir(folder).map_err(at(folder))? {
        let path = entry.map_err(at(folder))?.path();
        let name = path.file_name().and_then(|name| name.to_str()).and_then(|name| name.strip_suffix(".jnl"));
        if let Some(number) = name.and_then(|number| number.parse::<u64>().ok()) {
            journals.push((number, path));
        }
    }
    journals.sort();
    Ok(journals)
}

/// Have the newest journal's content synced as it is read now.
///
/// After a failed sync the system may hold content as written that the disk lacks, and a later sync does not write it. So
/// the same bytes are written again first, in place. Older journals were synced whole before the newest was begun.
pub(super) fn sync_newest(folder: &Path) -> Result<(), DiskError> {
    match journals(folder)?.pop() {
        Some((_, path)) => write_again(&path).map_err(at(&path)),
        None => Ok(()),
    }
}

/// Writes a journal's content over itself and syncs it. The zeros that the file was made longer by stay unwritten.
fn write_again(path: &Path) -> io::Result<()> {
    let file = OpenOptions::new().read(true).write(true).open(path)?;
    let length = file.metadata()?.len();
    let (mut buffer, mut place) = (vec![0; BUFFER], 0);
    while place < length {
        let part = (length - place).min(BUFFER as u64) as usize;
        let piece = &mut buffer[..part];
        file.read_exact_at(piece, place)?;
        if piece.iter().any(|byte| *byte != 0) {
            file.write_all_at(piece, place)?;
        }
        place += part as u64;
    }
    file.sync_all()
}

/// Look through the journals, cut off a torn end, and tell what was damaged.
pub(super) fn look_through(folder: &Path) -> Result<Option<Broken>, DiskError> {
    let mut torn: Option<Broken> = None;
    for (_, path) in journals(folder)? {
        let found = examine(&path).map_err(at(&path))?;
        // A journal is followed by another only when all of it is synced.
        if let (Some(torn), true) = (&torn, found.holds_any) {
            return Ok(Some(torn.clone()));
        }
        match found.end {
            JournalEnd::Complete => {}
            JournalEnd::Damaged => return Ok(Some(Broken { path, byte: found.end_byte })),
            JournalEnd::Torn => torn = Some(Broken { path, byte: found.end_byte }),
        }
    }
    if let Some(torn) = torn {
        log::warn!("{}: a batch was not finished, cut at byte {}", torn.path.display(), torn.byte);
        let file = OpenOptions::new().write(true).open(&torn.path).map_err(at(&torn.path))?;
        file.set_len(torn.byte).and_then(|()| file.sync_all()).map_err(at(&torn.path))?;
    }
    Ok(None)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum JournalEnd {
    Complete,
    Torn,
    Damaged,
}

struct JournalExamination {
    holds_any: bool,
    /// After the last batch in a row that is whole.
    end_byte: u64,
    end: JournalEnd,
}

fn examine(path: &Path) -> io::Result<JournalExamination> {
    let file = File::open(path)?;
    let length = file.metadata()?.len();
    let mut reader = Reader { inner: BufReader::with_capacity(BUFFER, file), at: 0, length };
    let (mut end_byte, mut number) = (0, 0);
    while let Some(next) = reader.batch()? {
        // Numbers are outside the checksum. In their order, what they are does not matter.
        if next < number || next > MOST_NUMBER {
            return Ok(JournalExamination { holds_any: true, end_byte, end: JournalEnd::Damaged });
        }
        (end_byte, number) = (reader.at, next);
    }
    let end = reader.end_after(end_byte)?;
    Ok(JournalExamination { holds_any: end_byte > 0, end_byte, end })
}

struct Reader {
    inner: BufReader<File>,
    at: u64,
    length: u64,
}

impl Reader {
    fn seek(&mut self, place: u64) -> io::Result<()> {
        self.inner.seek(SeekFrom::Start(place))?;
        self.at = place;
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

    /// Passes over a batch and tells its number; none if there is no whole one here.
    fn batch(&mut self) -> io::Result<Option<u64>> {
        let Some(start) = self.take::<START_BYTES>()? else { return Ok(None) };
        let [START, c0, c1, c2, c3, number @ ..] = start else { return Ok(None) };
        let mut hasher = Xxh3::new();
        for _ in 0..u32::from_le_bytes([c0, c1, c2, c3]) {
            if !self.entry(&mut hasher)? {
                return Ok(None);
            }
        }
        let Some([END, checksum @ .., m0, m1, m2, m3]) = self.take::<13>()? else { return Ok(None) };
        let whole = [m0, m1, m2, m3] == *MAGIC && checksum == hasher.digest().to_le_bytes();
        Ok(whole.then(|| u64::from_le_bytes(number)))
    }

    fn entry(&mut self, hasher: &mut Xxh3) -> io::Result<bool> {
        let Some(tag) = self.take::<1>()? else { return Ok(false) };
        hasher.update(&tag);
        match tag {
            [CLEAR] => self.hash(hasher, 8),
            [ITEM] => {
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

    /// What follows the last whole batch: a batch further on, or the end of one, was synced.
    fn end_after(&mut self, begin: u64) -> io::Result<JournalEnd> {
        if begin == self.length {
            return Ok(JournalEnd::Complete);
        }
        self.seek(begin)?;
        let (mut buffer, mut zeros) = (vec![0; BUFFER], 0);
        let (mut place, mut written) = (begin, begin);
        while place < self.length && zeros < ZEROS {
            // Each piece laps over the next one by a start and the tag behind it.
            let part = (self.length - place).min(BUFFER as u64) as usize;
            self.seek(place)?;
            self.inner.read_exact(&mut buffer[..part])?;
            let piece = &buffer[..part];
            match piece.iter().rposition(|byte| *byte != 0) {
                Some(last) => {
                    written = place + last as u64 + 1;
                    zeros = part - 1 - last;
                }
                None => zeros += part,
            }
            let is_start = |window: &[u8]| window[0] == START && matches!(window[START_BYTES], ITEM | CLEAR);
            let starts: Vec<u64> = piece
                .windows(START_BYTES + 1)
                .enumerate()
                .filter(|(_, window)| is_start(window))
                .map(|(offset, _)| place + offset as u64)
                .filter(|start| *start > begin)
                .collect();
            for start in starts {
                self.seek(start)?;
                if self.batch()?.is_some() {
                    return Ok(JournalEnd::Damaged);
                }
            }
            place += (part.saturating_sub(START_BYTES)).max(1) as u64;
        }
        match written - begin {
            0 => Ok(JournalEnd::Complete),
            long if long > LONGEST_END => Ok(JournalEnd::Torn),
            long => {
                self.seek(begin)?;
                let mut tail = vec![0; long as usize];
                self.inner.read_exact(&mut tail)?;
                Ok(if lacks_nothing(&tail, MAGIC) { JournalEnd::Damaged } else { JournalEnd::Torn })
            }
        }
    }
}
