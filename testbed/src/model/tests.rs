use super::*;
use crate::scenario::Scenario;

const SECOND: Micros = 1_000_000;

fn partner(change: impl Fn(&mut PartnerPlan, &mut Kind)) -> Partner {
    let s = Scenario::parse("name = \"t\"\nseconds = 1.0").unwrap();
    let mut kind = Kind { errors: 0.0, ..s.partners[1].clone() };
    let mut plan = PartnerPlan {
        kind: 1,
        part: 0.1,
        limit: 10.0,
        window: SECOND,
        endpoints: 1,
        at_once: 4,
        queue: 3,
        connections: 8,
        capacity: 16.0,
        speed: 1.0,
        retry_after_share: 1.0,
    };
    change(&mut plan, &mut kind);
    Partner::new(&plan, &kind, &s.rules, 1)
}

/// Calls at a steady rate for this many seconds: how many were served and how many refused.
fn calls(p: &mut Partner, from: Micros, rate: u64, seconds: u64) -> (usize, usize) {
    let fates: Vec<_> =
        (0..rate * seconds).map(|i| p.arrive(from + i * SECOND / rate, 0, 0, 50_000).0).collect();
    let refused = fates.iter().filter(|f| matches!(f, Fate::Refused(_))).count();
    (fates.len() - refused, refused)
}

#[test]
fn a_span_takes_its_count_and_tells_its_end() {
    let mut p = partner(|_, _| {});
    assert_eq!(calls(&mut p, 0, 20, 3), (30, 30));
    let (fate, _) = p.arrive(2_990_000, 0, 0, 50_000);
    assert_eq!(fate, Fate::Refused(Some(10_000)));
    assert!(
        matches!(p.arrive(3 * SECOND, 0, 0, 50_000).0, Fate::Answered { .. }),
        "at the end there is room"
    );
}

#[test]
fn a_plain_rate_takes_that_rate_and_refused_calls_may_use_it_up() {
    let plain = |counts| partner(move |p, k| (p.window, k.refused_count) = (0, counts));
    let (served, _) = calls(&mut plain(false), 0, 40, 10);
    assert!((98..=104).contains(&served), "{served}");
    let (served, _) = calls(&mut plain(true), 0, 40, 10);
    assert!(served < 30, "{served}: those refused count");
}

#[test]
fn a_lowered_limit_holds_while_it_lasts() {
    let mut p = partner(|_, _| {});
    p.limit.factor = 0.5;
    assert_eq!(calls(&mut p, 0, 20, 2).0, 10);
    p.limit.factor = 1.0;
    assert_eq!(calls(&mut p, 2 * SECOND, 20, 2).0, 20);
}

#[test]
fn a_full_queue_refuses_and_those_before_wait_their_turn() {
    let mut p = partner(|p, _| p.limit = 1000.0);
    let ends: Vec<_> = (0..8).map(|_| p.arrive(0, 0, 0, SECOND).0).collect();
    assert_eq!(ends[3], Fate::Answered { at: SECOND, ok: true });
    assert_eq!(ends[6], Fate::Answered { at: 2 * SECOND, ok: true }, "behind the four that are served");
    assert_eq!(ends[7], Fate::Refused(None));
}

#[test]
fn a_table_of_connections_is_full_at_its_figure() {
    let mut p = partner(|_, _| {});
    assert!((0..8).all(|_| p.connected(0)));
    assert!(!p.connected(0));
    p.disconnected(0);
    p.disconnected(0);
    assert!(p.connected(0));
}

/// Cold, it can do 17% and is warm after 14 s.
#[test]
fn a_returning_partner_has_reduced_capacity_and_falls_over_under_overload() {
    let mut p = partner(|p, _| p.limit = 1000.0);
    p.set(SECOND, Condition::Down);
    p.witnessed(3);
    p.set(5 * SECOND, Condition::Up);
    let Fate::Answered { at, .. } = p.arrive(5 * SECOND, 0, 3, 100_000).0 else { panic!("not served") };
    assert!((at - 5 * SECOND).abs_diff(588_235) < 1000, "{at}: the time over 17%");
    let falls: Vec<_> = (0..60).filter_map(|i| p.arrive(5 * SECOND + i * 10_000, 0, 3, 1000).1).collect();
    assert_eq!(falls, [Fall { by_witnesses: 1.0 }]);
    p.set(60 * SECOND, Condition::Up);
    assert!(p.fallen() && p.condition(0) == Condition::Down, "it stays down");
}

#[test]
fn one_that_is_sent_what_it_can_do_does_not_fall() {
    let mut p = partner(|p, _| p.limit = 1000.0);
    p.set(0, Condition::Hung);
    p.set(SECOND, Condition::Up);
    // 16 a second warm, 2.7 cold: 5 a second are under 2.5 times that.
    let falls = (0..70).filter(|i| p.arrive(SECOND + i * 200_000, 0, 1, 1000).1.is_some()).count();
    assert_eq!(falls, 0);
}

#[test]
fn each_fault_has_its_outcome() {
    let mut p = partner(|p, _| p.limit = 1000.0);
    p.slow = 10.0;
    assert_eq!(p.arrive(0, 0, 0, 100_000).0, Fate::Answered { at: SECOND, ok: true });
    (p.slow, p.lost) = (1.0, 1.0);
    assert_eq!(p.arrive(0, 0, 0, 100_000).0, Fate::Silent { runs: true });
    (p.lost, p.resets) = (0.0, 1.0);
    assert_eq!(p.arrive(0, 0, 0, 100_000).0, Fate::Broken { at: 50_000 });
    p.set(0, Condition::Hung);
    assert_eq!(p.arrive(0, 0, 0, 1).0, Fate::Silent { runs: false });
    p.set(0, Condition::Shut(SECOND));
    assert_eq!(p.arrive(400_000, 0, 0, 1).0, Fate::Refused(Some(600_000)));
    p.set(0, Condition::Errors);
    assert!(matches!(p.arrive(0, 0, 0, 1).0, Fate::Answered { ok: false, .. }));
}
