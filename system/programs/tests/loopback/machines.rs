//! Processes of machines at loopback addresses, and what they are told.

use bytes::Bytes;
use fleet_model::{Answer, Ballot, Call, ChosenValue, CommittedVersion, ControlState};
use node_settings::Settings;
use peer_wire::{Handler, PeerServer, Pusher};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;
use system_programs::feed::{Feed, SubscriberLink, new_feed, run_heartbeats};
use system_programs::process::Process;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

/// Longest time for one story.
const LIMIT: Duration = Duration::from_secs(60);
/// Between two confirmations of what a source tells.
const CONFIRM: Duration = Duration::from_millis(50);

/// Runs a story on one thread.
pub(crate) fn run(story: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async { timeout(LIMIT, story).await.unwrap() });
}

/// An address that no other machine of these tests has.
pub(crate) fn own_address() -> Ipv4Addr {
    static LAST: AtomicU16 = AtomicU16::new(0);
    let [high, low] = (std::process::id() as u16).to_be_bytes();
    let number = LAST.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::new(127, high.max(1), low, 10 + u8::try_from(number).unwrap())
}

/// A machine with the settings of its process.
pub(crate) struct Machine {
    /// The settings file's text.
    pub settings: String,
    pub process: Rc<Process>,
}

impl Machine {
    /// One in this zone whose peers listen at `peer_port`. Loss of one machine is to be borne.
    pub(crate) fn new(ip: Ipv4Addr, zone: &str, peer_port: u16) -> Self {
        let last = peer_port + 3;
        let (front, readiness) = (peer_port + 10, peer_port + 11);
        let text = format!(
            "node_name: m-{ip}\nip_address: {ip}\nzone: {zone}\nzones: {{a: r, b: r, c: r}}\n\
             internal_port_range: [{peer_port}, {last}]\n\
             listen_addresses: {{front: \"{ip}:{front}\", readiness: \"{ip}:{readiness}\"}}\n\
             fault_tolerance: {{machines: 1}}\n"
        );
        // Nothing here ends a process from within.
        let (_, ending) = watch::channel(false);
        let process = Process::new(Settings::parse(&text).unwrap(), PathBuf::new(), ending);
        Self { settings: text, process }
    }

    pub(crate) fn front(&self) -> SocketAddr {
        self.process.settings().listen_addresses.front.unwrap().into()
    }

    pub(crate) fn readiness(&self) -> SocketAddr {
        self.process.settings().listen_addresses.readiness.unwrap().into()
    }
}

/// A state that was chosen in this round.
pub(crate) fn chosen(round: u64, state: &ControlState) -> ChosenValue {
    let ballot = Ballot { round, ..Ballot::default() };
    ChosenValue { ballot, voters: vec![Ipv4Addr::LOCALHOST], payload: state.to_payload().unwrap() }
}

/// A state with this configuration in force.
pub(crate) fn state_with(config: &str) -> ControlState {
    let taken = vec![CommittedVersion { version: 7, digest: [0; 32] }];
    ControlState { config: Bytes::from(config.to_owned()), committed: taken, ..ControlState::default() }
}

/// Tells a proxy what its agent would, always confirmed.
pub(crate) struct Source {
    feed: Rc<Feed>,
}

impl Handler for Source {
    async fn call(&self, _from: SocketAddr, call: Call, pusher: Pusher) -> Answer {
        match &call {
            Call::Subscribe { .. } => self.feed.subscribe(&call, true, SubscriberLink(pusher)),
            _ => Answer::NotReady,
        }
    }
}

impl Source {
    /// Begins to tell at `listener`.
    pub(crate) fn start(process: &Rc<Process>, listener: TcpListener) -> Rc<Feed> {
        let feed = new_feed(process);
        let server = PeerServer::new(process.fleet(), Rc::new(Self { feed: feed.clone() }));
        spawn_local(async move { server.serve(listener).await });
        spawn_local(run_heartbeats(feed.clone()));
        let (confirmed, clock) = (feed.clone(), process.clone());
        spawn_local(async move {
            loop {
                confirmed.confirm(clock.now());
                sleep(CONFIRM).await;
            }
        });
        feed
    }
}
