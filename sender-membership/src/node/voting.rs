//! This sender's work as a voter, what it asks of the voters, and who is to be one.
use super::{Effect, Node, Notification};
use crate::Millis;
use crate::disk::{Record, VoterState};
use crate::failure_view::Health;
use crate::member_list::{Change, Departure, Info};
use crate::voter::Voter;
use crate::wire::Packet;
use omnipaxos::messages::Message;
use rand::RngExt;
use std::net::SocketAddr;

const GROUP_CHANGE_DELAY: Millis = 4_000;
/// A group of voters that has agreed on so many steps begins anew, with an empty log.
const MAX_GROUP_STEPS: usize = 256;
/// Steps that may wait for a majority.
const MAX_PENDING_STEPS: usize = 64;

impl Node {
    pub(super) fn propose_own(&mut self) {
        let mut changes: Vec<Change> =
            self.pending_commands.iter().map(|command| command.change.clone()).collect();
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
        let answers = |folder: u64| self.failure_detector.health_of(folder) == Some(Health::Answers);
        let answering: Vec<_> = voters.iter().filter(|(folder, _)| answers(*folder)).collect();
        if !answering.is_empty() && self.rng.random_range(0..4) > 0 {
            return Some(answering[self.rng.random_range(0..answering.len())].1);
        }
        (!voters.is_empty()).then(|| voters[self.rng.random_range(0..voters.len())].1)
    }

    /// Whether the member list here has what a step asks for.
    pub(super) fn agreed_already(&self, change: &Change) -> bool {
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
    pub(super) fn propose_to_voters(&mut self, change: &Change) {
        let Some(member_list) = &self.member_list else { return };
        let wanted = match change {
            Change::Start { folder, incarnation, info, .. } => {
                let known = member_list.members.get(folder).is_some_and(|m| m.incarnation >= *incarnation);
                // Another one has the name: while that one answers, from another address, it keeps it.
                let holder = member_list.folder_of(&info.name).filter(|holder| holder != folder);
                let taken = holder.is_some_and(|holder| {
                    let elsewhere =
                        member_list.members.get(&holder).is_some_and(|m| m.info.address != info.address);
                    let lost = self.failure_detector.health_of(holder) == Some(Health::Lost);
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
            && voter.waiting(in_group) < MAX_PENDING_STEPS
        {
            voter.propose(change.clone());
        }
    }

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
    pub fn reloaded(&mut self, now: Millis, voter: Option<VoterState>) {
        if std::mem::take(&mut self.disk_broken) {
            self.stored_voter = voter;
            // What was not written meanwhile stands in it.
            let whole = self
                .member_list
                .clone()
                .map(|member_list| Effect::Persist(Record::MemberList(Box::new(member_list))));
            self.effects.extend(whole);
            self.member_list_changed(now, None);
            self.process_voter(now);
        }
    }

    /// Writes, steps agreed on, and messages of the voter, in this order.
    pub(super) fn process_voter(&mut self, now: Millis) {
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

    pub(super) fn voters_answering(&self) -> (usize, usize) {
        let Some(member_list) = &self.member_list else { return (0, 0) };
        let answers = |folder: &&u64| {
            **folder == self.folder
                || matches!(
                    self.failure_detector.health_of(**folder),
                    Some(Health::Answers | Health::Suspected)
                )
        };
        (member_list.voters.iter().filter(answers).count(), member_list.voters.len())
    }

    /// Members that answer and could be voters beside those, the best first: of zones and machines that have none.
    pub(super) fn candidates(&self, beside: &[u64]) -> Vec<u64> {
        let Some(member_list) = &self.member_list else { return Vec::new() };
        let health = self.failure_detector.health();
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
                    .failure_detector
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

    /// Has the group agree that those are gone who were leaving and do not answer any more: they ended before they could ask
    /// for that themselves, and nobody else would.
    fn complete_leaves(&mut self) {
        let Some(member_list) = &self.member_list else { return };
        let is_gone = |folder: &u64| self.failure_detector.health_of(*folder) == Some(Health::Lost);
        let leaving = member_list.members.iter().filter(|(folder, member)| member.leaving && is_gone(folder));
        let gone: Vec<u64> = leaving.map(|(folder, _)| *folder).collect();
        for folder in gone {
            self.propose_to_voters(&Change::Departure { folder, why: Departure::Left });
        }
    }

    pub(super) fn check_group(&mut self, now: Millis) {
        if now < self.settled_at + GROUP_CHANGE_DELAY || !self.voter.as_ref().is_some_and(Voter::leads) {
            return;
        }
        if self.settings.injected_faults.removes_the_silent {
            let Some(member_list) = &self.member_list else { return };
            let silent = member_list
                .members
                .keys()
                .find(|folder| self.failure_detector.lost_since(**folder).is_some());
            if let (Some(folder), Some(voter)) = (silent.copied(), &mut self.voter) {
                voter.propose(Change::Departure { folder, why: Departure::Removed });
            }
        }
        self.complete_leaves();
        let Some(wanted) = self.wanted_group(now) else { return };
        let Some(member_list) = &self.member_list else { return };
        let differs = wanted.iter().any(|folder| !member_list.voters.contains(folder))
            || wanted.len() != member_list.voters.len();
        let long = member_list.in_group() >= MAX_GROUP_STEPS;
        if wanted.len() >= 2
            && (differs || long)
            && let Some(voter) = &mut self.voter
            && voter.end_group(&wanted)
        {
            self.settled_at = now;
        }
    }
}
