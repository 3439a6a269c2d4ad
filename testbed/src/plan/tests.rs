use super::*;

fn scenario(more: &str) -> Scenario {
    Scenario::parse(&format!("name = \"t\"\nseconds = 400.0\n{more}")).unwrap()
}

/// Guards comparisons: variants of one seed must be handed the same messages.
#[test]
fn one_seed_gives_one_plan_and_another_seed_another() {
    let s = scenario("[[trouble]]\nkind = \"down\"\nat_s = 1.0\nfor_s = 2.0\npart = 0.2");
    assert_eq!(Plan::draw(&s, 7), Plan::draw(&s, 7));
    assert_ne!(Plan::draw(&s, 7).arrivals, Plan::draw(&s, 8).arrivals);
    assert_eq!(Plan::draw(&s, 7).scheduled_faults[0].1, [0, 1, 2], "a fifth of sixteen partners");
}

/// The operators' figures: 50 a second, 42, 35 and 23% of the classes, in the mean 180 to 320 and 110 to 190 ms.
#[test]
fn traffic_has_the_figures_of_the_scenario() {
    let s = scenario("");
    let plan = Plan::draw(&s, 3);
    let all = plan.arrivals.len() as f64;
    assert!((all / s.seconds - 50.0).abs() < 3.0, "{all} in {} s", s.seconds);
    for (class, row) in s.classes.iter().enumerate() {
        let own: Vec<_> = plan.arrivals.iter().filter(|a| a.class == class).collect();
        let mean = own.iter().map(|a| a.work as f64 / 1000.0).sum::<f64>() / own.len() as f64;
        assert!((own.len() as f64 / all - row.share).abs() < 0.02, "{} of {all}", own.len());
        assert!((mean / row.work_ms - 1.0).abs() < 0.1, "{mean} ms");
    }
    assert!(plan.arrivals.is_sorted_by_key(|a| a.at));
    let hub = plan.arrivals.iter().filter(|a| a.partner == 0).count() as f64;
    assert!((hub / all / plan.partners[0].part - 1.0).abs() < 0.3, "{hub} of {all}");
}

#[test]
fn limits_lie_in_their_headroom_and_capacity_above_them() {
    let s = scenario("");
    let full = s.traffic.rate / s.traffic.load;
    for p in &Plan::draw(&s, 5).partners {
        let k = &s.partners[p.kind];
        let (lowest, highest) = (k.headroom[0] * full * p.part, k.headroom[1] * full * p.part);
        assert!(p.limit >= lowest && p.limit <= highest.max(k.min_rate[1]), "{p:?}");
        assert!(p.capacity >= p.limit * k.capacity_over_limit[0] && p.at_once >= 1, "{p:?}");
    }
}

#[test]
fn clumps_are_their_share_of_the_messages() {
    let clumpy = scenario("[traffic]\nclumps = 1.0\nclump_s = 1.0");
    let plan = Plan::draw(&clumpy, 2);
    let rate = plan.arrivals.len() as f64 / clumpy.seconds;
    assert!((rate / 50.0 - 1.0).abs() < 0.2, "{rate} a second");
    let close = plan.arrivals.windows(2).filter(|w| w[0].partner == w[1].partner).count();
    assert!(close * 3 > plan.arrivals.len(), "{close} neighbours of {}", plan.arrivals.len());
}

#[test]
fn an_impossible_figure_is_named_with_its_place() {
    let wrong =
        Scenario::parse("name = \"t\"\nseconds = -1.0\n[traffic]\nrate = 0.0").unwrap_err().to_string();
    assert!(wrong.contains("seconds = -1") && wrong.contains("traffic.rate = 0"), "{wrong}");
    let unknown = Scenario::parse("name = \"t\"\nseconds = 1.0\nsecond = 2").unwrap_err().to_string();
    assert!(unknown.contains("second"), "{unknown}");
}
