//! The program through kills: a front serves within a second from what it kept, and says what it is doing.

use std::fs;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::thread;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_ochrelead-front");

struct Rig {
    folder: PathBuf,
    own: SocketAddrV4,
    callers: UdpSocket,
    server: UdpSocket,
    tried: u32,
}

struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Rig {
    fn new(name: &str) -> Rig {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(folder.join("fleet")).unwrap();
        let bind = || {
            let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
            socket.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
            socket
        };
        // An address of its own, so that no other process takes the port between two lives of the front.
        let host = (std::process::id() % 250) as u8 + 1;
        let own = SocketAddrV4::new(Ipv4Addr::new(127, 17, name.len() as u8, host), 2727);
        let settings = format!(
            "name: \"f\" listen: \"{own}\" fronts: 1 release_wait_ms: 200 drain_ms: 500\n\
             service {{ name: \"check\" dialled: \"1\" value: 1 post_dial_target_ms: 1500 timer_limit_ms: 9000 }}\n"
        );
        fs::write(folder.join("front.textproto"), settings).unwrap();
        Rig { folder, own, callers: bind(), server: bind(), tried: 0 }
    }

    fn fleet(&self, generation: u32) {
        let address = self.server.local_addr().unwrap();
        let server = format!("server {{ name: \"s0\" address: \"{address}\" number: 0 dialled: \"00\" }}");
        let text = format!("generation: {generation} {server} end: {generation}");
        fs::write(self.folder.join("fleet/a.textproto"), text).unwrap();
    }

    fn command(&self, arguments: &[&str]) -> Command {
        let mut command = Command::new(PROGRAM);
        command.args(arguments).current_dir(&self.folder).stdin(Stdio::null());
        command
    }

    fn start(&self) -> Running {
        let arguments =
            ["--settings", "front.textproto", "--fleet", "fleet", "--state", "state", "--seed", "7"];
        Running(self.command(&arguments).spawn().unwrap())
    }

    /// Dials until the server sees an INVITE or the caller a tone; what came first, and after how long.
    fn dial(&mut self, patience: Duration) -> (String, Duration) {
        let (line, took) = self.dial_for(patience);
        (line[..4].to_owned(), took)
    }

    fn dial_for(&mut self, patience: Duration) -> (String, Duration) {
        let begun = Instant::now();
        let mut buffer = [0; 2_048];
        while begun.elapsed() < patience {
            self.tried += 1;
            let events = "L/hd, D/1, D/0, D/0, D/7";
            let (tried, own) = (self.tried, self.own);
            let text = format!("NTFY {tried} a/{tried}@g MGCP 1.0\r\nX-Try: {tried:x}\r\nO: {events}\r\n");
            let _ = self.callers.send_to(text.as_bytes(), own);
            for socket in [&self.server, &self.callers] {
                while let Ok((length, _)) = socket.recv_from(&mut buffer) {
                    let text = String::from_utf8_lossy(&buffer[..length]).into_owned();
                    if text.starts_with("CRCX") || text.starts_with("RQNT") {
                        return (text.lines().next().unwrap_or("").to_owned(), begun.elapsed());
                    }
                }
            }
        }
        ("none".to_owned(), begun.elapsed())
    }

    /// Waits until what was adopted is on disk.
    fn kept(&self) {
        let begun = Instant::now();
        while !self.folder.join("state/kept").exists() && begun.elapsed() < Duration::from_secs(5) {
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn status(&self) -> Output {
        self.command(&["status", "--state", "state"]).output().unwrap()
    }
}

#[test]
fn killed_front_serves_from_its_state_folder_without_the_files() {
    let mut rig = Rig::new("store");
    rig.fleet(3);
    let front = rig.start();
    assert_eq!(rig.dial(Duration::from_secs(5)).0, "CRCX");
    rig.kept();
    drop(front);
    fs::remove_dir_all(rig.folder.join("fleet")).unwrap();
    let _front = rig.start();
    let (seen, took) = rig.dial(Duration::from_secs(5));
    assert!(seen == "CRCX" && took < Duration::from_secs(1), "{seen} after {took:?}");
}

/// A server keeps its answers for a while: an id of the former process would be answered with the former call.
#[test]
fn restart_with_the_same_seed_uses_other_transactions() {
    let mut rig = Rig::new("two-lives");
    rig.fleet(1);
    let mut lives = [(); 2].map(|()| {
        let _front = rig.start();
        rig.dial_for(Duration::from_secs(5)).0
    });
    let numbers = lives.each_mut().map(|line| line.split(' ').nth(1).unwrap().parse::<u32>().unwrap());
    assert!(numbers[0].abs_diff(numbers[1]) > 100, "{lives:?}");
}

#[test]
fn sessions_are_rejected_until_endpoints_are_known() {
    let mut rig = Rig::new("nothing");
    let _front = rig.start();
    assert_eq!(rig.dial(Duration::from_secs(5)).0, "RQNT");
    rig.fleet(1);
    let begun = Instant::now();
    while rig.dial(Duration::from_secs(1)).0 != "CRCX" {
        assert!(begun.elapsed() < Duration::from_secs(5));
    }
}

#[test]
fn status_names_the_state_of_each_server_and_its_reason() {
    let mut rig = Rig::new("status");
    rig.fleet(7);
    let _front = rig.start();
    assert_eq!(rig.dial(Duration::from_secs(5)).0, "CRCX");
    let begun = Instant::now();
    let said = loop {
        let said = String::from_utf8(rig.status().stdout).unwrap();
        if said.contains("generation 7") || begun.elapsed() > Duration::from_secs(5) {
            break said;
        }
        thread::sleep(Duration::from_millis(50));
    };
    assert!(
        said.contains("fleet generation 7") && said.contains("number 0 weight 1: ready, listed"),
        "{said}"
    );
    let counters = fs::read_to_string(rig.folder.join("state/counters.prom")).unwrap();
    assert!(counters.contains("ochrelead_fleet_adoptions_total 1"), "{counters}");
}

#[test]
fn invalid_settings_are_one_line_each_and_exit_code_two() {
    let rig = Rig::new("bad");
    fs::write(rig.folder.join("front.textproto"), "name: \"f\"\nfronts: 0\n").unwrap();
    let run = rig.command(&["--settings", "front.textproto", "--check"]).output().unwrap();
    let said = String::from_utf8(run.stderr).unwrap();
    assert_eq!(run.status.code(), Some(2));
    assert!(said.contains("front.textproto:2:1: fronts is 0"), "{said}");
    assert_eq!(rig.status().status.code(), Some(2), "nothing was written yet");
}
