//! Handwritten batches through the adapter.

use ochrelead_benchlink::Host;
use serde_json::{Value, json};
use test_case::test_case;

fn hello(who: u64, seed: u64) -> Value {
    json!({"who": who, "msgs": [
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

fn turn(host: &mut Host, seq: u64, now: f64, parts: Value) -> Value {
    let batch = json!({"momentMs": now, "seq": seq, "parts": parts}).to_string();
    serde_json::from_str(&host.turn(&batch).unwrap()).unwrap()
}

fn started() -> Host {
    let mut host = Host::default();
    turn(&mut host, 0, 0.0, json!([hello(3, 1)]));
    host
}

#[test_case(&[]; "no instance")]
#[test_case(&[9]; "a lone wake")]
fn an_empty_reply_repeats_the_number(whos: &[u64]) {
    let mut host = Host::default();
    for who in whos {
        turn(&mut host, 0, 0.0, json!([hello(*who, 1)]));
    }
    let parts: Vec<Value> =
        whos.iter().map(|w| json!({"who": w, "msgs": [{"Wake": {"label": 0}}]})).collect();
    assert_eq!(turn(&mut host, 4, 8.25, json!(parts)), json!({"seq": 4, "parts": []}));
}

#[test]
fn a_session_goes_to_its_destination() {
    let mut host = started();
    let reply = turn(&mut host, 1, 0.25, json!([{"who": 3, "msgs": [inbound("rq_a", 1)]}]));
    assert_eq!(reply["parts"][0]["decisions"][0], json!({"Deliver": {"req": "rq_a", "server": 80}}));
}

#[test]
fn numbered_lists_are_resolved_in_event_order() {
    let mut host = started();
    let gone = json!([{"Page": {"setId": 1, "membersList": [{"number": 0, "server": 70, "availability": "gone"}]}},
        {"Endpoints": {"setId": 1, "index": 2, "scope": "update"}},
        {"Page": {"setId": 1, "membersList": [{"number": 0, "server": 90}]}},
        {"Endpoints": {"setId": 1, "index": 3, "scope": "update"}}, inbound("rq_a", 0)]);
    let reply = turn(&mut host, 1, 1.0, json!([{"who": 3, "msgs": gone}]));
    assert_eq!(reply["parts"][0]["decisions"][0]["Deliver"]["server"], 90);
}

#[test]
fn a_restart_in_one_batch_forgets_everything() {
    let mut host = started();
    turn(&mut host, 1, 1.0, json!([{"who": 3, "msgs": [inbound("rq_a", 0)]}]));
    let mut again = hello(3, 2);
    let msgs = again["msgs"].as_array_mut().unwrap();
    msgs.insert(0, json!({"Destroy": {}}));
    msgs.push(json!({"Settled": {"req": "rq_a", "sendNo": 0, "server": 70, "result": 3}}));
    let reply = turn(&mut host, 2, 2.0, json!([again]));
    assert_eq!((reply, host.complaints), (json!({"seq": 2, "parts": []}), vec![]));
}

#[test_case(json!({"Settled": {"req": "rq_a", "server": 70, "result": 9}}), "unknown result 9"; "outcome")]
#[test_case(json!({"Inbound": {"req": "rq_b"}}), "no dropDeadMs"; "no limit")]
#[test_case(json!({"Page": {}}), "no membersList"; "no list")]
#[test_case(json!(5), "not an object"; "no event")]
fn a_bad_event_is_reported_and_the_rest_answered(event: Value, complaint: &str) {
    let mut host = started();
    let reply = turn(&mut host, 7, 1.0, json!([{"who": 3, "msgs": [event, inbound("rq_c", 0)]}]));
    assert_eq!(reply["parts"][0]["decisions"][0]["Deliver"]["req"], "rq_c");
    assert!(host.complaints.len() == 1 && host.complaints[0].contains(complaint), "{:?}", host.complaints);
}

#[test]
fn an_instance_without_hello_is_reported() {
    let mut host = Host::default();
    let reply = turn(&mut host, 1, 1.0, json!([{"who": 8, "msgs": [{"Wake": {"label": 1}}]}]));
    assert_eq!(reply, json!({"seq": 1, "parts": []}));
    assert!(host.complaints[0].contains("instance 8") && host.complaints[0].contains("Hello"));
}

#[test_case("{", "not JSON"; "broken line")]
#[test_case(r#"{"seq": 1, "parts": []}"#, "no clock"; "no clock")]
#[test_case(r#"{"momentMs": 1, "parts": 4}"#, "parts"; "parts that are no list")]
fn there_is_no_reply_to(line: &str, complaint: &str) {
    assert!(Host::default().turn(line).unwrap_err().contains(complaint));
}

#[test]
fn instances_act_alike_together_and_apart() {
    let script = |hosts: &mut [Host], who: u64, nth: u64| {
        let slot = who as usize % hosts.len();
        let msgs = match nth {
            0 => hello(who, who + 5)["msgs"].clone(),
            n => json!([inbound(&format!("rq_{who}_{n}"), n % 2), inbound(&format!("rq_{who}_{n}x"), 7)]),
        };
        turn(&mut hosts[slot], nth, nth as f64 * 40.0, json!([{"who": who, "msgs": msgs}]))
    };
    let run = |processes: usize| -> Vec<Value> {
        let mut hosts: Vec<Host> = (0..processes).map(|_| Host::default()).collect();
        let turns = (0..30).flat_map(|nth| (0..3).map(move |who| (who, nth)));
        turns.map(|(who, nth)| script(&mut hosts, who, nth)).collect()
    };
    let together = run(1);
    assert_eq!(together, run(3));
    assert!(together.iter().any(|reply| reply.to_string().contains("Deliver")));
}
