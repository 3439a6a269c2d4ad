//! How CI passes over the tests that `KNOWN-RED.txt` names: its scripts, run on a small crate.
use std::path::Path;
use std::process::Command;
use tempfile::TempDir;

const MANIFEST: &str = "[package]\nname = \"sample\"\nversion = \"0.1.0\"\nedition = \"2024\"\n";
const LOCK: &str = "version = 4\n\n[[package]]\nname = \"sample\"\nversion = \"0.1.0\"\n";
/// Two tests that fail, three that pass, one of them with a name that begins with a failing one's, and a doc test.
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
/// Holds a test by the name of one in the library.
const INTEGRATION: &str = "#[test] fn passes() {}\n";
const FAILS: &str = "fails | cargo test fails, no seed | panics at once | issue 7\n";
const FIRST_FAILS: &str = "first::fails | cargo test first::fails, seed 1 | panics | issue 8\n";

/// A sample crate with that list, if any.
fn sample(list: Option<&str>) -> TempDir {
    let folder = tempfile::tempdir().unwrap();
    let write = |name: &str, text: &str| {
        let path = folder.path().join(name);
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
    folder
}

/// Whether a script of CI ended well in that folder, and what it printed.
fn script(name: &str, arguments: &[&str], folder: &Path) -> (bool, String) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(".ci").join(name);
    let mut command = Command::new(path);
    command.args(arguments).current_dir(folder).env("CARGO_TARGET_DIR", folder.join("target"));
    let output = command.env("CARGO_NET_OFFLINE", "true").output().unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8(text).unwrap())
}

/// The tests that a run of all counted as passed and as failed, with doc tests.
fn counts(text: &str) -> (usize, usize) {
    let all = text.split("known red: ").next().unwrap();
    let count = |word: &str| {
        let results = all.lines().filter(|line| line.starts_with("test result: "));
        let parts =
            results.flat_map(|line| line.split(['.', ';'])).filter_map(|part| part.trim().strip_suffix(word));
        parts.map(|number| number.trim().parse::<usize>().unwrap()).sum()
    };
    (count(" passed"), count(" failed"))
}

#[test]
fn ci_passes_over_exactly_the_listed_tests() {
    let list = format!("# Faults to fix first.\n\n{FAILS}{FIRST_FAILS}");
    let folder = sample(Some(&list));
    let (good, text) = script("workspace-tests", &[], folder.path());
    assert!(good, "{text}");
    assert_eq!(counts(&text), (5, 0), "{text}");
    for line in [FAILS, FIRST_FAILS] {
        assert!(text.contains(&format!("known red: {line}")), "{text}");
    }
    for line in ["known red: fails FAILED\n", "known red: first::fails FAILED\n"] {
        assert!(text.contains(line), "{text}");
    }
}

#[test]
fn ci_fails_for_a_failing_test_that_is_not_listed() {
    let folder = sample(Some(FAILS));
    let (good, text) = script("workspace-tests", &[], folder.path());
    assert!(!good && text.contains("test first::fails ... FAILED"), "{text}");
    for list in [None, Some("")] {
        let (good, text) = script("workspace-tests", &[], sample(list).path());
        assert!(!good, "{text}");
        assert_eq!(counts(&text), (3, 2), "{list:?}: {text}");
    }
}

#[test]
fn ci_tells_that_a_listed_test_passes() {
    let list = format!("{FAILS}{FIRST_FAILS}fails_not | cargo test fails_not, any | failed once | issue 9\n");
    let folder = sample(Some(&list));
    let (good, text) = script("workspace-tests", &[], folder.path());
    assert!(good, "{text}");
    assert_eq!(counts(&text), (4, 0), "{text}");
    assert!(text.contains("known red: fails_not PASSED now: it should leave KNOWN-RED.txt\n"), "{text}");
}

#[test]
fn a_list_that_cannot_be_read_is_refused() {
    let refused = |list: &str, cause: &str| {
        let folder = sample(Some(list));
        let (good, text) = script("known-red", &["KNOWN-RED.txt"], folder.path());
        assert!(!good && text.contains(cause), "{list}: {text}");
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
        refused(line, &format!("cannot be read: {line}"));
    }
    refused(&FAILS.repeat(2), "listed twice: fails");
    refused(&FAILS.replace("fails |", "fail |"), "0 tests have the name fail");
    refused(&FAILS.replace("fails |", "passes |"), "2 tests have the name passes");
}
