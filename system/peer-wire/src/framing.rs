//! How frames follow one another on a connection.

use bytes::Bytes;
use futures_util::SinkExt;
use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio_util::codec::{FramedWrite, LengthDelimitedCodec};

/// The longest frame, packed and unpacked.
pub const MAX_FRAME_LEN: usize = 16 << 20;

/// Version of the frames: a peer with another one is refused.
pub const PROTOCOL_VERSION: u16 = 1;

/// Length of the hello that each side sends once: four bytes of magic, the version and the fleet's number, big-endian.
pub const HELLO_LEN: usize = 8;

const HELLO_MAGIC: [u8; 4] = *b"MDpw";

/// How long the kernel waits for sent bytes to be acknowledged before it breaks the connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(2);

/// After so long without traffic the kernel asks whether the other machine is still there.
const TCP_KEEPALIVE_IDLE: Duration = Duration::from_secs(60);

/// The hello of a member of this fleet.
pub(crate) fn hello(fleet: u16) -> [u8; HELLO_LEN] {
    let mut hello = [0; HELLO_LEN];
    hello[..4].copy_from_slice(&HELLO_MAGIC);
    hello[4..6].copy_from_slice(&PROTOCOL_VERSION.to_be_bytes());
    hello[6..].copy_from_slice(&fleet.to_be_bytes());
    hello
}

/// Reads the other side's hello; tells whether it is of this fleet.
pub(crate) async fn read_hello(stream: &mut (impl AsyncRead + Unpin), fleet: u16) -> io::Result<bool> {
    let mut received = [0; HELLO_LEN];
    stream.read_exact(&mut received).await?;
    Ok(received == hello(fleet))
}

/// Frames with their length before them, as four bytes.
pub(crate) fn framing() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().length_field_length(4).max_frame_length(MAX_FRAME_LEN).new_codec()
}

/// Sends at once, and has the kernel notice a peer that is gone.
pub(crate) fn configure_socket(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}

/// For the side that only answers: a caller's machine that lost its power would stay connected for ever.
pub(crate) fn enable_keepalive(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_tcp_keepalive(&TcpKeepalive::new().with_time(TCP_KEEPALIVE_IDLE))
}

/// So many bytes go into one write, unless a single frame is longer.
const WRITE_BUFFER_BYTES: usize = 64 << 10;

/// Writes what is queued; what waits at one time goes out together. `take` gives an item's frame.
pub(crate) async fn write_frames<T>(
    writer: OwnedWriteHalf,
    mut queue: mpsc::Receiver<T>,
    mut into_frame: impl FnMut(T) -> Bytes,
) -> io::Result<()> {
    let mut sink = FramedWrite::new(writer, framing());
    sink.set_backpressure_boundary(WRITE_BUFFER_BYTES);
    while let Some(mut item) = queue.recv().await {
        loop {
            SinkExt::<Bytes>::feed(&mut sink, into_frame(item)).await?;
            match queue.try_recv() {
                Ok(next) => item = next,
                Err(_) => break,
            }
        }
        SinkExt::<Bytes>::flush(&mut sink).await?;
    }
    Ok(())
}
