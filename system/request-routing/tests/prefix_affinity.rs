//! Tests of prefix affinity, with small and large prefix caches, and few and many prefixes, proxies and slots.

mod common;

use common::{complete, conversation_turn, endpoint_list, list_entry, ms, send, service_settings};
use fleet_model::Endpoint;
use googletest::prelude::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use request_routing::{EndpointKey, Outcome, Router, RoutingPolicy, RoutingRequest, ServiceSettings, Time};
use std::collections::{BTreeMap, BTreeSet};

const PREFIX_TOKENS: u32 = 10_000;
const UNSHARED_TOKENS: u32 = 1_000;

fn engines(count: usize, slots: u32) -> Vec<Endpoint> {
    (0..count).map(|n| list_entry(&format!("e{n}"), "model", "a", slots)).collect()
}

/// The router of a proxy whose engines have a prefix cache of `cache_tokens` tokens each.
fn proxy_router(seed: u64, engines: &[Endpoint], cache_tokens: u64) -> Router {
    let mut router = Router::new("a".to_owned(), seed, RoutingPolicy::default());
    let model =
        ServiceSettings { cache_tokens: Some(cache_tokens), ..service_settings("model", 10_000, true) };
    router.update_services(ms(0), &[model]);
    router.update_endpoints(ms(0), &endpoint_list(engines));
    router
}

/// The first prompt of session number `session`.
fn prompt(session: usize, prefix: usize, at_ms: u64) -> RoutingRequest {
    RoutingRequest {
        prefix_tokens: PREFIX_TOKENS,
        total_tokens: PREFIX_TOKENS + UNSHARED_TOKENS,
        arrived_at: Time(ms(at_ms).0 + session as u64),
        deadline: ms(at_ms + 3_000),
        ..conversation_turn(&format!("s{session}"), &format!("p{prefix}"))
    }
}

/// Sends `prompts` prompts, each of which completes before the next is sent. Returns the engines that received each
/// prefix, without the first `warmup_prompts` prompts, which fill the router's sample.
fn record_engines_by_prefix(
    router: &mut Router,
    prompts: usize,
    warmup_prompts: usize,
    prefix_of: impl Fn(usize) -> usize,
) -> BTreeMap<usize, BTreeSet<String>> {
    let mut engines_by_prefix: BTreeMap<usize, BTreeSet<String>> = BTreeMap::new();
    for n in 0..prompts {
        let (at_ms, prefix) = (n as u64 * 50, prefix_of(n));
        let request = prompt(n, prefix, at_ms);
        let target = send(router, ms(at_ms), &request);
        if n >= warmup_prompts {
            engines_by_prefix.entry(prefix).or_default().insert(target.instance_id.to_string());
        }
        complete(router, ms(at_ms + 20), target.key, &request, Outcome::Success);
    }
    engines_by_prefix
}

/// Cache for one prefix and the requests of 4 slots.
const SMALL_CACHE_TOKENS: u64 = 14_000;
/// Cache for hundreds of prefixes.
const LARGE_CACHE_TOKENS: u64 = 10_000_000;

#[gtest]
fn prefixes_are_not_confined_when_the_cache_fits_all() {
    let mut router = proxy_router(1, &engines(6, 4), LARGE_CACHE_TOKENS);
    let engines_by_prefix = record_engines_by_prefix(&mut router, 400, 100, |n| n % 8);
    expect_that!(engines_by_prefix.values().map(BTreeSet::len).min(), some(eq(6)));
}

#[gtest]
fn all_proxies_confine_each_prefix_to_the_same_engines() {
    let engines = engines(8, 4);
    let engines_by_prefix: Vec<_> = (1..3)
        .map(|seed| {
            record_engines_by_prefix(&mut proxy_router(seed, &engines, SMALL_CACHE_TOKENS), 400, 100, |n| {
                n % 8
            })
        })
        .collect();
    for (prefix, engines) in &engines_by_prefix[0] {
        // Each prefix has an eighth of the demand: with headroom, that is two of eight engines.
        expect_that!(engines.len(), le(2), "prefix {prefix}");
        expect_that!(engines_by_prefix[1][prefix], eq(engines), "prefix {prefix}");
    }
    let used: BTreeSet<_> = engines_by_prefix[0].values().flatten().collect();
    expect_that!(used.len(), ge(4));
}

#[gtest]
fn a_hot_prefix_gets_engines_in_proportion_to_its_demand() {
    let mut router = proxy_router(1, &engines(10, 4), SMALL_CACHE_TOKENS);
    let engines_by_prefix =
        record_engines_by_prefix(&mut router, 600, 200, |n| if n % 2 == 0 { 0 } else { 1 + n % 40 });
    expect_that!(engines_by_prefix[&0].len(), ge(7));
    expect_that!(engines_by_prefix[&4].len(), le(2));
}

#[gtest]
fn a_single_prefix_is_served_by_all_engines() {
    let mut router = proxy_router(1, &engines(6, 4), SMALL_CACHE_TOKENS);
    let engines_by_prefix = record_engines_by_prefix(&mut router, 400, 100, |_| 0);
    expect_that!(engines_by_prefix[&0].len(), eq(6));
}

#[gtest]
fn four_thousand_prefixes_have_one_engine_each_and_occupy_all_engines() {
    let engines = engines(8, 4);
    let mut router = proxy_router(1, &engines, 8 * SMALL_CACHE_TOKENS);
    // Each prefix occurs twice in a row, as if two programs sent a turn each.
    let engines_by_prefix = record_engines_by_prefix(&mut router, 2_000, 100, |n| n / 2 * 7_919 % 4_000);
    let confined = engines_by_prefix.values().filter(|engines| engines.len() == 1).count();
    expect_that!(confined * 10, ge(engines_by_prefix.len() * 9));
    let used: BTreeSet<_> = engines_by_prefix.values().flatten().collect();
    expect_that!(used.len(), eq(8));
}

#[gtest]
fn prefixes_are_not_confined_with_a_small_sample_or_unknown_cache_size() {
    let engines_by_prefix =
        record_engines_by_prefix(&mut proxy_router(1, &engines(6, 4), SMALL_CACHE_TOKENS), 15, 0, |_| 0);
    expect_that!(engines_by_prefix[&0].len(), ge(4));
    let engines_by_prefix =
        record_engines_by_prefix(&mut proxy_router(1, &engines(6, 4), 0), 400, 100, |n| n % 8);
    expect_that!(engines_by_prefix.values().map(BTreeSet::len).min(), some(eq(6)));
}

#[gtest]
fn a_prefix_spills_over_when_its_engine_is_loaded() {
    let mut router = proxy_router(1, &engines(8, 16), SMALL_CACHE_TOKENS);
    record_engines_by_prefix(&mut router, 200, 0, |n| n % 8);
    let mut loads = BTreeMap::new();
    for n in 0..40 {
        let id = send(&mut router, ms(20_000), &prompt(1_000 + n, 3, 20_000)).instance_id;
        *loads.entry(id).or_insert(0) += 1;
    }
    expect_that!(loads.len(), ge(4));
    // A call is sent while the load is at most 1.25 x the mean of 5 calls, plus 2, so that it may exceed the bound by
    // one.
    expect_that!(loads.values().max(), some(le(&10)));
}

/// Proxies that share the same engines. Each gets its share of the arrivals and only knows its own calls.
struct ProxyFleet {
    proxies: Vec<Router>,
    rng: ChaCha8Rng,
}

/// How the calls of a simulation were distributed over the engines.
#[derive(Debug)]
struct LoadDistribution {
    /// Maximum number of concurrent calls at one engine.
    max_concurrent_calls: usize,
    /// Ratio of the most arrivals at one engine to the mean.
    max_to_mean_arrivals: f64,
    /// Number of engines without any call.
    idle_engines: usize,
}

impl ProxyFleet {
    fn new(proxies: usize, engines: &[Endpoint], cache_tokens: u64) -> Self {
        let proxies = (0..proxies)
            .map(|seed| {
                let mut router = proxy_router(seed as u64, engines, cache_tokens);
                router.set_proxy_count(ms(0), proxies as u32);
                router
            })
            .collect();
        Self { proxies, rng: ChaCha8Rng::seed_from_u64(5) }
    }

    /// Sends a call every `interval_ms`, each of which runs for `duration_ms` and has one of eight prefixes.
    fn simulate(
        &mut self,
        engines: usize,
        arrivals: u64,
        interval_ms: u64,
        duration_ms: u64,
    ) -> LoadDistribution {
        let mut in_flight: Vec<(u64, usize, EndpointKey, String, RoutingRequest)> = Vec::new();
        let mut in_flight_by_engine = BTreeMap::<String, usize>::new();
        let mut arrivals_by_engine = BTreeMap::<String, usize>::new();
        let mut max_concurrent_calls = 0;
        for n in 0..arrivals {
            let at_ms = n * interval_ms;
            for (_, proxy, key, id, request) in in_flight.extract_if(.., |call| call.0 <= at_ms) {
                complete(&mut self.proxies[proxy], ms(at_ms), key, &request, Outcome::Success);
                *in_flight_by_engine.get_mut(&id).unwrap() -= 1;
            }
            let proxy = self.rng.next_u32() as usize % self.proxies.len();
            let request = prompt(n as usize, self.rng.next_u32() as usize % 8, at_ms);
            let target = send(&mut self.proxies[proxy], ms(at_ms), &request);
            let id = target.instance_id.to_string();
            *arrivals_by_engine.entry(id.clone()).or_default() += 1;
            let concurrent_calls = in_flight_by_engine.entry(id.clone()).or_default();
            *concurrent_calls += 1;
            max_concurrent_calls = max_concurrent_calls.max(*concurrent_calls);
            in_flight.push((at_ms + duration_ms, proxy, target.key, id, request));
        }
        let mean = arrivals as f64 / engines as f64;
        let max_arrivals = arrivals_by_engine.values().max().copied().unwrap_or(0) as f64;
        LoadDistribution {
            max_concurrent_calls,
            max_to_mean_arrivals: max_arrivals / mean,
            idle_engines: engines - arrivals_by_engine.len(),
        }
    }
}

#[gtest]
fn load_is_balanced_for_1_13_and_340_proxies_with_ample_cache() {
    for proxies in [1, 13, 340] {
        // Eleven engines with four calls in flight each on average.
        let distribution =
            ProxyFleet::new(proxies, &engines(11, 12), LARGE_CACHE_TOKENS).simulate(11, 6_000, 7, 308);
        expect_that!(distribution.max_to_mean_arrivals, lt(1.3), "{proxies} proxies");
        expect_that!(distribution.idle_engines, eq(0), "{proxies} proxies");
        expect_that!(distribution.max_concurrent_calls, le(16), "{proxies} proxies");
    }
}

#[gtest]
fn confinement_overloads_no_engine_with_many_proxies() {
    for proxies in [1, 13] {
        // Twelve engines with 1.5 calls in flight each on average, for long enough that each proxy's sample has the
        // prefixes.
        let distribution =
            ProxyFleet::new(proxies, &engines(12, 12), SMALL_CACHE_TOKENS).simulate(12, 6_000, 17, 306);
        expect_that!(distribution.max_to_mean_arrivals, lt(2.2), "{proxies} proxies");
        expect_that!(distribution.max_concurrent_calls, le(12), "{proxies} proxies");
    }
}

#[gtest]
fn calls_spread_in_proportion_to_slots() {
    for slots in [2, 12, 96] {
        let mut router = proxy_router(1, &engines(4, slots), LARGE_CACHE_TOKENS);
        let mut loads: BTreeMap<String, u32> = BTreeMap::new();
        for n in 0..4 * slots as usize {
            let id = send(&mut router, ms(0), &prompt(n, n, 0)).instance_id;
            *loads.entry(id.to_string()).or_default() += 1;
        }
        expect_that!(
            loads.values().copied().collect::<Vec<_>>(),
            elements_are![&slots, &slots, &slots, &slots]
        );
    }
}

#[gtest]
fn prefixes_are_confined_to_remote_engines_if_the_zone_has_none() {
    let remote: Vec<Endpoint> = (0..8).map(|n| list_entry(&format!("e{n}"), "model", "b", 4)).collect();
    let engines_by_prefix =
        record_engines_by_prefix(&mut proxy_router(1, &remote, SMALL_CACHE_TOKENS), 400, 100, |n| n % 8);
    expect_that!(engines_by_prefix.values().map(BTreeSet::len).max(), some(le(2)));
}

#[gtest]
fn the_remote_zone_takes_the_overflow_of_a_small_local_zone() {
    let mut all_engines = engines(1, 2);
    all_engines.extend((0..6).map(|n| list_entry(&format!("f{n}"), "model", "b", 12)));
    let mut router = proxy_router(1, &all_engines, SMALL_CACHE_TOKENS);
    let sent_locally: Vec<bool> = (0..20)
        .map(|n| send(&mut router, ms(0), &prompt(n, n % 8, 0)).instance_id.starts_with('e'))
        .collect();
    expect_that!(sent_locally.iter().filter(|is_local| **is_local).count(), eq(2));
}

#[gtest]
fn replacement_engines_get_their_share() {
    let old_engines = engines(8, 12);
    let mut router = proxy_router(1, &old_engines, LARGE_CACHE_TOKENS);
    record_engines_by_prefix(&mut router, 200, 0, |n| n % 8);
    let mut replaced = old_engines[..4].to_vec();
    replaced.extend((0..4).map(|n| list_entry(&format!("n{n}"), "model", "a", 12)));
    router.update_endpoints(ms(10_000), &endpoint_list(&replaced));
    let mut calls_to_replacements = 0;
    for n in 0..400 {
        let at_ms = 10_000 + n as u64 * 50;
        let request = prompt(10_000 + n, n % 8, at_ms);
        let target = send(&mut router, ms(at_ms), &request);
        calls_to_replacements += usize::from(target.instance_id.starts_with('n'));
        complete(&mut router, ms(at_ms + 20), target.key, &request, Outcome::Success);
    }
    expect_that!(calls_to_replacements, ge(150));
    expect_that!(calls_to_replacements, le(250));
}
