//! Memory and descriptors of a process, as `/proc` shows them. Memory is counted as on the deployed machines: what is
//! resident, and the bytes that have arrived at its sockets and are not yet read.
use std::collections::HashSet;
use std::fs;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// State of a listening socket in `/proc/net/tcp`: its queue counts connections, not bytes.
const LISTENING: &str = "0A";

/// What a process uses, or the most that it has used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Resident and unread bytes together.
    pub memory_bytes: u64,
    /// Received bytes that are not yet read.
    pub unread_bytes: u64,
    /// Open file descriptors.
    pub descriptors: usize,
    /// Size of the address space.
    pub address_space_bytes: u64,
    /// Threads.
    pub threads: u64,
}

impl Usage {
    /// What the process with this number uses now; `None` if there is none.
    pub fn of(pid: u32) -> Option<Self> {
        let unread_bytes = unread_bytes(pid, &socket_inodes(pid)?);
        let resident = Self::without_unread(pid)?;
        Some(Self { memory_bytes: resident.memory_bytes + unread_bytes, unread_bytes, ..resident })
    }

    /// The same without the unread bytes, which take a look at all connections of the host: for many processes.
    pub fn without_unread(pid: u32) -> Option<Self> {
        let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        Some(Self {
            memory_bytes: kilobytes(&status, "VmRSS:")? * 1024,
            unread_bytes: 0,
            descriptors: fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count(),
            address_space_bytes: kilobytes(&status, "VmSize:")? * 1024,
            threads: field(&status, "Threads:")?.parse().ok()?,
        })
    }

    /// The greater of both, field by field.
    pub fn max(self, other: Self) -> Self {
        Self {
            memory_bytes: self.memory_bytes.max(other.memory_bytes),
            unread_bytes: self.unread_bytes.max(other.unread_bytes),
            descriptors: self.descriptors.max(other.descriptors),
            address_space_bytes: self.address_space_bytes.max(other.address_space_bytes),
            threads: self.threads.max(other.threads),
        }
    }
}

/// The most resident memory of a process since its start, in bytes.
pub fn peak_resident_bytes(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    Some(kilobytes(&status, "VmHWM:")? * 1024)
}

fn field<'a>(status: &'a str, name: &str) -> Option<&'a str> {
    status.lines().find_map(|line| line.strip_prefix(name)).map(str::trim)
}

fn kilobytes(status: &str, name: &str) -> Option<u64> {
    field(status, name)?.strip_suffix(" kB")?.parse().ok()
}

/// The inodes of the sockets of a process.
fn socket_inodes(pid: u32) -> Option<HashSet<String>> {
    let mut inodes = HashSet::new();
    for entry in fs::read_dir(format!("/proc/{pid}/fd")).ok()?.flatten() {
        let Ok(target) = fs::read_link(entry.path()) else { continue };
        let inode = target.to_str().and_then(|target| target.strip_prefix("socket:["));
        inodes.extend(inode.and_then(|inode| inode.strip_suffix(']')).map(str::to_owned));
    }
    Some(inodes)
}

/// Bytes in the receive queues of these sockets.
fn unread_bytes(pid: u32, inodes: &HashSet<String>) -> u64 {
    let table = fs::read_to_string(format!("/proc/{pid}/net/tcp")).unwrap_or_default();
    let unread = table.lines().skip(1).filter_map(|line| {
        let fields: Vec<&str> = line.split_ascii_whitespace().collect();
        let (state, queues, inode) = (fields.get(3)?, fields.get(4)?, fields.get(9)?);
        if *state == LISTENING || !inodes.contains(*inode) {
            return None;
        }
        u64::from_str_radix(queues.split_once(':')?.1, 16).ok()
    });
    unread.sum()
}

/// Samples the usage of a process on a thread of its own until it is stopped.
pub struct UsageWatch {
    pid: u32,
    stopped: Arc<AtomicBool>,
    sampler: JoinHandle<Usage>,
}

impl UsageWatch {
    /// Begins to sample the process with this number.
    pub fn start(pid: u32) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let ends = stopped.clone();
        let sampler = thread::spawn(move || {
            let mut peak = Usage::default();
            while !ends.load(Ordering::Relaxed) {
                peak = peak.max(Usage::of(pid).unwrap_or_default());
                thread::sleep(SAMPLE_INTERVAL);
            }
            peak
        });
        Self { pid, stopped, sampler }
    }

    /// Stops sampling; returns the greatest samples, and at least the kernel's own peak of resident memory.
    pub fn stop(self) -> Usage {
        self.stopped.store(true, Ordering::Relaxed);
        let mut peak = self.sampler.join().unwrap_or_default();
        peak.memory_bytes = peak.memory_bytes.max(peak_resident_bytes(self.pid).unwrap_or_default());
        peak
    }
}
