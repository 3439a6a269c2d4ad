//! The signals of a process: which end it, which have its settings read again, and which do nothing.

use nix::sys::signal::{SigSet, Signal as BlockableSignal};
use rustix::process::Signal as SignalName;
use std::io;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

/// Signals that would end a process and have no meaning here. The limits on files and processor time are told by two of
/// them; what exceeds the limit on files then fails as a write.
const IGNORED: [SignalName; 9] = [
    SignalName::USR1,
    SignalName::USR2,
    SignalName::ALARM,
    SignalName::VTALARM,
    SignalName::PROF,
    SignalName::IO,
    SignalName::POWER,
    SignalName::XCPU,
    SignalName::XFSZ,
];

/// The signals of this process, handled from the creation of this value on.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

/// What signals have asked for.
#[derive(Clone, Debug)]
pub struct SignalRequests {
    /// Whether the process is to end.
    pub shutdown: watch::Receiver<bool>,
    /// How often its settings are to be read again.
    pub reloads: watch::Receiver<u64>,
}

impl Signals {
    /// Handles the signals, and unblocks them. Must be called within a runtime, before any thread is started.
    ///
    /// # Errors
    ///
    /// A handler cannot be set.
    pub fn handle() -> io::Result<Self> {
        let hangup = signal(SignalKind::hangup())?;
        let terminate = signal(SignalKind::terminate())?;
        let interrupt = signal(SignalKind::interrupt())?;
        for ignored in IGNORED {
            // The handler stays when this is dropped.
            drop(signal(SignalKind::from_raw(ignored.as_raw()))?);
        }
        unblock([SignalName::HUP, SignalName::TERM, SignalName::INT].into_iter().chain(IGNORED))?;
        Ok(Self { terminate, interrupt, hangup })
    }

    /// Passes the signals on from now on, until the runtime is dropped. Must be called within a runtime.
    pub fn forward(mut self) -> SignalRequests {
        let (shutdown_sender, shutdown) = watch::channel(false);
        let (reload_sender, reloads) = watch::channel(0);
        tokio::spawn(async move {
            loop {
                tokio::select! {
                    _ = self.hangup.recv() => reload_sender.send_modify(|count| *count += 1),
                    _ = self.terminate.recv() => { shutdown_sender.send_replace(true); }
                    _ = self.interrupt.recv() => { shutdown_sender.send_replace(true); }
                }
            }
        });
        SignalRequests { shutdown, reloads }
    }
}

/// Unblocks signals that have a handler: a process inherits its blocked signals from whoever starts it, and so do its threads.
fn unblock(signals: impl Iterator<Item = SignalName>) -> io::Result<()> {
    let mut set = SigSet::empty();
    for signal in signals {
        set.add(BlockableSignal::try_from(signal.as_raw())?);
    }
    Ok(set.thread_unblock()?)
}

impl SignalRequests {
    /// Waits until the process is to end.
    pub async fn shutdown_requested(&self) {
        let mut shutdown = self.shutdown.clone();
        if shutdown.wait_for(|requested| *requested).await.is_err() {
            // Nobody is left to request it.
            std::future::pending::<()>().await;
        }
    }
}
