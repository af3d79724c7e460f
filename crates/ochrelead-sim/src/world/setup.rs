//! Builds the participants of a scenario.

use std::net::SocketAddr;

use ochrelead_config::front_config::{self, FrontConfig};
use ochrelead_config::scenario::Scenario;
use ochrelead_config::{document, schema};
use ochrelead_core::controller::Controller;
use ochrelead_core::time::Moment;
use ochrelead_emulator::server::{Server, ServerConfig};
use ochrelead_host::call_policy::CallPolicy;
use ochrelead_scenario::baseline::{Baseline, BaselineKind};
use ochrelead_scenario::participant::server_name;
use ochrelead_scenario::policy::PolicyKind;

use super::{SCENARIO_DELAY, START_TIME, address, front, server};
use crate::error::InvalidDocument;

/// Returns the addresses of all fronts, by index.
pub(super) fn front_addresses(scenario: &Scenario) -> Vec<SocketAddr> {
    (0..scenario.fronts).map(|index| address(front(index))).collect()
}

/// Returns a front's configuration, parsed from the text of a configuration file.
pub(super) fn front_config(scenario: &Scenario, index: usize) -> Result<FrontConfig, InvalidDocument> {
    let servers = (0..scenario.servers.len()).map(|number| schema::Server {
        name: Some(server_name(number)),
        address: Some(address(server(number)).to_string()),
        number: Some(number as u32),
        dialled: Some(format!("{number:02}")),
        ..schema::Server::default()
    });
    let settings = schema::Front {
        name: Some(format!("f{index}.example")),
        listen: Some(address(front(index)).to_string()),
        server: servers.collect(),
        ..scenario.front_settings.clone()
    };
    let text = document::to_text(&settings, "Front");
    front_config::parse("front", &text).map_err(InvalidDocument::from)
}

/// Creates the call policy of a front whose clock shows `now`.
pub(super) fn call_policy(
    policy_kind: PolicyKind,
    config: &FrontConfig,
    now: Moment,
) -> Box<dyn CallPolicy + Send> {
    let controller = &config.controller;
    let target = controller.services.iter().map(|service| service.post_dial_target).max().unwrap_or_default();
    let baseline = |policy| Box::new(Baseline::new(policy, controller.resend_delay, target, controller.seed));
    match policy_kind {
        PolicyKind::Controller => Box::new(Controller::new(controller, now)),
        PolicyKind::Random => baseline(BaselineKind::Random),
        PolicyKind::Unbounded => baseline(BaselineKind::Unbounded),
    }
}

/// Creates an emulated server whose process starts at `now`; a restarted server is cold.
pub(super) fn emulated_server(scenario: &Scenario, index: usize, now: Moment, restarted: bool) -> Server {
    let config = ServerConfig {
        scenario,
        index,
        name: server_name(index),
        fronts: front_addresses(scenario),
        scenario_start: START_TIME + SCENARIO_DELAY,
        is_cold: restarted,
    };
    Server::new(config, now)
}
