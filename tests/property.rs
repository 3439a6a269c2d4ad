//! Property tests: random valid sequences of events from fixed seeds. Every action is checked against the
//! rules that a sender can observe, and every message must complete exactly once. Outcomes are random; no
//! server is modelled.
mod common;
use common::*;
use message_sender::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

struct Tracked {
    message: Message,
    accepted_at: u64,
    attempts: u32,
    /// Time-out and endpoint of the attempt in flight.
    in_flight: Option<(u64, u32)>,
    /// Time and zone of the first attempt that may have executed.
    executed: Option<(u64, usize)>,
    complete: bool,
}

fn run_random_events(seed: u64) -> Vec<(u64, Action)> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut random_below = move |bound: u64| random.next_u64() % bound;
    let mut settings = settings();
    settings.kinds[0].batch = 1 + random_below(4) as usize;
    settings.max_attempts = 4;
    let classes = settings.classes.clone();
    let independent_routes = |destination: u64| destination % 2 == 1;
    let mut listing = BTreeMap::new();
    let list: Vec<Entry> = (0..12)
        .map(|id| entry(u64::from(id) % 5, id, (id % 5 % 2) as usize, (id / 5 % 2) as usize))
        .collect();
    let mut host = Host::new(settings.clone(), list.clone());
    let mut messages: BTreeMap<u32, Tracked> = BTreeMap::new();
    let mut keys: BTreeMap<u64, (Vec<u32>, u64)> = BTreeMap::new();
    let mut waits: BTreeMap<(u64, u32), u64> = BTreeMap::new();
    let mut trace = Vec::new();
    let start = host.now;
    let mut id = 0;
    loop {
        let submissions_over = host.now > start + 40 * SECOND;
        if submissions_over
            && messages.values().all(|tracked| tracked.complete && tracked.in_flight.is_none())
        {
            break;
        }
        assert!(host.now < start + 80 * SECOND, "seed {seed}: a message never completed");
        let mut events = vec![Event::TimerFired];
        if random_below(400) == 0 {
            let listed = list[random_below(12) as usize];
            let state = [Listing::Active, Listing::Draining, Listing::Removed][random_below(3) as usize];
            listing.insert(listed.endpoint.0, state);
            events.push(Event::ListChanges(vec![Entry { listing: state, ..listed }]));
        }
        while !submissions_over && random_below(4) == 0 {
            id += 1;
            let class = random_below(5) as usize;
            let key = (class == 4).then(|| OrderKey(random_below(6)));
            let (destination, budget) =
                (DestinationId(random_below(6)), Span(SECOND + random_below(15 * SECOND)));
            let message =
                Message { id: MessageId(id), class: classes[class], tenant: None, key, destination, budget };
            if let Some(key) = key {
                keys.entry(key.0).or_insert((vec![], 0)).0.push(id);
            }
            let tracked = Tracked {
                message,
                accepted_at: host.now,
                attempts: 0,
                in_flight: None,
                executed: None,
                complete: false,
            };
            messages.insert(id, tracked);
            events.push(Event::Message(message));
        }
        for (id, tracked) in &mut messages {
            let Some((expires, endpoint)) = tracked.in_flight else {
                if !tracked.complete && random_below(20_000) == 0 {
                    tracked.complete = true;
                    events.push(Event::ClientCancelled(MessageId(*id)));
                }
                continue;
            };
            if random_below(10) > 0 && expires > host.now {
                continue;
            }
            let choice = if expires <= host.now {
                2
            } else {
                [0, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7][random_below(11) as usize]
            };
            let outcome = match choice {
                0 => Outcome::Success,
                1 => Outcome::Failure,
                2 => Outcome::TimedOut,
                3 => Outcome::Reset,
                4 => Outcome::ConnectFailed,
                5 => Outcome::Full((random_below(2) == 0).then(|| Span(random_below(3 * SECOND)))),
                6 => Outcome::Void,
                _ => Outcome::Cancelled,
            };
            let zone = list[endpoint as usize].zone.0;
            match outcome {
                Outcome::Failure | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled => {
                    tracked.executed = tracked.executed.or(Some((host.now, zone)));
                    if outcome != Outcome::Failure
                        && let Some(key) = tracked.message.key
                    {
                        keys.get_mut(&key.0).unwrap().1 = host.now + 2 * SECOND;
                    }
                }
                Outcome::Full(Some(wait)) => {
                    let destination = tracked.message.destination.0;
                    let route = (destination, if independent_routes(destination) { endpoint } else { 0 });
                    let until = waits.entry(route).or_insert(0);
                    *until = (*until).max(host.now + wait.0);
                }
                _ => {}
            }
            tracked.in_flight = None;
            tracked.complete |= outcome == Outcome::Success;
            events.push(Event::AttemptCompleted {
                message: MessageId(*id),
                attempt: tracked.attempts - 1,
                outcome,
                elapsed: Span(1),
                last: tracked.complete,
                report: None,
            });
        }
        for (queue, _) in keys.values_mut() {
            queue.retain(|id| !messages[id].complete || messages[id].in_flight.is_some());
        }
        for action in host.step(&events) {
            trace.push((host.now, action.clone()));
            match action {
                Action::Send { message, endpoint, expires } => {
                    let tracked = messages.get_mut(&message.0).unwrap();
                    let target = list[endpoint.0 as usize];
                    let destination = tracked.message.destination.0;
                    assert!(
                        !tracked.complete && tracked.in_flight.is_none() && tracked.attempts < 4,
                        "seed {seed}: {message:?}"
                    );
                    assert_eq!(target.destination, tracked.message.destination);
                    assert_eq!(*listing.get(&endpoint.0).unwrap_or(&Listing::Active), Listing::Active);
                    assert!(
                        expires.0 > host.now && expires.0 < tracked.accepted_at + tracked.message.budget.0
                    );
                    let wait_end = waits
                        .get(&(destination, if independent_routes(destination) { endpoint.0 } else { 0 }))
                        .copied()
                        .unwrap_or(0);
                    assert!(host.now >= wait_end, "seed {seed}: sent before the end of Retry-After");
                    match (tracked.message.class.repeat, tracked.executed) {
                        (Repeat::Unsafe, Some(_)) => panic!("seed {seed}: unsafe message retried"),
                        (Repeat::Keyed { group, window }, Some((executed_at, zone))) => {
                            assert!(host.now < executed_at + window.0);
                            assert!(group == Group::All || zone == target.zone.0);
                        }
                        _ => {}
                    }
                    if let Some(key) = tracked.message.key {
                        let (queue, settles_at) = &keys[&key.0];
                        assert_eq!(queue.first(), Some(&message.0), "seed {seed}: out of order");
                        assert!(
                            tracked.attempts > 0 || host.now >= *settles_at,
                            "seed {seed}: sent before the settle time"
                        );
                    }
                    tracked.in_flight = Some((expires.0, endpoint.0));
                    tracked.attempts += 1;
                }
                Action::Refuse { message: id, .. } | Action::Fail(id) => {
                    let tracked = messages.get_mut(&id.0).unwrap();
                    assert!(
                        !tracked.complete && tracked.in_flight.is_none(),
                        "seed {seed}: {id:?} completed twice or while in flight"
                    );
                    assert!(host.now <= tracked.accepted_at + tracked.message.budget.0 + 20_000);
                    let safe_to_resubmit = match tracked.message.class.repeat {
                        Repeat::Safe | Repeat::Keyed { group: Group::All, .. } => true,
                        _ => tracked.executed.is_none(),
                    };
                    assert!(
                        safe_to_resubmit || action == Action::Fail(id),
                        "seed {seed}: refused a message that may have executed"
                    );
                    tracked.complete = true;
                    if let Some(key) = tracked.message.key {
                        keys.get_mut(&key.0).unwrap().0.retain(|other| *other != id.0);
                    }
                }
                other => panic!("seed {seed}: {other:?}"),
            }
        }
        let calls: BTreeSet<_> =
            messages.iter().filter_map(|(id, tracked)| tracked.in_flight.map(|call| (call.1, *id))).collect();
        assert!(calls.len() <= settings.slots * settings.kinds[0].batch);
        host.now += 5_000 * (1 + random_below(2));
    }
    assert!(messages.len() > 100 && trace.len() > messages.len(), "seed {seed}: too few events");
    trace
}

#[test]
fn arbitrary_sequences_keep_the_rules() {
    for seed in 0..10 {
        run_random_events(seed);
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    assert_eq!(run_random_events(1), run_random_events(1));
}
