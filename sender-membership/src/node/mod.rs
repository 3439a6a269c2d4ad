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
use crate::failure_view::{Health, Watch};
use crate::member_list::{Change, Info, MemberList};
use crate::settings::Settings;
use crate::voter::Voter;
use crate::wire::{Identity, MAX_DATAGRAM_BYTES, Packet, WireError, decode, encode};
use commands::Waiting;
use omnipaxos::messages::Message;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// A voter's clock ticks this often.
const KEEPER_TICK: Millis = 200;
/// One member is told this often how far the member list here is.
const DIGEST: Millis = 1_000;
/// What is asked of the voters is asked again after this, until it is agreed or given up.
const PROPOSE: Millis = 700;
/// A blank sender asks the seeds this often, and later this often.
const HELLO: Millis = 500;
/// The leader of the voters looks at their group this often, and changes it no sooner than this after the last change.
const HOUSEKEEPING: Millis = 1_000;
/// A disk that took no record is tried again after this.
const RELOAD: Millis = 3_000;

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
    watch: Watch,
    watching: Option<Millis>,
    voter: Option<Voter>,
    stored_voter: Option<VoterState>,
    disk_broken: bool,
    hellos: u32,
    next_hello: Millis,
    next_digest: Millis,
    next_propose: Millis,
    next_voter_tick: Millis,
    next_housekeeping: Millis,
    next_greet: Millis,
    next_reload: Millis,
    settled_at: Millis,
    pulled: Millis,
    lagging: Option<Millis>,
    lags: u32,
    /// The incarnation of each member that the member list has, and since when it is known here.
    learned: BTreeMap<u64, (u32, Millis)>,
    /// What the log was told last of who answers.
    told: BTreeMap<u64, Health>,
    /// Peers whose connection broke and that were not heard since.
    broken: BTreeSet<u64>,
    heard: Option<Millis>,
    other_fleet: Option<SocketAddr>,
    orders: Vec<Waiting>,
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
        let watch = Watch::new(own, &settings, ChaCha8Rng::from_rng(&mut rng));
        let spread = rng.random_range(0..HELLO);
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
            watch,
            watching: None,
            voter: None,
            stored_voter: state.voter,
            disk_broken: false,
            hellos: 0,
            next_hello: now,
            next_digest: now + spread,
            next_propose: now,
            next_voter_tick: now,
            next_housekeeping: now + HOUSEKEEPING,
            next_greet: now,
            next_reload: now,
            settled_at: now,
            pulled: 0,
            lagging: None,
            lags: 0,
            learned: BTreeMap::new(),
            told: BTreeMap::new(),
            broken: BTreeSet::new(),
            heard: None,
            other_fleet: None,
            orders: Vec::new(),
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
            next = next.min(self.next_greet);
        }
        if !self.confirmed() || !self.orders.is_empty() {
            next = next.min(self.next_propose);
        }
        if self.voter.is_some() {
            next = next.min(self.next_voter_tick).min(self.next_housekeeping);
        }
        if self.disk_broken {
            next = next.min(self.next_reload);
        }
        Some(self.watch.next().map_or(next, |due| next.min(due)))
    }

    /// What is due by now. Whatever has come is to be handed in before.
    pub fn tick(&mut self, now: Millis) {
        if self.halted.is_some() {
            return;
        }
        if self.member_list.is_none() && self.next_hello <= now {
            self.hello(now);
        }
        self.watch.tick(now);
        self.after_watch(now);
        if self.next_digest <= now {
            self.next_digest = now + DIGEST;
            if let Some(address) = self.some_member() {
                self.tell_digest(address);
            }
        }
        if self.next_greet <= now && self.watching.is_some() {
            self.greet(now);
        }
        if self.next_propose <= now && (!self.confirmed() || !self.orders.is_empty()) {
            self.next_propose = now + PROPOSE + self.rng.random_range(0..PROPOSE / 2);
            self.propose_own();
            self.give_up_orders(now);
        }
        if self.voter.is_some() && self.next_voter_tick <= now {
            self.next_voter_tick = now + KEEPER_TICK;
            if let Some(voter) = &mut self.voter {
                voter.tick();
            }
        }
        if self.voter.is_some() && self.next_housekeeping <= now {
            self.next_housekeeping = now + HOUSEKEEPING;
            self.housekeeping(now);
        }
        if self.disk_broken && self.next_reload <= now {
            self.next_reload = now + RELOAD;
            self.effects.push(Effect::Reload);
        }
        self.after_voter(now);
    }

    /// Takes in a datagram or a frame.
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
        self.taken_in(now, from, packet);
        self.after_watch(now);
        self.after_voter(now);
        Ok(())
    }

    /// A connection to the peer at that address broke, and frames may be lost with it.
    pub fn connection_broken(&mut self, address: SocketAddr) {
        let folder = self.member_list.as_ref().and_then(|member_list| {
            member_list.members.iter().find(|(_, m)| m.info.address == address).map(|(folder, _)| *folder)
        });
        // Nothing is told to it until it is heard again: it may be gone.
        self.broken.extend(folder.filter(|_| self.voter.is_some()));
    }

    fn taken_in(&mut self, now: Millis, from: Identity, packet: Packet) {
        match packet {
            Packet::Hello if self.member_list.is_some() => self.tell_digest(from.address),
            Packet::Hello => self.promise_to(from),
            Packet::Promise { founder, incarnation, boot, info } => {
                let seeds = &self.settings.seeds;
                if self.member_list.is_none() && founder == self.folder && seeds.contains(&info.address) {
                    self.promises.insert(info.address, (from.folder, incarnation, boot, info));
                    self.found(now);
                }
            }
            Packet::Digest { fleet, epoch, number } => self.digest(now, from, fleet, (epoch, number)),
            Packet::Pull { epoch, number } => self.pulled_by(from.address, epoch, number),
            Packet::Steps { fleet, epoch, after, changes } => {
                let Some(member_list) = &self.member_list else { return };
                if member_list.fleet != fleet || member_list.epoch != epoch || after > member_list.number {
                    return;
                }
                let known = usize::try_from(member_list.number - after).unwrap_or(usize::MAX);
                self.heard = Some(now);
                for change in changes.into_iter().skip(known) {
                    self.step(now, change);
                }
            }
            Packet::Whole(member_list) => self.whole(now, *member_list),
            Packet::Propose(change) => {
                if let Change::Start { folder, boot, info, .. } = &change
                    && let Some(incarnation) = self.copied(*folder, info)
                {
                    let boot = *boot;
                    return self.send(from.address, Packet::Refused { boot, incarnation });
                }
                if self.agreed_already(&change) {
                    // Whoever asks has not heard of it: the frame that told it may have been lost with its connection.
                    return self.tell_digest(from.address);
                }
                self.propose_to_voters(&change);
            }
            Packet::Refused { boot, incarnation } => {
                if boot == self.boot && !self.confirmed() {
                    self.halt(now, Halt::Copied { theirs: incarnation, own: self.incarnation });
                }
            }
            Packet::Voter { fleet, epoch, group, message } => {
                let ours = self.member_list.as_ref().is_some_and(|r| r.fleet == fleet && r.epoch == epoch);
                if !ours {
                    return;
                }
                self.heard = Some(now);
                match &mut self.voter {
                    Some(voter) if voter.group == group => {
                        let again = self.broken.remove(&from.folder);
                        if again {
                            voter.reconnected(from.folder);
                        }
                        voter.hear(from.folder, *message);
                        if again {
                            self.send(from.address, Packet::Again { group });
                        }
                    }
                    // One of the two has an old member list.
                    _ => self.tell_digest(from.address),
                }
            }
            Packet::Again { group } => {
                if let Some(voter) = self.voter.as_mut().filter(|voter| voter.group == group) {
                    voter.reconnected(from.folder);
                }
            }
            Packet::Swim { fleet, data } => {
                let Some(member_list) = &self.member_list else { return };
                // Only members are listened to: so nobody else can have this sender hold anything.
                let member = member_list.members.contains_key(&from.folder);
                if member_list.fleet == fleet && self.watching.is_none() {
                    // It counts as a member there, and does not know so.
                    self.tell_digest(from.address);
                } else if member_list.fleet == fleet {
                    if member {
                        self.heard = Some(now);
                        self.watch.hear(now, &data);
                    } else {
                        // Either it is gone and has to learn so, or it is new and this member list is old.
                        self.tell_digest(from.address);
                    }
                }
            }
        }
    }

    fn halt(&mut self, now: Millis, halt: Halt) {
        if self.halted.is_none() {
            if matches!(halt, Halt::Departed(_)) && self.watching.is_some() {
                self.watch.leave(now);
                self.after_watch(now);
            }
            self.voter = None;
            self.settle_orders();
            self.effects.push(Effect::Halt(halt.clone()));
            self.halted = Some(halt);
        }
    }

    fn send(&mut self, to: SocketAddr, packet: Packet) {
        // What has to come in order goes on a connection; a heartbeat does not.
        let ordered = match &packet {
            Packet::Voter { message, .. } => !matches!(**message, Message::BLE(_)),
            Packet::Steps { .. } | Packet::Whole(_) | Packet::Again { .. } => true,
            _ => false,
        };
        let Some(bytes) = encode(self.hash, self.watch.own(), packet) else { return };
        let connection = ordered || bytes.len() > MAX_DATAGRAM_BYTES;
        *(if connection { &mut self.counts.frames } else { &mut self.counts.datagrams }) += 1;
        self.counts.bytes += bytes.len() as u64;
        self.effects.push(Effect::Send { to, bytes, connection });
    }
}
