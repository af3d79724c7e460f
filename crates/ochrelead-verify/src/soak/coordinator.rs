//! The emulated coordinator of one node: it writes the numbered events of a list that all coordinators of a trial share.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use super::history::{DiscoveryFault, Event, Recorder};
use super::server_list::ServerList;

/// The last number is written this often.
const HEARTBEAT: Duration = Duration::from_secs(1);
/// How often a connection looks whether there is something to write.
const POLL_INTERVAL: Duration = Duration::from_millis(3);
/// A number that comes before its event comes so much earlier.
const NUMBER_LEAD: Duration = Duration::from_millis(100);
/// A former coordinator closes its connections after this time.
const MOVED_CLOSE_DELAY: Duration = Duration::from_millis(1_500);

/// How the line with the last number alone is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NumberForm {
    /// As an object.
    #[default]
    Object,
    /// As the number itself.
    Bare,
    /// As noise.
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

/// Faults of what is written, apart from outages. They last until others are set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WriteFaults {
    /// How the last number is written.
    pub number_form: NumberForm,
    /// The first number comes a heartbeat after the request, not at once.
    pub late_first_number: bool,
    /// The next event breaks off in its middle, and the connection is closed.
    pub break_next_event: bool,
    /// The next event stops in its middle; the connection stays open and brings nothing more.
    pub stop_next_event: bool,
    /// The next line is no JSON.
    pub spoil_next_line: bool,
    /// Each event is written twice.
    pub repeat_events: bool,
    /// Lines are written in pieces.
    pub in_pieces: bool,
    /// The last number comes a little before its event.
    pub number_first: bool,
}

struct State {
    fault: Option<DiscoveryFault>,
    /// Raised by each fault: connections of before are lost to it.
    epoch: u64,
    writes: WriteFaults,
    /// It has moved: nothing more is told.
    moved_at: Option<Instant>,
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
    /// Where its address can't be bound.
    pub fn start(
        node: usize,
        address: SocketAddr,
        list: Arc<Mutex<ServerList>>,
        recorder: Arc<Recorder>,
    ) -> io::Result<Coordinator> {
        let state =
            State { fault: None, epoch: 0, writes: WriteFaults::default(), moved_at: None, listener: None };
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

    /// Begins a fault; false where another one lasts.
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
    /// Where its address can't be bound again.
    pub fn recover(&self) -> io::Result<()> {
        let was_down = {
            let mut state = lock(&self.state);
            if state.moved_at.is_some() {
                return Ok(());
            }
            // What was asked while it was silent is lost for good.
            state.epoch += u64::from(state.fault == Some(DiscoveryFault::Silent));
            state.fault.take() == Some(DiscoveryFault::Down)
        };
        if was_down {
            // Its former acceptor may hold the port for a moment.
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

    /// Sets the faults of what is written.
    pub fn set_write_faults(&self, writes: WriteFaults) {
        lock(&self.state).writes = writes;
    }

    /// The faults of what is written.
    pub fn write_faults(&self) -> WriteFaults {
        lock(&self.state).writes
    }

    /// Another coordinator takes over: no new connection, nothing more is told, open ones are closed after a while. Its
    /// outage is over for its node.
    pub fn retire(&self) {
        let mut state = lock(&self.state);
        state.moved_at = Some(Instant::now());
        state.listener = None;
        if state.fault.take().is_some() {
            self.recorder.record(Event::DiscoveryReturned { node: self.node });
        }
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        let accepted_in = lock(&self.state).epoch;
        let mut request = String::new();
        if BufReader::new(stream.try_clone()?).read_line(&mut request)? == 0 {
            return Ok(());
        }
        let known = request.trim().strip_prefix("follow ").and_then(|number| number.parse().ok());
        let Some(known) = known else { return stream.shutdown(Shutdown::Both) };
        let answered = self.await_answer_time(accepted_in);
        if answered {
            self.recorder.record(Event::ListRequested { node: self.node });
        }
        let now = Instant::now();
        let heartbeat_at = if lock(&self.state).writes.late_first_number { now + HEARTBEAT } else { now };
        let mut connection = WatchConnection {
            stream,
            sent: known,
            heartbeat_at,
            announced: 0,
            events_at: now,
            has_stopped: false,
        };
        loop {
            let due = self.due_lines(&mut connection, accepted_in);
            match due {
                Due::End => return connection.stream.shutdown(Shutdown::Both),
                Due::Lines(lines) => connection.write(&lines)?,
                Due::Nothing if connection.is_closed()? => return Ok(()),
                Due::Nothing => {}
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits for as long as a slow coordinator takes; whether it answers at all.
    fn await_answer_time(&self, accepted_in: u64) -> bool {
        let fault = lock(&self.state).fault;
        if let Some(DiscoveryFault::Slow(delay)) = fault {
            thread::sleep(delay);
        }
        let state = lock(&self.state);
        state.epoch == accepted_in && !matches!(state.fault, Some(DiscoveryFault::Silent))
    }

    fn due_lines(&self, connection: &mut WatchConnection, accepted_in: u64) -> Due {
        let mut state = lock(&self.state);
        if let Some(moved_at) = state.moved_at {
            return if moved_at.elapsed() >= MOVED_CLOSE_DELAY { Due::End } else { Due::Nothing };
        }
        if state.fault == Some(DiscoveryFault::Down) {
            return Due::End;
        }
        let is_quiet = matches!(state.fault, Some(DiscoveryFault::Silent | DiscoveryFault::Suspended));
        if state.epoch != accepted_in || is_quiet || connection.has_stopped {
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
            if state.writes.break_next_event {
                state.writes.break_next_event = false;
                connection.break_off(&event);
                return Due::End;
            }
            if state.writes.stop_next_event {
                state.writes.stop_next_event = false;
                connection.break_off(&event);
                connection.has_stopped = true;
                return Due::Nothing;
            }
            lines.push(event.clone());
            if state.writes.repeat_events {
                lines.push(event);
            }
        }
        let number = state.writes.number_form.line(list.last_number());
        if state.writes.number_first && !lines.is_empty() && connection.announced < list.last_number() {
            connection.announced = list.last_number();
            connection.events_at = Instant::now() + NUMBER_LEAD;
            return Due::Lines(vec![number]);
        }
        if connection.events_at > Instant::now() {
            return Due::Nothing;
        }
        connection.sent = list.last_number();
        if connection.heartbeat_at <= Instant::now() {
            connection.heartbeat_at = Instant::now() + HEARTBEAT;
            lines.push(number);
        }
        if !lines.is_empty() && state.writes.spoil_next_line {
            state.writes.spoil_next_line = false;
            lines.insert(0, "{\"index\":x,\n".to_owned());
        }
        match (lines.is_empty(), state.writes.in_pieces) {
            (true, _) => Due::Nothing,
            (false, true) => Due::Lines(lines.iter().flat_map(|line| in_pieces(line)).collect()),
            (false, false) => Due::Lines(lines),
        }
    }
}

/// A line in three pieces.
fn in_pieces(line: &str) -> Vec<String> {
    let third = line.len() / 3;
    [&line[..third], &line[third..2 * third], &line[2 * third..]].map(str::to_owned).to_vec()
}

/// What a connection has to do now.
enum Due {
    Nothing,
    Lines(Vec<String>),
    End,
}

struct WatchConnection {
    stream: TcpStream,
    /// The number of the last event that was written.
    sent: usize,
    heartbeat_at: Instant,
    /// The number of the last event that was announced ahead, and when its events follow.
    announced: usize,
    events_at: Instant,
    /// Nothing more is written.
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

    fn break_off(&mut self, line: &str) {
        // The connection ends in any case.
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
