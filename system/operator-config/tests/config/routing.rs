//! Routes and services of requests, and what one configuration changes in another.

use crate::samples::{VALID, with};
use googletest::prelude::*;
use operator_config::{OperatorConfig, Route, difference};
use std::collections::BTreeMap;

fn read(text: &str) -> OperatorConfig {
    OperatorConfig::read(text.as_bytes()).unwrap()
}

#[gtest]
fn the_longest_prefix_of_the_host_is_matched() {
    let config = read(VALID);
    let name = |host, path| config.route(host, path).map_or("", |route: &Route| route.name.as_str());
    expect_eq!(name("ficu95.example", "/lohu930/2f"), "r-1");
    expect_eq!(name("ficu95.example", "/lohu930/"), "r-1");
    expect_eq!(name("ficu95.example", "/lohu930/deep"), "r-1");
    expect_eq!(name("ficu95.example", "/lohu930/deep/"), "r-2");
    expect_eq!(name("ficu95.example", "/lohu930/deep/er/2f?x=/"), "r-2");
    expect_eq!(name("ficu95.example", "/lohu930"), "");
    expect_eq!(name("ficu95.example", "/lohu930?/lohu930/"), "");
    expect_eq!(name("ficu95.example", "/lohu9300/"), "");
    expect_eq!(name("ficu95.example", "/"), "");
    expect_eq!(name("ficu95.example", ""), "");
    expect_eq!(name("other.example", "/lohu930/2f"), "r-3");
    expect_eq!(name("third.example", "/lohu930/2f"), "");
    expect_eq!(name("", "/"), "");
}

#[gtest]
fn port_and_case_of_the_host_are_ignored() {
    let config = read(VALID);
    for host in ["ficu95.example:8080", "FICU95.Example", "Ficu95.EXAMPLE:1"] {
        expect_eq!(config.route(host, "/lohu930/2f").unwrap().name, "r-1");
    }
    let config = read(&with("Other.example", "[2001:DB8::1]"));
    expect_eq!(config.route("[2001:db8::1]:8080", "/x").unwrap().name, "r-3");
    expect_true!(config.route("[2001:db8::2]:8080", "/x").is_none());
}

#[gtest]
fn uniform_random_values_split_traffic_by_weight() {
    let text = with(
        r#"{"service":"wuno96b","weight":10}"#,
        r#"{"service":"wuno96b","weight":10},{"service":"none","weight":0}"#,
    )
    .replace(r#""services":["#, r#""services":[{"name":"none"},"#);
    let config = read(&text);
    let mut picked: BTreeMap<&str, u32> = BTreeMap::new();
    for draw in 0..1000 {
        *picked.entry(config.routes[0].pick_service(draw)).or_default() += 1;
    }
    expect_eq!(picked, BTreeMap::from([("huvo11a", 900), ("wuno96b", 100)]));
    expect_eq!(config.routes[0].pick_service(u64::MAX), config.routes[0].pick_service(u64::MAX));
}

#[gtest]
fn fractional_and_huge_weights_keep_their_ratio() {
    for (one, other) in [("0.75", "0.25"), ("3e15", "1e15"), ("7.5", "2.5")] {
        let text = with(r#""weight":90"#, &format!(r#""weight":{one}"#))
            .replace(r#""weight":10"#, &format!(r#""weight":{other}"#));
        let config = read(&text);
        let [one, other] = &config.routes[0].split[..] else { panic!("two shares") };
        expect_that!(f64::from(one.weight) / f64::from(other.weight), near(3.0, 0.001));
    }
    let tiny = read(&with(r#""weight":10"#, r#""weight":1e-12"#));
    expect_that!(tiny.routes[0].split[1].weight, gt(0));
}

#[gtest]
fn the_difference_lists_all_changes() {
    let before = read(VALID);
    expect_that!(difference(&before, &before), is_empty());
    let text = with(r#""version":7"#, r#""version":9"#)
        .replace(r#""timeout_ms":1500.0"#, r#""timeout_ms":2500"#)
        .replace("/lohu930/deep/", "/new/")
        .replace(r#""max_connections":96"#, r#""max_connections":97"#)
        .replace(r#""services":["#, r#""services":[{"name":"third"},"#)
        .replace(r#""idle_timeout_ms":9000"#, r#""idle_timeout_ms":8000"#);
    let after = read(&text);
    expect_eq!(
        difference(&before, &after),
        [
            "version: 7 -> 9",
            "route ficu95.example/lohu930/deep/: removed",
            "route ficu95.example/new/: added",
            "route other.example/: timeout_ms 1500 -> 2500, target_latency_ms 1500 -> 2500",
            "service third: added",
            "service wuno96b: max_connections 96 -> 97",
            "limits: idle_timeout_ms 9000 -> 8000",
        ]
    );
    let moved = read(&with(r#""weight":90"#, r#""weight":30"#));
    expect_eq!(
        difference(&before, &moved),
        ["route ficu95.example/lohu930/: split [huvo11a 90, wuno96b 10] -> [huvo11a 30, wuno96b 10]"]
    );
    expect_eq!(difference(&OperatorConfig::default(), &before)[1], "route ficu95.example/lohu930/: added");
}
