//! Views: who forms the chain and who votes on the next view.

use types::{Address, DiskId, ViewNumber, messages};

messages! {
    /// A replica that votes: an address together with one disk's contents.
    #[derive(Copy, Eq, PartialOrd, Ord, Hash)]
    pub struct Voter {
        /// Where the replica listens.
        pub address: Address,
        /// The id of its disk. A wiped disk has another id, and so is another voter: it may have
        /// forgotten a promise.
        pub disk: DiskId,
    }

    /// One position in the chain.
    #[derive(Copy, Eq, Hash)]
    pub struct ChainPosition {
        /// The replica at this position.
        pub voter: Voter,
        /// Whether it is agreed that the member holds every change that was ever committed. A
        /// newcomer's position becomes caught up by a later view.
        pub is_caught_up: bool,
    }

    /// Who forms the chain, in order from head to tail, and who votes on the next view.
    ///
    /// Invariants: for each number at most one view is decided. Members that were in the view
    /// before are in the same order. At least one of them was caught up there. Each voter that a
    /// view admits is in its chain.
    #[derive(Eq, Hash)]
    pub struct View {
        /// The number of the view; one higher with each decided view.
        pub epoch: ViewNumber,
        /// The members in order, the head first and the tail last.
        pub chain: Vec<ChainPosition>,
        /// The voters: a majority of them decides the next view.
        pub voters: Vec<Voter>,
    }
}

impl View {
    /// The view number 0, before the founding: an empty chain without voters.
    pub fn none() -> View {
        View {
            epoch: ViewNumber(0),
            chain: vec![],
            voters: vec![],
        }
    }
    /// The first member, where changes enter. `None` before the founding.
    pub fn head(&self) -> Option<Voter> {
        self.chain.first().map(|position| position.voter)
    }
    /// The last member, where changes commit and answers leave. `None` before the founding.
    pub fn tail(&self) -> Option<Voter> {
        self.chain.last().map(|position| position.voter)
    }
    /// The position of this replica in the chain, if it has one.
    pub fn position(&self, voter: &Voter) -> Option<&ChainPosition> {
        self.chain.iter().find(|position| position.voter == *voter)
    }
    /// Whether this replica has a position in the chain.
    pub fn contains(&self, voter: &Voter) -> bool {
        self.position(voter).is_some()
    }
    /// Whether this replica votes on the next view.
    pub fn has_voter(&self, voter: &Voter) -> bool {
        self.voters.contains(voter)
    }
    /// The member right after this one, to which it forwards changes. `None` for the tail and
    /// outside the chain.
    pub fn successor(&self, voter: &Voter) -> Option<Voter> {
        let place = self
            .chain
            .iter()
            .position(|position| position.voter == *voter)?;
        self.chain.get(place + 1).map(|position| position.voter)
    }
    /// The member right before this one. `None` for the head and outside the chain.
    pub fn predecessor(&self, voter: &Voter) -> Option<Voter> {
        let place = self
            .chain
            .iter()
            .position(|position| position.voter == *voter)?;
        self.chain
            .get(place.checked_sub(1)?)
            .map(|position| position.voter)
    }
    /// The number of voters that is more than half of them: a quorum.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }
    /// Whether `next` may follow this view. Each voter checks it before it accepts a proposal.
    ///
    /// The rules, and what breaks without each:
    ///
    /// - The number is the next one, and somebody votes: otherwise no instance of Paxos could
    ///   decide it, or the one after.
    /// - Members kept from this view keep their order, and newcomers come last, not caught up: a
    ///   member holds every change that its successor holds, which a reordered chain would break.
    /// - A member that was caught up stays: otherwise committed changes are lost.
    /// - No replica has two positions.
    /// - Who is admitted as a voter is in the chain, and who is in the chain votes: a voter that
    ///   holds nothing could help decide a chain of such as hold nothing.
    pub fn may_be_followed_by(&self, next: &View) -> bool {
        next.epoch == self.epoch.next()
            && !next.voters.is_empty()
            && self.keeps_sequence_in(next)
            && self.keeps_caught_up_member_in(next)
            && next.has_each_member_once()
            && self.are_votes_and_positions_consistent_in(next)
    }

    fn keeps_sequence_in(&self, next: &View) -> bool {
        let next_members = next.chain.iter().map(|p| p.voter);
        let retained: Vec<Voter> = next_members.filter(|v| self.contains(v)).collect();
        let own_members = self.chain.iter().map(|p| p.voter);
        let retained_before: Vec<Voter> = own_members.filter(|v| next.contains(v)).collect();
        let mut after_retained = next.chain.iter().skip(retained.len());
        let are_newcomers_last =
            after_retained.all(|p| !self.contains(&p.voter) && !p.is_caught_up);
        retained == retained_before && are_newcomers_last
    }

    fn keeps_caught_up_member_in(&self, next: &View) -> bool {
        let was_caught_up = |voter: &Voter| self.position(voter).is_some_and(|p| p.is_caught_up);
        next.chain.iter().any(|p| was_caught_up(&p.voter))
    }

    fn has_each_member_once(&self) -> bool {
        let is_first = |(index, position): (usize, &ChainPosition)| {
            let mut before = self.chain[..index].iter();
            before.all(|other| other.voter != position.voter)
        };
        self.chain.iter().enumerate().all(is_first)
    }

    fn are_votes_and_positions_consistent_in(&self, next: &View) -> bool {
        let may_vote = |voter: &Voter| self.has_voter(voter) || next.contains(voter);
        let do_members_vote = next.chain.iter().all(|p| next.has_voter(&p.voter));
        next.voters.iter().all(may_vote) && do_members_vote
    }
}

#[cfg(test)]
mod tests;
