//! Commands: what operators and the core itself propose to the state machine.

use crate::archive::aligned;
use crate::dialect::{OwnPlans, PlanDialect};
use crate::plan::{Plan, PlanError, PlanErrorReason};
use types::{Address, ConfigEpoch, Delta, TokenKey, ZoneName, messages};

messages! {
    /// The number of a plan and of the plan that it builds on, where operators count plans by revisions of
    /// their own. Both are 0 where they count by epochs.
    #[derive(Default, Copy, Eq)]
    pub struct Revisions {
        /// The number of the plan.
        pub own: u64,
        /// The number of the plan that it builds on.
        pub base: u64,
    }

    /// A change of the configuration.
    ///
    /// The order of the variants and fields is that of the stored records.
    #[derive(Eq)]
    pub enum Command {
        /// Puts a plan in force. A command of operators.
        Plan {
            /// The plan as it was sent.
            bytes: Vec<u8>,
            /// The zones that the plan names.
            zones: Vec<ZoneName>,
            /// The number of the plan by the operators' own count.
            revisions: Revisions,
        },
        /// Changes the plan in force. A command of operators.
        Change {
            /// The change as it was sent.
            bytes: Vec<u8>,
            /// The epoch of the plan that the change was merged into.
            base: ConfigEpoch,
            /// The delta from that plan to the changed one.
            delta: Delta,
            /// The zones that the changed plan names.
            zones: Vec<ZoneName>,
            /// The number of the changed plan by the operators' own count.
            revisions: Revisions,
        },
        /// Withdraws a zone: its servers get no new requests. A command of operators.
        Withdraw {
            /// The name of the zone.
            zone: ZoneName,
        },
        /// Restores a withdrawn zone. A command of operators.
        Restore {
            /// The name of the zone.
            zone: ZoneName,
        },
        /// Adds members, or changes the zones of members. A command of the core.
        Join {
            /// The members with their zones.
            members: Vec<(Address, ZoneName)>,
        },
        /// Removes members that have been unreachable for long. A command of the core.
        Retire {
            /// The addresses of the members.
            members: Vec<Address>,
        },
        /// Removes members that operators know to be lost, however many they are. The removed members count for
        /// no majority any more, including that of this command. A command of operators.
        ForceRemove {
            /// The addresses of the members.
            members: Vec<Address>,
        },
        /// Finalizes a change of the membership: more than half of the previous members know of it, so that
        /// majorities no longer need the previous members. A command of the core.
        FinalizeMembership {
            /// The epoch of the membership.
            since: ConfigEpoch,
        },
        /// Sets the key that resume tokens are checked with. Only the first one is accepted. A command of the
        /// core.
        SetTokenKey {
            /// The key, drawn at random.
            key: TokenKey,
        },
    }

    /// A command with its proposer's id for it and the epoch that it builds on.
    #[derive(Eq)]
    pub struct Proposal {
        /// The id, chosen by the proposer. A retry has the same id.
        pub id: String,
        /// The epoch that the proposer looked at. Plans and changes without a revision must name one.
        pub builds_on: Option<ConfigEpoch>,
        /// The newest accepted epoch when the request arrived, as read from the tail; 0 if none was read. A
        /// withdrawal or restoration is rejected if the zone was changed after that (docs/control-safety.md).
        pub seen: ConfigEpoch,
        /// The command.
        pub command: Command,
    }
}

impl Revisions {
    /// The revisions of a plan that builds on revision `base`; `None` where operators count by epochs.
    fn new(plan: &Plan, base: Option<u64>) -> Result<Revisions, Vec<PlanError>> {
        match base {
            Some(_) if plan.revision == 0 => {
                let error = PlanError::new("revision", PlanErrorReason::MissingRevision);
                Err(vec![error])
            }
            Some(base) => Ok(Revisions {
                own: plan.revision,
                base,
            }),
            None => Ok(Revisions::default()),
        }
    }
}

impl Command {
    /// Whether the command withdraws or restores a zone.
    pub fn is_of_a_zone(&self) -> bool {
        matches!(self, Command::Withdraw { .. } | Command::Restore { .. })
    }

    /// Whether the command makes a new plan.
    pub(crate) fn is_plan(&self) -> bool {
        matches!(self, Command::Plan { .. } | Command::Change { .. })
    }

    /// The number of the plan that the command builds on, by the operators' own count.
    pub(crate) fn base_revision(&self) -> Option<u64> {
        match self {
            Command::Plan { revisions, .. } | Command::Change { revisions, .. } => {
                (revisions.own > 0).then_some(revisions.base)
            }
            _ => None,
        }
    }

    /// The command that puts a plan in the product's own dialect in force.
    ///
    /// # Errors
    ///
    /// The errors of the plan.
    pub fn plan(bytes: Vec<u8>) -> Result<Command, Vec<PlanError>> {
        Self::plan_in(&OwnPlans, bytes, None)
    }

    /// The command that applies a change in the product's own dialect to `plan`, which was accepted as `base`.
    ///
    /// # Errors
    ///
    /// The errors of the change or of the changed plan.
    pub fn change(
        bytes: Vec<u8>,
        base: ConfigEpoch,
        plan: &[u8],
    ) -> Result<Command, Vec<PlanError>> {
        Self::change_in(&OwnPlans, bytes, base, plan, None)
    }

    /// The command that puts a plan in this dialect in force. Where operators count plans by revisions,
    /// `base_revision` is the one that the plan builds on.
    ///
    /// # Errors
    ///
    /// The errors of the plan.
    pub fn plan_in(
        dialect: &dyn PlanDialect,
        bytes: Vec<u8>,
        base_revision: Option<u64>,
    ) -> Result<Command, Vec<PlanError>> {
        let plan = dialect.parse(&bytes)?;
        let revisions = Revisions::new(&plan, base_revision)?;
        Ok(Command::Plan {
            bytes,
            zones: plan.zones(),
            revisions,
        })
    }

    /// The command that applies a change in this dialect to `plan`, which was accepted as `base`. Where
    /// operators count plans by revisions, `base_revision` is the one that the change builds on.
    ///
    /// # Errors
    ///
    /// The errors of the change or of the changed plan.
    pub fn change_in(
        dialect: &dyn PlanDialect,
        bytes: Vec<u8>,
        base: ConfigEpoch,
        plan: &[u8],
        base_revision: Option<u64>,
    ) -> Result<Command, Vec<PlanError>> {
        let merged = dialect.merge(plan, &bytes)?;
        let changed_plan = dialect.parse(&merged)?;
        let revisions = Revisions::new(&changed_plan, base_revision)?;
        let delta = Delta::between(plan, &merged);
        Ok(Command::Change {
            bytes,
            base,
            delta,
            zones: changed_plan.zones(),
            revisions,
        })
    }

    /// The same command, with further zones that may be withdrawn besides those that the plan names.
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
    /// The archived proposal, the body of a log entry.
    pub fn to_bytes(&self) -> Vec<u8> {
        rkyv::to_bytes::<rkyv::rancor::Error>(self)
            .expect("a proposal can be archived")
            .to_vec()
    }

    /// Reads an archived proposal; `None` if the bytes are none.
    pub(crate) fn from_bytes(body: &[u8]) -> Option<Proposal> {
        rkyv::from_bytes::<Proposal, rkyv::rancor::Error>(&aligned(body)).ok()
    }
}
