//! Judgement of operators' orders of any kind.

use crate::config::put_config;
use crate::roster::retire;
use fleet_model::{ControlState, Order, OrderVerdict};

/// Judges an order on this state. Returns the state that carries it out, if the state has to change, and the verdict, which
/// is valid once that state is chosen.
pub fn judge(
    state: &ControlState,
    order: &Order,
    min_storage_nodes: usize,
) -> (Option<ControlState>, OrderVerdict) {
    match order {
        Order::PutConfig { expected, sent, body } => {
            let (next, verdict) = put_config(state, *expected, sent, body);
            (next, OrderVerdict::PutConfig(verdict))
        }
        Order::Retire { machine } => {
            let (next, verdict) = retire(state, machine, min_storage_nodes);
            (next, OrderVerdict::Retire(verdict))
        }
    }
}
