//! The fleet membership of this sender, on sockets: drives the state machines of `sender-membership` on its own thread, so
//! that peers don't take a busy host loop for a lost sender. It isn't started without `[fleet]` in the configuration.
use super::{telemetry, wal};
use crate::config;
use bytes::Bytes;
use futures_util::{FutureExt, SinkExt, StreamExt};
use process_lifecycle::panics;
use sender_membership::{
    Change, Command, Effect, Halt, Health, MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES, Node, Notification, Record,
    Settings, State,
};
use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::path::{Path, PathBuf};
use std::process;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::sync::{Semaphore, mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Maximum disk space for the membership state: two files while it is compacted.
pub const DISK: u64 = 512 * 1024;
/// The file is compacted beyond this length, and beyond twice its length after the last compaction.
const COMPACT_AT: u64 = 64 * 1024;
/// An earlier process on the same folder may still have the address.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum concurrent connections from peers, and to peers; a voter has one with each other voter.
const MAX_PEER_CONNECTIONS: usize = 32;
/// Maximum frames queued for a peer: beyond that the connection counts as broken, and the peer requests lost frames again.
const MAX_QUEUED_FRAMES: usize = 64;
/// Time limits for the first frame on a connection from a peer, and for each further one.
const FIRST_FRAME_TIMEOUT: Duration = Duration::from_secs(3);
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Time limit for connecting to a peer, and for sending a frame.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum datagrams processed before timers are checked.
const MAX_DATAGRAMS_PER_TURN: usize = 256;
/// Retry interval when the disk accepts no writes at the start.
const DISK_RETRY_INTERVAL: Duration = Duration::from_secs(3);
/// Pause after the membership has failed.
const RESTART_DELAY: Duration = Duration::from_secs(3);
/// The exit code of a process whose folder was copied to another sender.
const EXIT_FOLDER_COPIED: i32 = 3;

/// An operator's request to the membership thread.
pub enum Asked {
    /// A query for its state, answered as JSON.
    Query(Query, oneshot::Sender<Result<String, String>>),
    /// A request for its metrics.
    Metrics(oneshot::Sender<Result<telemetry::Fleet, String>>),
    /// A command to carry out.
    Order(Command, oneshot::Sender<Result<String, String>>),
}

/// What an operator queries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Query {
    /// The members and their health.
    View,
    /// The agreed list of members, and departed ones.
    MemberList,
    /// The voters, which agree on the list of members.
    Voters,
    /// Digests of the member list and the view, to compare senders.
    Digests,
}

/// Why the membership thread cannot start.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The membership file in the state folder cannot be opened, read or truncated.
    #[error("fleet: membership file {path}: {source}")]
    Disk {
        /// Path of the file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// The thread, its runtime, or the system's random numbers are unavailable.
    #[error("fleet: cannot start: {0}")]
    Start(io::Error),
}

/// The membership file, and the state that results from its records.
struct Disk {
    path: PathBuf,
    file: File,
    length: u64,
    compact_at: u64,
    state: State,
}

impl Disk {
    fn open(folder: &Path) -> Result<Self, FleetError> {
        let path = folder.join("fleet.wal");
        let error = |source| FleetError::Disk { path: path.clone(), source };
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(&path);
        let mut file = file.map_err(error)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes).map_err(error)?;
        let mut state = State::default();
        let (sound, damage) = wal::read(&bytes, MAX_FRAME_BYTES, |record: Record| state.apply(record));
        if damage != wal::Damage::default() {
            tracing::error!(
                "fleet: membership file damaged: {} bytes truncated at the end, {} skipped",
                damage.torn,
                damage.skipped
            );
        }
        file.set_len(sound as u64).map_err(error)?;
        file.seek(SeekFrom::End(0)).map_err(error)?;
        Ok(Self { path, file, length: sound as u64, compact_at: COMPACT_AT, state })
    }

    /// Appends a record. After an error, the file contains no part of it.
    fn write(&mut self, record: Record) -> io::Result<()> {
        let frame = wal::frame(&record, Vec::new())?;
        let length = self.length + frame.len() as u64;
        if length > DISK / 2 {
            self.compact()?;
        }
        if let Err(e) = self.file.write_all(&frame) {
            self.file.set_len(self.length)?;
            self.file.seek(SeekFrom::Start(self.length))?;
            return Err(e);
        }
        self.length += frame.len() as u64;
        self.state.apply(record);
        if self.length > self.compact_at {
            self.compact()?;
        }
        Ok(())
    }

    /// Writes the state into a new file, which atomically replaces the old one.
    fn compact(&mut self) -> io::Result<()> {
        let frame = wal::frame(&Record::Whole(Box::new(self.state.clone())), Vec::new())?;
        if frame.len() as u64 > DISK / 2 {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let new = self.path.with_extension("wal.new");
        let mut file = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(&new)?;
        file.write_all(&frame)?;
        std::fs::rename(&new, &self.path)?;
        self.file = file;
        self.length = frame.len() as u64;
        self.compact_at = COMPACT_AT.max(2 * self.length);
        Ok(())
    }
}

/// An event on a connection with a peer.
enum PeerEvent {
    Frame(Bytes),
    Disconnected(SocketAddr),
}

/// Starts the membership thread, which ends when `stop` becomes true.
///
/// # Errors
/// The runtime or the thread cannot be started.
pub fn spawn(
    config: &config::Fleet,
    zone: &str,
    folder: &Path,
    requests: mpsc::Receiver<Asked>,
    stop: watch::Receiver<bool>,
) -> Result<(), FleetError> {
    let (settings, folder, listen) = (config.settings(zone), folder.to_owned(), config.listen);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(FleetError::Start)?;
    let run_thread = move || runtime.block_on(run_until_stopped(settings, &folder, listen, requests, stop));
    std::thread::Builder::new().name("fleet".to_owned()).spawn(run_thread).map_err(FleetError::Start)?;
    Ok(())
}

/// Runs the membership, and again whenever it has failed, until it is stopped.
async fn run_until_stopped(
    settings: Settings,
    folder: &Path,
    listen: SocketAddr,
    mut requests: mpsc::Receiver<Asked>,
    mut stop: watch::Receiver<bool>,
) {
    loop {
        let running = run(settings.clone(), folder, listen, &mut requests, &mut stop);
        let reason = match AssertUnwindSafe(running).catch_unwind().await {
            Ok(Ok(())) => return,
            Ok(Err(error)) => error.to_string(),
            Err(payload) => panics::message(&*payload),
        };
        tracing::error!("{reason}: this sender runs without fleet membership for now");
        tokio::select! {
            () = sleep(RESTART_DELAY) => {}
            // Its sender is dropped with the host.
            _ = stop.wait_for(|stop| *stop) => return,
        }
    }
}

/// Binds both sockets. Retries while another process has the address.
async fn bind(address: SocketAddr) -> (UdpSocket, TcpListener) {
    let mut is_logged = false;
    loop {
        let bound = match UdpSocket::bind(address).await {
            Ok(datagrams) => TcpListener::bind(address).await.map(|listener| (datagrams, listener)),
            Err(e) => Err(e),
        };
        match bound {
            Ok(bound) => return bound,
            Err(e) => {
                if !std::mem::replace(&mut is_logged, true) {
                    tracing::warn!("fleet: waiting for address {address}: {e}");
                }
                sleep(BIND_RETRY_INTERVAL).await;
            }
        }
    }
}

/// Seeds all random numbers of a start, including the folder's id. It comes from the operating system and not from the
/// configured seed: two senders with the same folder id would count as one member.
fn random_seed() -> Result<u64, FleetError> {
    getrandom::u64().map_err(|e| FleetError::Start(e.into()))
}

/// Persists the start of a node.
fn persist_start(node: &mut Node, disk: &mut Disk) -> io::Result<()> {
    for effect in node.take_effects() {
        if let Effect::Persist(record) = effect {
            disk.write(record)?;
        }
    }
    Ok(())
}

struct Membership {
    node: Node,
    disk: Disk,
    datagrams: UdpSocket,
    own_address: SocketAddr,
    started_at: Instant,
    peer_events: mpsc::Sender<PeerEvent>,
    peers: HashMap<SocketAddr, mpsc::Sender<Bytes>>,
    answers: HashMap<u64, oneshot::Sender<Result<String, String>>>,
    next_answer: u64,
}

async fn run(
    settings: Settings,
    folder: &Path,
    listen: SocketAddr,
    requests: &mut mpsc::Receiver<Asked>,
    stop: &mut watch::Receiver<bool>,
) -> Result<(), FleetError> {
    let (datagrams, listener) = tokio::select! {
        bound = bind(listen) => bound,
        _ = stop.wait_for(|stop| *stop) => return Ok(()),
    };
    // Open the file only after binding: an earlier process that had the address no longer writes.
    let disk = Disk::open(folder)?;
    let mut node = Node::new(settings.clone(), disk.state.clone(), random_seed()?, 0);
    // A start that isn't persisted must not take effect: its incarnation could be used twice.
    let mut disk = disk;
    while let Err(e) = persist_start(&mut node, &mut disk) {
        tracing::error!(
            "fleet: membership file {}: {e}; retrying every {} s",
            disk.path.display(),
            DISK_RETRY_INTERVAL.as_secs()
        );
        tokio::select! {
            () = sleep(DISK_RETRY_INTERVAL) => {}
            _ = stop.wait_for(|stop| *stop) => return Ok(()),
        }
        node = Node::new(settings.clone(), disk.state.clone(), random_seed()?, 0);
    }
    let started_at = Instant::now();
    let (peer_events, mut received_events) = mpsc::channel(MAX_QUEUED_FRAMES);
    // Dropped with this run, and its listener with it.
    let mut tasks = JoinSet::new();
    tasks.spawn(accept(listener, peer_events.clone()));
    let (peers, answers) = (HashMap::new(), HashMap::new());
    let mut membership = Membership {
        node,
        disk,
        datagrams,
        own_address: listen,
        started_at,
        peer_events,
        peers,
        answers,
        next_answer: 0,
    };
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
    membership.carry_out_effects();
    loop {
        let due = membership.node.next_tick().map(|due| membership.started_at + Duration::from_millis(due));
        tokio::select! {
            // Received input comes before timers: after a pause of this process, peers would else seem silent.
            biased;
            _ = stop.wait_for(|stop| *stop) => return Ok(()),
            request = requests.recv() => match request {
                Some(request) => membership.handle_request(request),
                None => return Ok(()),
            },
            Some(event) = received_events.recv() => membership.handle_peer_event(event),
            received = membership.datagrams.recv_from(&mut buffer) => {
                let mut received = received;
                for _ in 0..MAX_DATAGRAMS_PER_TURN {
                    match received {
                        // The kernel truncates a datagram that is too long, and its checksum fails.
                        Ok((length, _)) => membership.receive(&buffer[..length]),
                        Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                        // For example an unreachable port of a peer: its failure shows by its missing answers.
                        Err(_) => {}
                    }
                    received = membership.datagrams.try_recv_from(&mut buffer);
                }
            }
            () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {
                let now = membership.now();
                membership.node.tick(now);
            }
        }
        membership.carry_out_effects();
    }
}

impl Membership {
    /// Milliseconds since the start, on the monotonic clock.
    fn now(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn receive(&mut self, bytes: &[u8]) {
        let now = self.now();
        // The node counts invalid packets, and they have no other effect.
        let _ = self.node.receive(now, bytes);
    }

    fn handle_peer_event(&mut self, event: PeerEvent) {
        match event {
            PeerEvent::Frame(bytes) => self.receive(&bytes),
            PeerEvent::Disconnected(address) => {
                self.peers.remove(&address);
                self.node.connection_broken(address);
            }
        }
    }

    fn handle_request(&mut self, request: Asked) {
        match request {
            Asked::Query(query, answer) => {
                let text = match query {
                    Query::View => serde_json::to_string(&self.node.view(self.now())),
                    Query::MemberList => serde_json::to_string(&self.member_list()),
                    Query::Voters => serde_json::to_string(&self.voters()),
                    Query::Digests => serde_json::to_string(&self.digests()),
                };
                drop(answer.send(text.map_err(|e| e.to_string())));
            }
            Asked::Metrics(answer) => drop(answer.send(Ok(self.metrics()))),
            Asked::Order(command, answer) => {
                self.next_answer += 1;
                self.answers.retain(|_, waiting| !waiting.is_closed());
                self.answers.insert(self.next_answer, answer);
                let now = self.now();
                tracing::info!("fleet: operator command: {command:?}");
                self.node.execute(now, self.next_answer, &command);
            }
        }
    }

    fn member_list(&self) -> serde_json::Value {
        let Some(list) = self.node.member_list() else { return serde_json::Value::Null };
        let departed = self.node.departed().map(|departure| {
            serde_json::json!({"name": departure.name, "incarnation": departure.incarnation, "why": format!("{:?}", departure.why)})
        });
        let members = list.members.iter().map(|(folder, member)| {
            serde_json::json!({"name": member.info.name, "number": member.number,
                "incarnation": member.incarnation, "folder": format!("{folder:016x}"),
                "zone": member.info.zone, "machine": member.info.machine,
                "version": member.info.version, "address": member.info.address})
        });
        serde_json::json!({"fleet": format!("{:016x}", list.fleet), "epoch": list.epoch, "number": list.number,
            "digest": format!("{:08x}", list.digest()),
            "members": members.collect::<Vec<_>>(), "gone": departed.collect::<Vec<_>>()})
    }

    fn metrics(&self) -> telemetry::Fleet {
        let view = self.node.view(self.now());
        let counts = self.node.counts();
        let health = [
            ("answers", Health::Answers),
            ("suspected", Health::Suspected),
            ("lost", Health::Lost),
            ("unknown", Health::Unknown),
        ];
        let count = |health: Health| view.members.iter().filter(|member| member.health == health).count();
        telemetry::Fleet {
            members: health.into_iter().map(|(label, health)| (label, count(health))).collect(),
            voters: [view.voters_answering, view.voters],
            member_list: [u64::from(view.epoch), view.number],
            since_last_received: view.age_ms.map(Duration::from_millis),
            confirmed: view.confirmed,
            packets: [counts.datagrams, counts.frames, counts.bytes, counts.received],
            dropped: [counts.foreign, counts.versions, counts.damaged],
        }
    }

    fn digests(&self) -> serde_json::Value {
        let digest_of_view = self.node.view_digest(self.now());
        let digest = self.node.member_list().map(|list| format!("{:08x}", list.digest()));
        serde_json::json!({"fleet": digest_of_view.fleet.map(|fleet| format!("{fleet:016x}")), "epoch": digest_of_view.epoch,
            "number": digest_of_view.number, "digest": digest, "view": format!("{:08x}", digest_of_view.view),
            "confirmed": digest_of_view.confirmed, "halted": digest_of_view.halted})
    }

    fn voters(&self) -> serde_json::Value {
        let Some(list) = self.node.member_list() else { return serde_json::Value::Null };
        let view = self.node.view(self.now());
        let voters = view.members.iter().filter(|member| member.voter);
        let counts = self.node.counts();
        serde_json::json!({"group": list.group, "answering": view.voters_answering, "of": view.voters,
            "leader": self.node.leader(), "keepers": voters.collect::<Vec<_>>(),
            "sent": {"datagrams": counts.datagrams, "frames": counts.frames, "bytes": counts.bytes},
            "taken": counts.received,
            "dropped": {"foreign": counts.foreign, "versions": counts.versions, "damaged": counts.damaged}})
    }

    /// Carries out the node's effects in order. After a failed write, the effects that depend on it are dropped.
    fn carry_out_effects(&mut self) {
        loop {
            let effects = self.node.take_effects();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                if !self.carry_out(effect) {
                    break;
                }
            }
        }
    }

    /// Returns false if the effects after this one must not be carried out.
    fn carry_out(&mut self, effect: Effect) -> bool {
        match effect {
            Effect::Persist(record) => {
                if let Err(e) = self.disk.write(record) {
                    tracing::error!("fleet: membership file {}: {e}", self.disk.path.display());
                    self.node.disk_failed();
                    return false;
                }
            }
            Effect::Send { to, bytes, connection: false } => {
                // A full socket buffer drops datagrams, as the network may.
                let _ = self.datagrams.try_send_to(&bytes, to);
            }
            Effect::Send { to, bytes, connection: true } => self.send(to, bytes.into()),
            Effect::Notify(notification) => self.log(&notification),
            Effect::Reload => {
                let state = self.disk.state.clone();
                if self.disk.write(Record::Incarnation(state.incarnation)).is_ok() {
                    let now = self.now();
                    self.node.reloaded(now, state.voter);
                }
            }
            Effect::Halt(halt) => {
                tracing::error!("fleet: {halt}");
                if matches!(halt, Halt::Copied { .. }) {
                    // The copy of the folder holds the same journal: continuing would deliver its messages twice.
                    process::exit(EXIT_FOLDER_COPIED);
                }
            }
            Effect::Answer(id, result) => {
                if let Some(answer) = self.answers.remove(&id) {
                    let result = result.map(|()| String::new()).map_err(|e| e.to_string());
                    drop(answer.send(result));
                }
            }
        }
        true
    }

    /// Logs a change with the state before, the state now and the reason.
    fn log(&self, notification: &Notification) {
        let (_, own, _) = self.node.identity();
        match notification {
            Notification::Health { name, before, now: now @ Health::Lost, incarnation } => tracing::warn!(
                peer = %name, incarnation, ?before, ?now, own,
                reason = "it did not answer, nor refute the suspicion in time",
                "fleet: {name} is lost"
            ),
            Notification::Health { name, before, now, incarnation } => tracing::info!(
                peer = %name, incarnation, ?before, ?now, own, reason = "this sender or another member received a message from it",
                "fleet: {name} answers"
            ),
            Notification::MemberList { before, now, change } => {
                let text = change.as_ref().map_or_else(
                    || "complete copy from a peer".to_owned(),
                    |change| match change {
                        Change::Start { info, incarnation, .. } => {
                            format!("start {incarnation} of {}, at {}", info.name, info.address)
                        }
                        Change::Leaving { folder } => format!("{} is leaving", self.name(*folder)),
                        Change::Departure { folder, why } => {
                            format!("{} has departed: {why:?}", self.name(*folder))
                        }
                        Change::Voters { group, folders } => {
                            let names: Vec<String> =
                                folders.iter().map(|folder| self.name(*folder)).collect();
                            format!("voters of term {group}: {}", names.join(", "))
                        }
                    },
                );
                tracing::info!(before, number = now, own, reason = %text, "fleet: member list {now}: {text}");
            }
            Notification::Returned(times) => tracing::warn!(
                own,
                times,
                "fleet: peers had declared this sender lost; it has refuted that and is a member again"
            ),
            Notification::Waiting(reason) => tracing::warn!(own, "fleet: waiting: {reason}"),
            Notification::OtherFleet(peer) => {
                tracing::warn!(%peer, own, "fleet: {peer} belongs to another fleet of the same name; its messages are ignored");
            }
            Notification::Voter(Some(group)) => {
                tracing::info!(own, term = group, "fleet: this sender is a voter, in term {group}")
            }
            Notification::Voter(None) => tracing::info!(own, "fleet: this sender is no longer a voter"),
        }
    }

    /// The name of the current or departed member with this folder id; the id itself if it is unknown.
    fn name(&self, folder: u64) -> String {
        let list = self.node.member_list();
        let member = list.and_then(|list| list.members.get(&folder)).map(|member| member.info.name.clone());
        let departed =
            || list.and_then(|list| list.departure_of(folder)).map(|departure| departure.name.clone());
        member.or_else(departed).unwrap_or_else(|| format!("folder {folder:016x}"))
    }

    /// Queues a frame for a peer, and connects to it if there is no connection.
    fn send(&mut self, to: SocketAddr, bytes: Bytes) {
        self.peers.retain(|_, peer| !peer.is_closed());
        if self.peers.len() >= MAX_PEER_CONNECTIONS && !self.peers.contains_key(&to) {
            return self.node.connection_broken(to);
        }
        let peer = self.peers.entry(to).or_insert_with(|| {
            let (frames, queue) = mpsc::channel(MAX_QUEUED_FRAMES);
            tokio::spawn(send_frames(self.own_address, to, queue, self.peer_events.clone()));
            frames
        });
        if peer.try_send(bytes).is_err() {
            self.peers.remove(&to);
            self.node.connection_broken(to);
        }
    }
}

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(stream)
}

/// Sends queued frames to a peer on one connection, until it breaks or stays idle.
async fn send_frames(
    own_address: SocketAddr,
    to: SocketAddr,
    mut queue: mpsc::Receiver<Bytes>,
    peer_events: mpsc::Sender<PeerEvent>,
) {
    let connect = async {
        let socket = if to.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        // Bind to our own address: peers and middleboxes may identify the caller by it.
        if !own_address.ip().is_unspecified() && own_address.is_ipv4() == to.is_ipv4() {
            socket.bind(SocketAddr::new(own_address.ip(), 0))?;
        }
        socket.connect(to).await
    };
    let stream = match timeout(CONNECT_TIMEOUT, connect).await {
        Ok(Ok(stream)) => stream,
        _ => return drop(peer_events.send(PeerEvent::Disconnected(to)).await),
    };
    let _ = stream.set_nodelay(true);
    let mut framed = framed(stream);
    while let Ok(Some(bytes)) = timeout(IDLE_TIMEOUT / 2, queue.recv()).await {
        if !matches!(timeout(CONNECT_TIMEOUT, framed.send(bytes)).await, Ok(Ok(()))) {
            return drop(peer_events.send(PeerEvent::Disconnected(to)).await);
        }
    }
}

/// Receives frames from peers.
async fn accept(listener: TcpListener, peer_events: mpsc::Sender<PeerEvent>) {
    let connection_slots = Arc::new(Semaphore::new(MAX_PEER_CONNECTIONS));
    loop {
        let Ok(permit) = connection_slots.clone().acquire_owned().await else { return };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                tracing::warn!("fleet: cannot accept a connection: {e}");
                sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        let peer_events = peer_events.clone();
        tokio::spawn(async move {
            let mut framed = framed(stream);
            let mut time_limit = FIRST_FRAME_TIMEOUT;
            while let Ok(Some(Ok(bytes))) = timeout(time_limit, framed.next()).await {
                if peer_events.send(PeerEvent::Frame(bytes.freeze())).await.is_err() {
                    return;
                }
                time_limit = IDLE_TIMEOUT;
            }
            drop(permit);
        });
    }
}
