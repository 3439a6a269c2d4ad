//! Dissemination of the member list between peers, and the reaction to a new version of it.
use super::{Effect, Halt, Node, Notification};
use crate::Millis;
use crate::disk::Record;
use crate::member_list::{Change, Departure, MemberList};
use crate::voter::Voter;
use crate::wire::{Identity, Packet};
use rand::RngExt;
use std::net::SocketAddr;

/// Shortest interval between two requests for the member list.
const MIN_PULL_INTERVAL: Millis = 250;
/// Time for which a voter may be behind other members before it asks its leader to resend.
const LAG_TIMEOUT: Millis = 1_500;
/// Every third time that a voter is still behind after [`LAG_TIMEOUT`], it starts an election, because asking the leader did
/// not help.
const LAGS_PER_ELECTION: u32 = 3;
/// Members that get the digest of a new version at once, so that it spreads by gossip.
const GOSSIP_FANOUT: usize = 3;
/// Changes that are kept for peers that are a little behind; others get the full member list.
const MAX_RECENT_CHANGES: usize = 256;

impl Node {
    pub(super) fn send_digest(&mut self, to: SocketAddr) {
        if let Some(member_list) = &self.member_list
            && to != self.settings.info.address
        {
            let (epoch, number) = member_list.age();
            let fleet = member_list.fleet;
            self.send(to, Packet::Digest { fleet, epoch, number });
        }
    }

    pub(super) fn handle_digest(
        &mut self,
        now: Millis,
        from: Identity,
        fleet: u64,
        their_version: (u32, u64),
    ) {
        let own = self.member_list.as_ref().map(|member_list| (member_list.fleet, member_list.age()));
        if let Some((own_fleet, _)) = own
            && own_fleet != fleet
        {
            if self.other_fleet != Some(from.address) {
                self.other_fleet = Some(from.address);
                self.effects.push(Effect::Notify(Notification::OtherFleet(from.address)));
            }
            return;
        }
        self.last_seen = Some(now);
        let own_version = own.map_or((0, 0), |(_, version)| version);
        if their_version > own_version {
            if now >= self.pulled_at + MIN_PULL_INTERVAL || self.pulled_at == 0 {
                self.pulled_at = now.max(1);
                let (epoch, number) = own_version;
                self.send(from.address, Packet::Pull { epoch, number });
            }
            self.recover_lagging_voter(now);
        } else if their_version < own_version {
            self.send_digest(from.address);
        } else {
            self.lagging_since = None;
            self.lag_count = 0;
        }
    }

    /// Handles a voter that is behind other members: it missed messages of its leader, which are not sent again unasked.
    fn recover_lagging_voter(&mut self, now: Millis) {
        let since = *self.lagging_since.get_or_insert(now);
        if now >= since + LAG_TIMEOUT
            && let Some(voter) = &mut self.voter
        {
            self.lagging_since = Some(now);
            self.lag_count += 1;
            if self.lag_count.is_multiple_of(LAGS_PER_ELECTION) {
                voter.start_election();
            } else if let Some(leader) = voter.leader().filter(|leader| *leader != self.folder) {
                voter.reconnected(leader);
            }
        }
    }

    pub(super) fn handle_pull(&mut self, to: SocketAddr, epoch: u32, number: u64) {
        let Some(member_list) = &self.member_list else { return };
        if (epoch, number) >= member_list.age() {
            return;
        }
        let behind = usize::try_from(member_list.number.saturating_sub(number)).unwrap_or(usize::MAX);
        let packet = if epoch == member_list.epoch && behind <= self.recent_changes.len() {
            let changes =
                self.recent_changes.iter().skip(self.recent_changes.len() - behind).cloned().collect();
            Packet::Changes { fleet: member_list.fleet, epoch, after: number, changes }
        } else {
            Packet::FullList(Box::new(member_list.clone()))
        };
        self.send(to, packet);
    }

    pub(super) fn receive_list(&mut self, now: Millis, member_list: MemberList) {
        match &self.member_list {
            Some(own) if own.fleet != member_list.fleet || own.age() >= member_list.age() => return,
            // A seed that promised to follow another founder, but is listed as a founding member of this fleet, must not be
            // counted in both.
            None if self.promised_founder.is_some_and(|founder| founder != member_list.founder)
                && member_list.members.contains_key(&self.folder) =>
            {
                return;
            }
            _ => {}
        }
        self.last_seen = Some(now);
        let number_before = self.member_list.as_ref().map_or(0, |own| own.number);
        self.effects.push(Effect::Notify(Notification::MemberList {
            before: number_before,
            now: member_list.number,
            change: None,
        }));
        self.effects.push(Effect::Persist(Record::MemberList(Box::new(member_list.clone()))));
        self.member_list = Some(member_list);
        self.recent_changes.clear();
        self.member_list_changed(now, None);
    }

    pub(super) fn apply_change(&mut self, now: Millis, change: Change) {
        let Some(member_list) = &mut self.member_list else { return };
        let number_before = member_list.number;
        let voters_before = member_list.voters.clone();
        member_list.apply(change.clone());
        self.effects.push(Effect::Persist(Record::Change(number_before + 1, change.clone())));
        self.recent_changes.push_back(change.clone());
        if self.recent_changes.len() > MAX_RECENT_CHANGES {
            self.recent_changes.pop_front();
        }
        self.effects.push(Effect::Notify(Notification::MemberList {
            before: number_before,
            now: number_before + 1,
            change: Some(change),
        }));
        self.member_list_changed(now, Some(voters_before));
    }

    /// Reacts to a new version of the member list. `former_voters` are the voters of the version before; `None` if that is
    /// not known.
    pub(super) fn member_list_changed(&mut self, now: Millis, former_voters: Option<Vec<u64>>) {
        let Some(member_list) = &self.member_list else { return };
        if let Some(departed) = member_list.departure_of(self.folder) {
            let reason = match departed.why {
                Departure::Left => "it left",
                Departure::Removed => "an operator removed it; empty its folder to rejoin as a new member",
                Departure::Replaced => "another sender joined with its name",
            };
            return self.halt(now, Halt::Departed(reason));
        }
        self.known_since.retain(|folder, _| member_list.members.contains_key(folder));
        self.reported_health.retain(|folder, _| member_list.members.contains_key(folder));
        for (folder, member) in &member_list.members {
            let known = self.known_since.entry(*folder).or_insert((member.incarnation, now));
            if known.0 != member.incarnation {
                *known = (member.incarnation, now);
            }
        }
        let mut is_agreed_process = false;
        if let Some(member) = member_list.members.get(&self.folder) {
            let (theirs, their_boot) = (member.incarnation, member.boot);
            let copied = theirs > self.incarnation || (theirs == self.incarnation && their_boot != self.boot);
            if copied {
                return self.halt(now, Halt::Copied { theirs, own: self.incarnation });
            }
            // A process at another address than the agreed one may run on a copy of the folder: it sends nothing as a member
            // until the voters agree on its address.
            is_agreed_process = member.info.address == self.settings.info.address;
            if is_agreed_process && self.detecting_since.is_none() {
                self.detecting_since = Some(now);
                self.next_announce = now;
            }
        }
        let (group, voters) = (member_list.group, member_list.voters.clone());
        let mut receivers: Vec<SocketAddr> = Vec::new();
        if former_voters.as_ref().is_none_or(|former| *former != voters) {
            let folders = voters.iter().chain(former_voters.iter().flatten());
            let members = folders.filter_map(|folder| member_list.members.get(folder));
            receivers.extend(members.map(|member| member.info.address));
        }
        if self.voter.as_ref().is_none_or(|voter| voter.group != group) {
            let group_before = self.voter.take().map(|voter| voter.group);
            if !self.disk_broken && is_agreed_process {
                self.voter = Voter::new(group, &voters, self.folder, self.stored_voter.as_ref());
            }
            self.stored_voter = None;
            self.broken_connections.clear();
            let group_now = self.voter.as_ref().map(|voter| voter.group);
            if group_before != group_now {
                self.effects.push(Effect::Notify(Notification::Voter(group_now)));
            }
            self.next_voter_tick = now;
            self.group_changed_at = now;
        }
        // Spread the new version: to a few random members, and to the voters if their group may have changed.
        let answering: Vec<SocketAddr> = self.failure_detector.answering().map(|id| id.address).collect();
        for _ in 0..GOSSIP_FANOUT.min(answering.len()) {
            receivers.push(answering[self.rng.random_range(0..answering.len())]);
        }
        receivers.sort();
        receivers.dedup();
        receivers.into_iter().for_each(|address| self.send_digest(address));
        self.complete_commands();
    }

    /// Address of a random other member; `None` while this sender knows of none.
    pub(super) fn random_member(&mut self) -> Option<SocketAddr> {
        let member_list = self.member_list.as_ref()?;
        let others: Vec<SocketAddr> = member_list
            .members
            .iter()
            .filter(|(folder, _)| **folder != self.folder)
            .map(|(_, member)| member.info.address)
            .collect();
        (!others.is_empty()).then(|| others[self.rng.random_range(0..others.len())])
    }
}
