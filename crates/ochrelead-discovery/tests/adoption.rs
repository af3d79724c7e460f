//! Which candidates replace the fleet in force.

mod common;

use common::{endpoint, fleet_of, four_servers, moment};
use ochrelead_config::server_endpoint::ServerEndpoint;
use ochrelead_discovery::adoption::{Refusal, Verdict, evaluate};
use ochrelead_discovery::fleet::FileVersion;
use test_case::test_case;

fn names(verdict: &Verdict) -> Vec<&'static str> {
    match verdict {
        Verdict::Unchanged => vec!["same"],
        Verdict::Refused(refusal) => vec![refusal.name()],
        Verdict::Adopted(changes) => changes.iter().map(|change| change.kind.name()).collect(),
    }
}

#[test_case(12, |_| (), &["same"]; "nothing new")]
#[test_case(13, |_| (), &[]; "a new generation of the same")]
#[test_case(13, |s| s[0].draining = true, &["drained"]; "drained")]
#[test_case(13, |s| { s.pop(); }, &["removed"]; "removed")]
#[test_case(13, |s| s[0].weight = 2.0, &["reweighed"]; "reweighed")]
#[test_case(13, |s| { s.push(endpoint("s9", 9)); s[1].draining = true; s.remove(0); }, &["drained", "removed", "added"]; "what leaves comes first")]
#[test_case(13, |s| { let a = s[0].address; s[0].address = s[1].address; s[1].address = a; }, &["moved", "moved"]; "two swap addresses")]
#[test_case(13, |s| s[2].started = Some(moment(5)), &["restarted"]; "started anew")]
#[test_case(13, |s| s.truncate(1), &["held"]; "three of four leave")]
#[test_case(13, |s| s.truncate(2), &["removed", "removed"]; "half leave")]
#[test_case(13, |s| s.iter_mut().take(3).for_each(|p| p.draining = true), &["held"]; "three of four drain")]
#[test_case(12, |s| s[0].weight = 2.0, &["same_generation"]; "changed under the same generation")]
#[test_case(11, |s| s[0].weight = 2.0, &["older"]; "a generation that goes down by mistake")]
fn adoption(generation: u64, change: fn(&mut Vec<ServerEndpoint>), expected: &[&str]) {
    let mut servers = four_servers();
    change(&mut servers);
    let verdict = evaluate(&fleet_of(12, &four_servers()), &fleet_of(generation, &servers));
    assert_eq!(names(&verdict), expected, "{verdict:?}");
}

#[test_case(&["s2", "s3", "s4"], "adopted"; "all confirmed")]
#[test_case(&["s2", "s3"], "held"; "one not confirmed")]
fn confirmed(names: &[&str], expected: &str) {
    let mut candidate = fleet_of(13, &four_servers()[..1]);
    candidate.confirmed = names.iter().map(|name| (*name).to_owned()).collect();
    let verdict = evaluate(&fleet_of(12, &four_servers()), &candidate);
    assert_eq!(if matches!(verdict, Verdict::Adopted(_)) { "adopted" } else { "held" }, expected);
}

#[test_case(Some(12), true; "from the one in force")]
#[test_case(Some(11), false; "from another")]
#[test_case(None, false; "not marked")]
fn a_return_to_an_older_generation(returns_from: Option<u64>, adopted: bool) {
    let mut candidate = fleet_of(7, &four_servers()[..3]);
    candidate.files.insert("a".to_owned(), FileVersion { generation: 7, returns_from });
    let verdict = evaluate(&fleet_of(12, &four_servers()), &candidate);
    assert_eq!(matches!(verdict, Verdict::Adopted(_)), adopted, "{verdict:?}");
}

#[test]
fn a_file_that_is_gone_takes_nothing_with_it() {
    let mut in_force = fleet_of(12, &four_servers());
    in_force.files.insert("b".to_owned(), FileVersion { generation: 1, returns_from: None });
    let verdict = evaluate(&in_force, &fleet_of(13, &four_servers()[..3]));
    assert_eq!(verdict, Verdict::Refused(Refusal::FileMissing { file: "b".to_owned() }));
}

#[test]
fn lines_weigh_what_leaves() {
    let mut servers = four_servers();
    servers.iter_mut().for_each(|server| server.lines = 10);
    servers[0].lines = 100;
    let verdict = evaluate(&fleet_of(12, &servers), &fleet_of(13, &servers[1..]));
    let Verdict::Refused(Refusal::TooMuchLeaving { share, .. }) = verdict else { panic!("{verdict:?}") };
    assert!(share > 0.7, "{share}");
}
