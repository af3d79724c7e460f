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
pub enum HarnessEvent {
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

impl fmt::Display for HarnessEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HarnessEvent::ScenarioStart(start) => write!(f, "start {}", start.micros()),
            HarnessEvent::Killed(participant) => write!(f, "kill {}", participant.capture_address()),
            HarnessEvent::Restarted(participant) => write!(f, "begin {}", participant.capture_address()),
            HarnessEvent::Suspended(participant) => write!(f, "halt {}", participant.capture_address()),
            HarnessEvent::Resumed(participant) => write!(f, "resume {}", participant.capture_address()),
            HarnessEvent::EndpointFileWritten { front, draining: Some(server) } => {
                write!(f, "fleet {} {server}", front.capture_address())
            }
            HarnessEvent::EndpointFileWritten { front, draining: None } => {
                write!(f, "fleet {} -", front.capture_address())
            }
            HarnessEvent::ScenarioEnd => write!(f, "end"),
        }
    }
}

/// The error for a text that is not a harness event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error(
    "not a test harness event: expected start, kill, begin, halt, resume, fleet or end with its operands"
)]
pub struct ParseHarnessEventError;

impl FromStr for HarnessEvent {
    type Err = ParseHarnessEventError;

    fn from_str(text: &str) -> Result<HarnessEvent, ParseHarnessEventError> {
        parse(text).ok_or(ParseHarnessEventError)
    }
}

fn parse(text: &str) -> Option<HarnessEvent> {
    if text == "end" {
        return Some(HarnessEvent::ScenarioEnd);
    }
    let (verb, subject) = text.split_once(' ')?;
    match verb {
        "start" => subject.trim().parse().ok().map(Moment::from_micros).map(HarnessEvent::ScenarioStart),
        "fleet" => {
            let (front, draining) = subject.split_once(' ')?;
            let front = parse_participant(front)?;
            Some(HarnessEvent::EndpointFileWritten { front, draining: draining.parse().ok() })
        }
        "kill" => parse_participant(subject.trim()).map(HarnessEvent::Killed),
        "begin" => parse_participant(subject.trim()).map(HarnessEvent::Restarted),
        "halt" => parse_participant(subject.trim()).map(HarnessEvent::Suspended),
        "resume" => parse_participant(subject.trim()).map(HarnessEvent::Resumed),
        _ => None,
    }
}

fn parse_participant(address: &str) -> Option<Participant> {
    Participant::from_capture_address(address.parse::<SocketAddrV4>().ok()?)
}

impl HarnessEvent {
    /// Parses the event that a captured datagram records; `None` if the harness did not send it.
    pub fn from_datagram(datagram: &CapturedDatagram) -> Option<HarnessEvent> {
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
    datagrams.iter().find_map(|datagram| match HarnessEvent::from_datagram(datagram) {
        Some(HarnessEvent::ScenarioStart(start)) => Some(start),
        _ => None,
    })
}
