//! Framing on a connection: the hello, length-prefixed frames, and socket options.

use bytes::{BufMut, Bytes, BytesMut};
use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio_util::codec::LengthDelimitedCodec;

/// Maximum length of a frame in bytes, both packed and unpacked.
pub const MAX_FRAME_LEN: usize = 16 << 20;

/// Version of the protocol: a peer with another one is rejected.
pub const PROTOCOL_VERSION: u16 = 1;

/// Length in bytes of the hello that each side sends first: four magic bytes, the version and the fleet number, both as
/// 16-bit big-endian integers.
pub const HELLO_LEN: usize = 8;

const HELLO_MAGIC: [u8; 4] = *b"MDpw";

/// Time for which the kernel waits for sent data to be acknowledged before it closes the connection (RFC 5482).
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Idle time after which the kernel sends TCP keep-alive probes.
const TCP_KEEPALIVE_IDLE: Duration = Duration::from_secs(60);

/// The hello of a process of this fleet.
pub(crate) fn hello(fleet: u16) -> [u8; HELLO_LEN] {
    let mut hello = [0; HELLO_LEN];
    hello[..4].copy_from_slice(&HELLO_MAGIC);
    hello[4..6].copy_from_slice(&PROTOCOL_VERSION.to_be_bytes());
    hello[6..].copy_from_slice(&fleet.to_be_bytes());
    hello
}

/// Reads the other side's hello; returns whether it has this fleet and version.
pub(crate) async fn read_hello(stream: &mut (impl AsyncRead + Unpin), fleet: u16) -> io::Result<bool> {
    let mut received = [0; HELLO_LEN];
    stream.read_exact(&mut received).await?;
    Ok(received == hello(fleet))
}

/// Codec of frames with a 32-bit big-endian length prefix.
pub(crate) fn framing() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().length_field_length(4).max_frame_length(MAX_FRAME_LEN).new_codec()
}

/// Disables Nagle's algorithm and sets the user time-out, so that the kernel detects a lost peer.
pub(crate) fn configure_socket(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}

/// Enables keep-alive, for the server side: it sends only answers, and would never detect a client whose machine lost
/// power.
pub(crate) fn enable_keepalive(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_tcp_keepalive(&TcpKeepalive::new().with_time(TCP_KEEPALIVE_IDLE))
}

/// Frames up to this length, in bytes, are copied to be written together.
const WRITE_BUFFER_BYTES: usize = 64 << 10;

/// Writes queued frames; small ones that are queued at one time are written together. `frame_of` returns the frame of a queued
/// item, which is dropped once its frame was passed to the kernel or copied.
pub(crate) async fn write_frames<T>(
    mut writer: OwnedWriteHalf,
    mut queue: mpsc::Receiver<T>,
    mut frame_of: impl FnMut(&T) -> Bytes,
) -> io::Result<()> {
    let mut buffer = BytesMut::new();
    while let Some(mut item) = queue.recv().await {
        loop {
            let frame = frame_of(&item);
            let length = u32::try_from(frame.len()).map_err(io::Error::other)?;
            buffer.put_u32(length);
            if buffer.len() + frame.len() <= WRITE_BUFFER_BYTES {
                buffer.extend_from_slice(&frame);
            } else {
                write_buffer(&mut writer, &mut buffer).await?;
                writer.write_all(&frame).await?;
            }
            drop((frame, item));
            match queue.try_recv() {
                Ok(next) => item = next,
                Err(_) => break,
            }
        }
        write_buffer(&mut writer, &mut buffer).await?;
    }
    Ok(())
}

async fn write_buffer(writer: &mut OwnedWriteHalf, buffer: &mut BytesMut) -> io::Result<()> {
    writer.write_all(buffer).await?;
    buffer.clear();
    Ok(())
}
