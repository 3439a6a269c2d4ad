//! The log on standard error, by `tracing`: levels and forms as the configuration says, a bounded rate for each place in the
//! code, and a standard error that takes nothing never holds whoever writes to it. Without a part `log` it is as it always
//! was: the bare lines from `info` up.
use crate::config::{Form, Level, Log};
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

/// A pipe that can be written to takes so many bytes at once, or none (POSIX: PIPE_BUF).
const AT_ONCE: usize = 4096;
/// What a place in the code has saved up, in seconds of its rate.
const BURST_S: f64 = 3.0;

/// Why there is no log.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// There is one already.
    #[error("the log was begun twice: {0}")]
    Twice(#[from] tracing::subscriber::SetGlobalDefaultError),
}

/// The log's level, which can be changed.
#[derive(Clone)]
pub struct Handle(reload::Handle<LevelFilter, Registry>);

impl Handle {
    /// Has lines from this level up told from now on.
    pub fn set(&self, level: Level) {
        // An error says that the log is gone, at the process's end.
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

/// Begins the log of this process, which is called `sender` in it.
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

/// Standard error. One that somebody has to take from is asked first whether it takes a line.
#[derive(Clone, Copy)]
struct Stderr {
    asks: bool,
}

impl Stderr {
    fn new() -> Self {
        let kind =
            io::stderr().as_fd().try_clone_to_owned().and_then(|fd| std::fs::File::from(fd).metadata());
        let waits = |kind: std::fs::FileType| kind.is_fifo() || kind.is_socket() || kind.is_char_device();
        Self { asks: kind.is_ok_and(|metadata| waits(metadata.file_type())) }
    }

    /// Whether a line can be written without a wait.
    fn takes(self) -> bool {
        if !self.asks {
            return true;
        }
        let stderr = io::stderr();
        let mut asked = [nix::poll::PollFd::new(stderr.as_fd(), nix::poll::PollFlags::POLLOUT)];
        // Where that cannot be asked, a line is worth a wait.
        !matches!(nix::poll::poll(&mut asked, nix::poll::PollTimeout::ZERO), Ok(0))
    }
}

impl Write for Stderr {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        // Nobody is told that the log cannot be written: there is no other place to say so, and the sender goes on.
        let _ = io::stderr().lock().write_all(line);
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

/// One place in the code: what it may still write, as of when, and what was left out.
struct Site {
    tokens: f64,
    at: Instant,
    left_out: u64,
}

/// What is the same for all forms.
struct Bounded {
    form: Form,
    rate: u32,
    sender: String,
    sites: Mutex<HashMap<Identifier, Site>>,
    stderr: Stderr,
}

/// Lines that nobody took.
static UNTAKEN: AtomicU64 = AtomicU64::new(0);

impl Bounded {
    /// How many lines of this place were left out before this one; none where this one is.
    fn pass(&self, site: Identifier) -> Option<u64> {
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

    /// Adds what stands on each line, whatever it says.
    fn finish(&self, line: &mut String, left_out: u64, untaken: u64) {
        let end = line.trim_end().len();
        line.truncate(end);
        let counts =
            [("left_out", left_out), ("not_taken", untaken)].into_iter().filter(|(_, count)| *count > 0);
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

/// Lines of one form, within their bounds.
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
        let Some(left_out) = self.bound.pass(event.metadata().callsite()) else { return Ok(()) };
        if !self.bound.stderr.takes() {
            UNTAKEN.fetch_add(1 + left_out, Ordering::Relaxed);
            return Ok(());
        }
        let mut line = String::new();
        self.inner.format_event(context, Writer::new(&mut line), event)?;
        self.bound.finish(&mut line, left_out, UNTAKEN.swap(0, Ordering::Relaxed));
        if self.bound.stderr.asks && line.len() > AT_ONCE {
            // A longer one could find room for its beginning alone, and wait for the rest.
            UNTAKEN.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        writer.write_str(&line)
    }
}

#[cfg(test)]
mod tests;
