//! One real sender: takes messages on from clients and delivers them to endpoints, over sockets.
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

/// How long another process may keep the address: one that is told to end is killed within 4 s, and told after 6 s.
const BIND_PATIENCE: Duration = Duration::from_secs(12);
const BIND_PAUSE: Duration = Duration::from_millis(50);
/// Share of the memory that bodies may have while they are read: those that are held have a quarter, and connections'
/// buffers most of the rest.
const BODIES_OF_MEMORY: f64 = 0.125;
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;
/// How long answers on their way out may take once the time to wind down is over.
const LAST_ANSWERS: Duration = Duration::from_millis(200);
/// How long the fleet's keepers may take to agree that this sender leaves; SIGKILL comes 3.7 s after SIGTERM.
const LAST_LEAVE: Duration = Duration::from_millis(1500);

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
    #[error("settings: {0:?} is missing, which the running ones have")]
    Short(String),
    #[error("listening on {address}: {source}")]
    Listen { address: SocketAddr, source: std::io::Error },
    #[error("starting: {0}")]
    Runtime(#[from] std::io::Error),
}

fn variable(name: &'static str) -> Result<PathBuf, StartError> {
    std::env::var_os(name).map(PathBuf::from).ok_or(StartError::Unset(name))
}

/// What the log calls this sender.
fn name_of(config: &config::Config) -> String {
    let told = std::env::var("PROXY_NAME").ok().filter(|name| !name.is_empty());
    let member = config.fleet.as_ref().map(|fleet| fleet.member.clone());
    member.or(told).unwrap_or_else(|| config.listen.to_string())
}

/// A key that `old` has and `new` lacks, in the objects that both hold. Of the objects of a list, such as the
/// classes, each needs the keys that all had.
fn missing_key(old: &Value, new: &Value) -> Option<String> {
    let lacks = |old: &Map<String, Value>, new: &Map<String, Value>| {
        old.iter().find_map(|(key, value)| match new.get(key) {
            None => Some(key.clone()),
            Some(other) => missing_key(value, other),
        })
    };
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => lacks(old, new),
        (Value::Array(old), Value::Array(new)) => {
            let mut rows = old.iter().filter_map(Value::as_object);
            let first = rows.next()?;
            let common: Vec<&String> =
                first.keys().filter(|key| rows.clone().all(|row| row.contains_key(*key))).collect();
            let mut new = new.iter().filter_map(Value::as_object);
            new.find_map(|row| common.iter().find(|key| !row.contains_key(**key)).map(|key| key.to_string()))
        }
        _ => None,
    }
}

/// Listens where clients come. A process that cannot hand over may still be there, and about to end.
async fn bind(address: SocketAddr) -> Result<std::net::TcpListener, StartError> {
    let error = |source| StartError::Listen { address, source };
    let given_up = Instant::now() + BIND_PATIENCE;
    loop {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() };
        let socket = socket.map_err(error)?;
        socket.set_reuseaddr(true).map_err(error)?;
        match socket.bind(address).and_then(|()| socket.listen(BACKLOG)) {
            Ok(listener) => return listener.into_std().map_err(error),
            Err(e) if e.kind() == std::io::ErrorKind::AddrInUse && Instant::now() < given_up => {
                sleep(BIND_PAUSE).await;
            }
            Err(source) => return Err(error(source)),
        }
    }
}

async fn run() -> Result<(), StartError> {
    // Before all else: a signal that comes early must not end the process.
    let hung_up = signal(SignalKind::hangup())?;
    let path = variable("PROXY_CONFIG")?;
    let (file, config) = config::read(&path)?;
    let log = log::begin(&config.log.clone().unwrap_or_else(config::Log::bare), &name_of(&config))?;
    let seed = u64::from_str_radix(&config.seed, 16).map_err(|_| StartError::Seed(config.seed))?;
    let (standing, stands) = watch::channel(ServiceState::Starting);
    let (to_host, mut orders) = mpsc::channel(admin_endpoint::MAX_CONNECTIONS);
    let shared = Arc::new(Shared::default());
    // Without a part `fleet` nothing of it is begun.
    let (to_fleet, at_fleet) = match &config.fleet {
        Some(_) => Some(mpsc::channel(admin_endpoint::MAX_CONNECTIONS)).unzip(),
        None => (None, None),
    };
    if let Some(address) = config.mgmt {
        let error = |source| StartError::Listen { address, source };
        let listener = std::net::TcpListener::bind(address).map_err(error)?;
        tracing::info!("second address: {}", listener.local_addr().map_err(error)?);
        admin_endpoint::spawn(listener, to_host, stands, to_fleet.clone()).map_err(error)?;
    }
    let zone = config.settings.zone().to_owned();
    let tuning = Tuning::new(config.settings).map_err(StartError::Settings)?;
    let pauses = discovery::Pauses::new(seed, tuning.senders(), tuning.must_ask_in());
    let folder = variable("PROXY_STATE")?;
    // From here on the journal is this process's alone; the one that had it may have handed over the rest.
    let (lock, inherited) = handover::claim(&folder, &tuning.numbering()).await?;
    let (inputs, mut from_all) = mpsc::unbounded_channel();
    let (notices, queue) = mpsc::unbounded_channel();
    let (doors, at_doors) = watch::channel(Doors::Open);
    let (to_discovery, at_discovery) = watch::channel(config.discovery);
    let descriptors = Descriptors::share(config.limits.sockets);
    let (listener, origin, revision, taken) = match inherited {
        None => {
            let revision = config.known.revision;
            (bind(config.listen).await?, Origin::Listed(config.known), revision, 0)
        }
        Some(Inherited { state, listener, stream }) => {
            let passed_on = inputs.clone();
            let (to_old, _) = handover::link(stream, move |came| passed_on.send(Input::Old(came)).is_ok());
            let (revision, clients) = (state.revision, state.clients);
            (listener, Origin::Inherited(state, to_old), revision, clients)
        }
    };
    let memory = config.limits.memory_mb.map(|mb| mb * 1e6);
    // What is owed is in memory too, and the journal is read whole at the next start.
    let of_fleet = if config.fleet.is_some() { fleet::DISK as f64 } else { 0.0 };
    let disk = (config.limits.disk_mb * 1e6 - of_fleet).min(memory.unwrap_or(f64::INFINITY)).max(0.0);
    let (journal, damage) = Journal::open(&folder, disk as u64)?;
    if damage != net::journal::Damage::default() {
        tracing::warn!("journal: {} bytes cut off at the end, {} passed over", damage.torn, damage.skipped);
    }
    let (stop_fleet, fleet_stops) = watch::channel(false);
    if let (Some(fleet), Some(at_fleet)) = (&config.fleet, at_fleet) {
        fleet::spawn(fleet, &zone, &folder, at_fleet, fleet_stops)?;
    }
    let room = Arc::new(Semaphore::new(descriptors.clients.saturating_sub(taken)));
    let listening = |source| StartError::Listen { address: config.listen, source };
    let estate = Estate { lock, journal, listener: listener.try_clone().map_err(listening)? };
    let links = Links {
        inputs: inputs.clone(),
        notices,
        doors,
        standing,
        room: room.clone(),
        most_clients: descriptors.clients,
        shared: shared.clone(),
    };
    let host = Host::new(tuning, seed, origin, estate, descriptors.endpoints, links)
        .map_err(StartError::Settings)?;
    // Only now: a sender that can be reached has taken up what it owes.
    listener.set_nonblocking(true).map_err(listening)?;
    let listener = TcpListener::from_std(listener).map_err(listening)?;
    tracing::info!("listening on {}", listener.local_addr()?);
    let watching = tokio::spawn(discovery::watch(
        at_discovery.clone(),
        revision,
        pauses,
        inputs.clone(),
        shared.clone(),
    ));
    tokio::spawn(notices::run(at_discovery, queue, !seed, inputs.clone(), shared.clone()));
    let asked = inputs.clone();
    if let Err(e) = handover::listen(&folder, move |stream| asked.send(Input::TakeOver(stream)).is_ok()) {
        tracing::warn!("no upgrade can take over from this process: {e}");
    }
    let (mut terminated, mut interrupted) =
        (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    let on_signal = inputs.clone();
    tokio::spawn(async move {
        tokio::select! {
            _ = terminated.recv() => {}
            _ = interrupted.recv() => {}
        }
        let _ = on_signal.send(Input::WindDown);
    });
    tokio::spawn(reload(hung_up, path, file, to_discovery, inputs.clone(), shared.clone(), log));
    let bodies = server::bodies(memory.map(|memory| (memory * BODIES_OF_MEMORY) as usize));
    let server =
        tokio::spawn(server::serve(listener, room, descriptors.clients, inputs, at_doors, bodies, shared));
    match host.run(&mut from_all, &mut orders).await {
        Ended::HandedOver(remains) => {
            // The new process takes the fleet's part on, and its address.
            stop_fleet.send_replace(true);
            watching.abort();
            remains.pass_on(from_all, orders, server).await;
        }
        Ended::WoundDown(until) => {
            // Nobody takes anything on any more: whoever is still handing in hears so at once.
            drop(from_all);
            if let Some(to_fleet) = to_fleet.filter(|_| config.fleet.is_some_and(|fleet| fleet.leave)) {
                leave(&to_fleet).await;
            }
            let until = until.max(Instant::now()) + LAST_ANSWERS;
            drop(timeout_at(until, server).await);
        }
    }
    Ok(())
}

/// Leaves the fleet in order. Whoever cannot be told in time goes all the same, and is held lost.
async fn leave(to_fleet: &mpsc::Sender<fleet::Asked>) {
    let (answer, answered) = oneshot::channel();
    let asked = fleet::Asked::Order(sender_membership::Command::Leave, answer);
    if to_fleet.send(asked).await.is_ok() {
        match timeout(LAST_LEAVE, answered).await {
            Ok(Ok(Ok(_))) => tracing::info!("fleet: left"),
            Ok(Ok(Err(e))) => tracing::warn!("fleet: not left: {e}"),
            _ => tracing::warn!("fleet: not left: the keepers did not agree in time"),
        }
    }
}

/// Takes up the settings and where discovery is from the configuration file at each SIGHUP, as a whole: a file
/// that cannot be used changes nothing. Addresses to listen at and limits hold from the next start.
async fn reload(
    mut hung_up: Signal,
    path: PathBuf,
    mut running: Value,
    discovery: watch::Sender<SocketAddr>,
    host: UnboundedSender<Input>,
    shared: Arc<Shared>,
    log: log::Handle,
) {
    while hung_up.recv().await.is_some() {
        let reloaded = reloaded(&path, &running, &host).await;
        shared.reloads.count(reloaded.is_ok());
        match reloaded {
            Ok((file, address, level)) => {
                log.set(level);
                tracing::info!("reloaded: new settings hold, discovery is at {address}");
                running = file;
                discovery.send_replace(address);
            }
            Err(e) => tracing::warn!("not reloaded, the running configuration stays: {e}"),
        }
    }
}

async fn reloaded(
    path: &Path,
    running: &Value,
    host: &UnboundedSender<Input>,
) -> Result<(Value, SocketAddr, config::Level), StartError> {
    let (file, new) = config::read(path)?;
    if let Some(key) = missing_key(&running["settings"], &file["settings"]) {
        return Err(StartError::Short(key));
    }
    let tuning = Tuning::new(new.settings).map_err(StartError::Settings)?;
    let (done, swapped) = oneshot::channel();
    let _ = host.send(Input::Retune(Box::new(tuning), done));
    // A host that has ended answers nothing, and nothing is to be done.
    swapped.await.unwrap_or(Ok(())).map_err(StartError::Settings)?;
    Ok((file, new.discovery, new.log.unwrap_or_else(config::Log::bare).level))
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
    // As the platform starts it: no word of the command line is read, and nothing of that is paid for.
    if std::env::args_os().len() <= 1 {
        return serve();
    }
    // All else is the shell's, a program of its own beside this one: what it links would cost each sender 1.3 MB.
    let error = match std::env::current_exe() {
        Ok(own) => {
            Command::new(own.with_file_name("message-sender-cli")).args(std::env::args_os().skip(1)).exec()
        }
        Err(e) => e,
    };
    eprintln!("message-sender: starting message-sender-cli, which is to lie beside this program: {error}");
    ExitCode::FAILURE
}
