//! Which candidate fleets are adopted, and with which changes.

mod common;

use common::{endpoint, fleet_of, four_servers, moment};
use ochrelead_config::server_endpoint::ServerEndpoint;
use ochrelead_discovery::adoption::{Refusal, Verdict, evaluate};
use ochrelead_discovery::fleet::FileVersion;
use test_case::test_case;

/// The names of the changes, or of the reason for no adoption.
fn outcome_names(verdict: &Verdict) -> Vec<&'static str> {
    match verdict {
        Verdict::Unchanged => vec!["unchanged"],
        Verdict::Refused(refusal) => vec![refusal.name()],
        Verdict::Adopted(changes) => changes.iter().map(|change| change.kind.name()).collect(),
    }
}

#[test_case(12, |_| (), &["unchanged"]; "same generation and servers")]
#[test_case(13, |_| (), &[]; "new generation with the same servers")]
#[test_case(13, |s| s[0].draining = true, &["drained"]; "one server drained")]
#[test_case(13, |s| { s.pop(); }, &["removed"]; "one server removed")]
#[test_case(13, |s| s[0].weight = 2.0, &["reweighed"]; "one weight changed")]
#[test_case(13, |s| { s.push(endpoint("s9", 9)); s[1].draining = true; s.remove(0); }, &["drained", "removed", "added"]; "drains and removals come before additions")]
#[test_case(13, |s| { let a = s[0].address; s[0].address = s[1].address; s[1].address = a; }, &["moved", "moved"]; "two servers swap addresses")]
#[test_case(13, |s| s[2].started = Some(moment(5)), &["restarted"]; "one server restarted")]
#[test_case(13, |s| s.truncate(1), &["held"]; "three of four removed")]
#[test_case(13, |s| s.truncate(2), &["removed", "removed"]; "two of four removed")]
#[test_case(13, |s| s.iter_mut().take(3).for_each(|server| server.draining = true), &["held"]; "three of four drained")]
#[test_case(12, |s| s[0].weight = 2.0, &["same_generation"]; "servers changed under the same generation")]
#[test_case(11, |s| s[0].weight = 2.0, &["older"]; "older generation without returns_from")]
fn candidate_is_adopted_with_changes_or_refused(
    generation: u64,
    change: fn(&mut Vec<ServerEndpoint>),
    expected: &[&str],
) {
    let mut servers = four_servers();
    change(&mut servers);
    let verdict = evaluate(&fleet_of(12, &four_servers()), &fleet_of(generation, &servers));
    assert_eq!(outcome_names(&verdict), expected, "{verdict:?}");
}

#[test_case(&["s2", "s3", "s4"], "adopted"; "all removed servers confirmed")]
#[test_case(&["s2", "s3"], "held"; "one removed server not confirmed")]
fn removal_of_most_servers_needs_their_confirmation(confirmed: &[&str], expected: &str) {
    let mut candidate = fleet_of(13, &four_servers()[..1]);
    candidate.confirmed = confirmed.iter().map(|name| (*name).to_owned()).collect();
    let verdict = evaluate(&fleet_of(12, &four_servers()), &candidate);
    assert_eq!(if matches!(verdict, Verdict::Adopted(_)) { "adopted" } else { "held" }, expected);
}

#[test_case(Some(12), true; "returns from the generation in force")]
#[test_case(Some(11), false; "returns from another generation")]
#[test_case(None, false; "no returns_from")]
fn return_to_an_older_generation_needs_returns_from(returns_from: Option<u64>, is_adopted: bool) {
    let mut candidate = fleet_of(7, &four_servers()[..3]);
    candidate.files.insert("a".to_owned(), FileVersion { generation: 7, returns_from });
    let verdict = evaluate(&fleet_of(12, &four_servers()), &candidate);
    assert_eq!(matches!(verdict, Verdict::Adopted(_)), is_adopted, "{verdict:?}");
}

#[test]
fn candidate_with_a_missing_file_is_refused() {
    let mut in_force = fleet_of(12, &four_servers());
    in_force.files.insert("b".to_owned(), FileVersion { generation: 1, returns_from: None });
    let verdict = evaluate(&in_force, &fleet_of(13, &four_servers()[..3]));
    assert_eq!(verdict, Verdict::Refused(Refusal::FileMissing { file: "b".to_owned() }));
}

#[test]
fn removed_capacity_is_counted_in_lines_if_known() {
    let mut servers = four_servers();
    servers.iter_mut().for_each(|server| server.lines = 10);
    servers[0].lines = 100;
    let verdict = evaluate(&fleet_of(12, &servers), &fleet_of(13, &servers[1..]));
    let Verdict::Refused(Refusal::TooMuchCapacityWithdrawn { share, .. }) = verdict else {
        panic!("{verdict:?}")
    };
    assert!(share > 0.7, "{share}");
}
