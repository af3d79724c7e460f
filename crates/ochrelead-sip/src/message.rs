//! SIP messages.

use std::fmt::Write;

use crate::framing::FramingError;

const SIP_VERSION: &str = "SIP/2.0";
/// The methods that are registered for SIP. A request line with another method is taken for the remainder of a
/// truncated message.
const METHODS: [&str; 14] = [
    "ACK",
    "BYE",
    "CANCEL",
    "INFO",
    "INVITE",
    "MESSAGE",
    "NOTIFY",
    "OPTIONS",
    "PRACK",
    "PUBLISH",
    "REFER",
    "REGISTER",
    "SUBSCRIBE",
    "UPDATE",
];

/// The start line of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartLine {
    /// The start line of a request.
    Request {
        /// The method, in capital letters.
        method: String,
        /// The request URI.
        uri: String,
    },
    /// The status line of a response.
    Response {
        /// The status code, 100 to 699.
        code: u16,
    },
}

/// A complete message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The start line.
    pub start: StartLine,
    headers: Vec<Header>,
    /// The body, of the length given by `Content-Length`.
    pub body: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Header {
    name: String,
    value: String,
}

/// The headers that a front reads or writes.
pub mod header {
    /// Identifies the call.
    pub const CALL_ID: &str = "Call-ID";
    /// The sequence number and the method.
    pub const CSEQ: &str = "CSeq";
    /// The length of the body, in bytes.
    pub const CONTENT_LENGTH: &str = "Content-Length";
    /// The short form of [`CONTENT_LENGTH`].
    pub(crate) const CONTENT_LENGTH_SHORT: &str = "l";
    /// Why a call is released.
    pub const REASON: &str = "Reason";
}

impl Message {
    /// Parses the head of a message, without the empty line that ends it. The body of the result is empty.
    pub(crate) fn parse_head(head: &[u8]) -> Result<Message, FramingError> {
        let head = std::str::from_utf8(head).map_err(|_| FramingError::InvalidHead)?;
        let mut lines = head.split("\r\n");
        let start = StartLine::parse(lines.next().unwrap_or_default())?;
        let headers = lines.map(Header::parse).collect::<Result<_, _>>()?;
        let message = Message { start, headers, body: Vec::new() };
        // A repeated Call-ID or CSeq means that the first message was truncated and another one follows in its head.
        let is_repeated = |name: &&str| message.count(name) > 1;
        if [header::CALL_ID, header::CSEQ].iter().any(is_repeated) {
            return Err(FramingError::InvalidHead);
        }
        Ok(message)
    }

    fn count(&self, name: &str) -> usize {
        self.headers.iter().filter(|header| header.name.eq_ignore_ascii_case(name)).count()
    }

    /// Returns the value of the first header with this name. Names are compared without regard to case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let header = self.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name))?;
        Some(&header.value)
    }

    /// Returns the value of `Content-Length`. A head without it, or with different values of it, is invalid.
    pub(crate) fn content_length(&self) -> Result<usize, FramingError> {
        let mut lengths = self.headers.iter().filter(|header| header.is_content_length());
        let first = &lengths.next().ok_or(FramingError::InvalidLength)?.value;
        if lengths.any(|other| other.value != *first) || !first.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(FramingError::InvalidLength);
        }
        first.parse().map_err(|_| FramingError::InvalidLength)
    }

    /// Returns the sequence number and the method of `CSeq`, or `None` if it is missing or malformed.
    pub fn sequence(&self) -> Option<(u32, &str)> {
        let (number, method) = self.header(header::CSEQ)?.split_once(' ')?;
        Some((number.trim().parse().ok()?, method.trim()))
    }

    /// Returns the Q.850 cause value of the `Reason` header, or `None` if it has none.
    pub fn cause(&self) -> Option<u32> {
        let reason = self.header(header::REASON)?;
        let parse_cause = |part: &str| part.trim().strip_prefix("cause=")?.trim().parse().ok();
        reason.split(';').find_map(parse_cause)
    }
}

impl Header {
    fn parse(line: &str) -> Result<Header, FramingError> {
        let (name, value) = line.split_once(':').ok_or(FramingError::InvalidHead)?;
        let is_name_byte = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
        if name.is_empty() || !name.bytes().all(is_name_byte) || value.bytes().any(|byte| byte < b' ') {
            return Err(FramingError::InvalidHead);
        }
        Ok(Header { name: name.to_owned(), value: value.trim().to_owned() })
    }

    fn is_content_length(&self) -> bool {
        self.name.eq_ignore_ascii_case(header::CONTENT_LENGTH)
            || self.name.eq_ignore_ascii_case(header::CONTENT_LENGTH_SHORT)
    }
}

impl StartLine {
    pub(crate) fn parse_bytes(line: &[u8]) -> Result<StartLine, FramingError> {
        StartLine::parse(std::str::from_utf8(line).map_err(|_| FramingError::InvalidHead)?)
    }

    fn parse(line: &str) -> Result<StartLine, FramingError> {
        let mut words = line.split(' ');
        let first = words.next().unwrap_or_default();
        let second = words.next().ok_or(FramingError::InvalidHead)?;
        if first == SIP_VERSION {
            // A second version in the reason phrase means that the response was truncated and another start line
            // follows.
            let is_truncated = words.any(|word| word == SIP_VERSION);
            return if is_truncated {
                Err(FramingError::InvalidHead)
            } else {
                StartLine::parse_response(second)
            };
        }
        let ends_with_version = words.next() == Some(SIP_VERSION) && words.next().is_none();
        if !METHODS.contains(&first) || second.is_empty() || !ends_with_version {
            return Err(FramingError::InvalidHead);
        }
        Ok(StartLine::Request { method: first.to_owned(), uri: second.to_owned() })
    }

    fn parse_response(code: &str) -> Result<StartLine, FramingError> {
        let parsed = code.parse().ok().filter(|number| (100..700).contains(number) && code.len() == 3);
        Ok(StartLine::Response { code: parsed.ok_or(FramingError::InvalidHead)? })
    }
}

/// Encodes a message from its start line, headers and body. Adds the `Content-Length` header.
pub fn encode(start_line: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    const INITIAL_HEAD_CAPACITY: usize = 256;
    let mut head = String::with_capacity(INITIAL_HEAD_CAPACITY);
    head.push_str(start_line);
    head.push_str("\r\n");
    for (name, value) in headers {
        // Writing to a string does not fail.
        let _ = write!(head, "{name}: {value}\r\n");
    }
    let _ = write!(head, "{}: {}\r\n\r\n", header::CONTENT_LENGTH, body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
