//! Runs a scenario in real time: starts a process for each participant, relays their datagrams through an emulated
//! network, captures each datagram, and injects the scripted faults.
//!
//! - `processes`: the running processes; `process_commands`: their command lines.
//! - `front_files`: the fronts' configurations; `endpoint_churn`: endpoint files that are rewritten at an interval.
//! - `relay`: the sockets between the processes, and the capture.
//! - `script`: the scripted actions on processes.

mod endpoint_churn;
mod error;
mod front_files;
mod process_commands;
mod processes;
mod relay;
mod script;

use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

use async_executor::LocalExecutor;
use futures_lite::future;
use ochrelead_config::scenario::Scenario;
use ochrelead_core::time::{Moment, Span};
use ochrelead_host::clock::Clock;

use crate::loopback::LoopbackNetwork;
use crate::participant::Participant;
use crate::policy::PolicyKind;
use endpoint_churn::EndpointChurnTask;
pub use error::RunError;
use processes::Processes;
use relay::Relay;
use script::ScriptPlayer;

/// The time from the start of the processes to the start of the scenario, within which all of them are ready.
const START_DELAY: Duration = Duration::from_millis(700);
/// The maximum number of fronts; each needs a distinct loopback address.
const MAX_FRONTS: usize = 200;

/// One run of a scenario with one policy.
pub struct ScenarioRun {
    /// The scenario.
    pub scenario: Scenario,
    /// The file that it was read from.
    pub scenario_file: PathBuf,
    /// The folder for the capture and the fronts' files.
    pub output: PathBuf,
    /// The addresses of the processes.
    pub network: LoopbackNetwork,
    /// The routing policy of the fronts.
    pub policy: PolicyKind,
}

impl ScenarioRun {
    /// Runs the scenario. Calls `on_progress` with the milliseconds since the scenario's start.
    ///
    /// # Errors
    ///
    /// If real processes can't run this scenario, one of them fails, or a file can't be written.
    pub fn run(&self, on_progress: impl Fn(u64)) -> Result<(), RunError> {
        self.check_supported()?;
        self.prepare_output()?;
        let clock = Clock::start();
        let start = clock.now() + Span::from_micros(START_DELAY.as_micros() as u64);
        for front in self.fronts() {
            self.write_front_files(front)?;
        }
        let relay = Relay::open(self, start)?;
        let mut processes = self.start_processes(start)?;
        let executor = LocalExecutor::new();
        relay::spawn_tasks(&executor, &relay, self.network, clock);
        if let Some(churn) = &self.scenario.churn {
            let task = EndpointChurnTask::new(self, churn.clone(), relay.clone(), clock, start)?;
            executor.spawn(task.run()).detach();
        }
        let mut player = ScriptPlayer { run: self, start, clock, relay: &relay, processes: &mut processes };
        let result = future::block_on(executor.run(player.play(on_progress)));
        processes.kill_all();
        drop(executor);
        relay::close(relay, result)
    }

    fn check_supported(&self) -> Result<(), RunError> {
        if self.scenario.fronts > MAX_FRONTS {
            return Err(RunError::TooManyFronts { limit: MAX_FRONTS });
        }
        match self.scenario.faults.iter().find(|fault| fault.kind.is_emulated_only()) {
            Some(fault) => Err(RunError::EmulatedOnly { fault: fault.kind.name() }),
            None => Ok(()),
        }
    }

    /// Creates the output folder, removes the event logs of a previous run, and copies the scenario into it.
    fn prepare_output(&self) -> Result<(), RunError> {
        fs::create_dir_all(&self.output).map_err(|error| RunError::in_file(&self.output, error))?;
        let event_logs = event_log_folder(&self.output);
        if event_logs.exists() {
            fs::remove_dir_all(&event_logs)?;
        }
        let scenario_copy = scenario_file(&self.output);
        if self.scenario_file != scenario_copy {
            fs::copy(&self.scenario_file, scenario_copy)?;
        }
        Ok(())
    }

    /// Starts the servers, then the fronts, then the gateway of the callers.
    fn start_processes(&self, start: Moment) -> Result<Processes, RunError> {
        let mut processes = Processes::default();
        for participant in self.servers().chain(self.fronts()).chain([Participant::Gateway]) {
            processes.start(participant, self.command(participant, start, false)?)?;
        }
        Ok(processes)
    }

    fn fronts(&self) -> impl Iterator<Item = Participant> + use<> {
        (0..self.scenario.fronts).map(|front| Participant::Front(front as u16))
    }

    fn servers(&self) -> impl Iterator<Item = Participant> + use<> {
        (0..self.scenario.servers.len()).map(|server| Participant::Server(server as u16))
    }
}

/// Returns the capture in the output folder of a run.
pub fn capture_file(output: &Path) -> PathBuf {
    output.join("capture.pcap")
}

/// Returns the copy of the scenario in the output folder of a run.
pub fn scenario_file(output: &Path) -> PathBuf {
    output.join("day.textproto")
}

/// Returns the folder of the fronts' event logs in the output folder of a run.
pub fn event_log_folder(output: &Path) -> PathBuf {
    output.join("records")
}
