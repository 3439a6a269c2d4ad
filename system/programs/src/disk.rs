//! Records on disk, written by a thread of their own and awaited from the program's one loop.

use crate::start::StartError;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::cell::Cell;
use std::path::Path;
use std::sync::Arc;
use tokio::sync::oneshot;
use turn_store::{Disk, RecordLog, Write, WriteFailed, Writer};

/// A write that is waited for.
struct Unsynced<'a>(&'a Cell<usize>);

impl<'a> Unsynced<'a> {
    fn of(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for Unsynced<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Writes to a disk, to be awaited.
pub struct Durable {
    writer: Writer,
    unsynced: Cell<usize>,
}

impl From<turn_store::DiskError> for StartError {
    fn from(e: turn_store::DiskError) -> Self {
        StartError::Disk(e.to_string())
    }
}

/// Reads a record. One that is whole and cannot be read was written by another program.
pub fn read<T: DeserializeOwned>(place: &Path, bytes: &[u8]) -> Result<T, StartError> {
    match postcard::take_from_bytes(bytes) {
        Ok((record, [])) => Ok(record),
        Ok((_, rest)) => Err(unknown(place, &format!("{} bytes too many", rest.len()))),
        Err(e) => Err(unknown(place, &e.to_string())),
    }
}

fn unknown(place: &Path, what: &str) -> StartError {
    StartError::Disk(format!("{}: a record that this program does not know: {what}", place.display()))
}

impl Durable {
    /// Over an open disk.
    pub fn over(disk: Arc<Disk>) -> Result<Self, StartError> {
        Self::of(Writer::start(disk))
    }

    /// Over the log of a record.
    pub fn over_log(log: RecordLog) -> Result<Self, StartError> {
        Self::of(Writer::start_log(log))
    }

    fn of(writer: std::io::Result<Writer>) -> Result<Self, StartError> {
        let failed = |source| StartError::System { what: "the writer's thread".to_owned(), source };
        Ok(Self { writer: writer.map_err(failed)?, unsynced: Cell::new(0) })
    }

    /// Puts the record of a log; it is synced, with all earlier writes, when this returns.
    pub async fn put<T: Serialize>(&self, record: &T) -> Result<(), WriteFailed> {
        let bytes = postcard::to_allocvec(record).map_err(|e| WriteFailed(e.to_string()))?;
        self.write(vec![Write::put("record", Vec::new(), bytes)]).await
    }

    /// Writes these; they are synced, with all earlier writes, when this returns.
    pub async fn write(&self, writes: Vec<Write>) -> Result<(), WriteFailed> {
        let (done, waiting) = oneshot::channel();
        // Who asked may give up waiting: the count falls all the same.
        let _unsynced = Unsynced::of(&self.unsynced);
        self.writer.submit(writes, Box::new(move |result| drop(done.send(result))));
        waiting.await.unwrap_or_else(|_| Err(WriteFailed("the writer has ended".to_owned())))
    }

    /// Waits until all earlier writes are synced.
    pub async fn settled(&self) -> Result<(), WriteFailed> {
        match self.unsynced.get() {
            0 => Ok(()),
            _ => self.write(Vec::new()).await,
        }
    }

    /// Writes these with the next batch, or soon.
    pub fn write_lazily(&self, writes: Vec<Write>) {
        self.writer.submit_lazy(writes);
    }
}
