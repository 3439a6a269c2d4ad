//! The file operations of [`LogFiles`](super::LogFiles), which tests replace to inject faults.

use std::fmt::Debug;
use std::fs::{self, File};
use std::io::{Result, Write as _};
use std::path::Path;

/// Operations on files. The provided methods are those of the operating system.
pub(crate) trait FileOperations: Debug + Send {
    /// Writes bytes at the file's position.
    fn write(&mut self, file: &mut File, bytes: &[u8]) -> Result<()> {
        file.write_all(bytes)
    }

    /// Syncs the content.
    fn sync_data(&mut self, file: &File) -> Result<()> {
        file.sync_data()
    }

    /// Syncs the content and the metadata.
    fn sync(&mut self, file: &File) -> Result<()> {
        file.sync_all()
    }

    /// Renames a file.
    fn rename(&mut self, from: &Path, to: &Path) -> Result<()> {
        fs::rename(from, to)
    }

    /// Removes a file.
    fn remove(&mut self, path: &Path) -> Result<()> {
        fs::remove_file(path)
    }

    /// Syncs the entries of a directory.
    fn sync_directory(&mut self, path: &Path) -> Result<()> {
        File::open(path)?.sync_all()
    }
}

/// The operations of the system.
#[derive(Debug)]
pub(crate) struct SystemFiles;

impl FileOperations for SystemFiles {}
