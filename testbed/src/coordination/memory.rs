//! The memory that a run takes, of its own process and of the control nodes.

use super::cluster::Cluster;
use std::time::Duration;
use tokio::time::sleep;

/// Between two looks.
const INTERVAL: Duration = Duration::from_secs(1);
/// A run takes one in this many parts of the machine's memory at the most.
const MEMORY_PARTS: u64 = 2;

/// Returns once the run takes more memory than it may.
pub(super) async fn wait_for_shortage(cluster: &Cluster) {
    let Some(machine_kib) = field_kib("/proc/meminfo", "MemTotal:") else {
        return std::future::pending().await;
    };
    loop {
        sleep(INTERVAL).await;
        let own = std::process::id();
        let pids = cluster.pids().await.into_iter().chain([own]);
        let used_kib: u64 = pids.filter_map(|pid| field_kib(&format!("/proc/{pid}/status"), "VmRSS:")).sum();
        if used_kib > machine_kib / MEMORY_PARTS {
            return;
        }
    }
}

/// A field in KiB of a file below /proc.
fn field_kib(path: &str, field: &str) -> Option<u64> {
    let text = std::fs::read_to_string(path).ok()?;
    let line = text.lines().find(|line| line.starts_with(field))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
