//! What the engine tells the log and the records. The host writes it; nothing is decided by it.

use ochrelead_config::commission::Post;
use ochrelead_core::time::Span;
use ochrelead_core::types::{DecisionReason, InviteOutcome, LineCapacity, RejectionCause};
use ochrelead_discovery::roster::Said;

/// One line for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// Of one session, known by the id of its caller's try.
    Session { tried: String, what: Step },
    /// A server said something of itself.
    Server { name: String, what: &'static str },
    /// A server told all fronts of its lines.
    Lines { name: String, lines: LineCapacity },
    /// The list has changed: this is what a front that starts anew should know.
    List(Vec<(Post, Said)>),
    /// A message that was passed over, and why.
    PassedOver { from: String, why: String },
    /// This front was called so much later than it had asked for.
    Paused(Span),
}

/// A step of a session.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    Taken {
        /// As in the settings, by their places.
        service: usize,
        member: Option<usize>,
        destination: i64,
        called: String,
        redial: bool,
    },
    Invited {
        server: String,
        nth: u32,
        /// Where the judge tells.
        why: Option<DecisionReason>,
    },
    InviteEnded {
        server: String,
        ending: InviteOutcome,
        took: Span,
    },
    Stands {
        server: String,
        /// From the INVITE, and from the caller's try.
        took: Span,
        since_taken: Span,
    },
    GivenUp {
        /// None where the front itself gave it up, or the judge does not tell.
        denial: Option<RejectionCause>,
        refused: bool,
        come_back_ms: Option<u64>,
    },
    HungUp {
        /// The INVITE that was out, and since when.
        out: Option<(String, Span)>,
    },
    Cut {
        server: String,
    },
    Released {
        server: String,
        /// The server confirmed it.
        confirmed: bool,
    },
    /// A call that nobody claims is taken down.
    TakenDown {
        server: String,
    },
}
