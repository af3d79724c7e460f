//! Settings and days as operators write them: protobuf text format, checked as a whole before anything starts.
//!
//! - [`text`]: from a file to a message, and where in the file each field stands.
//! - [`commission`]: what a front is set to, as the few figures that decisions use.
//! - [`numbering`]: which service and which server of first choice a called number means.
//! - [`day`]: scripted days for the stand-ins.
//!
//! Every reader returns all that is wrong, each with file, line and column; raw messages are not kept.

pub mod commission;
pub mod day;
pub mod numbering;
pub mod text;

/// The schemas' own types.
#[allow(clippy::doc_lazy_continuation)]
pub mod schema {
    include!(concat!(env!("OUT_DIR"), "/ochrelead.settings.rs"));
}
