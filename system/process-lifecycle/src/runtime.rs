//! The runtime of a process, with handlers for its signals. It is the first thing that a process sets up: before it, a
//! hang-up ends the process.

use crate::signals::Signals;
use std::io;
use std::panic::catch_unwind;
use std::thread::sleep;
use std::time::Duration;
use tokio::runtime::{Builder, Runtime};

/// Pause after a runtime that could not be built, such as for lack of descriptors.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Builds a runtime of one thread and handles the process's signals on it. Tries until that succeeds.
pub fn start() -> (Runtime, Signals) {
    let mut last_error = None;
    loop {
        match try_start() {
            Ok(started) => return started,
            Err(error) => {
                let error = Some(error.to_string());
                if last_error != error {
                    log::error!("waiting: for=a runtime error={}", error.as_deref().unwrap_or_default());
                }
                last_error = error;
            }
        }
        sleep(RETRY_INTERVAL);
    }
}

fn try_start() -> io::Result<(Runtime, Signals)> {
    // Without descriptors tokio panics as it prepares to handle signals.
    let built = catch_unwind(|| Builder::new_current_thread().enable_all().build());
    let runtime = built.unwrap_or_else(|_| Err(io::Error::other("no descriptor for signals")))?;
    let signals = {
        let _guard = runtime.enter();
        Signals::handle()?
    };
    Ok((runtime, signals))
}
