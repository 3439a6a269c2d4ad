//! What is due, in the order of its time.

use super::network::LinkNumber;
use super::{MS, World, processor};
use crate::hollow::Role;
use bytes::Bytes;
use state_feed::{Event, LinkId};
use std::cmp::{Ordering, Reverse};

/// Control nodes look at their singleton task for the first time so long after their start.
const FIRST_DUTY: u64 = 300 * MS;

/// What a process is to handle.
#[derive(Clone, Debug)]
pub(super) enum Due {
    /// A frame has arrived on a link.
    Frame(LinkNumber, Bytes),
    /// The other end of a link is closed.
    Closed(LinkNumber),
    /// Heartbeats go out.
    Heartbeat,
    /// The follower's time.
    Wake,
    /// A link could not be opened.
    Unopened(LinkId),
    /// The register's poll of this round begins.
    Poll(u64),
    /// The call of this number has waited long enough.
    CallOver(u64),
    /// The proposal of this number is tried again.
    Retry(u64),
    /// A control node looks after its singleton task.
    Duty,
    /// The holder of the task judges which storage machines are gone.
    Judge,
    /// The process starts.
    Start,
}

/// Something due at a process. It is void if the process has started anew meanwhile.
pub(super) struct Item {
    at: u64,
    /// Parts those of one time: what was scheduled first comes first.
    number: u64,
    node: usize,
    life: u32,
    due: Due,
}

impl Item {
    fn key(&self) -> (u64, u64) {
        (self.at, self.number)
    }
}

impl PartialEq for Item {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for Item {}

impl PartialOrd for Item {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Item {
    fn cmp(&self, other: &Self) -> Ordering {
        self.key().cmp(&other.key())
    }
}

impl World {
    pub(super) fn later(&mut self, node: usize, after: u64, due: Due) {
        let number = self.next_number();
        let life = self.nodes[node].life;
        self.due.push(Reverse(Item { at: self.now + after, number, node, life, due }));
    }

    /// Runs for so long.
    pub(crate) fn run_for(&mut self, time: u64) {
        let until = self.now + time;
        while self.due.peek().is_some_and(|Reverse(item)| item.at <= until) {
            let Some(Reverse(item)) = self.due.pop() else { break };
            self.now = item.at;
            if self.is_void(&item) {
                continue;
            }
            self.nodes[item.node].up = true;
            self.handle_timed(item.node, item.due);
        }
        self.now = until;
    }

    /// Whether the process that this is due at does not run; a start brings it up if its machine has power.
    fn is_void(&self, item: &Item) -> bool {
        let node = &self.nodes[item.node];
        let may_start = node.machine_up && matches!(item.due, Due::Start);
        node.life != item.life || !(node.up || may_start)
    }

    /// Handles what is due, and counts the processor time that it takes.
    fn handle_timed(&mut self, node: usize, due: Due) {
        let began = processor();
        self.handle(node, due);
        let spent = (processor() - began).saturating_sub(self.clock_cost);
        let tally = &mut self.nodes[node].tally;
        tally.cpu_ns += spent;
        tally.wakes += 1;
    }

    fn handle(&mut self, node: usize, due: Due) {
        match due {
            Due::Start => self.start(node),
            Due::Frame(link, bytes) => self.frame(node, link, &bytes),
            Due::Closed(link) => self.closed(node, link),
            Due::Heartbeat => self.heartbeat(node),
            Due::Wake => self.wake(node),
            Due::Unopened(link) => self.unopened(node, link),
            Due::Poll(round) => self.poll(node, round),
            Due::CallOver(number) => self.call_over(number),
            Due::Retry(run) => self.retry(node, run),
            Due::Duty => self.duty(node),
            Due::Judge => self.judge_stores(node),
        }
    }

    fn start(&mut self, node: usize) {
        match self.nodes[node].role {
            Role::Keeper => {
                self.later(node, 0, Due::Heartbeat);
                self.later(node, 0, Due::Poll(0));
                self.later(node, FIRST_DUTY, Due::Duty);
            }
            Role::Agent | Role::Proxy => {
                self.later(node, 0, Due::Heartbeat);
                self.follow(node, Event::Tick);
            }
            Role::Store => self.follow(node, Event::Tick),
        }
    }
}
