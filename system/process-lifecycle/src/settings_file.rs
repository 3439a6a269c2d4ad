//! A settings file that is waited for until it can be used.
//!
//! Whoever writes the file may not be done yet when the process starts. So a file that is missing, unreadable or empty is
//! waited for, and one that cannot be used counts as final only once it has not changed for [`SETTLE_TIME`].

use crate::signals::SignalRequests;
use crate::waits::{Wait, Waits};
use std::fmt::Display;
use std::os::unix::fs::MetadataExt;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// A file that cannot be used and has not changed for this long can never be used.
pub const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Between two looks at a file that cannot be used yet.
const READ_INTERVAL: Duration = Duration::from_millis(100);

/// Why a file cannot be used.
pub trait UnusableFile: Display {
    /// Whether the file has no content that could be final: it is missing, cannot be read, or is empty.
    fn is_without_content(&self) -> bool;
}

/// What shows that a file has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Fingerprint {
    length: u64,
    modified_s: i64,
    modified_ns: i64,
}

impl Fingerprint {
    fn of(path: &Path) -> Option<Self> {
        let metadata = std::fs::metadata(path).ok()?;
        Some(Self {
            length: metadata.len(),
            modified_s: metadata.mtime(),
            modified_ns: metadata.mtime_nsec(),
        })
    }
}

/// Reads the file at `path` with `read`, and waits if it cannot be used yet.
///
/// # Errors
///
/// The error of `read` if the file can never be used.
pub async fn wait_until_usable<T, E: UnusableFile>(
    path: &Path,
    waits: &Rc<Waits>,
    requests: &SignalRequests,
    read: impl Fn() -> Result<T, E>,
) -> Result<T, E> {
    let mut reloads = requests.reloads.clone();
    let mut wait: Option<Wait> = None;
    let mut unchanged_since: Option<(Option<Fingerprint>, Instant)> = None;
    loop {
        let fingerprint = Fingerprint::of(path);
        let error = match read() {
            Ok(settings) => return Ok(settings),
            Err(error) => error,
        };
        wait.get_or_insert_with(|| waits.begin("complete settings", &error)).remind(&error);
        match &unchanged_since {
            _ if error.is_without_content() => unchanged_since = None,
            Some((known, since)) if *known == fingerprint => {
                if since.elapsed() >= SETTLE_TIME {
                    return Err(error);
                }
            }
            _ => unchanged_since = Some((fingerprint, Instant::now())),
        }
        tokio::select! {
            () = sleep(READ_INTERVAL) => {}
            Ok(()) = reloads.changed() => {}
        }
    }
}
