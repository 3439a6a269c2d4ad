//! The tier's run: each rule of the checker on a made-up history, and short runs of the real programs on loopback, of which only
//! what no slow machine breaks is asserted.
use bytes::Bytes;
use std::path::Path;
use std::time::Duration;
use testbed::fleet::FleetError;
use testbed::serving_tier::checker::{Rule, check_history, output};
use testbed::serving_tier::history::{Attempt, AttemptRoute, Disturbance, End, History, Kind, Program, Run};
use testbed::serving_tier::load::Load;
use testbed::serving_tier::machines::{Older, Programs, Role, built_programs};
use testbed::serving_tier::run::{Faults, Plan, RunResult, TierSize, run_tier};
use testbed::serving_tier::soak::{Fault, Schedule, Trouble};
use testbed::serving_tier::table::table;
use tokio::sync::watch;

/// Two events.
const STREAM: &str = "id: 1\ndata: a b\n\nid: 2\ndata: c\n\n";
/// Their data, as it stands in a chain.
const OUTPUT: &str = "a b\nc\n";

fn run(attempt: &str, body: &str, answer: &'static str) -> Run {
    Run {
        instance: "i-1".into(),
        attempt: attempt.into(),
        body: Bytes::copy_from_slice(body.as_bytes()),
        seal: format!("seal-{attempt}"),
        answer: answer.into(),
    }
}

fn answered(attempt: &str, status: u16, body: &'static str, complete: bool) -> End {
    let seal = (status == 200).then(|| format!("seal-{attempt}"));
    End::Answered { status, id: Some(attempt.into()), seal, body: body.into(), complete }
}

fn sent(attempt: &str, kind: Kind, previous: Option<&str>, end: End) -> Attempt {
    let previous = previous.map(str::to_owned);
    let route = AttemptRoute::default();
    Attempt {
        program: 1,
        attempt: attempt.into(),
        kind,
        previous,
        input: format!("in-{attempt}\n").into(),
        route,
        end,
    }
}

/// One program with a turn, one that continues from it, and a tool; all is well.
fn history() -> History {
    let mut history = History { started: 1, ..History::default() };
    history.runs = vec![
        run("one", "in-one\n", STREAM),
        run("two", &format!("in-one\n{OUTPUT}in-two\n"), STREAM),
        run("tool", "in-tool\n", "done"),
    ];
    history.attempts = vec![
        sent("one", Kind::Turn, None, answered("one", 200, STREAM, true)),
        sent("two", Kind::Turn, Some("one"), answered("two", 200, STREAM, true)),
        sent("tool", Kind::NonIdempotent, None, answered("tool", 200, "done", true)),
    ];
    history.programs = vec![Program { number: 1, budget: 8, max_tokens_per_turn: 4, end: Ok(()) }];
    history.configurations.sent = vec![(4, "four".into()), (9, "nine".into())];
    history.configurations.acknowledged = vec![4, 9];
    history.configurations.read = Some("nine".into());
    history
}

/// The rules that are broken once the good history is changed so.
fn broken(change: impl FnOnce(&mut History)) -> Vec<Rule> {
    let mut changed = history();
    change(&mut changed);
    check_history(&changed).breaches.into_keys().collect()
}

#[test]
fn a_history_in_which_all_is_well_breaks_nothing() {
    assert_eq!(broken(|_| {}), []);
    assert!(check_history(&history()).is_good());
}

#[test]
fn the_output_of_a_stream_is_the_data_of_its_complete_events() {
    assert_eq!(output(STREAM.as_bytes()), (OUTPUT.into(), 2));
    assert_eq!(output(b"id: 1\ndata: a\n\nid: 2\ndata: b"), (b"a\n".to_vec(), 1));
    assert_eq!(output(b""), (Vec::new(), 0));
}

#[test]
fn what_may_run_once_is_caught_when_it_runs_twice() {
    for attempt in ["two", "tool"] {
        let twice = |history: &mut History| {
            let again = history.runs.iter().find(|run| run.attempt == attempt).unwrap().clone();
            history.runs.push(again);
        };
        assert_eq!(broken(twice), [Rule::Twice], "{attempt}");
        let idempotent = |history: &mut History| {
            twice(history);
            history.attempts.iter_mut().for_each(|t| t.kind = Kind::Idempotent);
        };
        assert_eq!(broken(idempotent), [], "{attempt}");
    }
}

#[test]
fn a_promise_that_was_broken_is_caught() {
    for status in [402, 408, 421, 429, 503] {
        assert_eq!(
            broken(|h| h.attempts[2].end = answered("tool", status, "", true)),
            [Rule::Refused],
            "{status}"
        );
    }
    assert_eq!(broken(|h| h.attempts[2].end = End::Unsent), [Rule::Refused]);
    for status in [502, 504] {
        assert_eq!(broken(|h| h.attempts[2].end = answered("tool", status, "", true)), [], "{status}");
    }
    assert_eq!(broken(|h| h.attempts[2].end = End::Broken), []);
}

#[test]
fn a_body_that_is_not_chain_and_input_is_caught() {
    let bodies = [
        "in-two\n".to_owned(),
        format!("in-one\n{OUTPUT}"),
        "in-one\na b\nin-two\n".to_owned(),
        format!("{OUTPUT}in-one\nin-two\n"),
        format!("in-one\n{OUTPUT}in-one\n{OUTPUT}in-two\n"),
    ];
    for body in bodies {
        assert_eq!(broken(|h| h.runs[1].body = body.clone().into()), [Rule::Unasked], "{body:?}");
    }
    assert_eq!(broken(|h| h.runs[2].body = "in-other\n".into()), [Rule::Unasked]);
}

#[test]
fn a_run_without_a_request_is_caught() {
    assert_eq!(broken(|h| h.runs.push(run("stranger", "", "done"))), [Rule::Unasked]);
}

#[test]
fn a_run_on_a_turn_that_broke_off_is_caught() {
    let cut = |h: &mut History| h.attempts[0].end = answered("one", 200, "id: 1\ndata: a b\n\n", false);
    assert_eq!(broken(cut), [Rule::Unasked]);
}

#[test]
fn an_answer_of_another_request_is_caught() {
    assert_eq!(broken(|h| h.attempts[2].end = answered("one", 200, STREAM, true)), [Rule::Mixed]);
    assert_eq!(broken(|h| h.attempts[2].end = answered("tool", 200, "other", true)), [Rule::Mixed]);
    assert_eq!(broken(|h| h.attempts[2].end = answered("tool", 200, "done and more", true)), [Rule::Mixed]);
    let unsealed = |h: &mut History| {
        let End::Answered { seal, .. } = &mut h.attempts[2].end else { unreachable!() };
        *seal = None;
    };
    assert_eq!(broken(unsealed), [Rule::Mixed]);
    let of_another = |h: &mut History| h.attempts[2].end = answered("one", 502, "", true);
    assert_eq!(broken(of_another), [Rule::Mixed]);
}

#[test]
fn a_stream_that_ends_early_as_if_complete_or_never_is_caught() {
    let short = "id: 1\ndata: a b\n\n";
    assert_eq!(broken(|h| h.attempts[1].end = answered("two", 200, short, true)), [Rule::Ended]);
    assert_eq!(broken(|h| h.attempts[1].end = answered("two", 200, short, false)), []);
    assert_eq!(broken(|h| h.attempts[1].end = End::Silent), [Rule::Ended]);
}

#[test]
fn a_completed_turn_that_is_missing_is_caught() {
    let lost = |h: &mut History| {
        h.runs.remove(1);
        h.attempts[1].end = answered("two", 404, "", true);
    };
    assert_eq!(broken(lost), [Rule::Lost]);
    let unknown = |h: &mut History| {
        lost(h);
        h.attempts[1].previous = Some("never".into());
    };
    assert_eq!(broken(unknown), []);
}

#[test]
fn more_tokens_than_the_budget_and_one_turns_most_are_caught() {
    // Four events of two tokens.
    assert_eq!(broken(|h| (h.programs[0].budget, h.programs[0].max_tokens_per_turn) = (4, 4)), []);
    assert_eq!(
        broken(|h| (h.programs[0].budget, h.programs[0].max_tokens_per_turn) = (3, 4)),
        [Rule::Budget]
    );
    let cut = |h: &mut History| {
        (h.programs[0].budget, h.programs[0].max_tokens_per_turn) = (1, 4);
        h.attempts[1].end = answered("two", 200, "id: 1\ndata: a b\n\nid: 2\nda", false);
    };
    assert_eq!(broken(cut), [Rule::Budget], "what came before a break counts");
}

#[test]
fn a_configuration_read_back_that_is_not_the_newest_is_caught() {
    assert_eq!(broken(|h| h.configurations.read = Some("four".into())), [Rule::Configuration]);
    assert_eq!(broken(|h| h.configurations.read = Some("nin".into())), [Rule::Configuration]);
    assert_eq!(broken(|h| h.configurations.read = None), [Rule::Configuration]);
    assert_eq!(broken(|h| h.configurations.acknowledged = vec![4]), [], "one without an answer may be taken");
}

#[test]
fn fewer_than_ninety_in_a_hundred_programs_are_not_enough() {
    let verdict = |finished: usize, started: usize| {
        let mut history = History { started, ..history() };
        let end = |number| if number < finished { Ok(()) } else { Err("late".to_owned()) };
        let program =
            |number| Program { number: number + 10, budget: 8, max_tokens_per_turn: 4, end: end(number) };
        history.programs = (0..started).map(program).collect();
        check_history(&history).is_good()
    };
    assert!(verdict(90, 100));
    assert!(!verdict(89, 100));
    assert!(!verdict(0, 0));
}

#[test]
fn an_earlier_build_is_on_every_other_machine() {
    let present = Path::new("present");
    let older = |is_first| Older { programs: "older".into(), is_first };
    let starts = |older: Option<&Older>| {
        let programs = Programs { present, older };
        (0..4).map(|number| programs.of(number).1).collect::<Vec<_>>()
    };
    assert_eq!(starts(None), [false; 4]);
    assert_eq!(starts(Some(&older(true))), [true, false, true, false]);
    assert_eq!(starts(Some(&older(false))), [false, true, false, true]);
    let older = older(true);
    let mixed = Programs { present, older: Some(&older) };
    assert_eq!(mixed.of(2), (Path::new("older"), true));
    assert_eq!(mixed.of(1), (present, false));
}

/// Processes of the tier that still run.
fn running_processes(result: &RunResult, programs: &Path) -> usize {
    let runs = |pid: &&u32| {
        std::fs::read_link(format!("/proc/{pid}/exe")).is_ok_and(|program| program.starts_with(programs))
    };
    result.pids.iter().filter(runs).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_tier_that_loses_a_disk_and_restarts_a_proxy_keeps_its_rules() {
    let programs = built_programs().unwrap();
    let (_stop, stopped) = watch::channel(0);
    let plan = Plan {
        seconds: 6.0,
        seed: 3,
        grace_s: 4.0,
        verbose: false,
        older: None,
        size: TierSize::default(),
        faults: Faults::OneOfEach,
        load: Load::LIGHT,
    };
    let result = run_tier(plan, &programs, stopped).await.unwrap();
    assert!(result.verdict.breaches.is_empty(), "{:?}", result.verdict.breaches);
    assert!(result.crashes.is_empty() && !result.cut_short, "{:?}", result.crashes);
    assert_eq!(result.history.configurations.acknowledged.first(), Some(&4));
    assert!(result.verdict.finished > 0 && result.history.programs.len() == result.verdict.started);
    let chained = result.history.attempts.iter().filter(|t| t.previous.is_some()).count();
    assert!(chained > 0 && result.history.runs.len() > chained, "{chained}");
    let reported = |what: &str| result.history.events.iter().any(|(_, event)| event.contains(what));
    assert!(reported("storage-node-1 starts on an empty disk") && reported("request-proxy-0 starts again"));
    assert_eq!(result.pids.len(), 12, "ten processes, of which two were started again");
    assert_eq!(running_processes(&result, &programs), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopped_run_leaves_no_process() {
    let programs = built_programs().unwrap();
    let (stop, stopped) = watch::channel(0);
    let plan = Plan {
        seconds: 600.0,
        seed: 4,
        grace_s: 4.0,
        verbose: false,
        older: None,
        size: TierSize::default(),
        faults: Faults::OneOfEach,
        load: Load::LIGHT,
    };
    let stopping = async {
        tokio::time::sleep(Duration::from_secs(2)).await;
        stop.send_replace(1);
    };
    let (result, ()) = tokio::join!(run_tier(plan, &programs, stopped), stopping);
    let result = result.unwrap();
    assert!(result.cut_short && !result.is_good());
    assert_eq!((result.pids.len(), running_processes(&result, &programs)), (10, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_folder_without_the_programs_is_an_error() {
    let (_stop, stopped) = watch::channel(0);
    let plan = Plan {
        seconds: 6.0,
        seed: 5,
        grace_s: 4.0,
        verbose: false,
        older: None,
        size: TierSize::default(),
        faults: Faults::OneOfEach,
        load: Load::LIGHT,
    };
    let error = run_tier(plan, Path::new("/nowhere"), stopped).await.unwrap_err();
    assert!(matches!(error, FleetError::Io { .. }), "{error}");
}

/// A short soak; programs that start after its faults have to finish.
async fn soak(seed: u64, trouble: Trouble) -> RunResult {
    soak_under(Load::LIGHT, 15.0, seed, trouble).await
}

async fn soak_under(load: Load, seconds: f64, seed: u64, trouble: Trouble) -> RunResult {
    let programs = built_programs().unwrap();
    let (_stop, stopped) = watch::channel(0);
    let (size, faults) = (TierSize::default(), Faults::Soak(trouble));
    let plan = Plan { seconds, seed, grace_s: 6.0, verbose: false, older: None, size, faults, load };
    run_tier(plan, &programs, stopped).await.unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_soak_of_signals_restarts_and_changes_drops_no_request() {
    let result = soak(1, Trouble::Planned).await;
    assert!(result.is_good(), "{}", table(&result));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_soak_with_failures_of_every_role_keeps_the_rules() {
    let result = soak(2, Trouble::Failures).await;
    assert!(result.is_good(), "{}", table(&result));
}

#[tokio::test(flavor = "multi_thread")]
async fn signals_and_late_settings_around_starts_end_processes() {
    let result = soak(3, Trouble::Starts).await;
    assert!(result.is_good(), "{}", table(&result));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_busy_day_ends_a_process_or_leaves_one_that_does_not_start() {
    let result = soak_under(Load::BUSY, 12.0, 4, Trouble::Day).await;
    assert!(result.is_good(), "{}", table(&result));
    let reported = |what: &str| result.history.events.iter().any(|(_, event)| event.contains(what));
    assert!(reported("starts on an empty disk") && reported("all machines lost their power"));
}

#[test]
fn a_soak_of_disturbed_starts_kills_one_core_machine_at_most_at_the_first_start() {
    let mut processes: Vec<_> = (0..7).map(|number| (Role::ControlNode, number)).collect();
    processes.extend((0..7).map(|number| (Role::RequestProxy, number)));
    let mut killed_edges = 0;
    for seed in 0..50 {
        let schedule = Schedule::draw(seed, Trouble::Starts, &processes, Duration::from_secs(60));
        assert_eq!(schedule, Schedule::draw(seed, Trouble::Starts, &processes, Duration::from_secs(60)));
        let killed: Vec<bool> = schedule.first_starts.iter().map(|start| start.killed.is_some()).collect();
        let [core, edge] = [&killed[..7], &killed[7..]].map(|killed| killed.iter().filter(|is| **is).count());
        assert!(core <= 1, "seed {seed}");
        killed_edges += edge;
    }
    assert!(killed_edges > 0);
}

#[test]
fn a_request_dropped_by_a_sender_that_did_not_fail_breaks_a_rule() {
    let drop_all = |history: &mut History, disturbance: Option<Disturbance>| {
        let to = Some("127.0.0.1:80".parse().unwrap());
        for number in 0..4 {
            let (attempt, began) = (format!("dropped-{number}"), Duration::from_secs(10));
            history.runs.push(run(&attempt, &format!("in-{attempt}\n"), "done"));
            let route = AttemptRoute { to, began, ended_at: Some(began) };
            history
                .attempts
                .push(Attempt { route, ..sent(&attempt, Kind::NonIdempotent, None, End::Broken) });
        }
        history.disturbances.extend(disturbance);
    };
    assert_eq!(broken(|history| drop_all(history, None)), [Rule::Dropped]);
    let at = |seconds| Duration::from_secs(seconds);
    let failure = Disturbance { of: "127.0.0.1:80".parse().unwrap(), from: at(7), until: at(8) };
    assert_eq!(broken(|history| drop_all(history, Some(failure))), []);
    let earlier = Disturbance { from: at(1), until: at(2), ..failure };
    assert_eq!(broken(|history| drop_all(history, Some(earlier))), [Rule::Dropped]);
}

#[test]
fn a_soak_of_planned_work_ends_no_core_or_storage_machine() {
    let processes = [(Role::ControlNode, 0), (Role::StorageNode, 0), (Role::RequestProxy, 0)];
    let length = Duration::from_secs(600);
    let schedule = Schedule::draw(7, Trouble::Planned, &processes, length);
    assert_eq!(schedule, Schedule::draw(7, Trouble::Planned, &processes, length));
    for (role, _, steps) in &schedule.series {
        let ends = steps.iter().any(|step| step.fault != Fault::Reload);
        assert_eq!(ends, *role == Role::RequestProxy);
        assert!(steps.iter().all(|step| !matches!(step.fault, Fault::Kill { .. } | Fault::Pause { .. })));
    }
    assert!(!schedule.configurations.is_empty() && !schedule.incarnations.is_empty());
}
