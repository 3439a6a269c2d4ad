//! The sending policy of a message delivery service: when and where each outbound message is sent, whether
//! it is retried, and when it is given up. [`Sender`] performs no I/O and reads no clock: a host passes
//! [`Event`]s to [`Sender::step`] and executes the returned [`Action`]s. The network host, `net`, is public
//! only so that `cargo bench` can measure its parts; nothing else should depend on it.
//!
//! ```
//! use message_sender::*;
//! let second = 1_000_000;
//! let settings = Settings {
//!     classes: vec![Class {
//!         latency_target: Span(2 * second), deadline: Span(16 * second), value: 1.0, late_value: 0.5,
//!         repeat: Repeat::Safe, ordered: false,
//!     }],
//!     kinds: vec![Kind { independent_routes: false, batch: 1 }],
//!     tenants: vec![], over_share_value: 1.0, zone: ZoneId(0), senders: 1, slots: 4, max_pending: 50,
//!     max_attempts: 6, period: Span(5_000), connect_timeout: Span(second), decay: Decay::Linear,
//!     discovery: Discovery::Pushed, hints: Hints::None, probes: false, cancel: true,
//!     outcomes_acknowledged: false, batches_expire_together: false,
//!     rules: Rules {
//!         drain_grace: Span(second), slow_start_share: 0.2, slow_start: Span(10 * second), overload_factor: 2.0,
//!         overload_tolerance: Span(second), order_settle: Span(0), must_ask_in: Span(10 * second),
//!     },
//! };
//! let class = settings.classes[0];
//! let mut sender = Sender::new(settings, 7)?;
//! let entry = Entry {
//!     endpoint: EndpointId(0), destination: DestinationId(9), kind: KindId(0), zone: ZoneId(0),
//!     listing: Listing::Active, hint: 1.0,
//! };
//! let message = Message {
//!     id: MessageId(1), class, tenant: None, key: None, destination: DestinationId(9),
//!     budget: Span(16 * second),
//! };
//! let mut actions = Vec::new();
//! sender.step(Time(0), &[Event::FullList(vec![entry]), Event::Message(message)], &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { message: MessageId(1), .. })));
//! # Ok::<(), SettingsError>(())
//! ```
#![forbid(unsafe_code)]

// Lets `net` refer to this crate by name, as the program and the adapter do.
extern crate self as message_sender;

pub mod config;
mod interface;
#[doc(hidden)]
pub mod net;
mod policy;
pub mod profile;
pub mod wire;

pub use interface::*;
pub use policy::Sender;
