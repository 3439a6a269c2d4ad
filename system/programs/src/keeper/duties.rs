//! What a keeper does beside answering: it sees to it that the core's machines vote, and, where it holds the duty, reads
//! the platform's list and looks after the storage machines and after voters that are gone. What is to be done is decided
//! in `control-duties`; here it is carried out.

use super::*;
use crate::feed::follow_lists;
use crate::platform::Platform;
use control_duties::{CoreWatch, LossesBorne, Readings, RetireVerdict, RosterStep, fill, stands, times};
use fleet_model::Fence;

/// The duty of reading the list and looking after machines that are gone.
pub(super) const LIST: &str = "list";
/// Longest time for a change.
const CHANGE: Duration = Duration::from_millis(600);
/// Longest time for a storage machine's answer to a look.
const LOOK: Duration = Duration::from_millis(400);

impl From<Option<ControlState>> for Wanted {
    fn from(state: Option<ControlState>) -> Self {
        state.map_or(Self::Nothing, Self::State)
    }
}

/// How a retire is answered.
pub(super) fn retire_reply(verdict: RetireVerdict, least: usize) -> Reply {
    let state = |state: &str| Reply::new(StatusCode::OK, format!(r#"{{"state":"{state}"}}"#));
    match verdict {
        RetireVerdict::Active => state("active"),
        RetireVerdict::Completed => state("completed"),
        RetireVerdict::Serving => state("serving"),
        RetireVerdict::Unknown => Reply::new(StatusCode::NOT_FOUND, r#"{"error":"no such storage machine"}"#),
        RetireVerdict::TooFew { left } => {
            let body = format!(r#"{{"error":"too few would be left","left":{left},"least":{least}}}"#);
            Reply::new(StatusCode::CONFLICT, body)
        }
    }
}

impl Keeper {
    pub(super) fn least_stores(&self) -> usize {
        control_duties::least_stores(self.process.settings().fault_tolerance.machines)
    }

    fn now_ms(&self) -> u64 {
        self.process.now_ms()
    }

    pub(super) async fn join_core(&self, ip: Ipv4Addr) -> Answer {
        self.heard.borrow_mut().insert(ip);
        if self.feed.value().voters.contains(&ip) {
            return Answer::Done;
        }
        let wanted = |_: &ControlState, voters: &[Ipv4Addr]| match voters.contains(&ip) {
            true => Wanted::Nothing,
            false => Wanted::Voters(voters.iter().copied().chain([ip]).collect()),
        };
        match self.propose(CHANGE, wanted).await {
            true => Answer::Done,
            false => Answer::Unready,
        }
    }

    pub(super) async fn join_storage(&self, store: Store) -> Answer {
        let least = self.least_stores();
        let known = self.feed.state();
        let admitted = {
            let mut stores = self.stores.borrow_mut();
            stores.observe(self.now_ms(), &known.roster, least);
            stores.heard(self.now_ms(), store.disk);
            stores.admits(&known.roster, &store)
        };
        if !admitted || control_duties::join(&known, &store, least).is_none() {
            return Answer::Done;
        }
        match self.change(CHANGE, |state| control_duties::join(state, &store, least).into()).await {
            true => Answer::Done,
            false => Answer::Unready,
        }
    }

    pub(super) async fn filled(&self, disk: u64, epoch: u64) -> Answer {
        self.stores.borrow_mut().heard(self.now_ms(), disk);
        let least = self.least_stores();
        match self.change(CHANGE, |state| fill(state, Some(disk), epoch, &[], least).into()).await {
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

    /// The fence under which this life of the machine holds the duty.
    fn holds_list(&self) -> Option<u64> {
        self.claim.borrow().holds(&self.feed.state())
    }

    /// Takes the duty if it is this keeper's turn.
    async fn take_duty(&self) {
        let value = self.feed.value();
        let from: Option<Fence> = {
            let core = self.core.borrow();
            self.claim.borrow_mut().wants(self.now_ms(), &self.feed.state(), &value.voters, &core)
        };
        let Some(from) = from else { return };
        let wanted = |state: &ControlState| self.claim.borrow().taken(state, &from).into();
        if self.change(CHANGE, wanted).await
            && let Some(number) = self.claim.borrow_mut().settle(&self.feed.state(), &from)
        {
            log::info!("holds the duty {LIST} under fence {number}");
        }
    }

    /// The duty, as long as it is this keeper's and a majority stands behind it.
    pub(super) async fn keep_duties(self: Rc<Self>) {
        let Some(cloud) = self.process.settings().cloud_api.clone() else { return };
        let mut platform = Platform::new(cloud.address);
        let mut readings = Readings::default();
        let began = Instant::now();
        loop {
            // Who lives is not known at once; a keeper that had the duty in its former life need not know it.
            let holder = self.feed.state().fences.get(LIST).and_then(|fence| fence.holder);
            let knows_others = holder == Some(self.me) || began.elapsed() >= Duration::from_millis(300);
            if !self.is_fresh() || !knows_others {
                let _ = timeout(Duration::from_millis(100), self.polled.notified()).await;
                continue;
            }
            let Some(fence) = self.holds_list() else {
                self.take_duty().await;
                if self.holds_list().is_none() {
                    sleep(Duration::from_millis(200 + drawn() % 50)).await;
                }
                continue;
            };
            let asked = self.now_ms();
            match platform.read().await {
                // Read under a fence that may have passed to another: its stamp says so, and loses.
                Ok(endpoints) => {
                    let list = readings.take(self.now_ms(), asked, fence, &self.feed.list(), endpoints);
                    if let Some(list) = list {
                        self.feed.learn_list(list);
                    }
                }
                Err(e) => log::debug!("the list: {e}"),
            }
            let took = self.now_ms().saturating_sub(asked);
            sleep(Duration::from_millis(times::READING.saturating_sub(took))).await;
        }
    }

    /// Knows how the storage and core machines are, so that whoever gets the duty can act at once; the holder acts.
    pub(super) async fn keep_watch(self: Rc<Self>) {
        loop {
            self.observe();
            if self.stores.borrow().is_due(self.now_ms()) {
                self.look_at_stores().await;
                if self.is_fresh()
                    && let Some(fence) = self.holds_list()
                {
                    self.look_after_stores(fence).await;
                }
            }
            if self.is_fresh()
                && let Some(fence) = self.holds_list()
            {
                self.look_after_voters(fence).await;
            }
            sleep(Duration::from_millis(times::LOOK_AGAIN)).await;
        }
    }

    /// Takes note of who belongs to the fleet.
    fn observe(&self) {
        let now = self.now_ms();
        self.core.borrow_mut().observe(now, &self.feed.value().voters);
        let state = self.feed.state();
        let mut stores = self.stores.borrow_mut();
        stores.observe(now, &state.roster, self.least_stores());
        let tolerance = self.process.settings().fault_tolerance.machines;
        if let Some(LossesBorne { served, survived }) = stores.news_of_losses(&state.roster, tolerance) {
            log::warn!(
                "the storage machines now go on without {served} and keep all through the loss of {survived}, of {tolerance} asked for"
            );
        }
    }

    async fn look_at_stores(&self) {
        let state = self.feed.state();
        let roster = &state.roster;
        let mut members = roster.current.clone();
        let further = control_duties::proposed(roster).iter().filter(|store| !roster.current.contains(store));
        members.extend(further.cloned());
        self.stores.borrow_mut().looks(self.now_ms());
        let calls = members.iter().map(|store| async move {
            let call = Call::Inspect { topic: "disk".to_owned() };
            let answer = self.peer(store.ip).call(call, LOOK).await;
            let there = matches!(&answer, Ok(Answer::View(text)) if text.trim() == store.disk.to_string());
            let mut stores = self.stores.borrow_mut();
            match there {
                true => stores.heard(self.now_ms(), store.disk),
                false => stores.missed(store.disk),
            }
        });
        futures_util::future::join_all(calls).await;
    }

    async fn look_after_stores(&self, fence: u64) {
        self.observe();
        let state = self.feed.state();
        let epoch = state.roster.epoch;
        let least = self.least_stores();
        let tolerance = self.process.settings().fault_tolerance.machines;
        let step = self.stores.borrow().step(self.now_ms(), &state, tolerance);
        // A holder that slept meanwhile may have lost the duty to one that sees better.
        let still = |state: &ControlState| stands(state, LIST, self.me, fence);
        if let RosterStep::GiveUp { store, silent_ms, .. } = &step {
            log::info!("{} is given up: silent for {silent_ms} ms", store.name);
        }
        if step != RosterStep::Leave {
            let wanted = |state: &ControlState| match still(state) {
                true => step.applied(state, epoch, least).into(),
                false => Wanted::Nothing,
            };
            self.change(CHANGE, wanted).await;
        }
    }

    async fn look_after_voters(&self, fence: u64) {
        let gone = self.core.borrow().gone(self.now_ms(), &self.feed.value().voters);
        let Some((gone, silent_ms)) = gone else { return };
        log::info!("voter {gone} is removed: silent for {silent_ms} ms");
        let wanted = |state: &ControlState, voters: &[Ipv4Addr]| match stands(state, LIST, self.me, fence) {
            true => CoreWatch::without(voters, gone).map_or(Wanted::Nothing, Wanted::Voters),
            false => Wanted::Nothing,
        };
        self.propose(CHANGE, wanted).await;
    }

    /// Has the list from the keeper that holds the duty.
    pub(super) async fn keep_following_list(self: Rc<Self>) {
        loop {
            let holder = self.feed.state().fences.get(LIST).and_then(|fence| fence.holder);
            match holder {
                Some(holder) if holder != self.me => {
                    let still =
                        || self.feed.state().fences.get(LIST).and_then(|fence| fence.holder) == Some(holder);
                    follow_lists(&self.process, &self.feed, holder, still).await;
                }
                _ => {}
            }
            sleep(Duration::from_millis(150)).await;
        }
    }
}
