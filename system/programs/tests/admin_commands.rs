//! Staff's commands against processes with canned answers, and their parts.

use bpaf::Parser;
use fleet_model::{Answer, Call, Endpoint, EndpointState, Roster, StorageNode, account_replicas};
use googletest::prelude::*;
use peer_wire::{Handler, PeerServer, Pusher};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::rc::Rc;
use system_programs::admin::commands::{Command, ConfigCommand, Verdict, carry_out, command};
use system_programs::admin::metrics::{Figures, exposition};
use system_programs::admin::query::{SeenMembers, places};
use system_programs::admin::table::{age, table};
use system_programs::admin::{Fleet, Origin, Report, Topic, View};
use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};

const FLEET: u16 = 77;

// Parts.

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

fn origin(node: &str, zone: &str, program: &str) -> Origin {
    Origin {
        node: node.to_owned(),
        ip: Ipv4Addr::LOCALHOST,
        zone: zone.to_owned(),
        program: program.to_owned(),
        age_ms: Some(5),
    }
}

#[gtest]
fn figures_of_one_name_stand_together_with_a_label_for_each_process() {
    let view = |node: &str, sends: u64| {
        let mut says = Figures::default();
        says.counter("request_proxy_sends", sends);
        says.gauge("uptime_seconds", 1.5);
        View { origin: origin(node, "a\"\\", "request-proxy"), says }
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

fn seen(name: &str, role: &str, zone: &str, ip: Ipv4Addr, suspected: bool) -> Value {
    json!({ "name": name, "role": role, "zone": zone, "ip": ip, "suspected": suspected })
}

#[gtest]
fn given_views_that_differ_then_it_is_told_who_suspects_and_who_misses_whom() {
    let ip = |last| Ipv4Addr::new(10, 0, 0, last);
    let view = |node: &str, members: Value| -> View<SeenMembers> {
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
    expect_that!(read(&["figures"]), some(eq(&Command::Figures { node: None })));
    expect_that!(
        read(&["figures", "edge-1"]),
        some(eq(&Command::Figures { node: Some("edge-1".to_owned()) }))
    );
    expect_that!(read(&["config", "show"]), some(eq(&Command::Config(ConfigCommand::Show))));
    let diff = ConfigCommand::Diff { file: PathBuf::from("new.json") };
    expect_that!(read(&["config", "diff", "new.json"]), some(eq(&Command::Config(diff))));
    for wrong in [&["turn"][..], &["config"], &["config", "check"], &["nonsense"], &[]] {
        expect_that!(read(wrong), none(), "{wrong:?}");
    }
}

// Commands against processes.

/// A process that answers topics as told, and other calls not at all.
struct Canned(BTreeMap<String, Value>);

impl Handler for Canned {
    async fn call(&self, _from: SocketAddr, call: Call, _pusher: Pusher) -> Answer {
        match call {
            Call::Inspect { topic } => match self.0.get(&topic) {
                Some(view) => Answer::View(view.to_string()),
                None => Answer::NotReady,
            },
            _ => Answer::NotReady,
        }
    }
}

/// A process of a made-up fleet.
struct Made {
    ip: Ipv4Addr,
    is_proxy: bool,
    topics: BTreeMap<String, Value>,
}

fn ip(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 0, last)
}

const STAFF_OFFSET: u16 = 3;

/// Serves all of them at one free port, proxies at the one for staff.
async fn serve(made: Vec<Made>) -> Fleet {
    let (port, listeners) = 'free: loop {
        let probe = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let port = probe.local_addr().unwrap().port();
        drop(probe);
        let Some(staff) = port.checked_add(STAFF_OFFSET) else { continue };
        let mut listeners = Vec::new();
        for process in &made {
            match TcpListener::bind((process.ip, if process.is_proxy { staff } else { port })).await {
                Ok(listener) => listeners.push(listener),
                Err(_) => continue 'free,
            }
        }
        break (port, listeners);
    };
    for (process, listener) in made.into_iter().zip(listeners) {
        let server = PeerServer::new(FLEET, Rc::new(Canned(process.topics)));
        spawn_local(async move { server.serve(listener).await });
    }
    Fleet { number: FLEET, entries: vec![SocketAddrV4::new(ip(1), port)], staff_offset: STAFF_OFFSET }
}

fn view(origin: &Origin, says: Value) -> Value {
    let mut view = json!(origin);
    view.as_object_mut().unwrap().extend(says.as_object().unwrap().clone());
    view
}

fn process(ip: Ipv4Addr, origin: &Origin, topics: &[(&str, Value)]) -> Made {
    let topics = topics.iter().map(|(topic, says)| ((*topic).to_owned(), view(origin, says.clone())));
    Made { ip, is_proxy: origin.program == "request-proxy", topics: topics.collect() }
}

fn store(last: u8) -> StorageNode {
    StorageNode {
        name: format!("store-{last}"),
        ip: ip(last),
        zone: "b".to_owned(),
        disk: u64::from(last) * 100,
    }
}

fn roster() -> Roster {
    Roster { epoch: 4, current: vec![store(4), store(5), store(6)], ..Roster::default() }
}

const CONFIG: &str = r#"{"version":3,"routes":[],"services":[]}"#;

fn member_list() -> Value {
    json!({ "members": [
        seen("core-1", "core", "a", ip(1), false),
        seen("edge-2", "edge", "a", ip(2), false),
        seen("store-4", "storage", "b", ip(4), false),
        seen("store-5", "storage", "b", ip(5), false),
        seen("store-6", "storage", "b", ip(6), false),
    ]})
}

fn version(number: u64) -> Value {
    json!({ "version": number, "voters": [ip(1)], "endpoints": 2, "fed": [] })
}

/// A core machine's process, with the age of what it says.
fn keeper(age_ms: Option<u64>) -> Made {
    let origin = Origin { age_ms, ..origin("core-1", "a", "control-node") };
    let config = json!({ "version": 3, "taken": [1, 3], "digests": ["aa", "bb"], "config": CONFIG });
    let listed = Endpoint {
        instance_id: "i-1".to_owned(),
        service: "llm".to_owned(),
        address: "10.0.0.9:80".parse().unwrap(),
        zone: "a".to_owned(),
        capacity_slots: 6,
        state: EndpointState::Ready,
    };
    let figures = json!({ "figures": [{ "name": "members", "kind": "gauge", "value": 5.0 }] });
    process(
        ip(1),
        &origin,
        &[
            ("members", member_list()),
            ("config", config),
            ("versions", version(3)),
            ("endpoints", json!({ "stamp": [1, 8], "list": [listed] })),
            ("figures", figures),
            (
                "roster",
                json!({
                    "roster": roster(),
                    "fences": { "list": { "number": 2, "holder": ip(1) } },
                    "losses": 1,
                }),
            ),
        ],
    )
}

fn agent(number: u64) -> Made {
    process(
        ip(2),
        &origin("edge-2", "a", "proxy-agent"),
        &[("members", member_list()), ("versions", version(number))],
    )
}

fn endpoint(instance: &str, unused: Option<&str>) -> Value {
    json!({
        "instance_id": instance, "service": "llm", "address": "10.0.0.9:80", "zone": "a", "out": 1, "connections": 2,
        "slots": 6, "told": 0.5, "unused": unused,
    })
}

fn proxy(endpoints: &[Value]) -> Made {
    let topics = [("versions", version(3)), ("endpoints", json!({ "endpoints": endpoints }))];
    process(ip(2), &origin("edge-2", "a", "request-proxy"), &topics)
}

/// A storage machine's process: whether it holds the turn `t-1`, and its reservations of the program `p`.
fn storage_node(last: u8, holds: bool, reservations: Option<&[(u64, u32)]>) -> Made {
    let disk = u64::from(last) * 100;
    let turn = json!({
        "disk": disk, "losses": 1, "state": if holds { "held" } else { "absent" },
        "bytes": holds.then_some(12), "previous": null, "holders": if holds { vec![400, 500] } else { vec![] },
    });
    let told: Vec<Value> = reservations
        .unwrap_or_default()
        .iter()
        .map(|(attempt, tokens)| json!({ "attempt": attempt, "tokens": tokens }))
        .collect();
    let account = json!({ "disk": disk, "known": reservations.is_some(), "reservations": told });
    let topics =
        [("versions", version(3)), ("members", member_list()), ("turn t-1", turn), ("account p", account)];
    process(ip(last), &origin(&format!("store-{last}"), "b", "storage-node"), &topics)
}

/// The whole fleet, everything well.
fn well() -> Vec<Made> {
    vec![
        keeper(Some(40)),
        agent(3),
        proxy(&[endpoint("i-1", None), endpoint("i-2", Some("draining"))]),
        storage_node(4, true, Some(&[(1, 50), (2, 30)])),
        storage_node(5, true, Some(&[(1, 20)])),
        storage_node(6, false, Some(&[(2, 30)])),
    ]
}

/// Runs a command against a fleet that is made of these.
fn run(made: Vec<Made>, command: Command) -> Report {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let fleet = serve(made).await;
        carry_out(&fleet, &command).await
    })
}

#[gtest]
fn given_a_fleet_that_is_well_then_members_are_told_and_nothing_is_wrong() {
    let report = run(well(), Command::Members);
    expect_that!(report.verdict, eq(Verdict::Fine));
    expect_that!(report.text, contains_substring("storage  store-4  127.0.0.4  b     alive"));
    expect_that!(report.text, ends_with("5 members, as seen by core-1, store-4\n"));
    expect_that!(report.json["members"].as_array().map(Vec::len), some(eq(5)));
}

#[gtest]
fn given_a_member_that_one_process_suspects_then_that_is_told_and_is_wrong() {
    let mut made = well();
    made[0].topics.get_mut("members").unwrap()["members"][1]["suspected"] = json!(true);
    let report = run(made, Command::Members);
    expect_that!(report.verdict, eq(Verdict::Wrong));
    expect_that!(report.text, contains_substring("edge-2   127.0.0.2  a     suspected  core-1"));
}

#[gtest]
fn given_a_machine_that_hears_no_other_then_that_is_wrong() {
    for age_ms in [None, Some(5_001)] {
        let mut made = well();
        made[0] = keeper(age_ms);
        let report = run(made, Command::Members);
        expect_that!(report.verdict, eq(Verdict::Wrong));
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
        (carry_out(&fleet, &Command::Members).await, silent)
    });
    expect_that!(report.verdict, eq(Verdict::Fine));
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
        Command::Versions,
        Command::Figures { node: None },
    ] {
        expect_that!(run(Vec::new(), command.clone()).verdict, eq(Verdict::Silent), "{command:?}");
    }
    expect_that!(Verdict::Silent.exit_code(), eq(3));
}

#[gtest]
fn given_a_fleet_that_is_well_then_the_version_in_force_is_told_for_each_process() {
    let report = run(well(), Command::Versions);
    expect_that!(report.verdict, eq(Verdict::Fine));
    expect_that!(report.text, contains_substring("edge-2   request-proxy  a     3        5 ms"));
    expect_that!(report.text, contains_substring("0 of 6 processes need a look"));
}

#[gtest]
fn given_a_process_behind_and_one_that_is_silent_then_both_are_told() {
    let mut made = well();
    made[1] = agent(2);
    made.pop();
    let report = run(made, Command::Versions);
    expect_that!(report.verdict, eq(Verdict::Wrong));
    expect_that!(report.text, contains_regex("edge-2 +proxy-agent .* behind"));
    expect_that!(report.text, contains_regex("store-6 +storage-node .* no answer"));
    expect_that!(report.text, contains_substring("2 of 6 processes need a look"));
}

#[gtest]
fn given_a_core_that_has_lost_its_majority_then_it_still_answers_and_tells_how_old_that_is() {
    let mut made = well();
    made[0] = keeper(Some(95_000));
    let versions = run(made, Command::Versions);
    expect_that!(versions.verdict, eq(Verdict::Wrong));
    expect_that!(versions.text, contains_regex("core-1 +control-node +a +3 +95 s .* stale"));
    let shown = run(vec![keeper(None)], Command::Config(ConfigCommand::Show));
    expect_that!(shown.verdict, eq(Verdict::Wrong));
    expect_that!(shown.text, eq(&format!("{CONFIG}\n")));
    let roster = run(vec![keeper(Some(95_000))], Command::Roster);
    expect_that!(roster.verdict, eq(Verdict::Wrong));
    expect_that!(roster.text, contains_substring("as core-1 knew it 95 s ago"));
}

#[gtest]
fn given_versions_that_were_taken_then_the_history_marks_the_one_in_force() {
    let report = run(well(), Command::Config(ConfigCommand::History));
    expect_that!(report.verdict, eq(Verdict::Fine));
    expect_that!(report.text, starts_with("VERSION  SHA-256\n1        aa\n3        bb       in force\n"));
}

#[gtest]
fn given_a_file_then_diff_tells_what_it_changes_and_whether_it_would_be_refused() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("new.json");
    let diff = || Command::Config(ConfigCommand::Diff { file: file.clone() });
    std::fs::write(&file, CONFIG).unwrap();
    let same = run(well(), diff());
    expect_that!((same.verdict, same.text.lines().next()), eq((Verdict::Fine, Some("no difference"))));
    std::fs::write(&file, CONFIG.replace("\"version\":3", "\"version\":4")).unwrap();
    let later = run(well(), diff());
    expect_that!((later.verdict, later.text.lines().next()), eq((Verdict::Fine, Some("version: 3 -> 4"))));
    std::fs::write(&file, CONFIG.replace("\"version\":3", "\"version\":2")).unwrap();
    let earlier = run(well(), diff());
    expect_that!(earlier.verdict, eq(Verdict::Wrong));
    expect_that!(earlier.text, contains_substring("would be refused"));
}

#[gtest]
fn given_a_file_with_findings_then_check_tells_them_all_and_asks_nobody() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("new.json");
    let check = || Command::Config(ConfigCommand::Check { file: file.clone() });
    std::fs::write(&file, CONFIG).unwrap();
    expect_that!(run(Vec::new(), check()).verdict, eq(Verdict::Fine));
    std::fs::write(&file, r#"{"version":0,"routes":7,"services":[]}"#).unwrap();
    let report = run(Vec::new(), check());
    expect_that!(report.verdict, eq(Verdict::Wrong));
    expect_that!(report.json["findings"].as_array().map(Vec::len), some(ge(2)));
    expect_that!(
        run(Vec::new(), Command::Config(ConfigCommand::Check { file: folder.path().join("none") })).verdict,
        eq(Verdict::Wrong)
    );
}

#[gtest]
fn given_a_proxy_then_endpoints_tell_why_one_is_not_used() {
    let report = run(well(), Command::Endpoints { node: None });
    expect_that!(report.verdict, eq(Verdict::Fine));
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
            eq(Verdict::Wrong),
            "{endpoints:?}"
        );
    }
}

#[gtest]
fn given_no_proxy_that_answers_then_the_list_is_told_instead() {
    let mut made = well();
    made.remove(2);
    let report = run(made, Command::Endpoints { node: None });
    expect_that!(report.verdict, eq(Verdict::Wrong));
    expect_that!(report.text, contains_regex("llm +i-1 .* listed"));
    expect_that!(report.text, contains_substring("no proxy answers"));
}

#[gtest]
fn given_a_proxy_that_is_named_and_silent_then_no_other_answers_for_it() {
    let named = Command::Endpoints { node: Some("edge-9".to_owned()) };
    expect_that!(run(well(), named).verdict, eq(Verdict::Silent));
}

#[gtest]
fn given_a_turn_at_enough_machines_then_they_are_told() {
    let report = run(well(), Command::Turn { attempt: "t-1".to_owned() });
    expect_that!(report.verdict, eq(Verdict::Fine));
    expect_that!(report.text, contains_regex("store-4 +127.0.0.4 +b +held +12 +named"));
    expect_that!(report.text, contains_regex("store-6 +127.0.0.6 +b +absent"));
    expect_that!(report.text, contains_substring("2 of at least 2 copies"));
}

#[gtest]
fn given_a_turn_with_too_few_copies_then_that_is_wrong() {
    let mut made = well();
    made.remove(3);
    let report = run(made, Command::Turn { attempt: "t-1".to_owned() });
    expect_that!(report.verdict, eq(Verdict::Wrong));
    expect_that!(report.text, contains_regex("store-4 +127.0.0.4 +no answer"));
    expect_that!(report.text, contains_substring("1 of at least 2 copies"));
}

#[gtest]
fn given_holders_that_differ_then_a_try_counts_with_the_lower_number() {
    let report = run(well(), Command::Account { program: "p".to_owned() });
    expect_that!(report.verdict, eq(Verdict::Fine));
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
    expect_that!(report.verdict, eq(Verdict::Wrong));
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
    expect_that!(report.verdict, eq(Verdict::Fine));
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
    expect_that!(report.verdict, eq(Verdict::Wrong));
    expect_that!(report.text, contains_regex("store-6 .* gone +counts"));
}

#[gtest]
fn given_figures_of_one_machine_then_they_are_exposition_text() {
    let report = run(well(), Command::Figures { node: Some("core-1".to_owned()) });
    expect_that!(report.verdict, eq(Verdict::Fine));
    let line = r#"members{node="core-1",program="control-node",zone="a"} 5"#;
    expect_that!(report.text, eq(&format!("# TYPE members gauge\n{line}\n")));
}
