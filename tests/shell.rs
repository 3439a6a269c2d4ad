//! The command line and the configuration in TOML, tried as a person would.
use figment::Figment;
use figment::providers::{Format, Toml};
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use tempfile::TempDir;

fn micadrum() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_micadrum"));
    command.env_remove("PROXY_CONFIG").env_remove("PROXY_STATE").env_remove("PROXY_MGMT");
    command
}

fn answer(args: &[&str]) -> (i32, String) {
    told(micadrum().args(args).output().unwrap())
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
        "error: limits.sokets: not a key that is known",
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
    let mut show = micadrum();
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
        let mut command = micadrum();
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
    sender.logs("not reloaded, the running configuration stays: ");
}

#[test]
fn a_sender_does_not_run_by_a_faulty_file() {
    let (folder, path) = file("c.toml", &example().replace("sockets = 512", "sockets = 0"));
    let mut run = micadrum();
    run.arg("run").arg("--config").arg(&path).arg("--state").arg(folder.path());
    let (code, text) = told(run.output().unwrap());
    assert!(code == 2 && text.contains("error: limits.sockets: 0 is less"), "{text}");
}
