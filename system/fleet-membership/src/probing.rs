//! Probes that wait for an acknowledgement, and indirect probes that are made for others.

use std::net::Ipv4Addr;

/// A member that was asked whether it lives.
pub(crate) struct Probe {
    pub sequence_number: u32,
    pub target: Ipv4Addr,
    /// Members that were asked for indirect probes, once the direct acknowledgement is late.
    pub relays: Option<Vec<Ipv4Addr>>,
    pub deadline: u64,
}

/// A probe on behalf of another member.
pub(crate) struct IndirectProbe {
    pub sequence_number: u32,
    pub target: Ipv4Addr,
    /// Who has asked for it, and under which number.
    pub requester: Ipv4Addr,
    pub requester_sequence_number: u32,
    pub deadline: u64,
}

/// Most indirect probes at once.
const MAX_INDIRECT: usize = 256;

/// All probes that wait for an acknowledgement.
#[derive(Default)]
pub(crate) struct Probes {
    pub pending: Vec<Probe>,
    indirect: Vec<IndirectProbe>,
    last_sequence_number: u32,
}

impl Probes {
    pub fn next_sequence_number(&mut self) -> u32 {
        self.last_sequence_number = self.last_sequence_number.wrapping_add(1);
        self.last_sequence_number
    }

    pub fn is_probed(&self, ip: Ipv4Addr) -> bool {
        self.pending.iter().any(|probe| probe.target == ip)
    }

    pub fn next_deadline(&self) -> u64 {
        self.pending.iter().map(|probe| probe.deadline).min().unwrap_or(u64::MAX)
    }

    /// Takes out the probes whose time is over.
    pub fn take_expired(&mut self, now_ms: u64) -> Vec<Probe> {
        self.pending.extract_if(.., |probe| probe.deadline <= now_ms).collect()
    }

    /// Ends the probe that this acknowledges.
    pub fn complete(&mut self, from: Ipv4Addr, sequence_number: u32) {
        self.pending.retain(|probe| {
            let is_relay = probe.relays.as_ref().is_some_and(|relays| relays.contains(&from));
            probe.sequence_number != sequence_number || !(probe.target == from || is_relay)
        });
    }

    pub fn push_indirect(&mut self, now_ms: u64, probe: IndirectProbe) {
        self.indirect.retain(|probe| probe.deadline > now_ms);
        if self.indirect.len() < MAX_INDIRECT {
            self.indirect.push(probe);
        }
    }

    /// The indirect probe that this acknowledges in time.
    pub fn take_indirect(
        &mut self,
        now_ms: u64,
        from: Ipv4Addr,
        sequence_number: u32,
    ) -> Option<IndirectProbe> {
        let index = self
            .indirect
            .iter()
            .position(|probe| probe.sequence_number == sequence_number && probe.target == from)?;
        Some(self.indirect.swap_remove(index)).filter(|probe| probe.deadline > now_ms)
    }
}
