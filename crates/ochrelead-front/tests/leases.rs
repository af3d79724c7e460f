//! Seven processes of the program, faults between them, and a server that records the acts that reach it:
//! never two holders, fencing tokens never fall, and some front acts again. Waits are bounds, not verdicts.

use std::path::Path;
use std::time::{Duration, Instant};

use ochrelead_verify::cluster::TestCluster;
use ochrelead_verify::cluster::fenced_server::{RecordedAct, overlap_ms};
use ochrelead_verify::cluster::relay::NetworkFaults;
use ochrelead_verify::mutation::Mutation;

const FRONTS: u32 = 7;
/// The longest wait for anything.
const MAX_WAIT: Duration = Duration::from_secs(60);

fn start_cluster(name: &str, subnet: u8) -> (TestCluster, RecordedAct) {
    start_cluster_with(name, subnet, |_| Vec::new())
}

/// The same, each front with arguments of its own.
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

/// Waits until another front than the holder of that token acts, under a higher one.
fn wait_for_successor(cluster: &TestCluster, former: &RecordedAct) -> RecordedAct {
    cluster
        .wait_for_act(MAX_WAIT, |act| act.token > former.token && act.token.holder != former.token.holder)
        .unwrap()
}

/// The directions to cut so that a front does not hear the others, or is not heard by them.
fn cut_directions(front: u32, hears: bool, is_heard: bool) -> Vec<(u32, u32)> {
    let others = (0..FRONTS).filter(|other| *other != front);
    others
        .flat_map(|other| [(!hears).then_some((other, front)), (!is_heard).then_some((front, other))])
        .flatten()
        .collect()
}

fn check(mut cluster: TestCluster) {
    assert!(cluster.all_run(), "none has ended by itself");
    cluster.server.check().unwrap();
    let stats = cluster.relay.stats();
    assert!(stats.datagrams > 0 && stats.longest <= 256, "{} bytes", stats.longest);
}

#[test]
fn a_holder_that_is_killed_is_followed() {
    let (mut cluster, first) = start_cluster("killed", 61);
    cluster.kill(first.token.holder.front);
    wait_for_successor(&cluster, &first);
    check(cluster);
}

#[test]
fn a_holder_that_leaves_hands_back() {
    let (mut cluster, first) = start_cluster("leaves-lease", 62);
    cluster.leave(first.token.holder.front).unwrap();
    wait_for_successor(&cluster, &first);
    check(cluster);
}

/// It stands still past its time and wakes, wherever it was: between two acts, or within one.
#[test]
fn a_holder_that_stands_still_and_wakes_does_no_harm() {
    let (cluster, mut last) = start_cluster("halted", 63);
    for _ in 0..2 {
        cluster.pause(last.token.holder.front);
        let next = wait_for_successor(&cluster, &last);
        cluster.resume(last.token.holder.front);
        last = cluster.wait_for_act(MAX_WAIT, |act| act.token >= next.token).unwrap();
    }
    check(cluster);
}

/// Between its permit and its effect an act is late, and its holder is followed meanwhile: it is refused.
#[test]
fn an_act_that_was_on_its_way_when_its_lease_ended_is_refused() {
    let (cluster, first) = start_cluster("late", 77);
    let holder = first.token.holder.front;
    cluster.server.delay_acts_of(Some(holder));
    let until = Instant::now() + MAX_WAIT;
    while cluster.server.delayed_acts() == 0 {
        assert!(Instant::now() < until, "the holder acts no more");
        std::thread::sleep(Duration::from_millis(10));
    }
    cluster
        .relay
        .set_faults(NetworkFaults { cut: cut_directions(holder, false, false), ..NetworkFaults::default() });
    let next = wait_for_successor(&cluster, &first);
    cluster.server.delay_acts_of(None);
    while !cluster.server.acts().iter().any(|act| act.is_refused && act.token == first.token) {
        assert!(Instant::now() < until + MAX_WAIT, "it never arrived");
        std::thread::sleep(Duration::from_millis(10));
    }
    cluster.relay.set_faults(NetworkFaults::default());
    cluster.wait_for_act(MAX_WAIT, |act| act.token >= next.token).unwrap();
    check(cluster);
}

/// It is cut off from all fronts, one way or both, and not from the server.
#[test]
fn a_holder_that_is_cut_off_lets_go() {
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
fn all_voters_killed_at_once() {
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
fn voters_started_anew_one_after_the_other() {
    let (mut cluster, _) = start_cluster("rolling", 68);
    for voter in cluster.voters() {
        cluster.kill(voter);
        cluster.start_front(voter).unwrap();
        std::thread::sleep(Duration::from_millis(700));
    }
    let present = cluster.wait_for_act(MAX_WAIT, |_| true).unwrap();
    cluster.wait_for_act(MAX_WAIT, |act| act.token >= present.token).unwrap();
    check(cluster);
}

#[test]
fn seven_in_ten_killed_at_once() {
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
fn two_halves_of_the_fleet() {
    let (cluster, first) = start_cluster("halves", 70);
    // The holder with two others; the majority of the voters is elsewhere.
    let holder = first.token.holder.front;
    let side: Vec<u32> =
        [holder].into_iter().chain((0..FRONTS).filter(|front| *front != holder)).take(3).collect();
    let across = |from: &u32, to: &u32| side.contains(from) != side.contains(to);
    let all = (0..FRONTS).flat_map(|from| (0..FRONTS).map(move |to| (from, to)));
    cluster.relay.set_faults(NetworkFaults {
        cut: all.filter(|(from, to)| across(from, to)).collect(),
        ..NetworkFaults::default()
    });
    cluster.wait_for_act(MAX_WAIT, |act| act.token >= first.token).unwrap();
    cluster.relay.set_faults(NetworkFaults::default());
    cluster.wait_for_act(MAX_WAIT, |act| act.token >= first.token).unwrap();
    check(cluster);
}

/// One vote is counted as two voters', at a server that accepts all: acts of a former holder arrive after the first of the
/// next one. The other mutations take an order of events that processes seldom come to; the model checker and the seeds
/// find them. (That there is no overlap without a mutation is timing too: `ochrelead-verify play` measures it.)
#[test]
#[ignore = "by timing: found in four runs of five; for a look, with -- --ignored"]
fn a_mutation_shows_at_the_server() {
    let mutation = Some(Mutation::VoteCountedTwice);
    let (cluster, mut last) = start_cluster("twice", 73);
    cluster.server.accept_all();
    let mut overlap = 0;
    for _ in 0..12 {
        // The holder hears one voter, and is heard by that one alone.
        let holder = last.token.holder.front;
        let near = cluster.voters().into_iter().find(|voter| *voter != holder).unwrap();
        let mut cut = cut_directions(holder, false, false);
        cut.retain(|direction| ![(holder, near), (near, holder)].contains(direction));
        cluster.relay.set_faults(NetworkFaults { cut, mutation, ..NetworkFaults::default() });
        let other =
            cluster.wait_for_act(Duration::from_secs(20), |act| act.token.holder != last.token.holder);
        last = other.or_else(|_| cluster.wait_for_act(MAX_WAIT, |_| true)).unwrap();
        cluster.wait_for_act(MAX_WAIT, |_| true).unwrap();
        cluster.relay.set_faults(NetworkFaults { mutation, ..NetworkFaults::default() });
        overlap = overlap.max(overlap_ms(&cluster.server.acts(), &[]));
        if overlap >= 200 {
            return;
        }
    }
    panic!("not found: {overlap} ms");
}

fn voter_arguments(generation: u32, voters: &str, former: &str) -> Vec<String> {
    let mut arguments =
        vec!["--generation".to_owned(), generation.to_string(), "--voters".to_owned(), voters.to_owned()];
    if !former.is_empty() {
        arguments.extend(["--former-voters".to_owned(), former.to_owned()]);
    }
    arguments
}

/// Voters of 0, 1, 2 become 4, 5, 6, front by front, through a generation that has both: old and new side by side.
#[test]
fn an_electorate_changes_front_by_front() {
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

/// Voters that persist their promises, killed and restarted at once: they vote at once, and their promises hold.
#[test]
fn voters_that_kept_their_promises() {
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
    // One's file is torn: it starts all the same, and abstains for a while.
    let voter = cluster.voters()[0];
    cluster.kill(voter);
    let file = state_folder(voter).join("promises");
    let bytes = std::fs::read(&file).unwrap();
    std::fs::write(&file, &bytes[..bytes.len() / 2]).unwrap();
    cluster.start_front(voter).unwrap();
    cluster.wait_for_act(MAX_WAIT, |act| act.token >= first.token).unwrap();
    check(cluster);
}

/// Two in five datagrams lost, 300 ms late, duplicated, overtaking each other, some by many seconds; and a front of a newer version.
#[test]
fn a_bad_network_and_a_newer_version() {
    let (mut cluster, first) = start_cluster("bad", 71);
    let (delay, late) = (Duration::from_millis(300), Duration::from_secs(7));
    cluster.relay.set_faults(NetworkFaults {
        loss: 0.4,
        duplicates: 0.2,
        delay,
        very_late: 0.05,
        very_late_delay: late,
        newer_front: Some(cluster.voters()[0]),
        ..NetworkFaults::default()
    });
    cluster.wait_for_act(MAX_WAIT, |act| act.token >= first.token).unwrap();
    cluster.kill(first.token.holder.front);
    wait_for_successor(&cluster, &first);
    check(cluster);
}
