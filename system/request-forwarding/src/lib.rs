//! The data plane: takes requests from clients, carries them to endpoints and brings the answers back. All of it runs
//! on one thread, inside a `LocalSet`.

mod answer_pump;
mod attempt;
mod body;
mod body_reading;
mod delivery;
mod events;
mod forwarder;
mod headers;
mod metrics;
mod outgoing;
mod own_answer;
mod place;
mod pool;
mod queue;
mod server;
mod turn_under_way;
mod turns;
mod whole_events;

pub use forwarder::{Forwarder, SystemState};
pub use metrics::ForwardingMetrics;
pub use server::{ShutdownPhase, serve_readiness};
pub use turns::{ChainLookup, CompletedTurn, ReserveOutcome, TurnStorage};
