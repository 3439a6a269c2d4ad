//! The settings file of a process: read at its start, once it is complete, and again when that is requested.
//!
//! Whoever writes the file may not be done yet when the process starts. So a file that is missing, unreadable or empty is
//! waited for, and one that cannot be used counts as final only once it has not changed for [`SETTLE_TIME`].

use node_settings::{Settings, SettingsError, SettingsProblem};
use process_lifecycle::signals::SignalRequests;
use process_lifecycle::waits::{Wait, Waits};
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use tokio::time::{Instant, sleep};

/// A file that cannot be used and has not changed for this long can never be used.
pub const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Between two looks at a file that cannot be used yet.
const READ_INTERVAL: Duration = Duration::from_millis(100);

/// A setting that a program needs is not there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the settings lack {0}")]
pub struct MissingSetting(pub &'static str);

/// Finds a setting that a program needs and that is not there.
pub type SettingsCheck = fn(&Settings) -> Result<(), MissingSetting>;

/// Why a settings file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsFileError {
    /// Its content cannot be used by any program.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// It lacks what this program needs.
    #[error(transparent)]
    Missing(#[from] MissingSetting),
}

impl SettingsFileError {
    /// Whether the file has no content that could be final.
    fn is_without_content(&self) -> bool {
        matches!(self, Self::Settings(error) if error.problem != SettingsProblem::Invalid)
    }
}

/// What shows that a file has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Fingerprint {
    length: u64,
    modified: Option<SystemTime>,
}

impl Fingerprint {
    fn of(path: &Path) -> Option<Self> {
        let metadata = std::fs::metadata(path).ok()?;
        Some(Self { length: metadata.len(), modified: metadata.modified().ok() })
    }
}

/// Reads the settings.
///
/// # Errors
///
/// [`SettingsFileError`] if they cannot be used.
pub fn read(path: &Path, check: SettingsCheck) -> Result<Settings, SettingsFileError> {
    let settings = Settings::read(path)?;
    check(&settings)?;
    Ok(settings)
}

/// Reads the settings, and waits for them if they cannot be used yet.
///
/// # Errors
///
/// [`SettingsFileError`] if they can never be used.
pub async fn wait_for_settings(
    path: &Path,
    check: SettingsCheck,
    waits: &Rc<Waits>,
    requests: &SignalRequests,
) -> Result<Settings, SettingsFileError> {
    let mut reloads = requests.reloads.clone();
    let mut wait: Option<Wait> = None;
    let mut unchanged_since: Option<(Option<Fingerprint>, Instant)> = None;
    loop {
        let fingerprint = Fingerprint::of(path);
        let error = match read(path, check) {
            Ok(settings) => return Ok(settings),
            Err(error) => error,
        };
        wait.get_or_insert_with(|| waits.begin("complete settings", &error)).remind(&error);
        match &unchanged_since {
            _ if error.is_without_content() => unchanged_since = None,
            Some((known, since)) if *known == fingerprint => {
                if since.elapsed() >= SETTLE_TIME {
                    return Err(error);
                }
            }
            _ => unchanged_since = Some((fingerprint, Instant::now())),
        }
        tokio::select! {
            () = sleep(READ_INTERVAL) => {}
            Ok(()) = reloads.changed() => {}
        }
    }
}
