//! Bounds on lengths: estimates before a frame is written, and checks while one is read.

use super::WireError;
use super::coordination::{coordination_answer_len, coordination_call_len};
use super::malformed;
use capnp::struct_list;
use capnp::traits::{HasStructSize, OwnedStruct};
use fleet_model::{
    AcceptedValue, Answer, Call, Endpoint, Frame, Order, Push, RegisterReply, RegisterRequest, Turn,
};

/// Length in words of the message that is read.
#[derive(Clone, Copy)]
pub(super) struct MessageWords(pub(super) usize);

impl MessageWords {
    /// Checks that the elements of a list fit into the message, against lists that claim more elements than were sent.
    /// Elements without fields take no words, however many there are.
    pub(super) fn check_len<'a, T: OwnedStruct>(
        self,
        list: struct_list::Reader<'a, T>,
    ) -> Result<struct_list::Reader<'a, T>, WireError>
    where
        T::Builder<'a>: HasStructSize,
    {
        let element = <T::Builder<'a> as HasStructSize>::STRUCT_SIZE.total() as usize;
        match list.len() as usize * element <= self.0 {
            true => Ok(list),
            false => Err(malformed("a list is longer than the message")),
        }
    }
}

/// Estimated number of bytes of the variable-length fields of a frame.
pub(crate) fn estimated_len(frame: &Frame) -> usize {
    fn endpoints(list: &[Endpoint]) -> usize {
        list.iter().map(|e| 72 + e.instance_id.len() + e.service.len() + e.zone.len()).sum()
    }
    fn turn(turn: &Turn) -> usize {
        let previous = turn.previous.as_ref().map_or(0, String::len);
        80 + turn.attempt.len() + previous + turn.input.len() + turn.output.len() + 8 * turn.replicas.len()
    }
    fn accepted(value: &AcceptedValue) -> usize {
        value.value.payload.len() + 4 * value.value.voters.len()
    }
    match frame {
        Frame::Call(_, Call::Register(RegisterRequest::Accept(value))) => accepted(value),
        Frame::Call(_, Call::StoreTurn { turn: stored, .. }) => turn(stored),
        Frame::Call(_, Call::Order(Order::PutConfig { body, .. })) => body.len(),
        Frame::Call(_, Call::Coordination(call)) => coordination_call_len(call),
        Frame::Call(..) => 0,
        Frame::Answer(_, answer) => match answer {
            Answer::Register(RegisterReply::Promised(Some(value)) | RegisterReply::Fetched(Some(value))) => {
                accepted(value)
            }
            Answer::Account(reservations) => 16 * reservations.len(),
            Answer::Chain { text, .. } => text.len(),
            Answer::Records { turns, accounts, .. } => {
                let accounts: usize = accounts.iter().map(|(p, r)| 40 + p.len() + 16 * r.len()).sum();
                turns.iter().map(turn).sum::<usize>() + accounts
            }
            Answer::Coordination(answer) => coordination_answer_len(answer),
            Answer::View(json) => json.len(),
            _ => 0,
        },
        Frame::Push(push) => match push {
            Push::Heartbeat { .. } => 0,
            Push::Value(value) => value.payload.len() + 4 * value.voters.len(),
            Push::List(list) => endpoints(&list.endpoints),
            Push::ListDelta { upserted, removed, .. } => {
                endpoints(upserted) + removed.iter().map(|id| 16 + id.len()).sum::<usize>()
            }
        },
    }
}

/// Length of a list as the generated code takes it. [`encode`](super::encode) rejects long frames before it writes them, so
/// that a longer list could only have empty elements, and none of these are sent.
pub(super) fn list_len(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}
