//! The sessions that waited longest, step by step.

use ochrelead_core::time::{Moment, Span};
use ochrelead_event_log::reader::Record;
use ochrelead_event_log::schema::event::What;

/// How many are told.
const MOST: usize = 5;
/// The most steps of one; a try that has more is told up to there.
const STEPS: usize = 60;

/// One try.
#[derive(Clone, Debug, PartialEq)]
pub struct Story {
    pub tried: String,
    pub waited: Span,
    pub steps: Vec<(Moment, String)>,
}

/// The longest, found in one reading and told in the next.
#[derive(Clone, Debug, Default)]
pub struct Stories {
    longest: Vec<Story>,
}

impl Stories {
    /// First reading: is it one of the longest?
    pub fn weigh(&mut self, record: &Record) {
        let (tried, waited) = match &record.event.what {
            Some(What::Stands(own)) => (&own.tried, own.since_taken_us),
            Some(What::HungUp(own)) => (&own.tried, own.waited_us),
            _ => return,
        };
        let waited = Span::from_micros(waited);
        let full = self.longest.len() == MOST;
        if full && self.longest.last().is_some_and(|last| last.waited >= waited) {
            return;
        }
        if self.longest.iter().any(|own| own.tried == *tried) {
            return;
        }
        let place = self.longest.partition_point(|own| own.waited >= waited);
        self.longest.insert(place, Story { tried: tried.clone(), waited, steps: Vec::new() });
        self.longest.truncate(MOST);
    }

    pub fn are_any(&self) -> bool {
        !self.longest.is_empty()
    }

    /// Second reading.
    pub fn take(&mut self, at: Moment, record: &Record) {
        let Some(what) = &record.event.what else { return };
        for own in &mut self.longest {
            if let Some(text) = step(what, &own.tried).filter(|_| own.steps.len() < STEPS) {
                own.steps.push((at, format!("{}: {text}", record.incarnation.front)));
            }
        }
    }

    pub fn told(self) -> Vec<Story> {
        self.longest
    }
}

/// An enum's name in words.
pub fn words(name: &str) -> String {
    name.to_lowercase().replace('_', " ")
}

/// A step of one try in plain words; none where the event is not its.
fn step(what: &What, tried: &str) -> Option<String> {
    let (own, text) = match what {
        What::Taken(own) => (&own.tried, format!("taken, to {}", own.called)),
        What::Invite(own) => {
            let how = words(own.choice().as_str_name());
            (
                &own.tried,
                format!(
                    "INVITE {} to {} ({how}, {})",
                    own.nth,
                    own.server,
                    words(own.payment().as_str_name())
                ),
            )
        }
        What::Ended(own) => (
            &own.tried,
            format!(
                "{} answered {} after {:.2} s",
                own.server,
                words(own.ending().as_str_name()),
                own.took_us as f64 / 1e6
            ),
        ),
        What::Stands(own) => (&own.tried, format!("stands at {}", own.server)),
        What::GivenUp(own) => (&own.tried, format!("given up: {}", words(own.denial().as_str_name()))),
        What::HungUp(own) => (&own.tried, format!("caller hung up, waiting for {}", own.server)),
        What::Cut(own) => (&own.tried, format!("cut by {}", own.server)),
        What::Released(own) => (&own.tried, format!("released at {}", own.server)),
        _ => return None,
    };
    (own == tried).then_some(text)
}
