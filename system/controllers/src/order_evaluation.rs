//! Evaluation of operators' orders of any kind.

use crate::config::put_config;
use crate::roster::retire;
use fleet_model::{ControlState, Order, OrderVerdict};

/// Evaluates an order against this state.
///
/// Returns the state to propose, or `None` if the order changes nothing, and the verdict. The verdict may be reported to the
/// operator only once the proposed state is chosen.
pub fn evaluate_order(
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
