//! Files joined to a fleet: what is accepted, rejected and warned of.

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
fn a_file_cut_short_at_any_byte_is_refused_or_is_the_whole() {
    let whole = join(&[source_file("a", FLEET)]).unwrap();
    let mut refused = 0;
    for end in 0..FLEET.len() {
        match join(&[source_file("a", &FLEET[..end])]) {
            Ok(fleet) => assert_eq!(fleet, whole, "cut at {end}"),
            Err(_) => refused += 1,
        }
    }
    assert_eq!(refused, FLEET.len() - 1, "all but the one without the last line break");
}

#[test_case("weight: 2.5", "weight: 0", "a:3:", "weight is 0"; "weight zero")]
#[test_case("weight: 2.5", "weight: -1", "a:3:", "weight is -1"; "weight below zero")]
#[test_case("weight: 2.5", "weight: 1e308", "a:3:", "weight is"; "absurd weight")]
#[test_case("weight: 2.5", "weight: nan", "a:3:", "weight is NaN"; "no weight")]
#[test_case("lines: 100 weight", "line: 100 weight", "a:3:", "line"; "unknown field")]
#[test_case("number: 1", "number: 0", "a:4:", "number 0 is s0's too"; "same number")]
#[test_case("127.0.0.1:11", "127.0.0.1:10", "a:4:", "is s0's too"; "same address")]
#[test_case("\"check\"", "\"checks\"", "a:4:", "no service is named"; "unknown service")]
#[test_case("end: 12\n", "end: 11\n", "a:6:1", "end is 11, generation is 12"; "not finished")]
#[test_case("end: 12\n", "end: 12\nconfirm: \"s0\"\n", "a:6:1", "end is not the last field"; "something behind the end")]
#[test_case("generation: 12", "generation: 0", "a:2:1", "must be 1 or more"; "no generation")]
#[test_case("weight: 2.5", "draining: true", "a:1:1", "\"set\" is left without a server"; "service without a server")]
#[test_case("weight: 2.5", "told: \"gone\"", "a:3:", "for what a front keeps"; "what only a front says")]
fn refused(right: &str, wrong: &str, location: &str, what: &str) {
    let error = join(&[source_file("a", &FLEET.replacen(right, wrong, 1))]).unwrap_err();
    assert!(error.starts_with(location) && error.contains(what), "{error}");
}

const MORE: &str =
    r#"generation: 3 server { name: "s3" address: "127.0.0.1:13" number: 3 dialled: "03" } end: 3"#;

#[test_case(MORE, None; "two files are one fleet")]
#[test_case("generation: 3 server { name: \"s0\" address: \"127.0.0.1:10\" number: 0 dialled: \"00\" lines: 100 weight: 2.5 } end: 3", None; "the same said twice")]
#[test_case("generation: 3 server { name: \"s0\" address: \"127.0.0.1:10\" number: 0 dialled: \"00\" lines: 100 weight: 2 } end: 3", Some("b:1:15: s0 is said with other figures at a:3:1"); "with other figures")]
#[test_case("generation: 3 server { name: \"s9\" address: \"127.0.0.1:11\" number: 9 } end: 3", Some("s1's too, at a:4:1"); "on one address")]
#[test_case("", Some("b:1:1: empty"); "one is empty")]
fn several_files(other: &str, wrong: Option<&str>) {
    let read = join(&[source_file("a", FLEET), source_file("b", other)]);
    match wrong {
        None => assert_eq!(read.unwrap().files.len(), 2),
        Some(what) => assert!(read.as_ref().is_err_and(|error| error.contains(what)), "{read:?}"),
    }
}

#[test]
fn odd_fleets_are_warned_of() {
    let mut odd = fleet_of(1, &four_servers());
    odd.servers[0].weight = 0.01;
    odd.confirmed = vec!["s2".to_owned()];
    let warnings = fleet::warnings(&odd).iter().map(ToString::to_string).collect::<Vec<_>>().join("\n");
    assert!(
        warnings.contains("s1 has less than a hundredth") && warnings.contains("s2 is confirmed as leaving")
    );
    assert!(matches!(adoption::changes(&[], &four_servers())[0].kind, ChangeKind::Added));
}
