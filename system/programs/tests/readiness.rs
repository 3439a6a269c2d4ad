//! What a proxy that is not ready tells of the reason.

use googletest::prelude::*;
use process_lifecycle::waits::Waits;
use std::rc::Rc;
use std::time::Duration;
use system_programs::readiness::{Missing, Readiness, Received};
use tokio::time::advance;

const COMPLETE: Received = Received { configuration: true, endpoints: Some(3), confirmed: true };
const WITHOUT_ENDPOINTS: Received = Received { configuration: true, endpoints: Some(0), confirmed: true };

#[gtest]
fn one_thing_that_is_missing_is_taken_for_another() {
    let cases = [
        (Received::default(), Some(Missing::Configuration)),
        (Received { configuration: false, ..COMPLETE }, Some(Missing::Configuration)),
        (Received { endpoints: None, ..COMPLETE }, Some(Missing::EndpointList)),
        (WITHOUT_ENDPOINTS, Some(Missing::Endpoints)),
        (Received { confirmed: false, ..COMPLETE }, Some(Missing::Confirmation)),
        (COMPLETE, None),
    ];
    for (received, missing) in cases {
        expect_that!(received.missing(), eq(missing), "{received:?}");
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_proxy_that_never_becomes_ready_does_not_say_what_it_lacks() {
    let waits = Rc::new(Waits::default());
    let readiness = Readiness::new(waits.clone());
    readiness.update(Received::default());
    expect_that!(waits.begun(), eq(0));
    advance(Duration::from_secs(3)).await;
    readiness.update(Received::default());
    readiness.update(Received::default());
    expect_that!((waits.current(), waits.begun()), eq((1, 1)));
    readiness.update(WITHOUT_ENDPOINTS);
    expect_that!((waits.current(), waits.begun()), eq((1, 2)));
    expect_that!(readiness.is_ready(), eq(false));
    expect_that!(readiness.update(COMPLETE), eq(true));
    expect_that!((waits.current(), readiness.is_ready()), eq((0, true)));
}

#[gtest]
fn a_ready_proxy_that_lacks_something_later_is_no_longer_ready() {
    let readiness = Readiness::new(Rc::default());
    expect_that!(readiness.update(COMPLETE), eq(true));
    expect_that!(readiness.update(WITHOUT_ENDPOINTS), eq(false));
    expect_that!(readiness.is_ready(), eq(true));
}
