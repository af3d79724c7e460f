//! Fencing tokens on the wire: the header of a request that one front makes on behalf of the whole fleet.
//!
//! A signalling server refuses a token lower than the highest that it has seen, and names that one.

use ochrelead_lease::{Number, Who};

/// The header with a fencing token.
pub const TOKEN_HEADER: &str = "X-Number";

/// A token as it is written: its count, the front that holds it and that front's incarnation.
pub fn format_token(token: Number) -> String {
    format!("{}.{}.{}", token.count, token.of.front, token.of.life)
}

/// Reads a token; `None` where the text is none, or its count is out of the likely range.
pub fn parse_token(text: &str) -> Option<Number> {
    let (count, holder) = text.trim().split_once('.')?;
    let (front, incarnation) = holder.split_once('.')?;
    let of = Who { front: front.parse().ok()?, life: incarnation.parse().ok()? };
    Some(Number { count: count.parse().ok()?, of }).filter(|token| token.is_likely())
}
