//! The configuration document as sent, before validation. Fields that are not named here are ignored.

use config_fields::{Field, Number};
use serde::Deserialize;

#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct ConfigForm {
    pub(crate) version: Field<Number>,
    pub(crate) routes: Field<Vec<Field<RouteForm>>>,
    pub(crate) services: Field<Vec<Field<ServiceForm>>>,
    pub(crate) limits: Field<LimitsForm>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct RouteForm {
    pub(crate) name: Field<String>,
    pub(crate) hostname: Field<String>,
    pub(crate) path_prefix: Field<String>,
    pub(crate) route_type: Field<String>,
    pub(crate) timeout_ms: Field<Number>,
    pub(crate) target_latency_ms: Field<Number>,
    pub(crate) priority: Field<Number>,
    pub(crate) service: Field<String>,
    pub(crate) traffic_split: Field<Vec<Field<WeightedServiceForm>>>,
    pub(crate) max_attempts: Field<Number>,
    pub(crate) retained: Field<bool>,
    pub(crate) retention_s: Field<Number>,
    pub(crate) session_affinity: Field<bool>,
    pub(crate) resumable: Field<bool>,
    #[serde(rename = "gap_aim_ms")]
    pub(crate) max_event_gap_ms: Field<Number>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct WeightedServiceForm {
    pub(crate) service: Field<String>,
    pub(crate) weight: Field<Number>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct ServiceForm {
    pub(crate) name: Field<String>,
    pub(crate) health_check_path: Field<String>,
    pub(crate) max_connections: Field<Number>,
    pub(crate) engine: Field<EngineForm>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct EngineForm {
    pub(crate) capacity_slots: Field<Number>,
    pub(crate) kv_cache_tokens: Field<Number>,
    pub(crate) tokens_per_event: Field<Number>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct LimitsForm {
    pub(crate) max_header_bytes: Field<Number>,
    pub(crate) max_body_bytes: Field<Number>,
    pub(crate) header_timeout_ms: Field<Number>,
    pub(crate) idle_timeout_ms: Field<Number>,
}
