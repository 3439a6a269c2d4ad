//! Properties of reading and routing.

use crate::samples::VALID;
use byte_mutation::mutated;
use operator_config::{OperatorConfig, Route};
use proptest::prelude::*;

fn naive_route<'a>(config: &'a OperatorConfig, host: &str, path: &str) -> Option<&'a Route> {
    let of_host = config.routes.iter().filter(|route| route.hostname.eq_ignore_ascii_case(host));
    let beginning = of_host.filter(|route| path.starts_with(&route.path_prefix));
    beginning.max_by_key(|route| route.path_prefix.len())
}

/// What every configuration that was read keeps to.
fn check(config: &OperatorConfig) {
    assert!(config.version > 0);
    for route in &config.routes {
        assert!(route.timeout_ms > 0);
        assert!(route.max_attempts > 0);
        assert!(route.split.iter().any(|share| share.weight > 0));
        assert!(route.split.iter().all(|share| config.service(&share.service).is_some()));
        assert!(config.service(route.pick_service(u64::MAX)).is_some());
        assert!(std::ptr::eq(config.route(&route.hostname, &route.path_prefix).unwrap(), route));
    }
}

fn read_and_check(bytes: &[u8]) {
    match OperatorConfig::read(bytes) {
        Ok(config) => check(&config),
        Err(findings) => assert!(!findings.0.is_empty()),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(400) })]

    #[test]
    fn arbitrary_bytes_are_valid_or_reported(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        read_and_check(&bytes);
    }

    #[test]
    fn a_valid_document_with_mutated_bytes_is_valid_or_reported(
        changes in prop::collection::vec((0..VALID.len(), prop::sample::select(&b"0179-.,:\"{}[]/ aetruflns"[..])), 1..4),
    ) {
        let mut bytes = VALID.as_bytes().to_vec();
        for (index, byte) in changes {
            bytes[index] = byte;
        }
        read_and_check(&bytes);
    }

    #[test]
    fn a_truncated_repeated_or_spliced_document_is_valid_or_reported(
        bytes in mutated(vec![VALID.as_bytes().to_vec(), br#"{"version":1,"routes":[],"services":[]}"#.to_vec()]),
    ) {
        read_and_check(&bytes);
    }

    #[test]
    fn a_document_with_a_replaced_value_is_valid_or_reported(
        pick in any::<prop::sample::Index>(),
        value in prop::sample::select(&["null", "0", "-1", "1e300", "0.5", "true", "\"\"", "\"huvo11a\"", "[]", "{}", "[{}]", "[null]"][..]),
    ) {
        let mut document: serde_json::Value = serde_json::from_str(VALID).unwrap();
        let mut pointers = Vec::new();
        collect_pointers(&document, String::new(), &mut pointers);
        let pointer = pick.get(&pointers);
        *document.pointer_mut(pointer).unwrap() = serde_json::from_str(value).unwrap();
        read_and_check(document.to_string().as_bytes());
    }

    #[test]
    fn the_routing_table_agrees_with_a_linear_search(
        routes in prop::collection::btree_set(("[ab]", "/([ab]{1,2}/){0,3}"), 0..12),
        requests in prop::collection::vec(("[abAc]", "/([ab]{0,2}/){0,4}[ab]{0,2}"), 1..30),
    ) {
        let routes: Vec<_> = routes
            .iter()
            .map(|(hostname, path_prefix)| serde_json::json!({
                "hostname": hostname, "path_prefix": path_prefix, "timeout_ms": 1, "service": "s",
            }))
            .collect();
        let document = serde_json::json!({ "version": 1, "routes": routes, "services": [{ "name": "s" }] });
        let config = OperatorConfig::read(document.to_string().as_bytes()).unwrap();
        for (host, path) in &requests {
            prop_assert_eq!(config.route(host, path), naive_route(&config, host, path));
        }
    }
}

#[test]
fn deeply_nested_documents_are_reported() {
    for text in ["[".repeat(100_000), "{\"routes\":".repeat(100_000), "{\"limits\":[".repeat(50_000)] {
        assert!(OperatorConfig::read(text.as_bytes()).is_err());
    }
}

fn collect_pointers(value: &serde_json::Value, pointer: String, pointers: &mut Vec<String>) {
    match value {
        serde_json::Value::Object(fields) => {
            fields
                .iter()
                .for_each(|(name, value)| collect_pointers(value, format!("{pointer}/{name}"), pointers));
        }
        serde_json::Value::Array(items) => {
            let items = items.iter().enumerate();
            items.for_each(|(index, value)| collect_pointers(value, format!("{pointer}/{index}"), pointers));
        }
        _ => {}
    }
    pointers.push(pointer);
}
