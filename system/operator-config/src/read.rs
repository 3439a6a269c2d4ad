//! From the bytes to a checked configuration.

use crate::form::{ConfigForm, EngineForm, LimitsForm, RouteForm, ServiceForm, ShareForm};
use crate::table::{RouteTable, normal_host};
use crate::{Engine, Findings, Limits, OperatorConfig, Route, RouteKind, Service, WeightedService};
use config_fields::{CollectFindings, Field, Number, field_path};
use figment::Provider;
use figment::providers::{Format, Json};
use figment::value::{Dict, Value};
use std::collections::{HashMap, HashSet};

/// The place of findings on the document as a whole.
const DOCUMENT: &str = "document";
const DEFAULT_HEALTH_CHECK_PATH: &str = "/health";
const DEFAULT_MAX_CONNECTIONS: u32 = 64;
const DEFAULT_RETENTION_MS: u64 = 60_000;
/// The path of a request ends before these: its query and its fragment take no part in routing.
const PATH_ENDS: [char; 2] = ['?', '#'];
/// The largest weight of a split whose weights are fractions or too large.
const SCALED_WEIGHT: f64 = 1_000_000.0;

pub(crate) fn read(bytes: &[u8]) -> Result<OperatorConfig, Findings> {
    let mut findings = Findings::default();
    let form = match read_form(bytes) {
        Ok(form) => form,
        Err(what) => {
            findings.add(DOCUMENT.to_owned(), what);
            return Err(findings);
        }
    };
    let version = findings.required("", "version", form.version).map_or(0, |number| {
        let version = number.exact();
        match version {
            None => findings.add("version".to_owned(), "is not a whole number"),
            Some(0) => findings.add("version".to_owned(), "is 0, but versions are above 0"),
            Some(_) => {}
        }
        version.unwrap_or(0)
    });
    let service_forms = findings.required("", "services", form.services);
    let services_readable = service_forms.is_some();
    let services = read_services(service_forms.unwrap_or_default(), &mut findings);
    let known: HashSet<&str> = services.iter().map(|service| service.name.as_str()).collect();
    let route_forms = findings.required("", "routes", form.routes).unwrap_or_default();
    let known = services_readable.then_some(&known);
    let routes = read_routes(route_forms, known, &mut findings);
    let limits = findings.optional("", "limits", form.limits).unwrap_or_default();
    let limits = read_limits(limits, &mut findings);
    if !findings.0.is_empty() {
        return Err(findings);
    }
    let table = RouteTable::new(&routes);
    Ok(OperatorConfig { version, routes, services, limits, table })
}

fn read_form(bytes: &[u8]) -> Result<ConfigForm, String> {
    let text = std::str::from_utf8(bytes).map_err(|error| format!("is not UTF-8: {error}"))?;
    // Straight from the provider: a `Figment` of one provider would copy the document several times.
    let profiles = Json::string(text).data().map_err(|error| format!("cannot be read: {}", error.kind))?;
    let document = profiles.into_values().next().map(Value::from).unwrap_or_else(|| Value::from(Dict::new()));
    document.deserialize().map_err(|error| format!("cannot be read: {}", error.kind))
}

fn read_services(forms: Vec<Field<ServiceForm>>, findings: &mut Findings) -> Vec<Service> {
    let mut services = Vec::with_capacity(forms.len());
    let mut places: HashMap<String, usize> = HashMap::new();
    for (index, form) in forms.into_iter().enumerate() {
        let base = format!("services[{index}]");
        let Some(form) = findings.required("", &base, form) else { continue };
        let service = read_service(&base, form, findings);
        let Some(service) = service else { continue };
        if let Some(other) = places.insert(service.name.clone(), index) {
            findings.add(field_path(&base, "name"), format!("{:?} is also services[{other}]", service.name));
        }
        services.push(service);
    }
    services
}

fn read_service(base: &str, form: ServiceForm, findings: &mut Findings) -> Option<Service> {
    let name = findings.required(base, "name", form.name);
    let health_check_path = findings.optional(base, "health_check_path", form.health_check_path);
    let max_connections = findings.optional(base, "max_connections", form.max_connections);
    let engine = findings.optional(base, "engine", form.engine);
    let engine = engine.map(|engine| read_engine(&field_path(base, "engine"), engine, findings));
    Some(Service {
        name: name?,
        health_check_path: health_check_path.unwrap_or_else(|| DEFAULT_HEALTH_CHECK_PATH.to_owned()),
        max_connections: max_connections.map_or(DEFAULT_MAX_CONNECTIONS, Number::rounded_up_u32),
        engine,
    })
}

fn read_engine(base: &str, form: EngineForm, findings: &mut Findings) -> Engine {
    let mut figure = |name, field, default| {
        findings.optional(base, name, field).map_or(default, |number: Number| number.rounded_up())
    };
    let narrow = |figure| u32::try_from(figure).unwrap_or(u32::MAX);
    Engine {
        capacity_slots: narrow(figure("capacity_slots", form.capacity_slots, 1)),
        kv_cache_tokens: figure("kv_cache_tokens", form.kv_cache_tokens, 0),
        tokens_per_event: narrow(figure("tokens_per_event", form.tokens_per_event, 1)),
    }
}

fn read_limits(form: LimitsForm, findings: &mut Findings) -> Limits {
    let mut figure = |name, field, default| {
        findings.optional("limits", name, field).map_or(default, |number: Number| number.rounded_up())
    };
    let default = Limits::default();
    Limits {
        max_header_bytes: figure("max_header_bytes", form.max_header_bytes, default.max_header_bytes),
        max_body_bytes: figure("max_body_bytes", form.max_body_bytes, default.max_body_bytes),
        header_timeout_ms: figure("header_timeout_ms", form.header_timeout_ms, default.header_timeout_ms),
        idle_timeout_ms: figure("idle_timeout_ms", form.idle_timeout_ms, default.idle_timeout_ms),
    }
}

fn read_routes(
    forms: Vec<Field<RouteForm>>,
    known: Option<&HashSet<&str>>,
    findings: &mut Findings,
) -> Vec<Route> {
    let mut routes = Vec::with_capacity(forms.len());
    let mut places: HashMap<(String, String), usize> = HashMap::new();
    for (index, form) in forms.into_iter().enumerate() {
        let base = format!("routes[{index}]");
        let Some(form) = findings.required("", &base, form) else { continue };
        let Some(route) = read_route(&base, form, known, findings) else { continue };
        let place = (normal_host(&route.hostname).into_owned(), route.path_prefix.clone());
        if let Some(other) = places.insert(place, index) {
            let what = format!("{}{} is also that of routes[{other}]", route.hostname, route.path_prefix);
            findings.add(field_path(&base, "path_prefix"), what);
        }
        routes.push(route);
    }
    routes
}

fn read_route(
    base: &str,
    form: RouteForm,
    known: Option<&HashSet<&str>>,
    findings: &mut Findings,
) -> Option<Route> {
    let name = findings.optional(base, "name", form.name).unwrap_or_default();
    let hostname = findings.required(base, "hostname", form.hostname);
    let path_prefix = findings.required(base, "path_prefix", form.path_prefix);
    if let Some(prefix) = &path_prefix {
        check_path_prefix(base, prefix, findings);
    }
    let route_type = findings.optional(base, "route_type", form.route_type);
    let kind = match route_type.as_deref() {
        Some("idempotent") => RouteKind::Idempotent,
        Some("non_idempotent") | None => RouteKind::NonIdempotent,
        Some("streaming") => RouteKind::Streaming,
        Some(other) => {
            findings.add(field_path(base, "route_type"), format!("{other:?} is not known"));
            RouteKind::NonIdempotent
        }
    };
    let timeout_ms = findings.required(base, "timeout_ms", form.timeout_ms).map(Number::rounded_up);
    if timeout_ms == Some(0) {
        findings.add(field_path(base, "timeout_ms"), "is 0");
    }
    let timeout_ms = timeout_ms.unwrap_or(0);
    let split = read_split(base, form.service, form.traffic_split, known, findings);
    let mut figure =
        |name, field| findings.optional(base, name, field).map(|number: Number| number.rounded_up());
    let target_latency_ms = figure("target_latency_ms", form.target_latency_ms).unwrap_or(timeout_ms);
    let priority = figure("priority", form.priority).unwrap_or(0);
    let max_attempts = figure("max_attempts", form.max_attempts).unwrap_or(1).max(1);
    let gap_aim_ms = figure("gap_aim_ms", form.gap_aim_ms);
    let retention = findings.optional(base, "retention_s", form.retention_s);
    let mut flag = |name, field| findings.optional(base, name, field).unwrap_or(false);
    let retained = flag("retained", form.retained);
    let default_retention_ms = if retained { DEFAULT_RETENTION_MS } else { 0 };
    Some(Route {
        name,
        hostname: hostname?,
        path_prefix: path_prefix?,
        kind,
        timeout_ms,
        target_latency_ms,
        priority: u8::try_from(priority).unwrap_or(u8::MAX),
        split,
        max_attempts: u32::try_from(max_attempts).unwrap_or(u32::MAX),
        retained,
        retention_ms: retention
            .map_or(default_retention_ms, |seconds| (seconds.as_f64() * 1000.0).ceil() as u64),
        session_affinity: flag("session_affinity", form.session_affinity),
        resumable: flag("resumable", form.resumable),
        max_event_gap_ms: gap_aim_ms,
    })
}

fn check_path_prefix(base: &str, prefix: &str, findings: &mut Findings) {
    if !(prefix.starts_with('/') && prefix.ends_with('/')) {
        findings
            .add(field_path(base, "path_prefix"), format!("{prefix:?} does not start and end with a slash"));
    }
    if let Some(end) = prefix.chars().find(|character| PATH_ENDS.contains(character)) {
        let what = format!("{prefix:?} contains {end:?}, at which the path of a request ends");
        findings.add(field_path(base, "path_prefix"), what);
    }
}

/// The shares of a route: those of `traffic_split`, or all for `service`.
fn read_split(
    base: &str,
    service: Field<String>,
    traffic_split: Field<Vec<Field<ShareForm>>>,
    known: Option<&HashSet<&str>>,
    findings: &mut Findings,
) -> Vec<WeightedService> {
    let before = findings.0.len();
    let check = |place: String, service: &str, findings: &mut Findings| {
        if known.is_some_and(|known| !known.contains(service)) {
            findings.add(place, format!("{service:?} is not among the services"));
        }
    };
    let service = findings.optional(base, "service", service);
    if let Some(service) = &service {
        check(field_path(base, "service"), service, findings);
    }
    let shares = findings.optional(base, "traffic_split", traffic_split).unwrap_or_default();
    let mut weighted: Vec<(String, Number)> = Vec::with_capacity(shares.len());
    for (index, share) in shares.into_iter().enumerate() {
        let place = format!("{base}.traffic_split[{index}]");
        let Some(share) = findings.required("", &place, share) else { continue };
        let service = findings.required(&place, "service", share.service);
        let weight = findings.optional(&place, "weight", share.weight).unwrap_or(Number::Integer(0));
        let Some(service) = service else { continue };
        check(field_path(&place, "service"), &service, findings);
        weighted.push((service, weight));
    }
    if let (true, Some(service)) = (weighted.is_empty(), service) {
        weighted.push((service, Number::Integer(1)));
    }
    // Wrong fields may hide weights: their findings stand alone.
    if findings.0.len() == before {
        if weighted.is_empty() {
            findings.add(base.to_owned(), "names no service");
        } else if weighted.iter().all(|(_, weight)| weight.as_f64() == 0.0) {
            findings.add(field_path(base, "traffic_split"), "its weights sum to 0");
        }
    }
    whole_weights(weighted)
}

/// Whole numbers of 32 bits in the ratio of these weights; a weight above 0 stays above 0.
fn whole_weights(weighted: Vec<(String, Number)>) -> Vec<WeightedService> {
    let narrow = |weight: Number| weight.exact().and_then(|weight| u32::try_from(weight).ok());
    let exact = weighted.iter().all(|(_, weight)| narrow(*weight).is_some());
    let largest = weighted.iter().map(|(_, weight)| weight.as_f64()).fold(0.0, f64::max);
    weighted
        .into_iter()
        .map(|(service, weight)| {
            let scaled = || (weight.as_f64() / largest * SCALED_WEIGHT).ceil() as u32;
            let weight = if exact { narrow(weight).unwrap_or(0) } else { scaled() };
            WeightedService { service, weight }
        })
        .collect()
}
