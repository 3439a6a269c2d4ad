//! Incremental parser that counts the events of a stream and collects their data.

const DATA_FIELD: &[u8] = b"data";

/// Parses `text/event-stream`, whatever the boundaries of its chunks. Of a line it keeps nothing but collected data, so that a
/// line without end needs no memory.
#[derive(Default)]
pub(crate) struct EventScan {
    line: Line,
    after_carriage_return: bool,
    /// Whether the current event has a complete `data` line.
    has_data: bool,
    events: u32,
    collects_output: bool,
    output: Vec<u8>,
    /// Length of the output up to the last complete event.
    complete_output_bytes: usize,
}

/// The part of the current line that was parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Line {
    /// So many bytes, which begin the name of the field `data`.
    Name(usize),
    /// A `data` line up to its colon.
    Colon,
    /// A `data` line up to a part of its value.
    Value,
    /// A line of another field.
    Other,
}

impl Default for Line {
    fn default() -> Self {
        Self::Name(0)
    }
}

impl Line {
    /// Whether the line, if it ended here, were one of the field `data`.
    fn is_data(self) -> bool {
        matches!(self, Self::Colon | Self::Value) || self == Self::Name(DATA_FIELD.len())
    }
}

impl EventScan {
    /// Creates a parser that also collects the events' data if `collects_output`, otherwise only counts the events.
    pub(crate) fn new(collects_output: bool) -> Self {
        Self { collects_output, ..Self::default() }
    }

    /// Parses the next bytes of the stream.
    pub(crate) fn push(&mut self, mut bytes: &[u8]) {
        while let Some(first) = bytes.first() {
            if std::mem::take(&mut self.after_carriage_return) && *first == b'\n' {
                bytes = &bytes[1..];
                continue;
            }
            match bytes.iter().position(|byte| matches!(byte, b'\n' | b'\r')) {
                None => return self.push_part_of_line(bytes),
                Some(end) => {
                    self.push_part_of_line(&bytes[..end]);
                    self.after_carriage_return = bytes[end] == b'\r';
                    bytes = &bytes[end + 1..];
                    self.end_line();
                }
            }
        }
    }

    fn push_part_of_line(&mut self, mut part: &[u8]) {
        while let Some(first) = part.first() {
            self.line = match self.line {
                Line::Other => return,
                Line::Value => return self.collect(part),
                Line::Colon if *first == b' ' => Line::Value,
                Line::Colon => {
                    self.line = Line::Value;
                    continue;
                }
                Line::Name(length) if DATA_FIELD.get(length) == Some(first) => Line::Name(length + 1),
                Line::Name(length) if length == DATA_FIELD.len() && *first == b':' => {
                    self.begin_data();
                    Line::Colon
                }
                Line::Name(_) => Line::Other,
            };
            part = &part[1..];
        }
    }

    /// Separates the value of a `data` line from that of the one before it.
    fn begin_data(&mut self) {
        if self.has_data {
            self.collect(b"\n");
        }
    }

    fn end_line(&mut self) {
        match std::mem::take(&mut self.line) {
            Line::Name(0) => {
                if std::mem::take(&mut self.has_data) {
                    self.events = self.events.saturating_add(1);
                    self.collect(b"\n");
                    self.complete_output_bytes = self.output.len();
                }
            }
            // The field without a colon has an empty value.
            Line::Name(length) if length == DATA_FIELD.len() => {
                self.begin_data();
                self.has_data = true;
            }
            Line::Colon | Line::Value => self.has_data = true,
            Line::Name(_) | Line::Other => {}
        }
    }

    fn collect(&mut self, value: &[u8]) {
        if self.collects_output {
            self.output.extend_from_slice(value);
        }
    }

    /// Number of events of which at least a part of the data was parsed: an incomplete one counts, since the client
    /// has a part of it.
    pub(crate) fn delivered_events(&self) -> u32 {
        let has_incomplete = self.has_data || self.line.is_data();
        self.events.saturating_add(u32::from(has_incomplete))
    }

    /// Whether no event is incomplete.
    pub(crate) fn between_events(&self) -> bool {
        !self.has_data && self.line == Line::Name(0)
    }

    /// The length that the output has at most once this many more bytes are parsed.
    pub(crate) fn max_output_bytes(&self, added_bytes: usize) -> usize {
        if self.collects_output { self.output.len() + added_bytes } else { 0 }
    }

    /// Allocates room for an output of this length.
    pub(crate) fn reserve_output(&mut self, bytes: usize) {
        self.output.reserve_exact(bytes.saturating_sub(self.output.len()));
    }

    /// The data of all complete events, each followed by a line feed.
    pub(crate) fn into_output(mut self) -> Vec<u8> {
        self.output.truncate(self.complete_output_bytes);
        self.output
    }
}

#[cfg(test)]
mod tests;
