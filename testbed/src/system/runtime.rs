//! The simulated implementation of `node-runtime`, on which the production feed and control node run.

use super::Mutation;
use super::cluster::{Host, PORT, Pusher, Pushes, list_of};
use super::history::Fact;
use super::schedule::Class;
use fleet_model::{Answer, Ballot, Call, ListVersion, Push, RegisterReply, RegisterRequest};
use node_runtime::{FeedEvent, Runtime, Subscriber, Task, Upstream};
use state_feed::FeedState;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

pub use node_runtime::{follow, follow_one, run_heartbeats};

/// The feed of a simulated process.
pub type Feed = node_runtime::Feed<Host>;

/// Resolution of the programs' timers.
const TICK: Duration = Duration::from_millis(1);

/// A delay in microseconds, rounded up to whole ticks, at least one.
fn ticks(delay: Duration) -> u64 {
    let ticks = delay.as_nanos().div_ceil(TICK.as_nanos()).max(1);
    u64::try_from(ticks).unwrap_or(u64::MAX).saturating_mul(1_000)
}

fn milliseconds(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

impl Host {
    fn is_edge(&self) -> bool {
        matches!(self.class, Class::Agent | Class::Proxy)
    }

    /// Mutation: relays ignore versions, so that older values are accepted.
    fn accepts_older_values(&self) -> bool {
        self.is_edge() && self.breaks(Mutation::RelayWithoutVersions)
    }
}

impl Runtime for Host {
    type Task = SimulatedTask;
    type Upstream = Pushes;
    type Subscriber = Pusher;

    fn ip(&self) -> Ipv4Addr {
        self.machine.ip
    }

    fn zone(&self) -> String {
        self.machine.zone.clone()
    }

    fn seeds(&self) -> Vec<Ipv4Addr> {
        self.cluster().map(|cluster| cluster.seeds.clone()).unwrap_or_default()
    }

    fn peer_port(&self) -> u16 {
        PORT
    }

    fn now(&self) -> Duration {
        Host::now(self)
    }

    fn random_u64(&self) -> u64 {
        Host::random_u64(self)
    }

    async fn sleep(&self, delay: Duration) {
        self.sleep_us(ticks(delay)).await;
    }

    fn spawn(&self, work: impl Future<Output = ()> + 'static) -> SimulatedTask {
        SimulatedTask { host: self.clone(), task: Host::spawn(self, work) }
    }

    async fn call(&self, to: Ipv4Addr, call: Call, timeout: Duration) -> Option<Answer> {
        let simulated_agreement = match (&call, self.breaks(Mutation::MajorityOfLiving)) {
            (Call::Register(request), true) => agreement_reply(request),
            _ => None,
        };
        // Mutation: voters that do not answer are treated as if they agreed.
        Host::call(self, to, call, milliseconds(timeout)).await.or(simulated_agreement)
    }

    async fn subscribe(
        &self,
        to: SocketAddrV4,
        mut call: Call,
        timeout: Duration,
    ) -> Option<(Answer, Pushes)> {
        if let (Call::Subscribe { value, list, .. }, true) = (&mut call, self.accepts_older_values()) {
            (*value, *list) = (Ballot::default(), ListVersion::default());
        }
        Host::subscribe(self, *to.ip(), call, milliseconds(timeout)).await
    }

    fn on_feed(&self, event: FeedEvent<'_>) {
        if let FeedEvent::UpstreamChanged(_) = event {
            self.record(Fact::UpstreamChanged { node: self.node });
        }
        if let FeedEvent::Changed { value, state, list } = event
            && self.is_edge()
        {
            self.record(Fact::Knows {
                node: self.node,
                incarnation: self.incarnation,
                ballot: value.ballot,
                version: state.version(),
                list: list_of(&list.endpoints),
            });
        }
    }

    fn before_push(&self, known: &mut FeedState, push: &Push) {
        let is_older = match push {
            Push::Value(value) => value.ballot < known.value().ballot,
            Push::List(list) => list.version < known.list().version,
            _ => false,
        };
        if is_older && self.accepts_older_values() {
            // Mutation: the latest push is accepted whatever its version.
            *known = FeedState::default();
        }
    }
}

/// The answer of a voter that agrees.
fn agreement_reply(request: &RegisterRequest) -> Option<Answer> {
    let reply = match request {
        RegisterRequest::Prepare(_) => RegisterReply::Promised(None),
        RegisterRequest::Accept(_) => RegisterReply::Accepted,
        RegisterRequest::Poll { .. } => RegisterReply::Polled { accepted: None, chosen: Ballot::default() },
        RegisterRequest::Fetch => return None,
    };
    Some(Answer::Register(reply))
}

/// A task of a simulated process.
pub struct SimulatedTask {
    host: Host,
    task: u64,
}

impl Task for SimulatedTask {
    fn abort(self) {
        self.host.abort(self.task);
    }
}

impl Upstream for Pushes {
    async fn next(&mut self) -> Option<Push> {
        Pushes::next(self).await
    }
}

impl Subscriber for Pusher {
    type Prepared = Push;

    fn prepare(push: &Push) -> Option<Push> {
        Some(push.clone())
    }

    fn send(&self, push: &Push) -> bool {
        self.push(push.clone())
    }

    fn is_closed(&self) -> bool {
        Pusher::is_closed(self)
    }
}
