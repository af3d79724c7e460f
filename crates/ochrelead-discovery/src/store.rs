//! Where a front stores its endpoints: one file, and the one before it.
//!
//! A save writes beside, syncs, renames the present file to the former one and the new one into its place, and syncs
//! the folder; whatever of these steps was last, one whole file can be read.

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

use thiserror::Error;

use crate::persistence::{PersistedEndpoints, RestoreError};

const PRESENT: &str = "kept";
const FORMER: &str = "kept.former";
const NEXT: &str = "kept.next";

/// The folder that a store is in, as far as it needs one.
pub trait Disk {
    /// The text of a file; none where there is no such file.
    ///
    /// # Errors
    ///
    /// Where it is there and can't be read.
    fn read(&self, name: &str) -> io::Result<Option<String>>;
    /// Writes a file and syncs it.
    ///
    /// # Errors
    ///
    /// Where that was not completed; the file may be torn.
    fn write(&mut self, name: &str, text: &str) -> io::Result<()>;
    /// Renames a file, in place of another where there is one.
    ///
    /// # Errors
    ///
    /// Where nothing was renamed.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Makes renames durable.
    ///
    /// # Errors
    ///
    /// Where they may be lost.
    fn sync(&mut self) -> io::Result<()>;
}

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
    disk.write(NEXT, &endpoints.encode())?;
    // A present file that is torn must not replace a former one that is whole.
    if load_file(disk, PRESENT)?.is_some_and(|present| present.is_ok()) {
        disk.rename(PRESENT, FORMER)?;
    }
    disk.rename(NEXT, PRESENT)?;
    disk.sync()
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
    Ok(disk.read(name)?.map(|text| PersistedEndpoints::decode(name, &text)))
}

/// A folder of the file system.
pub struct StateFolder(PathBuf);

impl StateFolder {
    /// Opens a folder, and creates it where it is missing.
    ///
    /// # Errors
    ///
    /// Where the folder is missing and can't be created.
    pub fn open(path: &Path) -> io::Result<StateFolder> {
        fs::create_dir_all(path)?;
        Ok(StateFolder(path.to_owned()))
    }

    /// Replaces a file that need not last, such as a status: atomically, but not synced.
    ///
    /// # Errors
    ///
    /// Where it could not be written.
    pub fn replace(&self, name: &str, text: &str) -> io::Result<()> {
        let next = self.0.join(format!("{name}.next"));
        fs::write(&next, text)?;
        fs::rename(next, self.0.join(name))
    }
}

impl Disk for StateFolder {
    fn read(&self, name: &str) -> io::Result<Option<String>> {
        let mut bytes = Vec::new();
        match File::open(self.0.join(name)) {
            Ok(mut file) => file.read_to_end(&mut bytes)?,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(error),
        };
        Ok(Some(String::from_utf8_lossy(&bytes).into_owned()))
    }

    fn write(&mut self, name: &str, text: &str) -> io::Result<()> {
        let mut file = File::create(self.0.join(name))?;
        file.write_all(text.as_bytes())?;
        file.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.0.join(from), self.0.join(to))
    }

    fn sync(&mut self) -> io::Result<()> {
        File::open(&self.0)?.sync_all()
    }
}
