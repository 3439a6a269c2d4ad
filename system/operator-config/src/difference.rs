//! Summary of the changes between two configurations, for operators.

use crate::{OperatorConfig, Route, WeightedService};
use std::collections::BTreeMap;
use std::fmt::Debug;

/// Lines that describe the changes from `before` to `after` in version, routes, services and limits. Routes are matched
/// by host and path prefix.
pub fn difference(before: &OperatorConfig, after: &OperatorConfig) -> Vec<String> {
    let mut lines = Vec::new();
    if before.version != after.version {
        lines.push(format!("version: {} -> {}", before.version, after.version));
    }
    let route_key =
        |route: &Route| format!("route {}{}", route.hostname.to_ascii_lowercase(), route.path_prefix);
    let routes = |config: &OperatorConfig| -> BTreeMap<String, Fields> {
        config.routes.iter().map(|route| (route_key(route), route_fields(route))).collect()
    };
    compare(&routes(before), &routes(after), &mut lines);
    let services = |config: &OperatorConfig| -> BTreeMap<String, Fields> {
        let fields = config.services.iter().map(|service| {
            let engine = service.engine.map_or("none".to_owned(), |engine| {
                format!(
                    "{} slots, {} tokens, {} per event",
                    engine.capacity_slots, engine.kv_cache_tokens, engine.tokens_per_event
                )
            });
            let fields = vec![
                ("health_check_path", service.health_check_path.clone()),
                ("max_connections", service.max_connections.to_string()),
                ("engine", engine),
            ];
            (format!("service {}", service.name), fields)
        });
        fields.collect()
    };
    compare(&services(before), &services(after), &mut lines);
    let limits = |config: &OperatorConfig| {
        let limits = config.limits;
        let fields = vec![
            ("max_header_bytes", limits.max_header_bytes.to_string()),
            ("max_body_bytes", limits.max_body_bytes.to_string()),
            ("header_timeout_ms", limits.header_timeout_ms.to_string()),
            ("idle_timeout_ms", limits.idle_timeout_ms.to_string()),
        ];
        BTreeMap::from([("limits".to_owned(), fields)])
    };
    compare(&limits(before), &limits(after), &mut lines);
    lines
}

type Fields = Vec<(&'static str, String)>;

fn compare(before: &BTreeMap<String, Fields>, after: &BTreeMap<String, Fields>, lines: &mut Vec<String>) {
    for subject in before.keys().filter(|subject| !after.contains_key(*subject)) {
        lines.push(format!("{subject}: removed"));
    }
    for (subject, fields) in after {
        let Some(old_fields) = before.get(subject) else {
            lines.push(format!("{subject}: added"));
            continue;
        };
        let changes: Vec<String> = old_fields
            .iter()
            .zip(fields)
            .filter(|(old, new)| old.1 != new.1)
            .map(|(old, new)| format!("{} {} -> {}", new.0, old.1, new.1))
            .collect();
        if !changes.is_empty() {
            lines.push(format!("{subject}: {}", changes.join(", ")));
        }
    }
}

fn route_fields(route: &Route) -> Fields {
    fn debug_text(value: impl Debug) -> String {
        format!("{value:?}")
    }
    let weighted_text = |weighted: &WeightedService| format!("{} {}", weighted.service, weighted.weight);
    let max_event_gap_ms =
        route.max_event_gap_ms.map_or("none".to_owned(), |max_event_gap_ms| max_event_gap_ms.to_string());
    vec![
        ("name", route.name.clone()),
        ("route_type", debug_text(route.kind)),
        ("timeout_ms", debug_text(route.timeout_ms)),
        ("target_latency_ms", debug_text(route.target_latency_ms)),
        ("priority", debug_text(route.priority)),
        ("split", format!("[{}]", route.split.iter().map(weighted_text).collect::<Vec<_>>().join(", "))),
        ("max_attempts", debug_text(route.max_attempts)),
        ("retained", debug_text(route.retained)),
        ("retention_ms", debug_text(route.retention_ms)),
        ("session_affinity", debug_text(route.session_affinity)),
        ("resumable", debug_text(route.resumable)),
        ("gap_aim_ms", max_event_gap_ms),
    ]
}
