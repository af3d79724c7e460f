//! Several nodes' parts in the fleet, without sockets: what waits for the disk, and what an operator is shown.

use std::net::SocketAddr;

use ochrelead_core::time::Moment;
use ochrelead_lease::electorate::Electorate;
use ochrelead_node::sounding::Quiet;
use ochrelead_node::together::{Duty, Together};

fn at(ms: u64) -> Moment {
    Moment::from_micros(1_000_000_000_000 + ms * 1_000)
}

fn address(front: u32) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, front as u8 + 1], 7946))
}

/// Three fronts, of whom some vote; the last keeps its promises where `keeps`.
struct Fleet {
    fronts: Vec<Together>,
    ms: u64,
    /// The disk of the last is slow: nothing is told to have been written.
    is_stuck: bool,
    sounded: Vec<(u32, u64)>,
}

impl Fleet {
    fn with(voters: &[u32], keeps: bool) -> Fleet {
        let addresses: Vec<SocketAddr> = (0..3).map(address).collect();
        let front = |number: u32| {
            let electorate = Electorate::new(1, voters);
            let mut front =
                Together::new(address(number), addresses.clone(), Some(number), electorate, 7, at(0))
                    .unwrap();
            if keeps && number == 2 {
                front.keep(None, 7, at(0));
            }
            front
        };
        Fleet { fronts: (0..3).map(front).collect(), ms: 0, is_stuck: false, sounded: Vec::new() }
    }

    fn pass(&mut self, ms: u64) {
        for _ in 0..ms / 20 {
            self.ms += 20;
            let now = at(self.ms);
            let mut sent = Vec::new();
            for (number, front) in self.fronts.iter_mut().enumerate() {
                front.turn(now);
                // A server that fell silent when all began.
                front.look(now, || {
                    let quiet = Quiet { id: "s-0".to_owned(), spoke: at(0), heard: at(0) };
                    (vec![quiet], Vec::new())
                });
                while let Some(duty) = front.duty() {
                    if let Duty::Sound { number: under, .. } = duty {
                        self.sounded.push((number as u32, under.counter));
                    }
                }
                if let Some((nth, bytes)) = front.to_save().filter(|_| !self.is_stuck) {
                    assert!(!bytes.is_empty());
                    front.saved(nth);
                }
                while let Some((to, bytes)) = front.next() {
                    sent.push((number as u32, to, bytes));
                }
            }
            for (from, to, bytes) in sent {
                let to = (0..3).find(|number| address(*number) == to).unwrap();
                self.fronts[to as usize].take(now, address(from), &bytes);
            }
        }
    }

    fn holders(&self) -> Vec<u32> {
        let holds = |number: &u32| self.fronts[*number as usize].holds(at(self.ms), "s-0").is_some();
        (0..3).filter(holds).collect()
    }
}

#[test]
fn one_of_three_sounds_a_silent_server() {
    let mut fleet = Fleet::with(&[0, 1, 2], false);
    fleet.pass(20_000);
    assert_eq!(fleet.holders().len(), 1);
    let last = fleet.sounded.last().unwrap().0;
    assert_eq!(fleet.holders(), [last]);
}

/// A promise that is not on the disk yet is not said: two fronts vote, and the disk of one is stuck. The other can't
/// hold; it does once the disk has told.
#[test]
fn no_promise_leaves_before_it_is_kept() {
    let mut fleet = Fleet::with(&[0, 2], true);
    fleet.is_stuck = true;
    for _ in 0..100 {
        fleet.pass(200);
        assert!(!fleet.holders().contains(&0) && !fleet.holders().contains(&1), "{:?}", fleet.holders());
    }
    fleet.is_stuck = false;
    fleet.sounded.clear();
    fleet.fronts.truncate(2);
    fleet.fronts.push(Fleet::with(&[0, 2], true).fronts.remove(2));
    fleet.pass(30_000);
    assert!(!fleet.sounded.is_empty());
}

#[test]
fn an_operator_is_shown_how_the_tasks_stand() {
    let mut fleet = Fleet::with(&[0, 1, 2], false);
    let (early, _) = fleet.fronts[0].status(at(0)).unwrap();
    assert!(
        early.contains("front 0 of 3, 1 seen; abstains for 4.0 s more; voters 0,1,2, generation 1\n"),
        "{early}"
    );
    fleet.pass(20_000);
    let holder = fleet.holders()[0] as usize;
    let (status, counters) = fleet.fronts[holder].status(at(fleet.ms)).unwrap();
    assert!(status.starts_with("written_us: ") && status.contains("3 seen; votes;"), "{status}");
    let line = status.lines().find(|line| line.starts_with("sounding s-0: number ")).unwrap();
    assert!(line.contains(", held here since ") && line.contains(" left"), "{line}");
    assert!(counters.contains("ochrelead_leases_held 1\n"), "{counters}");
    assert!(counters.contains("ochrelead_peers_datagrams_sent_total "), "{counters}");
    let other = (0..3).find(|other| *other != holder).unwrap();
    let (status, _) = fleet.fronts[other].status(at(fleet.ms)).unwrap();
    assert!(status.contains(&format!("promised to front {holder}, ")), "{status}");
    assert_eq!(fleet.fronts[other].status(at(fleet.ms + 900)), None, "once a second");
}
