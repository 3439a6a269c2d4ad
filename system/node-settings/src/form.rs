//! The settings file as written, before validation. Fields that are not named here are ignored.

use crate::findings::Findings;
use crate::{BoundValue, ListenAddresses};
use config_fields::{CollectFindings, Field, Number};
use serde::Deserialize;
use serde::de::IgnoredAny;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct SettingsForm {
    pub(crate) node_name: Field<String>,
    pub(crate) role: Field<String>,
    pub(crate) machine_class: Field<String>,
    pub(crate) serves: Field<Vec<Field<String>>>,
    pub(crate) ip_address: Field<Ipv4Addr>,
    pub(crate) zone: Field<String>,
    pub(crate) region: Field<String>,
    pub(crate) zones: Field<BTreeMap<String, Field<String>>>,
    pub(crate) listen_addresses: Field<ListenAddressesForm>,
    pub(crate) internal_port_range: Field<(u16, u16)>,
    pub(crate) seed_nodes: Field<Vec<Field<SocketAddrV4>>>,
    pub(crate) first_start: Field<bool>,
    pub(crate) counted_loss: Field<bool>,
    pub(crate) limits: Field<LimitsForm>,
    pub(crate) data_directory: Field<String>,
    pub(crate) discovery: Field<String>,
    pub(crate) entry_mode: Field<String>,
    pub(crate) heartbeat_interval_ms: Field<Number>,
    pub(crate) contracts: Field<Vec<Field<String>>>,
    pub(crate) fault_tolerance: Field<FaultToleranceForm>,
    pub(crate) bounds: Field<BTreeMap<String, BoundForm>>,
    pub(crate) cloud_api: Field<CloudApiForm>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct ListenAddressesForm {
    pub(crate) front: Field<SocketAddrV4>,
    pub(crate) readiness: Field<SocketAddrV4>,
    pub(crate) control_plane: Field<SocketAddrV4>,
}

impl ListenAddressesForm {
    pub(crate) fn checked(self, findings: &mut Findings) -> ListenAddresses {
        let base = "listen_addresses";
        ListenAddresses {
            front: findings.optional(base, "front", self.front),
            readiness: findings.optional(base, "readiness", self.readiness),
            control_plane: findings.optional(base, "control_plane", self.control_plane),
        }
    }
}

#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct LimitsForm {
    pub(crate) cpu_share: Field<Number>,
    pub(crate) cpu_cores: Field<Number>,
    pub(crate) memory_mb: Field<Number>,
    pub(crate) max_file_descriptors: Field<Number>,
    pub(crate) link_mbps: Field<Number>,
    pub(crate) disk_mb: Field<Number>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct FaultToleranceForm {
    pub(crate) machines: Field<usize>,
    pub(crate) zones: Field<usize>,
    pub(crate) regions: Field<usize>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct CloudApiForm {
    pub(crate) address: Field<SocketAddrV4>,
    pub(crate) rate_per_s: Field<Number>,
    #[serde(rename = "duties")]
    pub(crate) singleton_roles: Field<Vec<Field<String>>>,
    pub(crate) max_lag_ms: Field<Number>,
}

/// Value of a bound; under unknown names it may have any type.
#[derive(Deserialize)]
#[serde(untagged)]
pub(crate) enum BoundForm {
    Value(BoundValue),
    Other(IgnoredAny),
}
