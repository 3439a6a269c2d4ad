//! Helpers shared by the tests of the policy: settings, list entries, events, and a host with a manual clock.
#![allow(dead_code)]
use message_sender::*;

pub const SECOND: u64 = 1_000_000;

pub const SAFE: ClassId = ClassId(0);
pub const KEYED_ALL: ClassId = ClassId(1);
pub const KEYED_ZONE: ClassId = ClassId(2);
pub const UNSAFE: ClassId = ClassId(3);
pub const ORDERED: ClassId = ClassId(4);

pub fn settings() -> Settings {
    let class = |repeat, ordered| Class {
        latency_target: Span(2 * SECOND),
        deadline: Span(16 * SECOND),
        value: 1.0,
        late_value: 0.5,
        repeat,
        ordered,
    };
    let window = Span(5 * SECOND);
    Settings {
        classes: vec![
            class(Repeat::Safe, false),
            class(Repeat::Keyed { group: Group::All, window }, false),
            class(Repeat::Keyed { group: Group::Zone, window }, false),
            class(Repeat::Unsafe, false),
            class(Repeat::Keyed { group: Group::All, window }, true),
        ],
        kinds: vec![
            Kind { independent_routes: false, batch: 1 },
            Kind { independent_routes: true, batch: 1 },
        ],
        tenants: vec![],
        over_share_value: 1.0,
        zone: ZoneId(0),
        senders: 2,
        slots: 8,
        max_pending: 100,
        max_attempts: 6,
        period: Span(5_000),
        connect_timeout: Span(SECOND),
        decay: Decay::Linear,
        discovery: Discovery::Pushed,
        hints: Hints::None,
        probes: false,
        cancel: true,
        outcomes_acknowledged: false,
        batches_expire_together: false,
        rules: Rules {
            drain_grace: Span(SECOND),
            slow_start_share: 0.2,
            slow_start: Span(10 * SECOND),
            overload_factor: 2.0,
            overload_tolerance: Span(1_500_000),
            order_settle: Span(2 * SECOND),
            must_ask_in: Span(10 * SECOND),
        },
    }
}

/// An active list entry.
pub fn entry(destination: u64, endpoint: u32, kind: usize, zone: usize) -> Entry {
    Entry {
        endpoint: EndpointId(endpoint),
        destination: DestinationId(destination),
        kind: KindId(kind),
        zone: ZoneId(zone),
        listing: Listing::Active,
        hint: 0.0,
    }
}

/// A sender with a manual clock; `step` omits timers, log lines and closed connections from the actions.
pub struct Host {
    pub sender: Sender,
    pub now: u64,
}

impl Host {
    pub fn new(settings: Settings, list: Vec<Entry>) -> Self {
        let mut host = Host { sender: Sender::new(settings, 1).unwrap(), now: 100 * SECOND };
        host.step(&[Event::FullList(list)]);
        host
    }

    pub fn step(&mut self, events: &[Event]) -> Vec<Action> {
        let mut actions = Vec::new();
        self.sender.step(Time(self.now), events, &mut actions);
        actions.retain(|action| !matches!(action, Action::WakeIn(_) | Action::Log(_) | Action::CloseIdle(_)));
        actions
    }

    pub fn submit(&mut self, id: u32, class: ClassId, destination: u64) -> Vec<Action> {
        self.step(&[message(id, class, destination, None)])
    }

    pub fn complete(&mut self, id: u32, attempt: u32, outcome: Outcome) -> Vec<Action> {
        self.step(&[completed(id, attempt, outcome)])
    }

    /// Steps every 20 ms for `duration`; returns all actions with their times.
    pub fn run(&mut self, duration: u64) -> Vec<(u64, Action)> {
        let end = self.now + duration;
        let mut timed = Vec::new();
        while self.now < end {
            self.now += 20_000;
            let now = self.now;
            timed.extend(self.step(&[Event::TimerFired]).into_iter().map(|action| (now, action)));
        }
        timed
    }
}

pub fn message(id: u32, class: ClassId, destination: u64, key: Option<u64>) -> Event {
    Event::Message(Message {
        id: MessageId(id),
        class: settings().classes[class.0],
        tenant: None,
        key: key.map(OrderKey),
        destination: DestinationId(destination),
        budget: Span(16 * SECOND),
    })
}

pub fn completed(id: u32, attempt: u32, outcome: Outcome) -> Event {
    Event::AttemptCompleted {
        message: MessageId(id),
        attempt,
        outcome,
        elapsed: Span(100_000),
        last: outcome == Outcome::Success,
        report: None,
    }
}

/// The endpoint to which `actions` first send message `id`.
pub fn sent(actions: &[Action], id: u32) -> Option<u32> {
    actions.iter().find_map(|action| match action {
        Action::Send { message, endpoint, .. } if message.0 == id => Some(endpoint.0),
        _ => None,
    })
}

/// The time and endpoint of the first send of message `id` in a run.
pub fn first_send(run: &[(u64, Action)], id: u32) -> Option<(u64, u32)> {
    run.iter()
        .find_map(|(time, action)| sent(std::slice::from_ref(action), id).map(|endpoint| (*time, endpoint)))
}

pub fn refused(run: &[(u64, Action)], id: u32) -> bool {
    run.iter().any(|(_, action)| matches!(action, Action::Refuse { message, .. } if message.0 == id))
}

pub fn failed(run: &[(u64, Action)], id: u32) -> bool {
    run.iter().any(|(_, action)| *action == Action::Fail(MessageId(id)))
}

impl Host {
    /// One step with all of its actions.
    pub fn step_unfiltered(&mut self, events: &[Event]) -> Vec<Action> {
        let mut actions = Vec::new();
        self.sender.step(Time(self.now), events, &mut actions);
        actions
    }
}
