//! Complete runs on loopback with the real sender. Only rules that no slow machine breaks are asserted.
use std::path::{Path, PathBuf};
use testbed::checker::Rule;
use testbed::fleet::{FleetError, Program, built_sender};
use testbed::run::{RunResult, run_scenario};
use testbed::scenario::{Scenario, Variant};
use tokio::sync::watch;

const SHORT: &str =
    "name = \"short\"\nseconds = 3.0\n[traffic]\nrate = 30.0\n[clients]\npatience_ms = 5000.0\n";

async fn result(more: &str, program: Program) -> Result<RunResult, FleetError> {
    let scenario = Scenario::parse(&format!("{SHORT}{more}")).unwrap();
    let (_stop, stopped) = watch::channel(0);
    let variant = Variant { name: "sender".to_owned(), ..Variant::default() };
    run_scenario(&scenario, &variant, 3, &program, stopped, false, Path::new("")).await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_sender_killed_during_a_run_loses_and_doubles_nothing() {
    let sender = Program::Sender(built_sender().unwrap());
    let killed = "[[trouble]]\nkind = \"kill\"\nat_s = 1.0\nfor_s = 0.5\npart = 0.5\n";
    let result = result(killed, sender).await.unwrap();
    let (v, c) = (&result.verdict, &result.verdict.counts);
    assert!(result.faults.is_empty() && result.crashes.is_empty(), "{result:?}");
    let certain = [Rule::Doubled, Rule::Resent, Rule::Overlap, Rule::Astray];
    assert!(!v.breaches.iter().any(|(rule, ..)| certain.contains(rule)), "{:?}", v.breaches);
    assert_eq!(c.wanted as usize, result.planned);
    assert_eq!(c.delivered + c.refused + c.failed + c.unknown, c.wanted, "each has its end: {c:?}");
    assert!(c.delivered * 2 > c.wanted && c.accepted >= c.delivered, "{c:?}");
    assert!(v.events.iter().any(|(_, what)| what.starts_with("Kill")), "{:?}", v.events);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopped_run_reports_partial_results() {
    let sender = Program::Sender(built_sender().unwrap());
    let scenario = Scenario::parse(&SHORT.replace("3.0", "600.0")).unwrap();
    let (stop, stopped) = watch::channel(0);
    let variant = Variant { name: "sender".to_owned(), ..Variant::default() };
    let running = run_scenario(&scenario, &variant, 3, &sender, stopped, false, Path::new(""));
    let stopping = async {
        tokio::time::sleep(std::time::Duration::from_secs(3)).await;
        stop.send_replace(1);
    };
    let (result, ()) = tokio::join!(running, stopping);
    let result = result.unwrap();
    assert!(result.cut_short && (result.verdict.counts.wanted as usize) < result.planned, "{result:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_program_that_is_no_sender_is_an_error() {
    let error = result("", Program::Sender(PathBuf::from("/bin/false"))).await.unwrap_err();
    assert!(matches!(error, FleetError::NotReady { .. }), "{error}");
    let error = result("", Program::Sender(PathBuf::from("/nowhere"))).await.unwrap_err();
    assert!(matches!(error, FleetError::Io { .. }), "{error}");
}
