//! A look at the engine's manifests before it reads them: it trusts the counts in them.

use super::{DiskError, at};
use std::fs;
use std::path::{Path, PathBuf};
use xxhash_rust::xxh3::xxh3_128;

/// Longest manifest that is read; they list files of some megabytes each.
const MOST_BYTES: u64 = 16 << 20;

/// The manifest of a keyspace that is not as it was written, if there is one.
pub(super) fn look_through(folder: &Path) -> Result<Option<PathBuf>, DiskError> {
    let keyspaces = folder.join("keyspaces");
    let entries = match fs::read_dir(&keyspaces) {
        Ok(entries) => entries,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(Some(keyspaces)),
        Err(error) => return Err(at(&keyspaces)(error)),
    };
    for entry in entries {
        let keyspace = entry.map_err(at(&keyspaces))?.path();
        let current = keyspace.join("current");
        // Without it, the keyspace was not finished when it was made, and the engine drops it.
        if !current.try_exists().map_err(at(&current))? {
            continue;
        }
        let told = fs::read(&current).map_err(at(&current))?;
        let Ok(told) = <[u8; 25]>::try_from(told) else { return Ok(Some(current)) };
        let (number, rest) = told.split_first_chunk::<8>().expect("25 bytes");
        let (checksum, kind) = rest.split_first_chunk::<16>().expect("17 bytes");
        let manifest = keyspace.join(format!("v{}", u64::from_le_bytes(*number)));
        let is_whole = match fs::metadata(&manifest) {
            Ok(metadata) if kind == [0] && metadata.len() <= MOST_BYTES => {
                let bytes = fs::read(&manifest).map_err(at(&manifest))?;
                xxh3_128(&bytes).to_le_bytes() == *checksum
            }
            Ok(_) => false,
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => false,
            Err(error) => return Err(at(&manifest)(error)),
        };
        if !is_whole {
            return Ok(Some(manifest));
        }
    }
    Ok(None)
}
