//! Commands and responses (RFC 3435 section 3).

pub mod code;
mod endpoint;
pub mod parameter;
mod verb;

use std::fmt;
use std::str::FromStr;

pub use endpoint::{Endpoint, EndpointNameError, MAX_NAME_LENGTH};
pub use verb::Verb;

/// The id of a transaction, 1 to [`MAX_TRANSACTION_ID`] (RFC 3435 section 3.2.1.2).
pub type TransactionId = u32;

/// The largest transaction id.
pub const MAX_TRANSACTION_ID: TransactionId = 999_999_999;

/// The parameter lines of a message, in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Parameters(pub(crate) Vec<(String, String)>);

impl Parameters {
    /// The value of the first line of that name, in either case.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut lines = self.iter();
        lines.find(|(line_name, _)| line_name.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    /// The value of the first line of that name, parsed; none where it is missing or cannot be parsed.
    pub fn parse<T: FromStr>(&self, name: &str) -> Option<T> {
        self.get(name)?.parse().ok()
    }

    /// All lines: name and value.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0.iter().map(|(name, value)| (name.as_str(), value.as_str()))
    }

    /// Adds a line. Line breaks in it become blanks, so that a value cannot add lines of its own.
    pub fn add(&mut self, name: &str, value: impl fmt::Display) {
        let value = value.to_string().replace(['\r', '\n'], " ");
        self.0.push((name.to_owned(), value.trim().to_owned()));
    }
}

/// A command line with its parameters (RFC 3435 section 3.2).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    /// What is to be done.
    pub verb: Verb,
    /// The transaction; the transaction layer sets it when it sends the command.
    pub transaction: TransactionId,
    /// The endpoint that the command is for or from.
    pub endpoint: Endpoint,
    /// The parameter lines.
    pub parameters: Parameters,
    /// The session description, which is not interpreted.
    pub description: Option<Vec<u8>>,
}

impl Command {
    /// A command without parameters.
    pub fn new(verb: Verb, transaction: TransactionId, endpoint: Endpoint) -> Command {
        Command { verb, transaction, endpoint, parameters: Parameters::default(), description: None }
    }

    /// The command with one more parameter line.
    pub fn with(mut self, name: &str, value: impl fmt::Display) -> Command {
        self.parameters.add(name, value);
        self
    }
}

/// A response line with its parameters (RFC 3435 section 3.3).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Three digits; [`code`] has those that are used here.
    pub code: u16,
    /// The transaction of the command.
    pub transaction: TransactionId,
    /// The comment behind the return code.
    pub comment: String,
    /// The parameter lines.
    pub parameters: Parameters,
    /// The session description, which is not interpreted.
    pub description: Option<Vec<u8>>,
}

impl Response {
    /// A response without comment and parameters.
    pub fn new(code: u16, transaction: TransactionId) -> Response {
        Response {
            code,
            transaction,
            comment: String::new(),
            parameters: Parameters::default(),
            description: None,
        }
    }

    /// The response with one more parameter line.
    pub fn with(mut self, name: &str, value: impl fmt::Display) -> Response {
        self.parameters.add(name, value);
        self
    }

    /// Whether a further response follows (RFC 3435 section 3.5.5).
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
