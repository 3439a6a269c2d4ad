//! Why a disk cannot be used, and whether that is damage or transient.

use super::DamageReason;
use super::frame::RECORD_VERSION;
use std::path::{Path, PathBuf};

/// Why a disk cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum DiskError {
    /// An operation on the directory or its files failed.
    #[error("{}: {source}", path.display())]
    Io {
        /// The path.
        path: PathBuf,
        /// The error of the operation.
        source: std::io::Error,
    },
    /// The storage engine returned an error.
    #[error("storage engine: {0}")]
    Engine(#[from] fjall::Error),
    /// The directory was written in another format.
    #[error("{}: written in format {found}, this program knows format {known}", path.display())]
    Format {
        /// The path.
        path: PathBuf,
        /// Its format.
        found: u16,
        /// The format that this program writes.
        known: u16,
    },
    /// A log takes no appends before it was restarted: it has no checkpoint, or an earlier write failed.
    #[error("{}: takes no entries before a checkpoint is written", .0.display())]
    CheckpointNeeded(PathBuf),
    /// A record of the directory about itself is damaged or missing.
    #[error("the folder's own record `{record}` is damaged: {what}")]
    Metadata {
        /// The name of the record.
        record: &'static str,
        /// A description of the damage.
        what: String,
    },
    /// A journal of the engine is damaged at an offset that was synced.
    #[error("{}: damaged at byte {byte}", path.display())]
    Journal {
        /// The journal.
        path: PathBuf,
        /// The offset from which on it is damaged.
        byte: u64,
    },
    /// A manifest of the engine does not match its checksum.
    #[error("{}: damaged", .0.display())]
    Manifest(PathBuf),
    /// A part of a keyspace cannot be read, not even its keys.
    #[error("keyspace `{keyspace}` cannot be read: {what}")]
    Unreadable {
        /// The keyspace.
        keyspace: &'static str,
        /// A description of the damage.
        what: String,
    },
    /// The engine panicked.
    #[error("the storage engine broke off: {0}")]
    EnginePanicked(String),
    /// A record is damaged.
    #[error("damaged record: {0}")]
    Damaged(DamageReason),
    /// A record is intact, and written by a later program.
    #[error(
        "record {key:?} of keyspace `{keyspace}`: written in version {found}, this program knows version {RECORD_VERSION}"
    )]
    RecordVersion {
        /// The keyspace.
        keyspace: &'static str,
        /// The key.
        key: String,
        /// Its version.
        found: u8,
    },
    /// There is no keyspace of this name.
    #[error("no keyspace `{0}`")]
    UnknownKeyspace(&'static str),
    /// The key, of this many bytes, is empty or too long.
    #[error("a key of {0} bytes")]
    KeyLength(usize),
}

impl DiskError {
    /// Whether the directory's content is damaged, rather than temporarily out of reach or written by another program.
    pub fn is_damage(&self) -> bool {
        match self {
            Self::Metadata { .. }
            | Self::Journal { .. }
            | Self::Manifest(_)
            | Self::Unreadable { .. }
            | Self::EnginePanicked(_) => true,
            Self::Engine(error) => is_damage(error),
            _ => false,
        }
    }

    /// Whether a retry may succeed: a file operation was refused, or the directory is still in use. Neither its content nor
    /// its version is the cause then.
    pub fn is_transient(&self) -> bool {
        use fjall::Error::{Io, Locked, Poisoned, Storage};
        match self {
            Self::Io { .. } => true,
            Self::Engine(Io(_) | Locked | Poisoned | Storage(fjall::LsmError::Io(_))) => !self.is_damage(),
            _ => false,
        }
    }
}

fn is_damage(error: &fjall::Error) -> bool {
    use fjall::Error;
    let is_content_error = |error: &std::io::Error| {
        use std::io::ErrorKind::{AlreadyExists, InvalidData, InvalidInput, NotFound, UnexpectedEof};
        // The engine creates what it has no mark of: a file that is there already has lost its mark.
        matches!(error.kind(), AlreadyExists | InvalidData | InvalidInput | NotFound | UnexpectedEof)
    };
    match error {
        Error::Io(error) | Error::Storage(fjall::LsmError::Io(error)) => is_content_error(error),
        // Neither another version nor a directory in use is damage.
        Error::InvalidVersion(Some(_)) | Error::Storage(fjall::LsmError::InvalidVersion(_)) => false,
        Error::Locked | Error::Poisoned | Error::KeyspaceDeleted => false,
        _ => true,
    }
}

/// Maps an I/O error to [`DiskError::Io`] with its path.
pub(crate) fn io_error_at(path: &Path) -> impl FnOnce(std::io::Error) -> DiskError + use<'_> {
    move |source| DiskError::Io { path: path.to_owned(), source }
}
