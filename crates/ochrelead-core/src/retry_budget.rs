//! The retry budget of a server: a re-send takes a token, a first set-up adds a tenth, unused tokens expire.

use crate::time::{Moment, Span};
use crate::types::BudgetGrant;

/// One token in whole small units, so that ten deposits make exactly one token.
const TOKEN: u64 = 1_000_000_000;
const DEPOSIT: u64 = TOKEN / 10;
const TOKEN_LIFETIME: Span = Span::from_secs(10);
/// A re-send is also granted where none was for this long.
const FLOOR_INTERVAL: Span = Span::from_secs(1);

/// The retry budget of one server.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    units: u64,
    updated_at: Moment,
    last_resend_at: Option<Moment>,
}

impl RetryBudget {
    fn expire(&mut self, now: Moment) {
        let elapsed = u128::from(now.since(self.updated_at).micros());
        let expired = u128::from(self.units) * elapsed / u128::from(TOKEN_LIFETIME.micros());
        self.units = self.units.saturating_sub(u64::try_from(expired).unwrap_or(u64::MAX));
        self.updated_at = now;
    }

    /// A session is sent to the server for the first time.
    pub fn deposit(&mut self, now: Moment) {
        self.expire(now);
        self.units += DEPOSIT;
    }

    /// What grants a re-send: a token, otherwise the floor; none where it may not be sent.
    pub fn withdraw(&mut self, now: Moment) -> Option<BudgetGrant> {
        self.expire(now);
        let grant = if self.units >= TOKEN {
            self.units -= TOKEN;
            BudgetGrant::Token
        } else if self.last_resend_at.is_none_or(|last| now.since(last) >= FLOOR_INTERVAL) {
            BudgetGrant::Floor
        } else {
            return None;
        };
        self.last_resend_at = Some(now);
        Some(grant)
    }

    /// A re-send that was granted is not sent to the server after all: its token is returned.
    pub fn refund(&mut self, now: Moment, grant: BudgetGrant) {
        self.expire(now);
        if grant == BudgetGrant::Token {
            self.units += TOKEN;
        }
    }
}
