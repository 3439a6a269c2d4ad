//! Several processes of the program that know one another: V1, V2, V4 and V6 of `docs/fleet.md` on sockets.
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Far longer than anything here takes: only a failure waits for it.
const PATIENCE: Duration = Duration::from_secs(60);

/// An address for datagrams and connections that nothing else takes. Each has a loopback IP of its own: a port that was free a
/// moment ago at 127.0.0.1 can be given to any connection or listener there before its sender binds it.
fn free() -> SocketAddr {
    static GIVEN: AtomicU32 = AtomicU32::new(0);
    loop {
        let [.., high, low] = GIVEN.fetch_add(1, Ordering::Relaxed).to_be_bytes();
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
    mgmt: SocketAddr,
    folder: TempDir,
    child: Option<Child>,
}

impl Sender {
    fn new(name: &str, listen: SocketAddr, seeds: &[SocketAddr], fleet: Value) -> Self {
        let folder = tempfile::tempdir().unwrap();
        std::fs::create_dir(folder.path().join("state")).unwrap();
        let mgmt = free();
        let mut part = json!({"name": "test", "member": name, "machine": format!("m-{name}"), "listen": listen,
            "seeds": seeds, "keepers": 3, "suspect_ms": 1500});
        part.as_object_mut().unwrap().extend(fleet.as_object().cloned().unwrap_or_default());
        let config = json!({"name": name, "listen": free(), "mgmt": mgmt, "discovery": free(), "seed": "7",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512, "disk_mb": 3},
            "known": {"revision": 1, "complete": true, "members": []}, "fleet": part,
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
        Self { name: name.to_owned(), mgmt, folder, child: None }
    }

    fn state(&self) -> std::path::PathBuf {
        self.folder.path().join("state")
    }

    fn start(&mut self) {
        let log = std::fs::File::options().create(true).append(true).open(self.folder.path().join("log"));
        let child = Command::new(env!("CARGO_BIN_EXE_message-sender"))
            .env("PROXY_CONFIG", self.folder.path().join("config.json"))
            .env("PROXY_STATE", self.state())
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

    /// The answer to a call at the second address; none while nobody listens.
    fn ask(&self, line: &str) -> Option<String> {
        let mut stream = TcpStream::connect(self.mgmt).ok()?;
        stream.write_all(format!("{line}\n").as_bytes()).ok()?;
        let mut answer = String::new();
        BufReader::new(stream).read_line(&mut answer).ok()?;
        Some(answer.trim_end().to_owned())
    }

    fn view(&self) -> Option<Value> {
        serde_json::from_str(self.ask("fleet view")?.strip_prefix("done ")?).ok()
    }

    /// Its members as (name, incarnation, standing, health), in the order of their numbers.
    fn members(&self) -> Vec<(String, u64, String, String)> {
        let word = |row: &Value, key: &str| row[key].as_str().unwrap().to_owned();
        let rows = self.view().and_then(|view| view["members"].as_array().cloned()).unwrap_or_default();
        let row = |row: &Value| {
            (
                word(row, "name"),
                row["incarnation"].as_u64().unwrap(),
                word(row, "standing"),
                word(row, "health"),
            )
        };
        rows.iter().map(row).collect()
    }

    /// The figure of that name and label, from `telemetry`.
    fn figure(&self, name: &str) -> Option<f64> {
        let mut stream = TcpStream::connect(self.mgmt).ok()?;
        stream.write_all(b"telemetry\n").ok()?;
        let mut lines = BufReader::new(stream).lines().map_while(Result::ok);
        lines.find_map(|line| line.strip_prefix(name)?.trim().parse().ok())
    }

    fn log(&self) -> String {
        std::fs::read_to_string(self.folder.path().join("log")).unwrap_or_default()
    }
}

/// A process that ends with its test.
struct Ended(Child);

impl Drop for Ended {
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

fn until(senders: &[Sender], what: &str, mut ok: impl FnMut() -> bool) {
    let given_up = Instant::now() + PATIENCE;
    while !ok() {
        if Instant::now() > given_up {
            let tails: Vec<String> =
                senders.iter().map(|s| format!("{}: {:?}\n{}", s.name, s.members(), s.log())).collect();
            panic!("never: {what}\n{}", tails.join("\n"));
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// So many senders, the first three of them the seeds.
fn fleet(count: usize, more: &Value) -> Vec<Sender> {
    let addresses: Vec<SocketAddr> = (0..count).map(|_| free()).collect();
    let sender = |(n, address): (usize, &SocketAddr)| {
        Sender::new(&format!("n{n}"), *address, &addresses[..3], more.clone())
    };
    addresses.iter().enumerate().map(sender).collect()
}

fn all_see(senders: &[Sender], wanted: &[(u64, &str)]) -> bool {
    let wanted: Vec<_> = wanted
        .iter()
        .enumerate()
        .map(|(n, (incarnation, health))| {
            (format!("n{n}"), *incarnation, "in".to_owned(), (*health).to_owned())
        })
        .collect();
    senders.iter().filter(|s| s.child.is_some()).all(|s| {
        let mut members = s.members();
        members.sort();
        members == wanted
    })
}

fn copy(from: &Path, to: &Path) {
    for entry in std::fs::read_dir(from).unwrap() {
        let entry = entry.unwrap();
        if entry.file_type().unwrap().is_file() {
            std::fs::copy(entry.path(), to.join(entry.file_name())).unwrap();
        }
    }
}

/// V1, V3, V4, V6: a fleet is founded in any order, tells a killed one from one that answers, knows it again in a higher
/// incarnation, comes back whole after all were killed, and of two on copies of one folder one stops and says why.
#[test]
fn a_fleet_is_founded_and_comes_back() {
    let mut senders = fleet(4, &json!({}));
    for n in [3, 1, 0, 2] {
        senders[n].start();
    }
    until(&senders, "all see all", || all_see(&senders, &[(1, "answers"); 4]));
    senders[3].kill();
    let lost = [(1, "answers"), (1, "answers"), (1, "answers"), (1, "lost")];
    until(&senders, "the killed one is held lost, and still belongs", || all_see(&senders, &lost));
    let lost_one = r#"sender_fleet_members{health="lost"}"#;
    until(&senders, "figures say so", || senders[0].figure(lost_one) == Some(1.0));
    assert_eq!(senders[0].figure(r#"sender_fleet_keepers{which="all"}"#), Some(3.0));
    assert!(senders[0].log().contains("fleet: n3 is lost"), "{}", senders[0].log());
    senders[3].start();
    let back = [(1, "answers"), (1, "answers"), (1, "answers"), (2, "answers")];
    until(&senders, "it is back in its second incarnation", || all_see(&senders, &back));
    senders.iter_mut().for_each(Sender::kill);
    senders.iter_mut().for_each(Sender::start);
    let whole = [(2, "answers"), (2, "answers"), (2, "answers"), (3, "answers")];
    until(&senders, "all are back", || all_see(&senders, &whole));

    let seeds: Vec<SocketAddr> = {
        let config = std::fs::read_to_string(senders[0].folder.path().join("config.json")).unwrap();
        serde_json::from_value(serde_json::from_str::<Value>(&config).unwrap()["fleet"]["seeds"].clone())
            .unwrap()
    };
    let mut copied = Sender::new("n3", free(), &seeds, json!({}));
    copy(&senders[3].state(), &copied.state());
    copied.start();
    let given_up = Instant::now() + PATIENCE;
    let status = loop {
        if let Some(status) = copied.child.as_mut().unwrap().try_wait().unwrap() {
            break status;
        }
        assert!(Instant::now() < given_up, "the copy goes on:\n{}", copied.log());
        std::thread::sleep(Duration::from_millis(50));
    };
    assert_eq!(status.code(), Some(3));
    assert!(copied.log().contains("copies of one folder"), "{}", copied.log());
    assert!(all_see(&senders, &whole), "the first one goes on");
}

/// V4: one that comes back with an empty folder is a new member, and its former self is gone. Staff remove another.
#[test]
fn an_emptied_folder_is_a_new_member() {
    let mut senders = fleet(4, &json!({}));
    senders.iter_mut().for_each(Sender::start);
    until(&senders, "all see all", || all_see(&senders, &[(1, "answers"); 4]));
    senders[3].kill();
    std::fs::remove_file(senders[3].state().join("fleet.wal")).unwrap();
    senders[3].start();
    let number = |s: &Sender| {
        let view = s.view()?;
        view["members"].as_array()?.iter().find(|m| m["name"] == "n3")?["number"].as_u64()
    };
    until(&senders, "it has a new number at all", || senders.iter().all(|s| number(s) == Some(5)));
    let roster = senders[0].ask("fleet roster").unwrap();
    assert!(roster.contains(r#""why":"Replaced""#), "{roster}");
    until(&senders, "all have one mark", || {
        let marks: Vec<_> = senders.iter().map(|s| s.ask("fleet mark")).collect();
        marks[0].as_ref().is_some_and(|mark| mark.contains("view")) && marks.iter().all(|m| *m == marks[0])
    });
    senders[3].kill();
    assert_eq!(senders[1].ask("fleet remove n3").as_deref(), Some("done"));
    until(&senders, "all have three", || senders[..3].iter().all(|s| s.members().len() == 3));
    assert!(senders[1].ask("fleet remove n3").unwrap().starts_with("error no member is called"));
    assert!(senders[0].ask("fleet refound").unwrap().starts_with("error 3 of 3 keepers answer"));
}

/// V2, V4: a new version that takes over is the same member in its next incarnation, and nobody holds it lost meanwhile. One
/// that is told to leave is gone once it has ended.
#[test]
fn an_upgrade_keeps_the_membership_and_a_leave_ends_it() {
    let mut senders = fleet(4, &json!({"leave": true}));
    senders.iter_mut().for_each(Sender::start);
    until(&senders, "all see all", || all_see(&senders, &[(1, "answers"); 4]));
    let mut former = Ended(senders[3].child.take().unwrap());
    // Both run for a while, each with a second address of its own.
    let path = senders[3].folder.path().join("config.json");
    let config = std::fs::read_to_string(&path).unwrap();
    let mgmt = free();
    std::fs::write(&path, config.replace(&senders[3].mgmt.to_string(), &mgmt.to_string())).unwrap();
    senders[3].mgmt = mgmt;
    senders[3].start();
    let taken_over = [(1, "answers"), (1, "answers"), (1, "answers"), (2, "answers")];
    until(&senders, "all see the new one", || {
        let rows: Vec<_> = senders.iter().flat_map(Sender::members).collect();
        assert!(rows.iter().all(|(.., health)| health != "lost"), "{rows:?}");
        all_see(&senders, &taken_over)
    });
    until(&senders, "the former process ends", || former.0.try_wait().unwrap().is_some());
    assert!(all_see(&senders, &taken_over), "its end changes nothing");

    let pid = senders[3].child.as_ref().unwrap().id().to_string();
    assert!(Command::new("kill").args(["-TERM", &pid]).status().unwrap().success());
    until(&senders, "it has left", || senders[..3].iter().all(|s| s.members().len() == 3));
    let roster = senders[0].ask("fleet roster").unwrap();
    assert!(roster.contains(r#""why":"Left""#), "{roster}");
    assert!(senders[0].log().contains("n3 is leaving"), "{}", senders[0].log());
}

/// V6: with a majority of the keepers lost for good the rest says so, guesses nothing, and staff have one way out. Bad input at
/// the peers' address is dropped.
#[test]
fn staff_found_anew_what_lost_its_majority() {
    let mut senders = fleet(4, &json!({}));
    senders.iter_mut().for_each(Sender::start);
    until(&senders, "all see all", || all_see(&senders, &[(1, "answers"); 4]));
    let keepers = senders[0].ask("fleet keepers").unwrap();
    let keepers: Value = serde_json::from_str(keepers.strip_prefix("done ").unwrap()).unwrap();
    let keeper =
        |n: usize| keepers["keepers"].as_array().unwrap().iter().any(|k| k["name"] == format!("n{n}"));
    let address: SocketAddr = keepers["keepers"][0]["address"].as_str().unwrap().parse().unwrap();
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    for length in [0, 1, 13, 200, 60_000] {
        stranger.send_to(&vec![7; length], address).unwrap();
    }
    let mut silent = TcpStream::connect(address).unwrap();
    silent.write_all(&[0xff; 64]).unwrap();
    let lost: Vec<usize> = (0..4).filter(|n| keeper(*n)).take(2).collect();
    for n in &lost {
        senders[*n].kill();
    }
    let left: Vec<usize> = (0..4).filter(|n| !lost.contains(n)).collect();
    let one = |n: usize, key: &str| senders[n].view().and_then(|view| view[key].as_u64());
    until(&senders, "one of three keepers answers", || {
        left.iter().all(|n| one(*n, "keepers_answering") == Some(1))
    });
    let name = &senders[lost[0]].name;
    let refused = senders[left[0]].ask(&format!("fleet remove {name}")).unwrap();
    assert!(refused.starts_with("error not agreed on"), "{refused}");
    assert_eq!(senders[left[0]].ask("fleet refound").as_deref(), Some("done"));
    let removed = senders[left[1]].ask(&format!("fleet remove {name}"));
    assert_eq!(removed.as_deref(), Some("done"), "{}", senders[left[1]].log());
    until(&senders, "both have the same three", || left.iter().all(|n| senders[*n].members().len() == 3));
}

/// Bad input: figures that no fleet can have stop the start, all of them named. Without the part there is no fleet.
#[test]
fn impossible_figures_stop_the_start() {
    let mut wrong = Sender::new("n 0", free(), &[free()], json!({"keepers": 4}));
    wrong.start();
    let status = wrong.child.take().unwrap().wait().unwrap();
    assert_eq!(status.code(), Some(1));
    for fault in ["member is \"n 0\"", "seeds: 1 are named", "keepers: 4 is not an odd number"] {
        assert!(wrong.log().contains(fault), "{fault}: {}", wrong.log());
    }
    let mut alone = Sender::new("n0", free(), &[free(), free()], json!({}));
    let path = alone.folder.path().join("config.json");
    let mut config: Value = serde_json::from_str(&std::fs::read_to_string(&path).unwrap()).unwrap();
    config.as_object_mut().unwrap().remove("fleet");
    std::fs::write(&path, config.to_string()).unwrap();
    alone.start();
    until(&[], "it answers", || alone.ask("readyz").as_deref() == Some("done"));
    assert!(alone.ask("fleet view").unwrap().starts_with("error this sender knows no fleet"));
    assert!(!alone.state().join("fleet.wal").exists());
}
