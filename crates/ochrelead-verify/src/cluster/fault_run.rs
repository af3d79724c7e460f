//! Injects faults drawn from a seed, one after the other, and checks the recorded acts after each.

use std::fmt;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::TestCluster;
use super::error::ClusterError;
use super::fenced_server::{RecordedAct, overlap_ms};
use super::relay::NetworkFaults;

/// Time limit for an act of the expected kind.
const MAX_WAIT: Duration = Duration::from_secs(90);
/// Maximum time for which a former holder may still act after the first act of its successor, in milliseconds.
pub(super) const MAX_OVERLAP_MS: u64 = 2_000;

/// A fault of one or several fronts, in most cases of the lease holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    HolderKilled,
    HolderPaused,
    HolderLeaves,
    HolderPartitioned,
    FrontRestarts,
    VotersRestart,
}

impl Fault {
    const ALL: [Fault; 6] = [
        Fault::HolderKilled,
        Fault::HolderPaused,
        Fault::HolderLeaves,
        Fault::HolderPartitioned,
        Fault::FrontRestarts,
        Fault::VotersRestart,
    ];

    /// Whether the fault has to result in another holder.
    fn ends_lease(self) -> bool {
        !matches!(self, Fault::FrontRestarts | Fault::VotersRestart)
    }
}

/// The name in the program's output. Faults of the holder are printed without the word holder.
impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Fault::HolderKilled => "killed",
            Fault::HolderPaused => "paused",
            Fault::HolderLeaves => "leaves service",
            Fault::HolderPartitioned => "partitioned",
            Fault::FrontRestarts => "front restarted",
            Fault::VotersRestart => "voters restarted",
        })
    }
}

/// The time from a fault until another front acted.
struct Gap {
    fault: Fault,
    length_ms: u128,
}

/// The state of a run between faults.
#[derive(Default)]
struct Progress {
    /// Fronts that were paused; acts that they send after resuming are not counted as overlap.
    paused: Vec<u32>,
    gaps: Vec<Gap>,
}

/// Injects faults drawn from a seed. Prints a line for each and a summary.
///
/// # Errors
///
/// Returns an error if the recorded acts violate a rule, if no front acts in time, or if a process does not start or
/// exit.
pub fn run(cluster: &mut TestCluster, seed: u64, faults: u32) -> Result<(), ClusterError> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut progress = Progress::default();
    for index in 0..faults {
        let fault = inject_fault(cluster, &mut rng, &mut progress)?;
        cluster.server.check()?;
        let acts = cluster.server.acts();
        let overlap_ms = overlap_ms(&acts, &progress.paused);
        println!("{index}: {fault}: passed; {} acts, overlap {overlap_ms} ms", acts.len());
        if overlap_ms > MAX_OVERLAP_MS {
            return Err(ClusterError::Overlap { overlap_ms });
        }
    }
    print_summary(cluster, &progress.gaps);
    Ok(())
}

/// Injects one fault while the network loses, duplicates and delays datagrams. Waits for the next holder if the fault
/// ends the lease, then repairs the network and restarts the processes that ended.
fn inject_fault(
    cluster: &mut TestCluster,
    rng: &mut Pcg64Mcg,
    progress: &mut Progress,
) -> Result<Fault, ClusterError> {
    let last = cluster.wait_for_act(MAX_WAIT, |_| true)?;
    let (holder, started) = (last.token.holder.front, Instant::now());
    let front = rng.random_range(0..cluster.fronts());
    let loss = rng.random_range(0.0..0.4);
    let delay = Duration::from_millis(rng.random_range(0..300));
    cluster.relay.set_faults(NetworkFaults { loss, duplicates: 0.2, delay, ..NetworkFaults::default() });
    let fault = Fault::ALL[rng.random_range(0..Fault::ALL.len())];
    match fault {
        Fault::HolderKilled => cluster.kill(holder),
        Fault::HolderPaused => {
            progress.paused.push(holder);
            cluster.pause(holder);
        }
        Fault::HolderLeaves => cluster.leave(holder)?,
        Fault::HolderPartitioned => {
            let links = (0..cluster.fronts()).flat_map(|other| [(holder, other), (other, holder)]);
            let cut = links.collect();
            cluster.relay.set_faults(NetworkFaults { cut, ..NetworkFaults::default() });
        }
        Fault::FrontRestarts => cluster.kill(front),
        Fault::VotersRestart => cluster.voters().into_iter().for_each(|voter| cluster.kill(voter)),
    }
    if fault.ends_lease() {
        let is_successor =
            |act: &RecordedAct| act.token > last.token && act.token.holder != last.token.holder;
        let next = cluster.wait_for_act(MAX_WAIT, is_successor)?;
        let length_ms = next.decided_at.saturating_duration_since(started).as_millis();
        progress.gaps.push(Gap { fault, length_ms });
    }
    cluster.resume(holder);
    cluster.relay.set_faults(NetworkFaults::default());
    cluster.start_missing_fronts()?;
    Ok(fault)
}

fn print_summary(cluster: &TestCluster, gaps: &[Gap]) {
    for fault in Fault::ALL.into_iter().filter(|fault| fault.ends_lease()) {
        let of_fault = gaps.iter().filter(|gap| gap.fault == fault);
        let mut lengths: Vec<u128> = of_fault.map(|gap| gap.length_ms).collect();
        lengths.sort_unstable();
        let (median, longest) = (lengths.get(lengths.len() / 2), lengths.last());
        let count = lengths.len();
        println!("{fault}: time to the next holder, ms: median {median:?}, longest of {count} {longest:?}");
    }
    let stats = cluster.relay.stats();
    println!(
        "relay: {} datagrams, {} bytes, longest datagram {} bytes",
        stats.datagrams, stats.bytes, stats.longest
    );
}
