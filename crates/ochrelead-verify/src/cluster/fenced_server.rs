//! A signalling server that answers no requests, but refuses acts whose fencing token is too low. An act is an OPTIONS
//! request with a fencing token: the health check by the front that holds the server's lease. The server records all
//! acts and checks them.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Instant;

use ochrelead_lease::FencingToken;
use ochrelead_node::fencing::{TOKEN_HEADER, format_token, parse_token};

use super::error::ActViolation;

/// An act that the server accepted or refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedAct {
    /// When the server accepted or refused it.
    pub decided_at: Instant,
    /// When the server received it; earlier than `decided_at` if the server delayed the act.
    pub received_at: Instant,
    /// The token that it carries.
    pub token: FencingToken,
    /// The number of the connection on which it arrived.
    pub connection: u64,
    /// Whether it was refused.
    pub is_refused: bool,
}

/// An act that was received and not yet decided, with the connection for a refusal.
struct PendingAct {
    received_at: Instant,
    token: FencingToken,
    connection: u64,
    stream: TcpStream,
    /// The header lines that a response copies from the request.
    transaction: String,
}

#[derive(Default)]
struct ServerState {
    /// Accepts acts with any token, as a server without fencing would.
    accepts_all: bool,
    /// The front whose acts are held in `delayed`.
    delayed_front: Option<u32>,
    delayed: Vec<PendingAct>,
    acts: Vec<RecordedAct>,
    highest: Option<FencingToken>,
}

impl ServerState {
    /// Accepts or refuses an act.
    fn handle(&mut self, mut act: PendingAct) {
        let PendingAct { received_at, token, connection, .. } = act;
        let higher = self.highest.filter(|highest| token < *highest && !self.accepts_all);
        let is_refused = higher.is_some();
        self.acts.push(RecordedAct {
            decided_at: Instant::now(),
            received_at,
            token,
            connection,
            is_refused,
        });
        self.highest = self.highest.max(Some(token));
        if let Some(highest) = higher {
            let token_header = format!("{TOKEN_HEADER}: {}\r\n", format_token(highest));
            let answer =
                format!("SIP/2.0 403 x\r\n{}{token_header}Content-Length: 0\r\n\r\n", act.transaction);
            // The write fails if the front has closed the connection.
            let _ = act.stream.write_all(answer.as_bytes());
        }
    }
}

/// Reads a request's start line and headers; an empty string at the end of the stream.
pub(super) fn read_head(reader: &mut impl BufRead) -> io::Result<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head)? == 0 {
            return Ok(String::new());
        }
    }
    Ok(head)
}

/// Returns a header's value, or an empty string if the header is missing.
pub(super) fn header<'a>(head: &'a str, name: &str) -> &'a str {
    let value = |line: &'a str| line.strip_prefix(name)?.strip_prefix(':');
    head.lines().find_map(value).unwrap_or_default().trim()
}

/// Reads and discards a request's body.
pub(super) fn skip_body(reader: &mut impl Read, head: &str) -> io::Result<()> {
    let mut body = vec![0; header(head, "Content-Length").parse().unwrap_or(0)];
    reader.read_exact(&mut body)
}

fn lock(state: &Mutex<ServerState>) -> MutexGuard<'_, ServerState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn serve(stream: TcpStream, connection: u64, state: &Mutex<ServerState>) -> io::Result<()> {
    let responses = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        let head = read_head(&mut reader)?;
        if head.is_empty() {
            return Ok(());
        }
        skip_body(&mut reader, &head)?;
        let token = parse_token(header(&head, TOKEN_HEADER)).filter(|_| head.starts_with("OPTIONS"));
        let Some(token) = token else { continue };
        let (call, sequence) = (header(&head, "Call-ID"), header(&head, "CSeq"));
        let transaction = format!("Call-ID: {call}\r\nCSeq: {sequence}\r\n");
        let (received_at, stream) = (Instant::now(), responses.try_clone()?);
        let act = PendingAct { received_at, token, connection, stream, transaction };
        let mut state = lock(state);
        if state.delayed_front == Some(token.holder.front) {
            state.delayed.push(act);
        } else {
            state.handle(act);
        }
    }
}

/// A signalling server that checks fencing tokens and records acts.
pub struct FencedServer {
    address: SocketAddr,
    state: Arc<Mutex<ServerState>>,
}

impl FencedServer {
    /// Starts the server on a free port of the loopback interface.
    ///
    /// # Errors
    ///
    /// Returns an error if the listening socket can't be opened.
    pub fn start() -> io::Result<FencedServer> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(ServerState::default()));
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            for (connection, stream) in (0..).zip(listener.incoming().flatten()) {
                let state = Arc::clone(&shared);
                thread::spawn(move || serve(stream, connection, &state));
            }
        });
        Ok(FencedServer { address, state })
    }

    /// Accepts acts with any token from now on.
    pub fn accept_all(&self) {
        lock(&self.state).accepts_all = true;
    }

    /// Delays the acts of `front` from now on, or of no front. First decides all acts that were delayed so far.
    pub fn delay_acts_of(&self, front: Option<u32>) {
        let mut state = lock(&self.state);
        state.delayed_front = front;
        for act in std::mem::take(&mut state.delayed) {
            state.handle(act);
        }
    }

    /// Number of acts that are being delayed.
    pub fn delayed_acts(&self) -> usize {
        lock(&self.state).delayed.len()
    }

    /// The address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// All acts so far, in the order in which they were decided.
    pub fn acts(&self) -> Vec<RecordedAct> {
        lock(&self.state).acts.clone()
    }

    /// Checks the rules of [`check_acts`] on all acts so far. They hold at any time, whatever the timing.
    ///
    /// # Errors
    ///
    /// Returns the first violation.
    pub fn check(&self) -> Result<(), ActViolation> {
        check_acts(&self.acts())
    }
}

/// Checks acts in the order in which they were decided:
///
/// - The tokens of accepted acts never decrease.
/// - All acts on a connection are of one front in one incarnation.
/// - At most one refused act under a token is received after that token was refused. Its front may have sent it
///   before it read the refusal, but has read the refusal before it sends another.
/// - The tokens of one incarnation of a front never decrease.
///
/// # Errors
///
/// Returns the first violation.
pub fn check_acts(acts: &[RecordedAct]) -> Result<(), ActViolation> {
    let mut highest: Option<FencingToken> = None;
    for (index, act) in acts.iter().enumerate() {
        if !act.is_refused {
            if let Some(highest) = highest.filter(|highest| act.token < *highest) {
                return Err(ActViolation::AcceptedTokenDecreased { act: index, token: act.token, highest });
            }
            highest = Some(act.token);
        }
        check_member(acts, index)?;
    }
    Ok(())
}

/// Checks one act against the earlier acts of its connection, its token and its member.
fn check_member(acts: &[RecordedAct], index: usize) -> Result<(), ActViolation> {
    let (act, earlier) = (&acts[index], &acts[..index]);
    let token = act.token;
    let is_of_another_member =
        |other: &&RecordedAct| other.connection == act.connection && other.token.holder != token.holder;
    if let Some(other) = earlier.iter().find(is_of_another_member) {
        return Err(ActViolation::SharedConnection { act: index, token, other: other.token });
    }
    // One such act is allowed: its front may have sent it before it read the refusal.
    let came_after_refusal = |refused: &&RecordedAct| {
        let was_refused_before = |other: &RecordedAct| {
            other.is_refused && other.token == token && other.decided_at < refused.received_at
        };
        refused.is_refused && refused.token == token && earlier.iter().any(was_refused_before)
    };
    if acts[..=index].iter().filter(came_after_refusal).count() > 1 {
        return Err(ActViolation::RefusalIgnored { act: index, token });
    }
    let of_member = earlier.iter().filter(|other| other.token.holder == token.holder);
    if of_member.into_iter().any(|other| other.token > token) {
        return Err(ActViolation::MemberTokenDecreased { act: index, token });
    }
    Ok(())
}

/// The first act under a token.
struct FirstAct {
    token: FencingToken,
    decided_at: Instant,
}

/// The longest time from the first act of a successor to an act of the former holder, in milliseconds; 0 if there is
/// none. Ignores the acts of `paused` fronts. A token whose first act follows that of a higher token is not a former
/// holder's: it was granted by voters that had lost their promises, and is refused.
pub fn overlap_ms(acts: &[RecordedAct], paused: &[u32]) -> u64 {
    let mut first_acts: Vec<FirstAct> = Vec::new();
    let mut longest_ms = 0;
    for act in acts {
        let (token, decided_at) = (act.token, act.decided_at);
        let first_act = first_acts.iter().find(|first| first.token == token).map(|first| first.decided_at);
        if first_act.is_none() {
            first_acts.push(FirstAct { token, decided_at });
        }
        let first_act = first_act.unwrap_or(decided_at);
        let successors =
            first_acts.iter().filter(|first| first.token > token && first.decided_at > first_act);
        let succeeded_at = successors.map(|first| first.decided_at).min();
        if let Some(succeeded_at) = succeeded_at.filter(|_| !paused.contains(&token.holder.front)) {
            let overlap = decided_at.saturating_duration_since(succeeded_at).as_millis();
            longest_ms = longest_ms.max(u64::try_from(overlap).unwrap_or(u64::MAX));
        }
    }
    longest_ms
}
