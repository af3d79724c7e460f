//! File-based endpoint discovery: the list of servers is read from watched files, adopted whole or not at all, and
//! persisted through restarts.
//!
//! - [`source_file`]: a file as it was read, or why it could not be read.
//! - [`fleet`]: from files to one candidate, or to all that is wrong with them.
//! - [`adoption`]: whether a candidate replaces the fleet in force. Policy, free of I/O.
//! - [`server_table`]: the servers by index, and who prevails where the list, a server's own report and the persisted
//!   state disagree. Policy, free of I/O.
//! - [`reloader`]: from what was read to what is in force, with [`counters`] and reasons.
//! - [`persistence`]: what survives a restart, as text; [`store`]: the order in which it is written.
//! - [`watch`]: reads and watches the files; it decides nothing.
//!
//! ```
//! use ochrelead_core::time::Moment;
//! use ochrelead_discovery::reloader::{EndpointReloader, ReloadOutcome};
//! use ochrelead_discovery::source_file::SourceFile;
//!
//! let text = r#"generation: 1 server { name: "s0" address: "127.0.0.1:10" number: 0 } end: 1"#;
//! let file = SourceFile { name: "a.textproto".to_owned(), text: Ok(text.to_owned()) };
//! let mut reloader = EndpointReloader::new(vec!["check".to_owned()], None);
//! let outcome = reloader.handle_files(Moment::from_micros(0), vec![file]);
//! assert!(matches!(outcome, Some(ReloadOutcome::Adopted { generation: 1, .. })));
//! ```

#![warn(missing_docs)]

pub mod adoption;
pub mod counters;
pub mod fleet;
pub mod persistence;
pub mod reloader;
pub mod server_table;
pub mod source_file;
pub mod store;
pub mod watch;

use ochrelead_config::diagnostic::Diagnostic;

/// All diagnostics in one line, as log lines have them.
fn in_one_line(diagnostics: &[Diagnostic]) -> String {
    let lines: Vec<String> = diagnostics.iter().map(ToString::to_string).collect();
    lines.join("; ")
}
