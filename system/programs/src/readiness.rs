//! The readiness of a proxy: what it needs before clients may be sent to it, and what it tells while that is missing.

use process_lifecycle::waits::{Wait, Waits};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A start that takes longer is told as a wait.
const SLOW_START_THRESHOLD: Duration = Duration::from_secs(2);

/// The first thing that a proxy still lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Missing {
    /// No configuration that it can read.
    Configuration,
    /// No endpoint list.
    EndpointList,
    /// The endpoint list names no endpoint.
    Endpoints,
    /// No confirmation that its state is current.
    Confirmation,
}

impl fmt::Display for Missing {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Configuration => "no configuration has arrived",
            Self::EndpointList => "no endpoint list has arrived",
            Self::Endpoints => "the endpoint list is empty",
            Self::Confirmation => "the agent has not confirmed the state since the start",
        })
    }
}

/// What has arrived since the proxy started.
#[derive(Debug, Clone, Copy, Default)]
pub struct Received {
    /// A configuration that it can read.
    pub configuration: bool,
    /// The number of endpoints in its list, if it has one.
    pub endpoints: Option<usize>,
    /// Whether its upstream has confirmed the state.
    pub confirmed: bool,
}

impl Received {
    /// The first thing that is missing.
    pub fn missing(self) -> Option<Missing> {
        match self {
            Self { configuration: false, .. } => Some(Missing::Configuration),
            Self { endpoints: None, .. } => Some(Missing::EndpointList),
            Self { endpoints: Some(0), .. } => Some(Missing::Endpoints),
            Self { confirmed: false, .. } => Some(Missing::Confirmation),
            _ => None,
        }
    }
}

/// Whether a proxy is ready. Once it is, it stays so.
#[derive(Debug)]
pub struct Readiness {
    waits: Rc<Waits>,
    started: Instant,
    ready: Cell<bool>,
    wait: RefCell<Option<(Missing, Wait)>>,
}

impl Readiness {
    /// One of a proxy that starts now.
    pub fn new(waits: Rc<Waits>) -> Rc<Self> {
        Rc::new(Self { waits, started: Instant::now(), ready: Cell::new(false), wait: RefCell::default() })
    }

    /// Whether the proxy is ready.
    pub fn is_ready(&self) -> bool {
        self.ready.get()
    }

    /// Goes by what has arrived. Returns whether the proxy has become ready with that.
    pub fn update(&self, received: Received) -> bool {
        match received.missing() {
            _ if self.ready.get() => false,
            None => {
                self.wait.take();
                self.ready.set(true);
                true
            }
            Some(missing) => {
                self.report(missing);
                false
            }
        }
    }

    /// Tells what is missing, if the start takes long.
    fn report(&self, missing: Missing) {
        if self.started.elapsed() < SLOW_START_THRESHOLD {
            return;
        }
        let mut wait = self.wait.borrow_mut();
        match &*wait {
            Some((told, wait)) if *told == missing => wait.remind(&missing),
            _ => *wait = Some((missing, self.waits.begin("readiness", &missing))),
        }
    }
}
