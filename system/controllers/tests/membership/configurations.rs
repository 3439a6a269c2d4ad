//! Judgement of operators' configurations.

use bytes::Bytes;
use controllers::{ConfigVerdict, put_config};
use fleet_model::{CommittedVersion, ControlState};
use googletest::prelude::*;

fn version(number: u64) -> CommittedVersion {
    CommittedVersion { version: number, digest: [number as u8; 32] }
}

#[gtest]
fn a_configuration_is_taken_once_on_top_of_the_version_that_its_operator_knows() -> Result<()> {
    let body = Bytes::from_static(b"{}");
    let (state, verdict) = put_config(&ControlState::default(), 0, &version(3), &body);
    expect_that!(verdict, eq(ConfigVerdict::Committed));
    let state = state.or_fail()?;
    expect_that!(state.version(), eq(3));
    // the same again, whatever it goes by
    expect_that!(put_config(&state, 0, &version(3), &body), eq(&(None, ConfigVerdict::Committed)));
    // other bytes under its number, and a lower number
    let other = CommittedVersion { version: 3, digest: [9; 32] };
    expect_that!(put_config(&state, 3, &other, &body), eq(&(None, ConfigVerdict::NotNewer)));
    expect_that!(put_config(&state, 3, &version(2), &body), eq(&(None, ConfigVerdict::NotNewer)));
    // another version in the operator's mind comes first
    expect_that!(put_config(&state, 2, &version(2), &body), eq(&(None, ConfigVerdict::VersionMismatch(3))));
    expect_that!(put_config(&state, 2, &version(4), &body), eq(&(None, ConfigVerdict::VersionMismatch(3))));
    // and what was taken before the current one is still known as taken
    let state = put_config(&state, 3, &version(4), &body).0.or_fail()?;
    expect_that!(put_config(&state, 4, &version(3), &body), eq(&(None, ConfigVerdict::Committed)));
    Ok(())
}

#[gtest]
fn only_the_latest_versions_are_remembered() {
    let mut state = ControlState::default();
    for number in 1..=600 {
        state = put_config(&state, number - 1, &version(number), &Bytes::new()).0.unwrap_or_default();
    }
    expect_that!(state.version(), eq(600));
    expect_that!(state.committed.len(), eq(512));
}
