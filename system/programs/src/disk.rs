//! Records on disk, written by a thread of their own and awaited from the program's one loop.

use crate::start::{StartError, drawn};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use tokio::sync::oneshot;
use turn_store::{Disk, Space, Write, WriteFailed, Writer};

const RECORDS: Space = Space { name: "records", memtable_bytes: 1 << 20 };

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
    disk: Arc<Disk>,
    writer: Writer,
    unsynced: Cell<usize>,
}

impl From<turn_store::DiskError> for StartError {
    fn from(e: turn_store::DiskError) -> Self {
        StartError::Disk(e.to_string())
    }
}

/// Reads a record.
pub fn read<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, StartError> {
    postcard::from_bytes(bytes).map_err(|e| StartError::Disk(format!("a record that cannot be read: {e}")))
}

impl Durable {
    /// Over an open disk.
    pub fn over(disk: Arc<Disk>) -> Result<Self, StartError> {
        let writer = Writer::start(disk.clone())
            .map_err(|source| StartError::System { what: "the writer's thread".to_owned(), source })?;
        Ok(Self { disk, writer, unsynced: Cell::new(0) })
    }

    /// Opens a folder of plain records and reads them.
    pub fn open(folder: &Path) -> Result<(Self, BTreeMap<String, Vec<u8>>), StartError> {
        let disk = Arc::new(Disk::open(folder, &[RECORDS], drawn)?);
        let mut records = BTreeMap::new();
        let damages = disk.scan(RECORDS.name, |key, value| {
            records.insert(String::from_utf8_lossy(key).into_owned(), value.to_vec());
            Ok(())
        })?;
        // A promise that cannot be read is as good as forgotten: such a disk counts as empty, and the damage is kept.
        disk.set_aside(&damages, &[])?;
        Ok((Self::over(disk)?, records))
    }

    /// The disk.
    pub fn disk(&self) -> &Disk {
        &self.disk
    }

    /// Puts a record; it is synced, with all earlier writes, when this returns.
    pub async fn put<T: Serialize>(&self, key: &str, record: &T) -> Result<(), WriteFailed> {
        let bytes = postcard::to_allocvec(record).map_err(|e| WriteFailed(e.to_string()))?;
        self.write(vec![Write::put(RECORDS.name, key.as_bytes().to_vec(), bytes)]).await
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
