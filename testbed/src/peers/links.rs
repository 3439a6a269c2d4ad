//! What stands between the senders of a run on processes: each is advertised to its peers under the address of a link, which
//! takes every datagram and connection for it, tells by the source address who sent it, and passes it on as the faults
//! that are on just then have it. Each direction of each pair meets faults of its own.
use super::schedule::{Kind, Met};
use super::sim::garbage;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::{Instant, sleep, timeout};

/// The longest datagram there is.
const MAX_DATAGRAM_BYTES: usize = 65_536;
/// A connection that cannot come up is given up by whoever makes it before this.
const NO_ANSWER: Duration = Duration::from_millis(1_500);
/// A connection that is cut for longer than this does not come back.
const STALLED: Duration = Duration::from_secs(3);
/// Pause between looks at a cut connection.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Bytes that are passed on at a time.
const CHUNK_BYTES: usize = 16 * 1024;

/// What meets something on its way.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkState {
    /// It does not arrive, nor anything behind it.
    pub cut: bool,
    /// Probability that a datagram is lost.
    pub lost: f64,
    /// Probability that one comes twice.
    pub twice: f64,
    /// Probability that one has a bit flipped.
    pub flipped: f64,
    /// Probability that a connection breaks under what is sent.
    pub reset: f64,
    /// Up to this many ms later.
    pub delay: f64,
    /// KB a second of a connection; 0 for no bound.
    pub throttle: f64,
}

/// What went over the links.
#[derive(Debug, Default)]
pub struct Carried {
    /// Datagrams passed on.
    pub datagrams: AtomicU64,
    /// Bytes of them.
    pub datagram_bytes: AtomicU64,
    /// Bytes passed on over connections.
    pub stream_bytes: AtomicU64,
    /// Connections made.
    pub connections: AtomicU64,
    /// Datagrams that did not arrive.
    pub dropped: AtomicU64,
}

/// All links of a run.
pub struct Links {
    /// Where each sender listens in truth.
    own: Vec<SocketAddr>,
    /// The address advertised to its peers.
    pub advertised: Vec<SocketAddr>,
    by_ip: HashMap<IpAddr, usize>,
    faults: Mutex<BTreeMap<usize, Met>>,
    rng: Mutex<ChaCha8Rng>,
    given: Mutex<HashSet<SocketAddr>>,
    /// What went over them.
    pub carried: Carried,
}

/// The sockets of a link.
pub struct Ends {
    to: usize,
    datagrams: Arc<UdpSocket>,
    listener: TcpListener,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// An address of this run alone: by the process, so that runs beside each other do not meet.
fn ip(sender: usize, own: bool) -> [u8; 4] {
    let [_, _, low, lowest] = std::process::id().to_be_bytes();
    let second = 64 + (lowest ^ low) % 128;
    let block = u8::try_from(sender / 250).unwrap_or(u8::MAX / 2) * 2 + u8::from(own);
    [127, second, block, u8::try_from(sender % 250).unwrap_or(0) + 1]
}

/// One address, free for datagrams and connections.
async fn both(ip: [u8; 4]) -> io::Result<(UdpSocket, TcpListener)> {
    loop {
        let datagrams = UdpSocket::bind(SocketAddr::from((ip, 0))).await?;
        match TcpListener::bind(datagrams.local_addr()?).await {
            Ok(listener) => return Ok((datagrams, listener)),
            Err(e) if e.kind() == io::ErrorKind::AddrInUse => {}
            Err(e) => return Err(e),
        }
    }
}

impl Links {
    /// Links for this many senders, and their sockets, which [`Links::carry`] has to be run for.
    pub async fn new(senders: usize, seed: u64) -> io::Result<(Arc<Self>, Vec<Ends>)> {
        let (mut own, mut advertised, mut ends, mut by_ip) =
            (Vec::new(), Vec::new(), Vec::new(), HashMap::new());
        for to in 0..senders {
            let (datagrams, listener) = both(ip(to, false)).await?;
            advertised.push(datagrams.local_addr()?);
            ends.push(Ends { to, datagrams: Arc::new(datagrams), listener });
            // Free a moment ago, at an address that nothing else has.
            let (theirs, _) = both(ip(to, true)).await?;
            own.push(theirs.local_addr()?);
            by_ip.insert(theirs.local_addr()?.ip(), to);
        }
        let (faults, rng) = (Mutex::default(), Mutex::new(ChaCha8Rng::seed_from_u64(seed ^ 0x11_2c)));
        let (given, carried) = (Mutex::new(own.iter().copied().collect()), Carried::default());
        Ok((Arc::new(Self { own, advertised, by_ip, faults, rng, given, carried }), ends))
    }

    /// An address for something else of a sender's, where no other process of the run or beside it listens or calls from.
    pub async fn free(&self, sender: usize) -> io::Result<SocketAddr> {
        loop {
            let free = both(ip(sender, true)).await?.0.local_addr()?;
            // One that was given away and is not listened at yet looks free.
            if locked(&self.given).insert(free) {
                return Ok(free);
            }
        }
    }

    /// Where a sender listens.
    pub fn own(&self, sender: usize) -> SocketAddr {
        self.own[sender]
    }

    /// A fault is on from now on.
    pub fn begin(&self, number: usize, met: Met) {
        locked(&self.faults).insert(number, met);
    }

    /// It is over.
    pub fn end(&self, number: usize) {
        locked(&self.faults).remove(&number);
    }

    /// What meets something sent from one to the other now.
    pub fn link_state(&self, from: usize, to: usize) -> LinkState {
        let mut link_state = LinkState::default();
        let both = |a: f64, b: f64| 1.0 - (1.0 - a) * (1.0 - b);
        for met in locked(&self.faults).values().filter(|met| met.meets(from, to)) {
            let size = met.fault.size;
            match met.fault.kind {
                Kind::Cut | Kind::Part => link_state.cut = true,
                Kind::Lossy => link_state.lost = both(link_state.lost, size),
                Kind::Twice => link_state.twice = both(link_state.twice, size),
                Kind::Flip => link_state.flipped = both(link_state.flipped, size),
                Kind::Reset => link_state.reset = both(link_state.reset, size),
                Kind::Delay => link_state.delay += size,
                Kind::Throttle if link_state.throttle > 0.0 => {
                    link_state.throttle = link_state.throttle.min(size)
                }
                Kind::Throttle => link_state.throttle = size,
                _ => {}
            }
        }
        link_state
    }

    fn random_bool(&self, share: f64) -> bool {
        share > 0.0 && locked(&self.rng).random_bool(share.min(1.0))
    }

    fn some(&self, max_ms: f64) -> Duration {
        Duration::from_secs_f64(locked(&self.rng).random_range(0.0..=max_ms.max(0.0)) / 1e3)
    }

    /// Carries all that comes for one sender, for as long as it is polled.
    pub async fn carry(self: Arc<Self>, ends: Ends) {
        let Ends { to, datagrams, listener } = ends;
        tokio::join!(self.clone().carry_datagrams(to, datagrams), self.carry_connections(to, listener));
    }

    async fn carry_datagrams(self: Arc<Self>, to: usize, socket: Arc<UdpSocket>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            // An error is that of an earlier datagram, to one that has departed.
            let Ok((length, source)) = socket.recv_from(&mut buffer).await else { continue };
            let Some(from) = self.by_ip.get(&source.ip()).copied() else { continue };
            let link_state = self.link_state(from, to);
            if link_state.cut || self.random_bool(link_state.lost) {
                self.carried.dropped.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            let mut bytes = buffer[..length].to_vec();
            if self.random_bool(link_state.flipped) && length > 0 {
                let mut rng = locked(&self.rng);
                let at = rng.random_range(0..length);
                bytes[at] ^= 1 << rng.random_range(0..8);
            }
            for _ in 0..1 + usize::from(self.random_bool(link_state.twice)) {
                self.carried.datagrams.fetch_add(1, Ordering::Relaxed);
                self.carried.datagram_bytes.fetch_add(length as u64, Ordering::Relaxed);
                if link_state.delay > 0.0 {
                    let (socket, own, bytes) = (socket.clone(), self.own[to], bytes.clone());
                    let later = self.some(link_state.delay);
                    tokio::spawn(async move {
                        sleep(later).await;
                        let _ = socket.send_to(&bytes, own).await;
                    });
                } else {
                    let _ = socket.send_to(&bytes, self.own[to]).await;
                }
            }
        }
    }

    async fn carry_connections(self: Arc<Self>, to: usize, listener: TcpListener) {
        loop {
            let Ok((stream, source)) = listener.accept().await else {
                sleep(POLL_INTERVAL).await;
                continue;
            };
            let Some(from) = self.by_ip.get(&source.ip()).copied() else { continue };
            self.carried.connections.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(self.clone().carry_connection(from, to, stream));
        }
    }

    /// One connection. Frames go one way only; the other way there is its end alone.
    async fn carry_connection(self: Arc<Self>, from: usize, to: usize, mut stream: TcpStream) {
        let cut = || self.link_state(from, to).cut || self.link_state(to, from).cut;
        if cut() {
            sleep(NO_ANSWER).await;
            let _ = stream.set_zero_linger();
            return;
        }
        let Ok(mut onward) = TcpStream::connect(self.own[to]).await else {
            let _ = stream.set_zero_linger();
            return;
        };
        let _ = onward.set_nodelay(true);
        // Whoever closes in order is closed in order; all else breaks on both sides.
        let broken = |stream: &TcpStream, onward: &TcpStream| {
            let _ = stream.set_zero_linger();
            let _ = onward.set_zero_linger();
        };
        let mut chunk = vec![0; CHUNK_BYTES];
        let mut back = [0; 16];
        loop {
            let length = tokio::select! {
                read = stream.read(&mut chunk) => match read {
                    Ok(0) | Err(_) => return,
                    Ok(length) => length,
                },
                read = onward.read(&mut back) => match read {
                    Ok(0) | Err(_) => return broken(&stream, &onward),
                    Ok(_) => continue,
                },
            };
            let stalled = Instant::now();
            while cut() {
                if stalled.elapsed() > STALLED {
                    return broken(&stream, &onward);
                }
                sleep(POLL_INTERVAL).await;
            }
            let link_state = self.link_state(from, to);
            if self.random_bool(link_state.reset) {
                return broken(&stream, &onward);
            }
            if link_state.delay > 0.0 {
                sleep(self.some(link_state.delay)).await;
            }
            if link_state.throttle > 0.0 {
                sleep(Duration::from_secs_f64(length as f64 / 1e3 / link_state.throttle)).await;
            }
            // One that takes nothing, being paused, holds its peer up, as in service.
            if onward.write_all(&chunk[..length]).await.is_err() {
                return broken(&stream, &onward);
            }
            self.carried.stream_bytes.fetch_add(length as u64, Ordering::Relaxed);
        }
    }

    /// Strangers at a sender's own address until `until`: random bytes, and connections that say nothing or nonsense.
    pub async fn strangers(self: Arc<Self>, to: usize, a_second: f64, until: Instant) {
        let Ok(socket) = UdpSocket::bind("127.0.0.1:0").await else { return };
        let interval = Duration::from_secs_f64(1.0 / a_second.max(1.0));
        let mut silent = Vec::new();
        while Instant::now() < until {
            let bytes = garbage(&mut locked(&self.rng));
            let _ = socket.send_to(&bytes, self.own[to]).await;
            if self.random_bool(0.1)
                && let Ok(Ok(mut stream)) = timeout(POLL_INTERVAL, TcpStream::connect(self.own[to])).await
            {
                if !bytes.is_empty() {
                    let _ = timeout(POLL_INTERVAL, stream.write_all(&bytes)).await;
                }
                silent.push(stream);
            }
            sleep(interval).await;
        }
    }
}

#[cfg(test)]
mod tests;
