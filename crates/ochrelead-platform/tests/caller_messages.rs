//! Messages of callers are parsed or rejected, and messages to callers are encoded.

use ochrelead_core::time::Span;
use ochrelead_platform::caller_messages::{CallId, CallerMessage, encode_down, encode_established, parse};
use serde_json::{Value, json};
use test_case::test_case;

const ID: &str = "9b1f03aa5c7e2d41";

fn set_up() -> Value {
    json!({"t": "new", "ref": ID, "d": "v=0\r\n",
        "f": {"class": "voice", "left": "1500", "tenant": "acme", "key": "7f3a9c21e0b4d655",
            "extras": "dest:2;width:1;via:-1"}})
}

#[test]
fn set_up_is_parsed_field_by_field() {
    let Ok(CallerMessage::SetUp(read)) = parse(set_up().to_string().as_bytes()) else { panic!("not read") };
    assert_eq!((read.call.as_str(), read.class.as_str(), read.destination), (ID, "voice", Some(2)));
    assert_eq!((read.time_left, read.description.as_str()), (Span::from_millis(1_500), "v=0\r\n"));
    assert_eq!((read.called_number.as_str(), read.tenant.as_deref()), ("7f3a9c21e0b4d655", Some("acme")));
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
fn invalid_set_up_is_rejected_with_its_call(field: &str, value: Value, named: bool) {
    let mut line = set_up();
    match field.split_once('.') {
        Some((outer, inner)) => line[outer][inner] = value,
        None => line[field] = value,
    }
    if line["f"]["class"].is_null() {
        line["f"].as_object_mut().unwrap().remove("class");
    }
    let unusable = parse(line.to_string().as_bytes()).unwrap_err();
    assert_eq!(unusable.call.is_some(), named, "{unusable}");
}

#[test_case("nonsense"; "no JSON")]
#[test_case("[1,2]"; "no object")]
#[test_case("{\"t\":5}"; "a type that is no word")]
#[test_case("{\"t\":\"new\",\"f\":\"x\"}"; "fields that are none")]
#[test_case("{\"t\":\"new\",\"t\":\"new\"}"; "a field twice")]
fn line_that_is_no_message_is_rejected(line: &str) {
    assert!(parse(line.as_bytes()).is_err());
}

#[test]
fn messages_to_callers_are_encoded() {
    let call = CallId::parse(ID).unwrap();
    let told: Value = serde_json::from_slice(&encode_established(call, "v=0\r\n")).unwrap();
    assert_eq!(told, json!({"t": "up", "ref": ID, "f": {}, "d": "v=0\r\n"}));
    let told: Value = serde_json::from_slice(&encode_down(call, 42, Some(Span::from_millis(300)))).unwrap();
    assert_eq!(told, json!({"t": "down", "ref": ID, "f": {"wait": "300"}, "c": 42}));
}
