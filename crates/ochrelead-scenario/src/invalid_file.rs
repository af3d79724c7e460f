//! A configuration file or scenario that can't be used.

use std::fmt;

use ochrelead_config::diagnostic::Diagnostic;
use thiserror::Error;

/// All that is wrong with a file, one line each, so that an operator sees all of it at once.
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
