//! One connection of the emulated callers to a node: sends set-ups, some in pieces, cancels some, and records
//! answers.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use super::history::{Answer, CallNumber, Event, Recorder};
use super::sip_text::{DESCRIPTION_END, description};

/// A set-up sent at most this long before the node's close may have crossed the close on the wire. A caller would
/// send such a set-up again, so its loss is not held against the node.
const CLOSE_RACE_WINDOW: Duration = Duration::from_millis(50);
/// Delay between the two pieces of a set-up.
const PIECE_DELAY: Duration = Duration::from_millis(15);

/// Assigns the numbers of a trial's calls.
#[derive(Default)]
pub struct CallNumbers(AtomicU64);

impl CallNumbers {
    /// Returns a number that no other call has.
    pub fn next(&self) -> CallNumber {
        self.0.fetch_add(1, Ordering::Relaxed) + 1
    }
}

/// A set-up and how its caller behaves.
#[derive(Clone, Copy, Debug)]
pub struct SetUp {
    /// The call.
    pub call: CallNumber,
    /// How long its caller waits for an answer.
    pub wait: Duration,
    /// Whether it is written in two pieces.
    pub in_pieces: bool,
}

/// A set-up that awaits its answer.
struct Unanswered {
    sent_at: Duration,
    wait: Duration,
}

#[derive(Default)]
struct State {
    unanswered: HashMap<CallNumber, Unanswered>,
    /// Established calls.
    established: Vec<CallNumber>,
    is_closed: bool,
}

/// A connection of callers to a node.
#[derive(Clone)]
pub struct CallerConnection {
    node: usize,
    writer: Arc<Mutex<TcpStream>>,
    state: Arc<Mutex<State>>,
    /// Counts the refused set-ups that callers repeat.
    refusals: Arc<AtomicU64>,
    recorder: Arc<Recorder>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl CallerConnection {
    /// Connects to a node.
    ///
    /// # Errors
    ///
    /// Returns an error if the node can't be reached.
    pub fn open(
        node: usize,
        address: SocketAddr,
        refusals: Arc<AtomicU64>,
        recorder: Arc<Recorder>,
    ) -> io::Result<CallerConnection> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        let writer = Arc::new(Mutex::new(stream));
        let connection = CallerConnection { node, writer, state: Arc::default(), refusals, recorder };
        let reading_connection = connection.clone();
        thread::spawn(move || reading_connection.read(reader));
        Ok(connection)
    }

    /// Whether neither side has closed it.
    pub fn is_open(&self) -> bool {
        !lock(&self.state).is_closed
    }

    /// The number of calls that await an answer.
    pub fn unanswered(&self) -> usize {
        lock(&self.state).unanswered.len()
    }

    /// Sends a set-up; returns false if the connection is closed.
    pub fn set_up(&self, set_up: &SetUp) -> bool {
        let line = set_up_line(set_up);
        let bytes = line.as_bytes();
        let mut writer = lock(&self.writer);
        if !self.is_open() {
            return false;
        }
        let half = if set_up.in_pieces { bytes.len() / 2 } else { 0 };
        if half > 0 {
            if writer.write_all(&bytes[..half]).is_err() {
                return false;
            }
            thread::sleep(PIECE_DELAY);
        }
        // The reading thread may get the answer before this thread runs again, so the set-up is noted before it is
        // written.
        if !self.expect_answer(set_up) {
            return false;
        }
        let sent = Event::SetUpSent { call: set_up.call, node: self.node, wait: set_up.wait };
        self.recorder.record(sent);
        if writer.write_all(&bytes[half..]).is_err() {
            self.withdraw(set_up.call);
            return false;
        }
        true
    }

    /// Notes that a set-up is owed an answer from now on; returns false if the connection is closed.
    fn expect_answer(&self, set_up: &SetUp) -> bool {
        let mut state = lock(&self.state);
        if !state.is_closed {
            let sent_at = self.recorder.now();
            state.unanswered.insert(set_up.call, Unanswered { sent_at, wait: set_up.wait });
        }
        !state.is_closed
    }

    /// Drops an unanswered set-up without sending a cancel.
    fn withdraw(&self, call: CallNumber) {
        if lock(&self.state).unanswered.remove(&call).is_some() {
            self.recorder.record(Event::Withdrawn { call });
        }
    }

    /// Cancels a set-up that is unanswered.
    pub fn cancel(&self, call: CallNumber) {
        let mut writer = lock(&self.writer);
        if lock(&self.state).unanswered.remove(&call).is_some() {
            self.recorder.record(Event::Withdrawn { call });
            let line = format!("{}\n", json!({"t": "down", "ref": id(call), "f": {}, "c": 16}));
            // The write fails if the node has closed, and then no cancel is needed.
            let _ = writer.write_all(line.as_bytes());
        }
    }

    /// Closes the connection from the callers' side, which withdraws its unanswered set-ups.
    pub fn close(&self) {
        let mut state = lock(&self.state);
        state.is_closed = true;
        for (call, _) in state.unanswered.drain() {
            self.recorder.record(Event::Withdrawn { call });
        }
        drop(state);
        // Fails if the node has closed the connection, which is harmless.
        let _ = lock(&self.writer).shutdown(Shutdown::Both);
    }

    /// Writes bytes that are not tracked as a set-up.
    pub fn write_raw(&self, bytes: &[u8]) {
        // A node may close a connection with malformed input at any time.
        let _ = lock(&self.writer).write_all(bytes);
    }

    fn read(&self, mut reader: BufReader<TcpStream>) {
        let mut line = String::new();
        loop {
            line.clear();
            match reader.read_line(&mut line) {
                Ok(length) if length > 0 && line.ends_with('\n') => self.on_line(&line),
                _ => return self.on_closed_by_node(),
            }
        }
    }

    fn on_line(&self, line: &str) {
        let Ok(message) = serde_json::from_str::<Value>(line) else { return };
        let call = message["ref"].as_str().and_then(|id| CallNumber::from_str_radix(id, 16).ok());
        let Some(call) = call else { return };
        match message["t"].as_str() {
            Some("up") => {
                let body = message["d"].as_str().unwrap_or("");
                let intact = body == description(call);
                self.recorder.record(Event::Told { call, answer: Answer::Up, intact });
                let mut state = lock(&self.state);
                state.unanswered.remove(&call);
                state.established.push(call);
            }
            Some("down") => {
                self.recorder.record(Event::Told { call, answer: Answer::Down, intact: true });
                let mut state = lock(&self.state);
                let was_unanswered = state.unanswered.remove(&call).is_some();
                state.established.retain(|other| *other != call);
                drop(state);
                if was_unanswered {
                    self.refusals.fetch_add(1, Ordering::Relaxed);
                } else {
                    let acknowledgement = json!({"t": "ack", "ref": id(call), "f": {}});
                    self.write_raw(format!("{acknowledgement}\n").as_bytes());
                }
            }
            _ => {}
        }
    }

    /// Handles a close by the node: records each unanswered set-up as lost unless it may have crossed the close or
    /// its caller has stopped waiting.
    fn on_closed_by_node(&self) {
        let now = self.recorder.now();
        let mut state = lock(&self.state);
        if state.is_closed {
            return;
        }
        state.is_closed = true;
        for (call, sent) in state.unanswered.drain() {
            let crossed_close = now.saturating_sub(sent.sent_at) <= CLOSE_RACE_WINDOW;
            let expired = now.saturating_sub(sent.sent_at) > sent.wait;
            self.recorder.record(if crossed_close || expired {
                Event::Withdrawn { call }
            } else {
                Event::ClosedUnanswered { call }
            });
        }
    }
}

fn id(call: CallNumber) -> String {
    format!("{call:016x}")
}

fn set_up_line(set_up: &SetUp) -> String {
    let left = set_up.wait.as_millis().to_string();
    let key = format!("{:016x}", set_up.call % 97);
    let fields = json!({"class": "voice", "left": left, "key": key, "extras": "dest:-1;width:1;via:-1"});
    let body = format!("caller\r\n{DESCRIPTION_END}");
    format!("{}\n", json!({"t": "new", "ref": id(set_up.call), "f": fields, "d": body}))
}
