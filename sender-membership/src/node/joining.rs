//! How a sender without a fleet finds one, or founds it together with the other seeds; and whether its own start is
//! agreed on.
use super::{Effect, HELLO, Node, Notification};
use crate::Millis;
use crate::disk::Record;
use crate::failure_view::Health;
use crate::member_list::{Info, MemberList};
use crate::wire::{Identity, Packet};
use rand::RngExt;
use std::net::SocketAddr;

const HELLO_LATER: Millis = 2_000;
const HELLO_SOON: u32 = 20;

impl Node {
    pub(super) fn hello(&mut self, now: Millis) {
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
    pub(super) fn promise_to(&mut self, from: Identity) {
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

    pub(super) fn found(&mut self, now: Millis) {
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

    /// Whether this sender's start is agreed on.
    pub fn confirmed(&self) -> bool {
        let member = self.member_list.as_ref().and_then(|member_list| member_list.members.get(&self.folder));
        member.is_some_and(|member| {
            member.incarnation == self.incarnation
                && member.boot == self.boot
                && member.info == self.settings.info
        })
    }

    /// The incarnation of a member with that folder that answers from another address than the one told.
    pub(super) fn copied(&self, folder: u64, info: &Info) -> Option<u32> {
        let member = self.member_list.as_ref()?.members.get(&folder)?;
        let answers = folder == self.folder
            || matches!(self.watch.health_of(folder), Some(Health::Answers | Health::Suspected));
        (answers && member.info.address != info.address).then_some(member.incarnation)
    }
}
