//! Topics, tables, expositions and merged views.

use crate::canned_fleet::{origin, seen};
use bpaf::Parser;
use googletest::prelude::*;
use serde_json::{Value, json};
use std::net::Ipv4Addr;
use std::path::PathBuf;
use system_programs::admin::commands::{Command, ConfigCommand, command};
use system_programs::admin::metrics::{Metrics, exposition};
use system_programs::admin::query::{ObservedMembers, places};
use system_programs::admin::table::{age, table};
use system_programs::admin::{Topic, View};

#[gtest]
fn a_topic_may_carry_an_argument_after_a_blank() {
    expect_that!(Topic::read("members"), eq(Topic { name: "members", argument: None }));
    expect_that!(Topic::read("turn a-1"), eq(Topic { name: "turn", argument: Some("a-1") }));
    expect_that!(
        Topic::read("account my program"),
        eq(Topic { name: "account", argument: Some("my program") })
    );
    expect_that!(Topic::read("turn "), eq(Topic { name: "turn", argument: None }));
}

#[gtest]
fn columns_of_a_table_are_as_wide_as_their_widest_cell() {
    let rows = [vec!["a".to_owned(), "long cell".to_owned(), "x".to_owned()], vec!["é-bc".to_owned()]];
    expect_that!(
        table(&["NAME", "B", "LAST"], &rows),
        eq("NAME  B          LAST\na     long cell  x\né-bc\n")
    );
}

#[gtest]
fn ages_are_told_in_the_unit_that_fits() {
    let told: Vec<String> = [None, Some(9_999), Some(10_000), Some(600_000)].into_iter().map(age).collect();
    expect_that!(told, elements_are![eq("never"), eq("9999 ms"), eq("10 s"), eq("10 min")]);
}

#[gtest]
fn figures_of_one_name_stand_together_with_a_label_for_each_process() {
    let view = |node: &str, sends: u64| {
        let mut body = Metrics::default();
        body.counter("request_proxy_sends", sends);
        body.gauge("uptime_seconds", 1.5);
        View { origin: origin(node, "a\"\\", "request-proxy"), body }
    };
    let text = exposition(&[view("edge-1", 7), view("edge-2", 9)]);
    let label = |node: &str| format!(r#"{{node="{node}",program="request-proxy",zone="a\"\\"}}"#);
    let lines = [
        "# TYPE request_proxy_sends_total counter".to_owned(),
        format!("request_proxy_sends_total{} 7", label("edge-1")),
        format!("request_proxy_sends_total{} 9", label("edge-2")),
        "# TYPE uptime_seconds gauge".to_owned(),
        format!("uptime_seconds{} 1.5", label("edge-1")),
        format!("uptime_seconds{} 1.5", label("edge-2")),
    ];
    expect_that!(text, eq(&format!("{}\n", lines.join("\n"))));
}

#[gtest]
fn given_views_that_differ_then_it_is_told_who_suspects_and_who_misses_whom() {
    let ip = |last| Ipv4Addr::new(10, 0, 0, last);
    let view = |node: &str, members: Value| -> View<ObservedMembers> {
        let mut view = json!(origin(node, "a", "control-node"));
        view["members"] = members;
        serde_json::from_value(view).unwrap()
    };
    let first = json!([seen("core-1", "core", "a", ip(1), false), seen("edge-1", "edge", "a", ip(2), true)]);
    let second = json!([
        seen("core-2", "core", "b", ip(3), false),
        seen("core-1", "core", "a", ip(1), false),
        seen("edge-1", "edge", "a", ip(2), false),
    ]);
    let places = places(&[view("core-1", first), view("core-2", second)]);
    let told: Vec<_> = places
        .iter()
        .map(|place| {
            let list = |names: &std::collections::BTreeSet<String>| {
                names.iter().cloned().collect::<Vec<_>>().join(" ")
            };
            (
                place.member.name.as_str(),
                place.member.suspected,
                list(&place.suspected_by),
                list(&place.missed_by),
            )
        })
        .collect();
    expect_that!(
        told,
        elements_are![
            eq(&("core-1", false, String::new(), String::new())),
            eq(&("core-2", false, String::new(), "core-1".to_owned())),
            eq(&("edge-1", true, "core-1".to_owned(), String::new())),
        ]
    );
}

#[gtest]
fn commands_are_read_from_the_command_line() {
    let read = |args: &[&str]| command().to_options().run_inner(args).ok();
    expect_that!(read(&["members"]), some(eq(&Command::Members)));
    expect_that!(read(&["turn", "a-1"]), some(eq(&Command::Turn { attempt: "a-1".to_owned() })));
    expect_that!(read(&["figures"]), some(eq(&Command::Metrics { node: None })));
    expect_that!(
        read(&["figures", "edge-1"]),
        some(eq(&Command::Metrics { node: Some("edge-1".to_owned()) }))
    );
    expect_that!(read(&["config", "show"]), some(eq(&Command::Config(ConfigCommand::Show))));
    let diff = ConfigCommand::Diff { file: PathBuf::from("new.json") };
    expect_that!(read(&["config", "diff", "new.json"]), some(eq(&Command::Config(diff))));
    for wrong in [&["turn"][..], &["config"], &["config", "check"], &["nonsense"], &[]] {
        expect_that!(read(wrong), none(), "{wrong:?}");
    }
}
