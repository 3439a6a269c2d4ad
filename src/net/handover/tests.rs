use super::super::admin_endpoint::Command;
use super::super::journal::SubmittedMessage;
use super::super::relay::Answer;
use super::*;
use message_sender::*;

/// Recorded frames, one per line: a label and the bytes in hexadecimal.
fn recorded(name: &str) -> Vec<Vec<u8>> {
    let path = format!("{}/tests/recorded/{name}.txt", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).unwrap();
    let byte = |pair: &[u8]| u8::from_str_radix(str::from_utf8(pair).unwrap(), 16).unwrap();
    let bytes = |line: &str| line.split_once(' ').unwrap().1.as_bytes().chunks(2).map(byte).collect();
    text.lines().map(bytes).collect()
}

/// The frames of these messages as they are sent.
async fn sent<T: Serialize>(all: &[T]) -> Vec<Vec<u8>> {
    let mut frames = Vec::new();
    for message in all {
        let mut frame = Vec::new();
        write(&mut frame, message).await.unwrap();
        frames.push(frame);
    }
    frames
}

/// Checks that messages encode to the recorded frames, and that recorded frames decode and encode unchanged.
async fn check<T: Serialize + DeserializeOwned>(name: &str, all: &[T]) {
    let recorded = recorded(name);
    assert_eq!(sent(all).await, recorded, "{name}");
    for frame in recorded {
        let decoded: T = read(&mut frame.as_slice()).await.unwrap();
        assert_eq!(sent(&[decoded]).await, [frame], "{name}");
    }
}

fn class(repeat: Repeat) -> Class {
    Class {
        latency_target: Span(2_000_000),
        deadline: Span(16_000_000),
        value: 1.5,
        late_value: 0.25,
        repeat,
        ordered: true,
    }
}

fn settings() -> Settings {
    let window = Span(5_000_000);
    Settings {
        classes: vec![
            class(Repeat::Safe),
            class(Repeat::Unsafe),
            class(Repeat::Keyed { group: Group::All, window }),
            class(Repeat::Keyed { group: Group::Zone, window }),
        ],
        kinds: vec![
            Kind { independent_routes: false, batch: 1 },
            Kind { independent_routes: true, batch: 3 },
        ],
        tenants: vec![Tenant { allowance_per_s: 12.5 }],
        over_share_value: 0.125,
        zone: ZoneId(1),
        senders: 3,
        slots: 5,
        max_pending: 70,
        max_attempts: 6,
        period: Span(5_001),
        connect_timeout: Span(1_000_002),
        decay: Decay::Linear,
        discovery: Discovery::Pushed,
        hints: Hints::None,
        probes: false,
        cancel: true,
        outcomes_acknowledged: true,
        batches_expire_together: false,
        rules: Rules {
            drain_grace: Span(1_000_003),
            slow_start_share: 0.2,
            slow_start: Span(10_000_004),
            overload_factor: 2.5,
            overload_tolerance: Span(1_500_005),
            order_settle: Span(2_000_006),
            must_ask_in: Span(10_000_007),
        },
    }
}

fn entry(endpoint: u32, listing: Listing) -> Entry {
    Entry {
        endpoint: EndpointId(endpoint),
        destination: DestinationId(9),
        kind: KindId(1),
        zone: ZoneId(2),
        listing,
        hint: 4.0,
    }
}

fn message(id: u32, repeat: Repeat) -> Message {
    Message {
        id: MessageId(id),
        class: class(repeat),
        tenant: Some(TenantId(0)),
        key: Some(OrderKey(u64::from(id) + 100)),
        destination: DestinationId(9),
        budget: Span(15_000_000),
    }
}

fn ended(message: u32, outcome: Outcome) -> Event {
    let report = Some(Report { left: 0.5, limit: 20.0 });
    let (message, elapsed) = (MessageId(message), Span(30_000));
    Event::AttemptCompleted { message, attempt: 0, outcome, elapsed, last: false, report }
}

/// An event of every kind.
fn events() -> Vec<Event> {
    let keyed = Repeat::Keyed { group: Group::Zone, window: Span(8) };
    let resumed = Resumed {
        message: message(2, Repeat::Unsafe),
        attempts: 3,
        ran: Some((Time(70), ZoneId(1))),
        ended: true,
    };
    let mut events = vec![
        Event::Message(message(1, keyed)),
        Event::Resumed(resumed),
        Event::RetryAfterReported { endpoint: EndpointId(4), wait: Span(5) },
        Event::OutcomeAcknowledged(MessageId(6)),
        Event::ShutdownScheduled(Time(7)),
        Event::ClientCancelled(MessageId(8)),
        Event::FullList(vec![entry(1, Listing::Active), entry(2, Listing::Draining)]),
        Event::ListChanges(vec![entry(3, Listing::Removed)]),
        Event::Excluded(EndpointId(9)),
        Event::Included(EndpointId(10)),
        Event::SettingsChanged(Box::new(Settings {
            decay: Decay::Exponential,
            discovery: Discovery::OnRequest,
            hints: Hints::CallsPerSecond,
            probes: true,
            cancel: false,
            batches_expire_together: true,
            ..settings()
        })),
        Event::ListFailed,
        Event::HealthCheckCompleted { endpoint: EndpointId(11), outcome: Outcome::Success },
        Event::TimerFired,
    ];
    let outcomes = [
        Outcome::Success,
        Outcome::Failure,
        Outcome::Full(Some(Span(12))),
        Outcome::TimedOut,
        Outcome::ConnectFailed,
        Outcome::Reset,
        Outcome::Cancelled,
        Outcome::Void,
        Outcome::NoRoom,
    ];
    events.extend(outcomes.map(|outcome| ended(13, outcome)));
    events
}

/// A decision module with queued and in-flight messages, learned state, and an endpoint in an outage.
fn sender() -> Sender {
    let mut sender = Sender::new(settings(), 7).unwrap();
    let mut actions = Vec::new();
    let list = (1..=3).map(|endpoint| entry(endpoint, Listing::Active)).collect();
    let messages = (1..=6).map(|id| Event::Message(message(id, Repeat::Safe)));
    let begin: Vec<Event> = std::iter::once(Event::FullList(list)).chain(messages).collect();
    sender.step(Time(1_000_000), &begin, &mut actions);
    let out: Vec<u32> = actions
        .iter()
        .filter_map(|action| match action {
            Action::Send { message, .. } => Some(message.0),
            _ => None,
        })
        .collect();
    assert!(out.len() > 2, "{actions:?}");
    let outcomes = [Outcome::Success, Outcome::Full(Some(Span(400_000))), Outcome::ConnectFailed];
    let ends: Vec<Event> = out.into_iter().zip(outcomes).map(|(id, outcome)| ended(id, outcome)).collect();
    sender.step(Time(1_030_000), &ends, &mut actions);
    sender.step(Time(1_040_000), &[Event::ListChanges(vec![entry(2, Listing::Draining)])], &mut actions);
    sender.step(Time(1_050_000), &[Event::Excluded(EndpointId(3))], &mut actions);
    sender
}

fn state<S, P>(sender: S, pending: P) -> State<S, P> {
    let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
    State {
        sender,
        pending,
        endpoints: vec![
            (EndpointId(1), "one".to_owned(), address(81), "a".to_owned(), 2),
            (EndpointId(300), "two".to_owned(), address(82), "b".to_owned(), 0),
        ],
        next_endpoint: 301,
        numbering: vec![vec!["a".to_owned(), "b".to_owned()], vec!["kind".to_owned()], vec![]],
        revision: 70_000,
        draining: true,
        clients: 8,
    }
}

/// Guards against an incompatible change of the state without a new protocol version. The state includes what the
/// decision module has learned, so a change in its decisions changes these bytes too.
#[tokio::test]
async fn the_handed_over_state_matches_the_recorded_frames() {
    let pending = events().into_iter().zip(1_u64..).map(|(event, at)| (Time(at), event)).collect::<Vec<_>>();
    check::<Known>("handover-state", &[state(sender(), pending.clone())]).await;
    // The old process writes the same bytes from its borrowed state.
    let sender = sender();
    let given: [Given<'_>; 1] = [state(&sender, &pending[..])];
    assert_eq!(sent(&given).await, recorded("handover-state"));
}

/// Guards against the same in the messages that the two processes exchange.
#[tokio::test]
async fn the_handover_messages_match_the_recorded_frames() {
    let handed = SubmittedMessage {
        id: "id".to_owned(),
        class: "charge".to_owned(),
        tenant: Some("tenant".to_owned()),
        key: Some("key".to_owned()),
        idempotency_key: Some("once".to_owned()),
        destination: 7,
        body: "body".into(),
    };
    let orders = [
        Command::Exclude("endpoint-1".to_owned()),
        Command::Include("endpoint-2".to_owned()),
        Command::Evacuate,
        Command::Activate,
    ];
    let mut to_new = vec![
        ToNew::Yours,
        ToNew::Called {
            sent: Time(1_000),
            at: Time(2_000),
            endpoint: EndpointId(3),
            ends: vec![(4, Outcome::Full(None), true), (5, Outcome::Success, false)],
            wait: Some(Span(6)),
            report: Some(Report { left: 0.5, limit: 20.0 }),
        },
        ToNew::HandIn { id: 8, message: handed, deadline: Time(9) },
    ];
    to_new.extend(orders.map(|order| ToNew::Order { id: 10, order }));
    check("handover-to-new", &to_new).await;
    let to_old = [
        ToOld::Hello(VERSION),
        ToOld::Taken,
        ToOld::Answer { id: 1, answer: Answer::TakenOn },
        ToOld::Answer { id: 2, answer: Answer::Malformed("why".to_owned()) },
        ToOld::Answer { id: 3, answer: Answer::Refused },
        ToOld::Ordered { id: 4, done: Ok(()) },
        ToOld::Ordered { id: 5, done: Err("why not".to_owned()) },
    ];
    check("handover-to-old", &to_old).await;
}
