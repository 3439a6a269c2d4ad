//! Clients that keep to no limit, against the real programs on loopback. Checked is only what no slow machine changes: that
//! every process lives, that its memory (resident and unread bytes) and its descriptors stay within its settings, that no
//! refused request runs, and that an ordinary request is answered while the crowd stays. The tests run one at a time.
use std::time::Duration;
use testbed::misbehaving_clients::crowd::{Behavior, Crowd, Target};
use testbed::misbehaving_clients::process::TierLimits;
use testbed::misbehaving_clients::sender::{SenderLimits, SmallSender};
use testbed::misbehaving_clients::soak::{SoakPlan, soak, soak_sender};
use testbed::misbehaving_clients::tier::SmallTier;
use testbed::serving_tier::soak::Trouble;
use tokio::sync::{Mutex, MutexGuard};
use tokio::time::{sleep, timeout};

/// Each client of a crowd has sent what it wants to send by then, on the slowest machine.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(300);
/// How long a settled crowd stays before the ordinary requests come.
const STAY: Duration = Duration::from_secs(2);
/// Clients in a crowd.
const CROWD: usize = 64;
/// Clients in a crowd that sends chunks of a single byte, each of which is a frame of its own.
const SINGLE_BYTE_CROWD: usize = 4;
/// Clients in a crowd of which each occupies little but a connection.
const LARGE_CROWD: usize = 600;
/// Clients in a crowd at the sender, whose bodies are small.
const SENDER_CROWD: usize = 900;
/// What the processes of the tier may use: less than half of what the deployed machines have.
const TIER_LIMITS: TierLimits =
    TierLimits { core: 3, storage: 3, edge: 1, memory_mb: 64, storage_memory_mb: 128, descriptors: 2_000 };
/// The same with few descriptors.
const FEW_DESCRIPTORS: TierLimits = TierLimits { descriptors: 500, ..TIER_LIMITS };
/// What the sender may use.
const SENDER_LIMITS: SenderLimits = SenderLimits { memory_mb: 48, descriptors: 2_000 };

static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// Held by each test while it runs.
async fn alone() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().await
}

async fn settle(crowd: &Crowd) {
    timeout(SETTLE_TIMEOUT, crowd.settled()).await.expect("a crowd that settles");
    sleep(STAY).await;
}

/// Has a crowd misbehave at one listener of a tier.
async fn crowd_at(
    limits: TierLimits,
    target: impl FnOnce(&SmallTier) -> Target,
    behaviors: &[Behavior],
    clients: usize,
) {
    let _alone = alone().await;
    let tier = SmallTier::start(limits, 1).await.unwrap();
    let crowd = Crowd::start(&target(&tier), behaviors, clients, &tier.report);
    settle(&crowd).await;
    let client_answered = tier.ordinary_request_answered(0).await;
    let ready = tier.ready(0).await;
    let operator_answered = tier.operator_answered(0).await;
    let excesses = tier.excesses().await;
    println!("{}", tier.report.summary());
    drop(crowd);
    assert_eq!(excesses, [] as [String; 0]);
    assert_eq!(tier.report.broken_promises(), [] as [String; 0]);
    assert!(client_answered, "no answer to an ordinary request");
    assert!(ready, "no answer to the platform");
    assert!(operator_answered, "no answer to the operator");
}

/// Has a crowd misbehave at a sender.
async fn crowd_at_sender(behaviors: &[Behavior]) {
    let _alone = alone().await;
    let sender = SmallSender::start(SENDER_LIMITS).await.unwrap();
    let crowd = Crowd::start(&sender.submissions(), behaviors, SENDER_CROWD, &sender.report);
    settle(&crowd).await;
    let accepted = sender.ordinary_message_accepted().await;
    let excesses = sender.excesses().await;
    println!("{}", sender.report.summary());
    drop(crowd);
    assert_eq!(excesses, [] as [String; 0]);
    assert!(accepted, "an ordinary message was not accepted");
}

const WHOLE: [Behavior; 1] = [Behavior::WholeBody];
const STALLED: [Behavior; 2] =
    [Behavior::StalledBody { piece: usize::MAX }, Behavior::StalledBody { piece: 16 * 1024 }];
const LARGE_CHUNKS: [Behavior; 1] = [Behavior::StalledChunks { chunk: 1024 * 1024 }];
const SMALL_CHUNKS: [Behavior; 1] = [Behavior::StalledChunks { chunk: 64 }];
const SINGLE_BYTES: [Behavior; 1] = [Behavior::StalledChunks { chunk: 1 }];
const OVER_LIMIT: [Behavior; 2] = [Behavior::AnnouncedOverLimit, Behavior::SentOverLimit];
const BEHIND_REQUESTS: [Behavior; 1] = [Behavior::BytesBehindRequest];
const STALLED_HEADS: [Behavior; 1] = [Behavior::StalledHead];

macro_rules! at_tier {
    ($($name:ident: $limits:expr, $target:expr, $behaviors:expr, $clients:expr;)*) => {
        $(#[tokio::test(flavor = "multi_thread")]
        async fn $name() {
            crowd_at($limits, $target, &$behaviors, $clients).await;
        })*
    };
}

at_tier! {
    whole_bodies_exhaust_the_memory_of_a_proxy: TIER_LIMITS, |tier| tier.orders(0), WHOLE, CROWD;
    whole_turns_exhaust_the_memory_of_a_tier: TIER_LIMITS, |tier| tier.turns(0), WHOLE, CROWD;
    chains_of_whole_turns_exhaust_the_memory_of_a_tier: TIER_LIMITS, |tier| tier.continued_turns(0), WHOLE, CROWD;
    stalled_bodies_exhaust_the_memory_of_a_proxy: TIER_LIMITS, |tier| tier.orders(0), STALLED, CROWD;
    stalled_bodies_without_a_route_exhaust_the_memory_of_a_proxy:
        TIER_LIMITS, |tier| tier.no_route(0), STALLED, CROWD;
    large_chunks_exhaust_the_memory_of_a_proxy: TIER_LIMITS, |tier| tier.orders(0), LARGE_CHUNKS, CROWD;
    small_chunks_exhaust_the_memory_of_a_proxy: TIER_LIMITS, |tier| tier.orders(0), SMALL_CHUNKS, CROWD;
    chunks_of_a_byte_exhaust_the_memory_of_a_proxy:
        TIER_LIMITS, |tier| tier.orders(0), SINGLE_BYTES, SINGLE_BYTE_CROWD;
    bodies_over_the_limit_exhaust_the_memory_of_a_proxy:
        TIER_LIMITS, |tier| tier.orders(0), OVER_LIMIT, CROWD;
    bytes_behind_requests_exhaust_the_memory_of_a_proxy:
        TIER_LIMITS, |tier| tier.orders(0), BEHIND_REQUESTS, LARGE_CROWD;
    stalled_heads_exhaust_the_descriptors_of_a_proxy:
        FEW_DESCRIPTORS, |tier| tier.orders(0), STALLED_HEADS, LARGE_CROWD;
    stalled_heads_keep_a_proxy_from_new_clients:
        TIER_LIMITS, |tier| tier.readiness(0), STALLED_HEADS, LARGE_CROWD;
    whole_configurations_exhaust_the_memory_of_a_control_node:
        TIER_LIMITS, |tier| tier.configurations(0), WHOLE, CROWD;
    stalled_configurations_exhaust_the_memory_of_a_control_node:
        TIER_LIMITS, |tier| tier.configurations(0), STALLED, CROWD;
    large_chunks_exhaust_the_memory_of_a_control_node:
        TIER_LIMITS, |tier| tier.configurations(0), LARGE_CHUNKS, CROWD;
    small_chunks_exhaust_the_memory_of_a_control_node:
        TIER_LIMITS, |tier| tier.configurations(0), SMALL_CHUNKS, CROWD;
    chunks_of_a_byte_exhaust_the_memory_of_a_control_node:
        TIER_LIMITS, |tier| tier.configurations(0), SINGLE_BYTES, SINGLE_BYTE_CROWD;
    bodies_over_the_limit_exhaust_the_memory_of_a_control_node:
        TIER_LIMITS, |tier| tier.configurations(0), OVER_LIMIT, CROWD;
    calls_in_chunks_exhaust_the_memory_of_a_control_node:
        TIER_LIMITS, |tier| tier.locks(0), SMALL_CHUNKS, LARGE_CROWD;
    bytes_behind_calls_exhaust_the_memory_of_a_control_node:
        TIER_LIMITS, |tier| tier.locks(0), BEHIND_REQUESTS, LARGE_CROWD;
    stalled_heads_exhaust_the_descriptors_of_a_control_node:
        FEW_DESCRIPTORS, |tier| tier.locks(0), STALLED_HEADS, LARGE_CROWD;
}

macro_rules! at_sender {
    ($($name:ident: $behaviors:expr;)*) => {
        $(#[tokio::test(flavor = "multi_thread")]
        async fn $name() {
            crowd_at_sender(&$behaviors).await;
        })*
    };
}

at_sender! {
    whole_messages_exhaust_the_memory_of_a_sender: WHOLE;
    stalled_messages_exhaust_the_memory_of_a_sender: STALLED;
    chunked_messages_exhaust_the_memory_of_a_sender: [LARGE_CHUNKS[0], SMALL_CHUNKS[0], SINGLE_BYTES[0]];
    messages_over_the_limit_exhaust_the_memory_of_a_sender: OVER_LIMIT;
    bytes_behind_messages_exhaust_the_memory_of_a_sender: BEHIND_REQUESTS;
    stalled_heads_exhaust_the_descriptors_of_a_sender: STALLED_HEADS;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_of_the_greatest_legal_length_are_refused_in_calm() {
    let _alone = alone().await;
    let tier = SmallTier::start(TIER_LIMITS, 2).await.unwrap();
    assert!(tier.greatest_request_answered(0).await);
    let sender = SmallSender::start(SENDER_LIMITS).await.unwrap();
    assert!(sender.greatest_message_accepted().await);
}

/// Runs a short soak of crowds and faults.
async fn soak_with(seed: u64, trouble: Trouble) {
    let _alone = alone().await;
    let limits = TierLimits { edge: 2, ..TIER_LIMITS };
    let plan = SoakPlan { seed, length: Duration::from_secs(20), trouble, limits };
    assert_eq!(soak(plan).await.unwrap(), [] as [String; 0]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_soak_of_crowds_and_planned_work_ends_or_chokes_a_process() {
    soak_with(1, Trouble::Planned).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_soak_of_crowds_and_failures_ends_or_chokes_a_process() {
    soak_with(2, Trouble::Failures).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_soak_of_crowds_and_failures_ends_or_chokes_a_sender() {
    let _alone = alone().await;
    let findings = soak_sender(3, Duration::from_secs(20), SENDER_LIMITS).await.unwrap();
    assert_eq!(findings, [] as [String; 0]);
}
