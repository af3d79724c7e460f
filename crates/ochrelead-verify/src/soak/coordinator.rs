//! The emulated coordinator of one node: sends the numbered events of the server list that all coordinators of a
//! trial share.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use super::history::{DiscoveryFault, Event, Recorder};
use super::server_list::ServerList;

/// Interval at which the number of the last event is sent.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which connections and the acceptor check for work; also the delay between the pieces of a line.
const POLL_INTERVAL: Duration = Duration::from_millis(3);
/// How long before its event a number is sent when numbers are sent first.
const NUMBER_LEAD: Duration = Duration::from_millis(100);
/// A retired coordinator closes its connections after this time.
const RETIRED_CLOSE_DELAY: Duration = Duration::from_millis(1_500);

/// The form of the heartbeat line, which holds the number of the last event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NumberForm {
    /// A JSON object.
    #[default]
    Object,
    /// The bare number.
    Bare,
    /// Malformed JSON.
    Unreadable,
}

impl NumberForm {
    fn line(self, number: usize) -> String {
        match self {
            NumberForm::Object => format!("{}\n", json!({"index": number})),
            NumberForm::Bare => format!("{number}\n"),
            NumberForm::Unreadable => format!("{{\"index\":{number},\"end\n"),
        }
    }
}

/// Faults of the lines that a coordinator sends, apart from outages. They last until others are set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WriteFaults {
    /// The form of the heartbeat line.
    pub number_form: NumberForm,
    /// The first heartbeat line is sent one interval after the request instead of at once.
    pub late_first_number: bool,
    /// The next event is cut off in the middle, and the connection is closed.
    pub break_next_event: bool,
    /// The next event is cut off in the middle; the connection stays open, and nothing more is sent on it.
    pub stop_next_event: bool,
    /// A line that is not JSON precedes the next ones.
    pub spoil_next_line: bool,
    /// Each event is sent twice.
    pub repeat_events: bool,
    /// Each line is written in three pieces.
    pub in_pieces: bool,
    /// The number of an event is sent `NUMBER_LEAD` before the event.
    pub number_first: bool,
}

struct State {
    fault: Option<DiscoveryFault>,
    /// Incremented by faults that lose connections: a connection of an earlier epoch gets nothing more.
    epoch: u64,
    write_faults: WriteFaults,
    /// When another coordinator took over; nothing is sent from then on.
    retired_at: Option<Instant>,
    listener: Option<TcpListener>,
}

/// The coordinator of a node.
#[derive(Clone)]
pub struct Coordinator {
    /// Where it listens.
    pub address: SocketAddr,
    node: usize,
    list: Arc<Mutex<ServerList>>,
    state: Arc<Mutex<State>>,
    recorder: Arc<Recorder>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Coordinator {
    /// Starts the coordinator of a node.
    ///
    /// # Errors
    ///
    /// Returns an error if its address can't be bound.
    pub fn start(
        node: usize,
        address: SocketAddr,
        list: Arc<Mutex<ServerList>>,
        recorder: Arc<Recorder>,
    ) -> io::Result<Coordinator> {
        let state = State {
            fault: None,
            epoch: 0,
            write_faults: WriteFaults::default(),
            retired_at: None,
            listener: None,
        };
        let coordinator = Coordinator { address, node, list, state: Arc::new(Mutex::new(state)), recorder };
        coordinator.listen()?;
        Ok(coordinator)
    }

    fn listen(&self) -> io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        listener.set_nonblocking(true)?;
        lock(&self.state).listener = Some(listener.try_clone()?);
        let coordinator = self.clone();
        thread::spawn(move || coordinator.accept(&listener));
        Ok(())
    }

    fn accept(&self, listener: &TcpListener) {
        loop {
            if lock(&self.state).listener.is_none() {
                return;
            }
            let is_suspended = lock(&self.state).fault == Some(DiscoveryFault::Suspended);
            let accepted = if is_suspended { None } else { listener.accept().ok() };
            let Some((stream, _)) = accepted else {
                thread::sleep(POLL_INTERVAL);
                continue;
            };
            let coordinator = self.clone();
            thread::spawn(move || _ = coordinator.serve(stream));
        }
    }

    /// Begins a fault; returns false, and does nothing, if another fault lasts.
    pub fn fail(&self, fault: DiscoveryFault) -> bool {
        if lock(&self.state).fault.is_some() {
            return false;
        }
        self.recorder.record(Event::DiscoveryFailed { node: self.node, fault });
        let mut state = lock(&self.state);
        state.fault = Some(fault);
        if matches!(fault, DiscoveryFault::Silent | DiscoveryFault::Down) {
            state.epoch += 1;
        }
        if fault == DiscoveryFault::Down {
            state.listener = None;
        }
        true
    }

    /// Ends a fault.
    ///
    /// # Errors
    ///
    /// Returns an error if its address can't be bound again.
    pub fn recover(&self) -> io::Result<()> {
        let was_down = {
            let mut state = lock(&self.state);
            if state.retired_at.is_some() {
                return Ok(());
            }
            // Requests of the silent period stay unanswered.
            state.epoch += u64::from(state.fault == Some(DiscoveryFault::Silent));
            state.fault.take() == Some(DiscoveryFault::Down)
        };
        if was_down {
            // The former acceptor may still hold the port.
            while let Err(error) = self.listen() {
                if error.kind() != io::ErrorKind::AddrInUse {
                    return Err(error);
                }
                thread::sleep(POLL_INTERVAL);
            }
        }
        self.recorder.record(Event::DiscoveryReturned { node: self.node });
        Ok(())
    }

    /// Sets the write faults.
    pub fn set_write_faults(&self, faults: WriteFaults) {
        lock(&self.state).write_faults = faults;
    }

    /// Returns the write faults.
    pub fn write_faults(&self) -> WriteFaults {
        lock(&self.state).write_faults
    }

    /// Hands over to another coordinator: accepts no more connections, sends nothing more, and closes open
    /// connections after a while. A fault of this coordinator ends for its node.
    pub fn retire(&self) {
        let mut state = lock(&self.state);
        state.retired_at = Some(Instant::now());
        state.listener = None;
        if state.fault.take().is_some() {
            self.recorder.record(Event::DiscoveryReturned { node: self.node });
        }
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        let accepted_epoch = lock(&self.state).epoch;
        let mut request = String::new();
        if BufReader::new(stream.try_clone()?).read_line(&mut request)? == 0 {
            return Ok(());
        }
        let known_number = request.trim().strip_prefix("follow ").and_then(|number| number.parse().ok());
        let Some(known_number) = known_number else { return stream.shutdown(Shutdown::Both) };
        if self.await_answer(accepted_epoch) {
            self.recorder.record(Event::ListRequested { node: self.node });
        }
        let now = Instant::now();
        let heartbeat_at =
            if lock(&self.state).write_faults.late_first_number { now + HEARTBEAT_INTERVAL } else { now };
        let mut connection = WatchConnection {
            stream,
            sent: known_number,
            heartbeat_at,
            announced: 0,
            events_at: now,
            has_stopped: false,
        };
        loop {
            let due = self.due_lines(&mut connection, accepted_epoch);
            match due {
                Due::Close => return connection.stream.shutdown(Shutdown::Both),
                Due::Lines(lines) => connection.write(&lines)?,
                Due::Nothing if connection.is_closed()? => return Ok(()),
                Due::Nothing => {}
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits for the delay of a slow coordinator; returns whether the coordinator answers at all.
    fn await_answer(&self, accepted_epoch: u64) -> bool {
        let fault = lock(&self.state).fault;
        if let Some(DiscoveryFault::Slow(delay)) = fault {
            thread::sleep(delay);
        }
        let state = lock(&self.state);
        state.epoch == accepted_epoch && !matches!(state.fault, Some(DiscoveryFault::Silent))
    }

    /// Determines what a connection has to do now, and applies the write faults to it.
    fn due_lines(&self, connection: &mut WatchConnection, accepted_epoch: u64) -> Due {
        let mut state = lock(&self.state);
        if let Some(retired_at) = state.retired_at {
            return if retired_at.elapsed() >= RETIRED_CLOSE_DELAY { Due::Close } else { Due::Nothing };
        }
        if state.fault == Some(DiscoveryFault::Down) {
            return Due::Close;
        }
        let is_mute = matches!(state.fault, Some(DiscoveryFault::Silent | DiscoveryFault::Suspended));
        if state.epoch != accepted_epoch || is_mute || connection.has_stopped {
            return Due::Nothing;
        }
        if let Some(DiscoveryFault::Slow(delay)) = state.fault {
            drop(state);
            thread::sleep(delay);
            state = lock(&self.state);
        }
        let list = lock(&self.list);
        let mut lines = Vec::new();
        for event in list.lines_after(connection.sent, self.node) {
            if state.write_faults.break_next_event {
                state.write_faults.break_next_event = false;
                connection.write_half(&event);
                return Due::Close;
            }
            if state.write_faults.stop_next_event {
                state.write_faults.stop_next_event = false;
                connection.write_half(&event);
                connection.has_stopped = true;
                return Due::Nothing;
            }
            lines.push(event.clone());
            if state.write_faults.repeat_events {
                lines.push(event);
            }
        }
        let number = state.write_faults.number_form.line(list.last_number());
        if state.write_faults.number_first && !lines.is_empty() && connection.announced < list.last_number() {
            connection.announced = list.last_number();
            connection.events_at = Instant::now() + NUMBER_LEAD;
            return Due::Lines(vec![number]);
        }
        if connection.events_at > Instant::now() {
            return Due::Nothing;
        }
        connection.sent = list.last_number();
        if connection.heartbeat_at <= Instant::now() {
            connection.heartbeat_at = Instant::now() + HEARTBEAT_INTERVAL;
            lines.push(number);
        }
        if !lines.is_empty() && state.write_faults.spoil_next_line {
            state.write_faults.spoil_next_line = false;
            lines.insert(0, "{\"index\":x,\n".to_owned());
        }
        match (lines.is_empty(), state.write_faults.in_pieces) {
            (true, _) => Due::Nothing,
            (false, true) => Due::Lines(lines.iter().flat_map(|line| in_pieces(line)).collect()),
            (false, false) => Due::Lines(lines),
        }
    }
}

/// Splits a line into three pieces.
fn in_pieces(line: &str) -> Vec<String> {
    let third = line.len() / 3;
    [&line[..third], &line[third..2 * third], &line[2 * third..]].map(str::to_owned).to_vec()
}

/// What a connection has to do now.
enum Due {
    Nothing,
    Lines(Vec<String>),
    Close,
}

/// A connection on which a node follows the list.
struct WatchConnection {
    stream: TcpStream,
    /// The number of the last event that was written.
    sent: usize,
    heartbeat_at: Instant,
    /// The number of the last event that was announced ahead of it.
    announced: usize,
    /// When the announced events are due.
    events_at: Instant,
    /// Whether an event was cut off on it, after which nothing more is sent.
    has_stopped: bool,
}

impl WatchConnection {
    fn write(&mut self, lines: &[String]) -> io::Result<()> {
        for line in lines {
            self.stream.write_all(line.as_bytes())?;
            if !line.ends_with('\n') {
                thread::sleep(POLL_INTERVAL);
            }
        }
        Ok(())
    }

    fn write_half(&mut self, line: &str) {
        // A failure makes no difference: nothing more is sent on the connection.
        let _ = self.stream.write_all(&line.as_bytes()[..line.len() / 2]);
    }

    /// Whether the node has closed it.
    fn is_closed(&self) -> io::Result<bool> {
        self.stream.set_nonblocking(true)?;
        let peeked = self.stream.peek(&mut [0]);
        self.stream.set_nonblocking(false)?;
        Ok(match peeked {
            Ok(length) => length == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        })
    }
}
