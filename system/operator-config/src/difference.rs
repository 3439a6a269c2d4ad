//! What one configuration changes in another, for staff.

use crate::{OperatorConfig, Route, WeightedService};
use std::collections::BTreeMap;
use std::fmt::Debug;

/// Short lines on what `after` changes in `before`: its version, routes, services and limits. Routes are compared by
/// host and prefix.
pub fn difference(before: &OperatorConfig, after: &OperatorConfig) -> Vec<String> {
    let mut lines = Vec::new();
    if before.version != after.version {
        lines.push(format!("version: {} -> {}", before.version, after.version));
    }
    let place = |route: &Route| format!("route {}{}", route.hostname.to_ascii_lowercase(), route.path_prefix);
    let routes = |config: &OperatorConfig| -> BTreeMap<String, Vec<(&'static str, String)>> {
        config.routes.iter().map(|route| (place(route), route_fields(route))).collect()
    };
    compare(&routes(before), &routes(after), &mut lines);
    let services = |config: &OperatorConfig| -> BTreeMap<String, Vec<(&'static str, String)>> {
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
    fn shown(value: impl Debug) -> String {
        format!("{value:?}")
    }
    let share = |share: &WeightedService| format!("{} {}", share.service, share.weight);
    let gap_aim_ms = route.max_event_gap_ms.map_or("none".to_owned(), |gap_aim_ms| gap_aim_ms.to_string());
    vec![
        ("name", route.name.clone()),
        ("route_type", shown(route.kind)),
        ("timeout_ms", shown(route.timeout_ms)),
        ("target_latency_ms", shown(route.target_latency_ms)),
        ("priority", shown(route.priority)),
        ("split", format!("[{}]", route.split.iter().map(share).collect::<Vec<_>>().join(", "))),
        ("max_attempts", shown(route.max_attempts)),
        ("retained", shown(route.retained)),
        ("retention_ms", shown(route.retention_ms)),
        ("session_affinity", shown(route.session_affinity)),
        ("resumable", shown(route.resumable)),
        ("gap_aim_ms", gap_aim_ms),
    ]
}
