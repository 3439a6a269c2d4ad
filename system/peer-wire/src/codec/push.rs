//! Pushes: messages of a server to its subscribers.

use super::WireError;
use super::limits::{MessageWords, list_len};
use super::values::{
    read_ballot, read_endpoints, read_ips, read_list_version, read_text, write_ballot, write_endpoints,
    write_ips, write_list_version,
};
use crate::peer_capnp as wire;
use bytes::Bytes;
use fleet_model::{ChosenValue, EndpointList, Push};

pub(super) fn write_push(builder: wire::push::Builder<'_>, push: &Push) {
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

pub(super) fn read_push(reader: wire::push::Reader<'_>, words: MessageWords) -> Result<Push, WireError> {
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
