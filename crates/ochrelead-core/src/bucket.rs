//! The re-send budget of a server: every re-send pays, a first set-up deposits, and what is not used decays.

use crate::call::Payment;
use crate::time::{Moment, Span};

/// One token in whole small units, so that ten deposits make exactly one token.
const TOKEN: u64 = 1_000_000_000;
const DEPOSIT: u64 = TOKEN / 10;
const TOKEN_LIFE: Span = Span::from_secs(10);
/// A re-send is also allowed where none went to the server for this long.
const FLOOR_GAP: Span = Span::from_secs(1);

/// The re-send budget of one server.
#[derive(Clone, Debug, Default)]
pub struct Bucket {
    units: u64,
    at: Moment,
    last_resend: Option<Moment>,
    by_floor: bool,
}

impl Bucket {
    fn decay(&mut self, now: Moment) {
        let (elapsed, life) = (u128::from(now.since(self.at).micros()), u128::from(TOKEN_LIFE.micros()));
        let lost = u128::from(self.units) * elapsed / life;
        self.units = self.units.saturating_sub(u64::try_from(lost).unwrap_or(u64::MAX));
        self.at = now;
    }

    /// A session is first sent to the server.
    pub fn deposit(&mut self, now: Moment) {
        self.decay(now);
        self.units += DEPOSIT;
    }

    /// Takes one token for a re-send, or lets it pass by the floor.
    pub fn withdraw(&mut self, now: Moment) -> bool {
        self.decay(now);
        let floor = self.last_resend.is_none_or(|last| now.since(last) >= FLOOR_GAP);
        if self.units < TOKEN && !floor {
            return false;
        }
        self.by_floor = self.units < TOKEN;
        self.units -= if self.by_floor { 0 } else { TOKEN };
        self.last_resend = Some(now);
        true
    }

    /// What the last re-send that passed was paid by.
    pub fn last_payment(&self) -> Payment {
        if self.by_floor { Payment::Floor } else { Payment::Token }
    }

    /// A paid re-send goes elsewhere after all.
    pub fn refund(&mut self, now: Moment) {
        self.decay(now);
        self.units += TOKEN;
    }
}
