//! Reading fields of JSON objects.

use ochrelead_core::time::{Moment, Span};
use serde_json::Value;

use crate::error::EventError;

/// Returns a non-negative integer field, if present and of that type.
pub(crate) fn unsigned(object: &Value, key: &str) -> Option<u64> {
    object.get(key).and_then(Value::as_u64)
}

/// Returns an integer field, if present and of that type.
pub(crate) fn integer(object: &Value, key: &str) -> Option<i64> {
    object.get(key).and_then(Value::as_i64)
}

/// Returns a string field, if present and of that type.
pub(crate) fn text<'a>(object: &'a Value, key: &str) -> Option<&'a str> {
    object.get(key).and_then(Value::as_str)
}

/// Returns whether a field is present and `true`.
pub(crate) fn flag(object: &Value, key: &str) -> bool {
    object.get(key).and_then(Value::as_bool).unwrap_or(false)
}

/// Returns a field with a point in time in milliseconds, if present, finite and not negative.
pub(crate) fn moment(object: &Value, key: &str) -> Option<Moment> {
    let ms = object.get(key)?.as_f64().filter(|ms| ms.is_finite() && *ms >= 0.0)?;
    Some(Moment::from_micros((ms * 1_000.0).round() as u64))
}

/// Converts a duration to the milliseconds of the wire.
pub(crate) fn millis(span: Span) -> f64 {
    span.micros() as f64 / 1_000.0
}

/// Returns the value of a field that an event must have, or an error if it is missing.
pub(crate) fn required<T>(
    value: Option<T>,
    event: &'static str,
    field: &'static str,
) -> Result<T, EventError> {
    value.ok_or(EventError::MissingField { event, field })
}
