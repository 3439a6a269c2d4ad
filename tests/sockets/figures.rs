//! `telemetry` at the second address: figures that add up, whatever happens, and callers that are no trouble.
use super::world::*;
use serde_json::{Value, json};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinSet;

/// Answers are due within a second.
const DUE: Duration = Duration::from_secs(1);

async fn one_endpoint() -> (Peer, Platform, Value) {
    let (endpoint, platform) = (Peer::start().await, Platform::start().await);
    let member = member("s-1", endpoint.address, "single", "SERVING");
    (endpoint, platform, member)
}

/// Guards against a message that is counted twice, or never, on any way that it can end.
#[tokio::test]
async fn every_message_taken_on_is_held_or_ended_once() {
    let (mut endpoint, mut platform, member) = one_endpoint().await;
    let node = Node::start(&platform, &[member]).await;
    let none = node.figures().await;
    assert_eq!((none.sum("taken_on_total"), none.get("members")), (0.0, 1.0));

    assert_eq!(node.hand_in("m1", "unsafe", "").await.status(), 202);
    let call = endpoint.call().await;
    let held = node.figures().await;
    assert_eq!((held.get("pending"), held.get("pending_bytes")), (1.0, 2.0));
    assert_eq!((held.get("attempts_total"), held.get("queue_seconds")), (1.0, 1.0));
    call.ok();
    let done = node.figures_once(|f| f.get("pending") == 0.0).await;
    assert_eq!(done.ended("unsafe", "completed"), 1.0);
    assert_eq!(done.get("attempt_ends_total{outcome=success}"), 1.0);
    assert_eq!(done.get("upstream_connections_total{origin=opened}"), 1.0);

    assert_eq!(node.hand_in("m2", "unsafe", "").await.status(), 202);
    endpoint.call().await.reply(Reply::Break);
    assert_eq!(platform.state_of("m2").await, "failed");
    let failed = node.figures_once(|f| f.get("notices_pending") == 0.0).await;
    assert_eq!((failed.ended("unsafe", "failed"), failed.get("upstream_requests_total")), (1.0, 2.0));
    assert_eq!(failed.get("upstream_connections_total{origin=reused}"), 1.0);

    assert_eq!(node.staff("exclude s-1").await, "done\n");
    assert_eq!(node.hand_in_for("m3", "keyed", "", "0.4").await.status(), 202);
    assert_eq!(platform.state_of("m3").await, "returned");
    let rejected = node.figures_once(|f| f.ended("keyed", "rejected") == 1.0).await;
    assert_eq!((rejected.get("members"), rejected.get("members_unavailable")), (1.0, 1.0));

    let before = node.staff("telemetry").await;
    assert_eq!(node.hand_in("m4", "nonesuch", "").await.status(), 400);
    let after = node.staff("telemetry").await;
    assert_eq!(Figures::read(&after).get("turned_away_total{reason=malformed}"), 1.0);
    assert!(!after.contains("nonesuch"), "a label by a client's word");
    assert_eq!(before.lines().count(), after.lines().count());
}

/// Guards against descriptors that no use accounts for, or that are counted for one which let them go.
#[tokio::test]
async fn descriptors_are_told_by_their_use() {
    let (mut endpoint, platform, member) = one_endpoint().await;
    let node = Node::start(&platform, &[member]).await;
    let by_use = |figures: &Figures| {
        let of = |what: &str| figures.get(&format!("descriptors{{use={what}}}"));
        (of("clients"), of("endpoints"), of("journal"))
    };
    assert_eq!(by_use(&node.figures().await), (0.0, 0.0, 2.0));
    let mut client = TcpStream::connect(node.address).await.unwrap();
    client.write_all(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n").await.unwrap();
    assert_eq!(Http::read(&mut client).await.unwrap().status(), 200);
    assert_eq!(node.hand_in("m1", "unsafe", "").await.status(), 202);
    endpoint.call().await.ok();
    let open = node.figures_once(|f| by_use(f) == (1.0, 1.0, 2.0) && f.get("pending") == 0.0).await;
    // The scrape's own connection was one more.
    let (told, held) = (open.sum("descriptors"), node.descriptors() as f64);
    assert!((held..=held + 2.0).contains(&told), "{told} told, {held} held");
    drop(client);
    node.figures_once(|f| by_use(f).0 == 0.0).await;
}

/// Guards against endpoints that add up as they are replaced, against a ban that goes with what is forgotten, and
/// against an old number that names a new endpoint: calls still find theirs.
#[tokio::test]
async fn replaced_endpoints_are_forgotten_and_bans_are_not() {
    let (mut endpoint, platform, first) = one_endpoint().await;
    let node = Node::start(&platform, &[first]).await;
    assert_eq!(node.staff("exclude s-1").await, "done\n");
    let change = |id: String, phase: &str| member(&id, endpoint.address, "single", phase);
    for n in 2..40 {
        platform.tell(&[change(format!("s-{n}"), "SERVING"), change(format!("s-{}", n - 1), "DELETED")]);
        let known = format!("include s-{n}");
        while node.staff(&known).await != "done\n" {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }
    let figures = node.figures().await;
    assert_eq!(figures.get("members"), 1.0);
    assert!(figures.get("endpoints_remembered") <= 4.0, "{figures:?}");
    assert!(node.staff("exclude s-20").await.starts_with("error "));
    platform.tell(&[change("s-1".to_owned(), "SERVING"), change("s-39".to_owned(), "DELETED")]);
    node.figures_once(|f| f.get("members_unavailable") == 1.0).await;
    assert_eq!(node.hand_in("m1", "unsafe", "").await.status(), 202);
    assert!(endpoint.quiet(Duration::from_millis(200)).await, "the ban was forgotten");
    assert_eq!(node.staff("include s-1").await, "done\n");
    let call = endpoint.call().await;
    assert_eq!(call.id(), "m1");
    call.ok();
    node.figures_once(|f| f.ended("unsafe", "completed") == 1.0).await;
}

/// Guards against sums that do not hold in a process that goes on with what another one left.
#[tokio::test]
async fn what_an_earlier_process_left_counts_as_taken_up() {
    let (mut endpoint, mut platform, member) = one_endpoint().await;
    let mut node = Node::start(&platform, &[member]).await;
    for id in ["keyed", "unsafe"] {
        assert_eq!(node.hand_in(id, id, "").await.status(), 202);
    }
    let calls = [endpoint.call().await, endpoint.call().await];
    // One more has ended, and the platform does not hear of it.
    platform.deaf.store(true, Ordering::SeqCst);
    assert_eq!(node.hand_in("over", "unsafe", "").await.status(), 202);
    endpoint.call().await.reply(Reply::Break);
    node.figures_once(|f| f.get("notices_pending") == 1.0).await;
    node.kill();
    node.begin().await;
    node.figures_once(|f| f.get("notices_pending") == 2.0 && f.ended("unsafe", "failed") == 1.0).await;
    platform.deaf.store(false, Ordering::SeqCst);
    let failed = |id: &str| (id.to_owned(), "failed".to_owned());
    assert_eq!(platform.states(2).await, [failed("over"), failed("unsafe")].into());
    let again = endpoint.call().await;
    let resumed = node.figures().await;
    assert_eq!(resumed.get("taken_on_total{origin=resumed}"), 2.0);
    assert_eq!((resumed.get("pending"), resumed.ended("unsafe", "failed")), (1.0, 1.0));

    let mut new = node.beside();
    new.begin().await;
    let taken_over = new.figures().await;
    assert_eq!((taken_over.get("taken_on_total{origin=resumed}"), taken_over.get("pending")), (1.0, 1.0));
    again.ok();
    let ended = new.figures_once(|f| f.get("pending") == 0.0).await;
    assert_eq!(ended.ended("keyed", "completed"), 1.0);
    drop(calls);
}

/// Guards against an old process that goes on telling of messages which are no longer its own.
#[tokio::test]
async fn a_process_that_handed_over_tells_no_figures() {
    let (mut endpoint, platform, member) = one_endpoint().await;
    let node = Node::start(&platform, &[member]).await;
    assert_eq!(node.hand_in("m1", "unsafe", "").await.status(), 202);
    let call = endpoint.call().await;
    let mut new = node.beside();
    new.begin().await;
    let old = node.staff("telemetry").await;
    assert!(old.starts_with("error ") && old.lines().count() == 1, "{old:?}");
    call.ok();
    new.figures_once(|f| f.ended("unsafe", "completed") == 1.0).await;
}

/// Guards against figures that are gone with the process: one that ends in order logs what it did and cost.
#[tokio::test]
async fn a_process_that_ends_logs_its_figures() {
    let (mut endpoint, platform, member) = one_endpoint().await;
    let mut node = Node::start(&platform, &[member]).await;
    for id in ["m1", "m2"] {
        assert_eq!(node.hand_in(id, "unsafe", "").await.status(), 202);
        endpoint.call().await.ok();
    }
    node.figures_once(|f| f.ended("unsafe", "completed") == 2.0).await;
    node.terminate();
    assert!(node.ends_well().await);
    let line = node.logged("in all: ").await;
    for told in ["taken_on=2 ", "completed=2 ", "failed=0 ", "pending=0 ", "attempts=2 ", "cpu_user_ms="] {
        assert!(line.contains(told), "{told:?} is not in {line:?}");
    }
}

/// Guards against names that break the text, and against classes that are gone or new after a reload.
#[tokio::test]
async fn labels_are_the_settings_names_whatever_they_hold() {
    let (mut endpoint, platform, member) = one_endpoint().await;
    let odd = |config: &mut Value| config["settings"]["lanes"][0]["name"] = json!("a\\b c");
    let node = Node::start_with(&platform, &[member], odd).await;
    assert_eq!(node.hand_in("m1", "a\\b c", "").await.status(), 202);
    let call = endpoint.call().await;
    let mut config = node.config.clone();
    config["settings"]["lanes"][0]["name"] = json!("new");
    node.reload(&config.to_string());
    let reloaded = node.figures_once(|f| f.get("config_reloads_total") == 1.0).await;
    assert_eq!(reloaded.ended("new", "completed"), 0.0);
    call.ok();
    let text = loop {
        let text = node.staff("telemetry").await;
        if Figures::read(&text).get("pending") == 0.0 {
            break text;
        }
    };
    assert!(text.contains(r#"{lane="a\\b c",result="completed"} 1"#), "{text}");
    node.reload("{");
    node.figures_once(|f| f.get("config_reload_errors_total") == 1.0).await;
}

/// Guards against scrapes that are late, torn or out of step while the sender has all that it can do, and against
/// sixteen callers at once.
#[tokio::test]
async fn scrapes_under_load_are_whole_and_in_time() {
    let (mut endpoint, platform, member) = one_endpoint().await;
    let much = |config: &mut Value| config["settings"]["limits"]["most_held"] = json!(1_000);
    let node = std::sync::Arc::new(Node::start_with(&platform, &[member], much).await);
    let mut clients = JoinSet::new();
    for client in 0..8 {
        let node = node.clone();
        clients.spawn(async move {
            for n in 0..40 {
                assert_eq!(node.hand_in(&format!("m{client}-{n}"), "keyed", "").await.status(), 202);
            }
        });
    }
    let answering = tokio::spawn(async move {
        for _ in 0..320 {
            endpoint.call().await.ok();
        }
    });
    for _ in 0..5 {
        let mut scrapes = JoinSet::new();
        for _ in 0..16 {
            let node = node.clone();
            scrapes.spawn(async move {
                let began = Instant::now();
                node.figures().await;
                began.elapsed()
            });
        }
        for took in scrapes.join_all().await {
            assert!(took < DUE, "{took:?}");
        }
    }
    clients.join_all().await;
    answering.await.unwrap();
    let all = node.figures_once(|f| f.ended("keyed", "completed") == 320.0).await;
    assert_eq!((all.get("attempts_total") >= 320.0, all.get("pending")), (true, 0.0));
}

/// Guards against callers that ask for figures and do not read them: nobody else waits for them.
#[tokio::test]
async fn callers_that_do_not_read_delay_nobody() {
    let (_endpoint, platform, member) = one_endpoint().await;
    let node = Node::start(&platform, &[member]).await;
    let mut deaf = Vec::new();
    for _ in 0..40 {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(1).unwrap();
        let mut stream: TcpStream = socket.connect(node.mgmt).await.unwrap();
        stream.write_all(b"telemetry\n").await.unwrap();
        deaf.push(stream);
    }
    for line in ["readyz", "telemetry", "exclude s-1", "include s-1"] {
        let began = Instant::now();
        let answer = node.staff(line).await;
        assert!(answer == "done\n" || answer.ends_with("end\n"), "{answer:?}");
        assert!(began.elapsed() < 2 * DUE, "{line} took {:?}", began.elapsed());
    }
    // Those that read in the end find a close, and as much as they had room for.
    for mut stream in deaf {
        let mut got = Vec::new();
        let _ = tokio::time::timeout(PATIENCE, stream.read_to_end(&mut got)).await.expect("a close");
    }
}
