//! A deterministic single-threaded executor in virtual time. Tasks belong to simulated processes, which can be frozen, thawed
//! and ended; the same tasks always run in the same order.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::future::poll_fn;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Wake, Waker};

type Work = Pin<Box<dyn Future<Output = ()>>>;
type Ready = Arc<Mutex<VecDeque<u64>>>;

/// Maximum polls at one moment of virtual time; more indicate a livelock.
const MAX_POLLS: u64 = 1_000_000;

/// Identifies one incarnation of a process.
pub type ProcessId = u64;

/// State of a process; a process that is not known has ended.
enum TaskState {
    Running,
    /// Its tasks that became ready meanwhile.
    Frozen(Vec<u64>),
}

struct TaskWaker {
    task: u64,
    ready: Ready,
}

impl Wake for TaskWaker {
    fn wake(self: Arc<Self>) {
        self.ready.lock().unwrap_or_else(PoisonError::into_inner).push_back(self.task);
    }
}

#[derive(Default)]
struct Timers {
    /// Due time in microseconds, and timer number.
    due: BinaryHeap<Reverse<(u64, u64)>>,
    wakers: HashMap<u64, Waker>,
    last: u64,
}

/// The executor. Times are microseconds.
#[derive(Clone, Default)]
pub struct Executor(Rc<Shared>);

#[derive(Default)]
struct Shared {
    now: Cell<u64>,
    ready: Ready,
    tasks: RefCell<BTreeMap<u64, (ProcessId, Option<Work>)>>,
    last_task: Cell<u64>,
    last_process: Cell<ProcessId>,
    timers: RefCell<Timers>,
    processes: RefCell<BTreeMap<ProcessId, TaskState>>,
}

impl Executor {
    /// Creates an executor whose clock starts at `now`.
    pub fn new(now: u64) -> Self {
        let executor = Self::default();
        executor.0.now.set(now);
        executor
    }

    /// The current virtual time.
    pub fn now(&self) -> u64 {
        self.0.now.get()
    }

    /// Registers a new process.
    pub fn begin(&self) -> ProcessId {
        let process = self.0.last_process.get() + 1;
        self.0.last_process.set(process);
        self.0.processes.borrow_mut().insert(process, TaskState::Running);
        process
    }

    /// Ends a process and drops all its tasks.
    pub fn end(&self, process: ProcessId) {
        self.0.processes.borrow_mut().remove(&process);
        let tasks_of_process: Vec<u64> = self
            .0
            .tasks
            .borrow()
            .iter()
            .filter(|(_, (of, _))| *of == process)
            .map(|(task, _)| *task)
            .collect();
        for task in tasks_of_process {
            let work = self.0.tasks.borrow_mut().remove(&task);
            // What is dropped here may wake others.
            drop(work);
        }
    }

    /// Suspends a process's tasks until it is thawed.
    pub fn freeze(&self, process: ProcessId) {
        if let Some(state @ TaskState::Running) = self.0.processes.borrow_mut().get_mut(&process) {
            *state = TaskState::Frozen(Vec::new());
        }
    }

    /// Resumes a frozen process's tasks.
    pub fn thaw(&self, process: ProcessId) {
        let mut processes = self.0.processes.borrow_mut();
        let Some(state) = processes.get_mut(&process) else { return };
        if let TaskState::Frozen(waiting) = std::mem::replace(state, TaskState::Running) {
            self.0.ready.lock().unwrap_or_else(PoisonError::into_inner).extend(waiting);
        }
    }

    /// Spawns a task of a process; ignored if the process has ended.
    pub fn spawn(&self, process: ProcessId, work: impl Future<Output = ()> + 'static) -> u64 {
        let task = self.0.last_task.get() + 1;
        self.0.last_task.set(task);
        if self.0.processes.borrow().contains_key(&process) {
            self.0.tasks.borrow_mut().insert(task, (process, Some(Box::pin(work))));
            self.0.ready.lock().unwrap_or_else(PoisonError::into_inner).push_back(task);
        }
        task
    }

    /// Aborts a task.
    pub fn abort(&self, task: u64) {
        let work = self.0.tasks.borrow_mut().remove(&task);
        drop(work);
    }

    /// Runs all tasks until the clock reaches `end`.
    pub fn run_until(&self, end: u64) {
        loop {
            let mut polls = 0;
            while let Some(task) = self.next_ready() {
                self.poll(task);
                polls += 1;
                assert!(polls < MAX_POLLS, "tasks run on and on, and no time passes");
            }
            let next = self.0.timers.borrow().due.peek().map(|Reverse((at, _))| *at);
            let Some(at) = next.filter(|at| *at <= end) else { break };
            self.0.now.set(self.0.now.get().max(at));
            let waker = {
                let mut timers = self.0.timers.borrow_mut();
                let Some(Reverse((_, number))) = timers.due.pop() else { break };
                timers.wakers.remove(&number)
            };
            if let Some(waker) = waker {
                waker.wake();
            }
        }
        self.0.now.set(end);
    }

    fn next_ready(&self) -> Option<u64> {
        self.0.ready.lock().unwrap_or_else(PoisonError::into_inner).pop_front()
    }

    fn poll(&self, task: u64) {
        let work = {
            let mut tasks = self.0.tasks.borrow_mut();
            let Some((process, work)) = tasks.get_mut(&task) else { return };
            let mut processes = self.0.processes.borrow_mut();
            match processes.get_mut(process) {
                Some(TaskState::Running) => work.take(),
                Some(TaskState::Frozen(waiting)) => {
                    waiting.push(task);
                    None
                }
                None => None,
            }
        };
        let Some(mut work) = work else { return };
        let waker = Waker::from(Arc::new(TaskWaker { task, ready: self.0.ready.clone() }));
        let done = work.as_mut().poll(&mut Context::from_waker(&waker)).is_ready();
        let mut tasks = self.0.tasks.borrow_mut();
        match tasks.get_mut(&task) {
            Some((_, slot)) if !done => *slot = Some(work),
            _ => {
                let removed = tasks.remove(&task);
                drop(tasks);
                drop((removed, work));
            }
        }
    }

    /// Sleeps for `for_us` microseconds of virtual time.
    pub fn sleep(&self, for_us: u64) -> Sleep {
        Sleep { executor: self.clone(), until: self.now().saturating_add(for_us), timer: None }
    }

    /// The output of `work`, or none after `for_us` microseconds.
    pub async fn timeout<F: Future>(&self, for_us: u64, work: F) -> Option<F::Output> {
        let (mut work, mut over) = (pin!(work), pin!(self.sleep(for_us)));
        poll_fn(|cx| match work.as_mut().poll(cx) {
            Poll::Ready(done) => Poll::Ready(Some(done)),
            Poll::Pending => over.as_mut().poll(cx).map(|()| None),
        })
        .await
    }
}

/// See [`Executor::sleep`].
pub struct Sleep {
    executor: Executor,
    until: u64,
    timer: Option<u64>,
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if self.executor.now() >= self.until {
            return Poll::Ready(());
        }
        let until = self.until;
        let number = {
            let mut timers = self.executor.0.timers.borrow_mut();
            let number = self.timer.unwrap_or_else(|| {
                timers.last += 1;
                let number = timers.last;
                timers.due.push(Reverse((until, number)));
                number
            });
            timers.wakers.insert(number, cx.waker().clone());
            number
        };
        self.timer = Some(number);
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        if let Some(number) = self.timer {
            self.executor.0.timers.borrow_mut().wakers.remove(&number);
        }
    }
}
