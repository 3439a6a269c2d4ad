//! The hollow fleet, at small sizes.

use fleet_model::{Call, Frame};
use micadrum_lab::hollow::{HollowError, HollowFigures, Plan, Role, memory_left, play, table};
use operator_config::OperatorConfig;

fn played(senders: usize) -> HollowFigures {
    play(&Plan::of(senders)).expect("a small fleet fits")
}

#[test]
fn what_it_hands_out_is_a_configuration_that_the_proxies_can_read() {
    let config = OperatorConfig::read(&Plan::of(30).config(7)).expect("without findings");
    assert_eq!((config.version, config.routes.len(), config.services.len()), (7, 24, 4));
}

#[test]
fn every_proxy_knows_value_and_list_at_rest_and_after_each_trouble() {
    // Given a fleet of 30 senders, when all troubles have passed over it
    let figures = played(30);
    // then nobody is left without knowledge, but while the regions are cut from each other,
    for stage in figures.stages.iter().filter(|stage| stage.stage != "cut") {
        assert_eq!(stage.stale_proxies, 0, "after {}", stage.stage);
    }
    // and a zone's proxies are gone with their zone.
    assert_eq!(figures.stage("rest").unwrap().role(Role::Proxy).unwrap().processes, 30);
    assert_eq!(figures.stage("zone").unwrap().role(Role::Proxy).unwrap().processes, 25);
}

#[test]
fn a_change_is_chosen_once_and_in_force_everywhere_within_the_bound() {
    let figures = played(30);
    let change = figures.stage("change").unwrap();
    assert_eq!(change.values, 1);
    let settled = change.settled_ms.expect("it came to the proxies");
    assert!(settled < 16_000.0, "{settled} ms");
    // Who is further from a keeper hears of it no sooner than the operator's two rounds over the regions take.
    assert!(settled > 24.0, "{settled} ms");
}

#[test]
fn six_voters_in_two_regions_confirm_nothing_while_these_are_cut_from_each_other() {
    let figures = played(30);
    assert_eq!(figures.stage("cut").unwrap().stale_proxies, 30);
    assert_eq!(figures.stage("cut").unwrap().values, 0);
    // A seventh voter gives one side a majority: half of the proxies stay fresh.
    let odd = play(&Plan { keepers: 7, ..Plan::of(30) }).unwrap();
    assert_eq!(odd.stage("cut").unwrap().stale_proxies, 15);
}

#[test]
fn an_agents_mean_load_at_rest_does_not_grow_with_the_fleet() {
    // Given fleets of 30 and of 100 senders with the same list,
    let plan = |senders| Plan { endpoints: 100, stores: 9, ..Plan::of(senders) };
    let (small, large) = (play(&plan(30)).unwrap(), play(&plan(100)).unwrap());
    let rest = |figures: &HollowFigures| figures.stage("rest").unwrap().role(Role::Agent).unwrap().clone();
    let (small, large) = (rest(&small), rest(&large));
    // then frames and bytes of an agent grow by less than a third: every agent is fed by one process and feeds its proxy,
    // and only what heads feed beside comes on top.
    assert!(
        large.frames_per_s < small.frames_per_s * 4.0 / 3.0,
        "{} {}",
        small.frames_per_s,
        large.frames_per_s
    );
    assert!(large.bytes_per_s < small.bytes_per_s * 4.0 / 3.0, "{} {}", small.bytes_per_s, large.bytes_per_s);
}

#[test]
fn two_plays_of_a_seed_tell_the_same_but_for_processor_time() {
    let counts = |figures: &HollowFigures| -> Vec<(String, Vec<(f64, f64)>)> {
        let stages = figures.stages.iter();
        stages
            .map(|stage| {
                let roles = stage.roles.iter().map(|role| (role.frames_per_s, role.bytes_per_s)).collect();
                (format!("{} {:?}", stage.stage, stage.settled_ms), roles)
            })
            .collect()
    };
    assert_eq!(counts(&played(12)), counts(&played(12)));
}

#[test]
fn bytes_are_those_of_the_codec() {
    // Given a fleet at rest, a proxy hears nothing but its keeper's beats, one in 400 ms, by its agent and over loopback.
    let figures = played(12);
    let proxy = figures.stage("rest").unwrap().role(Role::Proxy).unwrap().clone();
    assert_eq!(proxy.bytes_per_s, 0.0);
    assert!((proxy.frames_per_s - 2.5).abs() < 0.1, "{}", proxy.frames_per_s);
    // And a keeper asks five others four times a second and is asked as often; each frame is the codec's.
    let poll = Call::Register(fleet_model::RegisterRequest::Poll { chosen: fleet_model::Ballot::default() });
    let least = peer_wire::encode(&Frame::Call(1, poll)).unwrap().len() as f64;
    let keeper = figures.stage("rest").unwrap().role(Role::Keeper).unwrap();
    assert!(keeper.bytes_per_s > 4.0 * 5.0 * 2.0 * least * 0.8, "{}", keeper.bytes_per_s);
}

#[test]
fn a_fleet_that_does_not_fit_is_not_begun() {
    let Some(left) = memory_left() else { return };
    let senders = usize::try_from(left / 100_000).unwrap();
    let refused = play(&Plan { endpoints: 2_000, ..Plan::of(senders) });
    assert!(matches!(refused, Err(HollowError::Memory { .. })));
    assert!(matches!(play(&Plan { senders: 0, ..Plan::of(30) }), Err(HollowError::Empty)));
}

#[test]
fn the_table_has_a_line_for_each_role_of_each_stage() {
    let figures = played(12);
    let text = table(std::slice::from_ref(&figures));
    let lines = text.lines().filter(|line| line.contains("proxy-agent")).count();
    assert_eq!(lines, figures.stages.len());
}
