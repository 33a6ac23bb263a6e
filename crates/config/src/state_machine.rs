use crate::dialect::{OwnPlans, PlanDialect};
use crate::history::{AsSent, Entry, History, NotKept};
use crate::plan::{Fault, Plan};
use replication::{Membership, Preview, StateMachine};
use std::collections::BTreeMap;
use types::{Address, ConfigEpoch, Delta, ResultCode, TokenKey, ZoneName, messages};

messages! {
    /// A plan's number where operators count by their own, and the number of the plan that it builds on;
    /// `own` is 0 where they count by epochs.
    #[derive(Default, Copy, Eq)]
    pub struct Revisions {
        /// Of the plan.
        pub own: u64,
        /// Of the one that it builds on.
        pub base: u64,
    }

    /// What is to change.
    #[derive(Eq)]
    pub enum Command {
        /// A whole plan.
        Plan {
            /// As sent.
            bytes: Vec<u8>,
            /// The zones that it names.
            zones: Vec<ZoneName>,
            /// By the operators' own count.
            revisions: Revisions,
        },
        /// A change to the plan in force.
        Change {
            /// As sent.
            bytes: Vec<u8>,
            /// The epoch of the plan that it was merged into.
            base: ConfigEpoch,
            /// What makes of that plan the one that came of it.
            delta: Delta,
            /// The zones that this names.
            zones: Vec<ZoneName>,
            /// By the operators' own count.
            revisions: Revisions,
        },
        /// A zone gets no new work.
        Withdraw {
            /// The zone.
            zone: ZoneName,
        },
        /// A zone gets work again.
        Restore {
            /// The zone.
            zone: ZoneName,
        },
        /// Nodes become members. Not an operator's command.
        Join {
            /// Who, with their zones.
            members: Vec<(Address, ZoneName)>,
        },
        /// Members that are long gone are no members any more. Not an operator's command.
        Retire {
            /// Who.
            members: Vec<Address>,
        },
        /// Members that an operator knows to be lost for good, however many they are. They count for no
        /// majority any more, that of the change itself included.
        Forget {
            /// Who.
            members: Vec<Address>,
        },
        /// More than half of the previous members know the membership of this epoch: majorities need them no more. Not an
        /// operator's command.
        Settle {
            /// When the membership became what it is.
            since: ConfigEpoch,
        },
        /// What tokens are checked with. Not an operator's command; the first one stays.
        Key {
            /// Drawn at random.
            key: TokenKey,
        },
    }

    /// A command with its proposer's id for it and the epoch that it builds on.
    #[derive(Eq)]
    pub struct Proposal {
        /// Chosen by the proposer; a repeat has the same one.
        pub id: String,
        /// The epoch that the proposer looked at. Plans and changes without a revision must name it.
        pub builds_on: Option<ConfigEpoch>,
        /// The newest accepted epoch when the request came in, as the tail told it then. An evacuation that
        /// was overtaken since is not applied. 0: nothing was read.
        pub seen: ConfigEpoch,
        /// What.
        pub command: Command,
    }

    /// All that was accepted, and what is in force.
    ///
    /// Plans are read and checked where they come in, before they are proposed ([`Command::plan`],
    /// [`Command::change`]): a plan of tens of megabytes must not hold a control thread up.
    ///
    /// Invariants: `epoch` grows by one with each accepted command. `plan` is what `plan_epoch` made
    /// of it, whole. What was accepted before is in `history` for a bounded span; what is forgotten there
    /// is never applied again ([`History`]).
    #[derive(Default)]
    pub struct ConfigStateMachine {
        /// The newest epoch.
        pub epoch: ConfigEpoch,
        /// The epoch of the last plan or change.
        pub plan_epoch: ConfigEpoch,
        /// The plan in force; empty before the first.
        pub plan: Vec<u8>,
        /// The newest number of the operators' own; 0 before the first.
        pub revision: u64,
        /// The zones that it names.
        pub plan_zones: Vec<ZoneName>,
        /// Withdrawn zones.
        pub withdrawn: Vec<ZoneName>,
        /// The epoch of each zone's newest withdrawal or restoring, whether or not it changed anything: what
        /// an older request that comes late is judged against (docs/control-safety.md).
        pub zone_changes: Vec<(ZoneName, ConfigEpoch)>,
        /// The members.
        pub membership: Membership,
        /// The zones of the members.
        pub member_zones: Vec<(Address, ZoneName)>,
        /// What tokens are checked with.
        pub key: Option<TokenKey>,
        /// What operators had accepted lately.
        pub history: History,
        /// What made the plan in force of the one before, and that one's epoch.
        pub newest: Option<(ConfigEpoch, Delta)>,
    }
}

/// What the ledger says to a proposal.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct CommandOutcome {
    /// The numbered code.
    pub code: u16,
    /// Its word.
    pub result: &'static str,
    /// The epoch that the command became, if accepted; else the newest.
    pub epoch: ConfigEpoch,
    /// The epoch of the plan in force, which a plan must build on.
    pub plan_epoch: ConfigEpoch,
    /// More about it.
    pub why: String,
    /// Faults by path.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<Fault>,
}

impl CommandOutcome {
    /// Whether the command is in the ledger.
    pub fn is_accepted(&self) -> bool {
        self.code == ResultCode::Accepted.number()
    }
    /// As the bytes that go back to the proposer.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("an outcome is JSON")
    }
}

impl ConfigStateMachine {
    /// The accepted command of an operator with this id, if it's remembered.
    pub fn entry_by_id(&self, id: &str) -> Option<&Entry> {
        self.history.entry_by_id(id)
    }
    /// What was accepted as this epoch, as it was sent.
    pub fn as_sent(&self, epoch: ConfigEpoch) -> Result<AsSent, NotKept> {
        self.history.as_sent(epoch, &self.plan)
    }
    /// Takes a new plan up and keeps what leads back.
    fn set_plan(&mut self, plan: Vec<u8>, delta: Delta, zones: &[ZoneName], revisions: Revisions) {
        let undo = delta
            .reverse(&self.plan)
            .expect("it was made for the plan in force");
        self.history.remember_undo(self.epoch, undo);
        self.newest = Some((self.plan_epoch, delta));
        self.plan = plan;
        self.plan_zones = zones.to_vec();
        self.plan_epoch = self.epoch;
        self.revision = self.revision.max(revisions.own);
    }
    /// All zones that the members or the plan name.
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

    fn outcome(
        &self,
        code: ResultCode,
        epoch: ConfigEpoch,
        why: impl Into<String>,
        faults: Vec<Fault>,
    ) -> CommandOutcome {
        let (result, plan_epoch) = (code.word(), self.plan_epoch);
        CommandOutcome {
            code: code.number(),
            result,
            epoch,
            plan_epoch,
            why: why.into(),
            faults,
        }
    }

    /// What a proposal would come to.
    fn judge(&self, proposal: &Proposal) -> Result<(), CommandOutcome> {
        if let Some(entry) = self.entry_by_id(&proposal.id) {
            return Err(if entry.is_repeated_by(proposal) {
                let why = "it was accepted before; it is not applied twice";
                self.outcome(ResultCode::Accepted, entry.epoch, why, vec![])
            } else {
                let why = format!("epoch {} has this id", entry.epoch);
                self.outcome(ResultCode::IdReused, self.epoch, why, vec![])
            });
        }
        // What may have been accepted and forgotten is neither applied nor called refused.
        let may_be_forgotten = self.history.may_have_forgotten(proposal);
        if may_be_forgotten && !proposal.command.is_plan() {
            return Err(self.too_old());
        }
        self.judge_new(proposal).map_err(|outcome| {
            let is_conflict = outcome.code == ResultCode::Conflict.number();
            if may_be_forgotten && is_conflict {
                self.too_old()
            } else {
                outcome
            }
        })
    }

    fn too_old(&self) -> CommandOutcome {
        let why = format!(
            "it builds on what came before epoch {}; nothing changed now",
            self.history.forgotten.epoch
        );
        self.outcome(ResultCode::TooOldToKnow, self.epoch, why, vec![])
    }

    /// What a proposal would come to that has not been accepted before.
    fn judge_new(&self, proposal: &Proposal) -> Result<(), CommandOutcome> {
        let builds_on = |is_needed: bool| match proposal.builds_on {
            Some(epoch) if epoch > self.epoch => Err(self.not_yet(&format!("epoch {epoch}"))),
            Some(epoch) if epoch < self.plan_epoch => {
                let why = format!(
                    "it builds on epoch {epoch}, the plan in force is of epoch {}",
                    self.plan_epoch
                );
                Err(self.outcome(ResultCode::Conflict, self.epoch, why, vec![]))
            }
            None if is_needed => Err(self.outcome(
                ResultCode::BadPlan,
                self.epoch,
                "the epoch that it builds on is missing",
                vec![],
            )),
            _ => Ok(()),
        };
        let follows = |revisions: &Revisions| {
            if revisions.own == 0 {
                return builds_on(true);
            }
            builds_on(false)?;
            let (own, base, newest) = (revisions.own, revisions.base, self.revision);
            if base > newest {
                return Err(self.not_yet(&format!("revision {base}")));
            }
            if base < newest {
                let why =
                    format!("it builds on revision {base}, the plan in force is revision {newest}");
                return Err(self.outcome(ResultCode::Conflict, self.epoch, why, vec![]));
            }
            if own <= newest {
                let why = format!("revision {own} is not above {newest}");
                return Err(self.outcome(ResultCode::BadPlan, self.epoch, why, vec![]));
            }
            Ok(())
        };
        match &proposal.command {
            Command::Plan { revisions, .. } => follows(revisions),
            Command::Change {
                base,
                delta,
                revisions,
                ..
            } => {
                follows(revisions)?;
                if *base != self.plan_epoch {
                    // Merged anew, the same change may well be taken: no conflict of its operator's.
                    let why = format!(
                        "it was merged into epoch {base}, the plan in force is of epoch {}",
                        self.plan_epoch
                    );
                    return Err(self.outcome(ResultCode::CoreNotReady, self.epoch, why, vec![]));
                }
                if !delta.fits(&self.plan) {
                    let why = "the change is not one of the plan in force";
                    return Err(self.outcome(ResultCode::BadMessage, self.epoch, why, vec![]));
                }
                Ok(())
            }
            Command::Withdraw { zone } | Command::Restore { zone } => {
                builds_on(false)?;
                if !self.zones().contains_key(zone) && !self.withdrawn.contains(zone) {
                    let known: Vec<String> = self.zones().into_keys().map(|zone| zone.0).collect();
                    let why = format!(
                        "no member or plan names zone `{zone}`; known: {}",
                        known.join(", ")
                    );
                    return Err(self.outcome(ResultCode::UnknownZone, self.epoch, why, vec![]));
                }
                self.judge_request_of_arrival(proposal, zone)
            }
            Command::Forget { members } => {
                let is_member = |member: &Address| self.membership.members.contains(member);
                match members.iter().find(|member| !is_member(member)) {
                    Some(unknown) => {
                        let why = format!("{unknown} is not a member; `latest` shows who is");
                        Err(self.outcome(ResultCode::UnknownMember, self.epoch, why, vec![]))
                    }
                    None => Ok(()),
                }
            }
            Command::Settle { since } if *since != self.membership.since => Err(self.outcome(
                ResultCode::Conflict,
                self.epoch,
                "the membership has changed since",
                vec![],
            )),
            Command::Key { .. } if self.key.is_some() => Err(self.outcome(
                ResultCode::Conflict,
                self.epoch,
                "there is a key already",
                vec![],
            )),
            Command::Join { .. }
            | Command::Retire { .. }
            | Command::Settle { .. }
            | Command::Key { .. } => Ok(()),
        }
    }

    /// Refuses an evacuation, or its end, that would undo a newer one of the same zone. One that the zone's
    /// state agrees with undoes nothing.
    fn judge_request_of_arrival(
        &self,
        proposal: &Proposal,
        zone: &ZoneName,
    ) -> Result<(), CommandOutcome> {
        let is_wanted = matches!(proposal.command, Command::Withdraw { .. });
        let is_so = self.withdrawn.contains(zone) == is_wanted;
        match self
            .zone_changes
            .iter()
            .find(|(changed, _)| changed == zone)
        {
            Some((_, newest)) if proposal.seen < *newest && !is_so => {
                let why = format!(
                    "zone `{zone}` was changed as epoch {newest}, after this request came in"
                );
                Err(self.outcome(ResultCode::Overtaken, self.epoch, why, vec![]))
            }
            _ => Ok(()),
        }
    }

    /// About what is ahead of all that was accepted: it may be accepted yet, so this is no final word.
    fn not_yet(&self, what: &str) -> CommandOutcome {
        let why = format!("it builds on {what}, which is not accepted so far");
        self.outcome(ResultCode::CoreNotReady, self.epoch, why, vec![])
    }

    fn note_zone_change(&mut self, zone: &ZoneName) {
        self.zone_changes.retain(|(changed, _)| changed != zone);
        self.zone_changes.push((zone.clone(), self.epoch));
    }

    fn set_members(&mut self, zones: Vec<(Address, ZoneName)>) {
        self.member_zones = zones;
        self.membership.previous = std::mem::take(&mut self.membership.members);
        self.membership.members = self
            .member_zones
            .iter()
            .map(|(address, _)| *address)
            .collect();
        self.membership.since = self.epoch;
    }
}

impl StateMachine for ConfigStateMachine {
    fn requires_member_majority(&self, body: &[u8]) -> bool {
        // Those that join could never do so if it took members to let them in, nor act without a key; and
        // those that are lost are forgotten just because too many are.
        let is_free = |command: &Command| {
            matches!(
                command,
                Command::Join { .. } | Command::Key { .. } | Command::Forget { .. }
            )
        };
        !read(body).is_some_and(|proposal| is_free(&proposal.command))
    }

    fn preview(&self, body: &[u8]) -> Preview {
        let Some(proposal) = read(body) else {
            let outcome =
                self.outcome(ResultCode::BadMessage, self.epoch, "not a proposal", vec![]);
            return Preview::Reject(outcome.to_bytes());
        };
        match self.judge(&proposal) {
            // A repeat goes down the chain once more, so that its answer, too, is the tail's.
            Err(outcome) if !outcome.is_accepted() => Preview::Reject(outcome.to_bytes()),
            _ => Preview::Admit,
        }
    }

    fn apply(&mut self, body: &[u8]) -> Vec<u8> {
        let Some(proposal) = read(body) else {
            return vec![];
        };
        if let Err(outcome) = self.judge(&proposal) {
            return outcome.to_bytes();
        }
        self.epoch = self.epoch.next();
        match &proposal.command {
            Command::Plan {
                bytes,
                zones,
                revisions,
            } => {
                let delta = Delta::between(&self.plan, bytes);
                self.set_plan(bytes.clone(), delta, zones, *revisions);
            }
            Command::Change {
                delta,
                zones,
                revisions,
                ..
            } => {
                let plan = delta.apply(&self.plan).expect("it was judged to fit");
                self.set_plan(plan, delta.clone(), zones, *revisions);
            }
            Command::Withdraw { zone } => {
                self.note_zone_change(zone);
                if !self.withdrawn.contains(zone) {
                    self.withdrawn.push(zone.clone());
                    self.withdrawn.sort();
                }
            }
            Command::Restore { zone } => {
                self.note_zone_change(zone);
                self.withdrawn.retain(|withdrawn| withdrawn != zone);
            }
            Command::Join { members } => {
                let mut zones = self.member_zones.clone();
                zones.retain(|(address, _)| members.iter().all(|(joining, _)| joining != address));
                zones.extend(members.iter().cloned());
                zones.sort();
                self.set_members(zones);
            }
            Command::Retire { members } => {
                let mut zones = self.member_zones.clone();
                zones.retain(|(address, _)| !members.contains(address));
                self.set_members(zones);
            }
            Command::Forget { members } => {
                let mut zones = self.member_zones.clone();
                zones.retain(|(address, _)| !members.contains(address));
                self.set_members(zones);
                // The dead can't act, so that majorities are those of the living (docs/isolation.md).
                self.membership
                    .previous
                    .clone_from(&self.membership.members);
            }
            Command::Settle { .. } => self
                .membership
                .previous
                .clone_from(&self.membership.members),
            Command::Key { key } => self.key = Some(*key),
        }
        let outcome = self.outcome(ResultCode::Accepted, self.epoch, "", vec![]);
        self.history.remember(self.epoch, proposal);
        outcome.to_bytes()
    }

    fn snapshot(&self) -> Vec<u8> {
        rkyv::to_bytes::<rkyv::rancor::Error>(self)
            .expect("a ledger can be archived")
            .to_vec()
    }

    fn restore(snapshot: &[u8]) -> Option<Self> {
        let mut aligned = rkyv::util::AlignedVec::<16>::with_capacity(snapshot.len());
        aligned.extend_from_slice(snapshot);
        let mut config_state =
            rkyv::from_bytes::<ConfigStateMachine, rkyv::rancor::Error>(&aligned).ok()?;
        config_state.history = config_state.history.indexed(config_state.epoch)?;
        Some(config_state)
    }
}

impl Revisions {
    fn of(plan: &Plan, base: Option<u64>) -> Result<Revisions, Vec<Fault>> {
        match base {
            Some(_) if plan.revision == 0 => Err(vec![Fault {
                path: "revision".into(),
                why: "it is missing or 0".into(),
            }]),
            Some(base) => Ok(Revisions {
                own: plan.revision,
                base,
            }),
            None => Ok(Revisions::default()),
        }
    }
}

impl Command {
    /// Whether it evacuates a zone or ends that.
    pub fn is_of_a_zone(&self) -> bool {
        matches!(self, Command::Withdraw { .. } | Command::Restore { .. })
    }
    /// Whether it makes a new plan.
    fn is_plan(&self) -> bool {
        matches!(self, Command::Plan { .. } | Command::Change { .. })
    }
    /// A whole plan in the product's own words, if it has no faults.
    pub fn plan(bytes: Vec<u8>) -> Result<Command, Vec<Fault>> {
        Self::plan_in(&OwnPlans, bytes, None)
    }
    /// A change in the product's own words, to the plan that was accepted as `base`, if what comes of it
    /// has no faults.
    pub fn change(bytes: Vec<u8>, base: ConfigEpoch, plan: &[u8]) -> Result<Command, Vec<Fault>> {
        Self::change_in(&OwnPlans, bytes, base, plan, None)
    }
    /// A whole plan in this dialect, if it has no faults. Where operators count by their own revisions,
    /// it names the one that it builds on.
    pub fn plan_in(
        dialect: &dyn PlanDialect,
        bytes: Vec<u8>,
        base_revision: Option<u64>,
    ) -> Result<Command, Vec<Fault>> {
        let plan = dialect.parse(&bytes)?;
        let revisions = Revisions::of(&plan, base_revision)?;
        Ok(Command::Plan {
            bytes,
            zones: plan.zones(),
            revisions,
        })
    }
    /// A change in this dialect to the plan that was accepted as `base`, if what comes of it has no faults.
    pub fn change_in(
        dialect: &dyn PlanDialect,
        bytes: Vec<u8>,
        base: ConfigEpoch,
        plan: &[u8],
        base_revision: Option<u64>,
    ) -> Result<Command, Vec<Fault>> {
        let whole = dialect.merge(plan, &bytes)?;
        let merged = dialect.parse(&whole)?;
        let revisions = Revisions::of(&merged, base_revision)?;
        let delta = Delta::between(plan, &whole);
        Ok(Command::Change {
            bytes,
            base,
            delta,
            zones: merged.zones(),
            revisions,
        })
    }
    /// The same; these zones may be withdrawn besides those that it names.
    #[must_use]
    pub fn with_zones(mut self, more: &[ZoneName]) -> Command {
        if let Command::Plan { zones, .. } | Command::Change { zones, .. } = &mut self {
            zones.extend_from_slice(more);
            zones.sort();
            zones.dedup();
        }
        self
    }
}

impl Proposal {
    /// As the body of a change in the chain.
    pub fn to_bytes(&self) -> Vec<u8> {
        rkyv::to_bytes::<rkyv::rancor::Error>(self)
            .expect("a proposal can be archived")
            .to_vec()
    }
}

fn read(body: &[u8]) -> Option<Proposal> {
    let mut aligned = rkyv::util::AlignedVec::<16>::with_capacity(body.len());
    aligned.extend_from_slice(body);
    rkyv::from_bytes::<Proposal, rkyv::rancor::Error>(&aligned).ok()
}

#[cfg(test)]
mod tests;
