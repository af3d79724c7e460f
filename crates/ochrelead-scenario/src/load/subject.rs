//! The process under measurement.

use std::fs;
use std::net::SocketAddrV4;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::Duration;

use ochrelead_config::{document, schema};
use rustix::process::Pid;
use rustix::thread::{CpuSet, sched_setaffinity};

use super::{LoadError, Subject};
use crate::loopback::LoopbackNetwork;
use crate::participant::Participant;

/// The time to wait after the start of the process until it listens.
const START_DELAY: Duration = Duration::from_millis(300);

/// A running subject; its process is killed on drop.
pub(super) struct SubjectProcess {
    child: Child,
    pub(super) address: SocketAddrV4,
}

impl SubjectProcess {
    /// Starts a subject and pins it to the last core.
    pub(super) fn start(
        subject: Subject,
        addresses: LoopbackNetwork,
        output: &Path,
    ) -> Result<SubjectProcess, LoadError> {
        let address = addresses.listen_address(Participant::Front(0));
        let mut command = match subject {
            Subject::Front => front_command(addresses, output)?,
            Subject::RecordingFront => {
                let mut command = front_command(addresses, output)?;
                command.arg("--records").arg(output.join("records"));
                command
            }
            Subject::Relay => relay_command(addresses)?,
        };
        let child = command.stdin(Stdio::null()).spawn()?;
        let process = SubjectProcess { child, address };
        let last_core = thread::available_parallelism()?.get() - 1;
        let mut cores = CpuSet::new();
        cores.set(last_core);
        sched_setaffinity(Pid::from_raw(process.child.id() as i32), &cores)?;
        thread::sleep(START_DELAY);
        Ok(process)
    }

    /// Returns its user plus system time in clock ticks (proc(5), fields 14 and 15 of `stat`); 0 if it can't be read.
    pub(super) fn cpu_ticks(&self) -> u64 {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        // The process name, field 2, may contain spaces.
        let after_name = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
        let times = after_name.split_whitespace().skip(11).take(2);
        times.filter_map(|field| field.parse::<u64>().ok()).sum()
    }

    /// Kills the process and waits for its end.
    pub(super) fn stop(mut self) -> Result<(), LoadError> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }
}

impl Drop for SubjectProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn front_command(addresses: LoopbackNetwork, output: &Path) -> Result<Command, LoadError> {
    let config_file = output.join("front.textproto");
    fs::write(&config_file, document::to_text(&front_config(addresses), "Front"))?;
    let mut command = Command::new(std::env::current_exe()?);
    command.args(["process", "front", "--policy", "module", "--seed", "1", "--settings"]).arg(&config_file);
    Ok(command)
}

fn relay_command(addresses: LoopbackNetwork) -> Result<Command, LoadError> {
    let listen_address = |participant| addresses.listen_address(participant).to_string();
    let mut command = Command::new(std::env::current_exe()?);
    command.args(["process", "relay", "--listen", &listen_address(Participant::Front(0))]);
    command.args(["--callers", &listen_address(Participant::Gateway)]);
    command.args(["--server", &listen_address(Participant::Server(0))]);
    Ok(command)
}

fn front_config(addresses: LoopbackNetwork) -> schema::Front {
    schema::Front {
        name: Some("front.example".to_owned()),
        listen: Some(addresses.listen_address(Participant::Front(0)).to_string()),
        fronts: Some(1),
        release_wait_ms: Some(200),
        service: vec![schema::Service {
            name: Some("check".to_owned()),
            dialled: Some("1".to_owned()),
            value: Some(1.0),
            post_dial_target_ms: Some(1_500),
            timer_limit_ms: Some(9_000),
            ..schema::Service::default()
        }],
        server: vec![schema::Server {
            name: Some("s0".to_owned()),
            address: Some(addresses.listen_address(Participant::Server(0)).to_string()),
            number: Some(0),
            dialled: Some("00".to_owned()),
            ..schema::Server::default()
        }],
        ..schema::Front::default()
    }
}
