//! Cuts a stream into complete events, so that it can be resumed at another endpoint after the last one forwarded.

use bytes::{Bytes, BytesMut};

/// Longest event that is buffered until it is complete; a stream with a longer one cannot be resumed.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// Buffers the bytes of a stream until their event is complete.
#[derive(Default)]
pub(crate) struct CompleteEvents {
    buffer: BytesMut,
    /// Number of bytes of `buffer` that were scanned.
    scanned: usize,
    /// Start of the current, incomplete line in `buffer`.
    line_start: usize,
    /// The last byte scanned was a carriage return, which ends a line alone or together with a following line feed.
    after_carriage_return: bool,
    /// Id in the current, incomplete event.
    pending_id: Option<Bytes>,
    last_id: Option<Bytes>,
    /// An event exceeded the buffer and was forwarded incomplete; resumption would repeat a part of it.
    too_long: bool,
}

impl CompleteEvents {
    /// Adds the next bytes of the stream; returns the bytes of the events that are now complete, or all bytes once an event was too
    /// long.
    pub(crate) fn push(&mut self, data: &[u8]) -> Bytes {
        if self.too_long && self.buffer.is_empty() {
            return Bytes::copy_from_slice(data);
        }
        self.buffer.extend_from_slice(data);
        let mut complete_until = 0;
        while self.scanned < self.buffer.len() {
            let byte = self.buffer[self.scanned];
            self.scanned += 1;
            let follows_carriage_return = std::mem::replace(&mut self.after_carriage_return, byte == b'\r');
            match byte {
                // The line feed of a CRLF belongs to the event that its carriage return ended.
                b'\n' if follows_carriage_return => {
                    complete_until += usize::from(complete_until + 1 == self.scanned);
                    self.line_start = self.scanned;
                }
                b'\n' | b'\r' => complete_until = self.end_line().unwrap_or(complete_until),
                _ => {}
            }
        }
        let complete = self.buffer.split_to(complete_until).freeze();
        self.scanned -= complete_until;
        self.line_start -= complete_until;
        if self.too_long || self.buffer.len() > MAX_BUFFERED_BYTES {
            self.too_long = true;
            return self.append_incomplete(complete);
        }
        complete
    }

    /// Processes the end of a line; returns the end of the event if the line ended one.
    fn end_line(&mut self) -> Option<usize> {
        let line = &self.buffer[self.line_start..self.scanned - 1];
        let is_blank = line.is_empty();
        if let Some(id) = event_id(line) {
            self.pending_id = Some(Bytes::copy_from_slice(id));
        }
        self.line_start = self.scanned;
        if is_blank && let Some(id) = self.pending_id.take() {
            self.last_id = Some(id);
        }
        is_blank.then_some(self.scanned)
    }

    /// Number of buffered bytes.
    pub(crate) fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Buffers nothing more, for lack of memory: the stream can no longer be resumed.
    pub(crate) fn stop_buffering(&mut self) {
        self.too_long = true;
    }

    fn append_incomplete(&mut self, complete: Bytes) -> Bytes {
        let mut all = BytesMut::from(complete.as_ref());
        all.extend_from_slice(&self.take_incomplete());
        all.freeze()
    }

    /// Removes and returns the buffered bytes of the incomplete event.
    pub(crate) fn take_incomplete(&mut self) -> Bytes {
        (self.scanned, self.line_start, self.after_carriage_return) = (0, 0, false);
        self.pending_id = None;
        self.buffer.split().freeze()
    }

    /// The id after which another endpoint can resume; `None` if no complete event had an id, or an event was too long.
    pub(crate) fn last_id(&self) -> Option<&Bytes> {
        self.last_id.as_ref().filter(|_| !self.too_long)
    }
}

fn event_id(line: &[u8]) -> Option<&[u8]> {
    let value = line.strip_prefix(b"id:")?;
    let value = value.strip_prefix(b" ").unwrap_or(value);
    (!value.is_empty()).then_some(value)
}

#[cfg(test)]
mod tests;
