//! Capacity of each table, derived from the limits that the node is configured with, and the timing constants of the
//! platform's protocol.

use ochrelead_core::time::Span;
use ochrelead_platform::MAX_MESSAGE_LENGTH;
use ochrelead_platform::configuration::Limits;

/// Connections to the coordinator, unanswered ones included.
pub(crate) const MAX_WATCH_CONNECTIONS: usize = 5;
/// File descriptors in use whatever the load: the standard three, the listener, the datagram socket, the system's queues
/// of events, timers and signals, a file being read.
const SYSTEM_DESCRIPTORS: usize = 11;
const RESERVED_DESCRIPTORS: usize = SYSTEM_DESCRIPTORS + MAX_WATCH_CONNECTIONS;
/// Memory that one call may take.
const BYTES_PER_CALL: usize = 2_048;
/// Memory that the entry of one called number may take, with all that is learned of it.
const BYTES_PER_CALLED_NUMBER: usize = 16_384;
/// Memory that the entry of one signalling server may take.
const BYTES_PER_SERVER: usize = 65_536;
/// An upper estimate of the length of one release line.
const RELEASE_BYTES: usize = 100;

/// Capacity of each table of the engine and of each connection's queues.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    /// Callers' connections: half of the descriptors that are not reserved. Regular callers keep to a third.
    pub(crate) callers: usize,
    /// Callers' connections that are being closed, in addition: a sixteenth.
    pub(crate) closing_callers: usize,
    /// Connections to all signalling servers together: a third.
    pub(crate) server_connections: usize,
    /// Calls in the table, established or not.
    pub(crate) calls: usize,
    /// Bytes of session descriptions kept for set-ups: an eighth of the memory.
    pub(crate) description_bytes: usize,
    /// Bytes queued for one slow reader: an even share of an eighth of the memory, at least one message.
    pub(crate) unwritten_bytes: usize,
    /// Called numbers in the table.
    pub(crate) called_numbers: usize,
    /// Releases that wait for a caller's or a server's connection.
    pub(crate) pending_releases: usize,
    /// Releases that one caller's connection has not confirmed: a sixteenth of the calls.
    pub(crate) unconfirmed_releases: usize,
    /// Pending releases sent on other callers' connections between two maintenance rounds: half of what may be queued
    /// for one slow reader.
    pub(crate) releases_per_round: usize,
    /// Signalling servers in the table, removed ones included.
    pub(crate) servers: usize,
}

impl Bounds {
    /// Capacity under the limits on memory and descriptors, and on calls where the settings name one.
    pub(crate) fn new(limits: Limits, max_calls: Option<usize>) -> Bounds {
        let calls = (limits.memory / BYTES_PER_CALL).min(max_calls.unwrap_or(usize::MAX));
        let sockets = limits.sockets - RESERVED_DESCRIPTORS.min(limits.sockets / 2);
        let unwritten_bytes = (limits.memory / 8 / limits.sockets).max(2 * MAX_MESSAGE_LENGTH);
        Bounds {
            callers: sockets / 2,
            closing_callers: sockets / 16,
            server_connections: sockets / 3,
            calls,
            description_bytes: limits.memory / 8,
            unwritten_bytes,
            called_numbers: limits.memory / BYTES_PER_CALLED_NUMBER,
            pending_releases: calls,
            unconfirmed_releases: (calls / 16).max(16),
            releases_per_round: unwritten_bytes / 2 / RELEASE_BYTES,
            servers: (limits.memory / BYTES_PER_SERVER).max(16),
        }
    }
}

/// Timing constants of the platform's protocol that its settings do not name.
pub(crate) mod protocol {
    use super::Span;

    /// A caller that sent nothing valid is owed a refusal, an error or a close within this time.
    pub(crate) const INVALID_CALLER_DEADLINE: Span = Span::from_secs(3);
    /// Callers close a connection without a call after this time.
    pub(crate) const CALLER_IDLE_TIMEOUT: Span = Span::from_secs(4);
    /// Set-ups may keep arriving for this long after SIGTERM.
    pub(crate) const SHUTDOWN_GRACE: Span = Span::from_millis(700);
    /// After SIGTERM a node may be killed once the grace and the longest wait of callers are over, counted as so much at
    /// the most.
    pub(crate) const SHUTDOWN_LONGEST_WAIT: Span = Span::from_secs(3);
    /// So long before it may be killed, a node has answered everything.
    pub(crate) const SHUTDOWN_ANSWER_MARGIN: Span = Span::from_millis(100);
    /// The rest of a line is expected for so long after its last byte.
    pub(crate) const PARTIAL_LINE_TIMEOUT: Span = Span::from_millis(300);
    /// A set-up that crosses the close of its connection within this time is sent once more by its caller.
    pub(crate) const CLOSE_RACE_WINDOW: Span = Span::from_millis(50);
    /// The coordinator repeats its last index this often.
    pub(crate) const WATCH_HEARTBEAT: Span = Span::from_secs(1);
    /// A coordinator that is silent for longer is asked again: a line is due each second.
    pub(crate) const WATCH_SILENCE_THRESHOLD: Span = Span::from_millis(1_600);
    /// A request to the coordinator is given up after this time, by when what it brings counts as told.
    pub(crate) const WATCH_ANSWER_TIMEOUT: Span = Span::from_secs(6);
    /// An established call whose server died silently is to be released towards its caller within this time.
    pub(crate) const SILENT_FAILURE_DEADLINE: Span = Span::from_secs(8);
    /// A silent server is probed after this time: a quarter of the time allowed for noticing its failure.
    pub(crate) const SILENCE_THRESHOLD: Span = Span::from_secs(2);
    /// The time-out of a connection attempt where the settings name none.
    pub(crate) const DEFAULT_CONNECT_TIMEOUT: Span = Span::from_millis(500);
}
