//! The forms that an answer without end takes.

/// Length of what is written at once, in bytes.
const BLOCK_BYTES: usize = 64 * 1024;
/// Data of an event, in bytes.
const EVENT_DATA_BYTES: usize = 1_000;
/// Zeros before the digit of a padded chunk size: allowed by the protocol.
const PADDING_DIGITS: usize = 200;
/// A length that no answer has, in bytes.
const HUGE_LENGTH: u64 = 1 << 62;
/// Length of a chunk that does not end, in hexadecimal digits.
const HUGE_CHUNK: &str = "3fffffffffffffff";
/// A length that no number type holds.
const LENGTH_OF_26_DIGITS: &str = "99999999999999999999999999";

/// What an endpoint sends without end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// One header line.
    HeaderLine,
    /// Header after header.
    Headers,
    /// Interim responses (100), never the final one.
    InterimResponses,
    /// A body whose length is stated with 26 digits.
    LengthOfManyDigits,
    /// A body with a stated length far over anything that arrives.
    HugeLength,
    /// A body without a length.
    NoLength,
    /// Zeros where the size of a chunk is due.
    ChunkSize,
    /// Letters where the size of a chunk is due.
    InvalidChunkSize,
    /// An extension of a chunk.
    ChunkExtension,
    /// One chunk.
    Chunk,
    /// Chunks of one byte.
    ByteChunks,
    /// Chunks of one byte, whose sizes are padded with zeros.
    PaddedByteChunks,
    /// Chunks that never complete an event.
    IncompleteEvent,
    /// Complete events.
    Events,
}

impl Form {
    /// Each form.
    pub const ALL: [Self; 14] = [
        Self::HeaderLine,
        Self::Headers,
        Self::InterimResponses,
        Self::LengthOfManyDigits,
        Self::HugeLength,
        Self::NoLength,
        Self::ChunkSize,
        Self::InvalidChunkSize,
        Self::ChunkExtension,
        Self::Chunk,
        Self::ByteChunks,
        Self::PaddedByteChunks,
        Self::IncompleteEvent,
        Self::Events,
    ];

    /// What follows status line and common headers, up to where the endless part begins.
    pub fn start(self) -> String {
        let chunked = "Transfer-Encoding: chunked\r\n\r\n";
        match self {
            Self::HeaderLine => "X-Filler: ".to_owned(),
            Self::Headers | Self::InterimResponses => String::new(),
            Self::LengthOfManyDigits => format!("Content-Length: {LENGTH_OF_26_DIGITS}\r\n\r\n"),
            Self::HugeLength => format!("Content-Length: {HUGE_LENGTH}\r\n\r\n"),
            Self::NoLength => "Connection: close\r\n\r\n".to_owned(),
            Self::ChunkSize | Self::InvalidChunkSize => chunked.to_owned(),
            Self::ChunkExtension => format!("{chunked}1;filler="),
            Self::Chunk => format!("{chunked}{HUGE_CHUNK}\r\n"),
            Self::ByteChunks | Self::PaddedByteChunks | Self::Events => chunked.to_owned(),
            Self::IncompleteEvent => format!("{chunked}6\r\ndata: \r\n"),
        }
    }

    /// The block that is sent again and again.
    pub fn block(self) -> Vec<u8> {
        let unit = match self {
            Self::Headers => "X-Filler: x\r\n".to_owned(),
            Self::InterimResponses => "HTTP/1.1 100 Continue\r\n\r\n".to_owned(),
            Self::ChunkSize => "0".to_owned(),
            Self::InvalidChunkSize => "z".to_owned(),
            Self::ByteChunks => "1\r\nx\r\n".to_owned(),
            Self::PaddedByteChunks => format!("{}1\r\nx\r\n", "0".repeat(PADDING_DIGITS)),
            Self::IncompleteEvent => "7\r\nxxxxxxx\r\n".to_owned(),
            Self::Events => {
                let event = format!("id: 1\ndata: {}\n\n", "x".repeat(EVENT_DATA_BYTES));
                format!("{:x}\r\n{event}\r\n", event.len())
            }
            Self::HeaderLine
            | Self::LengthOfManyDigits
            | Self::HugeLength
            | Self::NoLength
            | Self::ChunkExtension
            | Self::Chunk => "x".to_owned(),
        };
        unit.repeat((BLOCK_BYTES / unit.len()).max(1)).into_bytes()
    }
}

/// One faulty answer: its form and its status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultyAnswer {
    /// What does not end.
    pub form: Form,
    /// The status.
    pub status: u16,
}

impl FaultyAnswer {
    /// The form with each status.
    pub fn with_each_status(form: Form) -> Vec<Self> {
        [200, 500].map(|status| Self { form, status }).to_vec()
    }

    /// Each form with each status.
    pub fn all() -> Vec<Self> {
        Form::ALL.into_iter().flat_map(Self::with_each_status).collect()
    }
}
