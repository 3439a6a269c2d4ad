//! Incremental parser that counts the events of a stream and collects their data.

/// Parses `text/event-stream`, whatever the boundaries of its chunks.
#[derive(Default)]
pub(crate) struct EventScan {
    /// Bytes of the current, incomplete line.
    line: Vec<u8>,
    after_carriage_return: bool,
    data: Vec<u8>,
    /// Whether the current event has a `data` line.
    has_data: bool,
    events: u32,
    collects_output: bool,
    output: Vec<u8>,
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
                None => {
                    self.line.extend_from_slice(bytes);
                    return;
                }
                Some(end) => {
                    self.line.extend_from_slice(&bytes[..end]);
                    self.after_carriage_return = bytes[end] == b'\r';
                    bytes = &bytes[end + 1..];
                    self.end_line();
                }
            }
        }
    }

    fn end_line(&mut self) {
        let mut line = std::mem::take(&mut self.line);
        if line.is_empty() {
            if std::mem::take(&mut self.has_data) {
                self.events = self.events.saturating_add(1);
                if self.collects_output {
                    self.output.append(&mut self.data);
                    self.output.push(b'\n');
                }
                self.data.clear();
            }
        } else if let Some(value) = data_value(&line) {
            if self.collects_output {
                if self.has_data {
                    self.data.push(b'\n');
                }
                self.data.extend_from_slice(value);
            }
            self.has_data = true;
        }
        line.clear();
        self.line = line;
    }

    /// Number of events of which at least a part of the data was parsed: an incomplete one counts, since the client
    /// has a part of it.
    pub(crate) fn delivered_events(&self) -> u32 {
        let has_incomplete = self.has_data || data_value(&self.line).is_some();
        self.events.saturating_add(u32::from(has_incomplete))
    }

    /// Whether no event is incomplete.
    pub(crate) fn between_events(&self) -> bool {
        !self.has_data && self.line.is_empty()
    }

    /// The data of all complete events, each followed by a line feed.
    pub(crate) fn into_output(self) -> Vec<u8> {
        self.output
    }
}

fn data_value(line: &[u8]) -> Option<&[u8]> {
    let rest = line.strip_prefix(b"data")?;
    match rest.split_first() {
        None => Some(rest),
        Some((b':', value)) => Some(value.strip_prefix(b" ").unwrap_or(value)),
        Some(_) => None,
    }
}

#[cfg(test)]
mod tests;
