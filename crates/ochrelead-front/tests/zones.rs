//! Zone failover with twelve front processes in three zones, six servers, callers, and faults between them. The tests
//! check the INVITEs that reached the servers and the answers that callers received. A timeout only limits how long a
//! test waits; it is no requirement on the speed of failover. One cluster runs at a time: without enough processor
//! time, all zones look slow to the fronts, which then rightly move traffic away from none.

use std::path::Path;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use ochrelead_verify::cluster::deployment::TestDeployment;
use ochrelead_verify::cluster::fenced_server::FencedServer;
use ochrelead_verify::cluster::relay::NetworkFaults;
use ochrelead_verify::cluster::{ClusterConfig, FrontSetup, TestCluster};
use serde_json::json;
use test_case::test_case;

const FRONTS: u32 = 12;
const SERVERS: u32 = 6;
const ZONES: u32 = 3;
/// The longest wait for an expected condition.
const MAX_WAIT: Duration = Duration::from_secs(90);
/// The interval at which the caller of each front requests calls.
const CALL_INTERVAL: Duration = Duration::from_millis(20);

/// Locked by the test whose cluster is running.
static CLUSTER_LOCK: Mutex<()> = Mutex::new(());

/// Fronts in zones, with servers and callers.
struct ZoneCluster {
    processes: TestCluster,
    deployment: TestDeployment,
    /// Declared last, so that it is released after the processes have ended.
    _lock: MutexGuard<'static, ()>,
}

impl ZoneCluster {
    fn start(name: &str, subnet: u8, has_gossip: bool, knows_zones: impl Fn(u32) -> bool) -> ZoneCluster {
        let lock = CLUSTER_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let host = (std::process::id() % 250) as u8 + 1;
        let binary = Path::new(env!("CARGO_BIN_EXE_ochrelead-front"));
        let deployment = TestDeployment::start(FRONTS, SERVERS).unwrap();
        let arguments = |front| if knows_zones(front) { vec!["--districts".to_owned()] } else { Vec::new() };
        let front = |front: u32| {
            let names: Vec<String> = (0..ZONES).map(|zone| format!("d{zone}")).collect();
            FrontSetup {
                arguments: arguments(front),
                endpoints: deployment.endpoints(front, ZONES),
                settings: json!({"az": front % ZONES, "zones": names}),
            }
        };
        let config = ClusterConfig {
            binary,
            folder: &folder,
            subnet: [subnet, host],
            has_gossip,
            fronts: (0..FRONTS).map(front).collect(),
        };
        let processes = TestCluster::start_with(config, FencedServer::start().unwrap()).unwrap();
        for front in 0..FRONTS {
            deployment.start_caller(front, processes.caller_address(front), CALL_INTERVAL);
        }
        let cluster = ZoneCluster { processes, deployment, _lock: lock };
        let started_at = Instant::now();
        cluster.wait_until(MAX_WAIT, "all servers are in use", || {
            (0..FRONTS).all(|front| {
                cluster.deployment.count_invites(started_at, |invite| invite.front == front) > 100
            })
        });
        cluster
    }

    fn wait_until(&self, max_wait: Duration, condition: &str, holds: impl Fn() -> bool) {
        let deadline = Instant::now() + max_wait;
        while !holds() {
            assert!(Instant::now() < deadline, "not within {max_wait:?}: {condition}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// The number of INVITEs since a time that the selected fronts sent to servers of a zone.
    fn count_invites(&self, zone: u32, since: Instant, selects_front: impl Fn(u32) -> bool) -> usize {
        self.deployment
            .count_invites(since, |invite| selects_front(invite.front) && invite.server % ZONES == zone)
    }

    /// Waits until the selected fronts have sent no INVITE to a zone for `quiet`, while callers keep requesting calls.
    fn wait_until_avoided(&self, zone: u32, quiet: Duration, selects_front: impl Fn(u32) -> bool + Copy) {
        self.wait_until(MAX_WAIT, "the zone gets no INVITEs", || {
            self.count_invites(zone, Instant::now() - quiet, selects_front) == 0
        });
    }

    /// Waits until a zone gets at least 80 % of an even share of the INVITEs again.
    fn wait_until_restored(&self, zone: u32) {
        self.wait_until(MAX_WAIT, "the zone gets its share of INVITEs again", || {
            let since = Instant::now() - Duration::from_secs(2);
            let to_zone = self.count_invites(zone, since, |_| true);
            let total = self.deployment.count_invites(since, |_| true);
            total > 200 && to_zone as f64 > 0.8 * total as f64 / f64::from(ZONES)
        });
    }

    /// Makes the servers of these zones answer nothing to the selected fronts; all others answer.
    fn silence(&self, zones: &[u32], selects_front: impl Fn(u32) -> bool) {
        let pairs = (0..FRONTS).flat_map(|front| (0..SERVERS).map(move |server| (front, server)));
        let silent =
            pairs.filter(|(front, server)| selects_front(*front) && zones.contains(&(server % ZONES)));
        self.deployment.silence(silent.collect());
    }

    /// Checks that every front still runs, that the deployment's rules hold, that no datagram is longer than 256 bytes,
    /// and that callers were answered.
    fn check(mut self) {
        assert!(self.processes.all_run(), "a front has ended unexpectedly");
        self.deployment.check().unwrap();
        let longest = self.processes.relay.stats().longest;
        assert!(longest <= 256, "longest datagram: {longest} bytes");
        // Calls continue during the faults: nearly all calls requested more than 20 s ago have an answer.
        let calls = self.deployment.calls();
        let overdue = calls.values().filter(|call| {
            call.requested_at.is_some_and(|requested_at| requested_at.elapsed().as_secs() > 20)
        });
        let (answered, total) = overdue.fold((0, 0), |(answered, total), call| {
            (answered + u32::from(call.established + call.rejected > 0), total + 1)
        });
        // Only calls that a killed front held may be lost.
        assert!(answered * 100 >= total * 95, "{answered} of {total} calls had an answer");
    }
}

#[test]
fn silent_zone_is_avoided_until_it_answers_again() {
    let cluster = ZoneCluster::start("silent-zone", 91, false, |_| true);
    cluster.silence(&[1], |_| true);
    cluster.wait_until_avoided(1, Duration::from_secs(3), |_| true);
    assert!(cluster.count_invites(0, Instant::now() - Duration::from_secs(2), |_| true) > 0);
    cluster.silence(&[], |_| true);
    cluster.wait_until_restored(1);
    cluster.check();
}

/// Only the fronts of zone 0 get no answers from zone 1. The fronts of the other zones continue to use it.
#[test]
fn zone_cut_off_from_some_fronts_is_avoided_by_these_only() {
    let cluster = ZoneCluster::start("cut-zone", 92, true, |_| true);
    cluster.silence(&[1], |front| front % ZONES == 0);
    cluster.wait_until_avoided(1, Duration::from_secs(3), |front| front % ZONES == 0);
    let since = Instant::now() - Duration::from_secs(2);
    assert!(cluster.count_invites(1, since, |front| front % ZONES == 2) > 0);
    assert!(cluster.count_invites(1, since, |front| front % ZONES == 1) > 0);
    cluster.silence(&[], |_| true);
    cluster.wait_until_restored(1);
    cluster.check();
}

/// The fronts that observe the zones are killed or paused as soon as a zone has failed. Other fronts take over.
#[test_case(true; "killed")]
#[test_case(false; "paused")]
fn silent_zone_is_avoided_although_the_observers_fail(killed: bool) {
    let (name, subnet) = if killed { ("observers-killed", 93) } else { ("observers-halted", 94) };
    let mut cluster = ZoneCluster::start(name, subnet, !killed, |_| true);
    cluster.wait_until(MAX_WAIT, "each zone has an observer", || {
        cluster.processes.relay.observers(Duration::from_secs(5)).len() >= ZONES as usize
    });
    cluster.silence(&[1], |_| true);
    let observers = cluster.processes.relay.observers(Duration::from_secs(5));
    for front in &observers {
        if killed {
            cluster.processes.kill(*front);
        } else {
            cluster.processes.pause(*front);
        }
    }
    cluster.wait_until_avoided(1, Duration::from_secs(3), |_| true);
    for front in &observers {
        if killed {
            cluster.processes.start_front(*front).unwrap();
        } else {
            cluster.processes.resume(*front);
        }
    }
    cluster.silence(&[], |_| true);
    cluster.wait_until_restored(1);
    assert!(cluster.processes.all_run(), "a front has ended unexpectedly");
    cluster.deployment.check().unwrap();
}

/// Three in ten datagrams are lost and the others are delayed. Half of the fronts know no zones and continue unchanged.
#[test]
fn silent_zone_is_avoided_on_a_lossy_network_by_the_fronts_that_know_zones() {
    let cluster = ZoneCluster::start("lossy-zone", 95, true, |front| front % 2 == 0);
    let (loss, delay) = (0.3, Duration::from_millis(300));
    cluster.processes.relay.set_faults(NetworkFaults {
        loss,
        delay,
        duplicates: 0.2,
        ..NetworkFaults::default()
    });
    cluster.silence(&[1], |_| true);
    cluster.wait_until_avoided(1, Duration::from_secs(3), |front| front % 2 == 0);
    cluster.silence(&[], |_| true);
    cluster.wait_until_restored(1);
    cluster.check();
}

/// No front receives datagrams of any other: each serves as it would alone, even while a zone is silent.
#[test]
fn fronts_cut_off_from_each_other_keep_serving() {
    let cluster = ZoneCluster::start("no-peers-zone", 96, false, |_| true);
    let cut = (0..FRONTS).flat_map(|from| (0..FRONTS).map(move |to| (from, to))).collect();
    cluster.processes.relay.set_faults(NetworkFaults { cut, ..NetworkFaults::default() });
    cluster.silence(&[1], |_| true);
    let silenced_at = Instant::now();
    cluster.wait_until(MAX_WAIT, "another zone gets INVITEs", || {
        cluster.count_invites(0, silenced_at, |_| true) > 300
    });
    cluster.silence(&[], |_| true);
    cluster.wait_until_restored(1);
    cluster.check();
}
