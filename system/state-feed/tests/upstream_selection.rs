//! By whom a process is fed, step by step.

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

fn keepers() -> Vec<SocketAddrV4> {
    (1..=3).map(|number| SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number), 7_000)).collect()
}

fn relay(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, number), 7_000)
}

/// A follower and its clock.
struct Story {
    follower: Follower,
    now: Duration,
}

impl Story {
    fn of(sources: Sources) -> Self {
        Self { follower: Follower::new(ME, sources, 5), now: START }
    }

    fn agent() -> Self {
        Self::of(Sources::Tree { urgent: false })
    }

    fn on(&mut self, event: Event) -> Vec<Command> {
        self.follower.handle(self.now, &keepers(), event)
    }

    /// Lets time pass up to `end`; tells what is commanded, and when.
    fn until(&mut self, end: Duration) -> Vec<(Duration, Command)> {
        let mut commands = Vec::new();
        let mut wakes = 0;
        while self.follower.wake_at() <= end {
            wakes += 1;
            assert_that!(wakes, lt(10_000), "it is woken again and again for nothing");
            self.now = self.now.max(self.follower.wake_at());
            let now = self.now;
            commands.extend(self.on(Event::Tick).into_iter().map(|command| (now, command)));
        }
        self.now = end;
        commands
    }

    /// Asked as the only one.
    fn asked(commands: &[Command]) -> (LinkId, SocketAddrV4, bool) {
        let asked: Vec<_> = commands
            .iter()
            .filter_map(|command| match command {
                Command::Subscribe { link, upstream, urgent } => Some((*link, *upstream, *urgent)),
                Command::Close(_) => None,
            })
            .collect();
        assert_that!(asked.len(), eq(1));
        asked[0]
    }

    fn fed_by_keeper(&mut self) -> (LinkId, SocketAddrV4) {
        let (link, keeper, _) = Self::asked(&self.on(Event::Tick));
        assert_that!(self.on(Event::Answered(link, Answer::Done)), is_empty());
        assert_that!(self.on(Event::Heartbeat(link, ms(100))), is_empty());
        (link, keeper)
    }

    /// By way of a redirect, so below a relay.
    fn fed_by_relay(&mut self, number: u8) -> LinkId {
        let (link, _, _) = Self::asked(&self.on(Event::Tick));
        let commands = self.on(Event::Answered(link, Answer::Redirect(vec![relay(number)])));
        let (link, upstream, urgent) = Self::asked(&commands);
        assert_that!((upstream, urgent), eq((relay(number), false)));
        self.on(Event::Answered(link, Answer::Done));
        self.on(Event::Heartbeat(link, ms(100)));
        link
    }
}

#[googletest::test]
fn an_agent_asks_a_keeper_then_whom_it_names_then_presses() {
    // Given an agent at its start.
    let mut story = Story::agent();
    let (first, keeper, urgent) = Story::asked(&story.on(Event::Tick));
    expect_that!(keepers(), contains(eq(&keeper)));
    expect_false!(urgent);
    // When the keeper names two relays, and itself.
    let named = Answer::Redirect(vec![relay(2), SocketAddrV4::new(ME, 7_000), relay(3)]);
    let commands = story.on(Event::Answered(first, named));
    // Then it asks one of them, and the other when the first refuses.
    expect_that!(commands, contains(eq(&Command::Close(first))));
    let (second, one, urgent) = Story::asked(&commands);
    expect_false!(urgent);
    let commands = story.on(Event::Answered(second, Answer::Redirect(Vec::new())));
    let (third, other, _) = Story::asked(&commands);
    expect_that!([one.min(other), one.max(other)], eq([relay(2), relay(3)]));
    // And when both refuse, it presses the keeper that named them.
    let commands = story.on(Event::Closed(third));
    expect_that!((Story::asked(&commands).1, Story::asked(&commands).2), eq((keeper, true)));
}

#[googletest::test]
fn while_one_does_not_answer_the_next_is_asked_too() {
    let mut story = Story::agent();
    let (first, keeper, _) = Story::asked(&story.on(Event::Tick));
    // When nothing comes for 0.2 s.
    let commands = story.until(START + ms(200));
    // Then another keeper has been asked, and the first is still waited for.
    let commands: Vec<Command> = commands.into_iter().map(|(_, command)| command).collect();
    let (second, other, _) = Story::asked(&commands);
    expect_that!(other, not(eq(keeper)));
    expect_that!(commands, not(contains(eq(&Command::Close(first)))));
    // And whoever feeds first is taken, and the other let go.
    story.on(Event::Answered(first, Answer::Done));
    expect_that!(story.on(Event::Heartbeat(first, ms(20))), eq(&vec![Command::Close(second)]));
    expect_that!(story.follower.upstream_address(), some(eq(keeper)));
}

#[googletest::test]
fn a_silent_parent_is_kept_until_another_feeds() {
    // Given an agent below a keeper.
    let mut story = Story::agent();
    let (link, keeper) = story.fed_by_keeper();
    // When nothing comes any more.
    let commands = story.until(START + UPSTREAM_TIMEOUT + ms(70));
    // Then after a second another keeper is asked, and the old link stays.
    let (at, command) = commands[0];
    expect_that!(at, ge(START + MAX_STATE_AGE - ms(100)));
    let (next, other, _) = Story::asked(&[command]);
    expect_that!(other, not(eq(keeper)));
    expect_that!(
        commands.iter().map(|(_, command)| *command).collect::<Vec<_>>(),
        not(contains(eq(&Command::Close(link))))
    );
    // And with the first fresh beat it changes over.
    story.on(Event::Answered(next, Answer::Done));
    expect_that!(story.on(Event::Heartbeat(next, ms(50))), contains(eq(&Command::Close(link))));
    expect_that!(story.follower.upstream_address(), some(eq(other)));
}

#[googletest::test]
fn a_parent_that_comes_back_meanwhile_stays() {
    let mut story = Story::agent();
    let (link, keeper) = story.fed_by_keeper();
    let commands = story.until(START + UPSTREAM_TIMEOUT + ms(70));
    let (next, _, _) = Story::asked(&[commands[0].1]);
    // When the parent beats again before the other has.
    let commands = story.on(Event::Heartbeat(link, ms(30)));
    // Then the other is let go.
    expect_that!(commands, contains(eq(&Command::Close(next))));
    expect_that!(story.follower.upstream_address(), some(eq(keeper)));
    expect_that!(story.follower.wake_at(), ge(story.now + MAX_STATE_AGE / 2));
}

/// Beats on and on that what it tells is as of the start; tells when the follower asks others, and whom first.
fn stale_since_start(story: &mut Story, link: LinkId) -> (Duration, SocketAddrV4) {
    for step in 1..=20 {
        let at = START + ms(100 * step);
        let mut commands = story.until(at);
        commands
            .extend(story.on(Event::Heartbeat(link, at - START)).into_iter().map(|command| (at, command)));
        if let Some((at, Command::Subscribe { upstream, .. })) = commands.first() {
            return (*at, *upstream);
        }
    }
    panic!("never left");
}

#[googletest::test]
fn a_stale_keeper_is_left_before_those_below_a_relay_leave_it() {
    // Given one agent below a keeper, and one below a relay.
    let (mut above, mut below) = (Story::agent(), Story::agent());
    let ((upper, keeper), lower) = (above.fed_by_keeper(), below.fed_by_relay(2));
    // When both are told on and on that nothing was confirmed since the start.
    let (first, asked) = stale_since_start(&mut above, upper);
    let (second, _) = stale_since_start(&mut below, lower);
    // Then the first leaves after a second, and the other only where that has not helped.
    expect_that!(first, all![ge(START + MAX_STATE_AGE), lt(START + MAX_STATE_AGE + ms(70))]);
    expect_that!(second, all![ge(START + MAX_RELAY_STATE_AGE), lt(START + MAX_RELAY_STATE_AGE + ms(70))]);
    // And it does not ask the one that it hears.
    expect_that!(asked, not(eq(keeper)));
}

#[googletest::test]
fn a_stale_candidate_is_taken_only_where_there_is_no_better_one() {
    // Given an agent without a parent that was answered by a stale keeper.
    let mut story = Story::agent();
    let (link, keeper, _) = Story::asked(&story.on(Event::Tick));
    story.on(Event::Answered(link, Answer::Done));
    story.on(Event::Heartbeat(link, ms(5_000)));
    // Then that one feeds it, but it looks further.
    expect_that!(story.follower.upstream_address(), some(eq(keeper)));
    let commands: Vec<Command> =
        story.until(START + ms(130)).into_iter().map(|(_, command)| command).collect();
    let (next, _, _) = Story::asked(&commands);
    // And another one as stale is let go.
    story.on(Event::Answered(next, Answer::Done));
    expect_that!(story.on(Event::Heartbeat(next, ms(5_130))), contains(eq(&Command::Close(next))));
    expect_that!(story.follower.upstream_address(), some(eq(keeper)));
}

#[googletest::test]
fn who_pressed_a_keeper_returns_to_the_tree_in_time() {
    // Given an agent that had to press, since the named relay did not feed it.
    let mut story = Story::agent();
    let (first, keeper, _) = Story::asked(&story.on(Event::Tick));
    let commands = story.on(Event::Answered(first, Answer::Redirect(vec![relay(2)])));
    let (second, _, _) = Story::asked(&commands);
    let (third, pressed, urgent) = Story::asked(&story.on(Event::Closed(second)));
    expect_that!((pressed, urgent), eq((keeper, true)));
    story.on(Event::Answered(third, Answer::Done));
    story.on(Event::Heartbeat(third, ms(0)));
    // When it is fed for some seconds.
    let mut asked = Vec::new();
    while asked.is_empty() && story.now < START + ms(9_000) {
        let next = story.now + ms(400);
        asked = story.until(next);
        asked.extend(story.on(Event::Heartbeat(third, ms(0))).into_iter().map(|command| (next, command)));
    }
    // Then it asks for its place again, without pressing, and keeps its link.
    expect_that!(asked[0].0, ge(START + ms(4_000)));
    let (fourth, upstream, urgent) = Story::asked(&[asked[0].1]);
    expect_that!((upstream, urgent), eq((keeper, false)));
    // And changes over only when the relay feeds it.
    let commands = story.on(Event::Answered(fourth, Answer::Redirect(vec![relay(2)])));
    expect_that!(commands, contains(eq(&Command::Close(fourth))));
    let (fifth, upstream, urgent) = Story::asked(&commands);
    expect_that!((upstream, urgent), eq((relay(2), false)));
    story.on(Event::Answered(fifth, Answer::Done));
    expect_that!(story.on(Event::Heartbeat(fifth, ms(200))), eq(&vec![Command::Close(third)]));
    expect_that!(story.follower.upstream_address(), some(eq(relay(2))));
}

#[googletest::test]
fn a_link_that_is_out_of_step_is_asked_for_the_whole_list() {
    let mut story = Story::agent();
    let link = story.fed_by_relay(2);
    // When changes came on top of a list that is not known.
    let commands = story.on(Event::OutOfSync(link));
    // Then the same parent is asked again at once.
    expect_that!(commands, contains(eq(&Command::Close(link))));
    expect_that!(Story::asked(&commands).1, eq(relay(2)));
}

#[googletest::test]
fn after_rounds_without_success_the_pauses_grow_but_stay_short() {
    // Given an agent that nobody answers.
    let mut story = Story::agent();
    let commands = story.until(START + ms(20_000));
    let asks: Vec<Duration> = commands
        .iter()
        .filter(|(_, command)| matches!(command, Command::Subscribe { .. }))
        .map(|(at, _)| *at)
        .collect();
    // Then it asks on, some times a second at most, with no gap of a second.
    let gaps: Vec<Duration> = asks.windows(2).map(|pair| pair[1] - pair[0]).collect();
    expect_that!(asks.len(), all![ge(30), le(110)]);
    expect_that!(gaps.iter().max(), some(le(&ms(1_200))));
    // And never more than two at once.
    let mut open = 0_i32;
    for (_, command) in commands {
        open += if matches!(command, Command::Subscribe { .. }) { 1 } else { -1 };
        expect_that!(open, le(2));
    }
}

#[googletest::test]
fn a_storage_machine_presses_keepers_alone_and_never_returns() {
    let mut story = Story::of(Sources::Tree { urgent: true });
    let (link, _, urgent) = Story::asked(&story.on(Event::Tick));
    expect_true!(urgent);
    story.on(Event::Answered(link, Answer::Done));
    for _ in 0..100 {
        expect_that!(story.on(Event::Heartbeat(link, ms(100))), is_empty());
        let next = story.now + ms(400);
        expect_that!(story.until(next), is_empty());
    }
}

#[googletest::test]
fn a_proxy_stays_with_a_stale_agent_and_asks_a_silent_one_again() {
    // Given a proxy below its agent.
    let mut story = Story::of(Sources::One);
    let (link, agent, _) = Story::asked(&story.on(Event::Tick));
    story.on(Event::Answered(link, Answer::Done));
    story.on(Event::Heartbeat(link, ms(100)));
    // When what the agent tells is stale, but it tells.
    for age in 1..20 {
        let next = story.now + ms(500);
        expect_that!(story.until(next), is_empty());
        expect_that!(story.on(Event::Heartbeat(link, ms(500 * age))), is_empty());
    }
    // Then it stays; it asks anew once the agent is silent, or gone.
    let silent = story.now;
    let commands: Vec<Command> =
        story.until(silent + UPSTREAM_TIMEOUT + ms(70)).into_iter().map(|(_, command)| command).collect();
    let (again, parent, _) = Story::asked(&commands);
    expect_that!(parent, eq(agent));
    story.on(Event::Closed(link));
    story.on(Event::Closed(again));
    let next = story.now + ms(300);
    expect_that!(story.until(next), not(is_empty()));
}
