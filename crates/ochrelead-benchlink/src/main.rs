//! Reads batches from standard input, one a line, and writes one reply a line to standard output.

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use ochrelead_benchlink::Host;

fn main() -> ExitCode {
    let mut host = Host::default();
    let mut out = io::stdout().lock();
    for (at, line) in io::stdin().lock().lines().enumerate() {
        let reply = line.map_err(|error| error.to_string()).and_then(|line| host.turn(&line));
        for complaint in host.complaints.drain(..) {
            eprintln!("ochrelead-benchlink: batch {}: {complaint}", at + 1);
        }
        let sent = reply
            .and_then(|reply| writeln!(out, "{reply}").and_then(|()| out.flush()).map_err(|e| e.to_string()));
        if let Err(error) = sent {
            eprintln!("ochrelead-benchlink: batch {}: {error}", at + 1);
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
