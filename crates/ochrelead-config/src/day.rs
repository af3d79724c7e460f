//! Scripted days.

use std::path::Path;

use ochrelead_core::time::Span;

use crate::commission::{self, Commission, millis};
use crate::schema;
use crate::text::{Complaint, Sheet};

/// A day as it is played.
#[derive(Clone, Debug)]
pub struct Day {
    pub seed: u64,
    pub length: Span,
    pub fronts: usize,
    /// What all fronts are set to, but for name, addresses and servers.
    pub front: Commission,
    /// The same as it was read, for the fronts' own files.
    pub sheet: schema::Front,
    pub stand_ins: Vec<StandIn>,
    pub callers: Callers,
    pub network: Network,
    pub troubles: Vec<Trouble>,
    pub churn: Option<Churn>,
}

/// Fleet files that are rewritten all day.
#[derive(Clone, Debug)]
pub struct Churn {
    pub every: Span,
    pub broken: f64,
    pub drain: Span,
    pub weights: Vec<f64>,
}

/// A stand-in signalling server.
#[derive(Clone, Copy, Debug)]
pub struct StandIn {
    pub sessions_per_s: f64,
    pub lines: u32,
    pub queue: Span,
    pub cold_share: f64,
    pub warm: Span,
    pub told: Span,
    pub tells_can_take: bool,
    pub tells_hold_back: bool,
    pub names_wait: bool,
    /// Work in shares of a set-up.
    pub look: f64,
    pub reject: f64,
    pub repeat: f64,
    pub follow: f64,
    pub cancel_drops: bool,
    pub finish_first: bool,
}

impl StandIn {
    /// The work of one set-up on the warm processor.
    pub fn set_up(&self) -> Span {
        Span::from_secs(1).scaled(1.0 / (self.sessions_per_s * (1.0 + 2.0 * self.follow)))
    }
}

/// All callers of a day.
#[derive(Clone, Debug)]
pub struct Callers {
    pub sessions_per_s: f64,
    pub service_shares: Vec<f64>,
    pub member_shares: Vec<f64>,
    pub redials: u32,
    pub back_off: Span,
    pub honour: f64,
    pub patience: f64,
}

/// What becomes of datagrams on their way.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    pub delay: Span,
    pub jitter: f64,
    pub loss: f64,
    pub doubled: f64,
    pub reordered: f64,
}

/// What can go wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A server's process is killed and started again after the length: all its calls are cut.
    Crash,
    /// A server stands still and comes back cold.
    Vanish,
    /// A server takes set-ups and answers none.
    Silent,
    /// A server is slower by the size.
    Slow,
    /// All servers are slower by the size.
    AllSlow,
    /// Callers come `size` times as often.
    Surge,
    /// A share of `size` of all sessions goes to one number with few lines.
    HotNumber,
    /// A server drains for the length and is replaced by a cold one.
    Replaced,
    /// A front is killed and started again after the length, with its last list alone.
    FrontKilled,
    /// A front's process stands still for the length.
    FrontStall,
    /// The callers of one member dial again at once, and give up early.
    Redials,
    /// Answers of a server are lost on the way to the fronts, a share of `size`.
    AnswersLost,
    /// The link between a front and all servers is cut, both ways.
    LinkCut,
    /// Nothing of the servers reaches a front, a share of `size` of it.
    FrontDeaf,
    /// Nothing of a front reaches the servers, a share of `size` of it.
    FrontMute,
    /// The link between a front and the callers loses a share of `size`, both ways.
    CallersCut,
    /// A front's system clock is set by `size` seconds, ahead; its next process has it.
    ClockAhead,
    /// The same, back.
    ClockBack,
    /// A front's clock runs fast by `size` in a million.
    ClockFast,
    /// A front's disk takes nothing for the length.
    DiskFull,
    /// What a front was writing when it was killed within the length is torn.
    DiskTorn,
}

impl Kind {
    pub const ALL: [(&'static str, Kind); 21] = [
        ("crash", Kind::Crash),
        ("vanish", Kind::Vanish),
        ("silent", Kind::Silent),
        ("slow", Kind::Slow),
        ("all_slow", Kind::AllSlow),
        ("surge", Kind::Surge),
        ("hot_number", Kind::HotNumber),
        ("replaced", Kind::Replaced),
        ("front_killed", Kind::FrontKilled),
        ("front_stall", Kind::FrontStall),
        ("redials", Kind::Redials),
        ("answers_lost", Kind::AnswersLost),
        ("link_cut", Kind::LinkCut),
        ("front_deaf", Kind::FrontDeaf),
        ("front_mute", Kind::FrontMute),
        ("callers_cut", Kind::CallersCut),
        ("clock_ahead", Kind::ClockAhead),
        ("clock_back", Kind::ClockBack),
        ("clock_fast", Kind::ClockFast),
        ("disk_full", Kind::DiskFull),
        ("disk_torn", Kind::DiskTorn),
    ];

    /// As days name it.
    pub fn name(self) -> &'static str {
        Kind::ALL.iter().find(|(_, own)| *own == self).map_or("", |(name, _)| name)
    }

    /// Clocks and disks are the system's: real processes can't be given others.
    pub fn is_emulated_only(self) -> bool {
        use Kind::{ClockAhead, ClockBack, ClockFast, DiskFull, DiskTorn};
        matches!(self, ClockAhead | ClockBack | ClockFast | DiskFull | DiskTorn)
    }

    pub fn strikes_a_front(self) -> bool {
        self.strikes_fronts() == Some(true)
    }

    /// Whether it strikes fronts (true), servers (false), or neither.
    fn strikes_fronts(self) -> Option<bool> {
        match self {
            Kind::FrontKilled | Kind::FrontStall | Kind::LinkCut => Some(true),
            Kind::FrontDeaf | Kind::FrontMute | Kind::CallersCut => Some(true),
            _ if self.is_emulated_only() => Some(true),
            Kind::Surge | Kind::HotNumber | Kind::Redials | Kind::AllSlow => None,
            _ => Some(false),
        }
    }
}

/// One trouble.
#[derive(Clone, Debug)]
pub struct Trouble {
    pub kind: Kind,
    pub at: Span,
    pub length: Span,
    /// The stand-ins, fronts or members that it strikes, counted from 0.
    pub which: Vec<usize>,
    pub size: f64,
}

/// Reads and checks a day.
///
/// # Errors
///
/// All that is wrong with it.
pub fn open(path: &Path) -> Result<Day, Vec<Complaint>> {
    let (day, mut sheet) = Sheet::open::<schema::Day>(path, "Day")?;
    let day = check(day, &mut sheet);
    sheet.finish(day)
}

/// Like [`open`], from a text.
///
/// # Errors
///
/// All that is wrong with it.
pub fn read(file: &str, text: &str) -> Result<Day, Vec<Complaint>> {
    let (day, mut sheet) = Sheet::read::<schema::Day>(file, text, "Day")?;
    let day = check(day, &mut sheet);
    sheet.finish(day)
}

/// The most fronts and servers of a day.
const MOST_FRONTS: f64 = 2_000.0;
const MOST_SERVERS: usize = 90;

fn check(day: schema::Day, sheet: &mut Sheet) -> Day {
    let length = sheet.need("length_ms", day.length_ms);
    sheet.between("length_ms", f64::from(length), 500.0, 3_600_000.0);
    let fronts = sheet.need("fronts", day.fronts);
    let fronts = sheet.between("fronts", f64::from(fronts), 1.0, MOST_FRONTS) as usize;
    let mut own = sheet.need("front", day.front);
    for (named, field) in
        [(own.name.is_some(), "name"), (own.listen.is_some(), "listen"), (own.fronts.is_some(), "fronts")]
    {
        if named {
            sheet.complain(
                &format!("front.{field}"),
                format!("{field} is filled in by the rig and must not be here"),
            );
        }
    }
    if !own.server.is_empty() {
        sheet.complain("front.server", "servers are filled in by the rig: say them as stand_in");
    }
    (own.name, own.listen) = (Some("front".to_owned()), Some("127.0.0.1:0".to_owned()));
    own.fronts = Some(fronts as u32);
    let front = commission::check(&own, "front.", sheet);
    if day.stand_in.is_empty() || day.stand_in.len() > MOST_SERVERS {
        sheet.complain("stand_in", "there must be 1 to 90 stand-ins");
    }
    let stand_ins: Vec<StandIn> =
        day.stand_in.iter().enumerate().map(|(nth, own)| stand_in(own, nth, sheet)).collect();
    let callers =
        callers(&sheet.need("callers", day.callers), front.timer_limits.len(), front.trunks.len(), sheet);
    let network = network(day.network.unwrap_or_default(), sheet);
    let churn = day.churn.as_ref().map(|own| churn(own, stand_ins.len(), sheet));
    let counts = (fronts, stand_ins.len());
    let troubles =
        day.trouble.iter().enumerate().map(|(nth, own)| trouble(own, nth, counts, sheet)).collect();
    Day {
        seed: sheet.need("seed", day.seed),
        length: millis(length),
        fronts,
        front,
        sheet: own,
        stand_ins,
        callers,
        network,
        troubles,
        churn,
    }
}

fn stand_in(own: &schema::StandIn, nth: usize, sheet: &mut Sheet) -> StandIn {
    let path = |field: &str| format!("stand_in[{nth}].{field}");
    let sessions_per_s = sheet.need(&path("sessions_per_s"), own.sessions_per_s);
    let lines = sheet.need(&path("lines"), own.lines);
    let share = |value: Option<f64>, usual: f64| value.unwrap_or(usual);
    StandIn {
        sessions_per_s: sheet.between(&path("sessions_per_s"), sessions_per_s, 0.1, 1e6),
        lines: sheet.between(&path("lines"), f64::from(lines), 1.0, 1e6) as u32,
        queue: millis(own.queue_ms.unwrap_or(3_000)),
        cold_share: sheet.between(&path("cold_share"), share(own.cold_share, 0.3), 0.01, 1.0),
        warm: millis(own.warm_ms.unwrap_or(12_000)),
        told: millis(
            sheet.between(&path("told_ms"), f64::from(own.told_ms.unwrap_or(400)), 10.0, 60_000.0) as u32
        ),
        tells_can_take: own.tells_can_take.unwrap_or(false),
        tells_hold_back: own.tells_hold_back.unwrap_or(false),
        names_wait: own.names_wait.unwrap_or(false),
        look: sheet.between(&path("look"), share(own.look, 0.2), 0.0, 1.0),
        reject: sheet.between(&path("reject"), share(own.reject, 0.2), 0.0, 1.0),
        repeat: sheet.between(&path("repeat"), share(own.repeat, 0.4), 0.0, 1.0),
        follow: sheet.between(&path("follow"), share(own.follow, 0.35), 0.0, 1.0),
        cancel_drops: own.cancel_drops.unwrap_or(false),
        finish_first: own.finish_first.unwrap_or(false),
    }
}

fn callers(own: &schema::Callers, services: usize, members: usize, sheet: &mut Sheet) -> Callers {
    let rate = sheet.need("callers.sessions_per_s", own.sessions_per_s);
    for (field, shares, most) in
        [("service_share", &own.service_share, services), ("member_share", &own.member_share, members)]
    {
        let sound =
            shares.iter().all(|share| *share >= 0.0 && share.is_finite()) && shares.iter().sum::<f64>() > 0.0;
        if shares.len() != most || (most > 0 && !sound) {
            let what = format!("{field} has {} shares; it must have {most}, not all 0", shares.len());
            sheet.complain(&format!("callers.{field}"), what);
        }
    }
    Callers {
        sessions_per_s: sheet.between("callers.sessions_per_s", rate, 0.01, 1e6),
        service_shares: own.service_share.clone(),
        member_shares: own.member_share.clone(),
        redials: own.redials.unwrap_or(0).min(20),
        back_off: millis(own.back_off_ms.unwrap_or(800)),
        honour: sheet.between("callers.honour", own.honour.unwrap_or(0.6), 0.0, 1.0),
        patience: sheet.between("callers.patience", own.patience.unwrap_or(0.35), 0.01, 1.0),
    }
}

fn network(own: schema::Network, sheet: &mut Sheet) -> Network {
    let delay = sheet.between("network.delay_ms", own.delay_ms.unwrap_or(2.0), 0.0, 10_000.0);
    let mut share = |field: &str, value: Option<f64>| {
        sheet.between(&format!("network.{field}"), value.unwrap_or(0.0), 0.0, 1.0)
    };
    Network {
        delay: Span::from_millis(1).scaled(delay),
        jitter: share("jitter", own.jitter),
        loss: share("loss", own.loss),
        doubled: share("doubled", own.doubled),
        reordered: share("reordered", own.reordered),
    }
}

fn churn(own: &schema::Churn, servers: usize, sheet: &mut Sheet) -> Churn {
    let every = sheet.need("churn.every_ms", own.every_ms);
    if own.weight.len() != servers || own.weight.iter().any(|weight| !(0.001..=1_000.0).contains(weight)) {
        let what =
            format!("weight has {} figures; it must have {servers}, from 0.001 to 1000", own.weight.len());
        sheet.complain("churn.weight", what);
    }
    Churn {
        every: millis(sheet.between("churn.every_ms", f64::from(every), 1.0, 60_000.0) as u32),
        broken: sheet.between("churn.broken", own.broken.unwrap_or(0.0), 0.0, 0.9),
        drain: millis(own.drain_ms.unwrap_or(1_000).max(1)),
        weights: own.weight.clone(),
    }
}

fn trouble(own: &schema::Trouble, nth: usize, counts: (usize, usize), sheet: &mut Sheet) -> Trouble {
    let path = |field: &str| format!("trouble[{nth}].{field}");
    let named = sheet.need(&path("kind"), own.kind.clone());
    let kind = Kind::ALL.iter().find(|(name, _)| *name == named).map(|(_, kind)| *kind);
    if kind.is_none() && own.kind.is_some() {
        let names = Kind::ALL.map(|(name, _)| name).join(", ");
        sheet.complain(&path("kind"), format!("kind is {named:?}; it must be one of {names}"));
    }
    let kind = kind.unwrap_or(Kind::Slow);
    let among = match kind.strikes_fronts() {
        Some(true) => counts.0,
        Some(false) => counts.1,
        None => usize::MAX,
    };
    let part = sheet.between(&path("part"), own.part.unwrap_or(0.0), 0.0, 1.0);
    let mut which: Vec<usize> = own.which.iter().map(|at| *at as usize).collect();
    if which.is_empty() && among != usize::MAX {
        which = (0..((among as f64 * part).ceil() as usize).max(1)).collect();
    }
    for (at, struck) in which.iter().enumerate() {
        if *struck >= among {
            sheet.complain(&path(&format!("which[{at}]")), format!("there are only {among}, counted from 0"));
        }
    }
    let size = own.size.unwrap_or(1.0);
    sheet.between(&path("size"), size, 0.0, 1_000.0);
    Trouble {
        kind,
        at: millis(sheet.need(&path("at_ms"), own.at_ms)),
        length: millis(own.length_ms.unwrap_or(0)),
        which,
        size,
    }
}
