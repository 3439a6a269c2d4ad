//! Soaks: faulty answers of changing forms to changing crowds of callers, while processes go through faults.
use super::callers::{Callers, Reader};
use super::form::FaultyAnswer;
use super::rig::{LongAnswer, Rig};
use super::stand_in::FaultyRoute;
use crate::fleet::FleetError;
use crate::misbehaving_clients::process::WatchedProcess;
use crate::misbehaving_clients::soak::{SoakPlan, change_configurations, run_series, unanswered};
use crate::serving_tier::endpoints::mixed;
use crate::serving_tier::machines::Role;
use crate::serving_tier::soak::Schedule;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::ops::Range;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Callers of a crowd.
const CROWD_CALLERS: Range<usize> = 10..200;
/// Forms at the same time.
const FORMS: Range<usize> = 1..5;
/// How long a crowd stays, in milliseconds.
const CROWD_STAY_MS: Range<u64> = 500..8_000;
/// Crowds at the same time at each proxy.
const CROWDS: u64 = 2;

/// Runs a soak; returns all that was not as it should be.
pub async fn soak(plan: SoakPlan) -> Result<Vec<String>, FleetError> {
    let rig = Rig::start(plan.limits, plan.seed).await?;
    let processes: Vec<(Role, usize)> =
        rig.tier.processes().iter().map(|process| (process.role, process.number)).collect();
    let schedule = Schedule::draw(plan.seed, plan.trouble, &processes, plan.length);
    let series = rig.tier.processes().iter().zip(&schedule.series);
    let series = series.map(|(process, (_, _, steps)): (&WatchedProcess, _)| run_series(process, steps));
    let crowds = (0..CROWDS * plan.limits.edge as u64)
        .map(|number| run_crowds(&rig, mixed(plan.seed) ^ mixed(number), plan.length));
    let (failed, _, last_crowds) = tokio::join!(
        futures_util::future::join_all(series),
        change_configurations(&rig.tier, &schedule.configurations),
        futures_util::future::join_all(crowds),
    );
    failed.into_iter().collect::<Result<Vec<()>, _>>()?;
    let mut findings = unanswered(&rig.tier).await;
    for edge in 0..rig.tier.addresses.edge.len() {
        let came = rig.long_answer(edge).await;
        if came != LongAnswer::Complete {
            findings.push(format!("long answer of a sound endpoint through request-proxy-{edge}: {came:?}"));
        }
    }
    drop(last_crowds);
    findings.extend(rig.tier.excesses().await);
    let broken = rig.tier.report.broken_promises();
    findings.extend(broken.into_iter().map(|id| format!("request {id} was refused and ran")));
    Ok(findings)
}

/// One crowd after another; the last one is returned, still there.
async fn run_crowds(rig: &Rig, seed: u64, length: Duration) -> Callers {
    let end = Instant::now() + length;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let all = FaultyAnswer::all();
    loop {
        let forms = rng.random_range(FORMS);
        rig.answers.set((0..forms).map(|_| all[rng.random_range(0..all.len())]).collect());
        let edge = rng.random_range(0..rig.tier.addresses.edge.len());
        let count = rng.random_range(CROWD_CALLERS);
        let proxy = rig.tier.addresses.front(edge);
        let crowd = Callers::start(proxy, &FaultyRoute::ALL, &Reader::ALL, count);
        sleep(Duration::from_millis(rng.random_range(CROWD_STAY_MS))).await;
        if Instant::now() >= end {
            return crowd;
        }
    }
}
