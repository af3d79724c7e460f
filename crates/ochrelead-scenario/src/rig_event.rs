//! Events of the test harness in a run, as recorded in the capture.

use std::fmt;
use std::net::SocketAddrV4;
use std::str::FromStr;

use ochrelead_core::time::Moment;
use thiserror::Error;

use crate::capture::CapturedDatagram;
use crate::participant::Participant;

/// An action of the test harness. Its text is stored as the payload of a datagram in the capture.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RigEvent {
    /// The scenario starts at this moment on the capture's clock.
    ScenarioStart(Moment),
    /// A participant's process was killed.
    Killed(Participant),
    /// A participant's process is about to be restarted.
    Restarted(Participant),
    /// A participant's process was stopped (SIGSTOP).
    Suspended(Participant),
    /// A participant's process was continued (SIGCONT).
    Resumed(Participant),
    /// A valid endpoint file of a front was completely written.
    EndpointFileWritten {
        /// The front that reads the file.
        front: Participant,
        /// The server that it marks as draining, if any.
        draining: Option<u16>,
    },
    /// The scenario has ended.
    ScenarioEnd,
}

impl fmt::Display for RigEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RigEvent::ScenarioStart(start) => write!(f, "start {}", start.micros()),
            RigEvent::Killed(participant) => write!(f, "kill {}", participant.capture_address()),
            RigEvent::Restarted(participant) => write!(f, "begin {}", participant.capture_address()),
            RigEvent::Suspended(participant) => write!(f, "halt {}", participant.capture_address()),
            RigEvent::Resumed(participant) => write!(f, "resume {}", participant.capture_address()),
            RigEvent::EndpointFileWritten { front, draining: Some(server) } => {
                write!(f, "fleet {} {server}", front.capture_address())
            }
            RigEvent::EndpointFileWritten { front, draining: None } => {
                write!(f, "fleet {} -", front.capture_address())
            }
            RigEvent::ScenarioEnd => write!(f, "end"),
        }
    }
}

/// The error for a text that is not a harness event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error(
    "not a test harness event: expected start, kill, begin, halt, resume, fleet or end with its operands"
)]
pub struct ParseRigEventError;

impl FromStr for RigEvent {
    type Err = ParseRigEventError;

    fn from_str(text: &str) -> Result<RigEvent, ParseRigEventError> {
        parse(text).ok_or(ParseRigEventError)
    }
}

fn parse(text: &str) -> Option<RigEvent> {
    if text == "end" {
        return Some(RigEvent::ScenarioEnd);
    }
    let (verb, subject) = text.split_once(' ')?;
    match verb {
        "start" => subject.trim().parse().ok().map(Moment::from_micros).map(RigEvent::ScenarioStart),
        "fleet" => {
            let (front, draining) = subject.split_once(' ')?;
            let front = parse_participant(front)?;
            Some(RigEvent::EndpointFileWritten { front, draining: draining.parse().ok() })
        }
        "kill" => parse_participant(subject.trim()).map(RigEvent::Killed),
        "begin" => parse_participant(subject.trim()).map(RigEvent::Restarted),
        "halt" => parse_participant(subject.trim()).map(RigEvent::Suspended),
        "resume" => parse_participant(subject.trim()).map(RigEvent::Resumed),
        _ => None,
    }
}

fn parse_participant(address: &str) -> Option<Participant> {
    Participant::from_capture_address(address.parse::<SocketAddrV4>().ok()?)
}

impl RigEvent {
    /// Parses the event that a captured datagram records; `None` if the harness did not send it.
    pub fn from_datagram(datagram: &CapturedDatagram) -> Option<RigEvent> {
        if datagram.from != Participant::Rig {
            return None;
        }
        String::from_utf8_lossy(&datagram.bytes).parse().ok()
    }

    /// Converts the event to its record in a capture.
    pub fn into_datagram(self, time: Moment) -> CapturedDatagram {
        CapturedDatagram {
            time,
            from: Participant::Rig,
            to: Participant::Rig,
            delivered: false,
            bytes: self.to_string().into_bytes(),
        }
    }
}

/// Returns when the scenario of a capture started, on the capture's clock; `None` if no start event is recorded.
pub fn scenario_start(datagrams: &[CapturedDatagram]) -> Option<Moment> {
    datagrams.iter().find_map(|datagram| match RigEvent::from_datagram(datagram) {
        Some(RigEvent::ScenarioStart(start)) => Some(start),
        _ => None,
    })
}
