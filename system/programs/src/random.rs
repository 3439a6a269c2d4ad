//! Random numbers of the operating system.

use crate::start::StartError;

/// A random number, for values that have to differ between processes.
pub fn random_u64() -> u64 {
    let mut bytes = [0; 8];
    match getrandom::fill(&mut bytes) {
        Ok(()) => u64::from_le_bytes(bytes),
        Err(_) => u64::from(std::process::id()) ^ 0x9e37_79b9_7f4a_7c15,
    }
}

/// The nonce of this incarnation of the process: 64 random bits. There is no fallback without a source of random bits.
///
/// # Errors
///
/// [`StartError::System`] if the operating system has no source of random bits.
pub fn incarnation_nonce() -> Result<u64, StartError> {
    let failed = |e: getrandom::Error| StartError::System {
        what: "random bits for this life's nonce".to_owned(),
        source: std::io::Error::other(e.to_string()),
    };
    getrandom::u64().map_err(failed)
}
