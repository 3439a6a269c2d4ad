//! Fleets of several sender processes on sockets: guarantees V1, V2, V4 and V6 of `docs/fleet.md`.
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Time after which a wait fails: far longer than any wait in these tests takes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Returns an unused address for datagrams and connections. Each address has its own loopback IP: at 127.0.0.1 the system
/// could assign the port to another connection or listener before the sender binds it.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let [.., high, low] = NEXT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
        let network = 64 + (std::process::id() % 128) as u8;
        let listener = TcpListener::bind((Ipv4Addr::new(127, network, high, low), 0)).unwrap();
        let address = listener.local_addr().unwrap();
        if UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

struct Sender {
    name: String,
    admin_address: SocketAddr,
    folder: TempDir,
    child: Option<Child>,
}

impl Sender {
    fn new(name: &str, listen: SocketAddr, seeds: &[SocketAddr], fleet_overrides: Value) -> Self {
        let folder = tempfile::tempdir().unwrap();
        std::fs::create_dir(folder.path().join("state")).unwrap();
        let admin_address = free_address();
        let mut fleet_config = json!({"name": "test", "member": name, "machine": format!("m-{name}"), "listen": listen,
            "seeds": seeds, "keepers": 3, "suspect_ms": 1500});
        fleet_config
            .as_object_mut()
            .unwrap()
            .extend(fleet_overrides.as_object().cloned().unwrap_or_default());
        let config = json!({"name": name, "listen": free_address(), "mgmt": admin_address, "discovery": free_address(), "seed": "7",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512, "disk_mb": 3},
            "known": {"revision": 1, "complete": true, "members": []}, "fleet": fleet_config,
            "settings": {"azs": ["a"], "zone": "a", "discovery": "on_request", "fleet_size": 3, "kinds": ["k"],
                "lanes": [{"name": "c", "aim": 1_000_000, "hard_limit": 4_000_000, "worth": 1.0, "late_value": 0.5,
                    "repeat": "retryable", "fifo_by_key": false}],
                "limits": {"cancel": true, "connect_timeout": 1_000_000, "conn_idle": 5_000_000, "max_attempts": 3,
                    "most_held": 10, "probes": false},
                "invariants": {"drain_grace": 250_000, "cold_share": 0.2, "ramp_time": 10_000_000,
                    "overload_factor": 2.0, "fall": 1_000_000, "must_ask_in": 6_000_000},
                "specifics": {"decay": "by_half", "max_calls": 4},
                "period": 5000, "report": {"how": "none", "names": []}, "weights": "nominal"}});
        std::fs::write(folder.path().join("config.json"), config.to_string()).unwrap();
        Self { name: name.to_owned(), admin_address, folder, child: None }
    }

    fn state_folder(&self) -> std::path::PathBuf {
        self.folder.path().join("state")
    }

    fn start(&mut self) {
        let log = std::fs::File::options().create(true).append(true).open(self.folder.path().join("log"));
        let child = Command::new(env!("CARGO_BIN_EXE_message-sender"))
            .env("PROXY_CONFIG", self.folder.path().join("config.json"))
            .env("PROXY_STATE", self.state_folder())
            .stdin(Stdio::null())
            .stderr(log.unwrap())
            .spawn();
        self.child = Some(child.unwrap());
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a command to the admin endpoint and returns its answer; `None` while the endpoint does not listen.
    fn admin_command(&self, line: &str) -> Option<String> {
        let mut stream = TcpStream::connect(self.admin_address).ok()?;
        stream.write_all(format!("{line}\n").as_bytes()).ok()?;
        let mut answer = String::new();
        BufReader::new(stream).read_line(&mut answer).ok()?;
        Some(answer.trim_end().to_owned())
    }

    fn view(&self) -> Option<Value> {
        serde_json::from_str(self.admin_command("fleet view")?.strip_prefix("done ")?).ok()
    }

    /// The members in its view as (name, incarnation, state, health), in the order of their numbers.
    fn members(&self) -> Vec<(String, u64, String, String)> {
        let text = |row: &Value, key: &str| row[key].as_str().unwrap().to_owned();
        let rows = self.view().and_then(|view| view["members"].as_array().cloned()).unwrap_or_default();
        let to_tuple = |row: &Value| {
            (
                text(row, "name"),
                row["incarnation"].as_u64().unwrap(),
                text(row, "standing"),
                text(row, "health"),
            )
        };
        rows.iter().map(to_tuple).collect()
    }

    /// The value of the metric with this name and label, from the admin command `telemetry`.
    fn metric(&self, name: &str) -> Option<f64> {
        let mut stream = TcpStream::connect(self.admin_address).ok()?;
        stream.write_all(b"telemetry\n").ok()?;
        let mut lines = BufReader::new(stream).lines().map_while(Result::ok);
        lines.find_map(|line| line.strip_prefix(name)?.trim().parse().ok())
    }

    fn log(&self) -> String {
        std::fs::read_to_string(self.folder.path().join("log")).unwrap_or_default()
    }
}

/// Kills the process when dropped, so that it does not outlive its test.
struct KillOnDrop(Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Drop for Sender {
    fn drop(&mut self) {
        self.kill();
    }
}

fn wait_until(senders: &[Sender], condition_name: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        if Instant::now() > deadline {
            let states: Vec<String> = senders
                .iter()
                .map(|sender| format!("{}: {:?}\n{}", sender.name, sender.members(), sender.log()))
                .collect();
            panic!("timed out: {condition_name}\n{}", states.join("\n"));
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Creates `count` senders, the first three of which are the seeds.
fn fleet(count: usize, fleet_overrides: &Value) -> Vec<Sender> {
    let addresses: Vec<SocketAddr> = (0..count).map(|_| free_address()).collect();
    let sender = |(n, address): (usize, &SocketAddr)| {
        Sender::new(&format!("n{n}"), *address, &addresses[..3], fleet_overrides.clone())
    };
    addresses.iter().enumerate().map(sender).collect()
}

/// Whether the views of all running senders show exactly these members, given as (incarnation, health).
fn all_see(senders: &[Sender], expected: &[(u64, &str)]) -> bool {
    let expected: Vec<_> = expected
        .iter()
        .enumerate()
        .map(|(n, (incarnation, health))| {
            (format!("n{n}"), *incarnation, "in".to_owned(), (*health).to_owned())
        })
        .collect();
    senders.iter().filter(|sender| sender.child.is_some()).all(|sender| {
        let mut members = sender.members();
        members.sort();
        members == expected
    })
}

fn copy_files(from: &Path, to: &Path) {
    for entry in std::fs::read_dir(from).unwrap() {
        let entry = entry.unwrap();
        if entry.file_type().unwrap().is_file() {
            std::fs::copy(entry.path(), to.join(entry.file_name())).unwrap();
        }
    }
}

/// V1, V3, V4, V6: a fleet is founded in any start order, reports a killed sender as lost, accepts it again with a higher
/// incarnation, and recovers completely after all senders were killed. Of two processes on copies of one folder, one stops and
/// logs the reason.
#[test]
fn a_fleet_is_founded_and_recovers_from_restarts() {
    let mut senders = fleet(4, &json!({}));
    for n in [3, 1, 0, 2] {
        senders[n].start();
    }
    wait_until(&senders, "all see all", || all_see(&senders, &[(1, "answers"); 4]));
    senders[3].kill();
    let lost = [(1, "answers"), (1, "answers"), (1, "answers"), (1, "lost")];
    wait_until(&senders, "the killed sender is lost and remains a member", || all_see(&senders, &lost));
    let lost_metric = r#"sender_fleet_members{health="lost"}"#;
    wait_until(&senders, "the metric counts the lost member", || senders[0].metric(lost_metric) == Some(1.0));
    assert_eq!(senders[0].metric(r#"sender_fleet_keepers{which="all"}"#), Some(3.0));
    assert!(senders[0].log().contains("fleet: n3 is lost"), "{}", senders[0].log());
    senders[3].start();
    let restarted = [(1, "answers"), (1, "answers"), (1, "answers"), (2, "answers")];
    wait_until(&senders, "the sender is back in its second incarnation", || all_see(&senders, &restarted));
    senders.iter_mut().for_each(Sender::kill);
    senders.iter_mut().for_each(Sender::start);
    let all_restarted = [(2, "answers"), (2, "answers"), (2, "answers"), (3, "answers")];
    wait_until(&senders, "all are back", || all_see(&senders, &all_restarted));

    let seeds: Vec<SocketAddr> = {
        let config = std::fs::read_to_string(senders[0].folder.path().join("config.json")).unwrap();
        serde_json::from_value(serde_json::from_str::<Value>(&config).unwrap()["fleet"]["seeds"].clone())
            .unwrap()
    };
    let mut copied = Sender::new("n3", free_address(), &seeds, json!({}));
    copy_files(&senders[3].state_folder(), &copied.state_folder());
    copied.start();
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let status = loop {
        if let Some(status) = copied.child.as_mut().unwrap().try_wait().unwrap() {
            break status;
        }
        assert!(Instant::now() < deadline, "the copy did not stop:\n{}", copied.log());
        std::thread::sleep(Duration::from_millis(50));
    };
    assert_eq!(status.code(), Some(3));
    assert!(copied.log().contains("copies of one folder"), "{}", copied.log());
    assert!(all_see(&senders, &all_restarted), "the original process must continue");
}

/// V4: a sender that restarts with an empty folder joins as a new member, and its former identity has departed. An operator
/// removes a member.
#[test]
fn a_sender_with_an_emptied_folder_is_a_new_member() {
    let mut senders = fleet(4, &json!({}));
    senders.iter_mut().for_each(Sender::start);
    wait_until(&senders, "all see all", || all_see(&senders, &[(1, "answers"); 4]));
    senders[3].kill();
    std::fs::remove_file(senders[3].state_folder().join("fleet.wal")).unwrap();
    senders[3].start();
    let number = |sender: &Sender| {
        let view = sender.view()?;
        view["members"].as_array()?.iter().find(|member| member["name"] == "n3")?["number"].as_u64()
    };
    wait_until(&senders, "all see the new number", || senders.iter().all(|sender| number(sender) == Some(5)));
    let roster = senders[0].admin_command("fleet roster").unwrap();
    assert!(roster.contains(r#""why":"Replaced""#), "{roster}");
    wait_until(&senders, "all have the same digest", || {
        let digests: Vec<_> = senders.iter().map(|sender| sender.admin_command("fleet mark")).collect();
        digests[0].as_ref().is_some_and(|digest| digest.contains("view"))
            && digests.iter().all(|digest| *digest == digests[0])
    });
    senders[3].kill();
    assert_eq!(senders[1].admin_command("fleet remove n3").as_deref(), Some("done"));
    wait_until(&senders, "all have three members", || {
        senders[..3].iter().all(|sender| sender.members().len() == 3)
    });
    assert!(senders[1].admin_command("fleet remove n3").unwrap().starts_with("error no member is called"));
    assert!(senders[0].admin_command("fleet refound").unwrap().starts_with("error 3 of 3 voters answer"));
}

/// V2, V4: a process that takes over from the former one is the same member in its next incarnation, and no sender reports it
/// as lost meanwhile. A sender that leaves is no longer a member once it has ended.
#[test]
fn an_upgrade_keeps_the_membership_and_a_leave_ends_it() {
    let mut senders = fleet(4, &json!({"leave": true}));
    senders.iter_mut().for_each(Sender::start);
    wait_until(&senders, "all see all", || all_see(&senders, &[(1, "answers"); 4]));
    let mut former = KillOnDrop(senders[3].child.take().unwrap());
    // Both processes run for a while, so each needs its own admin address.
    let path = senders[3].folder.path().join("config.json");
    let config = std::fs::read_to_string(&path).unwrap();
    let admin_address = free_address();
    let config = config.replace(&senders[3].admin_address.to_string(), &admin_address.to_string());
    std::fs::write(&path, config).unwrap();
    senders[3].admin_address = admin_address;
    senders[3].start();
    let taken_over = [(1, "answers"), (1, "answers"), (1, "answers"), (2, "answers")];
    wait_until(&senders, "all see the new process", || {
        let rows: Vec<_> = senders.iter().flat_map(Sender::members).collect();
        assert!(rows.iter().all(|(.., health)| health != "lost"), "{rows:?}");
        all_see(&senders, &taken_over)
    });
    wait_until(&senders, "the former process ends", || former.0.try_wait().unwrap().is_some());
    assert!(all_see(&senders, &taken_over), "the end of the former process changes nothing");

    let pid = senders[3].child.as_ref().unwrap().id().to_string();
    assert!(Command::new("kill").args(["-TERM", &pid]).status().unwrap().success());
    wait_until(&senders, "the sender has left", || {
        senders[..3].iter().all(|sender| sender.members().len() == 3)
    });
    let roster = senders[0].admin_command("fleet roster").unwrap();
    assert!(roster.contains(r#""why":"Left""#), "{roster}");
    assert!(senders[0].log().contains("n3 is leaving"), "{}", senders[0].log());
}

/// V6: when a majority of the voters is permanently lost, the remaining senders report that and agree on no change until an
/// operator starts a new epoch. Invalid input at the address for peers is dropped.
#[test]
fn an_operator_recovers_a_fleet_that_lost_its_majority() {
    let mut senders = fleet(4, &json!({}));
    senders.iter_mut().for_each(Sender::start);
    wait_until(&senders, "all see all", || all_see(&senders, &[(1, "answers"); 4]));
    let voters = senders[0].admin_command("fleet keepers").unwrap();
    let voters: Value = serde_json::from_str(voters.strip_prefix("done ").unwrap()).unwrap();
    let is_voter =
        |n: usize| voters["keepers"].as_array().unwrap().iter().any(|voter| voter["name"] == format!("n{n}"));
    let address: SocketAddr = voters["keepers"][0]["address"].as_str().unwrap().parse().unwrap();
    let invalid_sender = UdpSocket::bind("127.0.0.1:0").unwrap();
    for length in [0, 1, 13, 200, 60_000] {
        invalid_sender.send_to(&vec![7; length], address).unwrap();
    }
    let mut invalid_peer = TcpStream::connect(address).unwrap();
    invalid_peer.write_all(&[0xff; 64]).unwrap();
    let lost: Vec<usize> = (0..4).filter(|n| is_voter(*n)).take(2).collect();
    for n in &lost {
        senders[*n].kill();
    }
    let remaining: Vec<usize> = (0..4).filter(|n| !lost.contains(n)).collect();
    let view_number = |n: usize, key: &str| senders[n].view().and_then(|view| view[key].as_u64());
    wait_until(&senders, "one of three voters answers", || {
        remaining.iter().all(|n| view_number(*n, "keepers_answering") == Some(1))
    });
    let name = &senders[lost[0]].name;
    let refused = senders[remaining[0]].admin_command(&format!("fleet remove {name}")).unwrap();
    assert!(refused.starts_with("error not agreed on"), "{refused}");
    assert_eq!(senders[remaining[0]].admin_command("fleet refound").as_deref(), Some("done"));
    let removed = senders[remaining[1]].admin_command(&format!("fleet remove {name}"));
    assert_eq!(removed.as_deref(), Some("done"), "{}", senders[remaining[1]].log());
    wait_until(&senders, "both have the same three members", || {
        remaining.iter().all(|n| senders[*n].members().len() == 3)
    });
}

/// Invalid fleet settings prevent the start, and the error names all of them. Without a `fleet` section the sender runs
/// without a fleet.
#[test]
fn invalid_fleet_settings_prevent_the_start() {
    let mut invalid = Sender::new("n 0", free_address(), &[free_address()], json!({"keepers": 4}));
    invalid.start();
    let status = invalid.child.take().unwrap().wait().unwrap();
    assert_eq!(status.code(), Some(1));
    for error in ["member is \"n 0\"", "seeds: 1 listed", "keepers: 4 is not an odd number"] {
        assert!(invalid.log().contains(error), "{error}: {}", invalid.log());
    }
    let mut standalone = Sender::new("n0", free_address(), &[free_address(), free_address()], json!({}));
    let path = standalone.folder.path().join("config.json");
    let mut config: Value = serde_json::from_str(&std::fs::read_to_string(&path).unwrap()).unwrap();
    config.as_object_mut().unwrap().remove("fleet");
    std::fs::write(&path, config.to_string()).unwrap();
    standalone.start();
    wait_until(&[], "the sender answers", || standalone.admin_command("readyz").as_deref() == Some("done"));
    assert!(standalone.admin_command("fleet view").unwrap().starts_with("error this sender knows no fleet"));
    assert!(!standalone.state_folder().join("fleet.wal").exists());
}
