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
    let size = estimated_len(frame);
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
    let max_words = (bytes.len() * WORDS_PER_PACKED_BYTE).min(MAX_FRAME_LEN / 8);
    let options = ReaderOptions { traversal_limit_in_words: Some(2 * max_words), nesting_limit: 16 };
    let message = serialize_packed::read_message(&mut rest, options)?;
    if !rest.is_empty() {
        return Err(WireError::Trailing(rest.len()));
    }
    let words = MessageWords(message.size_in_words());
    read_frame(message.get_root()?, words)
}

/// The length of the message that is read.
#[derive(Clone, Copy)]
struct MessageWords(usize);

impl MessageWords {
    /// A list whose elements have room in the message. Elements without fields take none, however many there are.
    fn check_len<'a, T: OwnedStruct>(
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

/// About how many bytes the long fields of a frame take.
fn estimated_len(frame: &Frame) -> usize {
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
            Push::ListDelta { upserted, removed, .. } => {
                endpoints(upserted) + removed.iter().map(|id| 16 + id.len()).sum::<usize>()
            }
        },
    }
}

/// A list's length as the schema's compiler wants it. [`encode`] refuses long frames before it writes them, so that what
/// is longer cannot come here but with lists of empty things, of which none are sent.
fn list_len(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}

fn write_frame(mut builder: wire::frame::Builder<'_>, frame: &Frame) {
    match frame {
        Frame::Call(call_id, call) => {
            builder.set_number(*call_id);
            write_call(builder.init_call(), call);
        }
        Frame::Answer(call_id, answer) => {
            builder.set_number(*call_id);
            write_answer(builder.init_answer(), answer);
        }
        Frame::Push(push) => write_push(builder.init_push(), push),
    }
}

fn read_frame(reader: wire::frame::Reader<'_>, words: MessageWords) -> Result<Frame, WireError> {
    let call_id = reader.get_number();
    Ok(match reader.which()? {
        wire::frame::Nothing(()) => return Err(malformed("the frame is empty")),
        wire::frame::Call(call) => Frame::Call(call_id, read_call(call?)?),
        wire::frame::Answer(answer) => Frame::Answer(call_id, read_answer(answer?, words)?),
        wire::frame::Push(push) => Frame::Push(read_push(push?, words)?),
    })
}

fn write_call(mut builder: wire::call::Builder<'_>, call: &Call) {
    match call {
        Call::Register(request) => write_register_request(builder.init_register(), request),
        Call::JoinCore { ip } => builder.init_join_core().set_ip((*ip).into()),
        Call::JoinStorage { store } => write_storage_node(builder.init_join_storage(), store),
        Call::InSync { disk, epoch } => {
            let mut builder = builder.init_filled();
            builder.set_disk(*disk);
            builder.set_epoch(*epoch);
        }
        Call::Subscribe { ip, zone, urgent, value, list } => {
            let mut builder = builder.init_subscribe();
            builder.set_ip((*ip).into());
            builder.set_zone(zone);
            builder.set_urgent(*urgent);
            write_ballot(builder.reborrow().init_value(), value);
            write_list_version(builder.init_list(), *list);
        }
        Call::Reserve { epoch, program, reservation } => {
            let mut builder = builder.init_reserve();
            builder.set_epoch(*epoch);
            builder.set_program(program);
            builder.set_attempt(reservation.attempt);
            builder.set_tokens(reservation.tokens);
        }
        Call::Settle { epoch, program, reservation } => {
            let mut builder = builder.init_settle();
            builder.set_epoch(*epoch);
            builder.set_program(program);
            builder.set_attempt(reservation.attempt);
            builder.set_tokens(reservation.tokens);
        }
        Call::ReadAccount { epoch, program } => {
            let mut builder = builder.init_read_account();
            builder.set_epoch(*epoch);
            builder.set_program(program);
        }
        Call::StoreTurn { epoch, turn } => {
            let mut builder = builder.init_keep_turn();
            builder.set_epoch(*epoch);
            write_turn(builder.init_turn(), turn);
        }
        Call::ReadChain { epoch, attempt } => {
            let mut builder = builder.init_read_chain();
            builder.set_epoch(*epoch);
            builder.set_attempt(attempt);
        }
        Call::Backfill { epoch, disk, cursor } => {
            let mut builder = builder.init_fill();
            builder.set_epoch(*epoch);
            builder.set_disk(*disk);
            builder.set_cursor(cursor);
        }
        Call::BackfillDone { epoch, disk } => {
            let mut builder = builder.init_fill_done();
            builder.set_epoch(*epoch);
            builder.set_disk(*disk);
        }
        Call::Inspect { topic } => builder.set_inspect(topic),
    }
}

fn read_call(reader: wire::call::Reader<'_>) -> Result<Call, WireError> {
    use wire::call::Which;
    Ok(match reader.which()? {
        Which::Register(request) => Call::Register(read_register_request(request?)?),
        Which::JoinCore(reader) => Call::JoinCore { ip: reader.get_ip().into() },
        Which::JoinStorage(store) => Call::JoinStorage { store: read_storage_node(store?)? },
        Which::Filled(reader) => Call::InSync { disk: reader.get_disk(), epoch: reader.get_epoch() },
        Which::Subscribe(reader) => Call::Subscribe {
            ip: reader.get_ip().into(),
            zone: read_text(reader.get_zone()?)?,
            urgent: reader.get_urgent(),
            value: read_ballot(reader.get_value()?),
            list: read_list_version(reader.get_list()?),
        },
        Which::Reserve(reader) => Call::Reserve {
            epoch: reader.get_epoch(),
            program: read_text(reader.get_program()?)?,
            reservation: Reservation { attempt: reader.get_attempt(), tokens: reader.get_tokens() },
        },
        Which::Settle(reader) => Call::Settle {
            epoch: reader.get_epoch(),
            program: read_text(reader.get_program()?)?,
            reservation: Reservation { attempt: reader.get_attempt(), tokens: reader.get_tokens() },
        },
        Which::ReadAccount(reader) => {
            Call::ReadAccount { epoch: reader.get_epoch(), program: read_text(reader.get_program()?)? }
        }
        Which::KeepTurn(reader) => {
            Call::StoreTurn { epoch: reader.get_epoch(), turn: read_turn(reader.get_turn()?)? }
        }
        Which::ReadChain(reader) => {
            Call::ReadChain { epoch: reader.get_epoch(), attempt: read_text(reader.get_attempt()?)? }
        }
        Which::Fill(reader) => Call::Backfill {
            epoch: reader.get_epoch(),
            disk: reader.get_disk(),
            cursor: Bytes::copy_from_slice(reader.get_cursor()?),
        },
        Which::FillDone(reader) => Call::BackfillDone { epoch: reader.get_epoch(), disk: reader.get_disk() },
        Which::Inspect(topic) => Call::Inspect { topic: read_text(topic?)? },
    })
}

fn write_answer(mut builder: wire::answer::Builder<'_>, answer: &Answer) {
    match answer {
        Answer::Register(reply) => write_register_reply(builder.init_register(), reply),
        Answer::Done => builder.set_done(()),
        Answer::NotReady => builder.set_unready(()),
        Answer::Redirect(addresses) => {
            let mut builder = builder.init_redirect(list_len(addresses.len()));
            for (index, address) in (0..).zip(addresses) {
                let mut builder = builder.reborrow().get(index);
                builder.set_ip((*address.ip()).into());
                builder.set_port(address.port());
            }
        }
        Answer::WrongEpoch(epoch) => builder.set_wrong_epoch(*epoch),
        Answer::Account(reservations) => {
            write_reservations(builder.init_account(list_len(reservations.len())), reservations);
        }
        Answer::Chain { text, missing } => {
            let mut builder = builder.init_chain();
            builder.set_text(text);
            if let Some(missing) = missing {
                builder.set_missing(missing);
            }
        }
        Answer::Absent { complete } => builder.init_absent().set_complete(*complete),
        Answer::Records { turns, accounts, cursor } => {
            let mut builder = builder.init_records();
            let mut list = builder.reborrow().init_turns(list_len(turns.len()));
            for (index, turn) in (0..).zip(turns) {
                write_turn(list.reborrow().get(index), turn);
            }
            let mut list = builder.reborrow().init_accounts(list_len(accounts.len()));
            for (index, (program, reservations)) in (0..).zip(accounts) {
                let mut builder = list.reborrow().get(index);
                builder.set_program(program);
                write_reservations(builder.init_reservations(list_len(reservations.len())), reservations);
            }
            if let Some(cursor) = cursor {
                builder.set_cursor(cursor);
            }
        }
        Answer::View(json) => builder.set_view(json),
    }
}

fn read_answer(reader: wire::answer::Reader<'_>, words: MessageWords) -> Result<Answer, WireError> {
    use wire::answer::Which;
    Ok(match reader.which()? {
        Which::Register(reply) => Answer::Register(read_register_reply(reply?)?),
        Which::Done(()) => Answer::Done,
        Which::Unready(()) => Answer::NotReady,
        Which::Redirect(addresses) => Answer::Redirect(
            words
                .check_len(addresses?)?
                .iter()
                .map(|address| SocketAddrV4::new(address.get_ip().into(), address.get_port()))
                .collect(),
        ),
        Which::WrongEpoch(epoch) => Answer::WrongEpoch(epoch),
        Which::Account(reservations) => Answer::Account(read_reservations(words.check_len(reservations?)?)),
        Which::Chain(reader) => Answer::Chain {
            text: Bytes::copy_from_slice(reader.get_text()?),
            missing: reader.has_missing().then(|| read_text(reader.get_missing()?)).transpose()?,
        },
        Which::Absent(reader) => Answer::Absent { complete: reader.get_complete() },
        Which::Records(reader) => Answer::Records {
            turns: words.check_len(reader.get_turns()?)?.iter().map(read_turn).collect::<Result<_, _>>()?,
            accounts: words
                .check_len(reader.get_accounts()?)?
                .iter()
                .map(|account| {
                    let reservations = words.check_len(account.get_reservations()?)?;
                    Ok((read_text(account.get_program()?)?, read_reservations(reservations)))
                })
                .collect::<Result<_, WireError>>()?,
            cursor: reader
                .has_cursor()
                .then(|| reader.get_cursor().map(Bytes::copy_from_slice))
                .transpose()?,
        },
        Which::View(json) => Answer::View(read_text(json?)?),
    })
}

fn write_push(builder: wire::push::Builder<'_>, push: &Push) {
    match push {
        Push::Heartbeat { age_ms, proxies } => {
            let mut builder = builder.init_beat();
            builder.set_age_ms(*age_ms);
            builder.set_proxies(*proxies);
        }
        Push::Value(value) => {
            let mut builder = builder.init_value();
            write_ballot(builder.reborrow().init_ballot(), &value.ballot);
            write_ips(builder.reborrow().init_voters(list_len(value.voters.len())), &value.voters);
            builder.set_payload(&value.payload);
        }
        Push::List(list) => {
            let mut builder = builder.init_list();
            write_list_version(builder.reborrow().init_stamp(), list.version);
            write_endpoints(builder.init_endpoints(list_len(list.endpoints.len())), &list.endpoints);
        }
        Push::ListDelta { base, version, upserted, removed } => {
            let mut builder = builder.init_list_change();
            write_list_version(builder.reborrow().init_base(), *base);
            write_list_version(builder.reborrow().init_stamp(), *version);
            write_endpoints(builder.reborrow().init_put(list_len(upserted.len())), upserted);
            let mut list = builder.init_gone(list_len(removed.len()));
            for (index, instance) in (0..).zip(removed) {
                list.set(index, instance);
            }
        }
    }
}

fn read_push(reader: wire::push::Reader<'_>, words: MessageWords) -> Result<Push, WireError> {
    use wire::push::Which;
    Ok(match reader.which()? {
        Which::Beat(reader) => Push::Heartbeat { age_ms: reader.get_age_ms(), proxies: reader.get_proxies() },
        Which::Value(reader) => Push::Value(ChosenValue {
            ballot: read_ballot(reader.get_ballot()?),
            voters: read_ips(reader.get_voters()?),
            payload: Bytes::copy_from_slice(reader.get_payload()?),
        }),
        Which::List(reader) => Push::List(EndpointList {
            version: read_list_version(reader.get_stamp()?),
            endpoints: read_endpoints(words.check_len(reader.get_endpoints()?)?)?,
        }),
        Which::ListChange(reader) => Push::ListDelta {
            base: read_list_version(reader.get_base()?),
            version: read_list_version(reader.get_stamp()?),
            upserted: read_endpoints(words.check_len(reader.get_put()?)?)?,
            removed: reader
                .get_gone()?
                .iter()
                .map(|instance| read_text(instance?))
                .collect::<Result<_, _>>()?,
        },
    })
}

fn write_register_request(mut builder: wire::register_request::Builder<'_>, request: &RegisterRequest) {
    match request {
        RegisterRequest::Prepare(ballot) => write_ballot(builder.init_prepare(), ballot),
        RegisterRequest::Accept(value) => write_accepted(builder.init_accept(), value),
        RegisterRequest::Poll { chosen } => write_ballot(builder.init_poll(), chosen),
        RegisterRequest::Fetch => builder.set_fetch(()),
    }
}

fn read_register_request(reader: wire::register_request::Reader<'_>) -> Result<RegisterRequest, WireError> {
    use wire::register_request::Which;
    Ok(match reader.which()? {
        Which::Prepare(ballot) => RegisterRequest::Prepare(read_ballot(ballot?)),
        Which::Accept(value) => RegisterRequest::Accept(read_accepted(value?)?),
        Which::Poll(chosen) => RegisterRequest::Poll { chosen: read_ballot(chosen?) },
        Which::Fetch(()) => RegisterRequest::Fetch,
    })
}

fn write_register_reply(mut builder: wire::register_reply::Builder<'_>, reply: &RegisterReply) {
    match reply {
        RegisterReply::Promised(value) => {
            let builder = builder.init_promised();
            if let Some(value) = value {
                write_accepted(builder.init_value(), value);
            }
        }
        RegisterReply::Accepted => builder.set_accepted(()),
        RegisterReply::Rejected(ballot) => write_ballot(builder.init_refused(), ballot),
        RegisterReply::Recovering => builder.set_unfit(()),
        RegisterReply::Polled { accepted, chosen } => {
            let mut builder = builder.init_polled();
            if let Some(accepted) = accepted {
                write_ballot(builder.reborrow().init_accepted(), accepted);
            }
            write_ballot(builder.init_chosen(), chosen);
        }
        RegisterReply::Fetched(value) => {
            let builder = builder.init_fetched();
            if let Some(value) = value {
                write_accepted(builder.init_value(), value);
            }
        }
    }
}

fn read_register_reply(reader: wire::register_reply::Reader<'_>) -> Result<RegisterReply, WireError> {
    use wire::register_reply::Which;
    let some = |has: bool, value: capnp::Result<wire::accepted_value::Reader<'_>>| {
        has.then(|| read_accepted(value?)).transpose()
    };
    Ok(match reader.which()? {
        Which::Promised(reader) => RegisterReply::Promised(some(reader.has_value(), reader.get_value())?),
        Which::Accepted(()) => RegisterReply::Accepted,
        Which::Refused(ballot) => RegisterReply::Rejected(read_ballot(ballot?)),
        Which::Unfit(()) => RegisterReply::Recovering,
        Which::Polled(reader) => RegisterReply::Polled {
            accepted: reader.has_accepted().then(|| reader.get_accepted().map(read_ballot)).transpose()?,
            chosen: read_ballot(reader.get_chosen()?),
        },
        Which::Fetched(reader) => RegisterReply::Fetched(some(reader.has_value(), reader.get_value())?),
    })
}

fn write_ballot(mut builder: wire::ballot::Builder<'_>, ballot: &Ballot) {
    builder.set_round(ballot.round);
    builder.set_proposer(ballot.proposer);
    builder.set_life(ballot.incarnation);
}

fn read_ballot(reader: wire::ballot::Reader<'_>) -> Ballot {
    Ballot { round: reader.get_round(), proposer: reader.get_proposer(), incarnation: reader.get_life() }
}

fn write_accepted(mut builder: wire::accepted_value::Builder<'_>, accepted: &AcceptedValue) {
    write_ballot(builder.reborrow().init_ballot(), &accepted.ballot);
    let mut builder = builder.init_value();
    builder.set_epoch(accepted.value.epoch);
    write_ips(builder.reborrow().init_voters(list_len(accepted.value.voters.len())), &accepted.value.voters);
    builder.set_payload(&accepted.value.payload);
}

fn read_accepted(reader: wire::accepted_value::Reader<'_>) -> Result<AcceptedValue, WireError> {
    let value = reader.get_value()?;
    Ok(AcceptedValue {
        ballot: read_ballot(reader.get_ballot()?),
        value: RegisterValue {
            epoch: value.get_epoch(),
            voters: read_ips(value.get_voters()?),
            payload: Bytes::copy_from_slice(value.get_payload()?),
        },
    })
}

fn write_list_version(mut builder: wire::stamp::Builder<'_>, version: ListVersion) {
    builder.set_fence(version.token);
    builder.set_reading(version.poll);
}

fn read_list_version(reader: wire::stamp::Reader<'_>) -> ListVersion {
    ListVersion::new(reader.get_fence(), reader.get_reading())
}

fn write_ips(mut builder: primitive_list::Builder<'_, u32>, ips: &[Ipv4Addr]) {
    for (index, ip) in (0..).zip(ips) {
        builder.set(index, (*ip).into());
    }
}

fn read_ips(reader: primitive_list::Reader<'_, u32>) -> Vec<Ipv4Addr> {
    reader.iter().map(Ipv4Addr::from).collect()
}

fn write_storage_node(mut builder: wire::store::Builder<'_>, store: &StorageNode) {
    builder.set_name(&store.name);
    builder.set_ip(store.ip.into());
    builder.set_zone(&store.zone);
    builder.set_disk(store.disk);
}

fn read_storage_node(reader: wire::store::Reader<'_>) -> Result<StorageNode, WireError> {
    Ok(StorageNode {
        name: read_text(reader.get_name()?)?,
        ip: reader.get_ip().into(),
        zone: read_text(reader.get_zone()?)?,
        disk: reader.get_disk(),
    })
}

fn write_endpoints(mut builder: struct_list::Builder<'_, wire::endpoint::Owned>, endpoints: &[Endpoint]) {
    for (index, endpoint) in (0..).zip(endpoints) {
        let mut builder = builder.reborrow().get(index);
        builder.set_instance_id(&endpoint.instance_id);
        builder.set_service(&endpoint.service);
        builder.set_ip((*endpoint.address.ip()).into());
        builder.set_port(endpoint.address.port());
        builder.set_zone(&endpoint.zone);
        builder.set_capacity_slots(endpoint.capacity_slots);
        builder.set_state(match endpoint.state {
            EndpointState::Ready => wire::endpoint::State::Ready,
            EndpointState::Draining => wire::endpoint::State::Draining,
        });
    }
}

fn read_endpoints(
    reader: struct_list::Reader<'_, wire::endpoint::Owned>,
) -> Result<Vec<Endpoint>, WireError> {
    reader
        .iter()
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

fn write_turn(mut builder: wire::turn::Builder<'_>, turn: &Turn) {
    builder.set_attempt(&turn.attempt);
    if let Some(previous) = &turn.previous {
        builder.set_previous(previous);
    }
    builder.set_input(&turn.input);
    builder.set_output(&turn.output);
    builder.set_retention_ms(turn.retention_ms);
    let mut replicas = builder.init_holders(list_len(turn.replicas.len()));
    for (index, disk) in (0..).zip(&turn.replicas) {
        replicas.set(index, *disk);
    }
}

fn read_turn(reader: wire::turn::Reader<'_>) -> Result<Turn, WireError> {
    Ok(Turn {
        attempt: read_text(reader.get_attempt()?)?,
        previous: reader.has_previous().then(|| read_text(reader.get_previous()?)).transpose()?,
        input: Bytes::copy_from_slice(reader.get_input()?),
        output: Bytes::copy_from_slice(reader.get_output()?),
        retention_ms: reader.get_retention_ms(),
        replicas: reader.get_holders()?.iter().collect(),
    })
}

fn write_reservations(
    mut builder: struct_list::Builder<'_, wire::reservation::Owned>,
    reservations: &[Reservation],
) {
    for (index, reservation) in (0..).zip(reservations) {
        let mut builder = builder.reborrow().get(index);
        builder.set_attempt(reservation.attempt);
        builder.set_tokens(reservation.tokens);
    }
}

fn read_reservations(reader: struct_list::Reader<'_, wire::reservation::Owned>) -> Vec<Reservation> {
    reader.iter().map(|r| Reservation { attempt: r.get_attempt(), tokens: r.get_tokens() }).collect()
}

fn read_text(reader: text::Reader<'_>) -> Result<String, WireError> {
    Ok(reader.to_str()?.to_owned())
}
