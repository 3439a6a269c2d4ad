//! Selection of the upstream, step by step.

use fleet_model::Answer;
use googletest::prelude::*;
use state_feed::{
    Command, Event, Follower, LinkId, MAX_RELAY_STATE_AGE, MAX_STATE_AGE, Sources, UPSTREAM_TIMEOUT,
};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

const START: Duration = Duration::from_secs(1_000_000);
const ME: Ipv4Addr = Ipv4Addr::new(10, 0, 1, 1);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn control_nodes() -> Vec<SocketAddrV4> {
    (1..=3).map(|number| SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number), 7_000)).collect()
}

fn relay(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, number), 7_000)
}

/// A follower with its clock.
struct SimulatedFollower {
    follower: Follower,
    now: Duration,
}

impl SimulatedFollower {
    fn new(sources: Sources) -> Self {
        Self { follower: Follower::new(ME, sources, 5), now: START }
    }

    fn agent() -> Self {
        Self::new(Sources::Tree { urgent: false })
    }

    fn handle(&mut self, event: Event) -> Vec<Command> {
        self.follower.handle(self.now, &control_nodes(), event)
    }

    /// Advances the time to `end`; returns the commands and their times.
    fn run_until(&mut self, end: Duration) -> Vec<(Duration, Command)> {
        let mut commands = Vec::new();
        let mut wakes = 0;
        while self.follower.wake_at() <= end {
            wakes += 1;
            assert_that!(wakes, lt(10_000), "the follower wakes repeatedly without effect");
            self.now = self.now.max(self.follower.wake_at());
            let now = self.now;
            commands.extend(self.handle(Event::Tick).into_iter().map(|command| (now, command)));
        }
        self.now = end;
        commands
    }

    /// The only subscription among the commands.
    fn only_subscription(commands: &[Command]) -> (LinkId, SocketAddrV4, bool) {
        let subscriptions: Vec<_> = commands
            .iter()
            .filter_map(|command| match command {
                Command::Subscribe { link, upstream, urgent } => Some((*link, *upstream, *urgent)),
                Command::Close(_) => None,
            })
            .collect();
        assert_that!(subscriptions.len(), eq(1));
        subscriptions[0]
    }

    fn subscribed_to_control_node(&mut self) -> (LinkId, SocketAddrV4) {
        let (link, control_node, _) = Self::only_subscription(&self.handle(Event::Tick));
        assert_that!(self.handle(Event::Answered(link, Answer::Done)), is_empty());
        assert_that!(self.handle(Event::Heartbeat(link, ms(100))), is_empty());
        (link, control_node)
    }

    /// Subscribes to a relay through a redirect.
    fn subscribed_to_relay(&mut self, number: u8) -> LinkId {
        let (link, _, _) = Self::only_subscription(&self.handle(Event::Tick));
        let commands = self.handle(Event::Answered(link, Answer::Redirect(vec![relay(number)])));
        let (link, upstream, urgent) = Self::only_subscription(&commands);
        assert_that!((upstream, urgent), eq((relay(number), false)));
        self.handle(Event::Answered(link, Answer::Done));
        self.handle(Event::Heartbeat(link, ms(100)));
        link
    }
}

#[googletest::test]
fn an_agent_follows_redirects_and_then_subscribes_urgently() {
    // Given an agent at its start.
    let mut simulation = SimulatedFollower::agent();
    let (first, control_node, urgent) = SimulatedFollower::only_subscription(&simulation.handle(Event::Tick));
    expect_that!(control_nodes(), contains(eq(&control_node)));
    expect_false!(urgent);
    // When the control node redirects it to two relays and to itself.
    let named = Answer::Redirect(vec![relay(2), SocketAddrV4::new(ME, 7_000), relay(3)]);
    let commands = simulation.handle(Event::Answered(first, named));
    // Then it subscribes to one of them, and to the other when the first rejects it.
    expect_that!(commands, contains(eq(&Command::Close(first))));
    let (second, one, urgent) = SimulatedFollower::only_subscription(&commands);
    expect_false!(urgent);
    let commands = simulation.handle(Event::Answered(second, Answer::Redirect(Vec::new())));
    let (third, other, _) = SimulatedFollower::only_subscription(&commands);
    expect_that!([one.min(other), one.max(other)], eq([relay(2), relay(3)]));
    // And when both reject it, it subscribes urgently to the control node that redirected it.
    let commands = simulation.handle(Event::Closed(third));
    expect_that!(
        (
            SimulatedFollower::only_subscription(&commands).1,
            SimulatedFollower::only_subscription(&commands).2
        ),
        eq((control_node, true))
    );
}

#[googletest::test]
fn a_hedged_subscription_starts_while_the_first_is_unanswered() {
    let mut simulation = SimulatedFollower::agent();
    let (first, control_node, _) = SimulatedFollower::only_subscription(&simulation.handle(Event::Tick));
    // When there is no answer for 0.2 s.
    let commands = simulation.run_until(START + ms(200));
    // Then a hedged request has gone to another control node, and the first attempt is still open.
    let commands: Vec<Command> = commands.into_iter().map(|(_, command)| command).collect();
    let (second, other, _) = SimulatedFollower::only_subscription(&commands);
    expect_that!(other, not(eq(control_node)));
    expect_that!(commands, not(contains(eq(&Command::Close(first)))));
    // And the first to deliver becomes the upstream, and the other link is closed.
    simulation.handle(Event::Answered(first, Answer::Done));
    expect_that!(simulation.handle(Event::Heartbeat(first, ms(20))), eq(&vec![Command::Close(second)]));
    expect_that!(simulation.follower.upstream_address(), some(eq(control_node)));
}

#[googletest::test]
fn an_unresponsive_upstream_is_kept_until_another_delivers() {
    // Given an agent subscribed to a control node.
    let mut simulation = SimulatedFollower::agent();
    let (link, control_node) = simulation.subscribed_to_control_node();
    // When it receives nothing any more.
    let commands = simulation.run_until(START + UPSTREAM_TIMEOUT + ms(70));
    // Then after a second it subscribes to another control node, and the old link remains.
    let (at, command) = commands[0];
    expect_that!(at, ge(START + MAX_STATE_AGE - ms(100)));
    let (next, other, _) = SimulatedFollower::only_subscription(&[command]);
    expect_that!(other, not(eq(control_node)));
    expect_that!(
        commands.iter().map(|(_, command)| *command).collect::<Vec<_>>(),
        not(contains(eq(&Command::Close(link))))
    );
    // And with the first fresh heartbeat it switches.
    simulation.handle(Event::Answered(next, Answer::Done));
    expect_that!(simulation.handle(Event::Heartbeat(next, ms(50))), contains(eq(&Command::Close(link))));
    expect_that!(simulation.follower.upstream_address(), some(eq(other)));
}

#[googletest::test]
fn an_upstream_that_recovers_meanwhile_is_kept() {
    let mut simulation = SimulatedFollower::agent();
    let (link, control_node) = simulation.subscribed_to_control_node();
    let commands = simulation.run_until(START + UPSTREAM_TIMEOUT + ms(70));
    let (next, _, _) = SimulatedFollower::only_subscription(&[commands[0].1]);
    // When the upstream sends a heartbeat before the other one does.
    let commands = simulation.handle(Event::Heartbeat(link, ms(30)));
    // Then the other link is closed.
    expect_that!(commands, contains(eq(&Command::Close(next))));
    expect_that!(simulation.follower.upstream_address(), some(eq(control_node)));
    expect_that!(simulation.follower.wake_at(), ge(simulation.now + MAX_STATE_AGE / 2));
}

/// Sends heartbeats that confirm nothing since the start; returns when and where the follower first subscribes next.
fn first_subscription_while_stale(
    simulation: &mut SimulatedFollower,
    link: LinkId,
) -> (Duration, SocketAddrV4) {
    for step in 1..=20 {
        let at = START + ms(100 * step);
        let mut commands = simulation.run_until(at);
        commands.extend(
            simulation.handle(Event::Heartbeat(link, at - START)).into_iter().map(|command| (at, command)),
        );
        if let Some((at, Command::Subscribe { upstream, .. })) = commands.first() {
            return (*at, *upstream);
        }
    }
    panic!("never left");
}

#[googletest::test]
fn a_relay_leaves_a_stale_control_node_before_its_subscribers_leave_the_relay() {
    // Given one agent subscribed to a control node, and one to a relay.
    let (mut above, mut below) = (SimulatedFollower::agent(), SimulatedFollower::agent());
    let ((upper, control_node), lower) = (above.subscribed_to_control_node(), below.subscribed_to_relay(2));
    // When the heartbeats of both confirm nothing since the start.
    let (first, subscriptions) = first_subscription_while_stale(&mut above, upper);
    let (second, _) = first_subscription_while_stale(&mut below, lower);
    // Then the first searches after a second, and the other one only later.
    expect_that!(first, all![ge(START + MAX_STATE_AGE), lt(START + MAX_STATE_AGE + ms(70))]);
    expect_that!(second, all![ge(START + MAX_RELAY_STATE_AGE), lt(START + MAX_RELAY_STATE_AGE + ms(70))]);
    // And it does not subscribe again to its responsive upstream.
    expect_that!(subscriptions, not(eq(control_node)));
}

#[googletest::test]
fn a_stale_candidate_is_accepted_only_without_a_better_one() {
    // Given an agent without an upstream that was accepted by a stale control node.
    let mut simulation = SimulatedFollower::agent();
    let (link, control_node, _) = SimulatedFollower::only_subscription(&simulation.handle(Event::Tick));
    simulation.handle(Event::Answered(link, Answer::Done));
    simulation.handle(Event::Heartbeat(link, ms(5_000)));
    // Then that one becomes its upstream, but the search continues.
    expect_that!(simulation.follower.upstream_address(), some(eq(control_node)));
    let commands: Vec<Command> =
        simulation.run_until(START + ms(130)).into_iter().map(|(_, command)| command).collect();
    let (next, _, _) = SimulatedFollower::only_subscription(&commands);
    // And another equally stale one is rejected.
    simulation.handle(Event::Answered(next, Answer::Done));
    expect_that!(simulation.handle(Event::Heartbeat(next, ms(5_130))), contains(eq(&Command::Close(next))));
    expect_that!(simulation.follower.upstream_address(), some(eq(control_node)));
}

#[googletest::test]
fn an_urgent_subscriber_returns_to_the_tree_in_time() {
    // Given an agent that subscribed urgently because the relay failed.
    let mut simulation = SimulatedFollower::agent();
    let (first, control_node, _) = SimulatedFollower::only_subscription(&simulation.handle(Event::Tick));
    let commands = simulation.handle(Event::Answered(first, Answer::Redirect(vec![relay(2)])));
    let (second, _, _) = SimulatedFollower::only_subscription(&commands);
    let (third, urgent_target, urgent) =
        SimulatedFollower::only_subscription(&simulation.handle(Event::Closed(second)));
    expect_that!((urgent_target, urgent), eq((control_node, true)));
    simulation.handle(Event::Answered(third, Answer::Done));
    simulation.handle(Event::Heartbeat(third, ms(0)));
    // When it is served for some seconds.
    let mut subscriptions = Vec::new();
    while subscriptions.is_empty() && simulation.now < START + ms(9_000) {
        let next = simulation.now + ms(400);
        subscriptions = simulation.run_until(next);
        subscriptions.extend(
            simulation.handle(Event::Heartbeat(third, ms(0))).into_iter().map(|command| (next, command)),
        );
    }
    // Then it subscribes again without urgency, and keeps its link.
    expect_that!(subscriptions[0].0, ge(START + ms(4_000)));
    let (fourth, upstream, urgent) = SimulatedFollower::only_subscription(&[subscriptions[0].1]);
    expect_that!((upstream, urgent), eq((control_node, false)));
    // And it switches only when the relay delivers.
    let commands = simulation.handle(Event::Answered(fourth, Answer::Redirect(vec![relay(2)])));
    expect_that!(commands, contains(eq(&Command::Close(fourth))));
    let (fifth, upstream, urgent) = SimulatedFollower::only_subscription(&commands);
    expect_that!((upstream, urgent), eq((relay(2), false)));
    simulation.handle(Event::Answered(fifth, Answer::Done));
    expect_that!(simulation.handle(Event::Heartbeat(fifth, ms(200))), eq(&vec![Command::Close(third)]));
    expect_that!(simulation.follower.upstream_address(), some(eq(relay(2))));
}

#[googletest::test]
fn an_out_of_sync_link_is_resubscribed() {
    let mut simulation = SimulatedFollower::agent();
    let link = simulation.subscribed_to_relay(2);
    // When a delta arrived relative to a list that is not known.
    let commands = simulation.handle(Event::OutOfSync(link));
    // Then it subscribes again to the same upstream at once.
    expect_that!(commands, contains(eq(&Command::Close(link))));
    expect_that!(SimulatedFollower::only_subscription(&commands).1, eq(relay(2)));
}

#[googletest::test]
fn the_backoff_between_failed_rounds_grows_within_its_bound() {
    // Given an agent without any answer.
    let mut simulation = SimulatedFollower::agent();
    let commands = simulation.run_until(START + ms(20_000));
    let subscriptions: Vec<Duration> = commands
        .iter()
        .filter(|(_, command)| matches!(command, Command::Subscribe { .. }))
        .map(|(at, _)| *at)
        .collect();
    // Then it continues to subscribe, a few times a second at most, without long gaps.
    let gaps: Vec<Duration> = subscriptions.windows(2).map(|pair| pair[1] - pair[0]).collect();
    expect_that!(subscriptions.len(), all![ge(30), le(110)]);
    expect_that!(gaps.iter().max(), some(le(&ms(1_200))));
    // And never more than two at once.
    let mut open = 0_i32;
    for (_, command) in commands {
        open += if matches!(command, Command::Subscribe { .. }) { 1 } else { -1 };
        expect_that!(open, le(2));
    }
}

#[googletest::test]
fn a_storage_node_subscribes_urgently_to_control_nodes_only() {
    let mut simulation = SimulatedFollower::new(Sources::Tree { urgent: true });
    let (link, _, urgent) = SimulatedFollower::only_subscription(&simulation.handle(Event::Tick));
    expect_true!(urgent);
    simulation.handle(Event::Answered(link, Answer::Done));
    for _ in 0..100 {
        expect_that!(simulation.handle(Event::Heartbeat(link, ms(100))), is_empty());
        let next = simulation.now + ms(400);
        expect_that!(simulation.run_until(next), is_empty());
    }
}

#[googletest::test]
fn a_proxy_keeps_a_stale_agent_and_resubscribes_to_an_unresponsive_one() {
    // Given a proxy subscribed to its agent.
    let mut simulation = SimulatedFollower::new(Sources::One);
    let (link, agent, _) = SimulatedFollower::only_subscription(&simulation.handle(Event::Tick));
    simulation.handle(Event::Answered(link, Answer::Done));
    simulation.handle(Event::Heartbeat(link, ms(100)));
    // When the agent is stale but sends heartbeats.
    for age in 1..20 {
        let next = simulation.now + ms(500);
        expect_that!(simulation.run_until(next), is_empty());
        expect_that!(simulation.handle(Event::Heartbeat(link, ms(500 * age))), is_empty());
    }
    // Then it stays; it subscribes again once the agent is unresponsive or has closed the link.
    let silent = simulation.now;
    let commands: Vec<Command> = simulation
        .run_until(silent + UPSTREAM_TIMEOUT + ms(70))
        .into_iter()
        .map(|(_, command)| command)
        .collect();
    let (again, upstream, _) = SimulatedFollower::only_subscription(&commands);
    expect_that!(upstream, eq(agent));
    simulation.handle(Event::Closed(link));
    simulation.handle(Event::Closed(again));
    let next = simulation.now + ms(300);
    expect_that!(simulation.run_until(next), not(is_empty()));
}
