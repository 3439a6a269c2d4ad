//! How a sender without a fleet finds one or founds it together with the other seeds, and whether the voters agreed on its
//! start.
use super::{Effect, HELLO_INTERVAL, Node, Notification};
use crate::Millis;
use crate::disk::Record;
use crate::failure_view::Health;
use crate::member_list::{Info, MemberList};
use crate::wire::{Identity, Packet};
use rand::RngExt;
use std::net::SocketAddr;

/// Interval of the rounds after the first [`FAST_HELLO_COUNT`] ones.
const SLOW_HELLO_INTERVAL: Millis = 2_000;
const FAST_HELLO_COUNT: u32 = 20;

impl Node {
    pub(super) fn send_hellos(&mut self, now: Millis) {
        self.hello_count += 1;
        let interval = if self.hello_count > FAST_HELLO_COUNT { SLOW_HELLO_INTERVAL } else { HELLO_INTERVAL };
        self.next_hello = now + interval + self.rng.random_range(0..interval / 4);
        let own = self.settings.info.address;
        for seed in self.settings.seeds.clone() {
            if seed != own {
                self.send(seed, Packet::Hello);
            }
        }
        if self.hello_count.is_multiple_of(FAST_HELLO_COUNT) {
            let missing: Vec<String> = self
                .settings
                .seeds
                .iter()
                .filter(|seed| **seed != own && !self.founder_promises.contains_key(seed))
                .map(SocketAddr::to_string)
                .collect();
            let reason = if self.settings.seeds.first() == Some(&own) {
                format!("the fleet is not founded yet; these seeds have not answered: {}", missing.join(", "))
            } else {
                "no member of a fleet has answered at any seed".to_owned()
            };
            self.effects.push(Effect::Notify(Notification::Waiting(reason)));
        }
    }

    /// Handles a hello at a sender without a fleet. A seed promises to follow the first seed of the list: only that one may
    /// found the fleet, and only with the promises of all seeds. The promise survives a restart, so that no seed is counted in
    /// two fleets.
    pub(super) fn promise_to_founder(&mut self, from: Identity) {
        let seeds = &self.settings.seeds;
        let own = self.settings.info.address;
        if seeds.first() != Some(&from.address) || from.address == own || !seeds.contains(&own) {
            return;
        }
        if self.promised_founder.is_none() {
            self.promised_founder = Some(from.folder);
            self.effects.push(Effect::Persist(Record::Promise(from.folder)));
        }
        if self.promised_founder == Some(from.folder) {
            let packet = Packet::Promise {
                founder: from.folder,
                incarnation: self.incarnation,
                boot: self.boot,
                info: self.settings.info.clone(),
            };
            self.send(from.address, packet);
        } else {
            let reason = format!(
                "this seed promised to follow the first seed, {}, with folder {:016x}, but its folder is now {:016x}: empty the folders of all seeds",
                from.address,
                self.promised_founder.unwrap_or_default(),
                from.folder
            );
            self.effects.push(Effect::Notify(Notification::Waiting(reason)));
        }
    }

    /// Founds the fleet if this is the first seed and all other seeds have promised to follow it.
    pub(super) fn found_fleet(&mut self, now: Millis) {
        let own = self.settings.info.address;
        let others = self.settings.seeds.iter().filter(|seed| **seed != own);
        let promised: Option<Vec<_>> = others.map(|seed| self.founder_promises.get(seed).cloned()).collect();
        if self.settings.seeds.first() != Some(&own) {
            return;
        }
        let Some(promised) = promised else { return };
        let mut founders = vec![(self.folder, self.incarnation, self.boot, self.settings.info.clone())];
        founders.extend(promised);
        let fleet = self.rng.random();
        let member_list = MemberList::with_founders(fleet, self.folder, founders);
        self.effects.push(Effect::Persist(Record::MemberList(Box::new(member_list.clone()))));
        self.member_list = Some(member_list);
        self.effects.push(Effect::Notify(Notification::MemberList { before: 0, now: 1, change: None }));
        self.member_list_changed(now, None);
    }

    /// Whether the voters agreed on the start of this process with its present description.
    pub fn confirmed(&self) -> bool {
        let member = self.member_list.as_ref().and_then(|member_list| member_list.members.get(&self.folder));
        member.is_some_and(|member| {
            member.incarnation == self.incarnation
                && member.boot == self.boot
                && member.info == self.settings.info
        })
    }

    /// The incarnation of the member with this folder ID, if it answers at another address than the one in `info`.
    pub(super) fn conflicting_incarnation(&self, folder: u64, info: &Info) -> Option<u32> {
        let member = self.member_list.as_ref()?.members.get(&folder)?;
        let answers = folder == self.folder
            || matches!(self.failure_detector.health_of(folder), Some(Health::Answers | Health::Suspected));
        (answers && member.info.address != info.address).then_some(member.incarnation)
    }
}
