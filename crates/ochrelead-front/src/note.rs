//! What the engine tells the log. The host writes it; nothing is decided by it.

use ochrelead_core::call::Ending;
use ochrelead_fleet::roster::Said;
use ochrelead_settings::commission::Post;

/// One line for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// Of one session, known by the id of its caller's try.
    Session { tried: String, what: Step },
    /// A server said something of itself, or the list did.
    Server { name: String, what: &'static str },
    /// The list has changed: this is what a front that starts anew should know.
    List(Vec<(Post, Said)>),
    /// A message that was passed over, and why.
    PassedOver { from: String, why: String },
}

/// A step of a session.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    Taken,
    Invited {
        server: String,
        nth: u32,
    },
    InviteEnded {
        server: String,
        ending: Ending,
    },
    Stands {
        server: String,
    },
    Refused {
        come_back_ms: Option<u64>,
    },
    Failed,
    HungUp,
    Cut,
    Released,
    /// A call that nobody claims is taken down.
    TakenDown {
        server: String,
    },
}
