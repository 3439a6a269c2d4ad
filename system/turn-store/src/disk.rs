//! Records in named keyspaces on fjall, each value framed with a format version and a checksum.

mod directory;
mod error;
mod frame;
mod journal;
mod manifest;
mod record;
#[cfg(test)]
mod tests;

pub use directory::Replaced;
pub use error::DiskError;
pub(crate) use error::at;
pub use record::{Damage, Space, Write};

use fjall::{Database, Keyspace, PersistMode, UserKey};
use frame::{Fault, frame, unframe};
use record::check_key;
use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};

const ASIDE: &str = "aside";

/// A folder of records.
pub struct Disk {
    db: Database,
    spaces: BTreeMap<&'static str, Keyspace>,
    number: u64,
}

impl std::fmt::Debug for Disk {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Disk").field("number", &self.number).finish_non_exhaustive()
    }
}

impl Disk {
    /// The number that was drawn when the folder was made.
    pub fn number(&self) -> u64 {
        self.number
    }

    fn space(&self, name: &'static str) -> Result<&Keyspace, DiskError> {
        self.spaces.get(name).ok_or(DiskError::NoSpace(name))
    }

    /// The value of a record, checked.
    pub fn get(&self, space: &'static str, key: &[u8]) -> Result<Option<Vec<u8>>, DiskError> {
        check_key(key)?;
        match self.space(space)?.get(key)? {
            None => Ok(None),
            Some(framed) => {
                unframe(key, &framed).map(|value| Some(value.to_vec())).map_err(|fault| fault.of(space, key))
            }
        }
    }

    /// Pass over the records of a keyspace by key. Those that are damaged, or that `visit` refuses, are told.
    pub fn scan(
        &self,
        space: &'static str,
        mut visit: impl FnMut(&[u8], &[u8]) -> Result<(), String>,
    ) -> Result<Vec<Damage>, DiskError> {
        let mut damages = Vec::new();
        let keyspace = self.space(space)?;
        let mut take = |key: &[u8], framed: Result<&[u8], String>| {
            let fault = match framed.map(|framed| unframe(key, framed)) {
                Ok(Ok(value)) => visit(key, value).err(),
                Ok(Err(Fault::Version(found))) => return Err(Fault::Version(found).of(space, key)),
                Ok(Err(Fault::Damage(what))) => Some(what),
                Err(unreadable) => Some(unreadable),
            };
            damages.extend(fault.map(|what| Damage { space, key: key.to_vec(), what }));
            Ok(())
        };
        let mut last: Option<UserKey> = None;
        for guard in keyspace.iter() {
            match guard.into_inner() {
                Ok((key, framed)) => {
                    take(&key, Ok(&framed))?;
                    last = Some(key);
                }
                Err(_) => {
                    // A value cannot be read: from here on each is asked for by its key.
                    let unreadable =
                        |error: fjall::Error| DiskError::Unreadable { space, what: error.to_string() };
                    for guard in keyspace.range::<UserKey, _>((last.map_or(Unbounded, Excluded), Unbounded)) {
                        let key = guard.key().map_err(unreadable)?;
                        match keyspace.get(&key) {
                            Ok(Some(framed)) => take(&key, Ok(&framed))?,
                            Ok(None) => {}
                            Err(error) => take(&key, Err(error.to_string()))?,
                        }
                    }
                    break;
                }
            }
        }
        Ok(damages)
    }

    /// Move damaged records out of the way, as they are, together with other writes; synced.
    pub fn set_aside(&self, damages: &[Damage], writes: &[Write]) -> Result<(), DiskError> {
        let aside = self.space(ASIDE)?;
        let mut batch = self.db.batch().durability(Some(PersistMode::SyncData));
        for damage in damages {
            log::error!("damaged record in {}: {}", damage.space, damage.what);
            let space = self.space(damage.space)?;
            // What cannot be read at all stays until it is replaced.
            if let Ok(Some(raw)) = space.get(&damage.key) {
                batch.insert(aside, [damage.space.as_bytes(), b"/", &damage.key].concat(), raw);
                batch.remove(space, damage.key.as_slice());
            }
        }
        self.add(&mut batch, writes)?;
        Ok(batch.commit()?)
    }

    /// Write all of these or none, and sync them. Of two writes of one key the later counts.
    pub fn write(&self, writes: &[Write]) -> Result<(), DiskError> {
        let mut batch = self.db.batch().durability(Some(PersistMode::SyncData));
        self.add(&mut batch, writes)?;
        Ok(batch.commit()?)
    }

    fn add(&self, batch: &mut fjall::OwnedWriteBatch, writes: &[Write]) -> Result<(), DiskError> {
        let mut last = BTreeMap::new();
        for write in writes {
            check_key(&write.key)?;
            last.insert((write.space, write.key.as_slice()), write.value.as_ref());
        }
        for ((space, key), value) in last {
            match value {
                Some(value) => batch.insert(self.space(space)?, key, frame(key, value)),
                None => batch.remove(self.space(space)?, key),
            }
        }
        Ok(())
    }

    /// Sync what was written.
    pub fn sync(&self) -> Result<(), DiskError> {
        Ok(self.db.persist(PersistMode::SyncData)?)
    }

    /// Bytes that the folder takes.
    pub fn bytes(&self) -> Result<u64, DiskError> {
        Ok(self.db.disk_space()?)
    }

    /// Bytes of it in tables; the others are in journals, whose files are longer than what they hold.
    pub fn table_bytes(&self) -> u64 {
        self.spaces.values().map(Keyspace::disk_space).sum()
    }
}
