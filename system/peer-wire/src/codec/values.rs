//! Values that occur in several kinds of messages.

use super::WireError;
use super::limits::list_len;
use crate::peer_capnp as wire;
use bytes::Bytes;
use capnp::{primitive_list, struct_list, text};
use fleet_model::{Ballot, Endpoint, EndpointState, ListVersion, Reservation, StorageNode, Turn};
use std::net::{Ipv4Addr, SocketAddrV4};

pub(super) fn write_ballot(mut builder: wire::ballot::Builder<'_>, ballot: &Ballot) {
    builder.set_round(ballot.round);
    builder.set_proposer(ballot.proposer);
    builder.set_life(ballot.incarnation);
}

pub(super) fn read_ballot(reader: wire::ballot::Reader<'_>) -> Ballot {
    Ballot { round: reader.get_round(), proposer: reader.get_proposer(), incarnation: reader.get_life() }
}

pub(super) fn write_list_version(mut builder: wire::stamp::Builder<'_>, version: ListVersion) {
    builder.set_fence(version.token);
    builder.set_reading(version.poll);
}

pub(super) fn read_list_version(reader: wire::stamp::Reader<'_>) -> ListVersion {
    ListVersion::new(reader.get_fence(), reader.get_reading())
}

pub(super) fn write_ips(mut builder: primitive_list::Builder<'_, u32>, ips: &[Ipv4Addr]) {
    for (index, ip) in (0..).zip(ips) {
        builder.set(index, (*ip).into());
    }
}

pub(super) fn read_ips(reader: primitive_list::Reader<'_, u32>) -> Vec<Ipv4Addr> {
    reader.iter().map(Ipv4Addr::from).collect()
}

pub(super) fn write_storage_node(mut builder: wire::store::Builder<'_>, store: &StorageNode) {
    builder.set_name(&store.name);
    builder.set_ip(store.ip.into());
    builder.set_zone(&store.zone);
    builder.set_disk(store.disk);
}

pub(super) fn read_storage_node(reader: wire::store::Reader<'_>) -> Result<StorageNode, WireError> {
    Ok(StorageNode {
        name: read_text(reader.get_name()?)?,
        ip: reader.get_ip().into(),
        zone: read_text(reader.get_zone()?)?,
        disk: reader.get_disk(),
    })
}

pub(super) fn write_endpoints(
    mut builder: struct_list::Builder<'_, wire::endpoint::Owned>,
    endpoints: &[Endpoint],
) {
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

pub(super) fn read_endpoints(
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

pub(super) fn write_turn(mut builder: wire::turn::Builder<'_>, turn: &Turn) {
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

pub(super) fn read_turn(reader: wire::turn::Reader<'_>) -> Result<Turn, WireError> {
    Ok(Turn {
        attempt: read_text(reader.get_attempt()?)?,
        previous: reader.has_previous().then(|| read_text(reader.get_previous()?)).transpose()?,
        input: Bytes::copy_from_slice(reader.get_input()?),
        output: Bytes::copy_from_slice(reader.get_output()?),
        retention_ms: reader.get_retention_ms(),
        replicas: reader.get_holders()?.iter().collect(),
    })
}

pub(super) fn write_reservations(
    mut builder: struct_list::Builder<'_, wire::reservation::Owned>,
    reservations: &[Reservation],
) {
    for (index, reservation) in (0..).zip(reservations) {
        let mut builder = builder.reborrow().get(index);
        builder.set_attempt(reservation.attempt);
        builder.set_tokens(reservation.tokens);
    }
}

pub(super) fn read_reservations(
    reader: struct_list::Reader<'_, wire::reservation::Owned>,
) -> Vec<Reservation> {
    reader.iter().map(|r| Reservation { attempt: r.get_attempt(), tokens: r.get_tokens() }).collect()
}

pub(super) fn read_text(reader: text::Reader<'_>) -> Result<String, WireError> {
    Ok(reader.to_str()?.to_owned())
}
