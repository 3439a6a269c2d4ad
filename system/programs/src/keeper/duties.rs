//! What a keeper does beside answering: it sees to it that the core's machines vote, and, where it holds the duty, reads
//! the platform's list and looks after the storage machines and after voters that are gone.

use super::*;
use crate::feed::follow_lists;
use crate::platform::Platform;
use fleet_model::{EndpointList, Roster, rank};

/// The duty of reading the list and looking after machines that are gone.
const LIST: &str = "list";
/// Between two readings of the list.
const READING: Duration = Duration::from_millis(1_000);
/// A holder that did not answer for so long loses its duty.
const HOLDER_GONE: Duration = Duration::from_millis(1_200);
/// A storage machine that did not answer for so long is replaced by one that joined meanwhile.
const STORE_REPLACED: Duration = Duration::from_millis(1_500);
/// And is given up without one after this, where enough are left.
const STORE_GONE: Duration = Duration::from_secs(10);
/// A newcomer counts as a replacement for so long.
const NEWCOMER: Duration = Duration::from_secs(30);
/// A member of the next roster that does not answer is not waited for after this.
const FILL_PATIENCE: Duration = Duration::from_millis(2_500);
/// A voter that did not answer for so long is removed, where enough are left.
const VOTER_GONE: Duration = Duration::from_secs(5);
/// The smallest set of voters that removal leaves.
const LEAST_VOTERS: usize = 3;
/// An empty list counts only after so long.
const EMPTY_FOR: Duration = Duration::from_secs(5);

/// The next set, whether or not one is under way.
fn proposed(roster: &Roster) -> Vec<Store> {
    roster.next.clone().unwrap_or_else(|| roster.current.clone())
}

/// The roster with another next set: the epoch rises, and nobody is full yet.
fn with_next(state: &ControlState, next: Vec<Store>) -> ControlState {
    let mut state = state.clone();
    state.roster.epoch += 1;
    state.roster.filled.clear();
    state.roster.next = (next != state.roster.current).then_some(next);
    state
}

/// Takes a storage machine in; a machine of its name or address with another disk has lost that disk.
pub(super) fn join(state: &ControlState, store: &Store, least: usize) -> Wanted {
    let mut next = proposed(&state.roster);
    if next.contains(store) {
        return Wanted::Nothing;
    }
    if state.roster.retiring.contains(&store.name) {
        return Wanted::Nothing;
    }
    next.retain(|other| other.name != store.name && other.ip != store.ip);
    next.push(store.clone());
    next.sort();
    if state.roster.current.len() < least && state.roster.next.is_none() {
        // Nothing can have been kept while there were so few.
        let mut state = state.clone();
        state.roster.epoch += 1;
        state.roster.current = next;
        return Wanted::State(state);
    }
    Wanted::State(with_next(state, next))
}

/// Begins to empty a storage machine.
pub(super) fn retire(state: &ControlState, name: &str, least: usize) -> (Wanted, Reply) {
    let active = || Reply::new(StatusCode::OK, r#"{"state":"active"}"#);
    let roster = &state.roster;
    if roster.retiring.iter().any(|other| other == name) {
        return (Wanted::Nothing, retire_state(state, name));
    }
    let mut next = proposed(roster);
    if !next.iter().any(|store| store.name == name) {
        return (Wanted::Nothing, Reply::new(StatusCode::NOT_FOUND, r#"{"error":"no such storage machine"}"#));
    }
    next.retain(|store| store.name != name);
    if next.len() < least {
        let body = format!(r#"{{"error":"too few would be left","left":{},"least":{least}}}"#, next.len());
        return (Wanted::Nothing, Reply::new(StatusCode::CONFLICT, body));
    }
    let mut state = with_next(state, next);
    state.roster.retiring.push(name.to_owned());
    (Wanted::State(state), active())
}

/// How far a retire is.
pub(super) fn retire_state(state: &ControlState, name: &str) -> Reply {
    let roster = &state.roster;
    let holds = |stores: &[Store]| stores.iter().any(|store| store.name == name);
    match (roster.retiring.iter().any(|other| other == name), holds(&roster.current)) {
        (true, true) => Reply::new(StatusCode::OK, r#"{"state":"active"}"#),
        (true, false) => Reply::new(StatusCode::OK, r#"{"state":"completed"}"#),
        (false, true) => Reply::new(StatusCode::OK, r#"{"state":"serving"}"#),
        (false, false) => Reply::new(StatusCode::NOT_FOUND, r#"{"error":"no such storage machine"}"#),
    }
}

/// A member of the next set is full; the last one makes that set current. `waived`: disks that are not waited for.
pub(super) fn fill(state: &ControlState, disk: Option<u64>, epoch: u64, waived: &[u64]) -> Wanted {
    let roster = &state.roster;
    let Some(next) = roster.next.clone().filter(|_| roster.epoch == epoch) else { return Wanted::Nothing };
    let mut state = state.clone();
    let new = disk.is_some_and(|disk| {
        next.iter().any(|store| store.disk == disk) && !state.roster.filled.contains(&disk)
    });
    state.roster.filled.extend(disk.filter(|_| new));
    if next.iter().all(|store| state.roster.filled.contains(&store.disk) || waived.contains(&store.disk)) {
        state.roster.epoch += 1;
        state.roster.current = next;
        state.roster.next = None;
        state.roster.filled.clear();
        return Wanted::State(state);
    }
    if new { Wanted::State(state) } else { Wanted::Nothing }
}

impl Keeper {
    fn least_stores(&self) -> usize {
        2 * self.process.settings().fault_tolerance.machines + 1
    }

    pub(super) async fn join_core(&self, ip: Ipv4Addr) -> Answer {
        self.heard.borrow_mut().insert(ip);
        if self.feed.value().voters.contains(&ip) {
            return Answer::Done;
        }
        let wanted = |state: &ControlState, voters: &[Ipv4Addr]| {
            let _ = state;
            match voters.contains(&ip) {
                true => Wanted::Nothing,
                false => Wanted::Voters(voters.iter().copied().chain([ip]).collect()),
            }
        };
        match self.propose(Duration::from_millis(600), wanted).await {
            true => Answer::Done,
            false => Answer::Unready,
        }
    }

    pub(super) async fn join_storage(&self, store: Store) -> Answer {
        self.stores_seen.borrow_mut().insert(store.disk, Instant::now());
        let least = self.least_stores();
        let known = self.feed.state();
        if matches!(join(&known, &store, least), Wanted::Nothing) {
            return Answer::Done;
        }
        match self.change(Duration::from_millis(600), |state| join(state, &store, least)).await {
            true => Answer::Done,
            false => Answer::Unready,
        }
    }

    pub(super) async fn filled(&self, disk: u64, epoch: u64) -> Answer {
        self.stores_seen.borrow_mut().insert(disk, Instant::now());
        match self.change(Duration::from_millis(600), |state| fill(state, Some(disk), epoch, &[])).await {
            true => Answer::Done,
            false => Answer::Unready,
        }
    }

    /// Has this machine vote: an empty disk is made good first, a stranger asks to be taken in.
    pub(super) async fn keep_voting(self: Rc<Self>) {
        loop {
            if self.acceptor.borrow().record().is_none() {
                self.restore().await;
            } else if !self.feed.value().voters.contains(&self.me) {
                self.ask_to_vote().await;
            }
            sleep(Duration::from_millis(250 + drawn() % 100)).await;
        }
    }

    async fn ask_to_vote(&self) {
        let others: Vec<Ipv4Addr> = self.heard.borrow().iter().copied().filter(|ip| *ip != self.me).collect();
        for ip in others {
            let call = Call::JoinCore { ip: self.me };
            if let Ok(Answer::Done) = self.peer(ip).call(call, Duration::from_millis(800)).await {
                self.poll_now.notify_one();
                return;
            }
        }
    }

    /// The fence under which this life of the machine holds the duty. One that a former life took is not its own: the
    /// numbers of that life's readings are forgotten.
    fn holds_list(&self) -> Option<u64> {
        let state = self.feed.state();
        let fence = state.fences.get(LIST)?;
        (fence.holder == Some(self.me) && self.took.get() == Some(fence.number)).then_some(fence.number)
    }

    fn answers(&self, ip: Ipv4Addr, within: Duration) -> bool {
        ip == self.me || self.seen.borrow().get(&ip).is_some_and(|at| at.elapsed() < within)
    }

    /// Takes the duty if its holder is gone and no voter that answers ranks before this one.
    async fn take_duty(&self) {
        let value = self.feed.value();
        let fence = self.feed.state().fences.get(LIST).cloned().unwrap_or_default();
        let live = |ip: &&Ipv4Addr| self.answers(**ip, HOLDER_GONE);
        let of_former_life = fence.holder == Some(self.me);
        let stands = |holder| value.voters.contains(&holder) && self.answers(holder, HOLDER_GONE);
        if !of_former_life && fence.holder.is_some_and(stands) {
            return;
        }
        let place = |ip: &&Ipv4Addr| rank(&ip.octets(), fence.number);
        if !of_former_life && value.voters.iter().filter(live).max_by_key(place) != Some(&self.me) {
            return;
        }
        let me = self.me;
        let took = self
            .change(Duration::from_millis(600), |state| {
                let mut state = state.clone();
                let standing = state.fences.entry(LIST.to_owned()).or_default();
                if standing.number != fence.number {
                    return Wanted::Nothing;
                }
                *standing = fleet_model::Fence { number: fence.number + 1, holder: Some(me) };
                Wanted::State(state)
            })
            .await;
        let standing = self.feed.state().fences.get(LIST).cloned().unwrap_or_default();
        if took && standing == (fleet_model::Fence { number: fence.number + 1, holder: Some(me) }) {
            self.took.set(Some(standing.number));
            log::info!("holds the duty {LIST} under fence {}", standing.number);
        }
    }

    /// The duty, as long as it is this keeper's and a majority stands behind it.
    pub(super) async fn keep_duties(self: Rc<Self>) {
        let Some(cloud) = self.process.settings().cloud_api.clone() else { return };
        let mut platform = Platform::new(cloud.address);
        let mut sequence = 0;
        let mut last_fence = 0;
        let mut empty_since: Option<Instant> = None;
        let began = Instant::now();
        loop {
            if !self.is_fresh() || began.elapsed() < Duration::from_millis(300) {
                sleep(Duration::from_millis(100)).await;
                continue;
            }
            let Some(fence) = self.holds_list() else {
                self.take_duty().await;
                if self.holds_list().is_none() {
                    sleep(Duration::from_millis(200 + drawn() % 50)).await;
                }
                continue;
            };
            if fence != last_fence {
                (last_fence, sequence) = (fence, 0);
            }
            let asked = Instant::now();
            match platform.read().await {
                Ok(endpoints) => {
                    let known = self.feed.list();
                    let senseless = endpoints.is_empty()
                        && !known.endpoints.is_empty()
                        && empty_since.get_or_insert(asked).elapsed() < EMPTY_FOR;
                    if !endpoints.is_empty() {
                        empty_since = None;
                    }
                    // Read under a fence that may have passed to another: its stamp says so, and loses.
                    if !senseless && (known.endpoints != endpoints || known.stamp.0 != fence) {
                        sequence += 1;
                        self.feed.learn_list(EndpointList { stamp: (fence, sequence), endpoints });
                    }
                }
                Err(e) => log::debug!("the list: {e}"),
            }
            self.look_after_stores().await;
            self.look_after_voters().await;
            sleep(READING.saturating_sub(asked.elapsed())).await;
        }
    }

    async fn look_after_stores(&self) {
        let state = self.feed.state();
        let roster = &state.roster;
        let now = Instant::now();
        let mut members = roster.current.clone();
        members.extend(proposed(roster).into_iter().filter(|store| !roster.current.contains(store)));
        {
            let mut known = self.stores_known.borrow_mut();
            let mut seen = self.stores_seen.borrow_mut();
            for store in &members {
                // Who is first heard of has as long to answer as one that has answered.
                known.entry(store.disk).or_insert(now);
                seen.entry(store.disk).or_insert(now);
            }
            known.retain(|disk, _| members.iter().any(|store| store.disk == *disk));
        }
        let calls = members.iter().map(|store| async move {
            let call = Call::Inspect { topic: "disk".to_owned() };
            let answer = self.peer(store.ip).call(call, Duration::from_millis(400)).await;
            (store.disk, answer)
        });
        for (disk, answer) in futures_util::future::join_all(calls).await {
            if matches!(&answer, Ok(Answer::View(text)) if text.trim() == disk.to_string()) {
                self.stores_seen.borrow_mut().insert(disk, Instant::now());
            }
        }
        let silent = |store: &Store| self.stores_seen.borrow().get(&store.disk).map_or(Duration::ZERO, Instant::elapsed);
        let newcomer = {
            let known = self.stores_known.borrow();
            let first = known.values().min().copied();
            members.iter().any(|store| {
                known.get(&store.disk).is_some_and(|at| {
                    at.elapsed() < NEWCOMER && first.is_some_and(|first| at.duration_since(first) > NEWCOMER / 10)
                })
            })
        };
        let patience = if newcomer { STORE_REPLACED } else { STORE_GONE };
        let next = proposed(roster);
        let gone = next.iter().filter(|store| silent(store) > patience).max_by_key(|store| silent(store));
        if let Some(gone) = gone
            && next.len() > self.least_stores()
        {
            log::info!("{} is given up: silent for {} ms", gone.name, silent(gone).as_millis());
            let epoch = roster.epoch;
            let left: Vec<Store> = next.iter().filter(|store| *store != gone).cloned().collect();
            let wanted = |state: &ControlState| match state.roster.epoch == epoch {
                true => Wanted::State(with_next(state, left.clone())),
                false => Wanted::Nothing,
            };
            self.change(Duration::from_millis(600), wanted).await;
            return;
        }
        if roster.next.is_some() {
            let waived: Vec<u64> =
                next.iter().filter(|store| silent(store) > FILL_PATIENCE).map(|store| store.disk).collect();
            if waived.len() <= self.process.settings().fault_tolerance.machines {
                let epoch = roster.epoch;
                let wanted = |state: &ControlState| fill(state, None, epoch, &waived);
                if !matches!(wanted(&state), Wanted::Nothing) {
                    self.change(Duration::from_millis(600), wanted).await;
                }
            }
        }
    }

    async fn look_after_voters(&self) {
        let voters = self.feed.value().voters.clone();
        let silent = |ip: &&Ipv4Addr| {
            **ip != self.me && self.seen.borrow().get(*ip).is_none_or(|at| at.elapsed() > VOTER_GONE)
        };
        if voters.len() <= LEAST_VOTERS || self.process.now_ms() < 10_000 {
            return;
        }
        if let Some(gone) = voters.iter().find(silent).copied() {
            log::info!("voter {gone} is removed: silent for {} ms", VOTER_GONE.as_millis());
            let wanted = |_: &ControlState, voters: &[Ipv4Addr]| match voters.contains(&gone) && voters.len() > LEAST_VOTERS {
                true => Wanted::Voters(voters.iter().copied().filter(|ip| *ip != gone).collect()),
                false => Wanted::Nothing,
            };
            self.propose(Duration::from_millis(600), wanted).await;
        }
    }

    /// Has the list from the keeper that holds the duty.
    pub(super) async fn keep_following_list(self: Rc<Self>) {
        loop {
            let holder = self.feed.state().fences.get(LIST).and_then(|fence| fence.holder);
            match holder {
                Some(holder) if holder != self.me => {
                    let still = || self.feed.state().fences.get(LIST).and_then(|fence| fence.holder) == Some(holder);
                    follow_lists(&self.process, &self.feed, holder, still).await;
                }
                _ => {}
            }
            sleep(Duration::from_millis(150)).await;
        }
    }
}
