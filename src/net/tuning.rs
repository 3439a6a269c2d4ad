//! The settings in the forms that the sender's I/O needs.
use hyper::HeaderMap;
use message_sender::profile::{Names, Profile};
use message_sender::{Report, Settings, Span};
use std::time::Duration;

/// Where the settings do not say how long a sender may go without asking discovery.
const MUST_ASK_IN: Duration = Duration::from_secs(10);

/// All that the settings say, in the forms that the host needs.
pub struct Tuning {
    profile: Profile,
    /// For the module, whatever may be open at once.
    pub settings: Settings,
    /// The module's numbers for the settings' names.
    pub names: Names,
    /// Which load reports answers hold.
    pub fields: ReportFields,
}

impl Tuning {
    /// Checks the settings whole; the error says what cannot be acted on.
    pub fn new(profile: Profile) -> Result<Self, String> {
        let names = profile.names();
        let told = profile.settings(&names)?;
        let settings = Settings { outcomes_acknowledged: true, batches_expire_together: true, ..told };
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

    /// How many senders share the traffic, this one counted.
    pub fn senders(&self) -> usize {
        self.settings.senders
    }

    /// A sender that does not ask discovery for so long counts as told all the same.
    pub fn must_ask_in(&self) -> Duration {
        match self.settings.rules.must_ask_in {
            Span(0) => MUST_ASK_IN,
            Span(span) => Duration::from_micros(span),
        }
    }

    /// The names of the classes.
    pub fn classes(&self) -> impl Iterator<Item = String> {
        self.profile.classes()
    }

    /// The names that the module's numbers stand for.
    pub fn numbering(&self) -> Vec<Vec<String>> {
        self.profile.numbering()
    }

    /// The module's settings, where no more connections than that may be open.
    pub fn settings_for(&self, most_connections: usize) -> Settings {
        Settings { slots: self.settings.slots.min(most_connections), ..self.settings.clone() }
    }
}

/// Where the fields of a load report stand.
#[derive(Clone, Copy)]
pub struct ReportFields {
    pub left: bool,
    pub limit: bool,
}

impl ReportFields {
    /// The report that an answer holds, if it holds one that can be read.
    pub fn read(self, headers: &HeaderMap) -> Option<Report> {
        let text = headers.get("X-Pressure")?.to_str().ok()?;
        let field = |name: &str| -> Option<f64> {
            let mut fields = text.split(',').filter_map(|pair| pair.trim().split_once('='));
            fields.find(|(n, _)| *n == name)?.1.trim().parse().ok().filter(|v: &f64| v.is_finite())
        };
        let left = field("x0").filter(|_| self.left);
        let limit = field("x1").filter(|_| self.limit);
        if left.is_none() && limit.is_none() {
            return None;
        }
        Some(Report { left: left.unwrap_or(1.0), limit: limit.unwrap_or(0.0) })
    }
}
