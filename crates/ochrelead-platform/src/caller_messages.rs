//! The messages between callers and a front: one JSON object per line.

use std::collections::HashMap;
use std::fmt;

use serde::Deserialize;
use serde_json::{Value, json};

use ochrelead_core::time::Span;

/// The id of a call: 16 hex digits, as the caller wrote them.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId([u8; 16]);

impl CallId {
    /// Parses an id. Returns `None` if the text is not 16 hex digits.
    pub fn parse(text: &str) -> Option<CallId> {
        let digits: [u8; 16] = text.as_bytes().try_into().ok()?;
        digits.iter().all(u8::is_ascii_hexdigit).then_some(CallId(digits))
    }

    /// Returns the 16 digits.
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.0).unwrap_or_default()
    }
}

impl fmt::Debug for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A set-up request. Service and tenant are named as in the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct SetUpRequest {
    /// The call to set up.
    pub call: CallId,
    /// The name of the service.
    pub class: String,
    /// The name of the tenant, if the caller gives one.
    pub tenant: Option<String>,
    /// The time the caller still waits for an answer, from the receipt of the request.
    pub time_left: Span,
    /// The called number.
    pub called_number: String,
    /// The number of the preferred server, if the caller gives one; -1 if it has no preference.
    pub destination: Option<i64>,
    /// The session description, forwarded to the server unchanged.
    pub description: String,
}

/// A message of a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerMessage {
    /// Requests the set-up of a call.
    SetUp(SetUpRequest),
    /// Reports a call that is already established at a server. It needs no answer.
    Established {
        /// The call.
        call: CallId,
        /// The id of the server.
        server: String,
    },
    /// Cancels a set-up or releases an established call.
    Release {
        /// The call.
        call: CallId,
    },
    /// A health check of the front. The reply carries the same id.
    Heartbeat {
        /// The id that the reply repeats.
        id: String,
    },
    /// Acknowledges a release or a rejection.
    Acknowledged {
        /// The call.
        call: CallId,
    },
    /// A message that a front does not act on.
    Ignored,
}

/// The reason for which a caller's message is rejected.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum MessageError {
    /// The line is not a JSON object of this protocol.
    #[error("line is not a caller message: {0}")]
    Syntax(#[source] serde_json::Error),
    /// The line exceeds [`MAX_MESSAGE_LENGTH`](crate::MAX_MESSAGE_LENGTH).
    #[error("line exceeds the maximum message length")]
    LineTooLong,
    /// A message that needs a call id has no valid one.
    #[error("`ref` is missing or is not a call id of 16 hex digits")]
    MissingCallId,
    /// A release has no cause.
    #[error("release without a cause: `c` must be a non-negative integer")]
    MissingCause,
    /// The message type does not belong to this protocol.
    #[error("unknown message type {0:?}")]
    UnknownType(String),
    /// A field of a set-up is neither a string nor a number.
    #[error("field {0} is neither a string nor a number")]
    InvalidField(&'static str),
    /// A part of the extras has no name.
    #[error("extras: {0:?} is not of the form name:value")]
    UnnamedExtra(String),
    /// A numeric extra is not an integer.
    #[error("extras: {0} is not an integer")]
    NonIntegerExtra(String),
    /// A numeric extra is out of range.
    #[error("extras: {value} is out of range, which is {min} to {MAX_EXTRA}")]
    ExtraOutOfRange {
        /// The value found.
        value: f64,
        /// The smallest value that is allowed.
        min: f64,
    },
    /// A set-up names no service.
    #[error("set-up without a class")]
    MissingClass,
    /// A set-up does not say how long its caller waits.
    #[error("set-up without a waiting time: `left` must be a number of milliseconds above 0")]
    MissingTimeLeft,
    /// A set-up has no called number that can be written into a SIP request line.
    #[error("set-up without a valid called number in `key`")]
    InvalidCalledNumber,
    /// A set-up has no session description.
    #[error("set-up without a session description in `d`")]
    MissingDescription,
    /// The front holds a call with this id, or has sent an INVITE for one.
    #[error("a call with this id exists or was set up before")]
    DuplicateCall,
    /// The settings have no service of this name.
    #[error("the settings have no class of this name")]
    UnknownClass,
    /// The settings have no tenant of this name.
    #[error("the settings have no tenant of this name")]
    UnknownTenant,
    /// The settings have tenants, but the set-up names none.
    #[error("set-up without a tenant")]
    MissingTenant,
    /// The caller's waiting time exceeds the deadline of its service.
    #[error("waiting time exceeds the deadline of the class")]
    TimeLeftTooLong,
    /// No server has the destination's number.
    #[error("no server has the number of the destination")]
    UnknownDestination,
    /// The session description does not fit into a message to a server.
    #[error("session description is too long to be forwarded")]
    DescriptionTooLong,
}

/// A message that is rejected.
#[derive(Debug, thiserror::Error)]
#[error("{error}")]
pub struct InvalidMessage {
    /// The call that the message refers to, if it has a valid call id.
    pub call: Option<CallId>,
    /// The reason for the rejection.
    #[source]
    pub error: MessageError,
}

/// Cause values (Q.850) in the messages of a front.
pub mod cause {
    /// A normal release.
    pub const NORMAL: u32 = 16;
    /// The set-up failed. It may have taken effect, so that a retry can set up a second call.
    pub const FAILED: u32 = 41;
    /// The set-up was rejected without effect. It is safe to retry.
    pub const REFUSED: u32 = 42;
    /// The message is invalid.
    pub const INVALID: u32 = 100;
}

#[derive(Deserialize)]
struct Line {
    t: String,
    #[serde(default, rename = "ref")]
    id: Option<String>,
    #[serde(default)]
    f: HashMap<String, Value>,
    #[serde(default)]
    c: Option<Value>,
    #[serde(default)]
    d: Option<String>,
}

/// Parses one line of a caller.
///
/// # Errors
///
/// If the line is not a message of this protocol, or lacks a field that its type requires.
pub fn parse(line: &[u8]) -> Result<CallerMessage, InvalidMessage> {
    let line: Line = serde_json::from_slice(line)
        .map_err(|error| InvalidMessage { call: None, error: MessageError::Syntax(error) })?;
    let call = line.id.as_deref().and_then(CallId::parse);
    let invalid = |error| InvalidMessage { call, error };
    let required_call = || call.ok_or_else(|| invalid(MessageError::MissingCallId));
    match line.t.as_str() {
        "new" => parse_set_up(line, required_call()?).map_err(invalid),
        "down" => {
            let call = required_call()?;
            let cause = line.c.as_ref().and_then(Value::as_u64);
            cause.ok_or_else(|| invalid(MessageError::MissingCause))?;
            Ok(CallerMessage::Release { call })
        }
        "hb" => Ok(CallerMessage::Heartbeat { id: line.id.unwrap_or_default() }),
        "ack" => Ok(call.map_or(CallerMessage::Ignored, |call| CallerMessage::Acknowledged { call })),
        "wait" => Ok(CallerMessage::Ignored),
        other => Err(invalid(MessageError::UnknownType(other.to_owned()))),
    }
}

fn parse_set_up(line: Line, call: CallId) -> Result<CallerMessage, MessageError> {
    let destination = match parse_extras(&line)? {
        Extras::EstablishedAt(server) => return Ok(CallerMessage::Established { call, server }),
        Extras::SetUp { destination } => destination,
    };
    let class = text_field(&line, "class")?.ok_or(MessageError::MissingClass)?;
    let time_left_ms = text_field(&line, "left")?
        .and_then(|time_left| time_left.parse::<f64>().ok())
        .filter(|time_left| time_left.is_finite() && *time_left > 0.0)
        .ok_or(MessageError::MissingTimeLeft)?;
    let called_number = text_field(&line, "key")?
        .filter(|key| is_valid_called_number(key))
        .ok_or(MessageError::InvalidCalledNumber)?;
    let tenant = text_field(&line, "tenant");
    let description = line.d.ok_or(MessageError::MissingDescription)?;
    Ok(CallerMessage::SetUp(SetUpRequest {
        call,
        class,
        tenant: tenant?,
        time_left: Span::from_micros((time_left_ms * 1_000.0) as u64),
        called_number,
        destination,
        description,
    }))
}

/// Returns a field of a set-up as text, or `None` if the message lacks it.
fn text_field(line: &Line, name: &'static str) -> Result<Option<String>, MessageError> {
    match line.f.get(name) {
        None => Ok(None),
        Some(Value::String(text)) => Ok(Some(text.clone())),
        Some(Value::Number(number)) => Ok(Some(number.to_string())),
        Some(_) => Err(MessageError::InvalidField(name)),
    }
}

/// The `extras` field of a set-up: pairs `name:value`, separated by semicolons.
enum Extras {
    /// The call is already established at the server with this id.
    EstablishedAt(String),
    /// The call has to be set up, at the destination if one is given.
    SetUp { destination: Option<i64> },
}

/// The largest value of a numeric extra. Extras hold server numbers and circuit counts.
const MAX_EXTRA: f64 = 1_000_000.0;

fn parse_extras(line: &Line) -> Result<Extras, MessageError> {
    let extras = text_field(line, "extras")?.unwrap_or_default();
    let mut destination = None;
    for pair in extras.split(';').filter(|pair| !pair.trim().is_empty()) {
        let (name, value) =
            pair.split_once(':').ok_or_else(|| MessageError::UnnamedExtra(pair.to_owned()))?;
        match name.trim() {
            "at" => return Ok(Extras::EstablishedAt(value.trim().to_owned())),
            "dest" => destination = Some(parse_extra(name, value, -1.0)? as i64),
            "width" => _ = parse_extra(name, value, 0.0)?,
            "via" => _ = parse_extra(name, value, -1.0)?,
            _ => {}
        }
    }
    Ok(Extras::SetUp { destination })
}

/// Parses an integer from `min` to [`MAX_EXTRA`].
fn parse_extra(name: &str, value: &str, min: f64) -> Result<f64, MessageError> {
    let value = value.trim().parse::<f64>().ok().filter(|value| value.fract() == 0.0);
    let value = value.ok_or_else(|| MessageError::NonIntegerExtra(name.to_owned()))?;
    if (min..=MAX_EXTRA).contains(&value) {
        Ok(value)
    } else {
        Err(MessageError::ExtraOutOfRange { value, min })
    }
}

/// Returns whether a called number can be written into the start line of a SIP message: 1 to 256 visible ASCII
/// characters, without delimiters of a URI or a quoted string.
pub fn is_valid_called_number(text: &str) -> bool {
    const MAX_LENGTH: usize = 256;
    let is_allowed = |byte: u8| byte.is_ascii_graphic() && !b"@<>\"\\;?".contains(&byte);
    !text.is_empty() && text.len() <= MAX_LENGTH && text.bytes().all(is_allowed)
}

fn encode_line(value: &Value) -> Vec<u8> {
    let mut line = value.to_string().into_bytes();
    line.push(b'\n');
    line
}

/// Encodes the message that a call is established.
pub fn encode_established(call: CallId, description: &str) -> Vec<u8> {
    encode_line(&json!({"t": "up", "ref": call.as_str(), "f": {}, "d": description}))
}

/// Encodes the message that a call was rejected, failed or was released, depending on the cause. `retry_after` is the
/// time after which the caller may retry.
pub fn encode_down(call: CallId, cause: u32, retry_after: Option<Span>) -> Vec<u8> {
    let fields = match retry_after {
        Some(retry_after) => json!({"wait": (retry_after.micros() / 1_000).to_string()}),
        None => json!({}),
    };
    encode_line(&json!({"t": "down", "ref": call.as_str(), "f": fields, "c": cause}))
}

/// Encodes the reply to an invalid message that has no valid call id.
pub fn encode_invalid() -> Vec<u8> {
    encode_line(&json!({"t": "down", "ref": "", "f": {}, "c": cause::INVALID}))
}

/// Encodes the acknowledgement of a release.
pub fn encode_acknowledgement(call: CallId) -> Vec<u8> {
    encode_line(&json!({"t": "ack", "ref": call.as_str(), "f": {}}))
}

/// Encodes the reply to a heartbeat, which says whether the front is in service.
pub fn encode_heartbeat_reply(id: &str, in_service: bool) -> Vec<u8> {
    encode_line(&json!({"t": "hb_ok", "ref": id, "f": {}, "c": u32::from(in_service)}))
}
