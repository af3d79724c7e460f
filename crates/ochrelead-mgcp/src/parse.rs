//! From a datagram to messages (RFC 3435 section 3.1 and appendix A).

use thiserror::Error;

use crate::message::{
    BadEndpoint, Command, Endpoint, LAST_TRANSACTION, Message, Parameters, Response, TransactionId, Verb,
};

/// The longest datagram that is read, in bytes; RFC 3435 section 3.5.4 asks for 4,000 at the least.
pub const LONGEST_DATAGRAM: usize = 16 * 1024;
/// The most parameter lines of one message.
pub const MOST_PARAMETERS: usize = 128;
/// The most messages of one datagram (RFC 3435 section 3.5.5, piggybacking).
pub const MOST_MESSAGES: usize = 64;

/// Why a message could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Fault {
    #[error("an empty datagram")]
    Empty,
    #[error("a datagram of more than {LONGEST_DATAGRAM} bytes")]
    TooLong,
    #[error("more than {MOST_MESSAGES} messages in one datagram")]
    TooManyMessages,
    #[error("more than {MOST_PARAMETERS} parameter lines")]
    TooManyParameters,
    #[error("a line that is not UTF-8 text")]
    NotText,
    #[error("neither a command nor a response code")]
    NoSuchVerb,
    #[error("no transaction id of 1 to {LAST_TRANSACTION}")]
    BadTransaction,
    #[error("endpoint name: {0}")]
    BadEndpoint(BadEndpoint),
    #[error("no MGCP 1.0 behind the endpoint name")]
    BadVersion,
    #[error("a parameter line without a name and a colon")]
    BadParameter,
}

/// A message that could not be read, and what can be said of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("line {line}: {fault}")]
pub struct Broken {
    /// Counted from 1 in the datagram.
    pub line: usize,
    pub fault: Fault,
    /// The transaction of a command that was told so far; its sender can be answered.
    pub transaction: Option<TransactionId>,
}

/// All messages of a datagram, each read or not on its own.
///
/// # Errors
///
/// Where the datagram as a whole is none: empty, too long, or with too many messages.
pub fn datagram(bytes: &[u8]) -> Result<Vec<Result<Message, Broken>>, Fault> {
    if bytes.len() > LONGEST_DATAGRAM {
        return Err(Fault::TooLong);
    }
    let mut messages = Vec::new();
    let mut lines = Lines { rest: Some(bytes), at: 0 };
    while let Some(first) = lines.first_of_message() {
        if messages.len() == MOST_MESSAGES {
            return Err(Fault::TooManyMessages);
        }
        messages.push(message(first, &mut lines));
    }
    if messages.is_empty() { Err(Fault::Empty) } else { Ok(messages) }
}

/// The lines of a datagram, ended by CRLF, LF or the end.
struct Lines<'a> {
    rest: Option<&'a [u8]>,
    at: usize,
}

impl<'a> Lines<'a> {
    fn next(&mut self) -> Option<&'a [u8]> {
        let rest = self.rest.filter(|rest| !rest.is_empty())?;
        self.at += 1;
        let (line, rest) = match rest.iter().position(|byte| *byte == b'\n') {
            Some(end) => (&rest[..end], Some(&rest[end + 1..])),
            None => (rest, None),
        };
        self.rest = rest;
        Some(line.strip_suffix(b"\r").unwrap_or(line))
    }

    /// The first line that is neither empty nor the dot between two messages.
    fn first_of_message(&mut self) -> Option<&'a [u8]> {
        loop {
            let line = self.next()?;
            if !line.is_empty() && line != b"." {
                return Some(line);
            }
        }
    }

    /// Passes over what is left of the present message.
    fn skip_message(&mut self) {
        while let Some(line) = self.next() {
            if line == b"." {
                return;
            }
        }
    }
}

fn message(first: &[u8], lines: &mut Lines<'_>) -> Result<Message, Broken> {
    let mut transaction = None;
    let read = head(first, &mut transaction).and_then(|head| {
        let (parameters, description) = body(lines)?;
        Ok((head, parameters, description))
    });
    match read {
        Ok((Message::Command(command), parameters, description)) => {
            Ok(Message::Command(Command { parameters, description, ..command }))
        }
        Ok((Message::Response(response), parameters, description)) => {
            Ok(Message::Response(Response { parameters, description, ..response }))
        }
        Err(fault) => {
            let broken = Broken { line: lines.at, fault, transaction };
            lines.skip_message();
            Err(broken)
        }
    }
}

/// A command line or a response line; a command's transaction is told even where the rest is broken.
fn head(line: &[u8], transaction: &mut Option<TransactionId>) -> Result<Message, Fault> {
    let line = std::str::from_utf8(line).map_err(|_| Fault::NotText)?;
    let mut words = line.split([' ', '\t']).filter(|word| !word.is_empty());
    let verb = words.next().ok_or(Fault::NoSuchVerb)?;
    let id = words.next().and_then(whole).filter(|id| (1..=LAST_TRANSACTION).contains(id));
    if verb.len() == 3 && verb.bytes().all(|byte| byte.is_ascii_digit()) {
        let id = id.ok_or(Fault::BadTransaction)?;
        let code = verb.parse().map_err(|_| Fault::NoSuchVerb)?;
        let comment = words.collect::<Vec<_>>().join(" ");
        return Ok(Message::Response(Response { comment, ..Response::new(code, id) }));
    }
    let sound = verb.len() == 4 && verb.bytes().all(|byte| byte.is_ascii_alphanumeric());
    *transaction = id.filter(|_| sound);
    let verb = Verb::from_code(verb).ok_or(Fault::NoSuchVerb)?;
    let id = id.ok_or(Fault::BadTransaction)?;
    let endpoint: Endpoint = words.next().unwrap_or("").parse().map_err(Fault::BadEndpoint)?;
    let version = words.next().is_some_and(|word| word.eq_ignore_ascii_case("MGCP"))
        && words.next().is_some_and(|word| word == "1.0");
    if !version {
        return Err(Fault::BadVersion);
    }
    Ok(Message::Command(Command::new(verb, id, endpoint)))
}

fn whole(word: &str) -> Option<u32> {
    (word.len() <= 9 && word.bytes().all(|byte| byte.is_ascii_digit())).then(|| word.parse().ok())?
}

fn body(lines: &mut Lines<'_>) -> Result<(Parameters, Option<Vec<u8>>), Fault> {
    let mut parameters = Parameters::default();
    while let Some(line) = lines.next() {
        if line == b"." {
            return Ok((parameters, None));
        }
        if line.is_empty() {
            return Ok((parameters, description(lines)));
        }
        if parameters.0.len() == MOST_PARAMETERS {
            return Err(Fault::TooManyParameters);
        }
        let line = std::str::from_utf8(line).map_err(|_| Fault::NotText)?;
        let (name, value) = line.split_once(':').ok_or(Fault::BadParameter)?;
        let name = name.trim();
        let sound = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'+' | b'/');
        if name.is_empty() || !name.bytes().all(sound) {
            return Err(Fault::BadParameter);
        }
        parameters.0.push((name.to_owned(), value.trim().to_owned()));
    }
    Ok((parameters, None))
}

/// All lines up to the next message, as they are.
fn description(lines: &mut Lines<'_>) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    while let Some(line) = lines.next() {
        if line == b"." {
            break;
        }
        bytes.extend_from_slice(line);
        bytes.extend_from_slice(b"\r\n");
    }
    (!bytes.is_empty()).then_some(bytes)
}
