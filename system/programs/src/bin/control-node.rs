//! A voter of the register, and the operator's API.

use std::process::ExitCode;

fn main() -> ExitCode {
    system_programs::start::run(system_programs::control::check, system_programs::control::run)
}
