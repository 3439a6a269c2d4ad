//! A small tier whose machines have little memory: started, watched, and asked an ordinary request of each kind.
use super::crowd::{Target, read_response};
use super::process::{GRACE_PERIOD_S, TierLimits, WatchedProcess};
use super::report::Report;
use super::stand_in;
use crate::fleet::FleetError;
use crate::fleet::io;
use crate::serving_tier::history::Recorder;
use crate::serving_tier::machines::{Addresses, Machine, Programs, Role, built_programs};
use crate::serving_tier::operator::{HOST, Operator, configuration};
use bytes::Bytes;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tempfile::TempDir;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// The greatest legal body of a client's request, in bytes, as the configuration states.
pub const MAX_CLIENT_BODY_BYTES: usize = 4 * 1024 * 1024;
/// The greatest body that the operator's API takes, in bytes.
pub const MAX_OPERATOR_BODY_BYTES: usize = 8 * 1024 * 1024;
/// The greatest body of an application's call, in bytes.
pub const MAX_APPLICATION_BODY_BYTES: usize = 64 * 1024;
/// The tier is ready within this, or it does not start.
const START_TIMEOUT: Duration = Duration::from_secs(40);
/// An ordinary request is tried again for so long; an answer that comes at all comes far sooner.
const ORDINARY_TIMEOUT: Duration = Duration::from_secs(60);
/// Between two tries of an ordinary request.
const ORDINARY_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// One try of an ordinary request ends after this.
const ORDINARY_TRY_TIMEOUT: Duration = Duration::from_secs(10);
/// The operator tries a change again for so long.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(5);
/// The version of the first configuration.
pub const FIRST_VERSION: u64 = 4;

/// What stands behind a tier.
pub struct Backends {
    /// Endpoints and platform, which end when it is dropped.
    pub parties: JoinSet<()>,
    /// The platform's address.
    pub platform: SocketAddrV4,
    /// The configuration with a version.
    pub configuration: fn(u64) -> Bytes,
}

/// A tier on loopback.
pub struct SmallTier {
    /// Its addresses.
    pub addresses: Addresses,
    /// What endpoints ran and crowds were told.
    pub report: Arc<Report>,
    processes: Vec<WatchedProcess>,
    operator: Operator,
    configuration: fn(u64) -> Bytes,
    ordinary_requests: AtomicU64,
    _parties: JoinSet<()>,
    _folder: TempDir,
}

impl SmallTier {
    /// Starts a tier and waits until an ordinary request is answered at each proxy.
    pub async fn start(limits: TierLimits, seed: u64) -> Result<Self, FleetError> {
        let report = Arc::new(Report::default());
        let mut parties = JoinSet::new();
        let platform = stand_in::start(&mut parties, &report).await?;
        let configuration = |version| configuration(version, true);
        Self::start_with(limits, seed, report, Backends { parties, platform, configuration }).await
    }

    /// The same before these endpoints, whose report it takes.
    pub async fn start_with(
        limits: TierLimits,
        seed: u64,
        report: Arc<Report>,
        backends: Backends,
    ) -> Result<Self, FleetError> {
        let Backends { parties, platform, configuration } = backends;
        let programs = built_programs()?;
        let programs = Programs { present: &programs, older: None };
        let addresses = Addresses::reserve(limits.core, limits.storage, limits.edge, seed).await?;
        let folder = tempfile::tempdir().map_err(io("making a folder"))?;
        let counts = [
            (Role::ControlNode, limits.core),
            (Role::StorageNode, limits.storage),
            (Role::ProxyAgent, limits.edge),
            (Role::RequestProxy, limits.edge),
        ];
        let mut processes = Vec::new();
        for (role, count) in counts {
            for number in 0..usize::from(count) {
                let position = (role, number);
                let mut machine =
                    Machine::new(programs, folder.path(), &addresses, position, platform, GRACE_PERIOD_S)?;
                machine.configure(limits.settings(role));
                let process = WatchedProcess::new(role, number, machine, limits);
                process.start().await?;
                processes.push(process);
            }
        }
        let control_nodes = (0..addresses.core.len()).map(|number| addresses.control(number)).collect();
        let operator = Operator::new(control_nodes, Arc::new(Recorder::new(false)));
        let tier = Self {
            addresses,
            report,
            processes,
            operator,
            configuration,
            ordinary_requests: AtomicU64::new(0),
            _parties: parties,
            _folder: folder,
        };
        tier.get_ready().await?;
        Ok(tier)
    }

    async fn get_ready(&self) -> Result<(), FleetError> {
        let ready = async {
            while !self
                .operator
                .put(FIRST_VERSION, 0, (self.configuration)(FIRST_VERSION), START_TIMEOUT)
                .await
            {}
            for number in 0..self.addresses.edge.len() {
                while !self.ordinary_request_answered(number).await {}
            }
        };
        if timeout(START_TIMEOUT, ready).await.is_ok() {
            return Ok(());
        }
        let mut log = String::new();
        for process in &self.processes {
            log += &process.last_lines().await;
        }
        Err(FleetError::NotReady { sender: 0, log })
    }

    /// All processes.
    pub fn processes(&self) -> &[WatchedProcess] {
        &self.processes
    }

    /// What of the greatest usage lay over the limits, and which processes ended by themselves or not in their time: nothing
    /// if all is well. Nothing is watched any more after it.
    pub async fn excesses(&self) -> Vec<String> {
        let mut excesses = Vec::new();
        for process in &self.processes {
            excesses.extend(process.excesses().await);
        }
        excesses
    }

    /// Sends a small order to a proxy, again until it is done or time is over; whether it was.
    pub async fn ordinary_request_answered(&self, edge: usize) -> bool {
        self.request_answered(self.addresses.front(edge), "orders", 100).await
    }

    /// Sends a small order to a proxy; whether it is done at the first try.
    pub async fn ordinary_request_answered_at_once(&self, edge: usize) -> bool {
        self.try_request(self.addresses.front(edge), "orders", 100).await
    }

    /// Sends an order of the greatest legal length to a proxy; whether it is done at the first try.
    pub async fn greatest_request_answered(&self, edge: usize) -> bool {
        self.try_request(self.addresses.front(edge), "orders", MAX_CLIENT_BODY_BYTES).await
    }

    async fn request_answered(&self, to: SocketAddrV4, route: &str, length: usize) -> bool {
        let answered = async {
            while !self.try_request(to, route, length).await {
                sleep(ORDINARY_RETRY_INTERVAL).await;
            }
        };
        timeout(ORDINARY_TIMEOUT, answered).await.is_ok()
    }

    async fn try_request(&self, to: SocketAddrV4, route: &str, length: usize) -> bool {
        let number = self.ordinary_requests.fetch_add(1, Ordering::Relaxed);
        let head = format!(
            "POST /{route}/x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: ordinary-{number}\r\n\
             Deadline-Remaining: 5000\r\n"
        );
        exchange(to, &head, length).await == Some(200)
    }

    /// Changes the configuration from one version to another; whether it was acknowledged in time.
    pub async fn change_configuration(&self, from: u64, to: u64) -> bool {
        self.operator.put(to, from, (self.configuration)(to), OPERATOR_TIMEOUT).await
    }

    /// Reads the configuration from a control node until it answers with it or time is over; whether it did.
    pub async fn operator_answered(&self, core: usize) -> bool {
        let head = format!("GET /sedgewood/config HTTP/1.1\r\nHost: {HOST}\r\n");
        answered_in_time(self.addresses.control(core), &head).await
    }

    /// Where clients send orders at a proxy.
    pub fn orders(&self, edge: usize) -> Target {
        self.route(edge, "POST /orders/x")
    }

    /// Where clients send turns at a proxy, which are stored.
    pub fn turns(&self, edge: usize) -> Target {
        Target { headers: "Token-Usage: 10,4\r\n", ..self.route(edge, "POST /turns/x") }
    }

    /// Where clients send turns at a proxy that continue one another.
    pub fn continued_turns(&self, edge: usize) -> Target {
        Target { continues: true, headers: "Token-Usage: 10,4\r\nConnection: close\r\n", ..self.turns(edge) }
    }

    /// Where the platform asks a proxy whether it is ready.
    pub fn readiness(&self, edge: usize) -> Target {
        let address = self.addresses.readiness(edge);
        Target { address, ..self.route(edge, "GET /sedgewood/readiness") }
    }

    /// Asks a proxy whether it is ready until it says so or time is over; whether it did.
    pub async fn ready(&self, edge: usize) -> bool {
        let head = format!("GET /sedgewood/readiness HTTP/1.1\r\nHost: {HOST}\r\n");
        answered_in_time(self.addresses.readiness(edge), &head).await
    }

    /// Where clients send requests that have no route at a proxy.
    pub fn no_route(&self, edge: usize) -> Target {
        self.route(edge, "POST /nowhere/x")
    }

    fn route(&self, edge: usize, request: &'static str) -> Target {
        Target {
            address: self.addresses.front(edge),
            request,
            headers: "",
            continues: false,
            id_header: "Attempt-Id",
            max_body_bytes: MAX_CLIENT_BODY_BYTES,
        }
    }

    /// Where configurations are sent at a control node.
    pub fn configurations(&self, core: usize) -> Target {
        Target {
            address: self.addresses.control(core),
            request: "PUT /sedgewood/config",
            headers: "If-Match: 4\r\n",
            continues: false,
            id_header: "X-Id",
            max_body_bytes: MAX_OPERATOR_BODY_BYTES,
        }
    }

    /// Where applications take locks at a control node.
    pub fn locks(&self, core: usize) -> Target {
        Target {
            request: "POST /sedgewood/locks/l1",
            headers: "",
            max_body_bytes: MAX_APPLICATION_BODY_BYTES,
            ..self.configurations(core)
        }
    }
}

/// Sends a request without a body until it is answered with 200 or time is over; whether it was.
async fn answered_in_time(to: SocketAddrV4, head: &str) -> bool {
    let answered = async {
        while exchange(to, head, 0).await != Some(200) {
            sleep(ORDINARY_RETRY_INTERVAL).await;
        }
    };
    timeout(ORDINARY_TIMEOUT, answered).await.is_ok()
}

/// Sends one request on a connection of its own; the status of a complete answer.
pub(super) async fn exchange(to: SocketAddrV4, head: &str, length: usize) -> Option<u16> {
    let exchange = async {
        let (mut reader, mut writer) = TcpStream::connect(to).await.ok()?.into_split();
        let request = [format!("{head}Content-Length: {length}\r\n\r\n").into_bytes(), vec![b'o'; length]];
        let send = async {
            let _ = writer.write_all(&request.concat()).await;
            std::future::pending::<()>().await
        };
        tokio::select! {
            response = read_response(&mut reader) => Some(response?.status),
            () = send => None,
        }
    };
    timeout(ORDINARY_TRY_TIMEOUT, exchange).await.ok().flatten()
}
