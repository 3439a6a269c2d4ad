//! The CI scripts that exclude the tests listed in `KNOWN-RED.txt` from the workspace's tests, run on a sample crate.
use std::path::Path;
use std::process::Command;
use tempfile::TempDir;

const MANIFEST: &str = "[package]\nname = \"sample\"\nversion = \"0.1.0\"\nedition = \"2024\"\n";
const LOCK: &str = "version = 4\n\n[[package]]\nname = \"sample\"\nversion = \"0.1.0\"\n";
/// Two failing tests, three passing ones and a doc test. One passing test's name begins with a failing one's name.
const LIBRARY: &str = "
/// ```
/// assert_eq!(sample::one(), 1);
/// ```
pub fn one() -> u32 { 1 }
#[test] fn fails() { panic!() }
#[test] fn fails_not() {}
#[test] fn passes() {}
mod first { #[test] fn same_name() {} #[test] fn fails() { panic!() } }
";
/// A test with the same name as one in the library.
const INTEGRATION: &str = "#[test] fn passes() {}\n";
const FAILS: &str = "fails | cargo test fails, no seed | panics at once | issue 7\n";
const FIRST_FAILS: &str = "first::fails | cargo test first::fails, seed 1 | panics | issue 8\n";

/// Creates the sample crate, with `list` as its `KNOWN-RED.txt` if given.
fn sample_crate(list: Option<&str>) -> TempDir {
    let directory = tempfile::tempdir().unwrap();
    let write = |name: &str, text: &str| {
        let path = directory.path().join(name);
        std::fs::create_dir_all(path.parent().unwrap()).unwrap();
        std::fs::write(path, text).unwrap();
    };
    write("Cargo.toml", MANIFEST);
    write("Cargo.lock", LOCK);
    write("src/lib.rs", LIBRARY);
    write("tests/integration.rs", INTEGRATION);
    if let Some(list) = list {
        write("KNOWN-RED.txt", list);
    }
    directory
}

/// Runs a CI script in `directory`, and returns whether it succeeded and its output.
fn run_script(name: &str, arguments: &[&str], directory: &Path) -> (bool, String) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(".ci").join(name);
    let mut command = Command::new(path);
    command.args(arguments).current_dir(directory).env("CARGO_TARGET_DIR", directory.join("target"));
    let output = command.env("CARGO_NET_OFFLINE", "true").output().unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8(text).unwrap())
}

/// The numbers of passed and failed tests, doc tests included, in the run before that of the listed tests.
fn count_results(text: &str) -> (usize, usize) {
    let main_run = text.split("known red: ").next().unwrap();
    let count = |word: &str| {
        let results = main_run.lines().filter(|line| line.starts_with("test result: "));
        let parts =
            results.flat_map(|line| line.split(['.', ';'])).filter_map(|part| part.trim().strip_suffix(word));
        parts.map(|number| number.trim().parse::<usize>().unwrap()).sum()
    };
    (count(" passed"), count(" failed"))
}

#[test]
fn ci_excludes_exactly_the_listed_tests() {
    let list = format!("# Faults to fix first.\n\n{FAILS}{FIRST_FAILS}");
    let directory = sample_crate(Some(&list));
    let (succeeded, text) = run_script("workspace-tests", &[], directory.path());
    assert!(succeeded, "{text}");
    assert_eq!(count_results(&text), (5, 0), "{text}");
    for line in [FAILS, FIRST_FAILS] {
        assert!(text.contains(&format!("known red: {line}")), "{text}");
    }
    for line in ["known red: fails FAILED\n", "known red: first::fails FAILED\n"] {
        assert!(text.contains(line), "{text}");
    }
}

#[test]
fn ci_fails_if_an_unlisted_test_fails() {
    let directory = sample_crate(Some(FAILS));
    let (succeeded, text) = run_script("workspace-tests", &[], directory.path());
    assert!(!succeeded && text.contains("test first::fails ... FAILED"), "{text}");
    for list in [None, Some("")] {
        let (succeeded, text) = run_script("workspace-tests", &[], sample_crate(list).path());
        assert!(!succeeded, "{text}");
        assert_eq!(count_results(&text), (3, 2), "{list:?}: {text}");
    }
}

#[test]
fn ci_reports_a_listed_test_that_passes() {
    let list = format!("{FAILS}{FIRST_FAILS}fails_not | cargo test fails_not, any | failed once | issue 9\n");
    let directory = sample_crate(Some(&list));
    let (succeeded, text) = run_script("workspace-tests", &[], directory.path());
    assert!(succeeded, "{text}");
    assert_eq!(count_results(&text), (4, 0), "{text}");
    assert!(text.contains("known red: fails_not PASSED now: it should leave KNOWN-RED.txt\n"), "{text}");
}

#[test]
fn an_invalid_list_is_rejected() {
    let assert_rejected = |list: &str, cause: &str| {
        let directory = sample_crate(Some(list));
        let (succeeded, text) = run_script("known-red", &["KNOWN-RED.txt"], directory.path());
        assert!(!succeeded && text.contains(cause), "{list}: {text}");
    };
    for line in [
        "fails",
        "fails | cargo test | issue 7",
        "fails | cargo test | panics | more | issue 7",
        "fails | | panics | issue 7",
        "fails |  | panics | issue 7",
        "fails | cargo test | panics | issue",
        "fails | cargo test | panics | issue seven",
        "fails here | cargo test | panics | issue 7",
        " fails | cargo test | panics | issue 7",
    ] {
        assert_rejected(line, &format!("cannot be read: {line}"));
    }
    assert_rejected(&FAILS.repeat(2), "listed twice: fails");
    assert_rejected(&FAILS.replace("fails |", "fail |"), "0 tests have the name fail");
    assert_rejected(&FAILS.replace("fails |", "passes |"), "2 tests have the name passes");
}
