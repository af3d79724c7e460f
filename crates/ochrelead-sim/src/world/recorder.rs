//! Records a simulation: the captured datagrams, the trace, and a checksum over all events.

use std::fmt::Write;

use ochrelead_core::time::Moment;
use ochrelead_scenario::capture::CapturedDatagram;
use ochrelead_scenario::participant::Participant;

use super::{RecordingOptions, START_TIME};

/// One step of a simulation.
#[derive(Clone, Copy, Debug)]
pub(super) struct Step {
    /// The number of the step, from 1; 0 before the first step.
    pub(super) number: u64,
    /// Simulated time of the step.
    pub(super) time: Moment,
}

/// Records what the options select. The checksum always covers all events.
pub(super) struct Recorder {
    options: RecordingOptions,
    pub(super) datagrams: Vec<CapturedDatagram>,
    /// The step number of each captured datagram.
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

    /// Adds an event to the checksum and the trace: its name, the participant, and the datagram (empty if none).
    pub(super) fn event(&mut self, step: Step, name: &str, participant: Participant, bytes: &[u8]) {
        let participant = format!("{participant:?}");
        self.checksum.update(&step.time.micros().to_le_bytes());
        self.checksum.update(name.as_bytes());
        self.checksum.update(participant.as_bytes());
        self.checksum.update(bytes);
        if self.options.trace {
            let us = step.time.since(START_TIME).micros();
            let text = String::from_utf8_lossy(bytes);
            let first_line = text.lines().next().unwrap_or("");
            let datagram_checksum = crc32fast::hash(bytes);
            // Writing to a string can't fail.
            let _ = writeln!(
                self.trace,
                "{} {us} {name} {participant} {datagram_checksum:08x} {first_line}",
                step.number
            );
        }
    }

    /// Records a datagram that a participant sends.
    pub(super) fn sent(&mut self, step: Step, from: Participant, to: Participant, bytes: &[u8]) {
        self.event(step, "leaves", from, bytes);
        self.capture(
            || CapturedDatagram { time: step.time, from, to, delivered: false, bytes: bytes.to_vec() },
            step,
        );
    }

    /// Records a datagram that is delivered to a participant.
    pub(super) fn received(&mut self, step: Step, from: Participant, to: Participant, bytes: &[u8]) {
        self.event(step, "reaches", to, bytes);
        self.capture(
            || CapturedDatagram { time: step.time, from, to, delivered: true, bytes: bytes.to_vec() },
            step,
        );
    }

    /// Inserts a mark for the auditor into the captured datagrams.
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

    /// Stops the capture of datagrams. Trace and checksum continue.
    pub(super) fn stop_capture(&mut self) {
        self.options.datagrams = false;
    }

    /// Returns the step of the first datagram captured at or after `time`.
    pub(super) fn step_at(&self, time: Moment) -> Option<u64> {
        let index = self.datagrams.partition_point(|datagram| datagram.time < time);
        self.steps.get(index).copied()
    }

    pub(super) fn checksum(&self) -> u32 {
        self.checksum.clone().finalize()
    }
}
