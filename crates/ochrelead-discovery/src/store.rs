//! What a front keeps between two lives: the fleet in force and what its servers said of themselves.
//!
//! One file, and the one before it. A save writes beside, syncs, renames the present file to the former and the
//! new one into its place, and syncs the folder; whatever of these steps was last, one whole file can be read.

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

use ochrelead_config::document::{Document, to_text};
use ochrelead_config::schema;
use ochrelead_config::server_endpoint::{self, ServerEndpoint};
use ochrelead_core::time::Moment;

use crate::roster::Said;
use crate::sheet::Fleet;

/// The first line: what the file is, its version, and the checksum (CRC-32) of all that follows.
const HEAD: &str = "ochrelead kept 1";

/// What was kept.
#[derive(Clone, Debug, PartialEq)]
pub struct Kept {
    /// The files' generations; none for a list that was no fleet's.
    pub files: Vec<(String, u64)>,
    pub servers: Vec<(ServerEndpoint, Said)>,
}

impl Kept {
    /// The fleet that was in force, as its files had it.
    pub fn fleet(&self) -> Option<Fleet> {
        let files = self.files.iter().map(|(name, generation)| (name.clone(), (*generation, None))).collect();
        let servers = self.servers.iter().map(|(post, _)| post.clone()).collect();
        (!self.files.is_empty()).then_some(Fleet { files, confirmed: Vec::new(), servers })
    }

    /// The text of the file, checksum and all.
    pub fn text(&self) -> String {
        let server = |(post, said): &(ServerEndpoint, Said)| schema::Server {
            name: Some(post.name.clone()),
            address: Some(post.address.to_string()),
            number: Some(post.number as u32),
            dialled: Some(post.dialled.clone()),
            started_us: post.started.map(Moment::micros),
            draining: Some(post.draining),
            weight: Some(post.weight),
            trunk: Some(post.trunk.clone()),
            lines: Some(post.lines),
            service: post.services.clone(),
            told: match said {
                Said::Nothing => None,
                Said::Drains => Some("drains".to_owned()),
                Said::Gone => Some("gone".to_owned()),
            },
        };
        let file = |(name, generation): &(String, u64)| schema::KeptFile {
            name: Some(name.clone()),
            generation: Some(*generation),
        };
        let kept = schema::Kept {
            file: self.files.iter().map(file).collect(),
            server: self.servers.iter().map(server).collect(),
        };
        let body = to_text(&kept, "Kept");
        format!("{HEAD} {:08x}\n{body}", crc32fast::hash(body.as_bytes()))
    }

    /// Reads what [`Kept::text`] wrote.
    ///
    /// # Errors
    ///
    /// Where it is torn, of another kind or version, or no sound list.
    pub fn read(file: &str, text: &str) -> Result<Kept, String> {
        let (head, body) = text.split_once('\n').ok_or("torn: no first line")?;
        let sum =
            head.strip_prefix(HEAD).ok_or_else(|| format!("no file of this kind and version: {head:.40}"))?;
        if u32::from_str_radix(sum.trim(), 16) != Ok(crc32fast::hash(body.as_bytes())) {
            return Err("torn: its checksum does not fit".to_owned());
        }
        let told =
            |complaints: Vec<_>| complaints.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ");
        let (kept, mut sheet) = Document::parse::<schema::Kept>(file, body, "Kept").map_err(told)?;
        let posts = server_endpoint::check_servers(&kept.server, "", &mut sheet);
        let said = kept.server.iter().map(|server| match server.told.as_deref() {
            Some("drains") => Said::Drains,
            Some("gone") => Said::Gone,
            _ => Said::Nothing,
        });
        let servers = posts.into_iter().zip(said).collect();
        let files =
            kept.file.into_iter().map(|file| (file.name.unwrap_or_default(), file.generation.unwrap_or(0)));
        sheet.finish(Kept { files: files.collect(), servers }).map_err(told)
    }
}

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
    /// Where that did not come to its end; the file may be torn.
    fn write(&mut self, name: &str, text: &str) -> io::Result<()>;
    /// Renames a file, in place of another where there is one.
    ///
    /// # Errors
    ///
    /// Where nothing was renamed.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Makes renames lasting.
    ///
    /// # Errors
    ///
    /// Where they may be lost.
    fn sync(&mut self) -> io::Result<()>;
}

const PRESENT: &str = "kept";
const FORMER: &str = "kept.former";
const NEXT: &str = "kept.next";

/// Saves in the order that a kill at any point survives.
///
/// # Errors
///
/// Where the disk fails; what was kept before can still be read.
pub fn save(disk: &mut impl Disk, kept: &Kept) -> io::Result<()> {
    disk.write(NEXT, &kept.text())?;
    // A present file that is torn must not take the place of a former one that is whole.
    if load_one(disk, PRESENT)?.is_some_and(|kept| kept.is_ok()) {
        disk.rename(PRESENT, FORMER)?;
    }
    disk.rename(NEXT, PRESENT)?;
    disk.sync()
}

fn load_one(disk: &impl Disk, name: &str) -> io::Result<Option<Result<Kept, String>>> {
    Ok(disk.read(name)?.map(|text| Kept::read(name, &text)))
}

/// What was kept last, and a line for each file that had to be passed over.
///
/// # Errors
///
/// Where the disk fails.
pub fn load(disk: &impl Disk) -> io::Result<(Option<Kept>, Vec<String>)> {
    let mut passed_over = Vec::new();
    for name in [PRESENT, FORMER] {
        match load_one(disk, name)? {
            Some(Ok(kept)) => return Ok((Some(kept), passed_over)),
            Some(Err(why)) => passed_over.push(format!("{name}: {why}")),
            None => {}
        }
    }
    Ok((None, passed_over))
}

/// A folder of the file system.
pub struct Folder(PathBuf);

impl Folder {
    /// # Errors
    ///
    /// Where the folder is not there and can't be made.
    pub fn open(path: &Path) -> io::Result<Folder> {
        fs::create_dir_all(path)?;
        Ok(Folder(path.to_owned()))
    }

    /// Replaces a file that need not last, such as a status: whole, but not synced.
    ///
    /// # Errors
    ///
    /// Where it could not be written.
    pub fn put(&self, name: &str, text: &str) -> io::Result<()> {
        let beside = self.0.join(format!("{name}.next"));
        fs::write(&beside, text)?;
        fs::rename(beside, self.0.join(name))
    }
}

impl Disk for Folder {
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
