//! The lease among seven front processes with faults between them. A server records the acts that reach it, and each
//! test checks that there are never two holders, that fencing tokens never decrease, and that some front acts again
//! after the fault. A timeout only limits how long a test waits; it is no requirement on the speed of the recovery.

use std::path::Path;
use std::time::{Duration, Instant};

use ochrelead_verify::cluster::TestCluster;
use ochrelead_verify::cluster::fenced_server::{RecordedAct, overlap_ms};
use ochrelead_verify::cluster::relay::NetworkFaults;
use ochrelead_verify::mutation::Mutation;

const FRONTS: u32 = 7;
/// The longest wait for an expected event.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Starts a cluster and waits for the first act.
fn start_cluster(name: &str, subnet: u8) -> (TestCluster, RecordedAct) {
    start_cluster_with(name, subnet, |_| Vec::new())
}

/// Starts a cluster whose fronts have the given arguments, and waits for the first act.
fn start_cluster_with(
    name: &str,
    subnet: u8,
    arguments: impl Fn(u32) -> Vec<String>,
) -> (TestCluster, RecordedAct) {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let host = (std::process::id() % 250) as u8 + 1;
    let binary = Path::new(env!("CARGO_BIN_EXE_ochrelead-front"));
    let cluster =
        TestCluster::start(binary, &folder, [subnet, host], (0..FRONTS).map(arguments).collect()).unwrap();
    let first = cluster.wait_for_act(MAX_WAIT, |_| true).unwrap();
    (cluster, first)
}

/// Waits until a front other than the holder of the former act's token acts under a higher token.
fn wait_for_successor(cluster: &TestCluster, former: &RecordedAct) -> RecordedAct {
    cluster
        .wait_for_act(MAX_WAIT, |act| act.token > former.token && act.token.holder != former.token.holder)
        .unwrap()
}

/// The directions to cut so that a front receives nothing from the others (unless `hears`) and they receive nothing
/// from it (unless `is_heard`).
fn cut_directions(front: u32, hears: bool, is_heard: bool) -> Vec<(u32, u32)> {
    let others = (0..FRONTS).filter(|other| *other != front);
    others
        .flat_map(|other| [(!hears).then_some((other, front)), (!is_heard).then_some((front, other))])
        .flatten()
        .collect()
}

/// Checks that every front still runs, that the recorded acts are valid, and that no datagram is longer than 256 bytes.
fn check(mut cluster: TestCluster) {
    assert!(cluster.all_run(), "a front has ended unexpectedly");
    cluster.server.check().unwrap();
    let stats = cluster.relay.stats();
    assert!(stats.datagrams > 0 && stats.longest <= 256, "longest datagram: {} bytes", stats.longest);
}

#[test]
fn killed_holder_is_succeeded_by_another_front() {
    let (mut cluster, first) = start_cluster("killed", 61);
    cluster.kill(first.token.holder.front);
    wait_for_successor(&cluster, &first);
    check(cluster);
}

#[test]
fn holder_that_shuts_down_is_succeeded_by_another_front() {
    let (mut cluster, first) = start_cluster("leaves-lease", 62);
    cluster.leave(first.token.holder.front).unwrap();
    wait_for_successor(&cluster, &first);
    check(cluster);
}

/// The holder is paused until its lease has expired and then resumes, possibly in the middle of an act.
#[test]
fn holder_paused_past_its_lease_does_not_overlap_its_successor() {
    let (cluster, mut last) = start_cluster("halted", 63);
    for _ in 0..2 {
        cluster.pause(last.token.holder.front);
        let next = wait_for_successor(&cluster, &last);
        cluster.resume(last.token.holder.front);
        last = cluster.wait_for_act(MAX_WAIT, |act| act.token >= next.token).unwrap();
    }
    check(cluster);
}

/// An act is permitted under a lease and delayed on its way to the server until another front holds the lease: the
/// server must refuse it.
#[test]
fn act_delayed_past_the_end_of_its_lease_is_refused() {
    let (cluster, first) = start_cluster("late", 77);
    let holder = first.token.holder.front;
    cluster.server.delay_acts_of(Some(holder));
    let until = Instant::now() + MAX_WAIT;
    while cluster.server.delayed_acts() == 0 {
        assert!(Instant::now() < until, "no act of the holder was delayed");
        std::thread::sleep(Duration::from_millis(10));
    }
    cluster
        .relay
        .set_faults(NetworkFaults { cut: cut_directions(holder, false, false), ..NetworkFaults::default() });
    let next = wait_for_successor(&cluster, &first);
    cluster.server.delay_acts_of(None);
    while !cluster.server.acts().iter().any(|act| act.is_refused && act.token == first.token) {
        assert!(Instant::now() < until + MAX_WAIT, "the delayed act was not refused");
        std::thread::sleep(Duration::from_millis(10));
    }
    cluster.relay.set_faults(NetworkFaults::default());
    cluster.wait_for_act(MAX_WAIT, |act| act.token >= next.token).unwrap();
    check(cluster);
}

/// The holder is cut off from all other fronts, in one direction or both, but not from the server.
#[test]
fn holder_cut_off_from_the_other_fronts_is_succeeded() {
    for (name, subnet, hears, is_heard) in
        [("cut", 64, false, false), ("deaf", 65, false, true), ("mute", 66, true, false)]
    {
        let (cluster, first) = start_cluster(name, subnet);
        cluster.relay.set_faults(NetworkFaults {
            cut: cut_directions(first.token.holder.front, hears, is_heard),
            ..NetworkFaults::default()
        });
        let next = wait_for_successor(&cluster, &first);
        cluster.relay.set_faults(NetworkFaults::default());
        cluster.wait_for_act(MAX_WAIT, |act| act.token >= next.token).unwrap();
        check(cluster);
    }
}

#[test]
fn lease_is_granted_again_after_all_voters_are_killed_at_once() {
    let (mut cluster, first) = start_cluster("voters", 67);
    for voter in cluster.voters() {
        cluster.kill(voter);
    }
    for voter in cluster.voters() {
        cluster.start_front(voter).unwrap();
    }
    cluster.wait_for_act(MAX_WAIT, |act| act.token > first.token).unwrap();
    check(cluster);
}

#[test]
fn lease_survives_a_rolling_restart_of_the_voters() {
    let (mut cluster, _) = start_cluster("rolling", 68);
    for voter in cluster.voters() {
        cluster.kill(voter);
        cluster.start_front(voter).unwrap();
        std::thread::sleep(Duration::from_millis(700));
    }
    let latest = cluster.wait_for_act(MAX_WAIT, |_| true).unwrap();
    cluster.wait_for_act(MAX_WAIT, |act| act.token >= latest.token).unwrap();
    check(cluster);
}

#[test]
fn lease_is_granted_again_after_five_of_seven_fronts_are_killed_at_once() {
    let (mut cluster, first) = start_cluster("herd", 69);
    let holder = first.token.holder.front;
    let killed: Vec<u32> =
        [holder].into_iter().chain((0..FRONTS).filter(|front| *front != holder)).take(5).collect();
    killed.iter().for_each(|front| cluster.kill(*front));
    killed.iter().for_each(|front| cluster.start_front(*front).unwrap());
    cluster.wait_for_act(MAX_WAIT, |act| act.token > first.token).unwrap();
    check(cluster);
}

#[test]
fn lease_stays_exclusive_in_a_network_partition() {
    let (cluster, first) = start_cluster("halves", 70);
    // The holder and two other fronts on one side, the other four fronts on the other.
    let holder = first.token.holder.front;
    let side: Vec<u32> =
        [holder].into_iter().chain((0..FRONTS).filter(|front| *front != holder)).take(3).collect();
    let crosses_partition = |from: &u32, to: &u32| side.contains(from) != side.contains(to);
    let directions = (0..FRONTS).flat_map(|from| (0..FRONTS).map(move |to| (from, to)));
    cluster.relay.set_faults(NetworkFaults {
        cut: directions.filter(|(from, to)| crosses_partition(from, to)).collect(),
        ..NetworkFaults::default()
    });
    cluster.wait_for_act(MAX_WAIT, |act| act.token >= first.token).unwrap();
    cluster.relay.set_faults(NetworkFaults::default());
    cluster.wait_for_act(MAX_WAIT, |act| act.token >= first.token).unwrap();
    check(cluster);
}

/// A vote that counts for two voters gives two fronts the lease. At a server that accepts all acts, acts of the former
/// holder then arrive after the first act of its successor. The other mutations need an order of events that is rare
/// among processes; the model checker and the seeded runs detect them. (That acts do not overlap without a mutation
/// depends on timing as well: `ochrelead-verify play` measures it.)
#[test]
#[ignore = "depends on timing: detects the mutation in four runs of five; run with -- --ignored"]
fn double_counted_vote_lets_acts_overlap_at_an_unfenced_server() {
    let mutation = Some(Mutation::VoteCountedTwice);
    let (cluster, mut last) = start_cluster("twice", 73);
    cluster.server.accept_all();
    let mut overlap = 0;
    for _ in 0..12 {
        // The holder can exchange datagrams with one voter only.
        let holder = last.token.holder.front;
        let reachable = cluster.voters().into_iter().find(|voter| *voter != holder).unwrap();
        let mut cut = cut_directions(holder, false, false);
        cut.retain(|direction| ![(holder, reachable), (reachable, holder)].contains(direction));
        cluster.relay.set_faults(NetworkFaults { cut, mutation, ..NetworkFaults::default() });
        let next = cluster.wait_for_act(Duration::from_secs(20), |act| act.token.holder != last.token.holder);
        last = next.or_else(|_| cluster.wait_for_act(MAX_WAIT, |_| true)).unwrap();
        cluster.wait_for_act(MAX_WAIT, |_| true).unwrap();
        cluster.relay.set_faults(NetworkFaults { mutation, ..NetworkFaults::default() });
        overlap = overlap.max(overlap_ms(&cluster.server.acts(), &[]));
        if overlap >= 200 {
            return;
        }
    }
    panic!("the acts overlap by {overlap} ms only, not by 200 ms");
}

fn voter_arguments(generation: u32, voters: &str, former: &str) -> Vec<String> {
    let mut arguments =
        vec!["--generation".to_owned(), generation.to_string(), "--voters".to_owned(), voters.to_owned()];
    if !former.is_empty() {
        arguments.extend(["--former-voters".to_owned(), former.to_owned()]);
    }
    arguments
}

/// The voters 0, 1 and 2 are replaced by 4, 5 and 6, one front at a time and through a generation that knows both sets:
/// fronts of two generations run concurrently.
#[test]
fn voters_are_replaced_one_front_at_a_time() {
    let (mut cluster, first) = start_cluster_with("electorate", 75, |_| voter_arguments(1, "0,1,2", ""));
    let mut last = first;
    for arguments in [voter_arguments(2, "4,5,6", "0,1,2"), voter_arguments(3, "4,5,6", "")] {
        for front in 0..FRONTS {
            cluster.kill(front);
            cluster.set_arguments(front, arguments.clone());
            cluster.start_front(front).unwrap();
        }
        last = cluster.wait_for_act(MAX_WAIT, |act| act.token > last.token).unwrap();
    }
    // The former voters no longer vote.
    (0..3).for_each(|front| cluster.kill(front));
    cluster.wait_for_act(MAX_WAIT, |act| act.token >= last.token).unwrap();
    check(cluster);
}

/// Voters that persist their promises vote at once after a kill and a restart, and keep those promises.
#[test]
fn persisted_promises_hold_after_voters_are_killed() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("promises");
    let _ = std::fs::remove_dir_all(&folder);
    let state_folder = |front: u32| folder.join(front.to_string());
    let arguments = |front: u32| vec!["--state".to_owned(), state_folder(front).display().to_string()];
    let (mut cluster, first) = start_cluster_with("keeping", 76, arguments);
    for _ in 0..3 {
        for voter in cluster.voters() {
            cluster.kill(voter);
            cluster.start_front(voter).unwrap();
        }
        cluster.wait_for_act(MAX_WAIT, |act| act.token >= first.token).unwrap();
    }
    // The file of one voter is truncated: the voter starts all the same and abstains for a while.
    let voter = cluster.voters()[0];
    cluster.kill(voter);
    let file = state_folder(voter).join("promises");
    let bytes = std::fs::read(&file).unwrap();
    std::fs::write(&file, &bytes[..bytes.len() / 2]).unwrap();
    cluster.start_front(voter).unwrap();
    cluster.wait_for_act(MAX_WAIT, |act| act.token >= first.token).unwrap();
    check(cluster);
}

/// Two in five datagrams are lost. The others are delayed by up to 300 ms and reordered, some are duplicated, and a few
/// arrive 7 s later still. One front sends messages of a newer version.
#[test]
fn killed_holder_is_succeeded_despite_a_lossy_network_and_a_newer_version() {
    let (mut cluster, first) = start_cluster("bad", 71);
    let (delay, very_late_delay) = (Duration::from_millis(300), Duration::from_secs(7));
    cluster.relay.set_faults(NetworkFaults {
        loss: 0.4,
        duplicates: 0.2,
        delay,
        very_late: 0.05,
        very_late_delay,
        newer_front: Some(cluster.voters()[0]),
        ..NetworkFaults::default()
    });
    cluster.wait_for_act(MAX_WAIT, |act| act.token >= first.token).unwrap();
    cluster.kill(first.token.holder.front);
    wait_for_successor(&cluster, &first);
    check(cluster);
}
