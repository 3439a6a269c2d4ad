//! The module's size and line width, which people on call rely on, and the layout that `docs/sender-architecture.md` draws.
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

#[test]
fn the_module_stays_readable() {
    let text = include_str!("../src/brain.rs");
    let lines = text.lines().filter(|l| !l.trim().is_empty()).count();
    assert!(lines <= 1200, "{lines} non-blank lines");
    for (number, line) in text.lines().enumerate() {
        assert!(line.chars().count() <= 110, "line {} is too long", number + 1);
    }
    assert!(text.lines().next().is_some_and(|l| l.contains("src/interface.rs")));
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
