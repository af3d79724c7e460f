//! A capture as a sequence of MGCP messages and test harness events.

use ochrelead_core::time::Moment;
use ochrelead_mgcp::message::Message;
use ochrelead_mgcp::parse;

use crate::capture::CapturedDatagram;
use crate::harness_event::{HarnessEvent, scenario_start};
use crate::participant::Participant;

/// One message that was sent or delivered, or one test harness event.
pub(super) struct TraceEvent {
    /// When it occurred, from the scenario's start; zero for events before the start.
    pub(super) time: Moment,
    pub(super) from: Participant,
    pub(super) to: Participant,
    /// Whether the message was delivered to its receiver (true) or sent by its sender (false).
    pub(super) delivered: bool,
    pub(super) kind: TraceEventKind,
}

pub(super) enum TraceEventKind {
    Message(Message),
    Harness(HarnessEvent),
}

/// Reads the messages and events in the order of the capture; datagrams that can't be parsed are skipped.
pub(super) fn read_trace(datagrams: &[CapturedDatagram]) -> Vec<TraceEvent> {
    let start = scenario_start(datagrams).unwrap_or(Moment::START);
    datagrams.iter().flat_map(|datagram| read_datagram(datagram, start)).collect()
}

fn read_datagram(datagram: &CapturedDatagram, start: Moment) -> Vec<TraceEvent> {
    let event = |kind| TraceEvent {
        time: Moment::START + datagram.time.since(start),
        from: datagram.from,
        to: datagram.to,
        delivered: datagram.delivered,
        kind,
    };
    if datagram.from == Participant::Rig {
        return HarnessEvent::from_datagram(datagram)
            .map(TraceEventKind::Harness)
            .map(event)
            .into_iter()
            .collect();
    }
    let messages = parse::datagram(&datagram.bytes).into_iter().flatten().flatten();
    messages.map(TraceEventKind::Message).map(event).collect()
}
