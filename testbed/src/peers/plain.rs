//! What the fleet's machines are compared with: a fixed list of all senders, a datagram to each of them every second, and a
//! fixed time after which one that was not heard counts as lost. Simulated only.
use sender_membership::{
    Command, Counts, Effect, Halt, Health, MemberList, MemberState, Node, Row, View, ViewDigest, VoterState,
    WireError,
};
use std::net::SocketAddr;

/// Each sends a heartbeat this often, in ms.
const HEARTBEAT_INTERVAL_MS: u64 = 1_000;

/// Simple senders' liveness.
pub struct Heartbeat {
    own: usize,
    start: u32,
    /// All senders: name, zone and address.
    peers: Vec<(String, String, SocketAddr)>,
    /// Start and time of the latest beat of each.
    last_heartbeats: Vec<Option<(u32, u64)>>,
    lost_after: u64,
    next: u64,
    effects: Vec<Effect>,
    counts: Counts,
}

impl Heartbeat {
    /// The sender with that number, at its so-many-th start.
    pub fn new(
        own: usize,
        start: u32,
        peers: Vec<(String, String, SocketAddr)>,
        lost_after: u64,
        now: u64,
    ) -> Self {
        // All have their whole time from the start on.
        let last_heartbeats = vec![Some((0, now)); peers.len()];
        Self {
            own,
            start,
            peers,
            last_heartbeats,
            lost_after,
            next: now,
            effects: vec![],
            counts: Counts::default(),
        }
    }

    fn heartbeat_datagram(&self) -> Vec<u8> {
        let number = u32::try_from(self.own).unwrap_or(u32::MAX);
        let words = [number, self.start, !number, !self.start];
        words.iter().flat_map(|word| word.to_le_bytes()).collect()
    }

    fn tick(&mut self, now: u64) {
        if now < self.next {
            return;
        }
        self.next = now + HEARTBEAT_INTERVAL_MS;
        let bytes = self.heartbeat_datagram();
        for (number, (_, _, to)) in self.peers.iter().enumerate() {
            if number != self.own {
                self.counts.datagrams += 1;
                self.counts.bytes += bytes.len() as u64;
                self.effects.push(Effect::Send { to: *to, bytes: bytes.clone(), connection: false });
            }
        }
    }

    fn hear(&mut self, now: u64, bytes: &[u8]) -> Result<(), WireError> {
        let words: Vec<u32> = bytes.as_chunks::<4>().0.iter().map(|word| u32::from_le_bytes(*word)).collect();
        let [number, start, not_number, not_start] = words[..] else { return Err(WireError::Unreadable) };
        if bytes.len() != 16 || number != !not_number || start != !not_start {
            return Err(WireError::Damaged);
        }
        if let Some(last_heartbeats) = self.last_heartbeats.get_mut(number as usize) {
            *last_heartbeats = Some((start, now));
        }
        Ok(())
    }

    fn view(&self, now: u64) -> View {
        let row = |(number, (name, zone, address)): (usize, &(String, String, SocketAddr))| {
            let last_heartbeats = self.last_heartbeats[number].filter(|(_, at)| now < at + self.lost_after);
            let own = number == self.own;
            Row {
                name: name.clone(),
                number: number as u32 + 1,
                incarnation: if own {
                    self.start
                } else {
                    self.last_heartbeats[number].map_or(0, |(start, _)| start)
                },
                state: MemberState::Active,
                health: if own || last_heartbeats.is_some() { Health::Answers } else { Health::Lost },
                voter: false,
                zone: zone.clone(),
                machine: name.clone(),
                version: "plain".to_owned(),
                address: *address,
            }
        };
        View {
            fleet: Some(1),
            epoch: 1,
            number: 1,
            age_ms: None,
            voters_answering: 0,
            voters: 0,
            confirmed: true,
            halted: None,
            members: self.peers.iter().enumerate().map(row).collect(),
        }
    }

    fn mark(&self, now: u64) -> ViewDigest {
        let mut view = 0;
        for (number, row) in self.view(now).members.iter().enumerate() {
            let state = u32::from(row.health == Health::Answers) + 2 * row.incarnation;
            view = u32::rotate_left(view, 5) ^ state.wrapping_mul(0x9E37_79B9 ^ number as u32);
        }
        ViewDigest { fleet: Some(1), epoch: 1, number: 1, confirmed: true, halted: false, view }
    }
}

/// What a simulated sender runs.
pub enum Machine {
    /// The fleet's own.
    Fleet(Box<Node>),
    /// The plain one.
    Plain(Heartbeat),
}

/// Calls one or the other.
macro_rules! either {
    ($self:ident, $node:ident => $fleet:expr, $heartbeat_datagram:ident => $plain:expr) => {
        match $self {
            Machine::Fleet($node) => $fleet,
            Machine::Plain($heartbeat_datagram) => $plain,
        }
    };
}

impl Machine {
    /// See [`Node::next_tick`].
    pub fn next(&self) -> Option<u64> {
        either!(self, node => node.next_tick(), heartbeat_datagram => Some(heartbeat_datagram.next))
    }

    /// See [`Node::tick`].
    pub fn tick(&mut self, now: u64) {
        either!(self, node => node.tick(now), heartbeat_datagram => heartbeat_datagram.tick(now));
    }

    /// See [`Node::receive`].
    pub fn hear(&mut self, now: u64, bytes: &[u8]) -> Result<(), WireError> {
        either!(self, node => node.receive(now, bytes), heartbeat_datagram => heartbeat_datagram.hear(now, bytes))
    }

    /// See [`Node::take_effects`].
    pub fn effects(&mut self) -> Vec<Effect> {
        either!(self, node => node.take_effects(), heartbeat_datagram => std::mem::take(&mut heartbeat_datagram.effects))
    }

    /// See [`Node::connection_broken`].
    pub fn broke(&mut self, address: SocketAddr) {
        either!(self, node => node.connection_broken(address), _beat => ());
    }

    /// See [`Node::disk_failed`].
    pub fn disk_failed(&mut self) {
        either!(self, node => node.disk_failed(), _beat => ());
    }

    /// See [`Node::reloaded`].
    pub fn reloaded(&mut self, now: u64, voter: Option<VoterState>) {
        either!(self, node => node.reloaded(now, voter), _beat => ());
    }

    /// See [`Node::execute`].
    pub fn order(&mut self, now: u64, id: u64, order: &Command) {
        either!(self, node => node.execute(now, id, order), _beat => ());
    }

    /// See [`Node::member_list`].
    pub fn roster(&self) -> Option<&MemberList> {
        either!(self, node => node.member_list(), _beat => None)
    }

    /// See [`Node::halted`].
    pub fn halted(&self) -> Option<&Halt> {
        either!(self, node => node.halted(), _beat => None)
    }

    /// See [`Node::view_digest`].
    pub fn mark(&self, now: u64) -> ViewDigest {
        either!(self, node => node.view_digest(now), heartbeat_datagram => heartbeat_datagram.mark(now))
    }

    /// See [`Node::view`].
    pub fn view(&self, now: u64) -> View {
        either!(self, node => node.view(now), heartbeat_datagram => heartbeat_datagram.view(now))
    }

    /// See [`Node::counts`].
    pub fn counts(&self) -> Counts {
        either!(self, node => node.counts(), heartbeat_datagram => heartbeat_datagram.counts)
    }
}
