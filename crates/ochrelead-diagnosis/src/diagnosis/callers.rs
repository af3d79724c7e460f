//! What callers do: redials at once, numbers that many dial.

use super::*;

/// How many of them within the stretch are a trouble.
const MANY: usize = 4;
/// A number with so many tries and calls at once is flooded.
const FLOOD: usize = 4;

impl Diagnosis {
    /// Callers that dial again at once, and numbers that many dial.
    pub(super) fn judge_callers(&mut self, at: Moment) {
        let mut busy: BTreeMap<&str, usize> = BTreeMap::new();
        for (_, called) in self.busy_numbers.iter() {
            *busy.entry(called).or_insert(0) += 1;
        }
        let mut members: BTreeMap<u32, usize> = BTreeMap::new();
        for (_, member) in self.redials.iter() {
            *members.entry(*member).or_insert(0) += 1;
        }
        let most = |counts: Vec<(String, usize)>| counts.into_iter().max_by_key(|(_, count)| *count);
        let busiest = most(busy.iter().map(|(called, count)| ((*called).to_owned(), *count)).collect());
        let fullest = most(self.numbers.iter().map(|(called, open)| (called.clone(), *open)).collect());
        let onset = Moment::from_micros(at.micros().saturating_sub(WINDOW.micros() / 2));
        let flooded =
            busiest.filter(|(_, count)| *count >= MANY).or(fullest.filter(|(_, open)| *open >= FLOOD));
        if let Some((called, count)) = flooded {
            let evidence = format!("{count} tries met its busy lines, or are open, at once");
            self.see(at, Kind::HotNumber, &called, onset, (count as f64 / 12.0).min(1.0), evidence);
            return;
        }
        let all: usize = members.values().sum();
        let worst = members.iter().max_by_key(|(_, count)| **count).map(|(member, count)| (*member, *count));
        if let Some((member, count)) = worst.filter(|(_, count)| *count >= MANY && *count * 4 >= all * 3) {
            let evidence = format!("{count} of {all} tries that came again at once are its callers'");
            let name = format!("member {member}");
            self.see(at, Kind::Redials, &name, onset, (count as f64 / 15.0).min(1.0), evidence);
        }
    }
}
