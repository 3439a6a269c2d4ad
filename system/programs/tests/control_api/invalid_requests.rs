//! Requests that cannot be understood: they are rejected with a JSON error and reach no service.

use crate::caller::Caller;
use crate::stand_in::with_server;
use googletest::prelude::*;
use system_programs::control_api::{ApiLimits, MAX_APPLICATION_BODY_BYTES};

#[gtest]
fn given_an_invalid_request_then_it_is_rejected_and_the_connection_goes_on() {
    let cases = [
        ("POST", "/sedgewood/locks/a", "", 400),
        ("POST", "/sedgewood/locks/a", "{", 400),
        ("POST", "/sedgewood/locks/a", r#"{"holder":"a"}"#, 400),
        ("POST", "/sedgewood/locks/a", r#"{"hold_ms":5}"#, 400),
        ("POST", "/sedgewood/locks/a", r#"{"holder":"a","hold_ms":-5}"#, 400),
        ("POST", "/sedgewood/locks/a", r#"{"holder":"a","hold_ms":1.5}"#, 400),
        ("POST", "/sedgewood/locks/a", r#"{"holder":7,"hold_ms":5}"#, 400),
        ("POST", "/sedgewood/locks/a", r#"{"holder":"a","hold_ms":5}{}"#, 400),
        ("PUT", "/sedgewood/locks/a", r#"{"holder":"a","hold_ms":5}"#, 400),
        ("PUT", "/sedgewood/locks/a", r#"{"holder":"a","fence":"41","hold_ms":5}"#, 400),
        ("DELETE", "/sedgewood/locks/a", r#"{"holder":"a"}"#, 400),
        ("DELETE", "/sedgewood/locks/a", r#"{"fence":1}"#, 400),
        ("POST", "/sedgewood/numbers/a", "", 400),
        ("POST", "/sedgewood/numbers/a", "7", 400),
        ("PUT", "/sedgewood/cells/a", r#"{"enabled":0}"#, 400),
        ("PUT", "/sedgewood/cells/a", r#"{"value":"v","enabled":true}"#, 400),
        ("PUT", "/sedgewood/cells/a", r#"{"value":"v","enabled":18446744073709551616}"#, 400),
        ("GET", "/sedgewood/cells/%ff", "", 400),
        ("GET", "/sedgewood/cells/a%2Fb", "", 400),
        ("GET", "/sedgewood/watch/g.?after=x", "", 400),
        ("GET", "/sedgewood/watch/g.?after=", "", 400),
        ("GET", "/sedgewood/watch/g.?after=-1", "", 400),
        ("GET", "/sedgewood/watch/g.?wait_ms=1.5", "", 400),
        ("GET", "/sedgewood/watch/g.?wait_ms=18446744073709551616", "", 400),
        ("GET", "/sedgewood/cells/", "", 404),
        ("GET", "/sedgewood/cells/a/b", "", 404),
        ("GET", "/sedgewood/locks", "", 404),
        ("GET", "/sedgewood/locks/a", "", 405),
        ("DELETE", "/sedgewood/cells/a", "", 405),
        ("POST", "/sedgewood/watch/a.", "", 405),
    ];
    with_server(ApiLimits::default(), async |served| {
        let mut caller = Caller::connect(served.address).await;
        for (method, path, body, status) in cases {
            let received = caller.call(method, path, body).await;
            expect_that!(received.status.as_u16(), eq(status), "{method} {path} {body}");
            let error: serde_json::Value = serde_json::from_str(&received.body).unwrap();
            expect_that!(error["error"].is_string(), eq(true), "{method} {path} {body}");
        }
        expect_that!(served.load.counts().connections, eq(1));
        expect_that!(served.service.requests.take(), is_empty());
    });
}

#[gtest]
fn given_a_body_at_the_limit_then_it_is_read_and_one_byte_more_is_rejected() {
    let body = |len: usize| {
        let empty = r#"{"value":"","enabled":0}"#;
        empty.replace(r#""""#, &format!(r#""{}""#, "v".repeat(len - empty.len())))
    };
    with_server(ApiLimits::default(), async |served| {
        let mut caller = Caller::connect(served.address).await;
        let received = caller.call("PUT", "/sedgewood/cells/a", body(MAX_APPLICATION_BODY_BYTES)).await;
        expect_that!(received.status.as_u16(), eq(503));
        expect_that!(served.service.requests.take(), len(eq(1)));

        let received = caller.call("PUT", "/sedgewood/cells/a", body(MAX_APPLICATION_BODY_BYTES + 1)).await;
        expect_that!(received.status.as_u16(), eq(413));
        expect_that!(served.service.requests.take(), is_empty());
    });
}
