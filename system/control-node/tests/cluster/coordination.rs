//! Tests of the coordination service on the in-memory cluster.

use crate::in_memory_cluster::{Cluster, DiskBehavior, seeds};
use crate::{ip, run, seconds};
use control_node::{ApplicationReply, ApplicationRequest, PutConfigOutcome};
use fleet_model::{CoordinationCommand, CoordinationOutcome, KeyRevision};
use googletest::prelude::*;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// A hold that does not expire during a test.
const LONG_HOLD_MS: u64 = 60_000;
/// The time that an application waits for a reply before it retries at another node.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(1);

async fn start_cluster(joining: &[Ipv4Addr]) -> Rc<Cluster> {
    let cluster = Cluster::start(&[]);
    expect_that!(cluster.commit(ip(0), 1).await, eq(&PutConfigOutcome::Committed(1)));
    for ip in joining {
        cluster.start_node(*ip);
    }
    sleep(seconds(3)).await;
    cluster
}

async fn send_request(cluster: &Cluster, node_ip: Ipv4Addr, request: ApplicationRequest) -> ApplicationReply {
    let node = cluster.node(node_ip);
    tokio::time::timeout(CLIENT_TIMEOUT, node.execute_application_request(request))
        .await
        .expect("the node answers within a second")
}

fn acquire(lock: &str, holder: &str, hold_ms: u64) -> ApplicationRequest {
    ApplicationRequest::Command(CoordinationCommand::AcquireLock {
        lock: lock.to_owned(),
        holder: holder.to_owned(),
        hold_ms,
        expired_grant: None,
    })
}

fn next_number() -> ApplicationRequest {
    ApplicationRequest::Command(CoordinationCommand::NextNumber { name: "n".to_owned() })
}

fn put(key: &str, value: &str, expected: Option<u64>) -> ApplicationRequest {
    ApplicationRequest::Command(CoordinationCommand::PutKey {
        key: key.to_owned(),
        value: value.to_owned(),
        expected,
    })
}

fn read(key: &str) -> ApplicationRequest {
    ApplicationRequest::ReadKey { key: key.to_owned() }
}

fn watch(group: &str, after: u64, wait: Duration) -> ApplicationRequest {
    ApplicationRequest::Watch { group: group.to_owned(), after, wait }
}

fn is_granted(reply: &ApplicationReply) -> bool {
    matches!(reply, ApplicationReply::Outcome(CoordinationOutcome::LockGranted { .. }))
}

/// Requests the next number from each of `nodes` in turn, for three seconds at most.
async fn number_from_any(cluster: &Cluster, nodes: &[Ipv4Addr]) -> u64 {
    let deadline = Instant::now() + seconds(3);
    while Instant::now() < deadline {
        for node in nodes {
            if let ApplicationReply::Outcome(CoordinationOutcome::Number { value }) =
                send_request(cluster, *node, next_number()).await
            {
                return value;
            }
        }
    }
    panic!("no node issued a number within three seconds");
}

#[gtest]
fn requests_through_any_node_see_the_same_state() {
    run(async {
        let cluster = start_cluster(&[]).await;
        for (value, node) in (1..).zip(seeds()) {
            let reply = send_request(&cluster, node, next_number()).await;
            expect_that!(reply, eq(&ApplicationReply::Outcome(CoordinationOutcome::Number { value })));
        }
        expect_that!(
            is_granted(&send_request(&cluster, ip(0), acquire("l", "a", LONG_HOLD_MS)).await),
            eq(true)
        );
        let other = send_request(&cluster, ip(1), acquire("l", "b", LONG_HOLD_MS)).await;
        expect_that!(other, eq(&ApplicationReply::Outcome(CoordinationOutcome::LockNotHeld)));
        let stored = send_request(&cluster, ip(1), put("g.k", "v", Some(0))).await;
        expect_that!(stored, eq(&ApplicationReply::Outcome(CoordinationOutcome::KeyStored { revision: 1 })));
        let value = KeyRevision { value: "v".to_owned(), revision: 1 };
        expect_that!(
            send_request(&cluster, ip(2), read("g.k")).await,
            eq(&ApplicationReply::Key(Some(value)))
        );
        expect_that!(send_request(&cluster, ip(2), read("g.none")).await, eq(&ApplicationReply::Key(None)));
    });
}

#[gtest]
fn a_watch_at_any_node_returns_a_put_at_another() {
    run(async {
        let cluster = start_cluster(&[]).await;
        expect_that!(
            send_request(&cluster, ip(0), put("g.k", "v1", None)).await,
            eq(&ApplicationReply::Outcome(CoordinationOutcome::KeyStored { revision: 1 }))
        );
        for node in seeds() {
            let current = send_request(&cluster, node, watch("g.", 0, seconds(9))).await;
            expect_that!(current, eq(&ApplicationReply::Events { events: Vec::new(), revision: 1 }));
        }
        let watch_tasks: Vec<_> = seeds()
            .into_iter()
            .map(|node| {
                let node = cluster.node(node);
                tokio::task::spawn_local(async move {
                    let reply = node.execute_application_request(watch("g.", 1, seconds(20))).await;
                    (reply, Instant::now())
                })
            })
            .collect();
        sleep(seconds(1)).await;
        let put_at = Instant::now();
        send_request(&cluster, ip(1), put("g.k", "v2", Some(1))).await;
        for watch_task in watch_tasks {
            let (reply, answered_at) = watch_task.await.unwrap();
            let ApplicationReply::Events { events, revision } = reply else { panic!("{reply:?}") };
            expect_that!(revision, eq(2));
            expect_that!(events.len(), eq(1));
            expect_that!(answered_at - put_at, lt(Duration::from_millis(30)));
        }
        let timed_out = send_request(&cluster, ip(0), watch("g.", 2, Duration::from_millis(400))).await;
        expect_that!(timed_out, eq(&ApplicationReply::Events { events: Vec::new(), revision: 2 }));
    });
}

#[gtest]
fn a_lock_is_granted_to_another_holder_only_after_its_hold() {
    run(async {
        let cluster = start_cluster(&[]).await;
        let granted_at = Instant::now();
        expect_that!(is_granted(&send_request(&cluster, ip(0), acquire("l", "a", 2_000)).await), eq(true));
        let regranted_at = loop {
            if is_granted(&send_request(&cluster, ip(1), acquire("l", "b", LONG_HOLD_MS)).await) {
                break Instant::now();
            }
            sleep(Duration::from_millis(50)).await;
        };
        let hold_duration = regranted_at - granted_at;
        expect_that!(hold_duration, all!(gt(seconds(2)), lt(Duration::from_millis(2_500))));
    });
}

#[gtest]
fn the_loss_of_any_node_loses_no_state_and_a_new_leader_waits_for_the_full_hold() {
    for lost in 0..3 {
        run(async {
            let cluster = start_cluster(&[]).await;
            let others: Vec<Ipv4Addr> = (0..3).filter(|other| *other != lost).map(ip).collect();
            let before = number_from_any(&cluster, &others).await;
            let granted = is_granted(&send_request(&cluster, others[0], acquire("l", "a", 4_000)).await);
            let granted_at = Instant::now();
            expect_that!(granted, eq(true));
            cluster.disconnect(ip(lost));
            expect_that!(number_from_any(&cluster, &others).await, gt(before));
            while !is_granted(&send_request(&cluster, others[1], acquire("l", "b", LONG_HOLD_MS)).await) {
                sleep(Duration::from_millis(20)).await;
            }
            expect_that!(granted_at.elapsed(), all!(gt(Duration::from_millis(3_990)), lt(seconds(6))));
            let isolated = send_request(&cluster, ip(lost), next_number()).await;
            expect_that!(
                isolated,
                any!(eq(&ApplicationReply::Unavailable), eq(&ApplicationReply::Indeterminate))
            );
            cluster.reconnect(ip(lost));
            sleep(seconds(1)).await;
            expect_that!(number_from_any(&cluster, &[ip(lost)]).await, gt(before));
        });
    }
}

#[gtest]
fn acknowledged_requests_survive_a_restart_of_all_processes() {
    run(async {
        let cluster = start_cluster(&[]).await;
        let before = number_from_any(&cluster, &seeds()).await;
        expect_that!(
            is_granted(&send_request(&cluster, ip(0), acquire("l", "a", LONG_HOLD_MS)).await),
            eq(true)
        );
        let stored = send_request(&cluster, ip(0), put("g.k", "v", None)).await;
        expect_that!(stored, eq(&ApplicationReply::Outcome(CoordinationOutcome::KeyStored { revision: 1 })));
        for node in seeds() {
            cluster.stop_node(node);
        }
        for node in seeds() {
            cluster.restart_node(node);
        }
        expect_that!(number_from_any(&cluster, &seeds()).await, gt(before));
        let other = send_request(&cluster, ip(1), acquire("l", "b", LONG_HOLD_MS)).await;
        expect_that!(other, eq(&ApplicationReply::Outcome(CoordinationOutcome::LockNotHeld)));
        let value = KeyRevision { value: "v".to_owned(), revision: 1 };
        expect_that!(
            send_request(&cluster, ip(2), read("g.k")).await,
            eq(&ApplicationReply::Key(Some(value)))
        );
        let resumed = send_request(&cluster, ip(2), watch("g.", 1, Duration::from_millis(100))).await;
        expect_that!(resumed, eq(&ApplicationReply::Events { events: Vec::new(), revision: 1 }));
    });
}

#[gtest]
fn a_node_that_lost_its_disk_rejoins_as_a_new_replica() {
    for wiped in 0..3 {
        run(async {
            let cluster = start_cluster(&[]).await;
            let mut last = number_from_any(&cluster, &seeds()).await;
            // Each node loses its disk in turn: if the previous replicas remained members, two of three would be lost in the end.
            for node in [wiped, (wiped + 1) % 3, (wiped + 2) % 3].map(ip) {
                cluster.stop_node(node);
                cluster.wipe_disk(node);
                cluster.restart_node(node);
                for _ in 0..20 {
                    let next = number_from_any(&cluster, &seeds()).await;
                    expect_that!(next, gt(last));
                    last = next;
                    sleep(Duration::from_millis(200)).await;
                }
            }
        });
    }
}

#[gtest]
fn a_stalled_disk_at_any_node_delays_no_request() {
    for stalled in 0..3 {
        run(async {
            let cluster = start_cluster(&[]).await;
            let last = number_from_any(&cluster, &seeds()).await;
            cluster.set_disk_behavior(ip(stalled), DiskBehavior::Stalls(seconds(3)));
            for _ in 0..10 {
                for node in seeds() {
                    let sent_at = Instant::now();
                    let reply = send_request(&cluster, node, next_number()).await;
                    let ApplicationReply::Outcome(CoordinationOutcome::Number { value }) = reply else {
                        panic!("{reply:?}")
                    };
                    expect_that!(value, gt(last));
                    expect_that!(sent_at.elapsed(), lt(Duration::from_millis(100)));
                }
            }
        });
    }
}

#[gtest]
fn the_log_follows_the_voters_of_the_register() {
    run(async {
        // Given five nodes, of which two joined later, and a log whose initial members are all of them,
        let joined: Vec<Ipv4Addr> = (4..=5).map(|last| Ipv4Addr::new(10, 0, 0, last)).collect();
        let cluster = Cluster::start_with_discovery();
        for ip in &joined {
            cluster.start_node(*ip);
        }
        sleep(seconds(3)).await;
        let all: Vec<Ipv4Addr> = seeds().into_iter().chain(joined).collect();
        let last = number_from_any(&cluster, &all).await;
        // when two nodes are lost, then the other three continue to serve,
        cluster.disconnect(ip(0));
        cluster.disconnect(ip(1));
        expect_that!(number_from_any(&cluster, &all[2..]).await, gt(last));
        // and once the two have been removed from the voters, two of the three suffice, even without any request meanwhile.
        sleep(seconds(60)).await;
        cluster.disconnect(ip(2));
        expect_that!(number_from_any(&cluster, &all[3..]).await, gt(last));
    });
}

#[gtest]
fn a_resigned_leader_is_replaced_without_a_timeout() {
    run(async {
        let cluster = start_cluster(&[]).await;
        let mut last = number_from_any(&cluster, &seeds()).await;
        for resigning in 0..3 {
            cluster.node(ip(resigning)).resign(Duration::from_millis(200)).await;
            cluster.stop_node(ip(resigning));
            let sent_at = Instant::now();
            let other = ip((resigning + 1) % 3);
            let reply = send_request(&cluster, other, next_number()).await;
            let ApplicationReply::Outcome(CoordinationOutcome::Number { value }) = reply else {
                panic!("{reply:?}")
            };
            expect_that!(value, gt(last));
            expect_that!(sent_at.elapsed(), lt(Duration::from_millis(150)));
            last = value;
            cluster.restart_node(ip(resigning));
            sleep(seconds(2)).await;
            last = last.max(number_from_any(&cluster, &seeds()).await);
        }
    });
}

#[gtest]
fn a_node_that_missed_the_last_slot_serves_watches_under_a_leader_without_a_pending_entry() {
    run(async {
        // Given a put that one of three nodes missed, and a later leader that found no pending entry,
        let cluster = start_cluster(&[]).await;
        number_from_any(&cluster, &seeds()).await;
        cluster.disconnect(ip(2));
        number_from_any(&cluster, &[ip(0), ip(1)]).await;
        let stored = send_request(&cluster, ip(0), put("g.k", "v", None)).await;
        expect_that!(stored, eq(&ApplicationReply::Outcome(CoordinationOutcome::KeyStored { revision: 1 })));
        sleep(seconds(32)).await;
        let value = KeyRevision { value: "v".to_owned(), revision: 1 };
        let read_back = send_request(&cluster, ip(0), read("g.k")).await;
        expect_that!(read_back, eq(&ApplicationReply::Key(Some(value))));
        // when the node is reconnected, then it learns of the put although no other command is executed.
        cluster.reconnect(ip(2));
        sleep(seconds(3)).await;
        let current = send_request(&cluster, ip(2), watch("g.", 0, seconds(1))).await;
        expect_that!(current, eq(&ApplicationReply::Events { events: Vec::new(), revision: 1 }));
    });
}

#[gtest]
fn a_membership_change_delays_no_request_for_long() {
    run(async {
        // Given three nodes, one of which is not the leader and restarted with an empty disk,
        let cluster = start_cluster(&[]).await;
        number_from_any(&cluster, &seeds()).await;
        let leader = cluster.node(ip(0)).coordination_status().leader.expect("a leader").ip;
        let wiped = seeds().into_iter().find(|node| *node != leader).expect("another node");
        cluster.stop_node(wiped);
        cluster.wipe_disk(wiped);
        cluster.restart_node(wiped);
        // when calls are made while its new replica becomes a member, then each is answered quickly.
        let until = Instant::now() + seconds(4);
        while Instant::now() < until {
            let sent_at = Instant::now();
            let reply = send_request(&cluster, leader, next_number()).await;
            expect_that!(matches!(reply, ApplicationReply::Outcome(_)), eq(true));
            expect_that!(sent_at.elapsed(), lt(Duration::from_millis(150)));
            sleep(Duration::from_millis(20)).await;
        }
    });
}

#[gtest]
fn a_replacement_replica_is_a_member_before_the_next_command() {
    run(async {
        // Given three nodes, one of which is not the leader and lost its disk, and only reads, no commands, for 5 s after that,
        let cluster = start_cluster(&[]).await;
        let last = number_from_any(&cluster, &seeds()).await;
        let leader = cluster.node(ip(0)).coordination_status().leader.expect("a leader").ip;
        let wiped = seeds().into_iter().find(|node| *node != leader).expect("another node");
        cluster.stop_node(wiped);
        cluster.wipe_disk(wiped);
        cluster.restart_node(wiped);
        for _ in 0..50 {
            sleep(Duration::from_millis(100)).await;
            send_request(&cluster, leader, read("g.none")).await;
        }
        let status = cluster.node(leader).coordination_status();
        let new_replica = cluster.node(wiped).coordination_status().replica;
        expect_that!(status.members.iter().any(|member| Some(member.replica) == new_replica), eq(true));
        // when the leader loses its disk too, then the other two continue to serve.
        let leader = status.leader.expect("a leader").ip;
        cluster.stop_node(leader);
        cluster.wipe_disk(leader);
        cluster.restart_node(leader);
        sleep(seconds(10)).await;
        expect_that!(number_from_any(&cluster, &seeds()).await, gt(last));
    });
}

#[gtest]
fn a_replacement_replica_is_a_member_after_a_power_loss() {
    run(async {
        // Given three nodes, one of which is not the leader, lost its disk and became a member again,
        let cluster = start_cluster(&[]).await;
        let last = number_from_any(&cluster, &seeds()).await;
        let leader = cluster.node(ip(0)).coordination_status().leader.expect("a leader").ip;
        let wiped = seeds().into_iter().find(|node| *node != leader).expect("another node");
        cluster.stop_node(wiped);
        cluster.wipe_disk(wiped);
        cluster.restart_node(wiped);
        sleep(seconds(10)).await;
        let status = cluster.node(leader).coordination_status();
        let new_replica = cluster.node(wiped).coordination_status().replica;
        expect_that!(status.members.iter().any(|member| Some(member.replica) == new_replica), eq(true));
        // when all nodes lose power and the leader also loses its disk, then the other two continue to serve.
        for node in seeds() {
            cluster.stop_node(node);
        }
        cluster.wipe_disk(leader);
        for node in seeds() {
            cluster.restart_node(node);
        }
        sleep(seconds(10)).await;
        expect_that!(number_from_any(&cluster, &seeds()).await, gt(last));
    });
}
