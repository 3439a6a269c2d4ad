//! The HTTP API of a control node, on one listener: the calls of the operator ([`Operations`]) and those of applications that
//! use the coordination service ([`Applications`]).

mod application;
mod close_check;
mod load;
mod operator;
mod reply;
mod routes;
mod server;

pub use application::{Applications, MAX_APPLICATION_BODY_BYTES, MAX_WATCH_WAIT};
pub use load::{ApiCounts, ApiLimits, ApiLoad};
pub use operator::Operations;
pub use reply::Reply;
pub use server::serve;
