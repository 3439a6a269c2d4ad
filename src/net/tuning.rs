//! The settings in the form that the sender's I/O needs.
use hyper::HeaderMap;
use message_sender::profile::{Names, Profile};
use message_sender::{Report, Settings, Span};
use std::time::Duration;

/// Default for the longest time that a sender may go without calling discovery.
const DEFAULT_CALL_INTERVAL: Duration = Duration::from_secs(10);

/// Validated settings in the form that the host needs.
pub struct Tuning {
    profile: Profile,
    /// Settings of the decision module, without the limit on open connections.
    pub settings: Settings,
    /// The decision module's numbers for names in the settings.
    pub names: Names,
    /// Which fields of load reports are used.
    pub fields: ReportFields,
}

impl Tuning {
    /// Validates the settings.
    ///
    /// # Errors
    /// Names the setting that is invalid or unsupported.
    pub fn new(profile: Profile) -> Result<Self, String> {
        let names = profile.names();
        let configured = profile.settings(&names)?;
        let settings = Settings { outcomes_acknowledged: true, batches_expire_together: true, ..configured };
        let fields = ReportFields {
            left: profile.report_field("x0").is_some(),
            limit: profile.report_field("x1").is_some(),
        };
        Ok(Self { profile, settings, names, fields })
    }

    /// How long an endpoint keeps an idle connection open.
    pub fn idle(&self) -> Duration {
        Duration::from_micros(self.profile.connection_idle().map_or(5_000_000, |span| span.0))
    }

    /// Number of senders that share the traffic, including this one.
    pub fn senders(&self) -> usize {
        self.settings.senders
    }

    /// A sender that hasn't called discovery for this long is assumed to have its current list.
    pub fn must_ask_in(&self) -> Duration {
        match self.settings.rules.must_ask_in {
            Span(0) => DEFAULT_CALL_INTERVAL,
            Span(span) => Duration::from_micros(span),
        }
    }

    /// The names of the message classes.
    pub fn classes(&self) -> impl Iterator<Item = String> {
        self.profile.classes()
    }

    /// The names behind the decision module's numbers.
    pub fn numbering(&self) -> Vec<Vec<String>> {
        self.profile.numbering()
    }

    /// The decision module's settings with at most `most_connections` open connections.
    pub fn settings_for(&self, most_connections: usize) -> Settings {
        Settings { slots: self.settings.slots.min(most_connections), ..self.settings.clone() }
    }
}

/// The fields of a load report that the settings enable.
#[derive(Clone, Copy)]
pub struct ReportFields {
    pub left: bool,
    pub limit: bool,
}

impl ReportFields {
    /// Parses the load report of an answer; none if it is missing or invalid.
    pub fn read(self, headers: &HeaderMap) -> Option<Report> {
        let text = headers.get("X-Pressure")?.to_str().ok()?;
        let field = |name: &str| -> Option<f64> {
            let mut fields = text.split(',').filter_map(|pair| pair.trim().split_once('='));
            fields
                .find(|(key, _)| *key == name)?
                .1
                .trim()
                .parse()
                .ok()
                .filter(|value: &f64| value.is_finite())
        };
        let left = field("x0").filter(|_| self.left);
        let limit = field("x1").filter(|_| self.limit);
        if left.is_none() && limit.is_none() {
            return None;
        }
        Some(Report { left: left.unwrap_or(1.0), limit: limit.unwrap_or(0.0) })
    }
}
