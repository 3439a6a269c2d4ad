//! The write-ahead journal `messages.wal`: which messages were accepted, and the progress of each.
//!
//! It lies in a folder that outlives the process. Its records are framed and checksummed by [`super::wal`]; the order
//! of the variants of `Record` and of all fields in them is the format on disk. `write` suffices, without a sync:
//! the folder is lost only with the machine, and then its messages are submitted to other senders.
pub use super::wal::Damage;
use super::wal::{self, HEADER, frame};
use bytes::Bytes;
use message_sender::Class;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// Maximum length of a record: a message's body has at most 64 KiB, its headers are bounded by the server.
const MAX_RECORD_BYTES: usize = 256 * 1024;
/// Bytes of a message besides its body and names: numbers, framing, its recorded attempts, its class.
const MESSAGE_OVERHEAD_BYTES: u64 = 160;
/// The file is compacted when it exceeds this fraction (1/n) of the disk limit ...
const COMPACTION_DISK_DIVISOR: u64 = 3;
/// ... and outstanding messages may fill this fraction, so that the old and the new file fit together: when the new
/// one is written, the old one is at most twice as long.
const OUTSTANDING_DISK_DIVISOR: u64 = 4;
/// Maximum capacity of the reused write buffer: usual records are far shorter, and a single long one should not stay
/// in memory.
const MAX_BUFFER_BYTES: usize = 8 * 1024;
/// Disk space left unused: files occupy whole blocks.
const DISK_SLACK_BYTES: u64 = 16 * 1024;

/// The final outcome of a message that was not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FinalOutcome {
    /// Whether it executed is unknown.
    Failed,
    /// The client may safely submit it again, perhaps after this many milliseconds.
    Returned(Option<u64>),
}

/// An attempt that was started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// When its call began: wall clock, microseconds.
    pub at: u64,
    /// The zone that it was sent to.
    pub zone: String,
}

/// A message as submitted by a client.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmittedMessage {
    pub id: String,
    pub class: String,
    pub tenant: Option<String>,
    pub key: Option<String>,
    pub idempotency_key: Option<String>,
    pub destination: u64,
    pub body: Bytes,
}

/// An accepted message whose final outcome, or the notice of it, is still due.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OutstandingMessage {
    pub message: SubmittedMessage,
    /// Wall clock, microseconds: it stays valid across processes.
    pub deadline: u64,
    pub attempts: u32,
    /// The first attempt that may have executed.
    pub first_execution: Option<Attempt>,
    /// The attempt in flight, or in flight when the process stopped.
    pub out: Option<Attempt>,
    /// Set once it is complete and only the notice is due.
    pub end: Option<FinalOutcome>,
    /// Its class as of acceptance, in a field of the record; none in journals of versions that did not store it.
    #[serde(skip)]
    pub class: Option<Class>,
}

impl OutstandingMessage {
    /// A message without attempts.
    pub fn new(message: SubmittedMessage, deadline: u64, class: Class) -> Self {
        Self {
            message,
            deadline,
            attempts: 0,
            first_execution: None,
            out: None,
            end: None,
            class: Some(class),
        }
    }

    /// Maximum size in a compacted journal.
    fn size_bytes(&self) -> u64 {
        let SubmittedMessage { id, class, tenant, key, idempotency_key, body, .. } = &self.message;
        let names = [Some(id), Some(class), tenant.as_ref(), key.as_ref(), idempotency_key.as_ref()];
        let names = names.into_iter().flatten().map(String::len).sum::<usize>();
        (body.len() + names) as u64 + MESSAGE_OVERHEAD_BYTES
    }
}

#[derive(Serialize, Deserialize)]
enum Record {
    Accepted(u32, Box<OutstandingMessage>),
    AttemptStarted(u32, Attempt),
    AttemptCompleted {
        number: u32,
        may_have_executed: bool,
    },
    FinalOutcomeRecorded(u32, FinalOutcome),
    Completed(u32),
    /// Operators took the endpoint with this id out of service.
    Excluded(String),
    /// Operators returned it to service.
    Included(String),
    /// A message accepted, with its class as of then.
    AcceptedWithClass(u32, Class, Box<OutstandingMessage>),
}

#[derive(Debug, thiserror::Error)]
#[error("journal {path}: {action}: {source}")]
pub struct JournalError {
    path: PathBuf,
    action: &'static str,
    source: io::Error,
}

/// The open journal, with the state that results from its records.
pub struct Journal {
    path: PathBuf,
    file: File,
    length: u64,
    compact_at: u64,
    disk_limit: u64,
    outstanding: BTreeMap<u32, OutstandingMessage>,
    outstanding_bytes: u64,
    /// Ids of the endpoints that operators took out of service.
    excluded: BTreeSet<String>,
    next_number: u32,
    /// Reused for the next record.
    buffer: Vec<u8>,
}

/// Size of the record of an excluded endpoint.
fn excluded_size_bytes(id: &str) -> u64 {
    (id.len() + 2 * HEADER) as u64
}

fn acceptance_record(number: u32, entry: OutstandingMessage) -> Record {
    match entry.class {
        Some(class) => Record::AcceptedWithClass(number, class, Box::new(entry)),
        None => Record::Accepted(number, Box::new(entry)),
    }
}

/// The record of a message in a compacted journal.
fn acceptance_frame(number: u32, entry: &OutstandingMessage, buffer: Vec<u8>) -> io::Result<Vec<u8>> {
    frame(&acceptance_record(number, entry.clone()), buffer)
}

impl Journal {
    /// Opens or creates the journal in `folder`, and recovers its messages. `disk_limit` is in bytes. Damage is reported
    /// and never prevents a start: every intact record is recovered.
    ///
    /// # Errors
    /// The file cannot be opened, read or truncated.
    pub fn open(folder: &Path, disk_limit: u64) -> Result<(Self, Damage), JournalError> {
        let path = folder.join("messages.wal");
        let error = |action| {
            let path = path.clone();
            move |source| JournalError { path, action, source }
        };
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(&path);
        let mut file = file.map_err(error("opening"))?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes).map_err(error("reading"))?;
        let mut journal = Journal {
            path: path.clone(),
            file,
            length: 0,
            compact_at: disk_limit / COMPACTION_DISK_DIVISOR,
            disk_limit,
            outstanding: BTreeMap::new(),
            outstanding_bytes: 0,
            excluded: BTreeSet::new(),
            next_number: 0,
            buffer: Vec::new(),
        };
        let (valid_length, damage) = wal::read(&bytes, MAX_RECORD_BYTES, |record| journal.apply(record));
        journal.length = valid_length as u64;
        journal.file.set_len(journal.length).map_err(error("truncating a torn tail"))?;
        journal.file.seek(SeekFrom::End(0)).map_err(error("seeking"))?;
        // A compacted file that was never moved into place only takes up space.
        let _ = std::fs::remove_file(journal.compacted_path());
        Ok((journal, damage))
    }

    /// All outstanding messages, in the order of acceptance.
    pub fn outstanding(&self) -> impl Iterator<Item = (u32, &OutstandingMessage)> {
        self.outstanding.iter().map(|(number, entry)| (*number, entry))
    }

    /// Length of the journal in bytes.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// The outstanding message with this number.
    pub fn get(&self, number: u32) -> Option<&OutstandingMessage> {
        self.outstanding.get(&number)
    }

    /// Records a message as accepted, under a new number.
    ///
    /// # Errors
    /// The disk has no space for it, and it is not accepted.
    pub fn accept(&mut self, entry: OutstandingMessage) -> Result<u32, JournalError> {
        if self.outstanding_bytes + entry.size_bytes() > self.disk_limit / OUTSTANDING_DISK_DIVISOR {
            return Err(self.error("accepting a message", io::ErrorKind::StorageFull.into()));
        }
        let number = self.next_number;
        self.append(acceptance_record(number, entry))?;
        Ok(number)
    }

    /// Records that an attempt is about to start.
    ///
    /// # Errors
    /// The record was not written; its effect holds in this process.
    pub fn start_attempt(&mut self, number: u32, attempt: Attempt) -> Result<(), JournalError> {
        self.append(Record::AttemptStarted(number, attempt))
    }

    /// Records the outcome of the attempt in flight.
    ///
    /// # Errors
    /// The record was not written; its effect holds in this process.
    pub fn complete_attempt(&mut self, number: u32, may_have_executed: bool) -> Result<(), JournalError> {
        self.append(Record::AttemptCompleted { number, may_have_executed })
    }

    /// Records the final outcome of an undelivered message; its notice is due.
    ///
    /// # Errors
    /// The record was not written; its effect holds in this process.
    pub fn end(&mut self, number: u32, end: FinalOutcome) -> Result<(), JournalError> {
        self.append(Record::FinalOutcomeRecorded(number, end))
    }

    /// Records that a message is complete: delivered, withdrawn, or its notice acknowledged.
    ///
    /// # Errors
    /// The record was not written; its effect holds in this process.
    pub fn complete(&mut self, number: u32) -> Result<(), JournalError> {
        self.append(Record::Completed(number))
    }

    /// Records that operators took an endpoint out of service.
    ///
    /// # Errors
    /// The record was not written, and the endpoint stays in service.
    pub fn exclude(&mut self, id: &str) -> Result<(), JournalError> {
        if self.excluded.contains(id) {
            return Ok(());
        }
        if self.outstanding_bytes + excluded_size_bytes(id) > self.disk_limit / OUTSTANDING_DISK_DIVISOR {
            return Err(self.error("excluding an endpoint", io::ErrorKind::StorageFull.into()));
        }
        self.append(Record::Excluded(id.to_owned()))
    }

    /// Records that operators returned an endpoint to service.
    ///
    /// # Errors
    /// The record was not written, and the endpoint stays excluded.
    pub fn include(&mut self, id: &str) -> Result<(), JournalError> {
        if !self.excluded.contains(id) {
            return Ok(());
        }
        self.append(Record::Included(id.to_owned()))
    }

    /// Whether operators took the endpoint out of service.
    pub fn is_excluded(&self, id: &str) -> bool {
        self.excluded.contains(id)
    }

    /// Writes and applies a record. One that cannot be written is applied nevertheless, except for an acceptance or an
    /// operator's command, which is refused: this process continues with its state in memory, and the next compaction
    /// persists it.
    fn append(&mut self, record: Record) -> Result<(), JournalError> {
        // A file that cannot be compacted still leaves space for compaction: beyond that it accepts no more.
        let max_length = self.disk_limit
            - (self.disk_limit / OUTSTANDING_DISK_DIVISOR)
            - DISK_SLACK_BYTES.min(self.disk_limit / 8);
        let written = frame(&record, std::mem::take(&mut self.buffer)).and_then(|frame| {
            let written = self.write(&frame, max_length);
            if frame.capacity() <= MAX_BUFFER_BYTES {
                self.buffer = frame;
            }
            written
        });
        let refuses = !matches!(
            record,
            Record::AttemptStarted(..)
                | Record::AttemptCompleted { .. }
                | Record::FinalOutcomeRecorded(..)
                | Record::Completed(_)
        );
        let refused = written.is_err() && refuses;
        if !refused {
            self.apply(record);
        }
        if self.length > self.compact_at || written.is_err() {
            self.compact();
        }
        written.map_err(|e| self.error("writing", e))
    }

    /// Appends a framed record, if the file then has at most `max_length` bytes.
    fn write(&mut self, frame: &[u8], max_length: u64) -> io::Result<()> {
        if self.length + frame.len() as u64 > max_length {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let result = self.file.write_all(frame);
        if result.is_err() {
            // A partial record must not remain between complete ones.
            self.file.set_len(self.length)?;
            self.file.seek(SeekFrom::Start(self.length))?;
        }
        result.map(|()| self.length += frame.len() as u64)
    }

    fn apply(&mut self, record: Record) {
        match record {
            Record::Accepted(number, entry) => {
                self.next_number = self.next_number.max(number + 1);
                self.outstanding_bytes += entry.size_bytes();
                if let Some(before) = self.outstanding.insert(number, *entry) {
                    self.outstanding_bytes -= before.size_bytes();
                }
            }
            Record::AcceptedWithClass(number, class, mut entry) => {
                entry.class = Some(class);
                self.apply(Record::Accepted(number, entry));
            }
            Record::AttemptStarted(number, attempt) => {
                if let Some(entry) = self.outstanding.get_mut(&number) {
                    entry.attempts += 1;
                    entry.out = Some(attempt);
                }
            }
            Record::AttemptCompleted { number, may_have_executed } => {
                if let Some(entry) = self.outstanding.get_mut(&number) {
                    let out = entry.out.take();
                    if may_have_executed && entry.first_execution.is_none() {
                        entry.first_execution = out;
                    }
                }
            }
            Record::FinalOutcomeRecorded(number, end) => {
                if let Some(entry) = self.outstanding.get_mut(&number) {
                    entry.end = Some(end);
                    self.outstanding_bytes -= std::mem::take(&mut entry.message.body).len() as u64;
                }
            }
            Record::Completed(number) => {
                if let Some(entry) = self.outstanding.remove(&number) {
                    self.outstanding_bytes -= entry.size_bytes();
                }
            }
            Record::Excluded(id) => {
                let size = excluded_size_bytes(&id);
                if self.excluded.insert(id) {
                    self.outstanding_bytes += size;
                }
            }
            Record::Included(id) => {
                if self.excluded.remove(&id) {
                    self.outstanding_bytes -= excluded_size_bytes(&id);
                }
            }
        }
    }

    fn compacted_path(&self) -> PathBuf {
        self.path.with_extension("wal.new")
    }

    /// Writes the outstanding messages into a new file, and atomically replaces the old one by it.
    pub fn compact(&mut self) {
        match self.write_compacted() {
            Ok((file, length)) => {
                (self.file, self.length) = (file, length);
                self.compact_at = (self.disk_limit / COMPACTION_DISK_DIVISOR).max(2 * length);
            }
            Err(e) => {
                let _ = std::fs::remove_file(self.compacted_path());
                self.compact_at = self.length + self.disk_limit / 16;
                tracing::error!("journal: compaction failed, the old file remains in use: {e}");
            }
        }
    }

    fn write_compacted(&self) -> io::Result<(File, u64)> {
        let mut file = io::BufWriter::new(File::create(self.compacted_path())?);
        let mut length = 0;
        let mut write = |frame: Vec<u8>| {
            length += frame.len() as u64;
            file.write_all(&frame).map(|()| frame)
        };
        let mut buffer = Vec::new();
        for id in &self.excluded {
            buffer = write(frame(&Record::Excluded(id.clone()), buffer)?)?;
        }
        for (number, entry) in &self.outstanding {
            buffer = write(acceptance_frame(*number, entry, buffer)?)?;
        }
        let file = file.into_inner().map_err(io::IntoInnerError::into_error)?;
        std::fs::rename(self.compacted_path(), &self.path)?;
        Ok((file, length))
    }

    fn error(&self, action: &'static str, source: io::Error) -> JournalError {
        JournalError { path: self.path.clone(), action, source }
    }
}

#[cfg(test)]
mod tests;
