//! A capture as a sequence of messages and events of the rig.

use ochrelead_core::time::Moment;
use ochrelead_mgcp::message::Message;
use ochrelead_mgcp::parse;

use crate::capture::CapturedDatagram;
use crate::participant::Participant;
use crate::rig_event::{RigEvent, scenario_start};

/// One message, as it left its sender or as it reached its receiver, or one event of the rig.
pub(super) struct TraceEvent {
    /// When, counted from the scenario's start; what came before counts as at the start.
    pub(super) time: Moment,
    pub(super) from: Participant,
    pub(super) to: Participant,
    /// Whether the message reached its receiver; else it left its sender.
    pub(super) delivered: bool,
    pub(super) kind: TraceEventKind,
}

pub(super) enum TraceEventKind {
    Message(Message),
    Rig(RigEvent),
}

/// All messages and events, in the order of the capture.
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
        return RigEvent::from_datagram(datagram).map(TraceEventKind::Rig).map(event).into_iter().collect();
    }
    let messages = parse::datagram(&datagram.bytes).into_iter().flatten().flatten();
    messages.map(TraceEventKind::Message).map(event).collect()
}
