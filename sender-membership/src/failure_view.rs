//! Failure detection with SWIM and suspicion, by the library `foca`. Its results are estimates and never change the member
//! list (V3). In addition to the library it has a form of local health awareness: a sender that was itself short of CPU time
//! restarts the timeouts of the members that it suspects (V2).
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

/// Bytes of a datagram that are reserved for the envelope.
const ENVELOPE_BYTES: usize = 120;
/// Members that receive gossip in each round, and the interval of the rounds.
const GOSSIP_FANOUT: usize = 3;
const GOSSIP_INTERVAL: Millis = 300;
/// Transmissions of each update: enough for ten thousand members by SWIM's rule, 4 log10(n).
const MAX_TRANSMISSIONS: u8 = 16;
/// How long a member that is down is remembered.
const DOWN_RETENTION: Duration = Duration::from_secs(600);
/// About how many members, in total, contact a member that was declared down, so that it can refute that.
const MAX_CONFIRMING_PEERS: u64 = 8;
/// Interval of the check for overdue suspicions, and the time past its deadline at which a suspicion counts as dropped by
/// the library.
const SUSPECT_CHECK_INTERVAL: Millis = 1_000;
const SUSPECT_GRACE: Millis = 500;
/// Interval at which each sender announces itself to a member that is down.
const DOWN_ANNOUNCE_INTERVAL: Millis = 4_000;

/// Estimate of this sender whether a member answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    /// It answers this sender or others.
    Answers,
    /// It missed a probe and has not refuted the suspicion yet.
    Suspected,
    /// It did not refute the suspicion in time.
    Lost,
    /// This sender has not listened for long enough to tell.
    Unknown,
}

/// State of a member in the agreed member list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// Its start is not agreed on yet.
    Joining,
    /// It is a member.
    #[serde(rename = "in")]
    Active,
    /// It announced that it leaves.
    Leaving,
    /// It is no longer a member.
    #[serde(rename = "gone")]
    Departed,
}

/// One member in a [`View`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize)]
pub struct Row {
    /// Unique in the fleet.
    pub name: String,
    /// Number within the fleet, never reused.
    pub number: u32,
    /// Number of process starts on its data folder.
    pub incarnation: u32,
    /// State in the agreed member list.
    #[serde(rename = "standing")]
    pub state: MemberState,
    /// Estimate of the failure detector.
    pub health: Health,
    /// Whether it belongs to the current group of voters.
    #[serde(rename = "keeper")]
    pub voter: bool,
    /// Availability zone.
    pub zone: String,
    /// Label of its failure domain.
    pub machine: String,
    /// Version of its program.
    pub version: String,
    /// Address at which peers reach it.
    pub address: SocketAddr,
}

/// The fleet as one sender sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct View {
    /// Random ID of the fleet; `None` while this sender belongs to no fleet.
    pub fleet: Option<u64>,
    /// Epoch of the member list: 1 at the founding, one more for each recovery by an operator.
    pub epoch: u32,
    /// Number of the member list.
    pub number: u64,
    /// Milliseconds since the last packet of another member; `None` before the first one.
    pub age_ms: Option<Millis>,
    /// Voters that answer, including this sender: no change is agreed on without a majority.
    #[serde(rename = "keepers_answering")]
    pub voters_answering: usize,
    /// Size of the group of voters.
    #[serde(rename = "keepers")]
    pub voters: usize,
    /// Whether the voters agreed on this sender's own start.
    pub confirmed: bool,
    /// Why this sender stopped taking part in the fleet; `None` while it takes part.
    pub halted: Option<String>,
    /// Current members, ordered by number.
    pub members: Vec<Row>,
}

/// Digest of a [`View`], to compare the views of many senders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
pub struct ViewDigest {
    /// Random ID of the fleet; `None` while this sender belongs to no fleet.
    pub fleet: Option<u64>,
    /// Epoch of the member list.
    pub epoch: u32,
    /// Number of the member list.
    pub number: u64,
    /// Whether the voters agreed on this sender's own start.
    pub confirmed: bool,
    /// Whether this sender stopped taking part in the fleet.
    pub halted: bool,
    /// Checksum of all members with their states and health.
    pub view: u32,
}

/// The output of one call of `foca`.
#[derive(Default)]
struct FocaOutput {
    sends: Vec<(Identity, Vec<u8>)>,
    timers: Vec<(Timer<Identity>, Duration)>,
    changes: Vec<HealthChange>,
}

/// A change that the failure detector reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthChange {
    Up(Identity),
    Down(Identity),
    /// Others declared this sender down, and it rejoined with this identity.
    Returned(Identity),
}

impl Runtime<Identity> for FocaOutput {
    fn notify(&mut self, notification: Notification<'_, Identity>) {
        match notification {
            Notification::MemberUp(id) => self.changes.push(HealthChange::Up(*id)),
            Notification::MemberDown(id) => self.changes.push(HealthChange::Down(*id)),
            Notification::Rejoin(id) => self.changes.push(HealthChange::Returned(*id)),
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

/// A member that the library declared down.
struct DownMember {
    since: Millis,
    id: Identity,
    /// Number of announcements that this sender sent so that the member can refute its state.
    announcements: u8,
    /// Whether the member was reported as lost.
    reported: bool,
}

impl DownMember {
    /// When the next announcement to the member, or its report as lost, is due. After half of the delay most senders have
    /// received a refutation; the others, which lost too many datagrams, contact the member themselves, up to twice.
    fn next_due(&self, confirmation_delay: Millis) -> Option<Millis> {
        let delay = [confirmation_delay / 2, confirmation_delay * 3 / 4]
            .get(usize::from(self.announcements))
            .copied()
            .unwrap_or(confirmation_delay);
        (!self.reported).then_some(self.since + delay)
    }
}

/// Wraps `foca` and turns its output into packets to send and changes to report.
pub(crate) struct FailureDetector {
    foca: Foca<Identity, PostcardCodec, ChaCha8Rng, NoCustomBroadcast>,
    timers: BTreeMap<(Millis, u64), Timer<Identity>>,
    /// Number of timers so far: the second part of a timer's key.
    timer_count: u64,
    suspicion_timeout: Millis,
    answer_timeout: Millis,
    confirmation_delay: Millis,
    down_members: BTreeMap<u64, DownMember>,
    /// Suspected members by folder ID, with the time at which the suspicion was first seen.
    suspected: BTreeMap<u64, (Millis, Identity)>,
    next_suspect_check: Millis,
    pub(crate) sends: Vec<(Identity, Vec<u8>)>,
    pub(crate) changes: Vec<HealthChange>,
}

fn periodic(interval: Millis, members: usize) -> Option<PeriodicParams> {
    let num_members = NonZeroUsize::new(members)?;
    Some(PeriodicParams { frequency: Duration::from_millis(interval), num_members })
}

impl FailureDetector {
    pub(crate) fn new(own: Identity, settings: &Settings, rng: ChaCha8Rng) -> Self {
        let config = Config {
            probe_period: Duration::from_millis(settings.probe_interval),
            probe_rtt: Duration::from_millis(settings.answer_timeout),
            num_indirect_probes: NonZeroUsize::new(GOSSIP_FANOUT).unwrap_or(NonZeroUsize::MIN),
            max_transmissions: NonZeroU8::new(MAX_TRANSMISSIONS).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: Duration::from_millis(settings.suspect),
            remove_down_after: Some(DOWN_RETENTION),
            max_packet_size: NonZeroUsize::new(crate::MAX_DATAGRAM_BYTES - ENVELOPE_BYTES)
                .unwrap_or(NonZeroUsize::MIN),
            notify_down_members: true,
            periodic_announce: None,
            periodic_announce_to_down_members: periodic(DOWN_ANNOUNCE_INTERVAL, 1),
            periodic_gossip: periodic(GOSSIP_INTERVAL, GOSSIP_FANOUT),
        };
        Self {
            foca: Foca::new(own, config, rng, PostcardCodec),
            timers: BTreeMap::new(),
            timer_count: 0,
            suspicion_timeout: settings.suspect,
            answer_timeout: settings.answer_timeout,
            confirmation_delay: settings.confirm,
            down_members: BTreeMap::new(),
            suspected: BTreeMap::new(),
            next_suspect_check: 0,
            sends: Vec::new(),
            changes: Vec::new(),
        }
    }

    pub(crate) fn identity(&self) -> Identity {
        *self.foca.identity()
    }

    pub(crate) fn next_due(&self) -> Option<Millis> {
        let timer = self.timers.first_key_value().map(|((due, _), _)| *due);
        let down = self.down_members.values().filter_map(|down| down.next_due(self.confirmation_delay)).min();
        timer.into_iter().chain(down).min()
    }

    fn apply_output(&mut self, now: Millis, output: FocaOutput) {
        for (timer, after) in output.timers {
            self.timer_count += 1;
            let after = u64::try_from(after.as_millis()).unwrap_or(u64::MAX);
            self.timers.insert((now.saturating_add(after), self.timer_count), timer);
        }
        let mut newly_down = Vec::new();
        for change in &output.changes {
            match change {
                // A member that was never reported as lost needs no report of its return.
                HealthChange::Up(id) => match self.down_members.remove(&id.folder) {
                    Some(DownMember { reported: false, .. }) => {}
                    _ => self.changes.push(*change),
                },
                HealthChange::Down(id) => {
                    self.down_members.entry(id.folder).or_insert(DownMember {
                        since: now,
                        id: *id,
                        announcements: 0,
                        reported: false,
                    });
                    newly_down.push(*id);
                }
                HealthChange::Returned(_) => self.changes.push(*change),
            }
        }
        self.sends.extend(output.sends);
        // Members stop sending to a member that is down, so it would not learn soon that it has to refute its state. A few
        // senders therefore announce themselves to it.
        let members = self.foca.num_members() as u64 + 1;
        for id in newly_down {
            if (id.folder ^ self.identity().folder).wrapping_add(now) % members < MAX_CONFIRMING_PEERS {
                self.announce_to(now, id);
            }
        }
    }

    /// Handles everything that is due. The host must pass in all received packets first.
    pub(crate) fn tick(&mut self, now: Millis) {
        let due = self.timers.first_key_value().map(|((due, _), _)| *due);
        if due.is_some_and(|due| now > due + self.answer_timeout) {
            self.extend_suspicions(now);
        }
        if now >= self.next_suspect_check {
            self.next_suspect_check = now + SUSPECT_CHECK_INTERVAL;
            self.check_suspects(now);
        }
        let mut to_contact = Vec::new();
        for down in self.down_members.values_mut() {
            if down.next_due(self.confirmation_delay).is_none_or(|due| now < due) {
                continue;
            }
            if now >= down.since + self.confirmation_delay {
                down.reported = true;
                self.changes.push(HealthChange::Down(down.id));
            } else {
                down.announcements += 1;
                to_contact.push(down.id);
            }
        }
        to_contact.into_iter().for_each(|id| self.announce_to(now, id));
        while let Some(entry) = self.timers.first_entry()
            && entry.key().0 <= now
        {
            let timer = entry.remove();
            let mut output = FocaOutput::default();
            // An error means that a probe did not complete, as after a pause of the process; the next probe is unaffected.
            let _ = self.foca.handle_timer(timer, &mut output);
            self.apply_output(now, output);
        }
    }

    /// Ends suspicions whose timers the library lost: a sender that rejoins under a new identity drops its timers, and the
    /// members that it suspected would stay suspected forever. Declaring them down lets live ones refute that before they
    /// are reported as lost.
    fn check_suspects(&mut self, now: Millis) {
        let suspects = self.foca.iter_members().filter(|member| member.state() == foca::State::Suspect);
        let suspects: BTreeMap<u64, foca::Member<Identity>> =
            suspects.map(|member| (member.id().folder, member.clone())).collect();
        self.suspected.retain(|folder, (_, id)| suspects.get(folder).is_some_and(|member| member.id() == id));
        for (folder, member) in suspects {
            let (since, id) = *self.suspected.entry(folder).or_insert((now, *member.id()));
            if now >= since + self.suspicion_timeout + SUSPECT_GRACE {
                let down = foca::Member::new(id, member.incarnation(), foca::State::Down);
                let mut output = FocaOutput::default();
                // An error can only be one of encoding into memory; the next check tries again.
                let _ = self.foca.apply_many(std::iter::once(down), true, &mut output);
                self.apply_output(now, output);
            }
        }
    }

    /// Restarts the timeouts of all suspicions. Called when this sender had no CPU time for longer than members have to
    /// answer, so that it may have missed refutations.
    fn extend_suspicions(&mut self, now: Millis) {
        self.suspected.clear();
        let is_suspicion = |timer: &Timer<Identity>| matches!(timer, Timer::ChangeSuspectToDown { .. });
        let deadline = now + self.suspicion_timeout;
        let early: Vec<_> = self
            .timers
            .iter()
            .filter(|((due, _), timer)| *due < deadline && is_suspicion(timer))
            .map(|(key, _)| *key)
            .collect();
        for key in early {
            if let Some(timer) = self.timers.remove(&key) {
                self.timers.insert((deadline, key.1), timer);
            }
        }
    }

    /// Handles a message of a peer; returns false if the library rejects it.
    pub(crate) fn handle_data(&mut self, now: Millis, data: &[u8]) -> bool {
        let mut output = FocaOutput::default();
        let result = self.foca.handle_data(data, &mut output);
        self.apply_output(now, output);
        result.is_ok()
    }

    /// Announces this sender to a peer, which answers with the members that it knows to be alive.
    pub(crate) fn announce_to(&mut self, now: Millis, to: Identity) {
        let mut output = FocaOutput::default();
        // An error can only be one of encoding into memory; the announcement is repeated soon.
        let _ = self.foca.announce(to, &mut output);
        self.apply_output(now, output);
    }

    /// Tells some members that this sender leaves, and stops all timers.
    pub(crate) fn leave(&mut self, now: Millis) {
        let mut output = FocaOutput::default();
        let _ = self.foca.leave_cluster(&mut output);
        self.apply_output(now, output);
        self.timers.clear();
    }

    /// Other members that are alive or suspected.
    pub(crate) fn answering(&self) -> impl Iterator<Item = &Identity> {
        self.foca.iter_members().map(foca::Member::id)
    }

    fn health_of_member(&self, member: &foca::Member<Identity>) -> Health {
        let reported = || self.down_members.get(&member.id().folder).is_none_or(|down| down.reported);
        match member.state() {
            foca::State::Alive => Health::Answers,
            foca::State::Down if reported() => Health::Lost,
            foca::State::Suspect | foca::State::Down => Health::Suspected,
        }
    }

    /// Incarnation and health of all members that the failure detector knows, by folder ID.
    pub(crate) fn health(&self) -> BTreeMap<u64, (u32, Health)> {
        let members = self.foca.iter_membership_state();
        members
            .map(|member| (member.id().folder, (member.id().incarnation, self.health_of_member(member))))
            .collect()
    }

    /// Health of the member with this folder ID; `None` if the failure detector does not know it.
    pub(crate) fn health_of(&self, folder: u64) -> Option<Health> {
        let member = self.foca.iter_membership_state().find(|member| member.id().folder == folder)?;
        Some(self.health_of_member(member))
    }

    /// Since when the member with this folder ID has been down.
    pub(crate) fn down_since(&self, folder: u64) -> Option<Millis> {
        self.down_members.get(&folder).map(|down| down.since)
    }
}
