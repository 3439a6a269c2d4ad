//! The settings file of a process: read at its start, once it is complete, and again when that is requested.

use node_settings::{Settings, SettingsError, SettingsProblem};
use process_lifecycle::settings_file::{UnusableFile, wait_until_usable};
use process_lifecycle::signals::SignalRequests;
use process_lifecycle::waits::Waits;
use std::path::Path;
use std::rc::Rc;

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

impl UnusableFile for SettingsFileError {
    fn is_without_content(&self) -> bool {
        matches!(self, Self::Settings(error) if error.problem != SettingsProblem::Invalid)
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
    wait_until_usable(path, waits, requests, || read(path, check)).await
}
