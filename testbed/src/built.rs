//! Programs of this project, built by cargo in the profile of the test bed itself before a run uses them.

use crate::fleet::{FleetError, io};
use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Builds what `target` names if it is not up to date, and returns the folder that holds `programs`. Where the test bed runs
/// without the project's sources, the programs have to lie beside it.
pub(crate) fn build_folder(
    target: &[&str],
    programs: impl IntoIterator<Item = &'static str>,
) -> Result<PathBuf, FleetError> {
    let folder = folder_of_lab()?;
    let manifest = Path::new(env!("CARGO_MANIFEST_DIR")).join("../Cargo.toml");
    if manifest.exists() {
        build(target, &manifest, &folder)?;
    }
    let missing = programs.into_iter().map(|program| folder.join(program)).find(|program| !program.exists());
    match missing {
        Some(program) => Err(FleetError::Build(format!("{} is missing", program.display()))),
        None => Ok(folder),
    }
}

/// Where cargo puts programs of the test bed's own profile.
fn folder_of_lab() -> Result<PathBuf, FleetError> {
    let lab = std::env::current_exe().map_err(io("finding this program"))?;
    let folder = lab.parent().unwrap_or(Path::new("."));
    // Tests run one folder deeper.
    let folder = if folder.ends_with("deps") { folder.parent().unwrap_or(folder) } else { folder };
    Ok(folder.to_owned())
}

fn build(target: &[&str], manifest: &Path, folder: &Path) -> Result<(), FleetError> {
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| OsString::from("cargo"));
    let mut command = Command::new(cargo);
    command.args(["build", "--quiet", "--locked"]).args(target);
    command.arg("--manifest-path").arg(manifest);
    command.arg("--target-dir").arg(folder.parent().unwrap_or(folder));
    if folder.ends_with("release") {
        command.arg("--release");
    }
    let built = command.output().map_err(io("starting cargo"))?;
    if built.status.success() {
        return Ok(());
    }
    Err(FleetError::Build(String::from_utf8_lossy(&built.stderr).into_owned()))
}
