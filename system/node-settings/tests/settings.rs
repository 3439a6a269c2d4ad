//! The settings file of a process.

use googletest::prelude::*;
use node_settings::{BoundValue, PortRange, Settings};
use std::path::PathBuf;

const EDGE: &str = include_str!("edge.yaml");
const CORE: &str = include_str!("core.yaml");

fn fields(error: &node_settings::SettingsError) -> Vec<&str> {
    error.findings.iter().map(|finding| finding.field.as_str()).collect()
}

#[gtest]
fn a_byte_order_mark_makes_settings_unreadable() {
    expect_eq!(Settings::parse(&format!("\u{feff}{EDGE}")), Settings::parse(EDGE));
}

#[gtest]
fn every_field_of_an_edge_machines_settings_is_read() {
    let settings = Settings::parse(EDGE).unwrap();
    expect_eq!(settings.node_name, "edge-midrand-a-1");
    expect_eq!(settings.role, "my-edge");
    expect_eq!(settings.machine_class, "edge");
    expect_eq!(settings.serves, ["edge"]);
    expect_eq!(settings.ip_address.to_string(), "10.1.0.30");
    expect_eq!(settings.zone, "midrand-a");
    expect_eq!(settings.region, "gauteng");
    expect_eq!(settings.zones.len(), 4);
    expect_eq!(settings.listen_addresses.front.unwrap().to_string(), "10.1.0.30:8149");
    expect_eq!(settings.listen_addresses.readiness.unwrap().to_string(), "10.1.0.30:8141");
    expect_eq!(settings.listen_addresses.control_plane, None);
    expect_eq!(settings.internal_port_range, PortRange { first: 7380, last: 7395 });
    let seeds: Vec<String> = settings.seed_nodes.iter().map(ToString::to_string).collect();
    expect_eq!(seeds, ["10.1.0.33:8144", "10.2.0.37:8144", "10.3.0.36:8144"]);
    expect_true!(settings.first_start);
    expect_false!(settings.counted_loss);
    expect_eq!(settings.limits.cpu_share, 0.25);
    expect_eq!(settings.limits.cpu_cores, 1.0);
    expect_eq!(settings.limits.memory_mb, 260.0);
    expect_eq!(settings.limits.max_file_descriptors, 4100);
    expect_eq!(settings.limits.link_mbps, 1000.0);
    expect_eq!(settings.limits.disk_mb, 0.0);
    expect_eq!(settings.data_directory, None);
    expect_eq!(settings.discovery, "cloud_api");
    expect_eq!(settings.entry_mode, "virtual_ip");
    expect_eq!(settings.heartbeat_interval_ms, 1200);
    expect_eq!(settings.contracts.len(), 8);
    expect_eq!(settings.fault_tolerance.machines, 1);
    expect_eq!(settings.fault_tolerance.zones, 0);
    expect_eq!(settings.bounds.catch_up_s, 4.1);
    expect_eq!(settings.bounds.ack_ms, 4000);
    expect_eq!(settings.bounds.settle_ms, 1000);
    expect_that!(settings.bounds.others, is_empty());
    let cloud_api = settings.cloud_api.unwrap();
    expect_eq!(cloud_api.address.to_string(), "10.200.0.100:8142");
    expect_eq!(cloud_api.rate_per_s, 40.0);
    expect_that!(cloud_api.singleton_roles, is_empty());
    expect_eq!(cloud_api.max_lag_ms, 800.0);
}

#[gtest]
fn the_disk_and_address_of_a_core_machine_are_read() {
    let settings = Settings::parse(CORE).unwrap();
    expect_eq!(settings.data_directory, Some(PathBuf::from("/data/my-core")));
    expect_eq!(settings.listen_addresses.control_plane.unwrap().to_string(), "10.1.0.33:8144");
    expect_eq!(settings.listen_addresses.front, None);
    expect_true!(settings.counted_loss);
}

#[gtest]
fn ports_and_zones_are_derived_from_the_fields() {
    let settings = Settings::parse(&EDGE.replace("centurion: \"gauteng\"", "centurion: \"karoo\"")).unwrap();
    let ports = [settings.peer_port(), settings.feed_port(), settings.probe_port(), settings.admin_port()];
    expect_eq!(ports, [7380, 7381, 7382, 7383]);
    expect_eq!(settings.zones_of_region("gauteng"), ["isando", "midrand-a", "midrand-b"]);
    expect_eq!(settings.zones_of_region("karoo"), ["centurion"]);
    expect_that!(settings.zones_of_region("other"), is_empty());
}

#[gtest]
fn fields_of_a_later_release_are_ignored() {
    let later = EDGE
        .replace("limits:", "tides: {high: [1, 2], low: null}\nlimits:\n  gpu_share: lots")
        .replace("bounds:", "bounds:\n  later: [1]\n  later_s: 2.5\n  later_ms: 7\n  later_on: true");
    let settings = Settings::parse(&later).unwrap();
    let known = Settings::parse(EDGE).unwrap();
    expect_eq!(settings.limits, known.limits);
    expect_eq!(settings.bounds.ack_ms, known.bounds.ack_ms);
    let others: Vec<(String, BoundValue)> = settings.bounds.others.into_iter().collect();
    expect_eq!(
        others,
        [
            ("later_ms".to_owned(), BoundValue::Integer(7)),
            ("later_on".to_owned(), BoundValue::Flag(true)),
            ("later_s".to_owned(), BoundValue::Float(2.5)),
        ]
    );
}

#[gtest]
fn bounds_of_every_value_type_are_read_as_numbers() {
    let text = EDGE
        .replace("ack_ms: 4000", "ack_ms: 4000.2")
        .replace("seed_lag_s: 3", "seed_lag_s: 0.5")
        .replace("again_s: 0", "again_s: true")
        .replace("finish_s: 10", "finish_s: false\n  history_s: 7.5");
    let bounds = Settings::parse(&text).unwrap().bounds;
    expect_eq!(bounds.ack_ms, 4001);
    expect_eq!(bounds.seed_lag_s, 0.5);
    expect_eq!(bounds.again_s, 1.0);
    expect_eq!(bounds.finish_s, 0.0);
    expect_eq!(bounds.history_s, 7.5);
    expect_eq!(node_settings::Bounds::default().history_s, 20.0);
}

#[gtest]
fn optional_fields_have_defaults() {
    let text =
        "node_name: n\nip_address: 10.0.0.1\nzone: z\nzones: {z: r}\ninternal_port_range: [7000, 7003]\n";
    let settings = Settings::parse(text).unwrap();
    expect_eq!(settings.region, "r");
    expect_that!(settings.seed_nodes, is_empty());
    expect_eq!(settings.bounds, node_settings::Bounds::default());
    expect_eq!(settings.limits, node_settings::Limits::default());
    expect_eq!(settings.cloud_api, None);
    expect_false!(settings.first_start);
}

#[gtest]
fn all_invalid_fields_are_reported_together() {
    let text = EDGE
        .replace("\"10.1.0.30\"", "\"10.1.0.300\"")
        .replace("memory_mb: 260", "memory_mb: plenty")
        .replace("10.2.0.37:8144", "10.2.0.37")
        .replace("settle_ms: 1000", "settle_ms: []")
        .replace("zone: \"midrand-a\"\n", "");
    let error = Settings::parse(&text).unwrap_err();
    expect_that!(
        fields(&error),
        unordered_elements_are![
            &"ip_address",
            &"zone",
            &"limits.memory_mb",
            &"seed_nodes[1]",
            &"bounds.settle_ms"
        ]
    );
    expect_that!(
        error.to_string(),
        all!(
            starts_with("settings: "),
            contains_substring("zone is missing"),
            contains_substring("limits.memory_mb invalid type: found string \"plenty\"")
        )
    );
}

#[gtest]
fn a_port_range_that_is_too_small_or_reversed_is_reported() {
    for last in ["7382", "7379", "0"] {
        let error = Settings::parse(&EDGE.replace("- 7395", &format!("- {last}"))).unwrap_err();
        expect_eq!(fields(&error), ["internal_port_range"]);
    }
}

#[gtest]
fn a_text_that_is_not_a_settings_document_has_one_finding() {
    for text in ["just words", "- a\n- b", "node_name: [", "a: *b"] {
        let error = Settings::parse(text).unwrap_err();
        expect_eq!(fields(&error), [""]);
    }
}

#[gtest]
fn an_empty_file_lacks_every_required_field() {
    let error = Settings::parse("").unwrap_err();
    expect_that!(
        fields(&error),
        unordered_elements_are![&"node_name", &"ip_address", &"zone", &"internal_port_range"]
    );
}

#[gtest]
fn the_error_for_a_missing_file_names_it() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("node.yaml");
    let error = Settings::read(&path).unwrap_err();
    expect_eq!(error.path, Some(path.clone()));
    expect_that!(error.to_string(), starts_with(format!("{}: cannot be read: ", path.display())));
}

#[gtest]
fn reading_a_changed_file_returns_complete_settings_or_none() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("node.yaml");
    std::fs::write(&path, EDGE).unwrap();
    let first = Settings::read(&path).unwrap();

    let half =
        EDGE.replace("first_start: true", "first_start: false").replace("cpu_cores: 1", "cpu_cores: -1");
    std::fs::write(&path, &half).unwrap();
    let error = Settings::read(&path).unwrap_err();
    expect_eq!(fields(&error), ["limits.cpu_cores"]);

    std::fs::write(&path, half.replace("cpu_cores: -1", "cpu_cores: 1")).unwrap();
    let second = Settings::read(&path).unwrap();
    expect_eq!(second, Settings { first_start: false, ..first });
}
