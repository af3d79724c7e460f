//! `play`: several front processes, with faults injected one after the other.

use std::path::Path;
use std::process::ExitCode;

use ochrelead_verify::cluster::{TestCluster, fault_run};

/// First byte of the cluster's subnet. The second one depends on the process, so that concurrent runs seldom collide.
const SUBNET: u8 = 80;

pub(crate) fn run(binary: &Path, fronts: u32, seed: u64, faults: u32) -> ExitCode {
    let process = std::process::id();
    let folder = std::env::temp_dir().join(format!("ochrelead-verify-{seed}-{process}"));
    let subnet = [SUBNET, (process % 250) as u8 + 1];
    let arguments = (0..fronts).map(|_| Vec::new()).collect();
    let outcome = match TestCluster::start(binary, &folder, subnet, arguments) {
        Ok(mut cluster) => fault_run::run(&mut cluster, seed, faults),
        Err(error) => {
            eprintln!(
                "ochrelead-verify: could not start a cluster of {fronts} processes of {}: {error}",
                binary.display()
            );
            return ExitCode::from(2);
        }
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            println!("found: {error}");
            ExitCode::FAILURE
        }
    }
}
