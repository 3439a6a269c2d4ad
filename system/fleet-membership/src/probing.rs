//! Pending probes: direct ones, and indirect ones on behalf of other members.

use std::net::Ipv4Addr;

/// A probe of a member that has not been acknowledged.
pub(crate) struct Probe {
    pub sequence_number: u32,
    pub target: Ipv4Addr,
    /// Members that were asked for indirect probes, once the direct probe has timed out.
    pub relays: Option<Vec<Ipv4Addr>>,
    pub deadline: u64,
}

/// A probe on behalf of another member (SWIM's `ping-req`).
pub(crate) struct IndirectProbe {
    pub sequence_number: u32,
    pub target: Ipv4Addr,
    /// The member that requested it, and the sequence number of its request.
    pub requester: Ipv4Addr,
    pub requester_sequence_number: u32,
    pub deadline: u64,
}

/// Maximum number of pending indirect probes.
const MAX_INDIRECT: usize = 256;

/// All pending probes.
#[derive(Default)]
pub(crate) struct Probes {
    pub pending: Vec<Probe>,
    indirect: Vec<IndirectProbe>,
    last_sequence_number: u32,
}

impl Probes {
    pub(crate) fn next_sequence_number(&mut self) -> u32 {
        self.last_sequence_number = self.last_sequence_number.wrapping_add(1);
        self.last_sequence_number
    }

    pub(crate) fn is_probed(&self, ip: Ipv4Addr) -> bool {
        self.pending.iter().any(|probe| probe.target == ip)
    }

    pub(crate) fn next_deadline(&self) -> u64 {
        self.pending.iter().map(|probe| probe.deadline).min().unwrap_or(u64::MAX)
    }

    /// Removes and returns the probes that have timed out.
    pub(crate) fn take_expired(&mut self, now_ms: u64) -> Vec<Probe> {
        self.pending.extract_if(.., |probe| probe.deadline <= now_ms).collect()
    }

    /// Removes the probe that an acknowledgement from the target or one of its relays completes.
    pub(crate) fn complete(&mut self, from: Ipv4Addr, sequence_number: u32) {
        self.pending.retain(|probe| {
            let is_relay = probe.relays.as_ref().is_some_and(|relays| relays.contains(&from));
            probe.sequence_number != sequence_number || !(probe.target == from || is_relay)
        });
    }

    pub(crate) fn push_indirect(&mut self, now_ms: u64, probe: IndirectProbe) {
        self.indirect.retain(|probe| probe.deadline > now_ms);
        if self.indirect.len() < MAX_INDIRECT {
            self.indirect.push(probe);
        }
    }

    /// Removes and returns the indirect probe that an acknowledgement completes before its deadline.
    pub(crate) fn take_indirect(
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
