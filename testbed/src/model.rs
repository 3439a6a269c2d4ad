//! Partners as the operators describe theirs: limits, waits, queues, few connections, outages and cold returns. Pure:
//! all time comes from outside, so that runs on sockets and in simulated time meet the same partners.
use crate::plan::{Micros, PartnerPlan, Plan, micros};
use crate::scenario::{FaultKind, Kind, Rules, Scenario, ScheduledFault};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeSet, VecDeque};

/// What a partner or one of its endpoints does at present.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Condition {
    /// Serves.
    #[default]
    Up,
    /// Refuses connections.
    Down,
    /// Takes calls and never answers.
    Hung,
    /// Answers `full` until then.
    Shut(Micros),
    /// Answers each call with an error.
    Errors,
}

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fate {
    /// Rejected unseen, and advised to wait this long.
    Refused(Option<Micros>),
    /// Answered then, delivered or with an error. An error took no effect, though no sender can know that.
    Answered {
        /// When.
        at: Micros,
        /// Whether it is delivered.
        ok: bool,
    },
    /// No answer ever comes. It runs where it is told to have a place.
    Silent {
        /// Whether it runs.
        runs: bool,
    },
    /// The connection breaks then; the call may have run.
    Broken {
        /// When.
        at: Micros,
    },
}

impl Fate {
    /// Whether the call takes effect.
    pub fn runs(self) -> bool {
        matches!(self, Fate::Answered { ok: true, .. } | Fate::Silent { runs: true } | Fate::Broken { .. })
    }
}

/// An error is answered after so long: nothing was worked on.
const ERROR_RESPONSE_TIME_US: Micros = 20_000;
/// Calls that a plain rate lets through at once, in seconds of it; one at least.
const BURST_S: f64 = 0.25;

/// Calls that a partner takes from all senders together.
#[derive(Debug)]
struct Limit {
    rate: f64,
    window: Micros,
    /// Of the limit, while it is lowered or raised.
    factor: f64,
    tokens: f64,
    seen: Micros,
    span: Micros,
    used: f64,
}

impl Limit {
    fn rate(&self) -> f64 {
        self.rate * self.factor
    }

    /// Takes one call; an error says when there is capacity again.
    fn take(&mut self, now: Micros, refused_count: bool) -> Result<(), Micros> {
        let rate = self.rate();
        if self.window == 0 {
            let depth = (rate * BURST_S).max(1.0);
            self.tokens = (self.tokens + (now - self.seen.min(now)) as f64 / 1e6 * rate).min(depth);
            self.seen = now;
            if self.tokens >= 1.0 {
                self.tokens -= 1.0;
                return Ok(());
            }
            if refused_count {
                self.tokens = (self.tokens - 1.0).max(-depth);
            }
            return Err(micros((1.0 - self.tokens) / rate));
        }
        if now >= self.span + self.window {
            (self.span, self.used) = (now - now % self.window, 0.0);
        }
        let max = (rate * self.window as f64 / 1e6).floor().max(1.0);
        if self.used + 1.0 <= max {
            self.used += 1.0;
            return Ok(());
        }
        Err(self.span + self.window - now)
    }
}

/// One endpoint.
#[derive(Debug)]
struct Endpoint {
    condition: Condition,
    /// When each of the calls that it serves at once has its end.
    busy_until: Vec<Micros>,
    /// When those that wait begin.
    waiting: VecDeque<Micros>,
    connections: usize,
}

/// A partner.
#[derive(Debug)]
pub struct Partner {
    kind: Kind,
    plan: PartnerPlan,
    limit: Limit,
    endpoints: Vec<Endpoint>,
    /// Calls take this many times as long.
    pub slow: f64,
    /// Share of the answers that get lost.
    pub lost: f64,
    /// Share of the calls under which the connection breaks.
    pub resets: f64,
    /// When it came back from its outage.
    returned: Option<Micros>,
    in_outage: bool,
    fallen: bool,
    rules: Rules,
    /// Calls of the last span in which it could fall, with their senders.
    recent: VecDeque<(Micros, usize)>,
    /// Senders that saw a call fail or refused while it was out.
    witnesses: BTreeSet<usize>,
    rng: ChaCha8Rng,
}

/// A partner that fell over.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fall {
    /// Share of the calls that came from senders which had seen it fail.
    pub by_witnesses: f64,
}

impl Partner {
    /// A partner as it was drawn.
    pub fn new(plan: &PartnerPlan, kind: &Kind, rules: &Rules, seed: u64) -> Self {
        let endpoint = || Endpoint {
            condition: Condition::Up,
            busy_until: vec![0; plan.at_once],
            waiting: VecDeque::new(),
            connections: 0,
        };
        let limit = Limit {
            rate: plan.limit,
            window: plan.window,
            factor: 1.0,
            tokens: 1.0,
            seen: 0,
            span: 0,
            used: 0.0,
        };
        Self {
            kind: kind.clone(),
            endpoints: (0..plan.endpoints).map(|_| endpoint()).collect(),
            plan: plan.clone(),
            limit,
            slow: 1.0,
            lost: 0.0,
            resets: 0.0,
            returned: None,
            in_outage: false,
            fallen: false,
            rules: rules.clone(),
            recent: VecDeque::new(),
            witnesses: BTreeSet::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// All partners of a plan, each with its own random generator, so that one partner's calls do not move another's draws.
    pub fn all(plan: &Plan, scenario: &Scenario, seed: u64) -> Vec<Self> {
        let own = |number: usize| seed.wrapping_mul(0x9E37_79B9_7F4A_7C15).wrapping_add(number as u64);
        let partner = |(number, p): (usize, &PartnerPlan)| {
            Partner::new(p, &scenario.partners[p.kind], &scenario.rules, own(number))
        };
        plan.partners.iter().enumerate().map(partner).collect()
    }

    /// A fault of the partners' begins or ends here.
    pub fn apply_fault(&mut self, now: Micros, fault: &ScheduledFault, begins: bool) {
        let factor = if begins { fault.size } else { 1.0 };
        let share = if begins { fault.size } else { 0.0 };
        let until = micros(fault.at_s + fault.for_s);
        let condition = match fault.kind {
            FaultKind::Slow => return self.slow = factor,
            FaultKind::Limit => return self.limit.factor = factor,
            FaultKind::Lost => return self.lost = share,
            FaultKind::Resets => return self.resets = share,
            FaultKind::Down => Condition::Down,
            FaultKind::Hung => Condition::Hung,
            FaultKind::Shut => Condition::Shut(until),
            FaultKind::Errors => Condition::Errors,
            // Not the partners'.
            FaultKind::Drain | FaultKind::Kill | FaultKind::Restart | FaultKind::Directory => return,
        };
        self.set(now, if begins { condition } else { Condition::Up });
    }

    /// Whether it fell over, and stays down.
    pub fn fallen(&self) -> bool {
        self.fallen
    }

    /// Sets what all of its endpoints do. One that comes up again is cold.
    pub fn set(&mut self, now: Micros, condition: Condition) {
        if self.fallen {
            return;
        }
        if condition == Condition::Up && self.in_outage {
            self.returned = Some(now);
            self.recent.clear();
        }
        if condition != Condition::Up && !self.in_outage {
            self.witnesses.clear();
        }
        self.in_outage = condition != Condition::Up;
        for endpoint in &mut self.endpoints {
            endpoint.condition = condition;
            endpoint.waiting.clear();
            endpoint.busy_until.fill(now);
        }
    }

    /// What an endpoint does.
    pub fn condition(&self, endpoint: usize) -> Condition {
        self.endpoints[endpoint].condition
    }

    /// Notes that a sender saw a call fail or refused here.
    pub fn witnessed(&mut self, sender: usize) {
        if self.in_outage {
            self.witnesses.insert(sender);
        }
    }

    /// A connection is made; whether there is capacity for it. Either way it counts until it is closed.
    pub fn connected(&mut self, endpoint: usize) -> bool {
        let at = &mut self.endpoints[endpoint];
        at.connections += 1;
        self.plan.connections == 0 || at.connections <= self.plan.connections
    }

    /// A connection is closed.
    pub fn disconnected(&mut self, endpoint: usize) {
        let at = &mut self.endpoints[endpoint];
        at.connections = at.connections.saturating_sub(1);
    }

    /// Its present capacity as a share of all of it.
    fn warmth(&self, now: Micros) -> f64 {
        let Some(returned) = self.returned else { return 1.0 };
        let warm_up_progress = (now.saturating_sub(returned)) as f64 / 1e6 / self.rules.warm_up_s;
        (self.rules.initial_capacity_share + (1.0 - self.rules.initial_capacity_share) * warm_up_progress)
            .min(1.0)
    }

    /// A call that weighs on a cold partner: a fall, if it is the one too many.
    fn weigh(&mut self, now: Micros, sender: usize) -> Option<Fall> {
        let span = micros(self.rules.fall_s);
        self.recent.push_back((now, sender));
        while self.recent.front().is_some_and(|(at, _)| at + span <= now) {
            self.recent.pop_front();
        }
        let warmth = self.warmth(now);
        // A little slack for randomness, as any count of calls has it.
        let max = self.plan.capacity * warmth * self.rules.fall_multiple * self.rules.fall_s;
        if warmth >= 1.0 || self.in_outage || (self.recent.len() as f64) <= max + max.sqrt() {
            return None;
        }
        let witnesses = self.recent.iter().filter(|(_, sender)| self.witnesses.contains(sender)).count();
        let by_witnesses = witnesses as f64 / self.recent.len() as f64;
        self.set(now, Condition::Down);
        self.fallen = true;
        Some(Fall { by_witnesses })
    }

    /// A call arrives completely at one of the endpoints.
    pub fn arrive(
        &mut self,
        now: Micros,
        endpoint: usize,
        sender: usize,
        work: Micros,
    ) -> (Fate, Option<Fall>) {
        let fall = self.weigh(now, sender);
        let fate = match self.endpoints[endpoint].condition {
            Condition::Down => Fate::Broken { at: now },
            Condition::Hung => Fate::Silent { runs: false },
            Condition::Errors => Fate::Answered { at: now + ERROR_RESPONSE_TIME_US, ok: false },
            Condition::Shut(until) => Fate::Refused(self.advise_wait(until.saturating_sub(now))),
            Condition::Up => self.serve(now, endpoint, work),
        };
        (fate, fall)
    }

    /// Advises a wait, or not.
    fn advise_wait(&mut self, wait: Micros) -> Option<Micros> {
        let tells = self.rng.random::<f64>() < self.plan.retry_after_share;
        tells.then_some(wait.max(1000))
    }

    fn serve(&mut self, now: Micros, endpoint: usize, work: Micros) -> Fate {
        if let Err(retry_in) = self.limit.take(now, self.kind.refused_count) {
            let [min, max] = self.kind.wait_ms;
            let drawn = micros((min + (max - min) * self.rng.random::<f64>()) / 1000.0);
            let wait = if self.plan.window == 0 { retry_in.max(drawn) } else { retry_in };
            return Fate::Refused(self.advise_wait(wait));
        }
        let (warmth, queue) = (self.warmth(now), self.plan.queue);
        let at = &mut self.endpoints[endpoint];
        at.waiting.retain(|begins| *begins > now);
        let Some(free) = at.busy_until.iter_mut().min() else { return Fate::Refused(None) };
        let begins = now.max(*free);
        if begins > now && at.waiting.len() >= queue {
            return Fate::Refused(None);
        }
        let takes = (work as f64 / self.plan.speed * self.slow / warmth) as Micros;
        *free = begins + takes;
        if begins > now {
            at.waiting.push_back(begins);
        }
        let end = begins + takes;
        match self.rng.random::<f64>() {
            random if random < self.lost => Fate::Silent { runs: true },
            random if random < self.lost + self.resets => Fate::Broken { at: begins + takes / 2 },
            random if random > 1.0 - self.kind.errors => Fate::Answered { at: end, ok: false },
            _ => Fate::Answered { at: end, ok: true },
        }
    }
}

#[cfg(test)]
mod tests;
