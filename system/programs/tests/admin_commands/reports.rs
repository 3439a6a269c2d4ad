//! Each command's report on a fleet.

use crate::canned_fleet::{
    CONFIG, Made, agent, endpoint, ip, keeper, origin, proxy, roster, run, serve, storage_node, store, view,
    well,
};
use fleet_model::{Roster, account_replicas};
use googletest::prelude::*;
use serde_json::json;
use std::collections::BTreeMap;
use system_programs::admin::commands::{Command, ConfigCommand, Verdict, execute};
use tokio::task::LocalSet;

#[gtest]
fn given_a_fleet_that_is_well_then_members_are_told_and_nothing_is_wrong() {
    let report = run(well(), Command::Members);
    expect_that!(report.verdict, eq(Verdict::Healthy));
    expect_that!(report.text, contains_substring("storage  store-4  127.0.0.4  b     alive"));
    expect_that!(report.text, ends_with("5 members, as seen by core-1, store-4\n"));
    expect_that!(report.json["members"].as_array().map(Vec::len), some(eq(5)));
}

#[gtest]
fn given_a_member_that_one_process_suspects_then_that_is_told_and_is_wrong() {
    let mut made = well();
    made[0].topics.get_mut("members").unwrap()["members"][1]["suspected"] = json!(true);
    let report = run(made, Command::Members);
    expect_that!(report.verdict, eq(Verdict::Problem));
    expect_that!(report.text, contains_substring("edge-2   127.0.0.2  a     suspected  core-1"));
}

#[gtest]
fn given_a_machine_that_hears_no_other_then_that_is_wrong() {
    for age_ms in [None, Some(5_001)] {
        let mut made = well();
        made[0] = keeper(age_ms);
        let report = run(made, Command::Members);
        expect_that!(report.verdict, eq(Verdict::Problem));
        expect_that!(report.text, ends_with("no other machine heard lately by core-1\n"));
    }
}

#[gtest]
fn given_a_machine_to_begin_with_that_is_silent_then_it_is_named() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let (report, silent) = LocalSet::new().block_on(&runtime, async {
        let mut fleet = serve(well()).await;
        let silent = fleet.peer(ip(9));
        fleet.entries.push(silent);
        (execute(&fleet, &Command::Members).await, silent)
    });
    expect_that!(report.verdict, eq(Verdict::Healthy));
    expect_that!(report.text, ends_with(format!("no answer from {silent}\n")));
}

#[gtest]
fn given_nobody_who_answers_then_every_command_says_so() {
    for command in [
        Command::Members,
        Command::Config(ConfigCommand::Show),
        Command::Config(ConfigCommand::History),
        Command::Endpoints { node: None },
        Command::Turn { attempt: "t-1".to_owned() },
        Command::Account { program: "p".to_owned() },
        Command::Roster,
        Command::Coordination,
        Command::Versions,
        Command::Metrics { node: None },
    ] {
        expect_that!(run(Vec::new(), command.clone()).verdict, eq(Verdict::NoAnswer), "{command:?}");
    }
    expect_that!(Verdict::NoAnswer.exit_code(), eq(3));
}

#[gtest]
fn given_a_fleet_that_is_well_then_the_version_in_force_is_told_for_each_process() {
    let report = run(well(), Command::Versions);
    expect_that!(report.verdict, eq(Verdict::Healthy));
    expect_that!(report.text, contains_substring("edge-2   request-proxy  a     3        5 ms"));
    expect_that!(report.text, contains_substring("0 of 6 processes need a look"));
}

#[gtest]
fn given_a_process_behind_and_one_that_is_silent_then_both_are_told() {
    let mut made = well();
    made[1] = agent(2);
    made.pop();
    let report = run(made, Command::Versions);
    expect_that!(report.verdict, eq(Verdict::Problem));
    expect_that!(report.text, contains_regex("edge-2 +proxy-agent .* behind"));
    expect_that!(report.text, contains_regex("store-6 +storage-node .* no answer"));
    expect_that!(report.text, contains_substring("2 of 6 processes need a look"));
}

#[gtest]
fn given_a_core_that_has_lost_its_majority_then_it_still_answers_and_tells_how_old_that_is() {
    let mut made = well();
    made[0] = keeper(Some(95_000));
    let versions = run(made, Command::Versions);
    expect_that!(versions.verdict, eq(Verdict::Problem));
    expect_that!(versions.text, contains_regex("core-1 +control-node +a +3 +95 s .* stale"));
    let shown = run(vec![keeper(None)], Command::Config(ConfigCommand::Show));
    expect_that!(shown.verdict, eq(Verdict::Problem));
    expect_that!(shown.text, eq(&format!("{CONFIG}\n")));
    let roster = run(vec![keeper(Some(95_000))], Command::Roster);
    expect_that!(roster.verdict, eq(Verdict::Problem));
    expect_that!(roster.text, contains_substring("as core-1 knew it 95 s ago"));
}

#[gtest]
fn given_versions_that_were_taken_then_the_history_marks_the_one_in_force() {
    let report = run(well(), Command::Config(ConfigCommand::History));
    expect_that!(report.verdict, eq(Verdict::Healthy));
    expect_that!(report.text, starts_with("VERSION  SHA-256\n1        aa\n3        bb       in force\n"));
}

#[gtest]
fn given_a_file_then_diff_tells_what_it_changes_and_whether_it_would_be_refused() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("new.json");
    let diff = || Command::Config(ConfigCommand::Diff { file: file.clone() });
    std::fs::write(&file, CONFIG).unwrap();
    let same = run(well(), diff());
    expect_that!((same.verdict, same.text.lines().next()), eq((Verdict::Healthy, Some("no difference"))));
    std::fs::write(&file, CONFIG.replace("\"version\":3", "\"version\":4")).unwrap();
    let later = run(well(), diff());
    expect_that!((later.verdict, later.text.lines().next()), eq((Verdict::Healthy, Some("version: 3 -> 4"))));
    std::fs::write(&file, CONFIG.replace("\"version\":3", "\"version\":2")).unwrap();
    let earlier = run(well(), diff());
    expect_that!(earlier.verdict, eq(Verdict::Problem));
    expect_that!(earlier.text, contains_substring("would be refused"));
}

#[gtest]
fn given_a_file_with_findings_then_check_tells_them_all_and_asks_nobody() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("new.json");
    let check = || Command::Config(ConfigCommand::Check { file: file.clone() });
    std::fs::write(&file, CONFIG).unwrap();
    expect_that!(run(Vec::new(), check()).verdict, eq(Verdict::Healthy));
    std::fs::write(&file, r#"{"version":0,"routes":7,"services":[]}"#).unwrap();
    let report = run(Vec::new(), check());
    expect_that!(report.verdict, eq(Verdict::Problem));
    expect_that!(report.json["findings"].as_array().map(Vec::len), some(ge(2)));
    expect_that!(
        run(Vec::new(), Command::Config(ConfigCommand::Check { file: folder.path().join("none") })).verdict,
        eq(Verdict::Problem)
    );
}

#[gtest]
fn given_a_proxy_then_endpoints_tell_why_one_is_not_used() {
    let report = run(well(), Command::Endpoints { node: None });
    expect_that!(report.verdict, eq(Verdict::Healthy));
    expect_that!(report.text, contains_regex("llm +i-1 .* used"));
    expect_that!(report.text, contains_regex("llm +i-2 .* draining"));
    expect_that!(report.text, contains_substring("as the proxy of edge-2 sees them"));
}

#[gtest]
fn given_an_endpoint_that_fails_or_a_service_without_any_then_that_is_wrong() {
    for endpoints in [
        vec![endpoint("i-1", None), endpoint("i-2", Some("ejected"))],
        vec![endpoint("i-1", Some("draining"))],
        vec![],
    ] {
        let mut made = well();
        made[2] = proxy(&endpoints);
        expect_that!(
            run(made, Command::Endpoints { node: None }).verdict,
            eq(Verdict::Problem),
            "{endpoints:?}"
        );
    }
}

#[gtest]
fn given_no_proxy_that_answers_then_the_list_is_told_instead() {
    let mut made = well();
    made.remove(2);
    let report = run(made, Command::Endpoints { node: None });
    expect_that!(report.verdict, eq(Verdict::Problem));
    expect_that!(report.text, contains_regex("llm +i-1 .* listed"));
    expect_that!(report.text, contains_substring("no proxy answers"));
}

#[gtest]
fn given_a_proxy_that_is_named_and_silent_then_no_other_answers_for_it() {
    let named = Command::Endpoints { node: Some("edge-9".to_owned()) };
    expect_that!(run(well(), named).verdict, eq(Verdict::NoAnswer));
}

#[gtest]
fn given_a_turn_at_enough_machines_then_they_are_told() {
    let report = run(well(), Command::Turn { attempt: "t-1".to_owned() });
    expect_that!(report.verdict, eq(Verdict::Healthy));
    expect_that!(report.text, contains_regex("store-4 +127.0.0.4 +b +held +12 +named"));
    expect_that!(report.text, contains_regex("store-6 +127.0.0.6 +b +absent"));
    expect_that!(report.text, contains_substring("2 of at least 2 copies"));
}

#[gtest]
fn given_a_turn_with_too_few_copies_then_that_is_wrong() {
    let mut made = well();
    made.remove(3);
    let report = run(made, Command::Turn { attempt: "t-1".to_owned() });
    expect_that!(report.verdict, eq(Verdict::Problem));
    expect_that!(report.text, contains_regex("store-4 +127.0.0.4 +no answer"));
    expect_that!(report.text, contains_substring("1 of at least 2 copies"));
}

#[gtest]
fn given_holders_that_differ_then_a_try_counts_with_the_lower_number() {
    let report = run(well(), Command::Account { program: "p".to_owned() });
    expect_that!(report.verdict, eq(Verdict::Healthy));
    expect_that!(report.json["total"], eq(&json!(50)));
    let rank: Vec<String> = {
        let roster = roster();
        account_replicas(&roster.current, "p", 1).into_iter().map(|store| store.name.clone()).collect()
    };
    let held = BTreeMap::from([("store-4", "50"), ("store-5", "20"), ("store-6", "-")]);
    let cells: Vec<&str> = rank.iter().map(|name| held[name.as_str()]).collect();
    let row = report.text.lines().find(|line| line.starts_with("0000000000000001")).unwrap_or_default();
    let words: Vec<&str> = row.split_whitespace().skip(1).collect();
    expect_that!(words, eq(&[cells, vec!["20"]].concat()));
}

#[gtest]
fn given_only_one_of_three_holders_that_may_answer_then_the_sum_does_not_hold() {
    let mut made = well();
    made[3] = storage_node(4, true, None);
    made.pop();
    let report = run(made, Command::Account { program: "p".to_owned() });
    expect_that!(report.verdict, eq(Verdict::Problem));
    expect_that!(report.text, contains_substring("1 of 3 holders answer for it"));
}

#[gtest]
fn given_a_roster_then_its_machines_are_told_with_the_change_under_way() {
    let mut made = well();
    let next = vec![store(4), store(5), store(7)];
    let roster =
        Roster { next: Some(next), in_sync: vec![700], retiring: vec!["store-6".to_owned()], ..roster() };
    made[0].topics.get_mut("roster").unwrap()["roster"] = json!(roster);
    let report = run(made, Command::Roster);
    expect_that!(report.verdict, eq(Verdict::Healthy));
    expect_that!(report.text, contains_regex("store-4 .* alive +counts +fills"));
    expect_that!(report.text, contains_regex("store-6 .* alive +counts +leaves"));
    expect_that!(report.text, contains_regex("store-7 .* gone +full"));
    expect_that!(report.text, contains_substring("a change to 3 machines is under way"));
    expect_that!(report.text, contains_substring("retired or retiring: store-6"));
    expect_that!(report.text, contains_substring("duty list: core-1, fence 2"));
}

#[gtest]
fn given_a_machine_that_counts_and_is_gone_then_that_is_wrong() {
    let mut made = well();
    for process in &mut made {
        if let Some(view) = process.topics.get_mut("members") {
            view["members"].as_array_mut().unwrap().pop();
        }
    }
    let report = run(made, Command::Roster);
    expect_that!(report.verdict, eq(Verdict::Problem));
    expect_that!(report.text, contains_regex("store-6 .* gone +counts"));
}

#[gtest]
fn given_figures_of_one_machine_then_they_are_exposition_text() {
    let report = run(well(), Command::Metrics { node: Some("core-1".to_owned()) });
    expect_that!(report.verdict, eq(Verdict::Healthy));
    let line = r#"members{node="core-1",program="control-node",zone="a"} 5"#;
    expect_that!(report.text, eq(&format!("# TYPE members gauge\n{line}\n")));
}

fn coordination_view(leader_round: Option<u64>) -> serde_json::Value {
    let ballot = |round| json!({ "round": round, "proposer": 1, "life": 2 });
    json!({
        "leader": leader_round.map(|round| json!({ "ballot": ballot(round), "ip": ip(1) })),
        "promised": ballot(5),
        "replica": 255,
        "applied_slot": 88,
        "members": [{ "ip": ip(1), "replica": 255 }],
        "locks": [
            { "name": "l1", "holder": "a3.7", "fence": 41, "remaining_ms": 1200 },
            { "name": "l2", "holder": null, "fence": 7, "remaining_ms": null },
        ],
        "counters": [{ "name": "n2", "value": 5120 }],
        "groups": [{ "name": "g1.", "revision": 931, "keys": 3, "retained_events": 20 }],
        "watchers": 4,
    })
}

fn with_coordination(body: &serde_json::Value) -> Vec<Made> {
    let mut made = well();
    let told = view(&origin("core-1", "a", "control-node"), body.clone());
    made[0].topics.insert("coordination".to_owned(), told);
    made
}

#[gtest]
fn given_a_leader_then_replicas_locks_counters_and_groups_are_told() {
    let report = run(with_coordination(&coordination_view(Some(5))), Command::Coordination);
    expect_that!(report.verdict, eq(Verdict::Healthy));
    let lines = [
        "core-1  a     00000000000000ff  127.0.0.1 (ballot 5)  88       4",
        "members: 127.0.0.1",
        "l1    a3.7    41     1200 ms",
        "l2    -       7      -",
        "n2       5120",
        "g1.    931       3     20",
        "slot 88, as core-1 knew it 5 ms ago",
    ];
    for line in lines {
        expect_that!(report.text, contains_substring(format!("{line}\n")));
    }
    expect_that!(report.json["views"][0]["locks"][0]["fence"], eq(&json!(41)));
}

#[gtest]
fn given_no_leader_or_no_answer_of_a_core_machine_then_that_is_wrong() {
    let report = run(with_coordination(&coordination_view(None)), Command::Coordination);
    expect_that!(report.verdict, eq(Verdict::Problem));
    expect_that!(report.text, contains_substring("no leader\n"));
    // A core machine of an earlier release does not know the topic.
    expect_that!(run(well(), Command::Coordination).verdict, eq(Verdict::NoAnswer));
}
