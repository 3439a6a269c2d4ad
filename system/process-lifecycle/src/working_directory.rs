//! The working directory of a process, which whoever started it may have removed.

use std::env;
use std::path::Path;

/// Moves the process to the root directory if its working directory is gone. Relative paths lead nowhere from such a directory,
/// and libraries panic if they resolve one.
pub fn leave_if_removed() {
    let Err(error) = env::current_dir() else { return };
    match env::set_current_dir(Path::new("/")) {
        Ok(()) => log::warn!("working directory cannot be used, moved to /: error={error}"),
        Err(failed) => log::warn!("working directory cannot be used: error={error} moving={failed}"),
    }
}
