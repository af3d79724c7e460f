//! Endpoint names.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

/// The longest part of an endpoint name, in bytes (RFC 3435 section 2.1.2).
pub const MAX_NAME_LENGTH: usize = 255;

/// `local/name@domain`; a term of the local name may be `*` (all) or `$` (any one) (RFC 3435 section 2.1.2).
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Endpoint {
    local: String,
    domain: String,
}

/// Why an endpoint name is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum EndpointNameError {
    /// It has no domain.
    #[error("no @ between local name and domain")]
    NoDomain,
    /// The domain or a term of the local name is empty.
    #[error("an empty term")]
    EmptyTerm,
    /// It has a blank, a control character, or one that is not ASCII.
    #[error("a character that endpoint names may not have")]
    InvalidCharacter,
    /// The local name or the domain is longer than [`MAX_NAME_LENGTH`].
    #[error("longer than {MAX_NAME_LENGTH} characters")]
    TooLong,
    /// A term has a wildcard and something else.
    #[error("a wildcard inside a term")]
    WildcardInTerm,
}

impl Endpoint {
    /// The part before the `@`.
    pub fn local(&self) -> &str {
        &self.local
    }

    /// The part behind the `@`.
    pub fn domain(&self) -> &str {
        &self.domain
    }

    /// Whether a term stands for more than one endpoint.
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
