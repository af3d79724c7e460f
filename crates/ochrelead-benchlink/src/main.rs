//! Reads one batch per line from standard input and writes one reply per line to standard output.

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use ochrelead_benchlink::Host;
use ochrelead_benchlink::error::BatchError;
use thiserror::Error;

/// An error that ends the program without a reply to the batch.
#[derive(Debug, Error)]
enum Error {
    #[error(transparent)]
    Batch(#[from] BatchError),
    #[error(transparent)]
    Io(#[from] io::Error),
}

fn main() -> ExitCode {
    let mut host = Host::default();
    let mut output = io::stdout().lock();
    for (number, line) in (1..).zip(io::stdin().lock().lines()) {
        let reply = line.map_err(Error::from).and_then(|line| Ok(host.process(&line)?));
        for diagnostic in host.diagnostics.drain(..) {
            eprintln!("ochrelead-benchlink: batch {number}: {diagnostic}");
        }
        if let Err(error) = reply.and_then(|reply| Ok(write_line(&mut output, &reply)?)) {
            eprintln!("ochrelead-benchlink: batch {number}: {error}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

fn write_line(output: &mut impl Write, line: &str) -> io::Result<()> {
    writeln!(output, "{line}")?;
    output.flush()
}
