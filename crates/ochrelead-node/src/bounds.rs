//! The capacities of the engine's tables, derived from the configured limits on memory and file descriptors, and the
//! timing constants of the platform's protocol.

use ochrelead_core::time::Span;
use ochrelead_platform::MAX_MESSAGE_LENGTH;
use ochrelead_platform::configuration::Limits;

use crate::reported_call_table::ReportBounds;

/// The maximum number of connections to the coordinator, including those not established yet or without an answer.
pub(crate) const MAX_WATCH_CONNECTIONS: usize = 5;
/// File descriptors used at any load: the three standard streams, the listening socket, the datagram socket, the
/// descriptors for events, timers and signals, and a file being read.
const SYSTEM_DESCRIPTORS: usize = 11;
const RESERVED_DESCRIPTORS: usize = SYSTEM_DESCRIPTORS + MAX_WATCH_CONNECTIONS;
/// The memory budget of one call.
const BYTES_PER_CALL: usize = 2_048;
/// The memory budget of one called number, including the statistics kept for it.
const BYTES_PER_CALLED_NUMBER: usize = 16_384;
/// The memory budget of one signalling server.
const BYTES_PER_SERVER: usize = 65_536;
/// One connection may report this fraction of the reported calls.
const REPORTS_SHARE_PER_CONNECTION: usize = 8;
/// An upper estimate of the length of a release line.
const RELEASE_BYTES: usize = 100;

/// The capacities of the engine's tables and of the queues of each connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    /// Callers' connections: half of the unreserved descriptors. Callers that follow the protocol use at most a third.
    pub(crate) callers: usize,
    /// Callers' connections being closed, in addition to `callers`: a sixteenth of the unreserved descriptors.
    pub(crate) closing_callers: usize,
    /// Connections to all signalling servers together: a third of the unreserved descriptors.
    pub(crate) server_connections: usize,
    /// Calls, including established ones.
    pub(crate) calls: usize,
    /// Calls that callers have reported as established: half of the calls, so that set-ups keep the other half.
    pub(crate) reported_calls: ReportBounds,
    /// Bytes of session descriptions of unanswered calls: an eighth of the memory.
    pub(crate) description_bytes: usize,
    /// Bytes queued for writing on one connection: an even share of an eighth of the memory, at least twice the maximum
    /// message length.
    pub(crate) unwritten_bytes: usize,
    /// Called numbers.
    pub(crate) called_numbers: usize,
    /// Releases that wait for a caller's connection, and those that wait for a connection to one server.
    pub(crate) pending_releases: usize,
    /// Unconfirmed releases on one caller's connection: a sixteenth of the calls.
    pub(crate) unconfirmed_releases: usize,
    /// Pending releases sent on other callers' connections between two maintenance rounds; together they fill at most
    /// half of `unwritten_bytes`.
    pub(crate) releases_per_round: usize,
    /// Signalling servers, including removed ones.
    pub(crate) servers: usize,
}

impl Bounds {
    /// Derives the capacities from the limits on memory and descriptors, and from the limit on calls if the settings
    /// contain one.
    pub(crate) fn new(limits: Limits, max_calls: Option<usize>) -> Bounds {
        let calls = (limits.memory / BYTES_PER_CALL).min(max_calls.unwrap_or(usize::MAX));
        let sockets = limits.sockets - RESERVED_DESCRIPTORS.min(limits.sockets / 2);
        let unwritten_bytes = (limits.memory / 8 / limits.sockets).max(2 * MAX_MESSAGE_LENGTH);
        Bounds {
            callers: sockets / 2,
            closing_callers: sockets / 16,
            server_connections: sockets / 3,
            calls,
            reported_calls: ReportBounds {
                calls: (calls / 2).max(1),
                calls_per_connection: (calls / 2 / REPORTS_SHARE_PER_CONNECTION).max(16),
            },
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

/// Timing constants of the platform's protocol that are not part of its settings.
pub(crate) mod protocol {
    use super::Span;

    /// A caller that has sent nothing valid must receive a refusal, an error or a close within this time.
    pub(crate) const INVALID_CALLER_DEADLINE: Span = Span::from_secs(3);
    /// Callers close a connection without a call after this idle time.
    pub(crate) const CALLER_IDLE_TIMEOUT: Span = Span::from_secs(4);
    /// Set-ups may keep arriving for this long after SIGTERM.
    pub(crate) const SHUTDOWN_GRACE: Span = Span::from_millis(700);
    /// After SIGTERM a node may be killed once `SHUTDOWN_GRACE` and the longest wait of callers have passed; that wait
    /// counts as no more than this time.
    pub(crate) const SHUTDOWN_LONGEST_WAIT: Span = Span::from_secs(3);
    /// A node answers all calls this long before it may be killed.
    pub(crate) const SHUTDOWN_ANSWER_MARGIN: Span = Span::from_millis(100);
    /// The rest of a line is expected to arrive within this time after the last byte.
    pub(crate) const PARTIAL_LINE_TIMEOUT: Span = Span::from_millis(300);
    /// If a set-up races with the close of its connection within this time, its caller sends it once more.
    pub(crate) const CLOSE_RACE_WINDOW: Span = Span::from_millis(50);
    /// The interval at which the coordinator repeats its last event index.
    pub(crate) const WATCH_HEARTBEAT: Span = Span::from_secs(1);
    /// The request to a coordinator that is silent for longer is sent again; it should send a line each second.
    pub(crate) const WATCH_SILENCE_THRESHOLD: Span = Span::from_millis(1_600);
    /// The time-out of a request to the coordinator, by which the events that it returns count as notified, so that
    /// their deadlines run.
    pub(crate) const WATCH_ANSWER_TIMEOUT: Span = Span::from_secs(6);
    /// The caller of an established call must be notified within this time after the server has failed silently.
    pub(crate) const SILENT_FAILURE_DEADLINE: Span = Span::from_secs(8);
    /// Callers report their established calls to a node at most this long after the last node that held them has ended: a
    /// front is ready within this time after its start.
    pub(crate) const LONGEST_REPORT_DELAY: Span = Span::from_secs(30);
    /// A reported call ends at the latest after this many times the longest mean holding time of the settings.
    pub(crate) const REPORTED_CALL_HOLD_TIMES: u64 = 32;
    /// A server that is silent for this time is probed; a quarter of `SILENT_FAILURE_DEADLINE`.
    pub(crate) const SILENCE_THRESHOLD: Span = Span::from_secs(2);
    /// The time-out of a connection attempt if the settings contain none.
    pub(crate) const DEFAULT_CONNECT_TIMEOUT: Span = Span::from_millis(500);
}
