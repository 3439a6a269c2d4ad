//! Parsing and validation of settings.

use crate::findings::Findings;
use crate::form::{BoundForm, CloudApiForm, FaultToleranceForm, LimitsForm, SettingsForm};
use crate::{BoundValue, Bounds, CloudApi, FaultTolerance, Finding, Limits, Settings};
use config_fields::{CollectFindings, Field, Number, field_path};
use figment::Figment;
use figment::providers::{Format, Yaml};
use std::collections::BTreeMap;
use std::path::PathBuf;

/// Number of ports that [`Settings`] assigns a purpose.
const REQUIRED_PORTS: u16 = 4;
/// Maximum length of the text in bytes: parsing time grows with the square of the nesting depth.
const MAX_SETTINGS_BYTES: usize = 64 << 10;

pub(crate) fn read(text: &str) -> Result<Settings, Vec<Finding>> {
    let mut findings = Findings::default();
    if text.len() > MAX_SETTINGS_BYTES {
        let problem = format!("cannot be read: {} bytes are too many", text.len());
        return Err(vec![Finding { field: String::new(), problem }]);
    }
    let unreadable = |error: figment::Error| {
        vec![Finding { field: String::new(), problem: format!("cannot be read: {}", error.kind) }]
    };
    let document = Figment::from(Yaml::string(text)).find_value("").map_err(unreadable)?;
    let settings = check(document.deserialize().map_err(unreadable)?, &mut findings);
    settings.filter(|_| findings.0.is_empty()).ok_or(findings.0)
}

/// Validates the form; returns `None` if a required field is missing or invalid.
fn check(form: SettingsForm, findings: &mut Findings) -> Option<Settings> {
    let node_name = findings.required("", "node_name", form.node_name);
    let ip_address = findings.required("", "ip_address", form.ip_address);
    let zone = findings.required("", "zone", form.zone);
    let internal_port_range = findings.required("", "internal_port_range", form.internal_port_range);
    check_port_range(internal_port_range, findings);
    let zones = check_zones(form.zones, findings);
    let mut text =
        |name, field, default: &str| findings.optional("", name, field).unwrap_or_else(|| default.to_owned());
    let role = text("role", form.role, "");
    let machine_class = text("machine_class", form.machine_class, "");
    let region = text("region", form.region, "");
    let discovery = text("discovery", form.discovery, "cloud_api");
    let entry_mode = text("entry_mode", form.entry_mode, "virtual_ip");
    let serves = findings.list("", "serves", form.serves);
    let listen_addresses = findings.optional("", "listen_addresses", form.listen_addresses);
    let listen_addresses = listen_addresses.unwrap_or_default().checked(findings);
    let seed_nodes = findings.list("", "seed_nodes", form.seed_nodes);
    let first_start = findings.optional("", "first_start", form.first_start).unwrap_or(false);
    let counted_loss = findings.optional("", "counted_loss", form.counted_loss).unwrap_or(false);
    let limits = findings.optional("", "limits", form.limits).unwrap_or_default();
    let limits = check_limits(limits, findings);
    let data_directory = findings.optional("", "data_directory", form.data_directory);
    let heartbeat = findings.optional("", "heartbeat_interval_ms", form.heartbeat_interval_ms);
    let contracts = findings.list("", "contracts", form.contracts);
    let fault_tolerance = findings.optional("", "fault_tolerance", form.fault_tolerance).unwrap_or_default();
    let fault_tolerance = check_fault_tolerance(fault_tolerance, findings);
    let bounds = check_bounds(findings.optional("", "bounds", form.bounds).unwrap_or_default(), findings);
    let cloud_api = findings.optional("", "cloud_api", form.cloud_api);
    let cloud_api = cloud_api.and_then(|cloud_api| check_cloud_api(cloud_api, findings));
    Some(Settings {
        node_name: node_name?,
        role,
        machine_class,
        serves,
        ip_address: ip_address?,
        region: if region.is_empty() {
            zones.get(zone.as_ref()?).cloned().unwrap_or_default()
        } else {
            region
        },
        zone: zone?,
        zones,
        listen_addresses,
        internal_port_range: internal_port_range?.into(),
        seed_nodes,
        first_start,
        counted_loss,
        limits,
        data_directory: data_directory.map(PathBuf::from),
        discovery,
        entry_mode,
        heartbeat_interval_ms: heartbeat.map_or(1_000, Number::rounded_up),
        contracts,
        fault_tolerance,
        bounds,
        cloud_api,
    })
}

fn check_port_range(internal_port_range: Option<(u16, u16)>, findings: &mut Findings) {
    if let Some((first, last)) = internal_port_range
        && (last < first || last - first < REQUIRED_PORTS - 1)
    {
        let problem = format!("{first} to {last} are not {REQUIRED_PORTS} ports");
        findings.add("internal_port_range".to_owned(), problem);
    }
}

fn check_zones(
    zones: Field<BTreeMap<String, Field<String>>>,
    findings: &mut Findings,
) -> BTreeMap<String, String> {
    let zones = findings.optional("", "zones", zones).unwrap_or_default();
    zones
        .into_iter()
        .filter_map(|(zone, region)| Some((zone.clone(), findings.required("zones", &zone, region)?)))
        .collect()
}

fn check_limits(form: LimitsForm, findings: &mut Findings) -> Limits {
    let mut value = |name, field: Field<Number>, default| {
        findings.optional("limits", name, field).map_or(default, Number::as_f64)
    };
    let default = Limits::default();
    Limits {
        cpu_share: value("cpu_share", form.cpu_share, default.cpu_share),
        cpu_cores: value("cpu_cores", form.cpu_cores, default.cpu_cores),
        memory_mb: value("memory_mb", form.memory_mb, default.memory_mb),
        link_mbps: value("link_mbps", form.link_mbps, default.link_mbps),
        disk_mb: value("disk_mb", form.disk_mb, default.disk_mb),
        max_file_descriptors: findings
            .optional("limits", "max_file_descriptors", form.max_file_descriptors)
            .map_or(default.max_file_descriptors, Number::rounded_up),
    }
}

fn check_fault_tolerance(form: FaultToleranceForm, findings: &mut Findings) -> FaultTolerance {
    let mut count = |name, field| findings.optional("fault_tolerance", name, field).unwrap_or(0);
    FaultTolerance {
        machines: count("machines", form.machines),
        zones: count("zones", form.zones),
        regions: count("regions", form.regions),
    }
}

fn check_cloud_api(form: CloudApiForm, findings: &mut Findings) -> Option<CloudApi> {
    let base = "cloud_api";
    let address = findings.required(base, "address", form.address);
    let rate_per_s = findings.optional(base, "rate_per_s", form.rate_per_s);
    let singleton_roles = findings.list(base, "duties", form.singleton_roles);
    let max_lag_ms = findings.optional(base, "max_lag_ms", form.max_lag_ms);
    Some(CloudApi {
        address: address?,
        rate_per_s: rate_per_s.map_or(10.0, Number::as_f64),
        singleton_roles,
        max_lag_ms: max_lag_ms.map_or(1_000.0, Number::as_f64),
    })
}

fn check_bounds(mut form: BTreeMap<String, BoundForm>, findings: &mut Findings) -> Bounds {
    let mut bounds = Bounds::default();
    let mut value = |name: &str| match form.remove(name)? {
        BoundForm::Value(value) if value.as_f64() >= 0.0 => Some(value.as_f64()),
        BoundForm::Value(value) => {
            findings.add(field_path("bounds", name), format!("{} is below 0", value.as_f64()));
            None
        }
        BoundForm::Other(_) => {
            findings.add(field_path("bounds", name), "is no figure");
            None
        }
    };
    macro_rules! assign_bounds {
        (seconds: $($seconds:ident),*; milliseconds: $($milliseconds:ident),*) => {
            $(if let Some(value) = value(stringify!($seconds)) { bounds.$seconds = value; })*
            $(if let Some(value) = value(stringify!($milliseconds)) { bounds.$milliseconds = value.ceil() as u64; })*
        };
    }
    assign_bounds!(seconds: seed_lag_s, address_reuse_s, catch_up_s, grace_period_s, recovery_s, again_s, finish_s,
        history_s;
        milliseconds: contact_ms, ack_ms, drain_ms, loss_slack_ms, config_apply_ms, rollback_slack_ms, max_stretch_ms,
        pass_ms, settle_ms);
    bounds.others = form
        .into_iter()
        .filter_map(|(name, bound)| match bound {
            BoundForm::Value(value) => Some((name, value)),
            BoundForm::Other(_) => None,
        })
        .collect();
    bounds
}

impl BoundValue {
    /// The value as a number; `true` is 1 and `false` is 0.
    pub fn as_f64(self) -> f64 {
        match self {
            Self::Flag(on) => f64::from(u8::from(on)),
            Self::Integer(number) => number as f64,
            Self::Float(number) => number,
        }
    }
}
