//! The life of a process, from its first instruction to its end.
//!
//! **Problem.** A process that ends whenever something is missing leaves its machine without service until it is started
//! again, and whoever starts it may not know how: a first start, for example, happens only once. A task that panics ends
//! no process at all, but nobody does its work any more.
//!
//! **Behavior.** A process ends when it is told to, or when its settings can never be used. Everything else that it lacks it
//! waits for ([`waits`]), and says so. If one of its parts fails, all of them are stopped and started again ([`supervisor`]),
//! as after a crash, but in the same process. Signals have their handlers before anything else is done ([`signals`]), and
//! lines of the log are dropped rather than waited for ([`log_output`]).
//!
//! **When not to use it.** Tools that an operator runs by hand are to fail at once.

pub mod blocking;
pub mod log_output;
pub mod panics;
pub mod runtime;
pub mod settings_file;
pub mod shutdown;
pub mod signals;
pub mod supervisor;
pub mod waits;
pub mod working_directory;
