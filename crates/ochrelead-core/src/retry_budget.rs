//! The re-send budget of a server: every re-send pays, a first set-up deposits, and what is not used decays.

use crate::time::{Moment, Span};
use crate::types::BudgetGrant;

/// One token in whole small units, so that ten deposits make exactly one token.
const TOKEN: u64 = 1_000_000_000;
const DEPOSIT: u64 = TOKEN / 10;
const TOKEN_LIFE: Span = Span::from_secs(10);
/// A re-send is also allowed where none went to the server for this long.
const FLOOR_GAP: Span = Span::from_secs(1);

/// The re-send budget of one server.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    units: u64,
    at: Moment,
    last_resend: Option<Moment>,
}

impl RetryBudget {
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

    /// What lets a re-send pass: one token, else the floor; none where it may not pass.
    pub fn withdraw(&mut self, now: Moment) -> Option<BudgetGrant> {
        self.decay(now);
        let grant = if self.units >= TOKEN {
            self.units -= TOKEN;
            BudgetGrant::Token
        } else if self.last_resend.is_none_or(|last| now.since(last) >= FLOOR_GAP) {
            BudgetGrant::Floor
        } else {
            return None;
        };
        self.last_resend = Some(now);
        Some(grant)
    }

    /// A re-send that had passed goes elsewhere after all: what it paid comes back.
    pub fn refund(&mut self, now: Moment, grant: BudgetGrant) {
        self.decay(now);
        if grant == BudgetGrant::Token {
            self.units += TOKEN;
        }
    }
}
