//! The disk of a control node does not fill up over ten thousand changes, each decided by the production crates, on the real
//! log; a start at any time between reads it quickly.

use bytes::Bytes;
use config_register::{Acceptor, AcceptorRecord, AcceptorResponse, founding_record};
use controllers::{ConfigVerdict, put_config};
use fleet_model::{
    AcceptedValue, Ballot, CommittedVersion, ControlState, RegisterReply, RegisterRequest, RegisterValue,
    rendezvous_rank,
};
use std::net::Ipv4Addr;
use std::path::Path;
use std::time::{Duration, Instant};
use tempfile::TempDir;
use turn_store::{RecordLog, RecoveredRecord};

const CHANGES: u64 = 10_000;
const CONFIGURATION_BYTES: usize = 20_000;
/// A tenth of the disk of a core machine.
const MAX_FOLDER_BYTES: u64 = 12_800_000;
/// What one payload may come to in a message.
const MAX_PAYLOAD_BYTES: usize = 64_000;
/// A start reads the log in this time, on a busy machine too.
const MAX_START_TIME: Duration = Duration::from_secs(1);
/// Changes between two starts.
const CHANGES_PER_START: u64 = 500;

fn voters() -> Vec<Ipv4Addr> {
    (1..=3).map(|index| Ipv4Addr::new(10, 0, 0, index)).collect()
}

/// A configuration that differs in many places from the one before.
fn configuration(version: u64) -> Bytes {
    let route = |index: u64| {
        let hash = rendezvous_rank(&index.to_be_bytes(), version);
        format!("{{\"name\":\"route-{index}\",\"service\":\"{hash:016x}\"}},")
    };
    let mut text = String::with_capacity(CONFIGURATION_BYTES);
    for index in 0.. {
        if text.len() >= CONFIGURATION_BYTES {
            break;
        }
        text.push_str(&route(index));
    }
    text.into()
}

fn digest(version: u64) -> [u8; 32] {
    let mut digest = [0; 32];
    for (index, chunk) in digest.chunks_mut(8).enumerate() {
        chunk.copy_from_slice(&rendezvous_rank(&version.to_be_bytes(), index as u64).to_be_bytes());
    }
    digest
}

/// A folder in memory where there is one: the size is looked at, not the disk.
fn folder() -> TempDir {
    let memory = Path::new("/dev/shm");
    let made = if memory.is_dir() { TempDir::new_in(memory) } else { TempDir::new() };
    made.expect("a folder")
}

fn bytes_in(folder: &Path) -> u64 {
    let entries = std::fs::read_dir(folder).expect("a folder");
    entries.map(|entry| entry.and_then(|entry| entry.metadata()).map_or(0, |data| data.len())).sum()
}

struct Voter {
    acceptor: Acceptor,
    log: RecordLog,
    state: ControlState,
    largest_payload: usize,
}

impl Voter {
    fn handle(&mut self, request: RegisterRequest) -> RegisterReply {
        let AcceptorResponse { reply, record_changed: changed } = self.acceptor.handle(&request);
        if changed {
            let record = postcard::to_allocvec(self.acceptor.record().expect("it votes")).expect("plain");
            self.log.put(&record).expect("the disk has room");
        }
        reply
    }

    fn change(&mut self, version: u64) {
        let ballot = Ballot { round: version << 16, proposer: 1, incarnation: 1 };
        let promised = self.handle(RegisterRequest::Prepare(ballot));
        assert!(matches!(promised, RegisterReply::Promised(_)), "{promised:?}");
        let sent = CommittedVersion { version, digest: digest(version) };
        let (next, verdict) = put_config(&self.state, version - 1, &sent, &configuration(version));
        assert_eq!(verdict, ConfigVerdict::Committed);
        self.state = next.expect("another state");
        let payload = self.state.to_payload().expect("plain");
        self.largest_payload = self.largest_payload.max(payload.len());
        let value = RegisterValue { epoch: 0, voters: voters(), payload };
        let accepted = self.handle(RegisterRequest::Accept(AcceptedValue { ballot, value }));
        assert_eq!(accepted, RegisterReply::Accepted);
    }
}

#[test]
fn ten_thousand_changes_fit_on_the_disk_of_a_control_node() {
    // Given a voter whose log is new,
    let folder = folder();
    let log = RecordLog::open(folder.path()).expect("an empty folder").log;
    let mut voter = Voter {
        acceptor: Acceptor::new(founding_record(voters())),
        log,
        state: ControlState::default(),
        largest_payload: 0,
    };
    let (mut largest, mut longest_start) = (0, Duration::ZERO);
    // when ten thousand changes go through it, with a start every now and then,
    for version in 1..=CHANGES {
        voter.change(version);
        largest = largest.max(bytes_in(folder.path()));
        if version % CHANGES_PER_START == 0 {
            let began = Instant::now();
            let opened = RecordLog::open(folder.path()).expect("a whole log");
            longest_start = longest_start.max(began.elapsed());
            // then what is found is the newest record,
            let RecoveredRecord::Stored(bytes) = opened.found else {
                panic!("{:?} at {version}", opened.found)
            };
            let record: AcceptorRecord = postcard::from_bytes(&bytes).expect("a record");
            assert_eq!(Some(&record), voter.acceptor.record());
            voter.log = opened.log;
            voter.acceptor = Acceptor::new(record);
        }
    }
    println!(
        "largest folder {largest} bytes, payload {} bytes, longest start {longest_start:?}",
        voter.largest_payload
    );
    // and neither disk, message nor start grow with the number of changes.
    assert!(largest < MAX_FOLDER_BYTES, "{largest} bytes");
    assert!(voter.largest_payload < MAX_PAYLOAD_BYTES, "{} bytes", voter.largest_payload);
    assert!(longest_start < MAX_START_TIME, "{longest_start:?}");
}
