//! The acceptor's record on disk, and what a keeper starts with.

use crate::disk::{Durable, read};
use crate::start::StartError;
use config_register::{AcceptorRecord, FirstRecord, RecordForm, Standing};
use fleet_model::Ballot;
use std::net::Ipv4Addr;
use std::path::Path;
use turn_store::{Found, RecordLog};

#[cfg(test)]
mod tests;

/// What an acceptor starts with.
#[derive(Clone, Debug, PartialEq)]
pub enum Beginning {
    /// Its record.
    Kept(AcceptorRecord),
    /// It has never voted: this is to be kept before it does.
    First(AcceptorRecord),
    /// It may have voted and does not know: it votes when it is restored from the others.
    Unfit,
}

/// The disk of an acceptor.
pub struct Opened {
    /// Where its record is kept.
    pub durable: Durable,
    /// What it starts with.
    pub beginning: Beginning,
    /// Damages that were found and set aside.
    pub damages: u64,
}

/// Reads a record of a form that this program knows.
fn read_record(folder: &Path, bytes: &[u8]) -> Result<AcceptorRecord, StartError> {
    match RecordForm::of(bytes) {
        RecordForm::Present => read(folder, bytes),
        RecordForm::First => read::<FirstRecord>(folder, bytes).map(AcceptorRecord::from),
        RecordForm::Unknown(form) => {
            let place = folder.display();
            Err(StartError::Disk(format!(
                "{place}: a record of form {form}, which this program does not know"
            )))
        }
    }
}

/// Opens the folder.
pub fn open(
    folder: &Path,
    first_start: bool,
    me: Ipv4Addr,
    seeds: &[Ipv4Addr],
) -> Result<Opened, StartError> {
    let opened = RecordLog::open(folder)?;
    for damage in &opened.damages {
        log::error!("set aside: {damage}");
    }
    let beginning = match opened.found {
        Found::Kept(record) => Beginning::Kept(read_record(folder, &record)?),
        Found::Never if first_start && seeds.contains(&me) => {
            Beginning::First(config_register::found(seeds.to_vec()))
        }
        // It has never voted, so there is nothing that it may have forgotten.
        Found::Never if first_start => Beginning::First(AcceptorRecord {
            promised: Ballot::default(),
            accepted: None,
            standing: Standing::Blank,
            settled: None,
        }),
        // A promise that cannot be read is as good as forgotten.
        Found::Never | Found::Lost => Beginning::Unfit,
    };
    let damages = opened.damages.len() as u64;
    Ok(Opened { durable: Durable::over_log(opened.log)?, beginning, damages })
}
