//! Endpoint names (RFC 3435 section 2.1.2).

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

/// Maximum length of the local name and of the domain, in bytes each (RFC 3435 section 2.1.2).
pub const MAX_NAME_LENGTH: usize = 255;

/// An endpoint name `local/name@domain`. A term of the local name may be the wildcard `*` (all) or `$` (any one)
/// (RFC 3435 section 2.1.2).
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Endpoint {
    local: String,
    domain: String,
}

/// Why an endpoint name is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum EndpointNameError {
    /// The name has no `@`, and so no domain.
    #[error("@ between local name and domain is missing")]
    NoDomain,
    /// The domain or a term of the local name is empty.
    #[error("domain or a term of the local name is empty")]
    EmptyTerm,
    /// The name contains a space, a control character, a non-ASCII character, a second `@`, or a `/` in the domain.
    #[error("character is not allowed in an endpoint name")]
    InvalidCharacter,
    /// The local name or the domain is longer than [`MAX_NAME_LENGTH`].
    #[error("local name or domain is longer than {MAX_NAME_LENGTH} characters")]
    TooLong,
    /// A term combines a wildcard with other characters.
    #[error("wildcard is not a whole term")]
    WildcardInTerm,
}

impl Endpoint {
    /// Returns the local name, which precedes the `@`.
    pub fn local(&self) -> &str {
        &self.local
    }

    /// Returns the domain in lower case, which follows the `@`.
    pub fn domain(&self) -> &str {
        &self.domain
    }

    /// Whether a term of the local name is a wildcard.
    pub fn has_wildcard(&self) -> bool {
        self.local.split('/').any(|term| term == "*" || term == "$")
    }
}

impl FromStr for Endpoint {
    type Err = EndpointNameError;

    fn from_str(name: &str) -> Result<Endpoint, EndpointNameError> {
        let (local, domain) = name.rsplit_once('@').ok_or(EndpointNameError::NoDomain)?;
        if local.len() > MAX_NAME_LENGTH || domain.len() > MAX_NAME_LENGTH {
            return Err(EndpointNameError::TooLong);
        }
        let is_valid = |byte: u8| byte.is_ascii_graphic() && byte != b'@';
        if !local.bytes().all(is_valid) || !domain.bytes().all(is_valid) || domain.contains('/') {
            return Err(EndpointNameError::InvalidCharacter);
        }
        if domain.is_empty() || local.split('/').any(str::is_empty) {
            return Err(EndpointNameError::EmptyTerm);
        }
        if local.split('/').any(|term| term.len() > 1 && term.contains(['*', '$'])) {
            return Err(EndpointNameError::WildcardInTerm);
        }
        Ok(Endpoint { local: local.to_owned(), domain: domain.to_ascii_lowercase() })
    }
}

impl fmt::Display for Endpoint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}@{}", self.local, self.domain)
    }
}
