//! Tests the parsing of callers' messages and the encoding of messages to callers.

use ochrelead_core::time::Span;
use ochrelead_platform::caller_messages::{CallId, CallerMessage, encode_down, encode_established, parse};
use serde_json::{Value, json};
use test_case::test_case;

const ID: &str = "9b1f03aa5c7e2d41";

fn set_up_message() -> Value {
    json!({"t": "new", "ref": ID, "d": "v=0\r\n",
        "f": {"class": "voice", "left": "1500", "tenant": "acme", "key": "7f3a9c21e0b4d655",
            "extras": "dest:2;width:1;via:-1"}})
}

#[test]
fn set_up_fields_are_parsed() {
    let Ok(CallerMessage::SetUp(request)) = parse(set_up_message().to_string().as_bytes()) else {
        panic!("not parsed as a set-up")
    };
    assert_eq!((request.call.as_str(), request.class.as_str(), request.destination), (ID, "voice", Some(2)));
    assert_eq!((request.time_left, request.description.as_str()), (Span::from_millis(1_500), "v=0\r\n"));
    assert_eq!(
        (request.called_number.as_str(), request.tenant.as_deref()),
        ("7f3a9c21e0b4d655", Some("acme"))
    );
}

#[test_case("ref", json!("9b1f"), false; "call id too short")]
#[test_case("ref", json!(null), false; "call id missing")]
#[test_case("d", json!(null), true; "description missing")]
#[test_case("t", json!("shift"), true; "unknown message type")]
#[test_case("f.class", json!(null), true; "class missing")]
#[test_case("f.left", json!("soon"), true; "waiting time is not numeric")]
#[test_case("f.left", json!("-5"), true; "negative waiting time")]
#[test_case("f.left", json!("NaN"), true; "waiting time is NaN")]
#[test_case("f.key", json!("a b\r\nX: y"), true; "called number with line break")]
#[test_case("f.extras", json!("dest:1e300;width:1"), true; "destination out of range")]
#[test_case("f.extras", json!("dest:two"), true; "destination is not numeric")]
#[test_case("f.extras", json!("width:-7"), true; "negative width")]
#[test_case("f.extras", json!([1]), true; "extras is a list")]
fn invalid_set_up_is_rejected_with_its_call_id(field: &str, value: Value, has_call_id: bool) {
    let mut line = set_up_message();
    match field.split_once('.') {
        Some((outer, inner)) => line[outer][inner] = value,
        None => line[field] = value,
    }
    if line["f"]["class"].is_null() {
        line["f"].as_object_mut().unwrap().remove("class");
    }
    let invalid = parse(line.to_string().as_bytes()).unwrap_err();
    assert_eq!(invalid.call.is_some(), has_call_id, "{invalid}");
}

#[test_case("nonsense"; "not JSON")]
#[test_case("[1,2]"; "not an object")]
#[test_case("{\"t\":5}"; "type is not a string")]
#[test_case("{\"t\":\"new\",\"f\":\"x\"}"; "fields are not an object")]
#[test_case("{\"t\":\"new\",\"t\":\"new\"}"; "duplicate field")]
fn malformed_line_is_rejected(line: &str) {
    assert!(parse(line.as_bytes()).is_err());
}

#[test]
fn messages_to_callers_are_encoded() {
    let call = CallId::parse(ID).unwrap();
    let established: Value = serde_json::from_slice(&encode_established(call, "v=0\r\n")).unwrap();
    assert_eq!(established, json!({"t": "up", "ref": ID, "f": {}, "d": "v=0\r\n"}));
    let down: Value = serde_json::from_slice(&encode_down(call, 42, Some(Span::from_millis(300)))).unwrap();
    assert_eq!(down, json!({"t": "down", "ref": ID, "f": {"wait": "300"}, "c": 42}));
}
