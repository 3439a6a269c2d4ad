//! The file operations of a [`RecordLog`](super::RecordLog), so that tests can have each of them fail.

use std::fmt::Debug;
use std::fs::{self, File};
use std::io::{Result, Write as _};
use std::path::Path;

/// What is done to files. Each operation does what the system does unless it is overridden.
pub(super) trait FileOperations: Debug + Send {
    /// Write these bytes at the file's position.
    fn write(&mut self, file: &mut File, bytes: &[u8]) -> Result<()> {
        file.write_all(bytes)
    }

    /// Sync the content.
    fn sync_data(&mut self, file: &File) -> Result<()> {
        file.sync_data()
    }

    /// Sync the content and all that belongs to the file.
    fn sync(&mut self, file: &File) -> Result<()> {
        file.sync_all()
    }

    /// Give a file another name.
    fn rename(&mut self, from: &Path, to: &Path) -> Result<()> {
        fs::rename(from, to)
    }

    /// Remove a file.
    fn remove(&mut self, path: &Path) -> Result<()> {
        fs::remove_file(path)
    }

    /// Sync the names in a folder.
    fn sync_folder(&mut self, path: &Path) -> Result<()> {
        File::open(path)?.sync_all()
    }
}

/// The operations of the system.
#[derive(Debug)]
pub(super) struct SystemFiles;

impl FileOperations for SystemFiles {}
