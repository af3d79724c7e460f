//! The folder in which a front stores its state, and the atomic replacement of files in it.
//!
//! A replacement writes the new contents to a file in the same folder, whose name has the suffix [`NEXT_SUFFIX`], and
//! renames it over the old file. If the process is killed at any point, the file has either the old or the new
//! contents.

use std::fs::{self, File};
use std::io::{self, ErrorKind, Read, Write};
use std::path::{Path, PathBuf};

/// The suffix of the file into which new contents are written before they replace a file.
pub const NEXT_SUFFIX: &str = ".next";

/// Whether written data must survive a power failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durability {
    /// The data is synced: the contents before the rename, the folder after it.
    Synced,
    /// The data is not synced. This suits a status file, which is soon written again.
    Unsynced,
}

/// The operations on a folder that a file replacement needs.
pub trait Disk {
    /// Returns the contents of a file, or `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// If the file exists but can't be read.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;

    /// Writes a file, and syncs it if `durability` requires that.
    ///
    /// # Errors
    ///
    /// If the write or the sync fails. The file may then be incomplete.
    fn write(&mut self, name: &str, contents: &[u8], durability: Durability) -> io::Result<()>;

    /// Renames a file and replaces the target if it exists.
    ///
    /// # Errors
    ///
    /// If the rename fails. Nothing has changed then.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Syncs the folder, which makes earlier renames durable.
    ///
    /// # Errors
    ///
    /// If the sync fails. Renames may then be lost in a power failure.
    fn sync(&mut self) -> io::Result<()>;
}

/// Replaces a file atomically: if the process is killed at any point, the file has either the old or the new contents.
///
/// # Errors
///
/// If an operation on the disk fails. The file then has its old contents, unless the operation was the sync of the
/// folder.
pub fn replace(disk: &mut impl Disk, name: &str, contents: &[u8], durability: Durability) -> io::Result<()> {
    replace_with_hook(disk, name, contents, durability, |_| Ok(()))
}

/// Replaces a file as [`replace`] does, and calls `before_rename` between the write of the new contents and the rename.
/// `before_rename` may move the old file away. If it fails, the new file is not renamed.
///
/// # Errors
///
/// If an operation on the disk or `before_rename` fails.
pub fn replace_with_hook<D: Disk>(
    disk: &mut D,
    name: &str,
    contents: &[u8],
    durability: Durability,
    before_rename: impl FnOnce(&mut D) -> io::Result<()>,
) -> io::Result<()> {
    let next = format!("{name}{NEXT_SUFFIX}");
    disk.write(&next, contents, durability)?;
    before_rename(disk)?;
    disk.rename(&next, name)?;
    match durability {
        Durability::Synced => disk.sync(),
        Durability::Unsynced => Ok(()),
    }
}

/// A folder in the file system.
#[derive(Debug)]
pub struct StateFolder(PathBuf);

impl StateFolder {
    /// Opens a folder and creates it if it does not exist.
    ///
    /// # Errors
    ///
    /// If the folder does not exist and can't be created.
    pub fn open(path: &Path) -> io::Result<StateFolder> {
        fs::create_dir_all(path)?;
        Ok(StateFolder(path.to_owned()))
    }
}

impl Disk for StateFolder {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        let mut file = match File::open(self.0.join(name)) {
            Ok(file) => file,
            Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(error),
        };
        let mut contents = Vec::new();
        file.read_to_end(&mut contents)?;
        Ok(Some(contents))
    }

    fn write(&mut self, name: &str, contents: &[u8], durability: Durability) -> io::Result<()> {
        let mut file = File::create(self.0.join(name))?;
        file.write_all(contents)?;
        match durability {
            Durability::Synced => file.sync_all(),
            Durability::Unsynced => Ok(()),
        }
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.0.join(from), self.0.join(to))
    }

    fn sync(&mut self) -> io::Result<()> {
        File::open(&self.0)?.sync_all()
    }
}
