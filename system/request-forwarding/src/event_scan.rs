//! Events of a stream, read as its bytes pass.

/// Reads `text/event-stream` across any cuts between chunks.
#[derive(Default)]
pub(crate) struct EventScan {
    /// Bytes of the line that has not ended.
    line: Vec<u8>,
    after_return: bool,
    data: Vec<u8>,
    has_data: bool,
    events: u32,
    keeps: bool,
    output: Vec<u8>,
}

impl EventScan {
    /// One that collects the events' data, or only counts them.
    pub(crate) fn new(keeps: bool) -> Self {
        Self { keeps, ..Self::default() }
    }

    /// Takes the next bytes.
    pub(crate) fn take(&mut self, mut bytes: &[u8]) {
        while let Some(first) = bytes.first() {
            if std::mem::take(&mut self.after_return) && *first == b'\n' {
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
                    self.after_return = bytes[end] == b'\r';
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
                if self.keeps {
                    self.output.append(&mut self.data);
                    self.output.push(b'\n');
                }
                self.data.clear();
            }
        } else if let Some(value) = value_of_data(&line) {
            if self.keeps {
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

    /// Events handed on, one that has only begun counted in.
    pub(crate) fn handed(&self) -> u32 {
        let begun = self.has_data || value_of_data(&self.line).is_some();
        self.events.saturating_add(u32::from(begun))
    }

    /// Whether the last event has ended.
    pub(crate) fn between_events(&self) -> bool {
        !self.has_data && self.line.is_empty()
    }

    /// The data of all events, each with a line feed after it.
    pub(crate) fn into_output(self) -> Vec<u8> {
        self.output
    }
}

fn value_of_data(line: &[u8]) -> Option<&[u8]> {
    let rest = line.strip_prefix(b"data")?;
    match rest.split_first() {
        None => Some(rest),
        Some((b':', value)) => Some(value.strip_prefix(b" ").unwrap_or(value)),
        Some(_) => None,
    }
}

#[cfg(test)]
mod tests;
