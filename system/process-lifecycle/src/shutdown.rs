//! The end of a process that was told to end: it must not be held up by a thread that hangs, for example on a disk.

use std::process::exit;
use std::thread;
use std::time::Duration;

/// Ends the process with code 0 after `limit`, unless it has ended by then.
pub fn exit_within(limit: Duration) {
    let watchdog = thread::Builder::new().name("shutdown".to_owned());
    let started = watchdog.spawn(move || {
        thread::sleep(limit);
        log::warn!("shutdown not complete in time: limit={limit:?}");
        exit(0);
    });
    if let Err(error) = started {
        log::warn!("shutdown has no limit in time: error={error}");
    }
}
