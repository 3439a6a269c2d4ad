//! Dissemination through clusters in simulated time under random faults; the checks use only the recorded history.

mod checks;
mod cluster;

use checks::{load, violations};
use cluster::{Cluster, ClusterSize, Kind, Random};
use googletest::prelude::*;

/// Schedules new values and lists at random times.
fn schedule_updates(cluster: &mut Cluster, until: u64) {
    let mut at = 1_000;
    while at < until {
        at += cluster.random.between(150, 2_500);
        match cluster.random.one_in(2) {
            true => cluster.commit_value_after(at),
            false => cluster.poll_list_after(at),
        }
    }
}

/// Injects one random fault.
fn inject_fault(cluster: &mut Cluster) {
    let (control_nodes, all) = (
        cluster.nodes_of_kind(|kind| kind == Kind::ControlNode),
        cluster.nodes_of_kind(|kind| !matches!(kind, Kind::Proxy(_))),
    );
    let pick = |random: &mut Random, nodes: &[usize]| nodes[random.below(nodes.len() as u64) as usize];
    let millis = cluster.random.between(100, 5_000);
    // Half of all faults hit a control node or one of its relays: other nodes have no subscribers.
    let node = match cluster.random.one_in(2) {
        true => pick(&mut cluster.random, &all),
        false => {
            let control_node = pick(&mut cluster.random, &control_nodes);
            let subscribers = cluster.nodes[control_node].feed.subscriber_addresses();
            match subscribers.is_empty() || cluster.random.one_in(2) {
                true => control_node,
                false => {
                    let relay = subscribers[cluster.random.below(subscribers.len() as u64) as usize];
                    let at = |node: &usize| cluster.nodes[*node].ip == relay;
                    all.iter().copied().find(at).unwrap_or(control_node)
                }
            }
        }
    };
    match cluster.random.below(8) {
        0 | 1 => cluster.freeze(node, millis.min(4_000)),
        2 => cluster.kill(node, false, Some(millis)),
        3 => cluster.kill(node, true, Some(millis.max(1_000))),
        4 => {
            let control_node = pick(&mut cluster.random, &control_nodes);
            cluster.isolate_from_majority(control_node, millis);
        }
        5 => {
            // Partitioned from all control nodes: its subscribers have to detect it.
            for control_node in control_nodes {
                cluster.partition(control_node, node, millis);
                if millis.is_multiple_of(2) {
                    cluster.partition(node, control_node, millis);
                }
            }
        }
        6 => {
            let other = pick(&mut cluster.random, &all);
            cluster.partition(node, other, millis);
            cluster.partition(other, node, millis);
        }
        _ => {
            let other = pick(&mut cluster.random, &all);
            cluster.partition(other, node, millis);
        }
    }
}

fn random_size(random: &mut Random) -> ClusterSize {
    ClusterSize {
        control_nodes: if random.one_in(3) { 5 } else { 3 },
        agents: if random.one_in(8) { 60 } else { random.between(10, 24) as usize },
        zones: random.between(4, 6) as usize,
        storages: random.between(0, 7) as usize,
        proxies: random.one_in(3),
        max_lag: if random.one_in(4) { 40 } else { 12 },
    }
}

/// Runs a cluster for 16 s with random faults.
fn run_schedule(seed: u64) -> Cluster {
    let mut random = Random::new(seed);
    let size = random_size(&mut random);
    let mut cluster = Cluster::new(seed, size);
    schedule_updates(&mut cluster, 14_000);
    cluster.run(3_000);
    for _ in 0..cluster.random.between(1, 5) {
        inject_fault(&mut cluster);
        let delay = cluster.random.between(0, 2_500);
        cluster.run(delay);
    }
    cluster.run(16_000 - cluster.elapsed());
    cluster
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
fn a_reachable_node_knows_a_chosen_value_within_two_seconds() {
    // Given many clusters, each with faults of its own.
    let workers = 2;
    let failures: Vec<(u64, Vec<String>)> = std::thread::scope(|scope| {
        let workers: Vec<_> = (0..workers)
            .map(|worker| {
                scope.spawn(move || {
                    let mut failures = Vec::new();
                    for seed in seeds().filter(|seed| seed % workers == worker) {
                        // When one has run for 16 s.
                        let cluster = run_schedule(seed);
                        // Then its history has no violations.
                        let found = violations(&cluster.history);
                        if !found.is_empty() {
                            failures.push((seed, found.into_iter().take(3).collect()));
                        }
                    }
                    failures
                })
            })
            .collect();
        workers.into_iter().flat_map(|worker| worker.join().expect("no panic")).collect()
    });
    let shown: Vec<_> = failures.iter().take(8).collect();
    expect_that!(failures.len(), eq(0), "{shown:#?}");
}

/// A large cluster that has formed its tree.
fn large_cluster(seed: u64, agents: usize) -> Cluster {
    let size = ClusterSize { control_nodes: 3, agents, zones: 5, storages: 6, proxies: false, max_lag: 40 };
    let mut cluster = Cluster::new(seed, size);
    schedule_updates(&mut cluster, 60_000);
    cluster.run(5_000);
    cluster
}

/// Links of a control node: two agents of each zone, and all storage nodes.
const TREE_LINKS: usize = 2 * 5 + 6;

#[googletest::test]
fn a_starting_cluster_forms_a_tree_with_only_relays_at_the_control_nodes() {
    for seed in 0..10 {
        // Given 100 agents that start within 0.3 s, before there is a value or after.
        let mut cluster = large_cluster(seed, 100);
        // When urgent subscribers have returned to the tree.
        cluster.run(25_000);
        let (links, _) = load(&cluster.history, cluster.now - 1_000);
        // Then no control node serves more than the zones' relays and the storage nodes.
        expect_that!(links, le(TREE_LINKS), "seed {seed}");
        let (_, calls) = load(&cluster.history, 0);
        expect_that!(calls, le(300), "seed {seed}: calls within a second");
        expect_that!(violations(&cluster.history), is_empty());
    }
}

#[googletest::test]
fn subscribers_return_to_the_tree_after_the_loss_of_relays() {
    for seed in 0..10 {
        // Given a tree.
        let mut cluster = large_cluster(seed, 60);
        cluster.run(10_000);
        let fault_at = cluster.now;
        let links_before = load(&cluster.history, fault_at - 1_000).0;
        // When all relays of a control node die, with or without closing their links, or freeze.
        let control_node = cluster.nodes_of_kind(|kind| kind == Kind::ControlNode)[0];
        for ip in cluster.nodes[control_node].feed.subscriber_addresses() {
            let relay = cluster
                .nodes_of_kind(|kind| kind == Kind::Agent)
                .into_iter()
                .find(|node| cluster.nodes[*node].ip == ip);
            let Some(relay) = relay else { continue };
            match seed % 3 {
                0 => cluster.kill(relay, true, Some(30_000)),
                1 => cluster.kill(relay, false, Some(1_000)),
                _ => cluster.freeze(relay, 4_000),
            }
        }
        cluster.run(4_000);
        // Then the control nodes are not overloaded, and all nodes are updated in time.
        let (links, calls) = load(&cluster.history, fault_at);
        expect_that!(calls, le(180), "seed {seed}: calls within a second");
        expect_that!(links, le(66), "seed {seed}: links");
        cluster.run(21_000);
        // And in the end the control nodes serve only relays.
        let links = load(&cluster.history, cluster.now - 1_000).0;
        expect_that!(links, le(TREE_LINKS), "seed {seed}: {links_before} links before");
        expect_that!(violations(&cluster.history), is_empty(), "seed {seed}");
    }
}

#[googletest::test]
fn without_a_majority_subscription_calls_are_bounded_and_later_values_arrive_in_time() {
    for seed in 0..6 {
        // Given a tree.
        let mut cluster = large_cluster(seed, 60);
        cluster.run(8_000);
        // When no control node reaches a majority for a while.
        let fault_at = cluster.now;
        for control_node in cluster.nodes_of_kind(|kind| kind == Kind::ControlNode) {
            cluster.isolate_from_majority(control_node, 10_000);
        }
        cluster.run(10_000);
        // Then the number of urgent subscriptions is bounded.
        let (links, calls) = load(&cluster.history, fault_at);
        expect_that!(calls, le(300), "seed {seed}: calls within a second");
        expect_that!(links, le(100), "seed {seed}: links");
        cluster.run(25_000);
        // And the tree is restored.
        expect_that!(load(&cluster.history, cluster.now - 1_000).0, le(TREE_LINKS), "seed {seed}");
        expect_that!(violations(&cluster.history), is_empty(), "seed {seed}");
    }
}

#[googletest::test]
fn an_idle_cluster_sends_few_pushes() {
    // Given a tree of 60 agents and their proxies without updates.
    let size =
        ClusterSize { control_nodes: 3, agents: 60, zones: 5, storages: 6, proxies: true, max_lag: 12 };
    let mut cluster = Cluster::new(1, size);
    cluster.run(20_000);
    let (before, calls) = (cluster.pushes, load(&cluster.history, cluster.now - 5_000).1);
    // When 10 s pass.
    cluster.run(10_000);
    // Then each of its 126 links, 138 with those of storage nodes that changed their control node, had 2.5 heartbeats a second.
    expect_that!(cluster.pushes - before, le(138 * 10 * 5 / 2));
    expect_that!(cluster.pushes - before, ge(120 * 10 * 2));
    expect_that!(calls, eq(0));
}
