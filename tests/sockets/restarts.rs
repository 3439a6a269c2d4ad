//! Kills and planned restarts.
use super::world::*;
use serde_json::json;
use std::collections::BTreeSet;
use std::io::Write;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Guards against losing what was taken on, and against repeating what may have run: after a kill each
/// message goes on as its kind permits, in the order of its key, and notices that nobody acknowledged go out.
#[tokio::test]
async fn a_killed_sender_takes_up_what_it_owes() {
    let (mut endpoint, mut platform) = (Peer::start().await, Platform::start().await);
    let mut node = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
    platform.deaf.store(true, Ordering::SeqCst);
    assert_eq!(node.hand_in("unheard", "unsafe", "").await.status(), 202);
    endpoint.call().await.reply(answer("500 Internal Server Error", "", ""));
    let mut out = Vec::new();
    for (id, class) in [("once", "unsafe"), ("k1", "ordered")] {
        assert_eq!(node.hand_in(id, class, "k").await.status(), 202);
        out.push(endpoint.call().await);
    }
    for id in ["k2", "k3"] {
        assert_eq!(node.hand_in(id, "ordered", "k").await.status(), 202);
    }
    node.kill();
    drop(out);
    // The end of the process broke off a record.
    let mut journal = std::fs::OpenOptions::new().append(true).open(node.journal()).unwrap();
    journal.write_all(&[40, 0, 0, 0, 1, 2, 3]).unwrap();
    platform.deaf.store(false, Ordering::SeqCst);
    node.begin().await;
    for (id, key) in [("k1", "idem-k1"), ("k2", "idem-k2"), ("k3", "idem-k3")] {
        let call = endpoint.call().await;
        assert_eq!((call.id(), call.http.header("idempotency-key")), (id, Some(key)));
        assert_eq!(call.http.body, id.as_bytes());
        assert!(endpoint.quiet(Duration::from_millis(50)).await, "two messages of a key were out");
        call.ok();
    }
    let failed = ["once", "unheard"].map(|id| (id.to_owned(), "failed".to_owned()));
    assert_eq!(platform.states(2).await, failed.into());
    // With the next of the key out, all before it is over, also for the next process.
    assert_eq!(node.hand_in("k4", "ordered", "k").await.status(), 202);
    let out = endpoint.call().await;
    assert_eq!(out.id(), "k4");
    node.kill();
    drop(out);
    node.begin().await;
    let call = endpoint.call().await;
    assert_eq!(call.id(), "k4");
    call.ok();
    assert!(endpoint.quiet(Duration::from_millis(300)).await, "a message went out after its end");
}

/// Guards against an attempt too many: those before a restart count.
#[tokio::test]
async fn attempts_count_over_restarts() {
    let (mut endpoint, mut platform) = (Peer::start().await, Platform::start().await);
    let two = |config: &mut serde_json::Value| config["settings"]["limits"]["max_attempts"] = json!(2);
    let member = member("s-1", endpoint.address, "single", "SERVING");
    let mut node = Node::start_with(&platform, &[member], two).await;
    assert_eq!(node.hand_in("m1", "keyed", "").await.status(), 202);
    let first = endpoint.call().await;
    node.kill();
    drop(first);
    node.begin().await;
    endpoint.call().await.reply(answer("500 Internal Server Error", "", ""));
    let notice = platform.notice().await;
    assert_eq!((&notice["id"], &notice["state"]), (&json!("m1"), &json!("returned")));
    assert!(endpoint.quiet(Duration::from_millis(300)).await);
}

/// Guards against a planned restart that breaks off calls or answers: what is out comes to its end, clients
/// are answered and sent elsewhere, the process ends by itself, and what is left goes on with the next one.
#[tokio::test]
async fn a_terminated_sender_winds_down() {
    let (mut endpoint, platform) = (Peer::start().await, Platform::start().await);
    let mut node = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
    assert_eq!(node.hand_in("out", "unsafe", "").await.status(), 202);
    let out = endpoint.call().await;
    assert_eq!(node.hand_in("left", "unsafe", "").await.status(), 202);
    endpoint.call().await.reply(answer("503 Service Unavailable", "Retry-After: 4.5\r\n", ""));
    node.terminate();
    let mut ready = 200;
    while ready == 200 {
        ready = node.request("GET /-/ready", "", b"").await.status();
    }
    assert_eq!(ready, 503);
    let answer = node.hand_in("late", "unsafe", "").await;
    assert!([202, 503].contains(&answer.status()), "{}", answer.first);
    assert_eq!(answer.header("connection"), Some("close"));
    out.ok();
    assert!(node.ends_well().await);
    node.begin().await;
    let mut owed = vec!["left"];
    owed.extend((answer.status() == 202).then_some("late"));
    for _ in 0..owed.len() {
        let call = endpoint.call().await;
        let at = owed.iter().position(|id| *id == call.id());
        owed.remove(at.unwrap_or_else(|| panic!("{} was over", call.id())));
        call.ok();
    }
    assert!(endpoint.quiet(Duration::from_millis(300)).await, "a message went out after its end");
}

/// Guards against an end on SIGHUP, and against staying with a discovery that has moved: watch and notices go
/// on at the address that the file names then. A file that cannot be used changes nothing.
#[tokio::test]
async fn a_reload_moves_discovery() {
    let (mut endpoint, mut old, mut new) =
        (Peer::start().await, Platform::start().await, Platform::start().await);
    let once = |config: &mut serde_json::Value| config["settings"]["limits"]["max_attempts"] = json!(1);
    let node = Node::start_with(&old, &[], once).await;
    old.tell(&[member("s-1", endpoint.address, "single", "SERVING")]);
    let error = || answer("500 Internal Server Error", "", "");
    for bad in ["", "{", "{\"discovery\": \"127.0.0.1:1\"}"] {
        node.reload(bad);
        let id = format!("after {}", bad.len());
        assert_eq!(node.hand_in(&id, "unsafe", "").await.status(), 202);
        endpoint.call().await.ok();
    }
    assert_eq!(node.hand_in("m1", "unsafe", "").await.status(), 202);
    endpoint.call().await.reply(error());
    assert_eq!(old.notice().await["id"], "m1");
    node.reload(&node.config_at(new.address));
    let mut moved = Peer::start().await;
    new.tell(&[
        member("s-1", endpoint.address, "single", "DELETED"),
        member("s-2", moved.address, "single", "SERVING"),
    ]);
    let mut n = 0;
    let call = loop {
        assert_eq!(node.hand_in(&format!("n{n}"), "unsafe", "").await.status(), 202);
        n += 1;
        tokio::select! {
            call = endpoint.call() => call.ok(),
            call = moved.call() => break call,
        }
    };
    let id = call.id().to_owned();
    call.reply(error());
    assert_eq!(new.notice().await["id"], id.as_str());
}

/// Guards against half a change: new settings hold soon after the signal, for new messages, while those under
/// way keep their class even over a kill; and a file with anything broken in it changes nothing at all.
#[tokio::test]
async fn a_reload_retunes_as_a_whole() {
    let (mut endpoint, mut platform) = (Peer::start().await, Platform::start().await);
    let member = member("s-1", endpoint.address, "single", "SERVING");
    let mut node = Node::start(&platform, &[member]).await;
    assert_eq!(node.hand_in("old", "keyed", "").await.status(), 202);
    let old = endpoint.call().await;
    let mut new = node.config.clone();
    let mut strict = new["settings"]["lanes"][0].clone();
    strict["name"] = json!("strict");
    new["settings"]["lanes"] = json!([strict, new["settings"]["lanes"][2]]);
    new["settings"]["limits"]["max_attempts"] = json!(1);
    let set = |path: &str, value: serde_json::Value| {
        let mut broken = new.clone();
        *broken.pointer_mut(path).unwrap() = value;
        // Where a broken file was half taken over, this shows it too.
        broken["discovery"] = json!("127.0.0.1:1");
        broken.to_string()
    };
    let mut short = new.clone();
    short["settings"]["invariants"].as_object_mut().unwrap().remove("must_ask_in");
    let mut bare = new.clone();
    bare["settings"]["lanes"][0].as_object_mut().unwrap().remove("fifo_by_key");
    let broken = [
        String::new(),
        new.to_string()[..900].to_owned(),
        short.to_string(),
        bare.to_string(),
        set("/settings/lanes/0/hard_limit", json!(0)),
        set("/settings/lanes/0/hard_limit", json!(-1)),
        set("/settings/limits/max_attempts", json!(0)),
        set("/settings/lanes/1/name", json!("strict")),
        set("/settings/kinds", json!(["single", "other"])),
    ];
    for (n, text) in broken.iter().enumerate() {
        node.reload(text);
        tokio::time::sleep(Duration::from_millis(60)).await;
        assert_eq!(node.hand_in(&format!("s{n}"), "strict", "").await.status(), 400, "{text}");
        assert_eq!(node.hand_in(&format!("u{n}"), "unsafe", "").await.status(), 202, "{text}");
        endpoint.call().await.ok();
    }
    node.reload(&new.to_string());
    let mut n = 0;
    while node.hand_in(&format!("strict{n}"), "strict", "").await.status() != 202 {
        n += 1;
        assert!(n < 100, "the new class is not known");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    // One attempt is allowed now, and that one never ran.
    endpoint.call().await.reply(answer("503 Service Unavailable", "", ""));
    assert_eq!(platform.notice().await["state"], "returned");
    assert_eq!(node.hand_in("gone", "unsafe", "").await.status(), 400);
    node.config = new;
    node.kill();
    drop(old);
    node.begin().await;
    // Its class is in no settings any more: keyed as it came it may come again, with no attempt left here.
    let mut notice = platform.notice().await;
    while notice["id"] != "old" {
        // One whose acknowledgement the kill kept from the journal comes again.
        notice = platform.notice().await;
    }
    assert_eq!(notice["state"], "returned");
    assert!(endpoint.quiet(Duration::from_millis(300)).await, "an attempt too many");
}

/// What the partner does when the restarted sender calls.
#[derive(Clone, Copy, Debug)]
enum Partner {
    Well,
    Hangs,
    TellsWait,
    LowersLimit,
}

/// A journal full of messages that nobody has tried, as the list did not name their partner: after a restart, with
/// settings that name neither their classes nor their tenant any more and with clients that fill the house again, each
/// of them is called for.
async fn untried(partner: Partner, planned: bool) {
    let (mut endpoint, mut platform) = (Peer::start().await, Platform::start().await);
    let mut node = Node::start(&platform, &[]).await;
    let classes = ["unsafe", "keyed", "ordered"];
    let mut owed = BTreeSet::new();
    // One under what a full house sheds for.
    for n in 0..47 {
        let id = format!("m{n}");
        assert_eq!(node.hand_in(&id, classes[n % 3], &format!("key{}", n % 9)).await.status(), 202);
        owed.insert(id);
    }
    // Its own call for the list has come, so that the next one is the next process's.
    platform.asked_after(0).await;
    if planned {
        node.terminate();
        assert!(node.ends_well().await);
    } else {
        node.kill();
    }
    for (n, lane) in node.config["settings"]["lanes"].as_array_mut().unwrap().iter_mut().enumerate() {
        lane["name"] = json!(format!("renamed{n}"));
    }
    node.config["settings"]["tenants"] = json!([{"name": "other", "allowance_per_s": 10.0}]);
    let asked = platform.asked();
    node.begin().await;
    let newcomer = "X-Lane: renamed0\r\nX-Remaining: 30.0\r\nX-Envelope: dest=7\r\n";
    for n in 0..5 {
        let headers = format!("X-Txn: new{n}\r\n{newcomer}");
        let status = node.request("POST /api", &headers, b"new").await.status();
        assert!([202, 503].contains(&status), "{status}");
    }
    // The list names their partner only now.
    platform.asked_after(asked).await;
    platform.tell(&[member("s-1", endpoint.address, "single", "SERVING")]);
    let (mut tried, mut delivered) = (BTreeSet::new(), BTreeSet::new());
    let (mut calls, mut hung) = (0, Vec::new());
    let least = owed.len() - if matches!(partner, Partner::Hangs) { 2 } else { 0 };
    while !owed.is_subset(&tried) || owed.intersection(&delivered).count() < least {
        let call = endpoint.call().await;
        calls += 1;
        tried.insert(call.id().to_owned());
        match partner {
            // Until others have been answered; one that may have run by then is not repeated, and fails.
            Partner::Hangs if calls <= 2 => hung.push(call),
            Partner::TellsWait if calls == 1 => {
                call.reply(answer("429 Too Many Requests", "Retry-After: 0.3\r\n", ""));
            }
            Partner::LowersLimit if calls <= 3 => call.reply(answer("503 Service Unavailable", "", "")),
            _ => {
                delivered.insert(call.id().to_owned());
                call.ok();
            }
        }
        if delivered.len() == 20 {
            for call in hung.drain(..) {
                call.ok();
            }
        }
    }
    let mut given_up = Vec::new();
    while let Ok(notice) = tokio::time::timeout(Duration::from_millis(100), platform.notice()).await {
        given_up.push(notice["id"].as_str().unwrap().to_owned());
    }
    let uncalled: Vec<_> = given_up.iter().filter(|id| owed.contains(*id) && !tried.contains(*id)).collect();
    assert!(uncalled.is_empty(), "{partner:?}, planned {planned}: given up with no call: {uncalled:?}");
}

/// Guards against giving up what a restart finds untried, with no call: for the sake of newcomers, or because the
/// settings do not name its class or its tenant any more.
#[tokio::test]
async fn what_a_kill_leaves_untried_is_tried() {
    untried(Partner::Well, false).await;
}

#[tokio::test]
async fn what_a_planned_restart_leaves_untried_is_tried() {
    untried(Partner::Well, true).await;
}

#[tokio::test]
async fn what_is_left_untried_is_tried_at_a_partner_that_hangs() {
    untried(Partner::Hangs, false).await;
}

#[tokio::test]
async fn what_is_left_untried_is_tried_after_a_told_wait() {
    untried(Partner::TellsWait, true).await;
}

#[tokio::test]
async fn what_is_left_untried_is_tried_at_a_lowered_limit() {
    untried(Partner::LowersLimit, false).await;
}

/// Guards against a second copy of what is handed in once more under its id, by a client whose answer was lost: while
/// it is held, and by the process after a kill between taking on and that answer. Other ids are not held up.
#[tokio::test]
async fn the_same_id_is_taken_on_once() {
    let (mut endpoint, platform) = (Peer::start().await, Platform::start().await);
    let mut node = Node::start(&platform, &[]).await;
    for _ in 0..2 {
        assert_eq!(node.hand_in("m1", "unsafe", "").await.status(), 202);
    }
    // Read whole by the sender, whose answer nobody reads.
    let mut unheard = tokio::net::TcpStream::connect(node.address).await.unwrap();
    let head = "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: m2\r\nX-Lane: unsafe\r\nX-Remaining: 30\r\n\
                X-Envelope: dest=7\r\nContent-Length: 0\r\n\r\n";
    tokio::io::AsyncWriteExt::write_all(&mut unheard, head.as_bytes()).await.unwrap();
    node.figures_once(|figures| figures.get("pending") == 2.0).await;
    // Its own call for the list has come, so that the next one is the next process's.
    platform.asked_after(0).await;
    node.kill();
    let asked = platform.asked();
    node.begin().await;
    for id in ["m1", "m2"] {
        assert_eq!(node.hand_in(id, "unsafe", "").await.status(), 202);
    }
    platform.asked_after(asked).await;
    platform.tell(&[member("s-1", endpoint.address, "single", "SERVING")]);
    let mut ids = Vec::new();
    for _ in 0..2 {
        let call = endpoint.call().await;
        ids.push(call.id().to_owned());
        call.ok();
    }
    ids.sort();
    assert_eq!(ids, ["m1", "m2"]);
    assert!(endpoint.quiet(Duration::from_millis(300)).await, "a second copy went out");
}
