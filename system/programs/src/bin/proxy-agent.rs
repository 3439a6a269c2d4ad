//! Follows the feed beside each proxy.

use std::process::ExitCode;

fn main() -> ExitCode {
    system_programs::start::run(system_programs::agent::check, system_programs::agent::run)
}
