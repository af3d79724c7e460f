//! What a front is set to.

use std::net::SocketAddr;
use std::path::Path;

use ochrelead_core::config::{ControllerConfig, Service, Tenant};
use ochrelead_core::time::{Moment, Span};
use ochrelead_mgcp::exchange::Pace;
use ochrelead_mgcp::message::Endpoint;

use crate::numbering::{Numbering, collide};
use crate::schema;
use crate::text::{Complaint, Sheet};

/// The figures that a front starts with.
#[derive(Clone, Debug)]
pub struct Commission {
    /// The domain of the front's own endpoint names.
    pub name: String,
    pub listen: SocketAddr,
    /// For the module; its seed is given at each start.
    pub provision: ControllerConfig,
    pub numbering: Numbering,
    pub service_names: Vec<String>,
    /// The timer limit of each service, for callers that name none.
    pub timer_limits: Vec<Span>,
    /// The first terms of the members' endpoint names.
    pub trunks: Vec<String>,
    pub roster: Vec<Post>,
    pub pace: Pace,
    pub most_held: usize,
    pub answer_margin: Span,
    pub drain: Span,
}

/// A signalling server as it is listed.
#[derive(Clone, Debug, PartialEq)]
pub struct Post {
    /// The domain of its endpoint names.
    pub name: String,
    pub address: SocketAddr,
    pub number: i64,
    /// The digits that name it as first choice.
    pub dialled: String,
    /// The first term of its trunk group's endpoint names.
    pub trunk: String,
    /// How many lines it has; zero where that is not known.
    pub lines: u32,
    /// The names of the services that it takes; empty where it takes all.
    pub services: Vec<String>,
    pub started: Option<Moment>,
    pub draining: bool,
    /// Its part of drawn sessions against the other servers' weights.
    pub weight: f64,
}

/// The first term of a trunk group's endpoint names where nothing is said.
const TRUNK: &str = "trunk";

/// The weights that a server may have.
pub const LEAST_WEIGHT: f64 = 0.001;
pub const MOST_WEIGHT: f64 = 1_000.0;

/// Reads and checks a front's settings.
///
/// # Errors
///
/// All that is wrong with them.
pub fn open(path: &Path) -> Result<Commission, Vec<Complaint>> {
    let (front, mut sheet) = Sheet::open::<schema::Front>(path, "Front")?;
    let commission = check(&front, "", &mut sheet);
    sheet.finish(commission)
}

/// Like [`open`], from a text.
///
/// # Errors
///
/// All that is wrong with it.
pub fn read(file: &str, text: &str) -> Result<Commission, Vec<Complaint>> {
    let (front, mut sheet) = Sheet::read::<schema::Front>(file, text, "Front")?;
    let commission = check(&front, "", &mut sheet);
    sheet.finish(commission)
}

pub(crate) fn millis(ms: u32) -> Span {
    Span::from_millis(u64::from(ms))
}

/// Checks the settings that stand at `at` in their file (empty, or ending with a dot).
pub(crate) fn check(front: &schema::Front, at: &str, sheet: &mut Sheet) -> Commission {
    let path = |field: &str| format!("{at}{field}");
    let name = sheet.need(&path("name"), front.name.clone());
    if name.is_empty() || !name.bytes().all(|b| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'-')) {
        sheet.complain(
            &path("name"),
            format!("name is {name:?}; it must be letters, digits, dots and dashes"),
        );
    }
    let listen = address(sheet, &path("listen"), front.listen.as_deref());
    let fronts = sheet.need(&path("fronts"), front.fronts);
    sheet.between(&path("fronts"), f64::from(fronts), 1.0, 100_000.0);
    let services = services(front, at, sheet);
    let (trunks, members) = members(front, at, sheet);
    let roster = roster(&front.server, at, sheet);
    let numbers: Vec<i64> = roster.iter().map(|post| post.number).collect();
    for (nth, service) in front.service.iter().enumerate() {
        for (which, number) in service.server.iter().enumerate() {
            if !numbers.is_empty() && !numbers.contains(&i64::from(*number)) {
                let path = format!("{at}service[{nth}].server[{which}]");
                sheet.complain(&path, format!("no server has the number {number}"));
            }
        }
    }
    let cold = front.cold.unwrap_or_default();
    let share = cold.share.unwrap_or(0.25);
    sheet.between(&path("cold.share"), share, 0.01, 1.0);
    let fall_multiple = cold.fall_multiple.unwrap_or(2.5);
    sheet.between(&path("cold.fall_multiple"), fall_multiple, 1.0, 100.0);
    let fall_after = cold.fall_after_ms.unwrap_or(1_000);
    sheet.between(&path("cold.fall_after_ms"), f64::from(fall_after), 10.0, 60_000.0);
    let over_share_worth = front.over_share_worth.unwrap_or(1.0);
    sheet.between(&path("over_share_worth"), over_share_worth, 0.0, 1.0);
    let turn = front.turn_ms.unwrap_or(1);
    sheet.between(&path("turn_ms"), f64::from(turn), 1.0, 100.0);
    let most_held = front.most_held.unwrap_or(100_000);
    sheet.between(&path("most_held"), f64::from(most_held), 1.0, 1_000_000.0);
    let answer_margin = front.answer_margin_ms.unwrap_or(50);
    let shortest = front.service.iter().filter_map(|own| own.timer_limit_ms).min();
    if let Some(limit) = shortest.filter(|limit| answer_margin >= *limit) {
        let what = format!(
            "answer_margin_ms is {answer_margin}; it must be less than the shortest timer_limit_ms, {limit}"
        );
        sheet.complain(&path("answer_margin_ms"), what);
    }
    Commission {
        name,
        listen,
        provision: ControllerConfig {
            seed: 0,
            fronts,
            services,
            tenants: members,
            over_quota_value_share: over_share_worth,
            max_invites: front.most_invites.unwrap_or(0),
            max_retry_after: millis(front.longest_away_ms.unwrap_or(0)),
            resend_delay: millis(sheet.need(&path("release_wait_ms"), front.release_wait_ms)),
            cold_capacity_share: share,
            warm_up_time: millis(cold.warm_after_ms.unwrap_or(15_000)),
            overload_multiple: fall_multiple,
            overload_duration: millis(fall_after),
            min_turn_interval: millis(turn),
        },
        numbering: Numbering::new(
            front.service.iter().map(|service| service.dialled.clone().unwrap_or_default()).collect(),
            &roster,
        ),
        service_names: front.service.iter().map(|service| service.name.clone().unwrap_or_default()).collect(),
        timer_limits: front.service.iter().map(|s| millis(s.timer_limit_ms.unwrap_or(0))).collect(),
        trunks,
        roster,
        pace: pace(front.repeats.unwrap_or_default(), at, sheet),
        most_held: most_held as usize,
        answer_margin: millis(answer_margin),
        drain: millis(front.drain_ms.unwrap_or(10_000)),
    }
}

fn pace(repeats: schema::Repeats, at: &str, sheet: &mut Sheet) -> Pace {
    let usual = Pace::default();
    let span = |ms: Option<u32>, usual: Span| ms.map_or(usual, millis);
    let pace = Pace {
        first_gap: span(repeats.first_gap_ms, usual.first_gap),
        longest_gap: span(repeats.longest_gap_ms, usual.longest_gap),
        give_up: span(repeats.give_up_ms, usual.give_up),
        kept: span(repeats.kept_ms, usual.kept),
        ..usual
    };
    let path = |field: &str| format!("{at}repeats.{field}");
    sheet.between(&path("first_gap_ms"), pace.first_gap.ratio(Span::from_millis(1)), 10.0, 60_000.0);
    if pace.longest_gap < pace.first_gap {
        sheet.complain(&path("longest_gap_ms"), "longest_gap_ms is less than first_gap_ms");
    }
    if pace.kept < pace.give_up {
        sheet.complain(&path("kept_ms"), "kept_ms is less than give_up_ms: a late repeat would run twice");
    }
    pace
}

fn services(front: &schema::Front, at: &str, sheet: &mut Sheet) -> Vec<Service> {
    if front.service.is_empty() {
        sheet.complain(&format!("{at}service"), "no service: at least one must be there");
    }
    let mut services = Vec::new();
    for (nth, own) in front.service.iter().enumerate() {
        let path = |field: &str| format!("{at}service[{nth}].{field}");
        let dialled = sheet.need(&path("dialled"), own.dialled.clone());
        if dialled.is_empty() || !dialled.bytes().all(|byte| byte.is_ascii_digit()) {
            sheet.complain(&path("dialled"), format!("dialled is {dialled:?}; it must be digits"));
        }
        for before in front.service.iter().take(nth) {
            if collide(before.dialled.as_deref().unwrap_or(""), &dialled) {
                let name = before.name.as_deref().unwrap_or("");
                sheet.complain(
                    &path("dialled"),
                    format!("dialled is {dialled:?}, which service {name:?} has too"),
                );
            }
        }
        let value = sheet.need(&path("value"), own.value);
        sheet.between(&path("value"), value, 0.001, 1e9);
        let target = sheet.need(&path("post_dial_target_ms"), own.post_dial_target_ms);
        let limit = sheet.need(&path("timer_limit_ms"), own.timer_limit_ms);
        if target > limit || target == 0 {
            let what =
                format!("post_dial_target_ms is {target}; it must be from 1 to timer_limit_ms, {limit}");
            sheet.complain(&path("post_dial_target_ms"), what);
        }
        let late_share = own.late_share.unwrap_or(0.0);
        sheet.between(&path("late_share"), late_share, 0.0, 1.0);
        services.push(Service {
            value,
            post_dial_target: millis(target),
            late_value_share: late_share,
            mean_hold_time: millis(own.usual_hold_ms.unwrap_or(0)),
            servers: own.server.iter().map(|number| i64::from(*number)).collect(),
            retryable: !own.once.unwrap_or(false),
        });
    }
    services
}

fn members(front: &schema::Front, at: &str, sheet: &mut Sheet) -> (Vec<String>, Vec<Tenant>) {
    let mut trunks: Vec<String> = Vec::new();
    let mut members = Vec::new();
    for (nth, own) in front.member.iter().enumerate() {
        let path = |field: &str| format!("{at}member[{nth}].{field}");
        let trunk = sheet.need(&path("trunk"), own.trunk.clone());
        if trunk.is_empty() || trunk.contains(['/', '@', '*', '$', ' ']) {
            sheet.complain(
                &path("trunk"),
                format!("trunk is {trunk:?}; it must be one term of an endpoint name"),
            );
        }
        if trunks.contains(&trunk) {
            sheet.complain(&path("trunk"), format!("trunk {trunk:?} is another member's too"));
        }
        let quota = sheet.need(&path("quota_per_s"), own.quota_per_s);
        sheet.between(&path("quota_per_s"), quota, 0.0, 1e9);
        trunks.push(trunk);
        members.push(Tenant { quota_per_s: quota });
    }
    (trunks, members)
}

/// Reads and checks the servers that stand at `at` in their file.
pub fn roster(servers: &[schema::Server], at: &str, sheet: &mut Sheet) -> Vec<Post> {
    let mut roster: Vec<Post> = Vec::new();
    for (nth, own) in servers.iter().enumerate() {
        let path = |field: &str| format!("{at}server[{nth}].{field}");
        let post = Post {
            name: sheet.need(&path("name"), own.name.clone()).to_ascii_lowercase(),
            address: address(sheet, &path("address"), own.address.as_deref()),
            number: i64::from(sheet.need(&path("number"), own.number)),
            dialled: own.dialled.clone().unwrap_or_default(),
            trunk: own.trunk.clone().unwrap_or_else(|| TRUNK.to_owned()),
            lines: own.lines.unwrap_or(0),
            services: own.service.clone(),
            started: own.started_us.map(Moment::from_micros),
            draining: own.draining.unwrap_or(false),
            weight: sheet.between(&path("weight"), own.weight.unwrap_or(1.0), LEAST_WEIGHT, MOST_WEIGHT),
        };
        if format!("{}/1@{}", post.trunk, post.name).parse::<Endpoint>().is_err() || post.trunk.contains('/')
        {
            sheet.complain(&path("name"), format!("{}/1@{} is no endpoint name", post.trunk, post.name));
        }
        if !post.dialled.bytes().all(|byte| byte.is_ascii_digit()) {
            sheet.complain(&path("dialled"), format!("dialled is {:?}; it must be digits", post.dialled));
        }
        for before in &roster {
            let shared = !before.dialled.is_empty() && !post.dialled.is_empty();
            if shared && collide(&before.dialled, &post.dialled) {
                let what = format!("dialled {:?} could mean {} too", post.dialled, before.name);
                sheet.complain(&path("dialled"), what);
            }
            if before.number == post.number {
                sheet.complain(&path("number"), format!("number {} is {}'s too", post.number, before.name));
            }
            if before.address == post.address {
                sheet
                    .complain(&path("address"), format!("address {} is {}'s too", post.address, before.name));
            }
            if before.name == post.name {
                sheet.complain(&path("name"), format!("name {} is another server's too", post.name));
            }
        }
        roster.push(post);
    }
    roster
}

fn address(sheet: &mut Sheet, path: &str, value: Option<&str>) -> SocketAddr {
    let unset = SocketAddr::from(([127, 0, 0, 1], 0));
    let Some(value) = value else {
        sheet.need::<u32>(path, None);
        return unset;
    };
    value.parse().unwrap_or_else(|_| {
        sheet.complain(path, format!("{value:?} is no address; it must be like 127.0.0.1:2727"));
        unset
    })
}
