//! The former name of `message-sender`, kept for one release: prints a warning and executes that program.

use std::os::unix::process::CommandExt;
use std::process::{Command, ExitCode};

fn main() -> ExitCode {
    eprintln!("micadrum: renamed to message-sender; the next release will not include the former name");
    let error = match std::env::current_exe() {
        Ok(executable) => {
            Command::new(executable.with_file_name("message-sender")).args(std::env::args_os().skip(1)).exec()
        }
        Err(e) => e,
    };
    eprintln!("micadrum: cannot start message-sender in the directory of this program: {error}");
    ExitCode::FAILURE
}
