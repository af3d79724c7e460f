//! An engine under test, with methods for the messages that its peers send, and summaries of the messages that they
//! receive.

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

/// A message that the front has sent.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Sent {
    Command(Verb, SocketAddr, Command),
    Response(u16, u32),
}

pub(crate) struct Front {
    pub(crate) engine: Engine,
    /// The transaction ids of the commands that were sent: retransmissions are left out of the results.
    sent_transactions: Vec<u32>,
    /// The number of datagrams with an INVITE that were sent, retransmissions included.
    pub(crate) invite_datagrams: u32,
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
    pub(crate) fn start(first_transaction: u32) -> Front {
        let config = front_config::parse("test", SETTINGS).unwrap();
        let policy = Controller::new(&config.controller, at(0));
        Front {
            engine: Engine::new(config, Box::new(policy), first_transaction, at(0)),
            sent_transactions: Vec::new(),
            invite_datagrams: 0,
            last_transaction: 0,
        }
    }

    pub(crate) fn receive(&mut self, ms: u64, from: SocketAddr, bytes: &[u8]) {
        self.engine.handle_datagram(at(ms), from, bytes);
    }

    /// Calls [`Engine::process`] at this time and returns the messages that were sent, without retransmissions.
    pub(crate) fn process_at(&mut self, ms: u64) -> Vec<Sent> {
        let mut sent = Vec::new();
        self.process(ms, &mut sent);
        sent
    }

    /// Runs the front over a period: processes at its start, at its end, and whenever a time-out of the engine is due.
    /// Returns the messages that were sent, without retransmissions.
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
            self.invite_datagrams += u32::from(bytes.starts_with(b"CRCX "));
            match parse::datagram(&bytes).unwrap().remove(0).unwrap() {
                Message::Command(command) if self.sent_transactions.contains(&command.transaction) => {}
                Message::Command(command) => {
                    self.sent_transactions.push(command.transaction);
                    sent.push(Sent::Command(command.verb, to, command));
                }
                Message::Response(response) => sent.push(Sent::Response(response.code, response.transaction)),
            }
        }
    }

    pub(crate) fn events(&mut self) -> Vec<EngineEvent> {
        std::iter::from_fn(|| self.engine.poll_event()).collect()
    }

    /// Receives a command of a peer under a new transaction id, and returns that id. `line` is the verb and the
    /// endpoint; the parameter lines are separated by `|`.
    pub(crate) fn receive_command(&mut self, ms: u64, from: SocketAddr, line: &str, parameters: &str) -> u32 {
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

    /// Receives a caller's attempt; its digits name the service and the server.
    pub(crate) fn dial(&mut self, ms: u64, attempt: &str, digits: &str) -> u32 {
        let events: Vec<String> = digits.chars().map(|digit| format!("D/{digit}")).collect();
        let parameters = format!("X-Try: {attempt}|I: c{attempt}|O: L/hd, {}", events.join(", "));
        self.receive_command(ms, gateway(), "NTFY norte/1@g", &parameters)
    }

    pub(crate) fn hang_up(&mut self, ms: u64, attempt: &str) -> u32 {
        self.receive_command(ms, gateway(), "NTFY norte/1@g", &format!("X-Try: {attempt}|O: L/hu"))
    }

    /// Dials, and returns the transaction id and the destination of the INVITE that is sent.
    pub(crate) fn dial_and_take_invite(&mut self, ms: u64, attempt: &str) -> (u32, SocketAddr) {
        self.dial(ms, attempt, "1004711");
        let sent = self.process_at(ms);
        first_invite(&sent).unwrap_or_else(|| panic!("no INVITE in {sent:?}"))
    }

    /// Receives a server's response that establishes a call on this circuit.
    pub(crate) fn respond_established(&mut self, ms: u64, from: SocketAddr, transaction: u32, circuit: u32) {
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

/// The transaction id and the destination of the first INVITE among the sent messages.
pub(crate) fn first_invite(sent: &[Sent]) -> Option<(u32, SocketAddr)> {
    sent.iter().find_map(|sent| match sent {
        Sent::Command(Verb::CreateConnection, to, command) => Some((command.transaction, *to)),
        _ => None,
    })
}

/// The number of sent commands with this verb.
pub(crate) fn count_commands(sent: &[Sent], verb: Verb) -> usize {
    sent.iter().filter(|sent| matches!(sent, Sent::Command(sent_verb, _, _) if *sent_verb == verb)).count()
}

/// The final answers that were sent to callers: established, busy, failed.
pub(crate) fn final_answers(sent: &[Sent]) -> Vec<&'static str> {
    let final_answer = |sent: &Sent| match sent {
        Sent::Command(Verb::ModifyConnection, ..) => Some("established"),
        Sent::Command(Verb::NotificationRequest, _, command) => match command.parameters.get("S") {
            Some("L/bz") => Some("busy"),
            Some("L/ro") => Some("failed"),
            _ => None,
        },
        _ => None,
    };
    sent.iter().filter_map(final_answer).collect()
}
