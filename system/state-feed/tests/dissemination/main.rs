//! Fleets in simulated time under troubles drawn by chance; what is checked is read from what was written down alone.

mod checks;
mod cluster;

use checks::{findings, load};
use cluster::{Chance, Kind, Shape, World};
use googletest::prelude::*;

/// Values and lists come now and then.
fn plan_news(world: &mut World, until: u64) {
    let mut at = 1_000;
    while at < until {
        at += world.chance.between(150, 2_500);
        match world.chance.one_in(2) {
            true => world.choose_after(at),
            false => world.list_after(at),
        }
    }
}

/// One trouble drawn by chance.
fn trouble(world: &mut World) {
    let (keepers, all) =
        (world.all(|kind| kind == Kind::Keeper), world.all(|kind| !matches!(kind, Kind::Proxy(_))));
    let of = |chance: &mut Chance, nodes: &[usize]| nodes[chance.below(nodes.len() as u64) as usize];
    let millis = world.chance.between(100, 5_000);
    // Half of all troubles are a keeper's or a head's: others have nobody below them.
    let node = match world.chance.one_in(2) {
        true => of(&mut world.chance, &all),
        false => {
            let keeper = of(&mut world.chance, &keepers);
            let fed = world.nodes[keeper].feed.subscriber_addresses();
            match fed.is_empty() || world.chance.one_in(2) {
                true => keeper,
                false => {
                    let head = fed[world.chance.below(fed.len() as u64) as usize];
                    let at = |node: &usize| world.nodes[*node].ip == head;
                    all.iter().copied().find(at).unwrap_or(keeper)
                }
            }
        }
    };
    match world.chance.below(8) {
        0 | 1 => world.freeze(node, millis.min(4_000)),
        2 => world.kill(node, false, Some(millis)),
        3 => world.kill(node, true, Some(millis.max(1_000))),
        4 => {
            let keeper = of(&mut world.chance, &keepers);
            world.mislead(keeper, millis);
        }
        5 => {
            // From all keepers: those below it have to find out.
            for keeper in keepers {
                world.cut(keeper, node, millis);
                if millis.is_multiple_of(2) {
                    world.cut(node, keeper, millis);
                }
            }
        }
        6 => {
            let other = of(&mut world.chance, &all);
            world.cut(node, other, millis);
            world.cut(other, node, millis);
        }
        _ => {
            let other = of(&mut world.chance, &all);
            world.cut(other, node, millis);
        }
    }
}

fn draw_shape(chance: &mut Chance) -> Shape {
    Shape {
        keepers: if chance.one_in(3) { 5 } else { 3 },
        agents: if chance.one_in(8) { 60 } else { chance.between(10, 24) as usize },
        zones: chance.between(4, 6) as usize,
        storages: chance.between(0, 7) as usize,
        proxies: chance.one_in(3),
        lag: if chance.one_in(4) { 40 } else { 12 },
    }
}

/// One short life of a fleet.
fn play(seed: u64) -> World {
    let mut chance = Chance::new(seed);
    let shape = draw_shape(&mut chance);
    let mut world = World::new(seed, shape);
    plan_news(&mut world, 14_000);
    world.run(3_000);
    for _ in 0..world.chance.between(1, 5) {
        trouble(&mut world);
        let pause = world.chance.between(0, 2_500);
        world.run(pause);
    }
    world.run(16_000 - world.elapsed());
    world
}

fn seeds() -> std::ops::Range<u64> {
    match std::env::var("FEED_SEEDS").ok().and_then(|seeds| {
        let (from, to) = seeds.split_once("..")?;
        Some(from.parse().ok()?..to.parse().ok()?)
    }) {
        Some(seeds) => seeds,
        None => 0..500,
    }
}

#[googletest::test]
fn whoever_is_in_touch_has_what_was_chosen_two_seconds_ago() {
    // Given many fleets, each with troubles of its own.
    let workers = 2;
    let bad: Vec<(u64, Vec<String>)> = std::thread::scope(|scope| {
        let workers: Vec<_> = (0..workers)
            .map(|worker| {
                scope.spawn(move || {
                    let mut bad = Vec::new();
                    for seed in seeds().filter(|seed| seed % workers == worker) {
                        // When one has lived for 16 s.
                        let world = play(seed);
                        // Then its history is in order.
                        let found = findings(&world.facts);
                        if !found.is_empty() {
                            bad.push((seed, found.into_iter().take(3).collect()));
                        }
                    }
                    bad
                })
            })
            .collect();
        workers.into_iter().flat_map(|worker| worker.join().expect("no panic")).collect()
    });
    let shown: Vec<_> = bad.iter().take(8).collect();
    expect_that!(bad.len(), eq(0), "{shown:#?}");
}

/// A large fleet that has formed its tree.
fn grown(seed: u64, agents: usize) -> World {
    let shape = Shape { keepers: 3, agents, zones: 5, storages: 6, proxies: false, lag: 40 };
    let mut world = World::new(seed, shape);
    plan_news(&mut world, 60_000);
    world.run(5_000);
    world
}

/// Two agents of each zone, and all storage machines.
const TREE_LINKS: usize = 2 * 5 + 6;

#[googletest::test]
fn a_fleet_at_its_start_forms_a_tree_and_keepers_feed_its_heads_alone() {
    for seed in 0..10 {
        // Given 100 agents that start within 0.3 s, before there is a value or after.
        let mut world = grown(seed, 100);
        // When those have returned who pressed a keeper.
        world.run(25_000);
        let (links, _) = load(&world.facts, world.now - 1_000);
        // Then no keeper feeds more than the heads and the storage machines.
        expect_that!(links, le(TREE_LINKS), "seed {seed}");
        let (_, calls) = load(&world.facts, 0);
        expect_that!(calls, le(300), "seed {seed}: calls within a second");
        expect_that!(findings(&world.facts), is_empty());
    }
}

#[googletest::test]
fn whoever_lost_a_head_returns_to_the_tree() {
    for seed in 0..10 {
        // Given a tree.
        let mut world = grown(seed, 60);
        world.run(10_000);
        let began = world.now;
        let calm = load(&world.facts, began - 1_000).0;
        // When all heads of a keeper die, told or untold, or freeze.
        let keeper = world.all(|kind| kind == Kind::Keeper)[0];
        for ip in world.nodes[keeper].feed.subscriber_addresses() {
            let head =
                world.all(|kind| kind == Kind::Agent).into_iter().find(|node| world.nodes[*node].ip == ip);
            let Some(head) = head else { continue };
            match seed % 3 {
                0 => world.kill(head, true, Some(30_000)),
                1 => world.kill(head, false, Some(1_000)),
                _ => world.freeze(head, 4_000),
            }
        }
        world.run(4_000);
        // Then the keepers are not stormed, and all are fed in time.
        let (links, calls) = load(&world.facts, began);
        expect_that!(calls, le(180), "seed {seed}: calls within a second");
        expect_that!(links, le(66), "seed {seed}: links");
        world.run(21_000);
        // And in the end the keepers feed heads alone.
        let links = load(&world.facts, world.now - 1_000).0;
        expect_that!(links, le(TREE_LINKS), "seed {seed}: {calm} links before");
        expect_that!(findings(&world.facts), is_empty(), "seed {seed}");
    }
}

#[googletest::test]
fn without_a_majority_keepers_are_asked_now_and_then_and_what_comes_after_is_known_in_time() {
    for seed in 0..6 {
        // Given a tree.
        let mut world = grown(seed, 60);
        world.run(8_000);
        // When no keeper has a majority behind it for a while.
        let began = world.now;
        for keeper in world.all(|kind| kind == Kind::Keeper) {
            world.mislead(keeper, 10_000);
        }
        world.run(10_000);
        // Then the agents do not press them without end.
        let (links, calls) = load(&world.facts, began);
        expect_that!(calls, le(300), "seed {seed}: calls within a second");
        expect_that!(links, le(100), "seed {seed}: links");
        world.run(25_000);
        // And the tree is there again.
        expect_that!(load(&world.facts, world.now - 1_000).0, le(TREE_LINKS), "seed {seed}");
        expect_that!(findings(&world.facts), is_empty(), "seed {seed}");
    }
}

#[googletest::test]
fn a_calm_fleet_costs_few_pushes() {
    // Given a tree of 60 agents and their proxies without news.
    let shape = Shape { keepers: 3, agents: 60, zones: 5, storages: 6, proxies: true, lag: 12 };
    let mut world = World::new(1, shape);
    world.run(20_000);
    let (before, calls) = (world.pushes, load(&world.facts, world.now - 5_000).1);
    // When 10 s pass.
    world.run(10_000);
    // Then each of its 126 links, 138 with those of storage machines that changed keepers, had 2.5 beats a second.
    expect_that!(world.pushes - before, le(138 * 10 * 5 / 2));
    expect_that!(world.pushes - before, ge(120 * 10 * 2));
    expect_that!(calls, eq(0));
}
