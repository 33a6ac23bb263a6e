//! The form in which a view is written to disks and sent to other replicas.
//!
//! It is the form of the time before views had a reserve: a view without one has the same bytes as
//! ever. Members of the reserve stand behind the chain as members of a third kind.

use super::{ChainPosition, View, Voter};
use rkyv::rancor::Fallible;
use rkyv::{Archive, Deserialize, Place, Serialize};
use types::{ViewNumber, messages};

messages! {
    /// How much a member of a view is agreed to hold.
    #[derive(Copy, Eq)]
    pub enum StoredMemberKind {
        /// It is in the chain and catches up.
        CatchingUp,
        /// It is in the chain and holds every committed change.
        CaughtUp,
        /// It holds every committed change, and is in the reserve.
        Reserve,
    }

    /// A replica that the view names for what it holds.
    #[derive(Copy)]
    pub struct StoredMember {
        /// The replica.
        voter: Voter,
        /// How much it holds.
        kind: StoredMemberKind,
    }

    /// A view as it is written and sent.
    pub struct StoredView {
        epoch: ViewNumber,
        members: Vec<StoredMember>,
        voters: Vec<Voter>,
    }
}

impl From<&View> for StoredView {
    fn from(view: &View) -> Self {
        let position = |position: &ChainPosition| StoredMember {
            voter: position.voter,
            kind: match position.is_caught_up {
                true => StoredMemberKind::CaughtUp,
                false => StoredMemberKind::CatchingUp,
            },
        };
        let reserve = |voter: &Voter| StoredMember {
            voter: *voter,
            kind: StoredMemberKind::Reserve,
        };
        let chain = view.chain.iter().map(position);
        StoredView {
            epoch: view.epoch,
            members: chain.chain(view.reserve.iter().map(reserve)).collect(),
            voters: view.voters.clone(),
        }
    }
}

impl From<StoredView> for View {
    fn from(stored: StoredView) -> Self {
        let is_reserve = |member: &StoredMember| member.kind == StoredMemberKind::Reserve;
        let (reserve, chain): (Vec<_>, Vec<_>) = stored.members.into_iter().partition(is_reserve);
        let position = |member: StoredMember| ChainPosition {
            voter: member.voter,
            is_caught_up: member.kind == StoredMemberKind::CaughtUp,
        };
        View {
            epoch: stored.epoch,
            chain: chain.into_iter().map(position).collect(),
            voters: stored.voters,
            reserve: reserve.into_iter().map(|member| member.voter).collect(),
        }
    }
}

impl Archive for View {
    type Archived = ArchivedStoredView;
    type Resolver = StoredViewResolver;

    fn resolve(&self, resolver: Self::Resolver, out: Place<Self::Archived>) {
        StoredView::from(self).resolve(resolver, out);
    }
}

impl<S: Fallible + ?Sized> Serialize<S> for View
where
    StoredView: Serialize<S>,
{
    fn serialize(&self, serializer: &mut S) -> Result<Self::Resolver, S::Error> {
        StoredView::from(self).serialize(serializer)
    }
}

impl<D: Fallible + ?Sized> Deserialize<View, D> for ArchivedStoredView
where
    ArchivedStoredView: Deserialize<StoredView, D>,
{
    fn deserialize(&self, deserializer: &mut D) -> Result<View, D::Error> {
        let stored: StoredView = Deserialize::<StoredView, D>::deserialize(self, deserializer)?;
        Ok(View::from(stored))
    }
}
