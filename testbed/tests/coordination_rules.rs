//! Each rule of locks, numbers and keys: a sound history breaks none, and one that breaks a rule is caught for that rule alone.

use testbed::coordination::checker::{Rule, broken_rules};
use testbed::coordination::history::{Answer, Bounds, Call, Event, FinalTargets, History, Phase, Request};

/// Microseconds in a millisecond.
const MS: u64 = 1_000;
/// How long a hold lasts.
const HOLD_MS: u64 = 1_000;

fn call(caller: u32, (sent_ms, ended_ms): (u64, u64), request: Request, answer: Answer) -> Call {
    let phase = Phase::Work;
    Call { caller, node: 0, sent_us: sent_ms * MS, ended_us: ended_ms * MS, phase, request, answer }
}

fn final_call(caller: u32, times_ms: (u64, u64), request: Request, answer: Answer) -> Call {
    Call { phase: Phase::Final, ..call(caller, times_ms, request, answer) }
}

fn acquire(holder: &str) -> Request {
    Request::Acquire { lock: "l1".into(), holder: holder.into(), hold_ms: HOLD_MS }
}

fn renew(holder: &str, fence: u64) -> Request {
    Request::Renew { lock: "l1".into(), holder: holder.into(), fence, hold_ms: HOLD_MS }
}

fn release(holder: &str, fence: u64) -> Request {
    Request::Release { lock: "l1".into(), holder: holder.into(), fence }
}

fn number() -> Request {
    Request::Number { name: "n1".into() }
}

fn put(key: &str, value: &str, expected: Option<u64>) -> Request {
    Request::Put { key: key.into(), value: value.into(), expected }
}

fn get(key: &str) -> Request {
    Request::Get { key: key.into() }
}

fn watch(after: u64) -> Request {
    Request::Watch { group: "g1.".into(), after, wait_ms: 500 }
}

fn found(value: &str, revision: u64) -> Answer {
    Answer::Found { value: value.into(), revision }
}

fn event(name: &str, value: &str, revision: u64) -> Event {
    Event { name: name.into(), value: value.into(), revision }
}

fn events(events: Vec<Event>, revision: u64) -> Answer {
    Answer::Events { events, revision }
}

/// A history in which all is well.
fn sound_history() -> History {
    let calls = vec![
        // Two holders in turn, the second after a release, a third after the second's time.
        call(1, (0, 10), acquire("a"), Answer::Granted { fence: 5 }),
        call(1, (400, 410), renew("a", 5), Answer::Renewed),
        call(2, (450, 460), acquire("b"), Answer::NotHeld),
        call(1, (500, 520), release("a", 5), Answer::Released),
        call(2, (505, 515), acquire("b"), Answer::Granted { fence: 6 }),
        call(3, (1_600, 1_610), acquire("c"), Answer::Granted { fence: 8 }),
        // Numbers of calls side by side may come in any order.
        call(4, (0, 30), number(), Answer::Number { value: 3 }),
        call(5, (0, 20), number(), Answer::Number { value: 4 }),
        call(4, (40, 50), number(), Answer::Number { value: 9 }),
        // Puts: one sent again after no answer, one refused by its condition, one without any answer.
        call(4, (60, 70), put("g1.a", "v1", Some(0)), Answer::Stored { revision: 1 }),
        call(4, (80, 1_080), put("g1.b", "v2", None), Answer::Unanswered),
        call(4, (1_110, 1_120), put("g1.b", "v2", None), Answer::Stored { revision: 2 }),
        call(5, (1_130, 1_140), put("g1.a", "v3", Some(1)), Answer::Stored { revision: 3 }),
        call(4, (1_150, 1_160), put("g1.a", "v4", Some(1)), Answer::Mismatch { revision: 3 }),
        call(5, (1_150, 1_160), put("g1.c", "v5", None), Answer::Refused { status: 503 }),
        call(5, (1_170, 2_170), put("g1.c", "v6", None), Answer::Unanswered),
        // Reads.
        call(4, (1_200, 1_210), get("g1.a"), found("v3", 3)),
        call(4, (1_220, 1_230), get("g1.d"), Answer::Absent),
        // A watcher that resumes.
        call(6, (20, 30), watch(0), events(vec![], 0)),
        call(6, (90, 100), watch(0), events(vec![], 1)),
        call(6, (110, 600), watch(1), events(vec![event("g1.b", "v2", 2)], 2)),
        call(6, (610, 1_150), watch(2), events(vec![event("g1.a", "v3", 3)], 3)),
        call(6, (1_160, 1_660), watch(3), events(vec![], 3)),
        // The end.
        final_call(7, (30_000, 30_010), acquire("end"), Answer::Granted { fence: 9 }),
        final_call(7, (30_020, 30_030), number(), Answer::Number { value: 10 }),
        final_call(7, (30_040, 30_050), get("g1.a"), found("v3", 3)),
        final_call(6, (30_060, 30_070), watch(1), Answer::Gone),
        final_call(6, (30_080, 30_090), watch(0), events(vec![], 3)),
    ];
    let targets = FinalTargets {
        locks: vec!["l1".into()],
        numbers: vec!["n1".into()],
        keys: vec!["g1.a".into()],
        groups: vec!["g1.".into()],
    };
    History { bounds: Bounds { history_ms: 20_000 }, calls, targets }
}

/// The rules that are broken once the sound history is changed so.
fn broken(change: impl FnOnce(&mut Vec<Call>)) -> Vec<Rule> {
    let mut history = sound_history();
    change(&mut history.calls);
    broken_rules(&history)
}

/// The rules that are broken once this call is added.
fn broken_with(added: Call) -> Vec<Rule> {
    broken(|calls| calls.push(added))
}

/// The rules that are broken once the call that ended then has another answer.
fn broken_by_answer(ended_ms: u64, caller: u32, answer: Answer) -> Vec<Rule> {
    broken(|calls| {
        let changed = calls.iter_mut().find(|call| call.ended_us == ended_ms * MS && call.caller == caller);
        changed.expect("a call that ended then").answer = answer;
    })
}

#[test]
fn a_sound_history_breaks_no_rule() {
    assert_eq!(broken(|_| {}), []);
}

#[test]
fn two_holders_at_one_moment_break_one() {
    let early = call(2, (420, 430), acquire("z"), Answer::Granted { fence: 6 });
    let without_second = |calls: &mut Vec<Call>| calls.retain(|call| call.caller != 2);
    let overlap = broken(|calls| {
        without_second(calls);
        calls.push(early);
    });
    assert_eq!(overlap, [Rule::One]);
}

#[test]
fn a_holder_whose_renewal_came_late_does_not_count_itself_holder() {
    let late = broken(|calls| {
        // The time of `b` ends at 1,505 ms.
        calls.push(call(2, (1_490, 1_520), renew("b", 6), Answer::Renewed));
    });
    assert_eq!(late, []);
    let in_time = broken(|calls| {
        calls.push(call(2, (1_490, 1_500), renew("b", 6), Answer::Renewed));
    });
    assert_eq!(in_time, [Rule::One]);
}

#[test]
fn a_hold_counts_from_the_sending_of_the_call_that_extended_it() {
    let granted_before_its_time = call(4, (1_495, 1_500), acquire("d"), Answer::Granted { fence: 7 });
    let granted_after_its_time = call(4, (1_495, 1_506), acquire("d"), Answer::Granted { fence: 7 });
    let replaced = |added: Call| {
        broken(|calls| {
            calls.retain(|call| call.caller != 3);
            calls.push(added);
        })
    };
    assert_eq!(replaced(granted_before_its_time), [Rule::One]);
    assert_eq!(replaced(granted_after_its_time), []);
}

#[test]
fn a_fencing_token_that_does_not_rise_breaks_one() {
    assert_eq!(broken_by_answer(1_610, 3, Answer::Granted { fence: 4 }), [Rule::One]);
}

#[test]
fn a_fencing_token_of_two_holders_breaks_one() {
    // Sent before the other's grant had arrived: only that it is the same token tells.
    assert_eq!(broken_by_answer(515, 2, Answer::Granted { fence: 5 }), [Rule::One]);
    let side_by_side = broken(|calls| {
        calls.retain(|call| call.caller != 2);
        calls.push(call(2, (1_605, 3_000), acquire("d"), Answer::Granted { fence: 8 }));
    });
    assert_eq!(side_by_side, [Rule::One]);
}

#[test]
fn a_holder_that_asks_again_may_get_the_same_token() {
    assert_eq!(broken_with(call(1, (450, 455), acquire("a"), Answer::Granted { fence: 5 })), []);
}

#[test]
fn a_number_given_twice_or_below_an_earlier_one_breaks_order() {
    assert_eq!(broken_by_answer(20, 5, Answer::Number { value: 3 }), [Rule::Order]);
    assert_eq!(broken_by_answer(50, 4, Answer::Number { value: 2 }), [Rule::Order]);
}

#[test]
fn a_revision_given_twice_or_below_an_earlier_one_breaks_order() {
    let twice = call(5, (1_125, 1_145), put("g1.e", "v7", None), Answer::Stored { revision: 3 });
    assert_eq!(broken_with(twice), [Rule::Order]);
    let below = broken(|calls| {
        calls.retain(|call| call.caller != 6);
        calls.push(call(5, (2_000, 2_010), put("g1.e", "v7", None), Answer::Stored { revision: 2 }));
        calls.retain(|call| !matches!(&call.request, Request::Put { value, .. } if value == "v2"));
        calls.push(final_call(6, (30_080, 30_090), watch(0), events(vec![], 3)));
    });
    assert_eq!(below, [Rule::Order]);
}

#[test]
fn a_conditional_put_over_a_later_revision_breaks_order() {
    let over = call(5, (2_000, 2_010), put("g1.a", "v8", Some(1)), Answer::Stored { revision: 4 });
    let with_later_end = broken(|calls| {
        calls.push(over);
        for call in calls.iter_mut().filter(|call| call.phase == Phase::Final) {
            match &mut call.answer {
                Answer::Found { value, revision } => (*value, *revision) = ("v8".into(), 4),
                Answer::Events { revision, .. } => *revision = 4,
                _ => {}
            }
        }
    });
    assert_eq!(with_later_end, [Rule::Order]);
}

#[test]
fn events_that_do_not_rise_or_skip_a_put_break_order() {
    let both = || vec![event("g1.b", "v2", 2), event("g1.a", "v3", 3)];
    let resumed = |events| broken_with(call(6, (1_700, 1_710), watch(1), events));
    assert_eq!(resumed(events(both(), 3)), []);
    assert_eq!(resumed(events(both().into_iter().rev().collect(), 3)), [Rule::Order]);
    assert_eq!(resumed(events(both()[1..].to_vec(), 3)), [Rule::Order]);
    assert_eq!(resumed(events(both()[..1].to_vec(), 3)), [Rule::Order]);
    assert_eq!(resumed(events(both(), 2)), [Rule::Order]);
    assert_eq!(resumed(events(both()[..1].to_vec(), 2)), []);
}

#[test]
fn a_read_below_an_acknowledged_put_breaks_stale() {
    assert_eq!(broken_by_answer(1_210, 4, found("v1", 1)), [Rule::Stale]);
    assert_eq!(broken_by_answer(1_210, 4, Answer::Absent), [Rule::Stale]);
    // Sent before the acknowledgement had arrived.
    assert_eq!(broken_with(call(4, (1_135, 1_210), get("g1.a"), found("v1", 1))), []);
}

#[test]
fn a_value_that_nobody_put_to_the_key_breaks_mixed() {
    assert_eq!(broken_by_answer(1_230, 4, found("v9", 9)), [Rule::Mixed]);
    let of_another_key = call(4, (1_220, 1_230), get("g1.e"), found("v6", 4));
    assert_eq!(broken_with(of_another_key), [Rule::Mixed]);
    let before_its_put = call(4, (20, 30), get("g1.c"), found("v6", 4));
    assert_eq!(broken_with(before_its_put), [Rule::Mixed]);
}

#[test]
fn a_value_under_two_revisions_breaks_mixed() {
    let again = call(4, (1_240, 1_250), put("g1.a", "v3", Some(1)), Answer::Stored { revision: 4 });
    let twice = broken(|calls| {
        calls.push(again);
        calls.retain(|call| call.phase != Phase::Final);
        calls.push(final_call(7, (30_000, 30_010), acquire("end"), Answer::NotHeld));
        calls.push(final_call(7, (30_020, 30_030), number(), Answer::Number { value: 10 }));
        calls.push(final_call(7, (30_040, 30_050), get("g1.a"), found("v3", 4)));
        calls.push(final_call(6, (30_080, 30_090), watch(0), events(vec![], 4)));
    });
    assert!(twice.contains(&Rule::Mixed), "{twice:?}");
    let read_under_another = call(4, (1_240, 1_250), get("g1.b"), found("v2", 7));
    assert_eq!(broken_with(read_under_another), [Rule::Mixed]);
}

#[test]
fn a_412_that_names_no_revision_of_the_key_breaks_mixed() {
    assert_eq!(broken_by_answer(1_160, 4, Answer::Mismatch { revision: 2 }), [Rule::Mixed]);
    assert_eq!(broken_by_answer(1_160, 4, Answer::Mismatch { revision: 7 }), [Rule::Mixed]);
    // The put without an answer may have been given this one.
    let unclear = call(4, (2_000, 2_010), put("g1.c", "v10", Some(9)), Answer::Mismatch { revision: 4 });
    assert_eq!(broken_with(unclear), []);
    let none = call(4, (2_000, 2_010), put("g1.d", "v11", Some(9)), Answer::Mismatch { revision: 0 });
    assert_eq!(broken_with(none), []);
}

#[test]
fn a_value_whose_put_was_rejected_breaks_refused() {
    let read = |key, value, revision| call(4, (2_300, 2_310), get(key), found(value, revision));
    assert_eq!(broken_with(read("g1.a", "v4", 5)), [Rule::Refused]);
    assert_eq!(broken_with(read("g1.c", "v5", 5)), [Rule::Refused]);
    // Without an answer it may have taken effect.
    assert_eq!(broken_with(read("g1.c", "v6", 5)), []);
    let watched = events(vec![event("g1.c", "v5", 4)], 4);
    assert_eq!(broken_with(call(6, (1_700, 1_710), watch(3), watched)), [Rule::Refused]);
}

#[test]
fn a_410_for_a_revision_given_lately_breaks_lost() {
    assert_eq!(broken_with(call(6, (15_000, 15_010), watch(3), Answer::Gone)), [Rule::Lost]);
    assert_eq!(broken_with(call(6, (25_000, 25_010), watch(3), Answer::Gone)), []);
}

#[test]
fn a_final_call_without_an_answer_breaks_lost() {
    for ended_ms in [30_010, 30_030, 30_050] {
        for answer in
            [Answer::Unanswered, Answer::Unexpected { status: 404 }, Answer::Refused { status: 503 }]
        {
            assert_eq!(broken_by_answer(ended_ms, 7, answer), [Rule::Lost], "{ended_ms}");
        }
    }
    let no_watch = broken(|calls| calls.retain(|call| !(call.caller == 6 && call.phase == Phase::Final)));
    assert_eq!(no_watch, [Rule::Lost]);
    // A lock may still be another's.
    assert_eq!(broken_by_answer(30_010, 7, Answer::NotHeld), []);
}

#[test]
fn a_final_answer_that_lags_behind_breaks_lost() {
    assert_eq!(broken_by_answer(30_010, 7, Answer::Granted { fence: 7 }), [Rule::One, Rule::Lost]);
    assert_eq!(broken_by_answer(30_030, 7, Answer::Number { value: 9 }), [Rule::Order, Rule::Lost]);
    assert_eq!(broken_by_answer(30_050, 7, found("v1", 1)), [Rule::Stale, Rule::Lost]);
    assert_eq!(broken_by_answer(30_090, 6, events(vec![], 2)), [Rule::Lost]);
}
