//! Callers that write at full speed, beside a usual caller, on sockets.

mod scripted;

use std::io::{Write, copy, sink};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use scripted::{Caller, TestNode, call_id, set_up_line};
use serde_json::json;
use test_case::test_case;

/// The set-ups of the usual caller, and the time from one to the next.
const USUAL_SET_UPS: u64 = 150;
const USUAL_INTERVAL: Duration = Duration::from_millis(20);
/// The first id of the calls that a flood names.
const FIRST_OF_FLOOD: u64 = 1 << 32;
const HEARTBEAT: &str = "{\"t\":\"hb\"}\n";
/// Heartbeats, or other lines, that are written at once.
const HEARTBEATS_PER_WRITE: usize = 3_000;
const LINES_PER_WRITE: u64 = 200;
/// Connections that write at once, and how many heartbeats each writes.
const CONNECTIONS: usize = 100;
const HEARTBEATS_OF_CONNECTION: usize = 30_000;
/// A caller that has sent nothing valid is refused or closed within this time.
const INVALID_CALLER_DEADLINE: Duration = Duration::from_secs(3);
/// The memory limit in the node's configuration.
const MEMORY_LIMIT_KIB: u64 = 32 * 1024;
/// The set-ups that are answered before the next ones are sent, and the rounds of them: more than the node has places.
const SET_UPS_PER_ROUND: u64 = 20;
const MAX_ROUNDS: u64 = 1_000;

/// Held by each test: a flood uses more than one core, and two of them at once would be a flood of the machine.
static MACHINE: Mutex<()> = Mutex::new(());

fn machine() -> MutexGuard<'static, ()> {
    MACHINE.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What one connection writes without end.
#[derive(Clone, Copy, Debug)]
enum Flood {
    Heartbeats,
    /// A set-up, then heartbeats.
    SetUpAndHeartbeats,
    /// Set-ups that are given up at once.
    CancelledSetUps,
    /// Set-ups of a class that does not exist.
    InvalidSetUps,
    /// Reports of established calls, and their ends.
    EndedReports,
}

fn flood_set_up(number: u64) -> String {
    set_up_line(FIRST_OF_FLOOD + number).replace("\"key\":\"77\"", &format!("\"key\":\"8{number}\""))
}

fn end_line(call: u64) -> String {
    format!("{{\"t\":\"down\",\"ref\":\"{}\",\"f\":{{}},\"c\":16}}\n", call_id(call))
}

impl Flood {
    fn line(self, number: u64) -> String {
        let call = FIRST_OF_FLOOD + number;
        match self {
            Flood::Heartbeats | Flood::SetUpAndHeartbeats => HEARTBEAT.to_owned(),
            Flood::CancelledSetUps => flood_set_up(number) + &end_line(call),
            Flood::InvalidSetUps => flood_set_up(number).replace("voice", "none"),
            Flood::EndedReports => {
                let report = json!({"t": "new", "ref": call_id(call), "f": {"extras": "at:s-0"}});
                format!("{report}\n{}", end_line(call))
            }
        }
    }

    fn lines(self, first: u64) -> String {
        match self {
            Flood::Heartbeats | Flood::SetUpAndHeartbeats => HEARTBEAT.repeat(HEARTBEATS_PER_WRITE),
            _ => (first..first + LINES_PER_WRITE).map(|number| self.line(number)).collect(),
        }
    }

    /// Writes until `stop`, on a new connection whenever the node closes one; reads all answers.
    fn run(self, node: SocketAddr, first: u64, stop: &AtomicBool) {
        let mut number = first;
        while !stop.load(Ordering::Relaxed) {
            let Ok(mut stream) = TcpStream::connect(node) else { continue };
            let mut answers = stream.try_clone().unwrap();
            let reader = thread::spawn(move || copy(&mut answers, &mut sink()));
            if matches!(self, Flood::SetUpAndHeartbeats) {
                let _ = stream.write_all(flood_set_up(number).as_bytes());
                number += 1;
            }
            while !stop.load(Ordering::Relaxed) && stream.write_all(self.lines(number).as_bytes()).is_ok() {
                number += LINES_PER_WRITE;
            }
            let _ = stream.shutdown(Shutdown::Both);
            let _ = reader.join().unwrap();
        }
    }
}

/// Callers that write without end until they are stopped.
struct Floods {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Floods {
    fn start(flood: Flood, connections: usize, node: &TestNode) -> Floods {
        let (stop, listen) = (Arc::new(AtomicBool::new(false)), node.listen);
        let start = |index: usize| {
            let stop = stop.clone();
            thread::spawn(move || flood.run(listen, (index as u64) << 24, &stop))
        };
        let threads = (0..connections).map(start).collect();
        Floods { stop, threads }
    }

    fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.into_iter().for_each(|thread| thread.join().unwrap());
    }
}

/// Sets up calls at a steady rate, whatever the answers, and ends each that is established. Returns the number of those.
fn set_up_usual_calls(mut caller: Caller) -> u64 {
    let mut writer = caller.try_clone();
    let sender = thread::spawn(move || {
        let started = Instant::now();
        for call in 1..=USUAL_SET_UPS {
            let due = started + USUAL_INTERVAL * u32::try_from(call).unwrap();
            thread::sleep(due.saturating_duration_since(Instant::now()));
            writer.write_all(set_up_line(call).as_bytes()).unwrap();
        }
    });
    let mut established = 0;
    for _ in 1..=USUAL_SET_UPS {
        let answer = caller.next_answer();
        if answer["t"] == "up" {
            established += 1;
            caller.send_line(&json!({"t": "down", "ref": answer["ref"], "f": {}, "c": 16}));
        }
    }
    sender.join().unwrap();
    established
}

/// Lets the server accept each INVITE until `is_done`.
fn accept_invites(node: &TestNode, is_done: impl Fn() -> bool) {
    while !is_done() {
        match node.server.messages.recv_timeout(Duration::from_millis(5)) {
            Ok(message) if message.method == "INVITE" => node.server.accept_invite(&message),
            _ => {}
        }
    }
}

fn assert_usual_calls_are_established(node: &TestNode) {
    let caller = node.connect();
    let usual_caller = thread::spawn(|| set_up_usual_calls(caller));
    accept_invites(node, || usual_caller.is_finished());
    assert_eq!(usual_caller.join().unwrap(), USUAL_SET_UPS);
    assert!(node.peak_memory_kib() < MEMORY_LIMIT_KIB, "{} KiB", node.peak_memory_kib());
}

/// Issue 66 b: each answer to a flood took a system call of its own, and other callers were answered late or refused.
#[test_case(Flood::Heartbeats; "of heartbeats")]
#[test_case(Flood::CancelledSetUps; "of cancelled set ups")]
#[test_case(Flood::InvalidSetUps; "of invalid set ups")]
#[test_case(Flood::EndedReports; "of ended reports")]
fn usual_calls_are_established_beside_a_flood(flood: Flood) {
    let _machine = machine();
    let node = TestNode::start(&format!("flood-{flood:?}"));
    let floods = Floods::start(flood, 1, &node);
    assert_usual_calls_are_established(&node);
    floods.stop();
}

/// Issue 66 b: the INVITE of a caller that never stops writing was held back for ever, and counted as in flight.
#[test]
fn set_up_of_a_caller_that_never_stops_writing_reaches_the_server() {
    let _machine = machine();
    let node = TestNode::start("flood-held-invite");
    let floods = Floods::start(Flood::SetUpAndHeartbeats, 1, &node);
    node.server.wait_for("INVITE");
    floods.stop();
}

/// Issue 66 a: the answers to all connections waited in memory at once, if the input of many callers was to be drained. Here
/// they have sent no set-up for so long that the node, which is paused, is about to close them.
#[test]
fn memory_stays_within_its_limit_if_many_callers_write_before_they_are_closed() {
    let _machine = machine();
    let node = TestNode::start("flood-memory");
    let mut callers: Vec<Caller> = (0..CONNECTIONS).map(|_| node.connect()).collect();
    callers.iter_mut().for_each(|caller| assert!(node.is_healthy(caller)));
    node.pause();
    let write = |caller: Caller| {
        let (mut writer, mut answers) = (caller.try_clone(), caller.try_clone());
        // The node closes the connection, which may be before it has read all.
        let heartbeats = HEARTBEAT.repeat(HEARTBEATS_OF_CONNECTION);
        thread::spawn(move || _ = writer.write_all(heartbeats.as_bytes()));
        thread::spawn(move || _ = copy(&mut answers, &mut sink()))
    };
    let readers: Vec<JoinHandle<()>> = callers.into_iter().map(write).collect();
    thread::sleep(INVALID_CALLER_DEADLINE);
    node.resume();
    readers.into_iter().for_each(|reader| reader.join().unwrap());
    assert!(node.peak_memory_kib() < MEMORY_LIMIT_KIB, "{} KiB", node.peak_memory_kib());
}

/// Sets up calls until one round of them is refused. Returns how many are established.
fn set_up_until_refused(caller: &mut Caller) -> u64 {
    let mut established = 0;
    for round in 0..MAX_ROUNDS {
        let first = round * SET_UPS_PER_ROUND;
        caller.write(&(first..first + SET_UPS_PER_ROUND).map(flood_set_up).collect::<String>());
        let answers: Vec<_> = (0..SET_UPS_PER_ROUND).map(|_| caller.next_answer()).collect();
        established += answers.iter().filter(|answer| answer["t"] == "up").count() as u64;
        if answers.iter().all(|answer| answer["t"] == "down") {
            break;
        }
    }
    established
}

/// Issue 66 b: one connection could take the place of every call, and all other set-ups were refused from then on.
#[test]
fn usual_calls_are_established_after_one_caller_has_set_up_as_many_as_it_may() {
    let _machine = machine();
    let node = TestNode::start("flood-places");
    let mut caller = node.connect();
    let flood = thread::spawn(move || (set_up_until_refused(&mut caller), caller));
    accept_invites(&node, || flood.is_finished());
    let (established, _caller) = flood.join().unwrap();
    assert!(established > 10_000, "one connection may hold most of the calls, and holds {established}");
    assert_usual_calls_are_established(&node);
}
