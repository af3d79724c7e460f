//! An engine, and short forms for what its peers send and receive.

use std::net::SocketAddr;

use ochrelead_config::front_config;
use ochrelead_core::controller::Controller;
use ochrelead_core::time::Moment;
use ochrelead_front::engine::Engine;
use ochrelead_front::events::EngineEvent;
use ochrelead_mgcp::message::{Command, Message, Response, Verb, code};
use ochrelead_mgcp::{parse, write};

pub(crate) const SETTINGS: &str = r#"name: "f0" listen: "127.0.0.1:1" fronts: 2 release_wait_ms: 200 longest_away_ms: 2000
drain_ms: 3000 most_held: 50 repeats { first_gap_ms: 500 longest_gap_ms: 4000 give_up_ms: 6000 kept_ms: 30000 }
service { name: "check" dialled: "1" value: 1 post_dial_target_ms: 1500 timer_limit_ms: 9000 }
service { name: "set" dialled: "2" value: 3 post_dial_target_ms: 1500 timer_limit_ms: 9000 }
member { name: "norte" trunk: "norte" quota_per_s: 18 }
server { name: "s0" address: "127.0.0.1:10" number: 0 dialled: "00" }
server { name: "s1" address: "127.0.0.1:11" number: 1 dialled: "01" }
"#;

/// What a front has sent, in short.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Sent {
    Command(Verb, SocketAddr, Command),
    Response(u16, u32),
}

pub(crate) struct Front {
    pub(crate) engine: Engine,
    /// Each command is seen once, however often it is repeated.
    seen: Vec<u32>,
    /// The datagrams of INVITEs that have left, repeats and all.
    pub(crate) invites: u32,
    last_transaction: u32,
}

pub(crate) fn at(ms: u64) -> Moment {
    Moment::from_micros(60_000_000 + ms * 1_000)
}

pub(crate) fn gateway() -> SocketAddr {
    "127.0.0.1:5".parse().unwrap()
}

pub(crate) fn server(index: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10 + index))
}

impl Front {
    pub(crate) fn start(first: u32) -> Front {
        let config = front_config::parse("test", SETTINGS).unwrap();
        let policy = Controller::new(&config.controller, at(0));
        Front {
            engine: Engine::new(config, Box::new(policy), first, at(0)),
            seen: Vec::new(),
            invites: 0,
            last_transaction: 0,
        }
    }

    pub(crate) fn receive(&mut self, ms: u64, from: SocketAddr, bytes: &[u8]) {
        self.engine.handle_datagram(at(ms), from, bytes);
    }

    /// Runs the front up to a moment and returns what it has sent, repeats left out.
    pub(crate) fn sent(&mut self, ms: u64) -> Vec<Sent> {
        let mut sent = Vec::new();
        self.process(ms, &mut sent);
        sent
    }

    /// Runs the front from one moment to another, called when it asks for it.
    pub(crate) fn run(&mut self, from: u64, to: u64) -> Vec<Sent> {
        let mut sent = Vec::new();
        for ms in from..=to {
            if ms == from || ms == to || self.engine.poll_timeout().is_some_and(|timeout| timeout <= at(ms)) {
                self.process(ms, &mut sent);
            }
        }
        sent
    }

    fn process(&mut self, ms: u64, sent: &mut Vec<Sent>) {
        self.engine.process(at(ms));
        while let Some((to, bytes)) = self.engine.poll_datagram() {
            self.invites += u32::from(bytes.starts_with(b"CRCX "));
            match parse::datagram(&bytes).unwrap().remove(0).unwrap() {
                Message::Command(command) if self.seen.contains(&command.transaction) => {}
                Message::Command(command) => {
                    self.seen.push(command.transaction);
                    sent.push(Sent::Command(command.verb, to, command));
                }
                Message::Response(response) => sent.push(Sent::Response(response.code, response.transaction)),
            }
        }
    }

    pub(crate) fn events(&mut self) -> Vec<EngineEvent> {
        std::iter::from_fn(|| self.engine.poll_event()).collect()
    }

    /// A command of a peer, with a transaction id of its own.
    pub(crate) fn ask(&mut self, ms: u64, from: SocketAddr, line: &str, parameters: &str) -> u32 {
        self.last_transaction += 1;
        let (verb, endpoint) = line.split_once(' ').unwrap();
        let bytes = format!(
            "{verb} {} {endpoint} MGCP 1.0\r\n{}",
            self.last_transaction,
            parameters.replace('|', "\r\n")
        );
        self.receive(ms, from, bytes.as_bytes());
        self.last_transaction
    }

    /// A caller's attempt at a number of the service and server named by its digits.
    pub(crate) fn dial(&mut self, ms: u64, attempt: &str, digits: &str) -> u32 {
        let events: Vec<String> = digits.chars().map(|digit| format!("D/{digit}")).collect();
        let parameters = format!("X-Try: {attempt}|I: c{attempt}|O: L/hd, {}", events.join(", "));
        self.ask(ms, gateway(), "NTFY norte/1@g", &parameters)
    }

    pub(crate) fn hang_up(&mut self, ms: u64, attempt: &str) -> u32 {
        self.ask(ms, gateway(), "NTFY norte/1@g", &format!("X-Try: {attempt}|O: L/hu"))
    }

    /// Dials, and returns the INVITE's transaction and server.
    pub(crate) fn invited(&mut self, ms: u64, attempt: &str) -> (u32, SocketAddr) {
        self.dial(ms, attempt, "1004711");
        let sent = self.sent(ms);
        invite(&sent).unwrap_or_else(|| panic!("no INVITE in {sent:?}"))
    }

    /// A server's answer to a set-up.
    pub(crate) fn establish(&mut self, ms: u64, from: SocketAddr, transaction: u32, circuit: u32) {
        let name = if from == server(0) { "s0" } else { "s1" };
        let response = Response::new(code::DONE, transaction)
            .with("I", format!("i{circuit}"))
            .with("Z", format!("trunk/{circuit}@{name}"));
        self.respond(ms, from, response);
    }

    pub(crate) fn respond(&mut self, ms: u64, from: SocketAddr, response: Response) {
        self.receive(ms, from, &write::datagram(&[Message::Response(response)]));
    }
}

/// The first INVITE among what was sent.
pub(crate) fn invite(sent: &[Sent]) -> Option<(u32, SocketAddr)> {
    sent.iter().find_map(|sent| match sent {
        Sent::Command(Verb::CreateConnection, to, command) => Some((command.transaction, *to)),
        _ => None,
    })
}

/// How often each verb went out.
pub(crate) fn count(sent: &[Sent], verb: Verb) -> usize {
    sent.iter().filter(|sent| matches!(sent, Sent::Command(sent_verb, _, _) if *sent_verb == verb)).count()
}

/// The final answers that callers were given: established, busy, failed.
pub(crate) fn answers(sent: &[Sent]) -> Vec<&'static str> {
    let answer = |sent: &Sent| match sent {
        Sent::Command(Verb::ModifyConnection, ..) => Some("established"),
        Sent::Command(Verb::NotificationRequest, _, command) => match command.parameters.get("S") {
            Some("L/bz") => Some("busy"),
            Some("L/ro") => Some("failed"),
            _ => None,
        },
        _ => None,
    };
    sent.iter().filter_map(answer).collect()
}
