//! What is read, refused, held, adopted and kept.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use ochrelead_config::server_endpoint::ServerEndpoint;
use ochrelead_core::time::Moment;
use ochrelead_core::types::EndpointState;
use ochrelead_discovery::adopt::{self, Change, Refusal, Verdict};
use ochrelead_discovery::keeper::{Keeper, Outcome};
use ochrelead_discovery::roster::{Restart, Roster, Said};
use ochrelead_discovery::sheet::{self, Fleet, Page};
use ochrelead_discovery::store::{self, Disk, Folder, Kept};
use ochrelead_discovery::watch;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

const FLEET: &str = r#"# Norte
generation: 12
server { name: "s0" address: "127.0.0.1:10" number: 0 dialled: "00" lines: 100 weight: 2.5 }
server { name: "s1" address: "127.0.0.1:11" number: 1 dialled: "01" lines: 100 service: "check" }
server { name: "s2" address: "127.0.0.1:12" number: 2 dialled: "02" lines: 100 draining: true }
end: 12
"#;

fn services() -> Vec<String> {
    vec!["check".to_owned(), "set".to_owned()]
}

fn page(name: &str, text: &str) -> Page {
    Page { name: name.to_owned(), text: Ok(text.to_owned()) }
}

fn joined(pages: &[Page]) -> Result<Fleet, String> {
    let told = |complaints: Vec<_>| complaints.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n");
    sheet::join(pages, &services()).map_err(told)
}

fn at(ms: u64) -> Moment {
    Moment::from_micros(1_000_000_000 + ms * 1_000)
}

#[test]
fn a_file_cut_short_at_any_byte_is_refused_or_is_the_whole() {
    let whole = joined(&[page("a", FLEET)]).unwrap();
    let mut refused = 0;
    for end in 0..FLEET.len() {
        match joined(&[page("a", &FLEET[..end])]) {
            Ok(fleet) => assert_eq!(fleet, whole, "cut at {end}"),
            Err(_) => refused += 1,
        }
    }
    assert_eq!(refused, FLEET.len() - 1, "all but the one without the last line break");
}

#[test_case("weight: 2.5", "weight: 0", "a:3:", "weight is 0"; "weight zero")]
#[test_case("weight: 2.5", "weight: -1", "a:3:", "weight is -1"; "weight below zero")]
#[test_case("weight: 2.5", "weight: 1e308", "a:3:", "weight is"; "absurd weight")]
#[test_case("weight: 2.5", "weight: nan", "a:3:", "weight is NaN"; "no weight")]
#[test_case("lines: 100 weight", "line: 100 weight", "a:3:", "line"; "unknown field")]
#[test_case("number: 1", "number: 0", "a:4:", "number 0 is s0's too"; "same number")]
#[test_case("127.0.0.1:11", "127.0.0.1:10", "a:4:", "is s0's too"; "same address")]
#[test_case("\"check\"", "\"checks\"", "a:4:", "no service is named"; "unknown service")]
#[test_case("end: 12\n", "end: 11\n", "a:6:1", "end is 11, generation is 12"; "not finished")]
#[test_case("end: 12\n", "end: 12\nconfirm: \"s0\"\n", "a:6:1", "end is not the last field"; "something behind the end")]
#[test_case("generation: 12", "generation: 0", "a:2:1", "must be 1 or more"; "no generation")]
#[test_case("weight: 2.5", "draining: true", "a:1:1", "\"set\" is left without a server"; "service without a server")]
#[test_case("weight: 2.5", "told: \"gone\"", "a:3:", "for what a front keeps"; "what only a front says")]
fn refused(right: &str, wrong: &str, place: &str, what: &str) {
    let why = joined(&[page("a", &FLEET.replacen(right, wrong, 1))]).unwrap_err();
    assert!(why.starts_with(place) && why.contains(what), "{why}");
}

const MORE: &str =
    r#"generation: 3 server { name: "s3" address: "127.0.0.1:13" number: 3 dialled: "03" } end: 3"#;

#[test_case(MORE, None; "two files are one fleet")]
#[test_case("generation: 3 server { name: \"s0\" address: \"127.0.0.1:10\" number: 0 dialled: \"00\" lines: 100 weight: 2.5 } end: 3", None; "the same said twice")]
#[test_case("generation: 3 server { name: \"s0\" address: \"127.0.0.1:10\" number: 0 dialled: \"00\" lines: 100 weight: 2 } end: 3", Some("b:1:15: s0 is said with other figures at a:3:1"); "with other figures")]
#[test_case("generation: 3 server { name: \"s9\" address: \"127.0.0.1:11\" number: 9 } end: 3", Some("s1's too, at a:4:1"); "on one address")]
#[test_case("", Some("b:1:1: empty"); "one is empty")]
fn several_files(other: &str, wrong: Option<&str>) {
    let read = joined(&[page("a", FLEET), page("b", other)]);
    match wrong {
        None => assert_eq!(read.unwrap().files.len(), 2),
        Some(what) => assert!(read.as_ref().is_err_and(|why| why.contains(what)), "{read:?}"),
    }
}

fn post(name: &str, port: u16) -> ServerEndpoint {
    ServerEndpoint {
        name: name.to_owned(),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], port)),
        number: i64::from(port),
        dialled: String::new(),
        trunk: "trunk".to_owned(),
        lines: 0,
        services: Vec::new(),
        started: None,
        draining: false,
        weight: 1.0,
    }
}

fn fleet(generation: u64, servers: &[ServerEndpoint]) -> Fleet {
    let files = BTreeMap::from([("a".to_owned(), (generation, None))]);
    Fleet { files, confirmed: Vec::new(), servers: servers.to_vec() }
}

fn four() -> Vec<ServerEndpoint> {
    (1..=4).map(|port| post(&format!("s{port}"), port)).collect()
}

fn names(verdict: &Verdict) -> Vec<&'static str> {
    match verdict {
        Verdict::Same => vec!["same"],
        Verdict::Held { .. } => vec!["held"],
        Verdict::Refused(refusal) => vec![refusal.name()],
        Verdict::Adopted(changes) => changes.iter().map(|(_, change)| change.name()).collect(),
    }
}

#[test_case(12, |_| (), &["same"]; "nothing new")]
#[test_case(13, |_| (), &[]; "a new generation of the same")]
#[test_case(13, |s| s[0].draining = true, &["drained"]; "drained")]
#[test_case(13, |s| { s.pop(); }, &["removed"]; "removed")]
#[test_case(13, |s| s[0].weight = 2.0, &["reweighed"]; "reweighed")]
#[test_case(13, |s| { s.push(post("s9", 9)); s[1].draining = true; s.remove(0); }, &["drained", "removed", "added"]; "what leaves comes first")]
#[test_case(13, |s| { let a = s[0].address; s[0].address = s[1].address; s[1].address = a; }, &["moved", "moved"]; "two swap addresses")]
#[test_case(13, |s| s[2].started = Some(at(5)), &["restarted"]; "started anew")]
#[test_case(13, |s| s.truncate(1), &["held"]; "three of four leave")]
#[test_case(13, |s| s.truncate(2), &["removed", "removed"]; "half leave")]
#[test_case(13, |s| s.iter_mut().take(3).for_each(|p| p.draining = true), &["held"]; "three of four drain")]
#[test_case(12, |s| s[0].weight = 2.0, &["same_generation"]; "changed under the same generation")]
#[test_case(11, |s| s[0].weight = 2.0, &["older"]; "a generation that goes down by mistake")]
fn adoption(generation: u64, change: fn(&mut Vec<ServerEndpoint>), expected: &[&str]) {
    let mut servers = four();
    change(&mut servers);
    let verdict = adopt::judge(&fleet(12, &four()), &fleet(generation, &servers));
    assert_eq!(names(&verdict), expected, "{verdict:?}");
}

#[test_case(&["s2", "s3", "s4"], "adopted"; "all confirmed")]
#[test_case(&["s2", "s3"], "held"; "one not confirmed")]
fn confirmed(names: &[&str], expected: &str) {
    let mut candidate = fleet(13, &four()[..1]);
    candidate.confirmed = names.iter().map(|name| (*name).to_owned()).collect();
    let verdict = adopt::judge(&fleet(12, &four()), &candidate);
    assert_eq!(if matches!(verdict, Verdict::Adopted(_)) { "adopted" } else { "held" }, expected);
}

#[test_case(Some(12), true; "from the one in force")]
#[test_case(Some(11), false; "from another")]
#[test_case(None, false; "not marked")]
fn a_return_to_an_older_generation(returns_from: Option<u64>, adopted: bool) {
    let mut candidate = fleet(7, &four()[..3]);
    candidate.files.insert("a".to_owned(), (7, returns_from));
    let verdict = adopt::judge(&fleet(12, &four()), &candidate);
    assert_eq!(matches!(verdict, Verdict::Adopted(_)), adopted, "{verdict:?}");
}

#[test]
fn a_file_that_is_gone_takes_nothing_with_it() {
    let mut in_force = fleet(12, &four());
    in_force.files.insert("b".to_owned(), (1, None));
    let verdict = adopt::judge(&in_force, &fleet(13, &four()[..3]));
    assert_eq!(verdict, Verdict::Refused(Refusal::FileGone { file: "b".to_owned() }));
}

#[test]
fn lines_weigh_what_leaves() {
    let mut servers = four();
    servers.iter_mut().for_each(|post| post.lines = 10);
    servers[0].lines = 100;
    let verdict = adopt::judge(&fleet(12, &servers), &fleet(13, &servers[1..]));
    assert!(matches!(verdict, Verdict::Held { share, .. } if share > 0.7), "{verdict:?}");
}

fn ready(started: Option<u64>) -> EndpointState {
    EndpointState::Ready { started: started.map(at) }
}

#[test_case(&[Restart::Drains], &[EndpointState::Draining]; "drains")]
#[test_case(&[Restart::Gone, Restart::Drains], &[EndpointState::Gone]; "a drain told late does not bring it back")]
#[test_case(&[Restart::Drains, Restart::Back], &[EndpointState::Draining, ready(None)]; "back from a drain")]
#[test_case(&[Restart::Gone, Restart::Back], &[EndpointState::Gone]; "gone is not back without a start")]
#[test_case(&[Restart::Gone, Restart::Started], &[EndpointState::Gone, ready(Some(7))]; "started anew")]
#[test_case(&[Restart::Disconnected], &[]; "disconnected changes nothing")]
fn a_servers_own_word(told: &[Restart], states: &[EndpointState]) {
    let mut roster = Roster::default();
    roster.relist(&[post("s0", 1)], at(0));
    let server = roster.named("S0").unwrap();
    let news: Vec<EndpointState> = told
        .iter()
        .filter_map(|restart| roster.told(server, *restart, at(7)))
        .map(|news| news.listing.state)
        .collect();
    assert_eq!(news, states);
}

/// A list, what the server then says, and the list that comes after it.
#[test_case(|_| (), None, |_| (), ready(None); "nothing new")]
#[test_case(|_| (), None, |p| p.draining = true, EndpointState::Draining; "the list drains it")]
#[test_case(|p| p.draining = true, Some(Restart::Started), |p| p.draining = true, EndpointState::Draining; "a start does not undo the list's drain")]
#[test_case(|_| (), Some(Restart::Drains), |_| (), EndpointState::Draining; "the same list does not undo its own drain")]
#[test_case(|_| (), Some(Restart::Gone), |p| p.weight = 2.0, EndpointState::Gone; "nor does a new weight")]
#[test_case(|p| p.draining = true, Some(Restart::Drains), |_| (), ready(None); "taken back by the operator")]
#[test_case(|_| (), Some(Restart::Gone), |p| p.address.set_port(99), ready(Some(50)); "moved: another process")]
#[test_case(|_| (), Some(Restart::Started), |p| p.started = Some(at(1)), ready(Some(7)); "an older start is no news")]
#[test_case(|_| (), None, |p| p.started = Some(at(40)), ready(Some(40)); "a later start")]
fn who_wins(
    first: fn(&mut ServerEndpoint),
    said: Option<Restart>,
    then: fn(&mut ServerEndpoint),
    state: EndpointState,
) {
    let mut roster = Roster::default();
    let listed = |change: fn(&mut ServerEndpoint)| {
        let mut post = post("s0", 1);
        change(&mut post);
        post
    };
    roster.relist(&[listed(first)], at(0));
    let server = roster.named("s0").unwrap();
    if let Some(said) = said {
        roster.told(server, said, at(7));
    }
    assert_eq!(roster.relist(&[listed(then)], at(50))[0].state, state);
    assert_eq!(roster.status().len(), 1);
}

#[test]
fn a_new_server_of_a_running_fleet_is_taken_for_a_fresh_one() {
    let mut roster = Roster::default();
    roster.relist(&[post("s0", 1), post("s1", 2)], at(0));
    let listings = roster.relist(&[post("s1", 9), post("s2", 2)], at(50));
    let states: Vec<EndpointState> = listings.iter().map(|listing| listing.state).collect();
    assert_eq!(states, [EndpointState::Gone, ready(Some(50)), ready(Some(50))]);
    assert_eq!(roster.at(post("", 9).address), roster.named("s1"), "moved, with its index");
    assert_eq!(roster.at(post("", 2).address), roster.named("s2"), "taken over");
    assert_eq!(roster.at(post("", 1).address), roster.named("s0"), "its late answers are still known");
    assert_eq!(roster.posts().len(), 2);
}

#[test]
fn servers_that_swap_addresses_are_processes_that_were_running() {
    let mut roster = Roster::default();
    roster.relist(&[post("s0", 1), ServerEndpoint { started: Some(at(3)), ..post("s1", 2) }], at(9));
    let moved = |name, port| ServerEndpoint { number: 1, ..post(name, port) };
    let listings = roster.relist(&[moved("s0", 2), moved("s1", 1)], at(50));
    assert_eq!([listings[0].state, listings[1].state], [ready(Some(3)), ready(None)]);
}

#[test]
fn a_drain_undone_and_done_again_within_a_tenth_of_a_second() {
    let mut roster = Roster::default();
    let course = [(0, false), (10, true), (50, false), (90, true)];
    let states = course.map(|(ms, draining)| {
        roster.relist(&[ServerEndpoint { draining, ..post("s0", 1) }], at(ms))[0].state
    });
    assert_eq!(states, [ready(None), EndpointState::Draining, ready(None), EndpointState::Draining]);
}

#[test]
fn what_was_kept_counts_for_the_same_process_only() {
    let mut roster = Roster::default();
    roster.relist(&[post("s0", 1), post("s1", 2)], at(0));
    let kept = |name, port| ServerEndpoint { started: Some(at(3)), ..post(name, port) };
    let listings = roster.remember(&[(kept("s0", 1), Said::Drains), (kept("s1", 77), Said::Gone)]);
    assert_eq!([listings[0].state, listings[1].state], [EndpointState::Draining, ready(None)]);
}

fn text(generation: u64, weight: f64, broken: bool) -> String {
    let server = |nth: u64| {
        format!(
            "server {{ name: \"s{nth}\" address: \"127.0.0.1:{}\" number: {nth} weight: {weight} }}\n",
            10 + nth
        )
    };
    let end = if broken { String::new() } else { format!("end: {generation}\n") };
    format!("generation: {generation}\n{}{}{end}", server(0), server(1))
}

#[test]
fn a_reading_is_adopted_once_and_a_broken_one_told_once_it_stands() {
    let mut keeper = Keeper::new(services(), None);
    let read = |keeper: &mut Keeper, ms, text: &str| keeper.read(at(ms), vec![page("a", text)]);
    assert!(matches!(read(&mut keeper, 0, &text(1, 1.0, false)), Some(Outcome::Adopt { generation: 1, .. })));
    assert_eq!(read(&mut keeper, 10, &text(1, 1.0, false)), None, "nothing new");
    assert_eq!(read(&mut keeper, 20, &text(2, 2.0, true)), None, "half written");
    assert!(matches!(read(&mut keeper, 30, &text(2, 2.0, false)), Some(Outcome::Adopt { .. })), "finished");
    assert_eq!(keeper.wake(), None, "nothing to tell");
    assert_eq!(read(&mut keeper, 40, &text(3, 0.0, false)), None);
    assert_eq!(read(&mut keeper, 100, &text(3, 0.0, false)), None, "not yet");
    let Some(Outcome::Complain(why)) = keeper.told(at(200)) else { panic!() };
    assert!(why.contains("weight is 0"), "{why}");
    assert_eq!(keeper.told(at(400)), None, "told once");
    assert_eq!(keeper.read(at(500), Vec::new()), None, "the folder is gone");
    assert_eq!(keeper.in_force().generation(), 2);
    let tallies = keeper.tallies();
    assert_eq!((tallies.adoptions, tallies.refusals["unsound"]), (2, 3));
    let told = tallies.text(2, keeper.age(at(2_030)));
    assert!(told.contains("ochrelead_fleet_refusals_total{reason=\"unsound\"} 3"), "{told}");
    assert!(told.contains("ochrelead_fleet_age_seconds 2"), "{told}");
}

#[test]
fn a_start_takes_the_newer_of_file_and_store() {
    for (file, generation) in [(11, 12), (12, 12), (13, 13)] {
        let kept = joined(&[page("a", &text(12, 1.0, false))]).unwrap();
        let mut keeper = Keeper::new(services(), Some(kept));
        keeper.read(at(0), vec![page("a", &text(file, if file == 12 { 1.0 } else { 3.0 }, false))]);
        assert_eq!(keeper.in_force().generation(), generation, "file {file}");
    }
}

fn kept(generation: u64) -> Kept {
    let servers = vec![
        (
            ServerEndpoint {
                started: Some(at(3)),
                lines: 7,
                services: vec!["check".to_owned()],
                ..post("s0", 1)
            },
            Said::Drains,
        ),
        (post("s1", 2), Said::Nothing),
    ];
    Kept { files: vec![("a".to_owned(), generation)], servers }
}

#[test]
fn what_is_kept_is_read_again_and_any_flipped_byte_is_found() {
    let text = kept(5).text();
    assert_eq!(Kept::read("kept", &text), Ok(kept(5)));
    for nth in 0..text.len() {
        let mut bytes = text.clone().into_bytes();
        bytes[nth] ^= 1;
        let read = Kept::read("kept", &String::from_utf8_lossy(&bytes));
        assert!(read.is_err(), "byte {nth}");
    }
    let newer = text.replacen("kept 1", "kept 2", 1);
    assert!(Kept::read("kept", &newer).unwrap_err().contains("no file of this kind and version"));
}

/// A disk whose process is killed at the nth step; a write that is cut leaves a torn file.
struct Killed {
    files: BTreeMap<String, String>,
    left: u32,
    chance: Pcg64Mcg,
}

impl Killed {
    fn step(&mut self) -> io::Result<()> {
        self.left = self.left.checked_sub(1).ok_or_else(|| io::Error::other("killed"))?;
        Ok(())
    }
}

impl Disk for Killed {
    fn read(&self, name: &str) -> io::Result<Option<String>> {
        Ok(self.files.get(name).cloned())
    }

    fn write(&mut self, name: &str, text: &str) -> io::Result<()> {
        let torn = self.chance.random_range(0..text.len());
        self.files.insert(name.to_owned(), text[..torn].to_owned());
        self.step()?;
        self.files.insert(name.to_owned(), text.to_owned());
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.step()?;
        let text = self.files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        self.files.insert(to.to_owned(), text);
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        self.step()
    }
}

#[test]
fn killed_at_any_step_two_hundred_times_something_whole_is_left() {
    let mut disk = Killed { files: BTreeMap::new(), left: u32::MAX, chance: Pcg64Mcg::seed_from_u64(4) };
    store::save(&mut disk, &kept(1)).unwrap();
    let mut saved = 1;
    for nth in 0..200 {
        disk.left = disk.chance.random_range(0..5);
        let generation = nth + 2;
        let done = store::save(&mut disk, &kept(generation)).is_ok();
        let (read, _) = store::load(&disk).unwrap();
        let read = read.expect("something whole").files[0].1;
        assert!(read == saved || read == generation, "{read} after {saved}");
        assert!(!done || read == generation, "what was saved is there");
        saved = read;
    }
}

#[test]
fn a_torn_present_file_is_passed_over_with_a_line_and_does_not_displace_the_former() {
    let mut disk = Killed { files: BTreeMap::new(), left: u32::MAX, chance: Pcg64Mcg::seed_from_u64(4) };
    store::save(&mut disk, &kept(1)).unwrap();
    store::save(&mut disk, &kept(2)).unwrap();
    disk.files.insert("kept".to_owned(), "foreign".to_owned());
    let (read, lines) = store::load(&disk).unwrap();
    assert_eq!((read, lines.len()), (Some(kept(1)), 1));
    disk.left = 1;
    assert!(store::save(&mut disk, &kept(3)).is_err());
    assert_eq!(store::load(&disk).unwrap().0, Some(kept(1)));
}

fn folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).unwrap();
    folder
}

/// Waits for the reading that a keeper adopts as this generation.
fn adopted(keeper: &mut Keeper, readings: &async_channel::Receiver<Vec<Page>>, generation: u64) -> bool {
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(10) {
        if keeper.in_force().generation() == generation {
            return true;
        }
        match readings.try_recv() {
            Ok(pages) => drop(keeper.read(Moment::from_micros(begun.elapsed().as_micros() as u64), pages)),
            Err(_) => std::thread::sleep(Duration::from_millis(1)),
        }
    }
    false
}

#[test]
fn all_ways_of_writing_reach_the_keeper() {
    let folder = folder("watched");
    let place = folder.join("current");
    fs::create_dir(&place).unwrap();
    let file = place.join("a.textproto");
    fs::write(&file, text(1, 1.0, false)).unwrap();
    let readings = watch::start(place.clone()).unwrap();
    let mut keeper = Keeper::new(services(), None);
    assert!(adopted(&mut keeper, &readings, 1));
    fs::write(&file, text(2, 1.0, false)).unwrap();
    assert!(adopted(&mut keeper, &readings, 2), "in place");
    fs::write(place.join(".a.next"), text(3, 1.0, false)).unwrap();
    fs::rename(place.join(".a.next"), &file).unwrap();
    assert!(adopted(&mut keeper, &readings, 3), "written beside and renamed");
    fs::remove_file(&file).unwrap();
    std::thread::sleep(Duration::from_millis(20));
    fs::write(&file, text(4, 1.0, false)).unwrap();
    assert!(adopted(&mut keeper, &readings, 4), "deleted and made again");
    fs::write(&file, text(5, 1.0, true)).unwrap();
    std::thread::sleep(Duration::from_millis(20));
    fs::write(&file, text(5, 1.0, false)).unwrap();
    assert!(adopted(&mut keeper, &readings, 5), "half written and finished later");
    fs::remove_dir_all(&place).unwrap();
    std::thread::sleep(Duration::from_millis(150));
    fs::create_dir(&place).unwrap();
    fs::write(&file, text(6, 1.0, false)).unwrap();
    assert!(adopted(&mut keeper, &readings, 6), "the folder deleted and made again");
    let other = folder.join("other");
    fs::create_dir(&other).unwrap();
    fs::write(other.join("a.textproto"), text(7, 1.0, false)).unwrap();
    fs::rename(&place, folder.join("former")).unwrap();
    std::os::unix::fs::symlink(&other, &place).unwrap();
    assert!(adopted(&mut keeper, &readings, 7), "a link in place of the folder");
    for generation in 8..60 {
        fs::write(&file, text(generation, 1.0, generation % 3 == 0)).unwrap();
    }
    assert!(adopted(&mut keeper, &readings, 59), "a burst, one in three broken");
    // The clock steps back between two writes: times of files are not looked at.
    fs::write(&file, text(60, 1.0, false)).unwrap();
    let old = fs::File::options().write(true).open(&file).unwrap();
    old.set_modified(std::time::SystemTime::UNIX_EPOCH + Duration::from_secs(9)).unwrap();
    assert!(adopted(&mut keeper, &readings, 60));
}

#[test]
fn a_folder_of_the_file_system_keeps_and_forgets_nothing() {
    let path = folder("kept");
    let mut disk = Folder::open(&path).unwrap();
    assert_eq!(store::load(&disk).unwrap(), (None, vec![]));
    store::save(&mut disk, &kept(1)).unwrap();
    store::save(&mut disk, &kept(2)).unwrap();
    assert_eq!(store::load(&disk).unwrap().0, Some(kept(2)));
    fs::write(path.join("kept"), "torn").unwrap();
    assert_eq!(store::load(&disk).unwrap().0, Some(kept(1)));
}

#[test]
fn odd_fleets_are_warned_of() {
    let mut odd = fleet(1, &four());
    odd.servers[0].weight = 0.01;
    odd.confirmed = vec!["s2".to_owned()];
    let warnings = sheet::warnings(&odd).join("\n");
    assert!(
        warnings.contains("s1 has less than a hundredth") && warnings.contains("s2 is confirmed as leaving")
    );
    assert!(matches!(adopt::changes(&[], &four())[0].1, Change::Added));
}
