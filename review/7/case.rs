//! Case 7: a signalling server vanishes while set-ups are open on all connections to it.
#[path = "../harness-2/common.rs"]
mod common;
use common::*;

const SERVERS: usize = 24;

fn main() {
    let trouble = begin();
    let servers: Vec<Server> = (0..SERVERS).map(|number| Server::start(&format!("s-0000{number:04x}"))).collect();
    let list: Vec<String> =
        servers.iter().enumerate().map(|(cell, server)| instance(server, cell as i64, "up", 0)).collect();
    let coordinator = Coordinator::start(&list);
    let mut node = Node::new(Limits { memory_mb: 64, sockets: 256 }, SERVERS);
    node.start(&coordinator);
    let mut caller = Caller::connect(&node);
    let server = &servers[0];

    // Twenty set-ups a second that name this server; most calls are short, some stay.
    let mut next = 1;
    let mut kept: Vec<String> = Vec::new();
    let mut recent: Vec<(f64, String)> = Vec::new();
    let traffic = |caller: &mut Caller, next: &mut u64, recent: &mut Vec<(f64, String)>, until: f64| {
        while now() < until {
            let call = call_id(*next);
            caller.set_up(&call, 0, 9000);
            recent.push((now() + 2.0, call));
            *next += 1;
            while recent.first().is_some_and(|(end, _)| *end <= now()) {
                let (_, call) = recent.remove(0);
                servers.iter().for_each(|server| server.release(&call));
            }
            sleep(0.05);
        }
    };
    let warm_until = now() + 6.0;
    traffic(&mut caller, &mut next, &mut recent, warm_until);
    for _ in 0..40 {
        let Some((_, call)) = recent.pop() else { break };
        if server.stands(&call) && caller.up(&call).is_some() && kept.len() < 5 {
            kept.push(call);
        }
    }
    recent.clear();
    record(&format!("{} long calls stand at {}", kept.len(), server.id));
    if kept.is_empty() {
        end(COULD_NOT_RUN, "no call stands");
    }
    if trouble {
        server.vanish();
    }
    let vanished_at = now();
    traffic(&mut caller, &mut next, &mut recent, vanished_at + 1.0);
    if !trouble {
        sleep_until(vanished_at + 2.0);
        kept.iter().for_each(|call| server.release(call));
        sleep(1.05);
        let left = kept.iter().filter(|call| caller.downs(call).is_empty()).count();
        if left > 0 {
            end(BROKEN, &format!("{left} of {} calls released by their server are not released to the caller", kept.len()));
        }
        end(HELD, "each call that is over was released to its caller");
    }
    // Traffic for the other servers goes on.
    let mut cell = 1;
    while now() < vanished_at + 16.0 {
        let call = call_id(next);
        caller.set_up(&call, cell, 3000);
        (next, cell) = (next + 1, cell % (SERVERS as i64 - 1) + 1);
        sleep(0.1);
        servers.iter().for_each(|server| server.release(&call));
    }
    if !node.runs() || caller.told.lock().unwrap().closed {
        end(COULD_NOT_RUN, "the node or its connection ended");
    }
    let late: Vec<String> = kept
        .iter()
        .filter_map(|call| match caller.downs(call).first() {
            Some((at, _)) if *at - vanished_at <= 8.05 => None,
            Some((at, _)) => Some(format!("{:.2} s", at - vanished_at)),
            None => Some("not within 16 s".to_owned()),
        })
        .collect();
    record(&format!("released to the caller later than 8.05 s after the server vanished: {late:?}"));
    if !late.is_empty() {
        let text = format!("{} of {} calls were released too late: {late:?}", late.len(), kept.len());
        end(BROKEN, &text);
    }
    end(HELD, "each call was released within 8.05 s of its end");
}
