use crate::messages::{
    Change, ChangeRequestId, ProposalNumber, Record, ReplicationMessage, ViewProposal,
};
use crate::state_machine::StateMachine;
use crate::view::{View, Voter};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use types::{Address, DiskId, Milliseconds, MonotonicInstant, SequenceNumber, ViewNumber};

mod ballots;
mod chain;
mod fingerprint;
mod leaving;
mod pacing;
mod repair;

/// The spans that a replica goes by. All replicas of a core use the same.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Disks that a change is on before it is replied: changes enter only while the chain has as many.
    pub min_chain_length: usize,
    /// Voters wanted: a follower's vote is added while there are fewer. Never taken away again.
    pub target_voters: usize,
    /// Between beats.
    pub heartbeat_interval: Milliseconds,
    /// Unheard for this long, a replica is taken for gone.
    pub suspect_timeout: Milliseconds,
    /// How long a voter keeps its word to the tail.
    pub lease_duration: Milliseconds,
    /// How long the tail itself counts on it, from when it asked: less, for clocks that run apart.
    pub holder_lease_duration: Milliseconds,
    /// A ballot's notes are sent again after this.
    pub proposal_retry_interval: Milliseconds,
    /// A voter unheard for this long may be replaced by a follower with another disk.
    pub voter_replacement_timeout: Milliseconds,
    /// Changes sent at once to one that is behind, in bytes.
    pub catch_up_batch_bytes: usize,
    /// A piece of a snapshot, in bytes.
    pub snapshot_chunk_bytes: usize,
    /// A disk that leaves a write unsynced for this long is taken for one that takes none.
    pub disk_stall_timeout: Milliseconds,
    /// Changes that the head lets in beyond those replied to; more are turned away unchanged.
    pub max_in_flight_changes: u64,
    /// Changes that the head lets in a second, for long. With what the state machine remembers (4,096) it bounds from
    /// below the time in which a repeat is known as one: 3,968 / 100 = 39.7 s, 9.9 times `ack_ms` of the users'
    /// small sites.
    pub max_changes_per_second: u64,
    /// Changes that the head lets in at once beyond that.
    pub max_change_burst: u64,
    /// The log is folded into a snapshot when it's longer than this, in bytes, and than the snapshot.
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

/// What a replica is told.
#[derive(Debug, Clone)]
pub enum Input {
    /// A note came.
    Message {
        /// From this address.
        from: Address,
        /// The note.
        message: ReplicationMessage,
    },
    /// Someone here proposes a body; the answer comes as [`Output::Response`] with this number.
    Propose {
        /// The number. No other proposal of this machine may have it, nor one of an earlier life: responses
        /// may come late.
        number: u64,
        /// The body.
        body: Vec<u8>,
    },
    /// Time has passed; said at least once a beat.
    Tick,
    /// All writes up to this one are synced.
    Written {
        /// Its id.
        id: u64,
    },
    /// The disk refused a write. The replica steps out; whoever runs it makes a new one of what the
    /// disk holds once the disk takes writes again.
    DiskFailed,
    /// This machine is to stop: it asks for a view without its seat, and for its vote to be taken over
    /// where somebody is there for it. See [`Replica::has_handed_over`].
    Drain,
}

/// What a replica wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send a note; it may be lost.
    Send {
        /// To this address.
        to: Address,
        /// The note.
        message: ReplicationMessage,
    },
    /// Write these, in order of ids, sync, then say [`Input::Written`].
    Write {
        /// The id.
        id: u64,
        /// What.
        records: Vec<Record>,
        /// Whether they replace all that was written before.
        replaces_all: bool,
    },
    /// The answer to a proposal made here.
    Response {
        /// Its number.
        number: u64,
        /// Whether the core took it up.
        is_final: bool,
        /// The state machine's answer.
        body: Vec<u8>,
    },
    /// At the tail: this change is on every member's disk. Whoever runs the tail gives the answer
    /// with [`Replica::respond`], at once or when its own conditions hold.
    Committed {
        /// Who waits.
        request_id: ChangeRequestId,
        /// The state machine's answer.
        body: Vec<u8>,
    },
    /// At the tail: this proposal can't be taken, by a state that is on every member's disk. Answered as
    /// [`Output::Committed`] is.
    ChangeRejected {
        /// Who waits.
        request_id: ChangeRequestId,
        /// The state machine's answer.
        body: Vec<u8>,
    },
    /// The chain or the voters changed.
    ViewChanged(View),
}

/// What a disk gave back: records in the order they were written.
#[derive(Debug, Clone, Default)]
pub struct RecoveredRecords {
    /// All of them since the last whole write.
    pub records: Vec<Record>,
}

/// Why what a disk gave back can't be used. Nothing of it is served.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RecoveryError {
    /// The snapshot is not one of the state machine's.
    #[error("the snapshot up to change {0} can't be read")]
    Snapshot(SequenceNumber),
    /// Changes are missing before this one.
    #[error("changes are missing before change {0}")]
    Gap(SequenceNumber),
}

/// What a replica believes, for operators.
#[derive(Debug, Clone)]
pub struct ReplicaState {
    /// Itself.
    pub me: Voter,
    /// The view.
    pub view: View,
    /// The last change on its disk.
    pub last: SequenceNumber,
    /// The last change known to be replied.
    pub commit_index: SequenceNumber,
    /// Whether it may answer now.
    pub may_respond: bool,
    /// Whether its disk takes writes.
    pub is_healthy: bool,
    /// Who was heard lately, and how long ago.
    pub last_seen: Vec<(Address, Milliseconds)>,
}

/// The stamp of a change that came before all that is kept.
const UNKNOWN_STAMP: ViewNumber = ViewNumber(u64::MAX);

/// One machine of the core.
///
/// Invariants:
/// - Nothing is promised, accepted, passed on or replied before it is synced here.
/// - `log` is gapless and ends at `last`; `state_machine` is the state after `synced`, which is at most
///   `last`.
/// - The tail answers only while a majority of its view's voters have given their word to accept
///   no view with another tail.
/// - A voter that has just started keeps the word that it may have given before.
#[derive(Clone)]
pub struct Replica<C> {
    me: Voter,
    founders: Vec<Address>,
    /// Others that it was told of by whoever knows a newer view. They take part in nothing by that.
    contacts: Vec<Address>,
    timing: Timing,
    now: MonotonicInstant,
    // On disk.
    view: View,
    promised: (ViewNumber, ProposalNumber),
    accepted: Option<ViewProposal>,
    base: (SequenceNumber, ViewNumber),
    log: VecDeque<Change>,
    state_machine: C,
    // What follows from it.
    last: (SequenceNumber, ViewNumber),
    synced: (SequenceNumber, ViewNumber),
    commit_index: SequenceNumber,
    is_caught_up: bool,
    is_healthy: bool,
    is_fresh: bool,
    // Writing.
    next_write: u64,
    unsynced: VecDeque<(u64, MonotonicInstant)>,
    deferred: VecDeque<(u64, Deferred)>,
    incarnation: u64,
    log_bytes: usize,
    snapshot_bytes: usize,
    // Others.
    heard: BTreeMap<Address, Heard>,
    has_member_majority: bool,
    last_event: MonotonicInstant,
    next_heartbeat: MonotonicInstant,
    // Lease of the tail.
    granted_until: MonotonicInstant,
    silent_until: MonotonicInstant,
    has_released: bool,
    paused_until: MonotonicInstant,
    /// Counted from when this life began, so that no grant to an earlier one is taken for its own.
    ask_round: u64,
    asked_at: MonotonicInstant,
    grants: BTreeSet<DiskId>,
    lease_deadline: MonotonicInstant,
    // Ballots.
    bid: Option<Bid>,
    top_count: u64,
    wanted_since: Option<MonotonicInstant>,
    not_before: MonotonicInstant,
    /// When this life began or its machine last woke: nobody can have been heard before.
    listens_since: MonotonicInstant,
    // Chain. `early`: passed to this one before what comes in front of it.
    early: BTreeMap<SequenceNumber, Change>,
    pace: pacing::Pace,
    /// The last change passed on, and when it's taken for lost.
    passed: (SequenceNumber, MonotonicInstant),
    successor_moved: (SequenceNumber, MonotonicInstant),
    // Repair.
    followers: BTreeMap<Voter, Follower>,
    snapshot: Option<Offered>,
    fetching: Option<Fetching>,
    /// The write of a fetched snapshot that isn't synced yet. Until it is, a restart gives back what was there before.
    snapshot_write: Option<u64>,
    // Leaving. `leaving`: others that said so, and when.
    draining_since: Option<MonotonicInstant>,
    leaving: BTreeMap<Voter, MonotonicInstant>,
    // This step.
    outputs: Vec<Output>,
    to_self: VecDeque<ReplicationMessage>,
}

#[derive(Debug, Clone, Hash)]
enum Deferred {
    Send(Address, ReplicationMessage),
    Apply(u64, Change),
}

#[derive(Debug, Clone)]
struct Heard {
    at: MonotonicInstant,
    disk: DiskId,
    view: ViewNumber,
    last: SequenceNumber,
    /// The view in which that change was let in: with its number, it names one change.
    origin_view: ViewNumber,
    is_caught_up: bool,
    is_healthy: bool,
    has_member_majority: bool,
}

#[derive(Debug, Clone)]
struct Bid {
    proposal_number: ProposalNumber,
    /// At the founding: which disk each founder promised with.
    founders: BTreeMap<Address, DiskId>,
    promises: BTreeMap<DiskId, Option<ViewProposal>>,
    proposal: Option<ViewProposal>,
    accepts: BTreeSet<DiskId>,
    sent: MonotonicInstant,
    deadline: MonotonicInstant,
}

#[derive(Debug, Clone)]
struct Follower {
    last: SequenceNumber,
    heard: MonotonicInstant,
    /// The last change that was sent to it, and until when that is taken to be on its way.
    fed: SequenceNumber,
    fed_deadline: MonotonicInstant,
    patience: Milliseconds,
}

/// A snapshot that followers fetch by pieces. It stays as it is while changes go on.
#[derive(Debug, Clone)]
struct Offered {
    last: SequenceNumber,
    origin_view: ViewNumber,
    bytes: Vec<u8>,
    /// When it was last offered or a piece of it asked for.
    asked: MonotonicInstant,
}

#[derive(Debug, Clone)]
struct Fetching {
    last: SequenceNumber,
    origin_view: ViewNumber,
    bytes: Vec<u8>,
    length: u64,
    asked: MonotonicInstant,
    /// Whether it was asked for again since its last piece.
    is_silent: bool,
    /// Without a piece for this long, it's asked for again.
    patience: Milliseconds,
}

impl<C: StateMachine> Replica<C> {
    /// A replica at the start of its life, from what its disk holds; `empty` is the state machine's first
    /// state. It takes part in a founding if it's told now that it is one of `founders` and its disk is empty,
    /// or if its disk says that it was told so when it was.
    pub fn new(
        me: Voter,
        founders: Vec<Address>,
        timing: Timing,
        kept: RecoveredRecords,
        empty: C,
        now: MonotonicInstant,
    ) -> Result<Self, RecoveryError> {
        let is_fresh = kept.records.is_empty();
        let mut replica = Replica {
            me,
            founders,
            contacts: vec![],
            timing,
            now,
            view: View::none(),
            promised: Default::default(),
            accepted: None,
            base: Default::default(),
            log: VecDeque::new(),
            state_machine: empty,
            last: Default::default(),
            synced: Default::default(),
            commit_index: SequenceNumber(0),
            is_caught_up: false,
            is_healthy: true,
            is_fresh,
            next_write: 0,
            unsynced: VecDeque::new(),
            deferred: VecDeque::new(),
            incarnation: 0,
            log_bytes: 0,
            snapshot_bytes: 0,
            heard: BTreeMap::new(),
            has_member_majority: false,
            last_event: now,
            next_heartbeat: now,
            granted_until: MonotonicInstant(0),
            silent_until: if is_fresh {
                now
            } else {
                now + timing.lease_duration
            },
            has_released: false,
            paused_until: now,
            ask_round: now.0,
            asked_at: MonotonicInstant(0),
            grants: BTreeSet::new(),
            lease_deadline: MonotonicInstant(0),
            bid: None,
            top_count: 0,
            wanted_since: None,
            not_before: now + timing.suspect_timeout,
            listens_since: now,
            early: BTreeMap::new(),
            pace: pacing::Pace::full(&timing, now),
            passed: (SequenceNumber(0), MonotonicInstant(0)),
            successor_moved: (SequenceNumber(0), now),
            followers: BTreeMap::new(),
            snapshot: None,
            fetching: None,
            snapshot_write: None,
            draining_since: None,
            leaving: BTreeMap::new(),
            outputs: vec![],
            to_self: VecDeque::new(),
        };
        for record in kept.records {
            replica.recall(record)?;
        }
        if replica
            .log
            .back()
            .is_some_and(|newest| newest.seq < replica.last.0)
        {
            // A log older than the snapshot has nothing that follows on it.
            replica.log.clear();
            replica.log_bytes = 0;
            replica.base = replica.last;
        }
        if replica.view.epoch == ViewNumber(0) && replica.promised.0 == ViewNumber(1) {
            replica.founders.push(me.address);
        }
        replica.founders.sort();
        replica.founders.dedup();
        replica.top_count = replica.promised.1.count;
        replica.has_released = replica.promised.0 == replica.view.epoch.next()
            && replica.promised.1.proposer == me.disk.0;
        replica.synced = replica.last;
        replica.is_caught_up = replica
            .view
            .position(&me)
            .is_some_and(|position| position.is_caught_up);
        if replica.is_tail() && replica.is_caught_up {
            replica.commit_index = replica.synced.0;
        }
        Ok(replica)
    }

    fn recall(&mut self, record: Record) -> Result<(), RecoveryError> {
        match record {
            Record::Promised {
                instance,
                proposal_number,
            } => self.promised = (instance, proposal_number),
            Record::Accepted { proposal } => {
                self.promised = (proposal.view.epoch, proposal.proposal_number);
                self.accepted = Some(proposal);
            }
            Record::View { view } => self.take_view(view),
            Record::Change { change } => {
                let newest = self.log.back().map(|newest| newest.seq);
                if newest.is_some_and(|newest| newest.next() != change.seq)
                    || change.seq > self.last.0.next()
                {
                    return Err(RecoveryError::Gap(change.seq));
                }
                if newest.is_none() && change.seq <= self.base.0 {
                    // The log reaches back behind the snapshot; what came before it has no stamp here.
                    self.base = (SequenceNumber(change.seq.0 - 1), UNKNOWN_STAMP);
                }
                if change.seq > self.last.0 {
                    self.state_machine.apply(&change.body);
                    self.last = (change.seq, change.origin_view);
                }
                self.log_bytes += change.body.len();
                self.log.push_back(change);
            }
            Record::Snapshot {
                last,
                origin_view,
                body,
            } => {
                self.state_machine = C::restore(&body).ok_or(RecoveryError::Snapshot(last))?;
                self.log.clear();
                self.log_bytes = 0;
                self.snapshot_bytes = body.len();
                self.base = (last, origin_view);
                self.last = (last, origin_view);
            }
        }
        Ok(())
    }

    fn take_view(&mut self, view: View) {
        if self
            .accepted
            .as_ref()
            .is_some_and(|proposal| proposal.view.epoch <= view.epoch)
        {
            self.accepted = None;
        }
        self.view = view;
    }

    /// Takes an input in; gives what is to be done.
    pub fn step(&mut self, now: MonotonicInstant, input: Input) -> Vec<Output> {
        self.now = self.now.max(now);
        match input {
            Input::Message { from, message } => self.on_note(from, message),
            Input::Propose { number, body } => self.on_propose_here(number, body),
            Input::Tick => self.on_clock_event(),
            Input::Written { id } => self.on_written(id),
            Input::DiskFailed => self.on_disk_fault(),
            Input::Drain => self.on_leave(),
        }
        while let Some(message) = self.to_self.pop_front() {
            self.on_note(self.me.address, message);
        }
        std::mem::take(&mut self.outputs)
    }

    /// What is replicated. Only to be shown to others while [`Replica::may_respond`].
    pub fn state_machine(&self) -> &C {
        &self.state_machine
    }
    /// The view that it knows.
    pub fn view(&self) -> &View {
        &self.view
    }
    /// Itself.
    pub fn me(&self) -> Voter {
        self.me
    }
    /// Whether it may answer for the core at this moment: to be asked right before each answer.
    pub fn may_respond(&self, now: MonotonicInstant) -> bool {
        self.is_healthy && self.is_tail() && self.is_caught_up && now < self.lease_deadline
    }
    /// Whether this replica heard a majority of the view's voters lately, itself included. One that did not is cut
    /// off or alone, and can neither read nor propose; one that has just started had no time to hear anybody.
    pub fn has_reachable_majority(&self, now: MonotonicInstant) -> bool {
        let is_heard = |voter: &Voter| {
            let heard = self.heard.get(&voter.address);
            *voter == self.me
                || heard.is_some_and(|heard| now.since(heard.at) < self.timing.suspect_timeout)
        };
        let count = self
            .view
            .voters
            .iter()
            .filter(|voter| is_heard(voter))
            .count();
        now < self.listens_since + self.timing.suspect_timeout || count >= self.view.majority()
    }
    /// Whether it has a seat in the chain, a disk that takes writes, and hears a majority: operators are well served
    /// here, even where the answer comes from the tail.
    pub fn is_serving(&self, now: MonotonicInstant) -> bool {
        self.is_healthy && self.view.contains(&self.me) && self.has_reachable_majority(now)
    }
    /// Tells it of others that know a newer view: it beats to them until it knows as much, since its own view and
    /// its settings may name nobody who is in the core by now.
    pub fn learn_contacts(&mut self, view: ViewNumber, voters: &[Address]) {
        self.contacts = if view > self.view.epoch {
            voters.to_vec()
        } else {
            vec![]
        };
    }
    /// The tail's word on whether more than half of the members hold leases.
    pub fn set_has_member_majority(&mut self, has_member_majority: bool) {
        self.has_member_majority = has_member_majority;
    }
    /// Gives the answer to a settled change, if this replica may still answer.
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
    /// When its next beat is due.
    pub fn next_heartbeat(&self) -> MonotonicInstant {
        self.next_heartbeat
    }
    /// Whether it bids for a view, repairs, or waits for its disk or its successor, so that clock events
    /// are wanted more often than its beats.
    pub fn is_busy(&self) -> bool {
        let is_waiting =
            self.bid.is_some() || self.wanted_since.is_some() || self.fetching.is_some();
        is_waiting || !self.unsynced.is_empty() || self.commit_index < self.last.0
    }
    /// What it believes.
    pub fn state(&self) -> ReplicaState {
        ReplicaState {
            me: self.me,
            view: self.view.clone(),
            last: self.synced.0,
            commit_index: self.commit_index,
            may_respond: self.may_respond(self.now),
            is_healthy: self.is_healthy,
            last_seen: self
                .heard
                .iter()
                .map(|(address, h)| (*address, self.now.since(h.at)))
                .collect(),
        }
    }

    /// Whether the disk holds a write up.
    fn is_stalled(&self) -> bool {
        self.unsynced
            .front()
            .is_some_and(|(_, at)| self.now.since(*at) >= self.timing.disk_stall_timeout)
    }
    fn is_head(&self) -> bool {
        self.view.head() == Some(self.me)
    }
    fn is_tail(&self) -> bool {
        self.view.tail() == Some(self.me)
    }

    fn send(&mut self, to: Address, message: ReplicationMessage) {
        if to == self.me.address {
            self.to_self.push_back(message);
        } else {
            self.outputs.push(Output::Send { to, message });
        }
    }

    fn write(&mut self, record: Record, then: Option<Deferred>) {
        self.write_all(vec![record], false, then);
    }

    fn write_all(&mut self, records: Vec<Record>, replaces_all: bool, then: Option<Deferred>) {
        self.next_write += 1;
        let id = self.next_write;
        self.outputs.push(Output::Write {
            id,
            records,
            replaces_all,
        });
        self.unsynced.push_back((id, self.now));
        if let Some(then) = then {
            self.deferred.push_back((id, then));
        }
    }

    fn on_written(&mut self, id: u64) {
        while self
            .unsynced
            .front()
            .is_some_and(|(waiting, _)| *waiting <= id)
        {
            self.unsynced.pop_front();
        }
        self.snapshot_write = self.snapshot_write.filter(|waiting| *waiting > id);
        while self
            .deferred
            .front()
            .is_some_and(|(waiting, _)| *waiting <= id)
        {
            match self.deferred.pop_front() {
                Some((_, Deferred::Send(to, message))) => self.send(to, message),
                Some((_, Deferred::Apply(incarnation, change)))
                    if incarnation == self.incarnation =>
                {
                    self.on_change_synced(change)
                }
                _ => {}
            }
        }
    }

    fn on_disk_fault(&mut self) {
        self.is_healthy = false;
        self.lease_deadline = MonotonicInstant(0);
        self.deferred.clear();
        self.unsynced.clear();
        self.bid = None;
        self.heartbeat();
    }

    fn on_clock_event(&mut self) {
        if self.now.since(self.last_event) > Milliseconds(self.timing.suspect_timeout.0 / 2) {
            // This machine slept. Nobody is to be taken for gone before there was time to hear it.
            let now = self.now;
            self.heard.values_mut().for_each(|h| h.at = now);
            self.unsynced.iter_mut().for_each(|(_, at)| *at = now);
            self.successor_moved.1 = now;
            self.not_before = now + self.timing.suspect_timeout;
            self.listens_since = now;
        }
        self.last_event = self.now;
        if self.now >= self.next_heartbeat {
            self.next_heartbeat = self.now + self.timing.heartbeat_interval;
            self.heartbeat();
            if self.is_healthy {
                self.ask_lease();
                self.follow();
                self.pass_again();
            }
        }
        if self.is_healthy {
            self.found();
            self.propose_view();
            self.push_bid();
            self.consider();
            self.fold();
        }
    }

    fn heartbeat(&mut self) {
        let message = ReplicationMessage::Heartbeat {
            disk: self.me.disk,
            view: self.view.epoch,
            last: self.synced.0,
            origin_view: self.synced.1,
            commit_index: self.commit_index,
            is_caught_up: self.is_caught_up,
            is_healthy: self.is_healthy && !self.is_stalled() && !self.is_deaf(),
            has_member_majority: self.has_member_majority,
        };
        for address in self.others() {
            self.outputs.push(Output::Send {
                to: address,
                message: message.clone(),
            });
        }
        self.tell_leaving();
    }

    /// Everyone that a replica knows of, without itself.
    fn others(&self) -> BTreeSet<Address> {
        let mut all: BTreeSet<Address> = self
            .founders
            .iter()
            .chain(&self.contacts)
            .copied()
            .collect();
        all.extend(self.view.voters.iter().map(|v| v.address));
        all.extend(self.view.chain.iter().map(|s| s.voter.address));
        let lately =
            |h: &Heard| self.now.since(h.at) < Milliseconds(self.timing.suspect_timeout.0 * 4);
        all.extend(
            self.heard
                .iter()
                .filter(|(_, h)| lately(h))
                .map(|(a, _)| *a),
        );
        all.remove(&self.me.address);
        all
    }

    fn on_note(&mut self, from: Address, message: ReplicationMessage) {
        if !self.is_healthy {
            return;
        }
        match message {
            ReplicationMessage::Heartbeat {
                disk,
                view,
                last,
                origin_view,
                commit_index,
                is_caught_up,
                is_healthy,
                has_member_majority,
            } => {
                let heard = Heard {
                    at: self.now,
                    disk,
                    view,
                    last,
                    origin_view,
                    is_caught_up,
                    is_healthy,
                    has_member_majority,
                };
                self.heard.insert(from, heard);
                if view < self.view.epoch {
                    let message = ReplicationMessage::Decided {
                        view: self.view.clone(),
                    };
                    self.send(from, message);
                }
                self.on_chain_beat(from, disk, view, last, commit_index, is_caught_up);
            }
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
                self.on_outdone(instance, promised)
            }
            ReplicationMessage::Decided { view } => self.adopt(view),
            ReplicationMessage::LeaseRequest {
                view,
                request_number,
            } => self.on_lease_ask(from, view, request_number),
            ReplicationMessage::LeaseGrant {
                view,
                request_number,
                disk,
            } => self.on_lease_grant(view, request_number, disk),
            ReplicationMessage::Forward { view, change } => self.on_pass(from, view, change),
            ReplicationMessage::CatchUpTarget { view, last } => self.on_level(from, view, last),
            ReplicationMessage::CatchUpRequest {
                disk,
                last,
                origin_view,
            } => self.on_follow(from, disk, last, origin_view),
            ReplicationMessage::CatchUpBatch { changes } => self.on_feed(from, changes),
            ReplicationMessage::SnapshotOffer {
                last,
                origin_view,
                length,
            } => self.on_snapshot_offer(from, last, origin_view, length),
            ReplicationMessage::SnapshotRequest { last, offset } => {
                self.on_snapshot_ask(from, last, offset)
            }
            ReplicationMessage::SnapshotChunk {
                last,
                origin_view,
                offset,
                length,
                bytes,
            } => {
                self.on_snapshot_piece(from, last, origin_view, offset, length, bytes);
            }
            ReplicationMessage::Propose { request_id, body } => self.on_propose(request_id, body),
            ReplicationMessage::ConfirmRejection {
                view,
                request_id,
                last,
                body,
            } => self.on_judge(from, view, request_id, last, body),
            ReplicationMessage::Draining { disk } => self.on_leaving(from, disk),
            ReplicationMessage::Response {
                number,
                is_final,
                body,
            } => {
                self.outputs.push(Output::Response {
                    number,
                    is_final,
                    body,
                });
            }
        }
    }

    /// Whether it hears too few voters for anything to be agreed here. It says so with its beats: those
    /// whom it reaches would wait for it for as long as its line is cut one way.
    fn is_deaf(&self) -> bool {
        !self.view.voters.is_empty() && !self.has_reachable_majority(self.now)
    }

    /// Whether this voter was heard lately, with the disk that it votes with, and takes writes.
    fn is_alive(&self, voter: &Voter) -> bool {
        if *voter == self.me {
            return self.is_healthy && !self.is_stalled();
        }
        self.heard.get(&voter.address).is_some_and(|h| {
            h.disk == voter.disk
                && h.is_healthy
                && self.now.since(h.at) < self.timing.suspect_timeout
        })
    }
}

#[cfg(test)]
mod tests;
