//! Soaks of the tier under clients, or endpoints, that misbehave.

use crate::cli::MisbehaveOptions;
use crate::error::TestbedError;
use std::time::Duration;
use testbed::misbehaving_clients::process::TierLimits;
use testbed::misbehaving_clients::sender::SenderLimits;
use testbed::misbehaving_clients::soak::{SoakPlan, soak, soak_sender};
use testbed::misbehaving_endpoints;
use tokio::sync::watch;

/// File descriptors of each process.
const DESCRIPTORS: usize = 2_000;
/// What the message sender may use.
const SENDER_LIMITS: SenderLimits = SenderLimits { memory_mb: 48, descriptors: DESCRIPTORS };

/// Runs one soak for each seed; returns whether nothing was found in any.
pub(crate) async fn run(options: MisbehaveOptions, stop: watch::Receiver<u32>) -> Result<bool, TestbedError> {
    let MisbehaveOptions { seeds, seconds, trouble, memory_mb, core, storage, edge, endpoints, sender } =
        options;
    let storage_memory_mb = 2 * memory_mb;
    let limits = TierLimits { core, storage, edge, memory_mb, storage_memory_mb, descriptors: DESCRIPTORS };
    let length = Duration::from_secs_f64(seconds);
    let (mut runs, mut failed) = (0, Vec::new());
    for seed in seeds {
        if *stop.borrow() > 0 {
            break;
        }
        let plan = SoakPlan { seed, length, trouble, limits };
        let mut findings =
            if endpoints { misbehaving_endpoints::soak::soak(plan).await? } else { soak(plan).await? };
        if sender {
            findings.extend(soak_sender(seed, length, SENDER_LIMITS).await?);
        }
        runs += 1;
        findings.iter().for_each(|finding| println!("seed {seed}: FOUND: {finding}"));
        if !findings.is_empty() {
            failed.push(seed);
        }
    }
    println!("{runs} soaks, {} with findings: seeds {failed:?}", failed.len());
    Ok(failed.is_empty())
}
