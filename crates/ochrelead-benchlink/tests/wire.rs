//! Replies and diagnostics for handwritten batches.

use ochrelead_benchlink::Host;
use serde_json::{Value, json};
use test_case::test_case;

fn hello(instance: u64, seed: u64) -> Value {
    json!({"who": instance, "msgs": [
        {"Hello": {"initSeed": seed, "newKey": {}, "facts": {"balancers": 2, "tickMs": 5.0, "unknown": [1],
            "limits": {"maxAttempts": 4, "maxRetryAfterMs": 2000.0, "retryAfter": true},
            "familyInfo": {"guardMs": 200.0},
            "requestClasses": [{"targetMs": 1500.0, "deadlineMs": 9000.0, "worth": 1.0, "semantics": "free"}]}}},
        {"Page": {"setId": 0, "membersList": [{"number": 0, "server": 70}, {"number": 1, "server": 80}]}},
        {"Endpoints": {"setId": 0, "index": 1, "scope": "restored"}}]})
}

fn inbound(req: &str, to: u64) -> Value {
    json!({"Inbound": {"req": req, "calledNode": to, "dropDeadMs": 9000.5, "affinity": format!("n/{req}")}})
}

fn process(host: &mut Host, seq: u64, now: f64, parts: &Value) -> Value {
    let batch = json!({"momentMs": now, "seq": seq, "parts": parts}).to_string();
    serde_json::from_str(&host.process(&batch).unwrap()).unwrap()
}

fn started_host() -> Host {
    let mut host = Host::default();
    process(&mut host, 0, 0.0, &json!([hello(3, 1)]));
    host
}

#[test_case(&[]; "no instance")]
#[test_case(&[9]; "one instance, wake only")]
fn an_empty_reply_has_the_sequence_number_of_its_batch(instances: &[u64]) {
    let mut host = Host::default();
    for instance in instances {
        process(&mut host, 0, 0.0, &json!([hello(*instance, 1)]));
    }
    let parts: Vec<Value> =
        instances.iter().map(|instance| json!({"who": instance, "msgs": [{"Wake": {"label": 0}}]})).collect();
    assert_eq!(process(&mut host, 4, 8.25, &json!(parts)), json!({"seq": 4, "parts": []}));
}

#[test]
fn a_session_goes_to_its_destination() {
    let mut host = started_host();
    let reply = process(&mut host, 1, 0.25, &json!([{"who": 3, "msgs": [inbound("rq_a", 1)]}]));
    assert_eq!(reply["parts"][0]["decisions"][0], json!({"Deliver": {"req": "rq_a", "server": 80}}));
}

#[test]
fn endpoint_lists_are_applied_in_the_order_of_events() {
    let mut host = started_host();
    let events = json!([{"Page": {"setId": 1, "membersList": [{"number": 0, "server": 70, "availability": "gone"}]}},
        {"Endpoints": {"setId": 1, "index": 2, "scope": "update"}},
        {"Page": {"setId": 1, "membersList": [{"number": 0, "server": 90}]}},
        {"Endpoints": {"setId": 1, "index": 3, "scope": "update"}}, inbound("rq_a", 0)]);
    let reply = process(&mut host, 1, 1.0, &json!([{"who": 3, "msgs": events}]));
    assert_eq!(reply["parts"][0]["decisions"][0]["Deliver"]["server"], 90);
}

#[test]
fn a_restarted_instance_has_no_state_of_the_former_one() {
    let mut host = started_host();
    process(&mut host, 1, 1.0, &json!([{"who": 3, "msgs": [inbound("rq_a", 0)]}]));
    let mut restart = hello(3, 2);
    let msgs = restart["msgs"].as_array_mut().unwrap();
    msgs.insert(0, json!({"Destroy": {}}));
    msgs.push(json!({"Settled": {"req": "rq_a", "sendNo": 0, "server": 70, "result": 3}}));
    let reply = process(&mut host, 2, 2.0, &json!([restart]));
    assert_eq!(reply, json!({"seq": 2, "parts": []}));
    assert!(host.diagnostics.is_empty(), "{:?}", host.diagnostics);
}

#[test_case(json!({"Settled": {"req": "rq_a", "server": 70, "result": 9}}), "unknown result 9"; "unknown outcome")]
#[test_case(json!({"Inbound": {"req": "rq_b"}}), "no dropDeadMs"; "no deadline")]
#[test_case(json!({"Page": {}}), "no membersList"; "no list")]
#[test_case(json!(5), "not an object"; "not an event")]
fn an_invalid_event_is_reported_and_the_other_events_are_answered(event: Value, expected: &str) {
    let mut host = started_host();
    let events = vec![event, inbound("rq_c", 0)];
    let reply = process(&mut host, 7, 1.0, &json!([{"who": 3, "msgs": events}]));
    assert_eq!(reply["parts"][0]["decisions"][0]["Deliver"]["req"], "rq_c");
    let diagnostics: Vec<String> = host.diagnostics.iter().map(ToString::to_string).collect();
    assert!(diagnostics.len() == 1 && diagnostics[0].contains(expected), "{diagnostics:?}");
}

#[test]
fn an_event_for_an_instance_that_was_not_started_is_reported() {
    let mut host = Host::default();
    let reply = process(&mut host, 1, 1.0, &json!([{"who": 8, "msgs": [{"Wake": {"label": 1}}]}]));
    assert_eq!(reply, json!({"seq": 1, "parts": []}));
    let diagnostic = host.diagnostics[0].to_string();
    assert!(diagnostic.contains("instance 8") && diagnostic.contains("Hello"));
}

#[test_case("{", "not JSON"; "truncated JSON")]
#[test_case(r#"{"seq": 1, "parts": []}"#, "no clock"; "no clock")]
#[test_case(r#"{"momentMs": 1, "parts": 4}"#, "parts"; "parts is not an array")]
fn an_invalid_batch_is_answered_with_an_error_that_names_the_cause(line: &str, expected: &str) {
    assert!(Host::default().process(line).unwrap_err().to_string().contains(expected));
}

#[test]
fn replies_do_not_depend_on_which_instances_share_a_process() {
    let process_batch = |hosts: &mut [Host], instance: u64, sequence: u64| {
        let host = instance as usize % hosts.len();
        let msgs = match sequence {
            0 => hello(instance, instance + 5)["msgs"].clone(),
            _ => json!([
                inbound(&format!("rq_{instance}_{sequence}"), sequence % 2),
                inbound(&format!("rq_{instance}_{sequence}x"), 7)
            ]),
        };
        process(&mut hosts[host], sequence, sequence as f64 * 40.0, &json!([{"who": instance, "msgs": msgs}]))
    };
    let run = |processes: usize| -> Vec<Value> {
        let mut hosts: Vec<Host> = (0..processes).map(|_| Host::default()).collect();
        let batches = (0..30).flat_map(|sequence| (0..3).map(move |instance| (instance, sequence)));
        batches.map(|(instance, sequence)| process_batch(&mut hosts, instance, sequence)).collect()
    };
    let replies = run(1);
    assert_eq!(replies, run(3));
    assert!(replies.iter().any(|reply| reply.to_string().contains("Deliver")));
}
