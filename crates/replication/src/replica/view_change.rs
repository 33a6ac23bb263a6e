//! View changes: single-decree Paxos, one instance for each view number.
//!
//! The replicas are proposers and, if they are voters of the present view, acceptors. The instance
//! for view `n + 1` is decided by a majority of the voters of view `n`, so two
//! views can never both follow one.
//!
//! 1. *Prepare* ([`Replica::drive_proposal`]): the proposer picks a [`ProposalNumber`] higher than
//!    all it has seen and sends it to the voters. The number holds the proposer's disk id, so no
//!    two proposers share one.
//! 2. *Promise* ([`Replica::on_prepare`]): a voter promises to accept nothing with a lower number,
//!    and reports the proposal that it accepted before, if any. It answers only once the promise is
//!    on its disk: a voter that forgot it in a restart could accept an older proposal, and two
//!    views could be decided for one number.
//! 3. *Accept* ([`Replica::propose_view`]): with promises of a majority, the proposer must propose
//!    the view with the highest number among those reported; it's free only if there is none.
//!    Otherwise it could override a view that is decided.
//! 4. *Accepted* ([`Replica::on_accept`]): a voter accepts unless it has promised a higher number,
//!    writes that to its disk, and answers. With a majority the view is
//!    *decided*, and the proposer announces it.
//! 5. *Rejected* ([`Replica::on_proposal_rejected`]): a voter that promised a higher number says
//!    so. Safety doesn't need this message: it spares the proposer its time-out.
//!
//! Departures from the published form:
//!
//! - Fencing by the lease: a voter that has granted the tail a lease accepts no view with another
//!   tail before the lease has run out, unless the tail itself proposes it. See [`super::lease`]
//!   for what breaks without this rule.
//! - What is proposed is chosen when the promises are in, not when the attempt began, and the
//!   proposer waits for the heartbeat of each chain member that promised
//!   ([`Replica::awaits_heartbeat_of_promiser`]): a view without it would rest
//!   on fewer disks than there are.
//! - Proposers take turns and back off by a varying time, so that they don't outbid one another
//!   forever. Paxos leaves liveness to a leader election; here the turn stands for it.

use super::{PeerState, Replica, durability::AfterSync};
use crate::messages::{ProposalNumber, Record, ReplicationMessage, ViewProposal};
use crate::replica::Output;
use crate::state_machine::StateMachine;
use crate::view::{View, Voter};
use std::collections::{BTreeMap, BTreeSet};
use types::{Address, DiskId, Milliseconds, MonotonicInstant, SequenceNumber, ViewNumber};

/// What a proposer remembers of its attempts to change the view.
#[derive(Debug, Clone)]
pub(super) struct ViewChange {
    /// The attempt that is under way.
    pub(super) attempt: Option<ProposalAttempt>,
    /// The highest count of a proposal number that this replica has used or seen.
    pub(super) highest_count: u64,
    /// Since when this replica has seen a reason for another view.
    pub(super) needed_since: Option<MonotonicInstant>,
    /// No attempt is started before this.
    pub(super) next_attempt_at: MonotonicInstant,
}

impl ViewChange {
    /// Without an attempt; the first one isn't started before `not_before`.
    pub(super) fn new(next_attempt_at: MonotonicInstant) -> ViewChange {
        ViewChange {
            attempt: None,
            highest_count: 0,
            needed_since: None,
            next_attempt_at,
        }
    }
}

/// One attempt of this replica to have a view decided: the proposer's side of one ballot.
#[derive(Debug, Clone)]
pub(super) struct ProposalAttempt {
    pub(super) proposal_number: ProposalNumber,
    /// At the founding: which disk each founder promised with.
    pub(super) founders: BTreeMap<Address, DiskId>,
    /// Who promised, and what each had accepted before.
    pub(super) promises: BTreeMap<DiskId, Option<ViewProposal>>,
    /// When a majority had promised.
    pub(super) majority_at: Option<MonotonicInstant>,
    /// What is proposed, once a majority has promised.
    pub(super) proposal: Option<ViewProposal>,
    /// Who accepted it.
    pub(super) accepts: BTreeSet<DiskId>,
    /// When the messages of the present phase were last sent.
    pub(super) sent: MonotonicInstant,
    /// When the attempt is given up.
    pub(super) deadline: MonotonicInstant,
}

impl ProposalAttempt {
    /// An attempt whose prepare messages are still to be sent.
    pub(super) fn new(proposal_number: ProposalNumber, deadline: MonotonicInstant) -> Self {
        ProposalAttempt {
            proposal_number,
            founders: BTreeMap::new(),
            promises: BTreeMap::new(),
            majority_at: None,
            proposal: None,
            accepts: BTreeSet::new(),
            sent: MonotonicInstant(0),
            deadline,
        }
    }

    /// The proposal with the highest number among those that the promises report as accepted.
    pub(super) fn newest_accepted(&self) -> Option<&ViewProposal> {
        let accepted = self.promises.values().flatten();
        accepted.max_by_key(|proposal| proposal.proposal_number)
    }
}

impl<C: StateMachine> Replica<C> {
    /// Starts an attempt where the view should change and it is this replica's turn. Newcomers are
    /// admitted, and a draining member proposes, without waiting for a turn.
    pub(super) fn start_proposal(&mut self) {
        if self.view_change.attempt.is_some()
            || self.is_stalled()
            || !self.view.has_voter(&self.me)
            || self.now < self.view_change.next_attempt_at
        {
            return;
        }
        let Some(planned_view) = self.needed_view() else {
            self.view_change.needed_since = None;
            return;
        };
        let since = *self.view_change.needed_since.get_or_insert(self.now);
        let does_admit = planned_view
            .chain
            .iter()
            .any(|p| !self.view.contains(&p.voter));
        let wait = Milliseconds(self.timing.proposal_retry_interval.0 * 2 * self.proposer_rank());
        if !does_admit && self.drain.draining_since.is_none() && self.now < since + wait {
            return;
        }
        self.view_change.highest_count += 1;
        let proposal_number = ProposalNumber {
            count: self.view_change.highest_count,
            proposer: self.me.disk.0,
        };
        let resend_timeout = Milliseconds(self.timing.proposal_retry_interval.0 * 4);
        let leases = self.timing.lease_duration;
        let deadline = self.now + leases + leases + resend_timeout;
        self.view_change.attempt = Some(ProposalAttempt::new(proposal_number, deadline));
        self.drive_proposal();
    }

    /// How many reachable voters come before this one in the order of turns: the chain's order,
    /// then the other voters.
    pub(super) fn proposer_rank(&self) -> u64 {
        let mut request: Vec<Voter> = self.view.chain.iter().map(|s| s.voter).collect();
        request.extend(self.view.voters.iter().filter(|v| !self.view.contains(v)));
        request
            .iter()
            .take_while(|v| **v != self.me)
            .filter(|v| self.is_reachable(v))
            .count() as u64
    }

    /// Sends the messages of the attempt's present phase (prepare, then accept), again after
    /// [`Timing::proposal_retry_interval`](crate::Timing), and gives the
    /// attempt up at its deadline.
    pub(super) fn drive_proposal(&mut self) {
        let Some(attempt) = &mut self.view_change.attempt else {
            return;
        };
        if self.now >= attempt.deadline {
            self.view_change.attempt = None;
            self.view_change.next_attempt_at = self.now + self.backoff();
            return;
        }
        if self.now < attempt.sent + self.timing.proposal_retry_interval {
            return;
        }
        attempt.sent = self.now;
        let message = match &attempt.proposal {
            Some(proposal) => ReplicationMessage::Accept {
                proposal: proposal.clone(),
            },
            None => ReplicationMessage::Prepare {
                instance: self.view.epoch.next(),
                proposal_number: attempt.proposal_number,
            },
        };
        self.release_lease_if_superseded();
        for address in self.acceptors() {
            self.send(address, message.clone());
        }
    }

    /// The acceptors of the next view.
    fn acceptors(&self) -> Vec<Address> {
        match self.view.epoch {
            ViewNumber(0) => self.founders.clone(),
            _ => self.view.voters.iter().map(|v| v.address).collect(),
        }
    }

    /// The backoff before the next attempt, from half to two and a half times
    /// [`Timing::proposal_retry_interval`](crate::Timing). It differs from replica to replica and
    /// from attempt to attempt, so that two proposers don't keep outbidding one another.
    pub(super) fn backoff(&self) -> Milliseconds {
        let mixed = (self.me.disk.0 as u64 ^ self.view_change.highest_count)
            .wrapping_mul(0x9E37_79B9_7F4A_7C15);
        Milliseconds(
            self.timing.proposal_retry_interval.0 / 2
                + (mixed >> 40) % (self.timing.proposal_retry_interval.0 * 2),
        )
    }

    /// Prepare, at a voter: promises to accept nothing with a lower number, once
    /// that is on its disk.
    pub(super) fn on_prepare(
        &mut self,
        from: Address,
        instance: ViewNumber,
        proposal_number: ProposalNumber,
    ) {
        self.view_change.highest_count = self.view_change.highest_count.max(proposal_number.count);
        if instance != self.view.epoch.next()
            || !(self.view.has_voter(&self.me) || self.is_founder())
        {
            return;
        }
        if self.promised.0 == instance && proposal_number < self.promised.1 {
            let message = ReplicationMessage::ProposalRejected {
                instance,
                promised: self.promised.1,
            };
            return self.send(from, message);
        }
        self.promised = (instance, proposal_number);
        let accepted = self
            .accepted
            .clone()
            .filter(|proposal| proposal.view.epoch == instance);
        let message = ReplicationMessage::Promise {
            instance,
            proposal_number,
            disk: self.me.disk,
            accepted,
        };
        self.write(
            Record::Promised {
                instance,
                proposal_number,
            },
            Some(AfterSync::Send(from, message)),
        );
    }

    /// Promise, at the proposer: counts it, and goes on to the accept phase with a majority.
    pub(super) fn on_promise(
        &mut self,
        from: Address,
        instance: ViewNumber,
        proposal_number: ProposalNumber,
        disk: DiskId,
        accepted: Option<ViewProposal>,
    ) {
        let is_founding = self.view.epoch == ViewNumber(0);
        let is_acceptor = if is_founding {
            self.founders.contains(&from)
        } else {
            self.is_voting_disk(disk)
        };
        let (now, majority) = (self.now, self.view.majority());
        let Some(attempt) = &mut self.view_change.attempt else {
            return;
        };
        if instance != self.view.epoch.next()
            || attempt.proposal_number != proposal_number
            || attempt.proposal.is_some()
            || !is_acceptor
        {
            return;
        }
        attempt.promises.insert(disk, accepted);
        if attempt.promises.len() >= majority {
            attempt.majority_at.get_or_insert(now);
        }
        if is_founding {
            attempt.founders.insert(from, disk);
            return self.propose_first_view();
        }
        self.propose_view();
    }

    /// The accept phase begins once a majority has promised, this replica among them: proposes the
    /// view with the highest number that one of them has accepted, or, if there is none, the view
    /// that should follow by now.
    pub(super) fn propose_view(&mut self) {
        let is_founding = self.view.epoch == ViewNumber(0);
        let attempt = self.view_change.attempt.as_ref();
        let Some(attempt) = attempt.filter(|a| a.proposal.is_none() && !is_founding) else {
            return;
        };
        if attempt.promises.len() < self.view.majority()
            || !attempt.promises.contains_key(&self.me.disk)
        {
            return;
        }
        let view = match attempt.newest_accepted() {
            Some(proposal) => Some(proposal.view.clone()),
            // Its heartbeat is under way, and tells how far it is.
            None if self.awaits_heartbeat_of_promiser(attempt) => return,
            None => self.needed_view(),
        };
        let proposal_number = attempt.proposal_number;
        match (view, &mut self.view_change.attempt) {
            (Some(view), Some(attempt)) => {
                attempt.proposal = Some(ViewProposal {
                    proposal_number,
                    view,
                });
                attempt.sent = MonotonicInstant(0);
                self.drive_proposal();
            }
            _ => {
                // Nothing is to be changed any more.
                self.view_change.attempt = None;
                self.view_change.needed_since = None;
            }
        }
    }

    /// Whether a member of the chain or the reserve has promised whose heartbeat hasn't come yet, or
    /// only one that calls it isolated, from before it had time to hear from those who promised.
    pub(super) fn awaits_heartbeat_of_promiser(&self, attempt: &ProposalAttempt) -> bool {
        let members = self.view.chain.iter().map(|position| position.voter);
        let holders = members.chain(self.view.reserve.iter().copied());
        let promisers =
            holders.filter(|voter| *voter != self.me && attempt.promises.contains_key(&voter.disk));
        let is_unheard = |voter: Voter| {
            let lately = |peer: &PeerState| {
                peer.disk == voter.disk
                    && self.now.since(peer.last_seen) < self.timing.suspect_timeout
                    && (peer.is_healthy || !self.is_outdated(peer, attempt.majority_at))
            };
            !self.peers.get(&voter.address).is_some_and(lately)
        };
        promisers.into_iter().any(is_unheard)
    }

    /// Accept, at a voter: accepts unless it has promised a higher number, the view may not follow
    /// the present one, or a lease that it granted to the tail still fences the view off.
    pub(super) fn on_accept(&mut self, from: Address, proposal: ViewProposal) {
        let instance = proposal.view.epoch;
        self.view_change.highest_count = self
            .view_change
            .highest_count
            .max(proposal.proposal_number.count);
        if instance != self.view.epoch.next() {
            return;
        }
        if self.promised.0 == instance && proposal.proposal_number < self.promised.1 {
            return self.reject_proposal(from, instance);
        }
        let may_accept = match instance {
            ViewNumber(1) => self.may_accept_first_view(&proposal.view),
            _ => self.view.has_voter(&self.me) && self.may_follow(&proposal.view),
        };
        if !may_accept || (instance != ViewNumber(1) && self.is_fenced(from, &proposal.view)) {
            return;
        }
        let message = ReplicationMessage::Accepted {
            instance,
            proposal_number: proposal.proposal_number,
            disk: self.me.disk,
        };
        self.promised = (instance, proposal.proposal_number);
        self.accepted = Some(proposal.clone());
        self.write(
            Record::Accepted { proposal },
            Some(AfterSync::Send(from, message)),
        );
    }

    fn may_follow(&self, next: &View) -> bool {
        let min_chain_length = self.timing.min_chain_length;
        self.view.may_be_followed_by(next, min_chain_length)
    }

    /// Tells a proposer which higher number this voter has promised.
    fn reject_proposal(&mut self, from: Address, instance: ViewNumber) {
        let message = ReplicationMessage::ProposalRejected {
            instance,
            promised: self.promised.1,
        };
        self.send(from, message);
    }

    /// Accepted, at the proposer: with a majority the view is decided,
    /// announced to all, and installed here.
    pub(super) fn on_accepted(
        &mut self,
        from: Address,
        instance: ViewNumber,
        proposal_number: ProposalNumber,
        disk: DiskId,
    ) {
        let (is_acceptor, needed) = match self.view.epoch {
            ViewNumber(0) => (self.founders.contains(&from), self.founders_majority()),
            _ => (self.is_voting_disk(disk), self.view.majority()),
        };
        let Some(attempt) = &mut self.view_change.attempt else {
            return;
        };
        let Some(proposal) = &attempt.proposal else {
            return;
        };
        let is_current =
            instance == self.view.epoch.next() && proposal.proposal_number == proposal_number;
        if !is_current || !is_acceptor {
            return;
        }
        attempt.accepts.insert(disk);
        if attempt.accepts.len() >= needed {
            let view = proposal.view.clone();
            self.announce_decided(&view);
            self.install_view(view);
        }
    }

    /// Whether a voter of the present view votes with this disk.
    pub(super) fn is_voting_disk(&self, disk: DiskId) -> bool {
        self.view.voters.iter().any(|voter| voter.disk == disk)
    }

    fn announce_decided(&mut self, view: &View) {
        let mut recipients = self.known_peers();
        recipients.extend(view.voters.iter().map(|v| v.address));
        recipients.remove(&self.me.address);
        for address in recipients {
            self.outputs.push(Output::Send {
                to: address,
                message: ReplicationMessage::Decided { view: view.clone() },
            });
        }
    }

    /// Rejection of a proposal, at the proposer: gives the attempt up and backs off.
    pub(super) fn on_proposal_rejected(&mut self, instance: ViewNumber, promised: ProposalNumber) {
        self.view_change.highest_count = self.view_change.highest_count.max(promised.count);
        let Some(attempt) = &self.view_change.attempt else {
            return;
        };
        if instance == self.view.epoch.next() && attempt.proposal_number < promised {
            self.view_change.attempt = None;
            self.view_change.next_attempt_at = self.now + self.backoff();
        }
    }

    /// Installs a decided view. Decided views may come in any order and more than once; only a
    /// newer one counts.
    pub(super) fn install_view(&mut self, view: View) {
        if view.epoch <= self.view.epoch {
            return;
        }
        // Being caught up carries over only from the view right before: one between may have gone on
        // without this replica.
        let stays_caught_up = self.view.contains(&self.me)
            && self.is_caught_up
            && view.epoch == self.view.epoch.next();
        let was_tail = self.is_tail();
        let old_tail = self.view.tail();
        let are_voters_kept = self.view.voters == view.voters;
        self.set_view(view.clone());
        self.write(Record::View { view: view.clone() }, None);
        self.view_change.attempt = None;
        self.view_change.needed_since = None;
        self.catch_up.followers.clear();
        self.reset_forwarding();
        let position = view.position(&self.me).copied();
        self.is_caught_up = position.is_some_and(|p| p.is_caught_up || stays_caught_up);
        self.reset_lease(old_tail, was_tail && are_voters_kept);
        if position.is_some() {
            self.catch_up.download = None;
        }
        self.commit_if_tail();
        if !self.is_tail() {
            self.catch_up.offered_snapshot = None;
        }
        self.next_heartbeat = self.now;
        self.outputs.push(Output::ViewChanged(view));
    }

    fn reset_forwarding(&mut self) {
        self.forwarding.arrived_early.clear();
        self.forwarding.last_forwarded = (SequenceNumber(0), MonotonicInstant(0));
        self.forwarding.successor_progress = (SequenceNumber(0), self.now);
    }

    /// Takes a decided view as the present one. A proposal accepted for it or an earlier one has
    /// served its purpose.
    pub(super) fn set_view(&mut self, view: View) {
        if self
            .accepted
            .as_ref()
            .is_some_and(|proposal| proposal.view.epoch <= view.epoch)
        {
            self.accepted = None;
        }
        self.view = view;
    }
}
