//! Fencing tokens on the wire: the header of a request that one front makes on behalf of the whole fleet.
//!
//! A signalling server refuses a token lower than the highest that it has seen, and names that one.

use ochrelead_lease::{FencingToken, MemberId};

/// The header with a fencing token.
pub const TOKEN_HEADER: &str = "X-Number";

/// A token as it is written: its count, the front that holds it and that front's incarnation.
pub fn format_token(token: FencingToken) -> String {
    format!("{}.{}.{}", token.counter, token.holder.front, token.holder.incarnation)
}

/// Reads a token; `None` where the text is none, or its count is out of the likely range.
pub fn parse_token(text: &str) -> Option<FencingToken> {
    let (count, holder) = text.trim().split_once('.')?;
    let (front, incarnation) = holder.split_once('.')?;
    let holder = MemberId { front: front.parse().ok()?, incarnation: incarnation.parse().ok()? };
    Some(FencingToken { counter: count.parse().ok()?, holder }).filter(|token| token.is_plausible())
}
