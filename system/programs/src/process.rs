//! The running process: its settings, clock, shutdown signal and addresses.

use node_settings::Settings;
use request_routing::RoutingPolicy;
use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Offset of the process clock at its start, so that ages can be subtracted from it.
const CLOCK_OFFSET: Duration = Duration::from_secs(100 * 24 * 3_600);

/// The running process, shared by all its parts.
pub struct Process {
    /// The settings, as last read whole.
    settings: RefCell<Rc<Settings>>,
    path: PathBuf,
    /// Which decision mechanisms are in force.
    pub routing_policy: RoutingPolicy,
    /// Turns true with SIGTERM.
    pub ending: watch::Receiver<bool>,
    started: Instant,
}

impl Process {
    /// One that begins now, with the settings read from `path`. `ending` turns true when it is to end.
    pub fn new(settings: Settings, path: PathBuf, ending: watch::Receiver<bool>) -> Rc<Self> {
        Self::with_routing_policy(settings, path, RoutingPolicy::default(), ending)
    }

    /// The same with another routing policy than the one in service.
    pub fn with_routing_policy(
        settings: Settings,
        path: PathBuf,
        routing_policy: RoutingPolicy,
        ending: watch::Receiver<bool>,
    ) -> Rc<Self> {
        let settings = RefCell::new(Rc::new(settings));
        Rc::new(Self { settings, path, routing_policy, ending, started: Instant::now() })
    }

    /// The settings now in force.
    pub fn settings(&self) -> Rc<Settings> {
        self.settings.borrow().clone()
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

    /// Reads the settings again; those in force stay where the file cannot be used.
    pub fn reload(&self) {
        match Settings::read(&self.path) {
            Ok(settings) => *self.settings.borrow_mut() = Rc::new(settings),
            Err(e) => log::error!("settings not reloaded: error={e}"),
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
    let mut ending = process.ending.clone();
    // The sender lives as long as the process.
    let _ = ending.wait_for(|ending| *ending).await;
}
