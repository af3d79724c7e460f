//! Strings of dialled digits.

/// Whether a text has nothing but digits.
pub(crate) fn is_digits(text: &str) -> bool {
    text.bytes().all(|byte| byte.is_ascii_digit())
}

/// Whether one string of digits begins with another, so that a called number could mean both.
pub(crate) fn overlap(first: &str, second: &str) -> bool {
    first.starts_with(second) || second.starts_with(first)
}
