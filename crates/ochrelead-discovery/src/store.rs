//! Stores the endpoints of a front in a current file, and keeps the previous one.
//!
//! A save writes a new file, syncs it, renames the current file to the previous one and the new file to the current
//! one, and syncs the folder. After a crash between any two of these steps, one complete file can be read.

use std::io;

use ochrelead_host::state_folder::{Disk, Durability, replace_with_hook};
use thiserror::Error;

use crate::persistence::{PersistedEndpoints, RestoreError};

const CURRENT: &str = "kept";
const PREVIOUS: &str = "kept.former";

/// A file that was skipped when loading, and the reason.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{name}: {error}")]
pub struct RejectedFile {
    /// The name of the file.
    pub name: &'static str,
    /// Why the file cannot be restored.
    pub error: RestoreError,
}

/// The result of loading from a store.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadedEndpoints {
    /// The latest saved endpoints that can be read, if any.
    pub endpoints: Option<PersistedEndpoints>,
    /// The newer files that cannot be restored.
    pub rejected: Vec<RejectedFile>,
}

/// Saves the endpoints. After a crash at any point the old or the new ones can be loaded.
///
/// # Errors
///
/// If the disk fails. The endpoints saved before can still be loaded.
pub fn save(disk: &mut impl Disk, endpoints: &PersistedEndpoints) -> io::Result<()> {
    let contents = endpoints.encode();
    replace_with_hook(disk, CURRENT, contents.as_bytes(), Durability::Synced, rotate_current)
}

/// Renames the current file to the previous one if it can be restored. A torn current file must not replace a complete
/// previous one.
fn rotate_current(disk: &mut impl Disk) -> io::Result<()> {
    match load_file(disk, CURRENT)? {
        Some(Ok(_)) => disk.rename(CURRENT, PREVIOUS),
        Some(Err(_)) | None => Ok(()),
    }
}

/// Loads the latest saved endpoints that can be read.
///
/// # Errors
///
/// If the disk fails.
pub fn load(disk: &impl Disk) -> io::Result<LoadedEndpoints> {
    let mut rejected = Vec::new();
    for name in [CURRENT, PREVIOUS] {
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
