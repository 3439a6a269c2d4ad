//! The right to write to a data directory, which one process at a time has.
//!
//! It ends with the process, however that ends. A process that is started while its predecessor is still ending does not read
//! a record that the other one may go on writing.

use crate::disk::{DiskError, io_error_at};
use std::fs::{self, File, TryLockError};
use std::io::{Error, ErrorKind};
use std::path::Path;

/// Name of the file that is locked.
const LOCK_FILE: &str = "process.lock";

/// The exclusive right to a data directory, held until this is dropped.
#[derive(Debug)]
pub struct DirectoryLock {
    _file: File,
}

impl DirectoryLock {
    /// Takes the right to a directory, which is created if it does not exist.
    ///
    /// # Errors
    ///
    /// The directory cannot be accessed, or another process has the right.
    pub fn acquire(directory: &Path) -> Result<Self, DiskError> {
        fs::create_dir_all(directory).map_err(io_error_at(directory))?;
        let path = directory.join(LOCK_FILE);
        let file = File::options().write(true).create(true).truncate(false).open(&path);
        let file = file.map_err(io_error_at(&path))?;
        match file.try_lock() {
            Ok(()) => Ok(Self { _file: file }),
            Err(TryLockError::WouldBlock) => {
                let in_use = Error::new(ErrorKind::ResourceBusy, "another process uses the data directory");
                Err(io_error_at(directory)(in_use))
            }
            Err(TryLockError::Error(error)) => Err(io_error_at(&path)(error)),
        }
    }
}
