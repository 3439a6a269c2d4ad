//! Standard error as the target of a log: a line that cannot be written at once is dropped, and nothing waits for its reader.
//!
//! A pipe or terminal is opened anew without blocking, so that no other process that shares it is affected. Where that is not
//! possible it is polled before each line. Files are written to as they are: the kernel takes their bytes into memory.

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::fs::OFlags;
use rustix::io::Errno;
use rustix::net::SendFlags;
use std::fs::File;
use std::io::{self, Write};
use std::os::fd::AsFd;
use std::os::unix::fs::{FileTypeExt, OpenOptionsExt};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Maximum length of a line in bytes, its line feed included: what a pipe takes as a whole or not at all (POSIX: `PIPE_BUF`).
pub const MAX_LINE_BYTES: usize = 4096;

/// Ends a line that was cut at [`MAX_LINE_BYTES`].
const TRUNCATION_MARK: &[u8] = b"...\n";

/// What is behind standard error.
#[derive(Debug)]
enum Target {
    /// A file, which does not block.
    File,
    /// A pipe or a terminal, opened anew without blocking.
    Reopened(File),
    /// A socket.
    Socket,
    /// Something that may block, and is polled before it is written to.
    Polled,
}

/// Standard error, as a target that never blocks.
#[derive(Debug)]
pub struct LogOutput {
    target: Target,
    dropped: AtomicU64,
    /// The last line was written only in part.
    is_mid_line: AtomicBool,
}

impl LogOutput {
    /// Standard error of this process.
    pub fn stderr() -> &'static Self {
        static STDERR: OnceLock<LogOutput> = OnceLock::new();
        STDERR.get_or_init(|| Self {
            target: Target::of_stderr(),
            dropped: AtomicU64::new(0),
            is_mid_line: AtomicBool::new(false),
        })
    }

    /// Writes a line, to which a line feed is added if it has none. Returns whether it was written completely; a longer line
    /// than [`MAX_LINE_BYTES`] is truncated.
    pub fn write_line(&self, line: &[u8]) -> bool {
        let line = line.strip_suffix(b"\n").unwrap_or(line);
        let mut bytes = Vec::with_capacity(line.len().min(MAX_LINE_BYTES) + 2);
        if self.is_mid_line.swap(false, Ordering::Relaxed) {
            bytes.push(b'\n');
        }
        if bytes.len() + line.len() < MAX_LINE_BYTES {
            bytes.extend_from_slice(line);
            bytes.push(b'\n');
        } else {
            let kept = MAX_LINE_BYTES - TRUNCATION_MARK.len() - bytes.len();
            bytes.extend_from_slice(&line[..kept]);
            bytes.extend_from_slice(TRUNCATION_MARK);
        }
        let written = self.target.write(&bytes).unwrap_or(0);
        if written == bytes.len() {
            return true;
        }
        self.is_mid_line.store(written > 0, Ordering::Relaxed);
        self.dropped.fetch_add(1, Ordering::Relaxed);
        false
    }

    /// Number of lines that were dropped.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

impl Target {
    fn of_stderr() -> Self {
        let stderr = io::stderr().as_fd().try_clone_to_owned().map(File::from);
        let Ok(kind) = stderr.and_then(|file| file.metadata()).map(|metadata| metadata.file_type()) else {
            return Self::Polled;
        };
        if kind.is_socket() {
            return Self::Socket;
        }
        if !kind.is_fifo() && !kind.is_char_device() {
            return Self::File;
        }
        let flags = (OFlags::NONBLOCK | OFlags::NOCTTY).bits();
        let flags = i32::try_from(flags).unwrap_or_default();
        let reopened = File::options().write(true).custom_flags(flags).open("/proc/self/fd/2");
        reopened.map_or(Self::Polled, Self::Reopened)
    }

    /// Writes as much as can be written now; returns how much.
    fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        match self {
            Self::File => write_once(|| io::stderr().write(bytes)),
            Self::Reopened(file) => write_once(|| (&mut &*file).write(bytes)),
            Self::Socket => write_once(|| {
                let flags = SendFlags::DONTWAIT | SendFlags::NOSIGNAL;
                Ok(rustix::net::send(io::stderr().as_fd(), bytes, flags)?)
            }),
            Self::Polled => {
                // Held from the poll to the write: another thread may use up what the poll has found.
                let mut stderr = io::stderr().lock();
                let mut polled = [PollFd::from_borrowed_fd(stderr.as_fd(), PollFlags::OUT)];
                match poll(&mut polled, Some(&Timespec { tv_sec: 0, tv_nsec: 0 })) {
                    Ok(0) => Err(Errno::AGAIN.into()),
                    _ => write_once(|| stderr.write(bytes)),
                }
            }
        }
    }
}

fn write_once(mut write: impl FnMut() -> io::Result<usize>) -> io::Result<usize> {
    loop {
        match write() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            written => return written,
        }
    }
}
