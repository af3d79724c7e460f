//! The program `ochrelead-scenario`.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::thread;

use anyhow::Context;
use clap::{Args, Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use ochrelead_config::scenario::{self, Scenario};
use ochrelead_core::time::{Moment, Span};
use ochrelead_front::host::FrontPaths;
use ochrelead_scenario::audit::{self, RULES, Service, Verdict};
use ochrelead_scenario::found::{self, Found, Tally};
use ochrelead_scenario::load::{self, Between};
use ochrelead_scenario::party::Street;
use ochrelead_scenario::world::{Deciding, World, capture_file, day_file};
use ochrelead_scenario::{capture, part};

/// Plays scripted days through real fronts on loopback sockets, and judges them from what the sockets saw.
///
/// Exits with 0 where all rules were kept, 1 where one was broken, 2 for usage and settings.
#[derive(Parser)]
#[command(
    version,
    after_help = "Examples:\n  ochrelead-scenario run scenarios/bad-day.textproto --out target/day\n  \
    ochrelead-scenario audit target/day/capture.pcap --day scenarios/bad-day.textproto\n  \
    ochrelead-scenario check scenarios/bad-day.textproto"
)]
struct Line {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Play a day in real time and judge it
    Run {
        day: PathBuf,
        /// Where the captures and the fronts' files go
        #[arg(long, value_name = "DIR")]
        out: PathBuf,
        /// Leave out the textbook baselines
        #[arg(long)]
        alone: bool,
    },
    /// Judge a capture
    Audit {
        capture: PathBuf,
        #[arg(long)]
        day: PathBuf,
    },
    /// How well the diagnosis finds what a played day's script did
    Found {
        /// Folders that days were played into; of more than one a table by kind is shown
        #[arg(required = true)]
        outs: Vec<PathBuf>,
        /// Set the fronts' clocks wrong and cut out a tenth of the records first, by this seed
        #[arg(long, value_name = "SEED")]
        marred: Option<u64>,
    },
    /// Check days and stop
    Check {
        #[arg(required = true)]
        days: Vec<PathBuf>,
    },
    /// How much one front carries on one core, beside a bare relay of the same datagrams
    Load {
        #[arg(long, value_name = "DIR")]
        out: PathBuf,
        /// Of each step
        #[arg(long, default_value_t = 3)]
        seconds: u64,
        /// Sessions a second, step by step
        #[arg(
            long,
            value_delimiter = ',',
            default_value = "500,1000,2000,3000,4000,5000,6000,7200,8500,10000,12000,15000,20000,26000"
        )]
        rates: Vec<u32>,
    },
    /// What the rig starts for itself
    #[command(subcommand, hide = true)]
    Part(Part),
}

#[derive(Subcommand)]
enum Part {
    Front {
        #[arg(long)]
        settings: PathBuf,
        #[arg(long)]
        fleet: Option<PathBuf>,
        #[arg(long)]
        state: Option<PathBuf>,
        #[arg(long)]
        records: Option<PathBuf>,
        #[arg(long)]
        deciding: String,
        #[arg(long)]
        seed: u64,
    },
    Server {
        #[command(flatten)]
        stand_in: StandIn,
        #[arg(long)]
        nth: usize,
        #[arg(long)]
        fresh: bool,
    },
    Callers {
        #[command(flatten)]
        stand_in: StandIn,
    },
    Relay {
        #[arg(long)]
        listen: SocketAddrV4,
        #[arg(long)]
        one: SocketAddrV4,
        #[arg(long)]
        other: SocketAddrV4,
    },
}

#[derive(Args)]
struct StandIn {
    #[arg(long)]
    day: PathBuf,
    #[arg(long)]
    listen: SocketAddrV4,
    #[arg(long = "front")]
    fronts: Vec<SocketAddrV4>,
    #[arg(long)]
    start_us: u64,
}

/// What a run came to: a broken rule is a verdict, all else that fails is not.
enum Outcome {
    Kept,
    Broken,
}

fn main() -> ExitCode {
    let done = match Line::parse().what {
        What::Run { day, out, alone } => run(&day, &out, alone),
        What::Audit { capture, day } => judge(&capture, &day),
        What::Found { outs, marred } => found(&outs, marred),
        What::Check { days } => days.iter().try_for_each(|day| read(day).map(drop)).map(|()| Outcome::Kept),
        What::Load { out, seconds, rates } => measure(&out, seconds, &rates),
        What::Part(part) => play(part).map(|()| Outcome::Kept),
    };
    match done {
        Ok(Outcome::Kept) => ExitCode::SUCCESS,
        Ok(Outcome::Broken) => ExitCode::FAILURE,
        Err(error) => {
            for line in format!("{error:#}").lines() {
                eprintln!("ochrelead-scenario: {line}");
            }
            ExitCode::from(2)
        }
    }
}

fn read(path: &Path) -> anyhow::Result<Scenario> {
    scenario::open(path).map_err(part::complained)
}

fn play(part: Part) -> anyhow::Result<()> {
    match part {
        Part::Front { settings, fleet, state, records, deciding, seed } => {
            let known = Deciding::ALL.iter().find(|(name, _)| *name == deciding);
            let (_, deciding) = known.with_context(|| format!("--deciding {deciding}: no such policy"))?;
            part::front(&settings, FrontPaths { fleet, state, event_log: records }, *deciding, seed)
        }
        Part::Server { stand_in, nth, fresh } => {
            let day = read(&stand_in.day)?;
            part::server(&day, nth, stand_in.listen, &stand_in.fronts, stand_in.start_us, fresh)
        }
        Part::Relay { listen, one, other } => load::relay(listen, one, other),
        Part::Callers { stand_in } => {
            part::callers(read(&stand_in.day)?, stand_in.listen, &stand_in.fronts, stand_in.start_us)
        }
    }
}

fn found(outs: &[PathBuf], marred: Option<u64>) -> anyhow::Result<Outcome> {
    let mut tally = BTreeMap::new();
    for out in outs {
        let day = read(&day_file(out))?;
        let sights = capture::read(&capture_file(out))?;
        let found = found::compare(&day, &sights, &out.join("records"), marred)?;
        found::count(&mut tally, &found);
        if outs.len() > 1 {
            println!("{}", out.display());
        }
        tell_found(&found);
    }
    if outs.len() > 1 {
        println!("\n{:<38} {:>8} {:>6} {:>9} {:>9}", "kind", "scripted", "found", "invented", "onset off");
        for (kind, Tally { scripted, found, invented, onsets }) in &mut tally {
            onsets.sort_by(f64::total_cmp);
            let off = onsets.get(onsets.len() / 2).map_or("-".to_owned(), |own| format!("{own:.1} s"));
            println!("{:<38} {scripted:>8} {found:>6} {invented:>9} {off:>9}", kind.name());
        }
    }
    let all = tally.values().all(|own| own.found == own.scripted && own.invented == 0);
    Ok(if all { Outcome::Kept } else { Outcome::Broken })
}

fn tell_found(found: &Found) {
    let secs = |span: Span| span.ratio(Span::from_secs(1));
    for own in &found.scripted {
        let (at, ends) = (secs(own.at), secs(own.at + own.length));
        let made = own.found.as_ref().map_or("missed".to_owned(), |trouble| {
            let end = trouble
                .end
                .map_or("lasts".to_owned(), |end| format!("{:.1}", secs(end.since(Moment::START))));
            format!("found {:.1} to {end}", secs(trouble.onset.since(Moment::START)))
        });
        println!("{} {}: scripted {at:.1} to {ends:.1}, {made}", own.kind.name(), own.of);
    }
    for own in &found.invented {
        let end = own.end.map_or("lasts".to_owned(), |end| format!("{:.1}", secs(end.since(Moment::START))));
        println!("invented, {:.1} to {end}: {own}", secs(own.onset.since(Moment::START)));
    }
}

fn measure(out: &Path, seconds: u64, rates: &[u32]) -> anyhow::Result<Outcome> {
    let mut best = Vec::new();
    println!("{:<7} {:>11} {:>9} {:>9} {:>9}", "between", "sessions/s", "INVITEs", "p50 us", "p99 us");
    let mut ticks = Vec::new();
    for between in [Between::Relay, Between::Front, Between::Recorded] {
        let steps = load::climb(between, rates, seconds, out)?;
        for step in &steps {
            let named = format!("{between:?}").to_lowercase();
            let share = step.invited as f64 / step.offered.max(1) as f64;
            let (p50, p99) = (step.p50.as_micros(), step.p99.as_micros());
            println!("{named:<7} {:>11} {share:>9.3} {p50:>9} {p99:>9}", step.rate);
        }
        ticks.push(steps.iter().map(|step| (step.rate, step.ticks)).collect::<Vec<_>>());
        best.push(steps.iter().filter(|step| step.holds()).map(|step| step.rate).max().unwrap_or(0));
    }
    // Both fronts at the rates that both were put to.
    let both = ticks[1].iter().zip(&ticks[2]).filter(|(plain, recorded)| plain.0 == recorded.0);
    let (plain, recorded) = both.fold((0, 0), |sum, (plain, recorded)| (sum.0 + plain.1, sum.1 + recorded.1));
    let (relay, front) = (f64::from(best[0]), f64::from(best[1]));
    println!(
        "\none front on one core: {:.1} times the fleet's {} a second, {:.2} of the bare relay",
        front / f64::from(load::FLEET),
        load::FLEET,
        front / relay.max(1.0)
    );
    println!("recording: {:.3} times the processor time", recorded as f64 / plain.max(1) as f64);
    Ok(Outcome::Kept)
}

fn run(day_file: &Path, out: &Path, alone: bool) -> anyhow::Result<Outcome> {
    let day = read(day_file)?;
    let policies = if alone { vec![Deciding::Module] } else { Deciding::ALL.map(|(_, own)| own).to_vec() };
    let worlds: Vec<World> = policies
        .iter()
        .enumerate()
        .map(|(nth, deciding)| World {
            day: day.clone(),
            day_file: day_file.to_owned(),
            out: if *deciding == Deciding::Module { out.to_owned() } else { out.join(deciding.name()) },
            street: Street::new(nth as u8),
            deciding: *deciding,
        })
        .collect();
    let bar = ProgressBar::new(day.duration.micros() / 1_000);
    bar.set_style(ProgressStyle::with_template("{bar:40} {pos}/{len} ms of the day")?);
    thread::scope(|scope| {
        let playing: Vec<_> = worlds
            .iter()
            .enumerate()
            .map(|(nth, world)| {
                let bar = bar.clone();
                scope.spawn(move || {
                    world.play(|ms| {
                        if nth == 0 {
                            bar.set_position(ms)
                        }
                    })
                })
            })
            .collect();
        for world in playing {
            world.join().map_err(|_| anyhow::anyhow!("a world panicked"))??;
        }
        Ok::<(), anyhow::Error>(())
    })?;
    bar.finish_and_clear();
    let mut verdicts = Vec::new();
    for world in &worlds {
        let sights = capture::read(&capture_file(&world.out))?;
        verdicts.push((world.deciding, audit::audit(&day, &sights)));
    }
    tell(&verdicts[0].1);
    println!(
        "\n{:<12} {:>7} {:>11} {:>9} {:>8} {:>6}",
        "service", "whole", "worst 10 s", "service", "member", "rules"
    );
    for (deciding, verdict) in &verdicts {
        let Service { whole, worst_window, by_service, by_member, .. } = &verdict.service;
        println!(
            "{:<12} {whole:>7.3} {worst_window:>11.3} {:>9.3} {:>8.3} {:>6}",
            deciding.name(),
            Service::worst(by_service),
            Service::worst(by_member),
            if verdict.is_kept() { "kept" } else { "broken" }
        );
    }
    println!(
        "{:<12} {:>7.3}  (by the servers' true capacity alone)",
        "ceiling", verdicts[0].1.service.ceiling
    );
    Ok(outcome(&verdicts[0].1))
}

fn judge(capture: &Path, day: &Path) -> anyhow::Result<Outcome> {
    let day = read(day)?;
    let verdict = audit::audit(&day, &capture::read(capture)?);
    tell(&verdict);
    let course: Vec<String> = verdict.service.course.iter().map(|share| format!("{share:.2}")).collect();
    println!("\nby five seconds: {}", course.join(" "));
    println!("service {:.3}, worst 10 s {:.3}", verdict.service.whole, verdict.service.worst_window);
    Ok(outcome(&verdict))
}

/// What became of drains and weights by file.
fn tell_churn(verdict: &Verdict) {
    let mut late: Vec<f64> = verdict
        .drained
        .iter()
        .filter(|span| **span > Span::ZERO)
        .map(|span| span.ratio(Span::from_millis(1)))
        .collect();
    late.sort_by(f64::total_cmp);
    let quantile =
        |share: f64| late.get(((late.len() as f64 - 1.0) * share) as usize).copied().unwrap_or(0.0);
    println!(
        "{} drains by file, an INVITE after {} of them: median {:.1} ms, nine in ten {:.1} ms, longest {:.1} ms",
        verdict.drained.len(),
        late.len(),
        quantile(0.5),
        quantile(0.9),
        quantile(1.0)
    );
    println!(
        "{} drawn INVITEs; widest gap to a weight {:.2} points, likelihood {:.3} (chi-squared)",
        verdict.drawn.seen.iter().sum::<f64>(),
        verdict.drawn.widest(),
        verdict.drawn.likelihood()
    );
}

fn outcome(verdict: &Verdict) -> Outcome {
    if verdict.is_kept() { Outcome::Kept } else { Outcome::Broken }
}

/// So many broken cases are told one by one.
const MOST_TOLD: usize = 20;

fn tell(verdict: &Verdict) {
    let Service { offered, stood, cut, .. } = &verdict.service;
    println!("{offered} callers, {stood} stood, {cut} of them cut; on simulated servers\n");
    for (nth, (rule, tested)) in RULES.iter().zip(&verdict.tested).enumerate() {
        let broken = verdict.breaches.iter().filter(|breach| breach.rule == nth + 1).count();
        let nearest = tested.nearest.map_or("-".to_owned(), |share| format!("{:.0} in 100", share * 100.0));
        let state = if broken == 0 { "kept".to_owned() } else { format!("broken {broken} times") };
        println!("rule {}: {rule}: {state}; {} cases, nearest {nearest}", nth + 1, tested.cases);
    }
    if !verdict.drained.is_empty() {
        tell_churn(verdict);
    }
    for breach in verdict.breaches.iter().take(MOST_TOLD) {
        println!("{breach}");
    }
    if verdict.breaches.len() > MOST_TOLD {
        println!("and {} more", verdict.breaches.len() - MOST_TOLD);
    }
}
