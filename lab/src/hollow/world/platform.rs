//! The platform's list of endpoints, and its reading.

use super::World;
use fleet_model::{Endpoint, EndpointList, EndpointState};
use std::net::SocketAddrV4;

/// Endpoints on a page.
const PAGE_LENGTH: usize = 50;

#[derive(serde::Deserialize)]
struct Page {
    instances: Vec<Line>,
}

#[derive(serde::Deserialize)]
struct Line {
    instance_id: String,
    service: String,
    address: SocketAddrV4,
    zone: String,
    capacity_slots: u32,
    state: String,
}

impl World {
    pub(super) fn write_pages(&mut self) {
        let line = |e: &Endpoint| {
            let state = if e.state == EndpointState::Ready { "ready" } else { "draining" };
            format!(
                r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","capacity_slots":{},"state":"{state}","cold_remaining_ms":0,"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"instance_id":"{}"}}"#,
                e.service, e.address, e.zone, e.capacity_slots, e.instance_id
            )
        };
        self.pages = self
            .platform
            .chunks(PAGE_LENGTH)
            .map(|page| {
                format!(r#"{{"instances":[{}]}}"#, page.iter().map(line).collect::<Vec<_>>().join(","))
            })
            .collect();
    }

    pub(super) fn read_list(&mut self, node: usize, fence: u64) {
        let mut endpoints = Vec::new();
        for page in &self.pages {
            let bytes = page.len() as u64;
            self.nodes[node].tally.platform(bytes);
            let Ok(page) = serde_json::from_str::<Page>(page) else { continue };
            endpoints.extend(page.instances.into_iter().map(|line| Endpoint {
                instance_id: line.instance_id,
                service: line.service,
                address: line.address,
                zone: line.zone,
                capacity_slots: line.capacity_slots,
                state: if line.state == "ready" { EndpointState::Ready } else { EndpointState::Draining },
            }));
        }
        endpoints.sort();
        let known = self.nodes[node].feed.list().clone();
        if known.endpoints == endpoints && known.stamp.0 == fence {
            return;
        }
        let Some(keeper) = &mut self.nodes[node].keeper else { return };
        keeper.readings += 1;
        let stamp = (fence, keeper.readings);
        self.listed_at = self.now;
        let frames = self.nodes[node].feed.learn_list(EndpointList { stamp, endpoints });
        self.spread(node, frames);
    }
}
