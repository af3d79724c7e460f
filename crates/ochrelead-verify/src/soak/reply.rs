//! What an emulated server answers to an INVITE, whole or spoilt.

use std::time::Duration;

use super::sip_text::{Request, response};

/// Between two pieces of an answer.
const PIECE_DELAY: Duration = Duration::from_millis(1);
/// Between an answer and its second copy, and between the pieces of a slow one.
const LATE_PIECE_DELAY: Duration = Duration::from_millis(8);
/// How long an answer says it is that does not end.
const ENDLESS_LENGTH: &str = "Content-Length: 3000000000";
/// What comes of an endless answer.
const ENDLESS_PIECES: usize = 40;
const ENDLESS_PIECE_LENGTH: usize = 16 * 1_024;

/// An answer to an INVITE, and what follows it.
pub(super) struct Reply {
    /// Written one after the other.
    pub(super) pieces: Vec<String>,
    /// Between two of them.
    pub(super) piece_delay: Duration,
    /// Whether the connection is closed at once.
    pub(super) closes: bool,
}

impl Reply {
    pub(super) fn whole(answer: String) -> Reply {
        Reply::in_pieces(vec![answer])
    }

    fn in_pieces(pieces: Vec<String>) -> Reply {
        Reply { pieces, piece_delay: PIECE_DELAY, closes: false }
    }
}

/// A spoilt answer by a chance in a hundred; `None` where the server says nothing.
pub(super) fn spoil(accepted: &str, chance: u32, request: &Request) -> Option<Reply> {
    let third = accepted.len() / 3;
    let halves = || vec![accepted[..third].to_owned(), accepted[third..].to_owned()];
    let reply = match chance {
        0..6 => Reply::whole("\u{1}\u{2}noise\r\n\r\n".to_owned()),
        6..8 => Reply::whole("x".repeat(ENDLESS_PIECE_LENGTH * 2)),
        8..12 => Reply::whole(accepted.replace("Content-Length: ", "Content-Length: 9")),
        12..15 => Reply::whole(accepted.repeat(2)),
        15..18 => {
            let pieces = vec![accepted.to_owned(), accepted.to_owned()];
            Reply { piece_delay: LATE_PIECE_DELAY, ..Reply::in_pieces(pieces) }
        }
        18..24 => Reply::in_pieces(halves()),
        24..28 => Reply { piece_delay: LATE_PIECE_DELAY, ..Reply::in_pieces(halves()) },
        28..34 => Reply { closes: true, ..Reply::in_pieces(halves()) },
        34..38 => Reply { closes: true, ..Reply::whole(accepted[..third].to_owned()) },
        38..41 => Reply::whole(accepted[..third].to_owned()),
        41..44 => Reply::whole(unknown_id_first(accepted, request)),
        44..46 => Reply::in_pieces(endless(accepted)),
        46..53 => Reply::whole(response(503, &request.call_id, request.sequence, "INVITE", "")),
        53..59 => return None,
        _ => Reply::whole(accepted.to_owned()),
    };
    Some(reply)
}

/// An answer under an id that the node never sent, ahead of the right one.
fn unknown_id_first(accepted: &str, request: &Request) -> String {
    let unknown = response(200, "ffffffffffffff00", request.sequence, "INVITE", "");
    format!("{unknown}{accepted}")
}

/// An answer that is said to be longer than all memory, and keeps coming.
fn endless(accepted: &str) -> Vec<String> {
    let head_end = accepted.find("Content-Length").unwrap_or(accepted.len());
    let head = format!("{}{ENDLESS_LENGTH}\r\n\r\n", &accepted[..head_end]);
    let mut pieces = vec![head];
    pieces.resize(ENDLESS_PIECES, "x".repeat(ENDLESS_PIECE_LENGTH));
    pieces
}
