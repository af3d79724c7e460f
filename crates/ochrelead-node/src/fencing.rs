//! The text format of fencing tokens, which the requests carry that one front sends on behalf of all fronts.
//!
//! A signalling server refuses a token lower than the highest it has seen, and returns that highest token.

use ochrelead_lease::{FencingToken, MemberId};

/// The header that carries a fencing token.
pub const TOKEN_HEADER: &str = "X-Number";

/// Formats a token as `COUNTER.FRONT.INCARNATION`, where the front is its holder.
pub fn format_token(token: FencingToken) -> String {
    format!("{}.{}.{}", token.counter, token.holder.front, token.holder.incarnation)
}

/// Parses a token. Returns `None` if the text is not a token or the token is not plausible.
pub fn parse_token(text: &str) -> Option<FencingToken> {
    let (counter, holder) = text.trim().split_once('.')?;
    let (front, incarnation) = holder.split_once('.')?;
    let holder = MemberId { front: front.parse().ok()?, incarnation: incarnation.parse().ok()? };
    Some(FencingToken { counter: counter.parse().ok()?, holder }).filter(|token| token.is_plausible())
}
