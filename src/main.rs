//! The sender as a network service: accepts messages from clients and delivers them to endpoints.
use message_sender::config::{self, ConfigError};
use message_sender::net;
use net::Descriptors;
use net::admin_endpoint::{self, ServiceState};
use net::discovery;
use net::fleet;
use net::handover::{self, Claim, Inherited};
use net::host::{Ended, Estate, Host, Links, Origin};
use net::input::Input;
use net::journal::Journal;
use net::log;
use net::notices;
use net::server::{self, Doors};
use net::telemetry::Shared;
use net::tuning::Tuning;
use process_lifecycle::log_output::LogOutput;
use process_lifecycle::settings_file::{UnusableFile, wait_until_usable};
use process_lifecycle::signals::SignalRequests;
use process_lifecycle::supervisor::{Parts, Restarts, supervise};
use process_lifecycle::waits::Waits;
use process_lifecycle::{panics, runtime, shutdown};
use serde_json::{Map, Value};
use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Semaphore, mpsc, oneshot, watch};
use tokio::time::{Instant, timeout, timeout_at};

#[cfg(feature = "count-allocations")]
#[global_allocator]
static COUNTED: &stats_alloc::StatsAlloc<std::alloc::System> = &stats_alloc::INSTRUMENTED_SYSTEM;

/// Between two attempts to listen at an address that another process holds.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Share of the memory for request bodies that are being read. Held messages may use a quarter of the memory, and
/// connection buffers take most of the rest.
const REQUEST_BODY_MEMORY_SHARE: f64 = 0.125;
/// Length of the kernel's queue of connections that are not yet accepted.
const BACKLOG: u32 = 1024;
/// Time to send the remaining responses after the graceful shutdown period.
const RESPONSE_FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// How long the fleet's voters may take to agree that this sender leaves; SIGKILL follows 3.7 s after SIGTERM.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time for the process to close its files once its work has ended.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

#[derive(Debug, thiserror::Error)]
enum StartError {
    #[error("${0} is not set")]
    Unset(&'static str),
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("configuration: seed {0:?} is not hexadecimal")]
    Seed(String),
    #[error(transparent)]
    Handover(#[from] handover::HandoverError),
    #[error(transparent)]
    Journal(#[from] net::journal::JournalError),
    #[error(transparent)]
    Log(#[from] log::LogError),
    #[error(transparent)]
    Fleet(#[from] fleet::FleetError),
    #[error("settings: {0}")]
    Settings(String),
    #[error("settings: key {0:?} is missing, but is present in the running configuration")]
    MissingKey(String),
    #[error("listening on {address}: {source}")]
    Listen { address: SocketAddr, source: std::io::Error },
    #[error("starting: {0}")]
    System(#[from] std::io::Error),
}

/// A configuration that cannot be used.
struct UnusableConfig {
    error: StartError,
    is_without_content: bool,
}

impl fmt::Display for UnusableConfig {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.error.fmt(formatter)
    }
}

impl UnusableFile for UnusableConfig {
    fn is_without_content(&self) -> bool {
        self.is_without_content
    }
}

/// The configuration of a process, with the text that it was read from.
struct Configuration {
    document: Value,
    config: config::Config,
    tuning: Tuning,
    seed: u64,
}

/// Reads the configuration and checks all of it.
fn read_configuration(path: &Path) -> Result<Configuration, StartError> {
    let (document, config) = config::read(path)?;
    check_configuration(document, config)
}

/// The configuration for a restart: that of the file, or the one in force while the file cannot be used.
fn configuration_for_restart(lifecycle: &Lifecycle) -> Result<Configuration, StartError> {
    read_configuration(&lifecycle.path).or_else(|error| {
        tracing::warn!("restarting with the configuration in force, as the file cannot be used: {error}");
        let document = lifecycle.document.borrow().clone();
        let config = config::from_document(&lifecycle.path, &document)?;
        check_configuration(document, config)
    })
}

/// Checks what the typed form of a configuration leaves open.
fn check_configuration(document: Value, config: config::Config) -> Result<Configuration, StartError> {
    let seed = u64::from_str_radix(&config.seed, 16).map_err(|_| StartError::Seed(config.seed.clone()))?;
    let tuning = Tuning::new(config.settings.clone()).map_err(StartError::Settings)?;
    Ok(Configuration { document, config, tuning, seed })
}

/// Reads the configuration, and waits for it if it cannot be used yet.
async fn wait_for_configuration(
    path: &Path,
    waits: &Rc<Waits>,
    requests: &SignalRequests,
) -> Result<Configuration, StartError> {
    let read = || {
        read_configuration(path).map_err(|error| {
            let content = std::fs::read(path).unwrap_or_default();
            UnusableConfig { error, is_without_content: content.trim_ascii().is_empty() }
        })
    };
    wait_until_usable(path, waits, requests, read).await.map_err(|unusable| unusable.error)
}

fn environment_path(name: &'static str) -> Result<PathBuf, StartError> {
    std::env::var_os(name).map(PathBuf::from).ok_or(StartError::Unset(name))
}

/// This sender's name in the log: its name in the fleet, `$PROXY_NAME` or its listening address.
fn sender_name(config: &config::Config) -> String {
    let from_environment = std::env::var("PROXY_NAME").ok().filter(|name| !name.is_empty());
    let member = config.fleet.as_ref().map(|fleet| fleet.member.clone());
    member.or(from_environment).unwrap_or_else(|| config.listen.to_string())
}

/// A key that `old` has and `new` lacks, in nested objects that both have. Each object in a list, such as the message
/// classes, must have the keys that all objects of the old list have in common.
fn missing_key(old: &Value, new: &Value) -> Option<String> {
    let missing_in_object = |old: &Map<String, Value>, new: &Map<String, Value>| {
        old.iter().find_map(|(key, value)| match new.get(key) {
            None => Some(key.clone()),
            Some(other) => missing_key(value, other),
        })
    };
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => missing_in_object(old, new),
        (Value::Array(old), Value::Array(new)) => {
            let mut old_objects = old.iter().filter_map(Value::as_object);
            let first = old_objects.next()?;
            let common: Vec<&String> = first
                .keys()
                .filter(|key| old_objects.clone().all(|other| other.contains_key(*key)))
                .collect();
            let mut new_objects = new.iter().filter_map(Value::as_object);
            new_objects.find_map(|object| {
                common.iter().find(|key| !object.contains_key(**key)).map(|key| key.to_string())
            })
        }
        _ => None,
    }
}

/// Listens for clients. Retries while the address cannot be had, as a previous process that cannot hand over may still be
/// shutting down.
async fn bind(address: SocketAddr, waits: &Rc<Waits>) -> std::net::TcpListener {
    let listen = || {
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        // Unread bytes count as memory. A kernel that does not know the option has bounds of its own.
        let _ = socket.set_recv_buffer_size(client_admission::RECEIVE_BUFFER_BYTES);
        socket.bind(address)?;
        socket.listen(BACKLOG)?.into_std()
    };
    waits.retry(&format!("address {address}"), BIND_RETRY_INTERVAL, async || listen()).await
}

/// Serves the admin endpoint, at once if its address can be had, and otherwise as soon as it can.
fn serve_admin(
    address: SocketAddr,
    waits: &Rc<Waits>,
    parts: &Parts,
    start: impl Fn(std::net::TcpListener) -> std::io::Result<()> + 'static,
) {
    let listen = move || {
        let listener = std::net::TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        start(listener)?;
        tracing::info!("second address: {address}");
        Ok::<_, std::io::Error>(())
    };
    if listen().is_ok() {
        return;
    }
    let waits = waits.clone();
    parts.spawn_task("second address", async move {
        waits.retry(&format!("address {address}"), BIND_RETRY_INTERVAL, async || listen()).await;
    });
}

/// What outlives a restart of the sender within its process.
struct Lifecycle {
    path: PathBuf,
    /// The document of the configuration in force.
    document: Rc<RefCell<Value>>,
    state_directory: PathBuf,
    log: log::Handle,
    waits: Rc<Waits>,
    restarts: Restarts,
}

/// Runs the sender until it is told to end, or another process has taken over.
async fn run(
    configuration: Configuration,
    lifecycle: &Lifecycle,
    requests: &SignalRequests,
    parts: Parts,
) -> Result<(), StartError> {
    let Configuration { document, config, tuning, seed } = configuration;
    lifecycle.document.replace(document);
    let (waits, state_directory) = (&lifecycle.waits, &lifecycle.state_directory);
    let (service_state, service_state_receiver) = watch::channel(ServiceState::Starting);
    let (admin_commands, mut admin_command_receiver) = mpsc::channel(admin_endpoint::MAX_CONNECTIONS);
    let shared = Arc::new(Shared::default());
    shared.restarts.store(lifecycle.restarts.count(), Ordering::Relaxed);
    // Without a `fleet` section, none of the fleet's tasks are started.
    let (fleet_commands, fleet_command_receiver) = match &config.fleet {
        Some(_) => Some(mpsc::channel(admin_endpoint::MAX_CONNECTIONS)).unzip(),
        None => (None, None),
    };
    // Dropped with this run.
    let (_run, run_receiver) = watch::channel(());
    if let Some(address) = config.admin_address {
        let (fleet_commands, reporter) = (fleet_commands.clone(), parts.reporter("admin endpoint"));
        let start = move |listener| {
            let (commands, state) = (admin_commands.clone(), service_state_receiver.clone());
            let (run, reporter) = (run_receiver.clone(), reporter.clone());
            admin_endpoint::spawn(listener, commands, state, fleet_commands.clone(), run, reporter)
        };
        serve_admin(address, waits, &parts, start);
    }
    let zone = config.settings.zone().to_owned();
    let poll_intervals = discovery::Pauses::new(seed, tuning.senders(), tuning.must_ask_in());
    // The lock makes this process the only one that uses the journal. `inherited` is the state of a previous process
    // that handed over.
    let (lock, inherited) = if lifecycle.restarts.count() == 0 {
        handover::claim(state_directory, &tuning.numbering()).await?
    } else {
        match handover::claim_again(state_directory)? {
            Claim::Locked(lock) => (lock, None),
            Claim::HeldByAnother => {
                tracing::error!("another process has taken over while this one failed, ending");
                return Ok(());
            }
        }
    };
    let (inputs, mut input_receiver) = mpsc::unbounded_channel();
    let (notice_sender, notice_receiver) = mpsc::unbounded_channel();
    let (doors, doors_receiver) = watch::channel(Doors::Open);
    let (discovery_address, discovery_address_receiver) = watch::channel(config.discovery);
    let memory = config.limits.memory_mb.map(|mb| mb * 1e6);
    let descriptors = Descriptors::share(config.limits.sockets, memory.map(|bytes| bytes as usize));
    let (listener, origin, revision, inherited_clients) = match inherited {
        None => {
            let revision = config.initial_endpoints.revision;
            (bind(config.listen, waits).await, Origin::Listed(config.initial_endpoints), revision, 0)
        }
        Some(Inherited { state, listener, stream }) => {
            let relayed_inputs = inputs.clone();
            let (to_old_process, _) =
                handover::link(stream, move |message| relayed_inputs.send(Input::Old(message)).is_ok());
            let (revision, clients) = (state.revision, state.clients);
            (listener, Origin::Inherited(state, to_old_process), revision, clients)
        }
    };
    // The memory limit also bounds the journal: accepted messages are held in memory too, and the next start reads the
    // whole journal.
    let fleet_disk = if config.fleet.is_some() { fleet::DISK as f64 } else { 0.0 };
    let disk = (config.limits.disk_mb * 1e6 - fleet_disk).min(memory.unwrap_or(f64::INFINITY)).max(0.0);
    let (journal, damage) = Journal::open(state_directory, disk as u64)?;
    if damage != net::journal::Damage::default() {
        tracing::warn!(
            "journal: truncated {} bytes at the end, skipped {} unreadable bytes",
            damage.torn,
            damage.skipped
        );
    }
    let (stop_fleet, fleet_stop_receiver) = watch::channel(false);
    if let (Some(fleet), Some(commands)) = (&config.fleet, fleet_command_receiver) {
        fleet::spawn(fleet, &zone, state_directory, commands, fleet_stop_receiver)?;
    }
    let connection_permits = Arc::new(Semaphore::new(descriptors.clients.saturating_sub(inherited_clients)));
    let listen_error = |source| StartError::Listen { address: config.listen, source };
    let estate = Estate { lock, journal, listener: listener.try_clone().map_err(listen_error)? };
    let links = Links {
        inputs: inputs.clone(),
        notices: notice_sender,
        doors,
        standing: service_state,
        room: connection_permits.clone(),
        most_clients: descriptors.clients,
        shared: shared.clone(),
    };
    let host = Host::new(tuning, seed, origin, estate, descriptors.endpoints, links)
        .map_err(StartError::Settings)?;
    // Clients are accepted only now, after recovery of the messages that are still to be delivered.
    listener.set_nonblocking(true).map_err(listen_error)?;
    let listener = TcpListener::from_std(listener).map_err(listen_error)?;
    tracing::info!("listening on {}", listener.local_addr()?);
    let discovering = discovery::watch(
        discovery_address_receiver.clone(),
        revision,
        poll_intervals,
        inputs.clone(),
        shared.clone(),
    );
    let discovery_task = parts.spawn_send_task("discovery", discovering);
    let noticing =
        notices::run(discovery_address_receiver, notice_receiver, !seed, inputs.clone(), shared.clone());
    parts.spawn_send_task("notices", noticing);
    let takeover_inputs = inputs.clone();
    if let Err(e) =
        handover::listen(state_directory, move |stream| takeover_inputs.send(Input::TakeOver(stream)).is_ok())
    {
        tracing::warn!("handover is unavailable, no new process can take over from this one: {e}");
    }
    let signal_inputs = inputs.clone();
    let shutdown_requests = requests.clone();
    parts.spawn_task("shutdown", async move {
        shutdown_requests.shutdown_requested().await;
        let _ = signal_inputs.send(Input::WindDown);
    });
    let reloading = Reloading {
        reloads: requests.reloads.clone(),
        path: lifecycle.path.clone(),
        running: lifecycle.document.clone(),
        discovery_address,
        host: inputs.clone(),
        shared: shared.clone(),
        log: lifecycle.log.clone(),
    };
    parts.spawn_task("reload", reloading.run());
    let request_bodies = server::bodies(memory.map(|memory| (memory * REQUEST_BODY_MEMORY_SHARE) as usize));
    let serving = server::serve(
        listener,
        connection_permits,
        descriptors.clients,
        inputs,
        doors_receiver,
        request_bodies,
        shared,
    );
    let server = parts.spawn_send_task("server", serving);
    parts.set_started();
    match host.run(&mut input_receiver, &mut admin_command_receiver).await {
        Ended::HandedOver(remains) => {
            parts.set_superseded();
            // The new process becomes the fleet's member, and listens on the member's address.
            stop_fleet.send_replace(true);
            discovery_task.abort();
            remains.pass_on(input_receiver, admin_command_receiver, server).await;
        }
        Ended::WoundDown(deadline) => {
            // No message is accepted any more: closing the channel rejects pending submissions at once.
            drop(input_receiver);
            if let Some(commands) = fleet_commands.filter(|_| config.fleet.is_some_and(|fleet| fleet.leave)) {
                leave(&commands).await;
            }
            let deadline = deadline.max(Instant::now()) + RESPONSE_FLUSH_TIMEOUT;
            drop(timeout_at(deadline, server).await);
        }
    }
    Ok(())
}

/// Leaves the fleet. If the voters do not agree in time, the process ends nevertheless, and the other members consider
/// this sender failed.
async fn leave(fleet_commands: &mpsc::Sender<fleet::Asked>) {
    let (response, response_receiver) = oneshot::channel();
    let command = fleet::Asked::Order(sender_membership::Command::Leave, response);
    if fleet_commands.send(command).await.is_ok() {
        match timeout(LEAVE_TIMEOUT, response_receiver).await {
            Ok(Ok(Ok(_))) => tracing::info!("fleet: left the fleet"),
            Ok(Ok(Err(e))) => tracing::warn!("fleet: leaving failed: {e}"),
            _ => tracing::warn!("fleet: leaving failed: the voters did not agree in time"),
        }
    }
}

/// Applies the settings, the discovery address and the log level of the configuration file at each SIGHUP. A file with
/// an error changes nothing. Listening addresses and limits take effect at the next start.
struct Reloading {
    reloads: watch::Receiver<u64>,
    path: PathBuf,
    running: Rc<RefCell<Value>>,
    discovery_address: watch::Sender<SocketAddr>,
    host: UnboundedSender<Input>,
    shared: Arc<Shared>,
    log: log::Handle,
}

impl Reloading {
    async fn run(mut self) {
        while self.reloads.changed().await.is_ok() {
            let running = self.running.borrow().clone();
            let result = apply_configuration(&self.path, &running, &self.host).await;
            self.shared.reloads.count(result.is_ok());
            match result {
                Ok((document, address, level)) => {
                    self.log.set(level);
                    tracing::info!("reloaded: settings applied, discovery address is {address}");
                    self.running.replace(document);
                    self.discovery_address.send_replace(address);
                }
                Err(e) => tracing::warn!("not reloaded, keeping the running configuration: {e}"),
            }
        }
    }
}

async fn apply_configuration(
    path: &Path,
    running: &Value,
    host: &UnboundedSender<Input>,
) -> Result<(Value, SocketAddr, config::Level), StartError> {
    let (document, new) = config::read(path)?;
    if let Some(key) = missing_key(&running["settings"], &document["settings"]) {
        return Err(StartError::MissingKey(key));
    }
    let tuning = Tuning::new(new.settings).map_err(StartError::Settings)?;
    let (response, response_receiver) = oneshot::channel();
    let _ = host.send(Input::Retune(Box::new(tuning), response));
    // A host that has ended does not respond, and has no settings left to change.
    response_receiver.await.unwrap_or(Ok(())).map_err(StartError::Settings)?;
    Ok((document, new.discovery, new.log.unwrap_or_else(config::Log::unconfigured).level))
}

fn serve() -> ExitCode {
    panics::log_and_count();
    // Before anything that takes time: a signal that has no handler yet ends the process.
    let (runtime, signals) = runtime::start();
    let served = runtime.block_on(async move { serve_until_shutdown(&signals.forward()).await });
    // Threads that wait for a disk are not waited for.
    shutdown::exit_within(CLOSE_TIMEOUT);
    drop(runtime);
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            LogOutput::stderr().write_line(format!("message-sender: {e}").as_bytes());
            ExitCode::FAILURE
        }
    }
}

/// Runs the sender, and again whenever it has failed, until it is told to end.
///
/// # Errors
///
/// [`StartError`] if its configuration can never be used.
async fn serve_until_shutdown(requests: &SignalRequests) -> Result<(), StartError> {
    let (path, state_directory) = (environment_path("PROXY_CONFIG")?, environment_path("PROXY_STATE")?);
    log::forward_log_records();
    let waits = Rc::new(Waits::default());
    let configuration = tokio::select! {
        configuration = wait_for_configuration(&path, &waits, requests) => configuration?,
        () = requests.shutdown_requested() => return Ok(()),
    };
    let log_config = configuration.config.log.clone().unwrap_or_else(config::Log::unconfigured);
    let log = log::begin(&log_config, &sender_name(&configuration.config))?;
    // Each run puts its own document there.
    let document = Rc::default();
    let lifecycle = Lifecycle { path, document, state_directory, log, waits, restarts: Restarts::default() };
    let mut first = Some(configuration);
    supervise(requests, &lifecycle.restarts, |parts| {
        let configuration = first.take().map_or_else(|| configuration_for_restart(&lifecycle), Ok);
        let lifecycle = &lifecycle;
        async move { run(configuration?, lifecycle, requests, parts).await }
    })
    .await;
    Ok(())
}

fn main() -> ExitCode {
    // The platform starts the program without arguments: the sender does not pay for parsing a command line.
    if std::env::args_os().len() <= 1 {
        return serve();
    }
    // The command line is a separate program in the same directory: its dependencies would cost each sender 1.3 MB.
    let error = match std::env::current_exe() {
        Ok(executable) => Command::new(executable.with_file_name("message-sender-cli"))
            .args(std::env::args_os().skip(1))
            .exec(),
        Err(e) => e,
    };
    eprintln!("message-sender: cannot start message-sender-cli in the directory of this program: {error}");
    ExitCode::FAILURE
}
