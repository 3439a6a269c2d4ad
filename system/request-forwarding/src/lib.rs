//! The data plane: takes requests from clients, carries them to endpoints and brings the answers back. All of it runs
//! on one thread, inside a `LocalSet`.

mod answer_pump;
mod attempt;
mod body;
mod body_reading;
mod delivery;
mod events;
mod figures;
mod forwarder;
mod headers;
mod outgoing;
mod own_answer;
mod place;
mod pool;
mod queue;
mod server;
mod turn_under_way;
mod turns;
mod whole_events;

pub use figures::Figures;
pub use forwarder::{Forwarder, Knowledge};
pub use server::{Stage, serve_readiness};
pub use turns::{Chain, NewTurn, Reserve, TurnKeeping};
