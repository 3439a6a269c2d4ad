//! The rig on processes: a fleet of the real program, with faults of processes and links at once, observed and checked by its
//! history alone (V1 to V4 of `docs/fleet.md`).
use testbed::fleet::{Program, built_sender};
use testbed::peers::check::check;
use testbed::peers::history::{self, What};
use testbed::run::run_scenario;
use testbed::scenario::{Scenario, Variant};
use tokio::sync::watch;

const SCENARIO: &str = r#"
name = "small fleet"
seconds = 14.0
[fleet]
senders = 5
[traffic]
rate = 5.0
[peers]
machines = 5
keepers = 3
suspect_ms = 2000
settle_s = 12.0
[[peers.fault]]
kind = "join"
at_s = 1.0
senders = "4"
[[peers.fault]]
kind = "kill"
at_s = 2.0
for_s = 1.0
senders = "3"
[[peers.fault]]
kind = "part"
at_s = 4.0
for_s = 6.0
senders = "0,1"
[[peers.fault]]
kind = "lossy"
at_s = 2.0
for_s = 10.0
senders = "all"
size = 0.1
[[peers.fault]]
kind = "pause"
at_s = 5.0
for_s = 2.0
senders = "2"
[[peers.fault]]
kind = "full"
at_s = 8.0
for_s = 2.0
senders = "4"
[[peers.fault]]
kind = "garbage"
at_s = 3.0
for_s = 5.0
senders = "0"
size = 20.0
[[peers.fault]]
kind = "copy"
at_s = 12.0
senders = "3"
"#;

#[tokio::test(flavor = "multi_thread")]
async fn a_small_fleet_keeps_its_promises_and_a_copy_stops() {
    let scenario = Scenario::parse(SCENARIO).unwrap();
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("history.jsonl");
    let program = Program::Sender(built_sender().unwrap());
    let (_stop, stopped) = watch::channel(0);
    let result =
        run_scenario(&scenario, &Variant::default(), 5, &program, stopped, false, &path).await.unwrap();
    let promises = result.promises.clone().unwrap();
    let log = std::fs::read_to_string(path.with_extension("log")).unwrap();
    assert!(result.clean(), "{:?}\n{:?}\n{:?}\n{log}", promises.verdict, result.crashes, result.faults);
    assert!(promises.verdict.settled_ms.is_some(), "{:?}", promises.verdict);
    let events = history::read(&path).unwrap();
    assert_eq!(check(&events), promises.verdict, "the history alone tells it");
    let count = |of: fn(&What) -> bool| events.iter().filter(|event| of(&event.what)).count();
    assert_eq!(count(|what| matches!(what, What::Down { .. })), 1);
    assert_eq!(count(|what| matches!(what, What::Resumed { .. })), 1);
    assert_eq!(count(|what| matches!(what, What::Halted { copied: true, .. })), 1, "{log}");
    assert!(promises.carried[0] > 1.0, "datagrams go over the links: {:?}", promises.carried);
    assert!(log.contains("n4") && log.contains("copies of one folder"), "{log}");
}
