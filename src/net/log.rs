//! Logging to standard error with `tracing`: configurable level and format, a rate limit per call site, and no blocking
//! when standard error accepts no data. Without a `log` section in the configuration, it writes plain lines from `info` up.
use crate::config::{Form, Level, Log};
use process_lifecycle::log_output::LogOutput;
use std::collections::HashMap;
use std::fmt;
use std::io::{self, Write};
use std::os::fd::AsFd;
use std::os::unix::fs::FileTypeExt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;
use tracing::callsite::Identifier;
use tracing::{Event, Subscriber};
use tracing_subscriber::filter::LevelFilter;
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields, MakeWriter};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::registry::LookupSpan;
use tracing_subscriber::{Layer, Registry, reload};

/// A write of at most this many bytes to a writable pipe is atomic (POSIX: PIPE_BUF).
const MAX_ATOMIC_WRITE_BYTES: usize = 4096;
/// Maximum burst of a call site, in seconds of its rate.
const BURST_S: f64 = 3.0;

/// Why logging cannot be set up.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// The process has a global subscriber already.
    #[error("logging is already set up: {0}")]
    Twice(#[from] tracing::subscriber::SetGlobalDefaultError),
}

/// Changes the log level at run time.
#[derive(Clone)]
pub struct Handle(reload::Handle<LevelFilter, Registry>);

impl Handle {
    /// Sets the minimum level of lines.
    pub fn set(&self, level: Level) {
        // Fails only if the subscriber has been dropped, at the end of the process.
        let _ = self.0.modify(|filter| *filter = filter_of(level));
    }
}

fn filter_of(level: Level) -> LevelFilter {
    match level {
        Level::Error => LevelFilter::ERROR,
        Level::Warn => LevelFilter::WARN,
        Level::Info => LevelFilter::INFO,
        Level::Debug => LevelFilter::DEBUG,
    }
}

/// Sets up logging for this process, with `sender` as its name in each line.
///
/// # Errors
/// A global subscriber is already set.
pub fn begin(log: &Log, sender: &str) -> Result<Handle, LogError> {
    let (filter, handle) = reload::Layer::new(filter_of(log.level));
    let stderr = Stderr::new();
    let bound = |form| Bounded {
        form,
        rate: log.a_second,
        sender: sender.to_owned(),
        sites: Mutex::default(),
        stderr,
    };
    let plain = tracing_subscriber::fmt::format().with_level(false).with_target(false).without_time();
    let text = tracing_subscriber::fmt::format().with_target(false).with_ansi(false);
    let lines: Box<dyn Layer<_> + Send + Sync> = match log.form {
        Form::Plain => {
            let layer = tracing_subscriber::fmt::layer().with_ansi(false).with_writer(stderr);
            layer.event_format(Shaped { inner: plain, bound: bound(Form::Plain) }).boxed()
        }
        Form::Text => {
            let layer = tracing_subscriber::fmt::layer().with_ansi(false).with_writer(stderr);
            layer.event_format(Shaped { inner: text, bound: bound(Form::Text) }).boxed()
        }
        Form::Logfmt => {
            let inner = tracing_logfmt::EventsFormatter::default();
            let layer = tracing_subscriber::fmt::layer().with_ansi(false).with_writer(stderr);
            let layer = layer.fmt_fields(tracing_logfmt::FieldsFormatter::default());
            layer.event_format(Shaped { inner, bound: bound(Form::Logfmt) }).boxed()
        }
        Form::Json => {
            let inner = tracing_subscriber::fmt::format().with_target(false).json().flatten_event(true);
            let layer = tracing_subscriber::fmt::layer().json().with_writer(stderr);
            layer.event_format(Shaped { inner, bound: bound(Form::Json) }).boxed()
        }
    };
    tracing::subscriber::set_global_default(Registry::default().with(filter).with(lines))?;
    Ok(Handle(handle))
}

/// Standard error. If it is a pipe, socket or terminal, it is polled before a write, which could else block.
#[derive(Clone, Copy)]
struct Stderr {
    polls: bool,
}

impl Stderr {
    fn new() -> Self {
        let kind =
            io::stderr().as_fd().try_clone_to_owned().and_then(|fd| std::fs::File::from(fd).metadata());
        let may_block = |kind: std::fs::FileType| kind.is_fifo() || kind.is_socket() || kind.is_char_device();
        Self { polls: kind.is_ok_and(|metadata| may_block(metadata.file_type())) }
    }

    /// Whether a line can be written without blocking.
    fn is_writable(self) -> bool {
        if !self.polls {
            return true;
        }
        let stderr = io::stderr();
        let mut polled = [nix::poll::PollFd::new(stderr.as_fd(), nix::poll::PollFlags::POLLOUT)];
        // If polling fails, risk blocking rather than losing the line.
        !matches!(nix::poll::poll(&mut polled, nix::poll::PollTimeout::ZERO), Ok(0))
    }
}

impl Write for Stderr {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        // There is no other place to report a line that is lost, and the sender continues.
        if !LogOutput::stderr().write_line(line) {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl MakeWriter<'_> for Stderr {
    type Writer = Self;

    fn make_writer(&self) -> Self {
        *self
    }
}

/// Rate limit of a call site (token bucket), and the number of lines suppressed since the last one written.
struct Site {
    tokens: f64,
    at: Instant,
    left_out: u64,
}

/// Rate limits and settings shared by all formats.
struct Bounded {
    form: Form,
    rate: u32,
    sender: String,
    sites: Mutex<HashMap<Identifier, Site>>,
    stderr: Stderr,
}

/// Lines dropped because standard error was not writable.
static DROPPED: AtomicU64 = AtomicU64::new(0);

impl Bounded {
    /// Returns the number of lines suppressed at this call site before this one, or none if this one is suppressed.
    fn admit(&self, site: Identifier) -> Option<u64> {
        if self.rate == 0 {
            return Some(0);
        }
        let (rate, now) = (f64::from(self.rate), Instant::now());
        let mut sites = self.sites.lock().unwrap_or_else(PoisonError::into_inner);
        let fresh = || Site { tokens: rate * BURST_S, at: now, left_out: 0 };
        let site = sites.entry(site).or_insert_with(fresh);
        site.tokens = (site.tokens + rate * now.duration_since(site.at).as_secs_f64()).min(rate * BURST_S);
        site.at = now;
        if site.tokens < 1.0 {
            site.left_out += 1;
            return None;
        }
        site.tokens -= 1.0;
        Some(std::mem::take(&mut site.left_out))
    }

    /// Appends the fields that each line has: the sender's name, and the counts of lines lost.
    fn finish(&self, line: &mut String, left_out: u64, dropped: u64) {
        let trimmed_length = line.trim_end().len();
        line.truncate(trimmed_length);
        let counts =
            [("left_out", left_out), ("not_taken", dropped)].into_iter().filter(|(_, count)| *count > 0);
        if self.form == Form::Json {
            let _ = line.pop();
            let name = serde_json::Value::from(self.sender.as_str());
            line.push_str(&format!(",\"sender\":{name}"));
            counts.for_each(|(word, count)| line.push_str(&format!(",\"{word}\":{count}")));
            line.push('}');
        } else {
            if self.form != Form::Plain {
                line.push_str(&format!(" sender={}", self.sender));
            }
            counts.for_each(|(word, count)| line.push_str(&format!(" {word}={count}")));
        }
        line.push('\n');
    }
}

/// Formats lines with `inner`, within the limits of `bound`.
struct Shaped<F> {
    inner: F,
    bound: Bounded,
}

impl<S, N, F> FormatEvent<S, N> for Shaped<F>
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
    F: FormatEvent<S, N>,
{
    fn format_event(
        &self,
        context: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        let Some(left_out) = self.bound.admit(event.metadata().callsite()) else { return Ok(()) };
        if !self.bound.stderr.is_writable() {
            DROPPED.fetch_add(1 + left_out, Ordering::Relaxed);
            return Ok(());
        }
        let mut line = String::new();
        self.inner.format_event(context, Writer::new(&mut line), event)?;
        self.bound.finish(&mut line, left_out, DROPPED.swap(0, Ordering::Relaxed));
        if self.bound.stderr.polls && line.len() > MAX_ATOMIC_WRITE_BYTES {
            // A longer line could be written in part and then block.
            DROPPED.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        writer.write_str(&line)
    }
}

/// Passes the records of libraries on to this log. Before it is set up they are written as plain lines.
struct LogRecords;

impl ::log::Log for LogRecords {
    fn enabled(&self, metadata: &::log::Metadata<'_>) -> bool {
        metadata.level() <= ::log::Level::Info
    }

    fn log(&self, record: &::log::Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        if !tracing::dispatcher::has_been_set() {
            LogOutput::stderr().write_line(format!("message-sender: {}", record.args()).as_bytes());
            return;
        }
        match record.level() {
            ::log::Level::Error => tracing::error!("{}", record.args()),
            ::log::Level::Warn => tracing::warn!("{}", record.args()),
            _ => tracing::info!("{}", record.args()),
        }
    }

    fn flush(&self) {}
}

/// Passes the records of libraries on to this log from now on.
pub fn forward_log_records() {
    // Fails only if another logger is set, which then gets them.
    if ::log::set_logger(&LogRecords).is_ok() {
        ::log::set_max_level(::log::LevelFilter::Info);
    }
}

#[cfg(test)]
mod tests;
