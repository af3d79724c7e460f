//! The running processes of a scenario.

use std::collections::BTreeMap;
use std::process::{Child, Command};

use rustix::process::{Pid, Signal, kill_process};

use super::RunError;
use crate::participant::Participant;

/// The running processes; they are killed on drop.
#[derive(Default)]
pub(super) struct Processes {
    running: BTreeMap<Participant, Child>,
}

impl Processes {
    pub(super) fn start(&mut self, participant: Participant, mut command: Command) -> Result<(), RunError> {
        let child = command.spawn().map_err(|source| RunError::Start { participant, source })?;
        self.running.insert(participant, child);
        Ok(())
    }

    pub(super) fn kill(&mut self, participant: Participant) -> Result<(), RunError> {
        if let Some(mut child) = self.running.remove(&participant) {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    pub(super) fn signal(&mut self, participant: Participant, signal: Signal) -> Result<(), RunError> {
        if let Some(child) = self.running.get(&participant)
            && let Some(pid) = Pid::from_raw(child.id() as i32)
        {
            kill_process(pid, signal)?;
        }
        Ok(())
    }

    pub(super) fn has_exited(&mut self, participant: Participant) -> bool {
        self.running.get_mut(&participant).is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Returns an error if a process has exited.
    pub(super) fn check_running(&mut self) -> Result<(), RunError> {
        for (participant, child) in &mut self.running {
            if let Some(status) = child.try_wait()? {
                return Err(RunError::ProcessEnded { participant: *participant, status });
            }
        }
        Ok(())
    }

    /// Kills all processes and waits until they have exited.
    pub(super) fn kill_all(&mut self) {
        for child in self.running.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        self.kill_all();
    }
}
