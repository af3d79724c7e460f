//! Who prevails where the list, a server's own report and the persisted state disagree.

mod common;

use common::{endpoint, moment};
use ochrelead_config::server_endpoint::ServerEndpoint;
use ochrelead_core::types::EndpointState;
use ochrelead_discovery::server_table::{ListedServer, RestartMethod, SelfReport, ServerTable};
use test_case::test_case;

fn ready(started: Option<u64>) -> EndpointState {
    EndpointState::Ready { started: started.map(moment) }
}

#[test_case(&[RestartMethod::Graceful], &[EndpointState::Draining]; "drains")]
#[test_case(&[RestartMethod::Forced, RestartMethod::Graceful], &[EndpointState::Gone]; "a drain told late does not bring it back")]
#[test_case(&[RestartMethod::Graceful, RestartMethod::CancelGraceful], &[EndpointState::Draining, ready(None)]; "back from a drain")]
#[test_case(&[RestartMethod::Forced, RestartMethod::CancelGraceful], &[EndpointState::Gone]; "gone is not back without a start")]
#[test_case(&[RestartMethod::Forced, RestartMethod::Restart], &[EndpointState::Gone, ready(Some(7))]; "started anew")]
#[test_case(&[RestartMethod::Disconnected], &[]; "disconnected changes nothing")]
fn a_servers_own_word(methods: &[RestartMethod], states: &[EndpointState]) {
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

/// A list, what the server then reports, and the list that comes after it.
#[test_case(|_| (), None, |_| (), ready(None); "nothing new")]
#[test_case(|_| (), None, |p| p.draining = true, EndpointState::Draining; "the list drains it")]
#[test_case(|p| p.draining = true, Some(RestartMethod::Restart), |p| p.draining = true, EndpointState::Draining; "a start does not undo the list's drain")]
#[test_case(|_| (), Some(RestartMethod::Graceful), |_| (), EndpointState::Draining; "the same list does not undo its own drain")]
#[test_case(|_| (), Some(RestartMethod::Forced), |p| p.weight = 2.0, EndpointState::Gone; "nor does a new weight")]
#[test_case(|p| p.draining = true, Some(RestartMethod::Graceful), |_| (), ready(None); "taken back by the operator")]
#[test_case(|_| (), Some(RestartMethod::Forced), |p| p.address.set_port(99), ready(Some(50)); "moved: another process")]
#[test_case(|_| (), Some(RestartMethod::Restart), |p| p.started = Some(moment(1)), ready(Some(7)); "an older start is no news")]
#[test_case(|_| (), None, |p| p.started = Some(moment(40)), ready(Some(40)); "a later start")]
fn who_wins(
    first: fn(&mut ServerEndpoint),
    reported: Option<RestartMethod>,
    then: fn(&mut ServerEndpoint),
    state: EndpointState,
) {
    let mut table = ServerTable::default();
    let listed = |change: fn(&mut ServerEndpoint)| {
        let mut endpoint = endpoint("s0", 1);
        change(&mut endpoint);
        endpoint
    };
    table.replace_list(&[listed(first)], moment(0));
    let server = table.find_by_name("s0").unwrap();
    if let Some(method) = reported {
        table.handle_restart(server, method, moment(7));
    }
    assert_eq!(table.replace_list(&[listed(then)], moment(50))[0].state, state);
    assert_eq!(table.status().len(), 1);
}

#[test]
fn a_new_server_of_a_running_fleet_is_taken_for_a_fresh_one() {
    let mut table = ServerTable::default();
    table.replace_list(&[endpoint("s0", 1), endpoint("s1", 2)], moment(0));
    let updates = table.replace_list(&[endpoint("s1", 9), endpoint("s2", 2)], moment(50));
    let states: Vec<EndpointState> = updates.iter().map(|update| update.state).collect();
    assert_eq!(states, [EndpointState::Gone, ready(Some(50)), ready(Some(50))]);
    assert_eq!(
        table.find_by_address(endpoint("", 9).address),
        table.find_by_name("s1"),
        "moved, with its index"
    );
    assert_eq!(table.find_by_address(endpoint("", 2).address), table.find_by_name("s2"), "taken over");
    assert_eq!(
        table.find_by_address(endpoint("", 1).address),
        table.find_by_name("s0"),
        "its late answers are still known"
    );
    assert_eq!(table.listed_servers().len(), 2);
}

#[test]
fn servers_that_swap_addresses_are_processes_that_were_running() {
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
fn a_drain_undone_and_done_again_within_a_tenth_of_a_second() {
    let mut table = ServerTable::default();
    let course = [(0, false), (10, true), (50, false), (90, true)];
    let states = course.map(|(ms, draining)| {
        table.replace_list(&[ServerEndpoint { draining, ..endpoint("s0", 1) }], moment(ms))[0].state
    });
    assert_eq!(states, [ready(None), EndpointState::Draining, ready(None), EndpointState::Draining]);
}

#[test]
fn what_was_kept_counts_for_the_same_process_only() {
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
