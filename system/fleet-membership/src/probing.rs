//! Probes under way, those of others that are passed on, and whose turn it is.

use std::net::Ipv4Addr;

/// A member that was asked whether it lives.
pub(crate) struct Probe {
    pub number: u32,
    pub target: Ipv4Addr,
    /// Third parties that were asked, once the direct answer is late.
    pub third_parties: Option<Vec<Ipv4Addr>>,
    pub deadline: u64,
}

/// A ping on behalf of another.
pub(crate) struct Relay {
    pub number: u32,
    pub target: Ipv4Addr,
    pub asker: Ipv4Addr,
    pub asker_number: u32,
    pub deadline: u64,
}

/// Most relays at once.
const MAX_RELAYS: usize = 256;

/// All questions that wait for an answer.
#[derive(Default)]
pub(crate) struct Probes {
    pub waiting: Vec<Probe>,
    relays: Vec<Relay>,
    last_number: u32,
}

impl Probes {
    pub fn next_number(&mut self) -> u32 {
        self.last_number = self.last_number.wrapping_add(1);
        self.last_number
    }

    pub fn is_probed(&self, ip: Ipv4Addr) -> bool {
        self.waiting.iter().any(|probe| probe.target == ip)
    }

    pub fn next_deadline(&self) -> u64 {
        self.waiting.iter().map(|probe| probe.deadline).min().unwrap_or(u64::MAX)
    }

    /// Takes out the probes whose time is over.
    pub fn take_expired(&mut self, now_ms: u64) -> Vec<Probe> {
        self.waiting.extract_if(.., |probe| probe.deadline <= now_ms).collect()
    }

    /// Ends the probe that this answers.
    pub fn answered(&mut self, from: Ipv4Addr, number: u32) {
        self.waiting.retain(|probe| {
            let may_answer = probe.target == from
                || probe.third_parties.as_ref().is_some_and(|third| third.contains(&from));
            probe.number != number || !may_answer
        });
    }

    pub fn relay(&mut self, now_ms: u64, relay: Relay) {
        self.relays.retain(|relay| relay.deadline > now_ms);
        if self.relays.len() < MAX_RELAYS {
            self.relays.push(relay);
        }
    }

    /// The relay that this answers.
    pub fn relayed(&mut self, now_ms: u64, from: Ipv4Addr, number: u32) -> Option<Relay> {
        let at = self.relays.iter().position(|relay| relay.number == number && relay.target == from)?;
        Some(self.relays.swap_remove(at)).filter(|relay| relay.deadline > now_ms)
    }
}
