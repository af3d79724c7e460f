//! The state of a simulated fleet, and the event loop.

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

/// Mean one-way delay of a datagram; a health check and a server's answer each take exactly as long.
const LATENCY_US: u64 = 5 * MILLISECOND;
/// A front checks the health of a server without a lease if it has not heard from the server for this time.
const MAX_SILENCE_US: u64 = 2 * SECOND;
/// Interval at which each front looks for silent servers to check itself.
const LOCAL_CHECK_INTERVAL_US: u64 = 100 * MILLISECOND;
/// Reading of every clock at the start of the run.
const CLOCK_START_US: u64 = 3_600 * SECOND;
/// Datagrams that the socket of a front buffers; further ones are lost.
const MAX_INBOX: usize = 256;
const PORT: u16 = 7946;

/// An event of the simulation.
#[derive(Clone, Debug)]
enum Event {
    /// A front is due to run at `at_us`. The event is ignored if the front was rescheduled.
    Wake { front: u32, at_us: u64 },
    /// A datagram arrives at a front.
    Arrival { recipient: u32, datagram: Datagram },
    /// A server's answer to a health check arrives at the front.
    Answer { front: u32, server: u32 },
}

#[derive(Clone, Debug)]
struct Datagram {
    sender: SocketAddr,
    bytes: Vec<u8>,
}

/// When a front last heard from a server.
#[derive(Clone, Copy, Debug, Default)]
struct ServerState {
    last_heard_us: u64,
    /// When another front last heard from the server, as that front reported.
    last_heard_by_peers: Option<Moment>,
}

pub(super) struct Front {
    /// `None` while the process does not run, and in runs without coordination.
    pub(super) coordination: Option<FleetCoordination>,
    pub(super) is_paused: bool,
    /// Virtual time of the next scheduled run; 0 once that run has begun.
    next_wake_us: u64,
    servers: Vec<ServerState>,
    inbox: Vec<Datagram>,
}

impl Front {
    fn new(servers: u32) -> Front {
        let servers = vec![ServerState::default(); servers as usize];
        Front { coordination: None, is_paused: false, next_wake_us: 0, servers, inbox: Vec::new() }
    }

    pub(super) fn kill(&mut self) {
        self.coordination = None;
    }

    /// Whether the front runs and holds the lease of the first server.
    pub(super) fn holds_first_lease(&self, now_us: u64) -> bool {
        let coordination = self.coordination.as_ref().filter(|_| !self.is_paused);
        coordination
            .is_some_and(|coordination| coordination.held_token(moment(now_us), &server_name(0)).is_some())
    }
}

pub(super) struct World {
    pub(super) scenario: Scenario,
    pub(super) now_us: u64,
    queue: EventQueue<Event>,
    pub(super) fronts: Vec<Front>,
    rng: Pcg64Mcg,
    costs: Costs,
    /// Whether costs are being counted.
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
            // Without coordination there are no other events. These have no effect, but advance the clock.
            for tick in 0..world.scenario.duration_secs * 10 {
                world.queue.push(tick * LOCAL_CHECK_INTERVAL_US, Event::Wake { front: 0, at_us: u64::MAX });
            }
        }
        world
    }

    /// Runs the scenario: first half, second half with costs counted, then the fault.
    pub(super) fn run(mut self) -> Costs {
        let half_us = self.scenario.duration_secs * SECOND / 2;
        self.run_until(half_us, |_| false);
        (self.is_counting, self.costs.cpu) = (true, Duration::ZERO);
        self.run_until(2 * half_us, |_| false);
        self.is_counting = false;
        self.costs.counted_secs = half_us as f64 / 1e6;
        self.costs.gap_ms = self.scenario.fault.and_then(|fault| self.measure_gap_after(fault));
        self.costs
    }

    /// Starts or restarts a front's process.
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
        let coordination = FleetCoordination::new(config, now);
        let state = &mut self.fronts[front as usize];
        state.coordination = coordination.filter(|_| is_coordinated);
        (state.is_paused, state.next_wake_us) = (false, self.now_us);
        state.inbox.clear();
        self.queue.push(self.now_us, Event::Wake { front, at_us: self.now_us });
    }

    /// Runs a front's coordination, performs its actions, sends its datagrams, and schedules the next run.
    pub(super) fn process(&mut self, front: u32) {
        let (now, started) = (moment(self.now_us), Instant::now());
        let state = &mut self.fronts[front as usize];
        let Some(coordination) = state.coordination.as_mut().filter(|_| !state.is_paused) else { return };
        for datagram in std::mem::take(&mut state.inbox) {
            coordination.handle_input(now, datagram.sender, &datagram.bytes);
        }
        coordination.process(now);
        coordination.update_servers(now, || ServerReport {
            activity: server_activity(&state.servers),
            locations: Vec::new(),
        });
        let actions: Vec<FleetAction> = std::iter::from_fn(|| coordination.poll_action()).collect();
        let datagrams: Vec<_> = std::iter::from_fn(|| coordination.poll_output()).collect();
        let timeout = coordination.poll_timeout();
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

    /// The number of a server, by its name.
    fn server_by_name(&self, name: &str) -> Option<u32> {
        (0..self.scenario.servers).find(|server| server_name(*server) == name)
    }

    /// Performs an action of a front's coordination: a health check, or a note of what a peer has heard.
    fn perform(&mut self, front: u32, action: FleetAction) {
        match action {
            FleetAction::CheckHealth { server, .. } => {
                self.costs.leased_health_checks += u64::from(self.is_counting);
                let server = self.server_by_name(&server).filter(|_| self.scenario.servers_answer);
                if let Some(server) = server {
                    self.queue.push(self.now_us + 2 * LATENCY_US, Event::Answer { front, server });
                }
            }
            FleetAction::NoteHeardByPeer { server, heard_at } => {
                if let Some(server) = self.server_by_name(&server) {
                    self.fronts[front as usize].servers[server as usize].last_heard_by_peers = Some(heard_at);
                }
            }
        }
    }

    /// Sends a datagram, which arrives after a random delay.
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

    /// Schedules the next run of a front, unless an earlier run is already scheduled.
    fn schedule_wake(&mut self, front: u32, at_us: u64) {
        let state = &mut self.fronts[front as usize];
        if state.next_wake_us <= self.now_us || at_us < state.next_wake_us {
            state.next_wake_us = at_us;
            self.queue.push(at_us, Event::Wake { front, at_us });
        }
    }

    /// Lets each front check the servers that neither it nor its peers have heard from lately. Such a check opens a
    /// connection; the silent server accepts it, and so counts as heard.
    fn check_silent_servers(&mut self) {
        let now = moment(self.now_us);
        for server in self.fronts.iter_mut().flat_map(|front| &mut front.servers) {
            let heard = effective_last_heard(moment(server.last_heard_us), server.last_heard_by_peers);
            if now.since(heard).micros() >= MAX_SILENCE_US {
                self.costs.unleased_health_checks += u64::from(self.is_counting);
                server.last_heard_us = self.now_us;
            }
        }
    }

    /// Handles events up to `until_us`, or until `is_over` returns true after an event.
    pub(super) fn run_until(&mut self, until_us: u64, mut is_over: impl FnMut(&World) -> bool) {
        let mut next_local_checks_us = self.now_us;
        while let Some((at_us, event)) = self.queue.pop_until(until_us) {
            self.now_us = at_us;
            if self.now_us >= next_local_checks_us {
                next_local_checks_us = self.now_us + LOCAL_CHECK_INTERVAL_US;
                self.check_silent_servers();
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
                if self.fronts[front as usize].next_wake_us == at_us {
                    self.fronts[front as usize].next_wake_us = 0;
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
                self.fronts[front as usize].servers[server as usize].last_heard_us = self.now_us;
            }
        }
    }
}

/// Reports all servers as silent: they have sent nothing unprompted since the start.
fn server_activity(servers: &[ServerState]) -> Vec<ServerActivity> {
    let activity = |(number, server): (u32, &ServerState)| ServerActivity {
        server: server_name(number),
        last_unprompted: moment(0),
        last_heard: moment(server.last_heard_us),
    };
    (0..).zip(servers).map(activity).collect()
}
