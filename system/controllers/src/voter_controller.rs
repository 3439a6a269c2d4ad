use crate::replacement::Replacement;
use crate::times::{
    BOOTSTRAP_SETTLE_MS, MAX_REQUEST_GAP_MS, MIN_VOTERS, REPLACED_VOTER_TIMEOUT_MS, VOTER_TIMEOUT_MS,
};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// What one keeper knows of how long the core's machines have been silent.
#[derive(Clone, Debug)]
pub struct VoterController {
    me: Ipv4Addr,
    began: Option<u64>,
    asked: Option<u64>,
    /// When each answered last in this life.
    heard: BTreeMap<Ipv4Addr, u64>,
    /// When each voter was first known as one: it has as long to answer as one that has answered.
    known: BTreeMap<Ipv4Addr, u64>,
    turnover: Replacement<Ipv4Addr>,
}

impl VoterController {
    /// The watch of a keeper that has just started.
    pub fn new(me: Ipv4Addr) -> Self {
        Self {
            me,
            began: None,
            asked: None,
            heard: BTreeMap::new(),
            known: BTreeMap::new(),
            turnover: Replacement::default(),
        }
    }

    /// Somebody is about to be asked, this machine's own acceptor included. If that is the first time after long, this
    /// keeper slept, and nobody's silence counts for that time.
    pub fn before_request(&mut self, now_ms: u64) {
        let slept = self.asked.map_or(0, |asked| now_ms.saturating_sub(asked));
        if slept > MAX_REQUEST_GAP_MS {
            self.heard
                .values_mut()
                .chain(self.known.values_mut())
                .for_each(|at| *at = now_ms.min(*at + slept));
        }
        self.asked = Some(now_ms);
    }

    /// A machine has answered.
    pub fn record_response(&mut self, now_ms: u64, ip: Ipv4Addr) {
        self.heard.insert(ip, now_ms);
    }

    /// These are the voters.
    pub fn observe(&mut self, now_ms: u64, voters: &[Ipv4Addr]) {
        if voters.is_empty() {
            return;
        }
        let began = *self.began.get_or_insert(now_ms);
        self.known.retain(|ip, _| voters.contains(ip));
        for ip in voters {
            self.known.entry(*ip).or_insert(now_ms);
        }
        let settled = now_ms.saturating_sub(began) >= BOOTSTRAP_SETTLE_MS;
        self.turnover.observe(now_ms, voters.iter().copied().collect(), settled, |_| false);
    }

    /// Whether the machine has answered lately.
    pub fn responded_within(&self, ip: Ipv4Addr, now_ms: u64, within: u64) -> bool {
        ip == self.me || self.heard.get(&ip).is_some_and(|at| now_ms.saturating_sub(*at) < within)
    }

    /// The same, if it has had time to.
    pub fn is_presumed_alive(&self, ip: Ipv4Addr, now_ms: u64, within: u64) -> bool {
        ip == self.me || self.silent(ip, now_ms) < within
    }

    fn silent(&self, ip: Ipv4Addr, now_ms: u64) -> u64 {
        let heard = self.heard.get(&ip).max(self.known.get(&ip));
        heard.map_or(0, |at| now_ms.saturating_sub(*at))
    }

    /// The voter to be removed, if any; and how long it has been silent.
    pub fn voter_to_remove(&self, now_ms: u64, voters: &[Ipv4Addr]) -> Option<(Ipv4Addr, u64)> {
        if voters.len() <= MIN_VOTERS {
            return None;
        }
        let patience =
            if self.turnover.surplus(now_ms) > 0 { REPLACED_VOTER_TIMEOUT_MS } else { VOTER_TIMEOUT_MS };
        let silent = voters.iter().filter(|ip| **ip != self.me).map(|ip| (*ip, self.silent(*ip, now_ms)));
        silent.filter(|(_, silent)| *silent > patience).max_by_key(|(_, silent)| *silent)
    }

    /// The voters without one that is gone.
    pub fn without_voter(voters: &[Ipv4Addr], gone: Ipv4Addr) -> Option<Vec<Ipv4Addr>> {
        (voters.len() > MIN_VOTERS && voters.contains(&gone))
            .then(|| voters.iter().copied().filter(|ip| *ip != gone).collect())
    }
}
