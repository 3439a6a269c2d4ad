//! The file of a trial's routing policy: what it switches, and what is wrong with it.

use googletest::prelude::*;
use request_routing::RoutingPolicy;
use std::path::Path;
use system_programs::routing_policy::{PolicyError, load, parse};

#[gtest]
fn given_no_file_then_all_mechanisms_are_in_force() {
    expect_that!(load(None).unwrap().switched_off(), is_empty());
}

#[gtest]
fn given_a_file_then_only_what_it_names_changes() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("policy.json");
    std::fs::write(&path, r#"{"prefix_affinity": false, "zone_tiers": true}"#).unwrap();
    expect_that!(load(Some(&path)).unwrap().switched_off(), eq(&vec!["prefix_affinity"]));
}

#[gtest]
fn given_every_mechanism_when_it_is_named_then_it_can_be_switched_off() {
    for mechanism in RoutingPolicy::MECHANISMS {
        let policy = parse(&format!(r#"{{"{mechanism}": false}}"#)).unwrap();
        expect_that!(policy.switched_off(), eq(&vec![*mechanism]));
    }
}

#[gtest]
fn given_several_faults_then_all_are_told_at_once() {
    let error = parse(r#"{"prefix_affinty": false, "zone_tiers": "no", "load_bounds": false}"#).unwrap_err();
    let mut lines: Vec<String> = error.to_string().lines().map(str::to_owned).collect();
    lines.sort();
    expect_that!(
        lines.join("\n"),
        eq("no mechanism has the name prefix_affinty\nzone_tiers: \"no\" is neither true nor false")
    );
}

#[gtest]
fn given_a_file_that_is_none_or_no_object_then_that_is_told() {
    expect_that!(
        load(Some(Path::new("/nowhere/policy.json"))),
        err(matches_pattern!(PolicyError::Unread { .. }))
    );
    for text in ["", "[]", "{", "7"] {
        expect_that!(parse(text), err(matches_pattern!(PolicyError::NoObject(_))));
    }
}
