//! The command line and TOML configurations, used as an operator would.
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

fn run_command(args: &[&str]) -> (i32, String) {
    code_and_text(message_sender().args(args).output().unwrap())
}

fn code_and_text(output: Output) -> (i32, String) {
    let text = [output.stdout, output.stderr].concat();
    (output.status.code().unwrap(), String::from_utf8(text).unwrap())
}

fn example() -> String {
    let (code, text) = run_command(&["config", "example"]);
    assert_eq!(code, 0);
    text
}

/// Writes a file into a new temporary directory.
fn temporary_file(name: &str, text: &str) -> (TempDir, PathBuf) {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join(name);
    std::fs::write(&path, text).unwrap();
    (directory, path)
}

fn check(name: &str, text: &str) -> (i32, String) {
    let (_directory, path) = temporary_file(name, text);
    run_command(&["check", path.to_str().unwrap()])
}

#[test]
fn the_example_is_valid_and_has_all_required_keys() {
    let (code, text) = check("example.toml", &example());
    assert_eq!((code, text.lines().count()), (0, 1), "{text}");
    let (code, schema) = run_command(&["config", "schema"]);
    let schema: Value = serde_json::from_str(&schema).unwrap();
    assert_eq!((code, schema["required"].as_array().map(Vec::len)), (0, Some(6)), "{schema}");
}

#[test]
fn check_reports_all_errors_with_their_keys() {
    let invalid = example()
        .replace("max_attempts = 8", "max_attempts = 0")
        .replace("sockets = 512", "sokets = 512")
        .replace("worth = 3.0", "worth = \"much\"")
        .replace("repeat = \"fragile\"", "repeat = \"sometimes\"");
    let (code, text) = check("invalid.toml", &invalid);
    assert_eq!(code, 2, "{text}");
    for error in [
        "error: settings.limits.max_attempts: 0 is less",
        "error: limits: \"sockets\" is a required",
        "error: limits.sokets: unknown key",
        "error: settings.lanes[1].worth: ",
        "error: settings.lanes[2].repeat: ",
    ] {
        assert!(text.contains(error), "{error} is not in {text}");
    }
}

#[test]
fn check_reports_values_that_contradict_each_other() {
    let invalid = example()
        .replace("zone = \"jhb-dc1\"", "zone = \"cpt-dc1\"")
        .replace("discovery = \"127.0.0.1:8500\"", "discovery = \"directory\"")
        .replace("mgmt = \"127.0.0.1:9901\"", "mgmt = \"127.0.0.1:5000\"");
    let (code, text) = check("invalid.toml", &invalid);
    assert_eq!((code, text.matches("error: ").count()), (2, 3), "{text}");
}

/// The platform may add keys to its JSON, while an unknown key in an operator's TOML file is a typing mistake.
#[test]
fn an_unknown_key_warns_in_json_and_fails_in_toml() {
    let text_with_unknown_key = example().replace("disk_mb = 3.0", "disk_mb = 3.0\ndisc_mb = 4.0");
    let (code, text) = check("unknown.toml", &text_with_unknown_key);
    assert!(code == 2 && text.contains("error: limits.disc_mb"), "{text}");
    let json: Value = Figment::from(Toml::string(&text_with_unknown_key)).extract().unwrap();
    let (code, text) = check("unknown.json", &json.to_string());
    assert!(code == 0 && text.contains("warning: limits.disc_mb"), "{text}");
}

#[test]
fn config_show_prints_origins_and_hides_secrets() {
    let (_directory, path) = temporary_file("c.toml", &example().replace("mgmt =", "#"));
    let path = path.to_str().unwrap();
    let mut show = message_sender();
    show.args(["config", "show", path]).env("MICADRUM_LIMITS__DISK_MB", "9").env("PROXY_MGMT", "127.0.0.1:7");
    let (code, text) = code_and_text(show.output().unwrap());
    assert_eq!(code, 0, "{text}");
    assert!(text.contains("limits.disk_mb = 9  # environment: MICADRUM_LIMITS__DISK_MB\n"), "{text}");
    assert!(text.contains(&format!("limits.sockets = 512  # file: {path}\n")), "{text}");
    assert!(text.contains("mgmt = \"127.0.0.1:7\"  # environment: PROXY_MGMT\n"), "{text}");
    assert!(text.contains("seed = (not shown)") && !text.contains("8c1f30d27a5be964"), "{text}");
}

#[test]
fn unreadable_files_and_unknown_commands_exit_with_code_2() {
    let (code, text) = run_command(&["check", "/nowhere/c.toml"]);
    assert!(code == 2 && text.contains("/nowhere/c.toml"), "{text}");
    let (code, text) = check("cut.json", "{\"listen\":");
    assert!(code == 2 && text.contains("EOF"), "{text}");
    let (code, text) = check("cut.toml", "listen = ");
    assert!(code == 2 && text.contains("line 1"), "{text}");
    let (code, text) = run_command(&["check"]);
    assert!(code == 2 && text.contains("$PROXY_CONFIG"), "{text}");
    let (code, text) = run_command(&["evacuate"]);
    assert!(code == 2 && text.contains("unrecognized"), "{text}");
}

/// A running sender and its log; killed when dropped.
struct SenderProcess {
    child: Child,
    log: std::io::Lines<BufReader<std::process::ChildStderr>>,
}

impl SenderProcess {
    fn start(config: &Path, state: &Path) -> Self {
        let mut command = message_sender();
        command.arg("run").arg("--config").arg(config).arg("--state").arg(state);
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let log = BufReader::new(child.stderr.take().unwrap()).lines();
        Self { child, log }
    }

    /// Reads the log up to the next line that begins with `prefix`, and returns the rest of that line.
    fn wait_for_log(&mut self, prefix: &str) -> String {
        let rest = self
            .log
            .by_ref()
            .map_while(Result::ok)
            .find_map(|line| line.strip_prefix(prefix).map(str::to_owned));
        rest.unwrap_or_else(|| panic!("no line begins with {prefix:?}"))
    }

    fn reload(&self) {
        let kill_status = Command::new("kill").args(["-HUP", &self.child.id().to_string()]).status().unwrap();
        assert!(kill_status.success());
    }
}

impl Drop for SenderProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn a_sender_reloads_its_toml_configuration() {
    let text = example().replace("127.0.0.1:5000", "127.0.0.1:0").replace("127.0.0.1:9901", "127.0.0.1:0");
    let (directory, path) = temporary_file("c.toml", &text);
    let mut sender = SenderProcess::start(&path, directory.path());
    sender.wait_for_log("listening on 127.0.0.1:");
    std::fs::write(&path, text.replace("max_calls = 15", "max_calls = 9")).unwrap();
    sender.reload();
    sender.wait_for_log("reloaded: ");
    std::fs::write(&path, text.replace("max_calls = 15", "max_cals = 15")).unwrap();
    sender.reload();
    sender.wait_for_log("not reloaded, keeping the running configuration: ");
}

/// Sends a request to the admin endpoint and returns the response.
fn admin_request(address: &str, request: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    stream.write_all(format!("{request}\n").as_bytes()).unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    response.trim_end().to_owned()
}

/// Reads a JSON log up to the next line whose message begins with `prefix`.
fn next_json_line(sender: &mut SenderProcess, prefix: &str) -> Value {
    loop {
        let line = sender.log.next().unwrap().unwrap();
        let line: Value = serde_json::from_str(&line).unwrap_or_else(|e| panic!("{line}: {e}"));
        assert!(line["sender"].is_string() && line["level"].is_string() && line["timestamp"].is_string());
        if line["message"].as_str().unwrap().starts_with(prefix) {
            return line;
        }
    }
}

/// Each line of a JSON log is an object with level, message and sender name. SIGHUP changes the minimum level.
#[test]
fn the_json_log_changes_its_level_at_reload() {
    let text = example().replace("127.0.0.1:5000", "127.0.0.1:0").replace("127.0.0.1:9901", "127.0.0.1:0");
    let (directory, path) =
        temporary_file("c.toml", &format!("{text}\n[log]\nform = \"json\"\nlevel = \"info\"\n"));
    let mut sender = SenderProcess::start(&path, directory.path());
    let admin_address =
        next_json_line(&mut sender, "second address: ")["message"].as_str().unwrap()[16..].to_owned();
    next_json_line(&mut sender, "listening on ");
    assert_eq!(admin_request(&admin_address, "evacuate"), "done");
    assert_eq!(next_json_line(&mut sender, "staff: Evacuate")["level"], "INFO");
    std::fs::write(&path, format!("{text}\n[log]\nform = \"json\"\nlevel = \"warn\"\n")).unwrap();
    sender.reload();
    // The reload takes effect after a delay. From then on, only lines of level WARN are written.
    let is_reloaded = (0..100).any(|_| {
        assert_eq!(admin_request(&admin_address, "activate"), "done");
        assert!(admin_request(&admin_address, "exclude nobody").starts_with("error"));
        let line = next_json_line(&mut sender, "staff: ");
        if line["level"] == "INFO" {
            assert_eq!(next_json_line(&mut sender, "staff: ")["level"], "WARN");
        }
        line["level"] == "WARN"
    });
    assert!(is_reloaded, "the new level never takes effect");
    std::fs::write(&path, "listen =").unwrap();
    sender.reload();
    assert_eq!(next_json_line(&mut sender, "not reloaded")["level"], "WARN");
}

/// The log is rate-limited for each call site, and reports the number of omitted lines.
#[test]
fn the_log_is_rate_limited() {
    let text = example().replace("127.0.0.1:5000", "127.0.0.1:0").replace("127.0.0.1:9901", "127.0.0.1:0");
    let (directory, path) =
        temporary_file("c.toml", &format!("{text}\n[log]\nform = \"logfmt\"\na_second = 1\n"));
    let mut sender = SenderProcess::start(&path, directory.path());
    let line =
        sender.log.by_ref().map_while(Result::ok).find(|line| line.contains("second address")).unwrap();
    let admin_address =
        line.split("second address: ").nth(1).unwrap().split(['"', ' ']).next().unwrap().to_owned();
    for _ in 0..40 {
        admin_request(&admin_address, "evacuate");
    }
    std::thread::sleep(Duration::from_millis(1_200));
    admin_request(&admin_address, "evacuate");
    let lines = sender.log.by_ref().map_while(Result::ok).filter(|line| line.contains("staff: Evacuate"));
    let mut written = 0;
    let last = lines.inspect(|_| written += 1).find(|line| line.contains("left_out=")).unwrap();
    assert!(last.contains("sender=") && last.contains("level=info"), "{last}");
    assert!(written < 20, "{written} of 41 lines were written");
}

/// Guards against a sender that blocks when nothing reads its standard error. It drops log lines and counts them.
#[test]
fn an_unread_log_does_not_block_the_sender() {
    let text = example().replace("127.0.0.1:5000", "127.0.0.1:0").replace("127.0.0.1:9901", "127.0.0.1:0");
    let (directory, path) = temporary_file("c.toml", &text);
    let mut sender = SenderProcess::start(&path, directory.path());
    let admin_address = sender.wait_for_log("second address: ");
    sender.wait_for_log("listening on ");
    // Twice the capacity of the pipe, which is not read meanwhile.
    for _ in 0..2_500 {
        let response = admin_request(&admin_address, &format!("exclude {}", "x".repeat(60)));
        assert!(response.starts_with("error ") && !response.contains("not done in time"), "{response}");
    }
    assert_eq!(admin_request(&admin_address, "readyz"), "done");
    let dropped = sender.log.by_ref().map_while(Result::ok).take(2_400).find_map(|line| {
        admin_request(&admin_address, "evacuate");
        line.split(" not_taken=").nth(1)?.parse::<u64>().ok()
    });
    assert!(dropped.is_some_and(|lines| lines > 100), "{dropped:?}");
}

#[test]
fn a_sender_does_not_start_with_an_invalid_configuration() {
    let (directory, path) = temporary_file("c.toml", &example().replace("sockets = 512", "sockets = 0"));
    let mut run = message_sender();
    run.arg("run").arg("--config").arg(&path).arg("--state").arg(directory.path());
    let (code, text) = code_and_text(run.output().unwrap());
    assert!(code == 2 && text.contains("error: limits.sockets: 0 is less"), "{text}");
}
