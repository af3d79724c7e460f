//! The verdict on calls while callers are at work, with a thread in the place of a front.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use ochrelead_verify::cluster::deployment::TestDeployment;
use ochrelead_verify::cluster::error::CallViolation;
use serde_json::Value;

/// So many threads read the INVITEs meanwhile: the verdict has to wait for them, so that calls go on between its reads.
const READERS: usize = 1;
/// How long the verdict is asked for again and again.
const OBSERVED_FOR: Duration = Duration::from_secs(3);
/// The longest that an INVITE may take to its server.
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

/// Sends an INVITE for each call of one caller, as soon as it reads it.
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
        assert!(Instant::now() < deadline, "{} of {count} INVITEs", deployment.invites().len());
        thread::sleep(Duration::from_millis(1));
    }
}

/// Calls are asked for and sent on while the verdict reads both tables.
#[test]
fn calls_placed_during_the_verdict_are_no_violation() {
    let deployment = TestDeployment::start(1, 1).unwrap();
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let front = listener.local_addr().unwrap();
    let server = server_address(&deployment);
    thread::spawn(move || forward_calls(&listener, server));
    deployment.start_caller(0, front, Duration::from_micros(50));
    wait_for_invites(&deployment, 100);
    let until = Instant::now() + OBSERVED_FOR;
    let read_invites = || {
        while Instant::now() < until {
            deployment.invites();
        }
    };
    thread::scope(|scope| {
        for _ in 0..READERS {
            scope.spawn(read_invites);
        }
        while Instant::now() < until {
            deployment.check().unwrap();
        }
    });
}

#[test]
fn an_invite_that_no_caller_asked_for_is_a_violation() {
    let deployment = TestDeployment::start(1, 1).unwrap();
    let mut server = TcpStream::connect(server_address(&deployment)).unwrap();
    send_invite(&mut server, "unasked").unwrap();
    wait_for_invites(&deployment, 1);
    let violation = deployment.check().unwrap_err();
    assert!(matches!(violation, CallViolation::UnknownCall { invite } if invite.call == "unasked"));
}
