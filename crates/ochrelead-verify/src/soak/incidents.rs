//! Incidents of a trial: groups of related faults, which follow one another or overlap.

use std::time::Duration;

use rand::{Rng, RngExt};

use super::coordinator::{NumberForm, WriteFaults};
use super::history::DiscoveryFault;
use super::scenario::{SERVERS, Scheduled, Step};
use super::server::Behaviour;

/// When the first incident begins.
const FIRST_INCIDENT_MS: u64 = 1_500;
/// How long a trial continues after its last incident.
const TAIL_MS: u64 = 5_000;
/// The share of incidents during which the next incident begins.
const OVERLAPPING_SHARE: f64 = 0.4;
/// The share of trials whose coordinators have write faults from the start.
const LASTING_WRITE_FAULT_SHARE: f64 = 0.4;

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Draws the steps of a trial, incident by incident.
pub(super) struct Schedule {
    steps: Vec<Scheduled>,
    nodes: usize,
    /// When the next incident begins; while one is drawn, when that one begins.
    now_ms: u64,
    /// When the last incident ends.
    end_ms: u64,
    /// The write faults that coordinators have during the whole trial.
    write_faults: WriteFaults,
}

impl Schedule {
    /// Draws 3 to 6 incidents, some of which overlap.
    pub(super) fn draw(nodes: usize, rng: &mut impl Rng) -> Schedule {
        let write_faults = WriteFaults::default();
        let mut schedule =
            Schedule { steps: Vec::new(), nodes, now_ms: FIRST_INCIDENT_MS, end_ms: 0, write_faults };
        if rng.random_bool(LASTING_WRITE_FAULT_SHARE) {
            schedule.draw_lasting_write_faults(rng);
        }
        for _ in 0..rng.random_range(3..7) {
            let began_ms = schedule.now_ms;
            schedule.draw_incident(rng);
            schedule.end_ms = schedule.end_ms.max(schedule.now_ms);
            schedule.now_ms = if rng.random_bool(OVERLAPPING_SHARE) {
                rng.random_range(began_ms..schedule.now_ms)
            } else {
                schedule.end_ms + rng.random_range(200..1_200)
            };
        }
        schedule.steps.sort_by_key(|scheduled| scheduled.at);
        schedule
    }

    /// The length of the trial: the last incident is followed by enough time to finish a shutdown and to see calls
    /// of the restarted node end.
    pub(super) fn length(&self) -> Duration {
        millis(self.end_ms + TAIL_MS)
    }

    /// Returns the steps in order of time.
    pub(super) fn into_steps(self) -> Vec<Scheduled> {
        self.steps
    }

    fn draw_node(&self, rng: &mut impl Rng) -> usize {
        rng.random_range(0..self.nodes)
    }

    /// Draws write faults for the whole trial: the first heartbeat line is late, and its form may be unusual or
    /// malformed.
    fn draw_lasting_write_faults(&mut self, rng: &mut impl Rng) {
        let forms = [NumberForm::Object, NumberForm::Bare, NumberForm::Unreadable];
        let number_form = forms[rng.random_range(0..forms.len())];
        let faults = WriteFaults { number_form, late_first_number: true, ..Default::default() };
        self.write_faults = faults;
        self.steps.push(Scheduled { at: Duration::ZERO, step: Step::SetWriteFaults { node: None, faults } });
    }

    /// Adds a step `after_ms` milliseconds after the start of the incident.
    fn push(&mut self, after_ms: u64, step: Step) {
        self.steps.push(Scheduled { at: millis(self.now_ms + after_ms), step });
    }

    /// Draws an incident and moves `now_ms` to its end.
    fn draw_incident(&mut self, rng: &mut impl Rng) {
        match rng.random_range(0..18) {
            0..3 => self.draw_discovery_outage(rng),
            3 => self.draw_start_without_discovery(rng),
            4..6 => self.draw_shutdowns(rng),
            6 | 7 => self.draw_configuration_changes(rng),
            8 => self.draw_malformed_input(rng),
            9 => self.draw_lost_server(rng),
            10 => self.draw_restarted_server(rng),
            11 => self.draw_stall(rng),
            12 => self.draw_numbers_before_events(rng),
            13 => self.draw_truncated_event(rng),
            14 | 15 => self.draw_rollout(rng),
            16 => self.draw_simultaneous_kills(rng),
            _ => self.draw_kill(rng),
        }
    }

    /// A drain close to the end of a discovery fault.
    fn draw_discovery_outage(&mut self, rng: &mut impl Rng) {
        let length_ms = rng.random_range(300..5_000);
        let fault = match rng.random_range(0..5) {
            0 | 1 => DiscoveryFault::Silent,
            2 => DiscoveryFault::Down,
            3 => DiscoveryFault::Suspended,
            _ => DiscoveryFault::Slow(millis(rng.random_range(50..500))),
        };
        let node = rng.random_bool(0.5).then(|| self.draw_node(rng));
        self.push(0, Step::FailDiscovery { node, fault, length: millis(length_ms) });
        let drain_at = (length_ms + 100).saturating_sub(rng.random_range(0..500)).max(1);
        let drain_time = millis(rng.random_range(1_500..4_000));
        self.push(drain_at, Step::Replace { server: draw_server(rng), drain_time });
        self.now_ms += drain_at + 1_500;
    }

    /// Shutdowns of nodes one after another while a server hangs, has vanished or is slow.
    fn draw_shutdowns(&mut self, rng: &mut impl Rng) {
        let behaviour = [Behaviour::Hanging, Behaviour::Vanished, Behaviour::Slow][rng.random_range(0..3)];
        self.push(0, Step::Behave { server: draw_server(rng), behaviour, length: millis(6_000) });
        let first = self.draw_node(rng);
        let mut after_ms = rng.random_range(0..500);
        for offset in 0..rng.random_range(1..4) {
            self.push(after_ms, Step::Terminate((first + offset) % self.nodes));
            after_ms += rng.random_range(200..2_000);
        }
        self.now_ms += after_ms + 2_000;
    }

    /// Several moves of a node's coordinator in quick succession, with a drain between them.
    fn draw_configuration_changes(&mut self, rng: &mut impl Rng) {
        let node = self.draw_node(rng);
        let mut after_ms = 0;
        for _ in 0..rng.random_range(1..4) {
            self.push(after_ms, Step::MoveCoordinator(node));
            after_ms += rng.random_range(20..800);
        }
        let drain_time = millis(rng.random_range(1_500..4_000));
        self.push(rng.random_range(0..after_ms), Step::Replace { server: draw_server(rng), drain_time });
        self.now_ms += after_ms + 1_000;
    }

    /// Malformed or repeated events from a coordinator, faulty answers from a server, and unusable input from
    /// callers.
    fn draw_malformed_input(&mut self, rng: &mut impl Rng) {
        let (node, server) = (self.draw_node(rng), draw_server(rng));
        let in_pieces = WriteFaults { repeat_events: true, in_pieces: true, ..self.write_faults };
        self.push(0, Step::SetWriteFaults { node: Some(node), faults: in_pieces });
        self.push(0, Step::BadCallers((node + 1) % self.nodes));
        self.push(0, Step::Behave { server, behaviour: Behaviour::Spoiling, length: millis(2_000) });
        let spoils_line = rng.random_bool(0.5);
        let faults =
            WriteFaults { spoil_next_line: spoils_line, break_next_event: !spoils_line, ..self.write_faults };
        self.push(500, Step::SetWriteFaults { node: Some(node), faults });
        self.push(800, Step::Replace { server: (server + 1) % SERVERS, drain_time: millis(2_000) });
        self.now_ms += 2_500;
    }

    /// A server loses connections, vanishes or serves connections late, and is replaced.
    fn draw_lost_server(&mut self, rng: &mut impl Rng) {
        let server = draw_server(rng);
        self.push(0, Step::CloseIdle((server + 1) % SERVERS));
        let behaviours = [
            Behaviour::Closing,
            Behaviour::Resetting,
            Behaviour::Vanished,
            Behaviour::AcceptingLate,
            Behaviour::Forgetful,
        ];
        let behaviour = behaviours[rng.random_range(0..behaviours.len())];
        self.push(0, Step::Behave { server, behaviour, length: millis(1_500) });
        self.push(1_000, Step::Replace { server, drain_time: millis(1_500) });
        self.now_ms += 2_500;
    }

    /// A node restarts during a discovery fault, and a server drains close to the end of the fault.
    fn draw_start_without_discovery(&mut self, rng: &mut impl Rng) {
        let node = self.draw_node(rng);
        let length_ms = rng.random_range(1_500..6_000);
        let fault = if rng.random_bool(0.5) { DiscoveryFault::Silent } else { DiscoveryFault::Down };
        self.push(0, Step::FailDiscovery { node: Some(node), fault, length: millis(length_ms) });
        self.push(100, if rng.random_bool(0.5) { Step::Kill(node) } else { Step::Terminate(node) });
        let drain_time = millis(rng.random_range(1_500..4_000));
        let drain_at = length_ms - rng.random_range(0..500);
        self.push(drain_at, Step::Replace { server: draw_server(rng), drain_time });
        self.now_ms += length_ms + 1_500;
    }

    /// A server crashes or restarts while two nodes are shut down and restarted.
    fn draw_restarted_server(&mut self, rng: &mut impl Rng) {
        let (node, server) = (self.draw_node(rng), draw_server(rng));
        self.push(
            0,
            match rng.random_range(0..3) {
                0 => Step::Crash(server),
                1 => Step::Restart { server, renamed: true },
                _ => Step::Restart { server, renamed: false },
            },
        );
        self.push(rng.random_range(0..1_200), Step::Terminate(node));
        self.push(rng.random_range(0..2_500), Step::Terminate((node + 1) % self.nodes));
        self.now_ms += 4_000;
    }

    /// A node is suspended while a server drains and the coordinator of another node may move.
    fn draw_stall(&mut self, rng: &mut impl Rng) {
        let (node, length_ms) = (self.draw_node(rng), rng.random_range(200..900));
        self.push(0, Step::Stall { node, length: millis(length_ms) });
        let drain_time = millis(rng.random_range(1_500..4_000));
        self.push(rng.random_range(1..length_ms), Step::Replace { server: draw_server(rng), drain_time });
        if rng.random_bool(0.5) {
            self.push(rng.random_range(0..length_ms), Step::MoveCoordinator((node + 1) % self.nodes));
        }
        self.now_ms += length_ms + 1_000;
    }

    /// Two drains in succession while a coordinator sends numbers before their events.
    fn draw_numbers_before_events(&mut self, rng: &mut impl Rng) {
        let (node, server) = (self.draw_node(rng), draw_server(rng));
        let faults = WriteFaults { number_first: true, ..self.write_faults };
        self.push(0, Step::SetWriteFaults { node: Some(node), faults });
        let drain_time = millis(rng.random_range(1_500..4_000));
        self.push(rng.random_range(100..800), Step::Replace { server, drain_time });
        self.push(rng.random_range(800..1_500), Step::Replace { server: (server + 1) % SERVERS, drain_time });
        self.now_ms += 2_500;
    }

    /// An event is cut off in the middle, and the connection is closed or stays open and silent.
    fn draw_truncated_event(&mut self, rng: &mut impl Rng) {
        let node = rng.random_bool(0.5).then(|| self.draw_node(rng));
        let stays_open = rng.random_bool(0.5);
        let faults =
            WriteFaults { stop_next_event: stays_open, break_next_event: !stays_open, ..self.write_faults };
        self.push(0, Step::SetWriteFaults { node, faults });
        let drain_time = millis(rng.random_range(500..4_000));
        self.push(rng.random_range(10..900), Step::Replace { server: draw_server(rng), drain_time });
        self.now_ms += 2_500;
    }

    /// Servers are replaced in quick succession, as in a rollout, some almost without a drain.
    fn draw_rollout(&mut self, rng: &mut impl Rng) {
        let (first, mut after_ms) = (draw_server(rng), 0);
        for offset in 0..rng.random_range(2..5) {
            let drain_time = if rng.random_bool(0.5) { 1 } else { rng.random_range(400..3_000) };
            let server = (first + offset) % SERVERS;
            self.push(after_ms, Step::Replace { server, drain_time: millis(drain_time) });
            after_ms += rng.random_range(1..500);
        }
        self.now_ms += after_ms + 1_500;
    }

    /// Half the nodes, rounded up, are killed at once, and a server drains.
    fn draw_simultaneous_kills(&mut self, rng: &mut impl Rng) {
        let first = self.draw_node(rng);
        for offset in 0..self.nodes.div_ceil(2) {
            self.push(0, Step::Kill((first + offset) % self.nodes));
        }
        self.push(400, Step::Replace { server: draw_server(rng), drain_time: millis(2_000) });
        self.now_ms += 2_000;
    }

    /// A node is killed, another is shut down, and a server drains.
    fn draw_kill(&mut self, rng: &mut impl Rng) {
        let node = self.draw_node(rng);
        self.push(0, Step::Kill(node));
        self.push(300, Step::Terminate((node + 1) % self.nodes));
        self.push(350, Step::Replace { server: draw_server(rng), drain_time: millis(2_000) });
        self.now_ms += 2_000;
    }
}

fn draw_server(rng: &mut impl Rng) -> usize {
    rng.random_range(0..SERVERS)
}
