use crate::prelude::*;
use schematic::ConfigEnum;
use std::collections::{BTreeMap, VecDeque};

/// The spans that a controller goes by besides the replica's own.
#[derive(Debug, Clone, Copy)]
pub struct ControllerTiming {
    /// The replica's.
    pub replica: Timing,
    /// A member's lease.
    pub lease: Span,
    /// Between changes of the membership by which newcomers are let in.
    pub join: Span,
    /// A proposal that the core can't take is tried again for this long.
    pub patience: Span,
    /// A reading that the tail doesn't answer is given up after this, before its operator turns elsewhere (after a
    /// second of silence on the users' platform).
    pub read_patience: Span,
    /// Without an answer by then, a proposal's fate is unknown.
    pub fate_deadline: Span,
    /// A member without a lease for this long is a member no more.
    pub retire_after: Span,
    /// Who must know a change.
    pub quorum: Quorum,
}

impl Default for ControllerTiming {
    fn default() -> Self {
        ControllerTiming {
            replica: Timing::default(),
            lease: Span(2000),
            join: Span(1000),
            patience: Span(4000),
            read_patience: Span(700),
            fate_deadline: Span(8000),
            retire_after: Span::seconds(60),
            quorum: Quorum::Majority,
        }
    }
}

/// Who must know a change before it is told as accepted (docs/isolation.md).
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, ConfigEnum, clap::ValueEnum, serde::Serialize, serde::Deserialize,
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
pub enum OperatorAsk {
    /// Something read at the tail.
    Read(Reading),
    /// Something changed.
    Propose(Proposal),
}

/// What a controller is told.
#[derive(Debug, Clone)]
pub enum ControllerInput {
    /// A letter came.
    Letter {
        /// From there.
        from: Address,
        /// It.
        letter: Letter,
    },
    /// An operator asks, under this number.
    Operator {
        /// The number.
        number: u64,
        /// What.
        ask: OperatorAsk,
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
        letter: Letter,
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
    replica: Replica<Ledger>,
    /// Where the core is, for those who ask here and for this one, should it have been away.
    contacts: Contacts,
    timing: ControllerTiming,
    /// Proposed as the fleet's, should there be none.
    key: TokenKey,
    key_deadline: Moment,
    now: Moment,
    leases: LeaseTable,
    /// Since when it keeps them: older ones are not in the table.
    leases_since: Moment,
    seen: BTreeMap<Address, Moment>,
    /// When any member last said that it hears this one.
    told_of: BTreeMap<Address, Moment>,
    /// Since when it has replied for the core without a break.
    responses_since: Option<Moment>,
    /// Members that polled lately: they are told news at once.
    subscribers: BTreeMap<Address, Subscriber>,
    /// Polls of those that are not members yet.
    joining: BTreeMap<Address, Poll>,
    join_deadline: Moment,
    settle_deadline: Moment,
    retire_deadline: Moment,
    settled: VecDeque<Settled>,
    waiting: BTreeMap<u64, Waiting>,
    /// The last number under which something went out for an operator.
    last_asked: u64,
    next_inner: u64,
    outputs: Vec<ControllerOutput>,
    poll_count: u64,
}

struct Subscriber {
    /// The newest epoch that it has or was told of.
    told: Epoch,
    deadline: Moment,
}

struct Settled {
    epoch: Epoch,
    ticket: Ticket,
    body: Vec<u8>,
    deadline: Moment,
}

struct Waiting {
    ask: OperatorAsk,
    next_try: Option<Moment>,
    patience_deadline: Moment,
    deadline: Moment,
    /// By then the tail must have said what is to be known before it's proposed.
    clear_deadline: Moment,
    /// Whether that is known: that nobody hears those whom it would forget, or what was the newest epoch when
    /// a zone's change came in.
    is_cleared: bool,
    /// The number under which its question, or its newest proposal, goes out; no other has it, in this
    /// life or an earlier one.
    asked: u64,
    /// Who was asked, while it's a question that waits. Nobody else answers it.
    asked_of: Option<Address>,
}

/// Who was not heard for this long, by the core or by any member that polls, may be lost. Longer than a
/// lease, than a peer check counts, and than a view takes to change.
const FORGET_AFTER: Span = Span(5000);

/// What the newest epoch was when a zone's change came in must be known within this, or it is not proposed: an
/// answer from later may be younger than what its operator did since. Under the second after which an operator
/// turns to another controller.
const SEEN_WITHIN: Span = Span(700);

/// Numbers from here on are the controller's own proposals.
const INNER: u64 = 1 << 62;

impl Controller {
    /// A controller around a replica at the start of its life. `contacts` knows where it is reached and its seeds.
    /// `key` is drawn at random; a fleet that has
    /// none takes the first that is proposed. `incarnation` is drawn at random too: what this life asks
    /// is numbered from there on, so that no late answer to an earlier life is taken for one to this.
    pub fn new(
        replica: Replica<Ledger>,
        contacts: Contacts,
        timing: ControllerTiming,
        key: TokenKey,
        incarnation: u64,
        now: Moment,
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
            join_deadline: now,
            settle_deadline: now,
            retire_deadline: now + timing.retire_after,
            settled: VecDeque::new(),
            waiting: BTreeMap::new(),
            last_asked: first,
            next_inner: INNER + first,
            outputs: vec![],
            poll_count: 0,
        }
    }

    /// The replica in it.
    pub fn replica(&self) -> &Replica<Ledger> {
        &self.replica
    }
    /// Who holds leases and what they know, if this is the tail.
    pub fn members(&self, now: Moment) -> Vec<(Address, Epoch)> {
        self.leases.live(now)
    }
    /// When the next clock event is due at the latest.
    pub fn next_timer(&self) -> Moment {
        let is_pending = !self.waiting.is_empty() || !self.settled.is_empty() || !self.joining.is_empty();
        if is_pending || self.replica.is_busy() { self.now + Span(25) } else { self.replica.next_beat() }
    }
    /// How many polls were taken.
    pub fn poll_count(&self) -> u64 {
        self.poll_count
    }

    /// Takes an input in; gives what is to be done.
    pub fn step(&mut self, now: Moment, input: ControllerInput) -> Vec<ControllerOutput> {
        self.now = self.now.max(now);
        match input {
            ControllerInput::Letter { from, letter } => self.on_letter(from, letter),
            ControllerInput::Operator { number, ask } => self.on_operator(number, ask),
            ControllerInput::Abandoned { number } => {
                self.waiting.remove(&number);
            }
            ControllerInput::ClockEvent => {
                self.drive(Input::ClockEvent);
                self.on_clock_event();
                self.exchange_contacts();
            }
            ControllerInput::Seeds(seeds) => self.contacts.set_seeds(self.now, seeds),
            ControllerInput::Written { id } => self.drive(Input::Written { id }),
            ControllerInput::DiskFault => self.drive(Input::DiskFault),
            ControllerInput::Leave => self.drive(Input::Leave),
        }
        self.release();
        std::mem::take(&mut self.outputs)
    }

    fn may_respond(&self) -> bool {
        self.replica.may_respond(self.now)
    }

    /// Has the replica take an input, and does what it wants.
    fn drive(&mut self, input: Input) {
        for output in self.replica.step(self.now, input) {
            match output {
                Output::Send { to, note } => self.send_note(to, note),
                Output::Write { id, records, is_whole } => {
                    self.outputs.push(ControllerOutput::Write { id, records, is_whole });
                }
                Output::Response { number, is_replied, body } => self.on_response(number, is_replied, body),
                Output::Judged { ticket, body } if self.is_firm(self.replica.state_machine().epoch) => {
                    self.answer(ticket, body);
                }
                Output::Settled { ticket, body } | Output::Judged { ticket, body } => {
                    let epoch = self.replica.state_machine().epoch;
                    let deadline = self.now + self.timing.fate_deadline;
                    self.settled.push_back(Settled { epoch, ticket, body, deadline });
                }
                Output::ViewChanged(view) => {
                    self.leases.clear();
                    self.leases_since = self.now;
                    self.retire_deadline = self.now + self.timing.retire_after;
                    self.outputs.push(ControllerOutput::ViewChanged(view));
                }
            }
        }
    }

    fn send_note(&mut self, to: Address, note: Note) {
        let is_bulk = match &note {
            Note::SnapshotPiece { .. } | Note::Feed { .. } => true,
            Note::Pass { change, .. } => change.body.len() > 64 << 10,
            Note::Propose { body, .. } | Note::Judge { body, .. } => body.len() > 64 << 10,
            _ => false,
        };
        self.outputs.push(ControllerOutput::Send { to, is_bulk, letter: Letter::Note { note: Box::new(note) } });
    }

    fn send(&mut self, to: Address, letter: Letter) {
        let is_bulk = matches!(letter, Letter::PlanPiece { .. } | Letter::Told { .. });
        self.outputs.push(ControllerOutput::Send { to, is_bulk, letter });
    }

    fn on_letter(&mut self, from: Address, letter: Letter) {
        match letter {
            Letter::Note { note } => self.drive(Input::Note { from, note: *note }),
            Letter::Poll { poll } => self.on_poll(from, *poll),
            Letter::PlanAsk { epoch, offset, have } => self.on_plan_ask(from, epoch, offset, have),
            Letter::Ask { number, reading } => {
                if self.may_respond() {
                    let (status, body) = self.read(&reading);
                    self.send(from, Letter::Told { number, status, body });
                }
            }
            Letter::Told { number, status, body } => self.on_told(from, number, status, body),
            Letter::CoreLocation { location, is_answer } => self.on_location(from, &location, is_answer),
            Letter::PollResponse { .. }
            | Letter::PlanPiece { .. }
            | Letter::PlanSplice { .. }
            | Letter::News { .. }
            | Letter::NewsAsk
            | Letter::PeerCheckRequest { .. }
            | Letter::PeerCheckResponse { .. }
            | Letter::Digest { .. }
            | Letter::DigestAck { .. }
            | Letter::ListFresh { .. }
            | Letter::ListChange { .. }
            | Letter::ListAsk { .. }
            | Letter::ListPiece { .. } => {}
        }
    }

    /// Another controller tells where the core is.
    fn on_location(&mut self, from: Address, location: &CoreLocation, is_answer: bool) {
        self.contacts.learn(self.replica.view().epoch, self.voters());
        let answer = self.contacts.on_location(self.now, location, is_answer);
        let (view, voters) = self.contacts.core();
        self.replica.meet(view, voters);
        answer.into_iter().for_each(|letter| self.send(from, letter));
    }

    /// Tells the seeds where the core is, once in a while.
    fn exchange_contacts(&mut self) {
        if self.now < self.contacts.next_timer() {
            return;
        }
        self.contacts.learn(self.replica.view().epoch, self.voters());
        let letters = self.contacts.on_clock(self.now);
        letters.into_iter().for_each(|(seed, letter)| self.send(seed, letter));
    }

    fn on_poll(&mut self, from: Address, poll: Poll) {
        self.poll_count += 1;
        if !self.may_respond() {
            let voters = self.voters();
            let tail = self.replica.view().tail().map(|tail| tail.address);
            let response = PollResponse::Elsewhere { view: self.replica.view().epoch, tail, voters };
            return self.send(from, Letter::PollResponse { round: poll.round, response: Box::new(response) });
        }
        self.seen.insert(from, self.now);
        self.told_of.extend(poll.hears.iter().map(|heard| (*heard, self.now)));
        let is_member = self.replica.state_machine().membership.members.contains(&from);
        if is_member {
            self.give_lease(from, &poll);
        } else {
            self.joining.insert(from, poll);
        }
    }

    /// Answers a member's poll with a lease, which it keeps, and with what it lacks.
    fn give_lease(&mut self, to: Address, poll: &Poll) {
        let newest = self.replica.state_machine().epoch;
        let deadline = self.now + self.timing.lease;
        self.leases.renew(to, poll.epoch.min(newest), deadline);
        self.subscribers.insert(to, Subscriber { told: poll.epoch.max(newest), deadline });
        let ledger = self.replica.state_machine();
        let view = self.replica.view().epoch;
        let response = PollResponse::Lease {
            span: self.timing.lease,
            epoch: ledger.epoch,
            news: (poll.epoch < ledger.epoch).then(|| self.news(poll.epoch)),
            view,
            voters: if poll.view == view { vec![] } else { self.voters() },
            key: ledger.key.filter(|_| !poll.has_key),
        };
        self.send(to, Letter::PollResponse { round: poll.round, response: Box::new(response) });
    }

    /// For one that has this epoch.
    fn news(&self, has: Epoch) -> News {
        let ledger = self.replica.state_machine();
        let members_since = ledger.membership.since;
        let member = |(address, zone): &(Address, ZoneName)| Member { address: *address, zone: zone.clone() };
        News {
            epoch: ledger.epoch,
            plan_epoch: ledger.plan_epoch,
            withdrawn: ledger.withdrawn.clone(),
            members: (has < members_since).then(|| ledger.member_zones.iter().map(member).collect()),
            members_since,
        }
    }

    fn voters(&self) -> Vec<Address> {
        self.replica.view().voters.iter().map(|voter| voter.address).collect()
    }

    /// Tells news to members that polled lately, and answers settled changes that most members know.
    fn release(&mut self) {
        let (epoch, now) = (self.replica.state_machine().epoch, self.now);
        let is_behind = |subscriber: &Subscriber| subscriber.told < epoch && now < subscriber.deadline;
        if self.subscribers.values().any(is_behind) && self.may_respond() {
            let (whole, brief) = (self.news(Epoch(0)), self.news(epoch));
            let since = whole.members_since;
            let behind: Vec<(Address, bool)> = self
                .subscribers
                .iter()
                .filter(|(_, subscriber)| is_behind(subscriber))
                .map(|(member, subscriber)| (*member, subscriber.told < since))
                .collect();
            for (member, wants_membership) in behind {
                let news = if wants_membership { &whole } else { &brief };
                self.subscribers.entry(member).and_modify(|subscriber| subscriber.told = epoch);
                self.send(member, Letter::News { news: Box::new(news.clone()) });
            }
        }
        while let Some(settled) = self.settled.front() {
            let is_known = self.is_known(settled.epoch);
            if !is_known && self.now < settled.deadline {
                break;
            }
            let Some(settled) = self.settled.pop_front() else { break };
            if !is_known && settled.ticket.number < INNER {
                continue;
            }
            self.answer(settled.ticket, settled.body);
        }
    }

    /// Gives an answer for the core, if this is still the tail and may.
    fn answer(&mut self, ticket: Ticket, body: Vec<u8>) {
        match self.replica.respond(self.now, ticket, body) {
            Some(Output::Send { to, note }) => self.send_note(to, note),
            Some(Output::Response { number, is_replied, body }) => self.on_response(number, is_replied, body),
            _ => {}
        }
    }

    /// Whether as many know this epoch as must.
    fn is_known(&self, epoch: Epoch) -> bool {
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
    fn is_firm(&self, epoch: Epoch) -> bool {
        self.replica.has_copies() && (self.timing.quorum == Quorum::Majority || self.is_known(epoch))
    }

    /// Whether enough of those before the last change of the membership know the membership now.
    fn is_membership_settled(&self) -> bool {
        let membership = &self.replica.state_machine().membership;
        match self.timing.quorum {
            Quorum::Majority => self.leases.is_membership_settled(membership),
            Quorum::Holders => self.is_known(membership.since),
        }
    }

    fn has_quorum(&self) -> bool {
        let membership = &self.replica.state_machine().membership;
        let has_members = self.timing.quorum == Quorum::Holders || self.leases.has_majority(membership, self.now);
        self.may_respond() && has_members
    }

    fn on_clock_event(&mut self) {
        let has_majority = self.has_quorum();
        self.replica.set_has_members(has_majority);
        self.responses_since = if self.may_respond() { self.responses_since.or(Some(self.now)) } else { None };
        if self.may_respond() {
            if self.replica.state_machine().key.is_none() && self.now >= self.key_deadline {
                self.key_deadline = self.now + Span(400);
                self.propose_inner(Command::Key { key: self.key });
            }
            self.admit();
            if has_majority {
                self.settle();
                self.retire();
            }
        }
        let now = self.now;
        self.subscribers.retain(|_, subscriber| now < subscriber.deadline);
        let deadline: Vec<u64> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| waiting.next_try.is_some_and(|at| now >= at) || now >= waiting.deadline)
            .map(|(number, _)| *number)
            .collect();
        for number in deadline {
            self.try_again(number);
        }
    }

    /// Lets those in that asked, a change of the membership at a time.
    fn admit(&mut self) {
        let membership = &self.replica.state_machine().membership;
        let members = &membership.members;
        let joined: Vec<Address> = self.joining.keys().filter(|one| members.contains(one)).copied().collect();
        for address in joined {
            if let Some(poll) = self.joining.remove(&address) {
                self.give_lease(address, &poll);
            }
        }
        if self.joining.is_empty() || self.now < self.join_deadline || !self.is_membership_settled() {
            return;
        }
        self.join_deadline = self.now + self.timing.join;
        let members = self.joining.iter().map(|(address, poll)| (*address, poll.member.zone.clone())).collect();
        self.propose_inner(Command::Join { members });
    }

    /// Once more than half of the previous members know the membership, they are needed for no majority any more.
    fn settle(&mut self) {
        let membership = &self.replica.state_machine().membership;
        if membership.previous == membership.members || self.now < self.settle_deadline || !self.is_membership_settled()
        {
            return;
        }
        let since = membership.since;
        self.settle_deadline = self.now + Span(400);
        self.propose_inner(Command::Settle { since });
    }

    /// Takes members out that have held no lease for long.
    fn retire(&mut self) {
        if self.now < self.retire_deadline || !self.is_membership_settled() {
            return;
        }
        self.retire_deadline = self.now + Span::seconds(1);
        let is_gone = |member: &&Address| {
            self.seen.get(*member).is_none_or(|seen| self.now.since(*seen) >= self.timing.retire_after)
        };
        let gone: Vec<Address> =
            self.replica.state_machine().membership.members.iter().filter(is_gone).copied().collect();
        if !gone.is_empty() {
            self.propose_inner(Command::Retire { members: gone });
        }
    }

    fn propose_inner(&mut self, command: Command) {
        self.next_inner += 1;
        let proposal = Proposal { id: String::new(), builds_on: None, seen: Epoch(0), command };
        self.drive(Input::Propose { number: self.next_inner, body: proposal.to_bytes() });
    }

    fn on_plan_ask(&mut self, from: Address, epoch: Epoch, offset: u64, have: Epoch) {
        let ledger = self.replica.state_machine();
        if let Some((base, splice)) = &ledger.newest
            && (epoch, have, offset) == (ledger.plan_epoch, *base, 0)
            && splice.inserted.len() <= SPLICE_MOST
        {
            let (base, splice) = (*base, splice.clone());
            return self.send(from, Letter::PlanSplice { epoch, base, splice });
        }
        let piece = Letter::plan_piece(epoch, &ledger.plan, offset).filter(|_| ledger.plan_epoch == epoch);
        piece.into_iter().for_each(|letter| self.send(from, letter));
    }

    fn on_operator(&mut self, number: u64, ask: OperatorAsk) {
        let is_read = matches!(ask, OperatorAsk::Read(_));
        let deadline = self.now + if is_read { self.timing.read_patience } else { self.timing.fate_deadline };
        let patience_deadline = self.now + self.timing.patience;
        self.last_asked += 1;
        let (next_try, asked) = (Some(self.now), self.last_asked);
        let clear_deadline = match &ask {
            OperatorAsk::Propose(proposal) if proposal.command.is_of_a_zone() => self.now + SEEN_WITHIN,
            _ => deadline,
        };
        let is_cleared = false;
        let waiting =
            Waiting { ask, next_try, patience_deadline, deadline, clear_deadline, is_cleared, asked, asked_of: None };
        self.waiting.insert(number, waiting);
        if !self.replica.hears_majority(self.now) {
            // Nothing was asked or proposed yet, so this is final, and its operator loses no time here.
            return self.give_up(number, ResultCode::CoreNotReady);
        }
        self.try_again(number);
    }

    fn try_again(&mut self, number: u64) {
        let Some(waiting) = self.waiting.get_mut(&number) else { return };
        let retry_at = self.now + self.timing.replica.retry;
        if self.now >= waiting.deadline {
            let code = match waiting.ask {
                OperatorAsk::Read(_) => ResultCode::CoreNotReady,
                OperatorAsk::Propose(_) => ResultCode::FateUnknown,
            };
            return self.give_up(number, code);
        }
        if !waiting.is_cleared && self.now >= waiting.clear_deadline {
            // Nothing was proposed; and what the tail tells from now on is newer than the request.
            return self.give_up(number, ResultCode::CoreNotReady);
        }
        match &waiting.ask {
            OperatorAsk::Read(reading) => {
                waiting.next_try = Some(retry_at);
                let reading = reading.clone();
                // A change's base may be read here: the head judges whether it's the newest.
                let is_base =
                    matches!(reading, Reading::Base { at_least } if self.replica.state_machine().epoch >= at_least);
                let is_known_here = || {
                    let state = self.replica.state();
                    state.is_sound && state.view.seats(&state.me)
                };
                if self.may_respond() || (is_base && is_known_here()) {
                    self.waiting.remove(&number);
                    let (status, body) = self.read(&reading);
                    self.outputs.push(ControllerOutput::Response { number, status, body });
                } else {
                    self.ask_tail(number, reading);
                }
            }
            OperatorAsk::Propose(proposal)
                if !waiting.is_cleared
                    && let Some(reading) = read_before(proposal) =>
            {
                waiting.next_try = Some(retry_at);
                if self.may_respond() {
                    let (status, body) = self.read(&reading);
                    self.clear(number, status, body);
                } else {
                    self.ask_tail(number, reading);
                }
            }
            OperatorAsk::Propose(proposal) => {
                // Each try has a number of its own: a late word on one says nothing of the next.
                self.last_asked += 1;
                (waiting.asked, waiting.asked_of) = (self.last_asked, None);
                waiting.next_try = None;
                let (number, body) = (waiting.asked, proposal.to_bytes());
                self.drive(Input::Propose { number, body });
            }
        }
    }

    fn ask_tail(&mut self, number: u64, reading: Reading) {
        let Some(tail) = self.replica.view().tail() else { return };
        let Some(waiting) = self.waiting.get_mut(&number) else { return };
        waiting.asked_of = Some(tail.address);
        let number = waiting.asked;
        self.send(tail.address, Letter::Ask { number, reading: Box::new(reading) });
    }

    /// The tail's answer. It's taken only for the question that waits under this number, and only from
    /// the one that was asked last.
    fn on_told(&mut self, from: Address, asked: u64, status: u16, body: Vec<u8>) {
        let is_its = |waiting: &Waiting| waiting.asked == asked && waiting.asked_of == Some(from);
        let Some((&number, waiting)) = self.waiting.iter().find(|(_, waiting)| is_its(waiting)) else { return };
        if matches!(waiting.ask, OperatorAsk::Propose(_)) {
            return self.clear(number, status, body);
        }
        self.waiting.remove(&number);
        self.outputs.push(ControllerOutput::Response { number, status, body });
    }

    /// The tail's word on what is to be known before it's proposed: which epoch is the newest, or whether those
    /// to be forgotten are heard. If nobody hears them, it's proposed; a tail that does not know yet is asked
    /// again; any other word is the operator's answer.
    fn clear(&mut self, number: u64, status: u16, body: Vec<u8>) {
        let Some(waiting) = self.waiting.get_mut(&number) else { return };
        if waiting.is_cleared {
            return;
        }
        if self.now >= waiting.clear_deadline {
            return self.give_up(number, ResultCode::CoreNotReady);
        }
        match status {
            200 => {
                if let OperatorAsk::Propose(proposal) = &mut waiting.ask
                    && proposal.command.is_of_a_zone()
                {
                    let Ok(newest) = body.try_into() else { return };
                    proposal.seen = Epoch(u64::from_be_bytes(newest));
                }
                waiting.is_cleared = true;
                self.try_again(number);
            }
            503 if self.now < waiting.patience_deadline => {}
            _ => {
                self.waiting.remove(&number);
                self.outputs.push(ControllerOutput::Response { number, status, body });
            }
        }
    }

    fn give_up(&mut self, number: u64, code: ResultCode) {
        self.waiting.remove(&number);
        let body = serde_json::json!({"code": code.number(), "result": code.word(), "why": code.meaning()});
        let body = serde_json::to_vec(&body).expect("a JSON value is JSON");
        self.outputs.push(ControllerOutput::Response { number, status: code.http_status(), body });
    }

    /// The core's answer to a proposal made here, taken only for the newest try of an operator's.
    fn on_response(&mut self, asked: u64, is_replied: bool, body: Vec<u8>) {
        let is_its = |waiting: &Waiting| waiting.asked == asked && waiting.asked_of.is_none();
        let Some((&number, waiting)) = self.waiting.iter_mut().find(|(_, waiting)| is_its(waiting)) else { return };
        if is_replied {
            self.waiting.remove(&number);
            let status = status_of(&body);
            self.outputs.push(ControllerOutput::Response { number, status, body });
        } else if self.now < waiting.patience_deadline {
            // The core did not take it, so asking again can't do it twice.
            waiting.next_try = Some(self.now + self.timing.replica.retry);
        } else {
            self.give_up(number, ResultCode::CoreNotReady);
        }
    }

    /// What the ledger says, as status and body.
    fn read(&self, reading: &Reading) -> (u16, Vec<u8>) {
        let ledger = self.replica.state_machine();
        let missing = |code: ResultCode, why: String| {
            let value = serde_json::json!({"code": code.number(), "result": code.word(), "why": why});
            (code.http_status(), serde_json::to_vec(&value).expect("a JSON value is JSON"))
        };
        let good = |value: serde_json::Value| (200, serde_json::to_vec(&value).expect("a JSON value is JSON"));
        match reading {
            Reading::Latest => good(serde_json::json!({
                "epoch": ledger.epoch,
                "plan_epoch": ledger.plan_epoch,
                "withdrawn": ledger.withdrawn,
                "zones": ledger.zones(),
                "members": ledger.member_zones.iter()
                    .map(|(address, zone)| serde_json::json!({"address": address, "zone": zone})).collect::<Vec<_>>(),
            })),
            Reading::Newest => (200, ledger.epoch.0.to_be_bytes().to_vec()),
            Reading::Epoch { epoch: Epoch(0) } if ledger.plan_epoch > Epoch(0) => (200, ledger.plan.clone()),
            Reading::Base { .. } => {
                let mut body = ledger.plan_epoch.0.to_be_bytes().to_vec();
                body.extend_from_slice(&ledger.plan);
                (200, body)
            }
            Reading::Epoch { epoch } => match ledger.as_sent(*epoch) {
                Ok(AsSent::Body(bytes)) => (200, bytes),
                Ok(AsSent::Withdraw(zone)) => good(serde_json::json!({"withdraw": zone})),
                Ok(AsSent::Forget(members)) => good(serde_json::json!({"forget": members})),
                Ok(AsSent::Restore(zone)) => good(serde_json::json!({"restore": zone})),
                Err(NotKept::Never) => {
                    missing(ResultCode::UnknownEpoch, format!("no operator's command was accepted as epoch {epoch}"))
                }
                Err(NotKept::NoLonger) => {
                    missing(ResultCode::NoLongerKept, format!("what was sent as epoch {epoch} is no longer kept"))
                }
            },
            Reading::Heard { id, .. } if ledger.entry_by_id(id).is_some() => good(serde_json::json!({"heard": []})),
            Reading::Heard { members, .. } => {
                let is_recent = |at: Option<&Moment>| at.is_some_and(|at| self.now.since(*at) < FORGET_AFTER);
                let is_heard =
                    |member: &&Address| is_recent(self.seen.get(*member)) || is_recent(self.told_of.get(*member));
                let heard: Vec<String> = members.iter().filter(is_heard).map(Address::to_string).collect();
                if !heard.is_empty() {
                    return missing(ResultCode::StillHeard, format!("still heard: {}", heard.join(", ")));
                }
                if self.responses_since.is_none_or(|since| self.now.since(since) < FORGET_AFTER) {
                    let why = "the core has not listened for long enough to tell who is lost";
                    return missing(ResultCode::CoreNotReady, why.to_owned());
                }
                good(serde_json::json!({"heard": heard}))
            }
            Reading::Fate { id } if ledger.entry_by_id(id).is_some_and(|entry| !self.is_firm(entry.epoch)) => {
                let why = "it is in the chain, and not yet accepted: too few disks hold it, or nodes know it";
                missing(ResultCode::CoreNotReady, why.to_owned())
            }
            Reading::Fate { id } => match ledger.history.fate(id) {
                Fate::Accepted(epoch) => good(serde_json::json!({
                    "code": ResultCode::Accepted.number(), "result": ResultCode::Accepted.word(),
                    "id": id, "epoch": epoch,
                })),
                Fate::NotAccepted => {
                    missing(ResultCode::UnknownChange, format!("no change with id `{id}` is accepted so far"))
                }
                Fate::TooOldToKnow => {
                    let oldest = ledger.history.forgotten.epoch.next();
                    let why =
                        format!("no change from epoch {oldest} on has the id `{id}`; older ones are not remembered");
                    missing(ResultCode::TooOldToKnow, why)
                }
            },
        }
    }
}

/// What the tail must be asked before this is proposed.
fn read_before(proposal: &Proposal) -> Option<Reading> {
    match &proposal.command {
        Command::Forget { members } => Some(Reading::Heard { id: proposal.id.clone(), members: members.clone() }),
        command => command.is_of_a_zone().then_some(Reading::Newest),
    }
}

/// The HTTP status that goes with an outcome's code.
fn status_of(body: &[u8]) -> u16 {
    let code = serde_json::from_slice::<serde_json::Value>(body).ok().and_then(|value| value["code"].as_u64());
    let found = ResultCode::ALL.iter().find(|known| Some(u64::from(known.number())) == code);
    found.map_or(500, |code| code.http_status())
}

#[cfg(test)]
mod tests;
