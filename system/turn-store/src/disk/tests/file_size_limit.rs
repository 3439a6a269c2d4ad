//! The engine on a file system that refuses writes: a process whose files may not grow beyond a size, as set by the shell.

use super::*;
use std::process::Command;
use std::time::Instant;

/// Names the data directory in the process with the limit.
const DIRECTORY_VARIABLE: &str = "TURN_STORE_LIMITED_DIRECTORY";
/// The largest file, in blocks of 512 bytes as the POSIX shell counts them: less than a journal's allocated length.
const MAX_FILE_BLOCKS: u64 = 24 << 11;
const TEXT_BYTES: usize = 256 << 10;
/// More records than fit under the limit.
const MAX_RECORDS: usize = 400;

fn large_turn(number: usize) -> Turn {
    Turn { input: vec![number as u8; TEXT_BYTES].into(), ..turn(&format!("attempt-{number:04}")) }
}

/// Writes until a write fails, then a few times more; tells on standard output which writes were confirmed.
fn write_until_refused(dir: &Path) {
    let disk = open(dir);
    let mut refusals = 0;
    for number in 0..MAX_RECORDS {
        match disk.write(&[crate::records::turn_write(&large_turn(number))]) {
            Ok(()) => println!("\nconfirmed {number}"),
            Err(error) => {
                println!("\nrefused {number}: {error}");
                refusals += 1;
                if refusals == 4 {
                    return;
                }
            }
        }
    }
}

#[gtest]
fn what_was_confirmed_before_a_file_system_refused_is_found_afterwards() {
    if let Some(dir) = std::env::var_os(DIRECTORY_VARIABLE) {
        write_until_refused(Path::new(&dir));
        return;
    }
    // Given a data directory, and a process in which no file may grow beyond 24 MiB,
    let dir = tempfile::tempdir().unwrap();
    drop(open(dir.path()));
    let test =
        "disk::tests::file_size_limit::what_was_confirmed_before_a_file_system_refused_is_found_afterwards";
    let limited =
        format!("trap '' XFSZ; ulimit -f {MAX_FILE_BLOCKS}; exec \"$0\" --exact \"$1\" --nocapture");
    let output = Command::new("sh")
        .args(["-c", &limited])
        .arg(std::env::current_exe().unwrap())
        .arg(test)
        .env(DIRECTORY_VARIABLE, dir.path())
        .output()
        .unwrap();
    let told = String::from_utf8_lossy(&output.stdout).into_owned();
    // when it writes, then it is refused at some point, and does not end by that;
    let confirmed: Vec<usize> = told
        .lines()
        .filter_map(|line| line.strip_prefix("confirmed "))
        .map(|number| number.parse().unwrap())
        .collect();
    expect_that!(told.lines().filter(|line| line.starts_with("refused ")).count(), ge(1), "{told}");
    expect_that!(output.status.success(), eq(true), "{told}");
    expect_that!(confirmed.len(), gt(10));
    // and without the limit everything that was confirmed is there, and more can be written.
    let (_, journal_bytes) = newest_journal(dir.path());
    let begun = Instant::now();
    let disk = open(dir.path());
    println!("a journal of {journal_bytes} bytes was written again and opened in {:?}", begun.elapsed());
    let (stored, damaged) = load(&disk).unwrap();
    expect_that!(damaged, is_empty());
    for number in &confirmed {
        let expected = large_turn(*number);
        expect_that!(
            Payloads::get(&disk, &expected.attempt) == Payload::Present(expected),
            eq(true),
            "{number}"
        );
    }
    println!("{} confirmed, {} found", confirmed.len(), stored.turns.len());
    disk.write(&[put_turn("later")]).unwrap();
}
