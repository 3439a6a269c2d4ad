//! Panics of all threads and tasks are logged in one line and counted.

use crate::log_output::LogOutput;
use std::any::Any;
use std::panic::{self, PanicHookInfo};
use std::sync::atomic::{AtomicU64, Ordering};

static PANICS: AtomicU64 = AtomicU64::new(0);

/// Has all panics from now on logged and counted. The line does not go through the log, which may be what panics.
pub fn log_and_count() {
    panic::set_hook(Box::new(|info| {
        PANICS.fetch_add(1, Ordering::Relaxed);
        LogOutput::stderr().write_line(describe(info).as_bytes());
    }));
}

/// Number of panics since the start of the process, those that were caught included.
pub fn count() -> u64 {
    PANICS.load(Ordering::Relaxed)
}

fn describe(info: &PanicHookInfo<'_>) -> String {
    let thread = std::thread::current();
    let location = info.location().map(ToString::to_string).unwrap_or_default();
    let message = message(info.payload());
    format!("ERROR panic: thread={} at={location} message={message}", thread.name().unwrap_or("-"))
}

/// The message of a panic, as far as it is text.
pub fn message(payload: &(dyn Any + Send)) -> String {
    let text = payload.downcast_ref::<String>().cloned();
    text.or_else(|| payload.downcast_ref::<&str>().map(|text| (*text).to_owned())).unwrap_or_default()
}
