//! The folder in which a front stores its state, and how a file in it is replaced.
//!
//! A replacement writes the new contents beside the file, under its name with [`NEXT_SUFFIX`], and renames them into
//! its place. A process that is killed at any point leaves the former file or the new one, never a torn one.

use std::fs::{self, File};
use std::io::{self, ErrorKind, Read, Write};
use std::path::{Path, PathBuf};

/// What the name of a file ends with while its new contents are being written.
pub const NEXT_SUFFIX: &str = ".next";

/// Whether what was written must survive a loss of power.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durability {
    /// It is synced: the contents before the file is renamed, the folder after it.
    Synced,
    /// It is not synced, as suits a status that is soon written again.
    Unsynced,
}

/// A folder of files, as far as replacing one needs it.
pub trait Disk {
    /// The contents of a file; none where there is no such file.
    ///
    /// # Errors
    ///
    /// Where it is there and can't be read.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;

    /// Writes a file, and syncs it where it is to be durable.
    ///
    /// # Errors
    ///
    /// Where that was not completed; the file may be torn.
    fn write(&mut self, name: &str, contents: &[u8], durability: Durability) -> io::Result<()>;

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

/// Replaces a file: a kill at any point leaves the former contents or the new ones.
///
/// # Errors
///
/// Where the disk fails. The former contents are still there then, unless it was the folder that could not be synced.
pub fn replace(disk: &mut impl Disk, name: &str, contents: &[u8], durability: Durability) -> io::Result<()> {
    replace_after(disk, name, contents, durability, |_| Ok(()))
}

/// Replaces a file as [`replace`] does. `before_rename` is called once the new contents are written whole, and may move
/// the former file away; where it fails, nothing is renamed.
///
/// # Errors
///
/// Where the disk or `before_rename` fails.
pub fn replace_after<D: Disk>(
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

/// A folder of the file system.
#[derive(Debug)]
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
