//! The sending rules: what each permits and forbids, and what follows each outcome by message class.
mod common;
use common::*;
use message_sender::*;

const MAY_HAVE_EXECUTED: [Outcome; 4] =
    [Outcome::Failure, Outcome::TimedOut, Outcome::Reset, Outcome::Cancelled];
const NOT_EXECUTED: [Outcome; 5] = [
    Outcome::Full(None),
    Outcome::Full(Some(Span(300_000))),
    Outcome::ConnectFailed,
    Outcome::Void,
    Outcome::NoRoom,
];

/// What follows the outcome of a first attempt: the endpoint of a retry, and whether it was refused or
/// failed.
fn result_after(class: ClassId, outcome: Outcome) -> (Option<u32>, bool, bool) {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0), entry(1, 1, 0, 1)]);
    assert_eq!(sent(&host.submit(7, class, 1), 7), Some(0));
    host.now += 100_000;
    let mut run: Vec<_> = host.complete(7, 0, outcome).into_iter().map(|action| (host.now, action)).collect();
    run.extend(host.run(4 * SECOND));
    (first_send(&run, 7).map(|(_, endpoint)| endpoint), refused(&run, 7), failed(&run, 7))
}

#[test]
fn messages_that_did_not_execute_are_retried_in_every_class() {
    for class in [SAFE, KEYED_ALL, KEYED_ZONE, UNSAFE] {
        for outcome in NOT_EXECUTED {
            let (retried_at, refused, failed) = result_after(class, outcome);
            assert!(retried_at.is_some() && !refused && !failed, "{class:?} {outcome:?}");
        }
    }
}

#[test]
fn messages_that_may_have_executed_are_retried_as_their_class_permits() {
    for outcome in MAY_HAVE_EXECUTED {
        for class in [SAFE, KEYED_ALL] {
            assert!(result_after(class, outcome).0.is_some(), "{class:?} {outcome:?}");
        }
        assert_eq!(
            result_after(KEYED_ZONE, outcome).0,
            Some(0),
            "only in the zone of the first attempt: {outcome:?}"
        );
        assert_eq!(result_after(UNSAFE, outcome), (None, false, true), "{outcome:?}");
    }
}

#[test]
fn a_message_deduplicated_by_zone_waits_for_its_zone_then_fails() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0), entry(1, 1, 0, 1)]);
    host.submit(7, KEYED_ZONE, 1);
    host.now += 100_000;
    host.complete(7, 0, Outcome::Failure);
    host.step(&[Event::ListChanges(vec![Entry { listing: Listing::Removed, ..entry(1, 0, 0, 0) }])]);
    let run = host.run(6 * SECOND);
    assert!(first_send(&run, 7).is_none() && failed(&run, 7) && !refused(&run, 7));
}

#[test]
fn the_deduplication_window_starts_at_the_first_attempt_that_may_have_executed() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0)]);
    host.submit(7, KEYED_ALL, 1);
    let first = host.now;
    let mut attempt = 0;
    let mut last_sent = first;
    let mut refused = false;
    host.now += 1_000_000;
    let mut pending = Some(completed(7, 0, Outcome::TimedOut));
    while host.now < first + 8 * SECOND {
        for action in host.step(pending.take().as_slice()) {
            match action {
                Action::Send { .. } => {
                    attempt += 1;
                    last_sent = host.now;
                    pending = Some(completed(7, attempt, Outcome::Failure));
                }
                Action::Refuse { .. } => refused = true,
                other => panic!("{other:?}"),
            }
        }
        host.now += 20_000;
    }
    assert!(
        attempt > 0 && refused,
        "retried inside the window, refused after it (as the group is all endpoints)"
    );
    assert!(last_sent < first + 5 * SECOND);
}

#[test]
fn a_message_completes_once_and_before_its_deadline() {
    for list in [vec![], vec![Entry { listing: Listing::Draining, ..entry(1, 0, 0, 0) }]] {
        let mut host = Host::new(settings(), list);
        let accepted_at = host.now;
        assert!(host.submit(7, UNSAFE, 1).is_empty());
        let run = host.run(20 * SECOND);
        let refusals: Vec<_> = run
            .iter()
            .filter(|(_, action)| matches!(action, Action::Refuse { message: MessageId(7), .. }))
            .collect();
        assert_eq!(run.len(), refusals.len());
        assert_eq!(refusals.len(), 1);
        assert!(refusals[0].0 < accepted_at + 16 * SECOND && refusals[0].0 > accepted_at + 15 * SECOND);
    }
}

#[test]
fn an_attempt_times_out_before_the_deadline_and_the_message_fails() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0)]);
    let expires = |actions: &[Action]| match actions {
        [Action::Send { expires, .. }] => expires.0,
        other => panic!("{other:?}"),
    };
    let Event::Message(message) = message(7, UNSAFE, 1, None) else { unreachable!() };
    let short = Message { budget: Span(300_000), ..message };
    let expires_at = expires(&host.step(&[Event::Message(short)]));
    assert!(expires_at > host.now && expires_at < host.now + 300_000);
    host.now += 295_000;
    assert_eq!(host.complete(7, 0, Outcome::TimedOut), vec![Action::Fail(MessageId(7))]);
    assert!(host.run(SECOND).is_empty());
}

#[test]
fn retry_after_closes_a_shared_destination_but_only_one_independent_route() {
    for (kind, other_route_open) in [(0, false), (1, true)] {
        let mut host = Host::new(settings(), vec![entry(1, 0, kind, 0), entry(1, 1, kind, 1)]);
        assert_eq!(sent(&host.submit(7, SAFE, 1), 7), Some(0));
        host.complete(7, 0, Outcome::Full(Some(Span(2 * SECOND))));
        let reported_at = host.now;
        let mut run: Vec<_> = host.submit(8, SAFE, 1).into_iter().map(|action| (host.now, action)).collect();
        run.extend(host.run(4 * SECOND));
        let (sent_at, endpoint) = first_send(&run, 8).unwrap();
        assert_eq!(other_route_open, sent_at < reported_at + 2 * SECOND);
        assert_eq!(other_route_open, endpoint == 1);
        let (sent_at, endpoint) = first_send(&run, 7).unwrap();
        assert!(sent_at >= reported_at + 2 * SECOND || (other_route_open && endpoint == 1));
    }
}

#[test]
fn the_longest_retry_after_of_a_batch_applies() {
    let mut settings = settings();
    settings.kinds[0].batch = 2;
    let mut host = Host::new(settings, vec![entry(1, 0, 0, 0)]);
    let sends = host.step(&[message(1, SAFE, 1, None), message(2, SAFE, 1, None)]);
    assert_eq!(sends.len(), 2);
    let reported_at = host.now;
    host.step(&[
        completed(1, 0, Outcome::Full(Some(Span(300_000)))),
        completed(2, 0, Outcome::Full(Some(Span(400_000)))),
    ]);
    let run = host.run(8 * SECOND);
    assert!(first_send(&run, 1).unwrap().0 >= reported_at + 400_000);
}

#[test]
fn no_new_call_goes_to_a_draining_or_removed_endpoint() {
    for listing in [Listing::Draining, Listing::Removed] {
        let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0), entry(1, 1, 0, 1)]);
        host.step(&[Event::ListChanges(vec![Entry { listing, ..entry(1, 0, 0, 0) }])]);
        assert_eq!(sent(&host.submit(7, SAFE, 1), 7), Some(1), "at once, even within the grace time");
        host.now += 2 * SECOND;
        assert_eq!(sent(&host.submit(8, SAFE, 1), 8), Some(1));
        // A full list that lacks an endpoint removes it.
        host.step(&[Event::FullList(vec![entry(1, 0, 0, 0)])]);
        assert_eq!(sent(&host.submit(9, SAFE, 1), 9), Some(0));
    }
}

#[test]
fn ordered_messages_are_sent_one_at_a_time_after_the_settle_time() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0), entry(2, 1, 0, 0)]);
    let events =
        [message(1, ORDERED, 1, Some(5)), message(2, ORDERED, 2, Some(5)), message(3, ORDERED, 2, Some(6))];
    let first = host.step(&events);
    assert!(sent(&first, 1).is_some() && sent(&first, 2).is_none() && sent(&first, 3).is_some());
    host.now += 100_000;
    let next = host.complete(1, 0, Outcome::Success);
    assert!(sent(&next, 2).is_some(), "no settle time after a success");
    host.step(&[message(4, ORDERED, 1, Some(5))]);
    host.now += 100_000;
    host.step(&[completed(2, 0, Outcome::TimedOut)]);
    let timed_out = host.now;
    // Retries of the first message don't wait for the settle time; the next message of its key does.
    let run = host.run(SECOND);
    assert!(first_send(&run, 2).is_some() && first_send(&run, 4).is_none());
    host.complete(2, 1, Outcome::Success);
    let run = host.run(3 * SECOND);
    assert!(first_send(&run, 4).unwrap().0 >= timed_out + 2 * SECOND);
}

#[test]
fn an_undeliverable_first_message_does_not_block_its_key_for_good() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0), entry(2, 1, 0, 0)]);
    host.step(&[message(1, ORDERED, 9, Some(5)), message(2, ORDERED, 2, Some(5))]);
    let run = host.run(17 * SECOND);
    assert!(refused(&run, 1) && refused(&run, 2), "both complete before their deadline");
    host.step(&[Event::ClientCancelled(MessageId(77))]);
    assert!(sent(&host.step(&[message(3, ORDERED, 2, Some(5))]), 3).is_some());
}

#[test]
fn a_cancelled_message_holds_its_key_while_its_attempt_is_in_flight() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0)]);
    host.step(&[message(1, ORDERED, 1, Some(5)), message(2, ORDERED, 1, Some(5))]);
    assert!(host.step(&[Event::ClientCancelled(MessageId(1))]).is_empty());
    let next = host.complete(1, 0, Outcome::Success);
    assert!(sent(&next, 2).is_some());
}

#[test]
fn a_recovering_destination_has_a_slow_start() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0)]);
    // Traffic of 20 messages a second, with an outage from second 10 to second 20.
    let mut id = 0;
    let mut in_flight: Vec<(u64, u32, u32)> = Vec::new();
    let mut attempts = std::collections::BTreeMap::new();
    let start = host.now;
    let mut sends = Vec::new();
    let mut first_success = None;
    while host.now < start + 45 * SECOND {
        let mut events = Vec::new();
        let elapsed = host.now - start;
        let down = (10 * SECOND..20 * SECOND).contains(&elapsed);
        in_flight.retain(|(due, message, attempt)| {
            if *due > host.now {
                return true;
            }
            events.push(completed(
                *message,
                *attempt,
                if down { Outcome::ConnectFailed } else { Outcome::Success },
            ));
            if !down && elapsed >= 20 * SECOND && first_success.is_none() {
                first_success = Some(host.now);
            }
            false
        });
        if elapsed.is_multiple_of(50_000) {
            id += 1;
            events.push(message(id, SAFE, 1, None));
        }
        for action in host.step(&events) {
            if let Action::Send { message, .. } = action {
                let attempt = attempts.entry(message).and_modify(|attempt| *attempt += 1).or_insert(0u32);
                in_flight.push((host.now + 100_000, message.0, *attempt));
                sends.push(host.now);
            }
        }
        host.now += 10_000;
    }
    let count = |from: u64, to: u64| sends.iter().filter(|time| (from..to).contains(*time)).count();
    let recovered_at = first_success.expect("no successful probe");
    let probes = count(start + 12 * SECOND, recovered_at);
    assert!(probes <= 14, "{probes} sends during the outage");
    // The capacity is at least 20 calls a second; a share of 0.2, times 2, over 1.5 s allows at most 12.
    assert!(count(recovered_at, recovered_at + 1_500_000) <= 12);
    assert!(
        count(recovered_at + 7 * SECOND, recovered_at + 9 * SECOND)
            > count(recovered_at, recovered_at + 2 * SECOND)
    );
}

#[test]
fn free_slots_are_shared_fairly_between_destinations() {
    let mut settings = settings();
    settings.slots = 4;
    let mut host = Host::new(settings, vec![entry(1, 0, 0, 0), entry(2, 1, 0, 0)]);
    let mut events: Vec<Event> = (0..6).map(|id| message(id, SAFE, 1, None)).collect();
    events.push(message(10, SAFE, 2, None));
    let actions = host.step(&events);
    assert_eq!(actions.len(), 3, "half of the slots for one destination, and one call to the other");
    assert!(sent(&actions, 10).is_some());
}

#[test]
fn the_list_is_requested_again_after_a_failure() {
    let mut settings = settings();
    settings.discovery = Discovery::OnRequest;
    let mut host = Host { sender: Sender::new(settings, 1).unwrap(), now: SECOND };
    assert_eq!(host.step(&[Event::FullList(vec![])]), vec![Action::Subscribe]);
    assert!(host.run(SECOND).is_empty(), "one subscription is enough while it lasts");
    assert!(host.step(&[Event::ListFailed]).is_empty(), "not at once");
    let run = host.run(5 * SECOND);
    assert_eq!(run.iter().filter(|(_, action)| *action == Action::Subscribe).count(), 1);
}

#[test]
fn a_restart_with_a_stale_list_finds_the_live_endpoint() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0), entry(1, 1, 0, 1)]);
    assert_eq!(sent(&host.submit(7, UNSAFE, 1), 7), Some(0));
    host.now += SECOND;
    let mut attempt = 0;
    let mut run: Vec<_> =
        host.complete(7, 0, Outcome::ConnectFailed).into_iter().map(|action| (host.now, action)).collect();
    for _ in 0..5 {
        run.extend(host.run(3 * SECOND));
        match first_send(&run, 7) {
            Some((_, 1)) => return,
            Some(_) => {
                attempt += 1;
                run = host
                    .complete(7, attempt, Outcome::ConnectFailed)
                    .into_iter()
                    .map(|action| (host.now, action))
                    .collect();
            }
            None => {}
        }
    }
    panic!("the other endpoint was never tried");
}

#[test]
fn the_error_names_the_invalid_setting() {
    let error_of = |change: fn(&mut Settings)| {
        let mut settings = settings();
        change(&mut settings);
        Sender::new(settings, 1).err().expect("an error").to_string()
    };
    assert!(error_of(|s| s.classes.clear()).contains("classes"));
    assert!(error_of(|s| s.slots = 0).contains("slots"));
    assert!(error_of(|s| s.kinds.clear()).contains("kinds"));
}

#[test]
fn events_of_completed_messages_are_ignored() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0)]);
    host.submit(7, SAFE, 1);
    host.complete(7, 0, Outcome::Success);
    assert!(host.complete(7, 0, Outcome::Failure).is_empty());
    assert!(host.step(&[Event::ClientCancelled(MessageId(7))]).is_empty());
}

#[test]
fn endpoints_of_an_unknown_kind_are_ignored() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 9, 0)]);
    assert!(host.submit(8, SAFE, 1).is_empty(), "an endpoint of an unknown kind is not used");
}

#[test]
fn a_capacity_of_one_message_suffices_to_send() {
    let mut settings = settings();
    settings.max_pending = 1;
    let mut host = Host::new(settings, vec![entry(1, 0, 0, 0)]);
    assert!(sent(&host.submit(7, SAFE, 1), 7).is_some());
}

/// Guards against a call sent after its permission has lapsed while it was connecting.
#[test]
fn a_call_delayed_by_connecting_is_checked_again() {
    let list = vec![entry(1, 0, 0, 0), entry(1, 1, 0, 0)];
    let mut host = Host::new(settings(), list);
    let first = sent(&host.submit(1, KEYED_ALL, 1), 1).unwrap();
    let (id, endpoint) = (MessageId(1), EndpointId(first));
    assert!(host.sender.may_begin(Time(host.now), id, endpoint));
    host.step(&[Event::RetryAfterReported { endpoint, wait: Span(SECOND) }]);
    assert!(!host.sender.may_begin(Time(host.now + SECOND - 1), id, endpoint));
    assert!(host.sender.may_begin(Time(host.now + SECOND), id, endpoint));
    let draining = Entry { listing: Listing::Draining, ..entry(1, first, 0, 0) };
    host.step(&[Event::ListChanges(vec![draining])]);
    assert!(!host.sender.may_begin(Time(host.now + SECOND), id, endpoint));
    // After an attempt that may have executed, only within the window since it was sent.
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0)]);
    let start = host.now;
    host.submit(1, KEYED_ALL, 1);
    host.complete(1, 0, Outcome::Reset);
    let (retried_at, endpoint) = first_send(&host.run(4 * SECOND), 1).unwrap();
    assert!(host.sender.may_begin(Time(retried_at), id, EndpointId(endpoint)));
    assert!(!host.sender.may_begin(Time(start + 5 * SECOND), id, EndpointId(endpoint)));
}

/// Guards against a restart that loses the attempts, possible executions or ordering keys of the earlier
/// process.
#[test]
fn a_resumed_message_keeps_its_state() {
    let mut host = Host::new(Settings { outcomes_acknowledged: true, ..settings() }, vec![entry(1, 0, 0, 0)]);
    let now = host.now;
    let resumed = |id, class, key, attempts, executed_ago: Option<u64>, ended| {
        let Event::Message(message) = message(id, class, 1, key) else { unreachable!() };
        let ran = executed_ago.map(|ago| (Time(now - ago), ZoneId(0)));
        Event::Resumed(Resumed { message, attempts, ran, ended })
    };
    let actions = host.step(&[
        resumed(1, UNSAFE, None, 1, Some(SECOND), false),
        resumed(2, KEYED_ALL, None, 1, Some(6 * SECOND), false),
        resumed(3, ORDERED, Some(9), 2, None, true),
        resumed(4, ORDERED, Some(9), 0, None, false),
        resumed(5, UNSAFE, None, 6, None, false),
        resumed(6, KEYED_ALL, None, 5, Some(SECOND), false),
    ]);
    let mut run = vec![];
    run.extend(actions.into_iter().map(|action| (now, action)));
    run.extend(host.run(3 * SECOND));
    assert!(failed(&run, 1) && first_send(&run, 1).is_none(), "it may have executed");
    assert!(refused(&run, 2) && first_send(&run, 2).is_none(), "its deduplication window has ended");
    assert!(first_send(&run, 4).is_none(), "the previous outcome of its key is not acknowledged yet");
    assert!(first_send(&run, 5).is_none(), "its attempts are used up");
    assert!(first_send(&run, 6).is_some());
    let mut run = host.step(&[Event::OutcomeAcknowledged(MessageId(3))]);
    run.extend(host.run(SECOND).into_iter().map(|(_, action)| action));
    assert!(sent(&run, 4).is_some());
}

/// Guards against calls that the end of the process would interrupt.
#[test]
fn shutdown_begins_no_call_that_cannot_complete() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0)]);
    host.submit(1, SAFE, 1);
    host.now += SECOND;
    host.complete(1, 0, Outcome::Success);
    let end = Time(host.now + 4 * SECOND);
    host.step(&[Event::ShutdownScheduled(end)]);
    assert!(sent(&host.submit(2, SAFE, 1), 2).is_some());
    assert!(host.sender.admits(Time(host.now), 0) && !host.sender.admits(Time(host.now), 100));
    host.now = end.0 - SECOND / 2;
    assert_eq!(host.submit(3, SAFE, 1), vec![]);
    assert!(!host.sender.admits(Time(host.now), 0));
}

/// Guards against list updates that override an operator's exclusion, and against a burst to an endpoint that
/// returns cold.
#[test]
fn an_excluded_endpoint_returns_by_command_with_a_slow_start() {
    let both = vec![entry(1, 0, 0, 0), entry(1, 1, 0, 0)];
    let mut host = Host::new(settings(), both.clone());
    let closed = host.step_unfiltered(&[Event::Excluded(EndpointId(0))]);
    assert!(closed.contains(&Action::CloseIdle(EndpointId(0))));
    for (id, event) in [(1, Event::FullList(both.clone())), (2, Event::ListChanges(both.clone()))] {
        host.step(&[event]);
        assert_eq!(sent(&host.submit(id, UNSAFE, 1), id), Some(1));
        host.now += 100_000;
        host.complete(id, 0, Outcome::Success);
        host.now += 100_000;
    }
    host.step(&[Event::ListChanges(vec![Entry { listing: Listing::Removed, ..entry(1, 1, 0, 0) }])]);
    assert_eq!(sent(&host.submit(3, SAFE, 1), 3), None);
    for id in 4..24 {
        assert_eq!(sent(&host.submit(id, SAFE, 1), id), None);
    }
    assert!(
        host.step_unfiltered(&[Event::Included(EndpointId(0))]).contains(&Action::CloseIdle(EndpointId(0)))
    );
    let first_second = host.run(SECOND);
    let calls = first_second.iter().filter(|(_, action)| matches!(action, Action::Send { .. })).count();
    assert!(calls <= 2, "{calls} calls in the first second");
    let slow_start = host.run(11 * SECOND);
    assert!(
        slow_start.iter().any(|(_, action)| matches!(action, Action::Send { .. })),
        "it is not used again"
    );
}

/// Guards against new settings that apply retroactively: a pending message keeps its class, even if that
/// class is now unsafe or was removed, while new limits apply to all later decisions.
#[test]
fn pending_messages_keep_their_class_and_new_limits_apply() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0)]);
    for id in [1, 2] {
        host.submit(id, SAFE, id.into());
    }
    host.step(&[Event::FullList(vec![entry(1, 0, 0, 0), entry(2, 1, 0, 0)])]);
    host.now += 100_000;
    let mut new = settings();
    new.classes = vec![new.classes[UNSAFE.0]];
    host.step(&[Event::SettingsChanged(Box::new(new.clone()))]);
    host.complete(1, 0, Outcome::Reset);
    let run = host.run(4 * SECOND);
    assert!(first_send(&run, 1).is_some() && !failed(&run, 1), "a safe message is retried as before");
    // The second message was retried meanwhile: its attempts are used up under the new limit.
    host.complete(2, 0, Outcome::Full(Some(Span(2 * SECOND))));
    new.max_attempts = 1;
    let actions = host.step(&[Event::SettingsChanged(Box::new(new))]);
    assert_eq!(actions, [Action::Refuse { message: MessageId(2), after: Some(Span(2 * SECOND)) }]);
    host.now += 5 * SECOND;
    assert_eq!(sent(&host.submit(3, UNSAFE, 1), 3), Some(0));
    assert!(
        host.complete(3, 0, Outcome::ConnectFailed)
            .contains(&Action::Refuse { message: MessageId(3), after: None })
    );
}

/// Guards against too slow a start after maintenance: slow start is based on the endpoint's rate before it
/// was excluded, however long that lasted, and here exceeds one call a second.
#[test]
fn an_included_endpoint_starts_from_its_earlier_rate() {
    let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0)]);
    let mut id = 0;
    for _ in 0..200 {
        id += 1;
        assert_eq!(sent(&host.submit(id, SAFE, 1), id), Some(0));
        host.now += 50_000;
        host.complete(id, 0, Outcome::Success);
    }
    host.step(&[Event::Excluded(EndpointId(0))]);
    for _ in 0..60 {
        id += 1;
        host.submit(id, SAFE, 1);
        host.now += 100_000;
    }
    host.step(&[Event::Included(EndpointId(0))]);
    let mut calls = 0;
    let end = host.now + 2 * SECOND;
    while host.now < end {
        host.now += 20_000;
        for action in host.step(&[Event::TimerFired]) {
            if let Action::Send { message, .. } = action {
                calls += 1;
                host.complete(message.0, 0, Outcome::Success);
            }
        }
    }
    // 20 calls a second before; a cold endpoint handles a fifth of that, and the rule allows twice as much.
    assert!((8..=24).contains(&calls), "{calls} calls in two seconds");
}

/// Guards against a destination that stays closed after maintenance: a call that fails while all of its
/// endpoints are excluded must not delay its return.
#[test]
fn a_failure_during_maintenance_does_not_keep_the_destination_closed() {
    for outcome in [Outcome::ConnectFailed, Outcome::Reset, Outcome::Full(None), Outcome::TimedOut] {
        let mut host = Host::new(settings(), vec![entry(1, 0, 0, 0)]);
        for id in [1, 2] {
            host.submit(id, SAFE, 1);
            host.now += 50_000;
        }
        host.complete(1, 0, Outcome::Success);
        for id in [3, 4] {
            host.submit(id, SAFE, 1);
        }
        host.step(&[Event::Excluded(EndpointId(0))]);
        host.now += 100_000;
        for id in [4, 3, 2] {
            host.complete(id, 0, outcome);
        }
        host.now += SECOND;
        host.step(&[Event::Included(EndpointId(0))]);
        let run = host.run(12 * SECOND);
        assert!(
            run.iter().any(|(_, action)| matches!(action, Action::Send { .. })),
            "{outcome:?}: closed for good"
        );
    }
}
