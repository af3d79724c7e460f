//! Answers of an emulated server to an INVITE, valid or faulty.

use std::time::Duration;

use super::sip_text::{Request, response};

/// Delay between two pieces of an answer.
const PIECE_DELAY: Duration = Duration::from_millis(1);
/// Delay between an answer and its repeat, and between the pieces of a slow answer.
const LATE_PIECE_DELAY: Duration = Duration::from_millis(8);
/// The header of an answer that claims a body of 3 GB.
const OVERSIZED_CONTENT_LENGTH: &str = "Content-Length: 3000000000";
/// The number of pieces sent of the oversized answer, its head included.
const OVERSIZED_PIECES: usize = 40;
/// The length of each piece in bytes.
const OVERSIZED_PIECE_BYTES: usize = 16 * 1_024;

/// An answer to an INVITE, and how it is written.
pub(super) struct Reply {
    /// The pieces in which it is written.
    pub(super) pieces: Vec<String>,
    /// Delay after each piece.
    pub(super) piece_delay: Duration,
    /// Whether the connection is closed after the last piece.
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

/// Selects a valid or faulty answer by a number below 100 (`percentile`); `None` if the server does not answer.
pub(super) fn possibly_faulty(accepted: &str, percentile: u32, request: &Request) -> Option<Reply> {
    let third = accepted.len() / 3;
    let halves = || vec![accepted[..third].to_owned(), accepted[third..].to_owned()];
    let reply = match percentile {
        0..6 => Reply::whole("\u{1}\u{2}noise\r\n\r\n".to_owned()),
        6..8 => Reply::whole("x".repeat(OVERSIZED_PIECE_BYTES * 2)),
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
        44..46 => Reply::in_pieces(oversized(accepted)),
        46..53 => Reply::whole(response(503, &request.call_id, request.sequence, "INVITE", "")),
        53..59 => return None,
        _ => Reply::whole(accepted.to_owned()),
    };
    Some(reply)
}

/// An answer with an id that the node never sent, followed by the right answer.
fn unknown_id_first(accepted: &str, request: &Request) -> String {
    let unknown = response(200, "ffffffffffffff00", request.sequence, "INVITE", "");
    format!("{unknown}{accepted}")
}

/// The first part of an answer whose stated length exceeds the node's memory, in pieces.
fn oversized(accepted: &str) -> Vec<String> {
    let head_end = accepted.find("Content-Length").unwrap_or(accepted.len());
    let head = format!("{}{OVERSIZED_CONTENT_LENGTH}\r\n\r\n", &accepted[..head_end]);
    let mut pieces = vec![head];
    pieces.resize(OVERSIZED_PIECES, "x".repeat(OVERSIZED_PIECE_BYTES));
    pieces
}
