//! Orders with an invalid configuration and an outdated base version.

use crate::in_memory_cluster::{Cluster, configuration};
use crate::{ip, run};
use bytes::Bytes;
use control_node::{CurrentConfig, PutConfigOutcome};
use googletest::prelude::*;

/// Invalid configurations, some with the next version and one with the version in force.
fn invalid_configurations() -> Vec<Bytes> {
    let valid = |version| String::from_utf8(configuration(version).to_vec()).unwrap();
    let unknown_service = valid(3).replace(r#""service":"s""#, r#""service":"unknown""#);
    let query_in_path = valid(3).replace(r#""path_prefix":"/""#, r#""path_prefix":"/?x/""#);
    let truncated = valid(3)[..40].to_owned();
    let current_version = valid(2).replace(r#""timeout_ms":1500"#, r#""timeout_ms":0"#);
    ["".to_owned(), "[]".to_owned(), unknown_service, query_in_path, truncated, current_version]
        .into_iter()
        .map(Bytes::from)
        .collect()
}

#[gtest]
fn an_invalid_configuration_on_an_outdated_version_is_rejected_for_either_and_never_committed() {
    run(async {
        // Given a cluster with configuration version 2 in force.
        let cluster = Cluster::start(&[]);
        expect_that!(cluster.commit(ip(0), 1).await, eq(&PutConfigOutcome::Committed(1)));
        expect_that!(cluster.commit(ip(0), 2).await, eq(&PutConfigOutcome::Committed(2)));
        for body in invalid_configurations() {
            for index in 0..3 {
                for expected in [None, Some(0), Some(1), Some(2), Some(3), Some(u64::MAX)] {
                    // When an invalid configuration is sent with any expected version, or with none,
                    let outcome = cluster.node(ip(index)).put_config(expected, body.clone()).await;
                    // then it is rejected as invalid, or for its expected version if that is not in force,
                    let is_rejected_as_invalid = matches!(outcome, PutConfigOutcome::Invalid(_));
                    let is_rejected_for_version =
                        outcome == PutConfigOutcome::VersionMismatch(2) && expected != Some(2);
                    expect_true!(
                        is_rejected_as_invalid || is_rejected_for_version,
                        "{outcome:?} for expected version {expected:?}"
                    );
                }
                // and the configuration in force is unchanged, byte for byte.
                let current = cluster.node(ip(index)).config().await;
                let CurrentConfig::Current(state) = current else { panic!("{current:?}") };
                expect_that!((state.version(), &state.config), eq((2, &configuration(2))));
            }
        }
        // A valid configuration with an outdated expected version is rejected for that, and the next valid one is committed.
        let stale = cluster.node(ip(1)).put_config(Some(1), configuration(3)).await;
        expect_that!(stale, eq(&PutConfigOutcome::VersionMismatch(2)));
        expect_that!(cluster.commit(ip(2), 3).await, eq(&PutConfigOutcome::Committed(3)));
    });
}
