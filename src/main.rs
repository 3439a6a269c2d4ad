//! The sender as a network service: accepts messages from clients and delivers them to endpoints.
use message_sender::config::{self, ConfigError};
use message_sender::net;
use net::Descriptors;
use net::admin_endpoint::{self, ServiceState};
use net::discovery;
use net::fleet;
use net::handover::{self, Inherited};
use net::host::{Ended, Estate, Host, Links, Origin};
use net::input::Input;
use net::journal::Journal;
use net::log;
use net::notices;
use net::server::{self, Doors};
use net::telemetry::Shared;
use net::tuning::Tuning;
use serde_json::{Map, Value};
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Semaphore, mpsc, oneshot, watch};
use tokio::time::{Instant, sleep, timeout, timeout_at};

#[cfg(feature = "count-allocations")]
#[global_allocator]
static COUNTED: &stats_alloc::StatsAlloc<std::alloc::System> = &stats_alloc::INSTRUMENTED_SYSTEM;

/// How long another process may hold the listening address: the platform sends SIGTERM to the process that is replaced
/// after 6 s, and SIGKILL within 4 s of that.
const BIND_TIMEOUT: Duration = Duration::from_secs(12);
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
    Runtime(#[from] std::io::Error),
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

/// Listens for clients. Retries while the address is in use, as a previous process that cannot hand over may still be
/// shutting down.
async fn bind(address: SocketAddr) -> Result<std::net::TcpListener, StartError> {
    let to_error = |source| StartError::Listen { address, source };
    let deadline = Instant::now() + BIND_TIMEOUT;
    loop {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() };
        let socket = socket.map_err(to_error)?;
        socket.set_reuseaddr(true).map_err(to_error)?;
        // Unread bytes count as memory. A kernel that does not know the option has bounds of its own.
        let _ = socket.set_recv_buffer_size(client_admission::RECEIVE_BUFFER_BYTES);
        match socket.bind(address).and_then(|()| socket.listen(BACKLOG)) {
            Ok(listener) => return listener.into_std().map_err(to_error),
            Err(e) if e.kind() == std::io::ErrorKind::AddrInUse && Instant::now() < deadline => {
                sleep(BIND_RETRY_INTERVAL).await;
            }
            Err(source) => return Err(to_error(source)),
        }
    }
}

async fn run() -> Result<(), StartError> {
    // First, since SIGHUP ends a process that does not handle it.
    let hangup = signal(SignalKind::hangup())?;
    let path = environment_path("PROXY_CONFIG")?;
    let (document, config) = config::read(&path)?;
    let log =
        log::begin(&config.log.clone().unwrap_or_else(config::Log::unconfigured), &sender_name(&config))?;
    let seed = u64::from_str_radix(&config.seed, 16).map_err(|_| StartError::Seed(config.seed))?;
    let (service_state, service_state_receiver) = watch::channel(ServiceState::Starting);
    let (admin_commands, mut admin_command_receiver) = mpsc::channel(admin_endpoint::MAX_CONNECTIONS);
    let shared = Arc::new(Shared::default());
    // Without a `fleet` section, none of the fleet's tasks are started.
    let (fleet_commands, fleet_command_receiver) = match &config.fleet {
        Some(_) => Some(mpsc::channel(admin_endpoint::MAX_CONNECTIONS)).unzip(),
        None => (None, None),
    };
    if let Some(address) = config.admin_address {
        let to_error = |source| StartError::Listen { address, source };
        let listener = std::net::TcpListener::bind(address).map_err(to_error)?;
        tracing::info!("second address: {}", listener.local_addr().map_err(to_error)?);
        admin_endpoint::spawn(listener, admin_commands, service_state_receiver, fleet_commands.clone())
            .map_err(to_error)?;
    }
    let zone = config.settings.zone().to_owned();
    let tuning = Tuning::new(config.settings).map_err(StartError::Settings)?;
    let poll_intervals = discovery::Pauses::new(seed, tuning.senders(), tuning.must_ask_in());
    let state_directory = environment_path("PROXY_STATE")?;
    // The lock makes this process the only one that uses the journal. `inherited` is the state of a previous process
    // that handed over.
    let (lock, inherited) = handover::claim(&state_directory, &tuning.numbering()).await?;
    let (inputs, mut input_receiver) = mpsc::unbounded_channel();
    let (notice_sender, notice_receiver) = mpsc::unbounded_channel();
    let (doors, doors_receiver) = watch::channel(Doors::Open);
    let (discovery_address, discovery_address_receiver) = watch::channel(config.discovery);
    let memory = config.limits.memory_mb.map(|mb| mb * 1e6);
    let descriptors = Descriptors::share(config.limits.sockets, memory.map(|bytes| bytes as usize));
    let (listener, origin, revision, inherited_clients) = match inherited {
        None => {
            let revision = config.initial_endpoints.revision;
            (bind(config.listen).await?, Origin::Listed(config.initial_endpoints), revision, 0)
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
    let (journal, damage) = Journal::open(&state_directory, disk as u64)?;
    if damage != net::journal::Damage::default() {
        tracing::warn!(
            "journal: truncated {} bytes at the end, skipped {} unreadable bytes",
            damage.torn,
            damage.skipped
        );
    }
    let (stop_fleet, fleet_stop_receiver) = watch::channel(false);
    if let (Some(fleet), Some(commands)) = (&config.fleet, fleet_command_receiver) {
        fleet::spawn(fleet, &zone, &state_directory, commands, fleet_stop_receiver)?;
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
    let discovery_task = tokio::spawn(discovery::watch(
        discovery_address_receiver.clone(),
        revision,
        poll_intervals,
        inputs.clone(),
        shared.clone(),
    ));
    tokio::spawn(notices::run(
        discovery_address_receiver,
        notice_receiver,
        !seed,
        inputs.clone(),
        shared.clone(),
    ));
    let takeover_inputs = inputs.clone();
    if let Err(e) = handover::listen(&state_directory, move |stream| {
        takeover_inputs.send(Input::TakeOver(stream)).is_ok()
    }) {
        tracing::warn!("handover is unavailable, no new process can take over from this one: {e}");
    }
    let (mut terminated, mut interrupted) =
        (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    let signal_inputs = inputs.clone();
    tokio::spawn(async move {
        tokio::select! {
            _ = terminated.recv() => {}
            _ = interrupted.recv() => {}
        }
        let _ = signal_inputs.send(Input::WindDown);
    });
    tokio::spawn(reload(hangup, path, document, discovery_address, inputs.clone(), shared.clone(), log));
    let request_bodies = server::bodies(memory.map(|memory| (memory * REQUEST_BODY_MEMORY_SHARE) as usize));
    let server = tokio::spawn(server::serve(
        listener,
        connection_permits,
        descriptors.clients,
        inputs,
        doors_receiver,
        request_bodies,
        shared,
    ));
    match host.run(&mut input_receiver, &mut admin_command_receiver).await {
        Ended::HandedOver(remains) => {
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
async fn reload(
    mut hangup: Signal,
    path: PathBuf,
    mut running: Value,
    discovery_address: watch::Sender<SocketAddr>,
    host: UnboundedSender<Input>,
    shared: Arc<Shared>,
    log: log::Handle,
) {
    while hangup.recv().await.is_some() {
        let result = apply_configuration(&path, &running, &host).await;
        shared.reloads.count(result.is_ok());
        match result {
            Ok((document, address, level)) => {
                log.set(level);
                tracing::info!("reloaded: settings applied, discovery address is {address}");
                running = document;
                discovery_address.send_replace(address);
            }
            Err(e) => tracing::warn!("not reloaded, keeping the running configuration: {e}"),
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
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    match runtime.map_err(StartError::from).and_then(|runtime| runtime.block_on(run())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("message-sender: {e}");
            ExitCode::FAILURE
        }
    }
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
