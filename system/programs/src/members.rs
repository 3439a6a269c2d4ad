//! Membership of the fleet: connects `fleet-membership` to a UDP socket and a clock. One process of each machine
//! participates. The number of proxies is derived from it ([`ProxyCount`]).

mod proxy_count;

pub use proxy_count::ProxyCount;

use crate::feed::Feed;
use crate::process::Process;
use crate::random::random_u64;
use crate::start::StartError;
use fleet_membership::{
    Config, Counters, Effect, Member, MemberEvent, MemberState, Membership, Role, new_incarnation,
};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// Between two probes of one process.
const PROBE_PERIOD_MS: u64 = 1_250;
/// Longest name and zone that a member tells.
const MAX_TEXT_BYTES: usize = 128;
/// Between two tries to have the socket.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Longest sleep: voters that became known are looked for that often.
const MAX_SLEEP_MS: u64 = 2 * PROBE_PERIOD_MS;

/// Times of the protocol: a probe each 1.25 s, more rarely asked again than by default, and few rounds of rumours.
pub fn config(fleet: u16) -> Config {
    Config {
        fleet_id: u32::from(fleet),
        probe_interval_ms: PROBE_PERIOD_MS,
        ack_timeout_ms: 300,
        indirect_ack_timeout_ms: 500,
        suspicion_timeout_ms: 2_000,
        gossip_interval_ms: 200,
        stall_threshold_ms: 250,
        isolated_rejoin_interval_ms: 500,
        ..Config::default()
    }
}

/// A machine's part in the membership.
pub struct Members {
    process: Rc<Process>,
    feed: Rc<Feed>,
    membership: RefCell<Membership>,
    proxies: RefCell<ProxyCount>,
    /// The number of proxies that was told last.
    announced: Cell<u32>,
    /// Voters that are among the seeds.
    voters: RefCell<Vec<Ipv4Addr>>,
    /// When a datagram of the fleet came last.
    last_seen_ms: Cell<Option<u64>>,
    on_change: Box<dyn Fn(&MemberEvent)>,
}

impl Members {
    /// Takes part from now on, until the process is to end. Each change is logged, and told to `on_change`.
    ///
    /// # Errors
    ///
    /// [`StartError::System`] if the membership protocol refuses its configuration.
    pub fn start(
        process: Rc<Process>,
        feed: Rc<Feed>,
        role: Role,
        on_change: impl Fn(&MemberEvent) + 'static,
    ) -> Result<Rc<Self>, StartError> {
        let settings = process.settings();
        let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis());
        let seed = random_u64();
        let [low, high, ..] = seed.to_le_bytes();
        let me = Member {
            ip: settings.ip_address,
            role,
            zone: truncated(&settings.zone),
            name: truncated(&settings.node_name),
            incarnation: new_incarnation(
                u64::try_from(unix_ms).unwrap_or_default(),
                u16::from_le_bytes([low, high]),
            ),
            tags: Vec::new(),
        };
        let membership = Membership::new(me, config(process.fleet()), seed, process.now_ms())
            .map_err(|e| StartError::System { what: "membership".to_owned(), source: io::Error::other(e) })?;
        let members = Rc::new(Self {
            process,
            feed,
            membership: RefCell::new(membership),
            proxies: RefCell::default(),
            announced: Cell::new(0),
            voters: RefCell::default(),
            last_seen_ms: Cell::new(None),
            on_change: Box::new(on_change),
        });
        members.process.spawn_part("membership", members.clone().run());
        Ok(members)
    }

    /// The members of a role that count as living.
    pub fn alive(&self, role: Role) -> Vec<Ipv4Addr> {
        self.membership.borrow().live_members(role).map(|member| member.ip).collect()
    }

    /// All members with their state, this one first.
    pub fn all(&self) -> Vec<(Member, MemberState)> {
        self.membership.borrow().members().map(|(member, state)| (member.clone(), state)).collect()
    }

    /// What happened so far.
    pub fn counters(&self) -> Counters {
        self.membership.borrow().counters()
    }

    /// How long ago another member was heard.
    pub fn age_ms(&self) -> Option<u64> {
        self.last_seen_ms.get().map(|at| self.process.now_ms().saturating_sub(at))
    }

    async fn run(self: Rc<Self>) {
        let mut ending = self.process.ending();
        let settings = self.process.settings();
        let port = settings.probe_port();
        let socket = tokio::select! {
            socket = self.bind(SocketAddrV4::new(settings.ip_address, port)) => socket,
            _ = ending.wait_for(|ending| *ending) => return,
        };
        // Sends do not wait: the socket has to be known as writable before the first one.
        if let Err(e) = socket.writable().await {
            log::warn!("membership socket not writable: error={e}");
        }
        let mut buffer = [0; 2048];
        let effects = self.membership.borrow_mut().join(self.process.now_ms(), &self.seeds());
        self.apply_effects(&socket, port, effects);
        loop {
            let due = self.membership.borrow().next_tick_ms();
            let delay = due.saturating_sub(self.process.now_ms()).min(MAX_SLEEP_MS);
            tokio::select! {
                _ = ending.wait_for(|ending| *ending) => {
                    let effects = self.membership.borrow_mut().leave(self.process.now_ms());
                    self.apply_effects(&socket, port, effects);
                    return;
                }
                received = socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => {
                        let IpAddr::V4(from) = from.ip() else { continue };
                        let bytes = buffer.get(..length).unwrap_or_default();
                        self.received(&socket, port, from, bytes);
                    }
                    Err(e) => {
                        log::debug!("membership receive failed: error={e}");
                        sleep(BIND_RETRY_INTERVAL).await;
                    }
                },
                () = sleep(Duration::from_millis(delay)) => self.tick(&socket, port),
            }
        }
    }

    /// The socket, once it can be had: the former process of this machine may still have it.
    async fn bind(&self, address: SocketAddrV4) -> UdpSocket {
        let what = format!("membership address {address}");
        self.process.waits().retry(&what, BIND_RETRY_INTERVAL, async || UdpSocket::bind(address).await).await
    }

    fn received(&self, socket: &UdpSocket, port: u16, from: Ipv4Addr, bytes: &[u8]) {
        let now = self.process.now_ms();
        let before = self.counters();
        let effects = self.membership.borrow_mut().receive_datagram(now, from, bytes);
        let after = self.counters();
        if (before.foreign_datagrams, before.malformed_datagrams)
            == (after.foreign_datagrams, after.malformed_datagrams)
        {
            self.last_seen_ms.set(Some(now));
        }
        self.apply_effects(socket, port, effects);
    }

    fn tick(&self, socket: &UdpSocket, port: u16) {
        let now = self.process.now_ms();
        let voters = self.feed.value().voters.clone();
        if !voters.is_empty() && voters != *self.voters.borrow() {
            self.voters.replace(voters);
            let effects = self.membership.borrow_mut().join(now, &self.seeds());
            self.apply_effects(socket, port, effects);
        }
        let effects = self.membership.borrow_mut().tick(now);
        self.apply_effects(socket, port, effects);
        self.announce_proxy_count(now);
    }

    /// The core machines to ask: those of the settings and the voters.
    fn seeds(&self) -> Vec<Ipv4Addr> {
        self.process.seeds().into_iter().chain(self.voters.borrow().iter().copied()).collect()
    }

    fn apply_effects(&self, socket: &UdpSocket, port: u16, effects: Vec<Effect>) {
        let mut changes = Vec::new();
        for effect in effects {
            match effect {
                Effect::Send { to, bytes } => {
                    // A datagram that is lost here is as good as one lost on the way.
                    if let Err(e) = socket.try_send_to(&bytes, SocketAddrV4::new(to, port).into()) {
                        log::debug!("membership send failed: peer={to} error={e}");
                    }
                }
                Effect::Event(change) => changes.push(change),
            }
        }
        for line in event_summaries(&changes) {
            log::info!("{line}");
        }
        changes.iter().for_each(|change| (self.on_change)(change));
    }

    fn announce_proxy_count(&self, now_ms: u64) {
        let (members, count) = {
            let membership = self.membership.borrow();
            (membership.member_count(), membership.live_members(Role::Edge).count())
        };
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        let announced = self.proxies.borrow_mut().observe(now_ms, members, count);
        if let Some(announced) = announced.filter(|announced| *announced != self.announced.get()) {
            self.announced.set(announced);
            self.feed.set_proxies(announced);
        }
    }
}

/// One line for all changes of a kind.
fn event_summaries(changes: &[MemberEvent]) -> Vec<String> {
    let mut kinds: [(&str, Vec<String>); 5] = [
        ("joined", Vec::new()),
        ("suspected", Vec::new()),
        ("no longer suspected", Vec::new()),
        ("left", Vec::new()),
        ("removed", Vec::new()),
    ];
    for change in changes {
        let (kind, member) = match change {
            MemberEvent::Joined(member) => (0, member),
            MemberEvent::Suspected(member) => (1, member),
            MemberEvent::Refuted(member) => (2, member),
            MemberEvent::Left(member) => (3, member),
            MemberEvent::Removed(member) => (4, member),
        };
        if let Some((_, names)) = kinds.get_mut(kind) {
            names.push(format!("{} ({})", member.name, member.ip));
        }
    }
    let announced = kinds.iter().filter(|(_, names)| !names.is_empty());
    announced.map(|(kind, names)| format!("members {kind}: {}", names.join(", "))).collect()
}

/// As much of a text as a member may tell.
fn truncated(text: &str) -> String {
    let mut end = text.len().min(MAX_TEXT_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text.get(..end).unwrap_or_default().to_owned()
}
