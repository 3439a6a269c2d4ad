//! The former name of `fleetctl`, kept for one release: says so and becomes that program.

use std::os::unix::process::CommandExt;
use std::process::{Command, ExitCode};

fn main() -> ExitCode {
    eprintln!("fleet-staff: this program is called fleetctl now; the former name goes with the next release");
    let error = match std::env::current_exe() {
        Ok(own) => Command::new(own.with_file_name("fleetctl")).args(std::env::args_os().skip(1)).exec(),
        Err(e) => e,
    };
    eprintln!("fleet-staff: starting fleetctl, which is to lie beside this program: {error}");
    ExitCode::FAILURE
}
