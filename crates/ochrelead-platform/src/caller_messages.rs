//! The messages between callers and a front: a JSON object a line.

use std::collections::HashMap;
use std::fmt;

use serde::Deserialize;
use serde_json::{Value, json};

use ochrelead_core::time::Span;

/// The id of a call: 16 hex digits, as the caller wrote them.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId([u8; 16]);

impl CallId {
    /// Parses an id; none where the text is not 16 hex digits.
    pub fn parse(text: &str) -> Option<CallId> {
        let digits: [u8; 16] = text.as_bytes().try_into().ok()?;
        digits.iter().all(u8::is_ascii_hexdigit).then_some(CallId(digits))
    }

    /// The digits.
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.0).unwrap_or_default()
    }
}

impl fmt::Debug for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A set-up as its caller requests it; names are those of the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct SetUpRequest {
    /// The call to set up.
    pub call: CallId,
    /// The name of the service.
    pub class: String,
    /// The name of the tenant, where the caller names one.
    pub tenant: Option<String>,
    /// How long the caller waits.
    pub time_left: Span,
    /// The called number.
    pub called_number: String,
    /// The number of the server of first choice, where the caller names one.
    pub destination: Option<i64>,
    /// The session description, to be passed on as it is.
    pub description: String,
}

/// A message of a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerMessage {
    /// A call is to be set up.
    SetUp(SetUpRequest),
    /// A call is established at a server already; no answer is awaited.
    Established {
        /// The call.
        call: CallId,
        /// The id of the server.
        server: String,
    },
    /// A set-up is cancelled, or an established call is released.
    Release {
        /// The call.
        call: CallId,
    },
    /// A health check of the front; the id is sent back.
    Heartbeat {
        /// What identifies the reply.
        id: String,
    },
    /// A release or a rejection was received.
    Acknowledged {
        /// The call.
        call: CallId,
    },
    /// A message that means nothing to a front.
    Ignored,
}

/// Why a message of a caller can't be served.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum MessageError {
    /// The line is no JSON object of the protocol.
    #[error("no message: {0}")]
    Syntax(#[source] serde_json::Error),
    /// The line is longer than any message.
    #[error("an endless line")]
    LineTooLong,
    /// The message needs the id of a call.
    #[error("no id of 16 hex digits")]
    MissingCallId,
    /// A release needs a cause.
    #[error("a release without a cause")]
    MissingCause,
    /// The type is none of the protocol.
    #[error("an unknown type {0:?}")]
    UnknownType(String),
    /// A field of a set-up has another form.
    #[error("{0} is neither a string nor a number")]
    InvalidField(&'static str),
    /// A part of the extras has no name.
    #[error("extras: {0:?} names no figure")]
    UnnamedExtra(String),
    /// A figure of the extras is not a whole number.
    #[error("extras: {0} is no whole number")]
    FractionalExtra(String),
    /// A figure of the extras is out of range.
    #[error("a figure of {0}")]
    ExtraOutOfRange(f64),
    /// A set-up needs a class.
    #[error("no class")]
    MissingClass,
    /// A set-up needs the time that its caller waits.
    #[error("no time left")]
    MissingTimeLeft,
    /// A set-up needs a called number that can stand in a SIP message.
    #[error("no number")]
    MissingNumber,
    /// A set-up needs a session description.
    #[error("no description")]
    MissingDescription,
    /// A call of that id is under way.
    #[error("the id of a call that is held")]
    DuplicateCall,
    /// The settings have no class of that name.
    #[error("no such class")]
    UnknownClass,
    /// The settings have no tenant of that name.
    #[error("no such tenant")]
    UnknownTenant,
    /// The settings have tenants, and the set-up names none.
    #[error("no tenant")]
    MissingTenant,
    /// The caller waits longer than its class allows.
    #[error("more time left than the class has")]
    TimeLeftTooLong,
    /// No server has the number of the destination.
    #[error("no such destination")]
    UnknownDestination,
    /// The session description does not fit into a message to a server.
    #[error("too long to be passed on")]
    DescriptionTooLong,
}

/// A message that can't be served.
#[derive(Debug, thiserror::Error)]
#[error("{error}")]
pub struct InvalidMessage {
    /// The call that the message names, where it names one.
    pub call: Option<CallId>,
    /// What is wrong with it.
    #[source]
    pub error: MessageError,
}

/// Causes (Q.850) of the messages of a front.
pub mod cause {
    /// A normal release.
    pub const NORMAL: u32 = 16;
    /// The set-up failed; a caller that tries again does so at its own risk.
    pub const FAILED: u32 = 41;
    /// The set-up was rejected: trying again is harmless.
    pub const REFUSED: u32 = 42;
    /// The message can't be parsed.
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

/// Parses one line.
///
/// # Errors
///
/// Where it is no message of the protocol, or lacks what its type needs.
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
    let called_number =
        text_field(&line, "key")?.filter(|key| is_token(key)).ok_or(MessageError::MissingNumber)?;
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

/// A field of a set-up as text; none where the message does not have it.
fn text_field(line: &Line, name: &'static str) -> Result<Option<String>, MessageError> {
    match line.f.get(name) {
        None => Ok(None),
        Some(Value::String(text)) => Ok(Some(text.clone())),
        Some(Value::Number(number)) => Ok(Some(number.to_string())),
        Some(_) => Err(MessageError::InvalidField(name)),
    }
}

/// What the extras of a set-up say.
enum Extras {
    /// The call is established at that server already.
    EstablishedAt(String),
    /// The call is to be set up, with that destination where there is one.
    SetUp { destination: Option<i64> },
}

/// Figures of the extras lie below this: the numbers of servers and counts of circuits.
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

/// A whole number from `min` to [`MAX_EXTRA`].
fn parse_extra(name: &str, value: &str, min: f64) -> Result<f64, MessageError> {
    let figure = value.trim().parse::<f64>().ok().filter(|figure| figure.fract() == 0.0);
    let figure = figure.ok_or_else(|| MessageError::FractionalExtra(name.to_owned()))?;
    if (min..=MAX_EXTRA).contains(&figure) { Ok(figure) } else { Err(MessageError::ExtraOutOfRange(figure)) }
}

/// Whether a text can stand in the first line of a SIP message: visible, and nothing that would end or split it.
pub fn is_token(text: &str) -> bool {
    const MAX_TOKEN_LENGTH: usize = 256;
    let is_plain = |byte: u8| byte.is_ascii_graphic() && !b"@<>\"\\;?".contains(&byte);
    !text.is_empty() && text.len() <= MAX_TOKEN_LENGTH && text.bytes().all(is_plain)
}

fn encode_line(value: &Value) -> Vec<u8> {
    let mut line = value.to_string().into_bytes();
    line.push(b'\n');
    line
}

/// The call is established.
pub fn encode_established(call: CallId, description: &str) -> Vec<u8> {
    encode_line(&json!({"t": "up", "ref": call.as_str(), "f": {}, "d": description}))
}

/// The call was rejected, failed or was released, by the cause; with a time to stay away where there is one.
pub fn encode_down(call: CallId, cause: u32, retry_after: Option<Span>) -> Vec<u8> {
    let fields = match retry_after {
        Some(retry_after) => json!({"wait": (retry_after.micros() / 1_000).to_string()}),
        None => json!({}),
    };
    encode_line(&json!({"t": "down", "ref": call.as_str(), "f": fields, "c": cause}))
}

/// A message that names no call can't be parsed.
pub fn encode_invalid() -> Vec<u8> {
    encode_line(&json!({"t": "down", "ref": "", "f": {}, "c": cause::INVALID}))
}

/// A release was received.
pub fn encode_acknowledgement(call: CallId) -> Vec<u8> {
    encode_line(&json!({"t": "ack", "ref": call.as_str(), "f": {}}))
}

/// The reply to a heartbeat: whether the front is in service.
pub fn encode_heartbeat_reply(id: &str, in_service: bool) -> Vec<u8> {
    encode_line(&json!({"t": "hb_ok", "ref": id, "f": {}, "c": u32::from(in_service)}))
}
