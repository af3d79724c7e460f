//! An in-memory disk that can run out of space and can tear a write that is interrupted by a kill.

use std::collections::BTreeMap;
use std::io;

use ochrelead_host::state_folder::{Disk, Durability};

/// The files of one folder.
#[derive(Clone, Debug, Default)]
pub struct MemoryDisk {
    files: BTreeMap<String, Vec<u8>>,
    /// Whether the disk is full: writes fail, and leave a torn file.
    pub full: bool,
    /// Operations (writes, renames, syncs) that still succeed before the process is killed; `None` if no kill is
    /// pending. A write that the kill interrupts is torn.
    remaining_operations: Option<u32>,
}

impl MemoryDisk {
    /// Makes every operation after the next `operations` ones fail, as if the process were killed then.
    pub fn fail_after(&mut self, operations: u32) {
        self.remaining_operations = Some(operations);
    }

    /// Clears a pending kill when a new process starts. A full disk stays full.
    pub fn restart(&mut self) {
        self.remaining_operations = None;
    }

    /// Counts one operation; fails if the process has been killed.
    fn begin_operation(&mut self) -> io::Result<()> {
        match &mut self.remaining_operations {
            Some(0) => Err(io::Error::other("process killed during disk operation")),
            Some(remaining) => {
                *remaining -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }
}

/// Returns the part of a torn write that reached the disk.
fn first_half(contents: &[u8]) -> Vec<u8> {
    contents[..contents.len() / 2].to_owned()
}

impl Disk for MemoryDisk {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        Ok(self.files.get(name).cloned())
    }

    fn write(&mut self, name: &str, contents: &[u8], _: Durability) -> io::Result<()> {
        if self.full {
            self.files.insert(name.to_owned(), first_half(contents));
            return Err(io::Error::new(io::ErrorKind::StorageFull, "no space left on simulated disk"));
        }
        let result = self.begin_operation();
        let written = if result.is_ok() { contents.to_owned() } else { first_half(contents) };
        self.files.insert(name.to_owned(), written);
        result
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.begin_operation()?;
        let contents = self.files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        self.files.insert(to.to_owned(), contents);
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        self.begin_operation()
    }
}
