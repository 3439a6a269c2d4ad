//! Orders that have more than one fault.

use crate::in_memory_cluster::{Cluster, configuration};
use crate::{ip, run};
use bytes::Bytes;
use control_node::{CurrentConfig, PutConfigOutcome};
use googletest::prelude::*;

/// Bodies that are no configuration, of the version that would be next and of one that is in force.
fn invalid_configurations() -> Vec<Bytes> {
    let valid = |version| String::from_utf8(configuration(version).to_vec()).unwrap();
    let unknown_service = valid(3).replace(r#""service":"s""#, r#""service":"nobody""#);
    let query = valid(3).replace(r#""path_prefix":"/""#, r#""path_prefix":"/?x/""#);
    let cut = valid(3)[..40].to_owned();
    let of_now = valid(2).replace(r#""timeout_ms":1500"#, r#""timeout_ms":0"#);
    ["".to_owned(), "[]".to_owned(), unknown_service, query, cut, of_now]
        .into_iter()
        .map(Bytes::from)
        .collect()
}

#[gtest]
fn an_invalid_configuration_on_a_stale_version_is_rejected_for_either_and_never_committed() {
    run(async {
        // Given version 2 in force.
        let cluster = Cluster::start(&[]);
        expect_that!(cluster.commit(ip(0), 1).await, eq(&PutConfigOutcome::Committed(1)));
        expect_that!(cluster.commit(ip(0), 2).await, eq(&PutConfigOutcome::Committed(2)));
        for body in invalid_configurations() {
            for index in 0..3 {
                for expected in [None, Some(0), Some(1), Some(2), Some(3), Some(u64::MAX)] {
                    // When an invalid body comes on top of any version, or of none,
                    let outcome = cluster.node(ip(index)).put_config(expected, body.clone()).await;
                    // then it is refused, for its body or also for its version where that is not in force;
                    let for_body = matches!(outcome, PutConfigOutcome::Invalid(_));
                    let for_version = outcome == PutConfigOutcome::OtherVersion(2) && expected != Some(2);
                    expect_true!(for_body || for_version, "{outcome:?} on top of {expected:?}");
                }
                // and what is in force stays so, to the byte.
                let current = cluster.node(ip(index)).config().await;
                let CurrentConfig::Current(state) = current else { panic!("{current:?}") };
                expect_that!((state.version(), &state.config), eq((2, &configuration(2))));
            }
        }
        // A valid one on top of a version that is not in force is refused for that, and the next is taken.
        let stale = cluster.node(ip(1)).put_config(Some(1), configuration(3)).await;
        expect_that!(stale, eq(&PutConfigOutcome::OtherVersion(2)));
        expect_that!(cluster.commit(ip(2), 3).await, eq(&PutConfigOutcome::Committed(3)));
    });
}
