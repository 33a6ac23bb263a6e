use crate::notes::{Ballot, Change, Note, Record, Round, Ticket};
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
    pub copies: usize,
    /// Voters wanted: a follower's vote is added while there are fewer. Never taken away again.
    pub voters: usize,
    /// Between beats.
    pub beat: Milliseconds,
    /// Unheard for this long, a replica is taken for gone.
    pub suspect: Milliseconds,
    /// How long a voter keeps its word to the tail.
    pub lease: Milliseconds,
    /// How long the tail itself counts on it, from when it asked: less, for clocks that run apart.
    pub lease_counted: Milliseconds,
    /// A ballot's notes are sent again after this.
    pub retry: Milliseconds,
    /// A voter unheard for this long may be replaced by a follower with another disk.
    pub replace_after: Milliseconds,
    /// Changes sent at once to one that is behind, in bytes.
    pub feed_bytes: usize,
    /// A piece of a snapshot, in bytes.
    pub piece_bytes: usize,
    /// A disk that leaves a write unsynced for this long is taken for one that takes none.
    pub stall: Milliseconds,
    /// Changes that the head lets in beyond those replied to; more are turned away unchanged.
    pub ahead: u64,
    /// Changes that the head lets in a second, for long. With what the state machine remembers (4,096) it bounds from
    /// below the time in which a repeat is known as one: 3,968 / 100 = 39.7 s, 9.9 times `ack_ms` of the users'
    /// small sites.
    pub changes_per_second: u64,
    /// Changes that the head lets in at once beyond that.
    pub burst: u64,
    /// The log is folded into a snapshot when it's longer than this, in bytes, and than the snapshot.
    pub fold_bytes: usize,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            copies: 2,
            voters: 3,
            beat: Milliseconds(100),
            suspect: Milliseconds(800),
            lease: Milliseconds(1000),
            lease_counted: Milliseconds(800),
            retry: Milliseconds(250),
            replace_after: Milliseconds(2000),
            feed_bytes: 1 << 20,
            piece_bytes: 256 << 10,
            stall: Milliseconds(1500),
            ahead: 64,
            changes_per_second: 100,
            burst: 128,
            fold_bytes: 4 << 20,
        }
    }
}

/// What a replica is told.
#[derive(Debug, Clone)]
pub enum Input {
    /// A note came.
    Note {
        /// From this address.
        from: Address,
        /// The note.
        note: Note,
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
    ClockEvent,
    /// All writes up to this one are synced.
    Written {
        /// Its id.
        id: u64,
    },
    /// The disk refused a write. The replica steps out; whoever runs it makes a new one of what the
    /// disk holds once the disk takes writes again.
    DiskFault,
    /// This machine is to stop: it asks for a view without its seat, and for its vote to be taken over
    /// where somebody is there for it. See [`Replica::has_handed_over`].
    Leave,
}

/// What a replica wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send a note; it may be lost.
    Send {
        /// To this address.
        to: Address,
        /// The note.
        note: Note,
    },
    /// Write these, in order of ids, sync, then say [`Input::Written`].
    Write {
        /// The id.
        id: u64,
        /// What.
        records: Vec<Record>,
        /// Whether they replace all that was written before.
        is_whole: bool,
    },
    /// The answer to a proposal made here.
    Response {
        /// Its number.
        number: u64,
        /// Whether the core took it up.
        is_replied: bool,
        /// The state machine's answer.
        body: Vec<u8>,
    },
    /// At the tail: this change is on every member's disk. Whoever runs the tail gives the answer
    /// with [`Replica::respond`], at once or when its own conditions hold.
    Settled {
        /// Who waits.
        ticket: Ticket,
        /// The state machine's answer.
        body: Vec<u8>,
    },
    /// At the tail: this proposal can't be taken, by a state that is on every member's disk. Answered as
    /// [`Output::Settled`] is.
    Judged {
        /// Who waits.
        ticket: Ticket,
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
    pub replied: SequenceNumber,
    /// Whether it may answer now.
    pub may_respond: bool,
    /// Whether its disk takes writes.
    pub is_healthy: bool,
    /// Who was heard lately, and how long ago.
    pub heard: Vec<(Address, Milliseconds)>,
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
    promised: (ViewNumber, Round),
    accepted: Option<Ballot>,
    base: (SequenceNumber, ViewNumber),
    log: VecDeque<Change>,
    state_machine: C,
    // What follows from it.
    last: (SequenceNumber, ViewNumber),
    synced: (SequenceNumber, ViewNumber),
    replied: SequenceNumber,
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
    has_members: bool,
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
    to_self: VecDeque<Note>,
}

#[derive(Debug, Clone, Hash)]
enum Deferred {
    Send(Address, Note),
    Apply(u64, Change),
}

#[derive(Debug, Clone)]
struct Heard {
    at: MonotonicInstant,
    disk: DiskId,
    view: ViewNumber,
    last: SequenceNumber,
    /// The view in which that change was let in: with its number, it names one change.
    stamp: ViewNumber,
    is_caught_up: bool,
    is_healthy: bool,
    has_members: bool,
}

#[derive(Debug, Clone)]
struct Bid {
    round: Round,
    /// At the founding: which disk each founder promised with.
    founders: BTreeMap<Address, DiskId>,
    promises: BTreeMap<DiskId, Option<Ballot>>,
    ballot: Option<Ballot>,
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
    stamp: ViewNumber,
    bytes: Vec<u8>,
    /// When it was last offered or a piece of it asked for.
    asked: MonotonicInstant,
}

#[derive(Debug, Clone)]
struct Fetching {
    last: SequenceNumber,
    stamp: ViewNumber,
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
            replied: SequenceNumber(0),
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
            has_members: false,
            last_event: now,
            next_heartbeat: now,
            granted_until: MonotonicInstant(0),
            silent_until: if is_fresh { now } else { now + timing.lease },
            has_released: false,
            paused_until: now,
            ask_round: now.0,
            asked_at: MonotonicInstant(0),
            grants: BTreeSet::new(),
            lease_deadline: MonotonicInstant(0),
            bid: None,
            top_count: 0,
            wanted_since: None,
            not_before: now + timing.suspect,
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
            replica.replied = replica.synced.0;
        }
        Ok(replica)
    }

    fn recall(&mut self, record: Record) -> Result<(), RecoveryError> {
        match record {
            Record::Promised { instance, round } => self.promised = (instance, round),
            Record::Accepted { ballot } => {
                self.promised = (ballot.view.epoch, ballot.round);
                self.accepted = Some(ballot);
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
                    self.last = (change.seq, change.stamp);
                }
                self.log_bytes += change.body.len();
                self.log.push_back(change);
            }
            Record::Snapshot { last, stamp, body } => {
                self.state_machine = C::restore(&body).ok_or(RecoveryError::Snapshot(last))?;
                self.log.clear();
                self.log_bytes = 0;
                self.snapshot_bytes = body.len();
                self.base = (last, stamp);
                self.last = (last, stamp);
            }
        }
        Ok(())
    }

    fn take_view(&mut self, view: View) {
        if self
            .accepted
            .as_ref()
            .is_some_and(|ballot| ballot.view.epoch <= view.epoch)
        {
            self.accepted = None;
        }
        self.view = view;
    }

    /// Takes an input in; gives what is to be done.
    pub fn step(&mut self, now: MonotonicInstant, input: Input) -> Vec<Output> {
        self.now = self.now.max(now);
        match input {
            Input::Note { from, note } => self.on_note(from, note),
            Input::Propose { number, body } => self.on_propose_here(number, body),
            Input::ClockEvent => self.on_clock_event(),
            Input::Written { id } => self.on_written(id),
            Input::DiskFault => self.on_disk_fault(),
            Input::Leave => self.on_leave(),
        }
        while let Some(note) = self.to_self.pop_front() {
            self.on_note(self.me.address, note);
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
    pub fn hears_majority(&self, now: MonotonicInstant) -> bool {
        let is_heard = |voter: &Voter| {
            let heard = self.heard.get(&voter.address);
            *voter == self.me
                || heard.is_some_and(|heard| now.since(heard.at) < self.timing.suspect)
        };
        let count = self
            .view
            .voters
            .iter()
            .filter(|voter| is_heard(voter))
            .count();
        now < self.listens_since + self.timing.suspect || count >= self.view.majority()
    }
    /// Whether it has a seat in the chain, a disk that takes writes, and hears a majority: operators are well served
    /// here, even where the answer comes from the tail.
    pub fn is_serving(&self, now: MonotonicInstant) -> bool {
        self.is_healthy && self.view.seats(&self.me) && self.hears_majority(now)
    }
    /// Tells it of others that know a newer view: it beats to them until it knows as much, since its own view and
    /// its settings may name nobody who is in the core by now.
    pub fn meet(&mut self, view: ViewNumber, voters: &[Address]) {
        self.contacts = if view > self.view.epoch {
            voters.to_vec()
        } else {
            vec![]
        };
    }
    /// The tail's word on whether more than half of the members hold leases.
    pub fn set_has_members(&mut self, has_members: bool) {
        self.has_members = has_members;
    }
    /// Gives the answer to a settled change, if this replica may still answer.
    pub fn respond(
        &mut self,
        now: MonotonicInstant,
        ticket: Ticket,
        body: Vec<u8>,
    ) -> Option<Output> {
        if !self.may_respond(now) {
            return None;
        }
        Some(if ticket.origin == self.me.address {
            Output::Response {
                number: ticket.number,
                is_replied: true,
                body,
            }
        } else {
            let note = Note::Response {
                number: ticket.number,
                is_replied: true,
                body,
            };
            Output::Send {
                to: ticket.origin,
                note,
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
        is_waiting || !self.unsynced.is_empty() || self.replied < self.last.0
    }
    /// What it believes.
    pub fn state(&self) -> ReplicaState {
        ReplicaState {
            me: self.me,
            view: self.view.clone(),
            last: self.synced.0,
            replied: self.replied,
            may_respond: self.may_respond(self.now),
            is_healthy: self.is_healthy,
            heard: self
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
            .is_some_and(|(_, at)| self.now.since(*at) >= self.timing.stall)
    }
    fn is_head(&self) -> bool {
        self.view.head() == Some(self.me)
    }
    fn is_tail(&self) -> bool {
        self.view.tail() == Some(self.me)
    }

    fn send(&mut self, to: Address, note: Note) {
        if to == self.me.address {
            self.to_self.push_back(note);
        } else {
            self.outputs.push(Output::Send { to, note });
        }
    }

    fn write(&mut self, record: Record, then: Option<Deferred>) {
        self.write_all(vec![record], false, then);
    }

    fn write_all(&mut self, records: Vec<Record>, is_whole: bool, then: Option<Deferred>) {
        self.next_write += 1;
        let id = self.next_write;
        self.outputs.push(Output::Write {
            id,
            records,
            is_whole,
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
                Some((_, Deferred::Send(to, note))) => self.send(to, note),
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
        self.beat();
    }

    fn on_clock_event(&mut self) {
        if self.now.since(self.last_event) > Milliseconds(self.timing.suspect.0 / 2) {
            // This machine slept. Nobody is to be taken for gone before there was time to hear it.
            let now = self.now;
            self.heard.values_mut().for_each(|h| h.at = now);
            self.unsynced.iter_mut().for_each(|(_, at)| *at = now);
            self.successor_moved.1 = now;
            self.not_before = now + self.timing.suspect;
            self.listens_since = now;
        }
        self.last_event = self.now;
        if self.now >= self.next_heartbeat {
            self.next_heartbeat = self.now + self.timing.beat;
            self.beat();
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

    fn beat(&mut self) {
        let note = Note::Heartbeat {
            disk: self.me.disk,
            view: self.view.epoch,
            last: self.synced.0,
            stamp: self.synced.1,
            replied: self.replied,
            is_caught_up: self.is_caught_up,
            is_healthy: self.is_healthy && !self.is_stalled() && !self.is_deaf(),
            has_members: self.has_members,
        };
        for address in self.others() {
            self.outputs.push(Output::Send {
                to: address,
                note: note.clone(),
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
        let lately = |h: &Heard| self.now.since(h.at) < Milliseconds(self.timing.suspect.0 * 4);
        all.extend(
            self.heard
                .iter()
                .filter(|(_, h)| lately(h))
                .map(|(a, _)| *a),
        );
        all.remove(&self.me.address);
        all
    }

    fn on_note(&mut self, from: Address, note: Note) {
        if !self.is_healthy {
            return;
        }
        match note {
            Note::Heartbeat {
                disk,
                view,
                last,
                stamp,
                replied,
                is_caught_up,
                is_healthy,
                has_members,
            } => {
                let heard = Heard {
                    at: self.now,
                    disk,
                    view,
                    last,
                    stamp,
                    is_caught_up,
                    is_healthy,
                    has_members,
                };
                self.heard.insert(from, heard);
                if view < self.view.epoch {
                    let note = Note::Decided {
                        view: self.view.clone(),
                    };
                    self.send(from, note);
                }
                self.on_chain_beat(from, disk, view, last, replied, is_caught_up);
            }
            Note::Prepare { instance, round } => self.on_prepare(from, instance, round),
            Note::Promise {
                instance,
                round,
                disk,
                accepted,
            } => self.on_promise(from, instance, round, disk, accepted),
            Note::Accept { ballot } => self.on_accept(from, ballot),
            Note::Accepted {
                instance,
                round,
                disk,
            } => self.on_accepted(from, instance, round, disk),
            Note::Outdone { instance, promised } => self.on_outdone(instance, promised),
            Note::Decided { view } => self.adopt(view),
            Note::LeaseAsk { view, round } => self.on_lease_ask(from, view, round),
            Note::LeaseGrant { view, round, disk } => self.on_lease_grant(view, round, disk),
            Note::Pass { view, change } => self.on_pass(from, view, change),
            Note::Level { view, last } => self.on_level(from, view, last),
            Note::Follow { disk, last, stamp } => self.on_follow(from, disk, last, stamp),
            Note::Feed { changes } => self.on_feed(from, changes),
            Note::SnapshotOffer {
                last,
                stamp,
                length,
            } => self.on_snapshot_offer(from, last, stamp, length),
            Note::SnapshotAsk { last, offset } => self.on_snapshot_ask(from, last, offset),
            Note::SnapshotPiece {
                last,
                stamp,
                offset,
                length,
                bytes,
            } => {
                self.on_snapshot_piece(from, last, stamp, offset, length, bytes);
            }
            Note::Propose { ticket, body } => self.on_propose(ticket, body),
            Note::Judge {
                view,
                ticket,
                last,
                body,
            } => self.on_judge(from, view, ticket, last, body),
            Note::Leaving { disk } => self.on_leaving(from, disk),
            Note::Response {
                number,
                is_replied,
                body,
            } => {
                self.outputs.push(Output::Response {
                    number,
                    is_replied,
                    body,
                });
            }
        }
    }

    /// Whether it hears too few voters for anything to be agreed here. It says so with its beats: those
    /// whom it reaches would wait for it for as long as its line is cut one way.
    fn is_deaf(&self) -> bool {
        !self.view.voters.is_empty() && !self.hears_majority(self.now)
    }

    /// Whether this voter was heard lately, with the disk that it votes with, and takes writes.
    fn is_alive(&self, voter: &Voter) -> bool {
        if *voter == self.me {
            return self.is_healthy && !self.is_stalled();
        }
        self.heard.get(&voter.address).is_some_and(|h| {
            h.disk == voter.disk && h.is_healthy && self.now.since(h.at) < self.timing.suspect
        })
    }
}

#[cfg(test)]
mod tests;
