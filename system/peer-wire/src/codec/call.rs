//! Calls: requests of one process to another.

use super::WireError;
use super::coordination::{decode_message, encode_message};
use super::order::{read_order, write_order};
use super::register::{read_register_request, write_register_request};
use super::values::{
    read_ballot, read_list_version, read_storage_node, read_text, read_turn, write_ballot,
    write_list_version, write_storage_node, write_turn,
};
use crate::peer_capnp as wire;
use bytes::Bytes;
use fleet_model::{Ballot, Call, ListVersion, Reservation, StorageNode, Turn};

pub(super) fn write_call(mut builder: wire::call::Builder<'_>, call: &Call) {
    match call {
        Call::Register(request) => write_register_request(builder.init_register(), request),
        Call::JoinCore { ip } => builder.init_join_core().set_ip((*ip).into()),
        Call::JoinStorage { store, is_founder } => {
            write_joining_node(builder.init_join_storage(), store, *is_founder);
        }
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
            write_feed_position(builder, value, *list);
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
        Call::StoreTurn { epoch, turn, served_by } => {
            write_turn_storage(builder.init_keep_turn(), *epoch, turn, served_by.as_deref());
        }
        Call::ReadChain { epoch, attempt } => {
            write_chain_read(builder.init_read_chain(), *epoch, attempt);
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
        Call::Order(order) => write_order(builder.init_order(), order),
        Call::Coordination(call) => builder.set_coordination(&encode_message(call)),
        Call::Inspect { topic } => builder.set_inspect(topic),
    }
}

fn write_feed_position(mut builder: wire::call::subscribe::Builder<'_>, value: &Ballot, list: ListVersion) {
    write_ballot(builder.reborrow().init_value(), value);
    write_list_version(builder.init_list(), list);
}

fn write_turn_storage(
    mut builder: wire::call::keep_turn::Builder<'_>,
    epoch: u64,
    turn: &Turn,
    served_by: Option<&str>,
) {
    builder.set_epoch(epoch);
    if let Some(served_by) = served_by {
        builder.set_served_by(served_by);
    }
    write_turn(builder.init_turn(), turn);
}

fn write_chain_read(mut builder: wire::call::read_chain::Builder<'_>, epoch: u64, attempt: &str) {
    builder.set_epoch(epoch);
    builder.set_attempt(attempt);
}

fn write_joining_node(mut builder: wire::store::Builder<'_>, store: &StorageNode, is_founder: bool) {
    builder.set_founder(is_founder);
    write_storage_node(builder, store);
}

pub(super) fn read_call(reader: wire::call::Reader<'_>) -> Result<Call, WireError> {
    use wire::call::Which;
    Ok(match reader.which()? {
        Which::Register(request) => Call::Register(read_register_request(request?)?),
        Which::JoinCore(reader) => Call::JoinCore { ip: reader.get_ip().into() },
        Which::JoinStorage(store) => {
            let reader = store?;
            Call::JoinStorage { is_founder: reader.get_founder(), store: read_storage_node(reader)? }
        }
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
        Which::KeepTurn(reader) => Call::StoreTurn {
            epoch: reader.get_epoch(),
            turn: read_turn(reader.get_turn()?)?,
            served_by: reader.has_served_by().then(|| read_text(reader.get_served_by()?)).transpose()?,
        },
        Which::ReadChain(reader) => {
            Call::ReadChain { epoch: reader.get_epoch(), attempt: read_text(reader.get_attempt()?)? }
        }
        Which::Fill(reader) => Call::Backfill {
            epoch: reader.get_epoch(),
            disk: reader.get_disk(),
            cursor: Bytes::copy_from_slice(reader.get_cursor()?),
        },
        Which::FillDone(reader) => Call::BackfillDone { epoch: reader.get_epoch(), disk: reader.get_disk() },
        Which::Order(order) => Call::Order(read_order(order?)?),
        Which::Coordination(bytes) => Call::Coordination(decode_message(bytes?)?),
        Which::Inspect(topic) => Call::Inspect { topic: read_text(topic?)? },
    })
}
