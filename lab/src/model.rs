//! Partners as the operators describe theirs: limits, waits, queues, few connections, outages and cold returns. Pure:
//! all time comes from outside, so that plays on sockets and in simulated time meet the same partners.
use crate::plan::{Micros, PartnerPlan, Plan, micros};
use crate::scenario::{Kind, Rules, Scenario, Trouble, TroubleKind};
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
    /// Turned away unseen, and told to wait so long.
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
const ERROR_TAKES: Micros = 20_000;
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

    /// Takes one call; an error tells when there is room again.
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
        let most = (rate * self.window as f64 / 1e6).floor().max(1.0);
        if self.used + 1.0 <= most {
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
    /// Calls take so many times as long.
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

    /// All partners of a plan, each with its own chance, so that one partner's calls do not move another's draws.
    pub fn all(plan: &Plan, scenario: &Scenario, seed: u64) -> Vec<Self> {
        let own = |number: usize| seed.wrapping_mul(0x9E37_79B9_7F4A_7C15).wrapping_add(number as u64);
        let partner = |(number, p): (usize, &PartnerPlan)| {
            Partner::new(p, &scenario.partners[p.kind], &scenario.rules, own(number))
        };
        plan.partners.iter().enumerate().map(partner).collect()
    }

    /// A trouble of the partners' begins or ends here.
    pub fn afflict(&mut self, now: Micros, trouble: &Trouble, begins: bool) {
        let factor = if begins { trouble.size } else { 1.0 };
        let share = if begins { trouble.size } else { 0.0 };
        let until = micros(trouble.at_s + trouble.for_s);
        let condition = match trouble.kind {
            TroubleKind::Slow => return self.slow = factor,
            TroubleKind::Limit => return self.limit.factor = factor,
            TroubleKind::Lost => return self.lost = share,
            TroubleKind::Resets => return self.resets = share,
            TroubleKind::Down => Condition::Down,
            TroubleKind::Hung => Condition::Hung,
            TroubleKind::Shut => Condition::Shut(until),
            TroubleKind::Errors => Condition::Errors,
            // Not the partners'.
            TroubleKind::Drain | TroubleKind::Kill | TroubleKind::Restart | TroubleKind::Directory => return,
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

    /// A connection is made; whether there is room for it. Either way it counts until it is gone.
    pub fn connected(&mut self, endpoint: usize) -> bool {
        let at = &mut self.endpoints[endpoint];
        at.connections += 1;
        self.plan.connections == 0 || at.connections <= self.plan.connections
    }

    /// A connection is gone.
    pub fn gone(&mut self, endpoint: usize) {
        let at = &mut self.endpoints[endpoint];
        at.connections = at.connections.saturating_sub(1);
    }

    /// Its present capacity as a share of all of it.
    fn warmth(&self, now: Micros) -> f64 {
        let Some(returned) = self.returned else { return 1.0 };
        let warm = (now.saturating_sub(returned)) as f64 / 1e6 / self.rules.warm_s;
        (self.rules.cold_share + (1.0 - self.rules.cold_share) * warm).min(1.0)
    }

    /// A call that weighs on a cold partner: a fall, if it is the one too many.
    fn weigh(&mut self, now: Micros, sender: usize) -> Option<Fall> {
        let span = micros(self.rules.fall_s);
        self.recent.push_back((now, sender));
        while self.recent.front().is_some_and(|(at, _)| at + span <= now) {
            self.recent.pop_front();
        }
        let warmth = self.warmth(now);
        // A little slack for chance, as any count of calls has it.
        let most = self.plan.capacity * warmth * self.rules.fall_multiple * self.rules.fall_s;
        if warmth >= 1.0 || self.in_outage || (self.recent.len() as f64) <= most + most.sqrt() {
            return None;
        }
        let witnesses = self.recent.iter().filter(|(_, sender)| self.witnesses.contains(sender)).count();
        let by_witnesses = witnesses as f64 / self.recent.len() as f64;
        self.set(now, Condition::Down);
        self.fallen = true;
        Some(Fall { by_witnesses })
    }

    /// A call arrives whole at one of the endpoints.
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
            Condition::Errors => Fate::Answered { at: now + ERROR_TAKES, ok: false },
            Condition::Shut(until) => Fate::Refused(self.tell(until.saturating_sub(now))),
            Condition::Up => self.serve(now, endpoint, work),
        };
        (fate, fall)
    }

    /// Tells a wait, or not.
    fn tell(&mut self, wait: Micros) -> Option<Micros> {
        let tells = self.rng.random::<f64>() < self.plan.tells_wait;
        tells.then_some(wait.max(1000))
    }

    fn serve(&mut self, now: Micros, endpoint: usize, work: Micros) -> Fate {
        if let Err(room_in) = self.limit.take(now, self.kind.refused_count) {
            let [least, most] = self.kind.wait_ms;
            let drawn = micros((least + (most - least) * self.rng.random::<f64>()) / 1000.0);
            let wait = if self.plan.window == 0 { room_in.max(drawn) } else { room_in };
            return Fate::Refused(self.tell(wait));
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
            chance if chance < self.lost => Fate::Silent { runs: true },
            chance if chance < self.lost + self.resets => Fate::Broken { at: begins + takes / 2 },
            chance if chance > 1.0 - self.kind.errors => Fate::Answered { at: end, ok: false },
            _ => Fate::Answered { at: end, ok: true },
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::scenario::Scenario;

    const SECOND: Micros = 1_000_000;

    fn partner(change: impl Fn(&mut PartnerPlan, &mut Kind)) -> Partner {
        let s = Scenario::parse("name = \"t\"\nseconds = 1.0").unwrap();
        let mut kind = Kind { errors: 0.0, ..s.partners[1].clone() };
        let mut plan = PartnerPlan {
            kind: 1,
            part: 0.1,
            limit: 10.0,
            window: SECOND,
            endpoints: 1,
            at_once: 4,
            queue: 3,
            connections: 8,
            capacity: 16.0,
            speed: 1.0,
            tells_wait: 1.0,
        };
        change(&mut plan, &mut kind);
        Partner::new(&plan, &kind, &s.rules, 1)
    }

    /// Calls at a steady rate for so many seconds: how many were served and how many refused.
    fn calls(p: &mut Partner, from: Micros, rate: u64, seconds: u64) -> (usize, usize) {
        let fates: Vec<_> =
            (0..rate * seconds).map(|i| p.arrive(from + i * SECOND / rate, 0, 0, 50_000).0).collect();
        let refused = fates.iter().filter(|f| matches!(f, Fate::Refused(_))).count();
        (fates.len() - refused, refused)
    }

    #[test]
    fn a_span_takes_its_count_and_tells_its_end() {
        let mut p = partner(|_, _| {});
        assert_eq!(calls(&mut p, 0, 20, 3), (30, 30));
        let (fate, _) = p.arrive(2_990_000, 0, 0, 50_000);
        assert_eq!(fate, Fate::Refused(Some(10_000)));
        assert!(
            matches!(p.arrive(3 * SECOND, 0, 0, 50_000).0, Fate::Answered { .. }),
            "at the end there is room"
        );
    }

    #[test]
    fn a_plain_rate_takes_that_rate_and_refused_calls_may_use_it_up() {
        let plain = |counts| partner(move |p, k| (p.window, k.refused_count) = (0, counts));
        let (served, _) = calls(&mut plain(false), 0, 40, 10);
        assert!((98..=104).contains(&served), "{served}");
        let (served, _) = calls(&mut plain(true), 0, 40, 10);
        assert!(served < 30, "{served}: those refused count");
    }

    #[test]
    fn a_lowered_limit_holds_while_it_lasts() {
        let mut p = partner(|_, _| {});
        p.limit.factor = 0.5;
        assert_eq!(calls(&mut p, 0, 20, 2).0, 10);
        p.limit.factor = 1.0;
        assert_eq!(calls(&mut p, 2 * SECOND, 20, 2).0, 20);
    }

    #[test]
    fn a_full_queue_refuses_and_those_before_wait_their_turn() {
        let mut p = partner(|p, _| p.limit = 1000.0);
        let ends: Vec<_> = (0..8).map(|_| p.arrive(0, 0, 0, SECOND).0).collect();
        assert_eq!(ends[3], Fate::Answered { at: SECOND, ok: true });
        assert_eq!(ends[6], Fate::Answered { at: 2 * SECOND, ok: true }, "behind the four that are served");
        assert_eq!(ends[7], Fate::Refused(None));
    }

    #[test]
    fn a_table_of_connections_is_full_at_its_figure() {
        let mut p = partner(|_, _| {});
        assert!((0..8).all(|_| p.connected(0)));
        assert!(!p.connected(0));
        p.gone(0);
        p.gone(0);
        assert!(p.connected(0));
    }

    /// Cold, it can do 17% and is warm after 14 s.
    #[test]
    fn one_that_returns_is_cold_and_falls_if_it_is_pushed() {
        let mut p = partner(|p, _| p.limit = 1000.0);
        p.set(SECOND, Condition::Down);
        p.witnessed(3);
        p.set(5 * SECOND, Condition::Up);
        let Fate::Answered { at, .. } = p.arrive(5 * SECOND, 0, 3, 100_000).0 else { panic!("not served") };
        assert!((at - 5 * SECOND).abs_diff(588_235) < 1000, "{at}: the time over 17%");
        let falls: Vec<_> = (0..60).filter_map(|i| p.arrive(5 * SECOND + i * 10_000, 0, 3, 1000).1).collect();
        assert_eq!(falls, [Fall { by_witnesses: 1.0 }]);
        p.set(60 * SECOND, Condition::Up);
        assert!(p.fallen() && p.condition(0) == Condition::Down, "it stays down");
    }

    #[test]
    fn one_that_is_sent_what_it_can_do_does_not_fall() {
        let mut p = partner(|p, _| p.limit = 1000.0);
        p.set(0, Condition::Hung);
        p.set(SECOND, Condition::Up);
        // 16 a second warm, 2.7 cold: 5 a second are under 2.5 times that.
        let falls = (0..70).filter(|i| p.arrive(SECOND + i * 200_000, 0, 1, 1000).1.is_some()).count();
        assert_eq!(falls, 0);
    }

    #[test]
    fn troubles_have_their_fates() {
        let mut p = partner(|p, _| p.limit = 1000.0);
        p.slow = 10.0;
        assert_eq!(p.arrive(0, 0, 0, 100_000).0, Fate::Answered { at: SECOND, ok: true });
        (p.slow, p.lost) = (1.0, 1.0);
        assert_eq!(p.arrive(0, 0, 0, 100_000).0, Fate::Silent { runs: true });
        (p.lost, p.resets) = (0.0, 1.0);
        assert_eq!(p.arrive(0, 0, 0, 100_000).0, Fate::Broken { at: 50_000 });
        p.set(0, Condition::Hung);
        assert_eq!(p.arrive(0, 0, 0, 1).0, Fate::Silent { runs: false });
        p.set(0, Condition::Shut(SECOND));
        assert_eq!(p.arrive(400_000, 0, 0, 1).0, Fate::Refused(Some(600_000)));
        p.set(0, Condition::Errors);
        assert!(matches!(p.arrive(0, 0, 0, 1).0, Fate::Answered { ok: false, .. }));
    }
}
