//! Reading fields of JSON objects.

use ochrelead_core::time::{Moment, Span};
use serde_json::Value;

use crate::error::EventError;

/// A whole number that is not negative, where there is one.
pub(crate) fn whole_number(object: &Value, key: &str) -> Option<u64> {
    object.get(key).and_then(Value::as_u64)
}

/// A whole number, where there is one.
pub(crate) fn integer(object: &Value, key: &str) -> Option<i64> {
    object.get(key).and_then(Value::as_i64)
}

/// A text, where there is one.
pub(crate) fn text<'a>(object: &'a Value, key: &str) -> Option<&'a str> {
    object.get(key).and_then(Value::as_str)
}

/// Whether a field is there and true.
pub(crate) fn flag(object: &Value, key: &str) -> bool {
    object.get(key).and_then(Value::as_bool).unwrap_or(false)
}

/// A moment in milliseconds, where there is one.
pub(crate) fn moment(object: &Value, key: &str) -> Option<Moment> {
    let ms = object.get(key)?.as_f64().filter(|ms| ms.is_finite() && *ms >= 0.0)?;
    Some(Moment::from_micros((ms * 1_000.0).round() as u64))
}

/// A span of time in milliseconds, as the wire has it.
pub(crate) fn millis(span: Span) -> f64 {
    span.micros() as f64 / 1_000.0
}

/// A field of an event that the event needs.
pub(crate) fn required<T>(
    value: Option<T>,
    event: &'static str,
    field: &'static str,
) -> Result<T, EventError> {
    value.ok_or(EventError::MissingField { event, field })
}
