//! The state machine of one sender: member list, failure detector and voter. This module has the state, the timers and the
//! dispatch of packets; each concern has its own submodule.
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

/// Interval of [`Voter::tick`].
const VOTER_TICK_INTERVAL: Millis = 200;
/// Interval at which the version of the member list is sent to one random member.
const DIGEST_INTERVAL: Millis = 1_000;
/// Shortest interval at which an open proposal is sent again, until it is agreed on or expires.
const PROPOSE_INTERVAL: Millis = 700;
/// Interval at which a sender without a fleet contacts the seeds at first.
const HELLO_INTERVAL: Millis = 500;
/// Interval at which the leader checks whether the group of voters should change.
const GROUP_CHECK_INTERVAL: Millis = 1_000;
/// Interval of the retries after a failed write to disk.
const DISK_RETRY_DELAY: Millis = 3_000;

/// Membership of one sender in its fleet. The host calls [`Node::receive`] and [`Node::tick`] and carries out the effects
/// from [`Node::take_effects`].
pub struct Node {
    settings: Settings,
    fleet_hash: u64,
    folder: u64,
    incarnation: u32,
    boot: u64,
    rng: ChaCha8Rng,
    started_at: Millis,
    promised_founder: Option<u64>,
    founder_promises: BTreeMap<SocketAddr, (u64, u32, u64, Info)>,
    member_list: Option<MemberList>,
    recent_changes: VecDeque<Change>,
    failure_detector: FailureDetector,
    /// When the failure detector started; `None` until this sender is an agreed member at its address.
    detecting_since: Option<Millis>,
    voter: Option<Voter>,
    stored_voter: Option<VoterState>,
    disk_broken: bool,
    hello_count: u32,
    next_hello: Millis,
    next_digest: Millis,
    next_propose: Millis,
    next_voter_tick: Millis,
    next_group_check: Millis,
    next_announce: Millis,
    next_reload: Millis,
    group_changed_at: Millis,
    /// 0 before the first request.
    pulled_at: Millis,
    /// Since when other members have had a newer member list.
    lagging_since: Option<Millis>,
    lag_count: u32,
    /// Incarnation of each current member by folder ID, and since when this sender knows it.
    known_since: BTreeMap<u64, (u32, Millis)>,
    /// Health of each member as last reported to the log.
    reported_health: BTreeMap<u64, Health>,
    /// Folder IDs of peers whose connection broke and that have sent no consensus message since.
    broken_connections: BTreeSet<u64>,
    last_seen: Option<Millis>,
    other_fleet: Option<SocketAddr>,
    pending_commands: Vec<PendingCommand>,
    halted: Option<Halt>,
    effects: Vec<Effect>,
    counts: Counts,
}

impl Node {
    /// Creates a node from the state on disk, with a new incarnation. `seed` is for the random number generator and must
    /// differ at each start.
    pub fn new(settings: Settings, mut state: State, seed: u64, now: Millis) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut effects = Vec::new();
        if state.folder == 0 {
            state.folder = rng.random_range(1..u64::MAX);
            effects.push(Effect::Persist(Record::Folder(state.folder)));
        }
        let incarnation = state.incarnation.saturating_add(1);
        effects.push(Effect::Persist(Record::Incarnation(incarnation)));
        let own = Identity { folder: state.folder, incarnation, renewals: 0, address: settings.info.address };
        let failure_detector = FailureDetector::new(own, &settings, ChaCha8Rng::from_rng(&mut rng));
        let first_digest_delay = rng.random_range(0..HELLO_INTERVAL);
        let mut node = Self {
            fleet_hash: settings.fleet_hash(),
            folder: state.folder,
            incarnation,
            boot: rng.random(),
            rng,
            started_at: now,
            promised_founder: state.promise,
            founder_promises: BTreeMap::new(),
            member_list: state.member_list,
            recent_changes: VecDeque::new(),
            failure_detector,
            detecting_since: None,
            voter: None,
            stored_voter: state.voter,
            disk_broken: false,
            hello_count: 0,
            next_hello: now,
            next_digest: now + first_digest_delay,
            next_propose: now,
            next_voter_tick: now,
            next_group_check: now + GROUP_CHECK_INTERVAL,
            next_announce: now,
            next_reload: now,
            group_changed_at: now,
            pulled_at: 0,
            lagging_since: None,
            lag_count: 0,
            known_since: BTreeMap::new(),
            reported_health: BTreeMap::new(),
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

    /// Folder ID, incarnation and random ID of this process start.
    pub fn identity(&self) -> (u64, u32, u64) {
        (self.folder, self.incarnation, self.boot)
    }

    /// The latest member list; `None` while this sender has joined no fleet.
    pub fn member_list(&self) -> Option<&MemberList> {
        self.member_list.as_ref()
    }

    /// Traffic counters since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Why this sender stopped taking part; `None` while it takes part.
    pub fn halted(&self) -> Option<&Halt> {
        self.halted.as_ref()
    }

    /// Name of the leader of the voters; `None` if this sender is no voter or knows of no leader.
    pub fn leader(&self) -> Option<&str> {
        let folder = self.voter.as_ref()?.leader()?;
        Some(&self.member_list.as_ref()?.members.get(&folder)?.info.name)
    }

    /// Whether this sender is a voter of the current group.
    pub fn is_voter(&self) -> bool {
        self.voter.is_some()
    }

    /// Takes the effects that the host has to carry out, in order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// When [`Node::tick`] is due; `None` once this sender has stopped taking part.
    pub fn next_tick(&self) -> Option<Millis> {
        if self.halted.is_some() {
            return None;
        }
        let mut next = self.next_digest;
        if self.member_list.is_none() {
            next = next.min(self.next_hello);
        }
        if self.detecting_since.is_some() {
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
        Some(self.failure_detector.next_due().map_or(next, |due| next.min(due)))
    }

    /// Handles everything that is due. The host must pass in all received packets first, so that a pause of the process does
    /// not look like silence of its peers.
    pub fn tick(&mut self, now: Millis) {
        if self.halted.is_some() {
            return;
        }
        if self.member_list.is_none() && self.next_hello <= now {
            self.send_hellos(now);
        }
        self.failure_detector.tick(now);
        self.process_failure_detector(now);
        if self.next_digest <= now {
            self.next_digest = now + DIGEST_INTERVAL;
            if let Some(address) = self.random_member() {
                self.send_digest(address);
            }
        }
        if self.next_announce <= now && self.detecting_since.is_some() {
            self.announce_to_unheard(now);
        }
        if self.next_propose <= now && (!self.confirmed() || !self.pending_commands.is_empty()) {
            self.next_propose = now + PROPOSE_INTERVAL + self.rng.random_range(0..PROPOSE_INTERVAL / 2);
            self.propose_own_changes();
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

    /// Handles a received datagram or frame.
    ///
    /// # Errors
    /// The packet is damaged, of another version or of another fleet: it is counted and dropped.
    pub fn receive(&mut self, now: Millis, bytes: &[u8]) -> Result<(), WireError> {
        if self.halted.is_some() {
            return Ok(());
        }
        let (from, packet) = decode(self.fleet_hash, bytes).inspect_err(|error| match error {
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

    /// Reports that the connection to the peer at this address broke, so that frames may be lost.
    pub fn connection_broken(&mut self, address: SocketAddr) {
        let folder = self.member_list.as_ref().and_then(|member_list| {
            member_list
                .members
                .iter()
                .find(|(_, member)| member.info.address == address)
                .map(|(folder, _)| *folder)
        });
        // The resynchronization waits for its next message: the peer may be down.
        self.broken_connections.extend(folder.filter(|_| self.voter.is_some()));
    }

    fn handle_packet(&mut self, now: Millis, from: Identity, packet: Packet) {
        match packet {
            Packet::Hello if self.member_list.is_some() => self.send_digest(from.address),
            Packet::Hello => self.promise_to_founder(from),
            Packet::Promise { founder, incarnation, boot, info } => {
                let seeds = &self.settings.seeds;
                if self.member_list.is_none() && founder == self.folder && seeds.contains(&info.address) {
                    self.founder_promises.insert(info.address, (from.folder, incarnation, boot, info));
                    self.found_fleet(now);
                }
            }
            Packet::Digest { fleet, epoch, number } => self.handle_digest(now, from, fleet, (epoch, number)),
            Packet::Pull { epoch, number } => self.handle_pull(from.address, epoch, number),
            Packet::Changes { fleet, epoch, after, changes } => {
                self.receive_changes(now, fleet, (epoch, after), changes)
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

    /// Applies those of the changes after the number `after` that the member list does not have yet.
    fn receive_changes(&mut self, now: Millis, fleet: u64, (epoch, after): (u32, u64), changes: Vec<Change>) {
        let Some(member_list) = &self.member_list else { return };
        if member_list.fleet != fleet || member_list.epoch != epoch || after > member_list.number {
            return;
        }
        let known = usize::try_from(member_list.number - after).unwrap_or(usize::MAX);
        self.last_seen = Some(now);
        for change in changes.into_iter().skip(known) {
            self.apply_change(now, change);
        }
    }

    /// Proposes a change of a peer to the voters, or answers why not.
    fn receive_proposal(&mut self, from: Identity, change: &Change) {
        if let Change::Start { folder, boot, info, .. } = change
            && let Some(incarnation) = self.conflicting_incarnation(*folder, info)
        {
            let boot = *boot;
            return self.send(from.address, Packet::Refused { boot, incarnation });
        }
        if self.is_applied(change) {
            // The proposer does not know the change yet: the frame with it may have been lost with a connection.
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
        let same_epoch =
            self.member_list.as_ref().is_some_and(|list| list.fleet == fleet && list.epoch == epoch);
        if !same_epoch {
            return;
        }
        self.last_seen = Some(now);
        match &mut self.voter {
            Some(voter) if voter.group == group => {
                let reconnected = self.broken_connections.remove(&from.folder);
                if reconnected {
                    voter.reconnected(from.folder);
                }
                voter.handle_message(from.folder, message);
                if reconnected {
                    self.send(from.address, Packet::Resync { group });
                }
            }
            // This sender or its peer has an old member list.
            _ => self.send_digest(from.address),
        }
    }

    /// Passes a message to the failure detector if a member sent it.
    fn receive_swim(&mut self, now: Millis, from: Identity, fleet: u64, data: &[u8]) {
        let Some(member_list) = &self.member_list else { return };
        // Messages of other senders are dropped, so that only members can make this sender store state.
        let is_member = member_list.members.contains_key(&from.folder);
        if member_list.fleet == fleet && self.detecting_since.is_none() {
            // The peer lists this sender as a member, but its own member list does not yet.
            self.send_digest(from.address);
        } else if member_list.fleet == fleet {
            if is_member {
                self.last_seen = Some(now);
                self.failure_detector.handle_data(now, data);
            } else {
                // Either the peer has departed and has to learn that, or it is new and this member list is old.
                self.send_digest(from.address);
            }
        }
    }

    fn halt(&mut self, now: Millis, halt: Halt) {
        if self.halted.is_none() {
            if matches!(halt, Halt::Departed(_)) && self.detecting_since.is_some() {
                self.failure_detector.leave(now);
                self.process_failure_detector(now);
            }
            self.voter = None;
            self.complete_commands();
            self.effects.push(Effect::Halt(halt.clone()));
            self.halted = Some(halt);
        }
    }

    fn send(&mut self, to: SocketAddr, packet: Packet) {
        // Ordered messages need a connection; heartbeats (`Message::BLE`) do not.
        let ordered = match &packet {
            Packet::Voter { message, .. } => !matches!(**message, Message::BLE(_)),
            Packet::Changes { .. } | Packet::FullList(_) | Packet::Resync { .. } => true,
            _ => false,
        };
        let Some(bytes) = encode(self.fleet_hash, self.failure_detector.identity(), packet) else { return };
        let connection = ordered || bytes.len() > MAX_DATAGRAM_BYTES;
        *(if connection { &mut self.counts.frames } else { &mut self.counts.datagrams }) += 1;
        self.counts.bytes += bytes.len() as u64;
        self.effects.push(Effect::Send { to, bytes, connection });
    }
}
