//! Callers that send a node what it can't read or use, and what it owes them: a refusal, an error or a close.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::history::{Event, Recorder};
use super::traffic::{NodeTraffic, open};

/// A caller that sends what can't be used is refused or closed within this time, slack included.
pub const BAD_CALLER_LIMIT: Duration = Duration::from_millis(3_050);
/// A line that is longer than any message.
const LONG_LINE: usize = 200_000;
/// Connections of bad callers on which set-ups are withdrawn at once, and how many on each.
const WITHDRAWING_CONNECTIONS: usize = 3;
const WITHDRAWN_SET_UPS: usize = 60;
/// Lines of bad callers: half a set-up, no id, classes, tenants and figures that do not exist, an id twice.
const UNUSABLE_INPUT: [&str; 9] = [
    r#"{"t":"new","ref":"00000000000000ff","f":{"class":"voi"#,
    "{\"t\":\"new\",\"ref\":\"zz\",\"f\":{\"class\":\"nothing\"}}\n",
    "{\"t\":\"new\",\"f\":{\"class\":\"voice\",\"left\":\"900\"},\"d\":\"x\"}\n",
    "{\"t\":\"new\",\"ref\":\"ffffffffffff0001\",\"f\":{\"class\":\"none\",\"left\":\"900\"},\"d\":\"x\"}\n",
    "{\"t\":\"new\",\"ref\":\"ffffffffffff0002\",\"f\":{\"class\":\"voice\",\"left\":\"900\",\"tenant\":\"no\"},\"d\":\"x\"}\n",
    "{\"t\":\"new\",\"ref\":\"ffffffffffff0003\",\"f\":{\"class\":\"voice\",\"left\":\"-5\"},\"d\":\"x\"}\n",
    "{\"t\":\"new\",\"ref\":\"ffffffffffff0004\",\"f\":{\"class\":\"voice\",\"left\":\"1e99\"},\"d\":\"x\"}\n",
    "{\"t\":\"down\",\"ref\":\"ffffffffffff0005\",\"f\":{},\"c\":99999999999}\n",
    "{\"t\":\"new\",\"ref\":\"ffffffffffff0006\",\"f\":{\"class\":\"voice\",\"left\":\"9\"},\"d\":\"x\"}\n\
     {\"t\":\"new\",\"ref\":\"ffffffffffff0006\",\"f\":{\"class\":\"voice\",\"left\":\"9\"},\"d\":\"y\"}\n",
];

/// Sends a node what it can't read or use, half lines that end with the connection, and set-ups withdrawn at once.
pub fn send_bad_input(traffic: &NodeTraffic, recorder: &Arc<Recorder>) {
    let mut rng = Pcg64Mcg::seed_from_u64(traffic.seed ^ u64::MAX);
    let unusable = UNUSABLE_INPUT.map(|text| text.as_bytes().to_vec());
    let senders: Vec<_> = unusable
        .into_iter()
        .chain([vec![0xff; 3_000], vec![b'x'; LONG_LINE]])
        .map(|bytes| {
            let (node, listen, recorder) = (traffic.node, traffic.listen, recorder.clone());
            thread::spawn(move || {
                if !is_refused(listen, &bytes).unwrap_or(true) {
                    recorder.record(Event::BadInputIgnored { node });
                }
            })
        })
        .collect();
    for _ in 0..WITHDRAWING_CONNECTIONS {
        if let Some(connection) = open(traffic, recorder) {
            for _ in 0..WITHDRAWN_SET_UPS {
                connection.set_up(&traffic.set_up(&mut rng));
            }
            connection.close();
        }
    }
    for sender in senders {
        // One that panicked has said so.
        let _ = sender.join();
    }
}

/// Whether a node answers bytes that it can't use, or closes, in the time in which it owes that.
fn is_refused(listen: SocketAddr, bytes: &[u8]) -> io::Result<bool> {
    let mut stream = TcpStream::connect(listen)?;
    stream.set_read_timeout(Some(BAD_CALLER_LIMIT))?;
    // A node may close at any time on what it can't read.
    if stream.write_all(bytes).is_err() {
        return Ok(true);
    }
    let is_timeout = |error: &io::Error| error.kind() == io::ErrorKind::WouldBlock;
    Ok(!stream.read(&mut [0]).is_err_and(|error| is_timeout(&error)))
}
