//! The intervals and bounds that a replica goes by.

use types::Milliseconds;

/// The intervals, time-outs and bounds of a replica. All replicas of a chain must use the same.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Disks that a change must be on before it is committed: changes are taken only while the
    /// view has as many caught-up members.
    pub min_chain_length: usize,
    /// Voters wanted: followers get a vote while there are fewer. Votes are
    /// moved, but their number never falls.
    pub target_voters: usize,
    /// Time between two heartbeats of a replica.
    pub heartbeat_interval: Milliseconds,
    /// A replica whose heartbeats haven't come for this long is suspected to have failed.
    pub suspect_timeout: Milliseconds,
    /// How long a voter honours a lease that it granted to the tail, from when it granted it.
    pub lease_duration: Milliseconds,
    /// How long the tail counts on its lease, from when it asked for it. Shorter than
    /// [`Timing::lease_duration`], for clocks that run at different rates.
    pub holder_lease_duration: Milliseconds,
    /// The messages of a proposal of a view that aren't answered are sent again after this.
    pub proposal_retry_interval: Milliseconds,
    /// The vote of a voter unreachable for this long may go to a follower with another disk.
    pub voter_replacement_timeout: Milliseconds,
    /// The most bytes of changes that are forwarded again to a successor at once, and of committed
    /// changes that compaction keeps.
    pub catch_up_batch_bytes: usize,
    /// The size of a chunk of a snapshot in bytes; also the most bytes of changes that a follower
    /// is sent at once.
    pub snapshot_chunk_bytes: usize,
    /// A disk that leaves a write unsynced for this long counts as failed.
    pub disk_stall_timeout: Milliseconds,
    /// Changes that the head takes beyond the commit index; it rejects more, unchanged.
    pub max_in_flight_changes: u64,
    /// Changes a second that the head takes in the long run. With what the state machine remembers
    /// (4,096) it bounds from below the time in which a repeated change is known as one: 3,968 /
    /// 100 = 39.7 s, 9.9 times `ack_ms` of the users' small sites.
    pub max_changes_per_second: u64,
    /// Changes that the head takes at once beyond that.
    pub max_change_burst: u64,
    /// The log is compacted into a snapshot when it is longer than this, in bytes, and longer than
    /// twice the snapshot.
    pub compaction_threshold_bytes: usize,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            min_chain_length: 2,
            target_voters: 3,
            heartbeat_interval: Milliseconds(100),
            suspect_timeout: Milliseconds(800),
            lease_duration: Milliseconds(1000),
            holder_lease_duration: Milliseconds(800),
            proposal_retry_interval: Milliseconds(250),
            voter_replacement_timeout: Milliseconds(2000),
            catch_up_batch_bytes: 1 << 20,
            snapshot_chunk_bytes: 256 << 10,
            disk_stall_timeout: Milliseconds(1500),
            max_in_flight_changes: 64,
            max_changes_per_second: 100,
            max_change_burst: 128,
            compaction_threshold_bytes: 4 << 20,
        }
    }
}
