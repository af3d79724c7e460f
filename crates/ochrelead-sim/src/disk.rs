//! A disk in memory: it fills up, and what was being written at a kill is torn.

use std::collections::BTreeMap;
use std::io;

use ochrelead_host::state_folder::{Disk, Durability};

/// One folder.
#[derive(Clone, Debug, Default)]
pub struct MemoryDisk {
    files: BTreeMap<String, Vec<u8>>,
    /// Takes nothing more.
    pub full: bool,
    /// Steps (writes, renames) until the power is gone; the one in hand then is torn.
    steps_left: Option<u32>,
}

impl MemoryDisk {
    /// The process will be killed after so many steps.
    pub fn fail_after(&mut self, steps: u32) {
        self.steps_left = Some(steps);
    }

    /// The next process finds what is there.
    pub fn revive(&mut self) {
        self.steps_left = None;
    }

    fn step(&mut self) -> io::Result<()> {
        match &mut self.steps_left {
            Some(0) => Err(io::Error::other("the process is gone")),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }
}

/// As much of a file as got to the disk.
fn half(contents: &[u8]) -> Vec<u8> {
    contents[..contents.len() / 2].to_owned()
}

impl Disk for MemoryDisk {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        Ok(self.files.get(name).cloned())
    }

    fn write(&mut self, name: &str, contents: &[u8], _: Durability) -> io::Result<()> {
        if self.full {
            self.files.insert(name.to_owned(), half(contents));
            return Err(io::Error::new(io::ErrorKind::StorageFull, "no space left"));
        }
        let done = self.step();
        let got = if done.is_ok() { contents.to_owned() } else { half(contents) };
        self.files.insert(name.to_owned(), got);
        done
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
