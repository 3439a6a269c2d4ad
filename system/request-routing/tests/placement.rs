//! Where prompts that share prefixes go: engines of small and of ample memory, few and many prefixes, proxies and slots.

mod common;

use common::{end, entry, list, ms, send, service_settings, turn};
use fleet_model::Endpoint;
use googletest::prelude::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use request_routing::{EndpointKey, Outcome, Router, RoutingPolicy, RoutingRequest, ServiceSettings, Time};
use std::collections::{BTreeMap, BTreeSet};

const PREFIX_TOKENS: u32 = 10_000;
const OWN_TOKENS: u32 = 1_000;

fn engines(count: usize, slots: u32) -> Vec<Endpoint> {
    (0..count).map(|n| entry(&format!("e{n}"), "model", "a", slots)).collect()
}

/// A proxy whose engines have memory for so many tokens.
fn proxy(seed: u64, engines: &[Endpoint], cache_tokens: u64) -> Router {
    let mut router = Router::new("a".to_owned(), seed, RoutingPolicy::default());
    let model =
        ServiceSettings { cache_tokens: Some(cache_tokens), ..service_settings("model", 10_000, true) };
    router.update_services(ms(0), &[model]);
    router.update_endpoints(ms(0), &list(engines));
    router
}

/// A prompt of a session of its own.
fn prompt(session: usize, prefix: usize, at_ms: u64) -> RoutingRequest {
    RoutingRequest {
        prefix_tokens: PREFIX_TOKENS,
        total_tokens: PREFIX_TOKENS + OWN_TOKENS,
        arrived_at: Time(ms(at_ms).0 + session as u64),
        deadline: ms(at_ms + 3_000),
        ..turn(&format!("s{session}"), &format!("p{prefix}"))
    }
}

/// Sends so many prompts, each of which ends before the next begins; the engines that each prefix met after the first
/// `fill_sample` prompts.
fn engines_by_prefix(
    router: &mut Router,
    prompts: usize,
    fill_sample: usize,
    prefix_of: impl Fn(usize) -> usize,
) -> BTreeMap<usize, BTreeSet<String>> {
    let mut met: BTreeMap<usize, BTreeSet<String>> = BTreeMap::new();
    for n in 0..prompts {
        let (at_ms, prefix) = (n as u64 * 50, prefix_of(n));
        let request = prompt(n, prefix, at_ms);
        let target = send(router, ms(at_ms), &request);
        if n >= fill_sample {
            met.entry(prefix).or_default().insert(target.instance_id.to_string());
        }
        end(router, ms(at_ms + 20), target.key, &request, Outcome::Success);
    }
    met
}

/// Memory for one prefix and the requests of 4 slots.
const SMALL: u64 = 14_000;
/// Memory for hundreds.
const AMPLE: u64 = 10_000_000;

#[gtest]
fn prefixes_are_not_confined_when_the_cache_fits_all() {
    let mut router = proxy(1, &engines(6, 4), AMPLE);
    let met = engines_by_prefix(&mut router, 400, 100, |n| n % 8);
    expect_that!(met.values().map(BTreeSet::len).min(), some(eq(6)));
}

#[gtest]
fn all_proxies_confine_each_prefix_to_the_same_engines() {
    let engines = engines(8, 4);
    let met: Vec<_> = (1..3)
        .map(|seed| engines_by_prefix(&mut proxy(seed, &engines, SMALL), 400, 100, |n| n % 8))
        .collect();
    for (prefix, on) in &met[0] {
        // Its share of the demand is an eighth, with headroom two of eight engines.
        expect_that!(on.len(), le(2), "prefix {prefix}");
        expect_that!(met[1][prefix], eq(on), "prefix {prefix}");
    }
    let used: BTreeSet<_> = met[0].values().flatten().collect();
    expect_that!(used.len(), ge(4));
}

#[gtest]
fn a_hot_prefix_gets_engines_in_proportion_to_its_demand() {
    let mut router = proxy(1, &engines(10, 4), SMALL);
    let met = engines_by_prefix(&mut router, 600, 200, |n| if n % 2 == 0 { 0 } else { 1 + n % 40 });
    expect_that!(met[&0].len(), ge(7));
    expect_that!(met[&4].len(), le(2));
}

#[gtest]
fn a_single_prefix_is_served_by_all_engines() {
    let mut router = proxy(1, &engines(6, 4), SMALL);
    let met = engines_by_prefix(&mut router, 400, 100, |_| 0);
    expect_that!(met[&0].len(), eq(6));
}

#[gtest]
fn four_thousand_prefixes_have_one_engine_each_and_occupy_all_engines() {
    let engines = engines(8, 4);
    let mut router = proxy(1, &engines, 8 * SMALL);
    // Each prefix twice in a row, as the turns of two programs would be.
    let met = engines_by_prefix(&mut router, 2_000, 100, |n| n / 2 * 7_919 % 4_000);
    let confined = met.values().filter(|on| on.len() == 1).count();
    expect_that!(confined * 10, ge(met.len() * 9));
    let used: BTreeSet<_> = met.values().flatten().collect();
    expect_that!(used.len(), eq(8));
}

#[gtest]
fn prefixes_are_not_confined_with_a_small_sample_or_unknown_cache_size() {
    let met = engines_by_prefix(&mut proxy(1, &engines(6, 4), SMALL), 15, 0, |_| 0);
    expect_that!(met[&0].len(), ge(4));
    let met = engines_by_prefix(&mut proxy(1, &engines(6, 4), 0), 400, 100, |n| n % 8);
    expect_that!(met.values().map(BTreeSet::len).min(), some(eq(6)));
}

#[gtest]
fn a_prefix_spills_over_when_its_engine_is_loaded() {
    let mut router = proxy(1, &engines(8, 16), SMALL);
    engines_by_prefix(&mut router, 200, 0, |n| n % 8);
    let mut loads = BTreeMap::new();
    for n in 0..40 {
        let id = send(&mut router, ms(20_000), &prompt(1_000 + n, 3, 20_000)).instance_id;
        *loads.entry(id).or_insert(0) += 1;
    }
    expect_that!(loads.len(), ge(4));
    // 1.25 x the mean of 5 + 2, and the one that comes on top.
    expect_that!(loads.values().max(), some(le(&10)));
}

/// A fleet of proxies over the same engines: each gets its share of the arrivals and knows its own calls only.
struct Fleet {
    proxies: Vec<Router>,
    rng: ChaCha8Rng,
}

/// Most calls out at one engine at once, and the mean over engines and arrivals.
#[derive(Debug)]
struct Spread {
    busiest: usize,
    arrivals_over_mean: f64,
    idle: usize,
}

impl Fleet {
    fn new(proxies: usize, engines: &[Endpoint], cache_tokens: u64) -> Self {
        let proxies = (0..proxies)
            .map(|seed| {
                let mut router = proxy(seed as u64, engines, cache_tokens);
                router.set_proxy_count(ms(0), proxies as u32);
                router
            })
            .collect();
        Self { proxies, rng: ChaCha8Rng::seed_from_u64(5) }
    }

    /// Arrivals every `gap_ms`, each of which runs for `duration_ms`, with eight prefixes.
    fn simulate(&mut self, engines: usize, arrivals: u64, gap_ms: u64, duration_ms: u64) -> Spread {
        let mut in_flight: Vec<(u64, usize, EndpointKey, String, RoutingRequest)> = Vec::new();
        let (mut now_out, mut total) = (BTreeMap::<String, usize>::new(), BTreeMap::<String, usize>::new());
        let mut busiest = 0;
        for n in 0..arrivals {
            let at_ms = n * gap_ms;
            for (_, proxy, key, id, request) in in_flight.extract_if(.., |call| call.0 <= at_ms) {
                end(&mut self.proxies[proxy], ms(at_ms), key, &request, Outcome::Success);
                *now_out.get_mut(&id).unwrap() -= 1;
            }
            let proxy = self.rng.next_u32() as usize % self.proxies.len();
            let request = prompt(n as usize, self.rng.next_u32() as usize % 8, at_ms);
            let target = send(&mut self.proxies[proxy], ms(at_ms), &request);
            let id = target.instance_id.to_string();
            *total.entry(id.clone()).or_default() += 1;
            let there = now_out.entry(id.clone()).or_default();
            *there += 1;
            busiest = busiest.max(*there);
            in_flight.push((at_ms + duration_ms, proxy, target.key, id, request));
        }
        let mean = arrivals as f64 / engines as f64;
        let most = total.values().max().copied().unwrap_or(0) as f64;
        Spread { busiest, arrivals_over_mean: most / mean, idle: engines - total.len() }
    }
}

#[gtest]
fn load_is_balanced_for_1_13_and_340_proxies_with_ample_cache() {
    for proxies in [1, 13, 340] {
        // Eleven engines with four calls out each in the mean.
        let spread = Fleet::new(proxies, &engines(11, 12), AMPLE).simulate(11, 6_000, 7, 308);
        expect_that!(spread.arrivals_over_mean, lt(1.3), "{proxies} proxies");
        expect_that!(spread.idle, eq(0), "{proxies} proxies");
        expect_that!(spread.busiest, le(16), "{proxies} proxies");
    }
}

#[gtest]
fn confinement_overloads_no_engine_with_many_proxies() {
    for proxies in [1, 13] {
        // Twelve engines, 1.5 calls out in the mean, long enough for each proxy to know the prefixes.
        let spread = Fleet::new(proxies, &engines(12, 12), SMALL).simulate(12, 6_000, 17, 306);
        expect_that!(spread.arrivals_over_mean, lt(2.2), "{proxies} proxies");
        expect_that!(spread.busiest, le(12), "{proxies} proxies");
    }
}

#[gtest]
fn calls_spread_in_proportion_to_slots() {
    for slots in [2, 12, 96] {
        let mut router = proxy(1, &engines(4, slots), AMPLE);
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
    let remote: Vec<Endpoint> = (0..8).map(|n| entry(&format!("e{n}"), "model", "b", 4)).collect();
    let met = engines_by_prefix(&mut proxy(1, &remote, SMALL), 400, 100, |n| n % 8);
    expect_that!(met.values().map(BTreeSet::len).max(), some(le(2)));
}

#[gtest]
fn the_remote_zone_takes_the_overflow_of_a_small_local_zone() {
    let mut fleet = engines(1, 2);
    fleet.extend((0..6).map(|n| entry(&format!("f{n}"), "model", "b", 12)));
    let mut router = proxy(1, &fleet, SMALL);
    let zones: Vec<bool> = (0..20)
        .map(|n| send(&mut router, ms(0), &prompt(n, n % 8, 0)).instance_id.starts_with('e'))
        .collect();
    expect_that!(zones.iter().filter(|local| **local).count(), eq(2));
}

#[gtest]
fn replacement_engines_get_their_share() {
    let old = engines(8, 12);
    let mut router = proxy(1, &old, AMPLE);
    engines_by_prefix(&mut router, 200, 0, |n| n % 8);
    let mut replaced = old[..4].to_vec();
    replaced.extend((0..4).map(|n| entry(&format!("n{n}"), "model", "a", 12)));
    router.update_endpoints(ms(10_000), &list(&replaced));
    let mut fresh = 0;
    for n in 0..400 {
        let at_ms = 10_000 + n as u64 * 50;
        let request = prompt(10_000 + n, n % 8, at_ms);
        let target = send(&mut router, ms(at_ms), &request);
        fresh += usize::from(target.instance_id.starts_with('n'));
        end(&mut router, ms(at_ms + 20), target.key, &request, Outcome::Success);
    }
    expect_that!(fresh, ge(150));
    expect_that!(fresh, le(250));
}
