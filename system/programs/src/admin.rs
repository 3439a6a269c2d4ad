//! Administration: the queries of `fleetctl` ([`query`], [`commands`]) and the endpoint of each process that answers them
//! ([`views`]). A process answers from its own memory, also without a majority, with the age of its data.

pub mod commands;
pub mod metrics;
pub mod query;
pub mod table;
pub mod views;

pub use commands::{Command, Report, Verdict, execute};
pub use query::Fleet;
pub use views::AdminEndpoint;

/// What is asked: a name, and an argument after a space where the name takes one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Topic<'a> {
    /// What about.
    pub name: &'a str,
    /// Of which thing, such as an `Attempt-Id`.
    pub argument: Option<&'a str>,
}

impl<'a> Topic<'a> {
    /// Reads a topic as it is sent.
    pub fn read(text: &'a str) -> Self {
        match text.split_once(' ') {
            Some((name, argument)) => Self { name, argument: Some(argument).filter(|text| !text.is_empty()) },
            None => Self { name: text, argument: None },
        }
    }
}

/// Who says something, and how old it is at most.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Origin {
    /// The machine's name.
    pub node: String,
    /// Its address.
    pub ip: std::net::Ipv4Addr,
    /// Its zone.
    pub zone: String,
    /// The program.
    pub program: String,
    /// Age of what it says, if it was ever confirmed.
    pub age_ms: Option<u64>,
}

/// A process's view of a topic.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct View<T> {
    /// Whose.
    #[serde(flatten)]
    pub origin: Origin,
    /// What it says.
    #[serde(flatten)]
    pub body: T,
}
