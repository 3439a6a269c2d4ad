//! The HTTP calls of a control node over loopback, with a stand-in for the services behind them.

mod caller;
mod calls;
mod connections;
mod gone_callers;
mod invalid_requests;
mod stand_in;
mod watches;
