//! Callers that send a node malformed or unusable input. The node owes each of them an answer or a close.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::history::{Event, Recorder};
use super::traffic::{NodeTraffic, open};

/// A node answers unusable input or closes its connection within this time, tolerance included.
pub const BAD_CALLER_LIMIT: Duration = Duration::from_millis(3_050);
/// The length in bytes of a line that is longer than any valid message.
const LONG_LINE_BYTES: usize = 200_000;
/// Connections that are closed right after set-ups were written to them.
const ABANDONED_CONNECTIONS: usize = 3;
/// Set-ups on each of these connections.
const ABANDONED_SET_UPS: usize = 60;
/// Unusable input: half a set-up, an invalid or missing id, an unknown class or tenant, numbers out of range, and
/// an id used twice.
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

/// Sends a node unusable input on several connections at the same time, and set-ups on connections that are closed at
/// once.
pub fn send_bad_input(traffic: &NodeTraffic, recorder: &Arc<Recorder>) {
    let mut rng = Pcg64Mcg::seed_from_u64(traffic.seed ^ u64::MAX);
    let unusable = UNUSABLE_INPUT.map(|text| text.as_bytes().to_vec());
    let senders: Vec<_> = unusable
        .into_iter()
        .chain([vec![0xff; 3_000], vec![b'x'; LONG_LINE_BYTES]])
        .map(|bytes| {
            let (node, listen, recorder) = (traffic.node, traffic.listen, recorder.clone());
            thread::spawn(move || {
                if !is_refused(listen, &bytes).unwrap_or(true) {
                    recorder.record(Event::BadInputIgnored { node });
                }
            })
        })
        .collect();
    for _ in 0..ABANDONED_CONNECTIONS {
        if let Some(connection) = open(traffic, recorder) {
            for _ in 0..ABANDONED_SET_UPS {
                connection.set_up(&traffic.draw_set_up(&mut rng));
            }
            connection.close();
        }
    }
    for sender in senders {
        // A thread that panicked has printed its message.
        let _ = sender.join();
    }
}

/// Sends the bytes; returns whether the node answers or closes the connection within [`BAD_CALLER_LIMIT`].
fn is_refused(listen: SocketAddr, bytes: &[u8]) -> io::Result<bool> {
    let mut stream = TcpStream::connect(listen)?;
    stream.set_read_timeout(Some(BAD_CALLER_LIMIT))?;
    // A node may close a connection with malformed input at any time.
    if stream.write_all(bytes).is_err() {
        return Ok(true);
    }
    let is_timeout = |error: &io::Error| error.kind() == io::ErrorKind::WouldBlock;
    Ok(!stream.read(&mut [0]).is_err_and(|error| is_timeout(&error)))
}
