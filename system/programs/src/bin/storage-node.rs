//! Keeps turns and accounts on a storage machine.

use std::process::ExitCode;

fn main() -> ExitCode {
    system_programs::start::run(system_programs::storage::check, system_programs::storage::run)
}
