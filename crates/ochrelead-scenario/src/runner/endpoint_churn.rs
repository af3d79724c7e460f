//! Rewrites endpoint files at a fixed interval, some of them with invalid content.

use std::fs;
use std::path::PathBuf;

use ochrelead_config::scenario::EndpointChurn;
use ochrelead_config::{document, schema};
use ochrelead_core::time::Moment;
use ochrelead_host::clock::Clock;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::relay::SharedRelay;
use super::{RunError, ScenarioRun};
use crate::harness_event::HarnessEvent;
use crate::participant::Participant;

/// The generation of the file with which each front starts.
const FIRST_GENERATION: u64 = 1;

/// The fault in an invalid file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Corruption {
    /// A server has the weight 0, which is not allowed.
    ZeroWeight,
    /// The file is truncated to this number of bytes modulo its length.
    Truncated(usize),
    /// The file ends with an unclosed message.
    UnclosedMessage,
}

impl Corruption {
    fn from_sample(sample: u32) -> Corruption {
        match sample % 3 {
            0 => Corruption::ZeroWeight,
            1 => Corruption::Truncated(sample as usize),
            _ => Corruption::UnclosedMessage,
        }
    }
}

/// One version of an endpoint file.
#[derive(Clone, Copy, Debug)]
struct Revision {
    generation: u64,
    /// The server that is marked as draining.
    draining: Option<usize>,
    corruption: Option<Corruption>,
}

/// The endpoint file of one front.
pub(super) struct EndpointFile {
    front: Participant,
    folder: PathBuf,
    servers: Vec<schema::Server>,
}

impl EndpointFile {
    /// Creates the folder for a front's endpoint file.
    pub(super) fn create(run: &ScenarioRun, front: Participant) -> Result<EndpointFile, RunError> {
        let folder = run.endpoint_folder(front);
        fs::create_dir_all(&folder).map_err(|error| RunError::in_file(&folder, error))?;
        let weights = run.scenario.churn.iter().flat_map(|churn| &churn.weights);
        let servers = weights.enumerate().map(|(server, weight)| schema::Server {
            weight: Some(*weight),
            ..run.server_entry(server, front)
        });
        Ok(EndpointFile { front, folder, servers: servers.collect() })
    }

    /// Writes the version that the front reads at its start.
    pub(super) fn write_first(&self) -> Result<(), RunError> {
        self.write(Revision { generation: FIRST_GENERATION, draining: None, corruption: None })
    }

    /// Writes a version: even generations in place, odd ones to a temporary file that is renamed.
    fn write(&self, revision: Revision) -> Result<(), RunError> {
        let text = self.text(revision);
        let file = self.folder.join("fleet.textproto");
        if revision.generation % 2 == 0 {
            return Ok(fs::write(file, text)?);
        }
        let temporary = self.folder.join(".next");
        fs::write(&temporary, text)?;
        Ok(fs::rename(temporary, file)?)
    }

    fn text(&self, revision: Revision) -> String {
        let Revision { generation, draining, corruption } = revision;
        let mut servers = self.servers.clone();
        if let Some(server) = draining.and_then(|server| servers.get_mut(server)) {
            server.draining = Some(true);
        }
        if corruption == Some(Corruption::ZeroWeight) {
            servers[0].weight = Some(0.0);
        }
        let fleet =
            schema::Fleet { generation: Some(generation), server: servers, ..schema::Fleet::default() };
        let mut text = document::to_text(&fleet, "Fleet");
        text.push_str(&format!("\nend: {generation}\n"));
        match corruption {
            Some(Corruption::Truncated(length)) => text.truncate(length % text.len()),
            Some(Corruption::UnclosedMessage) => text.push_str("server {"),
            Some(Corruption::ZeroWeight) | None => {}
        }
        text
    }
}

/// The task that rewrites the endpoint files of all fronts until the scenario ends.
pub(super) struct EndpointChurnTask {
    churn: EndpointChurn,
    files: Vec<EndpointFile>,
    relay: SharedRelay,
    clock: Clock,
    start: Moment,
    end: Moment,
    rng: Pcg64Mcg,
}

impl EndpointChurnTask {
    pub(super) fn new(
        run: &ScenarioRun,
        churn: EndpointChurn,
        relay: SharedRelay,
        clock: Clock,
        start: Moment,
    ) -> Result<EndpointChurnTask, RunError> {
        let files: Result<Vec<EndpointFile>, RunError> =
            run.fronts().map(|front| EndpointFile::create(run, front)).collect();
        let end = start + run.scenario.duration;
        let rng = Pcg64Mcg::seed_from_u64(run.scenario.seed);
        Ok(EndpointChurnTask { churn, files: files?, relay, clock, start, end, rng })
    }

    pub(super) async fn run(mut self) {
        let mut generation = FIRST_GENERATION;
        let mut next_rewrite = self.start;
        while next_rewrite < self.end {
            self.clock.timer(Some(next_rewrite)).await;
            next_rewrite = next_rewrite + self.churn.interval;
            generation += 1;
            self.rewrite(generation);
        }
    }

    /// Writes a generation of all files, and records each valid file in the capture.
    fn rewrite(&mut self, generation: u64) {
        let draining = self.draining_server();
        for file in &self.files {
            let is_invalid = self.rng.random::<f64>() < self.churn.broken_share;
            let sample = self.rng.random::<u32>();
            let corruption = is_invalid.then(|| Corruption::from_sample(sample));
            let mut written = file.write(Revision { generation, draining, corruption });
            let mut relay = self.relay.borrow_mut();
            if written.is_ok() && !is_invalid {
                let draining = draining.map(|server| server as u16);
                let event = HarnessEvent::EndpointFileWritten { front: file.front, draining };
                written = relay.record_event(self.clock.now(), event);
            }
            if let Err(error) = written {
                relay.set_error(error);
            }
        }
    }

    /// Returns the server that drains now. Phases of `drain_time` alternate: in odd phases the servers drain in turn,
    /// in even ones none does.
    fn draining_server(&self) -> Option<usize> {
        let elapsed = self.clock.now().since(self.start);
        let phase = (elapsed.micros() / self.churn.drain_time.micros()) as usize;
        (phase % 2 == 1).then_some(phase / 2 % self.churn.weights.len())
    }
}
