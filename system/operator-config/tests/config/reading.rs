//! Reading and checking configurations.

use crate::samples::{VALID, with};
use googletest::prelude::*;
use operator_config::{Engine, Findings, Limits, OperatorConfig, RouteKind, WeightedService, digest};

fn read(text: &str) -> std::result::Result<OperatorConfig, Findings> {
    OperatorConfig::read(text.as_bytes())
}

fn finding_paths(text: &str) -> Vec<String> {
    read(text).expect_err("a finding").0.into_iter().map(|finding| finding.path).collect()
}

fn share(service: &str, weight: u32) -> WeightedService {
    WeightedService { service: service.to_owned(), weight }
}

#[gtest]
fn every_field_of_a_valid_configuration_is_read() {
    let config = read(VALID).unwrap();
    expect_eq!(config.version, 7);
    let [streaming, idempotent, plain] = &config.routes[..] else { panic!("three routes") };
    expect_eq!(streaming.name, "r-1");
    expect_eq!(streaming.hostname, "ficu95.example");
    expect_eq!(streaming.path_prefix, "/lohu930/");
    expect_eq!(streaming.kind, RouteKind::Streaming);
    expect_eq!(streaming.timeout_ms, 6000);
    expect_eq!(streaming.target_latency_ms, 250);
    expect_eq!(streaming.priority, 1);
    expect_eq!(streaming.split, [share("huvo11a", 90), share("wuno96b", 10)]);
    expect_eq!(streaming.max_attempts, 2);
    expect_true!(streaming.retained);
    expect_eq!(streaming.retention_ms, 60_000);
    expect_true!(streaming.session_affinity);
    expect_false!(streaming.resumable);
    expect_eq!(streaming.max_event_gap_ms, Some(400));

    expect_eq!(idempotent.kind, RouteKind::Idempotent);
    expect_eq!(idempotent.split.len(), 1);
    expect_eq!(idempotent.split[0].service, "huvo11a");
    expect_that!(idempotent.split[0].weight, gt(0));

    expect_eq!(plain.kind, RouteKind::NonIdempotent);
    expect_eq!(plain.timeout_ms, 1500);
    expect_eq!(plain.target_latency_ms, 1500);
    expect_eq!(plain.max_attempts, 1);
    expect_false!(plain.retained);
    expect_eq!(plain.max_event_gap_ms, None);

    let engine = Engine { capacity_slots: 96, kv_cache_tokens: 257_309, tokens_per_event: 2 };
    expect_eq!(config.service("huvo11a").unwrap().engine, Some(engine));
    expect_eq!(config.service("huvo11a").unwrap().max_connections, 480);
    expect_eq!(config.service("wuno96b").unwrap().engine, None);
    expect_eq!(config.service("wuno96b").unwrap().health_check_path, "/well");
    expect_eq!(config.service("none"), None);
    let limits = Limits {
        max_header_bytes: 8192,
        max_body_bytes: 1_048_576,
        header_timeout_ms: 2000,
        idle_timeout_ms: 9000,
    };
    expect_eq!(config.limits, limits);
}

#[gtest]
fn unknown_fields_and_nulls_are_ignored() {
    let plain = read(VALID).unwrap();
    let text = with(
        r#""priority":0,"#,
        r#""priority":0,"tide":{"high":[1,{}]},"traffic_split":null,"gap_aim_ms":null,"#,
    )
    .replace(r#""limits":{"#, r#""later":[[]],"limits":{"max_wishes":"many","#)
    .replace(r#""engine":{"#, r#""engine":{"later":null,"#);
    expect_eq!(read(&text).unwrap(), plain);
}

#[gtest]
fn fractions_are_accepted_as_numbers() {
    let text = with(r#""version":7"#, r#""version":7.0"#)
        .replace(r#""retention_s":60.0"#, r#""retention_s":0.2505"#)
        .replace(r#""timeout_ms":1500.0"#, r#""timeout_ms":0.4"#)
        .replace(r#""max_connections":480"#, r#""max_connections":480.0"#);
    let config = read(&text).unwrap();
    expect_eq!(config.version, 7);
    expect_eq!(config.routes[0].retention_ms, 251);
    expect_eq!(config.routes[2].timeout_ms, 1);
    expect_eq!(config.services[0].max_connections, 480);
}

#[gtest]
fn missing_limits_have_defaults() {
    let text = r#"{"version":18446744073709551615,"routes":[],"services":[]}"#;
    let config = read(text).unwrap();
    expect_eq!(config.limits, Limits::default());
    expect_eq!(config.version, u64::MAX);
}

#[gtest]
fn a_service_beside_an_empty_split_gets_all_traffic() {
    let config =
        read(&with(r#""service":"wuno96b"}]"#, r#""traffic_split":[],"service":"wuno96b"}]"#)).unwrap();
    expect_eq!(config.routes[2].pick_service(5), "wuno96b");
}

#[gtest]
fn a_truncated_configuration_is_rejected_as_a_document() {
    for end in 0..VALID.len() {
        expect_that!(finding_paths(&VALID[..end]), elements_are![eq("document")]);
    }
}

#[gtest]
fn a_document_that_is_not_a_configuration_is_rejected() {
    for text in ["null", "[]", "7", "\"x\"", "{} {}", "{\"version\":7,}"] {
        expect_that!(finding_paths(text), elements_are![eq("document")], "for {text}");
    }
    let not_utf8 = OperatorConfig::read(b"{\"version\":\xff}").unwrap_err();
    expect_eq!(not_utf8.0[0].path, "document");
    expect_that!(finding_paths("{}"), unordered_elements_are![eq("version"), eq("routes"), eq("services")]);
}

#[gtest]
fn an_unknown_service_is_reported_with_its_path() {
    let in_split = with(r#"{"service":"wuno96b","weight":10}"#, r#"{"service":"gone","weight":10}"#);
    expect_that!(finding_paths(&in_split), elements_are![eq("routes[0].traffic_split[1].service")]);
    let alone = with(r#""priority":0,"service":"huvo11a""#, r#""priority":0,"service":"gone""#);
    expect_that!(finding_paths(&alone), elements_are![eq("routes[1].service")]);
    let without_weight = with(r#"{"service":"wuno96b","weight":10}"#, r#"{"service":"gone","weight":0}"#);
    expect_that!(finding_paths(&without_weight), elements_are![eq("routes[0].traffic_split[1].service")]);
}

#[gtest]
fn a_duplicate_route_is_reported() {
    let same = with("/lohu930/deep/", "/lohu930/");
    expect_that!(finding_paths(&same), elements_are![eq("routes[1].path_prefix")]);
    let other_case =
        with(r#""Other.example","path_prefix":"/""#, r#""FICU95.example","path_prefix":"/lohu930/""#);
    expect_that!(finding_paths(&other_case), elements_are![eq("routes[2].path_prefix")]);
    let other_host = with(r#""path_prefix":"/""#, r#""path_prefix":"/lohu930/""#);
    expect_true!(read(&other_host).is_ok());
}

#[gtest]
fn a_route_without_weight_is_rejected() {
    let zeros = with(r#""weight":90"#, r#""weight":0"#).replace(r#""weight":10"#, r#""weight":0.0"#);
    expect_that!(finding_paths(&zeros), elements_are![eq("routes[0].traffic_split")]);
    let absent = with(r#","weight":90"#, "").replace(r#","weight":10"#, "");
    expect_that!(finding_paths(&absent), elements_are![eq("routes[0].traffic_split")]);
    let empty = with(r#""priority":0,"service":"huvo11a""#, r#""traffic_split":[]"#);
    expect_that!(finding_paths(&empty), elements_are![eq("routes[1]")]);
    let neither = with(r#""priority":0,"service":"huvo11a","#, "");
    expect_that!(finding_paths(&neither), elements_are![eq("routes[1]")]);
    let one_left = with(r#""weight":90"#, r#""weight":0"#);
    expect_true!(read(&one_left).is_ok());
}

#[gtest]
fn a_route_without_timeout_is_rejected() {
    for time in
        [r#""timeout_ms":0"#, r#""timeout_ms":0.0"#, r#""timeout_ms":null"#, r#""timeout_ms":-1"#, r#""t":1"#]
    {
        expect_that!(
            finding_paths(&with(r#""timeout_ms":1500.0"#, time)),
            elements_are![eq("routes[2].timeout_ms")]
        );
    }
}

#[gtest]
fn a_version_that_is_not_a_positive_integer_is_rejected() {
    for version in ["0", "-7", "7.5", "\"7\"", "null", "1e30", "true"] {
        expect_that!(
            finding_paths(&with(r#""version":7"#, &format!(r#""version":{version}"#))),
            elements_are![eq("version")]
        );
    }
}

#[gtest]
fn each_other_problem_is_reported_with_its_path() {
    let cases = [
        (r#""path_prefix":"/""#, r#""path_prefix":"/x""#, "routes[2].path_prefix"),
        (r#""path_prefix":"/""#, r#""path_prefix":"x/""#, "routes[2].path_prefix"),
        (r#""path_prefix":"/""#, r#""path_prefix":"""#, "routes[2].path_prefix"),
        (r#""path_prefix":"/""#, r#""path_prefix":"/?ohu930/""#, "routes[2].path_prefix"),
        (r#""path_prefix":"/""#, r#""path_prefix":"/ohu930/?/""#, "routes[2].path_prefix"),
        (r#""path_prefix":"/""#, r##""path_prefix":"/#ohu930/""##, "routes[2].path_prefix"),
        (r#""route_type":"idempotent""#, r#""route_type":"often""#, "routes[1].route_type"),
        (r#""priority":1"#, r#""priority":"high""#, "routes[0].priority"),
        (r#""weight":90"#, r#""weight":"most""#, "routes[0].traffic_split[0].weight"),
        (r#""name":"wuno96b""#, r#""name":"huvo11a""#, "services[1].name"),
        (r#""capacity_slots":96"#, r#""capacity_slots":[]"#, "services[0].engine.capacity_slots"),
        (r#""idle_timeout_ms":9000"#, r#""idle_timeout_ms":-9000"#, "limits.idle_timeout_ms"),
    ];
    for (old, new, path) in cases {
        expect_that!(finding_paths(&with(old, new)), contains(eq(path)), "for {new}");
    }
}

#[gtest]
fn all_problems_are_reported_together() {
    let text = with(r#""version":7"#, r#""version":0"#)
        .replace(r#""timeout_ms":1500.0"#, r#""timeout_ms":0"#)
        .replace(r#""priority":0,"service":"huvo11a""#, r#""priority":{},"service":"gone""#)
        .replace(r#""idle_timeout_ms":9000"#, r#""idle_timeout_ms":"long""#);
    let findings = read(&text).unwrap_err();
    let finding_paths: Vec<&str> = findings.0.iter().map(|finding| finding.path.as_str()).collect();
    expect_that!(
        finding_paths,
        unordered_elements_are![
            &"version",
            &"routes[1].priority",
            &"routes[1].service",
            &"routes[2].timeout_ms",
            &"limits.idle_timeout_ms"
        ]
    );
    expect_eq!(findings.to_string().lines().count(), 5);
    expect_that!(findings.to_string(), contains_substring("routes[2].timeout_ms: is 0"));
    let json: serde_json::Value = serde_json::from_str(&findings.to_json()).unwrap();
    expect_eq!(json["findings"].as_array().unwrap().len(), 5);
    expect_eq!(json["findings"][0]["place"], "version");
    expect_eq!(json["findings"][0]["what"], findings.0[0].problem.as_str());
}

#[gtest]
fn the_digest_is_sha_256() {
    let hex_digest: String = digest(b"abc").iter().map(|byte| format!("{byte:02x}")).collect();
    expect_eq!(hex_digest, "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

#[gtest]
fn a_path_prefix_with_a_query_is_rejected_with_the_reason() {
    let text = with(r#""path_prefix":"/""#, r#""path_prefix":"/?ohu930/""#);
    let findings = read(&text).expect_err("a finding").0;
    expect_that!(findings.len(), eq(1));
    expect_that!(findings[0].problem, contains_substring("contains '?'"));
}
