//! Views: the founding, ballots, and the tail's lease.

use super::*;
use crate::messages::{ProposalNumber, Record, ReplicationMessage, ViewProposal};
use crate::replica::{Output, Replica};
use crate::state_machine::StateMachine;
use crate::view::{ChainPosition, View, Voter};
use types::{Address, DiskId, Milliseconds, MonotonicInstant, SequenceNumber, ViewNumber};

impl<C: StateMachine> Replica<C> {
    /// Whether it votes on the first view: it was told that it is a founder when its disk was empty, and that
    /// disk is still the same.
    fn is_founder(&self) -> bool {
        let is_untouched = self.is_fresh || self.promised.0 == ViewNumber(1);
        let is_named = self.founders.contains(&self.me.address);
        self.view.epoch == ViewNumber(0)
            && is_named
            && is_untouched
            && self.last.0 == SequenceNumber(0)
    }

    /// A founder bids for the first view once it has heard all others, the first one by address at once; or
    /// most of them, after a while and in turn.
    pub(super) fn found(&mut self) {
        if !self.is_founder() {
            return;
        }
        if self.promised.0 == ViewNumber(0) {
            // After a restart, this tells that it is a founder, whatever it's told then.
            self.promised = (ViewNumber(1), ProposalNumber::default());
            self.write(
                Record::Promised {
                    instance: ViewNumber(1),
                    proposal_number: ProposalNumber::default(),
                },
                None,
            );
        }
        if self.bid.is_some() {
            return self.close_founding();
        }
        let is_heard = |address: &Address| {
            let lately = |h: &Heard| {
                h.view == ViewNumber(0) && self.now.since(h.at) < self.timing.suspect_timeout
            };
            *address == self.me.address || self.heard.get(address).is_some_and(lately)
        };
        let heard = self
            .founders
            .iter()
            .filter(|address| is_heard(address))
            .count();
        let turn = self
            .founders
            .iter()
            .take_while(|address| **address != self.me.address)
            .count() as u64;
        let is_turn = self.now
            >= self.not_before + Milliseconds(self.timing.proposal_retry_interval.0 * 2 * turn);
        let are_all_here = turn == 0 && heard == self.founders.len() && self.top_count == 0;
        if !are_all_here && (!is_turn || heard < self.founders_majority()) {
            return;
        }
        self.top_count += 1;
        self.bid = Some(Bid {
            proposal_number: ProposalNumber {
                count: self.top_count,
                proposer: self.me.disk.0,
            },
            founders: BTreeMap::new(),
            promises: BTreeMap::new(),
            proposal: None,
            accepts: BTreeSet::new(),
            sent: MonotonicInstant(0),
            deadline: self.now + Milliseconds(self.timing.proposal_retry_interval.0 * 8),
        });
    }

    fn founders_majority(&self) -> usize {
        self.founders.len() / 2 + 1
    }

    /// Once most founders promised, and the others had a while for it, they found: each with the disk that it
    /// promised with. One that didn't promise has its place kept, for whatever disk comes at its address.
    fn close_founding(&mut self) {
        let majority = self.founders_majority();
        let Some(bid) = &mut self.bid else { return };
        let is_over =
            self.now + Milliseconds(self.timing.proposal_retry_interval.0 * 7) >= bid.deadline;
        let have = bid.founders.len();
        if bid.proposal.is_some() || have < majority || (have < self.founders.len() && !is_over) {
            return;
        }
        let voter = |address: &Address| {
            let disk = bid.founders.get(address).copied().unwrap_or(DiskId(0));
            Voter {
                address: *address,
                disk,
            }
        };
        let voters: Vec<Voter> = self.founders.iter().map(voter).collect();
        let here = voters.iter().filter(|voter| voter.disk != DiskId(0));
        let chain = here
            .map(|voter| ChainPosition {
                voter: *voter,
                is_caught_up: true,
            })
            .collect();
        let newest = bid
            .promises
            .values()
            .flatten()
            .max_by_key(|proposal| proposal.proposal_number);
        let view = newest.map_or(
            View {
                epoch: ViewNumber(1),
                chain,
                voters,
            },
            |proposal| proposal.view.clone(),
        );
        bid.proposal = Some(ViewProposal {
            proposal_number: bid.proposal_number,
            view,
        });
        bid.sent = MonotonicInstant(0);
        self.push_bid();
    }

    /// What the view should be, as far as this replica sees.
    fn wish(&self) -> View {
        let mut chain: Vec<ChainPosition> = vec![];
        for position in &self.view.chain {
            if !self.is_alive(&position.voter) || self.is_stuck(&position.voter) {
                continue;
            }
            let says_level = if position.voter == self.me {
                self.is_caught_up
            } else {
                let heard = self.heard.get(&position.voter.address);
                heard.is_some_and(|h| h.view == self.view.epoch && h.is_caught_up)
            };
            chain.push(ChainPosition {
                voter: position.voter,
                is_caught_up: position.is_caught_up || says_level,
            });
        }
        let mut voters = self.view.voters.clone();
        if self.is_tail() && self.is_caught_up {
            for (voter, follower) in &self.followers {
                let is_near = follower.last.0 + 16 >= self.synced.0.0;
                let is_heard = self.now.since(follower.heard) < self.timing.suspect_timeout;
                let is_wanted = self.is_alive(voter) && !self.is_draining(voter);
                if !is_near || !is_heard || !is_wanted || self.view.contains(voter) {
                    continue;
                }
                if !voters.contains(voter) {
                    match self.replaceable(&voters, &chain, voter) {
                        Some(place) => voters[place] = *voter,
                        None if voters.len() < self.timing.target_voters => voters.push(*voter),
                        None => continue,
                    }
                }
                chain.push(ChainPosition {
                    voter: *voter,
                    is_caught_up: false,
                });
            }
            chain.retain(|position| voters.contains(&position.voter));
        }
        self.drop_own_seat(&mut chain);
        View {
            epoch: self.view.epoch.next(),
            chain,
            voters,
        }
    }

    /// Whose vote a follower with another disk may take over: that of its own address, of a voter that is
    /// about to stop, or of one long unheard.
    fn replaceable(
        &self,
        voters: &[Voter],
        chain: &[ChainPosition],
        follower: &Voter,
    ) -> Option<usize> {
        let is_gone = |voter: &Voter| {
            *voter != self.me
                && self.now >= self.listens_since + self.timing.voter_replacement_timeout
                && self.heard.get(&voter.address).is_none_or(|h| {
                    h.disk != voter.disk
                        || self.now.since(h.at) >= self.timing.voter_replacement_timeout
                })
        };
        let same = voters
            .iter()
            .position(|v| v.address == follower.address && v.disk != follower.disk);
        let leaving = || {
            voters
                .iter()
                .position(|v| self.is_draining(v) && self.can_be_spared(v, chain))
        };
        same.or_else(leaving).or_else(|| {
            voters
                .iter()
                .position(|v| v.address != follower.address && is_gone(v))
        })
    }

    /// What the view should be, if there is reason for a ballot.
    fn wanted_view(&self) -> Option<View> {
        let wish = self.wish();
        // A ballot that was accepted here and came to no end keeps the tail from its lease: a new one
        // finishes it or outdoes it.
        let has_open_ballot = self
            .accepted
            .as_ref()
            .is_some_and(|proposal| proposal.view.epoch == self.view.epoch.next());
        let is_change = self.has_released
            || has_open_ballot
            || wish.chain != self.view.chain
            || wish.voters != self.view.voters;
        (is_change && self.view.may_be_followed_by(&wish) && self.is_lasting(&wish)).then_some(wish)
    }

    /// Starts a ballot where the view should change and it's this replica's turn.
    pub(super) fn consider(&mut self) {
        if self.bid.is_some()
            || self.is_stalled()
            || !self.view.has_voter(&self.me)
            || self.now < self.not_before
        {
            return;
        }
        let Some(wish) = self.wanted_view() else {
            self.wanted_since = None;
            return;
        };
        let since = *self.wanted_since.get_or_insert(self.now);
        let does_admit = wish
            .chain
            .iter()
            .any(|position| !self.view.contains(&position.voter));
        let turn = self.turn();
        if !does_admit
            && self.draining_since.is_none()
            && self.now < since + Milliseconds(self.timing.proposal_retry_interval.0 * 2 * turn)
        {
            return;
        }
        self.top_count += 1;
        let proposal_number = ProposalNumber {
            count: self.top_count,
            proposer: self.me.disk.0,
        };
        self.bid = Some(Bid {
            proposal_number,
            founders: BTreeMap::new(),
            promises: BTreeMap::new(),
            proposal: None,
            accepts: BTreeSet::new(),
            sent: MonotonicInstant(0),
            deadline: self.now
                + self.timing.lease_duration
                + self.timing.lease_duration
                + Milliseconds(self.timing.proposal_retry_interval.0 * 4),
        });
        self.push_bid();
    }

    /// How many living voters come before this one.
    fn turn(&self) -> u64 {
        let mut request: Vec<Voter> = self.view.chain.iter().map(|s| s.voter).collect();
        request.extend(self.view.voters.iter().filter(|v| !self.view.contains(v)));
        request
            .iter()
            .take_while(|v| **v != self.me)
            .filter(|v| self.is_alive(v))
            .count() as u64
    }

    /// Sends a ballot's notes, again if need be, and gives it up at its deadline.
    pub(super) fn push_bid(&mut self) {
        let Some(bid) = &mut self.bid else { return };
        if self.now >= bid.deadline {
            self.bid = None;
            self.not_before = self.now + self.pause();
            return;
        }
        if self.now < bid.sent + self.timing.proposal_retry_interval {
            return;
        }
        bid.sent = self.now;
        let message = match &bid.proposal {
            Some(proposal) => ReplicationMessage::Accept {
                proposal: proposal.clone(),
            },
            None => ReplicationMessage::Prepare {
                instance: self.view.epoch.next(),
                proposal_number: bid.proposal_number,
            },
        };
        let electors = match self.view.epoch {
            ViewNumber(0) => self.founders.clone(),
            _ => self.view.voters.iter().map(|voter| voter.address).collect(),
        };
        let releases = bid
            .proposal
            .as_ref()
            .is_some_and(|proposal| proposal.view.tail() != Some(self.me));
        if releases && self.view.tail() == Some(self.me) {
            // By proposing another tail this one gives its lease up, for good in this view: voters
            // take such a ballot from it whenever it reaches them. Its own promise, on its disk by
            // now, tells it so after a restart.
            self.lease_deadline = MonotonicInstant(0);
            self.has_released = true;
        }
        for address in electors {
            self.send(address, message.clone());
        }
    }

    /// A pause before the next try that differs from replica to replica and try to try.
    fn pause(&self) -> Milliseconds {
        let mixed = (self.me.disk.0 as u64 ^ self.top_count).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        Milliseconds(
            self.timing.proposal_retry_interval.0 / 2
                + (mixed >> 40) % (self.timing.proposal_retry_interval.0 * 2),
        )
    }

    pub(super) fn on_prepare(
        &mut self,
        from: Address,
        instance: ViewNumber,
        proposal_number: ProposalNumber,
    ) {
        self.top_count = self.top_count.max(proposal_number.count);
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
            Some(Deferred::Send(from, message)),
        );
    }

    pub(super) fn on_promise(
        &mut self,
        from: Address,
        instance: ViewNumber,
        proposal_number: ProposalNumber,
        disk: DiskId,
        accepted: Option<ViewProposal>,
    ) {
        let is_founding = self.view.epoch == ViewNumber(0);
        let is_elector = if is_founding {
            self.founders.contains(&from)
        } else {
            self.view.voters.iter().any(|v| v.disk == disk)
        };
        let Some(bid) = &mut self.bid else { return };
        if instance != self.view.epoch.next()
            || bid.proposal_number != proposal_number
            || bid.proposal.is_some()
            || !is_elector
        {
            return;
        }
        bid.promises.insert(disk, accepted);
        if is_founding {
            bid.founders.insert(from, disk);
            return self.close_founding();
        }
        self.propose_view();
    }

    /// Once most voters have promised, proposes what the newest ballot accepted among them proposes, or else what the
    /// view should be by now. That is not what it should have been when the ballot began: whoever was not there then,
    /// and has promised since, is. A view without those would rest on fewer disks than are there.
    pub(super) fn propose_view(&mut self) {
        let is_founding = self.view.epoch == ViewNumber(0);
        let Some(bid) = self
            .bid
            .as_ref()
            .filter(|bid| bid.proposal.is_none() && !is_founding)
        else {
            return;
        };
        if bid.promises.len() < self.view.majority() || !bid.promises.contains_key(&self.me.disk) {
            return;
        }
        let newest = bid
            .promises
            .values()
            .flatten()
            .max_by_key(|proposal| proposal.proposal_number);
        let view = match newest {
            Some(proposal) => Some(proposal.view.clone()),
            // Its beat is under way, and tells how far it is.
            None if self.awaits_promiser(bid) => return,
            None => self.wanted_view(),
        };
        let proposal_number = bid.proposal_number;
        match (view, &mut self.bid) {
            (Some(view), Some(bid)) => {
                bid.proposal = Some(ViewProposal {
                    proposal_number,
                    view,
                });
                bid.sent = MonotonicInstant(0);
                self.push_bid();
            }
            _ => {
                // Nothing is to be changed any more.
                self.bid = None;
                self.wanted_since = None;
            }
        }
    }

    /// Whether one that has a seat and has promised was not heard yet.
    fn awaits_promiser(&self, bid: &Bid) -> bool {
        let seated = self.view.chain.iter().map(|position| position.voter);
        let promisers =
            seated.filter(|voter| *voter != self.me && bid.promises.contains_key(&voter.disk));
        let is_unheard = |voter: Voter| {
            let lately = |heard: &Heard| {
                heard.disk == voter.disk && self.now.since(heard.at) < self.timing.suspect_timeout
            };
            !self.heard.get(&voter.address).is_some_and(lately)
        };
        promisers.into_iter().any(is_unheard)
    }

    pub(super) fn on_accept(&mut self, from: Address, proposal: ViewProposal) {
        let instance = proposal.view.epoch;
        self.top_count = self.top_count.max(proposal.proposal_number.count);
        if instance != self.view.epoch.next() {
            return;
        }
        if self.promised.0 == instance && proposal.proposal_number < self.promised.1 {
            let message = ReplicationMessage::ProposalRejected {
                instance,
                promised: self.promised.1,
            };
            return self.send(from, message);
        }
        if instance == ViewNumber(1) {
            if !self.may_found(&proposal.view) {
                return;
            }
        } else {
            if !self.view.has_voter(&self.me) || !self.view.may_be_followed_by(&proposal.view) {
                return;
            }
            let is_tail_kept = proposal.view.tail() == self.view.tail();
            let is_released = self.view.tail().is_some_and(|tail| tail.address == from);
            if !is_tail_kept && !is_released && self.now < self.granted_until.max(self.silent_until)
            {
                // The word given to the tail is waited out; no new one is given meanwhile.
                self.paused_until =
                    self.now + self.timing.lease_duration + self.timing.lease_duration;
                return;
            }
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
            Some(Deferred::Send(from, message)),
        );
    }

    /// Whether this replica may accept this first view: all founders have a place in it.
    fn may_found(&self, view: &View) -> bool {
        self.is_founder()
            && view
                .voters
                .iter()
                .map(|v| v.address)
                .eq(self.founders.iter().copied())
    }

    pub(super) fn on_accepted(
        &mut self,
        from: Address,
        instance: ViewNumber,
        proposal_number: ProposalNumber,
        disk: DiskId,
    ) {
        let is_founding = self.view.epoch == ViewNumber(0);
        let (is_elector, needed) = match is_founding {
            true => (self.founders.contains(&from), self.founders_majority()),
            false => (
                self.view.voters.iter().any(|v| v.disk == disk),
                self.view.majority(),
            ),
        };
        let Some(bid) = &mut self.bid else { return };
        let Some(proposal) = &bid.proposal else {
            return;
        };
        if instance != self.view.epoch.next()
            || proposal.proposal_number != proposal_number
            || !is_elector
        {
            return;
        }
        bid.accepts.insert(disk);
        if bid.accepts.len() >= needed {
            let view = proposal.view.clone();
            let mut told = self.others();
            told.extend(view.voters.iter().map(|v| v.address));
            told.remove(&self.me.address);
            for address in told {
                self.outputs.push(Output::Send {
                    to: address,
                    message: ReplicationMessage::Decided { view: view.clone() },
                });
            }
            self.adopt(view);
        }
    }

    pub(super) fn on_outdone(&mut self, instance: ViewNumber, promised: ProposalNumber) {
        self.top_count = self.top_count.max(promised.count);
        let Some(bid) = &self.bid else { return };
        if instance == self.view.epoch.next() && bid.proposal_number < promised {
            self.bid = None;
            self.not_before = self.now + self.pause();
        }
    }

    /// Takes up a decided view.
    pub(super) fn adopt(&mut self, view: View) {
        if view.epoch <= self.view.epoch {
            return;
        }
        let was_seated = self.view.contains(&self.me);
        let was_tail = self.is_tail();
        // Level is carried over only from the view right before: one between may have gone on
        // without this replica.
        let stays_level = was_seated && self.is_caught_up && view.epoch == self.view.epoch.next();
        let old_tail = self.view.tail();
        let are_voters_kept = self.view.voters == view.voters;
        self.take_view(view.clone());
        self.write(Record::View { view: view.clone() }, None);
        self.bid = None;
        self.wanted_since = None;
        self.followers.clear();
        self.early.clear();
        self.passed = (SequenceNumber(0), MonotonicInstant(0));
        self.successor_moved = (SequenceNumber(0), self.now);
        let position = view.position(&self.me).copied();
        self.is_caught_up = match position {
            Some(position) => position.is_caught_up || stays_level,
            None => false,
        };
        if view.tail() != old_tail || !was_tail || !are_voters_kept {
            // The next view is up to these voters, and most of them may not have given their word.
            self.lease_deadline = MonotonicInstant(0);
            self.asked_at = MonotonicInstant(0);
        }
        self.grants.clear();
        self.ask_round += 1;
        self.has_released = false;
        if view.tail() != old_tail {
            // The word was given to another tail, which this view has waited out.
            self.granted_until = MonotonicInstant(0);
        }
        self.paused_until = MonotonicInstant(0);
        if position.is_some() {
            self.fetching = None;
        }
        if self.is_tail() && self.is_caught_up {
            self.commit_index = self.synced.0;
        }
        if !self.is_tail() {
            self.snapshot = None;
        }
        self.next_heartbeat = self.now;
        self.outputs.push(Output::ViewChanged(view));
    }

    /// The tail asks the voters for their word, well before the last one runs out.
    pub(super) fn ask_lease(&mut self) {
        if !self.is_tail()
            || self.has_released
            || self.is_stalled()
            || self.now < self.asked_at + Milliseconds(self.timing.holder_lease_duration.0 / 4)
        {
            return;
        }
        self.ask_round += 1;
        self.asked_at = self.now;
        self.grants.clear();
        let message = ReplicationMessage::LeaseRequest {
            view: self.view.epoch,
            request_number: self.ask_round,
        };
        for voter in self.view.voters.clone() {
            self.send(voter.address, message.clone());
        }
    }

    pub(super) fn on_lease_ask(&mut self, from: Address, view: ViewNumber, request_number: u64) {
        let is_from_tail = self.view.tail().is_some_and(|tail| tail.address == from);
        let tail = self.view.tail();
        let backs_other = self
            .accepted
            .as_ref()
            .is_some_and(|b| b.view.epoch == view.next() && b.view.tail() != tail);
        let may_grant = view == self.view.epoch && is_from_tail && self.view.has_voter(&self.me);
        if !may_grant || backs_other || self.now < self.paused_until {
            return;
        }
        self.granted_until = self.now + self.timing.lease_duration;
        let message = ReplicationMessage::LeaseGrant {
            view,
            request_number,
            disk: self.me.disk,
        };
        self.send(from, message);
    }

    pub(super) fn on_lease_grant(&mut self, view: ViewNumber, request_number: u64, disk: DiskId) {
        let is_voter = self.view.voters.iter().any(|v| v.disk == disk);
        if view != self.view.epoch
            || request_number != self.ask_round
            || !is_voter
            || !self.is_tail()
        {
            return;
        }
        self.grants.insert(disk);
        if self.grants.len() >= self.view.majority() {
            self.lease_deadline = self
                .lease_deadline
                .max(self.asked_at + self.timing.holder_lease_duration);
        }
    }
}
