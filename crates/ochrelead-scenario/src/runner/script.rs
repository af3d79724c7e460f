//! What happens to processes in a scenario, and when.

use std::time::Duration;

use async_io::Timer;
use ochrelead_config::faults::{FaultKind, InjectedFault};
use ochrelead_core::time::{Moment, Span};
use ochrelead_host::clock::Clock;
use rustix::process::Signal;

use super::processes::Processes;
use super::relay::SharedRelay;
use super::{RunError, ScenarioRun};
use crate::participant::Participant;
use crate::rig_event::RigEvent;

/// A run goes on so long after its scenario, until the last calls have their answers.
const TAIL: Span = Span::from_secs(4);
/// The processes are checked at least so often.
const CHECK_INTERVAL: Span = Span::from_millis(200);
/// How often it is looked whether the fronts have ended.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How many times that is done.
const EXIT_POLLS: usize = 100;

/// What is done to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProcessAction {
    Kill(Participant),
    Restart(Participant),
    Suspend(Participant),
    Resume(Participant),
}

/// All actions of a scenario that began at `start`, in order.
fn process_actions(faults: &[InjectedFault], start: Moment) -> Vec<(Moment, ProcessAction)> {
    let mut actions = Vec::new();
    for fault in faults {
        let begin = start + fault.start;
        let end = begin + fault.duration;
        for target in &fault.targets {
            if let Some((first, last)) = fault_actions(fault.kind, *target as u16) {
                actions.extend([(begin, first), (end, last)]);
            }
        }
    }
    actions.sort_by_key(|(moment, _)| *moment);
    actions
}

/// What a fault does to its target's process when it begins and when it ends, if anything.
fn fault_actions(kind: FaultKind, target: u16) -> Option<(ProcessAction, ProcessAction)> {
    let (front, server) = (Participant::Front(target), Participant::Server(target));
    match kind {
        FaultKind::FrontKilled => Some((ProcessAction::Kill(front), ProcessAction::Restart(front))),
        FaultKind::FrontStall => Some((ProcessAction::Suspend(front), ProcessAction::Resume(front))),
        FaultKind::Crash => Some((ProcessAction::Kill(server), ProcessAction::Restart(server))),
        _ => None,
    }
}

/// Follows the script of a run.
pub(super) struct ScriptPlayer<'a> {
    pub(super) run: &'a ScenarioRun,
    pub(super) start: Moment,
    pub(super) clock: Clock,
    pub(super) relay: &'a SharedRelay,
    pub(super) processes: &'a mut Processes,
}

impl ScriptPlayer<'_> {
    /// Plays the script to its end, and stops the fronts. `on_progress` gets the milliseconds that have passed.
    pub(super) async fn play(&mut self, on_progress: impl Fn(u64)) -> Result<(), RunError> {
        self.record(RigEvent::ScenarioStart(self.start))?;
        let end = self.start + self.run.scenario.duration + TAIL;
        let mut actions = process_actions(&self.run.scenario.faults, self.start).into_iter().peekable();
        while self.clock.now() < end {
            let next_action = actions.peek().map_or(end, |(moment, _)| *moment);
            self.clock.timer(Some(next_action.min(self.clock.now() + CHECK_INTERVAL))).await;
            on_progress(self.clock.now().since(self.start).micros() / 1_000);
            if let Some(error) = self.relay.borrow_mut().take_error() {
                return Err(error);
            }
            while let Some((_, action)) = actions.next_if(|(moment, _)| *moment <= self.clock.now()) {
                self.perform(action)?;
            }
            self.processes.check_running()?;
        }
        self.record(RigEvent::ScenarioEnd)?;
        self.stop_fronts().await
    }

    fn perform(&mut self, action: ProcessAction) -> Result<(), RunError> {
        match action {
            ProcessAction::Kill(participant) => {
                self.processes.kill(participant)?;
                self.record(RigEvent::Killed(participant))
            }
            ProcessAction::Restart(participant) => {
                self.record(RigEvent::Restarted(participant))?;
                self.processes.start(participant, self.run.command(participant, self.start, true)?)
            }
            ProcessAction::Suspend(participant) => {
                self.record(RigEvent::Suspended(participant))?;
                self.processes.signal(participant, Signal::STOP)
            }
            ProcessAction::Resume(participant) => {
                self.processes.signal(participant, Signal::CONT)?;
                self.record(RigEvent::Resumed(participant))
            }
        }
    }

    fn record(&self, event: RigEvent) -> Result<(), RunError> {
        self.relay.borrow_mut().record_event(self.clock.now(), event)
    }

    /// Stops the fronts by SIGTERM, when they owe no answer any more, and waits a while for their ends.
    async fn stop_fronts(&mut self) -> Result<(), RunError> {
        for front in self.run.fronts() {
            self.processes.signal(front, Signal::TERM)?;
        }
        for _ in 0..EXIT_POLLS {
            if self.run.fronts().all(|front| self.processes.has_ended(front)) {
                break;
            }
            Timer::after(EXIT_POLL_INTERVAL).await;
        }
        Ok(())
    }
}
