//! Operators' commands, from the call to the answer.
use super::{Effect, Node};
use crate::Millis;
use crate::disk::Record;
use crate::member_list::{Change, Departure};

/// Operators have an answer by then.
const ORDER_PATIENCE: Millis = 8_000;

/// What operators can ask for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// This sender leaves in order.
    Leave,
    /// The member of that name does not belong any more.
    Remove(String),
    /// A majority of the voters is lost for good: go on from the member list that this sender has. To be asked of one sender only.
    Refound,
}

/// Why an order is not carried out.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// This sender belongs to no fleet.
    #[error("this sender belongs to no fleet: {0}")]
    NoFleet(String),
    /// The member list has no such member.
    #[error("no member is called {0:?}; `fleet roster` names them all")]
    Unknown(String),
    /// The voters did not agree in time.
    #[error(
        "not agreed on within {0} s: no majority of the keepers answers; ask again, it does no harm twice"
    )]
    NoMajority(u64),
    /// A majority is there.
    #[error("{0} of {1} keepers answer: they can agree, and nothing is to be founded anew")]
    Majority(usize, usize),
    /// Nobody to found it with.
    #[error("no other member answers: start one more of them first")]
    Alone,
}

pub(super) struct Waiting {
    id: u64,
    pub(super) change: Change,
    until: Millis,
}

impl Node {
    /// Carries out, or begins to carry out, what operators ask; the answer comes as an effect with that id.
    pub fn execute(&mut self, now: Millis, id: u64, order: &Command) {
        let done = self.ordered(now, id, order);
        if let Err(e) = done {
            self.effects.push(Effect::Answer(id, Err(e)));
        }
        self.after_voter(now);
    }

    fn ordered(&mut self, now: Millis, id: u64, order: &Command) -> Result<(), CommandError> {
        if let Some(halt) = &self.halted {
            return Err(CommandError::NoFleet(halt.to_string()));
        }
        let Some(member_list) = &self.member_list else {
            return Err(CommandError::NoFleet("none has been found or founded yet".to_owned()));
        };
        let change = match order {
            // First that it leaves, so that others see it going and the voters give its seat away; then that it is gone.
            Command::Leave => Change::Leaving { folder: self.folder },
            Command::Remove(name) => {
                let folder =
                    member_list.folder_of(name).ok_or_else(|| CommandError::Unknown(name.clone()))?;
                Change::Departure { folder, why: Departure::Removed }
            }
            Command::Refound => return self.refound(now, id),
        };
        self.orders.push(Waiting { id, change, until: now + ORDER_PATIENCE });
        self.next_propose = now;
        Ok(())
    }

    fn refound(&mut self, now: Millis, id: u64) -> Result<(), CommandError> {
        let Some(member_list) = &self.member_list else { return Ok(()) };
        let (answering, all) = self.voters_answering();
        if answering * 2 > all {
            return Err(CommandError::Majority(answering, all));
        }
        let mut candidates = self.candidates(&[self.folder]);
        candidates.insert(0, self.folder);
        candidates.truncate(self.settings.voters);
        if candidates.len() < 2 {
            return Err(CommandError::Alone);
        }
        if candidates.len().is_multiple_of(2) && candidates.len() > 2 {
            candidates.pop();
        }
        let member_list = member_list.refounded(candidates);
        self.effects.push(Effect::Persist(Record::MemberList(Box::new(member_list.clone()))));
        self.recent.clear();
        self.member_list = Some(member_list);
        self.member_list_changed(now, None);
        self.effects.push(Effect::Answer(id, Ok(())));
        Ok(())
    }

    pub(super) fn settle_orders(&mut self) {
        let Some(member_list) = &self.member_list else { return };
        for order in &mut self.orders {
            if let Change::Leaving { folder } = order.change
                && member_list.members.get(&folder).is_none_or(|member| member.leaving)
            {
                order.change = Change::Departure { folder, why: Departure::Left };
                // It is due at once.
                self.next_propose = 0;
            }
        }
        let (over, open): (Vec<Waiting>, Vec<Waiting>) = std::mem::take(&mut self.orders)
            .into_iter()
            .partition(|order| self.agreed_already(&order.change));
        self.orders = open;
        self.effects.extend(over.into_iter().map(|order| Effect::Answer(order.id, Ok(()))));
    }

    pub(super) fn give_up_orders(&mut self, now: Millis) {
        let (over, open): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.orders).into_iter().partition(|order| order.until <= now);
        self.orders = open;
        let error = || CommandError::NoMajority(ORDER_PATIENCE / 1_000);
        self.effects.extend(over.into_iter().map(|order| Effect::Answer(order.id, Err(error()))));
    }
}
