//! The former name of `message-sender`, kept for one release: says so and becomes that program.

use std::os::unix::process::CommandExt;
use std::process::{Command, ExitCode};

fn main() -> ExitCode {
    eprintln!(
        "micadrum: this program is called message-sender now; the former name goes with the next release"
    );
    let error = match std::env::current_exe() {
        Ok(own) => {
            Command::new(own.with_file_name("message-sender")).args(std::env::args_os().skip(1)).exec()
        }
        Err(e) => e,
    };
    eprintln!("micadrum: starting message-sender, which is to lie beside this program: {error}");
    ExitCode::FAILURE
}
