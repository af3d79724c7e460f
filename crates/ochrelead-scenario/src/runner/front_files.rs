//! The files of the fronts: configuration, state and endpoint list.

use std::fs;
use std::path::PathBuf;

use ochrelead_config::{document, schema};

use super::endpoint_churn::EndpointFile;
use super::{RunError, ScenarioRun};
use crate::participant::{Participant, front_name, server_name};

impl ScenarioRun {
    /// Returns a front's configuration file. The names of its other files derive from it.
    pub(super) fn front_config_file(&self, front: Participant) -> PathBuf {
        self.output.join(format!("front-{}.textproto", front.capture_address().ip().octets()[3]))
    }

    /// Returns the folder with a front's state.
    pub(super) fn front_state_folder(&self, front: Participant) -> PathBuf {
        self.front_config_file(front).with_extension("state")
    }

    /// Returns the folder with a front's endpoint file, which exists if the scenario rewrites endpoint files.
    pub(super) fn endpoint_folder(&self, front: Participant) -> PathBuf {
        self.front_config_file(front).with_extension("fleet")
    }

    /// Writes a front's configuration and first endpoint file, and removes the state of a previous run.
    pub(super) fn write_front_files(&self, front: Participant) -> Result<(), RunError> {
        if self.scenario.churn.is_some() {
            EndpointFile::create(self, front)?.write_first()?;
        }
        let state = self.front_state_folder(front);
        if state.exists() {
            fs::remove_dir_all(&state)?;
        }
        let config_file = self.front_config_file(front);
        let text = document::to_text(&self.front_config(front), "Front");
        fs::write(&config_file, text).map_err(|error| RunError::in_file(&config_file, error))
    }

    /// Returns a front's configuration. Without endpoint files it lists the servers at the relay's addresses.
    fn front_config(&self, front: Participant) -> schema::Front {
        let number = usize::from(front.capture_address().ip().octets()[3]) - 1;
        let servers = (0..self.scenario.servers.len()).map(|server| self.server_entry(server, front));
        schema::Front {
            name: Some(front_name(number)),
            listen: Some(self.network.listen_address(front).to_string()),
            server: if self.scenario.churn.is_some() { Vec::new() } else { servers.collect() },
            ..self.scenario.front_settings.clone()
        }
    }

    /// Returns the entry of a server in a front's files.
    pub(super) fn server_entry(&self, server: usize, front: Participant) -> schema::Server {
        let participant = Participant::Server(server as u16);
        schema::Server {
            name: Some(server_name(server)),
            address: Some(self.network.relay_address(participant, front).to_string()),
            number: Some(server as u32),
            dialled: Some(format!("{server:02}")),
            ..schema::Server::default()
        }
    }
}
