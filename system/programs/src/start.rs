//! Startup common to all programs: signals, log, command line, settings, and the supervision of the program's body.

use crate::process::{Lifecycle, Process, SettingsSource};
use crate::settings_file::{self, MissingSetting, SettingsCheck};
use bpaf::Bpaf;
use process_lifecycle::log_output::LogOutput;
use process_lifecycle::signals::SignalRequests;
use process_lifecycle::supervisor::{Restarts, supervise};
use process_lifecycle::waits::Waits;
use process_lifecycle::{panics, runtime, shutdown, working_directory};
use request_routing::RoutingPolicy;
use std::future::Future;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

/// The command line of every program.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
#[allow(clippy::doc_markdown, reason = "the comments are the help text")]
struct Options {
    /// The settings file; otherwise what SEDGEWOOD_BOOT names
    #[bpaf(argument("FILE"), optional)]
    settings: Option<PathBuf>,
    /// Lines of this level and above: error, warn, info, debug
    #[bpaf(argument("LEVEL"), fallback("info".to_owned()))]
    log: String,
    /// For trials: decision mechanisms to switch off; otherwise what SEDGEWOOD_ROUTING_POLICY names
    #[bpaf(argument("FILE"), optional)]
    routing_policy: Option<PathBuf>,
    /// Check the settings, tell all findings, and end
    check: bool,
}

/// The exit code of a process whose command line or settings can never be used.
const EXIT_UNUSABLE: u8 = 2;
/// Time for a process to close its files once its work has ended.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Why the body of a program could not start. It is started again after a while.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A setting that this program needs is not there.
    #[error(transparent)]
    MissingSetting(#[from] MissingSetting),
    /// A thread or random bits could not be had.
    #[error("{what}: {source}")]
    System {
        /// What was tried.
        what: String,
        /// Why it failed.
        source: std::io::Error,
    },
    /// The disk cannot be used.
    #[error("the data directory: {0}")]
    Disk(String),
}

/// Runs a program until it is told to end. `check` finds a setting that the program needs and does not have.
pub fn run<F: Future<Output = Result<(), StartError>>>(
    check: SettingsCheck,
    body: impl Fn(Rc<Process>) -> F,
) -> ExitCode {
    panics::log_and_count();
    // Before anything that takes time: a signal that has no handler yet ends the process.
    let (runtime, signals) = runtime::start();
    let options = match options().run_inner(bpaf::Args::current_args()) {
        Ok(options) => options,
        Err(failure) => return print_failure(failure),
    };
    let path = options.settings.clone().or_else(|| std::env::var_os("SEDGEWOOD_BOOT").map(PathBuf::from));
    let path = path.unwrap_or_else(|| PathBuf::from("/etc/sedgewood/node.yaml"));
    if options.check {
        return print_check(&path, check);
    }
    crate::log_lines::start(&options.log);
    let routing_policy = match crate::routing_policy::load(options.routing_policy.as_deref()) {
        Ok(policy) => policy,
        Err(e) => {
            log::error!("routing policy cannot be used: error={e}");
            return ExitCode::from(EXIT_UNUSABLE);
        }
    };
    let exit_code = runtime.block_on(async move {
        let requests = signals.forward();
        run_program(&path, routing_policy, &requests, check, body).await
    });
    // Threads that wait for a disk are not waited for.
    shutdown::exit_within(CLOSE_TIMEOUT);
    drop(runtime);
    exit_code
}

async fn run_program<F: Future<Output = Result<(), StartError>>>(
    path: &Path,
    routing_policy: RoutingPolicy,
    requests: &SignalRequests,
    check: SettingsCheck,
    body: impl Fn(Rc<Process>) -> F,
) -> ExitCode {
    let waits = Rc::new(Waits::default());
    let first_settings = tokio::select! {
        settings = settings_file::wait_for_settings(path, check, &waits, requests) => settings,
        () = requests.shutdown_requested() => return ExitCode::SUCCESS,
    };
    let mut settings = match first_settings {
        Ok(settings) => settings,
        Err(e) => {
            log::error!("settings cannot be used: {e}");
            return ExitCode::from(EXIT_UNUSABLE);
        }
    };
    let restarts = Rc::new(Restarts::default());
    supervise(requests, &restarts, |parts| {
        working_directory::leave_if_removed();
        // A restart takes the settings of its moment, if they can be used.
        if restarts.count() > 0
            && let Ok(newer) = settings_file::read(path, check)
        {
            settings = newer;
        }
        let source = SettingsSource { settings: settings.clone(), path: path.to_owned(), check };
        let lifecycle =
            Lifecycle { waits: waits.clone(), restarts: restarts.clone(), requests: requests.clone() };
        let process = Process::supervised(source, routing_policy.clone(), lifecycle, parts);
        let running = body(process.clone());
        async move {
            process.spawn_part("settings", process.clone().reload_on_request());
            running.await
        }
    })
    .await;
    ExitCode::SUCCESS
}

/// Prints the help, the version, or what is wrong with the command line.
fn print_failure(failure: bpaf::ParseFailure) -> ExitCode {
    if matches!(failure, bpaf::ParseFailure::Stderr(_)) {
        LogOutput::stderr().write_line(failure.unwrap_stderr().as_bytes());
        return ExitCode::from(EXIT_UNUSABLE);
    }
    // A reader that has gone is no failure.
    let _ = writeln!(io::stdout(), "{}", failure.unwrap_stdout());
    ExitCode::SUCCESS
}

/// Prints whether settings can be used.
fn print_check(path: &Path, check: SettingsCheck) -> ExitCode {
    match settings_file::read(path, check) {
        Ok(_) => {
            let _ = writeln!(io::stdout(), "{}: can be used", path.display());
            ExitCode::SUCCESS
        }
        Err(e) => {
            LogOutput::stderr().write_line(e.to_string().as_bytes());
            ExitCode::from(EXIT_UNUSABLE)
        }
    }
}
