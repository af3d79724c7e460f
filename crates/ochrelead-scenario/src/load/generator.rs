//! The load generator: emulates the callers and the server in one loop.

use std::collections::{HashMap, VecDeque};
use std::fs;
use std::io::ErrorKind;
use std::net::UdpSocket;
use std::path::Path;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use super::subject::SubjectProcess;
use super::{LoadError, LoadStep, Subject};
use crate::loopback::LoopbackNetwork;
use crate::participant::Participant;

/// The time for which a call is established; short enough that releases are part of the load.
const CALL_DURATION: Duration = Duration::from_millis(200);
/// The warm-up before the measurement is this fraction (1/n) of its length: a front that has just started has no
/// answer times to base its decisions on.
const WARM_UP_DIVISOR: u32 = 5;
/// The time for which answers are awaited after the last call.
const TAIL: Duration = Duration::from_millis(100);
/// The size in bytes of the longest datagram that a subject sends.
const MAX_DATAGRAM: usize = 4_096;
/// The number of significant digits of the measured times.
const HISTOGRAM_DIGITS: u8 = 3;

/// A running subject with the sockets of its callers and its server.
pub(super) struct LoadGenerator {
    kind: Subject,
    subject: SubjectProcess,
    callers: UdpSocket,
    server: UdpSocket,
    /// The last transaction number of the callers.
    last_transaction: u32,
    /// The number of the last connection that the server created.
    last_connection: u32,
    buffer: [u8; MAX_DATAGRAM],
}

/// The state of the measurement at one rate.
struct Measurement {
    /// The end of the warm-up: only calls offered from this time on are measured.
    begin: Instant,
    /// The time from which no more calls are offered.
    end: Instant,
    next_call_at: Instant,
    /// The number of the last call.
    last_call: u32,
    offered: u64,
    invited: u64,
    /// By attempt id: when the calls were offered whose INVITE has not been received.
    pending: HashMap<String, Instant>,
    /// The release times and attempt ids of established calls, in order of time.
    established: VecDeque<(Instant, String)>,
    times_us: Histogram<u64>,
}

impl Measurement {
    fn new(length: Duration) -> Result<Measurement, LoadError> {
        let now = Instant::now();
        let begin = now + length / WARM_UP_DIVISOR;
        Ok(Measurement {
            begin,
            end: begin + length,
            next_call_at: now,
            last_call: 0,
            offered: 0,
            invited: 0,
            pending: HashMap::new(),
            established: VecDeque::new(),
            times_us: Histogram::new(HISTOGRAM_DIGITS)?,
        })
    }

    /// Records the first INVITE of a call. Returns false if the call is not pending.
    fn on_invite(&mut self, attempt_id: &str) -> Result<bool, LoadError> {
        let Some(offered_at) = self.pending.remove(attempt_id) else { return Ok(false) };
        if offered_at >= self.begin {
            self.invited += 1;
            self.times_us.record(offered_at.elapsed().as_micros() as u64)?;
        }
        Ok(true)
    }

    fn quantile(&self, share: f64) -> Duration {
        Duration::from_micros(self.times_us.value_at_quantile(share))
    }
}

impl LoadGenerator {
    /// Starts a subject, and opens the sockets of its callers and its server.
    pub(super) fn start(kind: Subject, output: &Path) -> Result<LoadGenerator, LoadError> {
        fs::create_dir_all(output).map_err(|error| LoadError::in_file(output, error))?;
        let addresses = LoopbackNetwork::new(kind as u8);
        let callers = listen(addresses, Participant::Gateway)?;
        let server = listen(addresses, Participant::Server(0))?;
        let subject = SubjectProcess::start(kind, addresses, output)?;
        Ok(LoadGenerator {
            kind,
            subject,
            callers,
            server,
            last_transaction: 0,
            last_connection: 0,
            buffer: [0; MAX_DATAGRAM],
        })
    }

    /// Offers `rate` calls per second for the given time after the warm-up, and stops the subject.
    pub(super) fn run(mut self, rate: u32, length: Duration) -> Result<LoadStep, LoadError> {
        let call_interval = Duration::from_secs(1) / rate;
        let mut measurement = Measurement::new(length)?;
        while Instant::now() < measurement.end + TAIL {
            let now = Instant::now();
            if now >= measurement.next_call_at && now < measurement.end {
                measurement.next_call_at += call_interval;
                self.offer_call(&mut measurement, now)?;
            }
            self.release_calls(&mut measurement, now)?;
            self.serve_server(&mut measurement)?;
            self.serve_callers(&mut measurement, now)?;
        }
        let step = LoadStep {
            rate,
            offered: measurement.offered,
            invited: measurement.invited,
            p50: measurement.quantile(0.5),
            p99: measurement.quantile(0.99),
            cpu_ticks: self.subject.cpu_ticks(),
        };
        self.subject.stop()?;
        Ok(step)
    }

    fn offer_call(&mut self, measurement: &mut Measurement, now: Instant) -> Result<(), LoadError> {
        measurement.last_call += 1;
        measurement.offered += u64::from(now >= measurement.begin);
        let call = measurement.last_call;
        let attempt_id = format!("{call:08X}");
        let (hundreds, tens, ones) = (call / 100 % 10, call / 10 % 10, call % 10);
        let transaction = self.next_transaction();
        let text = format!(
            "NTFY {transaction} m/{call}@g MGCP 1.0\r\nX: 0\r\nX-Try: {attempt_id}\r\nI: h{call}\r\n\
             O: L/hd, D/1, D/0, D/0, D/{hundreds}, D/{tens}, D/{ones}\r\n"
        );
        measurement.pending.insert(attempt_id, Instant::now());
        self.send(&self.callers, &text)
    }

    fn release_calls(&mut self, measurement: &mut Measurement, now: Instant) -> Result<(), LoadError> {
        while measurement.established.front().is_some_and(|(release_at, _)| *release_at <= now) {
            let Some((_, attempt_id)) = measurement.established.pop_front() else { break };
            let transaction = self.next_transaction();
            let text = format!(
                "NTFY {transaction} m/{attempt_id}@g MGCP 1.0\r\nX: 0\r\nX-Try: {attempt_id}\r\nO: L/hu\r\n"
            );
            self.send(&self.callers, &text)?;
        }
        Ok(())
    }

    /// Answers the datagrams that have reached the server.
    fn serve_server(&mut self, measurement: &mut Measurement) -> Result<(), LoadError> {
        let set_up_verb = if self.kind == Subject::Relay { "NTFY" } else { "CRCX" };
        while let Some(text) = receive(&self.server, &mut self.buffer)? {
            let verb = text.split(' ').next().unwrap_or("");
            let transaction = transaction_of(&text);
            let attempt_id = field(&text, "X-Try: ");
            if verb == set_up_verb && measurement.on_invite(attempt_id)? {
                self.last_connection += 1;
                let connection = self.last_connection;
                let answer = format!(
                    "200 {transaction} OK\r\nI: c{connection}\r\nZ: trunk/{connection}@s0\r\n\
                     X-Lines: 900000/1000000\r\nX-Try: {attempt_id}\r\n"
                );
                self.send(&self.server, &answer)?;
            } else if verb == "DLCX" || verb == "NTFY" {
                let answer = format!("250 {transaction} OK\r\nX-Lines: 900000/1000000\r\n");
                self.send(&self.server, &answer)?;
            }
        }
        Ok(())
    }

    /// Answers the datagrams that have reached the callers.
    fn serve_callers(&mut self, measurement: &mut Measurement, now: Instant) -> Result<(), LoadError> {
        while let Some(text) = receive(&self.callers, &mut self.buffer)? {
            let is_established = match self.kind {
                Subject::Front | Subject::RecordingFront => text.starts_with("MDCX"),
                Subject::Relay => text.starts_with("200"),
            };
            if is_established || text.starts_with("RQNT") {
                self.send(&self.callers, &format!("200 {} OK\r\n", transaction_of(&text)))?;
            }
            if is_established {
                let attempt_id = field(&text, "X-Try: ").to_owned();
                measurement.established.push_back((now + CALL_DURATION, attempt_id));
            }
        }
        Ok(())
    }

    fn next_transaction(&mut self) -> u32 {
        self.last_transaction += 1;
        self.last_transaction
    }

    fn send(&self, socket: &UdpSocket, text: &str) -> Result<(), LoadError> {
        socket.send_to(text.as_bytes(), self.subject.address)?;
        Ok(())
    }
}

fn listen(addresses: LoopbackNetwork, participant: Participant) -> Result<UdpSocket, LoadError> {
    let address = addresses.listen_address(participant);
    let socket = UdpSocket::bind(address).map_err(|error| LoadError::listen(address, error))?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

/// Receives the next datagram; `None` if there is none in the socket.
fn receive(socket: &UdpSocket, buffer: &mut [u8]) -> Result<Option<String>, LoadError> {
    match socket.recv_from(buffer) {
        Ok((length, _)) => Ok(Some(String::from_utf8_lossy(&buffer[..length]).into_owned())),
        Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(None),
        Err(error) => Err(error.into()),
    }
}

/// Returns the transaction number, the second word of a command or response; "0" if there is none.
fn transaction_of(text: &str) -> &str {
    text.split(' ').nth(1).unwrap_or("0")
}

/// Returns the value of the first field with this name, which includes the colon; empty if there is none.
fn field<'a>(text: &'a str, name: &str) -> &'a str {
    text.split_once(name).map_or("", |(_, value)| value.lines().next().unwrap_or("").trim())
}
