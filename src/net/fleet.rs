//! The sender's part in its fleet, on sockets: drives the machines of `sender-membership`, on a thread of its own, so that a busy
//! loop is not taken for a lost sender. Without `[fleet]` none of this is begun.
use super::{telemetry, wal};
use crate::config;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use sender_membership::{
    Change, Command, Effect, Halt, Health, MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES, Node, Notification, Record,
    Settings, State,
};
use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::sync::{Semaphore, mpsc, oneshot, watch};
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Room on the disk that the fleet's own record takes at the most: two files while it is written anew.
pub const DISK: u64 = 512 * 1024;
/// The record is written anew past this length, and past twice what it was then.
const COMPACT_AT: u64 = 64 * 1024;
/// An earlier process on the same folder may have the address still.
const BIND_PATIENCE: Duration = Duration::from_secs(12);
const BIND_PAUSE: Duration = Duration::from_millis(50);
/// Connections from peers at once, and to them; a keeper has one with each other keeper.
const MOST_PEERS: usize = 32;
/// Frames that wait for a peer: past that the connection counts as broken, and what is lost is asked for again.
const MOST_WAITING: usize = 64;
/// A peer that has connected says something within this, and again within that.
const FIRST_WORD: Duration = Duration::from_secs(3);
const IDLE: Duration = Duration::from_secs(15);
/// For a connection to come up, and a frame to be taken.
const CONNECT: Duration = Duration::from_secs(1);
/// Datagrams taken in before what is due is looked at.
const MOST_AT_ONCE: usize = 256;
/// A disk that takes nothing at the start is tried again after this.
const AGAIN: Duration = Duration::from_secs(3);
/// The exit code of a process whose folder another one has a copy of.
const COPIED: i32 = 3;

/// What staff ask of this part.
pub enum Asked {
    /// What it knows of the fleet, as JSON.
    Look(Look, oneshot::Sender<Result<String, String>>),
    /// What it knows, in figures.
    Figures(oneshot::Sender<Result<telemetry::Fleet, String>>),
    /// Something to be done.
    Order(Command, oneshot::Sender<Result<String, String>>),
}

/// What staff look at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Look {
    /// Members, and whether they answer.
    View,
    /// Who belongs, and who did.
    Roster,
    /// Who agrees on that.
    Keepers,
    /// A short sign of both, to compare senders by.
    Mark,
}

/// Why the part cannot begin.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The record in the folder.
    #[error("fleet's record {path}: {source}")]
    Disk {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The address.
    #[error("fleet: listening on {address}: {source}")]
    Listen {
        /// Where.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The thread, or its runtime.
    #[error("fleet: starting: {0}")]
    Start(io::Error),
}

/// The record on disk, and what it adds up to.
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
                "fleet's record: {} bytes cut off at the end, {} passed over",
                damage.torn,
                damage.skipped
            );
        }
        file.set_len(sound as u64).map_err(error)?;
        file.seek(SeekFrom::End(0)).map_err(error)?;
        Ok(Self { path, file, length: sound as u64, compact_at: COMPACT_AT, state })
    }

    /// Writes a record; an error means that it does not stand there, and nothing of it.
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

    /// Writes the state into a new file and puts it in the old one's place in one move.
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

/// What reaches the part besides datagrams.
enum Came {
    Frame(Bytes),
    Broke(SocketAddr),
}

/// Begins the part, on a thread of its own that ends with `stop`.
pub fn spawn(
    config: &config::Fleet,
    zone: &str,
    folder: &Path,
    asked: mpsc::Receiver<Asked>,
    stop: watch::Receiver<bool>,
) -> Result<(), FleetError> {
    let (settings, folder, listen) = (config.settings(zone), folder.to_owned(), config.listen);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(FleetError::Start)?;
    let work = move || {
        if let Err(e) = runtime.block_on(work(settings, &folder, listen, asked, stop)) {
            tracing::error!("{e}: this sender takes no part in its fleet");
        }
    };
    std::thread::Builder::new().name("fleet".to_owned()).spawn(work).map_err(FleetError::Start)?;
    Ok(())
}

/// Binds both sockets; a process that is about to end may have them still.
async fn bind(address: SocketAddr) -> Result<(UdpSocket, TcpListener), FleetError> {
    let given_up = Instant::now() + BIND_PATIENCE;
    loop {
        let bound = match UdpSocket::bind(address).await {
            Ok(datagrams) => TcpListener::bind(address).await.map(|listener| (datagrams, listener)),
            Err(e) => Err(e),
        };
        match bound {
            Ok(bound) => return Ok(bound),
            Err(e) if e.kind() == io::ErrorKind::AddrInUse && Instant::now() < given_up => {
                sleep(BIND_PAUSE).await;
            }
            Err(source) => return Err(FleetError::Listen { address, source }),
        }
    }
}

/// What a folder's own number and all other chance of a start is drawn from. From the system alone: two senders that drew
/// the same number would be one member, whatever their configurations' seeds are.
fn chance() -> Result<u64, FleetError> {
    getrandom::u64().map_err(|e| FleetError::Start(e.into()))
}

/// Writes down that a node begins.
fn begin(node: &mut Node, disk: &mut Disk) -> io::Result<()> {
    for effect in node.take_effects() {
        if let Effect::Persist(record) = effect {
            disk.write(record)?;
        }
    }
    Ok(())
}

struct Part {
    node: Node,
    disk: Disk,
    datagrams: UdpSocket,
    own: SocketAddr,
    began: Instant,
    came: mpsc::Sender<Came>,
    peers: HashMap<SocketAddr, mpsc::Sender<Bytes>>,
    answers: HashMap<u64, oneshot::Sender<Result<String, String>>>,
    next_answer: u64,
}

async fn work(
    settings: Settings,
    folder: &Path,
    listen: SocketAddr,
    mut asked: mpsc::Receiver<Asked>,
    mut stop: watch::Receiver<bool>,
) -> Result<(), FleetError> {
    let (datagrams, listener) = tokio::select! {
        bound = bind(listen) => bound?,
        _ = stop.wait_for(|stop| *stop) => return Ok(()),
    };
    // Only now: an earlier process that had the address writes no more.
    let disk = Disk::open(folder)?;
    let mut node = Node::new(settings.clone(), disk.state.clone(), chance()?, 0);
    // A start that is not written down is none: it could be counted twice.
    let mut disk = disk;
    while let Err(e) = begin(&mut node, &mut disk) {
        tracing::error!(
            "fleet's record {}: {e}; tried again each {} s",
            disk.path.display(),
            AGAIN.as_secs()
        );
        tokio::select! {
            () = sleep(AGAIN) => {}
            _ = stop.wait_for(|stop| *stop) => return Ok(()),
        }
        node = Node::new(settings.clone(), disk.state.clone(), chance()?, 0);
    }
    let began = Instant::now();
    let (came, mut coming) = mpsc::channel(MOST_WAITING);
    tokio::spawn(accept(listener, came.clone()));
    let (peers, answers) = (HashMap::new(), HashMap::new());
    let mut part = Part { node, disk, datagrams, own: listen, began, came, peers, answers, next_answer: 0 };
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
    part.carry_out();
    loop {
        let due = part.node.next_tick().map(|due| part.began + Duration::from_millis(due));
        tokio::select! {
            // What has come counts before what is due: else a pause would look like silence of the others.
            biased;
            _ = stop.wait_for(|stop| *stop) => return Ok(()),
            ask = asked.recv() => match ask {
                Some(ask) => part.asked(ask),
                None => return Ok(()),
            },
            Some(came) = coming.recv() => part.took(came),
            received = part.datagrams.recv_from(&mut buffer) => {
                let mut received = received;
                for _ in 0..MOST_AT_ONCE {
                    match received {
                        // What is too long is cut off by the system, and told by its checksum.
                        Ok((length, _)) => part.hear(&buffer[..length]),
                        // A port that nobody has, told by the system: others find out by silence.
                        Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                        Err(_) => {}
                    }
                    received = part.datagrams.try_recv_from(&mut buffer);
                }
            }
            () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {
                let now = part.now();
                part.node.tick(now);
            }
        }
        part.carry_out();
    }
}

impl Part {
    /// Milliseconds since the part began, of a clock that never steps.
    fn now(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn hear(&mut self, bytes: &[u8]) {
        let now = self.now();
        // What cannot be read is counted by the node, and nothing else.
        let _ = self.node.receive(now, bytes);
    }

    fn took(&mut self, came: Came) {
        match came {
            Came::Frame(bytes) => self.hear(&bytes),
            Came::Broke(address) => {
                self.peers.remove(&address);
                self.node.connection_broken(address);
            }
        }
    }

    fn asked(&mut self, asked: Asked) {
        match asked {
            Asked::Look(look, answer) => {
                let text = match look {
                    Look::View => serde_json::to_string(&self.node.view(self.now())),
                    Look::Roster => serde_json::to_string(&self.roster()),
                    Look::Keepers => serde_json::to_string(&self.keepers()),
                    Look::Mark => serde_json::to_string(&self.mark()),
                };
                drop(answer.send(text.map_err(|e| e.to_string())));
            }
            Asked::Figures(answer) => drop(answer.send(Ok(self.figures()))),
            Asked::Order(order, answer) => {
                self.next_answer += 1;
                self.answers.retain(|_, waiting| !waiting.is_closed());
                self.answers.insert(self.next_answer, answer);
                let now = self.now();
                tracing::info!("staff: fleet: {order:?}");
                self.node.execute(now, self.next_answer, &order);
            }
        }
    }

    fn roster(&self) -> serde_json::Value {
        let Some(roster) = self.node.member_list() else { return serde_json::Value::Null };
        let gone = self.node.departed().map(|gone| {
            serde_json::json!({"name": gone.name, "incarnation": gone.incarnation, "why": format!("{:?}", gone.why)})
        });
        let members = roster.members.iter().map(|(folder, member)| {
            serde_json::json!({"name": member.info.name, "number": member.number,
                "incarnation": member.incarnation, "folder": format!("{folder:016x}"),
                "zone": member.info.zone, "machine": member.info.machine,
                "version": member.info.version, "address": member.info.address})
        });
        serde_json::json!({"fleet": format!("{:016x}", roster.fleet), "epoch": roster.epoch, "number": roster.number,
            "digest": format!("{:08x}", roster.digest()),
            "members": members.collect::<Vec<_>>(), "gone": gone.collect::<Vec<_>>()})
    }

    fn figures(&self) -> telemetry::Fleet {
        let view = self.node.view(self.now());
        let counts = self.node.counts();
        let health = [
            ("answers", Health::Answers),
            ("suspected", Health::Suspected),
            ("lost", Health::Lost),
            ("unknown", Health::Unknown),
        ];
        let count = |health: Health| view.members.iter().filter(|row| row.health == health).count();
        telemetry::Fleet {
            members: health.into_iter().map(|(word, health)| (word, count(health))).collect(),
            keepers: [view.voters_answering, view.voters],
            roster: [u64::from(view.epoch), view.number],
            heard: view.age_ms.map(Duration::from_millis),
            confirmed: view.confirmed,
            packets: [counts.datagrams, counts.frames, counts.bytes, counts.received],
            dropped: [counts.foreign, counts.versions, counts.damaged],
        }
    }

    fn mark(&self) -> serde_json::Value {
        let mark = self.node.view_digest(self.now());
        let digest = self.node.member_list().map(|roster| format!("{:08x}", roster.digest()));
        serde_json::json!({"fleet": mark.fleet.map(|fleet| format!("{fleet:016x}")), "epoch": mark.epoch,
            "number": mark.number, "digest": digest, "view": format!("{:08x}", mark.view),
            "confirmed": mark.confirmed, "halted": mark.halted})
    }

    fn keepers(&self) -> serde_json::Value {
        let Some(roster) = self.node.member_list() else { return serde_json::Value::Null };
        let view = self.node.view(self.now());
        let keepers = view.members.iter().filter(|row| row.voter);
        let counts = self.node.counts();
        serde_json::json!({"group": roster.group, "answering": view.voters_answering, "of": view.voters,
            "leader": self.node.leader(), "keepers": keepers.collect::<Vec<_>>(),
            "sent": {"datagrams": counts.datagrams, "frames": counts.frames, "bytes": counts.bytes},
            "taken": counts.received,
            "dropped": {"foreign": counts.foreign, "versions": counts.versions, "damaged": counts.damaged}})
    }

    /// Carries out what the node wants, in its order. A write that fails ends what depends on it.
    fn carry_out(&mut self) {
        loop {
            let effects = self.node.take_effects();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                if !self.effect(effect) {
                    break;
                }
            }
        }
    }

    /// False if what follows must not be carried out.
    fn effect(&mut self, effect: Effect) -> bool {
        match effect {
            Effect::Persist(record) => {
                if let Err(e) = self.disk.write(record) {
                    tracing::error!("fleet's record {}: {e}", self.disk.path.display());
                    self.node.disk_failed();
                    return false;
                }
            }
            Effect::Send { to, bytes, connection: false } => {
                // A full socket loses datagrams as the network does.
                let _ = self.datagrams.try_send_to(&bytes, to);
            }
            Effect::Send { to, bytes, connection: true } => self.send(to, bytes.into()),
            Effect::Notify(note) => self.tell(&note),
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
                    // What the journal holds is the other's as well: to go on would deliver it twice.
                    process::exit(COPIED);
                }
            }
            Effect::Answer(id, done) => {
                if let Some(answer) = self.answers.remove(&id) {
                    let done = done.map(|()| String::new()).map_err(|e| e.to_string());
                    drop(answer.send(done));
                }
            }
        }
        true
    }

    /// A line in the log for what changed: what was believed before, what is now, and why.
    fn tell(&self, note: &Notification) {
        let (_, own, _) = self.node.identity();
        match note {
            Notification::Health { name, before, now: now @ Health::Lost, incarnation } => tracing::warn!(
                peer = %name, incarnation, ?before, ?now, own,
                reason = "it did not answer, nor object within its time to being held lost",
                "fleet: {name} is lost"
            ),
            Notification::Health { name, before, now, incarnation } => tracing::info!(
                peer = %name, incarnation, ?before, ?now, own, reason = "it was heard, by this sender or another",
                "fleet: {name} answers"
            ),
            Notification::MemberList { before, now, change } => {
                let text = change.as_ref().map_or_else(
                    || "taken over whole from a peer".to_owned(),
                    |change| match change {
                        Change::Start { info, incarnation, .. } => {
                            format!("start {incarnation} of {}, at {}", info.name, info.address)
                        }
                        Change::Leaving { folder } => format!("{} is leaving", self.name(*folder)),
                        Change::Departure { folder, why } => {
                            format!("{} is gone: {why:?}", self.name(*folder))
                        }
                        Change::Voters { group, folders } => {
                            let names: Vec<String> =
                                folders.iter().map(|folder| self.name(*folder)).collect();
                            format!("keepers of group {group} are {}", names.join(", "))
                        }
                    },
                );
                tracing::info!(before, number = now, own, reason = %text, "fleet: roster {now}: {text}");
            }
            Notification::Returned(times) => tracing::warn!(
                own,
                times,
                "fleet: others held this sender lost; it has objected, and is back"
            ),
            Notification::Waiting(what) => tracing::warn!(own, "fleet: waiting: {what}"),
            Notification::OtherFleet(peer) => {
                tracing::warn!(%peer, own, "fleet: another fleet of the same name is at {peer}, and is not listened to");
            }
            Notification::Voter(Some(group)) => {
                tracing::info!(own, term = group, "fleet: a keeper, of group {group}")
            }
            Notification::Voter(None) => tracing::info!(own, "fleet: no keeper any more"),
        }
    }

    /// The name that goes with a folder, as far as the roster has it or had it.
    fn name(&self, folder: u64) -> String {
        let roster = self.node.member_list();
        let member = roster.and_then(|r| r.members.get(&folder)).map(|member| member.info.name.clone());
        let gone = || roster.and_then(|r| r.departure_of(folder)).map(|gone| gone.name.clone());
        member.or_else(gone).unwrap_or_else(|| format!("folder {folder:016x}"))
    }

    /// Sends a frame on the connection to a peer, which is made where there is none.
    fn send(&mut self, to: SocketAddr, bytes: Bytes) {
        self.peers.retain(|_, peer| !peer.is_closed());
        if self.peers.len() >= MOST_PEERS && !self.peers.contains_key(&to) {
            return self.node.connection_broken(to);
        }
        let peer = self.peers.entry(to).or_insert_with(|| {
            let (frames, waiting) = mpsc::channel(MOST_WAITING);
            tokio::spawn(tell(self.own, to, waiting, self.came.clone()));
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

/// Tells a peer what waits for it, on one connection, until that breaks or nothing more comes.
async fn tell(own: SocketAddr, to: SocketAddr, mut waiting: mpsc::Receiver<Bytes>, came: mpsc::Sender<Came>) {
    let connect = async {
        let socket = if to.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        // From the own address: peers and whatever stands between may tell by it who calls.
        if !own.ip().is_unspecified() && own.is_ipv4() == to.is_ipv4() {
            socket.bind(SocketAddr::new(own.ip(), 0))?;
        }
        socket.connect(to).await
    };
    let stream = match timeout(CONNECT, connect).await {
        Ok(Ok(stream)) => stream,
        _ => return drop(came.send(Came::Broke(to)).await),
    };
    let _ = stream.set_nodelay(true);
    let mut framed = framed(stream);
    while let Ok(Some(bytes)) = timeout(IDLE / 2, waiting.recv()).await {
        if !matches!(timeout(CONNECT, framed.send(bytes)).await, Ok(Ok(()))) {
            return drop(came.send(Came::Broke(to)).await);
        }
    }
}

/// Takes frames from peers.
async fn accept(listener: TcpListener, came: mpsc::Sender<Came>) {
    let room = Arc::new(Semaphore::new(MOST_PEERS));
    loop {
        let Ok(permit) = room.clone().acquire_owned().await else { return };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                tracing::warn!("fleet: accepting: {e}");
                sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        let came = came.clone();
        tokio::spawn(async move {
            let mut framed = framed(stream);
            let mut patience = FIRST_WORD;
            while let Ok(Some(Ok(bytes))) = timeout(patience, framed.next()).await {
                if came.send(Came::Frame(bytes.freeze())).await.is_err() {
                    return;
                }
                patience = IDLE;
            }
            drop(permit);
        });
    }
}
