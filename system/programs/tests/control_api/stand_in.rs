//! A stand-in for the services of a control node, and a server over it.

use bytes::Bytes;
use control_node::{ApplicationReply, ApplicationRequest};
use hyper::StatusCode;
use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use system_programs::control_api::{ApiLimits, ApiLoad, Applications, Operations, Reply, serve};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

/// Longest time that a test waits for something.
pub(crate) const PATIENCE: Duration = Duration::from_secs(10);
/// Between two looks.
const LOOK_AGAIN: Duration = Duration::from_millis(2);

/// Records the requests of applications and gives each the same reply.
pub(crate) struct StandIn {
    pub(crate) requests: RefCell<Vec<ApplicationRequest>>,
    pub(crate) reply: RefCell<ApplicationReply>,
    /// Whether watches wait for `event`.
    pub(crate) watches_wait: Cell<bool>,
    pub(crate) event: Notify,
}

impl Applications for StandIn {
    async fn coordinate(&self, request: ApplicationRequest) -> ApplicationReply {
        let waits = self.watches_wait.get() && matches!(request, ApplicationRequest::Watch { .. });
        self.requests.borrow_mut().push(request);
        if waits {
            self.event.notified().await;
        }
        self.reply.borrow().clone()
    }
}

impl Operations for StandIn {
    async fn put_config(&self, expected: Option<u64>, body: Bytes) -> Reply {
        Reply::new(StatusCode::OK, format!(r#"{{"expected":{expected:?},"bytes":{}}}"#, body.len()))
    }

    async fn config(&self) -> Reply {
        Reply::new(StatusCode::OK, r#"{"version":7}"#)
    }

    async fn retire(&self, name: &str) -> Reply {
        Reply::new(StatusCode::OK, format!(r#"{{"retire":"{name}"}}"#))
    }

    async fn retiring(&self, name: &str) -> Reply {
        Reply::new(StatusCode::OK, format!(r#"{{"retiring":"{name}"}}"#))
    }
}

/// A server on a loopback address.
pub(crate) struct Served {
    pub(crate) address: SocketAddr,
    pub(crate) service: Rc<StandIn>,
    pub(crate) load: Rc<ApiLoad>,
}

impl Served {
    /// Waits until a condition holds.
    pub(crate) async fn until(&self, condition: impl Fn(&Self) -> bool) {
        let holds = async {
            while !condition(self) {
                sleep(LOOK_AGAIN).await;
            }
        };
        timeout(PATIENCE, holds).await.expect("the condition holds in time");
    }
}

/// Runs a test against a server with these limits; the server runs on the test's thread.
pub(crate) fn with_server(limits: ApiLimits, test: impl AsyncFnOnce(Rc<Served>)) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let service = Rc::new(StandIn {
            requests: RefCell::default(),
            reply: RefCell::new(ApplicationReply::Unavailable),
            watches_wait: Cell::new(false),
            event: Notify::new(),
        });
        let load = Rc::new(ApiLoad::new(limits));
        spawn_local(serve(listener, service.clone(), load.clone()));
        test(Rc::new(Served { address, service, load })).await;
    });
}
