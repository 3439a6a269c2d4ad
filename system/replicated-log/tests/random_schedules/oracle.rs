//! The replicated state machine of the tests, and an oracle that checks that all replicas agree slot by slot.

use fleet_model::{CoordinationBatch, CoordinationCommand, CoordinationOutcome, LogMember};
use replicated_log::StateMachine;
use std::collections::{BTreeMap, BTreeSet};

/// A state machine that retains all commands; each command is a number.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct CommandLog {
    pub(crate) commands: Vec<u64>,
}

impl StateMachine for CommandLog {
    fn apply(&mut self, batch: &CoordinationBatch) -> Vec<CoordinationOutcome> {
        for command in &batch.commands {
            let CoordinationCommand::NextNumber { name } = command else {
                panic!("unexpected command: {command:?}")
            };
            self.commands.push(name.parse().expect("the name of each command is a number"));
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

/// Everything that any replica has applied, and the first violation of agreement.
#[derive(Default)]
pub(crate) struct Oracle {
    /// Commands and members, by last applied slot.
    states: BTreeMap<u64, (Vec<u64>, Vec<LogMember>)>,
    /// Commands by slot.
    acknowledged: BTreeMap<u64, u64>,
    pub(crate) violation: Option<String>,
}

impl Oracle {
    /// Compares the state of a replica after a slot with those of other replicas after the same slot and its neighbours.
    pub(crate) fn check_state(&mut self, slot: u64, commands: &[u64], members: &[LogMember]) {
        if let Some((other_commands, other_members)) = self.states.get(&slot) {
            if other_commands != commands || other_members != members {
                self.report(format!(
                    "slot {slot}: replicas differ: {other_commands:?} {other_members:?}, {commands:?} {members:?}"
                ));
            }
            return;
        }
        let before = self.states.range(..slot).next_back().map(|(_, (before, _))| before);
        let after = self.states.range(slot..).next().map(|(_, (after, _))| after);
        let continues = before.is_none_or(|before| commands.starts_with(before));
        let is_continued = after.is_none_or(|after| after.starts_with(commands));
        let lost = self.acknowledged.range(..=slot).find(|(_, command)| !commands.contains(command));
        if let Some((acknowledged_slot, command)) = lost {
            self.report(format!(
                "slot {slot}: command {command}, acknowledged at slot {acknowledged_slot}, is lost"
            ));
        }
        if !continues || !is_continued {
            self.report(format!(
                "slot {slot}: {commands:?} and a neighbouring state do not extend each other"
            ));
        }
        if commands.iter().collect::<BTreeSet<_>>().len() != commands.len() {
            self.report(format!("slot {slot}: a command is applied twice: {commands:?}"));
        }
        self.states.insert(slot, (commands.to_vec(), members.to_vec()));
    }

    /// Records that a command was acknowledged to its caller.
    pub(crate) fn acknowledge(&mut self, slot: u64, command: u64) {
        self.acknowledged.insert(slot, command);
    }

    /// Checks a read that was answered from the state after slot `applied`. When it began, the slots up to `required` were
    /// acknowledged.
    pub(crate) fn check_read(&mut self, required: u64, applied: u64) {
        if applied < required {
            self.report(format!("stale read after slot {applied}: slot {required} was already acknowledged"));
        }
    }

    /// The last acknowledged slot, or 0.
    pub(crate) fn last_acknowledged(&self) -> u64 {
        self.acknowledged.keys().next_back().copied().unwrap_or_default()
    }

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
