//! The running process: its settings, clock, shutdown signal, addresses and parts.

use crate::settings_file::{self, SettingsCheck};
use node_settings::Settings;
use process_lifecycle::signals::SignalRequests;
use process_lifecycle::supervisor::{Parts, Restarts};
use process_lifecycle::waits::Waits;
use request_routing::RoutingPolicy;
use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// Offset of the process clock at its start, so that ages can be subtracted from it.
const CLOCK_OFFSET: Duration = Duration::from_secs(100 * 24 * 3_600);

/// What outlives a restart of the program's body within the process.
#[derive(Clone)]
pub struct Lifecycle {
    /// What the process waits for.
    pub waits: Rc<Waits>,
    /// How often the body was started again.
    pub restarts: Rc<Restarts>,
    /// What signals have asked for.
    pub requests: SignalRequests,
}

/// The settings of a process, and where they are from.
#[derive(Clone)]
pub struct SettingsSource {
    /// The settings as they were read.
    pub settings: Settings,
    /// The file.
    pub path: PathBuf,
    /// What the program needs of them.
    pub check: SettingsCheck,
}

/// The running process, shared by all its parts.
pub struct Process {
    /// The settings, as last read whole.
    settings: RefCell<Rc<Settings>>,
    path: PathBuf,
    check: SettingsCheck,
    reload_failures: Cell<u64>,
    /// Which decision mechanisms are in force.
    pub routing_policy: RoutingPolicy,
    lifecycle: Lifecycle,
    parts: Parts,
    started: Instant,
}

impl Process {
    /// One that begins now, with the settings read from `path`, and whose parts nobody supervises. `ending` turns true when it
    /// is to end.
    pub fn new(settings: Settings, path: PathBuf, ending: watch::Receiver<bool>) -> Rc<Self> {
        let source = SettingsSource { settings, path, check: |_| Ok(()) };
        let lifecycle = Lifecycle {
            waits: Rc::default(),
            restarts: Rc::default(),
            requests: SignalRequests { shutdown: ending, reloads: watch::channel(0).1 },
        };
        Self::supervised(source, RoutingPolicy::default(), lifecycle, Parts::unsupervised())
    }

    /// One whose parts are supervised.
    pub fn supervised(
        source: SettingsSource,
        routing_policy: RoutingPolicy,
        lifecycle: Lifecycle,
        parts: Parts,
    ) -> Rc<Self> {
        Rc::new(Self {
            settings: RefCell::new(Rc::new(source.settings)),
            path: source.path,
            check: source.check,
            reload_failures: Cell::new(0),
            routing_policy,
            lifecycle,
            parts,
            started: Instant::now(),
        })
    }

    /// The settings now in force.
    pub fn settings(&self) -> Rc<Settings> {
        self.settings.borrow().clone()
    }

    /// What the process waits for.
    pub fn waits(&self) -> &Rc<Waits> {
        &self.lifecycle.waits
    }

    /// Turns true with SIGTERM.
    pub fn ending(&self) -> watch::Receiver<bool> {
        self.lifecycle.requests.shutdown.clone()
    }

    /// How often the body of the program was started again.
    pub fn restarts(&self) -> u64 {
        self.lifecycle.restarts.count()
    }

    /// How often new settings could not be used.
    pub fn reload_failures(&self) -> u64 {
        self.reload_failures.get()
    }

    /// Spawns a part that works for as long as the process. If it ends or panics, all parts are started again.
    pub fn spawn_part(&self, part: &'static str, work: impl Future<Output = ()> + 'static) -> AbortHandle {
        self.parts.spawn(part, work)
    }

    /// Spawns a task whose panic is the failure of a part.
    pub fn spawn_task(&self, part: &'static str, work: impl Future<Output = ()> + 'static) -> AbortHandle {
        self.parts.spawn_task(part, work)
    }

    /// Notes that the process has all that it needs, and ends in order from now on.
    pub fn set_started(&self) {
        self.parts.set_started();
    }

    /// Milliseconds since the process began.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Monotonic time; it starts long before the process.
    pub fn now(&self) -> Duration {
        CLOCK_OFFSET + self.started.elapsed()
    }

    /// The fleet's number: datagrams and calls of other deployments are rejected.
    pub fn fleet(&self) -> u16 {
        fleet_number(&self.settings())
    }

    /// Where machine `ip` takes calls of its peers.
    pub fn peer(&self, ip: Ipv4Addr) -> SocketAddrV4 {
        SocketAddrV4::new(ip, self.settings().peer_port())
    }

    /// The core machines that the settings name.
    pub fn seeds(&self) -> Vec<Ipv4Addr> {
        self.settings().seed_nodes.iter().map(|seed| *seed.ip()).collect()
    }

    /// Reads the settings again whenever that is requested, also if that was before this call; never returns.
    pub async fn reload_on_request(self: Rc<Self>) {
        let mut reloads = self.lifecycle.requests.reloads.clone();
        while reloads.changed().await.is_ok() {
            self.reload().await;
        }
        std::future::pending::<()>().await;
    }

    /// Reads the settings again, once they are complete; those in force stay where they can never be used.
    pub async fn reload(&self) {
        let (waits, requests) = (self.waits(), &self.lifecycle.requests);
        match settings_file::wait_for_settings(&self.path, self.check, waits, requests).await {
            Ok(settings) => *self.settings.borrow_mut() = Rc::new(settings),
            Err(e) => {
                self.reload_failures.set(self.reload_failures.get() + 1);
                log::error!("settings not reloaded: error={e}");
            }
        }
    }
}

/// The fleet's number, which follows from its zones.
pub fn fleet_number(settings: &Settings) -> u16 {
    let names = settings.zones.iter().flat_map(|(zone, region)| [zone, region]);
    let bytes: Vec<u8> = names.flat_map(|name| name.bytes().chain([0])).collect();
    u16::try_from(fleet_model::rendezvous_rank(&bytes, 0) & 0xffff).unwrap_or_default()
}

/// Waits until a shutdown is requested (SIGTERM or SIGINT).
pub async fn shutdown_requested(process: &Process) {
    process.lifecycle.requests.shutdown_requested().await;
}
