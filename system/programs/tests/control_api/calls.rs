//! Every call and every status, with the exact JSON.

use crate::caller::Caller;
use crate::stand_in::with_server;
use control_node::{ApplicationReply, ApplicationRequest};
use coordination::KeyEvent;
use fleet_model::{CoordinationCommand, CoordinationOutcome, KeyRevision};
use googletest::prelude::*;
use std::time::Duration;
use system_programs::control_api::ApiLimits;

const ACQUIRE: (&str, &str, &str) =
    ("POST", "/sedgewood/locks/l1f", r#"{"holder":"a3.7","hold_ms":3000,"later":[1]}"#);
const RENEW: (&str, &str, &str) =
    ("PUT", "/sedgewood/locks/l1f", r#"{"holder":"a3.7","fence":41,"hold_ms":3000}"#);
const RELEASE: (&str, &str, &str) = ("DELETE", "/sedgewood/locks/l1f", r#"{"holder":"a3.7","fence":41}"#);
const NUMBER: (&str, &str, &str) = ("POST", "/sedgewood/numbers/n2", "{}");
const PUT: (&str, &str, &str) = ("PUT", "/sedgewood/cells/g1.2d", r#"{"value":"5c0e","enabled":907}"#);
const PUT_ANYWAY: (&str, &str, &str) = ("PUT", "/sedgewood/cells/g1.2d", r#"{"value":"5c0e"}"#);
const READ: (&str, &str, &str) = ("GET", "/sedgewood/cells/g1.2d", "");
const WATCH: (&str, &str, &str) = ("GET", "/sedgewood/watch/g1.?after=930&wait_ms=2000", "");
const ALL: [(&str, &str, &str); 7] = [ACQUIRE, RENEW, RELEASE, NUMBER, PUT, READ, WATCH];

fn lock() -> (String, String) {
    ("l1f".to_owned(), "a3.7".to_owned())
}

fn acquire() -> ApplicationRequest {
    let (lock, holder) = lock();
    let command = CoordinationCommand::AcquireLock { lock, holder, hold_ms: 3_000, expired_grant: None };
    ApplicationRequest::Command(command)
}

fn renew() -> ApplicationRequest {
    let (lock, holder) = lock();
    ApplicationRequest::Command(CoordinationCommand::RenewLock { lock, holder, fence: 41, hold_ms: 3_000 })
}

fn release() -> ApplicationRequest {
    let (lock, holder) = lock();
    ApplicationRequest::Command(CoordinationCommand::ReleaseLock { lock, holder, fence: 41 })
}

fn number() -> ApplicationRequest {
    ApplicationRequest::Command(CoordinationCommand::NextNumber { name: "n2".to_owned() })
}

fn put(expected: impl Into<Option<u64>>) -> ApplicationRequest {
    let (key, value) = ("g1.2d".to_owned(), "5c0e".to_owned());
    ApplicationRequest::Command(CoordinationCommand::PutKey { key, value, expected: expected.into() })
}

fn read(key: &str) -> ApplicationRequest {
    ApplicationRequest::ReadKey { key: key.to_owned() }
}

fn watch(after: u64, wait_ms: u64) -> ApplicationRequest {
    ApplicationRequest::Watch { group: "g1.".to_owned(), after, wait: Duration::from_millis(wait_ms) }
}

fn events(count: u64) -> ApplicationReply {
    let event =
        |revision| KeyEvent { key: format!("g1.{revision}"), value: format!("v{revision}"), revision };
    ApplicationReply::Events { events: (931..931 + count).map(event).collect(), revision: 934 }
}

#[gtest]
fn given_every_call_and_outcome_then_request_status_and_body_are_those_of_the_wire() {
    use ApplicationReply::{EventsPruned, Key, Outcome};
    use CoordinationOutcome as Out;
    let value = KeyRevision { value: "5c0e".to_owned(), revision: 931 };
    let two_events = r#"{"events":[{"name":"g1.931","value":"v931","revision":931},{"name":"g1.932","value":"v932","revision":932}],"revision":934}"#;
    let cases = [
        (ACQUIRE, acquire(), Outcome(Out::LockGranted { fence: 41 }), 200, r#"{"fence":41}"#),
        (ACQUIRE, acquire(), Outcome(Out::LockNotHeld), 409, r#"{"error":"another holder has the lock"}"#),
        (RENEW, renew(), Outcome(Out::LockGranted { fence: 41 }), 200, "{}"),
        (RENEW, renew(), Outcome(Out::LockNotHeld), 409, r#"{"error":"another holder has the lock"}"#),
        (RELEASE, release(), Outcome(Out::LockReleased), 200, "{}"),
        (
            NUMBER,
            number(),
            Outcome(Out::Number { value: u64::MAX }),
            200,
            r#"{"value":18446744073709551615}"#,
        ),
        (PUT, put(907), Outcome(Out::KeyStored { revision: 931 }), 200, r#"{"revision":931}"#),
        (PUT_ANYWAY, put(None), Outcome(Out::KeyStored { revision: 931 }), 200, r#"{"revision":931}"#),
        (PUT, put(907), Outcome(Out::RevisionMismatch { revision: 922 }), 412, r#"{"revision":922}"#),
        (PUT, put(907), Outcome(Out::RevisionMismatch { revision: 0 }), 412, r#"{"revision":0}"#),
        (PUT, put(907), Outcome(Out::LimitReached), 429, r#"{"error":"a limit on names is reached"}"#),
        (READ, read("g1.2d"), Key(Some(value)), 200, r#"{"value":"5c0e","revision":931}"#),
        (READ, read("g1.2d"), Key(None), 404, r#"{"error":"no such key"}"#),
        (WATCH, watch(930, 2_000), events(2), 200, two_events),
        (WATCH, watch(930, 2_000), events(0), 200, r#"{"events":[],"revision":934}"#),
        (WATCH, watch(930, 2_000), EventsPruned, 410, r#"{"error":"older events are not retained"}"#),
    ];
    with_server(ApiLimits::default(), async |served| {
        // All on one connection.
        let mut caller = Caller::connect(served.address).await;
        for ((method, path, body), request, reply, status, expected) in cases {
            served.service.reply.replace(reply);
            let received = caller.call(method, path, body).await;
            expect_that!(received.status.as_u16(), eq(status), "{method} {path}");
            expect_that!(received.body, eq(expected), "{method} {path}");
            expect_that!(received.header("Content-Type"), some(eq("application/json")));
            expect_that!(served.service.requests.take(), elements_are![eq(&request)]);
        }
        expect_that!(served.load.counts().connections, eq(1));
    });
}

#[gtest]
fn given_a_reply_that_promises_that_nothing_was_done_then_it_says_when_to_try_again() {
    let cases = [(ApplicationReply::Overloaded, 429), (ApplicationReply::Unavailable, 503)];
    with_server(ApiLimits::default(), async |served| {
        let mut caller = Caller::connect(served.address).await;
        for (reply, status) in cases {
            served.service.reply.replace(reply);
            for (method, path, body) in ALL {
                let received = caller.call(method, path, body).await;
                expect_that!(received.status.as_u16(), eq(status), "{method} {path}");
                expect_that!(received.header("Retry-After"), some(eq("0.2")));
                expect_that!(received.body, starts_with(r#"{"error":"#));
            }
        }
        served.service.reply.replace(ApplicationReply::Outcome(CoordinationOutcome::LimitReached));
        let (method, path, body) = NUMBER;
        let received = caller.call(method, path, body).await;
        expect_that!(received.header("Retry-After"), some(eq("0.2")));
        served.service.reply.replace(events(0));
        let (method, path, body) = WATCH;
        expect_that!(caller.call(method, path, body).await.header("Retry-After"), none());
    });
}

#[gtest]
fn given_an_unknown_outcome_then_the_connection_closes_without_a_reply() {
    with_server(ApiLimits::default(), async |served| {
        for (method, path, body) in ALL {
            let mut caller = Caller::connect(served.address).await;
            served.service.reply.replace(ApplicationReply::Key(None));
            expect_that!(caller.call("GET", "/sedgewood/cells/a", "").await.status.as_u16(), eq(404));

            served.service.reply.replace(ApplicationReply::Indeterminate);
            let received = caller.try_call(method, path, body).await;
            expect_that!(received.map_err(|e| e.is_incomplete_message()), err(eq(&true)), "{method} {path}");
            served.until(|served| served.load.counts().connections == 0).await;
        }
    });
}

#[gtest]
fn given_a_name_with_dots_and_escapes_then_it_is_decoded() {
    let names =
        [("g1.2d.x", "g1.2d.x"), ("a%20b%C3%A9%2E", "a bé."), ("..", ".."), ("%25", "%"), ("a+b", "a+b")];
    with_server(ApiLimits::default(), async |served| {
        let mut caller = Caller::connect(served.address).await;
        for (sent, key) in names {
            caller.call("GET", &format!("/sedgewood/cells/{sent}"), "").await;
            expect_that!(served.service.requests.take(), elements_are![eq(&read(key))]);
        }
    });
}

#[gtest]
fn given_a_watch_then_missing_parameters_are_zero_and_the_wait_is_capped() {
    let queries = [
        ("", watch(0, 0)),
        ("?", watch(0, 0)),
        ("?after=5", watch(5, 0)),
        ("?wait_ms=7&other=x", watch(0, 7)),
        ("?after=%31%32&wait_ms=60000", watch(12, 60_000)),
        ("?after=18446744073709551615&wait_ms=60001", watch(u64::MAX, 60_000)),
    ];
    with_server(ApiLimits::default(), async |served| {
        let mut caller = Caller::connect(served.address).await;
        for (query, request) in queries {
            caller.call("GET", &format!("/sedgewood/watch/g1.{query}"), "").await;
            expect_that!(served.service.requests.take(), elements_are![eq(&request)], "{query}");
        }
    });
}

#[gtest]
fn given_an_operators_call_then_it_is_carried_out_on_the_same_listener() {
    let cases = [
        ("GET", "/sedgewood/config", "", r#"{"version":7}"#.to_owned()),
        ("PUT", "/sedgewood/config", "{}", r#"{"expected":None,"bytes":2}"#.to_owned()),
        ("POST", "/sedgewood/retire/s-1", "{}", r#"{"retire":"s-1"}"#.to_owned()),
        ("GET", "/sedgewood/retire/s-1", "", r#"{"retiring":"s-1"}"#.to_owned()),
    ];
    with_server(ApiLimits::default(), async |served| {
        let mut caller = Caller::connect(served.address).await;
        for (method, path, body, expected) in cases {
            let received = caller.call(method, path, body).await;
            expect_that!(received.status.as_u16(), eq(200), "{method} {path}");
            expect_that!(received.body, eq(&expected));
        }
        // The limit on applications' bodies does not hold for the operator's.
        let received = caller.call("PUT", "/sedgewood/config", vec![b'x'; 1 << 20]).await;
        expect_that!(received.body, eq(r#"{"expected":None,"bytes":1048576}"#));
    });
}
