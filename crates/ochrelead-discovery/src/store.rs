//! Where a front stores its endpoints: one file, and the one before it.
//!
//! A save writes beside, syncs, renames the present file to the former one and the new one into its place, and syncs
//! the folder; whatever of these steps was last, one whole file can be read.

use std::io;

use ochrelead_host::state_folder::{Disk, Durability, replace_with_hook};
use thiserror::Error;

use crate::persistence::{PersistedEndpoints, RestoreError};

const PRESENT: &str = "kept";
const FORMER: &str = "kept.former";

/// A file that was passed over, and why.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{name}: {error}")]
pub struct RejectedFile {
    /// The name of the file.
    pub name: &'static str,
    /// Why it can't be used.
    pub error: RestoreError,
}

/// What was found in a store.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadedEndpoints {
    /// What was saved last, as far as it can be read.
    pub endpoints: Option<PersistedEndpoints>,
    /// The newer files that can't be used.
    pub rejected: Vec<RejectedFile>,
}

/// Saves in an order that a kill at any point survives.
///
/// # Errors
///
/// Where the disk fails; what was saved before can still be read.
pub fn save(disk: &mut impl Disk, endpoints: &PersistedEndpoints) -> io::Result<()> {
    let contents = endpoints.encode();
    replace_with_hook(disk, PRESENT, contents.as_bytes(), Durability::Synced, keep_present)
}

/// Keeps the present file as the former one. One that is torn must not replace a former one that is whole.
fn keep_present(disk: &mut impl Disk) -> io::Result<()> {
    match load_file(disk, PRESENT)? {
        Some(Ok(_)) => disk.rename(PRESENT, FORMER),
        Some(Err(_)) | None => Ok(()),
    }
}

/// Loads what was saved last.
///
/// # Errors
///
/// Where the disk fails.
pub fn load(disk: &impl Disk) -> io::Result<LoadedEndpoints> {
    let mut rejected = Vec::new();
    for name in [PRESENT, FORMER] {
        match load_file(disk, name)? {
            Some(Ok(endpoints)) => return Ok(LoadedEndpoints { endpoints: Some(endpoints), rejected }),
            Some(Err(error)) => rejected.push(RejectedFile { name, error }),
            None => {}
        }
    }
    Ok(LoadedEndpoints { endpoints: None, rejected })
}

fn load_file(disk: &impl Disk, name: &str) -> io::Result<Option<Result<PersistedEndpoints, RestoreError>>> {
    let decode = |bytes: Vec<u8>| PersistedEndpoints::decode(name, &String::from_utf8_lossy(&bytes));
    Ok(disk.read(name)?.map(decode))
}
