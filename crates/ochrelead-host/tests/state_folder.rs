//! The replacement of a file: its order, and what a kill at each point leaves.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use ochrelead_host::state_folder::{Disk, Durability, StateFolder, replace, replace_after};

const NAME: &str = "state";
const FORMER_NAME: &str = "state.former";
const FORMER: &[u8] = b"the former contents";
const NEW: &[u8] = b"new \xff contents";
const BOTH: [Durability; 2] = [Durability::Synced, Durability::Unsynced];

/// A disk that notes what is done to it, and whose process is killed after some operations. A write that is cut leaves
/// a torn file.
struct TestDisk {
    files: BTreeMap<String, Vec<u8>>,
    operations: Vec<String>,
    operations_left: usize,
    /// How many bytes of a write that is cut get to the disk.
    torn_length: usize,
}

impl TestDisk {
    /// A disk with the former contents.
    fn new(operations_left: usize, torn_length: usize) -> TestDisk {
        let files = BTreeMap::from([(NAME.to_owned(), FORMER.to_vec())]);
        TestDisk { files, operations: Vec::new(), operations_left, torn_length }
    }

    fn operate(&mut self, operation: String) -> io::Result<()> {
        self.operations_left =
            self.operations_left.checked_sub(1).ok_or_else(|| io::Error::other("killed"))?;
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
        self.operate(format!("write {name} {durability:?}"))?;
        self.files.insert(name.to_owned(), contents.to_owned());
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.operate(format!("rename {from} {to}"))?;
        let contents = self.files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        self.files.insert(to.to_owned(), contents);
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        self.operate("sync".to_owned())
    }
}

fn keep_former(disk: &mut TestDisk) -> io::Result<()> {
    disk.rename(NAME, FORMER_NAME)
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
fn former_file_is_moved_away_once_the_new_contents_are_whole() {
    let mut disk = TestDisk::new(usize::MAX, 0);
    replace_after(&mut disk, NAME, NEW, Durability::Synced, keep_former).unwrap();
    let order = ["write state.next Synced", "rename state state.former", "rename state.next state", "sync"];
    assert_eq!(disk.operations, order);
    assert_eq!((disk.contents(NAME), disk.contents(FORMER_NAME)), (Some(NEW), Some(FORMER)));
}

#[test]
fn killed_at_each_point_the_file_is_the_former_or_the_new_one() {
    for durability in BOTH {
        let mut completed = TestDisk::new(usize::MAX, 0);
        replace(&mut completed, NAME, NEW, durability).unwrap();
        let operations = completed.operations.len();
        for (operations_left, torn_length) in points(operations) {
            let mut disk = TestDisk::new(operations_left, torn_length);
            let done = replace(&mut disk, NAME, NEW, durability);
            let renamed = operations_left >= 2;
            let expected = if renamed { NEW } else { FORMER };
            assert_eq!(disk.contents(NAME), Some(expected), "{durability:?} {operations_left} {torn_length}");
            assert_eq!(done.is_ok(), operations_left == operations, "{durability:?} {operations_left}");
        }
    }
}

#[test]
fn killed_at_each_point_a_kept_former_file_or_the_new_one_is_whole() {
    for (operations_left, torn_length) in points(4) {
        let mut disk = TestDisk::new(operations_left, torn_length);
        let done = replace_after(&mut disk, NAME, NEW, Durability::Synced, keep_former);
        let expected = match operations_left {
            0 | 1 => (Some(FORMER), None),
            2 => (None, Some(FORMER)),
            _ => (Some(NEW), Some(FORMER)),
        };
        let left = (disk.contents(NAME), disk.contents(FORMER_NAME));
        assert_eq!(left, expected, "{operations_left} {torn_length}");
        assert_eq!(done.is_ok(), operations_left == 4, "{operations_left}");
    }
}

/// All numbers of completed operations, each with all lengths of a torn write.
fn points(operations: usize) -> impl Iterator<Item = (usize, usize)> {
    (0..=operations).flat_map(|completed| (0..NEW.len()).map(move |torn_length| (completed, torn_length)))
}

#[test]
fn a_replacement_after_a_kill_succeeds() {
    for (operations_left, torn_length) in points(3) {
        let mut disk = TestDisk::new(operations_left, torn_length);
        let _ = replace(&mut disk, NAME, NEW, Durability::Synced);
        disk.operations_left = usize::MAX;
        replace(&mut disk, NAME, FORMER, Durability::Synced).unwrap();
        assert_eq!(disk.contents(NAME), Some(FORMER));
        assert_eq!(disk.contents("state.next"), None);
    }
}

#[test]
fn nothing_is_renamed_where_the_former_file_can_not_be_kept() {
    let mut disk = TestDisk::new(usize::MAX, 0);
    let failed =
        replace_after(&mut disk, NAME, NEW, Durability::Synced, |_| Err(io::Error::other("unreadable")));
    assert!(failed.is_err());
    assert_eq!(disk.operations, ["write state.next Synced"]);
    assert_eq!(disk.contents(NAME), Some(FORMER));
}

fn empty_folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_dir_all(&folder);
    folder
}

#[test]
fn folder_of_the_file_system_is_created_and_its_files_are_replaced() {
    let path = empty_folder("state_folder");
    let mut folder = StateFolder::open(&path).unwrap();
    assert_eq!(folder.read(NAME).unwrap(), None);
    for (durability, contents) in BOTH.into_iter().zip([FORMER, NEW]) {
        replace(&mut folder, NAME, contents, durability).unwrap();
        assert_eq!(folder.read(NAME).unwrap().as_deref(), Some(contents));
    }
    let names: Vec<_> = fs::read_dir(&path).unwrap().map(|entry| entry.unwrap().file_name()).collect();
    assert_eq!(names, [NAME], "nothing is left beside");
}

#[test]
fn unreadable_file_is_an_error_and_not_a_missing_one() {
    let path = empty_folder("state_folder_unreadable");
    let folder = StateFolder::open(&path).unwrap();
    fs::create_dir(path.join(NAME)).unwrap();
    assert!(folder.read(NAME).is_err());
}
