//! A disk in memory: it fills up, and what is written during a kill is torn.

use std::collections::BTreeMap;
use std::io;

use ochrelead_host::state_folder::{Disk, Durability};

/// One folder.
#[derive(Clone, Debug, Default)]
pub struct MemoryDisk {
    files: BTreeMap<String, Vec<u8>>,
    /// Whether writes fail for lack of space.
    pub full: bool,
    /// Steps (writes, renames, syncs) until the process is killed; a write during the kill is torn.
    remaining_steps: Option<u32>,
}

impl MemoryDisk {
    /// The process will be killed after so many steps.
    pub fn fail_after(&mut self, steps: u32) {
        self.remaining_steps = Some(steps);
    }

    /// A new process runs: nothing fails any more because of the kill.
    pub fn restart(&mut self) {
        self.remaining_steps = None;
    }

    fn step(&mut self) -> io::Result<()> {
        match &mut self.remaining_steps {
            Some(0) => Err(io::Error::other("the process is gone")),
            Some(remaining) => {
                *remaining -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }
}

/// The part of a torn write that reached the disk.
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
            return Err(io::Error::new(io::ErrorKind::StorageFull, "no space left"));
        }
        let result = self.step();
        let written = if result.is_ok() { contents.to_owned() } else { first_half(contents) };
        self.files.insert(name.to_owned(), written);
        result
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.step()?;
        let contents = self.files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        self.files.insert(to.to_owned(), contents);
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        self.step()
    }
}
