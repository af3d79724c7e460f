//! The command lines of the processes: each runs this program as one participant.

use std::process::{Command, Stdio};

use ochrelead_core::time::Moment;

use super::{RunError, ScenarioRun, event_log_folder};
use crate::participant::Participant;

impl ScenarioRun {
    /// Returns the command that runs a participant; `restarted` is true if it replaces a process that was killed.
    pub(super) fn command(
        &self,
        participant: Participant,
        start: Moment,
        restarted: bool,
    ) -> Result<Command, RunError> {
        let mut command = Command::new(std::env::current_exe()?);
        command.arg("process");
        match participant {
            Participant::Front(number) => self.add_front_arguments(&mut command, number, restarted),
            Participant::Server(number) => {
                command.arg("server");
                self.add_emulator_arguments(&mut command, participant, start);
                command.args(["--number", &number.to_string()]);
                if restarted {
                    command.arg("--restarted");
                }
            }
            Participant::Gateway => {
                command.arg("callers");
                self.add_emulator_arguments(&mut command, participant, start);
            }
            Participant::Rig => return Err(RunError::HarnessHasNoProcess),
        }
        command.stdin(Stdio::null());
        Ok(command)
    }

    fn add_front_arguments(&self, command: &mut Command, number: u16, restarted: bool) {
        let front = Participant::Front(number);
        let seed = self.scenario.seed ^ (u64::from(number) << 32) ^ u64::from(restarted);
        command.args(["front", "--settings"]).arg(self.front_config_file(front));
        command.arg("--records").arg(event_log_folder(&self.output));
        command.arg("--state").arg(self.front_state_folder(front));
        if self.scenario.churn.is_some() {
            command.arg("--fleet").arg(self.endpoint_folder(front));
        }
        command.args(["--policy", self.policy.name(), "--seed", &seed.to_string()]);
    }

    fn add_emulator_arguments(&self, command: &mut Command, participant: Participant, start: Moment) {
        command.arg("--day").arg(&self.scenario_file);
        command.args(["--listen", &self.network.listen_address(participant).to_string()]);
        command.args(["--start-us", &start.micros().to_string()]);
        for front in self.fronts() {
            command.args(["--front", &self.network.relay_address(front, participant).to_string()]);
        }
    }
}
