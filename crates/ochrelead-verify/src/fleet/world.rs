//! The fronts of a simulated fleet, and the events that happen to them.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use ochrelead_core::time::Moment;
use ochrelead_lease::electorate::{DEFAULT_SIZE, Electorate};
use ochrelead_node::coordination::{CoordinationConfig, FleetAction, FleetCoordination};
use ochrelead_node::health_check::effective_last_heard;
use ochrelead_node::observation::{ServerActivity, ServerReport};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{Costs, MILLISECOND, SECOND, Scenario};
use crate::event_queue::EventQueue;

/// How long a datagram takes, on average; a server's answer takes as long.
const LATENCY_US: u64 = 5 * MILLISECOND;
/// A front by itself tests a server that was silent for so long.
const SILENCE_US: u64 = 2 * SECOND;
/// How often fronts look for servers to test by themselves.
const OWN_TEST_INTERVAL_US: u64 = 100 * MILLISECOND;
/// What clocks show at the start.
const CLOCK_START_US: u64 = 3_600 * SECOND;
/// What a front's socket holds; more datagrams are lost.
const MAX_INBOX: usize = 256;
const PORT: u16 = 7946;

/// What happens.
#[derive(Clone, Debug)]
enum Event {
    /// A front is due; outdated where the front is due at another time by now.
    Wake { front: u32, at_us: u64 },
    /// A datagram arrives.
    Arrival { recipient: u32, datagram: Datagram },
    /// A server's answer to a front's test arrives.
    Answer { front: u32, server: u32 },
}

#[derive(Clone, Debug)]
struct Datagram {
    sender: SocketAddr,
    bytes: Vec<u8>,
}

/// What a front knows of a server.
#[derive(Clone, Copy, Debug, Default)]
struct ServerState {
    heard_us: u64,
    /// When other fronts have heard it.
    heard_by_others: Option<Moment>,
}

pub(super) struct Front {
    /// `None` while its process does not run, and where fronts do not coordinate.
    pub(super) node: Option<FleetCoordination>,
    pub(super) is_paused: bool,
    wakes_us: u64,
    servers: Vec<ServerState>,
    inbox: Vec<Datagram>,
}

impl Front {
    fn new(servers: u32) -> Front {
        let servers = vec![ServerState::default(); servers as usize];
        Front { node: None, is_paused: false, wakes_us: 0, servers, inbox: Vec::new() }
    }

    pub(super) fn kill(&mut self) {
        self.node = None;
    }

    pub(super) fn may_test_first_server(&self, now_us: u64) -> bool {
        let node = self.node.as_ref().filter(|_| !self.is_paused);
        node.is_some_and(|node| node.held_token(moment(now_us), &server_name(0)).is_some())
    }
}

pub(super) struct World {
    pub(super) scenario: Scenario,
    pub(super) now_us: u64,
    queue: EventQueue<Event>,
    pub(super) fronts: Vec<Front>,
    rng: Pcg64Mcg,
    costs: Costs,
    /// Costs are counted.
    is_counting: bool,
}

fn address(front: u32) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::from(0x0a00_0000 + front)), PORT)
}

fn front_of(address: SocketAddr) -> Option<u32> {
    match address.ip() {
        IpAddr::V4(ip) => Some(u32::from(ip) & 0x00ff_ffff),
        IpAddr::V6(_) => None,
    }
}

fn server_name(server: u32) -> String {
    format!("s-{server:08x}")
}

pub(super) fn moment(now_us: u64) -> Moment {
    Moment::from_micros(CLOCK_START_US + now_us)
}

impl World {
    pub(super) fn new(scenario: Scenario) -> World {
        let mut world = World {
            now_us: 0,
            queue: EventQueue::new(),
            fronts: (0..scenario.fronts).map(|_| Front::new(scenario.servers)).collect(),
            rng: Pcg64Mcg::seed_from_u64(scenario.seed),
            costs: Costs::default(),
            is_counting: false,
            scenario,
        };
        (0..world.scenario.fronts).for_each(|front| world.start(front));
        if !world.scenario.is_coordinated {
            // Nothing happens by itself: events without effect let time pass.
            for tick in 0..world.scenario.duration_secs * 10 {
                world.queue.push(tick * OWN_TEST_INTERVAL_US, Event::Wake { front: 0, at_us: u64::MAX });
            }
        }
        world
    }

    pub(super) fn run(mut self) -> Costs {
        let half_us = self.scenario.duration_secs * SECOND / 2;
        self.run_until(half_us, |_| false);
        (self.is_counting, self.costs.cpu) = (true, Duration::ZERO);
        self.run_until(2 * half_us, |_| false);
        self.is_counting = false;
        self.costs.secs = half_us as f64 / 1e6;
        self.costs.gap_ms = self.scenario.fault.and_then(|fault| self.deal_fault(fault));
        self.costs
    }

    pub(super) fn start(&mut self, front: u32) {
        let Scenario { fronts, seed, is_coordinated, .. } = self.scenario;
        let addresses = (0..fronts).map(address).collect();
        let seed = seed << 32 ^ u64::from(front) << 8 ^ self.now_us;
        let electorate = Electorate::evenly_spaced(1, fronts, DEFAULT_SIZE);
        let now = moment(self.now_us);
        let config = CoordinationConfig {
            local_address: address(front),
            addresses,
            front: Some(front),
            electorate,
            seed,
        };
        let node = FleetCoordination::new(config, now);
        let state = &mut self.fronts[front as usize];
        state.node = node.filter(|_| is_coordinated);
        (state.is_paused, state.wakes_us) = (false, self.now_us);
        state.inbox.clear();
        self.queue.push(self.now_us, Event::Wake { front, at_us: self.now_us });
    }

    /// Runs a front, and does what it asks for.
    pub(super) fn process(&mut self, front: u32) {
        let (now, started) = (moment(self.now_us), Instant::now());
        let state = &mut self.fronts[front as usize];
        let Some(node) = state.node.as_mut().filter(|_| !state.is_paused) else { return };
        for datagram in std::mem::take(&mut state.inbox) {
            node.handle_input(now, datagram.sender, &datagram.bytes);
        }
        node.process(now);
        node.update_servers(now, || ServerReport {
            activity: silent_servers(&state.servers),
            locations: Vec::new(),
        });
        let actions: Vec<FleetAction> = std::iter::from_fn(|| node.poll_action()).collect();
        let datagrams: Vec<_> = std::iter::from_fn(|| node.poll_output()).collect();
        let timeout = node.poll_timeout();
        self.costs.cpu += started.elapsed();
        for action in actions {
            self.perform(front, action);
        }
        for datagram in datagrams {
            self.send(front, datagram.destination, datagram.bytes);
        }
        if let Some(timeout) = timeout {
            self.schedule_wake(front, (self.now_us + timeout.since(now).micros()).max(self.now_us + 1));
        }
    }

    fn server_number(&self, name: &str) -> Option<u32> {
        (0..self.scenario.servers).find(|server| server_name(*server) == name)
    }

    fn perform(&mut self, front: u32, action: FleetAction) {
        match action {
            FleetAction::CheckHealth { server, .. } => {
                self.costs.leased_tests += u64::from(self.is_counting);
                let server = self.server_number(&server).filter(|_| self.scenario.servers_answer);
                if let Some(server) = server {
                    self.queue.push(self.now_us + 2 * LATENCY_US, Event::Answer { front, server });
                }
            }
            FleetAction::NoteHeardByPeer { server, heard_at } => {
                if let Some(server) = self.server_number(&server) {
                    self.fronts[front as usize].servers[server as usize].heard_by_others = Some(heard_at);
                }
            }
        }
    }

    fn send(&mut self, front: u32, recipient: SocketAddr, bytes: Vec<u8>) {
        if self.is_counting {
            self.costs.datagrams += 1;
            self.costs.bytes += bytes.len() as u64;
        }
        let Some(recipient) = front_of(recipient) else { return };
        let delay_us = LATENCY_US / 2 + self.rng.random_range(0..LATENCY_US);
        let datagram = Datagram { sender: address(front), bytes };
        self.queue.push(self.now_us + delay_us, Event::Arrival { recipient, datagram });
    }

    fn schedule_wake(&mut self, front: u32, at_us: u64) {
        let state = &mut self.fronts[front as usize];
        if state.wakes_us <= self.now_us || at_us < state.wakes_us {
            state.wakes_us = at_us;
            self.queue.push(at_us, Event::Wake { front, at_us });
        }
    }

    /// What fronts do by themselves about silent servers: a test is a new connection, which a server accepts.
    fn test_alone(&mut self) {
        let now = moment(self.now_us);
        for server in self.fronts.iter_mut().flat_map(|front| &mut front.servers) {
            let heard = effective_last_heard(moment(server.heard_us), server.heard_by_others);
            if now.since(heard).micros() >= SILENCE_US {
                self.costs.own_tests += u64::from(self.is_counting);
                server.heard_us = self.now_us;
            }
        }
    }

    /// Lets events happen until a time, or until `is_over`.
    pub(super) fn run_until(&mut self, until_us: u64, mut is_over: impl FnMut(&World) -> bool) {
        let mut next_own_tests_us = self.now_us;
        while let Some((at_us, event)) = self.queue.pop_until(until_us) {
            self.now_us = at_us;
            if self.now_us >= next_own_tests_us {
                next_own_tests_us = self.now_us + OWN_TEST_INTERVAL_US;
                self.test_alone();
            }
            self.handle(event);
            if is_over(self) {
                break;
            }
        }
        self.now_us = self.now_us.max(until_us.min(self.now_us + 1));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Wake { front, at_us } => {
                if self.fronts[front as usize].wakes_us == at_us {
                    self.fronts[front as usize].wakes_us = 0;
                    self.process(front);
                }
            }
            Event::Arrival { recipient, datagram } => {
                let inbox = &mut self.fronts[recipient as usize].inbox;
                if inbox.len() < MAX_INBOX {
                    inbox.push(datagram);
                }
                self.process(recipient);
            }
            Event::Answer { front, server } => {
                self.fronts[front as usize].servers[server as usize].heard_us = self.now_us;
            }
        }
    }
}

/// Servers that have said nothing since the start.
fn silent_servers(servers: &[ServerState]) -> Vec<ServerActivity> {
    let silent = |(number, server): (u32, &ServerState)| ServerActivity {
        server: server_name(number),
        last_unprompted: moment(0),
        last_heard: moment(server.heard_us),
    };
    (0..).zip(servers).map(silent).collect()
}
