//! Joining of fleet files: accepted files, rejected files and warnings.

mod common;

use common::{fleet_of, four_servers, join, source_file};
use ochrelead_discovery::adoption::{self, ChangeKind};
use ochrelead_discovery::fleet;
use test_case::test_case;

const FLEET: &str = r#"# Norte
generation: 12
server { name: "s0" address: "127.0.0.1:10" number: 0 dialled: "00" lines: 100 weight: 2.5 }
server { name: "s1" address: "127.0.0.1:11" number: 1 dialled: "01" lines: 100 service: "check" }
server { name: "s2" address: "127.0.0.1:12" number: 2 dialled: "02" lines: 100 draining: true }
end: 12
"#;

#[test]
fn file_truncated_at_any_byte_is_rejected_or_equals_the_whole_file() {
    let whole = join(&[source_file("a", FLEET)]).unwrap();
    let mut rejected = 0;
    for end in 0..FLEET.len() {
        match join(&[source_file("a", &FLEET[..end])]) {
            Ok(fleet) => assert_eq!(fleet, whole, "truncated at byte {end}"),
            Err(_) => rejected += 1,
        }
    }
    assert_eq!(rejected, FLEET.len() - 1, "all truncations are rejected but the one of the last line break");
}

#[test_case("weight: 2.5", "weight: 0", "a:3:", "weight is 0"; "weight zero")]
#[test_case("weight: 2.5", "weight: -1", "a:3:", "weight is -1"; "negative weight")]
#[test_case("weight: 2.5", "weight: 1e308", "a:3:", "weight is"; "weight above the maximum")]
#[test_case("weight: 2.5", "weight: nan", "a:3:", "weight is NaN"; "weight that is not a number")]
#[test_case("lines: 100 weight", "line: 100 weight", "a:3:", "line"; "unknown field")]
#[test_case("number: 1", "number: 0", "a:4:", "number 0 is already used by s0"; "number used twice")]
#[test_case("127.0.0.1:11", "127.0.0.1:10", "a:4:", "address 127.0.0.1:10 is already used by s0"; "address used twice")]
#[test_case("\"check\"", "\"checks\"", "a:4:", "unknown service \"checks\"; the configured services are: check, set"; "unknown service")]
#[test_case("end: 12\n", "end: 11\n", "a:6:1", "end is 11, generation is 12"; "end of another generation")]
#[test_case("end: 12\n", "end: 12\nconfirm: \"s0\"\n", "a:6:1", "end is not the last field"; "field after the end")]
#[test_case("generation: 12", "generation: 0", "a:2:1", "must be 1 or more"; "generation zero")]
#[test_case("weight: 2.5", "draining: true", "a:1:1", "service \"set\" has no ready server"; "service without a ready server")]
#[test_case("weight: 2.5", "told: \"gone\"", "a:3:", "told is only valid in the state file of a front"; "field of the state file")]
fn invalid_file_is_rejected_with_its_location(valid: &str, invalid: &str, location: &str, message: &str) {
    let error = join(&[source_file("a", &FLEET.replacen(valid, invalid, 1))]).unwrap_err();
    assert!(error.starts_with(location) && error.contains(message), "{error}");
}

const SECOND_FILE: &str =
    r#"generation: 3 server { name: "s3" address: "127.0.0.1:13" number: 3 dialled: "03" } end: 3"#;

#[test_case(SECOND_FILE, None; "files with different servers")]
#[test_case("generation: 3 server { name: \"s0\" address: \"127.0.0.1:10\" number: 0 dialled: \"00\" lines: 100 weight: 2.5 } end: 3", None; "server listed twice with equal values")]
#[test_case("generation: 3 server { name: \"s0\" address: \"127.0.0.1:10\" number: 0 dialled: \"00\" lines: 100 weight: 2 } end: 3", Some("b:1:15: s0 is listed with different values at a:3:1"); "server listed twice with different values")]
#[test_case("generation: 3 server { name: \"s9\" address: \"127.0.0.1:11\" number: 9 } end: 3", Some("already used by s1 at a:4:1"); "address used in both files")]
#[test_case("", Some("b:1:1: empty"); "empty file")]
fn second_file_is_joined_or_rejected(second: &str, expected_error: Option<&str>) {
    let joined = join(&[source_file("a", FLEET), source_file("b", second)]);
    match expected_error {
        None => assert_eq!(joined.unwrap().files.len(), 2),
        Some(message) => assert!(joined.as_ref().is_err_and(|error| error.contains(message)), "{joined:?}"),
    }
}

#[test]
fn negligible_weight_and_confirmed_ready_server_are_warned_of() {
    let mut fleet = fleet_of(1, &four_servers());
    fleet.servers[0].weight = 0.01;
    fleet.confirmed = vec!["s2".to_owned()];
    let warnings = fleet::warnings(&fleet).iter().map(ToString::to_string).collect::<Vec<_>>().join("\n");
    assert!(
        warnings.contains("s1 has less than a hundredth") && warnings.contains("s2 is confirmed as leaving")
    );
    assert!(matches!(adoption::changes(&[], &four_servers())[0].kind, ChangeKind::Added));
}
