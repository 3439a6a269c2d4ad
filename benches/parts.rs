//! Parts of the sender, each with the time and the blocks of memory that it takes: `cargo bench`. Times are noisy on
//! shared machines; blocks and bytes are not. What the figures mean stands in `docs/cost.md`.
use divan::{AllocProfiler, Bencher};
use message_sender::net::input::Input;
use message_sender::net::journal::{Attempt, Journal, OutstandingMessage, SubmittedMessage};
use message_sender::net::relay::Answer;
use message_sender::net::server::{self, Doors};
use message_sender::wire::Targets;
use message_sender::*;
use std::hint::black_box;
use std::sync::Arc;
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;
use tokio::sync::{Semaphore, mpsc, watch};

#[global_allocator]
static ALLOCATIONS: AllocProfiler = AllocProfiler::system();

const SECOND: u64 = 1_000_000;
const BODY: usize = 512;
const DISK: u64 = 3_000_000;

fn main() {
    divan::main();
}

fn class() -> Class {
    let window = Span(8 * SECOND);
    Class {
        latency_target: Span(4 * SECOND),
        deadline: Span(20 * SECOND),
        value: 1.0,
        late_value: 0.4,
        repeat: Repeat::Keyed { group: Group::All, window },
        ordered: false,
    }
}

fn settings(slots: usize) -> Settings {
    Settings {
        classes: vec![class()],
        kinds: vec![Kind { independent_routes: true, batch: 1 }],
        tenants: vec![],
        over_share_value: 1.0,
        zone: ZoneId(0),
        senders: 300,
        slots,
        max_pending: 10_000,
        max_attempts: 8,
        period: Span(5_000),
        connect_timeout: Span(SECOND),
        decay: Decay::Exponential,
        discovery: Discovery::Pushed,
        hints: Hints::CallsPerSecond,
        probes: false,
        cancel: true,
        outcomes_acknowledged: true,
        batches_expire_together: true,
        rules: Rules {
            drain_grace: Span(SECOND / 4),
            slow_start_share: 0.17,
            slow_start: Span(14 * SECOND),
            overload_factor: 2.5,
            overload_tolerance: Span(2 * SECOND),
            order_settle: Span(0),
            must_ask_in: Span(10 * SECOND),
        },
    }
}

/// Two endpoints to each destination.
fn list(endpoints: u32) -> Vec<Entry> {
    let entry = |n| Entry {
        endpoint: EndpointId(n),
        destination: DestinationId(u64::from(n / 2)),
        kind: KindId(0),
        zone: ZoneId(0),
        listing: Listing::Active,
        hint: 20.0,
    };
    (0..endpoints).map(entry).collect()
}

/// A module that holds so many messages, all of its slots taken.
fn module(held: u32, endpoints: u32) -> (Sender, Time) {
    let mut sender = Sender::new(settings(4), 7).expect("settings");
    let now = Time(100 * SECOND);
    let message = |id| {
        Event::Message(Message {
            id: MessageId(id),
            class: class(),
            tenant: None,
            key: None,
            destination: DestinationId(u64::from(id % (endpoints / 2))),
            budget: Span(20 * SECOND),
        })
    };
    let mut events = vec![Event::FullList(list(endpoints))];
    events.extend((0..held).map(message));
    sender.step(now, &events, &mut Vec::new());
    (sender, now)
}

/// A step in which nothing happens, with messages that wait for a slot.
#[divan::bench(args = [(0, 30), (10, 30), (100, 30), (1_000, 30), (1_000, 600)])]
fn step_of_the_module(bencher: Bencher, (held, endpoints): (u32, u32)) {
    let (mut sender, mut now) = module(held, endpoints);
    let mut actions = Vec::new();
    bencher.bench_local(|| {
        // All within the messages' time, however often this is played.
        now.0 += 1;
        actions.clear();
        sender.step(now, black_box(&[Event::TimerFired]), &mut actions);
    });
}

/// A message that comes, goes out and is answered, beside others that wait for another destination's endpoints.
#[divan::bench(args = [0, 100, 1_000])]
fn message_through_the_module(bencher: Bencher, held: u32) {
    let mut sender = Sender::new(settings(40), 7).expect("settings");
    let (mut now, mut id) = (Time(100 * SECOND), 0);
    let message = |id, destination| {
        Event::Message(Message {
            id: MessageId(id),
            class: class(),
            tenant: None,
            key: None,
            destination: DestinationId(destination),
            budget: Span(20 * SECOND),
        })
    };
    let mut events = vec![Event::FullList(list(30))];
    events.extend((0..held).map(|n| message(n, 900)));
    sender.step(now, &events, &mut Vec::new());
    id += held;
    let mut actions = Vec::new();
    bencher.bench_local(|| {
        now.0 += 1;
        actions.clear();
        sender.step(now, &[message(id, 3)], &mut actions);
        let end = Event::AttemptCompleted {
            message: MessageId(id),
            attempt: 0,
            outcome: Outcome::Success,
            elapsed: Span(1),
            last: true,
            report: None,
        };
        sender.step(now, &[end], &mut actions);
        sender.step(now, &[Event::ClientCancelled(MessageId(id))], &mut actions);
        id += 1;
    });
}

/// One endpoint is replaced in a list of so many.
#[divan::bench(args = [30, 300, 3_000])]
fn list_change_in_the_module(bencher: Bencher, endpoints: u32) {
    let (mut sender, mut now) = module(0, endpoints);
    let (mut next, mut actions) = (endpoints, Vec::new());
    let one = |n| list(n + 1).pop().expect("an entry");
    bencher.bench_local(|| {
        now.0 += SECOND;
        actions.clear();
        let gone = Entry { listing: Listing::Removed, ..one(next - endpoints) };
        sender.step(now, &[Event::ListChanges(vec![one(next), gone])], &mut actions);
        next += 1;
    });
}

/// The whole list, read from its JSON.
#[divan::bench(args = [30, 300, 3_000])]
fn list_read(bencher: Bencher, members: u32) {
    let member = |n: u32| {
        format!(
            r#"{{"id":"s-{n:08x}","host_port":"127.0.0.1:{}","locality":"a","flavor":"m2","cell":{},"phase":"SERVING","size":1.0,"up_since_ms":0}}"#,
            n % 60_000 + 1,
            n / 2
        )
    };
    let members = (0..members).map(member).collect::<Vec<_>>().join(",");
    let text = format!(r#"{{"revision":41,"complete":true,"members":[{members}]}}"#);
    bencher.bench(|| serde_json::from_slice::<Targets>(black_box(text.as_bytes())).expect("a list"));
}

fn owed(id: usize, body: usize) -> OutstandingMessage {
    let message = SubmittedMessage {
        id: format!("{id:016}"),
        class: "repeat-order".to_owned(),
        tenant: None,
        key: None,
        idempotency_key: Some(format!("{id:032}")),
        destination: 7,
        body: vec![b'x'; body].into(),
    };
    OutstandingMessage::new(message, 100 * SECOND, class())
}

fn journal() -> (TempDir, Journal) {
    let folder = tempfile::tempdir().expect("a folder");
    let (journal, _) = Journal::open(folder.path(), DISK).expect("a journal");
    (folder, journal)
}

/// All records of a message that is delivered at the first attempt, compactions counted.
#[divan::bench(args = [BODY, 64 * 1024])]
fn journal_of_a_message(bencher: Bencher, body: usize) {
    let (_folder, mut journal) = journal();
    let mut id = 0;
    bencher.bench_local(|| {
        id += 1;
        let number = journal.accept(owed(id, body)).expect("room");
        journal.start_attempt(number, Attempt { at: 1, zone: "a".to_owned() }).expect("a record");
        journal.complete(number).expect("a record");
    });
}

/// Writing the journal anew, with so many messages owed.
#[divan::bench(args = [10, 100, 900])]
fn compaction(bencher: Bencher, messages: usize) {
    let (_folder, mut journal) = journal();
    for id in 0..messages {
        journal.accept(owed(id, BODY)).expect("room");
    }
    bencher.bench_local(|| journal.compact());
}

/// Taking up a journal with so many messages owed.
#[divan::bench(args = [0, 100, 900])]
fn opening(bencher: Bencher, messages: usize) {
    let (folder, mut journal) = journal();
    for id in 0..messages {
        journal.accept(owed(id, BODY)).expect("room");
    }
    drop(journal);
    bencher.bench_local(|| Journal::open(folder.path(), DISK).expect("a journal"));
}

/// A request read, taken on by a host that does nothing else, and answered; the client's part is in the time.
#[divan::bench(args = [BODY, 64 * 1024])]
fn request_and_answer(bencher: Bencher, body: usize) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let (mut client, _doors) = runtime.block_on(client());
    let request = format!(
        "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: 9b1f03aa5c7e2d41\r\nX-Lane: repeat-order\r\nX-Remaining: 20.000\r\n\
         X-Envelope: dest=7\r\nIdempotency-Key: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\nContent-Length: {body}\r\n\r\n{}",
        "x".repeat(body)
    );
    let mut answer = [0; 1024];
    bencher.bench_local(|| exchange(&runtime, &mut client, request.as_bytes(), &mut answer));
}

async fn client() -> (TcpStream, watch::Sender<Doors>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (host, mut inputs) = mpsc::unbounded_channel();
    let (doors, at_doors) = watch::channel(Doors::Open);
    let room = Arc::new(Semaphore::new(8));
    tokio::spawn(server::serve(listener, room, 8, host, at_doors, server::bodies(None), Arc::default()));
    tokio::spawn(async move {
        while let Some(input) = inputs.recv().await {
            if let Input::HandIn { answer, .. } = input {
                let _ = answer.send(Answer::TakenOn);
            }
        }
    });
    (TcpStream::connect(address).await.expect("a connection"), doors)
}

fn exchange(runtime: &Runtime, client: &mut TcpStream, request: &[u8], answer: &mut [u8]) {
    runtime.block_on(async {
        client.write_all(request).await.expect("written");
        let read = client.read(answer).await.expect("an answer");
        assert!(answer[..read].starts_with(b"HTTP/1.1 202"));
    });
}
