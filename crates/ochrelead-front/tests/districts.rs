//! Twelve processes of the program in three districts, six servers, callers, and faults between them. Judged from the
//! INVITEs that reached servers and from what callers were told. Waits are bounds, not verdicts. One cluster runs at a time:
//! fronts that get no processor time take all districts for slow, and then rightly leave none.

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
const DISTRICTS: u32 = 3;
/// The longest that anything is waited for.
const LONG: Duration = Duration::from_secs(90);
/// Callers of each front, a session so often.
const APART: Duration = Duration::from_millis(20);

/// Held by the test whose cluster runs.
static CLUSTER_SLOT: Mutex<()> = Mutex::new(());

/// `talks`: fronts also ask who is there and hold leases; else they speak of districts alone.
struct Place {
    rig: TestCluster,
    town: TestDeployment,
    /// Dropped last, when the processes have ended.
    _slot: MutexGuard<'static, ()>,
}

impl Place {
    fn new(name: &str, net: u8, talks: bool, districts: impl Fn(u32) -> bool) -> Place {
        let slot = CLUSTER_SLOT.lock().unwrap_or_else(PoisonError::into_inner);
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let host = (std::process::id() % 250) as u8 + 1;
        let binary = Path::new(env!("CARGO_BIN_EXE_ochrelead-front"));
        let town = TestDeployment::start(FRONTS, SERVERS).unwrap();
        let arguments = |front| if districts(front) { vec!["--districts".to_owned()] } else { Vec::new() };
        let front = |front: u32| {
            let names: Vec<String> = (0..DISTRICTS).map(|nth| format!("d{nth}")).collect();
            FrontSetup {
                arguments: arguments(front),
                endpoints: town.endpoints(front, DISTRICTS),
                settings: json!({"az": front % DISTRICTS, "zones": names}),
            }
        };
        let config = ClusterConfig {
            binary,
            folder: &folder,
            subnet: [net, host],
            has_gossip: talks,
            fronts: (0..FRONTS).map(front).collect(),
        };
        let rig = TestCluster::start_with(config, FencedServer::start().unwrap()).unwrap();
        for front in 0..FRONTS {
            town.start_caller(front, rig.caller_address(front), APART);
        }
        let place = Place { rig, town, _slot: slot };
        let started_at = Instant::now();
        place.until(LONG, "all servers are in use", || {
            (0..FRONTS)
                .all(|front| place.town.count_invites(started_at, |invite| invite.front == front) > 100)
        });
        place
    }

    fn until(&self, most: Duration, what: &str, holds: impl Fn() -> bool) {
        let until = Instant::now() + most;
        while !holds() {
            assert!(Instant::now() < until, "not in {most:?}: {what}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// INVITEs of some fronts to servers of a district since a moment.
    fn to(&self, district: u32, since: Instant, of: impl Fn(u32) -> bool) -> usize {
        self.town.count_invites(since, |invite| of(invite.front) && invite.server % DISTRICTS == district)
    }

    /// Waits until no INVITE of these fronts reaches a district for that long, though many are asked for.
    fn left(&self, district: u32, quiet: Duration, of: impl Fn(u32) -> bool + Copy) {
        self.until(LONG, "the district is left", || self.to(district, Instant::now() - quiet, of) == 0);
    }

    /// Waits until a district gets its part of the INVITEs again.
    fn whole(&self, district: u32) {
        self.until(LONG, "the district is in use again", || {
            let since = Instant::now() - Duration::from_secs(2);
            let own = self.to(district, since, |_| true);
            let all = self.town.count_invites(since, |_| true);
            all > 200 && own as f64 > 0.8 * all as f64 / f64::from(DISTRICTS)
        });
    }

    fn silence(&self, districts: &[u32], of: impl Fn(u32) -> bool) {
        let pairs = (0..FRONTS).flat_map(|front| (0..SERVERS).map(move |server| (front, server)));
        let silent = pairs.filter(|(front, server)| of(*front) && districts.contains(&(server % DISTRICTS)));
        self.town.silence(silent.collect());
    }

    fn holds(mut self) {
        assert!(self.rig.all_run(), "none has ended by itself");
        self.town.check().unwrap();
        let longest = self.rig.relay.stats().longest;
        assert!(longest <= 256, "{longest} bytes");
        // Others are served all the while: those who asked long ago have an answer.
        let told = self.town.calls();
        let old = told.values().filter(|own| own.asked.is_some_and(|at| at.elapsed().as_secs() > 20));
        let (answered, all) = old.fold((0, 0), |(answered, all), own| {
            (answered + u32::from(own.ups + own.downs_before > 0), all + 1)
        });
        // What a killed front held is lost; nothing else is.
        assert!(answered * 100 >= all * 95, "{answered} of {all} had an answer");
    }
}

#[test]
fn a_district_that_answers_nothing_is_left_and_used_again() {
    let place = Place::new("silent-district", 91, false, |_| true);
    place.silence(&[1], |_| true);
    place.left(1, Duration::from_secs(3), |_| true);
    assert!(place.to(0, Instant::now() - Duration::from_secs(2), |_| true) > 0);
    place.silence(&[], |_| true);
    place.whole(1);
    place.holds();
}

/// The fronts of one district alone are not answered by another: the third goes on.
#[test]
fn a_cut_concerns_the_fronts_that_it_cuts() {
    let place = Place::new("cut-district", 92, true, |_| true);
    place.silence(&[1], |front| front % DISTRICTS == 0);
    place.left(1, Duration::from_secs(3), |front| front % DISTRICTS == 0);
    let since = Instant::now() - Duration::from_secs(2);
    assert!(place.to(1, since, |front| front % DISTRICTS == 2) > 0);
    assert!(place.to(1, since, |front| front % DISTRICTS == 1) > 0);
    place.silence(&[], |_| true);
    place.whole(1);
    place.holds();
}

/// Whoever observes is killed or stands still as soon as a district has failed: others take over.
#[test_case(true; "killed")]
#[test_case(false; "stands still")]
fn the_observers_fail_with_the_district(killed: bool) {
    let (name, net) = if killed { ("observers-killed", 93) } else { ("observers-halted", 94) };
    let mut place = Place::new(name, net, !killed, |_| true);
    place.until(LONG, "each district has an observer", || {
        place.rig.relay.observers(Duration::from_secs(5)).len() >= DISTRICTS as usize
    });
    place.silence(&[1], |_| true);
    let observers = place.rig.relay.observers(Duration::from_secs(5));
    for front in &observers {
        if killed {
            place.rig.kill(*front);
        } else {
            place.rig.pause(*front);
        }
    }
    place.left(1, Duration::from_secs(3), |_| true);
    for front in &observers {
        if killed {
            place.rig.start_front(*front).unwrap();
        } else {
            place.rig.resume(*front);
        }
    }
    place.silence(&[], |_| true);
    place.whole(1);
    assert!(place.rig.all_run());
    place.town.check().unwrap();
}

/// A third of the datagrams lost and the others late; half of the fronts know no districts and go on as they did.
#[test]
fn a_bad_net_and_half_of_the_fronts_of_the_former_kind() {
    let place = Place::new("bad-net-district", 95, true, |front| front % 2 == 0);
    let (loss, delay) = (0.3, Duration::from_millis(300));
    place.rig.relay.set_faults(NetworkFaults { loss, delay, duplicates: 0.2, ..NetworkFaults::default() });
    place.silence(&[1], |_| true);
    place.left(1, Duration::from_secs(3), |front| front % 2 == 0);
    place.silence(&[], |_| true);
    place.whole(1);
    place.holds();
}

/// Nobody hears anybody: each front serves as it would alone, also while a district is silent.
#[test]
fn without_a_word_of_others_fronts_serve_on() {
    let place = Place::new("no-peers-district", 96, false, |_| true);
    let cut = (0..FRONTS).flat_map(|from| (0..FRONTS).map(move |to| (from, to))).collect();
    place.rig.relay.set_faults(NetworkFaults { cut, ..NetworkFaults::default() });
    place.silence(&[1], |_| true);
    let begun = Instant::now();
    place.until(LONG, "others are served", || place.to(0, begun, |_| true) > 300);
    place.silence(&[], |_| true);
    place.whole(1);
    place.holds();
}
