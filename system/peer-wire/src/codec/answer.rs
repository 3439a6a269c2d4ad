//! Answers to calls.

use super::WireError;
use super::coordination::{decode_message, encode_message};
use super::limits::{MessageWords, list_len};
use super::order::{read_verdict, write_verdict};
use super::register::{read_register_reply, write_register_reply};
use super::values::{read_reservations, read_text, read_turn, write_reservations, write_turn};
use crate::peer_capnp as wire;
use bytes::Bytes;
use fleet_model::Answer;
use std::net::SocketAddrV4;

pub(super) fn write_answer(mut builder: wire::answer::Builder<'_>, answer: &Answer) {
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
        Answer::Chain { text, missing, served_by } => {
            let mut builder = builder.init_chain();
            builder.set_text(text);
            if let Some(missing) = missing {
                builder.set_missing(missing);
            }
            if let Some(served_by) = served_by {
                builder.set_served_by(served_by);
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
        Answer::Verdict(verdict) => write_verdict(builder.init_verdict(), *verdict),
        Answer::Coordination(answer) => builder.set_coordination(&encode_message(answer)),
        Answer::View(json) => builder.set_view(json),
    }
}

pub(super) fn read_answer(
    reader: wire::answer::Reader<'_>,
    words: MessageWords,
) -> Result<Answer, WireError> {
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
            served_by: reader.has_served_by().then(|| read_text(reader.get_served_by()?)).transpose()?,
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
        Which::Verdict(verdict) => Answer::Verdict(read_verdict(verdict?)?),
        Which::Coordination(bytes) => Answer::Coordination(decode_message(bytes?)?),
        Which::View(json) => Answer::View(read_text(json?)?),
    })
}
