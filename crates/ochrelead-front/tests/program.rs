//! The program as a process: a killed front serves again within a second from its state folder, `status` prints its
//! state, and invalid settings are reported.

use std::fs;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// The maximal time to wait for a condition.
const MAX_WAIT: Duration = Duration::from_secs(5);
const PROGRAM: &str = env!("CARGO_BIN_EXE_ochrelead-front");

/// A working folder with the files of one front, and sockets for its peers.
struct FrontFolder {
    path: PathBuf,
    listen: SocketAddrV4,
    callers: UdpSocket,
    server: UdpSocket,
    /// The number of call attempts so far.
    attempts: u32,
}

struct RunningFront(Child);

impl Drop for RunningFront {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl FrontFolder {
    fn new(name: &str) -> FrontFolder {
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(path.join("fleet")).unwrap();
        let bind = || {
            let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
            socket.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
            socket
        };
        // Each test has a different loopback address, by the length of its name, so that no other process takes the
        // port while the front is restarted.
        let host = (std::process::id() % 250) as u8 + 1;
        let listen = SocketAddrV4::new(Ipv4Addr::new(127, 17, name.len() as u8, host), 2727);
        let settings = format!(
            "name: \"f\" listen: \"{listen}\" fronts: 1 release_wait_ms: 200 drain_ms: 500\n\
             service {{ name: \"check\" dialled: \"1\" value: 1 post_dial_target_ms: 1500 timer_limit_ms: 9000 }}\n"
        );
        fs::write(path.join("front.textproto"), settings).unwrap();
        FrontFolder { path, listen, callers: bind(), server: bind(), attempts: 0 }
    }

    fn write_fleet(&self, generation: u32) {
        let address = self.server.local_addr().unwrap();
        let server = format!("server {{ name: \"s0\" address: \"{address}\" number: 0 dialled: \"00\" }}");
        let text = format!("generation: {generation} {server} end: {generation}");
        fs::write(self.path.join("fleet/a.textproto"), text).unwrap();
    }

    fn command(&self, arguments: &[&str]) -> Command {
        let mut command = Command::new(PROGRAM);
        command.args(arguments).current_dir(&self.path).stdin(Stdio::null());
        command
    }

    fn start(&self) -> RunningFront {
        let arguments =
            ["--settings", "front.textproto", "--fleet", "fleet", "--state", "state", "--seed", "7"];
        RunningFront(self.command(&arguments).spawn().unwrap())
    }

    /// Starts the front and waits until it sets up calls: a front rejects calls until it has read its fleet files.
    fn start_serving(&mut self) -> RunningFront {
        let front = self.start();
        let started_at = Instant::now();
        while self.dial(MAX_WAIT).0 != "CRCX" {
            assert!(started_at.elapsed() < MAX_WAIT, "front set up no call within {MAX_WAIT:?}");
        }
        front
    }

    /// Dials until the server receives an INVITE or the caller a tone. Returns the verb of the command that was
    /// received first (`none` after `max_wait`), and the time until then.
    fn dial(&mut self, max_wait: Duration) -> (String, Duration) {
        let (line, took) = self.dial_for_command_line(max_wait);
        (line[..4].to_owned(), took)
    }

    /// Like [`FrontFolder::dial`], but returns the whole first line of the command.
    fn dial_for_command_line(&mut self, max_wait: Duration) -> (String, Duration) {
        self.discard_received();
        let started_at = Instant::now();
        let mut buffer = [0; 2_048];
        while started_at.elapsed() < max_wait {
            self.attempts += 1;
            let events = "L/hd, D/1, D/0, D/0, D/7";
            let (attempt, listen) = (self.attempts, self.listen);
            let text =
                format!("NTFY {attempt} a/{attempt}@g MGCP 1.0\r\nX-Try: {attempt:x}\r\nO: {events}\r\n");
            let _ = self.callers.send_to(text.as_bytes(), listen);
            for socket in [&self.server, &self.callers] {
                while let Ok((length, _)) = socket.recv_from(&mut buffer) {
                    let text = String::from_utf8_lossy(&buffer[..length]).into_owned();
                    if text.starts_with("CRCX") || text.starts_with("RQNT") {
                        return (text.lines().next().unwrap_or("").to_owned(), started_at.elapsed());
                    }
                }
            }
        }
        ("none".to_owned(), started_at.elapsed())
    }

    /// Discards the datagrams that were received because of earlier attempts.
    fn discard_received(&self) {
        let mut buffer = [0; 2_048];
        for socket in [&self.server, &self.callers] {
            while socket.recv_from(&mut buffer).is_ok() {}
        }
    }

    /// Waits until the adopted list is persisted.
    fn wait_until_persisted(&self) {
        let started_at = Instant::now();
        while !self.path.join("state/kept").exists() && started_at.elapsed() < MAX_WAIT {
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn status(&self) -> Output {
        self.command(&["status", "--state", "state"]).output().unwrap()
    }
}

#[test]
fn killed_front_serves_from_its_state_folder_within_a_second_without_fleet_files() {
    let mut folder = FrontFolder::new("store");
    folder.write_fleet(3);
    let front = folder.start_serving();
    folder.wait_until_persisted();
    drop(front);
    fs::remove_dir_all(folder.path.join("fleet")).unwrap();
    let _front = folder.start();
    let (verb, took) = folder.dial(MAX_WAIT);
    assert!(verb == "CRCX" && took < Duration::from_secs(1), "{verb} after {took:?}");
}

/// Servers store their responses by transaction id for a while: if a restarted front reused an id, it would get the
/// response to the former process's command.
#[test]
fn restart_with_the_same_seed_uses_different_transaction_ids() {
    let mut folder = FrontFolder::new("restarted");
    folder.write_fleet(1);
    let mut command_lines = [(); 2].map(|()| {
        let _front = folder.start();
        folder.dial_for_command_line(MAX_WAIT).0
    });
    let ids = command_lines.each_mut().map(|line| line.split(' ').nth(1).unwrap().parse::<u32>().unwrap());
    assert!(ids[0].abs_diff(ids[1]) > 100, "{command_lines:?}");
}

#[test]
fn sessions_are_rejected_until_a_fleet_file_is_read() {
    let mut folder = FrontFolder::new("no-list");
    let _front = folder.start();
    assert_eq!(folder.dial(MAX_WAIT).0, "RQNT");
    folder.write_fleet(1);
    let started_at = Instant::now();
    while folder.dial(Duration::from_secs(1)).0 != "CRCX" {
        assert!(
            started_at.elapsed() < MAX_WAIT,
            "front set up no call within {MAX_WAIT:?} of the fleet file"
        );
    }
}

#[test]
fn status_prints_the_state_of_each_server_and_its_reason() {
    let mut folder = FrontFolder::new("status");
    folder.write_fleet(7);
    let _front = folder.start_serving();
    let started_at = Instant::now();
    let status = loop {
        let status = String::from_utf8(folder.status().stdout).unwrap();
        if status.contains("generation 7") || started_at.elapsed() > MAX_WAIT {
            break status;
        }
        thread::sleep(Duration::from_millis(50));
    };
    assert!(
        status.contains("fleet generation 7") && status.contains("number 0 weight 1: ready, listed"),
        "{status}"
    );
    let counters = fs::read_to_string(folder.path.join("state/counters.prom")).unwrap();
    assert!(counters.contains("ochrelead_fleet_adoptions_total 1"), "{counters}");
}

#[test]
fn invalid_settings_are_reported_with_exit_code_two() {
    let folder = FrontFolder::new("bad");
    fs::write(folder.path.join("front.textproto"), "name: \"f\"\nfronts: 0\n").unwrap();
    let run = folder.command(&["--settings", "front.textproto", "--check"]).output().unwrap();
    let stderr = String::from_utf8(run.stderr).unwrap();
    assert_eq!(run.status.code(), Some(2));
    assert!(stderr.contains("front.textproto:2:1: fronts is 0"), "{stderr}");
    assert_eq!(folder.status().status.code(), Some(2), "status fails if no front has written one");
}
