//! Stand-ins for clients, endpoints and the keepers of turns, and a forwarder between them.
#![allow(dead_code, reason = "each test file uses a part")]

use bytes::Bytes;
use fleet_model::{Endpoint, EndpointList, EndpointState, ListVersion};
use operator_config::OperatorConfig;
use request_forwarding::{
    ChainLookup, CompletedTurn, Forwarder, ReserveOutcome, ShutdownPhase, SystemState, TurnStorage,
};
use request_routing::RoutingPolicy;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::timeout;

/// Runs a story on one thread.
pub fn run(story: impl Future<Output = ()>) {
    run_within(Duration::from_secs(15), story);
}

/// The same for one that lets more time pass at once.
pub fn run_within(limit: Duration, story: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async { timeout(limit, story).await.unwrap() });
}

/// The head and body of a message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// Whether it ended as the protocol wants.
    pub whole: bool,
}

impl Message {
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).unwrap().parse().unwrap()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.body).unwrap()
    }
}

/// A connection with what was read beyond the last message.
pub struct Wire {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, rest: Vec::new() }
    }

    pub async fn open(address: SocketAddr) -> Self {
        Self::new(TcpStream::connect(address).await.unwrap())
    }

    pub async fn write(&mut self, bytes: impl AsRef<[u8]>) {
        self.stream.write_all(bytes.as_ref()).await.unwrap();
    }

    /// Reads more; false at the end.
    async fn more(&mut self) -> bool {
        let mut buffer = [0; 16 * 1024];
        match self.stream.read(&mut buffer).await {
            Ok(count) if count > 0 => {
                self.rest.extend_from_slice(&buffer[..count]);
                true
            }
            _ => false,
        }
    }

    async fn until(&mut self, end: &[u8]) -> Option<Vec<u8>> {
        loop {
            if let Some(at) = self.rest.windows(end.len()).position(|window| window == end) {
                let after = self.rest.split_off(at + end.len());
                let mut found = std::mem::replace(&mut self.rest, after);
                found.truncate(at);
                return Some(found);
            }
            if !self.more().await {
                return None;
            }
        }
    }

    async fn exactly(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.rest.len() < count {
            if !self.more().await {
                return None;
            }
        }
        let after = self.rest.split_off(count);
        Some(std::mem::replace(&mut self.rest, after))
    }

    /// The next head, if one comes.
    pub async fn head(&mut self) -> Option<Message> {
        let head = String::from_utf8(self.until(b"\r\n\r\n").await?).unwrap();
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap().to_owned();
        let headers = lines.map(|line| line.split_once(':').unwrap());
        let headers =
            headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned())).collect();
        Some(Message { first, headers, body: Vec::new(), whole: false })
    }

    /// The next chunk of a body in chunks: empty at its whole end, none if it breaks off.
    pub async fn chunk(&mut self) -> Option<Vec<u8>> {
        let size = String::from_utf8(self.until(b"\r\n").await?).unwrap();
        let size = usize::from_str_radix(&size, 16).unwrap();
        let mut chunk = self.exactly(size + 2).await?;
        chunk.truncate(size);
        Some(chunk)
    }

    /// The next message; its `whole` tells whether it came to its end.
    pub async fn message(&mut self) -> Option<Message> {
        let mut message = self.head().await?;
        self.body_of(&mut message).await;
        Some(message)
    }

    /// Reads the body that follows a head.
    pub async fn body_of(&mut self, message: &mut Message) {
        if message.headers.contains_key("transfer-encoding") {
            while let Some(chunk) = self.chunk().await {
                if chunk.is_empty() {
                    message.whole = true;
                    break;
                }
                message.body.extend(chunk);
            }
        } else {
            let length = message.header("content-length").map_or(0, |length| length.parse().unwrap());
            if let Some(body) = self.exactly(length).await {
                message.body = body;
                message.whole = true;
            }
        }
    }

    /// True once the other side has ended the connection, with nothing more before.
    pub async fn ends(&mut self) -> bool {
        self.rest.is_empty() && !self.more().await
    }

    /// Sends a request and reads its answer.
    pub async fn routing_request(&mut self, request: &RoutingRequest<'_>) -> Message {
        self.write(request.bytes()).await;
        self.message().await.expect("an answer")
    }
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct RoutingRequest<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub headers: &'a str,
    pub body: &'a str,
}

impl RoutingRequest<'_> {
    pub fn bytes(&self) -> Vec<u8> {
        let RoutingRequest { method, path, id, headers, body } = self;
        let deadline =
            if headers.contains("Deadline-Remaining") { "" } else { "Deadline-Remaining: 5000\r\n" };
        let length =
            if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
        format!(
            "{method} {path} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {id}\r\n{deadline}{headers}{length}\r\n{body}"
        )
        .into()
    }
}

/// A request with a body.
pub fn post<'a>(path: &'a str, id: &'a str, headers: &'a str, body: &'a str) -> RoutingRequest<'a> {
    RoutingRequest { method: "POST", path, id, headers, body }
}

/// One without.
pub fn get<'a>(path: &'a str, id: &'a str) -> RoutingRequest<'a> {
    RoutingRequest { method: "GET", path, id, headers: "", body: "" }
}

/// Parts of a stream, as the test hands them to the endpoint.
pub enum Part {
    Bytes(&'static str),
    End,
    Break,
}

/// What an endpoint does with a request.
pub enum Reply {
    /// Status, further headers and body, with id and seal.
    Answer(u16, &'static str, &'static str),
    /// Bytes as they are, with `{id}` for the request's id; then the connection stays.
    Raw(&'static str),
    /// The same, and the connection ends.
    RawClose(&'static str),
    /// The connection is reset.
    Reset,
    /// A stream of events, in chunks.
    Stream(mpsc::UnboundedReceiver<Part>),
    /// Nothing, until the caller closes the connection.
    Silence,
}

/// An endpoint's part in a story.
pub struct Server {
    pub instance: &'static str,
    pub address: SocketAddrV4,
    pub seen: Rc<RefCell<Vec<Message>>>,
    /// Told when a request has come, and when a connection has ended.
    pub requests: watch::Receiver<usize>,
    pub closed: watch::Receiver<usize>,
}

impl Server {
    pub async fn start(instance: &'static str, reply: impl FnMut(&Message) -> Reply + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let SocketAddr::V4(address) = listener.local_addr().unwrap() else { unreachable!() };
        let seen = Rc::new(RefCell::new(Vec::new()));
        let (requests_sender, requests) = watch::channel(0);
        let (closed_sender, closed) = watch::channel(0);
        let (requests_sender, closed_sender) = (Rc::new(requests_sender), Rc::new(closed_sender));
        let reply = Rc::new(RefCell::new(reply));
        let all = seen.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (reply, seen) = (reply.clone(), all.clone());
                let (requests, closed) = (requests_sender.clone(), closed_sender.clone());
                spawn_local(async move {
                    let mut wire = Wire::new(stream);
                    while let Some(request) = wire.message().await {
                        seen.borrow_mut().push(request.clone());
                        requests.send_modify(|count| *count += 1);
                        let reply = (*reply.borrow_mut())(&request);
                        if !play(&mut wire, &request, reply).await {
                            break;
                        }
                    }
                    closed.send_modify(|count| *count += 1);
                });
            }
        });
        Self { instance, address, seen, requests, closed }
    }

    /// Waits until so many requests have come.
    pub async fn has_seen(&self, count: usize) {
        self.requests.clone().wait_for(|seen| *seen >= count).await.unwrap();
    }

    /// Waits until so many connections have ended.
    pub async fn has_closed(&self, count: usize) {
        self.closed.clone().wait_for(|closed| *closed >= count).await.unwrap();
    }

    pub fn ids(&self) -> Vec<String> {
        self.seen.borrow().iter().map(|request| request.header("attempt-id").unwrap().to_owned()).collect()
    }
}

/// False if the connection ends.
async fn play(wire: &mut Wire, request: &Message, reply: Reply) -> bool {
    let id = request.header("attempt-id").unwrap_or_default();
    match reply {
        Reply::Answer(status, headers, body) => {
            let length = body.len();
            wire.write(format!(
                "HTTP/1.1 {status} X\r\nAttempt-Id: {id}\r\nServer-Seal: seal-{id}\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
            ))
            .await;
            true
        }
        Reply::Raw(bytes) => {
            wire.write(bytes.replace("{id}", id)).await;
            true
        }
        Reply::RawClose(bytes) => {
            wire.write(bytes.replace("{id}", id)).await;
            false
        }
        Reply::Reset => {
            wire.stream.set_zero_linger().unwrap();
            false
        }
        Reply::Silence => {
            let mut byte = [0];
            let _ = wire.stream.read(&mut byte).await;
            false
        }
        Reply::Stream(mut parts) => {
            wire.write(format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: seal-{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            ))
            .await;
            let mut byte = [0];
            loop {
                tokio::select! {
                    part = parts.recv() => match part {
                        Some(Part::Bytes(bytes)) => wire.write(format!("{:x}\r\n{bytes}\r\n", bytes.len())).await,
                        Some(Part::End) => {
                            wire.write("0\r\n\r\n").await;
                            return true;
                        }
                        Some(Part::Break) | None => return false,
                    },
                    _ = wire.stream.read(&mut byte) => return false,
                }
            }
        }
    }
}

/// A keeper of turns that does as it is told.
pub struct Turns {
    pub reserve: Cell<ReserveOutcome>,
    pub chain: RefCell<ChainLookup>,
    /// What `keep` says, once it says something.
    pub keep: watch::Sender<Option<bool>>,
    pub reserved: RefCell<Vec<(String, String, u32, u32)>>,
    pub settled: RefCell<Vec<(String, String, u32)>>,
    pub settles: watch::Sender<usize>,
    pub asked: RefCell<Vec<String>>,
    pub kept: RefCell<Vec<CompletedTurn>>,
    pub keeps: watch::Sender<usize>,
}

impl Default for Turns {
    fn default() -> Self {
        Self {
            reserve: Cell::new(ReserveOutcome::Granted),
            chain: RefCell::new(ChainLookup::Text(Bytes::new())),
            keep: watch::channel(Some(true)).0,
            reserved: RefCell::default(),
            settled: RefCell::default(),
            settles: watch::channel(0).0,
            asked: RefCell::default(),
            kept: RefCell::default(),
            keeps: watch::channel(0).0,
        }
    }
}

impl TurnStorage for Turns {
    async fn reserve(&self, program: &str, attempt: &str, most: u32, budget: u32) -> ReserveOutcome {
        self.reserved.borrow_mut().push((program.into(), attempt.into(), most, budget));
        self.reserve.get()
    }

    fn settle(&self, program: &str, attempt: &str, tokens: u32) {
        self.settled.borrow_mut().push((program.into(), attempt.into(), tokens));
        self.settles.send_modify(|count| *count += 1);
    }

    async fn chain(&self, previous: &str) -> ChainLookup {
        self.asked.borrow_mut().push(previous.into());
        self.chain.borrow().clone()
    }

    async fn store_turn(&self, turn: CompletedTurn) -> bool {
        self.kept.borrow_mut().push(turn);
        self.keeps.send_modify(|count| *count += 1);
        let mut told = self.keep.subscribe();
        told.wait_for(Option::is_some).await.unwrap().unwrap()
    }
}

/// A forwarder between clients and endpoints.
pub struct World {
    pub forwarder: Rc<Forwarder<Turns>>,
    pub turns: Rc<Turns>,
    pub front: SocketAddr,
    pub stage: watch::Sender<ShutdownPhase>,
    pub serving: JoinHandle<()>,
}

pub const CONFIG: &str = r#"{"version":7,"routes":[
 {"name":"plain","hostname":"a.example","path_prefix":"/plain/","route_type":"idempotent","timeout_ms":6000,
  "target_latency_ms":400,"priority":1,"service":"s","max_attempts":3},
 {"name":"unsafe","hostname":"a.example","path_prefix":"/unsafe/","route_type":"non_idempotent","timeout_ms":6000,
  "target_latency_ms":400,"priority":0,"service":"s","max_attempts":3},
 {"name":"short","hostname":"a.example","path_prefix":"/short/","route_type":"non_idempotent","timeout_ms":150,
  "target_latency_ms":100,"priority":0,"service":"s","max_attempts":3},
 {"name":"turns","hostname":"a.example","path_prefix":"/turns/","route_type":"streaming","timeout_ms":6000,
  "target_latency_ms":400,"priority":1,"service":"m","max_attempts":2,"retained":true,"retention_s":60.0,
  "session_affinity":true,"gap_aim_ms":400},
 {"name":"events","hostname":"a.example","path_prefix":"/events/","route_type":"streaming","timeout_ms":6000,
  "target_latency_ms":400,"priority":1,"service":"m","max_attempts":2,"session_affinity":true},
 {"name":"resumable","hostname":"a.example","path_prefix":"/resumable/","route_type":"streaming","timeout_ms":6000,
  "target_latency_ms":400,"priority":1,"service":"m","max_attempts":2,"retained":true,"retention_s":60.0,
  "session_affinity":true,"resumable":true,"gap_aim_ms":400}],
 "services":[{"name":"s","health_check_path":"/health","max_connections":50},
  {"name":"m","health_check_path":"/health","max_connections":50,
   "engine":{"capacity_slots":8,"kv_cache_tokens":100000,"tokens_per_event":2}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":1000,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// The list of these endpoints with their services.
pub fn listed(endpoints: &[(&Server, &str)]) -> EndpointList {
    let endpoints = endpoints.iter().map(|(server, service)| Endpoint {
        instance_id: server.instance.into(),
        service: (*service).into(),
        address: server.address,
        zone: "z".into(),
        capacity_slots: 8,
        state: EndpointState::Ready,
    });
    EndpointList { version: ListVersion::new(1, 1), endpoints: endpoints.collect() }
}

impl World {
    pub async fn start(endpoints: &[(&Server, &str)]) -> Self {
        let world = Self::unconfigured().await;
        world.update(endpoints);
        world
    }

    pub async fn unconfigured() -> Self {
        let turns = Rc::new(Turns::default());
        let forwarder = Forwarder::new("z".into(), 7, RoutingPolicy::default(), turns.clone(), 300);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let front = listener.local_addr().unwrap();
        let (stage, shutdown) = watch::channel(ShutdownPhase::Serving);
        let serving = spawn_local(forwarder.clone().serve(listener, shutdown));
        Self { forwarder, turns, front, stage, serving }
    }

    pub fn update(&self, endpoints: &[(&Server, &str)]) {
        let list = listed(endpoints);
        let config = OperatorConfig::read(CONFIG.as_bytes()).unwrap();
        self.forwarder.update(SystemState {
            config: Some(Rc::new(config)),
            list: Some(Rc::new(list)),
            proxies: 1,
        });
    }

    pub async fn client(&self) -> Wire {
        Wire::open(self.front).await
    }

    /// Sends a request on a connection of its own.
    pub async fn routing_request(&self, request: &RoutingRequest<'_>) -> Message {
        self.client().await.routing_request(request).await
    }
}
