//! Strings of dialled digits.

/// Returns whether a text consists of digits only. This holds for an empty text.
pub(crate) fn is_digits(text: &str) -> bool {
    text.bytes().all(|byte| byte.is_ascii_digit())
}

/// Returns whether one string is a prefix of the other, so that a called number can begin with both.
pub(crate) fn overlap(first: &str, second: &str) -> bool {
    first.starts_with(second) || second.starts_with(first)
}
