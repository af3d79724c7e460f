//! What callers, coordinator and configuration say.

use ochrelead_core::time::{Moment, Span};
use ochrelead_core::types::EndpointState;
use ochrelead_platform::LONGEST;
use ochrelead_platform::callers::{CallId, Said, down, read, up};
use ochrelead_platform::configuration;
use ochrelead_platform::events::{Followed, Heard};
use ochrelead_platform::lines::{Lines, TooLong};
use serde_json::{Value, json};
use test_case::test_case;

const ID: &str = "9b1f03aa5c7e2d41";

fn set_up() -> Value {
    json!({"t": "new", "ref": ID, "d": "v=0\r\n",
        "f": {"class": "voice", "left": "1500", "tenant": "acme", "key": "7f3a9c21e0b4d655",
            "extras": "dest:2;width:1;via:-1"}})
}

#[test]
fn a_set_up_is_read_as_it_was_sent() {
    let Ok(Said::SetUp(read)) = read(set_up().to_string().as_bytes()) else { panic!("not read") };
    assert_eq!((read.call.as_str(), read.class.as_str(), read.destination), (ID, "voice", Some(2)));
    assert_eq!((read.left, read.description.as_str()), (Span::from_millis(1_500), "v=0\r\n"));
    assert_eq!((read.number.as_str(), read.tenant.as_deref()), ("7f3a9c21e0b4d655", Some("acme")));
}

#[test_case("ref", json!("9b1f"), false; "an id that is too short")]
#[test_case("ref", json!(null), false; "no id")]
#[test_case("d", json!(null), true; "no description")]
#[test_case("t", json!("shift"), true; "an unknown type")]
#[test_case("f.class", json!(null), true; "no class")]
#[test_case("f.left", json!("soon"), true; "a time that is no number")]
#[test_case("f.left", json!("-5"), true; "a time that is over")]
#[test_case("f.left", json!("NaN"), true; "a time that is not a number")]
#[test_case("f.key", json!("a b\r\nX: y"), true; "a number that would split a head")]
#[test_case("f.extras", json!("dest:1e300;width:1"), true; "a figure out of range")]
#[test_case("f.extras", json!("dest:two"), true; "a figure that is none")]
#[test_case("f.extras", json!("width:-7"), true; "a negative width")]
#[test_case("f.extras", json!([1]), true; "a field that is a list")]
fn an_unusable_set_up_is_told_with_its_call(field: &str, value: Value, named: bool) {
    let mut line = set_up();
    match field.split_once('.') {
        Some((outer, inner)) => line[outer][inner] = value,
        None => line[field] = value,
    }
    if line["f"]["class"].is_null() {
        line["f"].as_object_mut().unwrap().remove("class");
    }
    let unusable = read(line.to_string().as_bytes()).unwrap_err();
    assert_eq!(unusable.call.is_some(), named, "{unusable}");
}

#[test_case("nonsense"; "no JSON")]
#[test_case("[1,2]"; "no object")]
#[test_case("{\"t\":5}"; "a type that is no word")]
#[test_case("{\"t\":\"new\",\"f\":\"x\"}"; "fields that are none")]
#[test_case("{\"t\":\"new\",\"t\":\"new\"}"; "a field twice")]
fn what_is_no_message_is_refused(line: &str) {
    assert!(read(line.as_bytes()).is_err());
}

#[test]
fn the_lines_of_a_front() {
    let call = CallId::read(ID).unwrap();
    let told: Value = serde_json::from_slice(&up(call, "v=0\r\n")).unwrap();
    assert_eq!(told, json!({"t": "up", "ref": ID, "f": {}, "d": "v=0\r\n"}));
    let told: Value = serde_json::from_slice(&down(call, 42, Some(Span::from_millis(300)))).unwrap();
    assert_eq!(told, json!({"t": "down", "ref": ID, "f": {"wait": "300"}, "c": 42}));
}

#[test_case(1; "byte by byte")]
#[test_case(4; "in pieces")]
#[test_case(100; "at once")]
fn lines_come_whole(piece: usize) {
    let mut lines = Lines::default();
    let mut all = Vec::new();
    for piece in b"one\r\n\ntwo\nthr".chunks(piece) {
        let (whole, sound) = lines.cut(piece);
        assert_eq!(sound, Ok(()));
        all.extend(whole);
    }
    assert_eq!(all, [b"one".to_vec(), b"two".to_vec()]);
    assert!(lines.is_midway());
}

#[test_case(LONGEST, true; "the longest")]
#[test_case(LONGEST + 1, false; "one byte longer")]
fn no_line_is_longer_than_a_message(length: usize, sound: bool) {
    let mut lines = Lines::default();
    let line = [vec![b'a'; length], b"\nnext\n".to_vec()].concat();
    let results: Vec<_> = line.chunks(1_000).map(|piece| lines.cut(piece)).collect();
    assert_eq!(results.iter().all(|(_, result)| *result == Ok(())), sound);
    let whole: usize = results.iter().map(|(whole, _)| whole.len()).sum();
    assert_eq!(whole, if sound { 2 } else { 0 });
    assert_eq!(lines.cut(b"more\n").1 == Err(TooLong), !sound);
}

fn event(index: u64, id: &str, lifecycle: &str) -> Value {
    json!({"index": index, "endpoints": {"generation": index, "reset": index == 1, "instances": [
        {"instanceId": id, "hostPort": "127.0.0.1:5080", "zone": "east", "machineType": "std", "cell": 2,
            "lifecycle": lifecycle, "weight": 4, "startedAtMs": 1500}]}})
}

#[test_case(json!({"index": 5}), "nothing"; "the last number again")]
#[test_case(json!({"index": 6}), "gap"; "a number whose event did not come")]
#[test_case(event(5, "s-1", "up"), "nothing"; "an event twice")]
#[test_case(event(6, "s-1", "up"), "change"; "the next event")]
#[test_case(event(8, "s-1", "up"), "gap"; "one event is missing")]
#[test_case(event(6, "s-1", "resting"), "broken"; "an unknown state")]
#[test_case(json!({"endpoints": {}}), "broken"; "no number")]
fn events_are_taken_once_and_in_order(line: Value, heard: &str) {
    let (mut followed, changes) = Followed::start(&json!({"index": 5, "updates": [event(1, "s-1", "up")]}));
    assert_eq!((followed.request().as_str(), changes.len()), ("follow 5\n", 1));
    let got = match followed.hear(line.to_string().as_bytes()) {
        Ok(Heard::Change(change)) => {
            let started = Some(Moment::from_micros(1_500_000));
            assert_eq!((change.whole, change.posts[0].number), (false, 2));
            assert_eq!(change.posts[0].state, EndpointState::Ready { started });
            "change"
        }
        Ok(Heard::Nothing) => "nothing",
        Ok(Heard::Gap) => "gap",
        Err(_) => "broken",
    };
    assert_eq!(got, heard);
    let next = if heard == "change" { "follow 6\n" } else { "follow 5\n" };
    assert_eq!(followed.request(), next, "only what was taken is known");
}

#[test]
fn a_configuration_is_read_with_the_settings_of_the_bench() {
    let text = json!({"name": "n3", "listen": "127.0.0.4:5080", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 48, "sockets": 384}, "coordinator": "127.2.0.1:8500", "new": [],
        "known": {"index": 1, "updates": [event(1, "s-1", "up")]},
        "settings": {"requestClasses": [{"name": "voice", "deadlineMs": 9000, "targetMs": 1500, "worth": 2}],
            "orgs": [{"name": "acme"}], "limits": {"mostHeld": 20000, "connectTimeoutMs": 500}}});
    let configuration = configuration::read(&text.to_string()).unwrap();
    assert_eq!(
        (configuration.provision.seed, configuration.limits.memory),
        (0x8c1f_30d2_7a5b_e964, 48 << 20)
    );
    assert_eq!(configuration.facts.services().collect::<Vec<_>>(), [("voice", Span::from_secs(9))]);
    assert_eq!(configuration.facts.members().collect::<Vec<_>>(), ["acme"]);
    assert_eq!((configuration.facts.most_held(), configuration.known.len()), (Some(20_000), 1));
}

#[test_case("{"; "half a file")]
#[test_case("{}"; "nothing to listen on")]
#[test_case("{\"listen\":\"nowhere\"}"; "no address")]
fn a_configuration_that_is_none_is_refused(text: &str) {
    assert!(configuration::read(text).is_err());
}
