//! Verification of the engine's manifests before it reads them, since it trusts the counts in them.

use super::{DiskError, io_error_at};
use std::fs;
use std::path::{Path, PathBuf};
use xxhash_rust::xxh3::xxh3_128;

/// Longest manifest that is read, in bytes. Manifests list files of some megabytes each.
const MAX_MANIFEST_BYTES: u64 = 16 << 20;

/// The first manifest that does not match its checksum, if there is one.
pub(super) fn find_damaged(folder: &Path) -> Result<Option<PathBuf>, DiskError> {
    let keyspaces = folder.join("keyspaces");
    let entries = match fs::read_dir(&keyspaces) {
        Ok(entries) => entries,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(Some(keyspaces)),
        Err(error) => return Err(io_error_at(&keyspaces)(error)),
    };
    for entry in entries {
        let keyspace = entry.map_err(io_error_at(&keyspaces))?.path();
        let current = keyspace.join("current");
        // Without it, the creation of the keyspace was not completed, and the engine removes it.
        if !current.try_exists().map_err(io_error_at(&current))? {
            continue;
        }
        let pointer = fs::read(&current).map_err(io_error_at(&current))?;
        let Ok(pointer) = <[u8; 25]>::try_from(pointer) else { return Ok(Some(current)) };
        let (number, rest) = pointer.split_first_chunk::<8>().expect("25 bytes");
        let (checksum, kind) = rest.split_first_chunk::<16>().expect("17 bytes");
        let manifest = keyspace.join(format!("v{}", u64::from_le_bytes(*number)));
        let is_intact = match fs::metadata(&manifest) {
            Ok(metadata) if kind == [0] && metadata.len() <= MAX_MANIFEST_BYTES => {
                let bytes = fs::read(&manifest).map_err(io_error_at(&manifest))?;
                xxh3_128(&bytes).to_le_bytes() == *checksum
            }
            Ok(_) => false,
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => false,
            Err(error) => return Err(io_error_at(&manifest)(error)),
        };
        if !is_intact {
            return Ok(Some(manifest));
        }
    }
    Ok(None)
}
