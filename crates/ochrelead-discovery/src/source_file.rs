//! The result of reading one fleet file.

use std::str::Utf8Error;

use thiserror::Error;

/// The largest file that is read, in bytes.
pub const MAX_FILE_SIZE: u64 = 16 * 1024 * 1024;

/// A fleet file: its text, or why it could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceFile {
    /// The name of the file, without its folder.
    pub name: String,
    /// Its text.
    pub text: Result<String, ReadError>,
}

/// Why a file could not be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum ReadError {
    /// The operating system reported this error.
    #[error("{0}")]
    Io(String),
    /// The file has this many bytes, more than [`MAX_FILE_SIZE`].
    #[error("file has {0} bytes; the maximum is {MAX_FILE_SIZE}")]
    TooLarge(u64),
    /// The contents are not UTF-8 text.
    #[error("not UTF-8 text: {0}")]
    NotUtf8(Utf8Error),
}
