//! From files to one candidate, or to all that is wrong with them.

use std::collections::BTreeMap;

use ochrelead_config::diagnostic::Diagnostic;
use ochrelead_config::document::Document;
use ochrelead_config::schema;
use ochrelead_config::server_endpoint::{self, ServerEndpoint};

/// What was found under one name: the text, or why there is none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    pub name: String,
    pub text: Result<String, String>,
}

/// A fleet as its files have it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fleet {
    /// The generation of each file, and the one that it says it returns from.
    pub files: BTreeMap<String, (u64, Option<u64>)>,
    /// Servers whose leaving is meant.
    pub confirmed: Vec<String>,
    pub servers: Vec<ServerEndpoint>,
}

impl Fleet {
    /// The newest generation of its files.
    pub fn generation(&self) -> u64 {
        self.files.values().map(|(generation, _)| *generation).max().unwrap_or(0)
    }
}

/// The most servers of a fleet.
const MOST_SERVERS: usize = 10_000;

/// Joins all pages into one candidate. `services`: the names of the services that must each have a server.
///
/// # Errors
///
/// All that is wrong, each with file, line and column.
pub fn join(pages: &[Page], services: &[String]) -> Result<Fleet, Vec<Diagnostic>> {
    let mut fleet = Fleet::default();
    let mut complaints = Vec::new();
    // Where each server was said first, by name, number and address.
    let mut said: Vec<(ServerEndpoint, String)> = Vec::new();
    for page in pages {
        match read(page) {
            Ok((own, mut sheet)) => {
                fleet.files.insert(page.name.clone(), (own.generation.unwrap_or(0), own.returns_from));
                fleet.confirmed.extend(own.confirm.iter().map(|name| name.to_ascii_lowercase()));
                let posts = server_endpoint::check_servers(&own.server, "", &mut sheet);
                for (nth, post) in posts.into_iter().enumerate() {
                    take(&mut said, post, nth, services, &mut sheet);
                }
                complaints.append(&mut sheet.diagnostics);
            }
            Err(mut wrong) => complaints.append(&mut wrong),
        }
    }
    fleet.servers = said.into_iter().map(|(post, _)| post).collect();
    fleet.confirmed.sort();
    if complaints.is_empty() {
        complaints.extend(whole(&fleet, pages, services));
    }
    if complaints.is_empty() { Ok(fleet) } else { Err(complaints) }
}

fn read(page: &Page) -> Result<(schema::Fleet, Document), Vec<Diagnostic>> {
    let complaint =
        |what: &str| Diagnostic { file: page.name.clone(), line: 1, column: 1, message: what.to_owned() };
    let text = page.text.as_ref().map_err(|error| vec![complaint(&format!("cannot be read: {error}"))])?;
    if text.trim().is_empty() {
        return Err(vec![complaint("empty: a fleet has a generation, servers and an end")]);
    }
    let (own, mut sheet) = Document::parse::<schema::Fleet>(&page.name, text, "Fleet")?;
    let generation = sheet.required("generation", own.generation);
    if generation == 0 && own.generation.is_some() {
        sheet.report("generation", "generation is 0; it must be 1 or more");
    }
    // A text that was cut short anywhere lacks its end, or has digits of it only.
    match own.end {
        None => sheet.report("end", format!("cut short: no `end: {generation}` as the last field")),
        Some(end) if end != generation => {
            sheet.report(
                "end",
                format!("cut short or not finished: end is {end}, generation is {generation}"),
            );
        }
        Some(_) if !sheet.is_last_field("end") => sheet.report("end", "end is not the last field"),
        Some(_) => {}
    }
    if own.server.iter().any(|server| server.told.is_some()) {
        sheet.report("server", "told is for what a front keeps, not for a fleet file");
    }
    if sheet.diagnostics.is_empty() { Ok((own, sheet)) } else { Err(sheet.diagnostics) }
}

/// One server of a file, beside all that were said before. The same said twice is said once; the same with
/// other figures, or another on its number or address, is an error that names both places.
fn take(
    said: &mut Vec<(ServerEndpoint, String)>,
    post: ServerEndpoint,
    nth: usize,
    services: &[String],
    sheet: &mut Document,
) {
    let at = format!("server[{nth}]");
    for name in &post.services {
        if !services.contains(name) {
            sheet.report(&format!("{at}.service"), format!("no service is named {name:?}"));
        }
    }
    let here = sheet.location(&at);
    for (before, place) in said.iter() {
        if before.name == post.name {
            if *before != post {
                sheet.report(&at, format!("{} is said with other figures at {place}", post.name));
            }
            return;
        }
        if before.number == post.number {
            sheet.report(&at, format!("number {} is {}'s too, at {place}", post.number, before.name));
        }
        if before.address == post.address {
            sheet.report(&at, format!("address {} is {}'s too, at {place}", post.address, before.name));
        }
    }
    said.push((post, here));
}

/// What can only be seen of all files together.
fn whole(fleet: &Fleet, pages: &[Page], services: &[String]) -> Vec<Diagnostic> {
    let file = pages.first().map_or_else(String::new, |page| page.name.clone());
    let mut complaints = Vec::new();
    let mut complain = |what: String| {
        complaints.push(Diagnostic { file: file.clone(), line: 1, column: 1, message: what });
    };
    if fleet.servers.is_empty() {
        complain("no server: a fleet has at least one".to_owned());
    }
    if fleet.servers.len() > MOST_SERVERS {
        complain(format!("{} servers; there must be {MOST_SERVERS} at most", fleet.servers.len()));
    }
    for service in services {
        let serves = |post: &ServerEndpoint| {
            !post.draining && (post.services.is_empty() || post.services.contains(service))
        };
        if !fleet.servers.is_empty() && !fleet.servers.iter().any(serves) {
            complain(format!("service {service:?} is left without a server"));
        }
    }
    complaints
}

/// What is odd about a fleet but no reason to refuse it.
pub fn warnings(fleet: &Fleet) -> Vec<String> {
    let mut warnings = Vec::new();
    let ready: Vec<&ServerEndpoint> = fleet.servers.iter().filter(|post| !post.draining).collect();
    if ready.len() == 1 {
        warnings.push(format!("{} is the only server that is ready", ready[0].name));
    }
    let all: f64 = ready.iter().map(|post| post.weight).sum();
    for post in &ready {
        if post.weight * 100.0 < all {
            warnings.push(format!("{} has less than a hundredth of all weight", post.name));
        }
        if post.dialled.is_empty() {
            warnings.push(format!("{} has no dialled digits: it is nobody's first choice", post.name));
        }
    }
    for name in &fleet.confirmed {
        if fleet.servers.iter().any(|post| post.name == *name && !post.draining) {
            warnings.push(format!("{name} is confirmed as leaving, and it is ready"));
        }
    }
    warnings
}
