use types::{Address, DiskId, ViewNumber, messages};

messages! {
    /// Who votes: an address together with one disk's contents.
    #[derive(Copy, Eq, PartialOrd, Ord, Hash)]
    pub struct Voter {
        /// Where it listens.
        pub address: Address,
        /// What its disk holds; a wiped disk is another voter.
        pub disk: DiskId,
    }

    /// One place in the chain.
    #[derive(Copy, Eq, Hash)]
    pub struct ChainPosition {
        /// Who sits there.
        pub voter: Voter,
        /// Whether it is agreed to hold every change that was ever replied. A newcomer's seat
        /// becomes level by a later view.
        pub is_caught_up: bool,
    }

    /// Who forms the chain, in order from head to tail, and who votes on the next view.
    ///
    /// Invariants: for each epoch at most one view is decided. Among members kept from the view
    /// before, the order is kept. At least one seat was level in the view before. Each voter that a
    /// view admits sits in its chain.
    #[derive(Eq, Hash)]
    pub struct View {
        /// Its number.
        pub epoch: ViewNumber,
        /// From head to tail.
        pub chain: Vec<ChainPosition>,
        /// Whose majority decides the next view.
        pub voters: Vec<Voter>,
    }
}

impl View {
    /// Before the founding: nobody.
    pub fn none() -> View {
        View {
            epoch: ViewNumber(0),
            chain: vec![],
            voters: vec![],
        }
    }
    /// Where changes enter.
    pub fn head(&self) -> Option<Voter> {
        self.chain.first().map(|position| position.voter)
    }
    /// Where answers leave.
    pub fn tail(&self) -> Option<Voter> {
        self.chain.last().map(|position| position.voter)
    }
    /// This voter's seat.
    pub fn position(&self, voter: &Voter) -> Option<&ChainPosition> {
        self.chain.iter().find(|position| position.voter == *voter)
    }
    /// Whether this voter sits in the chain.
    pub fn contains(&self, voter: &Voter) -> bool {
        self.position(voter).is_some()
    }
    /// Whether this voter votes.
    pub fn has_voter(&self, voter: &Voter) -> bool {
        self.voters.contains(voter)
    }
    /// Who comes after it in the chain.
    pub fn successor(&self, voter: &Voter) -> Option<Voter> {
        let place = self
            .chain
            .iter()
            .position(|position| position.voter == *voter)?;
        self.chain.get(place + 1).map(|position| position.voter)
    }
    /// Who comes before it in the chain.
    pub fn predecessor(&self, voter: &Voter) -> Option<Voter> {
        let place = self
            .chain
            .iter()
            .position(|position| position.voter == *voter)?;
        self.chain
            .get(place.checked_sub(1)?)
            .map(|position| position.voter)
    }
    /// How many voters are more than half.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }
    /// Whether `next` may follow this view. Each voter checks it before it accepts.
    pub fn may_be_followed_by(&self, next: &View) -> bool {
        let kept: Vec<Voter> = next
            .chain
            .iter()
            .map(|s| s.voter)
            .filter(|v| self.contains(v))
            .collect();
        let in_old_order: Vec<Voter> = self
            .chain
            .iter()
            .map(|s| s.voter)
            .filter(|v| next.contains(v))
            .collect();
        let has_level = next
            .chain
            .iter()
            .any(|s| self.position(&s.voter).is_some_and(|old| old.is_caught_up));
        let are_newcomers_last = next
            .chain
            .iter()
            .skip(kept.len())
            .all(|s| !self.contains(&s.voter) && !s.is_caught_up);
        let is_each_once = next
            .chain
            .iter()
            .enumerate()
            .all(|(i, s)| next.chain[..i].iter().all(|t| t.voter != s.voter));
        let are_admitted_seated = next
            .voters
            .iter()
            .all(|v| self.has_voter(v) || next.contains(v));
        let do_seated_vote = next.chain.iter().all(|s| next.has_voter(&s.voter));
        next.epoch == self.epoch.next()
            && !next.voters.is_empty()
            && kept == in_old_order
            && has_level
            && are_newcomers_last
            && is_each_once
            && are_admitted_seated
            && do_seated_vote
    }
}

#[cfg(test)]
mod tests;
