//! The controller's state machine: it takes one input at a time and returns what is to be done, without threads, clocks
//! or I/O of its own.

use crate::admin::pending_requests::PendingRequest;
use crate::discovery::peer_discovery::PeerDiscovery;
use config::{Command, ConfigStateMachine};
use quota::QuotaAuthority;
use replication::{ChangeRequestId, Input, LeaseTable, Replica};
use std::collections::{BTreeMap, VecDeque};
use types::{Address, ConfigEpoch, Milliseconds, MonotonicInstant, TokenKey, ViewNumber};
use wire::{LeaseRequest, Message, Query};

mod events;
mod timing;

pub use events::{ControllerInput, ControllerOutput, OperatorRequest, RequestAge};
pub use timing::{ControllerTiming, Quorum};

/// A controller's state: the replica with the configuration, the members' leases, and the requests in flight.
///
/// Invariants: configuration updates and responses leave only while the replica may answer for the core, that is while
/// it is the tail and holds its lease. A change is acknowledged to its operator only once as many members as
/// [`Quorum`] requires are known to have it.
pub struct Controller {
    pub(crate) replica: Replica<ConfigStateMachine>,
    /// The core's location, for processes that request it here, and for this one after it was partitioned.
    pub(crate) contacts: PeerDiscovery,
    pub(crate) timing: ControllerTiming,
    /// Proposed as the fleet's, should there be none.
    pub(crate) key: TokenKey,
    pub(crate) key_deadline: MonotonicInstant,
    pub(crate) now: MonotonicInstant,
    pub(crate) leases: LeaseTable,
    /// Since when leases are recorded: earlier ones are not in the table.
    pub(crate) leases_since: MonotonicInstant,
    pub(crate) seen: BTreeMap<Address, MonotonicInstant>,
    /// When any member last reported that it reaches this one.
    pub(crate) reported_reachable: BTreeMap<Address, MonotonicInstant>,
    /// Since when this replica has answered for the core without interruption.
    pub(crate) responses_since: Option<MonotonicInstant>,
    /// Members that polled lately, to which configuration updates are sent at once.
    pub(crate) subscribers: BTreeMap<Address, Subscriber>,
    /// Polls of those that are not members yet.
    pub(crate) joining: BTreeMap<Address, LeaseRequest>,
    /// Grants credit of tenants' quotas while this is the tail; with the view in which it has been so.
    pub(crate) quotas: Option<(ViewNumber, QuotaAuthority)>,
    pub(crate) join_deadline: MonotonicInstant,
    pub(crate) settle_deadline: MonotonicInstant,
    pub(crate) retire_deadline: MonotonicInstant,
    /// When members without a lease are notified next, and which was notified last.
    pub(crate) next_notification: MonotonicInstant,
    pub(crate) last_notified: Option<Address>,
    pub(crate) committed: VecDeque<CommittedChange>,
    pub(crate) pending: BTreeMap<u64, PendingRequest>,
    /// The last number under which something went out for an operator.
    pub(crate) last_attempt: u64,
    pub(crate) next_inner: u64,
    pub(crate) outputs: Vec<ControllerOutput>,
    pub(crate) poll_count: u64,
}

pub(crate) struct Subscriber {
    /// The newest epoch that it has or that was sent to it.
    pub(crate) sent_epoch: ConfigEpoch,
    pub(crate) deadline: MonotonicInstant,
}

pub(crate) struct CommittedChange {
    pub(crate) epoch: ConfigEpoch,
    pub(crate) request_id: ChangeRequestId,
    pub(crate) body: Vec<u8>,
    pub(crate) deadline: MonotonicInstant,
}

/// Request numbers from here on are those of the controller's own proposals; operators' are below.
pub(crate) const INTERNAL_REQUESTS: u64 = 1 << 62;

impl Controller {
    /// A controller around a replica at the start of its incarnation. `contacts` knows where it is reached and its seeds.
    /// `key` is drawn at random; a fleet that has none adopts the first that is proposed. `incarnation` is drawn at
    /// random too: requests are numbered from there on, so that no late response to an earlier incarnation is taken for
    /// one to this.
    pub fn new(
        replica: Replica<ConfigStateMachine>,
        contacts: PeerDiscovery,
        timing: ControllerTiming,
        key: TokenKey,
        incarnation: u64,
        now: MonotonicInstant,
    ) -> Self {
        let first = incarnation % (INTERNAL_REQUESTS / 2);
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
            reported_reachable: BTreeMap::new(),
            responses_since: None,
            subscribers: BTreeMap::new(),
            joining: BTreeMap::new(),
            quotas: None,
            join_deadline: now,
            settle_deadline: now,
            retire_deadline: now + timing.retire_after,
            next_notification: now,
            last_notified: None,
            committed: VecDeque::new(),
            pending: BTreeMap::new(),
            last_attempt: first,
            next_inner: INTERNAL_REQUESTS + first,
            outputs: vec![],
            poll_count: 0,
        }
    }

    /// The replica of the configuration.
    pub fn replica(&self) -> &Replica<ConfigStateMachine> {
        &self.replica
    }
    /// The holders of leases and the epoch that each is known to have, if this is the tail.
    pub fn members(&self, now: MonotonicInstant) -> Vec<(Address, ConfigEpoch)> {
        self.leases.live(now)
    }
    /// When the next clock event is due at the latest.
    pub fn next_timer(&self) -> MonotonicInstant {
        let is_pending =
            !self.pending.is_empty() || !self.committed.is_empty() || !self.joining.is_empty();
        if is_pending || self.replica.is_busy() {
            self.now + Milliseconds(25)
        } else {
            self.replica.next_heartbeat()
        }
    }
    /// The number of lease requests received so far.
    pub fn poll_count(&self) -> u64 {
        self.poll_count
    }

    /// Takes an input and returns the outputs, in the order in which they are to be executed.
    pub fn step(&mut self, now: MonotonicInstant, input: ControllerInput) -> Vec<ControllerOutput> {
        self.now = self.now.max(now);
        match input {
            ControllerInput::Message { from, message } => self.on_message(from, message),
            ControllerInput::Operator {
                number,
                request,
                age,
            } => self.on_operator(number, request, age),
            ControllerInput::Abandoned { number } => {
                self.pending.remove(&number);
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

    pub(crate) fn send(&mut self, to: Address, message: Message) {
        let is_bulk = matches!(
            message,
            Message::PlanChunk { .. } | Message::QueryResponse { .. }
        );
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
            Message::LeaseRequest { request } => self.on_poll(from, *request),
            Message::PlanRequest {
                epoch,
                offset,
                have,
            } => self.on_plan_request(from, epoch, offset, have),
            Message::QueryRequest { number, query } => self.on_query(from, number, &query),
            Message::QueryResponse {
                number,
                status,
                body,
            } => self.on_query_response(from, number, status, body),
            Message::CoreLocation {
                location,
                is_response,
            } => self.on_location(from, &location, is_response),
            Message::CreditRequest { request } => self.on_credit_request(from, &request),
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
            | Message::ServerListUnchanged { .. }
            | Message::ServerListChange { .. }
            | Message::ServerListRequest { .. }
            | Message::ServerListChunk { .. } => {}
        }
    }

    /// Answers another replica's query, unless this replica may not answer for the core.
    fn on_query(&mut self, from: Address, number: u64, query: &Query) {
        if !self.may_respond() {
            return;
        }
        let (status, body) = self.read(query);
        let response = Message::QueryResponse {
            number,
            status,
            body,
        };
        self.send(from, response);
    }

    pub(crate) fn voters(&self) -> Vec<Address> {
        self.replica
            .view()
            .voters
            .iter()
            .map(|voter| voter.address)
            .collect()
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
            self.notify_unleased();
            if has_majority {
                self.settle();
                self.retire();
            }
        }
        let now = self.now;
        self.subscribers
            .retain(|_, subscriber| now < subscriber.deadline);
        let deadline: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, pending)| {
                pending.retry_at.is_some_and(|at| now >= at) || now >= pending.deadline
            })
            .map(|(number, _)| *number)
            .collect();
        for number in deadline {
            self.retry(number);
        }
    }
}

#[cfg(test)]
mod tests;
