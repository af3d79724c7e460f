//! Who is there: fronts that write, servers that are heard.

use super::*;

/// Nothing of a server for so long, with INVITEs out, is silence.
const SILENCE: Span = Span::from_millis(1_300);
/// A front in service writes at least so often.
const SIGNS: Span = Span::from_millis(1_200);
/// A front that writes nothing for so long has ended; it writes each second.
const NO_SIGN: Span = Span::from_secs(4);

impl Diagnosis {
    pub(super) fn judge_fronts(&mut self, at: Moment) {
        let alive = self.fronts.values().filter(|front| at.since(front.last) < NO_SIGN).count();
        let missing: Vec<(String, Moment)> = self
            .fronts
            .iter()
            .filter(|(_, front)| !front.stopped && at.since(front.last) >= NO_SIGN)
            .map(|(name, front)| (name.clone(), front.last))
            .collect();
        for (name, last) in missing.into_iter().filter(|_| alive > 0) {
            let evidence = "it has written nothing since, while others write".to_owned();
            if !self.open.contains_key(&(Kind::FrontKilled, name.clone())) {
                self.let_go(&name);
            }
            self.see(at, Kind::FrontKilled, &name, last, 0.8, evidence);
        }
    }

    /// Servers that are not heard: by nobody, or by one front alone.
    pub(super) fn judge_silence(&mut self, at: Moment) {
        let mut silent = Vec::new();
        for (name, server) in &self.servers {
            let Some(heard) = server.heard else { continue };
            let waits = server.out.values().filter(|sent| at.since(**sent) > SILENCE / 2).count();
            let still = self.open.contains_key(&(Kind::Silent, name.clone()));
            if at.since(heard) >= SILENCE && (waits > 0 || still) {
                silent.push((name.clone(), heard, waits));
            }
        }
        for (name, heard, waits) in &silent {
            let evidence = format!("no sign of it since, with {waits} INVITEs out over all fronts");
            self.server(name).silent = Some(at);
            self.see(at, Kind::Silent, name, *heard, 0.9, evidence);
        }
        let gone = |name: &String| silent.iter().any(|(own, ..)| own == name);
        let mut cut_off = Vec::new();
        for (front, known) in &self.fronts {
            // One that writes nothing itself stands still or is gone: that is another trouble.
            if known.stopped || at.since(known.last) > SIGNS {
                continue;
            }
            let heard: Vec<(Moment, Moment)> = self
                .servers
                .iter()
                .filter(|(name, _)| !gone(name))
                .filter_map(|(_, server)| Some((server.heard?, *server.heard_by.get(front)?)))
                .collect();
            let cut = |(all, own): &(Moment, Moment)| at.since(*own) >= SILENCE && at.since(*all) < SILENCE;
            if heard.len() > 1 && heard.iter().all(cut) {
                let onset = heard.iter().map(|(_, own)| *own).max().unwrap_or(at);
                cut_off.push((front.clone(), onset));
            }
        }
        for (front, onset) in cut_off {
            let evidence = "it hears none of the servers that others hear".to_owned();
            self.see(at, Kind::CutOff, &front, onset, 0.9, evidence);
        }
    }
}
