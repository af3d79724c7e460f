//! `play`: several processes of the program, with faults between them.

use std::path::Path;
use std::process::ExitCode;

use ochrelead_verify::cluster::{TestCluster, fault_run};

/// The first number of the subnet; the second is by the process.
const SUBNET: u8 = 80;

pub(crate) fn run(binary: &Path, fronts: u32, seed: u64, faults: u32) -> ExitCode {
    let process = std::process::id();
    let folder = std::env::temp_dir().join(format!("ochrelead-verify-{seed}-{process}"));
    let subnet = [SUBNET, (process % 250) as u8 + 1];
    let arguments = (0..fronts).map(|_| Vec::new()).collect();
    let run = match TestCluster::start(binary, &folder, subnet, arguments) {
        Ok(mut cluster) => fault_run::run(&mut cluster, seed, faults),
        Err(error) => {
            eprintln!("ochrelead-verify: {fronts} processes of {}: {error}", binary.display());
            return ExitCode::from(2);
        }
    };
    match run {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            println!("found: {error}");
            ExitCode::FAILURE
        }
    }
}
