//! Acknowledgements of a configuration: which members must know an epoch before it counts as accepted.

use crate::controller::{Controller, Quorum};
use types::ConfigEpoch;

impl Controller {
    /// Whether as many members as the quorum requires are known to have this epoch.
    pub(crate) fn is_known(&self, epoch: ConfigEpoch) -> bool {
        let membership = &self.replica.state_machine().membership;
        match self.timing.quorum {
            Quorum::Majority => self.leases.is_known_to_most(membership, epoch),
            // A new tail doesn't know what leases the last one gave: they must have run out.
            Quorum::Holders => {
                let is_old_gone = self.now.since(self.leases_since) >= self.timing.lease;
                self.leases.is_known_to_all(membership, epoch)
                    || (is_old_gone && self.leases.is_known_to_holders(epoch, self.now))
            }
        }
    }

    /// Whether the change of this epoch may be reported as accepted in response to any query. With [`Quorum::Majority`]
    /// only the response to the change itself waits for the members, since they may be gone by the time of a query.
    pub(crate) fn is_firm(&self, epoch: ConfigEpoch) -> bool {
        self.replica.may_commit()
            && (self.timing.quorum == Quorum::Majority || self.is_known(epoch))
    }

    pub(crate) fn has_quorum(&self) -> bool {
        let membership = &self.replica.state_machine().membership;
        let has_member_majority =
            self.timing.quorum == Quorum::Holders || self.leases.has_majority(membership, self.now);
        self.may_respond() && has_member_majority
    }
}
