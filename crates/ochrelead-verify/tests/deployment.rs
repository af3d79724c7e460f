//! The check of calls while callers are active, with a thread of the test in place of a front.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use ochrelead_verify::cluster::deployment::TestDeployment;
use ochrelead_verify::cluster::error::CallViolation;
use serde_json::Value;

/// Number of threads that read the INVITEs during the check. They contend for the lock, so that new calls are recorded
/// between the two reads of the check.
const READER_THREADS: usize = 1;
/// Time for which the check is repeated.
const CHECK_TIME: Duration = Duration::from_secs(3);
/// Time limit for the expected INVITEs to reach their server.
const MAX_WAIT: Duration = Duration::from_secs(10);

fn server_address(deployment: &TestDeployment) -> SocketAddr {
    deployment.endpoints(0, 1)[0]["hostPort"].as_str().unwrap().parse().unwrap()
}

fn send_invite(server: &mut TcpStream, call: &str) -> io::Result<()> {
    let invite = format!(
        "INVITE sip:call@net SIP/2.0\r\nCall-ID: {call}\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n"
    );
    server.write_all(invite.as_bytes())
}

/// Accepts one caller and sends an INVITE for each call that it requests.
fn forward_calls(listener: &TcpListener, server: SocketAddr) -> io::Result<()> {
    let (caller, _) = listener.accept()?;
    let mut server = TcpStream::connect(server)?;
    for line in BufReader::new(caller).lines() {
        let request: Value = serde_json::from_str(&line?)?;
        send_invite(&mut server, request["ref"].as_str().unwrap_or_default())?;
    }
    Ok(())
}

fn wait_for_invites(deployment: &TestDeployment, count: usize) {
    let deadline = Instant::now() + MAX_WAIT;
    while deployment.invites().len() < count {
        assert!(
            Instant::now() < deadline,
            "{} of {count} INVITEs reached the server",
            deployment.invites().len()
        );
        thread::sleep(Duration::from_millis(1));
    }
}

/// Calls are requested and forwarded between the two reads of the check, first the INVITEs and then the calls. In the
/// reverse order the check would report the INVITE of a call that is recorded in between.
#[test]
fn calls_placed_during_the_check_are_no_violation() {
    let deployment = TestDeployment::start(1, 1).unwrap();
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let front = listener.local_addr().unwrap();
    let server = server_address(&deployment);
    thread::spawn(move || forward_calls(&listener, server));
    deployment.start_caller(0, front, Duration::from_micros(50));
    wait_for_invites(&deployment, 100);
    let deadline = Instant::now() + CHECK_TIME;
    let read_invites = || {
        while Instant::now() < deadline {
            deployment.invites();
        }
    };
    thread::scope(|scope| {
        for _ in 0..READER_THREADS {
            scope.spawn(read_invites);
        }
        while Instant::now() < deadline {
            deployment.check().unwrap();
        }
    });
}

#[test]
fn invite_for_a_call_that_no_caller_requested_is_a_violation() {
    let deployment = TestDeployment::start(1, 1).unwrap();
    let mut server = TcpStream::connect(server_address(&deployment)).unwrap();
    send_invite(&mut server, "unrequested").unwrap();
    wait_for_invites(&deployment, 1);
    let violation = deployment.check().unwrap_err();
    assert!(matches!(violation, CallViolation::UnknownCall { invite } if invite.call == "unrequested"));
}
