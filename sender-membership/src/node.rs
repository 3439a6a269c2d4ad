//! One sender's part in its fleet: the member list, who answers, and its work as a voter, behind one state machine.
use crate::Millis;
use crate::disk::{Record, State};
use crate::keeper::Voter;
use crate::roster::{Change, Departure, Info, Member, MemberList};
use crate::settings::Settings;
use crate::view::{Health, Heard, MemberState, Row, View, ViewDigest, Watch};
use crate::wire::{Identity, MAX_DATAGRAM_BYTES, Packet, WireError, decode, encode};
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
const HELLO_LATER: Millis = 2_000;
const HELLO_SOON: u32 = 20;
/// Members that are not heard are greeted this often, one at a time.
const GREET: Millis = 2_000;
/// The same while some of them are so new here that they could not be heard yet.
const GREET_FRESH: Millis = 250;
/// The leader of the voters looks at their group this often, and changes it no sooner than this after the last change.
const HOUSEKEEPING: Millis = 1_000;
const SETTLED: Millis = 4_000;
/// One peer is asked for the member list no more often than this.
const PULL: Millis = 250;
/// A voter that hears of steps its group has agreed on without it asks its leader after this.
const LAGGING: Millis = 1_500;
/// A disk that took no record is tried again after this.
const RELOAD: Millis = 3_000;
/// The so many-th time it tries to lead, as asking has not helped.
const LAGS: u32 = 3;
/// Operators have an answer by then.
const ORDER_PATIENCE: Millis = 8_000;
/// Members that are told at once of a new step, so that it spreads as a rumour does.
const FANOUT: usize = 3;
/// Steps that are kept for those that are a little behind; others get the whole.
const RECENT: usize = 256;
/// A group of voters that has agreed on so many steps begins anew, with an empty log.
const MOST_LOG: usize = 256;
/// Steps that may wait for a majority.
const MOST_WAITING: usize = 64;
/// Former members in a view.
const GONE_SHOWN: usize = 16;
/// How long the start of SWIM may take until one that was never heard counts as lost, besides the time to object.
const LISTEN: Millis = 3_000;

/// What is to be done, in the order given: a record is on disk before what stands after it is carried out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Write to disk.
    Persist(Record),
    /// Send, as a datagram or, if it has to come whole and in order, on a connection.
    Send {
        /// Where to.
        to: SocketAddr,
        /// What.
        bytes: Vec<u8>,
        /// Whether it needs a connection.
        connection: bool,
    },
    /// A line for the log.
    Notify(Notification),
    /// The disk took no record, and may again: try it, and tell what it holds by [`Node::reloaded`].
    Reload,
    /// This sender takes no part any more.
    Halt(Halt),
    /// The answer to an order.
    Answer(u64, Result<(), CommandError>),
}

/// What operators can ask for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// This sender leaves in order.
    Leave,
    /// The member of that name does not belong any more.
    Remove(String),
    /// A majority of the voters is lost for good: go on from the member list that this sender has. To be asked of one sender only.
    Refound,
}

/// Why an order is not carried out.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// This sender belongs to no fleet.
    #[error("this sender belongs to no fleet: {0}")]
    NoFleet(String),
    /// The member list has no such member.
    #[error("no member is called {0:?}; `fleet roster` names them all")]
    Unknown(String),
    /// The voters did not agree in time.
    #[error(
        "not agreed on within {0} s: no majority of the keepers answers; ask again, it does no harm twice"
    )]
    NoMajority(u64),
    /// A majority is there.
    #[error("{0} of {1} keepers answer: they can agree, and nothing is to be founded anew")]
    Majority(usize, usize),
    /// Nobody to found it with.
    #[error("no other member answers: start one more of them first")]
    Alone,
}

/// Why a sender takes no part any more.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Halt {
    /// Another process runs on a copy of this folder, or ran and was known first.
    #[error(
        "another process has this folder's identity (incarnation {theirs}, and this is {own}): two run on copies of one folder"
    )]
    Copied {
        /// The incarnation that is agreed on.
        theirs: u32,
        /// This one's.
        own: u32,
    },
    /// It does not belong any more.
    #[error("this sender does not belong to the fleet any more: {0}")]
    Departed(&'static str),
}

/// A line for the log: what changed, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notification {
    /// A member's health changed.
    Health {
        /// Its name.
        name: String,
        /// What was believed before.
        before: Health,
        /// What is believed now.
        now: Health,
        /// Its incarnation.
        incarnation: u32,
    },
    /// The member list has a new number.
    MemberList {
        /// The number before.
        before: u64,
        /// The number now.
        now: u64,
        /// What the step says; none where the whole record was taken over.
        change: Option<Change>,
    },
    /// This sender was held lost by others, and is back.
    Returned(u32),
    /// Founding waits.
    Waiting(String),
    /// A fleet of the same name, but another one, was heard.
    OtherFleet(SocketAddr),
    /// The voters' group that this one works in.
    Voter(Option<u32>),
}

/// What came and went.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent.
    pub datagrams: u64,
    /// Frames sent.
    pub frames: u64,
    /// Bytes sent in both.
    pub bytes: u64,
    /// Packets taken in.
    pub received: u64,
    /// Dropped: of another fleet, of another version, damaged or unreadable.
    pub foreign: u64,
    /// Dropped, being of another version.
    pub versions: u64,
    /// Dropped, being damaged or unreadable.
    pub damaged: u64,
}

struct Waiting {
    id: u64,
    change: Change,
    until: Millis,
}

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
    stored_voter: Option<crate::disk::VoterState>,
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

    // ----- founding, and finding a fleet

    fn hello(&mut self, now: Millis) {
        self.hellos += 1;
        let pause = if self.hellos > HELLO_SOON { HELLO_LATER } else { HELLO };
        self.next_hello = now + pause + self.rng.random_range(0..pause / 4);
        let own = self.settings.info.address;
        for seed in self.settings.seeds.clone() {
            if seed != own {
                self.send(seed, Packet::Hello);
            }
        }
        if self.hellos.is_multiple_of(HELLO_SOON) {
            let missing: Vec<String> = self
                .settings
                .seeds
                .iter()
                .filter(|seed| **seed != own && !self.promises.contains_key(seed))
                .map(SocketAddr::to_string)
                .collect();
            let what = if self.settings.seeds.first() == Some(&own) {
                format!("the fleet is not founded yet; these seeds have not answered: {}", missing.join(", "))
            } else {
                "no member of a fleet has answered at any seed".to_owned()
            };
            self.effects.push(Effect::Notify(Notification::Waiting(what)));
        }
    }

    /// A blank seed follows the first one that asks and stands first on the list: only that one founds, and only with the
    /// promises of all. A promise outlasts a restart, so that no seed is counted for two fleets.
    fn promise_to(&mut self, from: Identity) {
        let seeds = &self.settings.seeds;
        let own = self.settings.info.address;
        if seeds.first() != Some(&from.address) || from.address == own || !seeds.contains(&own) {
            return;
        }
        if self.promise.is_none() {
            self.promise = Some(from.folder);
            self.effects.push(Effect::Persist(Record::Promise(from.folder)));
        }
        if self.promise == Some(from.folder) {
            let packet = Packet::Promise {
                founder: from.folder,
                incarnation: self.incarnation,
                boot: self.boot,
                info: self.settings.info.clone(),
            };
            self.send(from.address, packet);
        } else {
            let what = format!(
                "the first seed, {}, was promised to as folder {:016x} and is {:016x} now: empty the folders of all seeds",
                from.address,
                self.promise.unwrap_or_default(),
                from.folder
            );
            self.effects.push(Effect::Notify(Notification::Waiting(what)));
        }
    }

    fn found(&mut self, now: Millis) {
        let own = self.settings.info.address;
        let others = self.settings.seeds.iter().filter(|seed| **seed != own);
        let promised: Option<Vec<_>> = others.map(|seed| self.promises.get(seed).cloned()).collect();
        if self.settings.seeds.first() != Some(&own) {
            return;
        }
        let Some(promised) = promised else { return };
        let mut founders = vec![(self.folder, self.incarnation, self.boot, self.settings.info.clone())];
        founders.extend(promised);
        let fleet = self.rng.random();
        let member_list = MemberList::found(fleet, self.folder, founders);
        self.effects.push(Effect::Persist(Record::MemberList(Box::new(member_list.clone()))));
        self.member_list = Some(member_list);
        self.effects.push(Effect::Notify(Notification::MemberList { before: 0, now: 1, change: None }));
        self.member_list_changed(now, None);
    }

    // ----- the member list, from peer to peer

    fn tell_digest(&mut self, to: SocketAddr) {
        if let Some(member_list) = &self.member_list
            && to != self.settings.info.address
        {
            let (epoch, number) = member_list.age();
            let fleet = member_list.fleet;
            self.send(to, Packet::Digest { fleet, epoch, number });
        }
    }

    fn digest(&mut self, now: Millis, from: Identity, fleet: u64, theirs: (u32, u64)) {
        let own = self.member_list.as_ref().map(|member_list| (member_list.fleet, member_list.age()));
        if let Some((own, _)) = own
            && own != fleet
        {
            if self.other_fleet != Some(from.address) {
                self.other_fleet = Some(from.address);
                self.effects.push(Effect::Notify(Notification::OtherFleet(from.address)));
            }
            return;
        }
        self.heard = Some(now);
        let own = own.map_or((0, 0), |(_, age)| age);
        if theirs > own {
            if now >= self.pulled + PULL || self.pulled == 0 {
                self.pulled = now.max(1);
                let (epoch, number) = own;
                self.send(from.address, Packet::Pull { epoch, number });
            }
            self.lag(now);
        } else if theirs < own {
            self.tell_digest(from.address);
        } else {
            self.lagging = None;
            self.lags = 0;
        }
    }

    /// A voter that others are ahead of has missed something of its leader's, which does not tell it twice.
    fn lag(&mut self, now: Millis) {
        let since = *self.lagging.get_or_insert(now);
        if now >= since + LAGGING
            && let Some(voter) = &mut self.voter
        {
            self.lagging = Some(now);
            self.lags += 1;
            if self.lags.is_multiple_of(LAGS) {
                voter.lead();
            } else if let Some(leader) = voter.leader().filter(|leader| *leader != self.folder) {
                voter.reconnected(leader);
            }
        }
    }

    fn pulled_by(&mut self, to: SocketAddr, epoch: u32, number: u64) {
        let Some(member_list) = &self.member_list else { return };
        if (epoch, number) >= member_list.age() {
            return;
        }
        let behind = usize::try_from(member_list.number.saturating_sub(number)).unwrap_or(usize::MAX);
        let packet = if epoch == member_list.epoch && behind <= self.recent.len() {
            let changes = self.recent.iter().skip(self.recent.len() - behind).cloned().collect();
            Packet::Steps { fleet: member_list.fleet, epoch, after: number, changes }
        } else {
            Packet::Whole(Box::new(member_list.clone()))
        };
        self.send(to, packet);
    }

    fn whole(&mut self, now: Millis, member_list: MemberList) {
        match &self.member_list {
            Some(own) if own.fleet != member_list.fleet || own.age() >= member_list.age() => return,
            // One that promised to follow another founder, and is named as if it had followed this one, is not to be
            // counted twice.
            None if self.promise.is_some_and(|founder| founder != member_list.founder)
                && member_list.members.contains_key(&self.folder) =>
            {
                return;
            }
            _ => {}
        }
        self.heard = Some(now);
        let before = self.member_list.as_ref().map_or(0, |own| own.number);
        self.effects.push(Effect::Notify(Notification::MemberList {
            before,
            now: member_list.number,
            change: None,
        }));
        self.effects.push(Effect::Persist(Record::MemberList(Box::new(member_list.clone()))));
        self.member_list = Some(member_list);
        self.recent.clear();
        self.member_list_changed(now, None);
    }

    fn step(&mut self, now: Millis, change: Change) {
        let Some(member_list) = &mut self.member_list else { return };
        let before = member_list.number;
        let voters = member_list.voters.clone();
        member_list.apply(change.clone());
        self.effects.push(Effect::Persist(Record::Step(before + 1, change.clone())));
        self.recent.push_back(change.clone());
        if self.recent.len() > RECENT {
            self.recent.pop_front();
        }
        self.effects.push(Effect::Notify(Notification::MemberList {
            before,
            now: before + 1,
            change: Some(change),
        }));
        self.member_list_changed(now, Some(voters));
    }

    /// Whatever follows from a new member list. `former` are the voters before, where they may have changed.
    fn member_list_changed(&mut self, now: Millis, former: Option<Vec<u64>>) {
        let Some(member_list) = &self.member_list else { return };
        if let Some(gone) = member_list.departure_of(self.folder) {
            let why = match gone.why {
                Departure::Left => "it left",
                Departure::Removed => "staff removed it; empty its folder to have it join as a new one",
                Departure::Replaced => "another one has its name",
            };
            return self.halt(now, Halt::Departed(why));
        }
        self.learned.retain(|folder, _| member_list.members.contains_key(folder));
        self.told.retain(|folder, _| member_list.members.contains_key(folder));
        for (folder, member) in &member_list.members {
            let known = self.learned.entry(*folder).or_insert((member.incarnation, now));
            if known.0 != member.incarnation {
                *known = (member.incarnation, now);
            }
        }
        let mut here = false;
        if let Some(member) = member_list.members.get(&self.folder) {
            let theirs = (member.incarnation, member.boot);
            let copied =
                theirs.0 > self.incarnation || (theirs.0 == self.incarnation && theirs.1 != self.boot);
            if copied {
                return self.halt(now, Halt::Copied { theirs: theirs.0, own: self.incarnation });
            }
            // At another address than the one that is agreed on it may be a copy: it is silent until that is agreed on.
            here = member.info.address == self.settings.info.address;
            if here && self.watching.is_none() {
                self.watching = Some(now);
                self.next_greet = now;
            }
        }
        let (group, voters) = (member_list.group, member_list.voters.clone());
        let mut to: Vec<SocketAddr> = Vec::new();
        if former.as_ref().is_none_or(|former| *former != voters) {
            let folders = voters.iter().chain(former.iter().flatten());
            to.extend(folders.filter_map(|folder| member_list.members.get(folder)).map(|m| m.info.address));
        }
        if self.voter.as_ref().is_none_or(|voter| voter.group != group) {
            let before = self.voter.take().map(|voter| voter.group);
            if !self.disk_broken && here {
                self.voter = Voter::new(group, &voters, self.folder, self.stored_voter.as_ref());
            }
            self.stored_voter = None;
            self.broken.clear();
            let now_in = self.voter.as_ref().map(|voter| voter.group);
            if before != now_in {
                self.effects.push(Effect::Notify(Notification::Voter(now_in)));
            }
            self.next_voter_tick = now;
            self.settled_at = now;
        }
        // The news spreads: to a few members, and to those who agree on the next step.
        let answering: Vec<SocketAddr> = self.watch.answering().map(|id| id.address).collect();
        for _ in 0..FANOUT.min(answering.len()) {
            to.push(answering[self.rng.random_range(0..answering.len())]);
        }
        to.sort();
        to.dedup();
        to.into_iter().for_each(|address| self.tell_digest(address));
        self.settle_orders();
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

    /// Some member besides this one, by chance; a seed while none is known.
    fn some_member(&mut self) -> Option<SocketAddr> {
        let member_list = self.member_list.as_ref()?;
        let others: Vec<SocketAddr> = member_list
            .members
            .iter()
            .filter(|(folder, _)| **folder != self.folder)
            .map(|(_, member)| member.info.address)
            .collect();
        (!others.is_empty()).then(|| others[self.rng.random_range(0..others.len())])
    }

    // ----- who answers

    fn greet(&mut self, now: Millis) {
        self.next_greet = now + GREET;
        let Some(member_list) = &self.member_list else { return };
        let health = self.watch.health();
        let unheard = |folder: &u64, incarnation: u32| {
            *folder != self.folder
                && health
                    .get(folder)
                    .is_none_or(|(known, health)| *health == Health::Lost || *known < incarnation)
        };
        let lost: Vec<Identity> = member_list
            .members
            .iter()
            .filter(|(folder, member)| unheard(folder, member.incarnation))
            .map(|(folder, member)| Identity {
                folder: *folder,
                incarnation: member.incarnation,
                returns: 0,
                address: member.info.address,
            })
            .collect();
        // Those that have their time still are to be heard in it, however many there are: as after the start of a whole fleet.
        let hurry = lost.iter().any(|id| !health.contains_key(&id.folder) && self.fresh(id.folder, now));
        self.next_greet = now + if hurry { GREET_FRESH } else { GREET };
        if lost.is_empty() {
            return;
        }
        // Those that cannot be reached from here may be known to others, who answer a greeting with whom they hear.
        let answering: Vec<Identity> = self.watch.answering().copied().collect();
        let ask = !answering.is_empty() && self.rng.random_range(0..2) == 0;
        let among = if ask { &answering } else { &lost };
        let chosen = among[self.rng.random_range(0..among.len())];
        self.watch.greet(now, chosen);
        self.after_watch(now);
    }

    /// Sends what the watch wants sent, and tells what changed.
    fn after_watch(&mut self, _now: Millis) {
        let Some(fleet) = self.member_list.as_ref().map(|member_list| member_list.fleet) else { return };
        for (to, data) in std::mem::take(&mut self.watch.sends) {
            self.send(to.address, Packet::Swim { fleet, data });
        }
        for change in std::mem::take(&mut self.watch.changes) {
            let name = |id: &Identity| {
                let member =
                    self.member_list.as_ref().and_then(|member_list| member_list.members.get(&id.folder));
                member.map_or_else(|| format!("folder {:016x}", id.folder), |m| m.info.name.clone())
            };
            let (id, now) = match change {
                Heard::Up(id) => (id, Health::Answers),
                Heard::Down(id) => (id, Health::Lost),
                Heard::Returned(id) => {
                    self.effects.push(Effect::Notify(Notification::Returned(id.returns)));
                    continue;
                }
            };
            let before = self.told.insert(id.folder, now).unwrap_or(Health::Unknown);
            let note = Notification::Health { name: name(&id), before, now, incarnation: id.incarnation };
            self.effects.push(Effect::Notify(note));
        }
    }

    // ----- what is asked of the voters

    /// Whether this sender's start is agreed on.
    pub fn confirmed(&self) -> bool {
        let member = self.member_list.as_ref().and_then(|member_list| member_list.members.get(&self.folder));
        member.is_some_and(|member| {
            member.incarnation == self.incarnation
                && member.boot == self.boot
                && member.info == self.settings.info
        })
    }

    fn propose_own(&mut self) {
        let mut changes: Vec<Change> = self.orders.iter().map(|order| order.change.clone()).collect();
        if !self.confirmed() && self.member_list.is_some() {
            changes.push(Change::Start {
                folder: self.folder,
                incarnation: self.incarnation,
                boot: self.boot,
                info: self.settings.info.clone(),
            });
        }
        for change in changes {
            // A voter that is cut off from its group may still reach one that is not.
            if self.voter.is_some() && self.rng.random_range(0..2) == 0 {
                self.propose_to_voters(&change);
            } else if let Some(address) = self.random_voter() {
                self.send(address, Packet::Propose(change));
            }
        }
    }

    /// A voter that answers, or else any.
    fn random_voter(&mut self) -> Option<SocketAddr> {
        let member_list = self.member_list.as_ref()?;
        let voters: Vec<(u64, SocketAddr)> = member_list
            .voters
            .iter()
            .filter(|folder| **folder != self.folder)
            .filter_map(|folder| Some((*folder, member_list.members.get(folder)?.info.address)))
            .collect();
        let answers = |folder: u64| self.watch.health_of(folder) == Some(Health::Answers);
        let answering: Vec<_> = voters.iter().filter(|(folder, _)| answers(*folder)).collect();
        if !answering.is_empty() && self.rng.random_range(0..4) > 0 {
            return Some(answering[self.rng.random_range(0..answering.len())].1);
        }
        (!voters.is_empty()).then(|| voters[self.rng.random_range(0..voters.len())].1)
    }

    /// The incarnation of a member with that folder that answers from another address than the one told.
    fn copied(&self, folder: u64, info: &Info) -> Option<u32> {
        let member = self.member_list.as_ref()?.members.get(&folder)?;
        let answers = folder == self.folder
            || matches!(self.watch.health_of(folder), Some(Health::Answers | Health::Suspected));
        (answers && member.info.address != info.address).then_some(member.incarnation)
    }

    /// Whether the member list here has what a step asks for.
    fn agreed_already(&self, change: &Change) -> bool {
        let Some(member_list) = &self.member_list else { return false };
        match change {
            Change::Start { folder, incarnation, boot, .. } => member_list
                .members
                .get(folder)
                .is_some_and(|m| m.incarnation == *incarnation && m.boot == *boot),
            Change::Leaving { folder } => member_list.members.get(folder).is_none_or(|member| member.leaving),
            Change::Departure { folder, .. } => !member_list.members.contains_key(folder),
            Change::Voters { .. } => false,
        }
    }

    /// Has the group agree on a step, unless it changes nothing or must not be.
    fn propose_to_voters(&mut self, change: &Change) {
        let Some(member_list) = &self.member_list else { return };
        let wanted = match change {
            Change::Start { folder, incarnation, info, .. } => {
                let known = member_list.members.get(folder).is_some_and(|m| m.incarnation >= *incarnation);
                // Another one has the name: while that one answers, from another address, it keeps it.
                let holder = member_list.folder_of(&info.name).filter(|holder| holder != folder);
                let taken = holder.is_some_and(|holder| {
                    let elsewhere =
                        member_list.members.get(&holder).is_some_and(|m| m.info.address != info.address);
                    let lost = self.watch.health_of(holder) == Some(Health::Lost);
                    elsewhere && (holder == self.folder || !lost)
                });
                !known && !taken && member_list.departure_of(*folder).is_none()
            }
            Change::Leaving { .. } | Change::Departure { .. } => !self.agreed_already(change),
            // That is the voters' own.
            Change::Voters { .. } => false,
        };
        let in_group = member_list.in_group();
        if let Some(voter) = &mut self.voter
            && wanted
            && voter.waiting(in_group) < MOST_WAITING
        {
            voter.propose(change.clone());
        }
    }

    /// Carries out, or begins to carry out, what operators ask; the answer comes as an effect with that id.
    pub fn execute(&mut self, now: Millis, id: u64, order: &Command) {
        let done = self.ordered(now, id, order);
        if let Err(e) = done {
            self.effects.push(Effect::Answer(id, Err(e)));
        }
        self.after_voter(now);
    }

    fn ordered(&mut self, now: Millis, id: u64, order: &Command) -> Result<(), CommandError> {
        if let Some(halt) = &self.halted {
            return Err(CommandError::NoFleet(halt.to_string()));
        }
        let Some(member_list) = &self.member_list else {
            return Err(CommandError::NoFleet("none has been found or founded yet".to_owned()));
        };
        let change = match order {
            // First that it leaves, so that others see it going and the voters give its seat away; then that it is gone.
            Command::Leave => Change::Leaving { folder: self.folder },
            Command::Remove(name) => {
                let folder =
                    member_list.folder_of(name).ok_or_else(|| CommandError::Unknown(name.clone()))?;
                Change::Departure { folder, why: Departure::Removed }
            }
            Command::Refound => return self.refound(now, id),
        };
        self.orders.push(Waiting { id, change, until: now + ORDER_PATIENCE });
        self.next_propose = now;
        Ok(())
    }

    fn refound(&mut self, now: Millis, id: u64) -> Result<(), CommandError> {
        let Some(member_list) = &self.member_list else { return Ok(()) };
        let (answering, all) = self.voters_answering();
        if answering * 2 > all {
            return Err(CommandError::Majority(answering, all));
        }
        let mut candidates = self.candidates(&[self.folder]);
        candidates.insert(0, self.folder);
        candidates.truncate(self.settings.voters);
        if candidates.len() < 2 {
            return Err(CommandError::Alone);
        }
        if candidates.len().is_multiple_of(2) && candidates.len() > 2 {
            candidates.pop();
        }
        let member_list = member_list.refounded(candidates);
        self.effects.push(Effect::Persist(Record::MemberList(Box::new(member_list.clone()))));
        self.recent.clear();
        self.member_list = Some(member_list);
        self.member_list_changed(now, None);
        self.effects.push(Effect::Answer(id, Ok(())));
        Ok(())
    }

    fn settle_orders(&mut self) {
        let Some(member_list) = &self.member_list else { return };
        for order in &mut self.orders {
            if let Change::Leaving { folder } = order.change
                && member_list.members.get(&folder).is_none_or(|member| member.leaving)
            {
                order.change = Change::Departure { folder, why: Departure::Left };
                // It is due at once.
                self.next_propose = 0;
            }
        }
        let (over, open): (Vec<Waiting>, Vec<Waiting>) = std::mem::take(&mut self.orders)
            .into_iter()
            .partition(|order| self.agreed_already(&order.change));
        self.orders = open;
        self.effects.extend(over.into_iter().map(|order| Effect::Answer(order.id, Ok(()))));
    }

    fn give_up_orders(&mut self, now: Millis) {
        let (over, open): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.orders).into_iter().partition(|order| order.until <= now);
        self.orders = open;
        let error = || CommandError::NoMajority(ORDER_PATIENCE / 1_000);
        self.effects.extend(over.into_iter().map(|order| Effect::Answer(order.id, Err(error()))));
    }

    // ----- the voter's work

    /// The disk took no record: what this voter has said since is not to be relied on, so it says no more until the disk
    /// takes records again.
    pub fn disk_failed(&mut self) {
        self.disk_broken = true;
        self.stored_voter = None;
        if self.voter.take().is_some() {
            self.effects.push(Effect::Notify(Notification::Voter(None)));
        }
    }

    /// The disk takes records again, and holds this of a voter's log.
    pub fn reloaded(&mut self, now: Millis, voter: Option<crate::disk::VoterState>) {
        if std::mem::take(&mut self.disk_broken) {
            self.stored_voter = voter;
            // What was not written meanwhile stands in it.
            let whole = self
                .member_list
                .clone()
                .map(|member_list| Effect::Persist(Record::MemberList(Box::new(member_list))));
            self.effects.extend(whole);
            self.member_list_changed(now, None);
            self.after_voter(now);
        }
    }

    /// Writes, steps agreed on, and messages of the voter, in this order.
    fn after_voter(&mut self, now: Millis) {
        loop {
            let Some(voter) = &mut self.voter else { return };
            let group = voter.group;
            let persist: Vec<Effect> =
                voter.writes().into_iter().map(|write| Effect::Persist(Record::Voter(write))).collect();
            let messages = voter.messages();
            let Some(member_list) = &self.member_list else { return };
            let agreed =
                if member_list.group == group { voter.agreed(member_list.in_group()) } else { Vec::new() };
            let late = self.settings.injected_faults.tells_before_disk;
            if !late {
                self.effects.extend(persist.iter().cloned());
            }
            self.send_voter_messages(group, messages);
            if late {
                self.effects.extend(persist);
            }
            if agreed.is_empty() {
                return;
            }
            for change in agreed {
                self.step(now, change);
            }
        }
    }

    fn send_voter_messages(&mut self, group: u32, messages: Vec<(u64, Message<Change>)>) {
        let Some(member_list) = &self.member_list else { return };
        let (fleet, epoch) = (member_list.fleet, member_list.epoch);
        let addressed: Vec<_> = messages
            .into_iter()
            .filter_map(|(folder, message)| Some((member_list.members.get(&folder)?.info.address, message)))
            .collect();
        for (to, message) in addressed {
            self.send(to, Packet::Voter { fleet, epoch, group, message: Box::new(message) });
        }
    }

    fn voters_answering(&self) -> (usize, usize) {
        let Some(member_list) = &self.member_list else { return (0, 0) };
        let answers = |folder: &&u64| {
            **folder == self.folder
                || matches!(self.watch.health_of(**folder), Some(Health::Answers | Health::Suspected))
        };
        (member_list.voters.iter().filter(answers).count(), member_list.voters.len())
    }

    /// Members that answer and could be voters beside those, the best first: of zones and machines that have none.
    fn candidates(&self, beside: &[u64]) -> Vec<u64> {
        let Some(member_list) = &self.member_list else { return Vec::new() };
        let health = self.watch.health();
        let answers = |folder: &u64| {
            *folder == self.folder || health.get(folder).is_some_and(|(_, h)| *h == Health::Answers)
        };
        let mut chosen: Vec<u64> = beside.to_vec();
        let mut left: Vec<u64> = member_list
            .members
            .iter()
            .filter(|(folder, member)| answers(folder) && !member.leaving && !beside.contains(folder))
            .map(|(folder, _)| *folder)
            .collect();
        let mut order = Vec::new();
        while !left.is_empty() && order.len() < self.settings.voters {
            let alike = |folder: &u64, part: fn(&Info) -> &String| {
                let of = |folder: &u64| member_list.members.get(folder).map(|m| part(&m.info));
                chosen.iter().filter(|other| of(other) == of(folder)).count()
            };
            let rank = |folder: &u64| {
                let number = member_list.members.get(folder).map_or(u32::MAX, |member| member.number);
                (alike(folder, |info| &info.machine), alike(folder, |info| &info.zone), number)
            };
            let Some(at) = (0..left.len()).min_by_key(|at| rank(&left[*at])) else { break };
            let best = left.swap_remove(at);
            chosen.push(best);
            order.push(best);
        }
        order
    }

    /// The group that the leader wants: without those that are gone, leaving or lost for long, up to the wanted number, of
    /// as many zones as there are.
    fn wanted_group(&self, now: Millis) -> Option<Vec<u64>> {
        let member_list = self.member_list.as_ref()?;
        let lost = |folder: &u64| {
            *folder != self.folder
                && self
                    .watch
                    .lost_since(*folder)
                    .is_some_and(|at| now >= at + self.settings.replace_voter_after)
        };
        let belongs = |folder: &u64| member_list.members.get(folder).is_some_and(|member| !member.leaving);
        let size = self.settings.voters.min(member_list.members.len());
        let size = if size > 2 && size.is_multiple_of(2) { size - 1 } else { size };
        let mut group: Vec<u64> =
            member_list.voters.iter().filter(|folder| belongs(folder)).copied().collect();
        let candidates = self.candidates(&group);
        let mut spare = candidates.into_iter();
        // One that is lost goes only for one that answers: a smaller group is no safer.
        for place in &mut group {
            if lost(place)
                && let Some(next) = spare.next()
            {
                *place = next;
            }
        }
        while group.len() < size
            && let Some(next) = spare.next()
        {
            group.push(next);
        }
        while group.len() > size.max(2) {
            let worst = group.iter().position(lost).unwrap_or(group.len() - 1);
            group.remove(worst);
        }
        self.spread(&mut group);
        Some(group)
    }

    /// Gives the place of one voter, in a zone that has several, to one of a zone that has none.
    fn spread(&self, group: &mut [u64]) {
        let Some(member_list) = &self.member_list else { return };
        let zone = |folder: &u64| member_list.members.get(folder).map(|member| member.info.zone.as_str());
        let next = self.candidates(group).into_iter().find(|c| !group.iter().any(|k| zone(k) == zone(c)));
        let crowded = group
            .iter()
            .rposition(|k| *k != self.folder && group.iter().filter(|o| zone(o) == zone(k)).count() > 1);
        if let (Some(next), Some(at)) = (next, crowded) {
            group[at] = next;
        }
    }

    fn housekeeping(&mut self, now: Millis) {
        if now < self.settled_at + SETTLED || !self.voter.as_ref().is_some_and(Voter::leads) {
            return;
        }
        if self.settings.injected_faults.removes_the_silent {
            let Some(member_list) = &self.member_list else { return };
            let silent = member_list.members.keys().find(|folder| self.watch.lost_since(**folder).is_some());
            if let (Some(folder), Some(voter)) = (silent.copied(), &mut self.voter) {
                voter.propose(Change::Departure { folder, why: Departure::Removed });
            }
        }
        let Some(wanted) = self.wanted_group(now) else { return };
        let Some(member_list) = &self.member_list else { return };
        let differs = wanted.iter().any(|folder| !member_list.voters.contains(folder))
            || wanted.len() != member_list.voters.len();
        let long = member_list.in_group() >= MOST_LOG;
        if wanted.len() >= 2
            && (differs || long)
            && let Some(voter) = &mut self.voter
            && voter.hand_on(&wanted)
        {
            self.settled_at = now;
        }
    }

    // ----- what is told

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

    /// Whether a member that was never heard has its time still, since it is known, or since this sender listens.
    fn fresh(&self, folder: u64, now: Millis) -> bool {
        let listening = self.watching.unwrap_or(self.began);
        let since = self.learned.get(&folder).map_or(listening, |(_, at)| listening.max(*at));
        now < since + LISTEN + self.settings.suspect
    }

    /// Members in the order of their folders, how each belongs, and whether it answers.
    fn rows(&self, now: Millis) -> impl Iterator<Item = (u64, &Member, MemberState, Health)> {
        let health = self.watch.health();
        self.member_list.iter().flat_map(|member_list| &member_list.members).map(move |(folder, member)| {
            let own = *folder == self.folder;
            // Of an earlier process of the member, nothing is believed any more.
            let heard = health.get(folder).filter(|(incarnation, _)| *incarnation >= member.incarnation);
            let state = match (own && !self.confirmed(), member.leaving) {
                (true, _) => MemberState::Joining,
                (false, true) => MemberState::Leaving,
                (false, false) => MemberState::Active,
            };
            let health = match heard {
                _ if own && self.halted.is_none() => Health::Answers,
                Some((_, health)) => *health,
                // One that is not agreed on yet listens to nobody.
                None if self.watching.is_none() => Health::Unknown,
                // Neither one that has only just been agreed on: nobody can have heard it yet.
                None if self.fresh(*folder, now) => Health::Unknown,
                None => Health::Lost,
            };
            (*folder, member, state, health)
        })
    }

    /// A short sign of what this sender knows: two that have the same one see the same members, in the same states.
    pub fn view_digest(&self, now: Millis) -> ViewDigest {
        let mut sum = crc32fast::Hasher::new();
        for (folder, member, state, health) in self.rows(now) {
            sum.update(&folder.to_le_bytes());
            sum.update(&member.incarnation.to_le_bytes());
            sum.update(&[state as u8, health as u8]);
        }
        let member_list = self.member_list.as_ref();
        ViewDigest {
            fleet: member_list.map(|member_list| member_list.fleet),
            epoch: member_list.map_or(0, |member_list| member_list.epoch),
            number: member_list.map_or(0, |member_list| member_list.number),
            confirmed: self.confirmed(),
            halted: self.halted.is_some(),
            view: sum.finalize(),
        }
    }

    /// What this sender knows of its fleet.
    pub fn view(&self, now: Millis) -> View {
        let voters = self.member_list.as_ref().map_or(&[][..], |member_list| &member_list.voters);
        let mut members: Vec<Row> = self
            .rows(now)
            .map(|(folder, member, state, health)| Row {
                name: member.info.name.clone(),
                number: member.number,
                incarnation: member.incarnation,
                state,
                health,
                voter: voters.contains(&folder),
                zone: member.info.zone.clone(),
                machine: member.info.machine.clone(),
                version: member.info.version.clone(),
                address: member.info.address,
            })
            .collect();
        members.sort_by_key(|row| row.number);
        let (voters_answering, voters) = self.voters_answering();
        let member_list = self.member_list.as_ref();
        View {
            fleet: member_list.map(|member_list| member_list.fleet),
            epoch: member_list.map_or(0, |member_list| member_list.epoch),
            number: member_list.map_or(0, |member_list| member_list.number),
            age_ms: self.heard.map(|heard| now.saturating_sub(heard)),
            voters_answering,
            voters,
            confirmed: self.confirmed(),
            halted: self.halted.as_ref().map(Halt::to_string),
            members,
        }
    }

    /// The last of those that do not belong any more, the latest first.
    pub fn departed(&self) -> impl Iterator<Item = &crate::roster::DepartedMember> {
        self.member_list.iter().flat_map(|member_list| member_list.departed.iter().rev()).take(GONE_SHOWN)
    }
}
