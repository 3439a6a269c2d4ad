//! Checks of a history: what every node should know when, and how loaded the control nodes are.

use crate::cluster::Fact;
use fleet_model::ListVersion;
use std::collections::HashMap;

/// What is chosen is known everywhere that late.
const APPLY: u64 = 2_000;

/// All findings in a history.
pub(crate) fn findings(facts: &[Fact]) -> Vec<String> {
    let mut found = Vec::new();
    let mut known: HashMap<usize, (u64, u64, ListVersion)> = HashMap::new();
    let mut chosen: Vec<(u64, u64, u64)> = Vec::new();
    let mut late: HashMap<usize, u64> = HashMap::new();
    for fact in facts {
        match fact {
            Fact::Chosen { at, round, list } => chosen.push((*at, *round, *list)),
            Fact::Knows { at, node, life, round, list, true_list } => {
                if let Some((before, least, stamp)) = known.insert(*node, (*life, *round, *list))
                    && before == *life
                    && (*round < least || *list < stamp)
                {
                    found.push(format!(
                        "{at}: node {node} went back to {round}, {list:?} from {least}, {stamp:?}"
                    ));
                }
                if !true_list {
                    found.push(format!("{at}: node {node} has a list {list:?} that was never read"));
                }
            }
            Fact::InTouch { at, node, since } => {
                if since.is_none_or(|since| since + APPLY > *at) {
                    continue;
                }
                let due = chosen.iter().rev().find(|(when, ..)| when + APPLY <= *at);
                let Some((when, round, list)) = due else { continue };
                let (_, has, stamp) = known.get(node).copied().unwrap_or_default();
                if (has < *round || stamp.poll < *list) && late.insert(*node, *when) != Some(*when) {
                    found.push(format!(
                        "{at}: node {node} has {has}, {stamp:?}; due {round}, {list} of {when}"
                    ));
                }
            }
            Fact::Repeated { at, link, round } => {
                found.push(format!("{at}: value {round} twice on link {link}"))
            }
            Fact::Load { .. } => {}
        }
    }
    found
}

/// The most links that a keeper fed since then, and the most calls that it got within a second.
pub(crate) fn load(facts: &[Fact], since: u64) -> (usize, usize) {
    let (mut most_links, mut most_calls) = (0, 0);
    let mut calls_at: HashMap<usize, Vec<(u64, usize)>> = HashMap::new();
    for fact in facts {
        if let Fact::Load { at, keeper, links, calls } = fact
            && *at >= since
        {
            most_links = most_links.max(*links);
            let window = calls_at.entry(*keeper).or_default();
            window.push((*at, *calls));
            window.retain(|(when, _)| when + 1_000 > *at);
            most_calls = most_calls.max(window.iter().map(|(_, calls)| calls).sum());
        }
    }
    (most_links, most_calls)
}
