//! What each table may hold: ratios of the limits that the node is told.

use ochrelead_core::time::Span;
use ochrelead_platform::MAX_MESSAGE_LENGTH;
use ochrelead_platform::configuration::Limits;

/// Descriptors that are open whatever comes: the standard three, the listener, the coordinator's connection and its
/// next, the datagrams' socket, the system's queues of events, timers and signals, a file that is read.
const OWN: usize = 16;

#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Connections of callers: half the descriptors that the node does not need itself. Usual callers keep to a third.
    pub callers: usize,
    /// Those of callers that are being closed, besides: a sixteenth.
    pub closing: usize,
    /// Connections to signalling servers, all together: a third.
    pub links: usize,
    /// Calls that are held, standing or not: two thousand bytes of memory for each.
    pub calls: usize,
    /// Bytes of descriptions that are held for set-ups: an eighth of the memory.
    pub descriptions: usize,
    /// Bytes that wait for one slow reader: its even part of an eighth of the memory, one message at the least.
    pub waiting: usize,
    /// Called numbers that are remembered.
    pub numbers: usize,
    /// Releases that found no connection of a caller yet.
    pub owed: usize,
    /// Releases that one connection of a caller has not confirmed: a sixteenth of the calls.
    pub unheard: usize,
    /// Releases of others' calls that are said to usual callers between two rounds: half of what may wait for one
    /// slow reader, at a hundred bytes each.
    pub told: usize,
    /// Signalling servers that are remembered at once, those that have gone included.
    pub servers: usize,
}

impl Bounds {
    pub fn new(limits: Limits, most_held: Option<usize>) -> Bounds {
        let calls = (limits.memory / 2_048).min(most_held.unwrap_or(usize::MAX));
        let sockets = limits.sockets - OWN.min(limits.sockets / 2);
        let waiting = (limits.memory / 8 / limits.sockets).max(2 * MAX_MESSAGE_LENGTH);
        Bounds {
            callers: sockets / 2,
            closing: sockets / 16,
            links: sockets / 3,
            calls,
            descriptions: limits.memory / 8,
            waiting,
            numbers: limits.memory / 16_384,
            owed: calls,
            unheard: (calls / 16).max(16),
            told: waiting / 200,
            servers: (limits.memory / 65_536).max(16),
        }
    }
}

/// Spans of the platform's protocol, which the settings do not name.
pub mod platform {
    use super::Span;

    /// A caller that sent nothing of use is owed a refusal, an error or a close within this.
    pub const BAD_CALLER: Span = Span::from_secs(3);
    /// Callers close a connection without a call after this.
    pub const CALLER_IDLE: Span = Span::from_secs(4);
    /// After SIGTERM set-ups keep coming for this long at the most.
    pub const STILL_COMING: Span = Span::from_millis(700);
    /// A set-up that crosses the close of its connection by so much is sent once more.
    pub const CROSSING: Span = Span::from_millis(50);
    /// The coordinator says its last number this often.
    pub const WATCH_PULSE: Span = Span::from_secs(1);
    /// What has stood is to be released towards its caller within this, where its server could not say so.
    pub const SILENT_END: Span = Span::from_secs(8);
    /// A connection attempt that is not up by then has failed, where the settings name no time.
    pub const CONNECT: Span = Span::from_millis(500);
}
