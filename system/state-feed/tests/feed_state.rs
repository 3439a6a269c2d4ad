//! What a process knows, whom it takes on, and what it pushes to whom.

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

/// One that knows value 3 and list 1, as of now.
fn informed() -> FeedState {
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
fn values_and_lists_only_rise() {
    // Given a process that knows value 3 and list 1.
    let mut feed = informed();
    // When it is told others, older and equal.
    for round in [1, 2, 3] {
        expect_false!(feed.update_value(value(round)).expect("readable").changed);
    }
    expect_false!(feed.update_list(list(1, &["c"])).changed);
    expect_false!(
        feed.update_list(EndpointList { version: ListVersion::new(0, 9), endpoints: Vec::new() }).changed
    );
    // Then it keeps what it had.
    expect_that!(feed.value().ballot.round, eq(3));
    expect_that!(feed.list().endpoints.len(), eq(2));
    // And its age rises too.
    expect_false!(feed.confirm(NOW - MAX_STATE_AGE));
    expect_that!(feed.age(NOW), some(eq(Duration::ZERO)));
}

#[googletest::test]
fn a_value_that_cannot_be_read_leaves_all_as_it_was() {
    let mut feed = informed();
    let odd = ChosenValue { payload: Bytes::from_static(&[0xff; 3]), ..value(4) };
    expect_that!(feed.update_value(odd), err(anything()));
    expect_that!(feed.value().ballot.round, eq(3));
    expect_true!(feed.update_value(value(5)).expect("readable").changed);
}

#[googletest::test]
fn a_subscriber_first_gets_what_it_lacks_and_the_age() {
    // Given subscribers that know nothing, and all.
    let mut feed = informed();
    let none = call(1, "z", false);
    let all = Call::Subscribe {
        ip: ip(2),
        zone: "z".to_owned(),
        urgent: false,
        value: Ballot { round: 3, proposer: 1, incarnation: 1 },
        list: ListVersion::new(1, 1),
    };
    // When they are taken on 0.3 s later.
    let later = NOW + Duration::from_millis(300);
    let beat = Push::Heartbeat { age_ms: 300, proxies: 0 };
    let first = feed.subscribe(later, Role::ControlNode, PORT, &none, 1);
    let second = feed.subscribe(later, Role::ControlNode, PORT, &all, 2);
    // Then one gets value and list, and both how old that is.
    expect_that!(first.answer, eq(&Answer::Done));
    expect_that!(
        first.pushes,
        eq(&vec![Push::Value(value(3)), Push::List(list(1, &["a", "b"])), beat.clone()])
    );
    expect_that!(second.pushes, eq(&vec![beat]));
}

#[googletest::test]
fn a_list_goes_as_its_changes_to_who_has_the_former_one_and_whole_to_others() {
    // Given one subscriber with the list, and one that came before there was any.
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
    let learned = feed.update_list(next.clone());
    // Then changes go to the first, and nothing to the second, which has it.
    let change = Push::ListDelta {
        base: ListVersion::new(1, 1),
        version: ListVersion::new(1, 2),
        upserted: vec![endpoint("b", EndpointState::Draining), endpoint("d", EndpointState::Ready)],
        removed: vec!["c".to_owned()],
    };
    expect_that!(learned.broadcasts, eq(&vec![Broadcast { push: change.clone(), to: vec![1] }]));
    // And who takes the changes in has the same list.
    let mut child = FeedState::default();
    child.update_list(list(1, &["a", "b", "c"]));
    let taken = child.apply_push(NOW, change.clone(), true).expect("readable");
    expect_true!(taken.changed);
    expect_that!(child.list().endpoints, eq(&next.endpoints));
    // But on top of another list they are refused, until it is whole again.
    let mut other = FeedState::default();
    other.update_list(list(0, &[]));
    let taken = other.apply_push(NOW, change.clone(), true).expect("readable");
    expect_true!(taken.out_of_sync);
    expect_false!(taken.changed);
    // And known changes do no harm.
    expect_that!(
        child.apply_push(NOW, change, true).expect("readable"),
        eq(&state_feed::FeedUpdate::default())
    );
}

#[googletest::test]
fn a_keeper_names_two_heads_to_the_others_of_their_zone() {
    // Given a keeper with two agents of a zone.
    let mut feed = informed();
    expect_that!(subscribe(&mut feed, Role::ControlNode, &call(1, "z", false), 1), eq(&Answer::Done));
    expect_that!(subscribe(&mut feed, Role::ControlNode, &call(2, "z", false), 2), eq(&Answer::Done));
    // When others come.
    let third = subscribe(&mut feed, Role::ControlNode, &call(3, "z", false), 3);
    // Then they are sent to these, unless they press, or are of another zone.
    let heads = vec![SocketAddrV4::new(ip(1), PORT), SocketAddrV4::new(ip(2), PORT)];
    expect_that!(third, eq(&Answer::Redirect(heads.clone())));
    expect_that!(subscribe(&mut feed, Role::ControlNode, &call(3, "z", true), 3), eq(&Answer::Done));
    expect_that!(subscribe(&mut feed, Role::ControlNode, &call(4, "y", false), 4), eq(&Answer::Done));
    // And a head that asks again is not sent to itself.
    expect_that!(subscribe(&mut feed, Role::ControlNode, &call(1, "z", false), 5), eq(&Answer::Done));
    // And when a head has gone, the next becomes one.
    feed.remove(1);
    feed.remove(5);
    expect_that!(subscribe(&mut feed, Role::ControlNode, &call(6, "z", false), 6), eq(&Answer::Done));
}

#[googletest::test]
fn who_pressed_is_named_to_nobody() {
    // Given a keeper that feeds three storage machines of a zone, which feed no one.
    let mut feed = informed();
    for number in 1..=3 {
        subscribe(&mut feed, Role::ControlNode, &call(number, "z", true), number.into());
    }
    // When agents of that zone come.
    let (first, second) = (
        subscribe(&mut feed, Role::ControlNode, &call(4, "z", false), 4),
        subscribe(&mut feed, Role::ControlNode, &call(5, "z", false), 5),
    );
    // Then they are its heads.
    expect_that!((first, second), eq(&(Answer::Done, Answer::Done)));
    let heads = vec![SocketAddrV4::new(ip(4), PORT), SocketAddrV4::new(ip(5), PORT)];
    expect_that!(
        subscribe(&mut feed, Role::ControlNode, &call(6, "z", false), 6),
        eq(&Answer::Redirect(heads))
    );
}

#[googletest::test]
fn a_subscriber_that_is_sent_elsewhere_keeps_the_link_that_it_has() {
    // Given one that pressed, beside two heads.
    let mut feed = informed();
    for (number, urgent) in [(1, false), (2, false), (3, true)] {
        subscribe(&mut feed, Role::ControlNode, &call(number, "z", urgent), number.into());
    }
    // When it asks for its place in the tree.
    expect_that!(
        subscribe(&mut feed, Role::ControlNode, &call(3, "z", false), 4),
        matches_pattern!(Answer::Redirect(_))
    );
    // Then it is fed as before, until it says otherwise.
    let learned = feed.update_value(value(4)).expect("readable");
    expect_that!(learned.broadcasts, eq(&vec![Broadcast { push: Push::Value(value(4)), to: vec![1, 2, 3] }]));
}

#[googletest::test]
fn nothing_is_fed_by_who_knows_nothing_or_is_stale() {
    let later = NOW + MAX_STATE_AGE + Duration::from_millis(1);
    let ask = |feed: &mut FeedState, at, role, urgent| {
        feed.subscribe(at, role, PORT, &call(1, "z", urgent), 1).answer
    };
    // A relay or keeper without a value feeds nobody.
    expect_that!(ask(&mut FeedState::default(), NOW, Role::ControlNode, true), eq(&Answer::NotReady));
    // A stale relay feeds nobody, be it pressed.
    expect_that!(ask(&mut informed(), later, Role::Relay, true), eq(&Answer::NotReady));
    expect_that!(ask(&mut informed(), NOW + MAX_STATE_AGE, Role::Relay, true), eq(&Answer::Done));
    // A stale keeper feeds only who presses: others may find a better one.
    expect_that!(ask(&mut informed(), later, Role::ControlNode, false), eq(&Answer::NotReady));
    expect_that!(ask(&mut informed(), later, Role::ControlNode, true), eq(&Answer::Done));
}

#[googletest::test]
fn a_full_relay_refuses_further_machines_but_not_its_own() {
    let mut feed = informed();
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
fn a_relay_passes_ages_on_as_they_come_and_grow() {
    // Given a relay with a child.
    let mut feed = informed();
    subscribe(&mut feed, Role::Relay, &call(1, "z", false), 1);
    let ms = Duration::from_millis;
    let beat = |age_ms| Push::Heartbeat { age_ms, proxies: 7 };
    // When its parent tells of 0.1 s.
    let at = NOW + ms(600);
    let told = feed.apply_push(at, beat(100), true).expect("readable");
    // Then it passes that on at once.
    expect_that!(told.broadcasts, eq(&vec![Broadcast { push: beat(100), to: vec![1] }]));
    // But not what is no news, nor too much of it.
    expect_that!(feed.apply_push(at + ms(300), beat(500), true).expect("readable").broadcasts, is_empty());
    expect_that!(
        feed.apply_push(at + MIN_HEARTBEAT_GAP / 2, beat(0), true).expect("readable").broadcasts,
        is_empty()
    );
    // And where nothing comes it says by itself that it is there, and how old it all is.
    expect_that!(feed.heartbeat_due(), gt(at + HEARTBEAT_INTERVAL));
    let due = feed.heartbeat_due();
    let grown = u32::try_from((due - at - MIN_HEARTBEAT_GAP / 2).as_millis()).expect("small");
    expect_that!(feed.heartbeat(due), eq(&vec![Broadcast { push: beat(grown), to: vec![1] }]));
    // And links that do not count confirm nothing.
    let before = feed.confirmed_at();
    feed.apply_push(due, beat(0), false).expect("readable");
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
fn a_value_with_the_configuration_that_is_known_goes_round_without_it() {
    // Given a process that feeds another, both with version 5.
    let mut feed = FeedState::default();
    feed.update_value(configured(3, 5, 1)).expect("readable");
    feed.confirm(NOW);
    let subscription = feed.subscribe(NOW, Role::ControlNode, PORT, &call(1, "z", false), 1);
    let mut fed = FeedState::default();
    for push in subscription.pushes {
        fed.apply_push(NOW, push, true).expect("readable");
    }
    // When the roster changes and the configuration does not.
    let broadcasts = feed.update_value(configured(4, 5, 2)).expect("readable").broadcasts;
    let [Broadcast { push, .. }] = broadcasts.as_slice() else { panic!("one push") };
    let Push::Value(slim) = push else { panic!("a value") };
    expect_that!(slim.payload.len(), lt(200));
    fed.apply_push(NOW, push.clone(), true).expect("readable");
    // Then the fed one has all of it, and can feed others with the whole.
    expect_that!(fed.state().roster.epoch, eq(2));
    expect_that!(fed.state().config.len(), eq(9_000));
    expect_that!(fed.value().payload, eq(&feed.value().payload));
    // And who knows another version cannot use it: it leaves, and gets the whole when it asks again.
    let mut other = FeedState::default();
    other.update_value(configured(2, 4, 1)).expect("readable");
    expect_true!(other.apply_push(NOW, push.clone(), true).expect("readable").out_of_sync);
    expect_that!(other.state().version(), eq(4));
    // And a new configuration goes round whole.
    let broadcasts = feed.update_value(configured(5, 6, 2)).expect("readable").broadcasts;
    expect_that!(
        broadcasts,
        elements_are![matches_pattern!(Broadcast { push: eq(&Push::Value(configured(5, 6, 2))), .. })]
    );
}
