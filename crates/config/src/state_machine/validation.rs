use crate::command::{Command, Proposal, Revisions};
use crate::outcome::Rejection;
use crate::state_machine::ConfigStateMachine;
use types::{Address, ConfigEpoch, Delta, ResultCode, ZoneName};

impl ConfigStateMachine {
    /// Checks whether a proposal may be applied.
    ///
    /// # Errors
    ///
    /// Why it may not. A proposal that may have been accepted before the oldest entry of the history is neither
    /// applied nor called rejected.
    pub(super) fn validate(&self, proposal: &Proposal) -> Result<(), Rejection> {
        if let Some(entry) = self.entry_by_id(&proposal.id) {
            let epoch = entry.epoch;
            return Err(if entry.is_repeated_by(proposal) {
                Rejection::AlreadyAccepted { epoch }
            } else {
                Rejection::IdReused { epoch }
            });
        }
        let too_old = Rejection::TooOldToKnow {
            compacted: self.history.compacted.epoch,
        };
        let may_be_compacted = self.history.may_have_compacted(proposal);
        if may_be_compacted && !proposal.command.is_plan() {
            return Err(too_old);
        }
        self.validate_new(proposal).map_err(|rejection| {
            let is_conflict = rejection.code() == ResultCode::Conflict;
            if may_be_compacted && is_conflict {
                too_old
            } else {
                rejection
            }
        })
    }

    /// Checks a proposal that is not in the history.
    fn validate_new(&self, proposal: &Proposal) -> Result<(), Rejection> {
        match &proposal.command {
            Command::Plan { revisions, .. } => self.validate_revisions(proposal, revisions),
            Command::Change {
                base,
                delta,
                revisions,
                ..
            } => {
                self.validate_revisions(proposal, revisions)?;
                self.validate_delta(*base, delta)
            }
            Command::Withdraw { zone } | Command::Restore { zone } => {
                self.validate_base_epoch(proposal)?;
                self.validate_zone(zone)?;
                self.validate_not_overtaken(proposal, zone)
            }
            Command::ForceRemove { members } => self.validate_members(members),
            Command::FinalizeMembership { since } => self.validate_membership(*since),
            Command::SetTokenKey { .. } => self.validate_no_token_key(),
            Command::Join { .. } | Command::Retire { .. } => Ok(()),
        }
    }

    /// A plan or change builds on the plan in force: by its revision, or by its epoch if it has no revision.
    fn validate_revisions(
        &self,
        proposal: &Proposal,
        revisions: &Revisions,
    ) -> Result<(), Rejection> {
        self.validate_base_epoch(proposal)?;
        let (own, base, newest) = (revisions.own, revisions.base, self.revision);
        if own == 0 {
            return match proposal.builds_on {
                Some(_) => Ok(()),
                None => Err(Rejection::MissingEpoch),
            };
        }
        if base > newest {
            return Err(Rejection::RevisionNotAccepted(base));
        }
        if base < newest {
            return Err(Rejection::RevisionConflict { base, newest });
        }
        if own <= newest {
            return Err(Rejection::RevisionNotAbove { own, newest });
        }
        Ok(())
    }

    /// The epoch that a proposal builds on, if it names one, is neither ahead of the newest epoch nor before the
    /// plan in force.
    fn validate_base_epoch(&self, proposal: &Proposal) -> Result<(), Rejection> {
        let plan_epoch = self.plan_epoch;
        match proposal.builds_on {
            Some(base) if base > self.epoch => Err(Rejection::EpochNotAccepted(base)),
            Some(base) if base < plan_epoch => Err(Rejection::EpochConflict { base, plan_epoch }),
            _ => Ok(()),
        }
    }

    /// A change was merged into the plan in force.
    fn validate_delta(&self, base: ConfigEpoch, delta: &Delta) -> Result<(), Rejection> {
        let plan_epoch = self.plan_epoch;
        if base != plan_epoch {
            return Err(Rejection::MergedIntoOldPlan { base, plan_epoch });
        }
        if !delta.fits(&self.plan) {
            return Err(Rejection::DeltaDoesNotFit);
        }
        Ok(())
    }

    /// A member or the plan names the zone, or it is withdrawn.
    fn validate_zone(&self, zone: &ZoneName) -> Result<(), Rejection> {
        let zones = self.zones();
        if zones.contains_key(zone) || self.withdrawn.contains(zone) {
            return Ok(());
        }
        let known: Vec<String> = zones.into_keys().map(|zone| zone.0).collect();
        Err(Rejection::UnknownZone {
            zone: zone.clone(),
            known: known.join(", "),
        })
    }

    /// A withdrawal or restoration does not revert a newer one of the same zone. One that asks for the present
    /// state of the zone reverts nothing.
    fn validate_not_overtaken(
        &self,
        proposal: &Proposal,
        zone: &ZoneName,
    ) -> Result<(), Rejection> {
        let withdraws = matches!(proposal.command, Command::Withdraw { .. });
        if self.withdrawn.contains(zone) == withdraws {
            return Ok(());
        }
        let changes = &self.zone_changes;
        match changes.iter().find(|(changed, _)| changed == zone) {
            Some((_, epoch)) if proposal.seen < *epoch => Err(Rejection::Overtaken {
                zone: zone.clone(),
                epoch: *epoch,
            }),
            _ => Ok(()),
        }
    }

    fn validate_members(&self, members: &[Address]) -> Result<(), Rejection> {
        let known = &self.membership.members;
        match members.iter().find(|member| !known.contains(member)) {
            Some(unknown) => Err(Rejection::UnknownMember(*unknown)),
            None => Ok(()),
        }
    }

    /// The membership of this epoch is the present one.
    fn validate_membership(&self, since: ConfigEpoch) -> Result<(), Rejection> {
        if since == self.membership.since {
            Ok(())
        } else {
            Err(Rejection::MembershipChanged)
        }
    }

    fn validate_no_token_key(&self) -> Result<(), Rejection> {
        match self.key {
            Some(_) => Err(Rejection::TokenKeyExists),
            None => Ok(()),
        }
    }
}
