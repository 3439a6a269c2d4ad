//! Limits on the size and line width of the policy, which people on call must be able to read, and on the
//! layers that `docs/sender-architecture.md` describes.
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// The number of words in a file, comments included. Module docs, imports, heads of `impl` blocks and
/// `pub(super)` don't count, as a split into files adds them.
fn count_words(text: &str) -> usize {
    let (mut words, mut in_import) = (0, false);
    for line in text.lines() {
        let import = in_import || ["use ", "pub use ", "mod "].iter().any(|head| line.starts_with(head));
        in_import = import && !line.ends_with(';');
        if !import && !line.starts_with("impl ") && !line.starts_with("//!") {
            let line = line.replace("pub(super) ", "");
            let parts = line.split(|c: char| !c.is_alphanumeric() && c != '_');
            words += parts.filter(|part| !part.is_empty()).count();
        }
    }
    words
}

#[test]
fn the_policy_has_a_readable_size() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/policy");
    let files: Vec<_> = std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path()).collect();
    assert!(files.len() > 10, "{files:?}");
    let mut size = 0;
    for file in files {
        let text = std::fs::read_to_string(&file).unwrap();
        let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
        assert!(lines <= 200, "{} has {lines} non-blank lines", file.display());
        for (number, line) in text.lines().enumerate() {
            assert!(line.chars().count() <= 110, "{}:{} is too long", file.display(), number + 1);
        }
        assert!(text.starts_with("//! "), "{} has no module doc", file.display());
        if file.ends_with("mod.rs") {
            assert!(text.lines().next().is_some_and(|line| line.contains("src/interface.rs")));
        }
        size += count_words(&text);
    }
    // The policy had 7,993 words when it was one file at its bound of 1,200 non-blank lines.
    assert!(size <= 7_993, "{size} words");
}

/// For each module of `src/net`, the others that it refers to. The files of a folder, such as `host`, count
/// as one module.
fn module_uses() -> BTreeMap<String, BTreeSet<String>> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/net");
    let mut uses: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    let mut add_file = |name: &str, path: &Path| {
        let text = std::fs::read_to_string(path).unwrap();
        let text = text.split("#[cfg(test)]").next().unwrap().to_owned();
        let parts = text.split("super::").chain(text.split("crate::net::")).skip(1);
        let words = parts.map(|rest| rest.split(|c: char| !c.is_alphanumeric() && c != '_').next().unwrap());
        uses.entry(name.to_owned()).or_default().extend(words.map(str::to_owned));
    };
    for entry in std::fs::read_dir(&folder).unwrap().map(|entry| entry.unwrap().path()) {
        let name = entry.file_stem().unwrap().to_str().unwrap().to_owned();
        match entry.is_dir() {
            true => {
                let parts = std::fs::read_dir(&entry).unwrap().map(|part| part.unwrap().path());
                // Tests may refer to any module.
                parts.filter(|part| !part.ends_with("tests.rs")).for_each(|part| add_file(&name, &part));
            }
            false if name != "mod" => add_file(&name, &entry),
            false => {}
        }
    }
    let names: BTreeSet<String> = uses.keys().cloned().collect();
    uses.iter_mut().for_each(|(own, used)| used.retain(|name| names.contains(name) && name != own));
    uses
}

/// Guards against dependency cycles in `src/net`: six files once formed one, through the inputs of the event
/// loop.
#[test]
fn the_network_code_has_no_dependency_cycle() {
    let mut remaining = module_uses();
    assert!(remaining["host"].contains("pool") && remaining["input"].contains("relay"), "{remaining:?}");
    while !remaining.is_empty() {
        let leaves: Vec<String> =
            remaining.iter().filter(|(_, used)| used.is_empty()).map(|(name, _)| name.clone()).collect();
        assert!(!leaves.is_empty(), "a dependency cycle among {remaining:?}");
        remaining.retain(|name, _| !leaves.contains(name));
        remaining.values_mut().for_each(|used| used.retain(|name| !leaves.contains(name)));
    }
}

#[test]
fn files_of_the_event_loop_stay_short() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/net/host");
    for part in std::fs::read_dir(folder).unwrap().map(|part| part.unwrap().path()) {
        let lines = std::fs::read_to_string(&part).unwrap().lines().count();
        assert!(lines < 300, "{} has {lines} lines", part.display());
    }
}

/// The source files below a folder that contain one of `words`, without files named `tests`.
fn files_with(folder: &Path, words: &[&str]) -> BTreeSet<String> {
    let mut found = BTreeSet::new();
    for path in std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path()) {
        let name = path.file_stem().unwrap().to_str().unwrap();
        if name == "tests" {
            continue;
        }
        if path.is_dir() {
            found.extend(files_with(&path, words));
        } else if path.extension().is_some_and(|end| end == "rs") {
            let text = std::fs::read_to_string(&path).unwrap();
            if words.iter().any(|word| text.contains(word)) {
                found.insert(path.to_str().unwrap().to_owned());
            }
        }
    }
    found
}

/// Guards against leases, locks or orderings that a clock adjustment would change.
#[test]
fn only_the_incarnation_uses_the_time_of_day() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("system");
    let words = ["SystemTime", "UNIX_EPOCH", "Utc::now", "Local::now", "OffsetDateTime", "Zoned::now"];
    let folders = std::fs::read_dir(&root).unwrap().map(|entry| entry.unwrap().path().join("src"));
    let found: BTreeSet<String> =
        folders.filter(|folder| folder.is_dir()).flat_map(|folder| files_with(&folder, &words)).collect();
    // Derives the process's incarnation, which increases even if the clock was set back.
    let known = root.join("programs/src/members.rs");
    assert_eq!(found, BTreeSet::from([known.to_str().unwrap().to_owned()]));
}
