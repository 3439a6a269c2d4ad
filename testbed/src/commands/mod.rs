//! One module for each kind of command.

pub(crate) mod coordination;
pub(crate) mod misbehaving_clients;
pub(crate) mod sender_membership;
pub(crate) mod sender_runs;
pub(crate) mod serving_tier;
pub(crate) mod system_simulation;

use crate::error::TestbedError;
use std::path::Path;

/// Writes a file of results.
fn write(path: &Path, text: String) -> Result<(), TestbedError> {
    std::fs::write(path, text).map_err(|source| TestbedError::Out { path: path.to_owned(), source })
}

/// The given quantile of sorted figures.
fn quantile(sorted: &[u64], share: f64) -> u64 {
    let at = ((sorted.len() as f64 - 1.0) * share).round() as usize;
    sorted.get(at).copied().unwrap_or_default()
}
