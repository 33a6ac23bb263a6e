//! Views: who forms the chain, who votes on the next view, and who else holds everything.
//!
//! A change is committed only in a view with enough caught-up members
//! ([`View::may_commit`]). In any other view nothing new is committed, so that a caught-up member
//! which such a view drops goes on holding every committed change: it stays in the view's *reserve*.
//! When the caught-up members of the chain are lost, a member of the reserve takes their place.
//! Without it, the loss of one disk could end the core while other disks hold everything.

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
}

/// Who forms the chain, in order from head to tail, and who votes on the next view.
///
/// Invariants: for each number at most one view is decided. Members that were in the view
/// before are in the same order. Each voter that a view admits is in its chain. Each caught-up
/// member of the chain and each member of the reserve holds every change that was ever committed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct View {
    /// The number of the view; one higher with each decided view.
    pub epoch: ViewNumber,
    /// The members in order, the head first and the tail last.
    pub chain: Vec<ChainPosition>,
    /// The voters: a majority of them decides the next view.
    pub voters: Vec<Voter>,
    /// In a view in which nothing may be committed: replicas that are not caught-up members of the
    /// chain, and were members of one when a change was last committed. Empty in any other view.
    pub reserve: Vec<Voter>,
}

impl View {
    /// The view number 0, before the founding: an empty chain without voters.
    pub fn none() -> View {
        View {
            epoch: ViewNumber(0),
            chain: vec![],
            voters: vec![],
            reserve: vec![],
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
    /// Whether changes may be committed in this view: as many members as a change must be on are
    /// agreed to hold everything before it.
    pub fn may_commit(&self, min_chain_length: usize) -> bool {
        let caught_up = self.chain.iter().filter(|position| position.is_caught_up);
        caught_up.count() >= min_chain_length
    }
    /// Whether it is agreed that this replica holds every committed change.
    pub fn holds_everything(&self, voter: &Voter) -> bool {
        let is_caught_up_member = self.position(voter).is_some_and(|p| p.is_caught_up);
        is_caught_up_member || self.reserve.contains(voter)
    }
    /// Whether `next` may follow this view, where a change must be on `min_chain_length` disks. Each
    /// voter checks it before it accepts a proposal.
    ///
    /// The rules, and what breaks without each:
    ///
    /// - The number is the next one, and somebody votes: otherwise no instance of Paxos could
    ///   decide it, or the one after.
    /// - It continues this view's chain (`is_continued_by`) or starts from one replica of
    ///   the reserve: otherwise committed changes are lost.
    /// - Only who holds every committed change is in its reserve, and nobody if it may commit more:
    ///   otherwise a later view could start from a replica that lacks something.
    /// - No replica has two positions.
    /// - Who is admitted as a voter is in the chain, and who is in the chain votes: a voter that
    ///   holds nothing could help decide a chain of such as hold nothing.
    pub fn may_be_followed_by(&self, next: &View, min_chain_length: usize) -> bool {
        next.epoch == self.epoch.next()
            && !next.voters.is_empty()
            && (self.is_continued_by(next) || self.is_restarted_by(next))
            && self.is_reserve_valid_in(next, min_chain_length)
            && next.has_each_member_once()
            && self.are_votes_and_positions_consistent_in(next)
    }

    /// Whether a caught-up member stays, the members that stay keep their order, and newcomers come
    /// last, not caught up: a member holds each change that its successor holds, which a reordered
    /// chain would break.
    fn is_continued_by(&self, next: &View) -> bool {
        let next_members = next.chain.iter().map(|p| p.voter);
        let retained: Vec<Voter> = next_members.filter(|v| self.contains(v)).collect();
        let own_members = self.chain.iter().map(|p| p.voter);
        let retained_before: Vec<Voter> = own_members.filter(|v| next.contains(v)).collect();
        let mut after_retained = next.chain.iter().skip(retained.len());
        let are_newcomers_last =
            after_retained.all(|p| !self.contains(&p.voter) && !p.is_caught_up);
        let was_caught_up = |voter: &Voter| self.position(voter).is_some_and(|p| p.is_caught_up);
        let mut next_caught_up = next.chain.iter().filter(|p| p.is_caught_up);
        retained == retained_before
            && are_newcomers_last
            && next_caught_up.any(|p| was_caught_up(&p.voter))
    }

    /// Whether the chain is one replica of this view's reserve. It has no successor: members of this
    /// view may hold changes that were never committed and that it lacks.
    fn is_restarted_by(&self, next: &View) -> bool {
        let [only] = next.chain.as_slice() else {
            return false;
        };
        only.is_caught_up && self.reserve.contains(&only.voter)
    }

    fn is_reserve_valid_in(&self, next: &View, min_chain_length: usize) -> bool {
        match next.may_commit(min_chain_length) {
            true => next.reserve.is_empty(),
            false => next
                .reserve
                .iter()
                .all(|voter| self.holds_everything(voter)),
        }
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

mod stored;
#[cfg(test)]
mod tests;
