//! Frames to bytes and back, in Cap'n Proto's packed encoding. The submodules handle one kind of message each.

mod answer;
mod call;
mod coordination;
mod limits;
mod order;
mod push;
mod register;
mod values;

use self::answer::{read_answer, write_answer};
use self::call::{read_call, write_call};
use self::limits::MessageWords;
pub(crate) use self::limits::estimated_len;
use self::push::{read_push, write_push};
use crate::framing::MAX_FRAME_LEN;
use crate::peer_capnp as wire;
use bytes::Bytes;
use capnp::message::{Builder, HeapAllocator, ReaderOptions};
use capnp::serialize_packed;
use fleet_model::Frame;

/// Why bytes are not a frame, or a frame cannot be encoded.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The frame is longer than [`MAX_FRAME_LEN`].
    #[error("a frame of {0} bytes is too long")]
    TooLong(usize),
    /// The bytes are not a frame, or have a variant that this version does not know.
    #[error("malformed frame: {0}")]
    Malformed(#[from] capnp::Error),
    /// There are bytes after the frame.
    #[error("{0} bytes follow the frame")]
    Trailing(usize),
}

impl From<capnp::NotInSchema> for WireError {
    fn from(unknown: capnp::NotInSchema) -> Self {
        Self::Malformed(unknown.into())
    }
}

impl From<std::str::Utf8Error> for WireError {
    fn from(error: std::str::Utf8Error) -> Self {
        Self::Malformed(error.into())
    }
}

fn malformed(what: &str) -> WireError {
    WireError::Malformed(capnp::Error::failed(what.into()))
}

/// Maximum expansion of the packed encoding: two bytes encode up to 256 words of zeros.
const WORDS_PER_PACKED_BYTE: usize = 128;

/// Minimum size in words of a message's first segment: enough for most frames except lists and turns.
const FIRST_SEGMENT_WORDS: u32 = 64;

/// Encodes a frame, without the length prefix that precedes it on a connection.
///
/// # Errors
///
/// If the frame is longer than [`MAX_FRAME_LEN`].
///
/// # Panics
///
/// Never: the only conversion that can fail is of a length that was checked.
pub fn encode(frame: &Frame) -> Result<Bytes, WireError> {
    let size = estimated_len(frame);
    if size > MAX_FRAME_LEN {
        return Err(WireError::TooLong(size));
    }
    let words = FIRST_SEGMENT_WORDS + u32::try_from(size / 8).expect("at most the longest frame");
    let mut message = Builder::new(HeapAllocator::new().first_segment_words(words));
    write_frame(message.init_root(), frame);
    let unpacked = message.size_in_words() * 8;
    if unpacked > MAX_FRAME_LEN {
        return Err(WireError::TooLong(unpacked));
    }
    let mut bytes = Vec::with_capacity(64 + size);
    serialize_packed::write_message(&mut bytes, &message)?;
    if bytes.len() > MAX_FRAME_LEN {
        return Err(WireError::TooLong(bytes.len()));
    }
    Ok(bytes.into())
}

/// Decodes a frame.
///
/// # Errors
///
/// If the bytes are not exactly one frame of at most [`MAX_FRAME_LEN`] bytes.
pub fn decode(bytes: &[u8]) -> Result<Frame, WireError> {
    if bytes.len() > MAX_FRAME_LEN {
        return Err(WireError::TooLong(bytes.len()));
    }
    let mut rest = bytes;
    // The segment sizes in the message are untrusted and allocated before reading: allow no more than the bytes can
    // unpack to.
    let max_words = (bytes.len() * WORDS_PER_PACKED_BYTE).min(MAX_FRAME_LEN / 8);
    let options = ReaderOptions { traversal_limit_in_words: Some(2 * max_words), nesting_limit: 16 };
    let message = serialize_packed::read_message(&mut rest, options)?;
    if !rest.is_empty() {
        return Err(WireError::Trailing(rest.len()));
    }
    let words = MessageWords(message.size_in_words());
    read_frame(message.get_root()?, words)
}

fn write_frame(mut builder: wire::frame::Builder<'_>, frame: &Frame) {
    match frame {
        Frame::Call(call_id, call) => {
            builder.set_number(*call_id);
            write_call(builder.init_call(), call);
        }
        Frame::Answer(call_id, answer) => {
            builder.set_number(*call_id);
            write_answer(builder.init_answer(), answer);
        }
        Frame::Push(push) => write_push(builder.init_push(), push),
    }
}

fn read_frame(reader: wire::frame::Reader<'_>, words: MessageWords) -> Result<Frame, WireError> {
    let call_id = reader.get_number();
    Ok(match reader.which()? {
        wire::frame::Nothing(()) => return Err(malformed("the frame is empty")),
        wire::frame::Call(call) => Frame::Call(call_id, read_call(call?)?),
        wire::frame::Answer(answer) => Frame::Answer(call_id, read_answer(answer?, words)?),
        wire::frame::Push(push) => Frame::Push(read_push(push?, words)?),
    })
}
