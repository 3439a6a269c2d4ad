//! Frames to bytes and back.

use crate::framing::MAX_FRAME_LEN;
use crate::peer_capnp as wire;
use bytes::Bytes;
use capnp::message::{Builder, HeapAllocator, ReaderOptions};
use capnp::traits::{HasStructSize, OwnedStruct};
use capnp::{primitive_list, serialize_packed, struct_list, text};
use fleet_model::{
    AcceptedValue, Answer, Ballot, Call, ChosenValue, Endpoint, EndpointList, EndpointState, Frame,
    ListVersion, Push, RegisterReply, RegisterRequest, RegisterValue, Reservation, StorageNode, Turn,
};
use std::net::{Ipv4Addr, SocketAddrV4};

/// Bytes that are no frame, or a frame that does not fit.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// Longer than [`MAX_FRAME_LEN`].
    #[error("a frame of {0} bytes is too long")]
    TooLong(usize),
    /// Not a frame, or with a field that this version does not know.
    #[error("malformed frame: {0}")]
    Malformed(#[from] capnp::Error),
    /// A frame with more bytes after it.
    #[error("{0} bytes follow the frame")]
    Trailing(usize),
}

impl From<capnp::NotInSchema> for WireError {
    fn from(unknown: capnp::NotInSchema) -> Self {
        Self::Malformed(unknown.into())
    }
}

impl From<std::str::Utf8Error> for WireError {
    fn from(error: std::str::Utf8Error) -> Self {
        Self::Malformed(error.into())
    }
}

fn malformed(what: &str) -> WireError {
    WireError::Malformed(capnp::Error::failed(what.into()))
}

/// Two packed bytes may be a word of zeros with 255 more.
const WORDS_PER_PACKED_BYTE: usize = 128;

/// Words of a message's first segment: enough for most frames but lists and turns.
const FIRST_SEGMENT_WORDS: u32 = 64;

/// A frame's bytes, without the length that goes before them on a connection.
pub fn encode(frame: &Frame) -> Result<Bytes, WireError> {
    let size = bulk(frame);
    if size > MAX_FRAME_LEN {
        return Err(WireError::TooLong(size));
    }
    let words = FIRST_SEGMENT_WORDS + u32::try_from(size / 8).expect("at most the longest frame");
    let mut message = Builder::new(HeapAllocator::new().first_segment_words(words));
    write_frame(message.init_root(), frame);
    let unpacked = message.size_in_words() * 8;
    if unpacked > MAX_FRAME_LEN {
        return Err(WireError::TooLong(unpacked));
    }
    let mut bytes = Vec::with_capacity(64 + size);
    serialize_packed::write_message(&mut bytes, &message)?;
    if bytes.len() > MAX_FRAME_LEN {
        return Err(WireError::TooLong(bytes.len()));
    }
    Ok(bytes.into())
}

/// The frame of which these are the bytes.
pub fn decode(bytes: &[u8]) -> Result<Frame, WireError> {
    if bytes.len() > MAX_FRAME_LEN {
        return Err(WireError::TooLong(bytes.len()));
    }
    let mut rest = bytes;
    // What a message tells of its size is asked for before it is read: no more than these bytes can unpack to.
    let most = (bytes.len() * WORDS_PER_PACKED_BYTE).min(MAX_FRAME_LEN / 8);
    let options = ReaderOptions { traversal_limit_in_words: Some(2 * most), nesting_limit: 16 };
    let message = serialize_packed::read_message(&mut rest, options)?;
    if !rest.is_empty() {
        return Err(WireError::Trailing(rest.len()));
    }
    let words = Words(message.size_in_words());
    read_frame(message.get_root()?, words)
}

/// The length of the message that is read.
#[derive(Clone, Copy)]
struct Words(usize);

impl Words {
    /// A list whose elements have room in the message. Elements without fields take none, however many there are.
    fn hold<'a, T: OwnedStruct>(
        self,
        list: struct_list::Reader<'a, T>,
    ) -> Result<struct_list::Reader<'a, T>, WireError>
    where
        T::Builder<'a>: HasStructSize,
    {
        let element = <T::Builder<'a> as HasStructSize>::STRUCT_SIZE.total() as usize;
        match list.len() as usize * element <= self.0 {
            true => Ok(list),
            false => Err(malformed("a list longer than the message")),
        }
    }
}

/// About how many bytes the long fields of a frame take.
fn bulk(frame: &Frame) -> usize {
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
        Frame::Call(_, Call::StoreTurn { turn: kept, .. }) => turn(kept),
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
            Answer::View(json) => json.len(),
            _ => 0,
        },
        Frame::Push(push) => match push {
            Push::Heartbeat { .. } => 0,
            Push::Value(value) => value.payload.len() + 4 * value.voters.len(),
            Push::List(list) => endpoints(&list.endpoints),
            Push::ListDelta { upserted: put, removed: gone, .. } => {
                endpoints(put) + gone.iter().map(|id| 16 + id.len()).sum::<usize>()
            }
        },
    }
}

/// A list's length as the schema's compiler wants it. [`encode`] refuses long frames before it writes them, so that what
/// is longer cannot come here but with lists of empty things, of which none are sent.
fn count(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}

fn write_frame(mut to: wire::frame::Builder<'_>, frame: &Frame) {
    match frame {
        Frame::Call(number, call) => {
            to.set_number(*number);
            write_call(to.init_call(), call);
        }
        Frame::Answer(number, answer) => {
            to.set_number(*number);
            write_answer(to.init_answer(), answer);
        }
        Frame::Push(push) => write_push(to.init_push(), push),
    }
}

fn read_frame(from: wire::frame::Reader<'_>, words: Words) -> Result<Frame, WireError> {
    let number = from.get_number();
    Ok(match from.which()? {
        wire::frame::Nothing(()) => return Err(malformed("nothing in it")),
        wire::frame::Call(call) => Frame::Call(number, read_call(call?)?),
        wire::frame::Answer(answer) => Frame::Answer(number, read_answer(answer?, words)?),
        wire::frame::Push(push) => Frame::Push(read_push(push?, words)?),
    })
}

fn write_call(mut to: wire::call::Builder<'_>, call: &Call) {
    match call {
        Call::Register(request) => write_register_request(to.init_register(), request),
        Call::JoinCore { ip } => to.init_join_core().set_ip((*ip).into()),
        Call::JoinStorage { store } => write_store(to.init_join_storage(), store),
        Call::InSync { disk, epoch } => {
            let mut to = to.init_filled();
            to.set_disk(*disk);
            to.set_epoch(*epoch);
        }
        Call::Subscribe { ip, zone, urgent, value, list } => {
            let mut to = to.init_subscribe();
            to.set_ip((*ip).into());
            to.set_zone(zone);
            to.set_urgent(*urgent);
            write_ballot(to.reborrow().init_value(), value);
            write_list_version(to.init_list(), *list);
        }
        Call::Reserve { epoch, program, reservation } => {
            let mut to = to.init_reserve();
            to.set_epoch(*epoch);
            to.set_program(program);
            to.set_attempt(reservation.attempt);
            to.set_tokens(reservation.tokens);
        }
        Call::Settle { epoch, program, reservation } => {
            let mut to = to.init_settle();
            to.set_epoch(*epoch);
            to.set_program(program);
            to.set_attempt(reservation.attempt);
            to.set_tokens(reservation.tokens);
        }
        Call::ReadAccount { epoch, program } => {
            let mut to = to.init_read_account();
            to.set_epoch(*epoch);
            to.set_program(program);
        }
        Call::StoreTurn { epoch, turn } => {
            let mut to = to.init_keep_turn();
            to.set_epoch(*epoch);
            write_turn(to.init_turn(), turn);
        }
        Call::ReadChain { epoch, attempt } => {
            let mut to = to.init_read_chain();
            to.set_epoch(*epoch);
            to.set_attempt(attempt);
        }
        Call::Backfill { epoch, disk, cursor } => {
            let mut to = to.init_fill();
            to.set_epoch(*epoch);
            to.set_disk(*disk);
            to.set_cursor(cursor);
        }
        Call::BackfillDone { epoch, disk } => {
            let mut to = to.init_fill_done();
            to.set_epoch(*epoch);
            to.set_disk(*disk);
        }
        Call::Inspect { topic } => to.set_inspect(topic),
    }
}

fn read_call(from: wire::call::Reader<'_>) -> Result<Call, WireError> {
    use wire::call::Which;
    Ok(match from.which()? {
        Which::Register(request) => Call::Register(read_register_request(request?)?),
        Which::JoinCore(from) => Call::JoinCore { ip: from.get_ip().into() },
        Which::JoinStorage(store) => Call::JoinStorage { store: read_store(store?)? },
        Which::Filled(from) => Call::InSync { disk: from.get_disk(), epoch: from.get_epoch() },
        Which::Subscribe(from) => Call::Subscribe {
            ip: from.get_ip().into(),
            zone: read_text(from.get_zone()?)?,
            urgent: from.get_urgent(),
            value: read_ballot(from.get_value()?),
            list: read_list_version(from.get_list()?),
        },
        Which::Reserve(from) => Call::Reserve {
            epoch: from.get_epoch(),
            program: read_text(from.get_program()?)?,
            reservation: Reservation { attempt: from.get_attempt(), tokens: from.get_tokens() },
        },
        Which::Settle(from) => Call::Settle {
            epoch: from.get_epoch(),
            program: read_text(from.get_program()?)?,
            reservation: Reservation { attempt: from.get_attempt(), tokens: from.get_tokens() },
        },
        Which::ReadAccount(from) => {
            Call::ReadAccount { epoch: from.get_epoch(), program: read_text(from.get_program()?)? }
        }
        Which::KeepTurn(from) => {
            Call::StoreTurn { epoch: from.get_epoch(), turn: read_turn(from.get_turn()?)? }
        }
        Which::ReadChain(from) => {
            Call::ReadChain { epoch: from.get_epoch(), attempt: read_text(from.get_attempt()?)? }
        }
        Which::Fill(from) => Call::Backfill {
            epoch: from.get_epoch(),
            disk: from.get_disk(),
            cursor: Bytes::copy_from_slice(from.get_cursor()?),
        },
        Which::FillDone(from) => Call::BackfillDone { epoch: from.get_epoch(), disk: from.get_disk() },
        Which::Inspect(topic) => Call::Inspect { topic: read_text(topic?)? },
    })
}

fn write_answer(mut to: wire::answer::Builder<'_>, answer: &Answer) {
    match answer {
        Answer::Register(reply) => write_register_reply(to.init_register(), reply),
        Answer::Done => to.set_done(()),
        Answer::NotReady => to.set_unready(()),
        Answer::Redirect(addresses) => {
            let mut to = to.init_redirect(count(addresses.len()));
            for (index, address) in (0..).zip(addresses) {
                let mut to = to.reborrow().get(index);
                to.set_ip((*address.ip()).into());
                to.set_port(address.port());
            }
        }
        Answer::WrongEpoch(epoch) => to.set_wrong_epoch(*epoch),
        Answer::Account(reservations) => {
            write_reservations(to.init_account(count(reservations.len())), reservations);
        }
        Answer::Chain { text, missing } => {
            let mut to = to.init_chain();
            to.set_text(text);
            if let Some(missing) = missing {
                to.set_missing(missing);
            }
        }
        Answer::Absent { complete } => to.init_absent().set_complete(*complete),
        Answer::Records { turns, accounts, cursor } => {
            let mut to = to.init_records();
            let mut list = to.reborrow().init_turns(count(turns.len()));
            for (index, turn) in (0..).zip(turns) {
                write_turn(list.reborrow().get(index), turn);
            }
            let mut list = to.reborrow().init_accounts(count(accounts.len()));
            for (index, (program, reservations)) in (0..).zip(accounts) {
                let mut to = list.reborrow().get(index);
                to.set_program(program);
                write_reservations(to.init_reservations(count(reservations.len())), reservations);
            }
            if let Some(cursor) = cursor {
                to.set_cursor(cursor);
            }
        }
        Answer::View(json) => to.set_view(json),
    }
}

fn read_answer(from: wire::answer::Reader<'_>, words: Words) -> Result<Answer, WireError> {
    use wire::answer::Which;
    Ok(match from.which()? {
        Which::Register(reply) => Answer::Register(read_register_reply(reply?)?),
        Which::Done(()) => Answer::Done,
        Which::Unready(()) => Answer::NotReady,
        Which::Redirect(addresses) => Answer::Redirect(
            words
                .hold(addresses?)?
                .iter()
                .map(|address| SocketAddrV4::new(address.get_ip().into(), address.get_port()))
                .collect(),
        ),
        Which::WrongEpoch(epoch) => Answer::WrongEpoch(epoch),
        Which::Account(reservations) => Answer::Account(read_reservations(words.hold(reservations?)?)),
        Which::Chain(from) => Answer::Chain {
            text: Bytes::copy_from_slice(from.get_text()?),
            missing: from.has_missing().then(|| read_text(from.get_missing()?)).transpose()?,
        },
        Which::Absent(from) => Answer::Absent { complete: from.get_complete() },
        Which::Records(from) => Answer::Records {
            turns: words.hold(from.get_turns()?)?.iter().map(read_turn).collect::<Result<_, _>>()?,
            accounts: words
                .hold(from.get_accounts()?)?
                .iter()
                .map(|account| {
                    let reservations = words.hold(account.get_reservations()?)?;
                    Ok((read_text(account.get_program()?)?, read_reservations(reservations)))
                })
                .collect::<Result<_, WireError>>()?,
            cursor: from.has_cursor().then(|| from.get_cursor().map(Bytes::copy_from_slice)).transpose()?,
        },
        Which::View(json) => Answer::View(read_text(json?)?),
    })
}

fn write_push(to: wire::push::Builder<'_>, push: &Push) {
    match push {
        Push::Heartbeat { age_ms, proxies } => {
            let mut to = to.init_beat();
            to.set_age_ms(*age_ms);
            to.set_proxies(*proxies);
        }
        Push::Value(value) => {
            let mut to = to.init_value();
            write_ballot(to.reborrow().init_ballot(), &value.ballot);
            write_ips(to.reborrow().init_voters(count(value.voters.len())), &value.voters);
            to.set_payload(&value.payload);
        }
        Push::List(list) => {
            let mut to = to.init_list();
            write_list_version(to.reborrow().init_stamp(), list.version);
            write_endpoints(to.init_endpoints(count(list.endpoints.len())), &list.endpoints);
        }
        Push::ListDelta { base, version, upserted, removed } => {
            let mut to = to.init_list_change();
            write_list_version(to.reborrow().init_base(), *base);
            write_list_version(to.reborrow().init_stamp(), *version);
            write_endpoints(to.reborrow().init_put(count(upserted.len())), upserted);
            let mut list = to.init_gone(count(removed.len()));
            for (index, instance) in (0..).zip(removed) {
                list.set(index, instance);
            }
        }
    }
}

fn read_push(from: wire::push::Reader<'_>, words: Words) -> Result<Push, WireError> {
    use wire::push::Which;
    Ok(match from.which()? {
        Which::Beat(from) => Push::Heartbeat { age_ms: from.get_age_ms(), proxies: from.get_proxies() },
        Which::Value(from) => Push::Value(ChosenValue {
            ballot: read_ballot(from.get_ballot()?),
            voters: read_ips(from.get_voters()?),
            payload: Bytes::copy_from_slice(from.get_payload()?),
        }),
        Which::List(from) => Push::List(EndpointList {
            version: read_list_version(from.get_stamp()?),
            endpoints: read_endpoints(words.hold(from.get_endpoints()?)?)?,
        }),
        Which::ListChange(from) => Push::ListDelta {
            base: read_list_version(from.get_base()?),
            version: read_list_version(from.get_stamp()?),
            upserted: read_endpoints(words.hold(from.get_put()?)?)?,
            removed: from
                .get_gone()?
                .iter()
                .map(|instance| read_text(instance?))
                .collect::<Result<_, _>>()?,
        },
    })
}

fn write_register_request(mut to: wire::register_request::Builder<'_>, request: &RegisterRequest) {
    match request {
        RegisterRequest::Prepare(ballot) => write_ballot(to.init_prepare(), ballot),
        RegisterRequest::Accept(value) => write_accepted(to.init_accept(), value),
        RegisterRequest::Poll { chosen } => write_ballot(to.init_poll(), chosen),
        RegisterRequest::Fetch => to.set_fetch(()),
    }
}

fn read_register_request(from: wire::register_request::Reader<'_>) -> Result<RegisterRequest, WireError> {
    use wire::register_request::Which;
    Ok(match from.which()? {
        Which::Prepare(ballot) => RegisterRequest::Prepare(read_ballot(ballot?)),
        Which::Accept(value) => RegisterRequest::Accept(read_accepted(value?)?),
        Which::Poll(chosen) => RegisterRequest::Poll { chosen: read_ballot(chosen?) },
        Which::Fetch(()) => RegisterRequest::Fetch,
    })
}

fn write_register_reply(mut to: wire::register_reply::Builder<'_>, reply: &RegisterReply) {
    match reply {
        RegisterReply::Promised(value) => {
            let to = to.init_promised();
            if let Some(value) = value {
                write_accepted(to.init_value(), value);
            }
        }
        RegisterReply::Accepted => to.set_accepted(()),
        RegisterReply::Rejected(ballot) => write_ballot(to.init_refused(), ballot),
        RegisterReply::Recovering => to.set_unfit(()),
        RegisterReply::Polled { accepted, chosen } => {
            let mut to = to.init_polled();
            if let Some(accepted) = accepted {
                write_ballot(to.reborrow().init_accepted(), accepted);
            }
            write_ballot(to.init_chosen(), chosen);
        }
        RegisterReply::Fetched(value) => {
            let to = to.init_fetched();
            if let Some(value) = value {
                write_accepted(to.init_value(), value);
            }
        }
    }
}

fn read_register_reply(from: wire::register_reply::Reader<'_>) -> Result<RegisterReply, WireError> {
    use wire::register_reply::Which;
    let some = |has: bool, value: capnp::Result<wire::accepted_value::Reader<'_>>| {
        has.then(|| read_accepted(value?)).transpose()
    };
    Ok(match from.which()? {
        Which::Promised(from) => RegisterReply::Promised(some(from.has_value(), from.get_value())?),
        Which::Accepted(()) => RegisterReply::Accepted,
        Which::Refused(ballot) => RegisterReply::Rejected(read_ballot(ballot?)),
        Which::Unfit(()) => RegisterReply::Recovering,
        Which::Polled(from) => RegisterReply::Polled {
            accepted: from.has_accepted().then(|| from.get_accepted().map(read_ballot)).transpose()?,
            chosen: read_ballot(from.get_chosen()?),
        },
        Which::Fetched(from) => RegisterReply::Fetched(some(from.has_value(), from.get_value())?),
    })
}

fn write_ballot(mut to: wire::ballot::Builder<'_>, ballot: &Ballot) {
    to.set_round(ballot.round);
    to.set_proposer(ballot.proposer);
    to.set_life(ballot.incarnation);
}

fn read_ballot(from: wire::ballot::Reader<'_>) -> Ballot {
    Ballot { round: from.get_round(), proposer: from.get_proposer(), incarnation: from.get_life() }
}

fn write_accepted(mut to: wire::accepted_value::Builder<'_>, accepted: &AcceptedValue) {
    write_ballot(to.reborrow().init_ballot(), &accepted.ballot);
    let mut to = to.init_value();
    to.set_epoch(accepted.value.epoch);
    write_ips(to.reborrow().init_voters(count(accepted.value.voters.len())), &accepted.value.voters);
    to.set_payload(&accepted.value.payload);
}

fn read_accepted(from: wire::accepted_value::Reader<'_>) -> Result<AcceptedValue, WireError> {
    let value = from.get_value()?;
    Ok(AcceptedValue {
        ballot: read_ballot(from.get_ballot()?),
        value: RegisterValue {
            epoch: value.get_epoch(),
            voters: read_ips(value.get_voters()?),
            payload: Bytes::copy_from_slice(value.get_payload()?),
        },
    })
}

fn write_list_version(mut to: wire::stamp::Builder<'_>, version: ListVersion) {
    to.set_fence(version.token);
    to.set_reading(version.poll);
}

fn read_list_version(from: wire::stamp::Reader<'_>) -> ListVersion {
    ListVersion::new(from.get_fence(), from.get_reading())
}

fn write_ips(mut to: primitive_list::Builder<'_, u32>, ips: &[Ipv4Addr]) {
    for (index, ip) in (0..).zip(ips) {
        to.set(index, (*ip).into());
    }
}

fn read_ips(from: primitive_list::Reader<'_, u32>) -> Vec<Ipv4Addr> {
    from.iter().map(Ipv4Addr::from).collect()
}

fn write_store(mut to: wire::store::Builder<'_>, store: &StorageNode) {
    to.set_name(&store.name);
    to.set_ip(store.ip.into());
    to.set_zone(&store.zone);
    to.set_disk(store.disk);
}

fn read_store(from: wire::store::Reader<'_>) -> Result<StorageNode, WireError> {
    Ok(StorageNode {
        name: read_text(from.get_name()?)?,
        ip: from.get_ip().into(),
        zone: read_text(from.get_zone()?)?,
        disk: from.get_disk(),
    })
}

fn write_endpoints(mut to: struct_list::Builder<'_, wire::endpoint::Owned>, endpoints: &[Endpoint]) {
    for (index, endpoint) in (0..).zip(endpoints) {
        let mut to = to.reborrow().get(index);
        to.set_instance_id(&endpoint.instance_id);
        to.set_service(&endpoint.service);
        to.set_ip((*endpoint.address.ip()).into());
        to.set_port(endpoint.address.port());
        to.set_zone(&endpoint.zone);
        to.set_capacity_slots(endpoint.capacity_slots);
        to.set_state(match endpoint.state {
            EndpointState::Ready => wire::endpoint::State::Ready,
            EndpointState::Draining => wire::endpoint::State::Draining,
        });
    }
}

fn read_endpoints(from: struct_list::Reader<'_, wire::endpoint::Owned>) -> Result<Vec<Endpoint>, WireError> {
    from.iter()
        .map(|endpoint| {
            Ok(Endpoint {
                instance_id: read_text(endpoint.get_instance_id()?)?,
                service: read_text(endpoint.get_service()?)?,
                address: SocketAddrV4::new(endpoint.get_ip().into(), endpoint.get_port()),
                zone: read_text(endpoint.get_zone()?)?,
                capacity_slots: endpoint.get_capacity_slots(),
                state: match endpoint.get_state()? {
                    wire::endpoint::State::Ready => EndpointState::Ready,
                    wire::endpoint::State::Draining => EndpointState::Draining,
                },
            })
        })
        .collect()
}

fn write_turn(mut to: wire::turn::Builder<'_>, turn: &Turn) {
    to.set_attempt(&turn.attempt);
    if let Some(previous) = &turn.previous {
        to.set_previous(previous);
    }
    to.set_input(&turn.input);
    to.set_output(&turn.output);
    to.set_retention_ms(turn.retention_ms);
    let mut holders = to.init_holders(count(turn.replicas.len()));
    for (index, disk) in (0..).zip(&turn.replicas) {
        holders.set(index, *disk);
    }
}

fn read_turn(from: wire::turn::Reader<'_>) -> Result<Turn, WireError> {
    Ok(Turn {
        attempt: read_text(from.get_attempt()?)?,
        previous: from.has_previous().then(|| read_text(from.get_previous()?)).transpose()?,
        input: Bytes::copy_from_slice(from.get_input()?),
        output: Bytes::copy_from_slice(from.get_output()?),
        retention_ms: from.get_retention_ms(),
        replicas: from.get_holders()?.iter().collect(),
    })
}

fn write_reservations(
    mut to: struct_list::Builder<'_, wire::reservation::Owned>,
    reservations: &[Reservation],
) {
    for (index, reservation) in (0..).zip(reservations) {
        let mut to = to.reborrow().get(index);
        to.set_attempt(reservation.attempt);
        to.set_tokens(reservation.tokens);
    }
}

fn read_reservations(from: struct_list::Reader<'_, wire::reservation::Owned>) -> Vec<Reservation> {
    from.iter().map(|r| Reservation { attempt: r.get_attempt(), tokens: r.get_tokens() }).collect()
}

fn read_text(from: text::Reader<'_>) -> Result<String, WireError> {
    Ok(from.to_str()?.to_owned())
}
