//! Metrics of the coordination service.

use crate::admin::metrics::Metrics;
use control_node::CoordinationStatus;
use std::net::Ipv4Addr;

/// Adds the metrics of the service as the node at `me` sees it.
pub(super) fn add(metrics: &mut Metrics, me: Ipv4Addr, status: &CoordinationStatus) {
    let is_leader = status.leader.is_some_and(|leader| leader.ip == me);
    let held_locks = status.locks.iter().filter(|lock| lock.holder.is_some()).count();
    let keys: usize = status.groups.iter().map(|group| group.keys).sum();
    let retained_events: usize = status.groups.iter().map(|group| group.retained_events).sum();
    metrics.gauge("control_node_coordination_leads", f64::from(u8::from(is_leader)));
    metrics.gauge("control_node_coordination_has_leader", f64::from(u8::from(status.leader.is_some())));
    metrics.gauge("control_node_coordination_applied_slot", status.applied_slot as f64);
    metrics.gauge("control_node_coordination_members", status.members.len() as f64);
    metrics.gauge("control_node_coordination_held_locks", held_locks as f64);
    metrics.gauge("control_node_coordination_counters", status.counters.len() as f64);
    metrics.gauge("control_node_coordination_groups", status.groups.len() as f64);
    metrics.gauge("control_node_coordination_keys", keys as f64);
    metrics.gauge("control_node_coordination_retained_events", retained_events as f64);
    metrics.gauge("control_node_coordination_watchers", status.watchers as f64);
}
