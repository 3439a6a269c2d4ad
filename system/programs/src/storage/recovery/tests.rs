//! A replica over real folders whose disk refuses, forgets or stalls.

use super::*;
use crate::storage::replica::{DirectoryAt, OnFailure, OpenedDirectory};
use bytes::Bytes;
use fleet_model::{Reservation, StorageNode, Turn};
use googletest::prelude::*;
use std::future::Future;
use std::net::Ipv4Addr;
use std::path::Path;
use std::sync::Mutex;
use tokio::task::{LocalSet, spawn_local};
use turn_store::{Disk, Writer};

/// The epoch under which the first set gathers, and the one under which it counts.
const GATHERED: u64 = 1;
const FOUNDED: u64 = 2;

/// What the disk does with a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behaviour {
    /// It takes it.
    Takes,
    /// It refuses it.
    Refuses,
    /// It takes it, and its sync fails.
    TakesAndRefuses,
    /// It answers when it does something else.
    Stalls,
}

/// A directory whose disk can be told how to behave.
#[derive(Clone)]
struct FaultyDirectory {
    inner: Arc<DirectoryAt>,
    behaviour: Arc<Mutex<Behaviour>>,
}

impl FaultyDirectory {
    fn at(folder: &Path) -> Self {
        let inner = Arc::new(DirectoryAt(folder.to_owned()));
        Self { inner, behaviour: Arc::new(Mutex::new(Behaviour::Takes)) }
    }

    fn behave(&self, behaviour: Behaviour) {
        *self.behaviour.lock().unwrap() = behaviour;
    }

    fn behaviour(&self) -> Behaviour {
        *self.behaviour.lock().unwrap()
    }

    fn refused() -> DiskError {
        let source = std::io::Error::from(std::io::ErrorKind::StorageFull);
        DiskError::Io { path: "data".into(), source }
    }

    fn commit(&self, disk: &Disk, writes: &[Write]) -> std::result::Result<(), WriteFailed> {
        while self.behaviour() == Behaviour::Stalls {
            std::thread::sleep(Duration::from_millis(1));
        }
        if self.behaviour() != Behaviour::Refuses {
            disk.write(writes).unwrap();
        }
        match self.behaviour() {
            Behaviour::Takes => Ok(()),
            _ => Err(WriteFailed("no space".into())),
        }
    }
}

impl DataDirectory for FaultyDirectory {
    fn probe(&self) -> std::result::Result<(), DiskError> {
        if self.behaviour() == Behaviour::Takes { self.inner.probe() } else { Err(Self::refused()) }
    }

    fn open(&self, on_failure: OnFailure) -> std::result::Result<OpenedDirectory, DiskError> {
        if self.behaviour() != Behaviour::Takes {
            return Err(Self::refused());
        }
        let opened = self.inner.open(Box::new(|_| ()))?;
        let (faulty, disk) = (self.clone(), opened.disk.clone());
        let writer = Writer::start_engine(move |writes| faulty.commit(&disk, writes), on_failure);
        Ok(OpenedDirectory { writer, ..opened })
    }
}

/// A fleet of one storage machine.
struct Fleet {
    _folder: tempfile::TempDir,
    directory: FaultyDirectory,
    replica: Rc<RecoveringReplica>,
}

impl Fleet {
    /// Starts the machine on a disk of this behaviour.
    async fn start(behaviour: Behaviour) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let directory = FaultyDirectory::at(folder.path());
        directory.behave(behaviour);
        let machine = Machine { name: "s1".into(), ip: Ipv4Addr::LOCALHOST, zone: "a".into(), losses: 0 };
        let (replica, failures) =
            RecoveringReplica::new(Arc::new(directory.clone()), machine, Box::new(|| 1_000), Rc::default());
        replica.start().await;
        spawn_local(replica.clone().supervise_with(failures, Duration::from_millis(1)));
        Self { _folder: folder, directory, replica }
    }

    /// Starts the machine and has it hold, in sync, one turn and one reservation of 100 tokens.
    async fn holding() -> Self {
        let fleet = Self::start(Behaviour::Takes).await;
        fleet.join().await;
        expect_that!(fleet.keep_turn("t1").await, eq(&Answer::Done));
        expect_that!(fleet.reserve(1, 100).await, eq(&tokens(&[(1, 100)])));
        fleet
    }

    /// The fleet is founded with this machine alone, which is in sync for that.
    async fn join(&self) {
        let me: StorageNode = self.replica.with(|replica| replica.me.clone()).unwrap();
        let gathering = Roster { epoch: GATHERED, next: Some(vec![me.clone()]), ..Roster::default() };
        self.replica.set_roster(&gathering);
        let backfill = self.replica.with(|replica| replica.state.backfill()).unwrap().unwrap();
        let writes = self.replica.with(|replica| replica.state.mark_in_sync(&backfill)).unwrap().unwrap();
        self.replica.write(self.replica.generation(), writes).await.unwrap();
        let founded = Roster { epoch: FOUNDED, current: vec![me], ..Roster::default() };
        self.replica.set_roster(&founded);
    }

    async fn reserve(&self, attempt: u64, tokens: u32) -> Answer {
        let reservation = Reservation { attempt, tokens };
        self.replica.answer(&Call::Reserve { epoch: FOUNDED, program: "p".into(), reservation }).await
    }

    async fn settle(&self, attempt: u64, tokens: u32) -> Answer {
        let reservation = Reservation { attempt, tokens };
        self.replica.answer(&Call::Settle { epoch: FOUNDED, program: "p".into(), reservation }).await
    }

    async fn account(&self) -> Answer {
        self.replica.answer(&Call::ReadAccount { epoch: FOUNDED, program: "p".into() }).await
    }

    async fn keep_turn(&self, attempt: &str) -> Answer {
        let turn = Turn {
            attempt: attempt.into(),
            previous: None,
            input: "in".into(),
            output: "out".into(),
            retention_ms: 600_000,
            replicas: vec![],
        };
        self.replica.answer(&Call::StoreTurn { epoch: FOUNDED, turn, served_by: None }).await
    }

    async fn chain(&self, attempt: &str) -> Answer {
        self.replica.answer(&Call::ReadChain { epoch: FOUNDED, attempt: attempt.into() }).await
    }

    async fn until(&self, reached: impl Fn(&RecoveringReplica) -> bool) {
        let reached = async {
            while !reached(&self.replica) {
                sleep(Duration::from_millis(1)).await;
            }
        };
        tokio::time::timeout(Duration::from_secs(20), reached).await.unwrap();
    }
}

fn tokens(reservations: &[(u64, u32)]) -> Answer {
    let reservation = |&(attempt, tokens): &(u64, u32)| Reservation { attempt, tokens };
    Answer::Account(reservations.iter().map(reservation).collect())
}

fn chain_of_t1() -> Answer {
    Answer::Chain { text: Bytes::from("inout"), missing: None, served_by: None }
}

fn played(story: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, story);
}

#[googletest::test]
fn a_disk_that_refuses_is_outlived_and_nothing_is_remembered_that_it_lacks() {
    played(async {
        // Given a machine that holds a turn and a reservation, whose disk then refuses.
        let fleet = Fleet::holding().await;
        fleet.directory.behave(Behaviour::Refuses);
        // When a reservation comes, then it is not ready to take it, nor any other that would have to be synced.
        expect_that!(fleet.reserve(2, 50).await, eq(&Answer::NotReady));
        expect_that!(fleet.keep_turn("t2").await, eq(&Answer::NotReady));
        expect_that!(fleet.settle(1, 10).await, eq(&Answer::NotReady));
        fleet.until(|replica| replica.refusals() == 1).await;
        expect_that!(fleet.replica.is_refusing(), eq(true));
        // And what needs no write is served.
        expect_that!(fleet.chain("t1").await, eq(&chain_of_t1()));
        expect_that!(matches!(fleet.account().await, Answer::Account(_)), eq(true));
        // When the disk takes writes again, then what was refused is not there, and what was kept is.
        fleet.directory.behave(Behaviour::Takes);
        fleet.until(|replica| !replica.is_refusing()).await;
        expect_that!(fleet.account().await, eq(&tokens(&[(1, 100)])));
        expect_that!(fleet.chain("t1").await, eq(&chain_of_t1()));
        expect_that!(fleet.chain("t2").await, eq(&Answer::Absent { complete: true }));
        // And it takes both.
        expect_that!(fleet.reserve(3, 30).await, eq(&tokens(&[(1, 100), (3, 30)])));
        expect_that!(fleet.keep_turn("t2").await, eq(&Answer::Done));
        expect_that!(fleet.replica.refusals(), eq(1));
    });
}

#[googletest::test]
fn what_a_failed_sync_left_on_the_disk_is_there_and_was_promised_to_nobody() {
    played(async {
        // Given a disk that takes a reservation and fails its sync.
        let fleet = Fleet::holding().await;
        fleet.directory.behave(Behaviour::TakesAndRefuses);
        expect_that!(fleet.reserve(2, 50).await, eq(&Answer::NotReady));
        // When it is well again, then memory is what the disk holds: the reservation too.
        fleet.directory.behave(Behaviour::Takes);
        fleet.until(|replica| replica.generation() == 2).await;
        expect_that!(fleet.account().await, eq(&tokens(&[(1, 100), (2, 50)])));
    });
}

#[googletest::test]
fn a_write_that_nobody_waits_for_is_noticed_when_it_fails() {
    played(async {
        // Given a settlement that is answered before it is written, and a disk that refuses it.
        let fleet = Fleet::holding().await;
        fleet.directory.behave(Behaviour::Refuses);
        expect_that!(fleet.settle(1, 10).await, eq(&Answer::Done));
        // Then the failure is noticed without any further call.
        fleet.until(|replica| replica.refusals() == 1).await;
        // And after the recovery the reservation counts at its most, as the disk has it.
        fleet.directory.behave(Behaviour::Takes);
        fleet.until(|replica| !replica.is_refusing()).await;
        expect_that!(fleet.account().await, eq(&tokens(&[(1, 100)])));
    });
}

#[googletest::test]
fn a_start_on_a_disk_that_refuses_waits_until_it_takes_writes() {
    played(async {
        let fleet = Fleet::start(Behaviour::Refuses).await;
        expect_that!(fleet.replica.is_refusing(), eq(true));
        expect_that!(fleet.reserve(1, 100).await, eq(&Answer::NotReady));
        expect_that!(fleet.account().await, eq(&Answer::NotReady));
        fleet.directory.behave(Behaviour::Takes);
        fleet.until(|replica| !replica.is_refusing()).await;
        fleet.join().await;
        expect_that!(fleet.reserve(1, 100).await, eq(&tokens(&[(1, 100)])));
    });
}

#[googletest::test]
fn a_disk_that_refuses_again_and_again_is_outlived_each_time() {
    played(async {
        let fleet = Fleet::holding().await;
        for round in 1..=3 {
            fleet.directory.behave(Behaviour::Refuses);
            expect_that!(fleet.reserve(9, 50).await, eq(&Answer::NotReady));
            fleet.until(|replica| replica.refusals() == round).await;
            fleet.directory.behave(Behaviour::Takes);
            fleet.until(|replica| !replica.is_refusing()).await;
        }
        expect_that!(fleet.account().await, eq(&tokens(&[(1, 100)])));
    });
}

#[googletest::test]
fn while_the_disk_stalls_calls_without_a_write_go_on_and_nothing_is_told_synced() {
    played(async {
        // Given a disk that stalls, and a reservation that waits for it.
        let fleet = Rc::new(Fleet::holding().await);
        fleet.directory.behave(Behaviour::Stalls);
        let asker = fleet.clone();
        let reserving = spawn_local(async move { asker.reserve(2, 50).await });
        // When turns are read meanwhile, then they are served, and the reservation is not answered.
        for _ in 0..20 {
            expect_that!(fleet.chain("t1").await, eq(&chain_of_t1()));
            sleep(Duration::from_millis(1)).await;
        }
        expect_that!(reserving.is_finished(), eq(false));
        // And it is once the disk goes on.
        fleet.directory.behave(Behaviour::Takes);
        expect_that!(reserving.await.unwrap(), eq(&tokens(&[(1, 100), (2, 50)])));
        expect_that!(fleet.replica.refusals(), eq(0));
    });
}

#[googletest::test]
fn what_began_before_a_failure_is_not_ended_after_the_recovery() {
    played(async {
        // Given a catch-up that began with one replica, and the replica that was built after a failure.
        let fleet = Fleet::holding().await;
        let began = fleet.replica.generation();
        fleet.directory.behave(Behaviour::Refuses);
        expect_that!(fleet.reserve(2, 50).await, eq(&Answer::NotReady));
        fleet.directory.behave(Behaviour::Takes);
        fleet.until(|replica| replica.generation() > began).await;
        // Then what it has left to write is refused: what it wrote before may be lost.
        expect_that!(fleet.replica.write(began, Vec::new()).await.is_err(), eq(true));
        expect_that!(fleet.replica.with_generation(began, |_| ()), none());
    });
}

#[googletest::test]
fn pauses_between_probes_grow_to_a_bound_and_begin_again() {
    let mut backoff = Backoff::from(MIN_PROBE_BACKOFF);
    let taken: Vec<u128> = (0..5).map(|_| backoff.take().as_millis()).collect();
    expect_that!(taken, eq(&vec![250, 500, 1_000, 2_000, 2_000]));
    backoff.reset();
    expect_that!(backoff.take(), eq(MIN_PROBE_BACKOFF));
}
