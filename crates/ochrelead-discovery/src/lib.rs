//! File-based endpoint discovery: reads the list of servers from watched files, adopts it completely or not at all, and
//! persists it across restarts.
//!
//! - [`source_file`]: the text of a file, or why it could not be read.
//! - [`fleet`]: joins the files into one candidate fleet, or reports all errors in them.
//! - [`adoption`]: decides whether a candidate replaces the fleet in force; without I/O.
//! - [`server_table`]: the servers by index, and the rules that determine the state of a server from the list, its own
//!   report and the persisted state; without I/O.
//! - [`reloader`]: applies these decisions to each reading of the files, with [`counters`] and reasons for rejections.
//! - [`persistence`]: the text format of the persisted endpoints; [`store`]: saves and loads it crash-safely.
//! - [`watch`]: watches and reads the files, without interpreting them.
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

/// Joins diagnostics into one line, for log lines.
fn join_diagnostics(diagnostics: &[Diagnostic]) -> String {
    let lines: Vec<String> = diagnostics.iter().map(ToString::to_string).collect();
    lines.join("; ")
}
