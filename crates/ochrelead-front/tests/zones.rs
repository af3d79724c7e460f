//! Twelve processes of the program in three zones, six servers, callers, and faults between them. Judged from the
//! INVITEs that reached servers and from what callers were told. Waits are bounds, not verdicts. One cluster runs at a time:
//! fronts that get no processor time take all zones for slow, and then rightly leave none.

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
/// The longest wait for anything.
const MAX_WAIT: Duration = Duration::from_secs(90);
/// How often the caller of each front asks for a call.
const CALL_INTERVAL: Duration = Duration::from_millis(20);

/// Held by the test whose cluster runs.
static CLUSTER_SLOT: Mutex<()> = Mutex::new(());

/// Fronts in zones, with servers and callers.
struct ZoneCluster {
    processes: TestCluster,
    deployment: TestDeployment,
    /// Dropped last, when the processes have ended.
    _slot: MutexGuard<'static, ()>,
}

impl ZoneCluster {
    fn start(name: &str, subnet: u8, has_gossip: bool, knows_zones: impl Fn(u32) -> bool) -> ZoneCluster {
        let slot = CLUSTER_SLOT.lock().unwrap_or_else(PoisonError::into_inner);
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
        let cluster = ZoneCluster { processes, deployment, _slot: slot };
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
            assert!(Instant::now() < deadline, "not in {max_wait:?}: {condition}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// The number of INVITEs of some fronts to servers of a zone since a moment.
    fn count_invites(&self, zone: u32, since: Instant, of: impl Fn(u32) -> bool) -> usize {
        self.deployment.count_invites(since, |invite| of(invite.front) && invite.server % ZONES == zone)
    }

    /// Waits until no INVITE of these fronts reaches a zone for that long, though many calls are asked for.
    fn wait_until_left(&self, zone: u32, quiet: Duration, of: impl Fn(u32) -> bool + Copy) {
        self.wait_until(MAX_WAIT, "the zone is left", || {
            self.count_invites(zone, Instant::now() - quiet, of) == 0
        });
    }

    /// Waits until a zone gets its part of the INVITEs again.
    fn wait_until_reused(&self, zone: u32) {
        self.wait_until(MAX_WAIT, "the zone is in use again", || {
            let since = Instant::now() - Duration::from_secs(2);
            let to_zone = self.count_invites(zone, since, |_| true);
            let all = self.deployment.count_invites(since, |_| true);
            all > 200 && to_zone as f64 > 0.8 * all as f64 / f64::from(ZONES)
        });
    }

    fn silence(&self, zones: &[u32], of: impl Fn(u32) -> bool) {
        let pairs = (0..FRONTS).flat_map(|front| (0..SERVERS).map(move |server| (front, server)));
        let silent = pairs.filter(|(front, server)| of(*front) && zones.contains(&(server % ZONES)));
        self.deployment.silence(silent.collect());
    }

    fn check(mut self) {
        assert!(self.processes.all_run(), "none has ended by itself");
        self.deployment.check().unwrap();
        let longest = self.processes.relay.stats().longest;
        assert!(longest <= 256, "{longest} bytes");
        // Others are served all the while: those who asked long ago have an answer.
        let calls = self.deployment.calls();
        let old = calls
            .values()
            .filter(|call| call.requested_at.is_some_and(|asked_at| asked_at.elapsed().as_secs() > 20));
        let (answered, all) = old.fold((0, 0), |(answered, all), call| {
            (answered + u32::from(call.established + call.rejected > 0), all + 1)
        });
        // What a killed front held is lost; nothing else is.
        assert!(answered * 100 >= all * 95, "{answered} of {all} had an answer");
    }
}

#[test]
fn a_zone_that_answers_nothing_is_left_and_used_again() {
    let cluster = ZoneCluster::start("silent-district", 91, false, |_| true);
    cluster.silence(&[1], |_| true);
    cluster.wait_until_left(1, Duration::from_secs(3), |_| true);
    assert!(cluster.count_invites(0, Instant::now() - Duration::from_secs(2), |_| true) > 0);
    cluster.silence(&[], |_| true);
    cluster.wait_until_reused(1);
    cluster.check();
}

/// The fronts of one zone alone get no answers from another: those of the third go on.
#[test]
fn a_cut_concerns_the_fronts_that_it_cuts() {
    let cluster = ZoneCluster::start("cut-district", 92, true, |_| true);
    cluster.silence(&[1], |front| front % ZONES == 0);
    cluster.wait_until_left(1, Duration::from_secs(3), |front| front % ZONES == 0);
    let since = Instant::now() - Duration::from_secs(2);
    assert!(cluster.count_invites(1, since, |front| front % ZONES == 2) > 0);
    assert!(cluster.count_invites(1, since, |front| front % ZONES == 1) > 0);
    cluster.silence(&[], |_| true);
    cluster.wait_until_reused(1);
    cluster.check();
}

/// Whoever observes is killed or stands still as soon as a zone has failed: others take over.
#[test_case(true; "killed")]
#[test_case(false; "stands still")]
fn the_observers_fail_with_the_zone(killed: bool) {
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
    cluster.wait_until_left(1, Duration::from_secs(3), |_| true);
    for front in &observers {
        if killed {
            cluster.processes.start_front(*front).unwrap();
        } else {
            cluster.processes.resume(*front);
        }
    }
    cluster.silence(&[], |_| true);
    cluster.wait_until_reused(1);
    assert!(cluster.processes.all_run());
    cluster.deployment.check().unwrap();
}

/// A third of the datagrams lost and the others late; half of the fronts know no zones and go on as they did.
#[test]
fn a_bad_network_and_half_of_the_fronts_without_zones() {
    let cluster = ZoneCluster::start("bad-net-district", 95, true, |front| front % 2 == 0);
    let (loss, delay) = (0.3, Duration::from_millis(300));
    cluster.processes.relay.set_faults(NetworkFaults {
        loss,
        delay,
        duplicates: 0.2,
        ..NetworkFaults::default()
    });
    cluster.silence(&[1], |_| true);
    cluster.wait_until_left(1, Duration::from_secs(3), |front| front % 2 == 0);
    cluster.silence(&[], |_| true);
    cluster.wait_until_reused(1);
    cluster.check();
}

/// Nobody hears anybody: each front serves as it would alone, also while a zone is silent.
#[test]
fn fronts_that_hear_nobody_serve_on() {
    let cluster = ZoneCluster::start("no-peers-district", 96, false, |_| true);
    let cut = (0..FRONTS).flat_map(|from| (0..FRONTS).map(move |to| (from, to))).collect();
    cluster.processes.relay.set_faults(NetworkFaults { cut, ..NetworkFaults::default() });
    cluster.silence(&[1], |_| true);
    let silenced_at = Instant::now();
    cluster
        .wait_until(MAX_WAIT, "others are served", || cluster.count_invites(0, silenced_at, |_| true) > 300);
    cluster.silence(&[], |_| true);
    cluster.wait_until_reused(1);
    cluster.check();
}
