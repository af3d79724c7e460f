//! An emulated signalling server that answers INVITEs or misbehaves as the trial demands, and records what it
//! receives.

use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use rand::RngExt;
use rustix::net::sockopt::set_socket_linger;

use super::history::{CallNumber, Event, InviteEnd, Recorder};
use super::reply::{Reply, possibly_faulty};
use super::scheduler::Scheduler;
pub use super::server_state::Behaviour;
use super::server_state::{Connection, Established, ReadDelay, State};
use super::sip_text::{Request, description, read_request, response};

/// Factor by which a slow server's answers are delayed.
const SLOWDOWN_FACTOR: u32 = 60;
/// Delay before a server with [`Behaviour::AcceptingLate`] serves an accepted connection.
const ACCEPT_DELAY: Duration = Duration::from_millis(400);
/// Time within which a server reads what arrived on a connection before the connection was served.
const READ_BACKLOG_TIME: Duration = Duration::from_millis(20);
/// Interval at which the acceptor checks for connections and for the stop of the server.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Settings of an emulated server.
#[derive(Clone, Copy, Debug)]
pub struct ServerConfig {
    /// The number of nodes; the server listens on a separate port for each.
    pub nodes: usize,
    /// The seed of its random generator.
    pub seed: u64,
    /// How long established calls last.
    pub hold_time: Duration,
    /// Connections without an open INVITE are closed after this time without data.
    pub idle_limit: Duration,
}

/// A handle to an emulated server. After a stop, its remaining scheduled actions have no effect.
#[derive(Clone)]
pub struct Server {
    /// Its id.
    pub id: String,
    /// Where it listens for node 0; for node `n` it uses the port `n` higher.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    recorder: Arc<Recorder>,
    scheduler: Scheduler,
    hold_time: Duration,
    idle_limit: Duration,
}

impl Server {
    /// Starts a server.
    ///
    /// # Errors
    ///
    /// Returns an error if its addresses can't be bound.
    pub fn start(
        id: String,
        address: SocketAddr,
        config: ServerConfig,
        recorder: Arc<Recorder>,
    ) -> io::Result<Server> {
        let state = State::new(config.seed);
        let scheduler = Scheduler::start();
        let state = Arc::new(Mutex::new(state));
        let ServerConfig { hold_time, idle_limit, .. } = config;
        let server = Server { id, address, state, recorder, scheduler, hold_time, idle_limit };
        for node in 0..config.nodes {
            let listener = TcpListener::bind((address.ip(), address.port() + node as u16))?;
            listener.set_nonblocking(true)?;
            let acceptor = server.clone();
            thread::spawn(move || acceptor.accept(node, &listener));
        }
        Ok(server)
    }

    /// Starts a stopped server at the same addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if its addresses can't be bound.
    pub fn start_again(&self, id: String, nodes: usize, seed: u64) -> io::Result<Server> {
        let config = ServerConfig { nodes, seed, hold_time: self.hold_time, idle_limit: self.idle_limit };
        Server::start(id, self.address, config, self.recorder.clone())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets how it behaves from now on.
    pub fn behave(&self, behaviour: Behaviour) {
        let mut state = self.lock();
        state.behaviour = behaviour;
        if behaviour == Behaviour::Forgetful {
            state.forget_idle();
        }
    }

    /// Stops the server as if its process died: closes its connections, refuses new ones, and ends its calls.
    pub fn stop(&self) {
        self.recorder.record(Event::ServerStopped { server: self.id.clone() });
        let mut state = self.lock();
        state.is_stopped = true;
        state.established.clear();
        let forgotten = std::mem::take(&mut state.forgotten);
        for (_, connection) in state.connections.drain().chain(forgotten) {
            // Fails if the peer has closed the connection, which is harmless.
            let _ = connection.stream.shutdown(Shutdown::Both);
        }
    }

    /// Closes all connections without an open INVITE, as servers do with idle connections.
    pub fn close_idle(&self) {
        let state = self.lock();
        for (number, connection) in &state.connections {
            if !state.open_invites.values().any(|used| used == number) {
                let _ = connection.stream.shutdown(Shutdown::Both);
            }
        }
    }

    fn accept(&self, node: usize, listener: &TcpListener) {
        let mut was_vanished = false;
        // The last time at which no connection waited to be accepted.
        let mut backlog_empty_at = self.recorder.now();
        while !self.lock().is_stopped {
            let behaviour = self.lock().behaviour;
            let accepted = if behaviour == Behaviour::Vanished { None } else { listener.accept().ok() };
            let Some((stream, _)) = accepted else {
                was_vanished = behaviour == Behaviour::Vanished;
                backlog_empty_at = self.recorder.now();
                thread::sleep(POLL_INTERVAL);
                continue;
            };
            if was_vanished {
                continue;
            }
            if behaviour == Behaviour::AcceptingLate {
                thread::sleep(ACCEPT_DELAY);
            }
            // The connection may have waited behind others since the backlog was last empty.
            let read_delay = ReadDelay { from: backlog_empty_at, until: self.recorder.now() };
            let Ok(number) = self.add_connection(node, &stream, read_delay) else { continue };
            let server = self.clone();
            thread::spawn(move || {
                // A read error has the same effect as the end of the stream.
                let _ = server.read(number, stream);
                server.on_closed(number);
            });
        }
    }

    /// Adds a connection of a node, and first repeats the releases that the node has not confirmed.
    fn add_connection(&self, node: usize, stream: &TcpStream, read_delay: ReadDelay) -> io::Result<u64> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        let copy = stream.try_clone()?;
        let (number, unconfirmed) = {
            let mut state = self.lock();
            state.last_connection += 1;
            let number = state.last_connection;
            state.connections.insert(number, Connection { node, read_delay, stream: copy });
            let is_to_node = |release: &&Established| release.node == node;
            let unconfirmed: Vec<Established> =
                state.unconfirmed_releases.iter().filter(is_to_node).cloned().collect();
            (number, unconfirmed)
        };
        unconfirmed.into_iter().for_each(|release| self.release_on(number, &release));
        Ok(number)
    }

    /// Removes a connection and records the end of the INVITEs that were open on it.
    fn on_closed(&self, number: u64) {
        let ended: Vec<(CallNumber, u32)> = {
            let mut state = self.lock();
            state.connections.remove(&number);
            let is_on_connection = |entry: &(&(CallNumber, u32), &u64)| *entry.1 == number;
            let ended =
                state.open_invites.iter().filter(is_on_connection).map(|(invite, _)| *invite).collect();
            state.open_invites.retain(|_, connection| *connection != number);
            ended
        };
        for (call, sequence) in ended {
            self.record_end(call, sequence, InviteEnd::ConnectionClosed);
        }
    }

    fn record_end(&self, call: CallNumber, sequence: u32, end: InviteEnd) {
        self.recorder.record(Event::InviteEnded { server: self.id.clone(), call, sequence, end });
    }

    fn read(&self, number: u64, stream: TcpStream) -> io::Result<()> {
        stream.set_read_timeout(Some(self.idle_limit))?;
        let mut reader = BufReader::new(stream);
        loop {
            let request = match read_request(&mut reader) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock && self.is_in_use(number) => continue,
                request => request?,
            };
            let Some(request) = request else { return Ok(()) };
            if self.lock().forgotten.contains_key(&number) {
                continue;
            }
            match request.method.as_str() {
                "INVITE" => self.on_invite(number, &request)?,
                "CANCEL" => self.on_cancel(&request),
                "SIP/2.0" if request.answered_method == "BYE" => {
                    self.lock().unconfirmed_releases.retain(|release| release.call != request.call);
                }
                "BYE" | "OPTIONS" => {
                    if request.method == "BYE" {
                        self.lock().established.remove(&request.call);
                    }
                    let (sequence, method) = (request.sequence, &request.method);
                    self.write(number, &response(200, &request.call_id, sequence, method, ""));
                }
                _ => {}
            }
        }
    }

    fn is_in_use(&self, number: u64) -> bool {
        let state = self.lock();
        state.forgotten.contains_key(&number) || state.open_invites.values().any(|used| *used == number)
    }

    fn on_cancel(&self, request: &Request) {
        if self.lock().open_invites.remove(&(request.call, request.sequence)).is_some() {
            self.record_end(request.call, request.sequence, InviteEnd::Cancelled);
        }
    }

    fn on_invite(&self, number: u64, request: &Request) -> io::Result<()> {
        let Request { call, sequence, .. } = *request;
        let buffered_since = self.buffered_since(number);
        let server = self.id.clone();
        self.recorder.record(Event::InviteArrived { server, call, sequence, buffered_since });
        let (behaviour, percentile, delay_ms) = {
            let mut state = self.lock();
            state.open_invites.insert((call, sequence), number);
            (state.behaviour, state.rng.random_range(0..100_u32), state.rng.random_range(2..15_u64))
        };
        let accepted = || response(200, &request.call_id, sequence, "INVITE", &description(call));
        let delay = Duration::from_millis(delay_ms);
        match behaviour {
            Behaviour::Hanging | Behaviour::Vanished => {}
            Behaviour::Closing => return Err(io::ErrorKind::ConnectionReset.into()),
            Behaviour::Resetting => {
                self.reset_when_closed(number);
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            Behaviour::Slow => {
                self.answer_after(delay * SLOWDOWN_FACTOR, number, request, Reply::whole(accepted()));
            }
            Behaviour::Healthy | Behaviour::AcceptingLate | Behaviour::Forgetful => {
                self.answer_after(delay, number, request, Reply::whole(accepted()));
            }
            Behaviour::Spoiling => {
                if let Some(reply) = possibly_faulty(&accepted(), percentile, request) {
                    self.answer_after(delay, number, request, reply);
                }
            }
        }
        Ok(())
    }

    /// Since when data read now may have waited on a connection; `None` if the connection has been read for longer
    /// than the backlog takes.
    fn buffered_since(&self, number: u64) -> Option<Duration> {
        let delay = self.lock().connections.get(&number)?.read_delay;
        (self.recorder.now() < delay.until + READ_BACKLOG_TIME).then_some(delay.from)
    }

    /// Writes an answer after a delay, and releases the call after the hold time.
    fn answer_after(&self, delay: Duration, number: u64, request: &Request, reply: Reply) {
        let (call, sequence, call_id) = (request.call, request.sequence, request.call_id.clone());
        let server = self.clone();
        self.scheduler.after(delay, move || {
            if !server.end_invite(number, (call, sequence), call_id) {
                return;
            }
            for piece in &reply.pieces {
                server.write(number, piece);
                thread::sleep(reply.piece_delay);
            }
            if reply.closes {
                server.close(number);
            }
            let releasing = server.clone();
            server.scheduler.after(server.hold_time, move || releasing.release(call));
        });
    }

    /// Marks an INVITE as answered; returns false if it has ended or the server has vanished.
    fn end_invite(&self, number: u64, invite: (CallNumber, u32), call_id: String) -> bool {
        let mut state = self.lock();
        if state.behaviour == Behaviour::Vanished || state.open_invites.remove(&invite).is_none() {
            return false;
        }
        let (call, sequence) = invite;
        if let Some(node) = state.connections.get(&number).map(|connection| connection.node) {
            let established = Established { call, call_id, node, connection: number };
            state.established.insert(call, established);
        }
        drop(state);
        // The node may treat the INVITE as answered from the first byte on, so the event is recorded before the
        // answer is written.
        self.record_end(call, sequence, InviteEnd::Answered);
        true
    }

    /// Releases a call on the connection of its set-up; if that is closed, on another connection of its node; if
    /// there is none, on the node's next connection.
    fn release(&self, call: CallNumber) {
        let mut state = self.lock();
        let Some(established) = state.established.remove(&call) else { return };
        let is_to_node = |connection: &Connection| connection.node == established.node;
        let of_set_up =
            state.connections.contains_key(&established.connection).then_some(established.connection);
        let any = || state.connections.iter().find(|(_, open)| is_to_node(open)).map(|(number, _)| *number);
        let number = of_set_up.or_else(any);
        state.unconfirmed_releases.push(established.clone());
        drop(state);
        if let Some(number) = number {
            self.release_on(number, &established);
        }
    }

    fn release_on(&self, number: u64, established: &Established) {
        self.recorder.record(Event::Released { call: established.call });
        let reason = "Reason: Q.850;cause=16\r\nContent-Length: 0\r\n";
        let ids = format!("Call-ID: {}\r\nCSeq: 9 BYE\r\n", established.call_id);
        self.write(number, &format!("BYE sip:x@net SIP/2.0\r\n{ids}{reason}\r\n"));
    }

    /// Makes the close of a connection send a reset, by a linger time of zero.
    fn reset_when_closed(&self, number: u64) {
        if let Some(connection) = self.lock().connections.get(&number) {
            // Fails if the connection is closed already, which is harmless.
            let _ = set_socket_linger(&connection.stream, Some(Duration::ZERO));
        }
    }

    fn close(&self, number: u64) {
        if let Some(connection) = self.lock().connections.get(&number) {
            // Fails if the peer has closed the connection, which is harmless.
            let _ = connection.stream.shutdown(Shutdown::Both);
        }
    }

    /// Writes to a connection if it is still open.
    fn write(&self, number: u64, text: &str) {
        let stream = self.lock().connections.get(&number).and_then(|open| open.stream.try_clone().ok());
        if let Some(mut stream) = stream {
            // Fails if the node has closed the connection, which is harmless.
            let _ = stream.write_all(text.as_bytes());
        }
    }
}
