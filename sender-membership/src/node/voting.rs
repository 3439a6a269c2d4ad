//! This sender's work as a voter, its proposals to the voters, and the choice of the voters.
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

/// Shortest time between two changes of the group of voters.
const GROUP_CHANGE_DELAY: Millis = 4_000;
/// Changes after which a group of voters is replaced by a new one, which starts with an empty log.
const MAX_GROUP_CHANGES: usize = 256;
/// Log entries that may wait for a majority; further proposals are dropped.
const MAX_PENDING_ENTRIES: usize = 64;

impl Node {
    /// Proposes the changes of pending commands, and this sender's start if it is not agreed on yet.
    pub(super) fn propose_own_changes(&mut self) {
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
            // A voter that is partitioned from its group may still reach another voter that is not.
            if self.voter.is_some() && self.rng.random_range(0..2) == 0 {
                self.propose_to_voters(&change);
            } else if let Some(address) = self.random_voter() {
                self.send(address, Packet::Propose(change));
            }
        }
    }

    /// Address of a random other voter, mostly of one that answers.
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

    /// Whether the member list already reflects a change.
    pub(super) fn is_applied(&self, change: &Change) -> bool {
        let Some(member_list) = &self.member_list else { return false };
        match change {
            Change::Start { folder, incarnation, boot, .. } => member_list
                .members
                .get(folder)
                .is_some_and(|member| member.incarnation == *incarnation && member.boot == *boot),
            Change::Leaving { folder } => member_list.members.get(folder).is_none_or(|member| member.leaving),
            Change::Departure { folder, .. } => !member_list.members.contains_key(folder),
            Change::Voters { .. } => false,
        }
    }

    /// Proposes a change to the group, unless it has no effect or is not allowed.
    pub(super) fn propose_to_voters(&mut self, change: &Change) {
        let Some(member_list) = &self.member_list else { return };
        let allowed = match change {
            Change::Start { folder, incarnation, info, .. } => {
                let known =
                    member_list.members.get(folder).is_some_and(|member| member.incarnation >= *incarnation);
                // Another member keeps the name as long as it is not lost and has another address.
                let holder = member_list.folder_by_name(&info.name).filter(|holder| holder != folder);
                let taken = holder.is_some_and(|holder| {
                    let other_address = member_list
                        .members
                        .get(&holder)
                        .is_some_and(|member| member.info.address != info.address);
                    let lost = self.failure_detector.health_of(holder) == Some(Health::Lost);
                    other_address && (holder == self.folder || !lost)
                });
                !known && !taken && member_list.departure_of(*folder).is_none()
            }
            Change::Leaving { .. } | Change::Departure { .. } => !self.is_applied(change),
            // Only the leader of the voters changes their group.
            Change::Voters { .. } => false,
        };
        let applied = member_list.changes_in_group();
        if let Some(voter) = &mut self.voter
            && allowed
            && voter.pending_entries(applied) < MAX_PENDING_ENTRIES
        {
            voter.propose(change.clone());
        }
    }

    /// Reports a failed write to disk. Other voters must not rely on state that is not on disk, so this sender stops being a
    /// voter until the disk works again.
    pub fn disk_failed(&mut self) {
        self.disk_broken = true;
        self.stored_voter = None;
        if self.voter.take().is_some() {
            self.effects.push(Effect::Notify(Notification::Voter(None)));
        }
    }

    /// Reports that the disk works again, with the voter's log that it holds.
    pub fn reloaded(&mut self, now: Millis, voter: Option<VoterState>) {
        if std::mem::take(&mut self.disk_broken) {
            self.stored_voter = voter;
            // The full list includes the changes that could not be written meanwhile.
            let full_list = self
                .member_list
                .clone()
                .map(|member_list| Effect::Persist(Record::MemberList(Box::new(member_list))));
            self.effects.extend(full_list);
            self.member_list_changed(now, None);
            self.process_voter(now);
        }
    }

    /// Moves the output of the voter to the effects: its records, then its messages. Then applies the decided changes.
    pub(super) fn process_voter(&mut self, now: Millis) {
        loop {
            let Some(voter) = &mut self.voter else { return };
            let group = voter.group;
            let persist: Vec<Effect> = voter
                .take_records()
                .into_iter()
                .map(|record| Effect::Persist(Record::Voter(record)))
                .collect();
            let messages = voter.take_messages();
            let Some(member_list) = &self.member_list else { return };
            let decided = if member_list.group == group {
                voter.decided(member_list.changes_in_group())
            } else {
                Vec::new()
            };
            let persist_late = self.settings.injected_faults.tells_before_disk;
            if !persist_late {
                self.effects.extend(persist.iter().cloned());
            }
            self.send_voter_messages(group, messages);
            if persist_late {
                self.effects.extend(persist);
            }
            if decided.is_empty() {
                return;
            }
            for change in decided {
                self.apply_change(now, change);
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

    /// Answering members that could become voters in addition to `existing`, in order of preference: those of failure domains
    /// and zones with the fewest voters come first.
    pub(super) fn candidates(&self, existing: &[u64]) -> Vec<u64> {
        let Some(member_list) = &self.member_list else { return Vec::new() };
        let health = self.failure_detector.health();
        let answers = |folder: &u64| {
            *folder == self.folder || health.get(folder).is_some_and(|(_, health)| *health == Health::Answers)
        };
        let mut chosen: Vec<u64> = existing.to_vec();
        let mut remaining: Vec<u64> = member_list
            .members
            .iter()
            .filter(|(folder, member)| answers(folder) && !member.leaving && !existing.contains(folder))
            .map(|(folder, _)| *folder)
            .collect();
        let mut ranked = Vec::new();
        while !remaining.is_empty() && ranked.len() < self.settings.voters {
            let count_sharing = |folder: &u64, label: fn(&Info) -> &String| {
                let label_of =
                    |folder: &u64| member_list.members.get(folder).map(|member| label(&member.info));
                chosen.iter().filter(|other| label_of(other) == label_of(folder)).count()
            };
            let rank = |folder: &u64| {
                let number = member_list.members.get(folder).map_or(u32::MAX, |member| member.number);
                (
                    count_sharing(folder, |info| &info.machine),
                    count_sharing(folder, |info| &info.zone),
                    number,
                )
            };
            let Some(index) = (0..remaining.len()).min_by_key(|index| rank(&remaining[*index])) else {
                break;
            };
            let best = remaining.swap_remove(index);
            chosen.push(best);
            ranked.push(best);
        }
        ranked
    }

    /// The group that the leader aims for: without voters that departed, are leaving or have been down for long, up to the
    /// configured size, spread over as many zones as possible.
    fn target_group(&self, now: Millis) -> Option<Vec<u64>> {
        let member_list = self.member_list.as_ref()?;
        let is_down = |folder: &u64| {
            *folder != self.folder
                && self
                    .failure_detector
                    .down_since(*folder)
                    .is_some_and(|since| now >= since + self.settings.replace_voter_after)
        };
        let is_staying = |folder: &u64| member_list.members.get(folder).is_some_and(|member| !member.leaving);
        let size = self.settings.voters.min(member_list.members.len());
        let size = if size > 2 && size.is_multiple_of(2) { size - 1 } else { size };
        let mut group: Vec<u64> =
            member_list.voters.iter().filter(|folder| is_staying(folder)).copied().collect();
        let candidates = self.candidates(&group);
        let mut replacements = candidates.into_iter();
        // A voter that is down is only replaced by a member that answers: a smaller group is no safer.
        for voter in &mut group {
            if is_down(voter)
                && let Some(replacement) = replacements.next()
            {
                *voter = replacement;
            }
        }
        while group.len() < size
            && let Some(addition) = replacements.next()
        {
            group.push(addition);
        }
        while group.len() > size.max(2) {
            let worst = group.iter().position(is_down).unwrap_or(group.len() - 1);
            group.remove(worst);
        }
        self.spread_over_zones(&mut group);
        Some(group)
    }

    /// Replaces one voter of a zone with several voters by a candidate of a zone without any.
    fn spread_over_zones(&self, group: &mut [u64]) {
        let Some(member_list) = &self.member_list else { return };
        let zone = |folder: &u64| member_list.members.get(folder).map(|member| member.info.zone.as_str());
        let replacement = self
            .candidates(group)
            .into_iter()
            .find(|candidate| !group.iter().any(|voter| zone(voter) == zone(candidate)));
        let crowded = group.iter().rposition(|voter| {
            *voter != self.folder && group.iter().filter(|other| zone(other) == zone(voter)).count() > 1
        });
        if let (Some(replacement), Some(index)) = (replacement, crowded) {
            group[index] = replacement;
        }
    }

    /// Proposes the departure of members that announced to leave and are lost: their processes ended before they could
    /// propose it themselves, and no other member does.
    fn complete_leaves(&mut self) {
        let Some(member_list) = &self.member_list else { return };
        let is_lost = |folder: &u64| self.failure_detector.health_of(*folder) == Some(Health::Lost);
        let leaving = member_list.members.iter().filter(|(folder, member)| member.leaving && is_lost(folder));
        let ended: Vec<u64> = leaving.map(|(folder, _)| *folder).collect();
        for folder in ended {
            self.propose_to_voters(&Change::Departure { folder, why: Departure::Left });
        }
    }

    pub(super) fn check_group(&mut self, now: Millis) {
        if now < self.group_changed_at + GROUP_CHANGE_DELAY
            || !self.voter.as_ref().is_some_and(Voter::is_leader)
        {
            return;
        }
        if self.settings.injected_faults.removes_the_silent {
            let Some(member_list) = &self.member_list else { return };
            let silent = member_list
                .members
                .keys()
                .find(|folder| self.failure_detector.down_since(**folder).is_some());
            if let (Some(folder), Some(voter)) = (silent.copied(), &mut self.voter) {
                voter.propose(Change::Departure { folder, why: Departure::Removed });
            }
        }
        self.complete_leaves();
        let Some(target) = self.target_group(now) else { return };
        let Some(member_list) = &self.member_list else { return };
        let differs = target.iter().any(|folder| !member_list.voters.contains(folder))
            || target.len() != member_list.voters.len();
        let log_is_long = member_list.changes_in_group() >= MAX_GROUP_CHANGES;
        if target.len() >= 2
            && (differs || log_is_long)
            && let Some(voter) = &mut self.voter
            && voter.end_group(&target)
        {
            self.group_changed_at = now;
        }
    }
}
