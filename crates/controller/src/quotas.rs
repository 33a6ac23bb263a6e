//! Tenants' quotas: the tail of the chain grants credit to the routers.

use crate::controller::Controller;
use quota::{CreditRequest, QuotaAuthority};
use replication::View;
use types::Address;
use wire::Message;

impl Controller {
    /// Starts to grant credit, if this replica doesn't yet. Called only while it is the tail and may answer for the core.
    pub(crate) fn begin_quotas(&mut self) {
        if self.quotas.is_none() {
            let authority = QuotaAuthority::new(self.timing.quota, self.now);
            self.quotas = Some((self.replica.view().epoch, authority));
        }
    }

    /// Takes in a new view. Earlier grants stay known only if this replica is the tail of two consecutive views, since
    /// no other tail can have granted credit between them.
    pub(crate) fn keep_quotas(&mut self, view: &View) {
        let is_tail = view.tail() == Some(self.replica.me());
        self.quotas = match self.quotas.take() {
            Some((former, authority)) if is_tail && former.next() == view.epoch => {
                Some((view.epoch, authority))
            }
            _ => None,
        };
    }

    /// Answers a router's request for credit, if this replica is the tail.
    pub(crate) fn on_credit_request(&mut self, from: Address, request: &CreditRequest) {
        if !self.may_respond() {
            return;
        }
        self.begin_quotas();
        let members = &self.replica.state_machine().membership.members;
        let Some((_, authority)) = &mut self.quotas else {
            return;
        };
        let grant = authority.on_request(self.now, from, request, members);
        grant.into_iter().for_each(|grant| {
            self.send(
                from,
                Message::CreditGrant {
                    grant: Box::new(grant),
                },
            );
        });
    }

    /// The tenants with a quota for which routers have requested credit, as JSON for operators.
    pub(crate) fn tenants(&self) -> serde_json::Value {
        let tenants = self
            .quotas
            .as_ref()
            .map(|(_, authority)| authority.usage(self.now));
        serde_json::json!({"window_ms": self.timing.quota.window, "tenants": tenants.unwrap_or_default()})
    }
}
