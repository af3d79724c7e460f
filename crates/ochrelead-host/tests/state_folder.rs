//! Tests the replacement of a file: the order of its operations, and the files that remain if the process is killed
//! at any point.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use ochrelead_host::state_folder::{Disk, Durability, StateFolder, replace, replace_with_hook};

const NAME: &str = "state";
const BACKUP_NAME: &str = "state.former";
const OLD: &[u8] = b"the former contents";
const NEW: &[u8] = b"new \xff contents";
const DURABILITIES: [Durability; 2] = [Durability::Synced, Durability::Unsynced];

/// A disk that records its operations and fails after a given number of them, as if the process were killed. A write
/// that fails leaves an incomplete file.
struct TestDisk {
    files: BTreeMap<String, Vec<u8>>,
    operations: Vec<String>,
    remaining_operations: usize,
    /// The number of bytes that a failed write leaves in the file.
    torn_length: usize,
}

impl TestDisk {
    /// Creates a disk whose file has the old contents.
    fn new(remaining_operations: usize, torn_length: usize) -> TestDisk {
        let files = BTreeMap::from([(NAME.to_owned(), OLD.to_vec())]);
        TestDisk { files, operations: Vec::new(), remaining_operations, torn_length }
    }

    /// Records an operation, or fails if the process is killed before it.
    fn record(&mut self, operation: String) -> io::Result<()> {
        self.remaining_operations =
            self.remaining_operations.checked_sub(1).ok_or_else(|| io::Error::other("killed"))?;
        self.operations.push(operation);
        Ok(())
    }

    fn contents(&self, name: &str) -> Option<&[u8]> {
        self.files.get(name).map(Vec::as_slice)
    }
}

impl Disk for TestDisk {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        Ok(self.files.get(name).cloned())
    }

    fn write(&mut self, name: &str, contents: &[u8], durability: Durability) -> io::Result<()> {
        self.files.insert(name.to_owned(), contents[..self.torn_length].to_owned());
        self.record(format!("write {name} {durability:?}"))?;
        self.files.insert(name.to_owned(), contents.to_owned());
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.record(format!("rename {from} {to}"))?;
        let contents = self.files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        self.files.insert(to.to_owned(), contents);
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        self.record("sync".to_owned())
    }
}

/// Moves the old file away, as a caller that keeps a backup does before the rename.
fn back_up(disk: &mut TestDisk) -> io::Result<()> {
    disk.rename(NAME, BACKUP_NAME)
}

#[test]
fn synced_replacement_syncs_contents_before_rename_and_folder_after_it() {
    let mut disk = TestDisk::new(usize::MAX, 0);
    replace(&mut disk, NAME, NEW, Durability::Synced).unwrap();
    assert_eq!(disk.operations, ["write state.next Synced", "rename state.next state", "sync"]);
}

#[test]
fn unsynced_replacement_writes_and_renames() {
    let mut disk = TestDisk::new(usize::MAX, 0);
    replace(&mut disk, NAME, NEW, Durability::Unsynced).unwrap();
    assert_eq!(disk.operations, ["write state.next Unsynced", "rename state.next state"]);
}

#[test]
fn old_file_is_backed_up_after_the_new_contents_are_written() {
    let mut disk = TestDisk::new(usize::MAX, 0);
    replace_with_hook(&mut disk, NAME, NEW, Durability::Synced, back_up).unwrap();
    let expected =
        ["write state.next Synced", "rename state state.former", "rename state.next state", "sync"];
    assert_eq!(disk.operations, expected);
    assert_eq!((disk.contents(NAME), disk.contents(BACKUP_NAME)), (Some(NEW), Some(OLD)));
}

#[test]
fn replacement_killed_at_any_point_leaves_old_or_new_contents() {
    for durability in DURABILITIES {
        let mut completed = TestDisk::new(usize::MAX, 0);
        replace(&mut completed, NAME, NEW, durability).unwrap();
        let operations = completed.operations.len();
        for (remaining_operations, torn_length) in kill_points(operations) {
            let mut disk = TestDisk::new(remaining_operations, torn_length);
            let result = replace(&mut disk, NAME, NEW, durability);
            let is_renamed = remaining_operations >= 2;
            let expected = if is_renamed { NEW } else { OLD };
            assert_eq!(
                disk.contents(NAME),
                Some(expected),
                "{durability:?} {remaining_operations} {torn_length}"
            );
            assert_eq!(
                result.is_ok(),
                remaining_operations == operations,
                "{durability:?} {remaining_operations}"
            );
        }
    }
}

#[test]
fn replacement_with_backup_killed_at_any_point_leaves_backup_or_new_contents() {
    for (remaining_operations, torn_length) in kill_points(4) {
        let mut disk = TestDisk::new(remaining_operations, torn_length);
        let result = replace_with_hook(&mut disk, NAME, NEW, Durability::Synced, back_up);
        let expected = match remaining_operations {
            0 | 1 => (Some(OLD), None),
            2 => (None, Some(OLD)),
            _ => (Some(NEW), Some(OLD)),
        };
        let remaining = (disk.contents(NAME), disk.contents(BACKUP_NAME));
        assert_eq!(remaining, expected, "{remaining_operations} {torn_length}");
        assert_eq!(result.is_ok(), remaining_operations == 4, "{remaining_operations}");
    }
}

/// Returns every number of completed operations, combined with every length of an incomplete write.
fn kill_points(operations: usize) -> impl Iterator<Item = (usize, usize)> {
    (0..=operations).flat_map(|completed| (0..NEW.len()).map(move |torn_length| (completed, torn_length)))
}

#[test]
fn replacement_succeeds_after_a_killed_one() {
    for (remaining_operations, torn_length) in kill_points(3) {
        let mut disk = TestDisk::new(remaining_operations, torn_length);
        let _ = replace(&mut disk, NAME, NEW, Durability::Synced);
        disk.remaining_operations = usize::MAX;
        replace(&mut disk, NAME, OLD, Durability::Synced).unwrap();
        assert_eq!(disk.contents(NAME), Some(OLD));
        assert_eq!(disk.contents("state.next"), None);
    }
}

#[test]
fn new_file_is_not_renamed_if_the_backup_fails() {
    let mut disk = TestDisk::new(usize::MAX, 0);
    let result =
        replace_with_hook(&mut disk, NAME, NEW, Durability::Synced, |_| Err(io::Error::other("unreadable")));
    assert!(result.is_err());
    assert_eq!(disk.operations, ["write state.next Synced"]);
    assert_eq!(disk.contents(NAME), Some(OLD));
}

/// Returns the path of a test folder that does not exist yet.
fn fresh_folder_path(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_dir_all(&folder);
    folder
}

#[test]
fn state_folder_is_created_and_its_files_are_replaced() {
    let path = fresh_folder_path("state_folder");
    let mut folder = StateFolder::open(&path).unwrap();
    assert_eq!(folder.read(NAME).unwrap(), None);
    for (durability, contents) in DURABILITIES.into_iter().zip([OLD, NEW]) {
        replace(&mut folder, NAME, contents, durability).unwrap();
        assert_eq!(folder.read(NAME).unwrap().as_deref(), Some(contents));
    }
    let names: Vec<_> = fs::read_dir(&path).unwrap().map(|entry| entry.unwrap().file_name()).collect();
    assert_eq!(names, [NAME], "no temporary file remains");
}

#[test]
fn unreadable_file_is_an_error() {
    let path = fresh_folder_path("state_folder_unreadable");
    let folder = StateFolder::open(&path).unwrap();
    fs::create_dir(path.join(NAME)).unwrap();
    assert!(folder.read(NAME).is_err());
}
