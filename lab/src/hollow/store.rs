//! What a storage machine's decisions cost with so many turns held: the real state, without a disk.

use super::world::processor;
use fleet_model::{Answer, Call, Reservation, Roster, Store, Turn};
use serde::Serialize;
use std::net::Ipv4Addr;
use turn_store::{Bodies, Body, Kept, StoreState};

/// Bytes of a turn's input and of its output in these plays.
const TEXT: usize = 900;
/// The epoch of the roster.
const EPOCH: u64 = 1;

/// One size.
#[derive(Clone, Debug, Serialize)]
pub struct StoreFigures {
    /// Turns held.
    pub turns: usize,
    /// Turns of each program, one after the other.
    pub chain: usize,
    /// Bytes of memory that one turn's entry takes, its share of the account with it; from the process's resident memory.
    pub bytes_a_turn: f64,
    /// Processor time of keeping a turn, in microseconds.
    pub keep_us: f64,
    /// Of reserving with as many reservations in the account as the chain is long, the answer's encoding with it.
    pub reserve_us: f64,
    /// Bytes of that answer.
    pub reserve_bytes: usize,
    /// Of reading a whole chain from memory, the answer's encoding with it.
    pub chain_us: f64,
    /// Bytes of that answer.
    pub chain_bytes: usize,
    /// Of one look for what has expired, where nothing has.
    pub expire_ms: f64,
    /// Of going through all turns and accounts for a machine that fills, where it is to get the accounts.
    pub fill_ms: f64,
    /// Pages of that.
    pub fill_pages: usize,
}

/// Texts are made up as they are asked for: only the index is weighed.
struct MadeUp;

impl Bodies for MadeUp {
    fn get(&self, attempt: &str) -> Body {
        let previous = match attempt.split_once('-') {
            Some((program, turn)) if turn != "0" => {
                turn.parse::<usize>().ok().map(|turn| format!("{program}-{}", turn - 1))
            }
            _ => None,
        };
        Body::Held(turn(attempt, previous))
    }
}

fn turn(attempt: &str, previous: Option<String>) -> Turn {
    Turn {
        attempt: attempt.to_owned(),
        previous,
        input: vec![b'i'; TEXT].into(),
        output: vec![b'o'; TEXT].into(),
        retention_ms: 60_000,
        holders: vec![1, 2],
    }
}

/// Bytes of memory that this process holds now.
fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok()).unwrap_or(0) * 4_096
}

fn spent<T>(work: impl FnOnce() -> T) -> (T, f64) {
    let began = processor();
    let done = work();
    (done, (processor() - began) as f64 / 1e3)
}

/// Fills a store with so many turns, in programs of `chain` turns each, and measures what each kind of call costs then.
pub fn store_figures(turns: usize, chain: usize) -> StoreFigures {
    let store = |disk: u64| Store {
        name: format!("storage-{disk}"),
        ip: Ipv4Addr::new(10, 20, 0, disk as u8),
        zone: "zone".to_owned(),
        disk,
    };
    let current: Vec<Store> = (1..=3).map(store).collect();
    let mut state = StoreState::new(0, 1, 1, Kept::default());
    state.set_roster(&Roster { epoch: EPOCH, current, ..Roster::default() });
    let mut filling = state.filling().expect("a new store fills");
    for disk in [2, 3] {
        filling.absorbed(disk, None);
    }
    state.mark_filled(&filling).expect("the others were empty");
    let texts = MadeUp;
    let programs = turns.div_ceil(chain).max(1);
    let before = resident();
    for program in 0..programs {
        for number in 0..chain {
            let attempt = format!("p{program:08x}-{number}");
            let previous = (number > 0).then(|| format!("p{program:08x}-{}", number - 1));
            let reservation = Reservation { attempt: fleet_model::rank(attempt.as_bytes(), 0), tokens: 400 };
            let call = Call::Reserve { epoch: EPOCH, program: format!("p{program:08x}"), reservation };
            state.handle(0, &call, &texts);
            state.handle(0, &Call::KeepTurn { epoch: EPOCH, turn: turn(&attempt, previous) }, &texts);
        }
    }
    let held = resident().saturating_sub(before);
    let tries = 200;
    let extra: Vec<Call> = (0..tries)
        .map(|n| Call::KeepTurn { epoch: EPOCH, turn: turn(&format!("q{n:08x}-0"), None) })
        .collect();
    let ((), keep_us) = spent(|| extra.iter().for_each(|call| drop(state.handle(0, call, &texts))));
    let encode = |answer: Answer| {
        peer_wire::encode(&fleet_model::Frame::Answer(1, answer)).map_or(0, |bytes| bytes.len())
    };
    let reserve = |n: usize| Call::Reserve {
        epoch: EPOCH,
        program: format!("p{:08x}", n % programs),
        reservation: Reservation { attempt: 7, tokens: 400 },
    };
    let (reserve_bytes, reserve_us) =
        spent(|| (0..tries).map(|n| encode(state.handle(0, &reserve(n), &texts).answer)).max().unwrap_or(0));
    let read = |n: usize| Call::ReadChain {
        epoch: EPOCH,
        attempt: format!("p{:08x}-{}", n * 31 % programs, chain - 1),
    };
    let reads = 20;
    let (chain_bytes, chain_us) =
        spent(|| (0..reads).map(|n| encode(state.handle(0, &read(n), &texts).answer)).max().unwrap_or(0));
    let (_, expire_us) = spent(|| state.expire(1_000));
    let (fill_pages, fill_us) = spent(|| {
        let mut cursor = Some(bytes::Bytes::new());
        let mut pages = 0;
        while let Some(from) = cursor.take() {
            pages += 1;
            if let Answer::Records { cursor: next, .. } =
                state.handle(0, &Call::Fill { epoch: EPOCH, disk: 3, cursor: from }, &texts).answer
            {
                cursor = next;
            }
        }
        pages
    });
    StoreFigures {
        turns: programs * chain,
        chain,
        bytes_a_turn: held as f64 / (programs * chain) as f64,
        keep_us: keep_us / f64::from(tries as u32),
        reserve_us: reserve_us / f64::from(tries as u32),
        reserve_bytes,
        chain_us: chain_us / f64::from(reads as u32),
        chain_bytes,
        expire_ms: expire_us / 1e3,
        fill_ms: fill_us / 1e3,
        fill_pages,
    }
}

/// The sizes as a table.
pub fn store_table(sizes: &[StoreFigures]) -> String {
    let mut lines = vec![format!(
        "{:>9} {:>6} {:>10} {:>8} {:>10} {:>10} {:>9} {:>11} {:>10} {:>9} {:>6}",
        "turns",
        "chain",
        "B a turn",
        "keep us",
        "reserve us",
        "reserve B",
        "chain us",
        "chain B",
        "expire ms",
        "fill ms",
        "pages"
    )];
    lines.extend(sizes.iter().map(|f| {
        format!(
            "{:>9} {:>6} {:>10.0} {:>8.1} {:>10.1} {:>10} {:>9.0} {:>11} {:>10.1} {:>9.1} {:>6}",
            f.turns,
            f.chain,
            f.bytes_a_turn,
            f.keep_us,
            f.reserve_us,
            f.reserve_bytes,
            f.chain_us,
            f.chain_bytes,
            f.expire_ms,
            f.fill_ms,
            f.fill_pages
        )
    }));
    lines.join("\n")
}
