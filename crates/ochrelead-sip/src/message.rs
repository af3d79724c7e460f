//! One message.

use std::fmt::Write;

use crate::framing::Broken;

/// The first line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Start {
    Request { method: String, uri: String },
    Response { code: u16 },
}

/// A message that was read whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    pub start: Start,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// The headers that a front reads or writes.
pub mod header {
    pub const CALL_ID: &str = "Call-ID";
    pub const CSEQ: &str = "CSeq";
    pub const CONTENT_LENGTH: &str = "Content-Length";
    pub const REASON: &str = "Reason";
}

impl Message {
    /// The head of a message, without the empty line at its end; the body is still to come.
    pub(crate) fn head(head: &[u8]) -> Result<Message, Broken> {
        let head = std::str::from_utf8(head).map_err(|_| Broken::Head)?;
        let mut lines = head.split("\r\n");
        let start = Start::read(lines.next().unwrap_or_default())?;
        let headers = lines.map(|line| {
            let (name, value) = line.split_once(':').ok_or(Broken::Head)?;
            let plain = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
            if name.is_empty() || !name.bytes().all(plain) || value.bytes().any(|byte| byte < b' ') {
                return Err(Broken::Head);
            }
            Ok((name.to_owned(), value.trim().to_owned()))
        });
        Ok(Message { start, headers: headers.collect::<Result<_, _>>()?, body: Vec::new() })
    }

    /// Whether this can be a first line.
    pub(crate) fn first(line: &[u8]) -> Result<(), Broken> {
        Start::read(std::str::from_utf8(line).map_err(|_| Broken::Head)?).map(|_| ())
    }

    /// A header's value; names are alike in any case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(own, _)| own.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// The length of the body as the head states it; a message without one, or with two that differ, is broken.
    pub(crate) fn length(&self) -> Result<usize, Broken> {
        let own =
            |name: &str| name.eq_ignore_ascii_case(header::CONTENT_LENGTH) || name.eq_ignore_ascii_case("l");
        let mut lengths = self.headers.iter().filter(|(name, _)| own(name)).map(|(_, value)| value);
        let first = lengths.next().ok_or(Broken::Length)?;
        if lengths.any(|other| other != first) || !first.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(Broken::Length);
        }
        first.parse().map_err(|_| Broken::Length)
    }

    /// The number and the method of `CSeq`.
    pub fn sequence(&self) -> Option<(u32, &str)> {
        let (number, method) = self.get(header::CSEQ)?.split_once(' ')?;
        Some((number.trim().parse().ok()?, method.trim()))
    }

    /// The Q.850 cause of a release.
    pub fn cause(&self) -> Option<u32> {
        let reason = self.get(header::REASON)?;
        let figure = |part: &str| part.trim().strip_prefix("cause=")?.trim().parse().ok();
        reason.split(';').find_map(figure)
    }
}

impl Start {
    fn read(line: &str) -> Result<Start, Broken> {
        let mut words = line.split(' ');
        let (first, second) = (words.next().unwrap_or_default(), words.next().ok_or(Broken::Head)?);
        if first == "SIP/2.0" {
            let code = second.parse().ok().filter(|code| (100..700).contains(code) && second.len() == 3);
            return Ok(Start::Response { code: code.ok_or(Broken::Head)? });
        }
        let is_method = !first.is_empty() && first.bytes().all(|byte| byte.is_ascii_uppercase());
        if !is_method || second.is_empty() || words.next() != Some("SIP/2.0") || words.next().is_some() {
            return Err(Broken::Head);
        }
        Ok(Start::Request { method: first.to_owned(), uri: second.to_owned() })
    }
}

/// Writes a message: the first line, the headers, the length and the body.
pub fn write(first: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = String::with_capacity(256);
    head.push_str(first);
    head.push_str("\r\n");
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    let _ = write!(head, "{}: {}\r\n\r\n", header::CONTENT_LENGTH, body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
