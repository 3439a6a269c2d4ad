//! The promises of the view, V1 to V6 of `docs/fleet.md`, checked on a history alone.
use super::history::{At, Event, SeenHealth, SeenMember, SeenState, What};
use super::schedule::{Fault, Kind};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Broken {
    /// Its number.
    pub promise: String,
    /// When that was seen.
    pub at: At,
    /// Whom it concerns.
    pub senders: Vec<usize>,
    /// What was seen.
    pub what: String,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = self.at as f64 / 1e3;
        write!(f, "{} broken at {at:.2} s, senders {:?}: {}", self.promise, self.senders, self.what)
    }
}

/// What a history shows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// Broken promises, the first of each kind and pair.
    pub broken: Vec<Broken>,
    /// Milliseconds from the end of the last fault until all had the same, right view; none if that never came.
    pub settled_ms: Option<u64>,
    /// Events read.
    pub events: usize,
}

/// One is not to be considered lost, so long after whatever excused that was over.
const GRACE: At = 12_000;
/// One fault loses this share of a sender's datagrams at the most; V2 is promised for 0.2.
const MAX_LOST_SHARE: f64 = 0.3;

#[derive(Clone, Default)]
struct Sender {
    up: bool,
    copy_of: Option<usize>,
    paused: bool,
    halted: bool,
    /// The last moment at which others could rightly consider it lost, or it others.
    excused: At,
    view: Option<View>,
    /// Names that it has seen as members, in the latest roster.
    names: BTreeSet<String>,
    number: u64,
}

#[derive(Clone, PartialEq)]
struct View {
    number: u64,
    confirmed: bool,
    members: Vec<SeenMember>,
}

struct Checker {
    names: Vec<String>,
    settle: At,
    senders: Vec<Sender>,
    partitions: BTreeMap<usize, (Vec<usize>, Vec<usize>)>,
    /// Faults of links and disks that are on.
    faults: BTreeSet<usize>,
    /// All faults, by number.
    schedule: Vec<Fault>,
    /// How much of what each sender sends and gets is lost.
    losses: BTreeMap<usize, f64>,
    /// Whether any fault is on, and since when none is.
    calm: At,
    settled: Option<At>,
    digests: BTreeMap<(u64, u32, u64), (u32, usize)>,
    /// Names whose going is no surprise.
    removal_requested: BTreeSet<String>,
    reported: BTreeSet<(String, Vec<usize>)>,
    started: BTreeSet<usize>,
    /// Starts of senders whose folder's copy was started as well.
    copied: BTreeSet<usize>,
    verdict: Verdict,
}

/// Checks a history.
pub fn check(events: &[Event]) -> Verdict {
    let mut checker = Checker {
        names: Vec::new(),
        settle: 0,
        senders: Vec::new(),
        partitions: BTreeMap::new(),
        faults: BTreeSet::new(),
        schedule: Vec::new(),
        losses: BTreeMap::new(),
        calm: 0,
        settled: None,
        digests: BTreeMap::new(),
        removal_requested: BTreeSet::new(),
        reported: BTreeSet::new(),
        started: BTreeSet::new(),
        copied: BTreeSet::new(),
        verdict: Verdict::default(),
    };
    let mut last = 0;
    let mut ended = false;
    for event in events {
        // Two events of one instant count in the order in which they stand.
        last = last.max(event.at);
        ended |= event.what == What::End;
        checker.event(last, &event.what);
    }
    if !ended {
        checker.broken(
            "history",
            last,
            vec![],
            "it has no end: it was cut short, and proves nothing".to_owned(),
        );
    }
    checker.verdict.events = events.len();
    checker.verdict
}

impl Checker {
    fn broken(&mut self, promise: &str, at: At, senders: Vec<usize>, what: String) {
        if self.reported.insert((promise.to_owned(), senders.clone())) {
            self.verdict.broken.push(Broken { promise: promise.to_owned(), at, senders, what });
        }
    }

    fn event(&mut self, at: At, what: &What) {
        match what {
            What::RunStarted { senders, settle_ms, faults, .. } => {
                self.names = senders.clone();
                self.schedule = faults.clone();
                self.settle = *settle_ms;
                self.senders = vec![Sender::default(); senders.len()];
                return;
            }
            What::Up { sender, empty_disk, copy_of } => {
                let name = self.names.get(*sender).cloned().unwrap_or_default();
                // One that was there before comes back as another.
                if *empty_disk && self.started.contains(sender) {
                    self.removal_requested.insert(name);
                }
                self.started.insert(*sender);
                if let Some(original) = copy_of {
                    self.copied.extend([*original, *sender]);
                }
                let (empty_disk, copy_of) = (*empty_disk, *copy_of);
                self.with(*sender, |s| {
                    // An empty folder remembers no member either.
                    let (names, number) = if empty_disk {
                        Default::default()
                    } else {
                        (std::mem::take(&mut s.names), s.number)
                    };
                    *s = Sender { up: true, copy_of, excused: at, names, number, ..Sender::default() };
                });
                self.disturbed(at);
            }
            What::Down { sender } => {
                self.with(*sender, |s| s.up = false);
                self.disturbed(at);
            }
            What::Paused { sender } => self.with(*sender, |s| s.paused = true),
            What::Resumed { sender } => {
                self.with(*sender, |s| {
                    s.paused = false;
                    s.excused = at;
                });
                self.disturbed(at);
            }
            What::Fault { number, begins, .. } => {
                if *begins {
                    self.faults.insert(*number);
                } else {
                    self.faults.remove(number);
                }
                self.weigh_losses(at);
                self.disturbed(at);
            }
            What::Cut { number, from, to } => {
                self.partitions.insert(*number, (from.clone(), to.clone()));
                self.disturbed(at);
            }
            What::Healed { number } => {
                self.excuse_cut_off(at);
                self.partitions.remove(number);
                self.disturbed(at);
            }
            What::RemovalRequested { name } => {
                self.removal_requested.insert(name.clone());
            }
            What::Roster { sender, fleet, epoch, number, digest } => {
                let known = *self.digests.entry((*fleet, *epoch, *number)).or_insert((*digest, *sender));
                if known.0 != *digest {
                    let what = format!("two rosters of epoch {epoch} have the number {number}");
                    self.broken("V3", at, vec![known.1, *sender], what);
                }
            }
            What::Seen { sender, number, confirmed, members } => {
                self.seen(
                    at,
                    *sender,
                    View { number: *number, confirmed: *confirmed, members: members.clone() },
                );
            }
            What::Halted { sender, why, copied } => {
                if *copied && !self.copied.contains(sender) {
                    let what = format!("no copy of its folder runs, and it stopped: {why}");
                    self.broken("V4", at, vec![*sender], what);
                }
                let name = self.names.get(*sender).cloned().unwrap_or_default();
                if !*copied && !self.removal_requested.contains(&name) {
                    self.broken("V3", at, vec![*sender], format!("nobody asked for its going: {why}"));
                }
                self.with(*sender, |s| s.halted = true);
                self.disturbed(at);
            }
            What::End => self.end(at),
        }
        self.check_views(at);
    }

    fn with(&mut self, sender: usize, change: impl FnOnce(&mut Sender)) {
        if let Some(sender) = self.senders.get_mut(sender) {
            change(sender);
        }
    }

    fn disturbed(&mut self, at: At) {
        self.calm = at;
        self.settled = None;
    }

    fn running(&self) -> impl Iterator<Item = usize> {
        (0..self.senders.len()).filter(|n| {
            let sender = &self.senders[*n];
            sender.up && !sender.halted
        })
    }

    /// Whether two can talk, both ways.
    fn linked(&self, a: usize, b: usize) -> bool {
        let cut = |from: usize, to: usize| {
            self.partitions.values().any(|(froms, tos)| froms.contains(&from) && tos.contains(&to))
        };
        !cut(a, b) && !cut(b, a)
    }

    /// Whether a sender is cut off from so large a part that others may rightly consider it lost.
    fn cut_off(&self, sender: usize) -> bool {
        let others: Vec<usize> = self.running().filter(|n| *n != sender).collect();
        let reached = others.iter().filter(|n| self.linked(sender, **n)).count();
        reached * 2 <= others.len()
    }

    fn excuse_cut_off(&mut self, at: At) {
        for sender in 0..self.senders.len() {
            if self.cut_off(sender) {
                self.with(sender, |s| s.excused = at);
            }
        }
    }

    /// Several faults that lose datagrams of one sender at once add up to more than V2 is promised for.
    fn weigh_losses(&mut self, at: At) {
        let mut arrives: BTreeMap<usize, f64> = BTreeMap::new();
        for fault in self.faults.iter().filter_map(|number| self.schedule.get(*number)) {
            if matches!(fault.kind, Kind::Lossy | Kind::Flip) {
                for sender in fault.numbers(self.senders.len()) {
                    *arrives.entry(sender).or_insert(1.0) *= 1.0 - fault.size;
                }
            }
        }
        let heavy =
            |losses: &BTreeMap<usize, f64>, n: usize| losses.get(&n).is_some_and(|x| *x > MAX_LOST_SHARE);
        let losses: BTreeMap<usize, f64> = arrives.into_iter().map(|(n, share)| (n, 1.0 - share)).collect();
        for sender in 0..self.senders.len() {
            if heavy(&self.losses, sender) && !heavy(&losses, sender) {
                self.with(sender, |s| s.excused = at);
            }
        }
        self.losses = losses;
    }

    fn excused(&self, at: At, sender: usize) -> bool {
        let s = &self.senders[sender];
        let lossy = self.losses.get(&sender).is_some_and(|lost| *lost > MAX_LOST_SHARE);
        !s.up || s.halted || s.paused || lossy || at < s.excused + GRACE || self.cut_off(sender)
    }

    /// Whether a row tells of the process that runs: of one whose start is not agreed on yet, the roster has a former self.
    fn present(&self, sender: usize, row: &SeenMember) -> bool {
        let Some(own) = &self.senders[sender].view else { return false };
        own.confirmed
            && own
                .members
                .iter()
                .any(|m| (&m.name, m.number, m.incarnation) == (&row.name, row.number, row.incarnation))
    }

    fn seen(&mut self, at: At, sender: usize, view: View) {
        if sender >= self.senders.len() {
            return;
        }
        // V2: who lives and can be reached is not considered lost by one that lives and can reach.
        let lost: Vec<usize> = view
            .members
            .iter()
            .filter(|m| m.health == SeenHealth::Lost)
            .filter_map(|m| Some((self.names.iter().position(|name| *name == m.name)?, m)))
            .filter(|(other, m)| self.present(*other, m))
            .map(|(other, _)| other)
            .collect();
        if !self.partitions.is_empty() {
            self.excuse_cut_off(at);
        }
        if !self.excused(at, sender) {
            for other in lost {
                if !self.excused(at, other) {
                    let what = format!("{} is held lost, and lives within reach", self.names[other]);
                    self.broken("V2", at, vec![sender, other], what);
                }
            }
        }
        // V3: nobody goes from the roster who was not asked to, or came back as another.
        // A process that starts on what a full disk took knows an older roster than the one before it did, or none yet.
        if view.number >= self.senders[sender].number {
            let present: BTreeSet<String> = view.members.iter().map(|m| m.name.clone()).collect();
            let departed: Vec<String> = self.senders[sender].names.difference(&present).cloned().collect();
            for name in departed {
                if !self.removal_requested.contains(&name) {
                    let what = format!("{name} does not belong any more, and nobody asked for that");
                    self.broken("V3", at, vec![sender], what);
                }
            }
            self.with(sender, |s| (s.names, s.number) = (present, view.number));
        }
        self.with(sender, |s| s.view = Some(view));
    }

    /// Whether a view is what is: each running sender in it, confirmed, and answering; all others lost.
    fn right(&self, view: &View) -> bool {
        let running: BTreeSet<&str> = self
            .running()
            .filter(|n| self.senders[*n].copy_of.is_none())
            .map(|n| self.names[n].as_str())
            .collect();
        let belongs = |m: &SeenMember| m.state == SeenState::In;
        view.confirmed
            && running.iter().all(|name| view.members.iter().any(|m| m.name == *name && belongs(m)))
            && view.members.iter().all(|m| {
                (m.health == SeenHealth::Answers) == running.contains(m.name.as_str())
                    && (running.contains(m.name.as_str()) || m.health == SeenHealth::Lost)
            })
    }

    /// V1: whether all have the same, right view by now.
    fn check_views(&mut self, at: At) {
        if self.settled.is_some() || self.senders.iter().any(|s| s.paused && s.up) || !self.faults.is_empty()
        {
            return;
        }
        let running: Vec<usize> = self.running().collect();
        let first = running.first().and_then(|n| self.senders[*n].view.clone());
        let same = running.iter().all(|n| self.senders[*n].view == first);
        if same && first.is_some_and(|view| self.right(&view)) {
            self.settled = Some(at);
            self.verdict.settled_ms = Some(at - self.calm);
        }
    }

    fn end(&mut self, at: At) {
        self.check_views(at);
        let late = self.settled.is_none_or(|settled| settled > self.calm + self.settle);
        if late && at >= self.calm + self.settle {
            self.verdict.settled_ms = self.settled.map(|settled| settled - self.calm);
            let views: Vec<String> = self.running().map(|n| self.described(n)).collect();
            let what = format!(
                "{} ms after the last fault ({:.2} s) they do not agree, or on what is not so: {}",
                at - self.calm,
                self.calm as f64 / 1e3,
                views.join("; ")
            );
            let senders = self.running().collect();
            self.broken("V1", at, senders, what);
        } else if late {
            let what = "the play ended too soon after the last fault to tell".to_owned();
            self.broken("history", at, vec![], what);
        }
        // V4: of two processes on copies of one folder, one stops.
        for copy in 0..self.senders.len() {
            let Some(original) = self.senders[copy].copy_of else { continue };
            let alive = |n: usize| self.senders[n].up && !self.senders[n].halted;
            if alive(copy) && alive(original) {
                let what = "both go on, on copies of one folder".to_owned();
                self.broken("V4", at, vec![original, copy], what);
            }
        }
    }

    fn described(&self, sender: usize) -> String {
        let name = &self.names[sender];
        let Some(view) = &self.senders[sender].view else { return format!("{name} has none") };
        let odd: Vec<String> = view
            .members
            .iter()
            .filter(|m| m.health != SeenHealth::Answers || m.state != SeenState::In)
            .map(|m| format!("{} {:?} {:?}", m.name, m.state, m.health))
            .collect();
        let sure = if view.confirmed { "" } else { ", not confirmed" };
        format!("{name} number {}, {} members{sure} [{}]", view.number, view.members.len(), odd.join(", "))
    }
}
