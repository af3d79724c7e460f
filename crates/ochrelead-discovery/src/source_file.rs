//! A file as it was read.

use std::str::Utf8Error;

use thiserror::Error;

/// The largest file that is read, in bytes.
pub const MAX_FILE_SIZE: u64 = 16 * 1024 * 1024;

/// What was found under one name: the text, or why there is none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceFile {
    /// The name of the file, without its folder.
    pub name: String,
    /// Its text.
    pub text: Result<String, ReadError>,
}

/// Why a file has no text.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum ReadError {
    /// The operating system could not read it, and reported this.
    #[error("{0}")]
    Io(String),
    /// It has that many bytes, more than [`MAX_FILE_SIZE`].
    #[error("{0} bytes; a fleet file has {MAX_FILE_SIZE} at most")]
    TooLarge(u64),
    /// Its bytes are no text.
    #[error("not UTF-8 text: {0}")]
    NotUtf8(Utf8Error),
}
