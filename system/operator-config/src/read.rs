//! Parsing and validation of configurations.

use crate::form::{ConfigForm, EngineForm, LimitsForm, RouteForm, ServiceForm, WeightedServiceForm};
use crate::table::{RouteTable, normal_host};
use crate::{Engine, Findings, Limits, OperatorConfig, Route, RouteKind, Service, WeightedService};
use config_fields::{CollectFindings, Field, Number, field_path};
use figment::Provider;
use figment::providers::{Format, Json};
use figment::value::{Dict, Value};
use std::collections::{HashMap, HashSet};

/// Path of findings about the document itself.
const DOCUMENT_PATH: &str = "document";
const DEFAULT_HEALTH_CHECK_PATH: &str = "/health";
const DEFAULT_MAX_CONNECTIONS: u32 = 64;
const DEFAULT_RETENTION_MS: u64 = 60_000;
/// Characters that end the path of a request: query and fragment are not used for routing.
const PATH_TERMINATORS: [char; 2] = ['?', '#'];
/// Maximum weight to which a split is scaled if its weights are fractions or too large.
const MAX_SCALED_WEIGHT: f64 = 1_000_000.0;

pub(crate) fn read(bytes: &[u8]) -> Result<OperatorConfig, Findings> {
    let mut findings = Findings::default();
    let form = match read_form(bytes) {
        Ok(form) => form,
        Err(problem) => {
            findings.add(DOCUMENT_PATH.to_owned(), problem);
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
    let known_services: HashSet<&str> = services.iter().map(|service| service.name.as_str()).collect();
    let route_forms = findings.required("", "routes", form.routes).unwrap_or_default();
    let known_services = services_readable.then_some(&known_services);
    let routes = read_routes(route_forms, known_services, &mut findings);
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
    // Directly from the provider: a `Figment` of one provider would copy the document several times.
    let profiles = Json::string(text).data().map_err(|error| format!("cannot be read: {}", error.kind))?;
    let document = profiles.into_values().next().map(Value::from).unwrap_or_else(|| Value::from(Dict::new()));
    document.deserialize().map_err(|error| format!("cannot be read: {}", error.kind))
}

fn read_services(forms: Vec<Field<ServiceForm>>, findings: &mut Findings) -> Vec<Service> {
    let mut services = Vec::with_capacity(forms.len());
    let mut first_indexes: HashMap<String, usize> = HashMap::new();
    for (index, form) in forms.into_iter().enumerate() {
        let base = format!("services[{index}]");
        let Some(form) = findings.required("", &base, form) else { continue };
        let service = read_service(&base, form, findings);
        let Some(service) = service else { continue };
        if let Some(other) = first_indexes.insert(service.name.clone(), index) {
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
    let mut integer = |name, field, default| {
        findings.optional(base, name, field).map_or(default, |number: Number| number.rounded_up())
    };
    let saturating_u32 = |integer| u32::try_from(integer).unwrap_or(u32::MAX);
    Engine {
        capacity_slots: saturating_u32(integer("capacity_slots", form.capacity_slots, 1)),
        kv_cache_tokens: integer("kv_cache_tokens", form.kv_cache_tokens, 0),
        tokens_per_event: saturating_u32(integer("tokens_per_event", form.tokens_per_event, 1)),
    }
}

fn read_limits(form: LimitsForm, findings: &mut Findings) -> Limits {
    let mut integer = |name, field, default| {
        findings.optional("limits", name, field).map_or(default, |number: Number| number.rounded_up())
    };
    let default = Limits::default();
    Limits {
        max_header_bytes: integer("max_header_bytes", form.max_header_bytes, default.max_header_bytes),
        max_body_bytes: integer("max_body_bytes", form.max_body_bytes, default.max_body_bytes),
        header_timeout_ms: integer("header_timeout_ms", form.header_timeout_ms, default.header_timeout_ms),
        idle_timeout_ms: integer("idle_timeout_ms", form.idle_timeout_ms, default.idle_timeout_ms),
    }
}

fn read_routes(
    forms: Vec<Field<RouteForm>>,
    known_services: Option<&HashSet<&str>>,
    findings: &mut Findings,
) -> Vec<Route> {
    let mut routes = Vec::with_capacity(forms.len());
    let mut first_indexes: HashMap<(String, String), usize> = HashMap::new();
    for (index, form) in forms.into_iter().enumerate() {
        let base = format!("routes[{index}]");
        let Some(form) = findings.required("", &base, form) else { continue };
        let Some(route) = read_route(&base, form, known_services, findings) else { continue };
        let host_and_prefix = (normal_host(&route.hostname).into_owned(), route.path_prefix.clone());
        if let Some(other) = first_indexes.insert(host_and_prefix, index) {
            let problem = format!("{}{} is also that of routes[{other}]", route.hostname, route.path_prefix);
            findings.add(field_path(&base, "path_prefix"), problem);
        }
        routes.push(route);
    }
    routes
}

fn read_route(
    base: &str,
    form: RouteForm,
    known_services: Option<&HashSet<&str>>,
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
    let split = read_split(base, form.service, form.traffic_split, known_services, findings);
    let mut integer =
        |name, field| findings.optional(base, name, field).map(|number: Number| number.rounded_up());
    let target_latency_ms = integer("target_latency_ms", form.target_latency_ms).unwrap_or(timeout_ms);
    let priority = integer("priority", form.priority).unwrap_or(0);
    let max_attempts = integer("max_attempts", form.max_attempts).unwrap_or(1).max(1);
    let max_event_gap_ms = integer("gap_aim_ms", form.max_event_gap_ms);
    let retention = findings.optional(base, "retention_s", form.retention_s);
    let mut boolean = |name, field| findings.optional(base, name, field).unwrap_or(false);
    let retained = boolean("retained", form.retained);
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
        session_affinity: boolean("session_affinity", form.session_affinity),
        resumable: boolean("resumable", form.resumable),
        max_event_gap_ms,
    })
}

fn check_path_prefix(base: &str, prefix: &str, findings: &mut Findings) {
    if !(prefix.starts_with('/') && prefix.ends_with('/')) {
        findings
            .add(field_path(base, "path_prefix"), format!("{prefix:?} does not start and end with a slash"));
    }
    if let Some(end) = prefix.chars().find(|character| PATH_TERMINATORS.contains(character)) {
        let problem = format!("{prefix:?} contains {end:?}, at which the path of a request ends");
        findings.add(field_path(base, "path_prefix"), problem);
    }
}

/// The weighted services of a route: those of `traffic_split`, or `service` alone.
fn read_split(
    base: &str,
    service: Field<String>,
    traffic_split: Field<Vec<Field<WeightedServiceForm>>>,
    known_services: Option<&HashSet<&str>>,
    findings: &mut Findings,
) -> Vec<WeightedService> {
    let before = findings.0.len();
    let check = |path: String, service: &str, findings: &mut Findings| {
        if known_services.is_some_and(|known_services| !known_services.contains(service)) {
            findings.add(path, format!("{service:?} is not among the services"));
        }
    };
    let service = findings.optional(base, "service", service);
    if let Some(service) = &service {
        check(field_path(base, "service"), service, findings);
    }
    let shares = findings.optional(base, "traffic_split", traffic_split).unwrap_or_default();
    let mut weighted: Vec<(String, Number)> = Vec::with_capacity(shares.len());
    for (index, share) in shares.into_iter().enumerate() {
        let path = format!("{base}.traffic_split[{index}]");
        let Some(share) = findings.required("", &path, share) else { continue };
        let service = findings.required(&path, "service", share.service);
        let weight = findings.optional(&path, "weight", share.weight).unwrap_or(Number::Integer(0));
        let Some(service) = service else { continue };
        check(field_path(&path, "service"), &service, findings);
        weighted.push((service, weight));
    }
    if let (true, Some(service)) = (weighted.is_empty(), service) {
        weighted.push((service, Number::Integer(1)));
    }
    // Invalid fields may hide weights, so that these checks apply only without other findings.
    if findings.0.len() == before {
        if weighted.is_empty() {
            findings.add(base.to_owned(), "names no service");
        } else if weighted.iter().all(|(_, weight)| weight.as_f64() == 0.0) {
            findings.add(field_path(base, "traffic_split"), "its weights sum to 0");
        }
    }
    integer_weights(weighted)
}

/// Converts weights to 32-bit integers in the same ratio; a weight above 0 stays above 0.
fn integer_weights(weighted: Vec<(String, Number)>) -> Vec<WeightedService> {
    let exact_u32 = |weight: Number| weight.exact().and_then(|weight| u32::try_from(weight).ok());
    let exact = weighted.iter().all(|(_, weight)| exact_u32(*weight).is_some());
    let largest = weighted.iter().map(|(_, weight)| weight.as_f64()).fold(0.0, f64::max);
    weighted
        .into_iter()
        .map(|(service, weight)| {
            let scaled = || (weight.as_f64() / largest * MAX_SCALED_WEIGHT).ceil() as u32;
            let weight = if exact { exact_u32(weight).unwrap_or(0) } else { scaled() };
            WeightedService { service, weight }
        })
        .collect()
}
