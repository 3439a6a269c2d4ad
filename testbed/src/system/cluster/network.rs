//! The simulated network: calls, links of the feed, partitions, and lost or late messages.

use super::{Cluster, Host};
use crate::system::Mutation;
use crate::system::history::{Disturbance, Fact};
use crate::system::schedule::Class;
use fleet_model::{Answer, Call, Push};
use std::net::Ipv4Addr;
use std::rc::{Rc, Weak};
use tokio::sync::{mpsc, oneshot};

/// Minimum extra latency of a slow machine's messages; the maximum is twice as much.
const SLOW_US: u64 = 400_000;
/// A message delayed longer by a partition is lost with its connection (TCP user time-out).
const USER_TIMEOUT_US: u64 = 2_000_000;
enum Transit {
    After(u64),
    Lost,
}

/// A link of the feed.
pub(super) struct Link {
    from: (usize, u64),
    to: (usize, u64),
    /// The subscriber's queue; none once the link is closed.
    pushes: Option<mpsc::UnboundedSender<Push>>,
    last: u64,
}

/// The server side of a feed link.
#[derive(Clone)]
pub struct Pusher {
    cluster: Weak<Cluster>,
    link: u64,
}

impl Pusher {
    /// Pushes; false if the link is closed.
    pub fn push(&self, push: Push) -> bool {
        self.cluster.upgrade().is_some_and(|cluster| cluster.push(self.link, push))
    }

    /// Whether it is closed.
    pub fn is_closed(&self) -> bool {
        self.cluster.upgrade().is_none_or(|cluster| !cluster.links.borrow().contains_key(&self.link))
    }
}

/// The client side of a feed link, which closes on drop.
pub struct Pushes {
    pub(super) cluster: Weak<Cluster>,
    pub(super) link: u64,
    pub(super) pushes: mpsc::UnboundedReceiver<Push>,
}

impl Pushes {
    /// The next push; none once the link is closed.
    pub async fn next(&mut self) -> Option<Push> {
        self.pushes.recv().await
    }
}

impl Drop for Pushes {
    fn drop(&mut self) {
        if let Some(cluster) = self.cluster.upgrade() {
            cluster.links.borrow_mut().remove(&self.link);
        }
    }
}

impl Cluster {
    /// Partitions one direction between two machines for `for_ms` milliseconds.
    pub fn cut(&self, from: usize, to: usize, for_ms: u64) {
        let until = self.executor.now() + for_ms * 1_000;
        let mut path_cuts = self.path_cuts.borrow_mut();
        let cut_until = path_cuts.entry((from, to)).or_default();
        *cut_until = until.max(*cut_until);
        self.record(Fact::PathCut { from, to, until: self.elapsed_ms() + for_ms });
    }

    /// Loses or delays `of_thousand` of a thousand messages for `for_ms` milliseconds.
    pub fn lose_messages(&self, for_ms: u64, of_thousand: u64) {
        self.lossy.set((self.executor.now() + for_ms * 1_000, of_thousand));
        self.record(Fact::Lossy { until: self.elapsed_ms() + for_ms });
    }

    /// Loses `of_thousand` of a thousand responses to operators for `for_ms` milliseconds.
    pub fn lose_answers(&self, for_ms: u64, of_thousand: u64) {
        self.answers_lost.set((self.executor.now() + for_ms * 1_000, of_thousand));
        self.record(Fact::Lossy { until: self.elapsed_ms() + for_ms });
    }

    /// Draws whether a response to an operator is lost.
    pub fn loses_answer(&self) -> bool {
        let (until, of_thousand) = self.answers_lost.get();
        self.executor.now() < until && self.random_below(1_000) < of_thousand
    }

    /// Delays a machine's messages beyond the callers' time-outs for `for_ms` milliseconds.
    pub fn slow_down(&self, machine: usize, for_ms: u64) {
        self.slow.borrow_mut().insert(machine, self.executor.now() + for_ms * 1_000);
        let until = self.elapsed_ms() + for_ms;
        self.record(Fact::Disturbed { machine, how: Disturbance::Slow, until });
    }

    pub(super) fn lateness(&self, machine: usize) -> u64 {
        let until = self.slow.borrow().get(&machine).copied().unwrap_or_default();
        if self.executor.now() < until { SLOW_US + self.random_below(SLOW_US) } else { 0 }
    }

    fn transit(&self, from: usize, to: usize) -> Transit {
        if from == to {
            return Transit::After(20 + self.random_below(200));
        }
        let now = self.executor.now();
        let slow = if self.random_below(60) == 0 { self.random_below(40_000) } else { 0 };
        let mut after = 200 + self.random_below(2_500) + slow + self.lateness(from);
        let held_us = self.path_cuts.borrow().get(&(from, to)).map_or(0, |until| until.saturating_sub(now));
        if held_us > USER_TIMEOUT_US {
            return Transit::Lost;
        }
        after += if held_us > 0 { held_us + self.random_below(200_000) } else { 0 };
        let (until, of_thousand) = self.lossy.get();
        if now < until && self.random_below(1_000) < of_thousand {
            match self.random_below(2) {
                0 => return Transit::Lost,
                _ => after += 200_000 + self.random_below(800_000),
            }
        }
        Transit::After(after)
    }

    pub(super) fn node_at(&self, from: usize, to: Ipv4Addr) -> Option<usize> {
        let nodes = self.nodes.borrow();
        let machine = match to.is_loopback() {
            true => nodes[from].machine,
            false => self.machines.iter().position(|machine| machine.ip == to)?,
        };
        (0..nodes.len()).find(|node| nodes[*node].machine == machine && nodes[*node].class != Class::Proxy)
    }

    pub(super) fn call(
        self: &Rc<Self>,
        host: &Host,
        to: Ipv4Addr,
        call: Call,
        link: Option<u64>,
    ) -> oneshot::Receiver<Answer> {
        let (sender, receiver) = oneshot::channel();
        let Some(target) = self.node_at(host.node, to) else { return receiver };
        let (here, there) = (self.nodes.borrow()[host.node].machine, self.nodes.borrow()[target].machine);
        match self.transit(here, there) {
            Transit::Lost => self.unanswered.borrow_mut().push(sender),
            Transit::After(after) => {
                let (cluster, from) = (self.clone(), host.machine.ip);
                self.executor.spawn(self.driver, async move {
                    cluster.executor.sleep(after).await;
                    cluster.arrive(here, from, target, call, link, sender);
                });
            }
        }
        receiver
    }

    pub(super) fn arrive(
        self: &Rc<Self>,
        here: usize,
        from: Ipv4Addr,
        target: usize,
        call: Call,
        link: Option<u64>,
        sender: oneshot::Sender<Answer>,
    ) {
        let (running, power_lost, handler, there, incarnation) = {
            let nodes = self.nodes.borrow();
            let node = &nodes[target];
            (node.running, node.power_lost, node.handler.clone(), node.machine, node.incarnation)
        };
        let (Some(process), Some(handler)) = (running, handler) else {
            // A closed port resets the connection; a machine without power stays silent.
            if power_lost {
                self.unanswered.borrow_mut().push(sender);
            }
            return;
        };
        if let Some(link) = link
            && let Some(link) = self.links.borrow_mut().get_mut(&link)
        {
            link.from = (target, incarnation);
        }
        let pusher = link.map(|link| Pusher { cluster: Rc::downgrade(self), link });
        let cluster = self.clone();
        self.executor.spawn(process, async move {
            let answer = handler(from, call, pusher).await;
            match cluster.transit(there, here) {
                Transit::Lost => cluster.unanswered.borrow_mut().push(sender),
                Transit::After(after) => {
                    let executor = cluster.executor.clone();
                    cluster.executor.spawn(cluster.driver, async move {
                        executor.sleep(after).await;
                        let _ = sender.send(answer);
                    });
                }
            }
        });
    }

    pub(super) fn open_link(&self, host: &Host) -> (u64, mpsc::UnboundedReceiver<Push>) {
        let (pushes, receiver) = mpsc::unbounded_channel();
        let link = self.last_link.get() + 1;
        self.last_link.set(link);
        let to = (host.node, host.incarnation);
        let opened = Link { from: (usize::MAX, 0), to, pushes: Some(pushes), last: 0 };
        self.links.borrow_mut().insert(link, opened);
        (link, receiver)
    }

    pub(super) fn close_links_of(&self, node: usize) {
        let touches_node = |link: &Link| link.from.0 == node || link.to.0 == node;
        self.links.borrow_mut().retain(|_, link| !touches_node(link));
    }

    pub(super) fn push(self: &Rc<Self>, number: u64, push: Push) -> bool {
        let (from, to, last) = {
            let links = self.links.borrow();
            let Some(link) = links.get(&number) else { return false };
            (link.from, link.to, link.last)
        };
        let (here, there) = (self.nodes.borrow()[from.0].machine, self.nodes.borrow()[to.0].machine);
        let push = self.without_age(push);
        let now = self.executor.now();
        let (cluster, at) = match self.transit(here, there) {
            Transit::Lost => {
                let cluster = self.clone();
                self.executor.spawn(self.driver, async move {
                    cluster.executor.sleep(USER_TIMEOUT_US).await;
                    cluster.links.borrow_mut().remove(&number);
                });
                return true;
            }
            Transit::After(after) => (self.clone(), last.max(now + after)),
        };
        if let Some(link) = self.links.borrow_mut().get_mut(&number) {
            link.last = at;
        }
        self.executor.spawn(self.driver, async move {
            cluster.executor.sleep(at - now).await;
            let nodes = cluster.nodes.borrow();
            let mut links = cluster.links.borrow_mut();
            let Some(link) = links.get_mut(&number) else { return };
            match (&link.pushes, nodes[to.0].incarnation == to.1 && nodes[to.0].running.is_some()) {
                (Some(pushes), true) => {
                    if pushes.send(push).is_err() {
                        links.remove(&number);
                    }
                }
                _ => drop(links.remove(&number)),
            }
        });
        true
    }

    /// Mutation: heartbeats do not carry the age of the data.
    pub(super) fn without_age(&self, push: Push) -> Push {
        match push {
            Push::Heartbeat { proxies, .. } if self.breaks(Mutation::AgeNotCarried) => {
                Push::Heartbeat { age_ms: 0, proxies }
            }
            push => push,
        }
    }
}
