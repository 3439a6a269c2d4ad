//! The register's payload: what is written is read, and nothing else is taken for a state.

use fleet_model::{CommittedVersion, ControlState, Lease, PayloadError};
use googletest::prelude::*;

/// A state with a configuration of so many routes.
fn state(routes: u64) -> ControlState {
    let route = |number: u64| {
        let name = fleet_model::rendezvous_rank(&number.to_le_bytes(), 7);
        format!(
            r#"{{"name":"r-{name:x}","hostname":"a.example","path_prefix":"/{name:x}/","route_type":"streaming","timeout_ms":6000,"target_latency_ms":200,"priority":1,"service":"s","max_attempts":2,"retained":true,"retention_s":60.0}}"#
        )
    };
    let config: Vec<String> = (0..routes).map(route).collect();
    ControlState {
        config: config.join(",").into(),
        committed: vec![CommittedVersion { version: 7, digest: [3; 32] }],
        leases: [("list".to_owned(), Lease { token: 2, holder: None })].into(),
        ..ControlState::default()
    }
}

#[gtest]
fn given_a_state_when_it_is_written_then_it_reads_as_it_was() {
    for routes in [0, 1, 400] {
        let state = state(routes);
        let payload = state.to_payload().unwrap();
        expect_that!(ControlState::from_payload(&payload), ok(eq(&state)));
        expect_that!(state.to_payload(), ok(eq(&payload)), "the same bytes each time");
    }
    expect_that!(ControlState::from_payload(&[]), ok(eq(&ControlState::default())));
}

/// The state as programs of the first form wrote it.
fn first_form(state: &ControlState) -> Vec<u8> {
    let ControlState { config, committed: taken, leases: fences, roster, .. } = state;
    let plain = postcard::to_allocvec(&(config, taken, fences, roster)).unwrap();
    [vec![1], lz4_flex::block::compress_prepend_size(&plain)].concat()
}

#[gtest]
fn given_a_state_of_the_first_form_when_it_is_read_then_what_it_has_forgotten_is_known_too() {
    // Given one that remembers all that was taken.
    let short = state(40);
    expect_that!(ControlState::from_payload(&first_form(&short)), ok(eq(&short)));
    // And one that remembers as much as it could: those before may have been taken too.
    let taken = (100..612).map(|version| CommittedVersion { version, digest: [3; 32] }).collect();
    let full = ControlState { committed: taken, ..state(1) };
    let read = ControlState::from_payload(&first_form(&full)).unwrap();
    expect_that!(read, eq(&ControlState { highest_pruned: 99, ..full }));
}

#[gtest]
fn given_a_long_configuration_when_it_is_written_then_it_takes_a_quarter_at_most() {
    let state = state(400);
    expect_that!(state.to_payload().unwrap().len() * 4, lt(state.config.len()));
}

#[gtest]
fn given_bytes_that_are_no_payload_when_they_are_read_then_an_error_tells_why() {
    let payload = state(40).to_payload().unwrap().to_vec();
    let read = |bytes: &[u8]| ControlState::from_payload(bytes);
    expect_that!(read(&[9, 1, 2]), err(eq(&PayloadError::UnknownFormat(9))));
    expect_that!(read(&payload[..3]), err(matches_pattern!(PayloadError::Decompression(_))));
    let mut long = payload.clone();
    long[1..5].copy_from_slice(&u32::MAX.to_le_bytes());
    expect_that!(read(&long), err(eq(&PayloadError::TooLong(u32::MAX as usize))));
    for end in 1..payload.len() {
        expect_that!(read(&payload[..end]), err(anything()), "cut at {end}");
    }
    // A flipped bit is told or changes the state; it never ends the process.
    for at in 0..payload.len() {
        let mut flipped = payload.clone();
        flipped[at] ^= 0x10;
        let _ = read(&flipped);
    }
}
