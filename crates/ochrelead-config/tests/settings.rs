//! Tests the parsing of settings and scenarios, and the position and text of their diagnostics.

use ochrelead_config::numbering_plan::ResolvedNumber;
use ochrelead_config::{front_config, scenario};
use ochrelead_core::index::ServiceIx;
use test_case::test_case;

const FRONT: &str = r#"# a front
name: "f1.norte"
listen: "127.0.0.1:2727"
fronts: 7
release_wait_ms: 200
service { name: "check" dialled: "1" value: 1 post_dial_target_ms: 1500 timer_limit_ms: 9000 }
service { name: "set" dialled: "2" value: 3 post_dial_target_ms: 1500 timer_limit_ms: 9000 }
member { name: "norte" trunk: "norte" quota_per_s: 18 }
server { name: "s0.line" address: "127.0.0.1:2427" number: 4 dialled: "00" }
server { name: "s1.line" address: "127.0.0.1:2428" number: 5 dialled: "01" }
"#;

#[test_case("1004711", Some((0, 4)); "first service and first server")]
#[test_case("2014711", Some((1, 5)); "second service and second server")]
#[test_case("2994711", Some((1, -1)); "server digits not listed")]
#[test_case("3004711", None; "service digits not listed")]
#[test_case("1a", None; "not only digits")]
#[test_case("", None; "empty number")]
fn called_numbers_are_resolved(digits: &str, expected: Option<(usize, i64)>) {
    let front = front_config::parse("front", FRONT).unwrap();
    let expected = expected
        .map(|(service, destination)| ResolvedNumber { service: ServiceIx::new(service), destination });
    assert_eq!(front.numbering_plan.resolve(digits), expected);
}

#[test_case("fronts: 7", "fronts: 0", 4, "fronts is 0; it must be from 1 to 100000"; "zero fronts")]
#[test_case("fronts: 7", "fronts: \"7\"", 4, "expected"; "wrong type")]
#[test_case("fronts: 7", "front: 7", 4, "front"; "unknown field")]
#[test_case("release_wait_ms: 200", "release_wait_ms: 200 answer_margin_ms: 9000", 5, "less than the shortest timer_limit_ms, 9000"; "answer margin not below the timer limit")]
#[test_case("release_wait_ms: 200", "", 1, "release_wait_ms is missing"; "required field missing")]
#[test_case("number: 5", "number: 4", 10, "number 4 is s0.line's too"; "same number")]
#[test_case("127.0.0.1:2428", "127.0.0.1:2427", 10, "is s0.line's too"; "same address")]
#[test_case("127.0.0.1:2428", "here", 10, "it must be like 127.0.0.1:2727"; "invalid address")]
#[test_case("dialled: \"2\"", "dialled: \"12\"", 7, "must not overlap the digits \"1\" of service \"check\""; "overlapping service digits")]
#[test_case("value: 3", "value: nan", 7, "value is NaN"; "value is NaN")]
#[test_case("value: 3 post_dial_target_ms: 1500", "value: 3 post_dial_target_ms: 9001", 7, "must be from 1 to timer_limit_ms"; "target above the timer limit")]
#[test_case("value: 3", "", 7, "value is missing"; "required field of a service missing")]
#[test_case("trunk: \"norte\"", "trunk: \"a/b\"", 8, "one term"; "trunk of two terms")]
fn invalid_settings_are_rejected(valid: &str, invalid: &str, line: usize, message: &str) {
    let diagnostics = front_config::parse("front", &FRONT.replacen(valid, invalid, 1)).unwrap_err();
    assert_eq!(diagnostics[0].line, line, "{diagnostics:?}");
    assert!(diagnostics[0].message.contains(message), "{diagnostics:?}");
}

#[test]
fn all_errors_are_reported_together() {
    let text =
        FRONT.replace("fronts: 7", "fronts: 0").replace("value: 1", "value: -1").replace("number: 5", "");
    let lines: Vec<usize> =
        front_config::parse("front", &text).unwrap_err().iter().map(|diagnostic| diagnostic.line).collect();
    assert_eq!(lines, [4, 6, 10]);
}

const SCENARIO: &str = r#"seed: 1 length_ms: 5000 fronts: 2
front { release_wait_ms: 200
  service { name: "check" dialled: "1" value: 1 post_dial_target_ms: 1500 timer_limit_ms: 9000 }
}
stand_in { sessions_per_s: 20 lines: 100 }
callers { sessions_per_s: 10 service_share: 1 }
trouble { kind: "slow" at_ms: 1000 length_ms: 2000 which: 0 size: 3 }
"#;

#[test_case("\"slow\"", "\"slo\"", 7, "must be one of crash"; "unknown fault kind")]
#[test_case("which: 0", "which: 1", 7, "which is 1; there are only 1"; "target out of range")]
#[test_case("service_share: 1", "service_share: [1, 2]", 6, "it must have 1"; "too many service shares")]
#[test_case("front {", "front { name: \"x\"", 2, "name is set by the test harness"; "reserved field is set")]
#[test_case("value: 1", "value: 0", 3, "value is 0"; "invalid field in the front settings")]
fn invalid_scenarios_are_rejected(valid: &str, invalid: &str, line: usize, message: &str) {
    assert!(scenario::parse("scenario", SCENARIO).is_ok());
    let diagnostics = scenario::parse("scenario", &SCENARIO.replacen(valid, invalid, 1)).unwrap_err();
    assert!(diagnostics[0].line == line && diagnostics[0].message.contains(message), "{diagnostics:?}");
}
