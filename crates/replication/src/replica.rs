//! One member of the chain: its state, and the dispatch of inputs to the parts, one file a concept.
//!
//! | file | concept |
//! | --- | --- |
//! | `interface`, `timing` | inputs, outputs, settings |
//! | `recovery`, `durability` | the start from what the disk holds; writes, and what must wait for them |
//! | `heartbeat` | who is reachable; what each tick does |
//! | `founding`, `view_planning`, `view_change` | the first view; which view should follow; Paxos, which decides it |
//! | `lease` | when the tail may answer; fencing |
//! | `chain`, `rate_limit` | append, forward, commit; how fast changes are taken |
//! | `catch_up`, `snapshot` | changes and snapshots for those that are behind; compaction |
//! | `drain` | members that are to stop |
//! | `fingerprint` | a digest of the state for the model checker |

use crate::messages::{Change, ChangeRequestId, ProposalNumber, ReplicationMessage, ViewProposal};
use crate::state_machine::StateMachine;
use crate::view::{View, Voter};
use std::collections::{BTreeMap, VecDeque};
use types::{Address, MonotonicInstant, SequenceNumber, ViewNumber};

mod catch_up;
mod chain;
mod drain;
mod durability;
mod fingerprint;
mod founding;
mod heartbeat;
mod interface;
mod lease;
mod rate_limit;
mod recovery;
mod snapshot;
mod timing;
mod view_change;
mod view_planning;

use heartbeat::PeerState;
pub use interface::{Input, Output, ReplicaState};
pub use recovery::{RecoveredRecords, RecoveryError};
pub use timing::Timing;

/// The view of a change that came before all that is kept.
const UNKNOWN_VIEW: ViewNumber = ViewNumber(u64::MAX);

/// One member of the chain, or a follower that is to become one.
///
/// Invariants:
/// - Nothing is promised, accepted, forwarded or committed before it is synced here.
/// - `log` is gapless and ends at `last`; `state_machine` is the state after `synced`, which is at
///   most `last`.
/// - The tail answers only while a majority of its view's voters have granted it a lease, and so
///   accept no view with another tail.
/// - A voter that has just started honours the lease that it may have granted before.
#[derive(Clone)]
pub struct Replica<C> {
    me: Voter,
    /// The addresses whose replicas vote on the first view.
    founders: Vec<Address>,
    /// Others, named by somebody who knows a newer view. They get heartbeats, and take part in
    /// nothing by that.
    contacts: Vec<Address>,
    timing: Timing,
    now: MonotonicInstant,

    /// On disk: the last decided view.
    view: View,
    /// On disk: the highest proposal number promised, and for which view.
    promised: (ViewNumber, ProposalNumber),
    /// On disk: the proposal that was accepted for the next view.
    accepted: Option<ViewProposal>,
    /// On disk: the last change before the log, with the view in which it was appended.
    log_start: (SequenceNumber, ViewNumber),
    /// On disk, up to `synced`: the changes after `base`.
    log: VecDeque<Change>,
    state_machine: C,

    /// The last change of the log, with its view.
    last: (SequenceNumber, ViewNumber),
    /// The last change that is synced and applied, with its view.
    synced: (SequenceNumber, ViewNumber),
    /// The last change known to be committed.
    commit_index: SequenceNumber,
    /// Whether this replica holds every change that was ever committed.
    is_caught_up: bool,
    /// Whether the disk takes writes.
    is_healthy: bool,
    /// Whether the disk held nothing at the start, and no change has come since.
    has_unused_disk: bool,

    /// The last heartbeats of others.
    peers: BTreeMap<Address, PeerState>,
    /// At the tail: whether more than half of the fleet's members hold leases.
    has_member_majority: bool,
    last_tick: MonotonicInstant,
    next_heartbeat: MonotonicInstant,
    /// When this incarnation began or its machine last woke: no heartbeat can have come before.
    listening_since: MonotonicInstant,
    /// Since when a majority of the voters has been reachable; `None` while too few are.
    majority_since: Option<MonotonicInstant>,

    writes: durability::WriteQueue,
    lease: lease::TailLease,
    view_change: view_change::ViewChange,
    forwarding: chain::Forwarding,
    catch_up: catch_up::CatchUp,
    drain: drain::DrainState,

    /// The outputs of the present step.
    outputs: Vec<Output>,
    /// Messages of this step to this replica itself.
    loopback: VecDeque<ReplicationMessage>,
}

impl<C: StateMachine> Replica<C> {
    /// Takes in one input at the instant `now`, and gives what is to be done, in order. Time never
    /// goes back: an earlier instant than the last one counts as that.
    pub fn step(&mut self, now: MonotonicInstant, input: Input) -> Vec<Output> {
        self.now = self.now.max(now);
        match input {
            Input::Message { from, message } => self.on_message(from, message),
            Input::Propose { number, body } => self.on_local_proposal(number, body),
            Input::Tick => self.on_tick(),
            Input::Written { id } => self.on_written(id),
            Input::DiskFailed => self.on_disk_failed(),
            Input::Drain => self.on_drain(),
        }
        while let Some(message) = self.loopback.pop_front() {
            self.on_message(self.me.address, message);
        }
        std::mem::take(&mut self.outputs)
    }

    /// The replicated state, after all changes synced here. To be shown to others only while
    /// [`Replica::may_respond`].
    pub fn state_machine(&self) -> &C {
        &self.state_machine
    }

    /// The last decided view that this replica knows; [`View::none`] before the founding.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The address and disk of this replica.
    pub fn me(&self) -> Voter {
        self.me
    }

    /// Names replicas that know a newer view: this one sends them heartbeats until it knows as
    /// much, since its own view and its settings may name nobody who is in the chain by now.
    pub fn learn_contacts(&mut self, view: ViewNumber, voters: &[Address]) {
        self.contacts = if view > self.view.epoch {
            voters.to_vec()
        } else {
            vec![]
        };
    }

    /// At the tail: whether more than half of the fleet's members, and of the members before the
    /// last change of the membership, hold leases. Heartbeats carry it to the head, which rejects
    /// changes that need it, see [`StateMachine::requires_member_majority`].
    pub fn set_has_member_majority(&mut self, has_member_majority: bool) {
        self.has_member_majority = has_member_majority;
    }

    /// Gives the output that answers a committed or rejected proposal, or `None` if this replica
    /// may no longer answer for the chain: the proposer then asks again.
    pub fn respond(
        &mut self,
        now: MonotonicInstant,
        request_id: ChangeRequestId,
        body: Vec<u8>,
    ) -> Option<Output> {
        if !self.may_respond(now) {
            return None;
        }
        Some(if request_id.origin == self.me.address {
            Output::Response {
                number: request_id.number,
                is_final: true,
                body,
            }
        } else {
            let message = ReplicationMessage::Response {
                number: request_id.number,
                is_final: true,
                body,
            };
            Output::Send {
                to: request_id.origin,
                message,
            }
        })
    }

    /// When its next heartbeat is due.
    pub fn next_heartbeat(&self) -> MonotonicInstant {
        self.next_heartbeat
    }

    /// Whether it proposes a view, catches up, or waits for its disk or its successor, so that
    /// [`Input::Tick`] is wanted more often than its heartbeats.
    pub fn is_busy(&self) -> bool {
        let is_waiting = self.view_change.attempt.is_some()
            || self.view_change.needed_since.is_some()
            || self.catch_up.download.is_some();
        is_waiting || !self.writes.pending_writes.is_empty() || self.commit_index < self.last.0
    }

    /// What it knows, for operators.
    pub fn state(&self) -> ReplicaState {
        ReplicaState {
            me: self.me,
            view: self.view.clone(),
            last: self.synced.0,
            commit_index: self.commit_index,
            may_respond: self.may_respond(self.now),
            is_healthy: self.is_healthy,
            last_seen: self
                .peers
                .iter()
                .map(|(address, peer)| (*address, self.now.since(peer.last_seen)))
                .collect(),
        }
    }

    pub(super) fn is_head(&self) -> bool {
        self.view.head() == Some(self.me)
    }

    pub(super) fn is_tail(&self) -> bool {
        self.view.tail() == Some(self.me)
    }

    /// Sends a message, or handles it within this step if it is to this replica itself.
    pub(super) fn send(&mut self, to: Address, message: ReplicationMessage) {
        if to == self.me.address {
            self.loopback.push_back(message);
        } else {
            self.outputs.push(Output::Send { to, message });
        }
    }

    /// Hands a message to the part that it concerns. A replica whose disk
    /// failed takes part in nothing.
    fn on_message(&mut self, from: Address, message: ReplicationMessage) {
        use ReplicationMessage as M;
        if !self.is_healthy {
            return;
        }
        match message {
            M::Heartbeat { .. } => self.on_heartbeat(from, message),
            M::Prepare { .. }
            | M::Promise { .. }
            | M::Accept { .. }
            | M::Accepted { .. }
            | M::ProposalRejected { .. }
            | M::Decided { .. } => self.on_view_message(from, message),
            M::LeaseRequest { .. } | M::LeaseGrant { .. } => self.on_lease_message(from, message),
            M::Forward { .. }
            | M::CatchUpTarget { .. }
            | M::Propose { .. }
            | M::ConfirmRejection { .. }
            | M::Response { .. } => self.on_chain_message(from, message),
            M::CatchUpRequest { .. }
            | M::CatchUpBatch { .. }
            | M::SnapshotOffer { .. }
            | M::SnapshotRequest { .. }
            | M::SnapshotChunk { .. } => self.on_catch_up_message(from, message),
            M::Draining { disk } => self.on_peer_draining(from, disk),
        }
    }

    fn on_view_message(&mut self, from: Address, message: ReplicationMessage) {
        match message {
            ReplicationMessage::Prepare {
                instance,
                proposal_number,
            } => self.on_prepare(from, instance, proposal_number),
            ReplicationMessage::Promise {
                instance,
                proposal_number,
                disk,
                accepted,
            } => self.on_promise(from, instance, proposal_number, disk, accepted),
            ReplicationMessage::Accept { proposal } => self.on_accept(from, proposal),
            ReplicationMessage::Accepted {
                instance,
                proposal_number,
                disk,
            } => self.on_accepted(from, instance, proposal_number, disk),
            ReplicationMessage::ProposalRejected { instance, promised } => {
                self.on_proposal_rejected(instance, promised);
            }
            ReplicationMessage::Decided { view } => self.install_view(view),
            other => unreachable!("not about a view: {other:?}"),
        }
    }

    fn on_lease_message(&mut self, from: Address, message: ReplicationMessage) {
        match message {
            ReplicationMessage::LeaseRequest {
                view,
                request_number,
            } => self.on_lease_request(from, view, request_number),
            ReplicationMessage::LeaseGrant {
                view,
                request_number,
                disk,
            } => self.on_lease_grant(view, request_number, disk),
            other => unreachable!("not about the lease: {other:?}"),
        }
    }

    fn on_chain_message(&mut self, from: Address, message: ReplicationMessage) {
        match message {
            ReplicationMessage::Forward { view, change } => self.on_forward(from, view, change),
            ReplicationMessage::CatchUpTarget { view, last } => {
                self.on_catch_up_target(from, view, last);
            }
            ReplicationMessage::Propose { request_id, body } => self.on_propose(request_id, body),
            ReplicationMessage::ConfirmRejection {
                view,
                request_id,
                last,
                body,
            } => self.on_confirm_rejection(from, view, request_id, last, body),
            ReplicationMessage::Response {
                number,
                is_final,
                body,
            } => self.outputs.push(Output::Response {
                number,
                is_final,
                body,
            }),
            other => unreachable!("not about a change: {other:?}"),
        }
    }

    fn on_catch_up_message(&mut self, from: Address, message: ReplicationMessage) {
        match message {
            ReplicationMessage::CatchUpRequest {
                disk,
                last,
                origin_view,
            } => self.on_catch_up_request(from, disk, last, origin_view),
            ReplicationMessage::CatchUpBatch { changes } => self.on_catch_up_batch(from, changes),
            ReplicationMessage::SnapshotOffer {
                last,
                origin_view,
                length,
            } => self.on_snapshot_offer(from, last, origin_view, length),
            ReplicationMessage::SnapshotRequest { last, offset } => {
                self.on_snapshot_request(from, last, offset);
            }
            ReplicationMessage::SnapshotChunk {
                last,
                origin_view,
                offset,
                length,
                bytes,
            } => self.on_snapshot_chunk(from, last, origin_view, offset, length, bytes),
            other => unreachable!("not about catch-up: {other:?}"),
        }
    }
}

#[cfg(test)]
mod tests;
