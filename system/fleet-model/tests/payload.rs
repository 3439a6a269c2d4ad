//! The encoding of the register's payload: round trips, the older format, size, and rejection of invalid bytes.

use fleet_model::{CommittedVersion, ControlState, Departure, Lease, PayloadError, Turnover};
use googletest::prelude::*;

/// A control state whose configuration has the given number of routes.
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
fn a_control_state_survives_encoding_and_decoding() {
    for routes in [0, 1, 400] {
        let state = state(routes);
        let payload = state.to_payload().unwrap();
        expect_that!(ControlState::from_payload(&payload), ok(eq(&state)));
        expect_that!(state.to_payload(), ok(eq(&payload)), "the same bytes each time");
    }
    expect_that!(ControlState::from_payload(&[]), ok(eq(&ControlState::default())));
}

#[gtest]
fn a_turnover_survives_and_is_ignored_by_programs_that_do_not_know_it() {
    let before = state(3);
    let mut state = before.clone();
    let departure = Departure { machine: "s4".into(), replaced_by: Some("s9".into()) };
    state.roster.turnover = Turnover { joined: vec!["s10".into()], departed: vec![departure] };
    let payload = state.to_payload().unwrap();
    expect_that!(payload.first(), some(eq(&2)));
    expect_that!(ControlState::from_payload(&payload), ok(eq(&state)));
    // As programs that do not know it decode the payload.
    let plain = lz4_flex::block::decompress_size_prepended(&payload[1..]).unwrap();
    expect_that!(postcard::from_bytes::<ControlState>(&plain), ok(eq(&before)));
}

/// The state as programs that write the first format encode it.
fn encode_v1(state: &ControlState) -> Vec<u8> {
    let ControlState { config, committed, leases, roster, .. } = state;
    let plain = postcard::to_allocvec(&(config, committed, leases, roster)).unwrap();
    [vec![1], lz4_flex::block::compress_prepend_size(&plain)].concat()
}

#[gtest]
fn decoding_the_first_format_derives_the_highest_pruned_version() {
    // A state that still has all its committed versions.
    let unpruned = state(40);
    expect_that!(ControlState::from_payload(&encode_v1(&unpruned)), ok(eq(&unpruned)));
    // A state with as many versions as the first format retained: earlier ones may have been pruned.
    let committed = (100..612).map(|version| CommittedVersion { version, digest: [3; 32] }).collect();
    let pruned = ControlState { committed, ..state(1) };
    let decoded = ControlState::from_payload(&encode_v1(&pruned)).unwrap();
    expect_that!(decoded, eq(&ControlState { highest_pruned: 99, ..pruned }));
}

#[gtest]
fn a_long_configuration_compresses_to_less_than_a_quarter() {
    let state = state(400);
    expect_that!(state.to_payload().unwrap().len() * 4, lt(state.config.len()));
}

#[gtest]
fn decoding_invalid_bytes_reports_the_layer_that_failed() {
    let payload = state(40).to_payload().unwrap().to_vec();
    let decode = |bytes: &[u8]| ControlState::from_payload(bytes);
    expect_that!(decode(&[9, 1, 2]), err(eq(&PayloadError::UnknownFormat(9))));
    expect_that!(decode(&payload[..3]), err(matches_pattern!(PayloadError::Decompression(_))));
    let mut too_long = payload.clone();
    too_long[1..5].copy_from_slice(&u32::MAX.to_le_bytes());
    expect_that!(decode(&too_long), err(eq(&PayloadError::TooLong(u32::MAX as usize))));
    for end in 1..payload.len() {
        expect_that!(decode(&payload[..end]), err(anything()), "truncated at {end}");
    }
    // A flipped bit causes an error or another state; it never causes a panic.
    for offset in 0..payload.len() {
        let mut flipped = payload.clone();
        flipped[offset] ^= 0x10;
        let _ = decode(&flipped);
    }
}
