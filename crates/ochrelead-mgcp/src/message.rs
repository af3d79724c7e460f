//! Commands and responses (RFC 3435 section 3).

pub mod code;
mod endpoint;
pub mod parameter;
mod verb;

use std::fmt;
use std::str::FromStr;

pub use endpoint::{Endpoint, EndpointNameError, MAX_NAME_LENGTH};
pub use verb::Verb;

/// A transaction id, from 1 to [`MAX_TRANSACTION_ID`] (RFC 3435 section 3.2.1.2).
pub type TransactionId = u32;

/// The largest transaction id.
pub const MAX_TRANSACTION_ID: TransactionId = 999_999_999;

/// The parameter lines of a message, in the order of the message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Parameters(pub(crate) Vec<(String, String)>);

impl Parameters {
    /// Returns the value of the first line with this name; the case of the name is ignored.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut lines = self.iter();
        lines.find(|(line_name, _)| line_name.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    /// Parses the value of the first line with this name. Returns none if it is missing or invalid.
    pub fn parse<T: FromStr>(&self, name: &str) -> Option<T> {
        self.get(name)?.parse().ok()
    }

    /// Iterates over all lines as pairs of name and value.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0.iter().map(|(name, value)| (name.as_str(), value.as_str()))
    }

    /// Adds a line. Line breaks in the value are replaced by spaces, so that a value cannot inject further lines.
    pub fn add(&mut self, name: &str, value: impl fmt::Display) {
        let value = value.to_string().replace(['\r', '\n'], " ");
        self.0.push((name.to_owned(), value.trim().to_owned()));
    }
}

/// A command: command line, parameters and session description (RFC 3435 section 3.2).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    /// The requested operation.
    pub verb: Verb,
    /// The transaction id. The transaction layer sets it when it sends the command.
    pub transaction: TransactionId,
    /// The endpoint that the command addresses or that reports with it.
    pub endpoint: Endpoint,
    /// The parameter lines.
    pub parameters: Parameters,
    /// The session description, which is not interpreted.
    pub description: Option<Vec<u8>>,
}

impl Command {
    /// Creates a command without parameters.
    pub fn new(verb: Verb, transaction: TransactionId, endpoint: Endpoint) -> Command {
        Command { verb, transaction, endpoint, parameters: Parameters::default(), description: None }
    }

    /// Adds a parameter line and returns the command.
    pub fn with(mut self, name: &str, value: impl fmt::Display) -> Command {
        self.parameters.add(name, value);
        self
    }
}

/// A response: response line, parameters and session description (RFC 3435 section 3.3).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The return code of three digits; [`code`] lists the codes in use.
    pub code: u16,
    /// The transaction id of the command.
    pub transaction: TransactionId,
    /// The comment at the end of the response line; may be empty.
    pub comment: String,
    /// The parameter lines.
    pub parameters: Parameters,
    /// The session description, which is not interpreted.
    pub description: Option<Vec<u8>>,
}

impl Response {
    /// Creates a response without comment and parameters.
    pub fn new(code: u16, transaction: TransactionId) -> Response {
        Response {
            code,
            transaction,
            comment: String::new(),
            parameters: Parameters::default(),
            description: None,
        }
    }

    /// Adds a parameter line and returns the response.
    pub fn with(mut self, name: &str, value: impl fmt::Display) -> Response {
        self.parameters.add(name, value);
        self
    }

    /// Whether the response is provisional, so that a final one follows (RFC 3435 section 3.5.5).
    pub fn is_provisional(&self) -> bool {
        (100..200).contains(&self.code)
    }
}

/// One message of a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// A command.
    Command(Command),
    /// A response.
    Response(Response),
}
