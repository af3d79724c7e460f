//! The error for an invalid configuration file or scenario.

use std::fmt;

use ochrelead_config::diagnostic::Diagnostic;
use thiserror::Error;

/// All errors in a file, printed one per line, so that an operator sees them at once.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub struct InvalidFile(pub Vec<Diagnostic>);

impl fmt::Display for InvalidFile {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, diagnostic) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{diagnostic}")?;
        }
        Ok(())
    }
}
