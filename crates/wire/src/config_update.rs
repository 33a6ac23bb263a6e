use crate::lease::Member;
use crate::message::Message;
use types::{ConfigEpoch, ZoneName, messages};

messages! {
    /// The configuration in force, except for the plan itself.
    #[derive(Eq)]
    pub struct ConfigUpdate {
        /// The newest epoch.
        pub epoch: ConfigEpoch,
        /// The epoch of the plan in force. A receiver that does not have the plan requests it.
        pub plan_epoch: ConfigEpoch,
        /// The withdrawn zones.
        pub withdrawn: Vec<ZoneName>,
        /// The members; `None` for a receiver that knows them, as it has an epoch of `members_since` or later.
        pub members: Option<Vec<Member>>,
        /// The epoch at which the members last changed.
        pub members_since: ConfigEpoch,
    }
}

/// The size limit of a plan's chunk in one message, in bytes.
const CHUNK_BYTES: usize = 256 << 10;

/// The size limit of a plan's delta in one message, in bytes. If a delta is larger, the plan is sent in chunks.
pub const MAX_DELTA_BYTES: usize = CHUNK_BYTES;

impl Message {
    /// The chunk of a plan that begins at `offset`, in bytes; `None` if that is beyond the end of the plan.
    pub fn plan_chunk(epoch: ConfigEpoch, plan: &[u8], offset: u64) -> Option<Message> {
        let rest = plan.get(usize::try_from(offset).ok()?..)?;
        let bytes = rest[..rest.len().min(CHUNK_BYTES)].to_vec();
        Some(Message::PlanChunk {
            epoch,
            offset,
            length: plan.len() as u64,
            bytes,
        })
    }
}
