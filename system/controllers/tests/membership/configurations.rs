//! Evaluation of operators' configurations.

use bytes::Bytes;
use controllers::{ConfigVerdict, put_config};
use fleet_model::{CommittedVersion, ControlState};
use googletest::prelude::*;

fn version(number: u64) -> CommittedVersion {
    CommittedVersion { version: number, digest: [number as u8; 32] }
}

#[gtest]
fn a_configuration_is_committed_once_if_the_expected_version_is_current() -> Result<()> {
    let body = Bytes::from_static(b"{}");
    let (state, verdict) = put_config(&ControlState::default(), 0, &version(3), &body);
    expect_that!(verdict, eq(ConfigVerdict::Committed));
    let state = state.or_fail()?;
    expect_that!(state.version(), eq(3));
    // The same request is repeated after its commit: it is still reported as committed.
    expect_that!(put_config(&state, 0, &version(3), &body), eq(&(None, ConfigVerdict::Committed)));
    // Other bytes under the committed version, and a lower version, are not newer.
    let other = CommittedVersion { version: 3, digest: [9; 32] };
    expect_that!(put_config(&state, 3, &other, &body), eq(&(None, ConfigVerdict::NotNewer)));
    expect_that!(put_config(&state, 3, &version(2), &body), eq(&(None, ConfigVerdict::NotNewer)));
    // A version mismatch takes precedence.
    expect_that!(put_config(&state, 2, &version(2), &body), eq(&(None, ConfigVerdict::VersionMismatch(3))));
    expect_that!(put_config(&state, 2, &version(4), &body), eq(&(None, ConfigVerdict::VersionMismatch(3))));
    // An earlier version is still reported as committed after the next commit, whatever version the request expects.
    let state = put_config(&state, 3, &version(4), &body).0.or_fail()?;
    expect_that!(put_config(&state, 4, &version(3), &body), eq(&(None, ConfigVerdict::Committed)));
    Ok(())
}

#[gtest]
fn only_the_latest_committed_versions_are_recorded() {
    let mut state = ControlState::default();
    for number in 1..=600 {
        state = put_config(&state, number - 1, &version(number), &Bytes::new()).0.unwrap_or_default();
    }
    expect_that!(state.version(), eq(600));
    expect_that!(state.committed.len(), eq(512));
}
