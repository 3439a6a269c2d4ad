//! How many proxies are told to share the endpoints.

use googletest::prelude::*;
use system_programs::members::ProxyCount;

#[gtest]
fn given_a_process_that_knows_nobody_then_no_count_is_told() {
    let mut count = ProxyCount::default();
    for now_ms in (0..30_000).step_by(1_000) {
        expect_that!(count.observe(now_ms, 1, 1), none());
    }
}

#[gtest]
fn given_a_process_that_has_just_met_others_then_the_count_is_told_once_it_has_settled() {
    let mut count = ProxyCount::default();
    expect_that!(count.observe(500, 1, 1), none());
    expect_that!(count.observe(600, 3, 1), none());
    expect_that!(count.observe(2_599, 17, 9), none());
    expect_that!(count.observe(2_600, 17, 9), some(eq(9)));
}

#[gtest]
fn given_a_settled_count_when_it_rises_then_it_is_told_at_once() {
    let mut count = ProxyCount::default();
    count.observe(0, 17, 9);
    expect_that!(count.observe(5_000, 17, 9), some(eq(9)));
    expect_that!(count.observe(5_001, 18, 10), some(eq(10)));
}

#[gtest]
fn given_a_settled_count_when_it_falls_then_the_largest_of_the_last_ten_seconds_is_told() {
    let mut count = ProxyCount::default();
    count.observe(0, 17, 9);
    expect_that!(count.observe(5_000, 17, 9), some(eq(9)));
    expect_that!(count.observe(6_000, 12, 4), some(eq(9)));
    expect_that!(count.observe(9_000, 14, 6), some(eq(9)));
    expect_that!(count.observe(15_000, 12, 4), some(eq(9)));
    expect_that!(count.observe(15_001, 12, 4), some(eq(6)));
    expect_that!(count.observe(19_001, 12, 4), some(eq(4)));
}

#[gtest]
fn given_a_fall_that_does_not_last_then_nobody_hears_of_it() {
    let mut count = ProxyCount::default();
    count.observe(0, 17, 9);
    for now_ms in (2_000..60_000).step_by(500) {
        let frozen = now_ms % 8_000 < 5_000;
        expect_that!(count.observe(now_ms, 17, if frozen { 2 } else { 9 }), some(eq(9)));
    }
}

#[gtest]
fn given_a_fleet_without_proxies_then_no_count_is_told() {
    let mut count = ProxyCount::default();
    count.observe(0, 8, 0);
    expect_that!(count.observe(20_000, 8, 0), none());
}
