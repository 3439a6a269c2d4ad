//! Startup common to all programs: command line, settings, log, the single-threaded runtime and signals.

use crate::process::Process;
use bpaf::Bpaf;
use node_settings::Settings;
use request_routing::RoutingPolicy;
use std::future::Future;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::{Duration, sleep};

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

/// Retries of binding an address that is in use.
const MAX_BIND_RETRIES: usize = 40;
/// Delay between two of them.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Why a process could not start or had to stop.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The settings cannot be used.
    #[error("{0}")]
    Settings(#[from] node_settings::SettingsError),
    /// A setting that this program needs is not there.
    #[error("the settings lack {0}")]
    MissingSetting(&'static str),
    /// A socket, a thread or a signal could not be had.
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

/// Reads the command line and the settings, starts the log and the runtime, then runs `run` until it returns.
pub fn run<F: Future<Output = Result<(), StartError>>>(run: impl FnOnce(Rc<Process>) -> F) -> ExitCode {
    let options = options().run();
    let path = options
        .settings
        .or_else(|| std::env::var_os("SEDGEWOOD_BOOT").map(PathBuf::from))
        .unwrap_or_else(|| PathBuf::from("/etc/sedgewood/node.yaml"));
    let settings = match Settings::read(&path) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(2);
        }
    };
    let routing_policy = match crate::routing_policy::load(options.routing_policy.as_deref()) {
        Ok(policy) => policy,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(2);
        }
    };
    if options.check {
        println!("{}: can be used", path.display());
        return ExitCode::SUCCESS;
    }
    let logger = flexi_logger::Logger::try_with_str(format!("{}, fjall=warn, lsm_tree=warn", options.log))
        .and_then(|logger| {
            logger
                .log_to_stderr()
                .format(|w, now, record| {
                    write!(w, "{} {} {}", now.format("%H:%M:%S%.3f"), record.level(), record.args())
                })
                .start()
        });
    if let Err(e) = logger {
        eprintln!("no log: {e}");
    }
    match run_to_completion(settings, path, routing_policy, run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("process failed: error={e}");
            ExitCode::FAILURE
        }
    }
}

fn run_to_completion<F: Future<Output = Result<(), StartError>>>(
    settings: Settings,
    path: PathBuf,
    routing_policy: RoutingPolicy,
    run: impl FnOnce(Rc<Process>) -> F,
) -> Result<(), StartError> {
    let system_error = |what: &str| {
        let what = what.to_owned();
        move |source| StartError::System { what, source }
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(system_error("the runtime"))?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async move {
        let mut term = signal(SignalKind::terminate()).map_err(system_error("SIGTERM"))?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(system_error("SIGINT"))?;
        let mut hup = signal(SignalKind::hangup()).map_err(system_error("SIGHUP"))?;
        let (end, ending) = watch::channel(false);
        let process = Process::with_routing_policy(settings, path, routing_policy, ending);
        let signals = process.clone();
        tokio::task::spawn_local(async move {
            loop {
                tokio::select! {
                    _ = hup.recv() => signals.reload(),
                    _ = term.recv() => { end.send_replace(true); }
                    _ = interrupt.recv() => { end.send_replace(true); }
                }
            }
        });
        run(process).await
    })
}

/// Listens at `address` for other processes of the system, with retries: the previous process at this address may still be
/// shutting down.
///
/// # Errors
///
/// [`StartError::System`] if the address cannot be bound after all attempts.
pub async fn listen(address: SocketAddrV4) -> Result<TcpListener, StartError> {
    let bind = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address.into())?;
        socket.listen(1024)
    };
    bind_with_retries(address, bind).await
}

/// Listens at `address` for clients, operators or applications, as [`listen`] does.
///
/// # Errors
///
/// [`StartError::System`] if the address cannot be bound after all attempts.
pub async fn listen_for_clients(address: SocketAddrV4) -> Result<TcpListener, StartError> {
    bind_with_retries(address, || client_admission::listen_for_clients(address)).await
}

async fn bind_with_retries(
    address: SocketAddrV4,
    bind: impl Fn() -> std::io::Result<TcpListener>,
) -> Result<TcpListener, StartError> {
    let mut attempts = 0;
    loop {
        match bind() {
            Ok(listener) => return Ok(listener),
            Err(source) if attempts >= MAX_BIND_RETRIES => {
                return Err(StartError::System { what: format!("listening at {address}"), source });
            }
            Err(_) => attempts += 1,
        }
        sleep(BIND_RETRY_INTERVAL).await;
    }
}
