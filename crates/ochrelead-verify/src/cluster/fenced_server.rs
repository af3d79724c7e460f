//! A server that accepts connections and says nothing, except that it refuses acts with a token that is too low. It
//! records each act, and checks them.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Instant;

use ochrelead_lease::FencingToken;
use ochrelead_node::fencing::{TOKEN_HEADER, format_token, parse_token};

use super::error::ActViolation;

/// An act that reached the server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedAct {
    /// When the server decided on it.
    pub arrived_at: Instant,
    /// When it had left; earlier where it was delayed.
    pub left_at: Instant,
    /// The token that it carries.
    pub token: FencingToken,
    /// The number of the connection that it came on.
    pub connection: u64,
    /// Whether it was refused.
    pub is_refused: bool,
}

/// An act on its way, and where its refusal would go.
struct PendingAct {
    left_at: Instant,
    token: FencingToken,
    connection: u64,
    stream: TcpStream,
    /// The headers that an answer repeats.
    transaction: String,
}

#[derive(Default)]
struct ServerState {
    /// It accepts all acts, to show what fronts would do to a server that checks nothing.
    accepts_all: bool,
    /// The front whose acts are delayed.
    delayed_front: Option<u32>,
    delayed: Vec<PendingAct>,
    acts: Vec<RecordedAct>,
    highest: Option<FencingToken>,
}

impl ServerState {
    /// Accepts or refuses an act.
    fn handle(&mut self, mut act: PendingAct) {
        let PendingAct { left_at, token, connection, .. } = act;
        let refused_for = self.highest.filter(|highest| token < *highest && !self.accepts_all);
        let is_refused = refused_for.is_some();
        self.acts.push(RecordedAct { arrived_at: Instant::now(), left_at, token, connection, is_refused });
        self.highest = self.highest.max(Some(token));
        if let Some(highest) = refused_for {
            let header = format!("{TOKEN_HEADER}: {}\r\n", format_token(highest));
            let answer = format!("SIP/2.0 403 x\r\n{}{header}Content-Length: 0\r\n\r\n", act.transaction);
            // A front that has closed its connection reads nothing.
            let _ = act.stream.write_all(answer.as_bytes());
        }
    }
}

/// A request's head; an empty one at the end of the stream.
pub(super) fn read_head(reader: &mut impl BufRead) -> io::Result<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head)? == 0 {
            return Ok(String::new());
        }
    }
    Ok(head)
}

/// A header's value; empty where the header is missing.
pub(super) fn header<'a>(head: &'a str, name: &str) -> &'a str {
    let value = |line: &'a str| line.strip_prefix(name)?.strip_prefix(':');
    head.lines().find_map(value).unwrap_or_default().trim()
}

/// Reads a request's body, and drops it.
pub(super) fn skip_body(reader: &mut impl Read, head: &str) -> io::Result<()> {
    let mut body = vec![0; header(head, "Content-Length").parse().unwrap_or(0)];
    reader.read_exact(&mut body)
}

fn lock(state: &Mutex<ServerState>) -> MutexGuard<'_, ServerState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn serve(stream: TcpStream, connection: u64, state: &Mutex<ServerState>) -> io::Result<()> {
    let answers = stream.try_clone()?;
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
        let (left_at, stream) = (Instant::now(), answers.try_clone()?);
        let act = PendingAct { left_at, token, connection, stream, transaction };
        let mut state = lock(state);
        if state.delayed_front == Some(token.holder.front) {
            state.delayed.push(act);
        } else {
            state.handle(act);
        }
    }
}

/// The server.
pub struct FencedServer {
    address: SocketAddr,
    state: Arc<Mutex<ServerState>>,
}

impl FencedServer {
    /// Starts it on a free port.
    ///
    /// # Errors
    ///
    /// Where no port is free.
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

    /// From now on it accepts all acts, whatever their token.
    pub fn accept_all(&self) {
        lock(&self.state).accepts_all = true;
    }

    /// From now on the acts of a front are delayed, until another front or none is named.
    pub fn delay_acts_of(&self, front: Option<u32>) {
        let mut state = lock(&self.state);
        state.delayed_front = front;
        for act in std::mem::take(&mut state.delayed) {
            state.handle(act);
        }
    }

    /// How many acts are delayed.
    pub fn delayed_acts(&self) -> usize {
        lock(&self.state).delayed.len()
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// All acts so far, in the order in which they came.
    pub fn acts(&self) -> Vec<RecordedAct> {
        lock(&self.state).acts.clone()
    }

    /// Checks what must hold of the acts at every moment, whatever the timing.
    ///
    /// # Errors
    ///
    /// What does not hold.
    pub fn check(&self) -> Result<(), ActViolation> {
        check_acts(&self.acts())
    }
}

/// Checks acts in the order in which they came:
///
/// - The tokens of accepted acts never fall.
/// - A connection brings the acts of one front in one incarnation.
/// - Of a token that was refused, one act at most leaves after that: by then its front has read the refusal.
/// - No incarnation of a front goes back to a lower token.
///
/// # Errors
///
/// The first thing that does not hold.
pub fn check_acts(acts: &[RecordedAct]) -> Result<(), ActViolation> {
    let mut highest: Option<FencingToken> = None;
    for (index, act) in acts.iter().enumerate() {
        if !act.is_refused {
            if let Some(highest) = highest.filter(|highest| act.token < *highest) {
                return Err(ActViolation::TokenFell { act: index, token: act.token, highest });
            }
            highest = Some(act.token);
        }
        check_member(acts, index)?;
    }
    Ok(())
}

/// Checks one act against the earlier ones of its connection and of its member.
fn check_member(acts: &[RecordedAct], index: usize) -> Result<(), ActViolation> {
    let (act, earlier) = (&acts[index], &acts[..index]);
    let token = act.token;
    let is_foreign =
        |other: &&RecordedAct| other.connection == act.connection && other.token.holder != token.holder;
    if let Some(other) = earlier.iter().find(is_foreign) {
        return Err(ActViolation::ForeignConnection { act: index, token, other: other.token });
    }
    // Acts that left after a refusal; the first may have crossed it.
    let left_after_refusal = |own: &&RecordedAct| {
        let was_refused =
            |other: &RecordedAct| other.is_refused && other.token == token && other.arrived_at < own.left_at;
        own.is_refused && own.token == token && earlier.iter().any(was_refused)
    };
    if acts[..=index].iter().filter(left_after_refusal).count() > 1 {
        return Err(ActViolation::RefusalIgnored { act: index, token });
    }
    let of_member = earlier.iter().filter(|other| other.token.holder == token.holder);
    if of_member.into_iter().any(|other| other.token > token) {
        return Err(ActViolation::WentBack { act: index, token });
    }
    Ok(())
}

/// When a token came first.
struct FirstAct {
    token: FencingToken,
    arrived_at: Instant,
}

/// For how long acts of a former holder came after the first one of its successor, at most, in ms; except those of
/// fronts that were paused. A token that came first when a higher one had been seen is no former holder's: the voters
/// had forgotten, and it is refused.
pub fn overlap_ms(acts: &[RecordedAct], paused: &[u32]) -> u64 {
    let mut first_acts: Vec<FirstAct> = Vec::new();
    let mut longest_ms = 0;
    for act in acts {
        let (token, arrived_at) = (act.token, act.arrived_at);
        let own = first_acts.iter().find(|first| first.token == token).map(|first| first.arrived_at);
        if own.is_none() {
            first_acts.push(FirstAct { token, arrived_at });
        }
        let own = own.unwrap_or(arrived_at);
        let successors = first_acts.iter().filter(|first| first.token > token && first.arrived_at > own);
        let next = successors.map(|first| first.arrived_at).min();
        if let Some(next) = next.filter(|_| !paused.contains(&token.holder.front)) {
            let overlap = arrived_at.saturating_duration_since(next).as_millis();
            longest_ms = longest_ms.max(u64::try_from(overlap).unwrap_or(u64::MAX));
        }
    }
    longest_ms
}
