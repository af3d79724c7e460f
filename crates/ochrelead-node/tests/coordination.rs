//! The coordination of three fronts, simulated without sockets: leases on a silent server, messages that wait for the
//! disk, and the status.

use std::net::SocketAddr;

use ochrelead_core::time::Moment;
use ochrelead_lease::electorate::Electorate;
use ochrelead_node::coordination::{CoordinationConfig, FleetAction, FleetCoordination};
use ochrelead_node::observation::{ServerActivity, ServerReport};
use ochrelead_node::persistence::StatusReport;

fn moment(ms: u64) -> Moment {
    Moment::from_micros(1_000_000_000_000 + ms * 1_000)
}

fn address(front: u32) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, u8::try_from(front).unwrap() + 1], 7946))
}

/// A health check that a front has requested.
struct SentCheck {
    front: u32,
    /// The counter of its fencing token.
    counter: u64,
}

/// Three fronts, some of which vote on leases.
struct Fleet {
    fronts: Vec<FleetCoordination>,
    now_ms: u64,
    /// The disk of the last front does not complete writes: no state is reported as persisted.
    is_disk_blocked: bool,
    checks: Vec<SentCheck>,
}

impl Fleet {
    /// `last_persists`: the last front persists its voter state.
    fn new(voters: &[u32], last_persists: bool) -> Fleet {
        let addresses: Vec<SocketAddr> = (0..3).map(address).collect();
        let coordination = |front: u32| {
            let config = CoordinationConfig {
                local_address: address(front),
                addresses: addresses.clone(),
                front: Some(front),
                electorate: Electorate::new(1, voters),
                seed: 7,
            };
            let mut coordination = FleetCoordination::new(config, moment(0)).unwrap();
            if last_persists && front == 2 {
                coordination.enable_persistence(None, 7, moment(0));
            }
            coordination
        };
        let fronts = (0..3).map(coordination).collect();
        Fleet { fronts, now_ms: 0, is_disk_blocked: false, checks: Vec::new() }
    }

    fn now(&self) -> Moment {
        moment(self.now_ms)
    }

    fn advance(&mut self, ms: u64) {
        for _ in 0..ms / 20 {
            self.now_ms += 20;
            let mut sent = Vec::new();
            for front in 0..self.fronts.len() {
                self.process(front);
                while let Some(datagram) = self.fronts[front].poll_output() {
                    sent.push((u32::try_from(front).unwrap(), datagram));
                }
            }
            let now = self.now();
            for (sender, datagram) in sent {
                let recipient = (0..3).find(|front| address(*front) == datagram.destination).unwrap();
                self.fronts[recipient as usize].handle_input(now, address(sender), &datagram.bytes);
            }
        }
    }

    fn process(&mut self, index: usize) {
        let now = self.now();
        let front = &mut self.fronts[index];
        front.process(now);
        front.update_servers(now, silent_server);
        while let Some(action) = front.poll_action() {
            if let FleetAction::CheckHealth { token, .. } = action {
                let front = u32::try_from(index).unwrap();
                self.checks.push(SentCheck { front, counter: token.counter });
            }
        }
        if let Some(state) = front.poll_voter_state().filter(|_| !self.is_disk_blocked) {
            assert!(!state.bytes.is_empty());
            front.on_persisted(state.sequence);
        }
    }

    fn holders(&self) -> Vec<u32> {
        let is_holder = |front: &u32| self.fronts[*front as usize].held_token(self.now(), "s-0").is_some();
        (0..3).filter(is_holder).collect()
    }
}

/// A server that has been silent since the start.
fn silent_server() -> ServerReport {
    let server = "s-0".to_owned();
    let activity = ServerActivity { server, last_unprompted: moment(0), last_heard: moment(0) };
    ServerReport { activity: vec![activity], locations: Vec::new() }
}

#[test]
fn one_of_three_fronts_probes_a_silent_server() {
    let mut fleet = Fleet::new(&[0, 1, 2], false);
    fleet.advance(20_000);
    assert_eq!(fleet.holders().len(), 1);
    let last = fleet.checks.last().unwrap();
    assert_eq!(fleet.holders(), [last.front]);
    assert!(last.counter > 0);
}

/// Two fronts vote, and the disk of one is blocked. Its promises are not sent, so that neither of the other fronts
/// gets a majority for the lease. Once the disk works, a front gets the lease and probes.
#[test]
fn no_promise_is_sent_before_it_is_persisted() {
    let mut fleet = Fleet::new(&[0, 2], true);
    fleet.is_disk_blocked = true;
    for _ in 0..100 {
        fleet.advance(200);
        assert!(!fleet.holders().contains(&0) && !fleet.holders().contains(&1), "{:?}", fleet.holders());
    }
    fleet.is_disk_blocked = false;
    fleet.checks.clear();
    fleet.fronts.truncate(2);
    fleet.fronts.push(Fleet::new(&[0, 2], true).fronts.remove(2));
    fleet.advance(30_000);
    assert!(!fleet.checks.is_empty());
}

#[test]
fn status_shows_voting_and_leases_at_most_once_per_second() {
    let mut fleet = Fleet::new(&[0, 1, 2], false);
    let StatusReport { status: initial, .. } = fleet.fronts[0].poll_status(moment(0)).unwrap();
    assert!(
        initial.contains("front 0 of 3, 1 seen; abstains for 4.0 s more; voters 0,1,2, generation 1\n"),
        "{initial}"
    );
    fleet.advance(20_000);
    let now = fleet.now();
    let holder = fleet.holders()[0] as usize;
    let StatusReport { status, counters } = fleet.fronts[holder].poll_status(now).unwrap();
    assert!(status.starts_with("written_us: ") && status.contains("3 seen; votes;"), "{status}");
    let line = status.lines().find(|line| line.starts_with("sounding s-0: number ")).unwrap();
    assert!(line.contains(", held here since ") && line.contains(" left"), "{line}");
    assert!(counters.contains("ochrelead_leases_held 1\n"), "{counters}");
    assert!(counters.contains("ochrelead_peers_datagrams_sent_total "), "{counters}");
    let other = (0..3).find(|other| *other != holder).unwrap();
    let StatusReport { status, .. } = fleet.fronts[other].poll_status(now).unwrap();
    assert!(status.contains(&format!("promised to front {holder}, ")), "{status}");
    let later = moment(fleet.now_ms + 900);
    assert_eq!(fleet.fronts[other].poll_status(later), None, "the status is due at most once per second");
}
