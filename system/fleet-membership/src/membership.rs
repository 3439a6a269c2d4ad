//! The protocol.

use crate::config::Config;
use crate::member::{Member, MemberError, MemberState, Role};
use crate::probing::{Probe, Probes, Relay};
use crate::rumours::Rumours;
use crate::table::{Entry, Table, digest_of};
use crate::wire::{Body, Claim, DecodeError, Head, MAX_DATAGRAM, Status, Version, Writer, decode};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, VecDeque};
use std::net::Ipv4Addr;

/// Most entries, dead ones included.
const MAX_ENTRIES: usize = 16_384;
/// Most addresses of removed members that are kept.
const MAX_LOST: usize = 4_096;
/// Bytes of a page's datagram beside its claims.
const PAGE_OVERHEAD: usize = 96;
/// Members that are asked out of turn in one round, and between two rounds.
const ASKED_AT_ONCE: usize = 16;
const ASK_INTERVAL_MS: u64 = 100;
/// Addresses that one without others asks at once.
const SOUGHT_AT_ONCE: usize = 3;
/// Addresses that all members of a part together ask in one interval, on average.
const SEEKERS: usize = 16;
/// Members told by one that leaves.
const TOLD_OF_LEAVE: usize = 8;
/// How long to wait for a page, and how often.
const PAGE_TIMEOUT_MS: u64 = 300;
const PAGE_TRIES: u32 = 3;
/// How long views may differ while nothing changes here, and at most, before states are exchanged.
const DIFFER_QUIET_MS: u64 = 1_000;
const DIFFER_MOST_MS: u64 = 5_000;
/// Views that were the same for so many periods no longer differ.
const DIFFER_PERIODS: u64 = 3;
/// Between two exchanges for differing views.
const EXCHANGE_INTERVAL_MS: u64 = 1_000;

/// What the caller is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a datagram.
    Send {
        /// To this address.
        to: Ipv4Addr,
        /// These bytes.
        bytes: Vec<u8>,
    },
    /// Take note: a member's state has changed.
    Changed(Change),
}

/// A change of a member's state. A restart is told as `Removed` of the former life and `Joined` of the new one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// It is there.
    Joined(Member),
    /// It doesn't answer.
    Suspected(Member),
    /// It has objected to the suspicion.
    Cleared(Member),
    /// It went by itself.
    Left(Member),
    /// It is gone.
    Removed(Member),
}

/// What happened so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Dropped datagrams of another fleet or version.
    pub strangers: u64,
    /// Dropped datagrams that could not be read.
    pub malformed: u64,
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Their bytes, without headers of UDP and IP.
    pub bytes_sent: u64,
    /// Times that this process noticed it had had no time.
    pub gaps: u64,
    /// Times that this process objected.
    pub refutations: u64,
}

/// How a claim came.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Source {
    /// As a rumour.
    Rumour,
    /// In a page of another's state.
    Page,
}

/// Pages that are being fetched.
struct Fetch {
    peer: Ipv4Addr,
    after: Option<Ipv4Addr>,
    deadline: u64,
    tries: u32,
}

/// One member's view of the fleet.
pub struct Membership {
    me: Member,
    refutation: u32,
    config: Config,
    random: ChaCha8Rng,
    table: Table,
    rumours: Rumours,
    probes: Probes,
    /// Left of this round of the shuffled round robin.
    round: Vec<Ipv4Addr>,
    periods: u64,
    /// Members to be asked out of turn, because another sees them differently or this process had no time.
    doubted: VecDeque<Ipv4Addr>,
    seeds: Vec<Ipv4Addr>,
    /// When the members at these addresses were removed.
    lost: BTreeMap<Ipv4Addr, u64>,
    fetch: Option<Fetch>,
    /// Since when views differ, and when they last did.
    differed: Option<(u64, u64)>,
    last_change: u64,
    next_exchange: u64,
    next_probe: u64,
    next_gossip: u64,
    next_ask: u64,
    next_seek: u64,
    left: bool,
    counters: Counters,
    effects: Vec<Effect>,
}

impl Membership {
    /// A member that knows no other yet. What it draws follows from `seed`.
    pub fn new(me: Member, config: Config, seed: u64, now_ms: u64) -> Result<Self, MemberError> {
        me.check()?;
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let next_probe = now_ms + random.next_u64() % config.period_ms.max(1);
        Ok(Self {
            me,
            refutation: 0,
            config,
            random,
            table: Table::default(),
            rumours: Rumours::default(),
            probes: Probes::default(),
            round: Vec::new(),
            periods: 0,
            doubted: VecDeque::new(),
            seeds: Vec::new(),
            lost: BTreeMap::new(),
            fetch: None,
            differed: None,
            last_change: now_ms,
            next_exchange: now_ms,
            next_probe,
            next_gossip: now_ms,
            next_ask: now_ms,
            next_seek: u64::MAX,
            left: false,
            counters: Counters::default(),
            effects: Vec::new(),
        })
    }

    // Events.

    /// Asks these addresses to be let in, now and until one answers. They replace those given before.
    pub fn join(&mut self, now_ms: u64, seeds: &[Ipv4Addr]) -> Vec<Effect> {
        if self.left {
            return Vec::new();
        }
        self.notice_gap(now_ms);
        self.seeds = seeds.iter().copied().filter(|ip| *ip != self.me.ip).collect();
        self.seeds.sort_unstable();
        self.seeds.dedup();
        let sought = self.choose(self.seeds.clone(), SOUGHT_AT_ONCE);
        for ip in sought {
            self.send_join(ip);
        }
        self.next_seek = now_ms + self.seek_interval();
        self.take_effects()
    }

    /// Tells some members that this one goes. Nothing is done or answered afterwards.
    pub fn leave(&mut self, _now_ms: u64) -> Vec<Effect> {
        if !self.left {
            let told = self.choose(self.table.addresses().to_vec(), TOLD_OF_LEAVE);
            for ip in told {
                self.send(ip, Body::Leave, &[]);
            }
            self.left = true;
        }
        self.take_effects()
    }

    /// A datagram came.
    pub fn datagram(&mut self, now_ms: u64, from: Ipv4Addr, bytes: &[u8]) -> Vec<Effect> {
        if self.left {
            return Vec::new();
        }
        self.notice_gap(now_ms);
        match decode(self.config.fleet, bytes) {
            Err(DecodeError::Stranger) => self.counters.strangers += 1,
            Err(DecodeError::Malformed) => self.counters.malformed += 1,
            Ok(_) if from == self.me.ip || !crate::member::is_usable(from) => self.counters.strangers += 1,
            Ok((head, claims)) => self.message(now_ms, from, head, claims),
        }
        self.take_effects()
    }

    /// Does what is due.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Effect> {
        if self.left {
            return Vec::new();
        }
        self.notice_gap(now_ms);
        for probe in self.probes.take_expired(now_ms) {
            self.unanswered(now_ms, probe);
        }
        while let Some((_, ip)) = self.table.next_suspect().filter(|(deadline, _)| *deadline <= now_ms) {
            let Some(version) = self.table.get(ip).map(|entry| entry.version) else { break };
            self.change(now_ms, ip, None, version, Status::Removed);
        }
        if self.next_probe <= now_ms {
            self.period(now_ms);
        }
        if self.next_ask <= now_ms && !self.doubted.is_empty() {
            self.ask_doubted(now_ms);
        }
        if self.next_gossip <= now_ms && !self.rumours.is_empty() {
            self.gossip(now_ms);
        }
        if self.fetch.as_ref().is_some_and(|fetch| fetch.deadline <= now_ms) {
            self.fetch_again(now_ms);
        }
        if self.next_seek <= now_ms {
            self.seek(now_ms);
        }
        self.take_effects()
    }

    /// When `tick` is due next.
    pub fn next_tick_ms(&self) -> u64 {
        if self.left {
            return u64::MAX;
        }
        let has_others = !self.table.addresses().is_empty();
        let when = |condition: bool, at: u64| if condition { at } else { u64::MAX };
        [
            when(has_others, self.next_probe),
            when(has_others && !self.rumours.is_empty(), self.next_gossip),
            when(!self.doubted.is_empty(), self.next_ask),
            self.probes.next_deadline(),
            self.table.next_suspect().map_or(u64::MAX, |(deadline, _)| deadline),
            self.fetch.as_ref().map_or(u64::MAX, |fetch| fetch.deadline),
            self.next_seek,
        ]
        .into_iter()
        .min()
        .unwrap_or(u64::MAX)
    }

    // Questions.

    /// This member.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// All members with their state, this one first.
    pub fn members(&self) -> impl Iterator<Item = (&Member, MemberState)> {
        let me = (!self.left).then_some((&self.me, MemberState::Alive));
        me.into_iter().chain(self.table.iter().filter_map(|(_, entry)| match entry.status {
            Status::Alive => Some((entry.member.as_ref()?, MemberState::Alive)),
            Status::Suspect => Some((entry.member.as_ref()?, MemberState::Suspect)),
            Status::Removed | Status::Left => None,
        }))
    }

    /// The members of a role that count as living, suspected ones among them.
    pub fn alive(&self, role: Role) -> impl Iterator<Item = &Member> {
        self.members().map(|(member, _)| member).filter(move |member| member.role == role)
    }

    /// The living member at an address.
    pub fn get(&self, ip: Ipv4Addr) -> Option<&Member> {
        if ip == self.me.ip {
            return (!self.left).then_some(&self.me);
        }
        self.table.live(ip)?.member.as_ref()
    }

    /// How many members there are, this one included.
    pub fn count(&self) -> usize {
        self.table.addresses().len() + usize::from(!self.left)
    }

    /// Whether the member at this address is suspected.
    pub fn is_suspect(&self, ip: Ipv4Addr) -> bool {
        self.table.status(ip) == Some(Status::Suspect)
    }

    /// What happened so far.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    // What comes in.

    fn message(&mut self, now_ms: u64, from: Ipv4Addr, head: Head, claims: Vec<Claim>) {
        let was_live = self.table.live(from).is_some();
        self.heard_from(now_ms, from, head.version);
        let mut outdated = Vec::new();
        for claim in claims {
            let ip = claim.ip();
            if self.learn(now_ms, claim, Source::Rumour) == Learnt::Outdated && !outdated.contains(&ip) {
                outdated.push(ip);
            }
        }
        // A sender whose own version is behind what is known of it has lived here before, or had it lost on the way.
        if self.table.get(from).is_some_and(|entry| head.version < entry.version) && !outdated.contains(&from)
        {
            outdated.push(from);
        }
        let is_unknown = self.table.get(from).is_none_or(|entry| entry.version < head.version)
            && !matches!(head.body, Body::Gossip | Body::Unknown);
        match head.body {
            Body::Ping { number } => self.send(from, Body::Ack { number }, &std::mem::take(&mut outdated)),
            Body::PingRequest { number, target } => {
                if target != self.me.ip {
                    let relayed = self.probes.next_number();
                    let deadline = now_ms + self.config.indirect_timeout_ms;
                    let relay =
                        Relay { number: relayed, target, asker: from, asker_number: number, deadline };
                    self.probes.relay(now_ms, relay);
                    self.send(target, Body::Ping { number: relayed }, &[]);
                }
            }
            Body::Ack { number } => {
                self.probes.answered(from, number);
                if let Some(relay) = self.probes.relayed(now_ms, from, number) {
                    self.send(relay.asker, Body::Ack { number: relay.asker_number }, &[from]);
                }
            }
            Body::Gossip => {}
            Body::Join { after, alone } => {
                let page = self.page(from, after);
                self.send(from, page, &std::mem::take(&mut outdated));
                if !was_live && !alone && after.is_none() {
                    self.start_fetch(now_ms, from);
                }
            }
            Body::Page { next, claims } => {
                for claim in claims {
                    self.learn(now_ms, claim, Source::Page);
                }
                self.continue_fetch(now_ms, from, next);
            }
            Body::Unknown => self.send(from, Body::Gossip, &[self.me.ip]),
            Body::Leave => {
                if self.table.live(from).is_some_and(|entry| entry.version <= head.version) {
                    self.change(now_ms, from, None, head.version, Status::Left);
                }
                return;
            }
        }
        if is_unknown {
            self.send(from, Body::Unknown, &[]);
        }
        if !outdated.is_empty() {
            self.send(from, Body::Gossip, &outdated);
        }
        self.compare(now_ms, from, head.digest);
    }

    /// A datagram tells its sender's version: one that has objected lives.
    fn heard_from(&mut self, now_ms: u64, from: Ipv4Addr, version: Version) {
        let Some(entry) = self.table.get(from) else { return };
        let is_same_life = entry.version.incarnation == version.incarnation;
        if is_same_life && entry.version < version && entry.status != Status::Left && entry.member.is_some() {
            self.change(now_ms, from, None, version, Status::Alive);
        }
    }

    /// Takes a claim in if it outranks what is known.
    fn learn(&mut self, now_ms: u64, claim: Claim, source: Source) -> Learnt {
        let (ip, version, status) = (claim.ip(), claim.version(), claim.status());
        if ip == self.me.ip {
            self.learn_of_me(now_ms, version, status);
            return Learnt::Nothing;
        }
        let member = if let Claim::Alive { member, .. } = claim { Some(member) } else { None };
        let Some(known) = self.table.get(ip).map(Known::from) else {
            // Who has left or was removed is remembered although it wasn't known, against late rumours.
            if status != Status::Suspect && self.table.len() < MAX_ENTRIES {
                self.change(now_ms, ip, member, version, status);
            }
            return Learnt::Nothing;
        };
        let is_same_life = known.version.incarnation == version.incarnation;
        if (version, status) <= (known.version, known.status) {
            if status == Status::Alive && known.status == Status::Removed && is_same_life {
                // It counts as living elsewhere: if it does live, it objects when it hears that it doesn't here.
                self.doubt(now_ms, ip);
            }
            let is_outdated = version < known.version && status != Status::Alive && known.status.is_live();
            return if is_outdated { Learnt::Outdated } else { Learnt::Nothing };
        }
        match status {
            Status::Alive | Status::Left => self.change(now_ms, ip, member, version, status),
            Status::Suspect => {
                if is_same_life && known.has_member {
                    self.change(now_ms, ip, None, version, status);
                }
            }
            // Nobody is removed who wasn't suspected here before.
            Status::Removed if is_same_life && known.status == Status::Alive => match source {
                Source::Rumour => self.change(now_ms, ip, None, version, Status::Suspect),
                Source::Page => self.doubt(now_ms, ip),
            },
            Status::Removed if is_same_life && known.status == Status::Suspect && source == Source::Page => {}
            Status::Removed => self.change(now_ms, ip, None, version, status),
        }
        Learnt::Nothing
    }

    /// Objects to whatever outranks this life.
    fn learn_of_me(&mut self, now_ms: u64, version: Version, status: Status) {
        if (version, status) <= (self.my_version(), Status::Alive) {
            return;
        }
        if version.incarnation > self.me.incarnation {
            self.me.incarnation = version.incarnation.saturating_add(1);
            self.refutation = 0;
        } else {
            self.refutation = version.refutation.saturating_add(1);
        }
        self.counters.refutations += 1;
        self.last_change = now_ms;
        self.spread(now_ms, self.me.ip);
    }

    /// Makes every change of another member's state.
    fn change(
        &mut self,
        now_ms: u64,
        ip: Ipv4Addr,
        member: Option<Member>,
        version: Version,
        status: Status,
    ) {
        let old = self.table.get(ip).cloned();
        let old_member = old.as_ref().and_then(|entry| entry.member.clone());
        let old_status = old.as_ref().map(|entry| entry.status).filter(|status| status.is_live());
        let is_new_life = old.as_ref().is_some_and(|entry| entry.version.incarnation != version.incarnation);
        let member = member.or_else(|| old_member.clone().filter(|_| !is_new_life));
        let deadline = match status {
            Status::Alive => u64::MAX,
            Status::Suspect => now_ms + self.config.suspicion_for(self.count()),
            Status::Removed | Status::Left => now_ms + self.config.dead_memory_ms,
        };
        let was_alone = self.table.addresses().is_empty();
        self.table.put(ip, Entry { member: member.clone(), version, status, deadline });
        self.last_change = now_ms;
        if was_alone {
            // Nothing was due while there was nobody to send to.
            self.next_probe =
                self.next_probe.max(now_ms + self.random.next_u64() % self.config.period_ms.max(1));
            self.next_gossip = self.next_gossip.max(now_ms);
        }
        if status != Status::Removed {
            self.lost.remove(&ip);
        } else if old_status.is_some() {
            self.lose(now_ms, ip);
        }
        if old_status.is_some() && !status.is_live() {
            self.seek_soon(now_ms);
        }
        if old_status.is_some() || status.is_live() {
            self.spread(now_ms, ip);
        }
        let mut tell = |change| self.effects.push(Effect::Changed(change));
        match (old_status, old_member, member) {
            (None, _, Some(member)) if status.is_live() => tell(Change::Joined(member)),
            (Some(_), Some(old_member), Some(member)) if status.is_live() && is_new_life => {
                tell(Change::Removed(old_member));
                tell(Change::Joined(member));
            }
            (Some(Status::Suspect), _, Some(member)) if status == Status::Alive => {
                tell(Change::Cleared(member))
            }
            (Some(_), Some(old_member), _) if status == Status::Removed => tell(Change::Removed(old_member)),
            (Some(_), Some(old_member), _) if status == Status::Left => tell(Change::Left(old_member)),
            _ => {}
        }
        let is_suspected = status == Status::Suspect && (is_new_life || old_status != Some(Status::Suspect));
        if let Some(entry) = self.table.get(ip).filter(|_| is_suspected) {
            self.effects
                .extend(entry.member.clone().map(|member| Effect::Changed(Change::Suspected(member))));
        }
    }

    // Probes.

    /// A new period: the successor on the ring is probed, and now and then another.
    fn period(&mut self, now_ms: u64) {
        self.next_probe = (self.next_probe + self.config.period_ms).max(now_ms + self.config.period_ms / 2);
        self.periods += 1;
        self.table.forget(now_ms);
        if let Some(successor) = self.table.successor(self.me.ip) {
            self.probe(now_ms, successor);
        }
        if self.periods.is_multiple_of(self.config.extra_probe_every.max(1)) {
            if self.round.is_empty() {
                self.round = self.choose(self.table.addresses().to_vec(), usize::MAX);
            }
            while let Some(ip) = self.round.pop() {
                if self.table.status(ip) == Some(Status::Alive) && !self.probes.is_probed(ip) {
                    self.probe(now_ms, ip);
                    break;
                }
            }
        }
    }

    fn probe(&mut self, now_ms: u64, target: Ipv4Addr) {
        if self.probes.is_probed(target) {
            return;
        }
        let number = self.probes.next_number();
        let deadline = now_ms + self.config.ack_timeout_ms;
        self.probes.waiting.push(Probe { number, target, third_parties: None, deadline });
        self.send(target, Body::Ping { number }, &[]);
    }

    /// A probe's time is over: third parties are asked, or the target is suspected.
    fn unanswered(&mut self, now_ms: u64, mut probe: Probe) {
        let Some(entry) = self.table.get(probe.target).filter(|entry| entry.status == Status::Alive) else {
            return;
        };
        if probe.third_parties.is_some() {
            let version = entry.version;
            self.change(now_ms, probe.target, None, version, Status::Suspect);
            return;
        }
        let others = self.table.addresses().iter().copied().filter(|ip| *ip != probe.target).collect();
        let third_parties = self.choose(others, self.config.third_parties);
        for third in &third_parties {
            self.send(*third, Body::PingRequest { number: probe.number, target: probe.target }, &[]);
        }
        self.send(probe.target, Body::Ping { number: probe.number }, &[]);
        probe.third_parties = Some(third_parties);
        probe.deadline = now_ms + self.config.indirect_timeout_ms;
        self.probes.waiting.push(probe);
    }

    /// If `tick` should have been called a while ago, this process had no time, and what it missed says nothing of
    /// others: it asks again, and gives suspected ones more time. It asks some others how they see it, too.
    fn notice_gap(&mut self, now_ms: u64) {
        let due = self.next_tick_ms();
        if now_ms <= due.saturating_add(self.config.late_ms) {
            return;
        }
        let gap = now_ms - due;
        self.counters.gaps += 1;
        self.table.extend_suspicions(gap);
        for mut probe in std::mem::take(&mut self.probes.waiting) {
            probe.third_parties = None;
            probe.deadline = now_ms + self.config.ack_timeout_ms;
            self.send(probe.target, Body::Ping { number: probe.number }, &[]);
            self.probes.waiting.push(probe);
        }
        if let Some(fetch) = &mut self.fetch {
            fetch.deadline = now_ms + PAGE_TIMEOUT_MS;
        }
        for at in [&mut self.next_probe, &mut self.next_gossip, &mut self.next_ask, &mut self.next_seek] {
            *at = (*at).max(now_ms);
        }
        let asked = self.choose(self.table.addresses().to_vec(), SOUGHT_AT_ONCE);
        for ip in asked {
            self.doubted.push_front(ip);
        }
    }

    /// Has a member asked out of turn.
    fn doubt(&mut self, now_ms: u64, ip: Ipv4Addr) {
        if !self.doubted.contains(&ip) {
            self.next_ask = self.next_ask.max(now_ms);
            self.doubted.push_back(ip);
        }
    }

    fn ask_doubted(&mut self, now_ms: u64) {
        self.next_ask = now_ms + ASK_INTERVAL_MS;
        for _ in 0..ASKED_AT_ONCE {
            let Some(ip) = self.doubted.pop_front() else { break };
            match self.table.status(ip) {
                Some(Status::Alive) => self.probe(now_ms, ip),
                Some(Status::Suspect | Status::Removed) => {
                    let number = self.probes.next_number();
                    self.send(ip, Body::Ping { number }, &[]);
                }
                Some(Status::Left) | None => {}
            }
        }
    }

    // Rumours.

    fn spread(&mut self, now_ms: u64, ip: Ipv4Addr) {
        if self.rumours.is_empty() {
            // A little later, so that what changes together travels together.
            self.next_gossip = self.next_gossip.max(now_ms + self.config.gossip_interval_ms / 10);
        }
        self.rumours.put(ip);
    }

    fn gossip(&mut self, now_ms: u64) {
        self.next_gossip = now_ms + self.config.gossip_interval_ms;
        let told = self.choose(self.table.addresses().to_vec(), self.config.gossip_fanout);
        for ip in told {
            if !self.rumours.is_empty() {
                self.send(ip, Body::Gossip, &[]);
            }
        }
    }

    // Exchange of states.

    /// Views that differ for a while are exchanged.
    fn compare(&mut self, now_ms: u64, from: Ipv4Addr, digest: [u8; 8]) {
        if u64::from_le_bytes(digest) == self.digest() || self.table.live(from).is_none() {
            return;
        }
        // Some others may be as wrong as this one, so that only every now and then one differs.
        let is_new =
            self.differed.is_none_or(|(_, last)| now_ms > last + DIFFER_PERIODS * self.config.period_ms);
        let since = self.differed.filter(|_| !is_new).map_or(now_ms, |(since, _)| since);
        self.differed = Some((since, now_ms));
        let quiet_ms = now_ms.saturating_sub(since.max(self.last_change));
        let is_due = (self.rumours.is_empty() && quiet_ms >= DIFFER_QUIET_MS)
            || now_ms.saturating_sub(since) >= DIFFER_MOST_MS;
        if is_due && now_ms >= self.next_exchange {
            self.next_exchange =
                now_ms + EXCHANGE_INTERVAL_MS + self.random.next_u64() % EXCHANGE_INTERVAL_MS;
            self.start_fetch(now_ms, from);
        }
    }

    fn start_fetch(&mut self, now_ms: u64, peer: Ipv4Addr) {
        if self.fetch.is_none() {
            self.fetch = Some(Fetch { peer, after: None, deadline: now_ms + PAGE_TIMEOUT_MS, tries: 1 });
            self.send_join(peer);
        }
    }

    fn continue_fetch(&mut self, now_ms: u64, from: Ipv4Addr, next: Option<Ipv4Addr>) {
        if self
            .fetch
            .as_ref()
            .is_some_and(|fetch| fetch.peer != from || next.is_some_and(|next| fetch.after >= Some(next)))
        {
            return;
        }
        self.fetch = next.map(|next| Fetch {
            peer: from,
            after: Some(next),
            deadline: now_ms + PAGE_TIMEOUT_MS,
            tries: 1,
        });
        if let Some(after) = next {
            self.send(from, Body::Join { after: Some(after), alone: false }, &[]);
        }
    }

    fn fetch_again(&mut self, now_ms: u64) {
        let Some(fetch) = &mut self.fetch else { return };
        if fetch.tries >= PAGE_TRIES {
            self.fetch = None;
            return;
        }
        fetch.tries += 1;
        fetch.deadline = now_ms + PAGE_TIMEOUT_MS;
        let (peer, after) = (fetch.peer, fetch.after);
        if after.is_none() {
            self.send_join(peer);
        } else {
            self.send(peer, Body::Join { after, alone: false }, &[]);
        }
    }

    fn send_join(&mut self, to: Ipv4Addr) {
        let alone = self.table.addresses().is_empty();
        self.send(to, Body::Join { after: None, alone }, &[self.me.ip]);
    }

    /// A page of the state for `to`: as many claims as fit.
    fn page(&self, to: Ipv4Addr, after: Option<Ipv4Addr>) -> Body {
        let mut claims = Vec::new();
        let mut room = MAX_DATAGRAM - PAGE_OVERHEAD;
        if after.is_none() {
            let claim = self.my_claim();
            room = room.saturating_sub(claim.encode().len());
            claims.push(claim);
        }
        let mut last = after;
        for (ip, entry) in self.table.after(after).filter(|(ip, _)| **ip != to) {
            let mut both = Vec::new();
            if let (Status::Suspect, Some(member)) = (entry.status, &entry.member) {
                both.push(Claim::Alive { member: member.clone(), refutation: entry.version.refutation });
            }
            both.extend(entry.claim(*ip));
            let size: usize = both.iter().map(|claim| claim.encode().len()).sum();
            if size > room {
                return Body::Page { next: last.or(Some(Ipv4Addr::UNSPECIFIED)), claims };
            }
            room -= size;
            claims.extend(both);
            last = Some(*ip);
        }
        Body::Page { next: None, claims }
    }

    // Finding again.

    /// Keeps the address of a removed member, to find it again.
    fn lose(&mut self, now_ms: u64, ip: Ipv4Addr) {
        self.lost.insert(ip, now_ms);
        if self.lost.len() > MAX_LOST {
            let oldest = self.lost.iter().min_by_key(|(_, at)| **at).map(|(ip, _)| *ip);
            oldest.map(|oldest| self.lost.remove(&oldest));
        }
    }

    fn seek_soon(&mut self, now_ms: u64) {
        let soon = if self.table.addresses().is_empty() {
            self.config.alone_interval_ms
        } else {
            self.random.next_u64() % self.config.seek_interval_ms.max(1)
        };
        self.next_seek = self.next_seek.min(now_ms + soon);
    }

    fn seek_interval(&mut self) -> u64 {
        if self.table.addresses().is_empty() {
            return self.config.alone_interval_ms;
        }
        let interval = self.config.seek_interval_ms;
        interval / 2 + self.random.next_u64() % interval.max(1)
    }

    /// Asks removed members and absent seeds, by chance, so that a big part doesn't ask more in all than a small one.
    fn seek(&mut self, now_ms: u64) {
        self.table.forget(now_ms);
        let oldest = now_ms.saturating_sub(self.config.lost_memory_ms);
        self.lost.retain(|_, at| *at >= oldest);
        let absent = |ip: &Ipv4Addr| self.table.live(*ip).is_none();
        let seeds: Vec<_> = self.seeds.iter().copied().filter(absent).collect();
        let lost: Vec<_> = self.lost.keys().copied().filter(|ip| !seeds.contains(ip)).collect();
        if seeds.is_empty() && lost.is_empty() {
            self.next_seek = u64::MAX;
            return;
        }
        let members = self.count();
        let tries = if members == 1 {
            SOUGHT_AT_ONCE
        } else {
            (SEEKERS + (self.random.next_u64() % members as u64) as usize) / members
        };
        // Half of the tries go to seeds: those who start first ask there.
        let for_seeds = (tries + (self.random.next_u64() % 2) as usize) / 2;
        let for_seeds = if lost.is_empty() { tries } else { for_seeds.max(tries.saturating_sub(lost.len())) };
        let mut chosen = self.choose(seeds, for_seeds);
        let for_lost = tries - chosen.len();
        chosen.extend(self.choose(lost, for_lost));
        for ip in chosen {
            self.send_join(ip);
        }
        self.next_seek = now_ms + self.seek_interval();
    }

    // What goes out.

    /// Sends a message with what the receiver should know: how it is seen itself if that isn't as alive, the claims
    /// about `first`, then rumours as there is room.
    fn send(&mut self, to: Ipv4Addr, body: Body, first: &[Ipv4Addr]) {
        let head = Head { version: self.my_version(), digest: self.digest().to_le_bytes(), body };
        let mut writer = Writer::new(self.config.fleet, &head);
        let mut told = Vec::new();
        let to_itself = self.table.status(to).is_some_and(|status| status != Status::Alive).then_some(to);
        for ip in to_itself.into_iter().chain(first.iter().copied()).chain(self.rumours.in_order()) {
            if told.contains(&ip) || (ip == to && to_itself.is_none() && !first.contains(&to)) {
                continue;
            }
            let Some(claim) = self.claim(ip) else { continue };
            if !writer.push(&claim) {
                break;
            }
            told.push(ip);
        }
        let limit = self.config.sends_per_rumour(self.count());
        for ip in told {
            self.rumours.count(ip, limit);
        }
        let bytes = writer.finish();
        self.counters.datagrams_sent += 1;
        self.counters.bytes_sent += bytes.len() as u64;
        self.effects.push(Effect::Send { to, bytes });
    }

    fn claim(&self, ip: Ipv4Addr) -> Option<Claim> {
        if ip == self.me.ip { Some(self.my_claim()) } else { self.table.get(ip)?.claim(ip) }
    }

    fn my_claim(&self) -> Claim {
        Claim::Alive { member: self.me.clone(), refutation: self.refutation }
    }

    fn my_version(&self) -> Version {
        Version { incarnation: self.me.incarnation, refutation: self.refutation }
    }

    fn digest(&self) -> u64 {
        self.table.digest() ^ digest_of(self.me.ip, self.my_version())
    }

    /// Draws `count` of these, in random order.
    fn choose(&mut self, mut from: Vec<Ipv4Addr>, count: usize) -> Vec<Ipv4Addr> {
        let count = count.min(from.len());
        for at in 0..count {
            let other = at + (self.random.next_u64() % (from.len() - at) as u64) as usize;
            from.swap(at, other);
        }
        from.truncate(count);
        from
    }

    fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }
}

/// What was known at an address before a claim came.
struct Known {
    version: Version,
    status: Status,
    has_member: bool,
}

impl From<&Entry> for Known {
    fn from(entry: &Entry) -> Self {
        Self { version: entry.version, status: entry.status, has_member: entry.member.is_some() }
    }
}

/// What became of a claim.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Learnt {
    /// It needs no answer.
    Nothing,
    /// Its teller is behind, and should be told.
    Outdated,
}
