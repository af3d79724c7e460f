//! The fewest faults that still break the same thing.

use crate::schedule::{Sheet, read};

/// Tries `breaks` on ever smaller days and keeps what still breaks; `most` tries at the most.
pub fn shrink(sheet: &Sheet, most: usize, mut breaks: impl FnMut(&Sheet) -> bool) -> (Sheet, usize) {
    let (mut least, mut tries) = (sheet.clone(), 0);
    let mut attempt = |candidate: Sheet, least: &mut Sheet, tries: &mut usize| {
        if *tries >= most || candidate == *least || read(&candidate).is_err() {
            return false;
        }
        *tries += 1;
        let smaller = breaks(&candidate);
        if smaller {
            *least = candidate;
        }
        smaller
    };
    loop {
        let before = least.clone();
        // Faults: by halves, then one by one.
        let mut size = least.trouble.len().div_ceil(2);
        while size > 0 {
            let mut from = 0;
            while from < least.trouble.len() {
                let mut candidate = least.clone();
                candidate.trouble.drain(from..(from + size).min(least.trouble.len()));
                if !attempt(candidate, &mut least, &mut tries) {
                    from += size;
                }
            }
            size = if size == 1 { 0 } else { size.div_ceil(2) };
        }
        for calm in calmer(&least) {
            attempt(calm, &mut least, &mut tries);
        }
        if least == before || tries >= most {
            return (least, tries);
        }
    }
}

/// The same day with one thing less to explain it.
fn calmer(sheet: &Sheet) -> Vec<Sheet> {
    let mut all = Vec::new();
    let network = sheet.network.unwrap_or_default();
    let mut with = |change: &dyn Fn(&mut Sheet)| {
        let mut candidate = sheet.clone();
        change(&mut candidate);
        all.push(candidate);
    };
    with(&|own| own.network.get_or_insert(network).loss = Some(0.0));
    with(&|own| own.network.get_or_insert(network).doubled = Some(0.0));
    with(&|own| own.network.get_or_insert(network).reordered = Some(0.0));
    with(&|own| own.network.get_or_insert(network).jitter = Some(0.0));
    with(&|own| own.length_ms = Some((own.length_ms() / 2).max(500)));
    with(&|own| {
        own.fronts = Some((own.fronts() - 1).max(1));
        let fronts = own.fronts();
        own.trouble.retain(|trouble| trouble.which.iter().all(|nth| *nth < fronts));
    });
    with(&|own| {
        if own.stand_in.len() > 1 {
            own.stand_in.pop();
        }
    });
    with(&|own| {
        if let Some(callers) = &mut own.callers {
            callers.redials = Some(0);
        }
    });
    with(&|own| {
        if let Some(callers) = &mut own.callers {
            callers.sessions_per_s = Some((callers.sessions_per_s() / 2.0).max(1.0));
        }
    });
    all
}
