//! One sender's part in its fleet: the member list, who answers, and its work as a voter, behind one state machine.
//! This module has the state, the clock and the dispatch of packets; each concern has a module of its own.
mod commands;
mod dissemination;
mod effect;
mod joining;
mod observation;
mod voting;

pub use commands::{Command, CommandError};
pub use effect::{Counts, Effect, Halt, Notification};

use crate::Millis;
use crate::disk::{Record, State, VoterState};
use crate::failure_view::{FailureDetector, Health};
use crate::member_list::{Change, Info, MemberList};
use crate::settings::Settings;
use crate::voter::Voter;
use crate::wire::{Identity, MAX_DATAGRAM_BYTES, Packet, WireError, decode, encode};
use commands::PendingCommand;
use omnipaxos::messages::Message;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// A voter's clock ticks this often.
const VOTER_TICK_INTERVAL: Millis = 200;
/// One member is told this often how far the member list here is.
const DIGEST_INTERVAL: Millis = 1_000;
/// What is asked of the voters is asked again after this, until it is agreed or given up.
const PROPOSE_INTERVAL: Millis = 700;
/// A blank sender asks the seeds this often, and later this often.
const HELLO_INTERVAL: Millis = 500;
/// The leader of the voters looks at their group this often, and changes it no sooner than this after the last change.
const GROUP_CHECK_INTERVAL: Millis = 1_000;
/// A disk that took no record is tried again after this.
const DISK_RETRY_DELAY: Millis = 3_000;

/// One sender's part in its fleet.
pub struct Node {
    settings: Settings,
    hash: u64,
    folder: u64,
    incarnation: u32,
    boot: u64,
    rng: ChaCha8Rng,
    began: Millis,
    promise: Option<u64>,
    promises: BTreeMap<SocketAddr, (u64, u32, u64, Info)>,
    member_list: Option<MemberList>,
    recent: VecDeque<Change>,
    failure_detector: FailureDetector,
    watching: Option<Millis>,
    voter: Option<Voter>,
    stored_voter: Option<VoterState>,
    disk_broken: bool,
    hellos: u32,
    next_hello: Millis,
    next_digest: Millis,
    next_propose: Millis,
    next_voter_tick: Millis,
    next_group_check: Millis,
    next_announce: Millis,
    next_reload: Millis,
    settled_at: Millis,
    pulled: Millis,
    lagging: Option<Millis>,
    lags: u32,
    /// The incarnation of each member that the member list has, and since when it is known here.
    learned: BTreeMap<u64, (u32, Millis)>,
    /// What the log was told last of who answers.
    notified: BTreeMap<u64, Health>,
    /// Peers whose connection broke and that were not heard since.
    broken_connections: BTreeSet<u64>,
    last_seen: Option<Millis>,
    other_fleet: Option<SocketAddr>,
    pending_commands: Vec<PendingCommand>,
    halted: Option<Halt>,
    effects: Vec<Effect>,
    counts: Counts,
}

impl Node {
    /// A sender that starts on what its folder holds. `seed` is for chance alone, and new with each start.
    pub fn new(settings: Settings, mut state: State, seed: u64, now: Millis) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut effects = Vec::new();
        if state.folder == 0 {
            state.folder = rng.random_range(1..u64::MAX);
            effects.push(Effect::Persist(Record::Folder(state.folder)));
        }
        let incarnation = state.incarnation.saturating_add(1);
        effects.push(Effect::Persist(Record::Incarnation(incarnation)));
        let own = Identity { folder: state.folder, incarnation, returns: 0, address: settings.info.address };
        let failure_detector = FailureDetector::new(own, &settings, ChaCha8Rng::from_rng(&mut rng));
        let spread = rng.random_range(0..HELLO_INTERVAL);
        let mut node = Self {
            hash: settings.fleet_hash(),
            folder: state.folder,
            incarnation,
            boot: rng.random(),
            rng,
            began: now,
            promise: state.promise,
            promises: BTreeMap::new(),
            member_list: state.member_list,
            recent: VecDeque::new(),
            failure_detector,
            watching: None,
            voter: None,
            stored_voter: state.voter,
            disk_broken: false,
            hellos: 0,
            next_hello: now,
            next_digest: now + spread,
            next_propose: now,
            next_voter_tick: now,
            next_group_check: now + GROUP_CHECK_INTERVAL,
            next_announce: now,
            next_reload: now,
            settled_at: now,
            pulled: 0,
            lagging: None,
            lags: 0,
            learned: BTreeMap::new(),
            notified: BTreeMap::new(),
            broken_connections: BTreeSet::new(),
            last_seen: None,
            other_fleet: None,
            pending_commands: Vec::new(),
            halted: None,
            effects,
            counts: Counts::default(),
            settings,
        };
        node.member_list_changed(now, None);
        node
    }

    /// The folder's own number, the start on it, and what was drawn at this start.
    pub fn identity(&self) -> (u64, u32, u64) {
        (self.folder, self.incarnation, self.boot)
    }

    /// The latest record of who belongs.
    pub fn member_list(&self) -> Option<&MemberList> {
        self.member_list.as_ref()
    }

    /// What came and went.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Why it takes no part, if it does not.
    pub fn halted(&self) -> Option<&Halt> {
        self.halted.as_ref()
    }

    /// The name of the voter that leads the others, as far as this one, a voter, knows.
    pub fn leader(&self) -> Option<&str> {
        let folder = self.voter.as_ref()?.leader()?;
        Some(&self.member_list.as_ref()?.members.get(&folder)?.info.name)
    }

    /// Whether it works as a voter.
    pub fn is_voter(&self) -> bool {
        self.voter.is_some()
    }

    /// What is to be done.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// When [`Node::tick`] is to be called at the latest; none when it takes no part any more.
    pub fn next_tick(&self) -> Option<Millis> {
        if self.halted.is_some() {
            return None;
        }
        let mut next = self.next_digest;
        if self.member_list.is_none() {
            next = next.min(self.next_hello);
        }
        if self.watching.is_some() {
            next = next.min(self.next_announce);
        }
        if !self.confirmed() || !self.pending_commands.is_empty() {
            next = next.min(self.next_propose);
        }
        if self.voter.is_some() {
            next = next.min(self.next_voter_tick).min(self.next_group_check);
        }
        if self.disk_broken {
            next = next.min(self.next_reload);
        }
        Some(self.failure_detector.next().map_or(next, |due| next.min(due)))
    }

    /// What is due by now. Whatever has come is to be handed in before.
    pub fn tick(&mut self, now: Millis) {
        if self.halted.is_some() {
            return;
        }
        if self.member_list.is_none() && self.next_hello <= now {
            self.hello(now);
        }
        self.failure_detector.tick(now);
        self.process_failure_detector(now);
        if self.next_digest <= now {
            self.next_digest = now + DIGEST_INTERVAL;
            if let Some(address) = self.random_member() {
                self.send_digest(address);
            }
        }
        if self.next_announce <= now && self.watching.is_some() {
            self.announce_to(now);
        }
        if self.next_propose <= now && (!self.confirmed() || !self.pending_commands.is_empty()) {
            self.next_propose = now + PROPOSE_INTERVAL + self.rng.random_range(0..PROPOSE_INTERVAL / 2);
            self.propose_own();
            self.expire_commands(now);
        }
        if self.voter.is_some() && self.next_voter_tick <= now {
            self.next_voter_tick = now + VOTER_TICK_INTERVAL;
            if let Some(voter) = &mut self.voter {
                voter.tick();
            }
        }
        if self.voter.is_some() && self.next_group_check <= now {
            self.next_group_check = now + GROUP_CHECK_INTERVAL;
            self.check_group(now);
        }
        if self.disk_broken && self.next_reload <= now {
            self.next_reload = now + DISK_RETRY_DELAY;
            self.effects.push(Effect::Reload);
        }
        self.process_voter(now);
    }

    /// Takes in a datagram or a frame.
    ///
    /// # Errors
    /// The bytes are damaged, of another version or of another fleet: they are counted and dropped.
    pub fn receive(&mut self, now: Millis, bytes: &[u8]) -> Result<(), WireError> {
        if self.halted.is_some() {
            return Ok(());
        }
        let (from, packet) = decode(self.hash, bytes).inspect_err(|e| match e {
            WireError::Fleet => self.counts.foreign += 1,
            WireError::Version(_) => self.counts.versions += 1,
            WireError::Damaged | WireError::Unreadable => self.counts.damaged += 1,
        })?;
        self.counts.received += 1;
        self.handle_packet(now, from, packet);
        self.process_failure_detector(now);
        self.process_voter(now);
        Ok(())
    }

    /// A connection to the peer at that address broke, and frames may be lost with it.
    pub fn connection_broken(&mut self, address: SocketAddr) {
        let folder = self.member_list.as_ref().and_then(|member_list| {
            member_list.members.iter().find(|(_, m)| m.info.address == address).map(|(folder, _)| *folder)
        });
        // Nothing is told to it until it is heard again: it may be gone.
        self.broken_connections.extend(folder.filter(|_| self.voter.is_some()));
    }

    fn handle_packet(&mut self, now: Millis, from: Identity, packet: Packet) {
        match packet {
            Packet::Hello if self.member_list.is_some() => self.send_digest(from.address),
            Packet::Hello => self.promise_to(from),
            Packet::Promise { founder, incarnation, boot, info } => {
                let seeds = &self.settings.seeds;
                if self.member_list.is_none() && founder == self.folder && seeds.contains(&info.address) {
                    self.promises.insert(info.address, (from.folder, incarnation, boot, info));
                    self.found(now);
                }
            }
            Packet::Digest { fleet, epoch, number } => self.digest(now, from, fleet, (epoch, number)),
            Packet::Pull { epoch, number } => self.handle_pull(from.address, epoch, number),
            Packet::Steps { fleet, epoch, after, changes } => {
                self.receive_steps(now, fleet, (epoch, after), changes)
            }
            Packet::FullList(member_list) => self.receive_list(now, *member_list),
            Packet::Propose(change) => self.receive_proposal(from, &change),
            Packet::Refused { boot, incarnation } => {
                if boot == self.boot && !self.confirmed() {
                    self.halt(now, Halt::Copied { theirs: incarnation, own: self.incarnation });
                }
            }
            Packet::Voter { fleet, epoch, group, message } => {
                self.receive_voter_message(now, from, (fleet, epoch, group), *message)
            }
            Packet::Resync { group } => {
                if let Some(voter) = self.voter.as_mut().filter(|voter| voter.group == group) {
                    voter.reconnected(from.folder);
                }
            }
            Packet::Swim { fleet, data } => self.receive_swim(now, from, fleet, &data),
        }
    }

    /// Applies the steps that follow the number `after` in an epoch.
    fn receive_steps(&mut self, now: Millis, fleet: u64, (epoch, after): (u32, u64), changes: Vec<Change>) {
        let Some(member_list) = &self.member_list else { return };
        if member_list.fleet != fleet || member_list.epoch != epoch || after > member_list.number {
            return;
        }
        let known = usize::try_from(member_list.number - after).unwrap_or(usize::MAX);
        self.last_seen = Some(now);
        for change in changes.into_iter().skip(known) {
            self.step(now, change);
        }
    }

    /// Has the voters agree on a step that a peer proposes, or answers why not.
    fn receive_proposal(&mut self, from: Identity, change: &Change) {
        if let Change::Start { folder, boot, info, .. } = change
            && let Some(incarnation) = self.copied(*folder, info)
        {
            let boot = *boot;
            return self.send(from.address, Packet::Refused { boot, incarnation });
        }
        if self.agreed_already(change) {
            // Whoever asks has not heard of it: the frame that told it may have been lost with its connection.
            return self.send_digest(from.address);
        }
        self.propose_to_voters(change);
    }

    /// Hands a message of another voter of the group to the consensus library.
    fn receive_voter_message(
        &mut self,
        now: Millis,
        from: Identity,
        (fleet, epoch, group): (u64, u32, u32),
        message: Message<Change>,
    ) {
        let ours = self.member_list.as_ref().is_some_and(|r| r.fleet == fleet && r.epoch == epoch);
        if !ours {
            return;
        }
        self.last_seen = Some(now);
        match &mut self.voter {
            Some(voter) if voter.group == group => {
                let again = self.broken_connections.remove(&from.folder);
                if again {
                    voter.reconnected(from.folder);
                }
                voter.hear(from.folder, message);
                if again {
                    self.send(from.address, Packet::Resync { group });
                }
            }
            // One of the two has an old member list.
            _ => self.send_digest(from.address),
        }
    }

    /// Hands a message of the failure detector to it, if a member sent it.
    fn receive_swim(&mut self, now: Millis, from: Identity, fleet: u64, data: &[u8]) {
        let Some(member_list) = &self.member_list else { return };
        // Only members are listened to: so nobody else can have this sender hold anything.
        let member = member_list.members.contains_key(&from.folder);
        if member_list.fleet == fleet && self.watching.is_none() {
            // It counts as a member there, and does not know so.
            self.send_digest(from.address);
        } else if member_list.fleet == fleet {
            if member {
                self.last_seen = Some(now);
                self.failure_detector.hear(now, data);
            } else {
                // Either it is gone and has to learn so, or it is new and this member list is old.
                self.send_digest(from.address);
            }
        }
    }

    fn halt(&mut self, now: Millis, halt: Halt) {
        if self.halted.is_none() {
            if matches!(halt, Halt::Departed(_)) && self.watching.is_some() {
                self.failure_detector.leave(now);
                self.process_failure_detector(now);
            }
            self.voter = None;
            self.settle_commands();
            self.effects.push(Effect::Halt(halt.clone()));
            self.halted = Some(halt);
        }
    }

    fn send(&mut self, to: SocketAddr, packet: Packet) {
        // What has to come in order goes on a connection; a heartbeat does not.
        let ordered = match &packet {
            Packet::Voter { message, .. } => !matches!(**message, Message::BLE(_)),
            Packet::Steps { .. } | Packet::FullList(_) | Packet::Resync { .. } => true,
            _ => false,
        };
        let Some(bytes) = encode(self.hash, self.failure_detector.own(), packet) else { return };
        let connection = ordered || bytes.len() > MAX_DATAGRAM_BYTES;
        *(if connection { &mut self.counts.frames } else { &mut self.counts.datagrams }) += 1;
        self.counts.bytes += bytes.len() as u64;
        self.effects.push(Effect::Send { to, bytes, connection });
    }
}
