//! Why a disk cannot be used, and whether that is damage, passing, or another version.

use super::frame::RECORD_VERSION;
use std::path::{Path, PathBuf};

/// Why a disk cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum DiskError {
    /// The folder or its files.
    #[error("{}: {source}", path.display())]
    Folder {
        /// The place.
        path: PathBuf,
        /// What failed.
        source: std::io::Error,
    },
    /// The engine.
    #[error("storage engine: {0}")]
    Engine(#[from] fjall::Error),
    /// The folder was written in another format.
    #[error("{}: written in format {found}, this program knows format {known}", path.display())]
    Format {
        /// The place.
        path: PathBuf,
        /// Its format.
        found: u16,
        /// The format that this program writes.
        known: u16,
    },
    /// The folder's own records are damaged.
    #[error("the folder's own record `{record}` is damaged: {what}")]
    Own {
        /// Which one.
        record: &'static str,
        /// What is wrong.
        what: String,
    },
    /// A journal of the engine is damaged at a place that was synced.
    #[error("{}: damaged at byte {byte}", path.display())]
    Journal {
        /// The journal.
        path: PathBuf,
        /// From where on.
        byte: u64,
    },
    /// A manifest of the engine is not as it was written.
    #[error("{}: damaged", .0.display())]
    Manifest(PathBuf),
    /// A part of a keyspace cannot be read, not even its keys.
    #[error("keyspace `{space}` cannot be read: {what}")]
    Unreadable {
        /// The keyspace.
        space: &'static str,
        /// What is wrong.
        what: String,
    },
    /// The engine gave up in a way that is not foreseen.
    #[error("the storage engine broke off: {0}")]
    BrokeOff(String),
    /// A record is damaged.
    #[error("damaged record: {0}")]
    Damaged(String),
    /// A record is whole, and written by a program that is not known here.
    #[error(
        "record {key:?} of keyspace `{space}`: written in version {found}, this program knows version {RECORD_VERSION}"
    )]
    RecordVersion {
        /// The keyspace.
        space: &'static str,
        /// The key.
        key: String,
        /// Its version.
        found: u8,
    },
    /// There is no such keyspace.
    #[error("no keyspace `{0}`")]
    NoSpace(&'static str),
    /// The key is empty or too long.
    #[error("a key of {0} bytes")]
    Key(usize),
}

impl DiskError {
    /// Whether the folder's content is damaged, and not just out of reach now or written by another program.
    pub fn is_damage(&self) -> bool {
        match self {
            Self::Own { .. }
            | Self::Journal { .. }
            | Self::Manifest(_)
            | Self::Unreadable { .. }
            | Self::BrokeOff(_) => true,
            Self::Engine(error) => is_damage(error),
            _ => false,
        }
    }

    /// Whether it may pass by itself: a file operation was refused, or the folder is still in use. The folder's content
    /// and its version are not at fault then.
    pub fn may_pass(&self) -> bool {
        use fjall::Error::{Io, Locked, Poisoned, Storage};
        match self {
            Self::Folder { .. } => true,
            Self::Engine(Io(_) | Locked | Poisoned | Storage(fjall::LsmError::Io(_))) => !self.is_damage(),
            _ => false,
        }
    }
}

fn is_damage(error: &fjall::Error) -> bool {
    use fjall::Error;
    let gone = |error: &std::io::Error| {
        use std::io::ErrorKind::{InvalidData, InvalidInput, NotFound, UnexpectedEof};
        matches!(error.kind(), InvalidData | InvalidInput | NotFound | UnexpectedEof)
    };
    match error {
        Error::Io(error) | Error::Storage(fjall::LsmError::Io(error)) => gone(error),
        // Another version is no damage, and neither is a folder in use.
        Error::InvalidVersion(Some(_)) | Error::Storage(fjall::LsmError::InvalidVersion(_)) => false,
        Error::Locked | Error::Poisoned | Error::KeyspaceDeleted => false,
        _ => true,
    }
}

pub(crate) fn at(path: &Path) -> impl FnOnce(std::io::Error) -> DiskError + use<'_> {
    move |source| DiskError::Folder { path: path.to_owned(), source }
}
