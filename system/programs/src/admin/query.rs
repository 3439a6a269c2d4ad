//! The client side: addresses of processes, concurrent queries, and merged views.

use super::View;
use fleet_model::{Answer, Call};
use futures_util::StreamExt;
use futures_util::stream;
use peer_wire::PeerClient;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

/// Timeout of one query.
const QUERY_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum number of concurrent queries.
const MAX_CONCURRENT_QUERIES: usize = 32;

/// The fleet, as an operator reaches it.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Its number.
    pub number: u16,
    /// Processes to begin with.
    pub entries: Vec<SocketAddrV4>,
    /// The port of proxies for staff, relative to that of other processes.
    pub admin_port_offset: u16,
}

/// A member as one process sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObservedMember {
    /// Its name.
    pub name: String,
    /// Its address.
    pub ip: Ipv4Addr,
    /// Its zone.
    pub zone: String,
    /// `edge`, `core` or `storage`.
    pub role: String,
    /// Whether it is suspected.
    pub suspected: bool,
}

/// The members that one process sees.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObservedMembers {
    /// All of them, itself first.
    pub members: Vec<ObservedMember>,
}

/// A member as several processes see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct MemberSummary {
    /// As the first of them sees it.
    #[serde(flatten)]
    pub member: ObservedMember,
    /// Names of those that see it, suspected or not.
    pub seen_by: BTreeSet<String>,
    /// Names of those that suspect it.
    pub suspected_by: BTreeSet<String>,
    /// Names of those that were asked and do not see it.
    pub missed_by: BTreeSet<String>,
}

/// What several processes say of the members together.
pub fn places(views: &[View<ObservedMembers>]) -> Vec<MemberSummary> {
    let mut places: BTreeMap<Ipv4Addr, MemberSummary> = BTreeMap::new();
    for view in views {
        for seen in &view.body.members {
            let summary = places.entry(seen.ip).or_insert_with(|| MemberSummary {
                member: seen.clone(),
                seen_by: BTreeSet::new(),
                suspected_by: BTreeSet::new(),
                missed_by: BTreeSet::new(),
            });
            summary.seen_by.insert(view.origin.node.clone());
            if seen.suspected {
                summary.suspected_by.insert(view.origin.node.clone());
            }
        }
    }
    let mut places: Vec<MemberSummary> = places.into_values().collect();
    for summary in &mut places {
        let targets = views.iter().map(|view| &view.origin.node);
        summary.missed_by = targets.filter(|node| !summary.seen_by.contains(*node)).cloned().collect();
        summary.member.suspected = !summary.suspected_by.is_empty();
    }
    places.sort_by(|a, b| (&a.member.role, &a.member.name).cmp(&(&b.member.role, &b.member.name)));
    places
}

impl Fleet {
    /// A process's view; nothing if it does not answer, or not with a view.
    pub async fn query<T: DeserializeOwned>(&self, to: SocketAddrV4, topic: &str) -> Option<View<T>> {
        let client = PeerClient::new(to, self.number, None);
        match client.call(Call::Inspect { topic: topic.to_owned() }, QUERY_TIMEOUT).await {
            Ok(Answer::View(text)) => serde_json::from_str(&text).ok(),
            _ => None,
        }
    }

    /// The views of several processes, in the order asked.
    pub async fn query_all<T: DeserializeOwned>(
        &self,
        to: &[SocketAddrV4],
        topic: &str,
    ) -> Vec<(SocketAddrV4, Option<View<T>>)> {
        let targets = to.iter().map(|to| async move { (*to, self.query(*to, topic).await) });
        stream::iter(targets).buffered(MAX_CONCURRENT_QUERIES).collect().await
    }

    /// The views of those that answer.
    pub async fn responses<T: DeserializeOwned>(&self, to: &[SocketAddrV4], topic: &str) -> Vec<View<T>> {
        self.query_all(to, topic).await.into_iter().filter_map(|(_, view)| view).collect()
    }

    /// The members, as the entries and one more machine of each other zone see them.
    pub async fn members(&self) -> Vec<View<ObservedMembers>> {
        let mut views: Vec<View<ObservedMembers>> = self.responses(&self.entries, "members").await;
        let mut zones: BTreeSet<String> = views.iter().map(|view| view.origin.zone.clone()).collect();
        let others: Vec<SocketAddrV4> = places(&views)
            .into_iter()
            .filter(|summary| zones.insert(summary.member.zone.clone()))
            .map(|summary| self.peer(summary.member.ip))
            .collect();
        views.extend(self.responses(&others, "members").await);
        views
    }

    /// Where the processes of a machine answer that take part in the membership.
    pub fn peer(&self, ip: Ipv4Addr) -> SocketAddrV4 {
        let port = self.entries.first().map_or(0, SocketAddrV4::port);
        SocketAddrV4::new(ip, port)
    }

    /// Where the proxy of a machine answers.
    pub fn proxy(&self, ip: Ipv4Addr) -> SocketAddrV4 {
        let peer = self.peer(ip);
        SocketAddrV4::new(ip, peer.port().saturating_add(self.admin_port_offset))
    }
}
