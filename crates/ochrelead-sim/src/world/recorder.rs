//! What is kept of a simulation: the captured datagrams, the trace, and a checksum of all events.

use std::fmt::Write;

use ochrelead_core::time::Moment;
use ochrelead_scenario::capture::CapturedDatagram;
use ochrelead_scenario::participant::Participant;

use super::{RecordingOptions, START};

/// One step of a simulation.
#[derive(Clone, Copy, Debug)]
pub(super) struct Step {
    /// Counted from 1; 0 before the first.
    pub(super) number: u64,
    /// When it happens.
    pub(super) time: Moment,
}

/// Keeps what the options ask for. The checksum is of all events, whether they are kept or not.
pub(super) struct Recorder {
    options: RecordingOptions,
    pub(super) datagrams: Vec<CapturedDatagram>,
    /// The step of each datagram.
    steps: Vec<u64>,
    pub(super) trace: String,
    checksum: crc32fast::Hasher,
}

impl Recorder {
    pub(super) fn new(options: RecordingOptions) -> Recorder {
        Recorder {
            options,
            datagrams: Vec::new(),
            steps: Vec::new(),
            trace: String::new(),
            checksum: crc32fast::Hasher::new(),
        }
    }

    /// An event: its name in the trace, the party concerned, and the datagram if it is about one.
    pub(super) fn event(&mut self, step: Step, name: &str, party: Participant, bytes: &[u8]) {
        let party = format!("{party:?}");
        self.checksum.update(&step.time.micros().to_le_bytes());
        self.checksum.update(name.as_bytes());
        self.checksum.update(party.as_bytes());
        self.checksum.update(bytes);
        if self.options.trace {
            let us = step.time.since(START).micros();
            let text = String::from_utf8_lossy(bytes);
            let first_line = text.lines().next().unwrap_or("");
            let sum = crc32fast::hash(bytes);
            // Writing into a string does not fail.
            let _ = writeln!(self.trace, "{} {us} {name} {party} {sum:08x} {first_line}", step.number);
        }
    }

    /// A datagram leaves a party.
    pub(super) fn sent(&mut self, step: Step, from: Participant, to: Participant, bytes: &[u8]) {
        self.event(step, "leaves", from, bytes);
        self.capture(
            || CapturedDatagram { time: step.time, from, to, delivered: false, bytes: bytes.to_vec() },
            step,
        );
    }

    /// A datagram reaches a party.
    pub(super) fn received(&mut self, step: Step, from: Participant, to: Participant, bytes: &[u8]) {
        self.event(step, "reaches", to, bytes);
        self.capture(
            || CapturedDatagram { time: step.time, from, to, delivered: true, bytes: bytes.to_vec() },
            step,
        );
    }

    /// A mark for the auditor among the captured datagrams.
    pub(super) fn mark(&mut self, step: Step, text: &str) {
        let (from, to, bytes) = (Participant::Rig, Participant::Rig, text.as_bytes().to_vec());
        self.capture(|| CapturedDatagram { time: step.time, from, to, delivered: false, bytes }, step);
    }

    fn capture(&mut self, datagram: impl FnOnce() -> CapturedDatagram, step: Step) {
        if self.options.datagrams {
            self.steps.push(step.number);
            self.datagrams.push(datagram());
        }
    }

    /// No datagram is captured any more.
    pub(super) fn stop_capture(&mut self) {
        self.options.datagrams = false;
    }

    /// The step of the first datagram at or after a time.
    pub(super) fn step_at(&self, time: Moment) -> Option<u64> {
        let index = self.datagrams.partition_point(|datagram| datagram.time < time);
        self.steps.get(index).copied()
    }

    pub(super) fn checksum(&self) -> u32 {
        self.checksum.clone().finalize()
    }
}
