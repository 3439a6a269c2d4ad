//! The command line and the configuration in TOML, tried as a person would.
use figment::Figment;
use figment::providers::{Format, Toml};
use serde_json::Value;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;
use tempfile::TempDir;

fn message_sender() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_message-sender"));
    command.env_remove("PROXY_CONFIG").env_remove("PROXY_STATE").env_remove("PROXY_MGMT");
    command
}

fn answer(args: &[&str]) -> (i32, String) {
    told(message_sender().args(args).output().unwrap())
}

fn told(output: Output) -> (i32, String) {
    let text = [output.stdout, output.stderr].concat();
    (output.status.code().unwrap(), String::from_utf8(text).unwrap())
}

fn example() -> String {
    let (code, text) = answer(&["config", "example"]);
    assert_eq!(code, 0);
    text
}

/// A file of that name in a folder of its own.
fn file(name: &str, text: &str) -> (TempDir, PathBuf) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join(name);
    std::fs::write(&path, text).unwrap();
    (folder, path)
}

fn check(name: &str, text: &str) -> (i32, String) {
    let (_folder, path) = file(name, text);
    answer(&["check", path.to_str().unwrap()])
}

#[test]
fn the_example_can_be_used_and_has_every_key_that_the_schema_wants() {
    let (code, text) = check("example.toml", &example());
    assert_eq!((code, text.lines().count()), (0, 1), "{text}");
    let (code, schema) = answer(&["config", "schema"]);
    let schema: Value = serde_json::from_str(&schema).unwrap();
    assert_eq!((code, schema["required"].as_array().map(Vec::len)), (0, Some(6)), "{schema}");
}

#[test]
fn all_faults_are_told_at_once_each_with_its_place() {
    let faulty = example()
        .replace("max_attempts = 8", "max_attempts = 0")
        .replace("sockets = 512", "sokets = 512")
        .replace("worth = 3.0", "worth = \"much\"")
        .replace("repeat = \"fragile\"", "repeat = \"sometimes\"");
    let (code, text) = check("faulty.toml", &faulty);
    assert_eq!(code, 2, "{text}");
    for place in [
        "error: settings.limits.max_attempts: 0 is less",
        "error: limits: \"sockets\" is a required",
        "error: limits.sokets: unknown key",
        "error: settings.lanes[1].worth: ",
        "error: settings.lanes[2].repeat: ",
    ] {
        assert!(text.contains(place), "{place} is not in {text}");
    }
}

#[test]
fn figures_that_do_not_fit_each_other_are_told() {
    let faulty = example()
        .replace("zone = \"jhb-dc1\"", "zone = \"cpt-dc1\"")
        .replace("discovery = \"127.0.0.1:8500\"", "discovery = \"directory\"")
        .replace("mgmt = \"127.0.0.1:9901\"", "mgmt = \"127.0.0.1:5000\"");
    let (code, text) = check("faulty.toml", &faulty);
    assert_eq!((code, text.matches("error: ").count()), (2, 3), "{text}");
}

/// The platform may add keys to its JSON; in a file that a person writes they are slips.
#[test]
fn an_unknown_key_warns_in_json_and_fails_in_toml() {
    let spare = example().replace("disk_mb = 3.0", "disk_mb = 3.0\ndisc_mb = 4.0");
    let (code, text) = check("spare.toml", &spare);
    assert!(code == 2 && text.contains("error: limits.disc_mb"), "{text}");
    let json: Value = Figment::from(Toml::string(&spare)).extract().unwrap();
    let (code, text) = check("spare.json", &json.to_string());
    assert!(code == 0 && text.contains("warning: limits.disc_mb"), "{text}");
}

#[test]
fn values_are_shown_with_their_origins_and_secrets_are_not() {
    let (_folder, path) = file("c.toml", &example().replace("mgmt =", "#"));
    let path = path.to_str().unwrap();
    let mut show = message_sender();
    show.args(["config", "show", path]).env("MICADRUM_LIMITS__DISK_MB", "9").env("PROXY_MGMT", "127.0.0.1:7");
    let (code, text) = told(show.output().unwrap());
    assert_eq!(code, 0, "{text}");
    assert!(text.contains("limits.disk_mb = 9  # environment: MICADRUM_LIMITS__DISK_MB\n"), "{text}");
    assert!(text.contains(&format!("limits.sockets = 512  # file: {path}\n")), "{text}");
    assert!(text.contains("mgmt = \"127.0.0.1:7\"  # environment: PROXY_MGMT\n"), "{text}");
    assert!(text.contains("seed = (not shown)") && !text.contains("8c1f30d27a5be964"), "{text}");
}

#[test]
fn what_cannot_be_read_is_an_error_with_code_2() {
    let (code, text) = answer(&["check", "/nowhere/c.toml"]);
    assert!(code == 2 && text.contains("/nowhere/c.toml"), "{text}");
    let (code, text) = check("cut.json", "{\"listen\":");
    assert!(code == 2 && text.contains("EOF"), "{text}");
    let (code, text) = check("cut.toml", "listen = ");
    assert!(code == 2 && text.contains("line 1"), "{text}");
    let (code, text) = answer(&["check"]);
    assert!(code == 2 && text.contains("$PROXY_CONFIG"), "{text}");
    let (code, text) = answer(&["evacuate"]);
    assert!(code == 2 && text.contains("unrecognized"), "{text}");
}

/// Ended with the test.
struct Running(Child, std::io::Lines<BufReader<std::process::ChildStderr>>);

impl Running {
    fn start(config: &Path, state: &Path) -> Self {
        let mut command = message_sender();
        command.arg("run").arg("--config").arg(config).arg("--state").arg(state);
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let log = BufReader::new(child.stderr.take().unwrap()).lines();
        Self(child, log)
    }

    /// The rest of the next line of its log that begins so.
    fn logs(&mut self, start: &str) -> String {
        let found =
            self.1.by_ref().map_while(Result::ok).find_map(|l| l.strip_prefix(start).map(str::to_owned));
        found.unwrap_or_else(|| panic!("no line begins with {start:?}"))
    }

    fn reload(&self) {
        let hang_up = Command::new("kill").args(["-HUP", &self.0.id().to_string()]).status().unwrap();
        assert!(hang_up.success());
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[test]
fn a_sender_runs_by_toml_and_takes_up_changes_of_it() {
    let text = example().replace("127.0.0.1:5000", "127.0.0.1:0").replace("127.0.0.1:9901", "127.0.0.1:0");
    let (folder, path) = file("c.toml", &text);
    let mut sender = Running::start(&path, folder.path());
    sender.logs("listening on 127.0.0.1:");
    std::fs::write(&path, text.replace("max_calls = 15", "max_calls = 9")).unwrap();
    sender.reload();
    sender.logs("reloaded: ");
    std::fs::write(&path, text.replace("max_calls = 15", "max_cals = 15")).unwrap();
    sender.reload();
    sender.logs("not reloaded, keeping the running configuration: ");
}

/// An answer at the second address.
fn staff(address: &str, call: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    stream.write_all(format!("{call}\n").as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer.trim_end().to_owned()
}

/// The next line of a log in JSON whose message begins so.
fn next(sender: &mut Running, message: &str) -> Value {
    loop {
        let line = sender.1.next().unwrap().unwrap();
        let line: Value = serde_json::from_str(&line).unwrap_or_else(|e| panic!("{line}: {e}"));
        assert!(line["sender"].is_string() && line["level"].is_string() && line["timestamp"].is_string());
        if line["message"].as_str().unwrap().starts_with(message) {
            return line;
        }
    }
}

/// The log in JSON: each line an object with level, message and the sender's name; its level is taken up by SIGHUP.
#[test]
fn a_log_has_a_form_and_a_level_that_changes() {
    let text = example().replace("127.0.0.1:5000", "127.0.0.1:0").replace("127.0.0.1:9901", "127.0.0.1:0");
    let (folder, path) = file("c.toml", &format!("{text}\n[log]\nform = \"json\"\nlevel = \"info\"\n"));
    let mut sender = Running::start(&path, folder.path());
    let mgmt = next(&mut sender, "second address: ")["message"].as_str().unwrap()[16..].to_owned();
    next(&mut sender, "listening on ");
    assert_eq!(staff(&mgmt, "evacuate"), "done");
    assert_eq!(next(&mut sender, "staff: Evacuate")["level"], "INFO");
    std::fs::write(&path, format!("{text}\n[log]\nform = \"json\"\nlevel = \"warn\"\n")).unwrap();
    sender.reload();
    // Taken up a little later: then what is told at the lower level falls away, and what is told above it stays.
    let quiet = (0..100).any(|_| {
        assert_eq!(staff(&mgmt, "activate"), "done");
        assert!(staff(&mgmt, "exclude nobody").starts_with("error"));
        let first = next(&mut sender, "staff: ");
        if first["level"] == "INFO" {
            assert_eq!(next(&mut sender, "staff: ")["level"], "WARN");
        }
        first["level"] == "WARN"
    });
    assert!(quiet, "the level is never taken up");
    std::fs::write(&path, "listen =").unwrap();
    sender.reload();
    assert_eq!(next(&mut sender, "not reloaded")["level"], "WARN");
}

/// One place in the code writes no more than its bound, and says how many lines it left out.
#[test]
fn a_log_has_a_bounded_rate() {
    let text = example().replace("127.0.0.1:5000", "127.0.0.1:0").replace("127.0.0.1:9901", "127.0.0.1:0");
    let (folder, path) = file("c.toml", &format!("{text}\n[log]\nform = \"logfmt\"\na_second = 1\n"));
    let mut sender = Running::start(&path, folder.path());
    let line = sender.1.by_ref().map_while(Result::ok).find(|line| line.contains("second address")).unwrap();
    let mgmt = line.split("second address: ").nth(1).unwrap().split(['"', ' ']).next().unwrap().to_owned();
    for _ in 0..40 {
        staff(&mgmt, "evacuate");
    }
    std::thread::sleep(Duration::from_millis(1_200));
    staff(&mgmt, "evacuate");
    let lines = sender.1.by_ref().map_while(Result::ok).filter(|line| line.contains("staff: Evacuate"));
    let mut told = 0;
    let last = lines.inspect(|_| told += 1).find(|line| line.contains("left_out=")).unwrap();
    assert!(last.contains("sender=") && last.contains("level=info"), "{last}");
    assert!(told < 20, "{told} of 41 lines were told");
}

/// A standard error that nobody takes from holds nothing up, and the lines that nobody took are counted.
#[test]
fn a_log_that_nobody_takes_holds_nothing_up() {
    let text = example().replace("127.0.0.1:5000", "127.0.0.1:0").replace("127.0.0.1:9901", "127.0.0.1:0");
    let (folder, path) = file("c.toml", &text);
    let mut sender = Running::start(&path, folder.path());
    let mgmt = sender.logs("second address: ");
    sender.logs("listening on ");
    // Twice what a pipe takes, with nobody at its other end.
    for _ in 0..2_500 {
        let answer = staff(&mgmt, &format!("exclude {}", "x".repeat(60)));
        assert!(answer.starts_with("error ") && !answer.contains("not done in time"), "{answer}");
    }
    assert_eq!(staff(&mgmt, "readyz"), "done");
    let untaken = sender.1.by_ref().map_while(Result::ok).take(2_400).find_map(|line| {
        staff(&mgmt, "evacuate");
        line.split(" not_taken=").nth(1)?.parse::<u64>().ok()
    });
    assert!(untaken.is_some_and(|lines| lines > 100), "{untaken:?}");
}

#[test]
fn a_sender_does_not_run_by_a_faulty_file() {
    let (folder, path) = file("c.toml", &example().replace("sockets = 512", "sockets = 0"));
    let mut run = message_sender();
    run.arg("run").arg("--config").arg(&path).arg("--state").arg(folder.path());
    let (code, text) = told(run.output().unwrap());
    assert!(code == 2 && text.contains("error: limits.sockets: 0 is less"), "{text}");
}
