//! A disk in memory: it fills up, and what is written during a kill is torn.

use std::collections::BTreeMap;
use std::io;

use ochrelead_discovery::store::Disk;

/// One folder.
#[derive(Clone, Debug, Default)]
pub struct MemoryDisk {
    files: BTreeMap<String, String>,
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
fn first_half(text: &str) -> String {
    text.chars().take(text.chars().count() / 2).collect()
}

impl Disk for MemoryDisk {
    fn read(&self, name: &str) -> io::Result<Option<String>> {
        Ok(self.files.get(name).cloned())
    }

    fn write(&mut self, name: &str, text: &str) -> io::Result<()> {
        if self.full {
            self.files.insert(name.to_owned(), first_half(text));
            return Err(io::Error::new(io::ErrorKind::StorageFull, "no space left"));
        }
        let result = self.step();
        let written = if result.is_ok() { text.to_owned() } else { first_half(text) };
        self.files.insert(name.to_owned(), written);
        result
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.step()?;
        let text = self.files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        self.files.insert(to.to_owned(), text);
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        self.step()
    }
}
