//! Many connections.

use crate::caller::Caller;
use crate::stand_in::with_server;
use control_node::ApplicationReply;
use googletest::prelude::*;
use system_programs::control_api::ApiLimits;
use tokio::net::TcpStream;

#[gtest]
fn given_too_many_connections_then_applications_are_rejected_and_the_operator_is_not() {
    let limits = ApiLimits { connections: 30, ..ApiLimits::default() };
    with_server(limits, async |served| {
        served.service.reply.replace(ApplicationReply::Key(None));
        let mut idle = Vec::new();
        for _ in 0..30 {
            idle.push(TcpStream::connect(served.address).await.unwrap());
        }
        served.until(|served| served.load.counts().connections == 30).await;

        let mut caller = Caller::connect(served.address).await;
        expect_that!(caller.call("GET", "/sedgewood/config", "").await.status.as_u16(), eq(200));
        let received = caller.call("GET", "/sedgewood/cells/a", "").await;
        expect_that!(received.status.as_u16(), eq(429));
        expect_that!(received.header("Retry-After"), some(eq("0.2")));
        expect_that!(received.header("Connection"), some(eq("close")));
        served.until(|served| served.load.counts().connections == 30).await;

        drop(idle);
        served.until(|served| served.load.counts().connections == 0).await;
        let mut caller = Caller::connect(served.address).await;
        expect_that!(caller.call("GET", "/sedgewood/cells/a", "").await.status.as_u16(), eq(404));
    });
}
