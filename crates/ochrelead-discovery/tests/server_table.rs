//! The state of a server after changes of the list, its own reports and the restoration of persisted reports.

mod common;

use common::{endpoint, moment};
use ochrelead_config::server_endpoint::ServerEndpoint;
use ochrelead_core::types::EndpointState;
use ochrelead_discovery::server_table::{ListedServer, RestartMethod, SelfReport, ServerTable};
use test_case::test_case;

fn ready(started: Option<u64>) -> EndpointState {
    EndpointState::Ready { started: started.map(moment) }
}

#[test_case(&[RestartMethod::Graceful], &[EndpointState::Draining]; "graceful")]
#[test_case(&[RestartMethod::Forced, RestartMethod::Graceful], &[EndpointState::Gone]; "graceful after forced is ignored")]
#[test_case(&[RestartMethod::Graceful, RestartMethod::CancelGraceful], &[EndpointState::Draining, ready(None)]; "cancel-graceful ends a drain")]
#[test_case(&[RestartMethod::Forced, RestartMethod::CancelGraceful], &[EndpointState::Gone]; "cancel-graceful after forced is ignored")]
#[test_case(&[RestartMethod::Forced, RestartMethod::Restart], &[EndpointState::Gone, ready(Some(7))]; "restart after forced")]
#[test_case(&[RestartMethod::Disconnected], &[]; "disconnected changes nothing")]
fn reported_restart_methods_set_the_state(methods: &[RestartMethod], states: &[EndpointState]) {
    let mut table = ServerTable::default();
    table.replace_list(&[endpoint("s0", 1)], moment(0));
    let server = table.find_by_name("S0").unwrap();
    let reached: Vec<EndpointState> = methods
        .iter()
        .filter_map(|method| table.handle_restart(server, *method, moment(7)))
        .map(|effect| effect.update.state)
        .collect();
    assert_eq!(reached, states);
}

/// Arguments: the first list, a report of the server after it, the second list, and the resulting state.
#[test_case(|_| (), None, |_| (), ready(None); "no change")]
#[test_case(|_| (), None, |server| server.draining = true, EndpointState::Draining; "drained by the list")]
#[test_case(|server| server.draining = true, Some(RestartMethod::Restart), |server| server.draining = true, EndpointState::Draining; "restart does not end a drain by the list")]
#[test_case(|_| (), Some(RestartMethod::Graceful), |_| (), EndpointState::Draining; "unchanged list does not end a reported drain")]
#[test_case(|_| (), Some(RestartMethod::Forced), |server| server.weight = 2.0, EndpointState::Gone; "new weight does not bring back a server that is gone")]
#[test_case(|server| server.draining = true, Some(RestartMethod::Graceful), |_| (), ready(None); "drain ended by the list")]
#[test_case(|_| (), Some(RestartMethod::Forced), |server| server.address.set_port(99), ready(Some(50)); "new address means a new process")]
#[test_case(|_| (), Some(RestartMethod::Restart), |server| server.started = Some(moment(1)), ready(Some(7)); "older start in the list is ignored")]
#[test_case(|_| (), None, |server| server.started = Some(moment(40)), ready(Some(40)); "later start in the list")]
fn list_change_after_a_report_sets_the_state(
    first_change: fn(&mut ServerEndpoint),
    reported: Option<RestartMethod>,
    second_change: fn(&mut ServerEndpoint),
    expected: EndpointState,
) {
    let mut table = ServerTable::default();
    let listed = |change: fn(&mut ServerEndpoint)| {
        let mut endpoint = endpoint("s0", 1);
        change(&mut endpoint);
        endpoint
    };
    table.replace_list(&[listed(first_change)], moment(0));
    let server = table.find_by_name("s0").unwrap();
    if let Some(method) = reported {
        table.handle_restart(server, method, moment(7));
    }
    assert_eq!(table.replace_list(&[listed(second_change)], moment(50))[0].state, expected);
    assert_eq!(table.status().len(), 1);
}

#[test]
fn server_added_or_moved_in_a_running_fleet_counts_as_just_started() {
    let mut table = ServerTable::default();
    table.replace_list(&[endpoint("s0", 1), endpoint("s1", 2)], moment(0));
    let updates = table.replace_list(&[endpoint("s1", 9), endpoint("s2", 2)], moment(50));
    let states: Vec<EndpointState> = updates.iter().map(|update| update.state).collect();
    assert_eq!(states, [EndpointState::Gone, ready(Some(50)), ready(Some(50))]);
    assert_eq!(
        table.find_by_address(endpoint("", 9).address),
        table.find_by_name("s1"),
        "a moved server keeps its index"
    );
    assert_eq!(
        table.find_by_address(endpoint("", 2).address),
        table.find_by_name("s2"),
        "the address of a moved server maps to the server now listed there"
    );
    assert_eq!(
        table.find_by_address(endpoint("", 1).address),
        table.find_by_name("s0"),
        "the address of a removed server still maps to it"
    );
    assert_eq!(table.listed_servers().len(), 2);
}

#[test]
fn servers_that_swap_addresses_swap_their_process_starts() {
    let mut table = ServerTable::default();
    table.replace_list(
        &[endpoint("s0", 1), ServerEndpoint { started: Some(moment(3)), ..endpoint("s1", 2) }],
        moment(9),
    );
    let moved = |name, port| ServerEndpoint { number: 1, ..endpoint(name, port) };
    let updates = table.replace_list(&[moved("s0", 2), moved("s1", 1)], moment(50));
    assert_eq!([updates[0].state, updates[1].state], [ready(Some(3)), ready(None)]);
}

#[test]
fn drain_ended_and_repeated_within_100_ms_is_followed() {
    let mut table = ServerTable::default();
    let lists = [(0, false), (10, true), (50, false), (90, true)];
    let states = lists.map(|(ms, draining)| {
        table.replace_list(&[ServerEndpoint { draining, ..endpoint("s0", 1) }], moment(ms))[0].state
    });
    assert_eq!(states, [ready(None), EndpointState::Draining, ready(None), EndpointState::Draining]);
}

#[test]
fn persisted_report_is_restored_only_at_the_same_address() {
    let mut table = ServerTable::default();
    table.replace_list(&[endpoint("s0", 1), endpoint("s1", 2)], moment(0));
    let persisted = |name, port, self_report| ListedServer {
        endpoint: ServerEndpoint { started: Some(moment(3)), ..endpoint(name, port) },
        self_report,
    };
    let updates = table.restore_self_reports(&[
        persisted("s0", 1, SelfReport::Draining),
        persisted("s1", 77, SelfReport::Gone),
    ]);
    assert_eq!([updates[0].state, updates[1].state], [EndpointState::Draining, ready(None)]);
}
