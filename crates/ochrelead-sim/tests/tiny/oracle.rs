//! The five rules, judged from what leaves the fronts and from what was handed to them; nothing else is known.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    COLD_SHARE, DRAIN_GRACE, FALL_AFTER, FALL_MULTIPLE, LIMIT, MOST_INVITES, RELEASE, SET_UPS, WARM_AFTER,
};

/// A try, as far as its front has read of it.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub front: usize,
    /// When the front read it; it is no duty before, nor once the front was killed.
    pub read: Option<u64>,
    pub limit: u64,
    pub excused: bool,
    pub hung_up: Option<u64>,
    pub answers: BTreeSet<u32>,
    pub stands: bool,
    /// The call was cut: its session is over.
    pub cut: bool,
    out: Option<(usize, u32)>,
    invites: u32,
    release_from: Option<u64>,
}

#[derive(Default)]
pub struct Oracle {
    pub tries: BTreeMap<String, Seen>,
    /// All INVITEs: their try, and since when no repeat may go out.
    invites: BTreeMap<(usize, u32), (String, Option<u64>)>,
    /// Per front and server, since when it was told of the server's leave.
    leaving: BTreeMap<(usize, usize), u64>,
    /// Per server, when it last started, and what fronts that had been told sent it since.
    started: BTreeMap<usize, (u64, BTreeSet<usize>, Vec<u64>)>,
}

type Breach = Result<(), (u8, String)>;

fn breach(rule: u8, how: String) -> Breach {
    Err((rule, how))
}

impl Oracle {
    /// A live front has read a caller's try, which lay unread for so long: its caller has waited all the while.
    pub fn taken(&mut self, now: u64, front: usize, tried: &str, waited: u64) {
        let own = self.tries.entry(tried.to_owned()).or_default();
        if own.read.is_none() && own.hung_up.is_none() {
            (own.front, own.read, own.limit) = (front, Some(now), now + LIMIT - waited.min(LIMIT));
            own.excused = waited > 0;
        }
    }

    pub fn hung_up(&mut self, now: u64, tried: &str) {
        self.tries.entry(tried.to_owned()).or_default().hung_up.get_or_insert(now);
    }

    /// A live front has read a server's final response.
    pub fn responded(&mut self, now: u64, front: usize, server: usize, transaction: u32, code: u16) {
        let Some((tried, over)) = self.invites.get_mut(&(front, transaction)) else { return };
        let Some(own) = self.tries.get_mut(tried) else { return };
        if own.out == Some((server, transaction)) {
            (own.out, *over) = (None, Some(now));
            own.release_from = (code == 405).then_some(now);
        }
    }

    /// A live front has read a server's RSIP.
    pub fn told(&mut self, now: u64, front: usize, server: usize, method: &str) {
        match method {
            "graceful" | "forced" => {
                self.leaving.entry((front, server)).or_insert(now);
            }
            _ => {
                self.leaving.remove(&(front, server));
                if let Some((_, told, _)) = self.started.get_mut(&server) {
                    told.insert(front);
                }
            }
        }
        if method != "graceful" {
            for own in self.tries.values_mut().filter(|own| own.front == front) {
                if let Some((_, transaction)) = own.out.take_if(|(at, _)| *at == server) {
                    own.release_from = Some(now);
                    if let Some((_, over)) = self.invites.get_mut(&(front, transaction)) {
                        *over = Some(now);
                    }
                } else if own.stands && own.hung_up.is_none() {
                    // Which server it stands at is not looked up: the books ask only for those that surely stand.
                    own.cut = true;
                }
            }
        }
    }

    /// A new process runs at the server.
    pub fn started(&mut self, now: u64, server: usize) {
        self.started.insert(server, (now, BTreeSet::new(), Vec::new()));
    }

    /// What a killed front held is no duty of its next life.
    pub fn killed(&mut self, front: usize) {
        self.tries.retain(|_, own| own.front != front);
        self.invites.retain(|(own, _), _| *own != front);
    }

    /// A front that stood still goes on: what is late is so because of that.
    pub fn resumed(&mut self, front: usize) {
        self.tries.values_mut().filter(|own| own.front == front).for_each(|own| own.excused = true);
    }

    /// A final answer leaves a front.
    pub fn answered(
        &mut self,
        now: u64,
        front: usize,
        tried: &str,
        transaction: u32,
        stands: bool,
    ) -> Breach {
        let own = self.tries.get_mut(tried).filter(|own| own.front == front && own.read.is_some());
        let Some(own) = own else { return breach(1, format!("an answer to {tried}, which is not taken")) };
        if !own.answers.insert(transaction) {
            return Ok(());
        }
        own.stands = stands;
        if own.answers.len() > 1 {
            return breach(1, format!("{tried}: a second final answer"));
        }
        if own.hung_up.is_some_and(|then| then < now) {
            return breach(1, format!("{tried}: a final answer after the hang-up"));
        }
        if now > own.limit && !own.excused {
            return breach(1, format!("{tried}: its final answer came after the limit"));
        }
        Ok(())
    }

    /// A DLCX for a call leaves a front for a server.
    pub fn called_off(&mut self, now: u64, front: usize, server: usize, tried: &str) {
        let Some(own) = self.tries.get_mut(tried).filter(|own| own.front == front) else { return };
        if let Some((_, transaction)) = own.out.take_if(|(at, _)| *at == server) {
            own.release_from = Some(now);
            if let Some((_, over)) = self.invites.get_mut(&(front, transaction)) {
                *over = Some(now);
            }
        }
    }

    /// A CRCX leaves a front for a server.
    pub fn invited(
        &mut self,
        now: u64,
        front: usize,
        server: usize,
        tried: &str,
        transaction: u32,
    ) -> Breach {
        if let Some((_, over)) = self.invites.get(&(front, transaction)) {
            return match over {
                Some(over) if *over < now => breach(1, format!("{tried}: an INVITE repeated after its end")),
                _ => Ok(()),
            };
        }
        self.invites.insert((front, transaction), (tried.to_owned(), None));
        let own = self.tries.get_mut(tried).filter(|own| own.front == front && own.read.is_some());
        let Some(own) = own else { return breach(1, format!("an INVITE for {tried}, which is not taken")) };
        if !own.answers.is_empty() || own.hung_up.is_some_and(|then| then < now) {
            return breach(1, format!("{tried}: an INVITE after the end"));
        }
        if own.out.replace((server, transaction)).is_some() {
            return breach(2, format!("{tried}: an INVITE while another is out"));
        }
        own.invites += 1;
        if own.invites > MOST_INVITES {
            return breach(0, format!("{tried}: {} INVITEs", own.invites));
        }
        if own.release_from.take().is_some_and(|from| now < from + RELEASE) {
            return breach(5, format!("{tried}: an INVITE before the release time was over"));
        }
        if self.leaving.get(&(front, server)).is_some_and(|told| now > told + DRAIN_GRACE) {
            return breach(3, format!("{tried}: an INVITE to server {server}, which had left"));
        }
        let Some((began, told, sent)) = self.started.get_mut(&server) else { return Ok(()) };
        if told.contains(&front) && now < *began + WARM_AFTER {
            sent.push(now);
            sent.retain(|then| now < then + FALL_AFTER);
            let warmth = (now - *began) as f64 / WARM_AFTER as f64;
            let able = SET_UPS * (COLD_SHARE + (1.0 - COLD_SHARE) * warmth) * FALL_MULTIPLE;
            if sent.len() as f64 > able {
                return breach(
                    4,
                    format!("{} set-ups to server {server} where {able} is the most", sent.len()),
                );
            }
        }
        Ok(())
    }

    /// What must hold at any moment. `serving`: the fronts that run and do not stand still.
    pub fn now(&self, now: u64, serving: &[bool]) -> Breach {
        for (tried, own) in &self.tries {
            let owed = own.read.is_some() && own.answers.is_empty() && own.hung_up.is_none();
            if owed && serving[own.front] && now > own.limit && !own.excused {
                return breach(1, format!("{tried}: no final answer by the limit"));
            }
        }
        Ok(())
    }
}
