//! The simulated senders of one process, and the translation between the simulator's protocol and the policy's events
//! and actions. Each sender assigns its own endpoint ids.
use crate::wire::{self, ListKind, ListingStatus, Status};
use message_sender::profile::{Names, Profile, look};
use message_sender::*;
use std::collections::HashMap;

/// The simulated senders by number, and the endpoint list pages that all of them refer to.
#[derive(Default)]
pub struct Instances {
    instances: HashMap<u64, Instance>,
    pages: HashMap<u64, Vec<wire::ListEntry>>,
}

struct Instance {
    sender: Sender,
    classes: Vec<Class>,
    settings_ids: Names,
    endpoint_ids: HashMap<String, EndpointId>,
    /// Indexed by [`EndpointId`].
    endpoint_names: Vec<String>,
    /// Index of the remaining share of the rate limit in a load report.
    left_index: Option<usize>,
    /// Index of the rate limit in a load report.
    limit_index: Option<usize>,
}

fn outcome(status: Status, detail: Option<f64>) -> Outcome {
    match status {
        Status::Success => Outcome::Success,
        Status::Failure => Outcome::Failure,
        Status::Overloaded => {
            let delay_ms = detail.filter(|ms| *ms > 0.0);
            Outcome::Full(delay_ms.map(|ms| Span((ms * 1000.0).ceil() as u64)))
        }
        Status::TimedOut => Outcome::TimedOut,
        Status::Unreachable => Outcome::ConnectFailed,
        Status::Reset => Outcome::Reset,
        Status::Cancelled => Outcome::Cancelled,
        Status::Void => Outcome::Void,
    }
}

impl Instance {
    fn new(seed: u64, profile: &Profile) -> Result<Self, String> {
        let settings_ids = profile.names();
        let settings = profile.settings(&settings_ids)?;
        Ok(Self {
            classes: settings.classes.clone(),
            sender: Sender::new(settings, seed).map_err(|e| e.to_string())?,
            settings_ids,
            endpoint_ids: HashMap::new(),
            endpoint_names: Vec::new(),
            left_index: profile.report_field("x0"),
            limit_index: profile.report_field("x1"),
        })
    }

    fn list_entries(&mut self, page: &[wire::ListEntry]) -> Result<Vec<Entry>, String> {
        let mut list = Vec::with_capacity(page.len());
        for entry in page {
            let endpoint = match self.endpoint_ids.get(&entry.endpoint) {
                Some(id) => *id,
                None => {
                    let id = EndpointId(self.endpoint_names.len() as u32);
                    self.endpoint_names.push(entry.endpoint.clone());
                    self.endpoint_ids.insert(entry.endpoint.clone(), id);
                    id
                }
            };
            list.push(Entry {
                endpoint,
                destination: DestinationId(entry.destination),
                kind: look(&self.settings_ids.kinds, &entry.kind, "kind")?,
                zone: look(&self.settings_ids.zones, &entry.zone, "zone")?,
                listing: match entry.status {
                    ListingStatus::Active => Listing::Active,
                    ListingStatus::Draining => Listing::Draining,
                    ListingStatus::Removed => Listing::Removed,
                },
                hint: entry.capacity_hint.unwrap_or(0.0),
            });
        }
        Ok(list)
    }

    /// The policy's event for an event of the simulator, or `None` if the policy has no use for it.
    fn policy_event(
        &mut self,
        event: wire::Event,
        pages: &HashMap<u64, Vec<wire::ListEntry>>,
    ) -> Result<Option<Event>, String> {
        Ok(Some(match event {
            wire::Event::EndpointList { kind: ListKind::Failed, .. } => Event::ListFailed,
            wire::Event::EndpointList { kind, page } => {
                let page = page.ok_or("discovery without a page")?;
                let entries = pages.get(&page).ok_or_else(|| format!("unknown catalog page {page}"))?;
                let list = self.list_entries(entries)?;
                match kind {
                    ListKind::Changes => Event::ListChanges(list),
                    _ => Event::FullList(list),
                }
            }
            wire::Event::Message { id, tenant, key, class, time_budget, destination } => {
                let class = self.classes[look(&self.settings_ids.classes, &class, "class")?.0];
                let tenant = match tenant {
                    Some(wire::TenantName::Text(name)) => {
                        Some(look(&self.settings_ids.tenants, &name, "tenant")?)
                    }
                    Some(wire::TenantName::Number(0)) | None => None,
                    Some(wire::TenantName::Number(n)) => return Err(format!("unknown tenant {n}")),
                };
                let key = match key.filter(|_| class.ordered) {
                    Some(text) => {
                        let key = u64::from_str_radix(&text, 16)
                            .map_err(|_| format!("ordering key {text:?} is not hexadecimal"))?;
                        Some(OrderKey(key))
                    }
                    None => None,
                };
                Event::Message(Message {
                    id: MessageId(id),
                    class,
                    tenant,
                    key,
                    destination: DestinationId(destination),
                    budget: Span(time_budget),
                })
            }
            wire::Event::AttemptCompleted { id, attempt, result, elapsed, last, detail, load_report } => {
                let field = |index: Option<usize>| index.and_then(|i| load_report.as_ref()?.get(i)).copied();
                let report = match (field(self.left_index), field(self.limit_index)) {
                    (None, None) => None,
                    (left, limit) => Some(Report { left: left.unwrap_or(1.0), limit: limit.unwrap_or(0.0) }),
                };
                Event::AttemptCompleted {
                    message: MessageId(id),
                    attempt,
                    outcome: outcome(result, detail),
                    elapsed: Span(elapsed),
                    last,
                    report,
                }
            }
            wire::Event::ClientCancelled { id } => Event::ClientCancelled(MessageId(id)),
            wire::Event::TimerFired {} => Event::TimerFired,
            wire::Event::HealthCheckCompleted { endpoint, result } => Event::HealthCheckCompleted {
                endpoint: look(&self.endpoint_ids, &endpoint, "endpoint")?,
                outcome: outcome(result, None),
            },
            _ => return Ok(None),
        }))
    }

    /// The simulator's action for an action of the policy, or `None` if the simulator has no use for it.
    fn wire_action(&self, action: Action) -> Option<wire::Action> {
        let name = |endpoint: EndpointId| self.endpoint_names[endpoint.0 as usize].clone();
        Some(match action {
            Action::Send { message, endpoint, expires } => {
                wire::Action::Send { id: message.0, endpoint: name(endpoint), expires: expires.0 }
            }
            Action::Cancel { message, attempt } => wire::Action::Cancel { id: message.0, attempt },
            Action::Refuse { message, .. } => wire::Action::Refuse { id: message.0 },
            Action::Fail(message) => wire::Action::Fail { id: message.0 },
            Action::WakeIn(delay) => wire::Action::SetTimer { delay: delay.0, label: "wake" },
            Action::Subscribe => wire::Action::Subscribe { enabled: true },
            Action::FetchList => wire::Action::FetchList {},
            Action::Probe(endpoint) => wire::Action::Probe { endpoint: name(endpoint) },
            Action::CloseIdle(endpoint) => wire::Action::CloseIdle { endpoint: name(endpoint) },
            Action::Log(text) => wire::Action::Log { text },
            // Ids are never released here, as a simulated day is short enough to keep all of them.
            Action::Forget(_) => return None,
        })
    }
}

impl Instances {
    /// Processes one batch: each running sender in it performs one step.
    pub fn process(&mut self, batch: wire::Batch) -> Result<wire::Reply, String> {
        let mut senders = Vec::new();
        for group in batch.groups {
            let mut events = Vec::new();
            for (index, event) in group.events.into_iter().enumerate() {
                let add_location = |e: String| format!("sender {}, input {index}: {e}", group.sender);
                match event {
                    wire::Event::ListPage { page, entries } => {
                        self.pages.insert(page, entries);
                    }
                    wire::Event::Crash {} => {
                        self.instances.remove(&group.sender);
                        events.clear();
                    }
                    wire::Event::Start { rng_seed, profile } => {
                        let instance = Instance::new(rng_seed, &profile).map_err(add_location)?;
                        self.instances.insert(group.sender, instance);
                        events.clear();
                    }
                    other => {
                        let instance = self.instances.get_mut(&group.sender);
                        let instance = instance.ok_or_else(|| add_location("unknown instance".into()))?;
                        events.extend(instance.policy_event(other, &self.pages).map_err(add_location)?);
                    }
                }
            }
            let Some(instance) = self.instances.get_mut(&group.sender) else {
                continue;
            };
            let mut actions = Vec::new();
            instance.sender.step(Time(batch.sim_time), &events, &mut actions);
            let actions: Vec<wire::Action> =
                actions.into_iter().filter_map(|action| instance.wire_action(action)).collect();
            if !actions.is_empty() {
                senders.push(wire::SenderActions { sender: group.sender, actions });
            }
        }
        Ok(wire::Reply { serial: batch.serial, senders })
    }
}
