//! Carries requests of clients to endpoints.

use std::process::ExitCode;

fn main() -> ExitCode {
    system_programs::start::run(system_programs::proxy::check, system_programs::proxy::run)
}
