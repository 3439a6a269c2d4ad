//! Where a process writes its log, and who reads it.

use crate::fleet::{FleetError, io};
use std::fs::File;
use std::io::{PipeReader, PipeWriter, Write};
use std::path::Path;
use std::process::Stdio;

/// Where the log of a process goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogTarget {
    /// A file.
    File,
    /// A pipe whose reader has gone.
    ClosedPipe,
    /// A pipe that is full, and that nobody reads.
    FullPipe,
    /// A file on a disk that is full.
    FullDisk,
}

impl LogTarget {
    /// All but a file.
    pub const FAILING: [Self; 3] = [Self::ClosedPipe, Self::FullPipe, Self::FullDisk];

    /// Opens it for a process; the reader, where there is one, has to be kept as long as the process runs.
    pub(super) fn open(self, file: &Path) -> Result<(Stdio, Option<PipeReader>), FleetError> {
        let opened = match self {
            Self::File => (File::options().create(true).append(true).open(file).map(Stdio::from), None),
            Self::FullDisk => (File::options().write(true).open("/dev/full").map(Stdio::from), None),
            Self::ClosedPipe => (std::io::pipe().map(|(_, writer)| Stdio::from(writer)), None),
            Self::FullPipe => {
                let (reader, writer) = std::io::pipe().map_err(io("making a pipe"))?;
                (fill(&writer).map(|()| Stdio::from(writer)), Some(reader))
            }
        };
        Ok((opened.0.map_err(io("making a log"))?, opened.1))
    }
}

/// Writes until the pipe takes no more.
fn fill(mut pipe: &PipeWriter) -> std::io::Result<()> {
    let flags = rustix::fs::fcntl_getfl(pipe)?;
    rustix::fs::fcntl_setfl(pipe, flags | rustix::fs::OFlags::NONBLOCK)?;
    while pipe.write(&[b'x'; 512]).is_ok() {}
    while pipe.write(b"x").is_ok() {}
    Ok(rustix::fs::fcntl_setfl(pipe, flags)?)
}
