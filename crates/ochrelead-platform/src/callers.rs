//! What callers say, a JSON object a line, and what is said to them.

use std::collections::HashMap;
use std::fmt;

use serde::Deserialize;
use serde_json::{Value, json};

use ochrelead_core::time::Span;

/// The id of a call: 16 hex digits, kept as they came.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId([u8; 16]);

impl CallId {
    pub fn read(text: &str) -> Option<CallId> {
        let digits: [u8; 16] = text.as_bytes().try_into().ok()?;
        digits.iter().all(u8::is_ascii_hexdigit).then_some(CallId(digits))
    }

    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.0).unwrap_or_default()
    }
}

impl fmt::Debug for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A set-up as its caller asks for it; names are those of the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct SetUp {
    pub call: CallId,
    pub class: String,
    pub tenant: Option<String>,
    /// How long the caller waits.
    pub left: Span,
    pub number: String,
    pub destination: Option<i64>,
    pub description: String,
}

/// What a line says.
#[derive(Clone, Debug, PartialEq)]
pub enum Said {
    SetUp(SetUp),
    /// A call that stands at that server already; nobody waits for an answer.
    StandsAt {
        call: CallId,
        server: String,
    },
    /// A set-up is given up, or a call that stands is released.
    Down {
        call: CallId,
    },
    /// A test; the id is sent back.
    Test {
        id: String,
    },
    /// A release or a refusal was heard.
    Heard {
        call: CallId,
    },
    /// What means nothing to a front.
    Nothing,
}

/// Why a line can't be used; with the call that it names, where it names one.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{why}")]
pub struct Unusable {
    pub call: Option<CallId>,
    pub why: String,
}

/// Causes (Q.850) of what a front says.
pub mod cause {
    pub const NORMAL: u32 = 16;
    /// A failure; a caller that tries again is on its own.
    pub const FAILED: u32 = 41;
    /// Refused: trying again is harmless.
    pub const REFUSED: u32 = 42;
    /// What was asked can't be read.
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

/// Reads one line.
///
/// # Errors
///
/// Where it is no message of the protocol, or one without what it needs.
pub fn read(line: &[u8]) -> Result<Said, Unusable> {
    let wrong = |call, why: &str| Unusable { call, why: why.to_owned() };
    let line: Line =
        serde_json::from_slice(line).map_err(|error| wrong(None, &format!("no message: {error}")))?;
    let call = line.id.as_deref().and_then(CallId::read);
    let named = || call.ok_or_else(|| wrong(None, "no id of 16 hex digits"));
    match line.t.as_str() {
        "new" => set_up(line, named()?),
        "down" => {
            let call = named()?;
            let cause = line.c.as_ref().and_then(Value::as_u64);
            cause.ok_or_else(|| wrong(Some(call), "a release without a cause"))?;
            Ok(Said::Down { call })
        }
        "hb" => Ok(Said::Test { id: line.id.unwrap_or_default() }),
        "ack" => Ok(call.map_or(Said::Nothing, |call| Said::Heard { call })),
        "wait" => Ok(Said::Nothing),
        other => Err(wrong(call, &format!("an unknown type {other:?}"))),
    }
}

fn set_up(line: Line, call: CallId) -> Result<Said, Unusable> {
    let wrong = |why: String| Unusable { call: Some(call), why };
    let text = |name: &str| match line.f.get(name) {
        None => Ok(None),
        Some(Value::String(text)) => Ok(Some(text.clone())),
        Some(Value::Number(number)) => Ok(Some(number.to_string())),
        Some(_) => Err(wrong(format!("{name} is neither a string nor a number"))),
    };
    let extras = text("extras")?.unwrap_or_default();
    let mut destination = None;
    for pair in extras.split(';').filter(|pair| !pair.trim().is_empty()) {
        let (name, value) =
            pair.split_once(':').ok_or_else(|| wrong(format!("extras: {pair:?} names no figure")))?;
        let figure = || {
            let figure = value.trim().parse::<f64>().ok().filter(|figure| figure.fract() == 0.0);
            figure.ok_or_else(|| wrong(format!("extras: {name} is no whole number")))
        };
        match name.trim() {
            "at" => return Ok(Said::StandsAt { call, server: value.trim().to_owned() }),
            "dest" => destination = Some(within(figure()?, -1.0, MOST_FIGURE).map_err(wrong)? as i64),
            "width" => _ = within(figure()?, 0.0, MOST_FIGURE).map_err(wrong)?,
            "via" => _ = within(figure()?, -1.0, MOST_FIGURE).map_err(wrong)?,
            _ => {}
        }
    }
    let class = text("class")?.ok_or_else(|| wrong("no class".to_owned()))?;
    let left = text("left")?.and_then(|left| left.parse::<f64>().ok()).filter(|left| left.is_finite());
    let left = left.filter(|left| *left > 0.0).ok_or_else(|| wrong("no time left".to_owned()))?;
    let number = text("key")?.filter(|key| is_token(key)).ok_or_else(|| wrong("no number".to_owned()))?;
    let description = line.d.ok_or_else(|| wrong("no description".to_owned()))?;
    Ok(Said::SetUp(SetUp {
        call,
        class,
        tenant: text("tenant")?,
        left: Span::from_micros((left * 1_000.0) as u64),
        number,
        destination,
        description,
    }))
}

/// Figures of a set-up lie under this: the numbers of servers and counts of circuits.
const MOST_FIGURE: f64 = 1_000_000.0;

fn within(figure: f64, least: f64, most: f64) -> Result<f64, String> {
    if (least..=most).contains(&figure) { Ok(figure) } else { Err(format!("a figure of {figure}")) }
}

/// What can stand in the first line of a SIP message: visible, and nothing that would end or split it.
pub fn is_token(text: &str) -> bool {
    let plain = |byte: u8| byte.is_ascii_graphic() && !b"@<>\"\\;?".contains(&byte);
    !text.is_empty() && text.len() <= 256 && text.bytes().all(plain)
}

fn line(value: &Value) -> Vec<u8> {
    let mut line = value.to_string().into_bytes();
    line.push(b'\n');
    line
}

/// The call stands.
pub fn up(call: CallId, description: &str) -> Vec<u8> {
    line(&json!({"t": "up", "ref": call.as_str(), "f": {}, "d": description}))
}

/// Refused, failed or released, by the cause; with a time to stay away where one is named.
pub fn down(call: CallId, cause: u32, wait: Option<Span>) -> Vec<u8> {
    let fields = match wait {
        Some(wait) => json!({"wait": (wait.micros() / 1_000).to_string()}),
        None => json!({}),
    };
    line(&json!({"t": "down", "ref": call.as_str(), "f": fields, "c": cause}))
}

/// What can't be read, where it names no call.
pub fn unreadable() -> Vec<u8> {
    line(&json!({"t": "down", "ref": "", "f": {}, "c": cause::INVALID}))
}

/// A release was heard.
pub fn heard(call: CallId) -> Vec<u8> {
    line(&json!({"t": "ack", "ref": call.as_str(), "f": {}}))
}

/// A test is passed or not.
pub fn tested(id: &str, passed: bool) -> Vec<u8> {
    line(&json!({"t": "hb_ok", "ref": id, "f": {}, "c": u32::from(passed)}))
}
