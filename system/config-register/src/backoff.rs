//! When a proposer may begin a run.

use fleet_model::Ballot;

/// Another's run is given way to for so long after each sign of life, in milliseconds.
const GIVES_WAY: u64 = 200;
/// Longest pause after the first run in a row that was lost; each further one doubles it.
const FIRST_PAUSE: u64 = 16;
/// Longest pause of all.
const MOST_PAUSE: u64 = 320;

/// Listens before a run begins. Two runs that overlap cost each other a round, and the larger the value, the longer a
/// run: proposers that began whenever they wished would overlap for good. An acceptor hears of every run, so the
/// proposer beside it waits while another's is under way. Runs that began at the same moment part by pauses that grow
/// until one is won or nothing newer is left to settle, whatever number of changes they were for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ProposerBackoff {
    /// Another's run that may be under way, and until when it is given way to.
    other: Option<(Ballot, u64)>,
    /// Own runs lost in a row.
    lost: u32,
    paused_until: u64,
}

impl ProposerBackoff {
    /// The acceptor has let another's run pass.
    pub fn on_competing_ballot(&mut self, now_ms: u64, ballot: Ballot) {
        if self.other.is_none_or(|(heard, _)| heard <= ballot) {
            self.other = Some((ballot, now_ms + GIVES_WAY));
        }
    }

    /// This ballot was chosen: its run is over, and so are those below.
    pub fn on_chosen(&mut self, chosen: Ballot) {
        self.other = self.other.filter(|(heard, _)| *heard > chosen);
    }

    /// An own run was lost to another. `drawn` is any random number.
    pub fn on_lost(&mut self, now_ms: u64, drawn: u64) {
        let most = MOST_PAUSE.min(FIRST_PAUSE << self.lost.min(8));
        self.lost += 1;
        self.paused_until = now_ms + 4 + drawn % most;
    }

    /// An own run has had its value chosen, or a majority knows of nothing newer: nobody is in the way.
    pub fn reset(&mut self) {
        self.lost = 0;
    }

    /// How much longer to wait with a run, as far as is known now, in milliseconds; 0: it may begin.
    pub fn remaining_delay_ms(&self, now_ms: u64) -> u64 {
        let given = self.other.map_or(0, |(_, until)| until);
        given.max(self.paused_until).saturating_sub(now_ms)
    }
}
