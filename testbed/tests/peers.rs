//! The fleet in simulated time, and the checker: V1 to V4 of `docs/fleet.md`.
use testbed::peers::campaign::{Break, one};
use testbed::scenario::Scenario;

fn scenario(text: &str) -> Scenario {
    Scenario::parse(text).unwrap()
}

fn view() -> Scenario {
    scenario(include_str!("../scenarios/fleet-view.toml"))
}

/// Numbers of the promises that some of these seeds break.
fn broken(scenario: &Scenario, seeds: std::ops::Range<u64>, how: Option<Break>) -> Vec<String> {
    let verdicts = seeds.filter_map(|seed| one(scenario, seed, how)).map(|(_, seed)| seed.verdict);
    verdicts.flat_map(|verdict| verdict.broken).map(|broken| broken.promise).collect()
}

#[test]
fn a_seed_has_one_history() {
    let scenario = scenario(include_str!("../scenarios/fleet-chaos.toml"));
    let history = |seed| serde_json::to_string(&one(&scenario, seed, None).unwrap().0).unwrap();
    assert_eq!(history(7), history(7));
    assert_ne!(history(7), history(8));
}

#[test]
fn the_scenario_of_the_view_keeps_v1_to_v4() {
    assert_eq!(broken(&view(), 0..30, None), Vec::<String>::new());
}

/// Each checker is seen to catch a build that is broken on purpose.
#[test]
fn each_checker_catches_what_it_is_for() {
    for (how, promise) in
        [(Break::NoSuspicion, "V2"), (Break::RemovalBySilence, "V3"), (Break::IncarnationLost, "V4")]
    {
        let broken = broken(&view(), 0..30, Some(how));
        assert!(broken.iter().any(|b| b == promise), "{how:?}: {broken:?}");
    }
}

/// V6: all killed at once, and a process on a copied folder, of which one stops.
#[test]
fn a_fleet_recovers_completely_and_a_copy_stops() {
    let all = scenario(
        r#"name = "all at once"
        seconds = 30.0
        [fleet]
        senders = 12
        [peers]
        [[peers.fault]]
        kind = "kill"
        at_s = 10.0
        for_s = 3.0
        senders = "all"
        [[peers.fault]]
        kind = "copy"
        at_s = 20.0
        senders = "4""#,
    );
    assert_eq!(broken(&all, 0..20, None), Vec::<String>::new());
    let (history, _) = one(&all, 1, None).unwrap();
    let copied = serde_json::to_string(&history).unwrap().matches(r#""copied":true"#).count();
    assert_eq!(copied, 1, "one of the two stops");
}
