//! Operator commands, from the request to the answer.
use super::{Effect, Node};
use crate::Millis;
use crate::disk::Record;
use crate::member_list::{Change, Departure};

/// Time after which an operator gets an error if the voters have not agreed.
const COMMAND_TIMEOUT: Millis = 8_000;

/// A command of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// This sender leaves the fleet gracefully.
    Leave,
    /// Removes the member with this name from the fleet.
    Remove(String),
    /// Recovers from the permanent loss of a majority of the voters: continues from this sender's member list with new
    /// voters, in a new epoch. Only one sender of the fleet may get this command.
    Refound,
}

/// Why a command failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// This sender belongs to no fleet, for the given reason.
    #[error("this sender belongs to no fleet: {0}")]
    NoFleet(String),
    /// No current member has the given name.
    #[error("no member is called {0:?}; `fleet roster` lists the members")]
    UnknownMember(String),
    /// The voters did not agree within the given number of seconds.
    #[error(
        "not agreed on within {0} s: no majority of the voters answers (`fleet keepers` lists them); it is safe to ask again"
    )]
    NoMajority(u64),
    /// A new epoch is refused while a majority of the voters answers: the voters that answer, and all voters.
    #[error("{0} of {1} voters answer: a majority can still agree, so the fleet cannot be founded again")]
    MajorityAnswers(usize, usize),
    /// A new epoch needs at least two members that answer.
    #[error("no other member answers: start at least one more member first")]
    NoOtherMember,
}

pub(super) struct PendingCommand {
    id: u64,
    pub(super) change: Change,
    deadline: Millis,
}

impl Node {
    /// Starts an operator command. The answer follows as an [`Effect::Answer`] with the same `id`.
    pub fn execute(&mut self, now: Millis, id: u64, command: &Command) {
        let result = self.begin_command(now, id, command);
        if let Err(error) = result {
            self.effects.push(Effect::Answer(id, Err(error)));
        }
        self.process_voter(now);
    }

    fn begin_command(&mut self, now: Millis, id: u64, command: &Command) -> Result<(), CommandError> {
        if let Some(halt) = &self.halted {
            return Err(CommandError::NoFleet(halt.to_string()));
        }
        let Some(member_list) = &self.member_list else {
            return Err(CommandError::NoFleet("none has been found or founded yet".to_owned()));
        };
        let change = match command {
            // The announcement comes first, so that the others see it and the voters replace this sender in their group; its
            // departure follows.
            Command::Leave => Change::Leaving { folder: self.folder },
            Command::Remove(name) => {
                let folder = member_list
                    .folder_by_name(name)
                    .ok_or_else(|| CommandError::UnknownMember(name.clone()))?;
                Change::Departure { folder, why: Departure::Removed }
            }
            Command::Refound => return self.refound(now, id),
        };
        self.pending_commands.push(PendingCommand { id, change, deadline: now + COMMAND_TIMEOUT });
        self.next_propose = now;
        Ok(())
    }

    fn refound(&mut self, now: Millis, id: u64) -> Result<(), CommandError> {
        let Some(member_list) = &self.member_list else { return Ok(()) };
        let (answering, total) = self.voters_answering();
        if answering * 2 > total {
            return Err(CommandError::MajorityAnswers(answering, total));
        }
        let mut candidates = self.candidates(&[self.folder]);
        candidates.insert(0, self.folder);
        candidates.truncate(self.settings.voters);
        if candidates.len() < 2 {
            return Err(CommandError::NoOtherMember);
        }
        if candidates.len().is_multiple_of(2) && candidates.len() > 2 {
            candidates.pop();
        }
        let member_list = member_list.with_new_epoch(candidates);
        self.effects.push(Effect::Persist(Record::MemberList(Box::new(member_list.clone()))));
        self.recent_changes.clear();
        self.member_list = Some(member_list);
        self.member_list_changed(now, None);
        self.effects.push(Effect::Answer(id, Ok(())));
        Ok(())
    }

    pub(super) fn complete_commands(&mut self) {
        let Some(member_list) = &self.member_list else { return };
        for command in &mut self.pending_commands {
            if let Change::Leaving { folder } = command.change
                && member_list.members.get(&folder).is_none_or(|member| member.leaving)
            {
                command.change = Change::Departure { folder, why: Departure::Left };
                // Propose the departure at the next tick.
                self.next_propose = 0;
            }
        }
        let (completed, open): (Vec<PendingCommand>, Vec<PendingCommand>) =
            std::mem::take(&mut self.pending_commands)
                .into_iter()
                .partition(|command| self.is_applied(&command.change));
        self.pending_commands = open;
        self.effects.extend(completed.into_iter().map(|command| Effect::Answer(command.id, Ok(()))));
    }

    pub(super) fn expire_commands(&mut self, now: Millis) {
        let (expired, open): (Vec<_>, Vec<_>) = std::mem::take(&mut self.pending_commands)
            .into_iter()
            .partition(|command| command.deadline <= now);
        self.pending_commands = open;
        let error = || CommandError::NoMajority(COMMAND_TIMEOUT / 1_000);
        self.effects.extend(expired.into_iter().map(|command| Effect::Answer(command.id, Err(error()))));
    }
}
