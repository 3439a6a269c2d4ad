//! What is drawn before a run: partners with their limits, and every message with its time. The same scenario and
//! seed give the same plan, on any machine.
use crate::scenario::{Drawn, Scenario, ScheduledFault};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal, weighted::WeightedIndex};

/// Times in a run: microseconds from its start.
pub type Micros = u64;

/// Converts seconds to microseconds.
pub fn micros(seconds: f64) -> Micros {
    (seconds * 1e6).round().max(0.0) as Micros
}

/// A message that a client will submit.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When.
    pub at: Micros,
    /// Its class, by its place in the scenario.
    pub class: usize,
    /// Its partner.
    pub partner: usize,
    /// What it takes at a partner of usual pace.
    pub work: Micros,
    /// Random number for which sender gets it, and for the client's waits: from 0 to 1.
    pub random: f64,
}

/// A partner as it was drawn.
#[derive(Clone, Debug, PartialEq)]
pub struct PartnerPlan {
    /// Its kind, by its place in the scenario.
    pub kind: usize,
    /// Its part of the messages.
    pub part: f64,
    /// Calls a second that it takes from all senders together.
    pub limit: f64,
    /// Length of the span in which calls are counted; 0 for a plain rate.
    pub window: Micros,
    /// Endpoints.
    pub endpoints: usize,
    /// Calls that an endpoint serves at once.
    pub at_once: usize,
    /// Calls that wait at an endpoint, at the most.
    pub queue: usize,
    /// Connections that an endpoint takes; 0 for any number.
    pub connections: usize,
    /// Calls a second that it could serve.
    pub capacity: f64,
    /// Its pace: work takes its time divided by this.
    pub speed: f64,
    /// Share of its refusals that advise a wait.
    pub retry_after_share: f64,
}

/// All that is drawn before a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Partners, by number.
    pub partners: Vec<PartnerPlan>,
    /// Messages, by time.
    pub arrivals: Vec<Arrival>,
    /// Slots of each sender.
    pub slots: usize,
    /// Messages that each sender has pending, at the most.
    pub max_pending: usize,
    /// Faults and whom each meets, by number.
    pub scheduled_faults: Vec<(ScheduledFault, Vec<usize>)>,
}

fn draw(rng: &mut ChaCha8Rng, range: Drawn) -> f64 {
    range[0] + (range[1] - range[0]) * rng.random::<f64>()
}

/// Smallest capacity of a sender, whatever its part of the traffic: calls out, and messages pending.
const MIN_SLOTS: usize = 3;
const MIN_PENDING: usize = 8;
/// In which a clump comes, as a share of the time in which its partner could take it.
const CLUMP_SPREAD: f64 = 0.2;

impl Plan {
    /// Draws a plan.
    pub fn draw(scenario: &Scenario, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let partners = draw_partners(scenario, &mut rng);
        let arrivals = draw_arrivals(scenario, &partners, &mut rng);
        let full = scenario.traffic.rate / scenario.traffic.load / scenario.fleet.senders as f64;
        let busy = full * mean_work(scenario) / partners.iter().map(|p| p.part * p.speed).sum::<f64>();
        let scheduled_faults = scenario.scheduled_faults.iter().map(|t| {
            let of = if t.kind.meets_partners() { partners.len() } else { scenario.fleet.senders };
            let met = ((of as f64 * t.part).round() as usize).clamp(1, of);
            (t.clone(), (0..met).collect())
        });
        Plan {
            slots: ((busy * scenario.fleet.slot_headroom).round() as usize).max(MIN_SLOTS),
            max_pending: ((full * scenario.fleet.pending_s).round() as usize).max(MIN_PENDING),
            scheduled_faults: scheduled_faults.collect(),
            partners,
            arrivals,
        }
    }

    /// Endpoints of all partners: their partner and their number there.
    pub fn endpoints(&self) -> impl Iterator<Item = (usize, usize)> {
        let counts = self.partners.iter().enumerate();
        counts.flat_map(|(partner, p)| (0..p.endpoints).map(move |endpoint| (partner, endpoint)))
    }
}

/// Seconds that a message takes at a partner of usual pace, in the mean over the classes.
fn mean_work(scenario: &Scenario) -> f64 {
    let shares: f64 = scenario.classes.iter().map(|c| c.share).sum();
    scenario.classes.iter().map(|c| c.share * c.work_ms / 1000.0).sum::<f64>() / shares
}

fn draw_partners(scenario: &Scenario, rng: &mut ChaCha8Rng) -> Vec<PartnerPlan> {
    let kinds = scenario.partner_kinds();
    let weight = |index: usize| (index as f64 + 1.0).powf(-scenario.traffic.zipf);
    let all: f64 = (0..kinds.len()).map(weight).sum();
    let full = scenario.traffic.rate / scenario.traffic.load;
    let work = mean_work(scenario);
    let partner = |(index, kind): (usize, usize)| {
        let (k, part) = (&scenario.partners[kind], weight(index) / all);
        let limit = (full * part * draw(rng, k.headroom)).max(draw(rng, k.min_rate));
        let capacity = limit * draw(rng, k.capacity_over_limit);
        let speed = draw(rng, k.speed);
        let endpoints = (draw(rng, k.endpoints).round() as usize).max(1);
        let each = capacity / endpoints as f64;
        let at_once = ((each * work / speed).ceil() as usize).max(1);
        let connections = (k.connections * at_once as f64).max(k.min_connections).round() as usize;
        PartnerPlan {
            kind,
            part,
            limit,
            window: micros(draw(rng, k.window_ms) / 1000.0),
            endpoints,
            at_once,
            queue: (each * draw(rng, k.depth_s)).round() as usize,
            connections: if k.connections > 0.0 { connections } else { 0 },
            capacity,
            speed,
            retry_after_share: draw(rng, k.retry_after_share),
        }
    };
    kinds.into_iter().enumerate().map(partner).collect()
}

fn draw_arrivals(scenario: &Scenario, partners: &[PartnerPlan], rng: &mut ChaCha8Rng) -> Vec<Arrival> {
    let t = &scenario.traffic;
    let mut arrivals = Vec::new();
    let (Ok(class), Ok(partner)) = (
        WeightedIndex::new(scenario.classes.iter().map(|c| c.share)),
        WeightedIndex::new(partners.iter().map(|p| p.part)),
    ) else {
        return arrivals;
    };
    let works: Vec<_> = scenario.classes.iter().map(|c| lognormal(c.work_ms / 1000.0, c.cv)).collect();
    let mut add = |rng: &mut ChaCha8Rng, at: f64, partner: usize| {
        let class = class.sample(rng);
        let work = works[class].map_or(scenario.classes[class].work_ms / 1000.0, |w| w.sample(rng));
        if at < scenario.seconds {
            arrivals.push(Arrival {
                at: micros(at),
                class,
                partner,
                work: micros(work).max(1),
                random: rng.random(),
            });
        }
    };
    for at in poisson(rng, t.rate * (1.0 - t.clumps), scenario.seconds) {
        let to = partner.sample(rng);
        add(rng, at, to);
    }
    let size = |p: &PartnerPlan| (p.limit * t.clump_s).round().max(1.0);
    let mean: f64 = partners.iter().map(|p| p.part * size(p)).sum();
    for at in poisson(rng, t.rate * t.clumps / mean, scenario.seconds) {
        let to = partner.sample(rng);
        for _ in 0..size(&partners[to]) as usize {
            let later = t.clump_s * CLUMP_SPREAD * rng.random::<f64>();
            add(rng, at + later, to);
        }
    }
    arrivals.sort_by_key(|a| a.at);
    arrivals
}

/// Times of a Poisson process.
fn poisson(rng: &mut ChaCha8Rng, rate: f64, seconds: f64) -> Vec<f64> {
    let Ok(gap) = Exp::new(rate) else { return Vec::new() };
    let mut times = Vec::new();
    let mut at = gap.sample(rng);
    while at < seconds {
        times.push(at);
        at += gap.sample(rng);
    }
    times
}

/// A lognormal distribution by its mean and coefficient of variation; none where nothing varies.
pub fn lognormal(mean: f64, cv: f64) -> Option<LogNormal<f64>> {
    LogNormal::from_mean_cv(mean, cv).ok().filter(|_| cv > 0.0)
}

#[cfg(test)]
mod tests;
