//! Parsing of datagrams (RFC 3435 section 3.1 and appendix A).

mod lines;

use thiserror::Error;

use crate::message::{
    Command, Endpoint, EndpointNameError, MAX_TRANSACTION_ID, Message, Parameters, Response, TransactionId,
    Verb,
};
use lines::Lines;

/// Maximum length of a datagram in bytes; RFC 3435 section 3.5.4 requires at least 4,000.
pub const MAX_DATAGRAM_LENGTH: usize = 16 * 1024;
/// Maximum number of parameter lines of one message.
pub const MAX_PARAMETERS: usize = 128;
/// Maximum number of messages in one datagram (RFC 3435 section 3.5.5, piggybacking).
pub const MAX_MESSAGES: usize = 64;
/// Maximum length of a transaction id in digits.
const MAX_TRANSACTION_ID_DIGITS: usize = 9;

/// Why a datagram or a message could not be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ParseError {
    /// The datagram has no message.
    #[error("datagram contains no message")]
    Empty,
    /// The datagram is longer than [`MAX_DATAGRAM_LENGTH`].
    #[error("datagram is longer than {MAX_DATAGRAM_LENGTH} bytes")]
    TooLong,
    /// The datagram has more than [`MAX_MESSAGES`] messages.
    #[error("more than {MAX_MESSAGES} messages in one datagram")]
    TooManyMessages,
    /// The message has more than [`MAX_PARAMETERS`] parameter lines.
    #[error("more than {MAX_PARAMETERS} parameter lines")]
    TooManyParameters,
    /// A line is not UTF-8.
    #[error("line is not valid UTF-8")]
    NotUtf8,
    /// The first line begins with neither a verb nor a return code.
    #[error("first line begins with neither a known verb nor a three-digit response code")]
    UnknownVerb,
    /// The transaction id is missing or out of range.
    #[error("transaction id is missing or not in the range 1 to {MAX_TRANSACTION_ID}")]
    InvalidTransactionId,
    /// The endpoint name of a command is invalid.
    #[error("invalid endpoint name: {0}")]
    InvalidEndpointName(EndpointNameError),
    /// The protocol version of a command is not that of RFC 3435.
    #[error("endpoint name is not followed by MGCP 1.0")]
    UnsupportedVersion,
    /// A parameter line has no valid name or no colon.
    #[error("parameter line does not begin with a valid name and a colon")]
    InvalidParameter,
}

/// A message that could not be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("line {line}: {cause}")]
pub struct MessageError {
    /// The line of the datagram, counted from 1.
    pub line: usize,
    /// The parse error of that line.
    pub cause: ParseError,
    /// The transaction id, if the message is a command and its id could be parsed: an error response can be sent.
    pub transaction: Option<TransactionId>,
}

/// Parses all messages of a datagram. An invalid message does not affect the other messages.
///
/// # Errors
///
/// The datagram contains no message, is too long, or contains too many messages.
pub fn datagram(bytes: &[u8]) -> Result<Vec<Result<Message, MessageError>>, ParseError> {
    if bytes.len() > MAX_DATAGRAM_LENGTH {
        return Err(ParseError::TooLong);
    }
    let mut messages = Vec::new();
    let mut lines = Lines::new(bytes);
    while let Some(first_line) = lines.next_message() {
        if messages.len() == MAX_MESSAGES {
            return Err(ParseError::TooManyMessages);
        }
        messages.push(parse_message(first_line, &mut lines));
    }
    if messages.is_empty() { Err(ParseError::Empty) } else { Ok(messages) }
}

fn parse_message(first_line: &[u8], lines: &mut Lines<'_>) -> Result<Message, MessageError> {
    let mut transaction = None;
    let message = parse_first_line(first_line, &mut transaction).and_then(|message| {
        let (parameters, description) = parse_body(lines)?;
        Ok(match message {
            Message::Command(command) => Message::Command(Command { parameters, description, ..command }),
            Message::Response(response) => {
                Message::Response(Response { parameters, description, ..response })
            }
        })
    });
    message.map_err(|cause| {
        let error = MessageError { line: lines.line_number(), cause, transaction };
        lines.skip_message();
        error
    })
}

/// Parses a command line or a response line. Sets `transaction` for a command even if the rest of the line is invalid.
fn parse_first_line(line: &[u8], transaction: &mut Option<TransactionId>) -> Result<Message, ParseError> {
    let line = std::str::from_utf8(line).map_err(|_| ParseError::NotUtf8)?;
    let mut words = line.split([' ', '\t']).filter(|word| !word.is_empty());
    let verb = words.next().ok_or(ParseError::UnknownVerb)?;
    let id = words.next().and_then(parse_transaction_id);
    if verb.len() == 3 && verb.bytes().all(|byte| byte.is_ascii_digit()) {
        let id = id.ok_or(ParseError::InvalidTransactionId)?;
        let code = verb.parse().map_err(|_| ParseError::UnknownVerb)?;
        let comment = words.collect::<Vec<_>>().join(" ");
        return Ok(Message::Response(Response { comment, ..Response::new(code, id) }));
    }
    let is_command = verb.len() == 4 && verb.bytes().all(|byte| byte.is_ascii_alphanumeric());
    *transaction = id.filter(|_| is_command);
    let verb = Verb::from_code(verb).ok_or(ParseError::UnknownVerb)?;
    let id = id.ok_or(ParseError::InvalidTransactionId)?;
    let endpoint: Endpoint = words.next().unwrap_or("").parse().map_err(ParseError::InvalidEndpointName)?;
    let is_mgcp = words.next().is_some_and(|word| word.eq_ignore_ascii_case("MGCP"));
    if !is_mgcp || words.next() != Some("1.0") {
        return Err(ParseError::UnsupportedVersion);
    }
    Ok(Message::Command(Command::new(verb, id, endpoint)))
}

fn parse_transaction_id(word: &str) -> Option<TransactionId> {
    if word.len() > MAX_TRANSACTION_ID_DIGITS || !word.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    word.parse().ok().filter(|id| (1..=MAX_TRANSACTION_ID).contains(id))
}

/// Parses the parameter lines and the session description.
fn parse_body(lines: &mut Lines<'_>) -> Result<(Parameters, Option<Vec<u8>>), ParseError> {
    let mut parameters = Parameters::default();
    while let Some(line) = lines.next_line_of_message() {
        if line.is_empty() {
            return Ok((parameters, parse_description(lines)));
        }
        if parameters.0.len() == MAX_PARAMETERS {
            return Err(ParseError::TooManyParameters);
        }
        parameters.0.push(parse_parameter(line)?);
    }
    Ok((parameters, None))
}

fn parse_parameter(line: &[u8]) -> Result<(String, String), ParseError> {
    let line = std::str::from_utf8(line).map_err(|_| ParseError::NotUtf8)?;
    let (name, value) = line.split_once(':').ok_or(ParseError::InvalidParameter)?;
    let name = name.trim();
    let is_valid = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'+' | b'/');
    if name.is_empty() || !name.bytes().all(is_valid) {
        return Err(ParseError::InvalidParameter);
    }
    Ok((name.to_owned(), value.trim().to_owned()))
}

/// Returns all lines up to the next message unchanged, but for their line ends, which become CRLF.
fn parse_description(lines: &mut Lines<'_>) -> Option<Vec<u8>> {
    let mut description = Vec::new();
    while let Some(line) = lines.next_line_of_message() {
        description.extend_from_slice(line);
        description.extend_from_slice(b"\r\n");
    }
    (!description.is_empty()).then_some(description)
}
