//! Cuts a stream into complete events, so that it can be resumed at another endpoint after the last one forwarded.

use bytes::{Bytes, BytesMut};

/// Longest event that is buffered until it is complete; a stream with a longer one cannot be resumed.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// Bytes of a stream that have come, up to the end of its last whole event.
#[derive(Default)]
pub(crate) struct CompleteEvents {
    buffer: BytesMut,
    /// How much of `buffer` has been looked through.
    seen: usize,
    /// Where the line begins that has not ended.
    line_start: usize,
    /// The last byte seen was a carriage return, which ends a line by itself or with a line feed.
    after_return: bool,
    /// The id in the event that has not ended.
    pending_id: Option<Bytes>,
    last_id: Option<Bytes>,
    too_long: bool,
}

impl CompleteEvents {
    /// Takes the next bytes; returns those of the events that are whole now.
    pub(crate) fn take(&mut self, data: &[u8]) -> Bytes {
        self.buffer.extend_from_slice(data);
        let mut complete_until = 0;
        while self.seen < self.buffer.len() {
            let byte = self.buffer[self.seen];
            self.seen += 1;
            let follows_return = std::mem::replace(&mut self.after_return, byte == b'\r');
            match byte {
                // The second half of a line's end belongs to the event that the first half ended.
                b'\n' if follows_return => {
                    complete_until += usize::from(complete_until + 1 == self.seen);
                    self.line_start = self.seen;
                }
                b'\n' | b'\r' => complete_until = self.end_line().unwrap_or(complete_until),
                _ => {}
            }
        }
        let complete = self.buffer.split_to(complete_until).freeze();
        self.seen -= complete_until;
        self.line_start -= complete_until;
        if self.buffer.len() > MAX_BUFFERED_BYTES {
            self.too_long = true;
            return self.rest_after(complete);
        }
        complete
    }

    /// Ends a line; where it ended an event, up to where that reaches.
    fn end_line(&mut self) -> Option<usize> {
        let line = &self.buffer[self.line_start..self.seen - 1];
        let is_blank = line.is_empty();
        if let Some(id) = id_of(line) {
            self.pending_id = Some(Bytes::copy_from_slice(id));
        }
        self.line_start = self.seen;
        if is_blank && let Some(id) = self.pending_id.take() {
            self.last_id = Some(id);
        }
        is_blank.then_some(self.seen)
    }

    fn rest_after(&mut self, complete: Bytes) -> Bytes {
        let mut all = BytesMut::from(complete.as_ref());
        all.extend_from_slice(&self.rest());
        all.freeze()
    }

    /// What is held of an event that has not ended; it is held no more.
    pub(crate) fn rest(&mut self) -> Bytes {
        (self.seen, self.line_start, self.after_return) = (0, 0, false);
        self.pending_id = None;
        self.buffer.split().freeze()
    }

    /// The id after which another endpoint is to go on; none if no whole event told one.
    pub(crate) fn last_id(&self) -> Option<&Bytes> {
        self.last_id.as_ref().filter(|_| !self.too_long)
    }
}

fn id_of(line: &[u8]) -> Option<&[u8]> {
    let value = line.strip_prefix(b"id:")?;
    let value = value.strip_prefix(b" ").unwrap_or(value);
    (!value.is_empty()).then_some(value)
}

#[cfg(test)]
mod tests;
