//! What a process knows, which subscribers it accepts, and what it pushes to them.

use bytes::Bytes;
use fleet_model::{
    Answer, Ballot, Call, ChosenValue, Endpoint, EndpointList, EndpointState, ListVersion, Push,
};
use googletest::prelude::*;
use state_feed::{
    Broadcast, FeedState, HEARTBEAT_INTERVAL, MAX_RELAY_SUBSCRIBERS, MAX_STATE_AGE, MIN_HEARTBEAT_GAP, Role,
};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(1_000_000);
const PORT: u16 = 7_000;

fn value(round: u64) -> ChosenValue {
    ChosenValue {
        ballot: Ballot { round, proposer: 1, incarnation: 1 },
        voters: Vec::new(),
        payload: Bytes::new(),
    }
}

fn endpoint(instance: &str, state: EndpointState) -> Endpoint {
    Endpoint {
        instance_id: instance.to_owned(),
        service: "s".to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 80),
        zone: "z".to_owned(),
        capacity_slots: 1,
        state,
    }
}

fn list(number: u64, instances: &[&str]) -> EndpointList {
    let endpoints = instances.iter().map(|instance| endpoint(instance, EndpointState::Ready)).collect();
    EndpointList { version: ListVersion::new(1, number), endpoints }
}

fn ip(number: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 1, number)
}

fn call(number: u8, zone: &str, urgent: bool) -> Call {
    Call::Subscribe {
        ip: ip(number),
        zone: zone.to_owned(),
        urgent,
        value: Ballot::default(),
        list: ListVersion::new(0, 0),
    }
}

/// A process that knows value 3 and list 1, confirmed now.
fn up_to_date() -> FeedState {
    let mut feed = FeedState::default();
    feed.update_value(value(3)).expect("readable");
    feed.update_list(list(1, &["a", "b"]));
    feed.confirm(NOW);
    feed
}

fn subscribe(feed: &mut FeedState, role: Role, call: &Call, link: u64) -> Answer {
    feed.subscribe(NOW, role, PORT, call, link).answer
}

#[googletest::test]
fn older_values_lists_and_confirmations_are_ignored() {
    // Given a process that knows value 3 and list 1.
    let mut feed = up_to_date();
    // When it receives older and equal ones.
    for round in [1, 2, 3] {
        expect_false!(feed.update_value(value(round)).expect("readable").changed);
    }
    expect_false!(feed.update_list(list(1, &["c"])).changed);
    expect_false!(
        feed.update_list(EndpointList { version: ListVersion::new(0, 9), endpoints: Vec::new() }).changed
    );
    // Then they are ignored.
    expect_that!(feed.value().ballot.round, eq(3));
    expect_that!(feed.list().endpoints.len(), eq(2));
    // And an earlier confirmation does not increase the age.
    expect_false!(feed.confirm(NOW - MAX_STATE_AGE));
    expect_that!(feed.age(NOW), some(eq(Duration::ZERO)));
}

#[googletest::test]
fn an_unreadable_value_changes_nothing() {
    let mut feed = up_to_date();
    let unreadable = ChosenValue { payload: Bytes::from_static(&[0xff; 3]), ..value(4) };
    expect_that!(feed.update_value(unreadable), err(anything()));
    expect_that!(feed.value().ballot.round, eq(3));
    expect_true!(feed.update_value(value(5)).expect("readable").changed);
}

#[googletest::test]
fn a_subscriber_first_receives_what_it_lacks_and_the_age() {
    // Given one subscriber that knows nothing, and one that knows everything.
    let mut feed = up_to_date();
    let none = call(1, "z", false);
    let all = Call::Subscribe {
        ip: ip(2),
        zone: "z".to_owned(),
        urgent: false,
        value: Ballot { round: 3, proposer: 1, incarnation: 1 },
        list: ListVersion::new(1, 1),
    };
    // When they subscribe 0.3 s later.
    let later = NOW + Duration::from_millis(300);
    let heartbeat = Push::Heartbeat { age_ms: 300, proxies: 0 };
    let first = feed.subscribe(later, Role::ControlNode, PORT, &none, 1);
    let second = feed.subscribe(later, Role::ControlNode, PORT, &all, 2);
    // Then one receives value and list, and both receive the age.
    expect_that!(first.answer, eq(&Answer::Done));
    expect_that!(
        first.pushes,
        eq(&vec![Push::Value(value(3)), Push::List(list(1, &["a", "b"])), heartbeat.clone()])
    );
    expect_that!(second.pushes, eq(&vec![heartbeat]));
}

#[googletest::test]
fn a_list_is_sent_as_a_delta_to_subscribers_with_the_previous_one() {
    // Given one subscriber with the list, and one that is ahead of it.
    let mut feed = FeedState::default();
    feed.update_value(value(1)).expect("readable");
    feed.confirm(NOW);
    feed.subscribe(NOW, Role::ControlNode, PORT, &call(1, "z", false), 1);
    let first = feed.update_list(list(1, &["a", "b", "c"]));
    expect_that!(
        first.broadcasts,
        eq(&vec![Broadcast { push: Push::List(list(1, &["a", "b", "c"])), to: vec![1] }])
    );
    let ahead = Call::Subscribe {
        ip: ip(2),
        zone: "z".to_owned(),
        urgent: false,
        value: Ballot::default(),
        list: ListVersion::new(1, 2),
    };
    feed.subscribe(NOW, Role::ControlNode, PORT, &ahead, 2);
    // When the next one drains b, loses c and has d.
    let mut next = list(2, &["a", "b", "d"]);
    next.endpoints[1].state = EndpointState::Draining;
    let update = feed.update_list(next.clone());
    // Then the first receives the delta, and the second, which has the list, nothing.
    let change = Push::ListDelta {
        base: ListVersion::new(1, 1),
        version: ListVersion::new(1, 2),
        upserted: vec![endpoint("b", EndpointState::Draining), endpoint("d", EndpointState::Ready)],
        removed: vec!["c".to_owned()],
    };
    expect_that!(update.broadcasts, eq(&vec![Broadcast { push: change.clone(), to: vec![1] }]));
    // And the delta results in the same list.
    let mut subscriber = FeedState::default();
    subscriber.update_list(list(1, &["a", "b", "c"]));
    let update = subscriber.apply_push(NOW, change.clone(), true).expect("readable");
    expect_true!(update.changed);
    expect_that!(subscriber.list().endpoints, eq(&next.endpoints));
    // But it is rejected relative to another list.
    let mut other = FeedState::default();
    other.update_list(list(0, &[]));
    let update = other.apply_push(NOW, change.clone(), true).expect("readable");
    expect_true!(update.out_of_sync);
    expect_false!(update.changed);
    // And a repeated delta has no effect.
    expect_that!(
        subscriber.apply_push(NOW, change, true).expect("readable"),
        eq(&state_feed::FeedUpdate::default())
    );
}

#[googletest::test]
fn a_control_node_redirects_a_zone_to_its_two_relays() {
    // Given a control node with two agents of a zone.
    let mut feed = up_to_date();
    expect_that!(subscribe(&mut feed, Role::ControlNode, &call(1, "z", false), 1), eq(&Answer::Done));
    expect_that!(subscribe(&mut feed, Role::ControlNode, &call(2, "z", false), 2), eq(&Answer::Done));
    // When others subscribe.
    let third = subscribe(&mut feed, Role::ControlNode, &call(3, "z", false), 3);
    // Then they are redirected to these, unless they are urgent or of another zone.
    let relays = vec![SocketAddrV4::new(ip(1), PORT), SocketAddrV4::new(ip(2), PORT)];
    expect_that!(third, eq(&Answer::Redirect(relays.clone())));
    expect_that!(subscribe(&mut feed, Role::ControlNode, &call(3, "z", true), 3), eq(&Answer::Done));
    expect_that!(subscribe(&mut feed, Role::ControlNode, &call(4, "y", false), 4), eq(&Answer::Done));
    // And a relay that subscribes again is not redirected to itself.
    expect_that!(subscribe(&mut feed, Role::ControlNode, &call(1, "z", false), 5), eq(&Answer::Done));
    // And once a relay has been removed, the next subscriber becomes one.
    feed.remove(1);
    feed.remove(5);
    expect_that!(subscribe(&mut feed, Role::ControlNode, &call(6, "z", false), 6), eq(&Answer::Done));
}

#[googletest::test]
fn subscribers_are_not_redirected_to_urgent_ones() {
    // Given a control node that serves three storage nodes of a zone, which have no subscribers.
    let mut feed = up_to_date();
    for number in 1..=3 {
        subscribe(&mut feed, Role::ControlNode, &call(number, "z", true), number.into());
    }
    // When agents of that zone subscribe.
    let (first, second) = (
        subscribe(&mut feed, Role::ControlNode, &call(4, "z", false), 4),
        subscribe(&mut feed, Role::ControlNode, &call(5, "z", false), 5),
    );
    // Then they are its relays.
    expect_that!((first, second), eq(&(Answer::Done, Answer::Done)));
    let relays = vec![SocketAddrV4::new(ip(4), PORT), SocketAddrV4::new(ip(5), PORT)];
    expect_that!(
        subscribe(&mut feed, Role::ControlNode, &call(6, "z", false), 6),
        eq(&Answer::Redirect(relays))
    );
}

#[googletest::test]
fn a_redirected_subscriber_keeps_its_present_link() {
    // Given an urgent subscriber beside two relays.
    let mut feed = up_to_date();
    for (number, urgent) in [(1, false), (2, false), (3, true)] {
        subscribe(&mut feed, Role::ControlNode, &call(number, "z", urgent), number.into());
    }
    // When it subscribes without urgency.
    expect_that!(
        subscribe(&mut feed, Role::ControlNode, &call(3, "z", false), 4),
        matches_pattern!(Answer::Redirect(_))
    );
    // Then its first link is served as before, until it closes it.
    let update = feed.update_value(value(4)).expect("readable");
    expect_that!(update.broadcasts, eq(&vec![Broadcast { push: Push::Value(value(4)), to: vec![1, 2, 3] }]));
}

#[googletest::test]
fn a_process_without_fresh_state_serves_no_subscriber() {
    let later = NOW + MAX_STATE_AGE + Duration::from_millis(1);
    let answer = |feed: &mut FeedState, at, role, urgent| {
        feed.subscribe(at, role, PORT, &call(1, "z", urgent), 1).answer
    };
    // A control node without a value serves no subscriber.
    expect_that!(answer(&mut FeedState::default(), NOW, Role::ControlNode, true), eq(&Answer::NotReady));
    // A stale relay serves no subscriber, not even an urgent one.
    expect_that!(answer(&mut up_to_date(), later, Role::Relay, true), eq(&Answer::NotReady));
    expect_that!(answer(&mut up_to_date(), NOW + MAX_STATE_AGE, Role::Relay, true), eq(&Answer::Done));
    // A stale control node serves only urgent subscribers: others may find a better one.
    expect_that!(answer(&mut up_to_date(), later, Role::ControlNode, false), eq(&Answer::NotReady));
    expect_that!(answer(&mut up_to_date(), later, Role::ControlNode, true), eq(&Answer::Done));
}

#[googletest::test]
fn a_full_relay_rejects_further_machines_but_not_its_own() {
    let mut feed = up_to_date();
    for number in 1..=MAX_RELAY_SUBSCRIBERS as u8 {
        expect_that!(
            subscribe(&mut feed, Role::Relay, &call(number, "z", false), number.into()),
            eq(&Answer::Done)
        );
    }
    expect_that!(
        subscribe(&mut feed, Role::Relay, &call(99, "z", false), 99),
        eq(&Answer::Redirect(Vec::new()))
    );
    expect_that!(subscribe(&mut feed, Role::Relay, &call(99, "z", true), 99), eq(&Answer::Done));
    expect_that!(subscribe(&mut feed, Role::Relay, &call(1, "z", false), 100), eq(&Answer::Done));
}

#[googletest::test]
fn a_relay_forwards_heartbeats_and_sends_its_own() {
    // Given a relay with a subscriber.
    let mut feed = up_to_date();
    subscribe(&mut feed, Role::Relay, &call(1, "z", false), 1);
    let ms = Duration::from_millis;
    let heartbeat = |age_ms| Push::Heartbeat { age_ms, proxies: 7 };
    // When its upstream reports an age of 0.1 s.
    let at = NOW + ms(600);
    let update = feed.apply_push(at, heartbeat(100), true).expect("readable");
    // Then it forwards that at once.
    expect_that!(update.broadcasts, eq(&vec![Broadcast { push: heartbeat(100), to: vec![1] }]));
    // But neither an older confirmation nor heartbeats that follow too soon.
    expect_that!(
        feed.apply_push(at + ms(300), heartbeat(500), true).expect("readable").broadcasts,
        is_empty()
    );
    expect_that!(
        feed.apply_push(at + MIN_HEARTBEAT_GAP / 2, heartbeat(0), true).expect("readable").broadcasts,
        is_empty()
    );
    // And without heartbeats from its upstream it sends one of its own with the present age.
    expect_that!(feed.heartbeat_due(), gt(at + HEARTBEAT_INTERVAL));
    let due = feed.heartbeat_due();
    let age_ms = u32::try_from((due - at - MIN_HEARTBEAT_GAP / 2).as_millis()).expect("small");
    expect_that!(feed.heartbeat(due), eq(&vec![Broadcast { push: heartbeat(age_ms), to: vec![1] }]));
    // And a link without confirmation does not confirm the state.
    let before = feed.confirmed_at();
    feed.apply_push(due, heartbeat(0), false).expect("readable");
    expect_that!(feed.confirmed_at(), eq(before));
}

fn configured(round: u64, version: u64, epoch: u64) -> ChosenValue {
    let mut state = fleet_model::ControlState { config: Bytes::from(vec![7; 9_000]), ..Default::default() };
    state.committed.push(fleet_model::CommittedVersion { version, digest: [version as u8; 32] });
    state.roster.epoch = epoch;
    let payload = state.to_payload().expect("plain");
    ChosenValue { payload, ..value(round) }
}

#[googletest::test]
fn a_value_with_a_known_configuration_is_sent_without_it() {
    // Given a process with a subscriber, both with version 5.
    let mut feed = FeedState::default();
    feed.update_value(configured(3, 5, 1)).expect("readable");
    feed.confirm(NOW);
    let subscription = feed.subscribe(NOW, Role::ControlNode, PORT, &call(1, "z", false), 1);
    let mut subscriber = FeedState::default();
    for push in subscription.pushes {
        subscriber.apply_push(NOW, push, true).expect("readable");
    }
    // When the roster changes and the configuration does not.
    let broadcasts = feed.update_value(configured(4, 5, 2)).expect("readable").broadcasts;
    let [Broadcast { push, .. }] = broadcasts.as_slice() else { panic!("one push") };
    let Push::Value(without_config) = push else { panic!("a value") };
    expect_that!(without_config.payload.len(), lt(200));
    subscriber.apply_push(NOW, push.clone(), true).expect("readable");
    // Then the subscriber has the complete value, and can serve it to others.
    expect_that!(subscriber.state().roster.epoch, eq(2));
    expect_that!(subscriber.state().config.len(), eq(9_000));
    expect_that!(subscriber.value().payload, eq(&feed.value().payload));
    // And a process with another version cannot apply it: it is out of sync, and has to subscribe again.
    let mut other = FeedState::default();
    other.update_value(configured(2, 4, 1)).expect("readable");
    expect_true!(other.apply_push(NOW, push.clone(), true).expect("readable").out_of_sync);
    expect_that!(other.state().version(), eq(4));
    // And a new configuration is sent completely.
    let broadcasts = feed.update_value(configured(5, 6, 2)).expect("readable").broadcasts;
    expect_that!(
        broadcasts,
        elements_are![matches_pattern!(Broadcast { push: eq(&Push::Value(configured(5, 6, 2))), .. })]
    );
}
