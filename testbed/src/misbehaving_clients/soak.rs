//! Soaks: crowds of drawn behaviors come and go at drawn listeners, while processes get series of signals, are restarted, killed
//! and stopped for a while, and the configuration changes. All of it overlaps. Connections stay open until the process that
//! serves them is gone. Afterwards, with the last crowds still there, ordinary requests have to be answered.
use super::crowd::{Behavior, Crowd, Target};
use super::process::{TierLimits, WatchedProcess};
use super::report::Report;
use super::sender::{SenderLimits, SmallSender};
use super::tier::{FIRST_VERSION, SmallTier};
use crate::fleet::FleetError;
use crate::serving_tier::endpoints::mixed;
use crate::serving_tier::machines::Role;
use crate::serving_tier::soak::{Schedule, Step, Trouble};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Clients of a crowd.
const CROWD_CLIENTS: Range<usize> = 8..160;
/// Ways to misbehave within a crowd.
const CROWD_BEHAVIORS: Range<usize> = 1..4;
/// How long a crowd stays, in milliseconds.
const CROWD_STAY_MS: Range<u64> = 500..8_000;
/// Crowds at the same time.
const CROWDS: u64 = 3;

/// What a soak does.
#[derive(Clone, Copy, Debug)]
pub struct SoakPlan {
    /// Draws crowds and faults.
    pub seed: u64,
    /// How long crowds and faults come.
    pub length: Duration,
    /// Which faults there are.
    pub trouble: Trouble,
    /// The tier.
    pub limits: TierLimits,
}

/// Runs a soak; returns all that was not as it should be.
pub async fn soak(plan: SoakPlan) -> Result<Vec<String>, FleetError> {
    let tier = SmallTier::start(plan.limits, plan.seed).await?;
    let processes: Vec<(Role, usize)> =
        tier.processes().iter().map(|process| (process.role, process.number)).collect();
    let schedule = Schedule::draw(plan.seed, plan.trouble, &processes, plan.length);
    let series = tier.processes().iter().zip(&schedule.series);
    let series = series.map(|(process, (_, _, steps))| run_series(process, steps));
    let crowds = (0..CROWDS).map(|number| {
        let draw_target = |rng: &mut ChaCha8Rng| draw_target(&tier, rng);
        run_crowds(draw_target, &tier.report, mixed(plan.seed) ^ number, plan.length)
    });
    let (failed, _, last_crowds) = tokio::join!(
        futures_util::future::join_all(series),
        change_configurations(&tier, &schedule.configurations),
        futures_util::future::join_all(crowds),
    );
    failed.into_iter().collect::<Result<Vec<()>, _>>()?;
    let mut findings = unanswered(&tier).await;
    drop(last_crowds);
    findings.extend(tier.excesses().await);
    let broken = tier.report.broken_promises();
    findings.extend(broken.into_iter().map(|id| format!("request {id} was refused and ran")));
    println!("seed {}: {}", plan.seed, tier.report.summary());
    Ok(findings)
}

/// Runs a soak of a sender; returns all that was not as it should be.
pub async fn soak_sender(
    seed: u64,
    length: Duration,
    limits: SenderLimits,
) -> Result<Vec<String>, FleetError> {
    let sender = SmallSender::start(limits).await?;
    // A sender gets the faults that a proxy gets.
    let schedule = Schedule::draw(seed, Trouble::Failures, &[(Role::RequestProxy, 0)], length);
    let series = async {
        for step in schedule.series.iter().flat_map(|(_, _, steps)| steps) {
            sleep(step.gap).await;
            sender.apply(step.fault).await?;
        }
        Ok::<_, FleetError>(())
    };
    let crowds = (0..CROWDS)
        .map(|number| run_crowds(|_| sender.submissions(), &sender.report, mixed(seed) ^ number, length));
    let (failed, last_crowds) = tokio::join!(series, futures_util::future::join_all(crowds));
    failed?;
    let mut findings = Vec::new();
    if !sender.ordinary_message_accepted().await {
        findings.push("the sender accepts no ordinary message".to_owned());
    }
    drop(last_crowds);
    findings.extend(sender.excesses().await);
    println!("sender, seed {seed}: {}", sender.report.summary());
    Ok(findings)
}

pub(crate) async fn run_series(process: &WatchedProcess, steps: &[Step]) -> Result<(), FleetError> {
    for step in steps {
        sleep(step.gap).await;
        process.apply(step.fault).await?;
    }
    Ok(())
}

pub(crate) async fn change_configurations(tier: &SmallTier, gaps: &[Duration]) {
    let mut current = FIRST_VERSION;
    for gap in gaps {
        sleep(*gap).await;
        // A change without a clear answer is sent again unchanged.
        if tier.change_configuration(current, current + 1).await {
            current += 1;
        }
    }
}

/// One crowd after another; the last one is returned, still there.
async fn run_crowds(
    draw_target: impl Fn(&mut ChaCha8Rng) -> Target,
    report: &Arc<Report>,
    seed: u64,
    length: Duration,
) -> Crowd {
    let end = Instant::now() + length;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    loop {
        let target = draw_target(&mut rng);
        let count = rng.random_range(CROWD_BEHAVIORS);
        let behaviors: Vec<Behavior> =
            (0..count).map(|_| Behavior::ALL[rng.random_range(0..Behavior::ALL.len())]).collect();
        let clients = rng.random_range(CROWD_CLIENTS);
        let crowd = Crowd::start(&target, &behaviors, clients, report);
        sleep(Duration::from_millis(rng.random_range(CROWD_STAY_MS))).await;
        if Instant::now() >= end {
            return crowd;
        }
    }
}

fn draw_target(tier: &SmallTier, rng: &mut ChaCha8Rng) -> Target {
    let edge = rng.random_range(0..tier.addresses.edge.len());
    let core = rng.random_range(0..tier.addresses.core.len());
    match rng.random_range(0..7) {
        0 => tier.orders(edge),
        1 => tier.turns(edge),
        2 => tier.continued_turns(edge),
        3 => tier.no_route(edge),
        4 => tier.configurations(core),
        5 => tier.readiness(edge),
        _ => tier.locks(core),
    }
}

/// The processes that do not answer an ordinary request in time.
pub(crate) async fn unanswered(tier: &SmallTier) -> Vec<String> {
    let mut findings = Vec::new();
    for edge in 0..tier.addresses.edge.len() {
        if !tier.ordinary_request_answered(edge).await {
            findings.push(format!("request-proxy-{edge} answers no ordinary request"));
        }
        if !tier.ready(edge).await {
            findings.push(format!("request-proxy-{edge} does not tell that it is ready"));
        }
    }
    for core in 0..tier.addresses.core.len() {
        if !tier.operator_answered(core).await {
            findings.push(format!("control-node-{core} does not answer the operator"));
        }
    }
    findings
}
