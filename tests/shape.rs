//! The module's size and line width, which people on call rely on, and the layout that `docs/sender-architecture.md` draws.
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// The words of a file, comments included, without module docs, imports, heads of `impl` blocks and `pub(super)`: all
/// that a split into files adds.
fn words(text: &str) -> usize {
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
fn the_policy_stays_readable() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/policy");
    let files: Vec<_> = std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path()).collect();
    assert!(files.len() > 10, "{files:?}");
    let mut size = 0;
    for file in files {
        let text = std::fs::read_to_string(&file).unwrap();
        let lines = text.lines().filter(|l| !l.trim().is_empty()).count();
        assert!(lines <= 200, "{} has {lines} non-blank lines", file.display());
        for (number, line) in text.lines().enumerate() {
            assert!(line.chars().count() <= 110, "{}:{} is too long", file.display(), number + 1);
        }
        assert!(text.starts_with("//! "), "{} has no module doc", file.display());
        if file.ends_with("mod.rs") {
            assert!(text.lines().next().is_some_and(|l| l.contains("src/interface.rs")));
        }
        size += words(&text);
    }
    // When it was one file and stood at its bound of 1,200 non-blank lines, these were 7,993 words.
    assert!(size <= 7_993, "{size} words");
}

/// The files of `src/net` that each of them names, `host` with all of its parts as one.
fn uses() -> BTreeMap<String, BTreeSet<String>> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/net");
    let mut uses: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    let mut read = |name: &str, path: &Path| {
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
                // Tests may reach for anything.
                parts.filter(|part| !part.ends_with("tests.rs")).for_each(|part| read(&name, &part));
            }
            false if name != "mod" => read(&name, &entry),
            false => {}
        }
    }
    let names: BTreeSet<String> = uses.keys().cloned().collect();
    uses.iter_mut().for_each(|(own, used)| used.retain(|name| names.contains(name) && name != own));
    uses
}

/// Guards against circles in `src/net`: there was one of six files, tied by what reaches the loop.
#[test]
fn the_network_code_has_layers() {
    let mut left = uses();
    assert!(left["host"].contains("pool") && left["input"].contains("relay"), "{left:?}");
    while !left.is_empty() {
        let free: Vec<String> =
            left.iter().filter(|(_, used)| used.is_empty()).map(|(name, _)| name.clone()).collect();
        assert!(!free.is_empty(), "a circle among {left:?}");
        left.retain(|name, _| !free.contains(name));
        left.values_mut().for_each(|used| used.retain(|name| !free.contains(name)));
    }
}

#[test]
fn no_part_of_the_loop_outgrows_a_look() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/net/host");
    for part in std::fs::read_dir(folder).unwrap().map(|part| part.unwrap().path()) {
        let lines = std::fs::read_to_string(&part).unwrap().lines().count();
        assert!(lines < 300, "{} has {lines} lines", part.display());
    }
}

/// The source files below a folder, without tests, that hold one of these words.
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

/// Guards against leases, holds or orders that a jump of the clock would change.
#[test]
fn no_program_of_the_tier_decides_by_the_time_of_day() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("system");
    let words = ["SystemTime", "UNIX_EPOCH", "Utc::now", "Local::now", "OffsetDateTime", "Zoned::now"];
    let folders = std::fs::read_dir(&root).unwrap().map(|entry| entry.unwrap().path().join("src"));
    let found: BTreeSet<String> =
        folders.filter(|folder| folder.is_dir()).flat_map(|folder| files_with(&folder, &words)).collect();
    // A process's number, which rises also where the clock has gone back.
    let known = root.join("programs/src/members.rs");
    assert_eq!(found, BTreeSet::from([known.to_str().unwrap().to_owned()]));
}
