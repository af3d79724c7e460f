//! Case 7: a signalling server has died and a new one has taken its address; a front node that starts is told of both. Then the
//! new one drains.
#[path = "../harness-2/common.rs"]
mod common;
use common::*;

/// The time for which new work may still come after the drain was told (`stopSendingWithinMs`), and the slack on sockets.
const GRACE_S: f64 = 0.25 + 0.05;

fn main() {
    let trouble = begin();
    let old = Server::start("s-00d7b310");
    let other = Server::start("s-00e5a220");
    let old_entry = instance(&old, 0, "up", 0);
    let mut entry = old_entry.clone();
    // Four servers, so that the one that is replaced is a quarter of them.
    let more = [Server::start("s-00f19c04"), Server::start("s-00fa0712")];
    let mut list = vec![old_entry.clone(), instance(&other, 1, "up", 0)];
    list.extend(more.iter().zip(2..).map(|(server, cell)| instance(server, cell, "up", 0)));
    let mut server = old;
    let died_at = now();
    if trouble {
        // The process dies. A new signalling server takes its address, and is listed within 2.5 s. That the old one has gone is
        // listed 4.5 to 12 s after its end. The whole list is ordered by id.
        let address = server.die();
        sleep(0.5);
        server = Server::start_at("s-00c41f7a", address);
        entry = instance(&server, 0, "up", unix_ms());
        list.insert(0, entry.clone());
    }
    sleep_until(died_at + 2.0);
    let coordinator = Coordinator::start(&list);
    let mut node = Node::new(Limits { memory_mb: 64, sockets: 512 }, 4);
    node.start(&coordinator);
    let mut caller = Caller::connect(&node);
    sleep(0.3);

    // Five set-ups a second that name this server. The first four calls stay; the others are short.
    let mut calls: Vec<String> = Vec::new();
    let traffic = |caller: &mut Caller, calls: &mut Vec<String>, until: f64| {
        while now() < until {
            let call = call_id(1 + calls.len() as u64);
            caller.set_up(&call, 0, 3000);
            sleep(0.2);
            if calls.len() >= 4 {
                [&server, &other, &more[0], &more[1]].iter().for_each(|server| server.release(&call));
            }
            calls.push(call);
        }
    };
    traffic(&mut caller, &mut calls, died_at + 6.0);
    if server.set_ups_after(0.0).is_empty() {
        end(COULD_NOT_RUN, "no set-up came to the server");
    }
    // The server drains, and the coordinator tells it.
    coordinator.tell(false, &[entry.replace("\"up\"", "\"draining\"")]);
    let told_at = now();
    traffic(&mut caller, &mut calls, died_at + 10.0);
    let late = server.set_ups_after(told_at + GRACE_S);
    // What the list tells last: the old one has gone.
    if trouble {
        coordinator.tell(false, &[old_entry.replace("\"up\"", "\"removed\"")]);
    }
    traffic(&mut caller, &mut calls, died_at + 14.0);
    let cut = calls[..4].iter().filter(|call| server.stands(call) && !caller.downs(call).is_empty()).count();
    record(&format!("{cut} calls that stand at {} were released to their caller; it has no release of them", server.id));
    if !node.runs() || caller.told.lock().unwrap().closed {
        end(COULD_NOT_RUN, "the node or its connection ended");
    }
    if let Some(last) = late.last() {
        let text = format!(
            "{} set-ups came to {} later than 0.3 s after the front node was told that it drains, the last one after {:.2} s",
            late.len(),
            server.id,
            last - told_at
        );
        end(BROKEN, &text);
    }
    end(HELD, "nothing new came to the draining server after the grace");
}
