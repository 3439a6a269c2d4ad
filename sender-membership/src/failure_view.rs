//! Whether members answer: SWIM with suspicion, by the library `foca`. It never changes who belongs (V3); it is a guess, and
//! says so. Of local health it has what the library lacks: one that was itself starved of time doubts itself first, and
//! gives those that it suspects their time anew (V2).
use crate::Millis;
use crate::settings::Settings;
use crate::wire::Identity;
use foca::{Config, Foca, NoCustomBroadcast, Notification, PeriodicParams, PostcardCodec, Runtime, Timer};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Room that the envelope takes of a datagram.
const ENVELOPE: usize = 120;
/// Members that are told of a change at a time, and how often.
const GOSSIP_TO: usize = 3;
const GOSSIP_EACH: Millis = 300;
/// How often a change is told on: enough for ten thousand members by SWIM's rule, 4 log10(n).
const TELLINGS: u8 = 16;
/// One that is held lost is remembered for so long.
const FORGET: Duration = Duration::from_secs(600);
/// Members that ask one which they hear is lost whether that is so, all in all.
const ASKING: u64 = 8;
/// Suspicions are looked at this often, and taken for forgotten by the library so long after their time.
const LOOK: Millis = 1_000;
const FORGOTTEN: Millis = 500;
/// One that is held lost is greeted this often, by each.
const GREET_LOST: Millis = 4_000;

/// Whether a member answers, as far as this sender knows: a guess in all four cases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    /// It answers, or others heard it.
    Answers,
    /// It did not answer, and has not objected yet.
    Suspected,
    /// It did not object in its time.
    Lost,
    /// This sender has only just begun to listen.
    Unknown,
}

/// How a member belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// It has asked, and the voters have not agreed yet.
    Joining,
    /// It belongs.
    #[serde(rename = "in")]
    Active,
    /// It is about to go.
    Leaving,
    /// It does not belong any more.
    #[serde(rename = "gone")]
    Departed,
}

/// A member, as a line of the view.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize)]
pub struct Row {
    /// Its name.
    pub name: String,
    /// Its number.
    pub number: u32,
    /// How often it has started.
    pub incarnation: u32,
    /// How it belongs.
    #[serde(rename = "standing")]
    pub state: MemberState,
    /// Whether it answers.
    pub health: Health,
    /// Whether it is one of the voters.
    #[serde(rename = "keeper")]
    pub voter: bool,
    /// Its zone.
    pub zone: String,
    /// Its machine.
    pub machine: String,
    /// Its program's version.
    pub version: String,
    /// Where its peers reach it.
    pub address: SocketAddr,
}

/// What a sender knows of its fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct View {
    /// The fleet's own number; none while there is no fleet.
    pub fleet: Option<u64>,
    /// How often operators founded it anew.
    pub epoch: u32,
    /// The number of the member list that this is of.
    pub number: u64,
    /// Milliseconds since another member was last heard; none if none ever was.
    pub age_ms: Option<Millis>,
    /// Voters that answer, this one included, and voters in all: with half of them or fewer nothing is agreed on.
    #[serde(rename = "keepers_answering")]
    pub voters_answering: usize,
    /// Voters in all.
    #[serde(rename = "keepers")]
    pub voters: usize,
    /// Whether this sender's own start is agreed on.
    pub confirmed: bool,
    /// Why it takes no part, where it does not.
    pub halted: Option<String>,
    /// Members and, last, some of those that were.
    pub members: Vec<Row>,
}

/// A short sign of a view, to compare those of many senders by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
pub struct ViewDigest {
    /// The fleet's own number; none while there is no fleet.
    pub fleet: Option<u64>,
    /// The epoch of the member list.
    pub epoch: u32,
    /// Its number.
    pub number: u64,
    /// Whether this sender's own start is agreed on.
    pub confirmed: bool,
    /// Whether it takes no part any more.
    pub halted: bool,
    /// A checksum of all members, how they belong and whether they answer.
    pub view: u32,
}

/// What foca wants done.
#[derive(Default)]
struct Wanted {
    sends: Vec<(Identity, Vec<u8>)>,
    timers: Vec<(Timer<Identity>, Duration)>,
    changes: Vec<Heard>,
}

/// A change of who answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Heard {
    Up(Identity),
    Down(Identity),
    /// This sender was held lost, and has come back under this identity.
    Returned(Identity),
}

impl Runtime<Identity> for Wanted {
    fn notify(&mut self, notification: Notification<'_, Identity>) {
        match notification {
            Notification::MemberUp(id) => self.changes.push(Heard::Up(*id)),
            Notification::MemberDown(id) => self.changes.push(Heard::Down(*id)),
            Notification::Rejoin(id) => self.changes.push(Heard::Returned(*id)),
            _ => {}
        }
    }

    fn send_to(&mut self, to: Identity, data: &[u8]) {
        self.sends.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, timer: Timer<Identity>, after: Duration) {
        self.timers.push((timer, after));
    }
}

/// One that the library holds lost.
struct Lost {
    since: Millis,
    id: Identity,
    /// How often this sender has asked it itself whether that is so.
    asked: u8,
    /// Whether it counts as lost.
    told: bool,
}

impl Lost {
    /// When it is to be asked, or to be told of as lost. By half of its time most have heard that it objects; those that have
    /// not, as a datagram of theirs was lost too often, ask it themselves, twice.
    fn due(&self, confirm: Millis) -> Option<Millis> {
        let share = [confirm / 2, confirm * 3 / 4].get(usize::from(self.asked)).copied().unwrap_or(confirm);
        (!self.told).then_some(self.since + share)
    }
}

/// Who answers.
pub(crate) struct Watch {
    foca: Foca<Identity, PostcardCodec, ChaCha8Rng, NoCustomBroadcast>,
    timers: BTreeMap<(Millis, u64), Timer<Identity>>,
    count: u64,
    suspect: Millis,
    answer: Millis,
    confirm: Millis,
    lost: BTreeMap<u64, Lost>,
    /// Since when those that are suspected are, and when that is looked at next.
    suspected: BTreeMap<u64, (Millis, Identity)>,
    next_look: Millis,
    pub(crate) sends: Vec<(Identity, Vec<u8>)>,
    pub(crate) changes: Vec<Heard>,
}

fn periodic(every: Millis, members: usize) -> Option<PeriodicParams> {
    let num_members = NonZeroUsize::new(members)?;
    Some(PeriodicParams { frequency: Duration::from_millis(every), num_members })
}

impl Watch {
    pub(crate) fn new(own: Identity, settings: &Settings, rng: ChaCha8Rng) -> Self {
        let config = Config {
            probe_period: Duration::from_millis(settings.probe),
            probe_rtt: Duration::from_millis(settings.answer),
            num_indirect_probes: NonZeroUsize::new(GOSSIP_TO).unwrap_or(NonZeroUsize::MIN),
            max_transmissions: NonZeroU8::new(TELLINGS).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: Duration::from_millis(settings.suspect),
            remove_down_after: Some(FORGET),
            max_packet_size: NonZeroUsize::new(crate::MAX_DATAGRAM_BYTES - ENVELOPE)
                .unwrap_or(NonZeroUsize::MIN),
            notify_down_members: true,
            periodic_announce: None,
            periodic_announce_to_down_members: periodic(GREET_LOST, 1),
            periodic_gossip: periodic(GOSSIP_EACH, GOSSIP_TO),
        };
        Self {
            foca: Foca::new(own, config, rng, PostcardCodec),
            timers: BTreeMap::new(),
            count: 0,
            suspect: settings.suspect,
            answer: settings.answer,
            confirm: settings.confirm,
            lost: BTreeMap::new(),
            suspected: BTreeMap::new(),
            next_look: 0,
            sends: Vec::new(),
            changes: Vec::new(),
        }
    }

    pub(crate) fn own(&self) -> Identity {
        *self.foca.identity()
    }

    pub(crate) fn next(&self) -> Option<Millis> {
        let timer = self.timers.first_key_value().map(|((due, _), _)| *due);
        let untold = self.lost.values().filter_map(|lost| lost.due(self.confirm)).min();
        timer.into_iter().chain(untold).min()
    }

    fn take(&mut self, now: Millis, wanted: Wanted) {
        for (timer, after) in wanted.timers {
            self.count += 1;
            let after = u64::try_from(after.as_millis()).unwrap_or(u64::MAX);
            self.timers.insert((now.saturating_add(after), self.count), timer);
        }
        let mut doubtful = Vec::new();
        for change in &wanted.changes {
            match change {
                // Who was never told of as lost has never been away.
                Heard::Up(id) => match self.lost.remove(&id.folder) {
                    Some(Lost { told: false, .. }) => {}
                    _ => self.changes.push(*change),
                },
                Heard::Down(id) => {
                    self.lost.entry(id.folder).or_insert(Lost { since: now, id: *id, asked: 0, told: false });
                    doubtful.push(*id);
                }
                Heard::Returned(_) => self.changes.push(*change),
            }
        }
        self.sends.extend(wanted.sends);
        // Nobody speaks to one that is lost any more, so that it would not learn of it soon; some ask it.
        let members = self.foca.num_members() as u64 + 1;
        for id in doubtful {
            if (id.folder ^ self.own().folder).wrapping_add(now) % members < ASKING {
                self.greet(now, id);
            }
        }
    }

    /// Fires what is due. Whoever drives this hands in what has come before.
    pub(crate) fn tick(&mut self, now: Millis) {
        let due = self.timers.first_key_value().map(|((due, _), _)| *due);
        if due.is_some_and(|due| now > due + self.answer) {
            self.doubt(now);
        }
        if now >= self.next_look {
            self.next_look = now + LOOK;
            self.look(now);
        }
        let mut ask = Vec::new();
        for lost in self.lost.values_mut() {
            if lost.due(self.confirm).is_none_or(|due| now < due) {
                continue;
            }
            if now >= lost.since + self.confirm {
                lost.told = true;
                self.changes.push(Heard::Down(lost.id));
            } else {
                lost.asked += 1;
                ask.push(lost.id);
            }
        }
        ask.into_iter().for_each(|id| self.greet(now, id));
        while let Some(entry) = self.timers.first_entry()
            && entry.key().0 <= now
        {
            let timer = entry.remove();
            let mut wanted = Wanted::default();
            // An error says that a probe was cut short, as after a pause: the next one is whole.
            let _ = self.foca.handle_timer(timer, &mut wanted);
            self.take(now, wanted);
        }
    }

    /// Ends suspicions that the library has forgotten: one that comes back under a new identity drops its timers, and those
    /// that it suspected would stay so for ever. Held lost, they object if they live, before that counts.
    fn look(&mut self, now: Millis) {
        let suspects = self.foca.iter_members().filter(|member| member.state() == foca::State::Suspect);
        let suspects: BTreeMap<u64, foca::Member<Identity>> =
            suspects.map(|member| (member.id().folder, member.clone())).collect();
        self.suspected.retain(|folder, (_, id)| suspects.get(folder).is_some_and(|m| m.id() == id));
        for (folder, member) in suspects {
            let (since, id) = *self.suspected.entry(folder).or_insert((now, *member.id()));
            if now >= since + self.suspect + FORGOTTEN {
                let lost = foca::Member::new(id, member.incarnation(), foca::State::Down);
                let mut wanted = Wanted::default();
                // An error is one of writing into memory: it is looked at again.
                let _ = self.foca.apply_many(std::iter::once(lost), true, &mut wanted);
                self.take(now, wanted);
            }
        }
    }

    /// This sender had no time for longer than others have to answer: it may have missed their objections.
    fn doubt(&mut self, now: Millis) {
        self.suspected.clear();
        let suspects = |timer: &Timer<Identity>| matches!(timer, Timer::ChangeSuspectToDown { .. });
        let again = now + self.suspect;
        let early: Vec<_> = self
            .timers
            .iter()
            .filter(|((due, _), timer)| *due < again && suspects(timer))
            .map(|(key, _)| *key)
            .collect();
        for key in early {
            if let Some(timer) = self.timers.remove(&key) {
                self.timers.insert((again, key.1), timer);
            }
        }
    }

    /// Takes in what a peer says; false if it cannot be read.
    pub(crate) fn hear(&mut self, now: Millis, data: &[u8]) -> bool {
        let mut wanted = Wanted::default();
        let heard = self.foca.handle_data(data, &mut wanted);
        self.take(now, wanted);
        heard.is_ok()
    }

    /// Makes itself known to one.
    pub(crate) fn greet(&mut self, now: Millis, to: Identity) {
        let mut wanted = Wanted::default();
        // An error is one of writing into memory: nothing is greeted, and that is done again soon.
        let _ = self.foca.announce(to, &mut wanted);
        self.take(now, wanted);
    }

    /// Tells that it goes.
    pub(crate) fn leave(&mut self, now: Millis) {
        let mut wanted = Wanted::default();
        let _ = self.foca.leave_cluster(&mut wanted);
        self.take(now, wanted);
        self.timers.clear();
    }

    /// Members that answer, besides this one.
    pub(crate) fn answering(&self) -> impl Iterator<Item = &Identity> {
        self.foca.iter_members().map(|member| member.id())
    }

    fn state(&self, member: &foca::Member<Identity>) -> Health {
        let told = || self.lost.get(&member.id().folder).is_none_or(|lost| lost.told);
        match member.state() {
            foca::State::Alive => Health::Answers,
            foca::State::Down if told() => Health::Lost,
            foca::State::Suspect | foca::State::Down => Health::Suspected,
        }
    }

    /// What is known of those that are, or were, heard.
    pub(crate) fn health(&self) -> BTreeMap<u64, (u32, Health)> {
        let members = self.foca.iter_membership_state();
        members.map(|m| (m.id().folder, (m.id().incarnation, self.state(m)))).collect()
    }

    /// What is known of the one with that folder.
    pub(crate) fn health_of(&self, folder: u64) -> Option<Health> {
        let member = self.foca.iter_membership_state().find(|member| member.id().folder == folder)?;
        Some(self.state(member))
    }

    /// Since when the one with that folder is held lost.
    pub(crate) fn lost_since(&self, folder: u64) -> Option<Millis> {
        self.lost.get(&folder).map(|lost| lost.since)
    }
}
