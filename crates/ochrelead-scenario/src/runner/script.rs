//! The scripted actions on the processes of a scenario.

use std::time::Duration;

use async_io::Timer;
use ochrelead_config::faults::{FaultKind, InjectedFault};
use ochrelead_core::time::{Moment, Span};
use ochrelead_host::clock::Clock;
use rustix::process::Signal;

use super::processes::Processes;
use super::relay::SharedRelay;
use super::{RunError, ScenarioRun};
use crate::harness_event::HarnessEvent;
use crate::participant::Participant;

/// The time for which a run continues after the scenario, so that the last calls get their answers.
const TAIL: Span = Span::from_secs(4);
/// The longest time between two checks of the processes.
const CHECK_INTERVAL: Span = Span::from_millis(200);
/// The interval at which the runner checks whether the fronts have exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The maximum number of these checks.
const EXIT_POLLS: usize = 100;

/// An action on a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProcessAction {
    Kill(Participant),
    Restart(Participant),
    Suspend(Participant),
    Resume(Participant),
}

/// Returns all actions of a scenario that starts at `start`, in order of time.
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

/// Returns the actions on the target's process when a fault begins and ends; `None` if the fault does not affect
/// processes.
fn fault_actions(kind: FaultKind, target: u16) -> Option<(ProcessAction, ProcessAction)> {
    let (front, server) = (Participant::Front(target), Participant::Server(target));
    match kind {
        FaultKind::FrontKilled => Some((ProcessAction::Kill(front), ProcessAction::Restart(front))),
        FaultKind::FrontStall => Some((ProcessAction::Suspend(front), ProcessAction::Resume(front))),
        FaultKind::Crash => Some((ProcessAction::Kill(server), ProcessAction::Restart(server))),
        _ => None,
    }
}

/// Executes the script of a run.
pub(super) struct ScriptPlayer<'a> {
    pub(super) run: &'a ScenarioRun,
    pub(super) start: Moment,
    pub(super) clock: Clock,
    pub(super) relay: &'a SharedRelay,
    pub(super) processes: &'a mut Processes,
}

impl ScriptPlayer<'_> {
    /// Executes the script to its end, and stops the fronts. Calls `on_progress` with the milliseconds since the
    /// start.
    pub(super) async fn play(&mut self, on_progress: impl Fn(u64)) -> Result<(), RunError> {
        self.record(HarnessEvent::ScenarioStart(self.start))?;
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
        self.record(HarnessEvent::ScenarioEnd)?;
        self.stop_fronts().await
    }

    fn perform(&mut self, action: ProcessAction) -> Result<(), RunError> {
        match action {
            ProcessAction::Kill(participant) => {
                self.processes.kill(participant)?;
                self.record(HarnessEvent::Killed(participant))
            }
            ProcessAction::Restart(participant) => {
                self.record(HarnessEvent::Restarted(participant))?;
                self.processes.start(participant, self.run.command(participant, self.start, true)?)
            }
            ProcessAction::Suspend(participant) => {
                self.record(HarnessEvent::Suspended(participant))?;
                self.processes.signal(participant, Signal::STOP)
            }
            ProcessAction::Resume(participant) => {
                self.processes.signal(participant, Signal::CONT)?;
                self.record(HarnessEvent::Resumed(participant))
            }
        }
    }

    fn record(&self, event: HarnessEvent) -> Result<(), RunError> {
        self.relay.borrow_mut().record_event(self.clock.now(), event)
    }

    /// Stops the fronts with SIGTERM, and waits for up to [`EXIT_POLLS`] checks until they have exited. The tail
    /// after the scenario gives them time to answer the last calls first.
    async fn stop_fronts(&mut self) -> Result<(), RunError> {
        for front in self.run.fronts() {
            self.processes.signal(front, Signal::TERM)?;
        }
        for _ in 0..EXIT_POLLS {
            if self.run.fronts().all(|front| self.processes.has_exited(front)) {
                break;
            }
            Timer::after(EXIT_POLL_INTERVAL).await;
        }
        Ok(())
    }
}
