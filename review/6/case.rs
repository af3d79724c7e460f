//! Case 6: a signalling server restarts while its front node is down; a caller then names its call at the new front node.
#[path = "../harness-2/common.rs"]
mod common;
use common::*;

fn main() {
    let trouble = begin();
    let server = Server::start("s-00c41f7a");
    let other = Server::start("s-00d7b310");
    // Four servers, so that the one that restarts is a quarter of them.
    let more = [Server::start("s-00e5a220"), Server::start("s-00f19c04")];
    let list = |started_at_ms: u64, server: &Server| {
        let mut list = vec![instance(server, 0, "up", started_at_ms), instance(&other, 1, "up", 0)];
        list.extend(more.iter().zip(2..).map(|(server, cell)| instance(server, cell, "up", 0)));
        list
    };
    let coordinator = Coordinator::start(&list(0, &server));
    let mut node = Node::new(Limits { memory_mb: 64, sockets: 512 }, 4);
    node.start(&coordinator);
    let mut caller = Caller::connect(&node);
    let calls: Vec<String> = (1..=8).map(call_id).collect();
    for (number, call) in calls.iter().enumerate() {
        caller.set_up(call, (number % 2) as i64, 3000);
        sleep(0.15);
    }
    wait_until(4.0, || calls.iter().all(|call| caller.is_answered(call)));
    let standing = |at: &Server| -> Vec<String> {
        calls.iter().filter(|call| caller.up(call).is_some() && at.stands(call)).cloned().collect()
    };
    let (calls_there, calls_elsewhere) = (standing(&server), standing(&other));
    record(&format!("{} calls stand at {}, {} at {}", calls_there.len(), server.id, calls_elsewhere.len(), other.id));
    if calls_there.is_empty() || calls_elsewhere.is_empty() {
        end(COULD_NOT_RUN, "no call stands");
    }
    sleep(1.0);

    // The front node is killed outright, and is down for some seconds.
    node.kill();
    drop(caller);
    sleep(0.5);
    let mut server = server;
    let (id, mut ended_at, mut started_at_ms) = (server.id.clone(), 0.0, 0);
    if trouble {
        // The signalling server's process dies, which cuts its calls, and starts again.
        let address = server.die();
        ended_at = now();
        sleep(0.3);
        started_at_ms = unix_ms();
        server = Server::start_at(&id, address);
    }
    sleep(2.5);

    // The front node starts again. Its events are counted from 1, and the first one holds the whole list.
    let coordinator = Coordinator::start(&list(started_at_ms, &server));
    node.start(&coordinator);
    sleep(0.3);
    let mut caller = Caller::connect(&node);
    for call in &calls_there {
        caller.name_standing(call, &server.id);
    }
    for call in &calls_elsewhere {
        caller.name_standing(call, &other.id);
    }
    let named_at = now();

    // Traffic goes on, so that the node hears both servers.
    let mut next = 100;
    while now() < named_at + 20.0 {
        let call = call_id(next);
        caller.set_up(&call, (next % 2) as i64, 3000);
        sleep(0.5);
        [&server, &other, &more[0], &more[1]].iter().for_each(|server| server.release(&call));
        next += 1;
    }
    if !node.runs() || caller.told.lock().unwrap().closed {
        end(COULD_NOT_RUN, "the node or its connection ended");
    }
    if trouble {
        let left: Vec<&String> = calls_there.iter().filter(|call| caller.downs(call).is_empty()).collect();
        let text = format!(
            "{} of {} calls that were cut {:.1} s ago, and named to the node {:.1} s ago, are not released to their caller",
            left.len(),
            calls_there.len(),
            now() - ended_at,
            now() - named_at
        );
        record(&text);
        if !left.is_empty() {
            end(BROKEN, &text);
        }
    }
    // The calls that still stand come to their end; each has to be released to the caller within 1.05 s.
    let standing: Vec<&String> =
        calls_there.iter().chain(&calls_elsewhere).filter(|call| server.stands(call) || other.stands(call)).collect();
    for call in &standing {
        server.release(call);
        other.release(call);
    }
    sleep(1.05);
    let left = standing.iter().filter(|call| caller.downs(call).is_empty()).count();
    if left > 0 {
        end(BROKEN, &format!("{left} of {} calls released by their server are not released to the caller", standing.len()));
    }
    end(HELD, "each call that is over was released to its caller");
}
