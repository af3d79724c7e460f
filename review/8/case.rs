//! Case 8: a signalling server has died and a new one has taken its address; a front node that starts is told of both.
#[path = "../harness-2/common.rs"]
mod common;
use common::*;

fn main() {
    let trouble = begin();
    let old = Server::start("s-00d7b310");
    let other = Server::start("s-00e5a220");
    let old_entry = instance(&old, 0, "up", 0);
    let mut list = vec![old_entry.clone(), instance(&other, 1, "up", 0)];
    let mut server = old;
    let died_at = now();
    if trouble {
        // The process dies. A new signalling server takes its address, and is listed within 2.5 s. That the old one has gone is
        // listed 4.5 to 12 s later. The whole list is ordered by id.
        let address = server.die();
        sleep(0.5);
        server = Server::start_at("s-00c41f7a", address);
        list.insert(0, instance(&server, 0, "up", unix_ms()));
    }
    sleep_until(died_at + 2.0);
    let coordinator = Coordinator::start(&list);
    let mut node = Node::new(Limits { memory_mb: 64, sockets: 512 }, 2);
    node.start(&coordinator);
    let mut caller = Caller::connect(&node);
    sleep(0.3);
    let calls: Vec<String> = (1..=8).map(call_id).collect();
    for (number, call) in calls.iter().enumerate() {
        caller.set_up(call, (number % 2) as i64, 3000);
        sleep(0.3);
    }
    wait_until(4.0, || calls.iter().all(|call| caller.is_answered(call)));
    let stands = |call: &String| server.stands(call) || other.stands(call);
    let standing: Vec<String> =
        calls.iter().filter(|call| caller.up(call).is_some() && stands(call)).cloned().collect();
    let there = standing.iter().filter(|call| server.stands(call)).count();
    record(&format!("{there} calls stand at {}, {} at {}", server.id, standing.len() - there, other.id));
    if standing.is_empty() || (!trouble && there == 0) {
        end(COULD_NOT_RUN, "no call stands");
    }
    sleep_until(died_at + 7.0);
    if trouble {
        coordinator.tell(false, &[old_entry.replace("\"up\"", "\"removed\"")]);
    }
    // Some traffic goes on.
    let told_at = now();
    let (mut next, set_ups) = (100, server.state.lock().unwrap().set_ups);
    while now() < told_at + 15.0 {
        let call = call_id(next);
        caller.set_up(&call, (next / 4 % 2) as i64, 3000);
        sleep(0.5);
        server.release(&call);
        other.release(&call);
        next += 1;
    }
    if !node.runs() || caller.told.lock().unwrap().closed {
        end(COULD_NOT_RUN, "the node or its connection ended");
    }
    let set_ups = server.state.lock().unwrap().set_ups - set_ups;
    record(&format!("{} of {} set-ups since then went to {}, named by half of them", set_ups, next - 100, server.id));
    let cut: Vec<&String> = standing.iter().filter(|call| !caller.downs(call).is_empty() && stands(call)).collect();
    let since = cut.iter().filter_map(|call| caller.downs(call).first().map(|(at, _)| now() - at)).fold(0.0, f64::max);
    let text = format!(
        "{} of {} calls that stand at a healthy server were released to their caller; {since:.1} s later the server has no release of them",
        cut.len(),
        standing.len()
    );
    record(&text);
    if !cut.is_empty() {
        end(BROKEN, &text);
    }
    for call in &standing {
        server.release(call);
        other.release(call);
    }
    sleep(1.05);
    let left = standing.iter().filter(|call| caller.downs(call).is_empty()).count();
    if left > 0 {
        end(BROKEN, &format!("{left} of {} calls released by their server are not released to the caller", standing.len()));
    }
    end(HELD, "no call that stands was released, and each that is over was");
}
