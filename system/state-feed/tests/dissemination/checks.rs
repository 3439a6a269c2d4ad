//! Checks of a history: what every node should know when, and how loaded the control nodes are.

use crate::cluster::HistoryEvent;
use fleet_model::ListVersion;
use std::collections::HashMap;

/// Time in milliseconds within which a chosen value has to be known at every reachable node.
const APPLY_TIMEOUT_MS: u64 = 2_000;

/// All violations in a history: nodes that went back, have a wrong list or are late, and repeated pushes.
pub(crate) fn violations(history: &[HistoryEvent]) -> Vec<String> {
    let mut violations = Vec::new();
    let mut known: HashMap<usize, (u64, u64, ListVersion)> = HashMap::new();
    let mut chosen: Vec<(u64, u64, u64)> = Vec::new();
    let mut reported_late: HashMap<usize, u64> = HashMap::new();
    for event in history {
        match event {
            HistoryEvent::Chosen { at, round, list } => chosen.push((*at, *round, *list)),
            HistoryEvent::Knows { at, node, incarnation, round, list, true_list } => {
                if let Some((before, least, newest_list)) = known.insert(*node, (*incarnation, *round, *list))
                    && before == *incarnation
                    && (*round < least || *list < newest_list)
                {
                    violations.push(format!(
                        "{at}: node {node} went back to {round}, {list:?} from {least}, {newest_list:?}"
                    ));
                }
                if !true_list {
                    violations.push(format!("{at}: node {node} has a list {list:?} that was never read"));
                }
            }
            HistoryEvent::Reachable { at, node, since } => {
                if since.is_none_or(|since| since + APPLY_TIMEOUT_MS > *at) {
                    continue;
                }
                let due_value = chosen.iter().rev().find(|(when, ..)| when + APPLY_TIMEOUT_MS <= *at);
                let Some((when, round, list)) = due_value else { continue };
                let (_, has, newest_list) = known.get(node).copied().unwrap_or_default();
                if (has < *round || newest_list.poll < *list)
                    && reported_late.insert(*node, *when) != Some(*when)
                {
                    violations.push(format!(
                        "{at}: node {node} has {has}, {newest_list:?}; due {round}, {list} of {when}"
                    ));
                }
            }
            HistoryEvent::Repeated { at, link, round } => {
                violations.push(format!("{at}: value {round} twice on link {link}"))
            }
            HistoryEvent::Load { .. } => {}
        }
    }
    violations
}

/// The maximum number of links that a control node served since `since`, and of subscription calls within a second.
pub(crate) fn load(history: &[HistoryEvent], since: u64) -> (usize, usize) {
    let (mut max_links, mut max_calls) = (0, 0);
    let mut calls_at: HashMap<usize, Vec<(u64, usize)>> = HashMap::new();
    for event in history {
        if let HistoryEvent::Load { at, control_node, links, calls } = event
            && *at >= since
        {
            max_links = max_links.max(*links);
            let window = calls_at.entry(*control_node).or_default();
            window.push((*at, *calls));
            window.retain(|(when, _)| when + 1_000 > *at);
            max_calls = max_calls.max(window.iter().map(|(_, calls)| calls).sum());
        }
    }
    (max_links, max_calls)
}
