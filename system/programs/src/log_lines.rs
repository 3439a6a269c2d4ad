//! The log of a process: one line each on standard error, which never blocks.

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, ErrorChannel, Logger, Record};
use process_lifecycle::log_output::LogOutput;
use std::sync::atomic::{AtomicU64, Ordering};

/// Writes lines to standard error.
#[derive(Debug, Default)]
struct StderrLines {
    /// Dropped lines that a later line has told.
    reported_drops: AtomicU64,
}

impl LogWriter for StderrLines {
    fn write(&self, now: &mut DeferredNow, record: &Record) -> std::io::Result<()> {
        let mut line = format!("{} {} {}", now.format("%H:%M:%S%.3f"), record.level(), record.args());
        let output = LogOutput::stderr();
        let dropped = output.dropped();
        let unreported = dropped - self.reported_drops.load(Ordering::Relaxed).min(dropped);
        if unreported > 0 {
            line.push_str(&format!(" dropped_lines={unreported}"));
        }
        if output.write_line(line.as_bytes()) {
            self.reported_drops.store(dropped, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Starts the log with lines of `level` and above.
pub(crate) fn start(level: &str) {
    let logger = Logger::try_with_str(format!("{level}, fjall=warn, lsm_tree=warn")).and_then(|logger| {
        logger
            .log_to_writer(Box::new(StderrLines::default()))
            .error_channel(ErrorChannel::DevNull)
            .panic_if_error_channel_is_broken(false)
            .start()
    });
    if let Err(e) = logger {
        LogOutput::stderr().write_line(format!("no log: {e}").as_bytes());
    }
}
