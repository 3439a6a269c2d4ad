//! Announcements to members that do not answer, events of the failure detector, and the view for operators.
use super::{Effect, Halt, Node, Notification};
use crate::Millis;
use crate::failure_view::{Health, HealthChange, MemberState, Row, View, ViewDigest};
use crate::member_list::{DepartedMember, Member};
use crate::wire::{Identity, Packet};
use rand::RngExt;

/// Interval at which this sender announces itself to one of the members that do not answer.
const ANNOUNCE_INTERVAL: Millis = 2_000;
/// The same interval while some of these members are so new that they cannot have answered yet.
const NEW_MEMBER_ANNOUNCE_INTERVAL: Millis = 250;
/// Departed members that operators are shown.
const MAX_DEPARTED_SHOWN: usize = 16;
/// Time, in addition to the suspicion timeout, until a member that has never answered counts as lost: SWIM needs it to start.
const DETECTION_START_TIME: Millis = 3_000;

impl Node {
    pub(super) fn announce_to_unheard(&mut self, now: Millis) {
        self.next_announce = now + ANNOUNCE_INTERVAL;
        let Some(member_list) = &self.member_list else { return };
        let health = self.failure_detector.health();
        let is_unheard = |folder: &u64, incarnation: u32| {
            *folder != self.folder
                && health
                    .get(folder)
                    .is_none_or(|(known, health)| *health == Health::Lost || *known < incarnation)
        };
        let unheard: Vec<Identity> = member_list
            .members
            .iter()
            .filter(|(folder, member)| is_unheard(folder, member.incarnation))
            .map(|(folder, member)| Identity {
                folder: *folder,
                incarnation: member.incarnation,
                renewals: 0,
                address: member.info.address,
            })
            .collect();
        // New members should get the chance to answer before they count as lost, even if there are many, as after the start of a whole fleet.
        let some_are_new =
            unheard.iter().any(|id| !health.contains_key(&id.folder) && self.is_newly_known(id.folder, now));
        self.next_announce =
            now + if some_are_new { NEW_MEMBER_ANNOUNCE_INTERVAL } else { ANNOUNCE_INTERVAL };
        if unheard.is_empty() {
            return;
        }
        // Other members may reach those that this sender cannot: they answer an announcement with the members that answer them.
        let answering: Vec<Identity> = self.failure_detector.answering().copied().collect();
        let ask_others = !answering.is_empty() && self.rng.random_range(0..2) == 0;
        let targets = if ask_others { &answering } else { &unheard };
        let target = targets[self.rng.random_range(0..targets.len())];
        self.failure_detector.announce_to(now, target);
        self.process_failure_detector(now);
    }

    /// Sends the packets of the failure detector and reports its changes.
    pub(super) fn process_failure_detector(&mut self, _now: Millis) {
        let Some(fleet) = self.member_list.as_ref().map(|member_list| member_list.fleet) else { return };
        for (to, data) in std::mem::take(&mut self.failure_detector.sends) {
            self.send(to.address, Packet::Swim { fleet, data });
        }
        for change in std::mem::take(&mut self.failure_detector.changes) {
            let name = |id: &Identity| {
                let member =
                    self.member_list.as_ref().and_then(|member_list| member_list.members.get(&id.folder));
                member.map_or_else(|| format!("folder {:016x}", id.folder), |member| member.info.name.clone())
            };
            let (id, health) = match change {
                HealthChange::Up(id) => (id, Health::Answers),
                HealthChange::Down(id) => (id, Health::Lost),
                HealthChange::Returned(id) => {
                    self.effects.push(Effect::Notify(Notification::Returned(id.renewals)));
                    continue;
                }
            };
            let before = self.reported_health.insert(id.folder, health).unwrap_or(Health::Unknown);
            let notification =
                Notification::Health { name: name(&id), before, now: health, incarnation: id.incarnation };
            self.effects.push(Effect::Notify(notification));
        }
    }

    /// Whether a member that has never answered is still within its grace period, which starts when this sender learns of the
    /// member or when its failure detector starts, whichever is later.
    fn is_newly_known(&self, folder: u64, now: Millis) -> bool {
        let detecting_since = self.detecting_since.unwrap_or(self.started_at);
        let since =
            self.known_since.get(&folder).map_or(detecting_since, |(_, known)| detecting_since.max(*known));
        now < since + DETECTION_START_TIME + self.settings.suspect
    }

    /// Current members in the order of their folder IDs, with state and health.
    fn members_with_health(&self, now: Millis) -> impl Iterator<Item = (u64, &Member, MemberState, Health)> {
        let health = self.failure_detector.health();
        self.member_list.iter().flat_map(|member_list| &member_list.members).map(move |(folder, member)| {
            let is_own = *folder == self.folder;
            // The health of an earlier process of the member says nothing about the current one.
            let detected = health.get(folder).filter(|(incarnation, _)| *incarnation >= member.incarnation);
            let state = match (is_own && !self.confirmed(), member.leaving) {
                (true, _) => MemberState::Joining,
                (false, true) => MemberState::Leaving,
                (false, false) => MemberState::Active,
            };
            let health = match detected {
                _ if is_own && self.halted.is_none() => Health::Answers,
                Some((_, health)) => *health,
                // The failure detector starts once this sender is an agreed member.
                None if self.detecting_since.is_none() => Health::Unknown,
                // A new member cannot have answered yet.
                None if self.is_newly_known(*folder, now) => Health::Unknown,
                None => Health::Lost,
            };
            (*folder, member, state, health)
        })
    }

    /// Digest of the view. Senders with equal digests see the same members with the same states and health.
    pub fn view_digest(&self, now: Millis) -> ViewDigest {
        let mut hasher = crc32fast::Hasher::new();
        for (folder, member, state, health) in self.members_with_health(now) {
            hasher.update(&folder.to_le_bytes());
            hasher.update(&member.incarnation.to_le_bytes());
            hasher.update(&[state as u8, health as u8]);
        }
        let member_list = self.member_list.as_ref();
        ViewDigest {
            fleet: member_list.map(|member_list| member_list.fleet),
            epoch: member_list.map_or(0, |member_list| member_list.epoch),
            number: member_list.map_or(0, |member_list| member_list.number),
            confirmed: self.confirmed(),
            halted: self.halted.is_some(),
            view: hasher.finalize(),
        }
    }

    /// The fleet as this sender sees it.
    pub fn view(&self, now: Millis) -> View {
        let voters = self.member_list.as_ref().map_or(&[][..], |member_list| &member_list.voters);
        let mut members: Vec<Row> = self
            .members_with_health(now)
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
            age_ms: self.last_seen.map(|seen| now.saturating_sub(seen)),
            voters_answering,
            voters,
            confirmed: self.confirmed(),
            halted: self.halted.as_ref().map(Halt::to_string),
            members,
        }
    }

    /// The most recently departed members, the latest first.
    pub fn departed(&self) -> impl Iterator<Item = &DepartedMember> {
        self.member_list
            .iter()
            .flat_map(|member_list| member_list.departed.iter().rev())
            .take(MAX_DEPARTED_SHOWN)
    }
}
