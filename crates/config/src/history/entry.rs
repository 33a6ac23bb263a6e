use crate::command::{Command, Proposal};
use types::{Address, ConfigEpoch, Delta, ZoneName, messages};

messages! {
    /// What the history records of an accepted command: enough to tell a retry from another command with the
    /// same id. The bytes of plans and changes are kept apart, as long as there is room for them.
    #[derive(Eq)]
    pub enum RecordedCommand {
        /// A plan.
        Plan {
            /// The BLAKE3 hash of the plan as it was sent.
            hash: [u8; 32],
        },
        /// A change.
        Change {
            /// The BLAKE3 hash of the change as it was sent.
            hash: [u8; 32],
        },
        /// The withdrawal of a zone.
        Withdraw {
            /// The name of the zone.
            zone: ZoneName,
        },
        /// The restoration of a zone.
        Restore {
            /// The name of the zone.
            zone: ZoneName,
        },
        /// The removal of lost members.
        ForceRemove {
            /// The addresses of the members.
            members: Vec<Address>,
        },
    }

    /// An accepted command of operators.
    #[derive(Eq)]
    pub struct Entry {
        /// The epoch that the command was accepted as.
        pub epoch: ConfigEpoch,
        /// The operator's id for the command.
        pub id: String,
        /// The epoch that the command built on, if it named one.
        pub builds_on: Option<ConfigEpoch>,
        /// The revision that a plan or change built on, where operators count plans by revisions.
        pub base_revision: Option<u64>,
        /// The command.
        pub command: RecordedCommand,
    }

    /// The delta from a plan back to the previous one.
    #[derive(Eq)]
    pub struct ReverseDelta {
        /// The epoch of the plan that the delta starts from.
        pub epoch: ConfigEpoch,
        /// The delta.
        pub delta: Delta,
    }

    /// A change as it was sent.
    #[derive(Eq)]
    pub struct OriginalChange {
        /// The epoch that the change was accepted as.
        pub epoch: ConfigEpoch,
        /// The bytes of the change.
        pub bytes: Vec<u8>,
    }

    /// What must still be known of the entries that were compacted.
    #[derive(Default, Copy, Eq)]
    pub struct CompactionPoint {
        /// The epoch of the newest compacted entry; 0 if none was compacted.
        pub epoch: ConfigEpoch,
        /// The newest revision that a compacted plan or change built on.
        pub base_revision: Option<u64>,
    }
}

impl RecordedCommand {
    /// What is recorded of a command; `None` for a command of the core.
    pub(crate) fn new(command: &Command) -> Option<RecordedCommand> {
        let hash = |bytes: &[u8]| *blake3::hash(bytes).as_bytes();
        Some(match command {
            Command::Plan { bytes, .. } => RecordedCommand::Plan { hash: hash(bytes) },
            Command::Change { bytes, .. } => RecordedCommand::Change { hash: hash(bytes) },
            Command::Withdraw { zone } => RecordedCommand::Withdraw { zone: zone.clone() },
            Command::Restore { zone } => RecordedCommand::Restore { zone: zone.clone() },
            Command::ForceRemove { members } => RecordedCommand::ForceRemove {
                members: members.clone(),
            },
            Command::Join { .. }
            | Command::Retire { .. }
            | Command::FinalizeMembership { .. }
            | Command::SetTokenKey { .. } => return None,
        })
    }
}

impl Entry {
    /// Whether a proposal is a retry of the accepted one. The delta of a change does not count: when the change
    /// is merged again, the delta may be another.
    pub(crate) fn is_repeated_by(&self, other: &Proposal) -> bool {
        let is_same_command =
            RecordedCommand::new(&other.command).is_some_and(|command| command == self.command);
        is_same_command && self.id == other.id && self.builds_on == other.builds_on
    }
}
