//! A coordinator that sends nothing but its last event index.

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Duration;

use super::listener;

/// A coordinator that reports each request and repeats its last event index every half second.
pub(crate) struct Coordinator {
    pub(crate) address: SocketAddr,
    /// The first line on each connection, with which the node requests updates.
    pub(crate) watch_requests: Receiver<String>,
}

impl Coordinator {
    pub(crate) fn start() -> Coordinator {
        let (listener, address) = listener();
        let (requests, watch_requests) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let requests = requests.clone();
                thread::spawn(move || {
                    let mut line = String::new();
                    let mut writer = stream.try_clone().unwrap();
                    let _ = BufReader::new(stream).read_line(&mut line);
                    let _ = requests.send(line);
                    while writer.write_all(b"{\"index\":1}\n").is_ok() {
                        thread::sleep(Duration::from_millis(500));
                    }
                });
            }
        });
        Coordinator { address, watch_requests }
    }
}
