//! How the member list spreads from peer to peer, and what follows from a new one.
use super::{Effect, Halt, Node, Notification};
use crate::Millis;
use crate::disk::Record;
use crate::member_list::{Change, Departure, MemberList};
use crate::voter::Voter;
use crate::wire::{Identity, Packet};
use rand::RngExt;
use std::net::SocketAddr;

/// One peer is asked for the member list no more often than this.
const PULL: Millis = 250;
/// A voter that hears of steps its group has agreed on without it asks its leader after this.
const LAGGING: Millis = 1_500;
/// The so many-th time it tries to lead, as asking has not helped.
const LAGS: u32 = 3;
/// Members that are told at once of a new step, so that it spreads as a rumour does.
const FANOUT: usize = 3;
/// Steps that are kept for those that are a little behind; others get the whole.
const RECENT: usize = 256;

impl Node {
    pub(super) fn tell_digest(&mut self, to: SocketAddr) {
        if let Some(member_list) = &self.member_list
            && to != self.settings.info.address
        {
            let (epoch, number) = member_list.age();
            let fleet = member_list.fleet;
            self.send(to, Packet::Digest { fleet, epoch, number });
        }
    }

    pub(super) fn digest(&mut self, now: Millis, from: Identity, fleet: u64, theirs: (u32, u64)) {
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

    pub(super) fn pulled_by(&mut self, to: SocketAddr, epoch: u32, number: u64) {
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

    pub(super) fn whole(&mut self, now: Millis, member_list: MemberList) {
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

    pub(super) fn step(&mut self, now: Millis, change: Change) {
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
    pub(super) fn member_list_changed(&mut self, now: Millis, former: Option<Vec<u64>>) {
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

    /// Some member besides this one, by chance; a seed while none is known.
    pub(super) fn some_member(&mut self) -> Option<SocketAddr> {
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
