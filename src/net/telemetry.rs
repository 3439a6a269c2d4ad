//! What the sender did and what it costs, as Prometheus text for staff.
//!
//! The host counts in plain numbers of its own, so that counting costs a request next to nothing, and gives a copy
//! of them with its present state when a scrape asks: all of it is of one moment between two turns of the loop, as
//! the tasks that count in [`Shared`] run on the host's thread. Files of the system are read and text is written on
//! the thread of the second address. All counters begin anew with each process.
use message_sender::Outcome;
use std::fmt::{Display, Write};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

/// Classes that get a label of their own; what belongs to others counts under an empty one.
const MOST_LANES: usize = 100;
/// Upper bounds of the histograms' buckets, in milliseconds: from one step of the module to the longest deadlines.
const BOUNDS_MS: [u32; 14] =
    [5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000, 10_000, 20_000, 30_000, 60_000];
const PREFIX: &str = "sender";

/// What became of a message that was taken on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Delivered.
    Completed,
    /// Returned to its client, which may safely come again.
    Rejected,
    /// Undelivered, with no promise about its effect; or no longer wanted.
    Failed,
}

const ENDS: [&str; 3] = ["completed", "rejected", "failed"];
const OUTCOMES: [&str; 9] =
    ["success", "failure", "full", "timed_out", "connect_failed", "reset", "cancelled", "void", "no_room"];

fn index(outcome: Outcome) -> usize {
    match outcome {
        Outcome::Success => 0,
        Outcome::Failure => 1,
        Outcome::Full(_) => 2,
        Outcome::TimedOut => 3,
        Outcome::ConnectFailed => 4,
        Outcome::Reset => 5,
        Outcome::Cancelled => 6,
        Outcome::Void => 7,
        Outcome::NoRoom => 8,
    }
}

/// How often something took how long.
#[derive(Clone, Debug, Default)]
pub struct Histogram {
    /// By bucket, each counted in one only; the last is beyond all bounds.
    counts: [u64; BOUNDS_MS.len() + 1],
    sum: Duration,
}

impl Histogram {
    pub fn observe(&mut self, span: Duration) {
        let bucket =
            BOUNDS_MS.iter().filter(|bound| span > Duration::from_millis(u64::from(**bound))).count();
        self.counts[bucket] += 1;
        self.sum += span;
    }
}

/// What the host counts.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Messages taken on from clients, and those that an earlier process left to this one.
    pub taken: u64,
    pub resumed: u64,
    /// Turned away at the door.
    pub refused: u64,
    pub malformed: u64,
    /// Calls to endpoints, each with one message or several.
    pub calls: u64,
    /// Attempts begun: one for each message of a call.
    pub attempts: u64,
    attempt_ends: [u64; OUTCOMES.len()],
    /// Connections to endpoints: made, and used again.
    pub opened: u64,
    pub reused: u64,
    /// Turns of the loop, and steps of the module.
    pub wakeups: u64,
    pub steps: u64,
    /// From taking on to the first attempt, and to the final answer.
    pub queue: Histogram,
    pub answer: Histogram,
    /// Ends of messages by class, and of those whose class has no label of its own.
    lanes: Vec<(String, [u64; ENDS.len()])>,
    other_lanes: [u64; ENDS.len()],
}

impl Figures {
    /// Gives classes labels: their names come from the settings, and from nowhere else.
    pub fn name(&mut self, lanes: impl IntoIterator<Item = String>) {
        for lane in lanes {
            if self.lanes.len() < MOST_LANES && !self.lanes.iter().any(|(name, _)| *name == lane) {
                self.lanes.push((lane, [0; ENDS.len()]));
            }
        }
        self.lanes.sort();
    }

    /// Counts the end of a message of that class, so long after it was taken on.
    pub fn ended(&mut self, lane: &str, end: End, after: Duration) {
        let own = self.lanes.iter_mut().find(|(name, _)| name == lane).map(|(_, ends)| ends);
        own.unwrap_or(&mut self.other_lanes)[end as usize] += 1;
        self.answer.observe(after);
    }

    /// Counts the end of an attempt.
    pub fn attempt_ended(&mut self, outcome: Outcome) {
        self.attempt_ends[index(outcome)] += 1;
    }
}

/// What else there is to tell of the host at the same moment.
#[derive(Clone, Debug, Default)]
pub struct Present {
    /// Messages held, and the bytes of their bodies.
    pub pending: usize,
    pub pending_bytes: usize,
    /// Final answers that the platform has not acknowledged.
    pub notices: usize,
    /// Endpoints on the list, and those of them that nothing goes to now.
    pub members: usize,
    pub unavailable: usize,
    /// Endpoints remembered, listed or not.
    pub remembered: usize,
    pub journal_bytes: u64,
    /// Connections to endpoints.
    pub endpoints_idle: usize,
    pub endpoints_busy: usize,
}

/// A scrape's copy of it all.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    pub figures: Figures,
    pub present: Present,
    pub beside: Beside,
}

/// Counts of tasks beside the host.
#[derive(Debug, Default)]
pub struct Shared {
    pub discovery_calls: Tries,
    pub notice_calls: Tries,
    pub reloads: Tries,
    /// Connections from clients.
    pub clients: AtomicUsize,
}

impl Shared {
    pub fn read(&self) -> Beside {
        Beside {
            discovery_calls: self.discovery_calls.read(),
            notice_calls: self.notice_calls.read(),
            reloads: self.reloads.read(),
            clients: self.clients.load(Ordering::Relaxed),
        }
    }
}

/// The same as plain numbers; what was tried as often as it went well, and as it failed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Beside {
    discovery_calls: (u64, u64),
    notice_calls: (u64, u64),
    reloads: (u64, u64),
    clients: usize,
}

/// How often something was tried, by how it went.
#[derive(Debug, Default)]
pub struct Tries {
    ok: AtomicU64,
    failed: AtomicU64,
}

impl Tries {
    pub fn count(&self, ok: bool) {
        let counter = if ok { &self.ok } else { &self.failed };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    fn read(&self) -> (u64, u64) {
        (self.ok.load(Ordering::Relaxed), self.failed.load(Ordering::Relaxed))
    }
}

/// What the system says of this process; what it does not say is left out.
#[derive(Debug, Default)]
struct Process {
    user: Option<Duration>,
    system: Option<Duration>,
    resident: Option<u64>,
    peak: Option<u64>,
    descriptors: Option<usize>,
}

impl Process {
    fn read() -> Self {
        use nix::sys::resource::{UsageWho, getrusage};
        use nix::sys::time::TimeVal;
        let span = |time: TimeVal| {
            Duration::from_secs(time.tv_sec().try_into().unwrap_or(0))
                + Duration::from_micros(time.tv_usec().try_into().unwrap_or(0))
        };
        let usage = getrusage(UsageWho::RUSAGE_SELF).ok();
        let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
        let field = |name: &str| -> Option<u64> {
            let line = status.lines().find_map(|line| line.strip_prefix(name))?;
            Some(line.trim().strip_suffix(" kB")?.trim().parse::<u64>().ok()? * 1024)
        };
        // The one that reads the folder is there only meanwhile.
        let open = std::fs::read_dir("/proc/self/fd").ok().map(|files| files.count().saturating_sub(1));
        Self {
            user: usage.map(|usage| span(usage.user_time())),
            system: usage.map(|usage| span(usage.system_time())),
            resident: field("VmRSS:"),
            peak: field("VmHWM:"),
            descriptors: open,
        }
    }
}

/// The text of a scrape, up to and with the word that ends it.
pub fn scrape(snapshot: &Snapshot, fleet: Option<&Fleet>) -> String {
    let mut text = Text(String::with_capacity(16 * 1024));
    text.messages(snapshot);
    text.calls(&snapshot.figures, &snapshot.beside);
    text.members(&snapshot.present);
    if let Some(fleet) = fleet {
        text.fleet(fleet);
    }
    text.process(snapshot, &Process::read());
    text.0.push_str("end\n");
    text.0
}

/// What a sender knows of its fleet, in figures.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// Members by whether they answer, as the view has it.
    pub members: Vec<(&'static str, usize)>,
    /// Keepers that answer, and keepers in all.
    pub keepers: [usize; 2],
    /// How often the fleet was founded anew, and the number of the roster.
    pub roster: [u64; 2],
    /// Since another member was heard; none where none ever was.
    pub heard: Option<Duration>,
    /// Whether this sender's start is agreed on.
    pub confirmed: bool,
    /// Datagrams, frames and bytes sent, and packets taken in.
    pub packets: [u64; 4],
    /// Packets dropped: of another fleet, of another version, damaged.
    pub dropped: [u64; 3],
}

/// What a process did and cost in all, in one line: for its log, as it ends in order.
pub fn summary(Snapshot { figures, present, beside }: &Snapshot) -> String {
    let process = Process::read();
    let ends = figures.lanes.iter().map(|(_, ends)| ends).chain([&figures.other_lanes]);
    let [completed, rejected, failed] =
        ends.fold([0; ENDS.len()], |sums, ends| std::array::from_fn(|n| sums[n] + ends[n]));
    let millis = |spent: Option<Duration>| spent.unwrap_or_default().as_millis();
    let (asked, unanswered) = beside.discovery_calls;
    format!(
        "in all: taken_on={} resumed={} completed={completed} rejected={rejected} failed={failed} pending={} \
         refused={} attempts={} opened={} reused={} discovery={asked} discovery_errors={unanswered} wakeups={} \
         steps={} cpu_user_ms={} cpu_system_ms={} peak_bytes={}",
        figures.taken,
        figures.resumed,
        present.pending,
        figures.refused,
        figures.attempts,
        figures.opened,
        figures.reused,
        figures.wakeups,
        figures.steps,
        millis(process.user),
        millis(process.system),
        process.peak.unwrap_or_default(),
    )
}

struct Text(String);

impl Text {
    fn family(&mut self, name: &str, kind: &str, help: &str) {
        // Writing to a string does not fail.
        let _ = writeln!(self.0, "# HELP {PREFIX}_{name} {help}\n# TYPE {PREFIX}_{name} {kind}");
    }

    fn sample(&mut self, name: &str, labels: &[(&str, &str)], value: impl Display) {
        let _ = write!(self.0, "{PREFIX}_{name}");
        for (n, (label, value)) in labels.iter().enumerate() {
            let value = value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n");
            let _ = write!(self.0, "{}{label}=\"{value}\"", if n == 0 { '{' } else { ',' });
        }
        let _ = writeln!(self.0, "{} {value}", if labels.is_empty() { "" } else { "}" });
    }

    fn one(&mut self, name: &str, kind: &str, help: &str, value: impl Display) {
        self.family(name, kind, help);
        self.sample(name, &[], value);
    }

    fn fleet(&mut self, fleet: &Fleet) {
        let answers = &fleet.members;
        self.by("fleet_members", "gauge", "Members of the fleet by whether they answer.", "health", answers);
        let keepers = [("answering", fleet.keepers[0]), ("all", fleet.keepers[1])];
        self.by(
            "fleet_keepers",
            "gauge",
            "Keepers; with half or fewer answering nothing is agreed on.",
            "which",
            &keepers,
        );
        let [epoch, number] = fleet.roster;
        self.one("fleet_epoch", "gauge", "How often the fleet was founded anew.", epoch);
        self.one("fleet_roster_number", "gauge", "The number of the roster that this sender has.", number);
        let confirmed = u8::from(fleet.confirmed);
        self.one("fleet_confirmed", "gauge", "1 once this sender's start is agreed on.", confirmed);
        if let Some(heard) = fleet.heard {
            let help = "Since another member was heard.";
            self.one("fleet_heard_seconds", "gauge", help, heard.as_secs_f64());
        }
        let [datagrams, frames, bytes, taken] = fleet.packets;
        let sent = [("datagram", datagrams), ("frame", frames)];
        self.by("fleet_sent_total", "counter", "Packets sent to peers.", "by", &sent);
        self.one("fleet_sent_bytes_total", "counter", "Bytes of them.", bytes);
        self.one("fleet_taken_total", "counter", "Packets taken in from peers.", taken);
        let [foreign, versions, damaged] = fleet.dropped;
        let dropped = [("fleet", foreign), ("version", versions), ("damaged", damaged)];
        self.by("fleet_dropped_total", "counter", "Packets dropped.", "reason", &dropped);
    }

    /// A family with one label.
    fn by<V: Display>(&mut self, name: &str, kind: &str, help: &str, label: &str, values: &[(&str, V)]) {
        self.family(name, kind, help);
        for (of, value) in values {
            self.sample(name, &[(label, of)], value);
        }
    }

    fn tries(&mut self, name: &str, help: &str, (ok, failed): (u64, u64)) {
        self.by(name, "counter", help, "result", &[("ok", ok), ("error", failed)]);
    }

    fn histogram(&mut self, name: &str, help: &str, histogram: &Histogram) {
        self.family(name, "histogram", help);
        let bucket = format!("{name}_bucket");
        let mut sum = 0;
        for (count, bound) in histogram.counts.iter().zip(BOUNDS_MS) {
            sum += count;
            self.sample(&bucket, &[("le", &(f64::from(bound) / 1e3).to_string())], sum);
        }
        sum += histogram.counts[BOUNDS_MS.len()];
        self.sample(&bucket, &[("le", "+Inf")], sum);
        self.sample(&format!("{name}_sum"), &[], histogram.sum.as_secs_f64());
        self.sample(&format!("{name}_count"), &[], sum);
    }

    fn messages(&mut self, Snapshot { figures, present, .. }: &Snapshot) {
        self.by(
            "taken_on_total",
            "counter",
            "Messages taken on: from clients, and from an earlier process.",
            "origin",
            &[("client", figures.taken), ("resumed", figures.resumed)],
        );
        let name = "downstream_requests_total";
        self.family(name, "counter", "Messages taken on that have had their final answer.");
        let others = ("", figures.other_lanes);
        let lanes = figures.lanes.iter().map(|(lane, ends)| (lane.as_str(), *ends));
        for (lane, ends) in lanes.chain([others].into_iter().filter(|(_, ends)| *ends != [0; ENDS.len()])) {
            for (result, count) in ENDS.iter().zip(ends) {
                self.sample(name, &[("lane", lane), ("result", result)], count);
            }
        }
        self.one("pending", "gauge", "Messages taken on that wait for their final answer.", present.pending);
        self.one("pending_bytes", "gauge", "Bytes of their bodies.", present.pending_bytes);
        self.one("notices_pending", "gauge", "Final answers not yet acknowledged.", present.notices);
        self.by(
            "turned_away_total",
            "counter",
            "Messages not taken on.",
            "reason",
            &[("refused", figures.refused), ("malformed", figures.malformed)],
        );
        self.histogram("queue_seconds", "Time from taking on to the first attempt.", &figures.queue);
        self.histogram("answer_seconds", "Time from taking on to the final answer.", &figures.answer);
    }

    fn calls(&mut self, figures: &Figures, beside: &Beside) {
        self.one("upstream_requests_total", "counter", "Calls to endpoints.", figures.calls);
        self.one(
            "attempts_total",
            "counter",
            "Attempts begun, one for each message of a call.",
            figures.attempts,
        );
        let ends: Vec<_> = OUTCOMES.into_iter().zip(figures.attempt_ends).collect();
        self.by("attempt_ends_total", "counter", "Attempts that have ended.", "outcome", &ends);
        self.by(
            "upstream_connections_total",
            "counter",
            "Connections to endpoints that carried a call or were made for one.",
            "origin",
            &[("opened", figures.opened), ("reused", figures.reused)],
        );
        self.tries("discovery_calls_total", "Calls to discovery that have ended.", beside.discovery_calls);
        self.tries("notice_calls_total", "Calls with final answers that have ended.", beside.notice_calls);
        let (reloads, errors) = beside.reloads;
        self.one("config_reloads_total", "counter", "Configurations taken up at SIGHUP.", reloads);
        self.one("config_reload_errors_total", "counter", "Configurations not taken up at SIGHUP.", errors);
        self.one("loop_wakeups_total", "counter", "Turns of the loop.", figures.wakeups);
        self.one("steps_total", "counter", "Steps of the decision module.", figures.steps);
    }

    fn members(&mut self, present: &Present) {
        self.one("members", "gauge", "Endpoints on the list.", present.members);
        let help = "Endpoints on the list that nothing goes to now: draining, excluded or in an outage.";
        self.one("members_unavailable", "gauge", help, present.unavailable);
        self.one("endpoints_remembered", "gauge", "Endpoints remembered, listed or not.", present.remembered);
    }

    fn process(&mut self, Snapshot { present, beside, .. }: &Snapshot, process: &Process) {
        let spent = [("user", process.user), ("system", process.system)];
        let spent: Vec<_> = (spent.into_iter())
            .filter_map(|(mode, spent)| spent.map(|spent| (mode, spent.as_secs_f64())))
            .collect();
        self.by("process_cpu_seconds_total", "counter", "Processor time spent.", "mode", &spent);
        if let Some(bytes) = process.resident {
            self.one("process_resident_memory_bytes", "gauge", "Resident memory.", bytes);
        }
        if let Some(bytes) = process.peak {
            self.one("process_peak_memory_bytes", "gauge", "The most resident memory so far.", bytes);
        }
        #[cfg(feature = "count-allocations")]
        {
            let counted = stats_alloc::INSTRUMENTED_SYSTEM.stats();
            let blocks = counted.allocations + counted.reallocations;
            self.one("allocations_total", "counter", "Blocks of memory taken or moved.", blocks);
            let bytes = counted.bytes_allocated;
            self.one("allocated_bytes_total", "counter", "Bytes of memory taken.", bytes);
        }
        let endpoints = present.endpoints_idle + present.endpoints_busy;
        let known = beside.clients + endpoints + JOURNAL_FILES;
        let mut uses =
            vec![("clients", beside.clients), ("endpoints", endpoints), ("journal", JOURNAL_FILES)];
        // Some may have come or gone since the host told of its own.
        uses.extend(process.descriptors.map(|all| ("other", all.saturating_sub(known))));
        self.by("descriptors", "gauge", "Descriptors held, by use.", "use", &uses);
        self.one("journal_bytes", "gauge", "Length of the journal.", present.journal_bytes);
    }
}

/// The journal and its lock.
const JOURNAL_FILES: usize = 2;
