//! What this sender tells of its fleet: who is announced to, who responds, and the view for operators.
use super::{Effect, Halt, Node, Notification};
use crate::Millis;
use crate::failure_view::{Health, Heard, MemberState, Row, View, ViewDigest};
use crate::member_list::{DepartedMember, Member};
use crate::wire::{Identity, Packet};
use rand::RngExt;

/// Members that are not heard are greeted this often, one at a time.
const GREET: Millis = 2_000;
/// The same while some of them are so new here that they could not be heard yet.
const GREET_FRESH: Millis = 250;
/// Former members in a view.
const GONE_SHOWN: usize = 16;
/// How long the start of SWIM may take until one that was never heard counts as lost, besides the time to object.
const LISTEN: Millis = 3_000;

impl Node {
    pub(super) fn greet(&mut self, now: Millis) {
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
    pub(super) fn after_watch(&mut self, _now: Millis) {
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
    pub fn departed(&self) -> impl Iterator<Item = &DepartedMember> {
        self.member_list.iter().flat_map(|member_list| member_list.departed.iter().rev()).take(GONE_SHOWN)
    }
}
