//! Metrics of the sender in the Prometheus text format.
//!
//! The host counts in plain integers, so that counting costs a request almost nothing, and gives a scrape a copy with
//! its current state. All values are of the same moment between two turns of the loop, as the tasks that count in
//! [`Shared`] run on the host's thread. The admin endpoint's thread reads `/proc` and formats the text. All counters
//! start at zero in each process.
use message_sender::Outcome;
use process_lifecycle::log_output::LogOutput;
use process_lifecycle::panics;
use std::fmt::{Display, Write};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

/// Maximum classes with their own label; further ones are counted under an empty label.
const MAX_LANE_LABELS: usize = 100;
/// Upper bounds of the histogram buckets in milliseconds, from one step of the decision module to the longest deadlines.
const BOUNDS_MS: [u32; 14] =
    [5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000, 10_000, 20_000, 30_000, 60_000];
const PREFIX: &str = "sender";

/// The final outcome of an accepted message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Delivered.
    Completed,
    /// Returned to its client, which may safely submit it again.
    Rejected,
    /// Not delivered, and it may have executed; or cancelled.
    Failed,
}

const ENDS: [&str; 3] = ["completed", "rejected", "failed"];
const OUTCOMES: [&str; 9] =
    ["success", "failure", "full", "timed_out", "connect_failed", "reset", "cancelled", "void", "no_room"];

fn outcome_index(outcome: Outcome) -> usize {
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

/// A histogram of durations.
#[derive(Clone, Debug, Default)]
pub struct Histogram {
    /// Observations per bucket, not cumulative; the last bucket has no upper bound.
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

/// Counters of the host.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Messages accepted from clients, and messages resumed from an earlier process.
    pub taken: u64,
    pub resumed: u64,
    /// Messages not accepted: refused, and invalid ones.
    pub refused: u64,
    pub malformed: u64,
    /// Calls to endpoints, each with one or more messages.
    pub calls: u64,
    /// Attempts started: one for each message of a call.
    pub attempts: u64,
    attempt_ends: [u64; OUTCOMES.len()],
    /// Connections to endpoints: opened, and reused.
    pub opened: u64,
    pub reused: u64,
    /// Turns of the host loop, and steps of the decision module.
    pub wakeups: u64,
    pub steps: u64,
    /// Time from acceptance to the first attempt, and to the final outcome.
    pub queue: Histogram,
    pub answer: Histogram,
    /// Final outcomes by class, and of the classes without their own label.
    lanes: Vec<(String, [u64; ENDS.len()])>,
    other_lanes: [u64; ENDS.len()],
}

impl Figures {
    /// Adds labels for classes. Only names from the settings become labels, which bounds their number.
    pub fn name(&mut self, lanes: impl IntoIterator<Item = String>) {
        for lane in lanes {
            if self.lanes.len() < MAX_LANE_LABELS && !self.lanes.iter().any(|(name, _)| *name == lane) {
                self.lanes.push((lane, [0; ENDS.len()]));
            }
        }
        self.lanes.sort();
    }

    /// Counts the final outcome of a message of class `lane`, `after` its acceptance.
    pub fn ended(&mut self, lane: &str, end: End, after: Duration) {
        let own = self.lanes.iter_mut().find(|(name, _)| name == lane).map(|(_, ends)| ends);
        own.unwrap_or(&mut self.other_lanes)[end as usize] += 1;
        self.answer.observe(after);
    }

    /// Counts the outcome of an attempt.
    pub fn attempt_ended(&mut self, outcome: Outcome) {
        self.attempt_ends[outcome_index(outcome)] += 1;
    }
}

/// Gauges of the host, as of the same moment as its counters.
#[derive(Clone, Debug, Default)]
pub struct Present {
    /// Accepted messages without a final outcome, and the bytes of their bodies.
    pub pending: usize,
    pub pending_bytes: usize,
    /// Notices of final outcomes that the platform has not acknowledged.
    pub notices: usize,
    /// Listed endpoints, and those of them that currently receive no messages.
    pub members: usize,
    pub unavailable: usize,
    /// Endpoints with stored state, listed or not.
    pub remembered: usize,
    pub journal_bytes: u64,
    /// Connections to endpoints.
    pub endpoints_idle: usize,
    pub endpoints_busy: usize,
}

/// All values of the host's thread for one scrape.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    pub figures: Figures,
    pub present: Present,
    pub beside: TaskCounts,
}

/// Counters that tasks besides the host update.
#[derive(Debug, Default)]
pub struct Shared {
    pub discovery_calls: ResultCounts,
    pub notice_calls: ResultCounts,
    pub reloads: ResultCounts,
    /// Connections from clients.
    pub clients: AtomicUsize,
    /// How often the sender was started again within its process.
    pub restarts: AtomicU64,
}

impl Shared {
    pub fn read(&self) -> TaskCounts {
        TaskCounts {
            discovery_calls: self.discovery_calls.read(),
            notice_calls: self.notice_calls.read(),
            reloads: self.reloads.read(),
            clients: self.clients.load(Ordering::Relaxed),
            restarts: self.restarts.load(Ordering::Relaxed),
        }
    }
}

/// A copy of [`Shared`] in plain integers; each pair counts successes and failures.
#[derive(Clone, Copy, Debug, Default)]
pub struct TaskCounts {
    discovery_calls: (u64, u64),
    notice_calls: (u64, u64),
    reloads: (u64, u64),
    clients: usize,
    restarts: u64,
}

/// Counts attempts by success and failure.
#[derive(Debug, Default)]
pub struct ResultCounts {
    ok: AtomicU64,
    failed: AtomicU64,
}

impl ResultCounts {
    pub fn count(&self, ok: bool) {
        let counter = if ok { &self.ok } else { &self.failed };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    fn read(&self) -> (u64, u64) {
        (self.ok.load(Ordering::Relaxed), self.failed.load(Ordering::Relaxed))
    }
}

/// Resource use of this process; none where the system doesn't provide a value.
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
        // Excludes the descriptor of the directory listing itself.
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

/// Formats a scrape, including the final `end` line.
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

/// Metrics of the fleet membership.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// Number of members by health.
    pub members: Vec<(&'static str, usize)>,
    /// Voters that answer, and all voters.
    pub voters: [usize; 2],
    /// The epoch, which grows each time the fleet is founded again, and the number of the member list.
    pub member_list: [u64; 2],
    /// Time since a message from another member; none if there was none.
    pub since_last_received: Option<Duration>,
    /// Whether the voters have agreed on this sender's start.
    pub confirmed: bool,
    /// Datagrams, frames and bytes sent, and packets received.
    pub packets: [u64; 4],
    /// Packets dropped: from another fleet, of another version, damaged.
    pub dropped: [u64; 3],
}

/// A line of totals for the log at an orderly shutdown.
pub fn summary(Snapshot { figures, present, beside: tasks }: &Snapshot) -> String {
    let process = Process::read();
    let ends = figures.lanes.iter().map(|(_, ends)| ends).chain([&figures.other_lanes]);
    let [completed, rejected, failed] =
        ends.fold([0; ENDS.len()], |sums, ends| std::array::from_fn(|n| sums[n] + ends[n]));
    let millis = |spent: Option<Duration>| spent.unwrap_or_default().as_millis();
    let (discovery_ok, discovery_failed) = tasks.discovery_calls;
    format!(
        "in all: taken_on={} resumed={} completed={completed} rejected={rejected} failed={failed} pending={} \
         refused={} attempts={} opened={} reused={} discovery={discovery_ok} discovery_errors={discovery_failed} wakeups={} \
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

    fn single(&mut self, name: &str, kind: &str, help: &str, value: impl Display) {
        self.family(name, kind, help);
        self.sample(name, &[], value);
    }

    fn fleet(&mut self, fleet: &Fleet) {
        let answers = &fleet.members;
        self.labelled(
            "fleet_members",
            "gauge",
            "Members of the fleet by whether they answer.",
            "health",
            answers,
        );
        let voters = [("answering", fleet.voters[0]), ("all", fleet.voters[1])];
        self.labelled(
            "fleet_keepers",
            "gauge",
            "Keepers; with half or fewer answering nothing is agreed on.",
            "which",
            &voters,
        );
        let [epoch, number] = fleet.member_list;
        self.single("fleet_epoch", "gauge", "How often the fleet was founded anew.", epoch);
        self.single("fleet_roster_number", "gauge", "The number of the roster that this sender has.", number);
        let confirmed = u8::from(fleet.confirmed);
        self.single("fleet_confirmed", "gauge", "1 once this sender's start is agreed on.", confirmed);
        if let Some(elapsed) = fleet.since_last_received {
            let help = "Since another member was heard.";
            self.single("fleet_heard_seconds", "gauge", help, elapsed.as_secs_f64());
        }
        let [datagrams, frames, bytes, taken] = fleet.packets;
        let sent = [("datagram", datagrams), ("frame", frames)];
        self.labelled("fleet_sent_total", "counter", "Packets sent to peers.", "by", &sent);
        self.single("fleet_sent_bytes_total", "counter", "Bytes of them.", bytes);
        self.single("fleet_taken_total", "counter", "Packets taken in from peers.", taken);
        let [foreign, versions, damaged] = fleet.dropped;
        let dropped = [("fleet", foreign), ("version", versions), ("damaged", damaged)];
        self.labelled("fleet_dropped_total", "counter", "Packets dropped.", "reason", &dropped);
    }

    /// A metric family with one label.
    fn labelled<V: Display>(
        &mut self,
        name: &str,
        kind: &str,
        help: &str,
        label: &str,
        values: &[(&str, V)],
    ) {
        self.family(name, kind, help);
        for (label_value, value) in values {
            self.sample(name, &[(label, label_value)], value);
        }
    }

    fn results(&mut self, name: &str, help: &str, (ok, failed): (u64, u64)) {
        self.labelled(name, "counter", help, "result", &[("ok", ok), ("error", failed)]);
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
        self.labelled(
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
        self.single(
            "pending",
            "gauge",
            "Messages taken on that wait for their final answer.",
            present.pending,
        );
        self.single("pending_bytes", "gauge", "Bytes of their bodies.", present.pending_bytes);
        self.single("notices_pending", "gauge", "Final answers not yet acknowledged.", present.notices);
        self.labelled(
            "turned_away_total",
            "counter",
            "Messages not taken on.",
            "reason",
            &[("refused", figures.refused), ("malformed", figures.malformed)],
        );
        self.histogram("queue_seconds", "Time from taking on to the first attempt.", &figures.queue);
        self.histogram("answer_seconds", "Time from taking on to the final answer.", &figures.answer);
    }

    fn calls(&mut self, figures: &Figures, tasks: &TaskCounts) {
        self.single("upstream_requests_total", "counter", "Calls to endpoints.", figures.calls);
        self.single(
            "attempts_total",
            "counter",
            "Attempts begun, one for each message of a call.",
            figures.attempts,
        );
        let ends: Vec<_> = OUTCOMES.into_iter().zip(figures.attempt_ends).collect();
        self.labelled("attempt_ends_total", "counter", "Attempts that have ended.", "outcome", &ends);
        self.labelled(
            "upstream_connections_total",
            "counter",
            "Connections to endpoints that carried a call or were made for one.",
            "origin",
            &[("opened", figures.opened), ("reused", figures.reused)],
        );
        self.results("discovery_calls_total", "Calls to discovery that have ended.", tasks.discovery_calls);
        self.results("notice_calls_total", "Calls with final answers that have ended.", tasks.notice_calls);
        let (reloads, errors) = tasks.reloads;
        self.single("config_reloads_total", "counter", "Configurations taken up at SIGHUP.", reloads);
        self.single(
            "config_reload_errors_total",
            "counter",
            "Configurations not taken up at SIGHUP.",
            errors,
        );
        self.single(
            "restarts_total",
            "counter",
            "Restarts of the sender within its process, after a part has failed.",
            tasks.restarts,
        );
        self.single("panics_total", "counter", "Panics of this process.", panics::count());
        let dropped = LogOutput::stderr().dropped();
        self.single("log_lines_dropped_total", "counter", "Lines of the log that were not taken.", dropped);
        self.single("loop_wakeups_total", "counter", "Turns of the loop.", figures.wakeups);
        self.single("steps_total", "counter", "Steps of the decision module.", figures.steps);
    }

    fn members(&mut self, present: &Present) {
        self.single("members", "gauge", "Endpoints on the list.", present.members);
        let help = "Endpoints on the list that nothing goes to now: draining, excluded or in an outage.";
        self.single("members_unavailable", "gauge", help, present.unavailable);
        self.single(
            "endpoints_remembered",
            "gauge",
            "Endpoints remembered, listed or not.",
            present.remembered,
        );
    }

    fn process(&mut self, Snapshot { present, beside: tasks, .. }: &Snapshot, process: &Process) {
        let spent = [("user", process.user), ("system", process.system)];
        let spent: Vec<_> = (spent.into_iter())
            .filter_map(|(mode, spent)| spent.map(|spent| (mode, spent.as_secs_f64())))
            .collect();
        self.labelled("process_cpu_seconds_total", "counter", "Processor time spent.", "mode", &spent);
        if let Some(bytes) = process.resident {
            self.single("process_resident_memory_bytes", "gauge", "Resident memory.", bytes);
        }
        if let Some(bytes) = process.peak {
            self.single("process_peak_memory_bytes", "gauge", "The most resident memory so far.", bytes);
        }
        #[cfg(feature = "count-allocations")]
        {
            let counted = stats_alloc::INSTRUMENTED_SYSTEM.stats();
            let blocks = counted.allocations + counted.reallocations;
            self.single("allocations_total", "counter", "Blocks of memory taken or moved.", blocks);
            let bytes = counted.bytes_allocated;
            self.single("allocated_bytes_total", "counter", "Bytes of memory taken.", bytes);
        }
        let endpoints = present.endpoints_idle + present.endpoints_busy;
        let known = tasks.clients + endpoints + JOURNAL_FILES;
        let mut uses = vec![("clients", tasks.clients), ("endpoints", endpoints), ("journal", JOURNAL_FILES)];
        // Descriptors may have been opened or closed since the host's values were copied.
        uses.extend(process.descriptors.map(|all| ("other", all.saturating_sub(known))));
        self.labelled("descriptors", "gauge", "Descriptors held, by use.", "use", &uses);
        self.single("journal_bytes", "gauge", "Length of the journal.", present.journal_bytes);
    }
}

/// Descriptors of the journal and its lock file.
const JOURNAL_FILES: usize = 2;
