//! Requests to and replies of the voters of the register.

use super::WireError;
use super::limits::list_len;
use super::values::{read_ballot, read_ips, write_ballot, write_ips};
use crate::peer_capnp as wire;
use bytes::Bytes;
use fleet_model::{AcceptedValue, RegisterReply, RegisterRequest, RegisterValue};

pub(super) fn write_register_request(
    mut builder: wire::register_request::Builder<'_>,
    request: &RegisterRequest,
) {
    match request {
        RegisterRequest::Prepare(ballot) => write_ballot(builder.init_prepare(), ballot),
        RegisterRequest::Accept(value) => write_accepted(builder.init_accept(), value),
        RegisterRequest::Poll { chosen } => write_ballot(builder.init_poll(), chosen),
        RegisterRequest::Fetch => builder.set_fetch(()),
    }
}

pub(super) fn read_register_request(
    reader: wire::register_request::Reader<'_>,
) -> Result<RegisterRequest, WireError> {
    use wire::register_request::Which;
    Ok(match reader.which()? {
        Which::Prepare(ballot) => RegisterRequest::Prepare(read_ballot(ballot?)),
        Which::Accept(value) => RegisterRequest::Accept(read_accepted(value?)?),
        Which::Poll(chosen) => RegisterRequest::Poll { chosen: read_ballot(chosen?) },
        Which::Fetch(()) => RegisterRequest::Fetch,
    })
}

pub(super) fn write_register_reply(mut builder: wire::register_reply::Builder<'_>, reply: &RegisterReply) {
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

pub(super) fn read_register_reply(
    reader: wire::register_reply::Reader<'_>,
) -> Result<RegisterReply, WireError> {
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

pub(super) fn write_accepted(mut builder: wire::accepted_value::Builder<'_>, accepted: &AcceptedValue) {
    write_ballot(builder.reborrow().init_ballot(), &accepted.ballot);
    let mut builder = builder.init_value();
    builder.set_epoch(accepted.value.epoch);
    write_ips(builder.reborrow().init_voters(list_len(accepted.value.voters.len())), &accepted.value.voters);
    builder.set_payload(&accepted.value.payload);
}

pub(super) fn read_accepted(reader: wire::accepted_value::Reader<'_>) -> Result<AcceptedValue, WireError> {
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
