//! Which polls of the endpoint list are published.

use controllers::{DiscoveryPolls, times};
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
fn a_reading_is_spread_where_it_is_news_or_its_fence_is() -> Result<()> {
    let mut readings = DiscoveryPolls::default();
    let first = readings.accept_poll(100, 90, 1, &EndpointList::default(), endpoints(&["a"])).or_fail()?;
    expect_that!(first.version, eq(ListVersion::new(1, 1)));
    expect_that!(readings.accept_poll(1_100, 1_090, 1, &first, endpoints(&["a"])), none());
    let second = readings.accept_poll(2_100, 2_090, 1, &first, endpoints(&["a", "b"])).or_fail()?;
    expect_that!(second.version, eq(ListVersion::new(1, 2)));
    let third = readings.accept_poll(3_100, 3_090, 4, &second, endpoints(&["a", "b"])).or_fail()?;
    expect_that!(third.version, eq(ListVersion::new(4, 1)));
    Ok(())
}

#[gtest]
fn an_empty_list_counts_only_after_empty_answers_without_a_break() {
    let known = EndpointList { version: ListVersion::new(1, 1), endpoints: endpoints(&["a"]) };
    let mut readings = DiscoveryPolls::default();
    let empty = |readings: &mut DiscoveryPolls, at: u64, fence: u64| {
        readings.accept_poll(at, at, fence, &known, Vec::new())
    };
    for at in (0..times::EMPTY_LIST_CONFIRMATION_MS).step_by(1_000) {
        expect_that!(empty(&mut readings, at, 1), none());
    }
    expect_that!(empty(&mut readings, times::EMPTY_LIST_CONFIRMATION_MS, 1), some(anything()));
    // an empty answer of a minute ago does not make the next one count
    expect_that!(empty(&mut readings, 65_000, 1), none());
    // nor does one under an earlier fence
    expect_that!(empty(&mut readings, 66_000, 2), none());
    expect_that!(empty(&mut readings, 70_900, 2), none());
}

#[gtest]
fn an_empty_list_is_taken_at_once_where_there_were_no_endpoints() {
    let mut readings = DiscoveryPolls::default();
    expect_that!(readings.accept_poll(10, 10, 1, &EndpointList::default(), Vec::new()), some(anything()));
}

#[gtest]
fn a_reading_that_its_asker_slept_over_is_not_spread() {
    let mut readings = DiscoveryPolls::default();
    let known = EndpointList::default();
    expect_that!(
        readings.accept_poll(times::MAX_POLL_DURATION_MS + 2, 1, 1, &known, endpoints(&["a"])),
        none()
    );
}
