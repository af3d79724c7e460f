//! The output of a front: log lines, the event log, the persisted endpoints, the status and the counters.

use std::io;

use ochrelead_core::time::{Moment, Span};
use ochrelead_discovery::persistence::{FileGeneration, PersistedEndpoints};
use ochrelead_discovery::reloader::EndpointReloader;
use ochrelead_event_log::schema::event::What;
use ochrelead_event_log::writer::{Bounds, Recorder};
use ochrelead_host::clock::Clock;
use tracing::{info, warn};

use super::FrontPaths;
use crate::engine::Engine;
use crate::event_recording;
use crate::events::{EngineEvent, SessionStep};
use crate::state_writer::StateWriter;

/// A stall of the front is recorded if a status is written later than due by more than this.
const STALL_THRESHOLD: Span = Span::from_millis(250);
/// The minimal interval between two flushes of the event log, if the event loop runs; each status flushes it too.
const FLUSH_INTERVAL: Span = Span::from_millis(200);
/// The interval at which the status is written.
const STATUS_INTERVAL: Span = Span::from_secs(1);

/// The writers of a front; a writer exists if its folder is given.
pub(super) struct Output {
    state_writer: Option<StateWriter>,
    event_log: Option<Recorder>,
    clock: Clock,
    next_status: Moment,
    next_flush: Moment,
    /// Whether a stall was recorded since the last status.
    has_stalled: bool,
}

impl Output {
    /// Starts the writers, and records the start.
    ///
    /// # Errors
    ///
    /// If a folder can't be created or a thread can't be started.
    pub(super) fn start(paths: &FrontPaths, name: &str, clock: Clock) -> io::Result<Output> {
        let state_writer = paths.state.as_deref().map(StateWriter::start).transpose()?;
        let event_log = paths.event_log.as_deref().map(|folder| {
            let on_error = |error| warn!(%error, "event log can't be written");
            Recorder::start(folder, name, clock.now().micros(), Bounds::default(), on_error)
        });
        let now = clock.now();
        let mut output = Output {
            state_writer,
            event_log: event_log.transpose()?,
            clock,
            next_status: now,
            next_flush: now,
            has_stalled: false,
        };
        output.record_lifecycle("start");
        Ok(output)
    }

    /// Records a step of the process's lifecycle: `start`, `drain` or `stop`.
    pub(super) fn record_lifecycle(&mut self, step: &str) {
        self.record(What::Life(step.to_owned()));
    }

    fn record(&mut self, what: What) {
        if let Some(event_log) = &mut self.event_log {
            event_log.record(self.clock.now().micros(), what);
        }
    }

    /// Logs and records an event of the engine.
    pub(super) fn write_event(&mut self, event: EngineEvent, reloader: Option<&EndpointReloader>) {
        if self.event_log.is_some() {
            let generation = reloader.map_or(0, |reloader| reloader.in_force().generation());
            if let Some(record) = event_recording::to_record(&event, generation) {
                self.record(record);
            }
        }
        match event {
            EngineEvent::Session { attempt, step } => log_step(&attempt, step),
            EngineEvent::ServerRestart { name, state } => info!(server = name, state, "server restart"),
            EngineEvent::Lines { .. } => {}
            EngineEvent::Stalled(span) => {
                self.has_stalled = true;
                warn!(ms = span.micros() / 1_000, "front stalled");
            }
            EngineEvent::MessageIgnored { from, reason } => warn!(from, reason, "message ignored"),
            EngineEvent::EndpointsChanged(servers) if servers.is_empty() => {}
            EngineEvent::EndpointsChanged(servers) => {
                let files = reloader.map(|reloader| &reloader.in_force().files).into_iter().flatten();
                let files = files
                    .map(|(name, version)| FileGeneration {
                        name: name.clone(),
                        generation: version.generation,
                    })
                    .collect();
                if let Some(state_writer) = &self.state_writer {
                    state_writer.write_endpoints(PersistedEndpoints { files, servers });
                }
            }
        }
    }

    /// Writes the status and the counters if they are due, and flushes the event log.
    pub(super) fn write_status(&mut self, now: Moment, engine: &Engine, reloader: Option<&EndpointReloader>) {
        if now >= self.next_flush {
            self.flush(now);
        }
        if now < self.next_status {
            return;
        }
        // If the engine has not reported the stall, the late status is its only sign.
        let late = now.since(self.next_status);
        if late > STALL_THRESHOLD && !self.has_stalled {
            self.record(What::PausedUs(late.micros()));
        }
        self.has_stalled = false;
        self.next_status = now + STATUS_INTERVAL;
        if self.event_log.is_some() {
            for report in engine.server_reports() {
                self.record(event_recording::server_record(report));
            }
        }
        if let Some(event_log) = &mut self.event_log {
            event_log.flush();
        }
        if let Some(state_writer) = &self.state_writer {
            let counters = reloader.map_or(String::new(), |reloader| counters_text(now, reloader));
            state_writer.write_status(status_text(now, engine, reloader), counters);
        }
    }

    fn flush(&mut self, now: Moment) {
        if let Some(event_log) = &mut self.event_log {
            self.next_flush = now + FLUSH_INTERVAL;
            event_log.flush();
        }
    }

    /// When the next status is due.
    pub(super) fn poll_timeout(&self) -> Option<Moment> {
        (self.state_writer.is_some() || self.event_log.is_some()).then_some(self.next_status)
    }

    /// Records the stop, and waits until the state has been written.
    pub(super) fn close(mut self) {
        self.record_lifecycle("stop");
        if let Some(state_writer) = self.state_writer {
            state_writer.close();
        }
    }
}

fn status_text(now: Moment, engine: &Engine, reloader: Option<&EndpointReloader>) -> String {
    let load = engine.load();
    let mut status = format!(
        "written_us: {}\nsessions held: {}, commands open: {}\n",
        now.micros(),
        load.sessions,
        load.open_commands
    );
    if let Some(reloader) = reloader {
        let generation = reloader.in_force().generation();
        let age = reloader.age(now).map_or("kept from before".to_owned(), |age| {
            format!("adopted {} s ago", age.micros() / 1_000_000)
        });
        status.push_str(&format!("fleet generation {generation}, {age}\n"));
    }
    for line in engine.status() {
        status.push_str(&line);
        status.push('\n');
    }
    status
}

fn counters_text(now: Moment, reloader: &EndpointReloader) -> String {
    reloader.counters().to_prometheus(reloader.in_force().generation(), reloader.age(now))
}

fn log_step(attempt: &str, step: SessionStep) {
    match step {
        SessionStep::Accepted { called_number, .. } => info!(attempt, called_number, "session accepted"),
        SessionStep::Invited { server, attempt: sequence, reason } => {
            info!(attempt, server, sequence, ?reason, "INVITE sent");
        }
        SessionStep::InviteEnded { server, outcome, .. } => info!(attempt, server, ?outcome, "INVITE ended"),
        SessionStep::Established { server, .. } => info!(attempt, server, "call established"),
        SessionStep::Rejected { cause, refused, retry_after_ms } => {
            info!(attempt, ?cause, refused, retry_after_ms, "session rejected");
        }
        SessionStep::CallerGone { .. } => info!(attempt, "caller hung up"),
        SessionStep::CutByServer { server } => info!(attempt, server, "call cut by server"),
        SessionStep::Released { server, confirmed } => info!(attempt, server, confirmed, "call released"),
        SessionStep::UnclaimedCallReleased { server } => info!(attempt, server, "unclaimed call released"),
    }
}
