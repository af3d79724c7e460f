//! The program through kills: a front serves within a second from what it kept, and says what it is doing.

use std::fs;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// The longest wait for anything.
const MAX_WAIT: Duration = Duration::from_secs(5);
const PROGRAM: &str = env!("CARGO_BIN_EXE_ochrelead-front");

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
        // An address of its own, so that no other process takes the port between two lives of the front.
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

    /// Starts the front and waits until it sets up calls: a call that comes before its files are read is rejected.
    fn start_serving(&mut self) -> RunningFront {
        let front = self.start();
        let started_at = Instant::now();
        while self.dial(MAX_WAIT).0 != "CRCX" {
            assert!(started_at.elapsed() < MAX_WAIT, "it sets up no call");
        }
        front
    }

    /// Dials until the server sees an INVITE or the caller a tone; what came first, and after how long.
    fn dial(&mut self, max_wait: Duration) -> (String, Duration) {
        let (line, took) = self.dial_for(max_wait);
        (line[..4].to_owned(), took)
    }

    fn dial_for(&mut self, max_wait: Duration) -> (String, Duration) {
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

    /// Drops what was sent in answer to earlier attempts.
    fn discard_received(&self) {
        let mut buffer = [0; 2_048];
        for socket in [&self.server, &self.callers] {
            while socket.recv_from(&mut buffer).is_ok() {}
        }
    }

    /// Waits until the adopted list is on disk.
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
fn killed_front_serves_from_its_state_folder_without_the_files() {
    let mut folder = FrontFolder::new("store");
    folder.write_fleet(3);
    let front = folder.start_serving();
    folder.wait_until_persisted();
    drop(front);
    fs::remove_dir_all(folder.path.join("fleet")).unwrap();
    let _front = folder.start();
    let (seen, took) = folder.dial(MAX_WAIT);
    assert!(seen == "CRCX" && took < Duration::from_secs(1), "{seen} after {took:?}");
}

/// A server keeps its answers for a while: an id of the former process would be answered with the former call.
#[test]
fn restart_with_the_same_seed_uses_other_transactions() {
    let mut folder = FrontFolder::new("two-lives");
    folder.write_fleet(1);
    let mut lives = [(); 2].map(|()| {
        let _front = folder.start();
        folder.dial_for(MAX_WAIT).0
    });
    let numbers = lives.each_mut().map(|line| line.split(' ').nth(1).unwrap().parse::<u32>().unwrap());
    assert!(numbers[0].abs_diff(numbers[1]) > 100, "{lives:?}");
}

#[test]
fn sessions_are_rejected_until_endpoints_are_known() {
    let mut folder = FrontFolder::new("nothing");
    let _front = folder.start();
    assert_eq!(folder.dial(MAX_WAIT).0, "RQNT");
    folder.write_fleet(1);
    let started_at = Instant::now();
    while folder.dial(Duration::from_secs(1)).0 != "CRCX" {
        assert!(started_at.elapsed() < MAX_WAIT);
    }
}

#[test]
fn status_names_the_state_of_each_server_and_its_reason() {
    let mut folder = FrontFolder::new("status");
    folder.write_fleet(7);
    let _front = folder.start_serving();
    let started_at = Instant::now();
    let said = loop {
        let said = String::from_utf8(folder.status().stdout).unwrap();
        if said.contains("generation 7") || started_at.elapsed() > MAX_WAIT {
            break said;
        }
        thread::sleep(Duration::from_millis(50));
    };
    assert!(
        said.contains("fleet generation 7") && said.contains("number 0 weight 1: ready, listed"),
        "{said}"
    );
    let counters = fs::read_to_string(folder.path.join("state/counters.prom")).unwrap();
    assert!(counters.contains("ochrelead_fleet_adoptions_total 1"), "{counters}");
}

#[test]
fn invalid_settings_are_one_line_each_and_exit_code_two() {
    let folder = FrontFolder::new("bad");
    fs::write(folder.path.join("front.textproto"), "name: \"f\"\nfronts: 0\n").unwrap();
    let run = folder.command(&["--settings", "front.textproto", "--check"]).output().unwrap();
    let said = String::from_utf8(run.stderr).unwrap();
    assert_eq!(run.status.code(), Some(2));
    assert!(said.contains("front.textproto:2:1: fronts is 0"), "{said}");
    assert_eq!(folder.status().status.code(), Some(2), "nothing was written yet");
}
