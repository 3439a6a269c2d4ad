//! The operator's configuration.

mod properties;
mod reading;
mod routing;
mod samples;
