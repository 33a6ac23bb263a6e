//! The state machine that the chain of controllers replicates: the configuration in force and the membership.

mod transitions;
mod validation;

use crate::archive::aligned;
use crate::command::{Command, Proposal};
use crate::history::{Entry, History, HistoryError, OriginalCommand};
use crate::outcome::{CommandOutcome, Rejection};
use replication::{Membership, Preview, StateMachine};
use std::collections::BTreeMap;
use types::{Address, ConfigEpoch, Delta, ResultCode, TokenKey, ZoneName, messages};

messages! {
    /// The replicated state: the plan in force, withdrawn zones, members, and the history of accepted commands.
    ///
    /// Plans are parsed and validated where they arrive, before they are proposed
    /// ([`Command::plan`], [`Command::change`]): a plan of tens of megabytes must not block a control thread.
    ///
    /// Invariants: `epoch` grows by one with each accepted command. `plan` is the plan accepted as `plan_epoch`,
    /// complete. A command that was accepted is not applied again, neither while it is in `history` nor after it
    /// was compacted there ([`History`]).
    #[derive(Default)]
    pub struct ConfigStateMachine {
        /// The epoch of the newest accepted command; 0 before the first.
        pub epoch: ConfigEpoch,
        /// The epoch of the newest plan or change; 0 before the first.
        pub plan_epoch: ConfigEpoch,
        /// The plan in force; empty before the first.
        pub plan: Vec<u8>,
        /// The operators' own number of the plan in force; 0 before the first.
        pub revision: u64,
        /// The zones that the plan in force names, and further ones that may be withdrawn.
        pub plan_zones: Vec<ZoneName>,
        /// The withdrawn zones, sorted.
        pub withdrawn: Vec<ZoneName>,
        /// The epoch of the newest withdrawal or restoration of each zone, whether or not it changed anything.
        /// An older request that arrives late is compared with it (docs/control-safety.md).
        pub zone_changes: Vec<(ZoneName, ConfigEpoch)>,
        /// The members.
        pub membership: Membership,
        /// The members with their zones.
        pub member_zones: Vec<(Address, ZoneName)>,
        /// The key that resume tokens are checked with, once it was drawn.
        pub key: Option<TokenKey>,
        /// The newest accepted commands of operators.
        pub history: History,
        /// The delta from the previous plan to the plan in force, with the epoch of the previous plan.
        pub newest: Option<(ConfigEpoch, Delta)>,
    }
}

impl ConfigStateMachine {
    /// The accepted command of operators with this id, if it is in the history.
    pub fn entry_by_id(&self, id: &str) -> Option<&Entry> {
        self.history.entry_by_id(id)
    }

    /// The command that was accepted as this epoch, as its operator sent it.
    ///
    /// # Errors
    ///
    /// No command of operators was accepted as this epoch, or its bytes were compacted.
    pub fn original_command(&self, epoch: ConfigEpoch) -> Result<OriginalCommand, HistoryError> {
        self.history.original_command(epoch, &self.plan)
    }

    /// All zones that members or the plan name, with the number of members in each.
    pub fn zones(&self) -> BTreeMap<ZoneName, usize> {
        let mut zones = BTreeMap::new();
        for (_, zone) in &self.member_zones {
            *zones.entry(zone.clone()).or_insert(0) += 1;
        }
        for zone in &self.plan_zones {
            zones.entry(zone.clone()).or_insert(0);
        }
        zones
    }

    /// The outcome of a command that was just accepted.
    fn accepted(&self) -> CommandOutcome {
        self.outcome(ResultCode::Accepted, self.epoch, String::new())
    }

    /// The outcome of a proposal that is not applied.
    fn rejected(&self, rejection: &Rejection) -> CommandOutcome {
        let epoch = match rejection {
            Rejection::AlreadyAccepted { epoch } => *epoch,
            _ => self.epoch,
        };
        self.outcome(rejection.code(), epoch, rejection.to_string())
    }

    fn outcome(&self, code: ResultCode, epoch: ConfigEpoch, reason: String) -> CommandOutcome {
        CommandOutcome {
            code: code.number(),
            result: code.word(),
            epoch,
            plan_epoch: self.plan_epoch,
            reason,
            plan_errors: vec![],
        }
    }
}

impl StateMachine for ConfigStateMachine {
    /// Joining members, the first token key and forced removals need no acknowledgement of members: members could
    /// never join if it took members to let them in, nor act without a key; and members are removed by force just
    /// because too many of them are lost.
    fn requires_member_majority(&self, body: &[u8]) -> bool {
        !Proposal::from_bytes(body).is_some_and(|proposal| {
            matches!(
                proposal.command,
                Command::Join { .. } | Command::SetTokenKey { .. } | Command::ForceRemove { .. }
            )
        })
    }

    fn preview(&self, body: &[u8]) -> Preview {
        let Some(proposal) = Proposal::from_bytes(body) else {
            return Preview::Reject(self.rejected(&Rejection::NotAProposal).to_bytes());
        };
        match self.validate(&proposal) {
            // A retry goes through the chain again, so that its response, too, is the tail's.
            Ok(()) | Err(Rejection::AlreadyAccepted { .. }) => Preview::Admit,
            Err(rejection) => Preview::Reject(self.rejected(&rejection).to_bytes()),
        }
    }

    fn apply(&mut self, body: &[u8]) -> Vec<u8> {
        let Some(proposal) = Proposal::from_bytes(body) else {
            return vec![];
        };
        if let Err(rejection) = self.validate(&proposal) {
            return self.rejected(&rejection).to_bytes();
        }
        self.epoch = self.epoch.next();
        self.execute(&proposal.command);
        let outcome = self.accepted();
        self.history.record(self.epoch, proposal);
        outcome.to_bytes()
    }

    fn snapshot(&self) -> Vec<u8> {
        rkyv::to_bytes::<rkyv::rancor::Error>(self)
            .expect("the state machine can be archived")
            .to_vec()
    }

    fn restore(snapshot: &[u8]) -> Option<Self> {
        let mut state =
            rkyv::from_bytes::<ConfigStateMachine, rkyv::rancor::Error>(&aligned(snapshot)).ok()?;
        state.history = state.history.indexed(state.epoch)?;
        Some(state)
    }
}

#[cfg(test)]
mod tests;
