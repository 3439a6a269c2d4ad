//! A state machine that retains the names of all commands, and the check that replicas agree on it slot by slot.

use fleet_model::{CoordinationBatch, CoordinationCommand, CoordinationOutcome, LogMember};
use replicated_log::StateMachine;
use std::collections::{BTreeMap, BTreeSet};

/// All commands so far, each a number.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Ledger {
    pub(crate) commands: Vec<u64>,
}

impl StateMachine for Ledger {
    fn apply(&mut self, batch: &CoordinationBatch) -> Vec<CoordinationOutcome> {
        for command in &batch.commands {
            let CoordinationCommand::NextNumber { name } = command else { panic!("no such command here") };
            self.commands.push(name.parse().expect("a number"));
        }
        vec![CoordinationOutcome::LockReleased; batch.commands.len()]
    }

    fn snapshot(&self) -> Vec<u8> {
        self.commands.iter().flat_map(|command| command.to_be_bytes()).collect()
    }

    fn restore(&mut self, snapshot: &[u8]) -> bool {
        let (numbers, rest) = snapshot.as_chunks::<8>();
        self.commands = numbers.iter().map(|number| u64::from_be_bytes(*number)).collect();
        rest.is_empty()
    }
}

/// What was ever applied, at any replica.
#[derive(Default)]
pub(crate) struct Oracle {
    states: BTreeMap<u64, (Vec<u64>, Vec<LogMember>)>,
    acknowledged: BTreeMap<u64, u64>,
    pub(crate) violation: Option<String>,
}

impl Oracle {
    /// Compares a replica's state with what others had after the same slot, and with the slots before and after it.
    pub(crate) fn observe(&mut self, slot: u64, commands: &[u64], members: &[LogMember]) {
        if let Some((known_commands, known_members)) = self.states.get(&slot) {
            if known_commands != commands || known_members != members {
                self.report(format!(
                    "slot {slot}: {known_commands:?} {known_members:?}, {commands:?} {members:?}"
                ));
            }
            return;
        }
        let before = self.states.range(..slot).next_back().map(|(_, (before, _))| before);
        let after = self.states.range(slot..).next().map(|(_, (after, _))| after);
        let continues = before.is_none_or(|before| commands.starts_with(before));
        let is_continued = after.is_none_or(|after| after.starts_with(commands));
        let lost = self.acknowledged.range(..=slot).find(|(_, command)| !commands.contains(command));
        if let Some((of, command)) = lost {
            self.report(format!("slot {slot}: command {command}, acknowledged at {of}, is lost"));
        }
        if !continues || !is_continued {
            self.report(format!("slot {slot}: {commands:?} is no continuation, or not continued"));
        }
        if commands.iter().collect::<BTreeSet<_>>().len() != commands.len() {
            self.report(format!("slot {slot}: a command is applied twice: {commands:?}"));
        }
        self.states.insert(slot, (commands.to_vec(), members.to_vec()));
    }

    /// A command was acknowledged to its caller.
    pub(crate) fn acknowledge(&mut self, slot: u64, command: u64) {
        self.acknowledged.insert(slot, command);
    }

    /// A read that was begun when slots up to `required` were acknowledged was answered from the state after `applied`.
    pub(crate) fn check_read(&mut self, required: u64, applied: u64) {
        if applied < required {
            self.report(format!("a read of slot {applied} after slot {required} was acknowledged"));
        }
    }

    /// The last acknowledged slot.
    pub(crate) fn last_acknowledged(&self) -> u64 {
        self.acknowledged.keys().next_back().copied().unwrap_or_default()
    }

    /// The number of acknowledged commands.
    pub(crate) fn acknowledged_count(&self) -> usize {
        self.acknowledged.len()
    }

    /// The members after the last applied slot.
    pub(crate) fn last_members(&self) -> Option<&[LogMember]> {
        self.states.values().next_back().map(|(_, members)| members.as_slice())
    }

    fn report(&mut self, violation: String) {
        self.violation.get_or_insert(violation);
    }
}
