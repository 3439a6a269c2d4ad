//! What `/proc` shows of a process.

use nix::sys::signal::Signal;
use std::time::Duration;

/// Whether a process handles a signal now, rather than being ended by it.
pub fn catches(pid: u32, signal: Signal) -> bool {
    let caught = status_field(pid, "SigCgt:").and_then(|mask| u64::from_str_radix(&mask, 16).ok());
    caught.is_some_and(|mask| mask & (1 << (signal as u32 - 1)) != 0)
}

/// Processor time that a process has used.
pub fn processor_time(pid: u32) -> Option<Duration> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_ascii_whitespace().collect();
    let ticks = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
    Some(Duration::from_millis(ticks * 1_000 / rustix::param::clock_ticks_per_second()))
}

fn status_field(pid: u32, field: &str) -> Option<String> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    status.lines().find_map(|line| line.strip_prefix(field)).map(|value| value.trim().to_owned())
}
