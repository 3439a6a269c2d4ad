//! Which polls of the endpoint list lead to a published list.

use controllers::{DiscoveryPollFilter, times};
use fleet_model::{Endpoint, EndpointList, EndpointState, ListVersion};
use googletest::prelude::*;

fn endpoints(names: &[&str]) -> Vec<Endpoint> {
    let endpoint = |name: &&str| Endpoint {
        instance_id: (*name).into(),
        service: "s".into(),
        address: "10.9.0.1:80".parse().unwrap(),
        zone: "a".into(),
        capacity_slots: 1,
        state: EndpointState::Ready,
    };
    names.iter().map(endpoint).collect()
}

#[gtest]
fn a_poll_is_published_if_its_endpoints_or_its_token_changed() -> Result<()> {
    let mut polls = DiscoveryPollFilter::default();
    let first = polls.accept_poll(100, 90, 1, &EndpointList::default(), endpoints(&["a"])).or_fail()?;
    expect_that!(first.version, eq(ListVersion::new(1, 1)));
    expect_that!(polls.accept_poll(1_100, 1_090, 1, &first, endpoints(&["a"])), none());
    let second = polls.accept_poll(2_100, 2_090, 1, &first, endpoints(&["a", "b"])).or_fail()?;
    expect_that!(second.version, eq(ListVersion::new(1, 2)));
    let third = polls.accept_poll(3_100, 3_090, 4, &second, endpoints(&["a", "b"])).or_fail()?;
    expect_that!(third.version, eq(ListVersion::new(4, 1)));
    Ok(())
}

#[gtest]
fn an_empty_list_is_published_only_after_a_series_of_empty_polls() {
    let known = EndpointList { version: ListVersion::new(1, 1), endpoints: endpoints(&["a"]) };
    let mut polls = DiscoveryPollFilter::default();
    let empty = |polls: &mut DiscoveryPollFilter, started_ms: u64, token: u64| {
        polls.accept_poll(started_ms, started_ms, token, &known, Vec::new())
    };
    for started_ms in (0..times::EMPTY_LIST_CONFIRMATION_MS).step_by(1_000) {
        expect_that!(empty(&mut polls, started_ms, 1), none());
    }
    expect_that!(empty(&mut polls, times::EMPTY_LIST_CONFIRMATION_MS, 1), some(anything()));
    // An empty poll of a minute ago does not belong to the same series.
    expect_that!(empty(&mut polls, 65_000, 1), none());
    // Nor does an empty poll under an earlier token.
    expect_that!(empty(&mut polls, 66_000, 2), none());
    expect_that!(empty(&mut polls, 70_900, 2), none());
}

#[gtest]
fn an_empty_list_is_published_at_once_if_no_endpoints_were_known() {
    let mut polls = DiscoveryPollFilter::default();
    expect_that!(polls.accept_poll(10, 10, 1, &EndpointList::default(), Vec::new()), some(anything()));
}

#[gtest]
fn a_poll_that_took_too_long_is_not_published() {
    let mut polls = DiscoveryPollFilter::default();
    let known = EndpointList::default();
    expect_that!(
        polls.accept_poll(times::MAX_DISCOVERY_POLL_DURATION_MS + 2, 1, 1, &known, endpoints(&["a"])),
        none()
    );
}
