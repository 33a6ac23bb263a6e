use crate::discovery::peer_discovery::PeerDiscovery;
use config::{Command, ConfigStateMachine, Proposal};
use quota::{QuotaAuthority, QuotaBounds};
use replication::{
    ChangeRequestId, Input, LeaseTable, Output, Record, Replica, ReplicationMessage, Timing, View,
};
use schematic::ConfigEnum;
use std::collections::{BTreeMap, VecDeque};
use types::{Address, ConfigEpoch, Milliseconds, MonotonicInstant, TokenKey, ViewNumber};
use wire::{CoreLocation, LeaseRequest, Message, Query, SPLICE_MOST};

/// The spans that a controller goes by besides the replica's own.
#[derive(Debug, Clone, Copy)]
pub struct ControllerTiming {
    /// The replica's.
    pub replica: Timing,
    /// A member's lease.
    pub lease: Milliseconds,
    /// Between changes of the membership by which newcomers are let in.
    pub join: Milliseconds,
    /// A proposal that the core can't take is tried again for this long.
    pub patience: Milliseconds,
    /// A reading that the tail doesn't answer is given up after this, before its operator turns elsewhere (after a
    /// second of silence on the users' platform).
    pub read_patience: Milliseconds,
    /// Without an answer by then, a proposal's fate is unknown.
    pub fate_deadline: Milliseconds,
    /// A member without a lease for this long is a member no more.
    pub retire_after: Milliseconds,
    /// Who must know a change.
    pub quorum: Quorum,
    /// By how much tenants' quotas may be exceeded.
    pub quota: QuotaBounds,
}

impl Default for ControllerTiming {
    fn default() -> Self {
        ControllerTiming {
            replica: Timing::default(),
            lease: Milliseconds(2000),
            join: Milliseconds(1000),
            patience: Milliseconds(4000),
            read_patience: Milliseconds(700),
            fate_deadline: Milliseconds(8000),
            retire_after: Milliseconds::seconds(60),
            quorum: Quorum::Majority,
            quota: QuotaBounds::default(),
        }
    }
}

/// Who must know a change before it is told as accepted (docs/isolation.md).
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    ConfigEnum,
    clap::ValueEnum,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Quorum {
    /// More than half of the members; and changes are taken only while as many hold leases. Whoever is
    /// cut off from the core stops, however many they are.
    #[default]
    Majority,
    /// Whoever holds a lease, however few these are. A group without leases that is at least half of the
    /// members goes on as it was, until it meets the core again.
    Holders,
}

/// What an operator wants.
#[derive(Debug, Clone)]
pub enum OperatorRequest {
    /// Something read at the tail.
    Read(Query),
    /// Something changed.
    Propose(Proposal),
}

/// What a controller is told.
#[derive(Debug, Clone)]
pub enum ControllerInput {
    /// A letter came.
    Message {
        /// From there.
        from: Address,
        /// It.
        message: Message,
    },
    /// An operator asks, under this number.
    Operator {
        /// The number.
        number: u64,
        /// What.
        request: OperatorRequest,
    },
    /// Whoever asked under this number has gone, or waits no longer: nothing more is done for it.
    Abandoned {
        /// The number.
        number: u64,
    },
    /// The settings name these seeds now.
    Seeds(Vec<Address>),
    /// Time has passed.
    ClockEvent,
    /// Writes are synced.
    Written {
        /// Up to this one.
        id: u64,
    },
    /// The disk refused a write.
    DiskFault,
    /// This process is to stop.
    Leave,
}

/// What a controller wants done.
#[allow(clippy::large_enum_variant)] // A letter is moved once, straight to its line.
#[derive(Debug, Clone, PartialEq)]
pub enum ControllerOutput {
    /// Send a letter.
    Send {
        /// To there.
        to: Address,
        /// On the bulk line.
        is_bulk: bool,
        /// It.
        message: Message,
    },
    /// Write records.
    Write {
        /// Under this id.
        id: u64,
        /// They.
        records: Vec<Record>,
        /// In place of all before.
        is_whole: bool,
    },
    /// Answer an operator.
    Response {
        /// Its number.
        number: u64,
        /// HTTP status.
        status: u16,
        /// The body.
        body: Vec<u8>,
    },
    /// The view changed.
    ViewChanged(View),
}

/// A controller's control state: the replica with the ledger, the members' leases, and who waits for
/// what.
///
/// Invariants: news and answers leave only while the replica may answer. "Accepted" is said only once
/// as many members as the quorum asks for are known to have the news.
pub struct Controller {
    pub(crate) replica: Replica<ConfigStateMachine>,
    /// Where the core is, for those who ask here and for this one, should it have been away.
    pub(crate) contacts: PeerDiscovery,
    pub(crate) timing: ControllerTiming,
    /// Proposed as the fleet's, should there be none.
    pub(crate) key: TokenKey,
    pub(crate) key_deadline: MonotonicInstant,
    pub(crate) now: MonotonicInstant,
    pub(crate) leases: LeaseTable,
    /// Since when it keeps them: older ones are not in the table.
    pub(crate) leases_since: MonotonicInstant,
    pub(crate) seen: BTreeMap<Address, MonotonicInstant>,
    /// When any member last said that it hears this one.
    pub(crate) told_of: BTreeMap<Address, MonotonicInstant>,
    /// Since when it has replied for the core without a break.
    pub(crate) responses_since: Option<MonotonicInstant>,
    /// Members that polled lately: they are told news at once.
    pub(crate) subscribers: BTreeMap<Address, Subscriber>,
    /// Polls of those that are not members yet.
    pub(crate) joining: BTreeMap<Address, LeaseRequest>,
    /// Grants credit of tenants' quotas while this is the tail; with the view in which it has been so.
    pub(crate) quotas: Option<(ViewNumber, QuotaAuthority)>,
    pub(crate) join_deadline: MonotonicInstant,
    pub(crate) settle_deadline: MonotonicInstant,
    pub(crate) retire_deadline: MonotonicInstant,
    /// When members without a lease are called next, and who was called last.
    pub(crate) next_call: MonotonicInstant,
    pub(crate) last_called: Option<Address>,
    pub(crate) settled: VecDeque<Settled>,
    pub(crate) waiting: BTreeMap<u64, Waiting>,
    /// The last number under which something went out for an operator.
    pub(crate) last_asked: u64,
    pub(crate) next_inner: u64,
    pub(crate) outputs: Vec<ControllerOutput>,
    pub(crate) poll_count: u64,
}

pub(crate) struct Subscriber {
    /// The newest epoch that it has or was told of.
    pub(crate) told: ConfigEpoch,
    pub(crate) deadline: MonotonicInstant,
}

pub(crate) struct Settled {
    pub(crate) epoch: ConfigEpoch,
    pub(crate) request_id: ChangeRequestId,
    pub(crate) body: Vec<u8>,
    pub(crate) deadline: MonotonicInstant,
}

pub(crate) struct Waiting {
    pub(crate) ask: OperatorRequest,
    pub(crate) next_try: Option<MonotonicInstant>,
    pub(crate) patience_deadline: MonotonicInstant,
    pub(crate) deadline: MonotonicInstant,
    /// By then the tail must have said what is to be known before it's proposed.
    pub(crate) clear_deadline: MonotonicInstant,
    /// Whether that is known: that nobody hears those whom it would forget, or what was the newest epoch when
    /// a zone's change came in.
    pub(crate) is_cleared: bool,
    /// The number under which its question, or its newest proposal, goes out; no other has it, in this
    /// life or an earlier one.
    pub(crate) asked: u64,
    /// Who was asked, while it's a question that waits. Nobody else answers it.
    pub(crate) asked_of: Option<Address>,
}

/// Numbers from here on are the controller's own proposals.
pub(crate) const INNER: u64 = 1 << 62;

impl Controller {
    /// A controller around a replica at the start of its life. `contacts` knows where it is reached and its seeds.
    /// `key` is drawn at random; a fleet that has
    /// none takes the first that is proposed. `incarnation` is drawn at random too: what this life asks
    /// is numbered from there on, so that no late answer to an earlier life is taken for one to this.
    pub fn new(
        replica: Replica<ConfigStateMachine>,
        contacts: PeerDiscovery,
        timing: ControllerTiming,
        key: TokenKey,
        incarnation: u64,
        now: MonotonicInstant,
    ) -> Self {
        let first = incarnation % (INNER / 2);
        Controller {
            replica,
            contacts,
            timing,
            key,
            key_deadline: now,
            now,
            leases: LeaseTable::default(),
            leases_since: now,
            seen: BTreeMap::new(),
            told_of: BTreeMap::new(),
            responses_since: None,
            subscribers: BTreeMap::new(),
            joining: BTreeMap::new(),
            quotas: None,
            join_deadline: now,
            settle_deadline: now,
            retire_deadline: now + timing.retire_after,
            next_call: now,
            last_called: None,
            settled: VecDeque::new(),
            waiting: BTreeMap::new(),
            last_asked: first,
            next_inner: INNER + first,
            outputs: vec![],
            poll_count: 0,
        }
    }

    /// The replica in it.
    pub fn replica(&self) -> &Replica<ConfigStateMachine> {
        &self.replica
    }
    /// Who holds leases and what they know, if this is the tail.
    pub fn members(&self, now: MonotonicInstant) -> Vec<(Address, ConfigEpoch)> {
        self.leases.live(now)
    }
    /// When the next clock event is due at the latest.
    pub fn next_timer(&self) -> MonotonicInstant {
        let is_pending =
            !self.waiting.is_empty() || !self.settled.is_empty() || !self.joining.is_empty();
        if is_pending || self.replica.is_busy() {
            self.now + Milliseconds(25)
        } else {
            self.replica.next_heartbeat()
        }
    }
    /// How many polls were taken.
    pub fn poll_count(&self) -> u64 {
        self.poll_count
    }

    /// Takes an input in; gives what is to be done.
    pub fn step(&mut self, now: MonotonicInstant, input: ControllerInput) -> Vec<ControllerOutput> {
        self.now = self.now.max(now);
        match input {
            ControllerInput::Message { from, message } => self.on_message(from, message),
            ControllerInput::Operator { number, request } => self.on_operator(number, request),
            ControllerInput::Abandoned { number } => {
                self.waiting.remove(&number);
            }
            ControllerInput::ClockEvent => {
                self.drive(Input::Tick);
                self.on_clock_event();
                self.exchange_contacts();
            }
            ControllerInput::Seeds(seeds) => self.contacts.set_seeds(self.now, seeds),
            ControllerInput::Written { id } => self.drive(Input::Written { id }),
            ControllerInput::DiskFault => self.drive(Input::DiskFailed),
            ControllerInput::Leave => self.drive(Input::Drain),
        }
        self.release();
        std::mem::take(&mut self.outputs)
    }

    pub(crate) fn may_respond(&self) -> bool {
        self.replica.may_respond(self.now)
    }

    /// Has the replica take an input, and does what it wants.
    pub(crate) fn drive(&mut self, input: Input) {
        for output in self.replica.step(self.now, input) {
            match output {
                Output::Send { to, message } => self.send_message(to, message),
                Output::Write {
                    id,
                    records,
                    replaces_all: is_whole,
                } => {
                    self.outputs.push(ControllerOutput::Write {
                        id,
                        records,
                        is_whole,
                    });
                }
                Output::Response {
                    number,
                    is_final,
                    body,
                } => self.on_response(number, is_final, body),
                Output::ChangeRejected { request_id, body }
                    if self.is_firm(self.replica.state_machine().epoch) =>
                {
                    self.answer(request_id, body);
                }
                Output::Committed { request_id, body }
                | Output::ChangeRejected { request_id, body } => {
                    let epoch = self.replica.state_machine().epoch;
                    let deadline = self.now + self.timing.fate_deadline;
                    self.settled.push_back(Settled {
                        epoch,
                        request_id,
                        body,
                        deadline,
                    });
                }
                Output::ViewChanged(view) => {
                    self.keep_quotas(&view);
                    self.leases.clear();
                    self.leases_since = self.now;
                    self.retire_deadline = self.now + self.timing.retire_after;
                    self.outputs.push(ControllerOutput::ViewChanged(view));
                }
            }
        }
    }

    pub(crate) fn send_message(&mut self, to: Address, message: ReplicationMessage) {
        let is_bulk = match &message {
            ReplicationMessage::SnapshotChunk { .. } | ReplicationMessage::CatchUpBatch { .. } => {
                true
            }
            ReplicationMessage::Forward { change, .. } => change.body.len() > 64 << 10,
            ReplicationMessage::Propose { body, .. }
            | ReplicationMessage::ConfirmRejection { body, .. } => body.len() > 64 << 10,
            _ => false,
        };
        self.outputs.push(ControllerOutput::Send {
            to,
            is_bulk,
            message: Message::Replication {
                message: Box::new(message),
            },
        });
    }

    pub(crate) fn send(&mut self, to: Address, message: Message) {
        let is_bulk = matches!(message, Message::PlanChunk { .. } | Message::Told { .. });
        self.outputs.push(ControllerOutput::Send {
            to,
            is_bulk,
            message,
        });
    }

    pub(crate) fn on_message(&mut self, from: Address, message: Message) {
        match message {
            Message::Replication { message } => self.drive(Input::Message {
                from,
                message: *message,
            }),
            Message::LeaseRequest { poll } => self.on_poll(from, *poll),
            Message::PlanRequest {
                epoch,
                offset,
                have,
            } => self.on_plan_ask(from, epoch, offset, have),
            Message::Ask { number, reading } => {
                if self.may_respond() {
                    let (status, body) = self.read(&reading);
                    self.send(
                        from,
                        Message::Told {
                            number,
                            status,
                            body,
                        },
                    );
                }
            }
            Message::Told {
                number,
                status,
                body,
            } => self.on_told(from, number, status, body),
            Message::CoreLocation {
                location,
                is_answer,
            } => self.on_location(from, &location, is_answer),
            Message::CreditAsk { ask } => self.on_credit_ask(from, &ask),
            Message::CreditGrant { .. }
            | Message::LeaseResponse { .. }
            | Message::PlanChunk { .. }
            | Message::PlanDelta { .. }
            | Message::ConfigUpdate { .. }
            | Message::ConfigUpdateRequest
            | Message::PeerCheckRequest { .. }
            | Message::PeerCheckResponse { .. }
            | Message::Digest { .. }
            | Message::DigestAck { .. }
            | Message::ListFresh { .. }
            | Message::ListChange { .. }
            | Message::ServerListRequest { .. }
            | Message::ServerListChunk { .. } => {}
        }
    }

    /// Another controller tells where the core is.
    pub(crate) fn on_location(&mut self, from: Address, location: &CoreLocation, is_answer: bool) {
        self.contacts
            .learn(self.replica.view().epoch, self.voters());
        let answer = self
            .contacts
            .on_location(self.now, from, location, is_answer);
        let (view, voters) = self.contacts.core();
        self.replica.learn_contacts(view, voters);
        answer
            .into_iter()
            .for_each(|message| self.send(from, message));
    }

    /// Tells the seeds where the core is, once in a while.
    pub(crate) fn exchange_contacts(&mut self) {
        if self.now < self.contacts.next_timer() {
            return;
        }
        self.contacts
            .learn(self.replica.view().epoch, self.voters());
        let messages = self.contacts.on_clock(self.now);
        messages
            .into_iter()
            .for_each(|(seed, message)| self.send(seed, message));
    }

    pub(crate) fn voters(&self) -> Vec<Address> {
        self.replica
            .view()
            .voters
            .iter()
            .map(|voter| voter.address)
            .collect()
    }

    /// Gives an answer for the core, if this is still the tail and may.
    pub(crate) fn answer(&mut self, request_id: ChangeRequestId, body: Vec<u8>) {
        match self.replica.respond(self.now, request_id, body) {
            Some(Output::Send { to, message }) => self.send_message(to, message),
            Some(Output::Response {
                number,
                is_final,
                body,
            }) => self.on_response(number, is_final, body),
            _ => {}
        }
    }

    /// Whether as many know this epoch as must.
    pub(crate) fn is_known(&self, epoch: ConfigEpoch) -> bool {
        let membership = &self.replica.state_machine().membership;
        match self.timing.quorum {
            Quorum::Majority => self.leases.is_known_to_most(membership, epoch),
            // A new tail doesn't know what leases the last one gave: they must have run out.
            Quorum::Holders => {
                let is_old_gone = self.now.since(self.leases_since) >= self.timing.lease;
                self.leases.is_known_to_all(membership, epoch)
                    || (is_old_gone && self.leases.is_known_to_holders(epoch, self.now))
            }
        }
    }

    /// Whether what is in the ledger as this epoch may be called accepted, whoever asks and when. Where most
    /// members must know it, its answer alone waits for them: they may be gone since.
    pub(crate) fn is_firm(&self, epoch: ConfigEpoch) -> bool {
        self.replica.has_min_chain_length()
            && (self.timing.quorum == Quorum::Majority || self.is_known(epoch))
    }

    pub(crate) fn has_quorum(&self) -> bool {
        let membership = &self.replica.state_machine().membership;
        let has_member_majority =
            self.timing.quorum == Quorum::Holders || self.leases.has_majority(membership, self.now);
        self.may_respond() && has_member_majority
    }

    pub(crate) fn on_clock_event(&mut self) {
        let has_majority = self.has_quorum();
        self.replica.set_has_member_majority(has_majority);
        self.responses_since = if self.may_respond() {
            self.responses_since.or(Some(self.now))
        } else {
            None
        };
        if self.may_respond() {
            self.begin_quotas();
            if self.replica.state_machine().key.is_none() && self.now >= self.key_deadline {
                self.key_deadline = self.now + Milliseconds(400);
                self.propose_inner(Command::SetTokenKey { key: self.key });
            }
            self.admit();
            self.call_members();
            if has_majority {
                self.settle();
                self.retire();
            }
        }
        let now = self.now;
        self.subscribers
            .retain(|_, subscriber| now < subscriber.deadline);
        let deadline: Vec<u64> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| {
                waiting.next_try.is_some_and(|at| now >= at) || now >= waiting.deadline
            })
            .map(|(number, _)| *number)
            .collect();
        for number in deadline {
            self.try_again(number);
        }
    }

    pub(crate) fn propose_inner(&mut self, command: Command) {
        self.next_inner += 1;
        let proposal = Proposal {
            id: String::new(),
            builds_on: None,
            seen: ConfigEpoch(0),
            command,
        };
        self.drive(Input::Propose {
            number: self.next_inner,
            body: proposal.to_bytes(),
        });
    }

    pub(crate) fn on_plan_ask(
        &mut self,
        from: Address,
        epoch: ConfigEpoch,
        offset: u64,
        have: ConfigEpoch,
    ) {
        let config_state = self.replica.state_machine();
        if let Some((base, delta)) = &config_state.newest
            && (epoch, have, offset) == (config_state.plan_epoch, *base, 0)
            && delta.inserted.len() <= SPLICE_MOST
        {
            let (base, delta) = (*base, delta.clone());
            return self.send(from, Message::PlanDelta { epoch, base, delta });
        }
        let piece = Message::plan_chunk(epoch, &config_state.plan, offset)
            .filter(|_| config_state.plan_epoch == epoch);
        piece
            .into_iter()
            .for_each(|message| self.send(from, message));
    }
}

#[cfg(test)]
mod tests;
