//! Records in named keyspaces on fjall, each value framed with a format version and a checksum.

mod directory;
mod error;
mod frame;
mod journal;
mod manifest;
mod record;
#[cfg(test)]
mod tests;

pub use directory::OpenedDisk;
pub use error::DiskError;
pub(crate) use error::io_error_at;
pub use record::{DamageReason, DamagedRecord, KeyspaceConfig, Write};

use fjall::{Database, Keyspace, PersistMode, UserKey};
use frame::{Fault, frame, unframe};
use record::check_key;
use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};

const QUARANTINE: &str = "aside";

/// A directory of records.
pub struct Disk {
    db: Database,
    keyspaces: BTreeMap<&'static str, Keyspace>,
    number: u64,
}

impl std::fmt::Debug for Disk {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Disk").field("number", &self.number).finish_non_exhaustive()
    }
}

impl Disk {
    /// The random number that identifies this disk, chosen when the directory was created.
    pub fn number(&self) -> u64 {
        self.number
    }

    fn keyspace(&self, name: &'static str) -> Result<&Keyspace, DiskError> {
        self.keyspaces.get(name).ok_or(DiskError::UnknownKeyspace(name))
    }

    /// The value of a record, verified.
    ///
    /// # Errors
    ///
    /// The keyspace is unknown, the key is too long, or the record cannot be read, is damaged or of an unknown version.
    pub fn get(&self, keyspace: &'static str, key: &[u8]) -> Result<Option<Vec<u8>>, DiskError> {
        check_key(key)?;
        match self.keyspace(keyspace)?.get(key)? {
            None => Ok(None),
            Some(framed) => unframe(key, &framed)
                .map(|value| Some(value.to_vec()))
                .map_err(|fault| fault.into_error(keyspace, key)),
        }
    }

    /// Visits the records of a keyspace in the order of their keys. Returns those that are damaged, or that `visit` refuses.
    ///
    /// # Errors
    ///
    /// The keyspace is unknown or cannot be read, or a record is of an unknown version.
    pub fn scan<E: std::error::Error>(
        &self,
        keyspace: &'static str,
        mut visit: impl FnMut(&[u8], &[u8]) -> Result<(), E>,
    ) -> Result<Vec<DamagedRecord>, DiskError> {
        let mut damaged = Vec::new();
        let records = self.keyspace(keyspace)?;
        let mut check = |key: &[u8], framed: Result<&[u8], fjall::Error>| {
            let reason = match framed.map(|framed| unframe(key, framed)) {
                Ok(Ok(value)) => {
                    visit(key, value).err().map(|error| DamageReason::Content(error.to_string()))
                }
                Ok(Err(Fault::Version(found))) => return Err(Fault::Version(found).into_error(keyspace, key)),
                Ok(Err(Fault::Damaged(reason))) => Some(reason),
                Err(error) => Some(DamageReason::Unreadable(error.to_string())),
            };
            damaged.extend(reason.map(|reason| DamagedRecord { keyspace, key: key.to_vec(), reason }));
            Ok(())
        };
        let mut last: Option<UserKey> = None;
        for guard in records.iter() {
            match guard.into_inner() {
                Ok((key, framed)) => {
                    check(&key, Ok(&framed))?;
                    last = Some(key);
                }
                Err(_) => {
                    // A value cannot be read: from here on each value is read by its key.
                    let unreadable =
                        |error: fjall::Error| DiskError::Unreadable { keyspace, what: error.to_string() };
                    for guard in records.range::<UserKey, _>((last.map_or(Unbounded, Excluded), Unbounded)) {
                        let key = guard.key().map_err(unreadable)?;
                        match records.get(&key) {
                            Ok(Some(framed)) => check(&key, Ok(&framed))?,
                            Ok(None) => {}
                            Err(error) => check(&key, Err(error))?,
                        }
                    }
                    break;
                }
            }
        }
        Ok(damaged)
    }

    /// Moves damaged records unchanged to the quarantine, in one synced batch with other writes.
    ///
    /// # Errors
    ///
    /// A keyspace is unknown, a key is too long, or the batch was not synced.
    pub fn quarantine(&self, damaged: &[DamagedRecord], writes: &[Write]) -> Result<(), DiskError> {
        let quarantine = self.keyspace(QUARANTINE)?;
        let mut batch = self.db.batch().durability(Some(PersistMode::SyncData));
        for damage in damaged {
            log::error!("damaged record in {}: {}", damage.keyspace, damage.reason);
            let keyspace = self.keyspace(damage.keyspace)?;
            // A record that cannot be read at all stays until it is replaced.
            if let Ok(Some(raw)) = keyspace.get(&damage.key) {
                batch.insert(quarantine, [damage.keyspace.as_bytes(), b"/", &damage.key].concat(), raw);
                batch.remove(keyspace, damage.key.as_slice());
            }
        }
        self.add(&mut batch, writes)?;
        Ok(batch.commit()?)
    }

    /// Applies all writes or none, and syncs them. Of two writes of one key the later counts.
    ///
    /// # Errors
    ///
    /// A keyspace is unknown, a key is too long, or the batch was not synced: it may or may not be on the disk then.
    pub fn write(&self, writes: &[Write]) -> Result<(), DiskError> {
        let mut batch = self.db.batch().durability(Some(PersistMode::SyncData));
        self.add(&mut batch, writes)?;
        Ok(batch.commit()?)
    }

    fn add(&self, batch: &mut fjall::OwnedWriteBatch, writes: &[Write]) -> Result<(), DiskError> {
        let mut last = BTreeMap::new();
        for write in writes {
            check_key(&write.key)?;
            last.insert((write.keyspace, write.key.as_slice()), write.value.as_ref());
        }
        for ((keyspace, key), value) in last {
            match value {
                Some(value) => batch.insert(self.keyspace(keyspace)?, key, frame(key, value)),
                None => batch.remove(self.keyspace(keyspace)?, key),
            }
        }
        Ok(())
    }

    /// Syncs all earlier writes.
    ///
    /// # Errors
    ///
    /// They were not synced.
    pub fn sync(&self) -> Result<(), DiskError> {
        Ok(self.db.persist(PersistMode::SyncData)?)
    }

    /// Bytes on disk of the directory.
    ///
    /// # Errors
    ///
    /// The engine cannot tell its size.
    pub fn bytes(&self) -> Result<u64, DiskError> {
        Ok(self.db.disk_space()?)
    }

    /// Bytes on disk of the tables. The remaining ones are in journals, whose files are allocated ahead of their content.
    pub fn table_bytes(&self) -> u64 {
        self.keyspaces.values().map(Keyspace::disk_space).sum()
    }
}
