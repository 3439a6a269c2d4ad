//! The result of a run: service, latencies, counts and broken rules.

use super::{Breach, Counts, Rule, RuleChecker, SPAN, Span, WORST_SPANS};
use crate::plan::{Micros, micros};
use serde::{Deserialize, Serialize};

/// Percentiles of the time to delivery that are reported.
pub const PERCENTILES: [f64; 4] = [50.0, 90.0, 99.0, 99.9];

/// Service, as the operators count it, from 0 to 1.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ServiceValue {
    /// Value served over value requested, over the complete run.
    #[serde(rename = "whole")]
    pub overall: f64,
    /// The same over the worst ten seconds.
    pub worst_stretch: f64,
    /// The same by class.
    pub by_class: Vec<f64>,
    /// For connections, wasted work, calls refused and strangers left unanswered.
    pub price: f64,
    /// Half the overall value, three tenths the worst stretch, a fifth the worst class, less the price.
    pub result: f64,
}

/// Times to delivery of one class, in seconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Latency {
    /// The class.
    pub class: String,
    /// Messages delivered.
    pub delivered: u64,
    /// By [`PERCENTILES`].
    pub percentiles: [f64; 4],
    /// Quantiles and their times, for a plot.
    pub points: Vec<(f64, f64)>,
}

/// The result of a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Verdict {
    /// Service.
    #[serde(rename = "worth")]
    pub value: ServiceValue,
    /// Plain counts.
    pub counts: Counts,
    /// Times to delivery.
    pub latencies: Vec<Latency>,
    /// Rules broken, how often, and the first of each.
    pub breaches: Vec<(Rule, usize, Vec<Breach>)>,
    /// The run, second by second.
    pub spans: Vec<Span>,
    /// What happened, and when in seconds.
    pub events: Vec<(f64, String)>,
}

impl RuleChecker {
    /// So far: messages wanted, delivered, and words of refusal or failure.
    pub fn progress_counts(&self) -> [u32; 3] {
        let sum = |of: fn(&Span) -> u32| self.spans.iter().map(of).sum();
        [sum(|s| s.wanted), sum(|s| s.delivered), sum(|s| s.refused + s.failed)]
    }

    /// Messages accepted that have no end yet.
    pub fn open(&self) -> usize {
        self.submissions.values().filter(|h| h.accepted && h.end.is_none()).count()
    }

    /// Whether nothing can come any more: each message accepted has its end, or should have had it.
    pub fn settled(&self, now: Micros) -> bool {
        let slack = self.end_slack();
        !self.submissions.values().any(|h| h.accepted && h.end.is_none() && now <= h.due + slack)
    }

    /// The result, once nothing more happens.
    pub fn verdict(mut self, now: Micros) -> Verdict {
        let open = self.submissions.iter().filter(|(_, h)| h.accepted && h.end.is_none());
        let slack = self.end_slack();
        let lost: Vec<_> = open
            .filter(|(_, h)| now > h.due + slack && !self.excused(h.sender, h.due, now))
            .map(|(id, _)| id.clone())
            .collect();
        for id in lost {
            self.lost(now, id, "no end at all");
        }
        let value = self.value();
        let classes = self.scenario.classes.iter().zip(&self.latencies).map(|(class, latencies)| Latency {
            class: class.name.clone(),
            delivered: latencies.len(),
            percentiles: PERCENTILES.map(|p| latencies.value_at_quantile(p / 100.0) as f64 / 1e6),
            points: (latencies.iter_quantiles(2))
                .map(|v| (v.quantile(), v.value_iterated_to() as f64 / 1e6))
                .collect(),
        });
        Verdict {
            value,
            latencies: classes.collect(),
            breaches: (self.breaches.iter())
                .map(|(rule, (count, examples))| (*rule, *count, examples.clone()))
                .collect(),
            spans: self.spans,
            events: self.events,
            counts: self.counts,
        }
    }

    /// Counts what became of each message, and weighs it.
    fn value(&mut self) -> ServiceValue {
        let mut value = ServiceValue::default();
        let last = (micros(self.scenario.seconds) / SPAN) as usize + 1;
        let mut by_span = vec![(0.0, 0.0); last];
        let mut by_class = vec![(0.0, 0.0); self.scenario.classes.len()];
        for wanted in &self.wanted {
            let class = &self.scenario.classes[wanted.class];
            let served = wanted.delivered.map_or(0.0, |at| {
                let late = (at.saturating_sub(wanted.at)) as f64 / 1000.0 - class.latency_target_ms;
                let left = 0.5f64.powf(late.max(0.0) / class.latency_target_ms).max(class.late_value);
                self.counts.delivered += 1;
                self.counts.late += u64::from(late > 0.0);
                class.value * left
            });
            if wanted.delivered.is_none() {
                self.counts.refused += u64::from(wanted.refused && !wanted.failed);
                self.counts.failed += u64::from(wanted.failed);
                self.counts.unknown += u64::from(!wanted.refused && !wanted.failed);
            }
            let span = ((wanted.at / SPAN) as usize).min(last - 1);
            for (asked, got) in [&mut by_span[span], &mut by_class[wanted.class]] {
                *asked += class.value;
                *got += served;
            }
        }
        let share = |of: &[(f64, f64)]| {
            let (asked, got) = of.iter().fold((0.0, 0.0), |sum, x| (sum.0 + x.0, sum.1 + x.1));
            if asked > 0.0 { got / asked } else { 1.0 }
        };
        value.overall = share(&by_span);
        let stretches = by_span.windows(WORST_SPANS.min(by_span.len()));
        value.worst_stretch = stretches.map(share).min_by(f64::total_cmp).unwrap_or(value.overall);
        value.by_class = by_class.iter().map(|class| share(std::slice::from_ref(class))).collect();
        let worst_class = value.by_class.iter().copied().min_by(f64::total_cmp).unwrap_or(value.overall);
        let asked = self.counts.wanted.max(1) as f64;
        value.price = 0.06 * (self.counts.connections as f64 / asked).min(1.0)
            + 0.05 * (self.counts.wasted as f64 / asked).min(1.0)
            + 0.03 * (self.counts.calls_refused as f64 / asked).min(1.0)
            + 0.3 * self.counts.strangers_left as f64 / self.counts.strangers.max(1) as f64;
        value.result = 0.5 * value.overall + 0.3 * value.worst_stretch + 0.2 * worst_class - value.price;
        value
    }
}
